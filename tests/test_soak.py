"""The soak: its checker sees every rule broken, plans follow from their seeds, and two seeds are played."""

import subprocess
import sys

import orjson
import pytest
from support.harness import ROOT

from softswitch.standin.soak.checker import (
    ANSWER_ALLOWANCE,
    CROSSING,
    DRAIN_ALLOWANCE,
    RELEASE_AT_LAST,
    RELEASE_WITHIN,
    TOLD_AFTER,
    Checker,
    Limits,
    Rule,
)
from softswitch.standin.soak.plan import EngineFault, Signals, draw

CALL, A, B = "00000000000000aa", "s-00000001", "s-00000002"
PATIENCE, CLEAR_WAIT, LAG = 1.0, 0.2, 0.01
SECONDS = 20.0  # of the soaks that are played here


def checker(idempotent=True):
    made = Checker(CLEAR_WAIT, max_attempts=2)
    made.process_started(-100.0)
    made.setup_sent(0.0, CALL, PATIENCE, idempotent, "n0.0")
    return made


def rules(made):
    return [broken.rule for broken in made.broken]


def attempt(made, at, engine, ended=None, may_have_run=True):
    made.attempt(at, CALL, engine, LAG)
    if ended is not None:
        made.attempt_ended(ended, CALL, engine, "over", may_have_run)


def established(made, at=0.1):
    attempt(made, at, A, at)
    made.answered(at, CALL, 200, LAG)


# Each rule: what breaks it, and the nearest that does not.


def test_an_answer_after_the_patience_or_none():
    for at, broken in (
        (PATIENCE + ANSWER_ALLOWANCE, []),
        (PATIENCE + ANSWER_ALLOWANCE + 0.1, [Rule.ANSWERED]),
    ):
        made = checker()
        made.answered(at, CALL, 503, LAG)
        assert rules(made) == broken
    made = checker()
    made.patience_over(PATIENCE + ANSWER_ALLOWANCE, CALL)
    made.answered(PATIENCE + 1.0, CALL, 503, LAG)  # counted once
    assert rules(made) == [Rule.ANSWERED]
    assert made.broken[0].events == ("0.000 set-up, waits 1.000 s", "1.500 given up")


def test_late_answers_are_counted_though_they_break_no_rule():
    made = checker()
    made.answered(PATIENCE + 0.1, CALL, 503, LAG)
    assert (made.late, made.broken) == (1, [])


def test_a_second_final_answer():
    made = checker()
    made.answered(0.1, CALL, 200, LAG)
    made.answered(0.2, CALL, 503, LAG)
    assert rules(made) == [Rule.ONE_ANSWER]


@pytest.mark.parametrize(
    ("ended", "killed", "stopped", "broken"),
    [
        (0.5, False, None, [Rule.LOST]),
        (CROSSING / 2, False, None, []),  # it may have crossed the end
        (0.5, True, -0.5, []),  # came within 0.7 s of SIGTERM: excused
        (0.5, True, -0.8, [Rule.LOST]),  # came later
        (0.5, False, -0.5, [Rule.LOST]),  # what ends by itself excuses nothing
    ],
)
def test_unanswered_at_the_end_of_its_connection(ended, killed, stopped, broken):
    made = checker()
    if stopped is not None:
        made.stop_requested(stopped, "n0.0")
    made.connection_ended(ended, [CALL], killed)
    assert rules(made) == broken


def test_two_attempts_out_at_once():
    made = checker()
    attempt(made, 0.1, A)
    attempt(made, 0.4, B)
    made.advance(1.0, LAG)
    assert rules(made) == [Rule.ONE_ATTEMPT]
    made = checker()
    attempt(made, 0.1, A)
    attempt(made, 0.4, B)
    made.attempt_ended(0.405, CALL, A, "withdrawn")  # read after, from another connection
    made.advance(1.0, LAG)
    assert rules(made) == []


@pytest.mark.parametrize(
    ("gap", "may_have_run", "broken"),
    [
        (CLEAR_WAIT - 0.05, True, [Rule.QUIET_TIME]),
        (CLEAR_WAIT, True, []),
        (0.0, False, []),  # a refusal: nothing ran
    ],
)
def test_an_attempt_within_the_quiet_time(gap, may_have_run, broken):
    made = checker()
    attempt(made, 0.1, A, 0.2, may_have_run)
    attempt(made, 0.2 + gap, B, 0.9)
    made.advance(2.0, LAG)
    assert rules(made) == broken


def test_more_attempts_than_the_settings_allow():
    made = checker()
    for n in range(3):
        attempt(made, n / 10, A, n / 10, may_have_run=False)
    assert rules(made) == [Rule.ATTEMPTS]


def test_a_call_that_must_not_run_twice_is_repeated():
    for may_have_run, broken in ((True, [Rule.REPEATED]), (False, [])):
        made = checker(idempotent=False)
        attempt(made, 0.1, A, 0.2, may_have_run)
        attempt(made, 0.5, B, 0.6)
        assert rules(made) == broken


def test_a_set_up_long_after_the_drain():
    for after, broken in ((DRAIN_ALLOWANCE, []), (DRAIN_ALLOWANCE + 0.1, [Rule.DRAINED])):
        made = checker()
        made.engine_drained(-10.0, A)
        attempt(made, -10.0 + after, A, 0.0)
        assert rules(made) == broken


def test_a_drain_counts_as_told_at_last_though_the_board_is_silent():
    for after, broken in ((TOLD_AFTER + DRAIN_ALLOWANCE, []), (12.0, [Rule.DRAINED])):
        made = checker()
        made.board_silent(-9.0)
        made.engine_drained(-10.0, A)
        attempt(made, -9.0 + after, A, 9.0)
        assert rules(made) == broken


def test_a_release_that_is_not_passed_on():
    made = checker()
    established(made)
    made.engine_released(1.0, CALL)
    made.advance(1.0 + RELEASE_WITHIN, LAG)
    assert rules(made) == []
    made.advance(1.1 + RELEASE_WITHIN, LAG)
    assert rules(made) == [Rule.RELEASED]


def test_a_release_in_time_and_one_while_connections_come_and_go():
    made = checker()
    established(made)
    made.engine_released(1.0, CALL)
    made.caller_released(1.5, CALL)
    made.advance(20.0, LAG)
    assert rules(made) == []
    made = checker()
    established(made)
    made.unsettled(0.5, 3.0)
    made.engine_released(1.0, CALL)
    made.advance(1.1 + RELEASE_WITHIN, LAG)
    made.advance(1.0 + RELEASE_AT_LAST, LAG)
    assert rules(made) == []
    made.advance(1.1 + RELEASE_AT_LAST, LAG)
    assert rules(made) == [Rule.RELEASED]


def test_limits_exit_and_readiness():
    made = checker()
    limits = Limits(descriptors=128, memory_mb=32)
    made.sampled(0.0, "n0.0", 128, 32.0, limits)
    made.exited(0.0, "n0.0", 0)
    assert rules(made) == []
    made.sampled(0.0, "n0.0", 129, 33.0, limits)
    made.exited(0.0, "n0.0", -9)
    made.not_ready(0.0, "n0.1", 6.0)
    assert rules(made) == [Rule.DESCRIPTORS, Rule.MEMORY, Rule.EXIT, Rule.READY]


def test_every_rule_has_been_seen_broken_above():
    source = (ROOT / "tests" / "test_soak.py").read_text()
    assert all(f"Rule.{rule.name}" in source for rule in Rule)


def test_the_same_seed_draws_the_same_plan_and_seeds_reach_all_kinds():
    plans = [draw(seed, SECONDS) for seed in range(60)]
    assert plans == [draw(seed, SECONDS) for seed in range(60)]
    assert {episode.signals for plan in plans for episode in plan.signals} == set(Signals)
    assert {fault.fault for plan in plans for fault in plan.faults} == set(EngineFault)
    assert {len(plan.crowds) for plan in plans} == {0, 1}
    assert {len(plan.silent_board) for plan in plans} == {0, 1}


@pytest.mark.parametrize("seed", [3, 8])
def test_a_soak_breaks_no_rule(seed):
    command = [sys.executable, "-m", "softswitch.cli", "soak", "--seed", str(seed), "--seconds", str(SECONDS)]
    done = subprocess.run(
        [*command, "--json"], cwd=ROOT, capture_output=True, text=True, timeout=SECONDS + 60
    )
    assert done.stdout, done.stderr[-2000:]
    seen = orjson.loads(done.stdout)
    assert seen["broken"] == [], seen["broken"][:3]
    assert seen["answers"] == seen["calls"] - seen["crossed"] > 300
    assert seen["releases"] > 200
    assert sum(seen["signals"].values()) >= 3
    assert done.returncode == 0
