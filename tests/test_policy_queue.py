"""Queued calls are kept in stacks: a thousand of them must not all be tried at every event."""

from support.policy_driver import answer, call, sent_attempts, start_controller

from softswitch import interface as i


def controller_with_queue(n):
    c = start_controller(("a",))
    c.gates["a"].closed_until = 1e9
    for k in range(n):
        call(c, 100.0 + k / 100, f"h{k}", timeout=9000.0)
    return c


def test_one_pass_tries_one_call_per_stack_not_all_queued_calls():
    # Guards against a pass over every queued call, which used a full core with a thousand of them.
    c, tried = controller_with_queue(1000), []
    original = c._try
    c._try = lambda now, call, may_send=False: tried.append(call.id) or original(now, call, may_send)
    c.swept_at = 200.0
    c.handle(201.0, i.LoadReported("a", i.Outcome.OK, (100.0, 500.0)))
    assert len(tried) == 1
    assert len(c.queued) == 1000


def test_the_newest_call_is_sent_first_and_none_is_lost_or_sent_twice():
    c = controller_with_queue(50)
    c.gates["a"].closed_until = 0.0
    sent, now = [], 200.0
    while c.queued and now < 1500.0:
        now += 5.0
        for a in sent_attempts(c.handle(now, i.TimerFired(0))):
            sent.append(a.call)
            answer(c, now, a.call, "a", elapsed=1.0)
    assert sent[0] == "h49"
    assert sorted(sent) == sorted(f"h{k}" for k in range(50))


def test_calls_out_of_time_are_rejected_within_a_sweep():
    c, rejections, now = controller_with_queue(20), [], 100.0
    while now < 1700.0:
        now += 5.0
        rejections += [(now, a) for a in c.handle(now, i.TimerFired(0)) if isinstance(a, i.Reject)]
    assert len({a.call for _, a in rejections}) == len(rejections) == 20
    assert not c.queued
    assert all(1100.0 < at < 1640.0 for at, _ in rejections)
