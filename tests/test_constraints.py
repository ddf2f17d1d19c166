"""The decision module keeps to the quotas that are shared with other softswitches."""

from support.policy_driver import (
    answer,
    call,
    end_attempt,
    endpoint,
    report_circuits,
    sent_attempts,
    settings,
    start_controller,
)

from softswitch import interface as i


class FakeConstraints:
    """Constraints set by a test, which record the reports of the module."""

    def __init__(self, wait=0.0, retries=True, fractions=None):
        self.wait, self.retries, self.fractions = wait, retries, fractions or {}
        self.reports = []

    def admit(self, call_class, priority_weight):
        self.reports.append(("admit", call_class))
        return self.wait

    def attempt_wanted(self, call_class, retry, priority_weight):
        self.reports.append(("wanted", retry))

    def may_attempt(self, call_class, server, retry):
        return self.retries or not retry

    def attempt_sent(self, call_class, server, retry):
        self.reports.append(("sent", server, retry))

    def share(self, resource, server, default):
        return self.fractions.get(resource, default)


def limited_controller(constraints, servers=("a", "b"), **changes):
    c = start_controller(servers, **changes)
    c.handle(1.0, i.ConstraintsChanged(constraints))
    return c


def test_a_call_over_the_quota_is_rejected_at_once_with_the_time_when_the_quota_opens():
    c = limited_controller(FakeConstraints(wait=430.0))
    assert [a for a in call(c, 10.0, "x") if isinstance(a, i.Reject)] == [i.Reject("x", 430.0)]
    assert not c.calls
    assert not c.queued
    c = limited_controller(FakeConstraints(wait=9_000.0))
    assert i.Reject("x", 2_000.0) in call(c, 10.0, "x")  # limited to max_retry_after of the settings
    c = limited_controller(FakeConstraints(wait=430.0), may_send_retry_after=False)
    assert i.Reject("x", 0.0) in call(c, 10.0, "x")


def test_an_admitted_call_is_counted_once_and_each_attempt_is_reported():
    constraints = FakeConstraints()
    c = limited_controller(constraints)
    assert sent_attempts(call(c, 10.0, "x"))
    answer(c, 50.0, "x", "a")
    assert constraints.reports == [("admit", "plain"), ("wanted", False), ("sent", "a", False)]


def test_a_call_whose_retry_the_quotas_forbid_is_answered_at_once():
    constraints = FakeConstraints(retries=False)
    c = limited_controller(constraints)
    (attempt,) = sent_attempts(call(c, 10.0, "x"))
    actions = end_attempt(c, 20.0, "x", attempt.server, i.Outcome.REJECTED)
    assert not sent_attempts(actions)
    assert any(isinstance(a, i.Reject) for a in actions)
    assert ("wanted", True) in constraints.reports
    unlimited = start_controller()
    (attempt,) = sent_attempts(call(unlimited, 10.0, "x"))
    assert sent_attempts(end_attempt(unlimited, 20.0, "x", attempt.server, i.Outcome.REJECTED))


def attempts_in_slow_start(fraction):
    """Returns how many of 1000 call setups are sent to a warming endpoint."""
    c = start_controller(("a",), may_cancel=False)
    c.handle(1.0, i.ConstraintsChanged(FakeConstraints(fractions={"cold": fraction})))
    c.handle(2.0, i.EndpointsChanged(i.UpdateKind.CHANGES, (endpoint("a", 0, started_at=2.0),)))
    report_circuits(c, 3.0, "a", free=480.0)
    total = 0
    for n in range(1_000):
        now = 10.0 + 8 * n
        sent = sent_attempts(call(c, now, f"c{n}", timeout=1_400.0))
        if c.sweep_due is not None and now >= c.sweep_due:
            sent += sent_attempts(c.handle(now, i.TimerFired(0)))
        for a in sent:
            total += 1
            answer(c, now + 1.0, a.call, a.server, elapsed=1.0)
    return total


def test_a_warming_endpoint_gets_attempts_by_the_share_that_is_held():
    none, low, high = (attempts_in_slow_start(fraction) for fraction in (0.0, 0.2, 0.8))
    assert none == 0 < low < high
    assert high > 2 * low


def test_removed_constraints_get_no_reports():
    c = start_controller()
    assert c.constraints is i.UNLIMITED
    assert c.settings == settings()
    constraints = FakeConstraints()
    c.handle(1.0, i.ConstraintsChanged(constraints))
    c.handle(2.0, i.ConstraintsChanged())
    call(c, 10.0, "x")
    assert constraints.reports == []
