"""A front with named servers, driven by hand."""

from softswitch import Controller
from softswitch import interface as i

CLASSES = (
    i.CallClass(
        "plain", latency_objective=1500.0, priority_weight=1.0, late_weight_share=0.25, holding_time=8000.0
    ),
    i.CallClass(
        "dear", latency_objective=1500.0, priority_weight=4.0, late_weight_share=0.25, holding_time=8000.0
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


def entry(name, cell, state=i.EndpointState.READY, started_at=0.0, weight=500.0):
    return i.Endpoint(name, cell, state, started_at, weight)


def front(servers=("a", "b"), seed=1, **changes):
    c = Controller(settings(**changes), seed)
    c.start(0.0)
    c.handle(
        0.0, i.EndpointsChanged(i.UpdateKind.COMPLETE, tuple(entry(s, n) for n, s in enumerate(servers)))
    )
    for s in servers:
        lines(c, 0.0, s)
    return c


def lines(c, now, server, free=100.0, size=500.0):
    """The list of free lines that comes unasked to every front."""
    return c.handle(now, i.LoadReported(server, i.Outcome.OK, (free, size)))


def sends(actions):
    return [a for a in actions if isinstance(a, i.SendAttempt)]


def call(c, now, name, klass="plain", dest=0, timeout=3000.0, **more):
    return c.handle(now, i.SetupRequested(name, klass, dest, timeout, **more))


def stands(c, now, name, server, n=0, elapsed=40.0):
    return c.handle(now, i.AttemptAnswered(name, n, server, elapsed))


def ended(c, now, name, server, outcome, n=0, **more):
    return c.handle(now, i.AttemptEnded(name, n, server, outcome, 40.0, **more))


def press(c, now, server, rounds=12, delay=1200.0):
    """Answers that took `delay` each shut the server's gate."""
    for _ in range(rounds):
        c.gates[server].observe(now, delay)


def beats(c, until):
    """Wakes the front whenever it asked to be woken, up to a time."""
    said = []
    while c.sweep_due is not None and c.sweep_due < until:
        said += c.handle(c.sweep_due, i.TimerFired(0))
    return said
