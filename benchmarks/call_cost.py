"""Processor time per call of call control and both protocols without sockets, compared with another checkout.

    python benchmarks/call_cost.py TREE [PAIRS] [CALLS]   # compile both trees first, as the deploy file does

The runs are paired. Each checkout runs its own copy of this file: one caller's connection and four engines in
one process, on a manually advanced clock. Each call is set up, answered, acknowledged, released by its engine
and acknowledged again; every tenth call is cancelled. Nothing waits, so the time is that of the program
and, to a small part, of the stand-ins. Sockets, the reactor's timers and the start are not included;
`benchmarks/operation.py cost` includes them.
"""

import sys
import time

from paired import compare_with

ENGINES, CALLS_PER_TICK = 4, 5
INFO = {  # settings in the platform's form; times in ms
    "family": "trunks",
    "fleet_size": 4,
    "family_info": {"network_form": "groups", "own_number": -1, "clear_wait": 200.0, "holding": [8000.0]},
    "lanes": [{"name": "x", "aim": 1500.0, "hard_limit": 9000.0}],
    "limits": {
        "may_cancel": True,
        "probes": True,
        "send_cap": 6,
        "retry_after": True,
        "max_retry_after": 2000.0,
    },
    "rules": {},
    "stats": {"fields": ["spare", "total"]},
    "tick": 5.0,
}
INVITE = (
    "INVITE sip:77@net SIP/2.0\r\nVia: SIP/2.0/TCP p\r\nCall-ID: {0:016x}\r\nCSeq: 1 INVITE\r\n"
    "Subject: x\r\nX-Patience: 3000\r\nX-Facts: dest:{1};width:1;via:-1\r\nContent-Length: 3\r\n\r\n"
    "v=0"
)
SHORT = "{0} sip:77@net SIP/2.0\r\nCall-ID: {1:016x}\r\nCSeq: 1 {0}\r\nContent-Length: 0\r\n\r\n"
RELEASE_CONFIRMED = "SIP/2.0 200 OK\r\nCall-ID: {:016x}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"


def measure(calls):
    """Prints the processor time per call, in seconds."""
    from twisted.internet.testing import StringTransport

    from softswitch import interface as i
    from softswitch.core.switch import Switch
    from softswitch.core.timer_wheel import TimerWheel
    from softswitch.net.engine_codec import NO_CALL, MessageType, Parameter, encode_message
    from softswitch.net.engine_pool import EnginePool
    from softswitch.net.sip_server import SipServer
    from softswitch.settings import check_settings

    class Transport(StringTransport):
        dataBuffer, offset, _tempDataLen = b"", 0, 0

        def setTcpNoDelay(self, on):
            pass

    class Reactor:
        protocols = []

        def connectTCP(self, host, port, factory, timeout=0):
            protocol = factory.buildProtocol(None)
            protocol.makeConnection(Transport())
            self.protocols.append(protocol)

    def frame(data):
        return len(data).to_bytes(2, "big") + data

    now, reactor, settings = [1000.0], Reactor(), check_settings(INFO)
    wheel = TimerWheel(settings.tick, lambda: now[0])
    pool = EnginePool(reactor, settings)
    switch = Switch(settings, 1, wheel, pool)
    pool.attach(switch)
    server = SipServer("n0", switch)
    switch.start()
    names = [f"s-{n:08x}" for n in range(ENGINES)]
    for n, name in enumerate(names):
        pool.add_endpoint(name, ("127.0.0.1", 10_000 + n))
    ready = tuple(i.Endpoint(name, n, i.EndpointState.READY) for n, name in enumerate(names))
    switch.endpoints_changed(i.EndpointsChanged(i.UpdateKind.COMPLETE, ready))
    caller = server.buildProtocol(None)
    caller.makeConnection(Transport())
    state, answered, established = (
        encode_message(MessageType.STATE, NO_CALL, (Parameter.REPORT, b"x0:900;x1:1000")),
        0,
        [],
    )
    started_at = time.process_time()
    for first in range(1, calls, CALLS_PER_TICK):
        now[0] += settings.tick
        wheel.read_clock()
        if first % 1_000 < CALLS_PER_TICK:
            for protocol in reactor.protocols:
                protocol.dataReceived(frame(state))
        numbers = range(first, first + CALLS_PER_TICK)
        caller.dataReceived("".join(INVITE.format(n, n % ENGINES) for n in numbers).encode())
        caller.dataReceived("".join(SHORT.format("CANCEL", n) for n in numbers if n % 10 == 0).encode())
        for protocol in reactor.protocols:
            data = protocol.transport.value()
            protocol.transport.clear()
            while data:
                size = int.from_bytes(data[:2], "big")
                message_type, call, data = data[2], data[3:11].hex(), data[2 + size :]
                if message_type == 1 and int(call, 16) % 10:
                    protocol.dataReceived(
                        frame(encode_message(MessageType.ANSWER, call, (Parameter.DESCRIPTION, b"v=1")))
                    )
                    established.append((int(call, 16), protocol, call))
        answered += caller.transport.value().count(b"SIP/2.0 200 OK")
        caller.transport.clear()
        caller.dataReceived(
            "".join(SHORT.format("ACK", n) for n, _, _ in established[-CALLS_PER_TICK:]).encode()
        )
        while len(established) > 500:
            n, protocol, call = established.pop(0)
            protocol.dataReceived(
                frame(encode_message(MessageType.RELEASE, call, (Parameter.CAUSE, b"\x10")))
            )
            caller.dataReceived(RELEASE_CONFIRMED.format(n).encode())
        wheel.run_due()
    used = time.process_time() - started_at
    assert answered > 0.95 * calls, answered
    print(used / calls)


if __name__ == "__main__":
    if sys.argv[1:2] == ["one"]:
        measure(int(sys.argv[2]))
    elif len(sys.argv) > 1:
        calls = (sys.argv[3:] or ["20000"])[0]
        compare_with(
            sys.argv[1], int((sys.argv[2:] or ["10"])[0]), lambda n: ["benchmarks/call_cost.py", "one", calls]
        )
    else:
        sys.exit(__doc__)
