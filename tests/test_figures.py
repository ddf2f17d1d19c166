"""The lifecycle and the figures without a network: each call is counted once, whatever messages cross."""

from dataclasses import replace
from random import Random

import pytest
from support.policy_driver import settings
from support.switch_bench import CONNECTION, A, Bench

from softswitch.core.figures import MAX_REMOVED_CLASSES, Figures
from softswitch.core.lifecycle import (
    DRAIN_ADMITS_FOR,
    DRAIN_KEEPS_CONNECTION_FOR,
    DRAIN_LATE_SETUP_UNTIL,
    STOP_REJECTS_FOR,
    Lifecycle,
    Phase,
)


def do_random_action(b, rng, n, base):
    """Performs one random action of a caller, an engine, the clock or an operator."""
    calls = list(b.switch.calls)
    call = rng.choice(calls) if calls and rng.random() < 0.9 else f"{rng.randint(1, n):016x}"
    server = getattr(b.switch.calls.get(call), "server", None) or A
    action = rng.randrange(16)
    if action < 5:
        b.call(n, rng.choice([40.0, 300.0, 3000.0, 3000.0]), 0, "strange" if action == 0 else "plain")
    elif action < 8:
        b.switch.answered_by_engine(server, call, b"d")
    elif action == 8:
        b.switch.abandon_call(call, b, CONNECTION)
    elif action == 9:
        b.switch.released_by_engine(server, call, rng.choice([16, 34, 41, 47, 102]))
    elif action == 10:
        b.switch.attempt_disconnected(server, call)
    elif action == 11:
        b.switch.release_call(call, 16, b, CONNECTION)
    elif action == 12:
        b.switch.fail_call(call, b)
    elif action == 13:
        b.switch.apply_settings(replace(base, max_attempts=rng.randint(1, 6)))
    else:
        b.run(rng.choice([5, 60, 400]))


@pytest.mark.parametrize("seed", range(8))
def test_sums_balance_after_random_crossing_messages(seed):
    b, rng = Bench(), Random(seed)
    b.switch.calls.max_calls = 40
    base = b.switch.controller.settings
    for n in range(2_000, 2_010):  # some calls are established, whatever is drawn later
        b.call(n)
        b.switch.answered_by_engine(b.switch.calls[f"{n:016x}"].server, f"{n:016x}", b"d")
    for n in range(1, 1_500):
        do_random_action(b, rng, n, base)
    rows = [*b.switch.figures.rows.values(), b.switch.figures.unknown]
    open_ = sum(not call.established for call in b.switch.calls.values())
    ended = sum(r.fulfilled + r.throttled + r.faulted + r.abandoned for r in rows)
    assert sum(r.taken for r in rows) == ended + open_
    assert b.switch.calls.unanswered == open_
    for column in ("fulfilled", "throttled", "faulted", "abandoned"):
        assert sum(getattr(r, column) for r in rows) > 0, column
    assert b.switch.report_figures()["open_requests"] == len(b.switch.calls)
    # the class `strange` created no row
    assert list(b.switch.report_figures()["operations"]) == [c.name for c in base.classes]
    answers = b.records_of("call_established") + b.records_of("call_failed")
    assert len({record[1] for record in answers}) == len(answers)  # one answer per call


def test_rows_of_removed_classes_are_bounded_and_attempts_stay_counted():
    figures = Figures(["c0"])
    for n in range(3 * MAX_REMOVED_CLASSES):
        figures.for_class(f"c{n}").relayed += 1
        figures.replace_classes([f"c{n + 1}"])
    report = figures.report(0, 0, 0)
    assert len(report["operations"]) == MAX_REMOVED_CLASSES + 1
    assert report["relayed"] == 3 * MAX_REMOVED_CLASSES
    assert list(report["operations"])[-1] == f"c{3 * MAX_REMOVED_CLASSES}"


def test_a_stricter_class_applies_to_new_calls_only():
    b = Bench()
    b.call(1)
    now = b.switch.controller.settings
    b.switch.apply_settings(replace(now, classes=tuple(replace(c, idempotent=False) for c in now.classes)))
    b.call(2)
    assert b.switch.calls[f"{1:016x}"].idempotent
    assert not b.switch.calls[f"{2:016x}"].idempotent
    b.switch.answer_all()
    reasons = {record[1]: record[2].value for record in b.records_of("call_failed")}
    assert reasons == {f"{1:016x}": "refused", f"{2:016x}": "failed"}


def test_gates_and_warm_up_state_survive_new_settings():
    b = Bench()
    gate = b.switch.controller.gates[A]
    gate.failures, gate.slow_start_at, gate.estimate.delay = 2.0, 900.0, 77.0
    b.switch.apply_settings(settings(max_attempts=2))
    assert b.switch.controller.gates[A] is gate
    assert (gate.failures, gate.slow_start_at, gate.estimate.delay) == (2.0, 900.0, 77.0)
    assert b.switch.report_figures()["out_of_rotation"] == 1


def test_lifecycle_from_start_to_stop():
    lifecycle, phases = Lifecycle(), []
    lifecycle.on_change.append(phases.append)
    assert not lifecycle.ready
    lifecycle.listener_opened(0.0)
    assert not lifecycle.ready  # the endpoint list is not known yet
    lifecycle.endpoints_received(1.0)
    lifecycle.endpoints_received(2.0)
    assert lifecycle.ready
    assert lifecycle.admits_calls(3.0)
    assert not lifecycle.closes_idle_connections
    lifecycle.drain(10.0)
    lifecycle.drain(500.0)  # a second drain does not restart the drain
    assert not lifecycle.ready
    assert not lifecycle.healthy
    assert lifecycle.closes_idle_connections
    assert lifecycle.admits_calls(10.0 + DRAIN_ADMITS_FOR - 1)
    assert not lifecycle.admits_calls(10.0 + DRAIN_ADMITS_FOR)
    assert lifecycle.keeps_last_connection(10.0 + DRAIN_KEEPS_CONNECTION_FOR - 1)
    assert not lifecycle.keeps_last_connection(10.0 + DRAIN_KEEPS_CONNECTION_FOR)
    assert lifecycle.setup_is_overdue(11.0 + DRAIN_LATE_SETUP_UNTIL, 3000.0)
    assert not lifecycle.setup_is_overdue(11.0 + DRAIN_LATE_SETUP_UNTIL, 900.0)
    assert lifecycle.activate(5000.0)
    assert lifecycle.ready
    assert not lifecycle.setup_is_overdue(9000.0, 8000.0)
    lifecycle.hand_over(6000.0)
    assert not lifecycle.ready
    assert lifecycle.healthy
    assert lifecycle.admits_calls(6001.0)
    assert not lifecycle.closes_idle_connections
    assert lifecycle.take_back(6100.0)
    assert lifecycle.ready
    lifecycle.hand_over(6200.0)
    lifecycle.stop(7000.0, 9000.0)
    lifecycle.stop(8000.0, 99_000.0)  # a second stop does not extend the deadline
    assert lifecycle.stop_deadline == 9000.0
    assert lifecycle.closes_idle_connections
    assert lifecycle.healthy
    assert not lifecycle.take_back(8000.0)
    assert lifecycle.admits_calls(8999.0 - STOP_REJECTS_FOR)
    assert not lifecycle.admits_calls(9001.0 - STOP_REJECTS_FOR)
    assert not lifecycle.activate(8500.0)
    assert phases == [
        Phase.SERVING,
        Phase.DRAINED,
        Phase.SERVING,
        Phase.HANDED_OVER,
        Phase.SERVING,
        Phase.HANDED_OVER,
        Phase.STOPPING,
    ]


def test_a_stop_without_successor_admits_calls_until_its_deadline():
    lifecycle = Lifecycle()
    lifecycle.stop(0.0, 3300.0)
    assert lifecycle.admits_calls(3299.0)
    assert not lifecycle.closes_idle_connections
    assert not lifecycle.healthy
