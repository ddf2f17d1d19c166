"""Drives the decision module of one softswitch with hand-made events."""

from softswitch import Controller
from softswitch import interface as i

CLASSES = (
    i.CallClass(
        "plain", latency_objective=1500.0, priority_weight=1.0, late_weight_share=0.25, holding_time=8000.0
    ),
    i.CallClass(
        "priority", latency_objective=1500.0, priority_weight=4.0, late_weight_share=0.25, holding_time=8000.0
    ),
)
BASE = dict(
    classes=CLASSES,
    fleet_size=4,
    may_cancel=True,
    may_send_retry_after=True,
    max_retry_after=2000.0,
    max_attempts=4,
    retry_delay=300.0,
    retransmit_after=400.0,
    warm_up=15000.0,
    initial_capacity=0.3,
    overload_factor=2.5,
    overload_window=1000.0,
    tick=5.0,
    report_fields=("free", "size"),
)


def settings(**changes):
    return i.Settings(**(BASE | changes))


def endpoint(name, cell, state=i.EndpointState.READY, started_at=0.0, weight=500.0):
    return i.Endpoint(name, cell, state, started_at, weight)


def start_controller(servers=("a", "b"), seed=1, **changes):
    c = Controller(settings(**changes), seed)
    c.start(0.0)
    c.handle(
        0.0, i.EndpointsChanged(i.UpdateKind.COMPLETE, tuple(endpoint(s, n) for n, s in enumerate(servers)))
    )
    for s in servers:
        report_circuits(c, 0.0, s)
    return c


def report_circuits(c, now, server, free=100.0, size=500.0):
    """Delivers an unsolicited load report."""
    return c.handle(now, i.LoadReported(server, i.Outcome.OK, (free, size)))


def sent_attempts(actions):
    """Returns the SendAttempt actions."""
    return [a for a in actions if isinstance(a, i.SendAttempt)]


def call(c, now, name, call_class="plain", dest=0, timeout=3000.0, **more):
    return c.handle(now, i.SetupRequested(name, call_class, dest, timeout, **more))


def answer(c, now, name, server, n=0, elapsed=40.0):
    return c.handle(now, i.AttemptAnswered(name, n, server, elapsed))


def end_attempt(c, now, name, server, outcome, n=0, **more):
    return c.handle(now, i.AttemptEnded(name, n, server, outcome, 40.0, **more))


def overload(c, now, server, rounds=12, delay=1200.0):
    """Closes the gate of the server by answers that took `delay` ms each."""
    for _ in range(rounds):
        c.gates[server].observe(now, delay)


def run_sweeps(c, until):
    """Fires the sweep timer whenever it is due, up to a time; returns the actions."""
    actions = []
    while c.sweep_due is not None and c.sweep_due < until:
        actions += c.handle(c.sweep_due, i.TimerFired(0))
    return actions
