"""The gate opens, shuts, ages and tries; the pick is drawn; worth decides under pressure."""

import pytest
from support.policy_driver import (
    CLASSES,
    beats,
    call,
    ended,
    entry,
    front,
    lines,
    press,
    sends,
    settings,
    stands,
)

from softswitch import Controller
from softswitch import interface as i
from softswitch.policy.endpoints import wait_limit
import itertools


def test_unheard_server_is_open_and_destination_comes_first():
    c = front(("a", "b", "c"))
    for n, name in enumerate("abc"):
        assert sends(call(c, 10.0, f"x{n}", dest=n)) == [i.SendAttempt(f"x{n}", name)]


def test_pressed_gate_shuts_before_sending_and_ages_open():
    c = front(("a",))
    press(c, 2000.0, "a")
    c.gates["a"].probed_at = 2000.0  # no trial due yet
    assert not sends(call(c, 2001.0, "held"))
    assert not c.gates["a"].is_open(2001.0, 450.0)
    assert c.gates["a"].is_open(2000.0 + 2500.0, 450.0)


def test_one_trial_a_second_while_shut():
    c = front(("a",))
    gate = c.gates["a"]
    press(c, 3000.0, "a")
    gate.closed_until = -1.0
    gate.probed_at = 2500.0
    gate.estimate.delay = 1e6  # shut for the whole test
    went = []
    for t in range(3000, 6000, 50):
        acts = c.handle(float(t), i.TimerFired(0)) + call(c, float(t), f"t{t}", timeout=9000.0)
        went += [t for _ in sends(acts)]
    assert len(went) >= 2
    assert all(b - a >= 1000 for a, b in itertools.pairwise(went))


def test_full_processor_shuts_and_another_open_gate_is_tried_at_once():
    c = front(("a", "b"))
    call(c, 10.0, "x", dest=0)
    acts = ended(c, 20.0, "x", "a", i.Outcome.REJECTED, processor_full=True, retry_after=700.0)
    assert sends(acts) == [i.SendAttempt("x", "b")]
    assert sends(call(c, 300.0, "y", dest=0)) == [i.SendAttempt("y", "b")]  # the told wait is honoured
    assert not c.gates["a"].is_open(700.0, 1e9)


def test_full_lines_are_paced_not_taken_for_delay():
    c = front(("a", "b"))
    call(c, 10.0, "x", dest=0)
    assert sends(ended(c, 20.0, "x", "a", i.Outcome.REJECTED, processor_full=False)) == [
        i.SendAttempt("x", "b")
    ]
    assert c.gates["a"].estimate.delay == 0.0
    assert sends(call(c, 25.0, "y", dest=0)) == [i.SendAttempt("y", "b")]
    gap = 8000.0 * 4 / 500
    assert sends(call(c, 25.0 + 2 * gap, "z", dest=0)) == [i.SendAttempt("z", "a")]  # it holds no call yet


def test_drawn_pick_prefers_fewer_unanswered():
    c = front(("a", "b", "c"))
    for k in range(3):
        call(c, 10.0, f"b{k}", dest=1)
    c.gates["a"].closed_until = 1e9
    # two open pools, both drawn: the one with fewer own set-ups unanswered
    assert sends(call(c, 11.0, "x", dest=0)) == [i.SendAttempt("x", "c")]


def test_oldest_unanswered_sees_a_silent_server():
    c = front(("a", "b"))
    call(c, 0.0, "x", dest=0)
    assert c.gates["a"].expected_wait(850.0) >= 850.0
    beats(c, 900.0)
    c.gates["a"].probed_at = 900.0
    assert sends(call(c, 900.0, "y", dest=0)) == [i.SendAttempt("y", "b")]


def test_worth_decides_who_may_still_wait():
    c = front(("a",))
    call(c, 0.0, "p", klass="plain")
    call(c, 0.0, "d", klass="dear")
    plain, dear = (wait_limit(c, c.calls[name]) for name in "pd")
    press(c, 2000.0, "a", delay=800.0)
    gate = c.gates["a"]
    gate.in_flight, gate.probed_at, gate.overloaded_until = {}, 2000.0, 0.0
    between = next(t for t in range(2000, 5000, 5) if gate.expected_wait(float(t)) < (plain + dear) / 2)
    gate.probed_at = float(between)
    assert not sends(call(c, float(between), "cheap", klass="plain"))
    assert sends(call(c, float(between), "dear", klass="dear")) == [i.SendAttempt("dear", "a")]


def test_a_redial_is_late_already_and_gives_way():
    c = front(("a",))
    gate = c.gates["a"]
    gate.closed_until = 100.0
    call(c, 10.0, "redial", redial=True)
    call(c, 20.0, "fresh")
    out = sends(c.handle(130.0, i.TimerFired(0)))
    assert [a.call for a in out] == ["fresh", "redial"]


def test_the_dear_class_is_served_best_under_overload():
    # least worth may wait less at a server, whatever the names and the order of the settings
    for classes in (CLASSES, CLASSES[::-1]):
        c = Controller(settings(classes=classes), 1)
        c.handle(0.0, i.EndpointsChanged(i.UpdateKind.COMPLETE, (entry("a", 0),)))
        c.gates["a"].closed_until = 1e9
        call(c, 1.0, "p", klass="plain")
        call(c, 1.0, "d", klass="dear")
        assert wait_limit(c, c.calls["d"]) > wait_limit(c, c.calls["p"])


def test_held_then_refused_within_its_aim_with_advice():
    c = front(("a",))
    c.gates["a"].closed_until = 1e9
    assert not [a for a in call(c, 0.0, "x") if isinstance(a, i.Reject)]
    said = []
    for t in range(25, 1600, 25):
        said += [(t, a) for a in c.handle(float(t), i.TimerFired(0)) if isinstance(a, i.Reject)]
    assert len(said) == 1
    at, refuse = said[0]
    assert 0 < at < 1500
    assert refuse.retry_after == 2000.0
    assert not c.calls
    assert not c.queued


def test_a_heap_of_old_news_after_a_standstill():
    c = front(("a",))
    call(c, 1000.0, "first", timeout=3000.0)
    stands(c, 1040.0, "first", "a")
    call(c, 1050.0, "x", timeout=3000.0)
    call(c, 3000.0, "y", timeout=1200.0)  # came 1.8 s ago: its aim is over, it is refused or waits as late
    assert c.calls["y"].received_at == 1200.0 if "y" in c.calls else True
    stands(c, 3000.0, "x", "a", elapsed=1950.0)
    assert c.gates["a"].estimate.delay < 100.0  # the delay of what waited meanwhile is not known
    call(c, 3010.0, "z", timeout=1200.0)  # no standstill since: only a caller of little patience
    assert c.calls["z"].received_at == 3010.0


def test_stalled_front_does_not_book_its_own_standstill():
    c = front(("a",))
    call(c, 1000.0, "x")
    due = c.sweep_due
    c.handle(due + 2000.0, i.TimerFired(0))  # this front stood still for two seconds
    stands(c, due + 2001.0, "x", "a", elapsed=2026.0)
    assert c.gates["a"].estimate.delay < 100.0


def test_refused_settings():
    for bad in (
        dict(classes=()),
        dict(fleet_size=0),
        dict(initial_capacity=0.0),
        dict(retry_delay=-1.0),
        dict(classes=(i.CallClass("x", latency_objective=0.0),)),
    ):
        with pytest.raises(ValueError, match="settings"):
            settings(**bad)


def test_overtaken_set_up_is_lost_not_delay_and_is_sent_anew():
    c = front(("a",))
    call(c, 0.0, "lost")
    c.handle(c.sweep_due, i.TimerFired(0))
    call(c, 100.0, "next")
    stands(c, 140.0, "next", "a")
    said = []
    while c.sweep_due < 205.0:
        said += c.handle(c.sweep_due, i.TimerFired(0))
    assert c.gates["a"].is_open(600.0, 450.0)
    assert i.CancelAttempt("lost", 0) in said
    ended(c, 210.0, "lost", "a", i.Outcome.CANCELLED)
    beats(c, 509.0)
    assert sends(c.handle(510.0, i.TimerFired(0))) == [i.SendAttempt("lost", "a")]


def test_a_server_that_fails_at_once_draws_no_calls():
    c = front(("a", "b"))
    for k in range(2):
        call(c, 10.0 + k, f"x{k}", dest=0)
        assert sends(ended(c, 11.0 + k, f"x{k}", "a", i.Outcome.ERROR)) == [i.SendAttempt(f"x{k}", "b")]
        assert c.gates["a"].failures == k
        stands(c, 12.0 + k, f"x{k}", "b", n=1)
    assert c.gates["a"].failures >= 1.5
    c.gates["a"].probed_at = 13.0
    assert sends(call(c, 14.0, "y", dest=0)) == [i.SendAttempt("y", "b")]
    stands(c, 20.0, "y", "b")
    assert sends(call(c, 1100.0, "trial", dest=0)) == [i.SendAttempt("trial", "a")]
    stands(c, 1140.0, "trial", "a")
    assert c.gates["a"].failures < 1.5


def test_calls_that_no_server_can_use_shut_no_gate_and_are_refused_at_the_second_error():
    # guards against callers with nonsense to say, whose errors shut the gates for all others
    for servers in (("a", "b", "c"), ("a",)):
        c = front(servers)
        for k in range(20):
            (first,) = sends(call(c, 10.0 + k, f"x{k}"))
            acts = ended(c, 10.2 + k, f"x{k}", first.server, i.Outcome.ERROR)
            for second in sends(acts):
                assert second.server != first.server
                acts = ended(c, 10.4 + k, f"x{k}", second.server, i.Outcome.ERROR, n=1)
            assert i.Reject(f"x{k}", 2000.0) in acts
        assert not any(g.failures for g in c.gates.values())
        assert not c.calls
        assert sends(call(c, 31.0, "good", dest=0)) == [i.SendAttempt("good", "a")]


def test_servers_that_are_gone_are_forgotten_but_for_a_few():
    # guards against memory and work that grow with every server that ever took another's place
    c, changes = front(("a",)), i.UpdateKind.CHANGES
    for k in range(100):
        c.handle(10.0 * k, i.EndpointsChanged(changes, (entry(f"s{k}", 1, started_at=10.0 * k + 1e-3),)))
        call(c, 10.0 * k + 1, f"x{k}", dest=1)
        c.handle(10.0 * k + 2, i.EndpointsChanged(changes, (entry(f"s{k}", 1, i.EndpointState.REMOVED),)))
        ended(c, 10.0 * k + 3, f"x{k}", f"s{k}", i.Outcome.RESET)
    assert len(c.gates) <= 12
    assert "a" in c.gates
    assert "s99" in c.gates


def test_busy_numbers_are_no_fault_of_the_server():
    c = front(("a",))
    for k in range(5):
        call(c, 10.0 + k, f"x{k}")
        ended(c, 11.0 + k, f"x{k}", "a", i.Outcome.ERROR, call_over=True, callee_busy=True)
    assert c.gates["a"].failures < 1.5


def test_barred_server_that_is_nobodys_destination_still_gets_trials():
    c = front(("a", "b"))
    c.gates["a"].failures = 2.0
    assert sends(call(c, 2000.0, "dear", klass="dear", dest=1)) == [i.SendAttempt("dear", "b")]
    assert sends(call(c, 2001.0, "plain", dest=1)) == [i.SendAttempt("plain", "a")]
    assert sends(call(c, 2002.0, "next", dest=1)) == [i.SendAttempt("next", "b")]


def test_where_aims_are_short_the_gate_looks_back_less_far():
    # guards against a jam long over that keeps gates shut for several times the aim
    quick = tuple(
        i.CallClass(
            c.name, latency_objective=400.0, priority_weight=c.priority_weight, holding_time=c.holding_time
        )
        for c in settings().classes
    )
    for classes, again in ((quick, 900.0), (settings().classes, 3000.0)):
        c = front(("a",), classes=classes)
        press(c, 100.0, "a", rounds=12, delay=classes[0].latency_objective)
        limit = 0.15 * classes[0].latency_objective
        assert not c.gates["a"].is_open(101.0, limit)
        assert next(t for t in range(100, 9000, 10) if c.gates["a"].is_open(float(t), limit)) < again


def test_after_a_jam_a_server_gets_this_fronts_share_only():
    c = front(("a",))
    gate = c.gates["a"]
    call(c, 3000.0, "slow")
    beats(c, 5400.0)
    stands(c, 5400.0, "slow", "a")  # answered after a freeze
    gate.estimate.delay = 0.0  # and aged since
    first = [a for k in range(40) for a in sends(call(c, 5400.0, f"x{k}"))]
    assert len(first) <= 2
    spell = []
    for t in range(5405, 7400, 5):
        spell += sends(c.handle(float(t), i.TimerFired(0)) + call(c, float(t), f"y{t}"))
        for a in spell[-1:]:
            stands(c, float(t), a.call, "a")
    share = 2.0 * 1.25 * 400 / 8.0 / 4  # two seconds of what the lines in use show, and a quarter more
    assert 0.5 * share <= len(spell) <= share + 3


def test_trials_of_a_large_fleet_stay_a_small_share_of_what_a_server_bears():
    went, fronts = 0, 50
    for n in range(fronts):
        c = front(("a",), seed=n, fleet_size=250)
        c.gates["a"].failures = 9.0  # shut but for trials, at every front
        for t in range(1000, 21000, 250):  # four calls a second, all for this server
            acts = c.handle(float(t), i.TimerFired(0)) + call(c, float(t), f"t{t}")
            for a in sends(acts):
                went += 1
                ended(c, float(t), a.call, "a", i.Outcome.ERROR, call_over=True)
    assert 0 < went * 250 / fronts / 20.0 <= 1.2 * 0.2 * 400 / 8.0  # a second; a fifth of what it bears


def test_few_free_lines_are_shared_among_the_fronts():
    c = front(("a",), fleet_size=250)
    lines(c, 1000.0, "a", free=0.0)
    spell = []
    for t in range(1000, 11000, 100):
        acts = lines(c, float(t), "a", free=0.0) + c.handle(float(t), i.TimerFired(0))
        spell += sends(acts + call(c, float(t), f"y{t}"))
        for a in spell[-1:]:
            stands(c, float(t), a.call, "a")
    assert 1 <= len(spell) <= 10 * 500 / 8.0 / 250 + 2  # as calls end; a 250th for this front


def test_reports_bound_the_wait_and_are_never_needed():
    for fields, report in (
        (("free", "size", "latency_ms"), (100.0, 500.0, 900.0)),
        (("free", "size", "queue", "qps"), (100.0, 500.0, 45.0, 50.0)),
        (("free", "size", "qps"), (100.0, 500.0, 2.0)),
    ):
        c = front(("a", "b"), report_fields=fields)
        calm = tuple(
            50.0 if f == "qps" else 0.0 if f in ("queue", "latency_ms") else v
            for f, v in zip(fields, report, strict=True)
        )
        c.handle(900.0, i.LoadReported("a", i.Outcome.OK, calm))
        assert c.gates["a"].is_open(900.0, 450.0)
        c.handle(1000.0, i.LoadReported("a", i.Outcome.OK, report))
        assert not c.gates["a"].is_open(1000.0, 450.0)
        assert c.gates["a"].is_open(9000.0, 450.0)  # an old report counts for little
        c.handle(9500.0, i.LoadReported("a", i.Outcome.OK, (-1.0,)))  # partial, unknown: no harm
        assert c.gates["a"].is_open(9500.0, 450.0)


def test_a_far_endpoints_gate_is_held_against_its_own_fastest_answer():
    """Where objectives are short, its answers took longer than the limit with nothing waiting there."""
    short = i.CallClass("plain", latency_objective=500.0, priority_weight=1.0, holding_time=2000.0)
    dear = i.CallClass("dear", latency_objective=500.0, priority_weight=5.0, holding_time=2000.0)
    c, now = front(("near", "far"), classes=(short, dear), tick=5.0), 100.0
    for n in range(6):
        for dest, (server, delay) in enumerate((("near", 12.0), ("far", 45.0))):
            assert sends(call(c, now, f"{server}{n}", dest=dest)) == [i.SendAttempt(f"{server}{n}", server)]
            stands(c, now + delay, f"{server}{n}", server)
            now += 60.0
            beats(c, now)  # else the delays count as this process's own
    assert sends(call(c, now, "one", dest=1)) == [i.SendAttempt("one", "far")]
    c.gates["far"].probed_at = now  # no probe is due
    assert sends(call(c, now + 1, "two", dest=1)) == [i.SendAttempt("two", "far")]
    assert not c.gates["far"].is_open(now + 200.0, 47.0)  # it is silent by now


def test_a_long_fastest_answer_is_an_endpoints_load_and_no_distance():
    """Of an endpoint that was overloaded from the first call on every answer was late."""
    c = front(("a",))
    gate = c.gates["a"]
    gate.fastest_answer = 900.0
    gate.estimate.delay, gate.estimate.observed_at = 500.0, 100.0
    assert not gate.is_open(100.0, 200.0)
