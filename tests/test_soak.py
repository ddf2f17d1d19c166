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
    LEFT_ALLOWANCE,
    RELEASE_AT_LAST,
    RELEASE_WITHIN,
    Checker,
    Limits,
    Rule,
    SetupFields,
)
from softswitch.standin.soak.plan import EngineFault, Signals, generate_plan
from softswitch.standin.soak.surroundings import BINDING_AFTER, TOLD_AFTER

CALL, A, B = "00000000000000aa", "s-00000001", "s-00000002"
FIELDS = SetupFields("class-0", "77", b"v=0")
PATIENCE, CLEAR_WAIT, LAG = 1.0, 0.2, 0.01
SECONDS = 20.0  # of the soaks that are played here
PLANTED = {  # seed, seconds, and the rule that is broken
    "drain-taken-for-ready": (102, "12", Rule.DRAINED),
    "no-quiet-time": (112, "12", Rule.QUIET_TIME),
}


def checker(idempotent=True):
    made = Checker(CLEAR_WAIT, max_attempts=2)
    surroundings = made.of("n0")
    surroundings.process_started(-100.0, "n0.0")
    surroundings.process_ready(-99.0, "n0.0")
    surroundings.caller_connected(-99.0)
    made.setup_sent(0.0, CALL, PATIENCE, idempotent, "n0.0", FIELDS)
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


def drained_at(at, surroundings):
    """Whether a set-up at second 20 breaks the rule, with the drain at `at` and the process as it is made."""
    made = checker()
    surroundings(made.of("n0"))
    made.engine_drained(at, A)
    made.setup_sent(20.0, "b", 9.0, True, "n0.1")
    made.attempt(20.0, "b", A, 0.0)
    return rules(made) == [Rule.DRAINED]


def replaced(surroundings):
    surroundings.process_started(10.0, "n0.1", replaces=True)
    surroundings.process_ready(15.0, "n0.1")


def test_a_drain_counts_as_told_by_what_its_own_process_knew():
    """What a process is excused by excuses no other, and for no longer than the pages say."""

    def started(of):
        of.process_started(10.0, "n0.1")
        of.process_ready(11.0, "n0.1")

    def silent(of):
        started(of)
        of.silences.append((12.0, 16.0))

    cases = [
        (started, 17.9, True),
        (started, 18.1, False),
        (started, 9.0, True),  # it stood in the list of its start
        (started, 10.5, True),  # while it started: told as it follows the board
        (silent, 13.0, True),  # told at 16
        (silent, 15.9, True),
        (replaced, 9.0, True),
        (replaced, 14.0, True),  # told from BINDING_AFTER the readiness on: at 17
    ]
    for surroundings, at, broken in cases:
        assert drained_at(at, surroundings) is broken, (surroundings.__name__, at)
    assert drained_at(16.5, lambda of: (started(of), of.silences.append((16.0, 19.0)))) is False
    assert drained_at(10.9, lambda of: (started(of), of.silences.append((10.8, 99.0)))) is True  # TOLD_AFTER
    assert drained_at(12.0, lambda of: (started(of), of.silences.append((11.5, 99.0)))) is False
    # A board that is silent all through a start: told at the end of the silence, not as the process is ready.
    assert drained_at(10.5, lambda of: (started(of), of.silences.append((8.0, 17.9)))) is True
    assert drained_at(10.5, lambda of: (started(of), of.silences.append((8.0, 18.1)))) is True  # TOLD_AFTER
    assert drained_at(11.5, lambda of: (started(of), of.silences.append((8.0, 18.1)))) is False
    made = checker()
    replaced(made.of("n0"))
    assert made.of("n0").told_at("n0.0", 14.0).at == 15.0 + BINDING_AFTER  # of both, while they are two
    assert made.of("n0").told_at("n0.0", 9.9).at == 9.9
    started(made.of("n1"))  # another softswitch: no excuse for this one
    assert made.of("n0").told_at("n0.0", 9.9).excused is False
    made.of("n0").silences.append((20.0, 99.0))
    assert made.of("n0").told_at("n0.0", 21.0).at == 21.0 + TOLD_AFTER


def test_a_release_that_is_not_passed_on():
    made = checker()
    established(made)
    made.engine_released(1.0, CALL)
    made.advance(1.0 + RELEASE_WITHIN, LAG)
    assert rules(made) == []
    made.advance(1.1 + RELEASE_WITHIN, LAG)
    assert rules(made) == [Rule.RELEASED]


def test_a_release_in_time_one_too_late_and_one_while_no_caller_is_connected():
    made = checker()
    established(made)
    made.engine_released(1.0, CALL)
    made.caller_released(1.5, CALL)
    made.advance(20.0, LAG)
    assert rules(made) == []
    made = checker()
    established(made)
    made.engine_released(1.0, CALL)
    made.caller_released(1.1 + RELEASE_WITHIN, CALL)  # it came, though late
    made.advance(20.0, LAG)
    assert rules(made) == [Rule.RELEASED]
    made = checker()
    established(made)
    made.of("n1").caller_disconnected(0.5)  # another softswitch's
    made.of("n0").caller_disconnected(0.5)
    made.of("n0").caller_connected(1.2)
    made.engine_released(1.0, CALL)
    made.advance(1.1 + RELEASE_WITHIN, LAG)
    made.advance(1.0 + RELEASE_AT_LAST, LAG)
    assert rules(made) == []
    made.advance(1.1 + RELEASE_AT_LAST, LAG)
    assert rules(made) == [Rule.RELEASED]
    assert made.excused[Rule.RELEASED] == made.judged[Rule.RELEASED] == 1


def test_a_callers_release_that_its_engine_never_hears_of():
    for settle, broken in (
        (lambda made: None, [Rule.TO_ENGINE]),
        (lambda made: made.engine_told(2.0, CALL), []),
        (lambda made: made.engine_released(2.0, CALL), []),  # it ended the call itself
        (lambda made: made.engine_stopped(A), []),  # and its calls with it
    ):
        made = checker()
        established(made)
        made.caller_released_call(1.0, CALL)
        settle(made)
        made.advance(1.1 + RELEASE_AT_LAST, LAG)
        assert rules(made) == broken


def test_an_attempt_after_its_caller_left():
    for after, broken in ((LEFT_ALLOWANCE - 0.01, []), (LEFT_ALLOWANCE + 0.05, [Rule.LEFT])):
        made = checker()
        made.caller_left(0.2, CALL)
        made.attempt(0.2 + after, CALL, A, 0.0)
        assert rules(made) == broken


def test_a_set_up_that_carries_a_longer_wait_or_other_fields():
    for at, time_left, broken in ((0.4, 0.75, []), (0.4, 0.77, [Rule.DEADLINE])):
        made = checker()
        made.setup_read(at, CALL, FIELDS, time_left, LAG)
        assert rules(made) == broken
    for fields in (
        SetupFields("class-1", "77", b"v=0"),
        SetupFields("class-0", "78", b"v=0"),
        SetupFields("class-0", "77", b""),
    ):
        made = checker()
        made.setup_read(0.1, CALL, fields, 0.5, LAG)
        assert rules(made) == [Rule.CHANGED]


def test_an_error_needs_no_quiet_time_and_may_have_run():
    made = checker(idempotent=False)
    made.attempt(0.1, CALL, A, LAG)
    made.attempt_ended(0.2, CALL, A, "error", needs_quiet=False)
    attempt(made, 0.2, B, 0.3)
    assert rules(made) == [Rule.REPEATED]


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
    plans = [generate_plan(seed, SECONDS) for seed in range(60)]
    assert plans == [generate_plan(seed, SECONDS) for seed in range(60)]
    assert {episode.signals for plan in plans for episode in plan.signals} == set(Signals)
    assert {fault.fault for plan in plans for fault in plan.faults} == set(EngineFault)
    assert {len(plan.crowds) for plan in plans} == {0, 1}
    assert all(3.0 <= seconds <= 15.0 for plan in plans for _, _, seconds in plan.pressure.drains)
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
    assert seen["answers"] == seen["calls"] - seen["crossed"] - seen["left"] > 300
    assert seen["releases"] > 200
    assert sum(seen["signals"].values()) >= 3
    assert done.returncode == 0


@pytest.mark.parametrize("seed", [25])
def test_a_replacement_in_a_crowd_keeps_to_its_descriptors(seed):
    command = [
        sys.executable,
        "-m",
        "softswitch.cli",
        "soak",
        "--seed",
        str(seed),
        "--seconds",
        "15",
        "--json",
    ]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=SECONDS + 60)
    assert orjson.loads(done.stdout)["broken"] == []


@pytest.mark.parametrize("plant", ["drain-taken-for-ready", "no-quiet-time"])
def test_a_planted_fault_is_seen(plant):
    """The others, and more seeds, by hand: docs/soak.md."""
    seed, seconds, rule = PLANTED[plant]
    command = [sys.executable, "-m", "softswitch.cli", "soak", "--seed", str(seed), "--seconds", seconds]
    done = subprocess.run(
        [*command, "--plant", plant, "--json"], cwd=ROOT, capture_output=True, text=True, timeout=SECONDS + 60
    )
    assert rule.value in {broken["rule"] for broken in orjson.loads(done.stdout)["broken"]}, done.stderr[
        -2000:
    ]
    assert done.returncode == 1
