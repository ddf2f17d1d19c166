"""Admission gates: closing, reopening, probes, pacing, random choice, and weights under overload."""

import pytest
from support.policy_driver import (
    CLASSES,
    run_sweeps,
    call,
    end_attempt,
    endpoint,
    start_controller,
    report_circuits,
    overload,
    sent_attempts,
    settings,
    answer,
)

from softswitch import Controller
from softswitch import interface as i
from softswitch.policy.endpoints import wait_limit
import itertools


def test_an_endpoint_without_answers_is_open_and_the_destination_comes_first():
    c = start_controller(("a", "b", "c"))
    for n, name in enumerate("abc"):
        assert sent_attempts(call(c, 10.0, f"x{n}", dest=n)) == [i.SendAttempt(f"x{n}", name)]


def test_the_gate_of_an_overloaded_endpoint_closes_and_reopens_as_its_delay_decays():
    c = start_controller(("a",))
    overload(c, 2000.0, "a")
    c.gates["a"].probed_at = 2000.0  # no probe is due yet
    assert not sent_attempts(call(c, 2001.0, "queued"))
    assert not c.gates["a"].is_open(2001.0, 450.0)
    assert c.gates["a"].is_open(2000.0 + 2500.0, 450.0)


def test_a_closed_gate_is_probed_once_a_second():
    c = start_controller(("a",))
    gate = c.gates["a"]
    overload(c, 3000.0, "a")
    gate.closed_until = -1.0
    gate.probed_at = 2500.0
    gate.estimate.delay = 1e6  # closed for the whole test
    sent = []
    for t in range(3000, 6000, 50):
        actions = c.handle(float(t), i.TimerFired(0)) + call(c, float(t), f"t{t}", timeout=9000.0)
        sent += [t for _ in sent_attempts(actions)]
    assert len(sent) >= 2
    assert all(b - a >= 1000 for a, b in itertools.pairwise(sent))


def test_a_full_processor_closes_the_gate_and_another_open_gate_is_tried_at_once():
    c = start_controller(("a", "b"))
    call(c, 10.0, "x", dest=0)
    actions = end_attempt(c, 20.0, "x", "a", i.Outcome.REJECTED, processor_full=True, retry_after=700.0)
    assert sent_attempts(actions) == [i.SendAttempt("x", "b")]
    assert sent_attempts(call(c, 300.0, "y", dest=0)) == [
        i.SendAttempt("y", "b")
    ]  # the retry-after time is respected
    assert not c.gates["a"].is_open(700.0, 1e9)


def test_an_endpoint_without_free_circuits_is_paced_and_its_rejections_are_no_delay():
    c = start_controller(("a", "b"))
    call(c, 10.0, "x", dest=0)
    assert sent_attempts(end_attempt(c, 20.0, "x", "a", i.Outcome.REJECTED, processor_full=False)) == [
        i.SendAttempt("x", "b")
    ]
    assert c.gates["a"].estimate.delay == 0.0
    assert sent_attempts(call(c, 25.0, "y", dest=0)) == [i.SendAttempt("y", "b")]
    gap = 8000.0 * 4 / 500
    assert sent_attempts(call(c, 25.0 + 2 * gap, "z", dest=0)) == [
        i.SendAttempt("z", "a")
    ]  # a has no call of this softswitch yet


def test_the_random_choice_prefers_fewer_unanswered_call_setups():
    c = start_controller(("a", "b", "c"))
    for k in range(3):
        call(c, 10.0, f"b{k}", dest=1)
    c.gates["a"].closed_until = 1e9
    # Two gates are open and both are sampled: the one with fewer own unanswered call setups is chosen.
    assert sent_attempts(call(c, 11.0, "x", dest=0)) == [i.SendAttempt("x", "c")]


def test_the_age_of_the_oldest_unanswered_call_setup_reveals_a_silent_endpoint():
    c = start_controller(("a", "b"))
    call(c, 0.0, "x", dest=0)
    assert c.gates["a"].expected_wait(850.0) >= 850.0
    run_sweeps(c, 900.0)
    c.gates["a"].probed_at = 900.0
    assert sent_attempts(call(c, 900.0, "y", dest=0)) == [i.SendAttempt("y", "b")]


def test_the_weight_of_a_call_limits_its_wait_at_an_endpoint():
    c = start_controller(("a",))
    call(c, 0.0, "p", call_class="plain")
    call(c, 0.0, "d", call_class="priority")
    plain, priority = (wait_limit(c, c.calls[name]) for name in "pd")
    overload(c, 2000.0, "a", delay=800.0)
    gate = c.gates["a"]
    gate.in_flight, gate.probed_at, gate.overloaded_until = {}, 2000.0, 0.0
    between = next(t for t in range(2000, 5000, 5) if gate.expected_wait(float(t)) < (plain + priority) / 2)
    gate.probed_at = float(between)
    assert not sent_attempts(call(c, float(between), "low", call_class="plain"))
    assert sent_attempts(call(c, float(between), "priority", call_class="priority")) == [
        i.SendAttempt("priority", "a")
    ]


def test_a_redial_counts_as_late_and_is_sent_after_a_first_try():
    c = start_controller(("a",))
    gate = c.gates["a"]
    gate.closed_until = 100.0
    call(c, 10.0, "redial", redial=True)
    call(c, 20.0, "fresh")
    attempts = sent_attempts(c.handle(130.0, i.TimerFired(0)))
    assert [a.call for a in attempts] == ["fresh", "redial"]


def test_the_class_of_highest_weight_is_served_best_under_overload():
    # The class of lowest weight may wait less at an endpoint, whatever the names and order of the classes.
    for classes in (CLASSES, CLASSES[::-1]):
        c = Controller(settings(classes=classes), 1)
        c.handle(0.0, i.EndpointsChanged(i.UpdateKind.COMPLETE, (endpoint("a", 0),)))
        c.gates["a"].closed_until = 1e9
        call(c, 1.0, "p", call_class="plain")
        call(c, 1.0, "d", call_class="priority")
        assert wait_limit(c, c.calls["d"]) > wait_limit(c, c.calls["p"])


def test_a_queued_call_is_rejected_within_its_objective_with_a_retry_after_time():
    c = start_controller(("a",))
    c.gates["a"].closed_until = 1e9
    assert not [a for a in call(c, 0.0, "x") if isinstance(a, i.Reject)]
    rejections = []
    for t in range(25, 1600, 25):
        rejections += [(t, a) for a in c.handle(float(t), i.TimerFired(0)) if isinstance(a, i.Reject)]
    assert len(rejections) == 1
    at, reject = rejections[0]
    assert 0 < at < 1500
    assert reject.retry_after == 2000.0
    assert not c.calls
    assert not c.queued


def test_events_that_waited_during_a_stall_count_from_their_arrival():
    c = start_controller(("a",))
    call(c, 1000.0, "first", timeout=3000.0)
    answer(c, 1040.0, "first", "a")
    call(c, 1050.0, "x", timeout=3000.0)
    call(
        c, 3000.0, "y", timeout=1200.0
    )  # arrived 1.8 s ago: past its objective, it is rejected or waits as late
    assert c.calls["y"].received_at == 1200.0 if "y" in c.calls else True
    answer(c, 3000.0, "x", "a", elapsed=1950.0)
    assert (
        c.gates["a"].estimate.delay < 100.0
    )  # the delay of an answer that waited during the stall is unknown
    call(c, 3010.0, "z", timeout=1200.0)  # no stall since: the timeout of this caller is just short
    assert c.calls["z"].received_at == 3010.0


def test_a_stall_of_this_process_is_not_counted_as_delay_of_an_endpoint():
    c = start_controller(("a",))
    call(c, 1000.0, "x")
    due = c.sweep_due
    c.handle(due + 2000.0, i.TimerFired(0))  # this process was stalled for two seconds
    answer(c, due + 2001.0, "x", "a", elapsed=2026.0)
    assert c.gates["a"].estimate.delay < 100.0


def test_invalid_settings_are_rejected():
    for changes in (
        dict(classes=()),
        dict(fleet_size=0),
        dict(initial_capacity=0.0),
        dict(retry_delay=-1.0),
        dict(classes=(i.CallClass("x", latency_objective=0.0),)),
    ):
        with pytest.raises(ValueError, match="settings"):
            settings(**changes)


def test_an_overtaken_call_setup_counts_as_lost_not_as_delay_and_is_sent_again():
    c = start_controller(("a",))
    call(c, 0.0, "lost")
    c.handle(c.sweep_due, i.TimerFired(0))
    call(c, 100.0, "next")
    answer(c, 140.0, "next", "a")
    actions = []
    while c.sweep_due < 205.0:
        actions += c.handle(c.sweep_due, i.TimerFired(0))
    assert c.gates["a"].is_open(600.0, 450.0)
    assert i.CancelAttempt("lost", 0) in actions
    end_attempt(c, 210.0, "lost", "a", i.Outcome.CANCELLED)
    run_sweeps(c, 509.0)
    assert sent_attempts(c.handle(510.0, i.TimerFired(0))) == [i.SendAttempt("lost", "a")]


def test_an_endpoint_that_fails_at_once_attracts_no_calls():
    c = start_controller(("a", "b"))
    for k in range(2):
        call(c, 10.0 + k, f"x{k}", dest=0)
        assert sent_attempts(end_attempt(c, 11.0 + k, f"x{k}", "a", i.Outcome.ERROR)) == [
            i.SendAttempt(f"x{k}", "b")
        ]
        assert c.gates["a"].failures == k
        answer(c, 12.0 + k, f"x{k}", "b", n=1)
    assert c.gates["a"].failures >= 1.5
    c.gates["a"].probed_at = 13.0
    assert sent_attempts(call(c, 14.0, "y", dest=0)) == [i.SendAttempt("y", "b")]
    answer(c, 20.0, "y", "b")
    assert sent_attempts(call(c, 1100.0, "probe", dest=0)) == [i.SendAttempt("probe", "a")]
    answer(c, 1140.0, "probe", "a")
    assert c.gates["a"].failures < 1.5


@pytest.mark.parametrize(("timeout", "outcome"), [(3000.0, i.Outcome.CANCELLED), (20.0, i.Outcome.TIMEOUT)])
def test_callers_that_leave_early_or_wait_briefly_eject_no_endpoint(timeout, outcome):
    """Guards against endpoints that are ejected for 400 set-ups whose caller left after 20 ms."""
    c = start_controller(("a",))
    for k in range(400):
        call(c, 10.0, f"x{k}", timeout=timeout)
    for k in range(400):
        if outcome is i.Outcome.CANCELLED:
            c.handle(30.0, i.CallerAbandoned(f"x{k}"))
        end_attempt(c, 30.0, f"x{k}", "a", outcome, call_over=True)
    assert c.gates["a"].failures == 0
    assert sent_attempts(call(c, 31.0, "usual")) == [i.SendAttempt("usual", "a")]


@pytest.mark.parametrize("outcome", [i.Outcome.CANCELLED, i.Outcome.TIMEOUT])
def test_an_endpoint_that_is_silent_for_half_an_objective_is_ejected_whoever_ends_the_attempts(outcome):
    c = start_controller(("a",))
    for k in range(2):
        call(c, 10.0 + k, f"x{k}")
    run_sweeps(c, 760.0)
    for k in range(2):
        c.handle(760.0 + k, i.CallerAbandoned(f"x{k}"))
        end_attempt(c, 760.0 + k, f"x{k}", "a", outcome, call_over=True)
    assert c.gates["a"].failures == 2


def test_invalid_calls_close_no_gate_and_are_rejected_at_the_second_error():
    # Guards against callers of invalid calls, whose errors close the gates for all other callers.
    for servers in (("a", "b", "c"), ("a",)):
        c = start_controller(servers)
        for k in range(20):
            (first,) = sent_attempts(call(c, 10.0 + k, f"x{k}"))
            actions = end_attempt(c, 10.2 + k, f"x{k}", first.server, i.Outcome.ERROR)
            for second in sent_attempts(actions):
                assert second.server != first.server
                actions = end_attempt(c, 10.4 + k, f"x{k}", second.server, i.Outcome.ERROR, n=1)
            assert i.Reject(f"x{k}", 2000.0) in actions
        assert not any(g.failures for g in c.gates.values())
        assert not c.calls
        assert sent_attempts(call(c, 31.0, "good", dest=0)) == [i.SendAttempt("good", "a")]


def test_only_a_few_gates_of_removed_endpoints_are_retained():
    # Guards against memory and work that grow with every endpoint that ever replaced another.
    c, changes = start_controller(("a",)), i.UpdateKind.CHANGES
    for k in range(100):
        c.handle(10.0 * k, i.EndpointsChanged(changes, (endpoint(f"s{k}", 1, started_at=10.0 * k + 1e-3),)))
        call(c, 10.0 * k + 1, f"x{k}", dest=1)
        c.handle(10.0 * k + 2, i.EndpointsChanged(changes, (endpoint(f"s{k}", 1, i.EndpointState.REMOVED),)))
        end_attempt(c, 10.0 * k + 3, f"x{k}", f"s{k}", i.Outcome.RESET)
    assert len(c.gates) <= 12
    assert "a" in c.gates
    assert "s99" in c.gates


def test_busy_numbers_are_no_failures_of_the_endpoint():
    c = start_controller(("a",))
    for k in range(5):
        call(c, 10.0 + k, f"x{k}")
        end_attempt(c, 11.0 + k, f"x{k}", "a", i.Outcome.ERROR, call_over=True, callee_busy=True)
    assert c.gates["a"].failures < 1.5


def test_an_ejected_endpoint_that_is_no_destination_is_still_probed():
    c = start_controller(("a", "b"))
    c.gates["a"].failures = 2.0
    assert sent_attempts(call(c, 2000.0, "priority", call_class="priority", dest=1)) == [
        i.SendAttempt("priority", "b")
    ]
    assert sent_attempts(call(c, 2001.0, "plain", dest=1)) == [i.SendAttempt("plain", "a")]
    assert sent_attempts(call(c, 2002.0, "next", dest=1)) == [i.SendAttempt("next", "b")]


def test_the_delay_of_a_gate_decays_faster_if_the_objectives_are_short():
    # Guards against a past overload that keeps gates closed for several times the objective.
    short_classes = tuple(
        i.CallClass(
            c.name, latency_objective=400.0, priority_weight=c.priority_weight, holding_time=c.holding_time
        )
        for c in settings().classes
    )
    for classes, reopened_by in ((short_classes, 900.0), (settings().classes, 3000.0)):
        c = start_controller(("a",), classes=classes)
        overload(c, 100.0, "a", rounds=12, delay=classes[0].latency_objective)
        limit = 0.15 * classes[0].latency_objective
        assert not c.gates["a"].is_open(101.0, limit)
        assert next(t for t in range(100, 9000, 10) if c.gates["a"].is_open(float(t), limit)) < reopened_by


def test_after_an_overload_an_endpoint_gets_only_this_softswitchs_fraction():
    c = start_controller(("a",))
    gate = c.gates["a"]
    call(c, 3000.0, "slow")
    run_sweeps(c, 5400.0)
    answer(c, 5400.0, "slow", "a")  # answered after a stall of the endpoint
    gate.estimate.delay = 0.0  # and decayed since
    first = [a for k in range(40) for a in sent_attempts(call(c, 5400.0, f"x{k}"))]
    assert len(first) <= 2
    sent = []
    for t in range(5405, 7400, 5):
        sent += sent_attempts(c.handle(float(t), i.TimerFired(0)) + call(c, float(t), f"y{t}"))
        for a in sent[-1:]:
            answer(c, float(t), a.call, "a")
    expected = (
        2.0 * 1.25 * 400 / 8.0 / 4
    )  # calls in 2 s, by the circuits in use, plus a quarter; a fourth for this softswitch
    assert 0.5 * expected <= len(sent) <= expected + 3


def test_probes_of_a_large_fleet_stay_a_small_fraction_of_the_capacity_of_an_endpoint():
    sent, softswitches = 0, 50
    for n in range(softswitches):
        c = start_controller(("a",), seed=n, fleet_size=250)
        c.gates["a"].failures = 9.0  # at every softswitch the gate is closed except for probes
        for t in range(1000, 21000, 250):  # four calls a second, all to this endpoint
            actions = c.handle(float(t), i.TimerFired(0)) + call(c, float(t), f"t{t}")
            for a in sent_attempts(actions):
                sent += 1
                end_attempt(c, float(t), a.call, "a", i.Outcome.ERROR, call_over=True)
    assert (
        0 < sent * 250 / softswitches / 20.0 <= 1.2 * 0.2 * 400 / 8.0
    )  # per second; a fifth of its capacity


def test_few_free_circuits_are_divided_among_the_softswitches():
    c = start_controller(("a",), fleet_size=250)
    report_circuits(c, 1000.0, "a", free=0.0)
    sent = []
    for t in range(1000, 11000, 100):
        actions = report_circuits(c, float(t), "a", free=0.0) + c.handle(float(t), i.TimerFired(0))
        sent += sent_attempts(actions + call(c, float(t), f"y{t}"))
        for a in sent[-1:]:
            answer(c, float(t), a.call, "a")
    assert (
        1 <= len(sent) <= 10 * 500 / 8.0 / 250 + 2
    )  # the calls that end in 10 s; a 250th for this softswitch


def test_load_reports_limit_the_wait_and_are_optional():
    for fields, report in (
        (("free", "size", "latency_ms"), (100.0, 500.0, 900.0)),
        (("free", "size", "queue", "qps"), (100.0, 500.0, 45.0, 50.0)),
        (("free", "size", "qps"), (100.0, 500.0, 2.0)),
    ):
        c = start_controller(("a", "b"), report_fields=fields)
        idle_report = tuple(
            50.0 if f == "qps" else 0.0 if f in ("queue", "latency_ms") else v
            for f, v in zip(fields, report, strict=True)
        )
        c.handle(900.0, i.LoadReported("a", i.Outcome.OK, idle_report))
        assert c.gates["a"].is_open(900.0, 450.0)
        c.handle(1000.0, i.LoadReported("a", i.Outcome.OK, report))
        assert not c.gates["a"].is_open(1000.0, 450.0)
        assert c.gates["a"].is_open(9000.0, 450.0)  # an old report counts for little
        c.handle(9500.0, i.LoadReported("a", i.Outcome.OK, (-1.0,)))  # incomplete and unknown: no effect
        assert c.gates["a"].is_open(9500.0, 450.0)


def test_the_gate_of_a_distant_endpoint_is_compared_with_its_own_fastest_answer():
    """With short objectives, its answers take longer than the limit although no call waits there."""
    short = i.CallClass("plain", latency_objective=500.0, priority_weight=1.0, holding_time=2000.0)
    priority = i.CallClass("priority", latency_objective=500.0, priority_weight=5.0, holding_time=2000.0)
    c, now = start_controller(("near", "far"), classes=(short, priority), tick=5.0), 100.0
    for n in range(6):
        for dest, (server, delay) in enumerate((("near", 12.0), ("far", 45.0))):
            assert sent_attempts(call(c, now, f"{server}{n}", dest=dest)) == [
                i.SendAttempt(f"{server}{n}", server)
            ]
            answer(c, now + delay, f"{server}{n}", server)
            now += 60.0
            run_sweeps(c, now)  # otherwise the delays count as a stall of this process
    assert sent_attempts(call(c, now, "one", dest=1)) == [i.SendAttempt("one", "far")]
    c.gates["far"].probed_at = now  # no probe is due
    assert sent_attempts(call(c, now + 1, "two", dest=1)) == [i.SendAttempt("two", "far")]
    assert not c.gates["far"].is_open(now + 200.0, 47.0)  # unanswered for too long by now


def test_a_long_fastest_answer_is_attributed_to_load_and_not_to_distance():
    """An endpoint that is overloaded from the first call on answers each call late."""
    c = start_controller(("a",))
    gate = c.gates["a"]
    gate.fastest_answer = 900.0
    gate.estimate.delay, gate.estimate.observed_at = 500.0, 100.0
    assert not gate.is_open(100.0, 200.0)
