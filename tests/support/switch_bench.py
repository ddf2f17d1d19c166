"""Test bench for the switch without a network: a manual clock, and a caller and engines that record calls."""

from softswitch import interface as i
from softswitch.core.call import NO_CONNECTION, FailureReason, SetupRequest
from softswitch.core.switch import Switch
from softswitch.core.timer_wheel import TimerWheel
from support.policy_driver import settings

A, B = "s-0000000a", "s-0000000b"
CONNECTION = object()  # the caller's connection, where a test needs no other
RECORDED_METHODS = (
    "send_setup",
    "cancel_setup",
    "send_release",
    "call_established",
    "call_failed",
    "call_released",
)


class Bench:
    """Caller, engines and clock in one; `records` holds all calls of the switch to them."""

    calls_survive = False

    def __init__(self, servers=(A, B), tick=5.0, **changes):
        self.now, self.records, self.tick = 1000.0, [], tick
        self.wheel = TimerWheel(tick, lambda: self.now)
        self.switch = Switch(settings(tick=tick, **changes), 1, self.wheel, self)
        self.switch.start()
        ready = (i.Endpoint(s, n, i.EndpointState.READY) for n, s in enumerate(servers))
        self.list_changed(*ready, kind=i.UpdateKind.COMPLETE)

    def list_changed(self, *endpoints, kind=i.UpdateKind.CHANGES):
        self.switch.endpoints_changed(i.EndpointsChanged(kind, endpoints))

    def send_setup(self, server, call):
        """Records the setup, which counts as written at once."""
        self.records.append(("send_setup", server))
        self.switch.attempt_written(call.id)

    def incarnation_ended(self, ended):
        """Returns that no connection is open."""
        return NO_CONNECTION

    def endpoint_unavailable(self, server):
        """Does nothing: no setup waits to be written."""

    def __getattr__(self, name):
        if name not in RECORDED_METHODS:
            raise AttributeError(name)

        def record(*args):
            plain = [a if isinstance(a, str | int | bytes | FailureReason) else None for a in args]
            self.records.append((name, *[a for a in plain if a is not None]))

        return record

    def call(self, n=1, timeout=3000.0, destination_cell=0, call_class="plain", connection=CONNECTION):
        setup = SetupRequest(f"{n:016x}", call_class, "77", timeout, b"d", destination_cell)
        return self.switch.request_setup(setup, self, connection)

    def run(self, ms):
        until = self.now + ms
        while self.now < until:
            self.now += self.tick
            self.wheel.read_clock()
            self.wheel.run_due()

    def records_of(self, name):
        return [record for record in self.records if record[0] == name]
