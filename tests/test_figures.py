"""The lifecycle and the figures, with no wire: each call is counted once, whatever crosses."""

from dataclasses import replace
from random import Random

import pytest
from support.policy_driver import settings
from support.switch_bench import A, Bench

from softswitch.core.figures import MAX_VANISHED_CLASSES, Figures
from softswitch.core.lifecycle import (
    DRAIN_ADMITS_FOR,
    DRAIN_KEEPS_CONNECTION_FOR,
    DRAIN_LATE_SETUP_UNTIL,
    STOP_REJECTS_FOR,
    Lifecycle,
    Phase,
)


def cross(b, draw, n, known):
    """One drawn thing that a caller, an engine, the clock or an operator does."""
    calls = list(b.switch.calls)
    call = draw.choice(calls) if calls and draw.random() < 0.9 else f"{draw.randint(1, n):016x}"
    server = getattr(b.switch.calls.get(call), "server", None) or A
    what = draw.randrange(16)
    if what < 5:
        b.call(n, draw.choice([40.0, 300.0, 3000.0, 3000.0]), 0, "strange" if what == 0 else "plain")
    elif what < 8:
        b.switch.answered_by_engine(server, call, b"d")
    elif what == 8:
        b.switch.abandon_call(call, b)
    elif what == 9:
        b.switch.released_by_engine(server, call, draw.choice([16, 34, 41, 47, 102]))
    elif what == 10:
        b.switch.attempt_disconnected(server, call)
    elif what == 11:
        b.switch.release_call(call, 16, b)
    elif what == 12:
        b.switch.fail_call(call, b)
    elif what == 13:
        b.switch.apply_settings(replace(known, max_attempts=draw.randint(1, 6)))
    else:
        b.run(draw.choice([5, 60, 400]))


@pytest.mark.parametrize("seed", range(8))
def test_sums_balance_after_a_drawn_mix_of_crossings(seed):
    b, draw = Bench(), Random(seed)
    b.switch.calls.max_calls = 40
    known = b.switch.controller.settings
    for n in range(2_000, 2_010):  # some stand, whatever is drawn later
        b.call(n)
        b.switch.answered_by_engine(b.switch.calls[f"{n:016x}"].server, f"{n:016x}", b"d")
    for n in range(1, 1_500):
        cross(b, draw, n, known)
    rows = [*b.switch.figures.rows.values(), b.switch.figures.unknown]
    open_ = sum(not call.established for call in b.switch.calls.values())
    ended = sum(r.fulfilled + r.throttled + r.faulted + r.abandoned for r in rows)
    assert sum(r.taken for r in rows) == ended + open_
    assert b.switch.calls.unanswered == open_
    for column in ("fulfilled", "throttled", "faulted", "abandoned"):
        assert sum(getattr(r, column) for r in rows) > 0, column
    assert b.switch.report_figures()["open_requests"] == len(b.switch.calls)
    # `strange` made no row
    assert list(b.switch.report_figures()["operations"]) == [c.name for c in known.classes]
    told = b.heard("call_established") + b.heard("call_failed")
    assert len({words[1] for words in told}) == len(told)  # one answer a call


def test_rows_of_vanished_classes_are_bounded_and_attempts_stay_counted():
    figures = Figures(["c0"])
    for n in range(3 * MAX_VANISHED_CLASSES):
        figures.for_class(f"c{n}").relayed += 1
        figures.set_classes([f"c{n + 1}"])
    told = figures.report(0, 0, 0)
    assert len(told["operations"]) == MAX_VANISHED_CLASSES + 1
    assert told["relayed"] == 3 * MAX_VANISHED_CLASSES
    assert list(told["operations"])[-1] == f"c{3 * MAX_VANISHED_CLASSES}"


def test_a_stricter_class_holds_for_new_calls_and_the_guard_of_a_call_is_its_own():
    b = Bench()
    b.call(1)
    now = b.switch.controller.settings
    b.switch.apply_settings(replace(now, classes=tuple(replace(c, idempotent=False) for c in now.classes)))
    b.call(2)
    assert b.switch.calls[f"{1:016x}"].idempotent
    assert not b.switch.calls[f"{2:016x}"].idempotent
    b.switch.answer_all()
    verdicts = {words[1]: words[2].value for words in b.heard("call_failed")}
    assert verdicts == {f"{1:016x}": "refused", f"{2:016x}": "failed"}


def test_gates_and_cold_guards_survive_new_settings():
    b = Bench()
    gate = b.switch.controller.gates[A]
    gate.failures, gate.cold_since, gate.delay = 2.0, 900.0, 77.0
    b.switch.apply_settings(settings(max_attempts=2))
    assert b.switch.controller.gates[A] is gate
    assert (gate.failures, gate.cold_since, gate.delay) == (2.0, 900.0, 77.0)
    assert b.switch.report_figures()["out_of_rotation"] == 1


def test_the_lifecycle_from_start_to_stop():
    life, phases = Lifecycle(), []
    life.on_change.append(phases.append)
    assert not life.ready
    life.listener_opened(0.0)
    assert not life.ready  # the list is not known yet
    life.endpoints_received(1.0)
    life.endpoints_received(2.0)
    assert life.ready
    assert life.admits_calls(3.0)
    assert not life.closes_idle_connections
    life.drain(10.0)
    life.drain(500.0)  # a second one does not begin anew
    assert not life.ready
    assert not life.healthy
    assert life.closes_idle_connections
    assert life.admits_calls(10.0 + DRAIN_ADMITS_FOR - 1)
    assert not life.admits_calls(10.0 + DRAIN_ADMITS_FOR)
    assert life.keeps_last_connection(10.0 + DRAIN_KEEPS_CONNECTION_FOR - 1)
    assert not life.keeps_last_connection(10.0 + DRAIN_KEEPS_CONNECTION_FOR)
    assert life.setup_is_overdue(11.0 + DRAIN_LATE_SETUP_UNTIL, 3000.0)
    assert not life.setup_is_overdue(11.0 + DRAIN_LATE_SETUP_UNTIL, 900.0)
    assert life.activate(5000.0)
    assert life.ready
    assert not life.setup_is_overdue(9000.0, 8000.0)
    life.hand_over(6000.0)
    assert not life.ready
    assert life.healthy
    assert life.admits_calls(6001.0)
    assert not life.closes_idle_connections
    assert life.take_back(6100.0)
    assert life.ready
    life.hand_over(6200.0)
    life.stop(7000.0, 9000.0)
    life.stop(8000.0, 99_000.0)  # nor does a second one
    assert life.stop_deadline == 9000.0
    assert life.closes_idle_connections
    assert life.healthy
    assert not life.take_back(8000.0)
    assert life.admits_calls(8999.0 - STOP_REJECTS_FOR)
    assert not life.admits_calls(9001.0 - STOP_REJECTS_FOR)
    assert not life.activate(8500.0)
    assert phases == [
        Phase.SERVING,
        Phase.DRAINED,
        Phase.SERVING,
        Phase.HANDED_OVER,
        Phase.SERVING,
        Phase.HANDED_OVER,
        Phase.STOPPING,
    ]


def test_a_plain_stop_admits_to_the_last():
    life = Lifecycle()
    life.stop(0.0, 3300.0)
    assert life.admits_calls(3299.0)
    assert not life.closes_idle_connections
    assert not life.healthy
