"""Processor time a call, of the decisions and both wires without sockets, against another checkout, paired.

    python benchmarks/call_cost.py TREE [PAIRS] [CALLS]   # compile both trees first, as the deploy file does

Each checkout runs its own copy of this file. One caller's connection and four engines, all in one process on
a clock by hand: each call is set up, answered, acknowledged, released by its engine and acknowledged again;
each tenth is cancelled. Nothing waits, so the time is the program's own, with the little that stand-ins take.
Sockets, the reactor's timers and the start are left out: benchmarks/operation.py cost has them.
"""

import sys
import time

from paired import paired

ENGINES, A_TICK = 4, 5  # calls that come in one tick
INFO = {
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
HEARD = "SIP/2.0 200 OK\r\nCall-ID: {:016x}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"


def one(calls):
    from twisted.internet.testing import StringTransport

    from softswitch import interface as i
    from softswitch.core.switch import Switch
    from softswitch.core.timer_wheel import TimerWheel
    from softswitch.net.engine_codec import NO_CALL, MessageType, Parameter, encode_message
    from softswitch.net.engine_pool import EnginePool
    from softswitch.net.sip_server import SipServer
    from softswitch.settings import check_settings

    class Wire(StringTransport):
        dataBuffer, offset, _tempDataLen = b"", 0, 0

        def setTcpNoDelay(self, on):
            pass

    class Reactor:
        made = []

        def connectTCP(self, host, port, factory, timeout=0):
            protocol = factory.buildProtocol(None)
            protocol.makeConnection(Wire())
            self.made.append(protocol)

    def framed(data):
        return len(data).to_bytes(2, "big") + data

    now, reactor, settings = [1000.0], Reactor(), check_settings(INFO)
    wheel = TimerWheel(settings.tick, lambda: now[0])
    links = EnginePool(reactor, settings)
    switch = Switch(settings, 1, wheel, links)
    links.attach(switch)
    server = SipServer("n0", switch)
    switch.start()
    names = [f"s-{n:08x}" for n in range(ENGINES)]
    for n, name in enumerate(names):
        links.add_endpoint(name, ("127.0.0.1", 10_000 + n))
    ready = tuple(i.Endpoint(name, n, i.EndpointState.READY) for n, name in enumerate(names))
    switch.endpoints_changed(i.EndpointsChanged(i.UpdateKind.COMPLETE, ready))
    caller = server.buildProtocol(None)
    caller.makeConnection(Wire())
    state, answered, stood = (
        encode_message(MessageType.STATE, NO_CALL, (Parameter.REPORT, b"x0:900;x1:1000")),
        0,
        [],
    )
    began = time.process_time()
    for first in range(1, calls, A_TICK):
        now[0] += settings.tick
        wheel.read_clock()
        if first % 1_000 < A_TICK:
            for protocol in reactor.made:
                protocol.dataReceived(framed(state))
        some = range(first, first + A_TICK)
        caller.dataReceived("".join(INVITE.format(n, n % ENGINES) for n in some).encode())
        caller.dataReceived("".join(SHORT.format("CANCEL", n) for n in some if n % 10 == 0).encode())
        for protocol in reactor.made:
            data = protocol.transport.value()
            protocol.transport.clear()
            while data:
                size = int.from_bytes(data[:2], "big")
                kind, call, data = data[2], data[3:11].hex(), data[2 + size :]
                if kind == 1 and int(call, 16) % 10:
                    protocol.dataReceived(
                        framed(encode_message(MessageType.ANSWER, call, (Parameter.DESCRIPTION, b"v=1")))
                    )
                    stood.append((int(call, 16), protocol, call))
        answered += caller.transport.value().count(b"SIP/2.0 200 OK")
        caller.transport.clear()
        caller.dataReceived("".join(SHORT.format("ACK", n) for n, _, _ in stood[-A_TICK:]).encode())
        while len(stood) > 500:
            n, protocol, call = stood.pop(0)
            protocol.dataReceived(
                framed(encode_message(MessageType.RELEASE, call, (Parameter.CAUSE, b"\x10")))
            )
            caller.dataReceived(HEARD.format(n).encode())
        wheel.run_due()
    used = time.process_time() - began
    assert answered > 0.95 * calls, answered
    print(used / calls)


if __name__ == "__main__":
    if sys.argv[1:2] == ["one"]:
        one(int(sys.argv[2]))
    elif len(sys.argv) > 1:
        calls = (sys.argv[3:] or ["20000"])[0]
        paired(
            sys.argv[1], int((sys.argv[2:] or ["10"])[0]), lambda n: ["benchmarks/call_cost.py", "one", calls]
        )
    else:
        sys.exit(__doc__)
