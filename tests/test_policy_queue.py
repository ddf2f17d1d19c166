"""Held calls lie in stacks by kind: a thousand of them must not cost a look each at every event."""

from support.policy_driver import call, front, sends, stands

from softswitch import interface as i


def held_front(n):
    c = front(("a",))
    c.gates["a"].closed_until = 1e9
    for k in range(n):
        call(c, 100.0 + k / 100, f"h{k}", timeout=9000.0)
    return c


def test_a_pass_tries_one_call_of_each_kind_not_all_that_are_held():
    # guards against the pass over every held call, which took a whole core at a thousand of them
    c, tried = held_front(1000), []
    known = c._try
    c._try = lambda now, call, shut=False: tried.append(call.id) or known(now, call, shut)
    c.swept_at = 200.0
    c.handle(201.0, i.LoadReported("a", i.Outcome.OK, (100.0, 500.0)))
    assert len(tried) == 1
    assert len(c.queued) == 1000


def test_the_newest_goes_first_and_none_is_lost_or_sent_twice():
    c = held_front(50)
    c.gates["a"].closed_until = 0.0
    went, now = [], 200.0
    while c.queued and now < 1500.0:
        now += 5.0
        for a in sends(c.handle(now, i.TimerFired(0))):
            went.append(a.call)
            stands(c, now, a.call, "a", elapsed=1.0)
    assert went[0] == "h49"
    assert sorted(went) == sorted(f"h{k}" for k in range(50))


def test_calls_whose_time_is_over_are_refused_within_a_beat():
    c, said, now = held_front(20), [], 100.0
    while now < 1700.0:
        now += 5.0
        said += [(now, a) for a in c.handle(now, i.TimerFired(0)) if isinstance(a, i.Reject)]
    assert len({a.call for _, a in said}) == len(said) == 20
    assert not c.queued
    assert all(1100.0 < at < 1640.0 for at, _ in said)
