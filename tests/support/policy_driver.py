"""A front with named servers, driven by hand."""

from softswitch import Controller
from softswitch import interface as i

CLASSES = (
    i.CallClass("plain", aim=1500.0, worth=1.0, late_share=0.25, hold=8000.0),
    i.CallClass("dear", aim=1500.0, worth=4.0, late_share=0.25, hold=8000.0),
)
BASE = dict(
    classes=CLASSES,
    fleet_size=4,
    may_cancel=True,
    may_advise=True,
    max_advice=2000.0,
    max_attempts=4,
    release=300.0,
    repeat_after=400.0,
    cold=15000.0,
    cold_from=0.3,
    overload_factor=2.5,
    overload_for=1000.0,
    tick=5.0,
    report_fields=("free", "size"),
)


def settings(**changes):
    return i.Settings(**(BASE | changes))


def entry(name, cell, state=i.State.READY, started=0.0, weight=500.0):
    return i.Entry(name, cell, state, started, weight)


def front(servers=("a", "b"), seed=1, **changes):
    c = Controller(settings(**changes), seed)
    c.start(0.0)
    c.handle(0.0, i.ListNews(i.ListKind.WHOLE, tuple(entry(s, n) for n, s in enumerate(servers))))
    for s in servers:
        lines(c, 0.0, s)
    return c


def lines(c, now, server, free=100.0, size=500.0):
    """The list of free lines that comes unasked to every front."""
    return c.handle(now, i.Sampled(server, i.Outcome.OK, (free, size)))


def sends(actions):
    return [a for a in actions if isinstance(a, i.Attempt)]


def call(c, now, name, klass="plain", dest=0, grace=3000.0, **more):
    return c.handle(now, i.SetUp(name, klass, dest, grace, **more))


def stands(c, now, name, server, n=0, took=40.0):
    return c.handle(now, i.Stands(name, n, server, took))


def ended(c, now, name, server, outcome, n=0, **more):
    return c.handle(now, i.Ended(name, n, server, outcome, 40.0, **more))


def press(c, now, server, rounds=12, delay=1200.0):
    """Answers that took `delay` each shut the server's gate."""
    for _ in range(rounds):
        c.gates[server].observe(now, delay)


def beats(c, until):
    """Wakes the front whenever it asked to be woken, up to a time."""
    said = []
    while c.beat_due is not None and c.beat_due < until:
        said += c.handle(c.beat_due, i.Wake(0))
    return said
