"""What is shared with other fronts binds the module: refused at once, told when to come, repeats paid for."""

from support.policy_driver import call, ended, entry, front, lines, sends, settings, stands

from softswitch import interface as i


class Bound:
    """Constraints that a test sets, and a count of what the module said."""

    def __init__(self, wait=0.0, repeats=True, shares=None):
        self.wait, self.repeats, self.shares = wait, repeats, shares or {}
        self.said = []

    def admit(self, klass, worth):
        self.said.append(("admit", klass))
        return self.wait

    def attempt_wanted(self, klass, repeat, worth):
        self.said.append(("wanted", repeat))

    def may_attempt(self, klass, server, repeat):
        return self.repeats or not repeat

    def attempt_sent(self, klass, server, repeat):
        self.said.append(("sent", server, repeat))

    def share(self, what, server, default):
        return self.shares.get(what, default)


def bound_front(bound, servers=("a", "b"), **changes):
    c = front(servers, **changes)
    c.handle(1.0, i.ConstraintsChanged(bound))
    return c


def test_a_call_beyond_the_budget_is_refused_at_once_and_told_when_it_opens():
    c = bound_front(Bound(wait=430.0))
    assert [a for a in call(c, 10.0, "x") if isinstance(a, i.Reject)] == [i.Reject("x", 430.0)]
    assert not c.calls
    assert not c.queued
    c = bound_front(Bound(wait=9_000.0))
    assert i.Reject("x", 2_000.0) in call(c, 10.0, "x")  # no longer than the settings allow to say
    c = bound_front(Bound(wait=430.0), may_send_retry_after=False)
    assert i.Reject("x", 0.0) in call(c, 10.0, "x")


def test_a_call_that_is_let_in_is_counted_once_and_each_attempt_is_told():
    bound = Bound()
    c = bound_front(bound)
    assert sends(call(c, 10.0, "x"))
    stands(c, 50.0, "x", "a")
    assert bound.said == [("admit", "plain"), ("wanted", False), ("sent", "a", False)]


def test_a_repeat_that_is_not_paid_for_is_answered_at_once():
    bound = Bound(repeats=False)
    c = bound_front(bound)
    (sent,) = sends(call(c, 10.0, "x"))
    said = ended(c, 20.0, "x", sent.server, i.Outcome.REJECTED)
    assert not sends(said)
    assert any(isinstance(a, i.Reject) for a in said)
    assert ("wanted", True) in bound.said
    free = front()
    (sent,) = sends(call(free, 10.0, "x"))
    assert sends(ended(free, 20.0, "x", sent.server, i.Outcome.REJECTED))


def cold_sends(share):
    """Set-ups that go to a cold server within its overload window, of many that are asked for."""
    c = front(("a",), may_cancel=False)
    c.handle(1.0, i.ConstraintsChanged(Bound(shares={"cold": share})))
    c.handle(2.0, i.EndpointsChanged(i.UpdateKind.CHANGES, (entry("a", 0, started_at=2.0),)))
    lines(c, 3.0, "a", free=480.0)
    sent = 0
    for n in range(1_000):
        now = 10.0 + 8 * n
        went = sends(call(c, now, f"c{n}", timeout=1_400.0))
        if c.sweep_due is not None and now >= c.sweep_due:
            went += sends(c.handle(now, i.TimerFired(0)))
        for a in went:
            sent += 1
            stands(c, now + 1.0, a.call, a.server, elapsed=1.0)
    return sent


def test_a_cold_server_gets_the_share_that_is_held_and_none_where_none_is():
    none, little, much = (cold_sends(share) for share in (0.0, 0.2, 0.8))
    assert none == 0 < little < much
    assert much > 2 * little


def test_without_constraints_nothing_is_asked():
    c = front()
    assert c.constraints is i.UNLIMITED
    assert c.settings == settings()
    bound = Bound()
    c.handle(1.0, i.ConstraintsChanged(bound))
    c.handle(2.0, i.ConstraintsChanged())
    call(c, 10.0, "x")
    assert bound.said == []
