"""The soak: its checker detects each violation, plans depend on the seed alone, and two soaks pass."""

import subprocess
import sys

import orjson
import pytest
from support.harness import ROOT

from softswitch.standin.soak.checker import (
    ABANDON_ALLOWANCE,
    ANSWER_ALLOWANCE,
    CROSSING_WINDOW,
    DRAIN_ALLOWANCE,
    MAX_RELEASE_TIMEOUT,
    RELEASE_TIMEOUT,
    Checker,
    Limits,
    Rule,
    SetupFields,
)
from softswitch.standin.soak.plan import EngineFault, Signals, generate_plan
from softswitch.standin.soak.surroundings import MAX_NOTIFICATION_DELAY, REPLACEMENT_DELAY

CALL, A, B = "00000000000000aa", "s-00000001", "s-00000002"
FIELDS = SetupFields("class-0", "77", b"v=0")
PATIENCE, RETRY_DELAY, LAG = 1.0, 0.2, 0.01  # s; PATIENCE: timeout of the caller
SECONDS = 20.0  # length of the soaks run here
INJECTED_FAULTS = {  # seed, length in s, and the violated rule
    "drain-taken-for-ready": (102, "12", Rule.DRAINED),
    "no-quiet-time": (112, "12", Rule.QUIET_TIME),
}


def make_checker(idempotent=True):
    checker = Checker(RETRY_DELAY, max_attempts=2)
    history = checker.history_of("n0")
    history.process_started(-100.0, "n0.0")
    history.process_ready(-99.0, "n0.0")
    history.caller_connected(-99.0)
    checker.setup_sent(0.0, CALL, PATIENCE, idempotent, "n0.0", FIELDS)
    return checker


def violated_rules(checker):
    return [violation.rule for violation in checker.violations]


def attempt(checker, at, engine, ended_at=None, may_have_run=True):
    checker.attempt_received(at, CALL, engine, LAG)
    if ended_at is not None:
        checker.attempt_ended(ended_at, CALL, engine, "over", may_have_run)


def established(checker, at=0.1):
    attempt(checker, at, A, at)
    checker.answer_received(at, CALL, 200, LAG)


# For each rule: a violation, and the closest case that is allowed.


def test_a_late_or_missing_answer_is_a_violation():
    for at, expected in (
        (PATIENCE + ANSWER_ALLOWANCE, []),
        (PATIENCE + ANSWER_ALLOWANCE + 0.1, [Rule.ANSWERED]),
    ):
        checker = make_checker()
        checker.answer_received(at, CALL, 503, LAG)
        assert violated_rules(checker) == expected
    checker = make_checker()
    checker.answer_timed_out(PATIENCE + ANSWER_ALLOWANCE, CALL)
    checker.answer_received(PATIENCE + 1.0, CALL, 503, LAG)  # not counted again
    assert violated_rules(checker) == [Rule.ANSWERED]
    assert checker.violations[0].events == ("0.000 set-up, waits 1.000 s", "1.500 given up")


def test_a_slightly_late_answer_is_counted_and_allowed():
    checker = make_checker()
    checker.answer_received(PATIENCE + 0.1, CALL, 503, LAG)
    assert (checker.late_answers, checker.violations) == (1, [])


def test_a_second_final_answer_is_a_violation():
    checker = make_checker()
    checker.answer_received(0.1, CALL, 200, LAG)
    checker.answer_received(0.2, CALL, 503, LAG)
    assert violated_rules(checker) == [Rule.ONE_ANSWER]


@pytest.mark.parametrize(
    ("closed_at", "killed", "stop_requested_at", "expected"),
    [
        (0.5, False, None, [Rule.LOST]),
        (CROSSING_WINDOW / 2, False, None, []),  # the setup may not have been read
        (0.5, True, -0.5, []),  # sent 0.5 s after SIGTERM: exempt up to 0.7 s
        (0.5, True, -0.8, [Rule.LOST]),  # sent 0.8 s after SIGTERM
        (0.5, False, -0.5, [Rule.LOST]),  # a connection closed without SIGKILL is not exempt
    ],
)
def test_a_setup_that_is_unanswered_when_its_connection_closes_is_a_violation(
    closed_at, killed, stop_requested_at, expected
):
    checker = make_checker()
    if stop_requested_at is not None:
        checker.stop_requested(stop_requested_at, "n0.0")
    checker.connection_closed(closed_at, [CALL], killed)
    assert violated_rules(checker) == expected


def test_two_attempts_in_flight_at_once_are_a_violation():
    checker = make_checker()
    attempt(checker, 0.1, A)
    attempt(checker, 0.4, B)
    checker.advance(1.0, LAG)
    assert violated_rules(checker) == [Rule.ONE_ATTEMPT]
    checker = make_checker()
    attempt(checker, 0.1, A)
    attempt(checker, 0.4, B)
    checker.attempt_ended(0.405, CALL, A, "withdrawn")  # read later, from another connection
    checker.advance(1.0, LAG)
    assert violated_rules(checker) == []


@pytest.mark.parametrize(
    ("gap", "may_have_run", "expected"),
    [
        (RETRY_DELAY - 0.05, True, [Rule.QUIET_TIME]),
        (RETRY_DELAY, True, []),
        (0.0, False, []),  # a rejection: nothing ran
    ],
)
def test_an_attempt_within_the_retry_delay_is_a_violation(gap, may_have_run, expected):
    checker = make_checker()
    attempt(checker, 0.1, A, 0.2, may_have_run)
    attempt(checker, 0.2 + gap, B, 0.9)
    checker.advance(2.0, LAG)
    assert violated_rules(checker) == expected


def test_more_attempts_than_the_settings_allow_are_a_violation():
    checker = make_checker()
    for n in range(3):
        attempt(checker, n / 10, A, n / 10, may_have_run=False)
    assert violated_rules(checker) == [Rule.ATTEMPTS]


def test_a_retry_of_a_call_that_must_not_run_twice_is_a_violation():
    for may_have_run, expected in ((True, [Rule.REPEATED]), (False, [])):
        checker = make_checker(idempotent=False)
        attempt(checker, 0.1, A, 0.2, may_have_run)
        attempt(checker, 0.5, B, 0.6)
        assert violated_rules(checker) == expected


def test_a_setup_long_after_the_drain_is_a_violation():
    for after, expected in ((DRAIN_ALLOWANCE, []), (DRAIN_ALLOWANCE + 0.1, [Rule.DRAINED])):
        checker = make_checker()
        checker.engine_drained(-10.0, A)
        attempt(checker, -10.0 + after, A, 0.0)
        assert violated_rules(checker) == expected


def violates_drain_rule(at, prepare):
    """Whether a setup at second 20 violates the rule after a drain at `at`; `prepare` changes the history."""
    checker = make_checker()
    prepare(checker.history_of("n0"))
    checker.engine_drained(at, A)
    checker.setup_sent(20.0, "b", 9.0, True, "n0.1")
    checker.attempt_received(20.0, "b", A, 0.0)
    return violated_rules(checker) == [Rule.DRAINED]


def replaced(history):
    history.process_started(10.0, "n0.1", replaces=True)
    history.process_ready(15.0, "n0.1")


def test_when_a_process_counts_as_notified_of_a_drain():
    """An exemption applies to one process only, and for no longer than the documentation says."""

    def started(history):
        history.process_started(10.0, "n0.1")
        history.process_ready(11.0, "n0.1")

    def silent(history):
        started(history)
        history.silences.append((12.0, 16.0))

    cases = [
        (started, 17.9, True),
        (started, 18.1, False),
        (started, 9.0, True),  # the engine list at its start has the drain
        (started, 10.5, True),  # during its start: notified when it is ready
        (silent, 13.0, True),  # notified at 16
        (silent, 15.9, True),
        (replaced, 9.0, True),
        (replaced, 14.0, True),  # notified REPLACEMENT_DELAY after it is ready, at 17
    ]
    for prepare, at, violated in cases:
        assert violates_drain_rule(at, prepare) is violated, (prepare.__name__, at)
    assert violates_drain_rule(16.5, lambda s: (started(s), s.silences.append((16.0, 19.0)))) is False
    # A longer silence: notified after MAX_NOTIFICATION_DELAY.
    assert violates_drain_rule(10.9, lambda s: (started(s), s.silences.append((10.8, 99.0)))) is True
    assert violates_drain_rule(12.0, lambda s: (started(s), s.silences.append((11.5, 99.0)))) is False
    # The watch server is silent during the whole start: the process is notified at the end of the silence,
    # not when it becomes ready.
    assert violates_drain_rule(10.5, lambda s: (started(s), s.silences.append((8.0, 17.9)))) is True
    # A longer silence: notified after MAX_NOTIFICATION_DELAY.
    assert violates_drain_rule(10.5, lambda s: (started(s), s.silences.append((8.0, 18.1)))) is True
    assert violates_drain_rule(11.5, lambda s: (started(s), s.silences.append((8.0, 18.1)))) is False
    checker = make_checker()
    replaced(checker.history_of("n0"))
    # The delay applies to both processes during the replacement.
    assert checker.history_of("n0").notified_at("n0.0", 14.0).at == 15.0 + REPLACEMENT_DELAY
    assert checker.history_of("n0").notified_at("n0.0", 9.9).at == 9.9
    started(checker.history_of("n1"))  # another softswitch's process exempts nothing here
    assert checker.history_of("n0").notified_at("n0.0", 9.9).exempt is False
    checker.history_of("n0").silences.append((20.0, 99.0))
    assert checker.history_of("n0").notified_at("n0.0", 21.0).at == 21.0 + MAX_NOTIFICATION_DELAY


def test_a_release_that_is_not_forwarded_is_a_violation():
    checker = make_checker()
    established(checker)
    checker.engine_released(1.0, CALL)
    checker.advance(1.0 + RELEASE_TIMEOUT, LAG)
    assert violated_rules(checker) == []
    checker.advance(1.1 + RELEASE_TIMEOUT, LAG)
    assert violated_rules(checker) == [Rule.RELEASED]


def test_a_late_release_is_a_violation_and_has_more_time_without_a_connected_caller():
    checker = make_checker()
    established(checker)
    checker.engine_released(1.0, CALL)
    checker.caller_notified(1.5, CALL)
    checker.advance(20.0, LAG)
    assert violated_rules(checker) == []
    checker = make_checker()
    established(checker)
    checker.engine_released(1.0, CALL)
    checker.caller_notified(1.1 + RELEASE_TIMEOUT, CALL)  # delivered, but late
    checker.advance(20.0, LAG)
    assert violated_rules(checker) == [Rule.RELEASED]
    checker = make_checker()
    established(checker)
    checker.history_of("n1").caller_disconnected(0.5)  # another softswitch
    checker.history_of("n0").caller_disconnected(0.5)
    checker.history_of("n0").caller_connected(1.2)
    checker.engine_released(1.0, CALL)
    checker.advance(1.1 + RELEASE_TIMEOUT, LAG)
    checker.advance(1.0 + MAX_RELEASE_TIMEOUT, LAG)
    assert violated_rules(checker) == []
    checker.advance(1.1 + MAX_RELEASE_TIMEOUT, LAG)
    assert violated_rules(checker) == [Rule.RELEASED]
    assert checker.exempt[Rule.RELEASED] == checker.checked[Rule.RELEASED] == 1


def test_a_callers_release_that_does_not_reach_the_engine_is_a_violation():
    for end_call, expected in (
        (lambda checker: None, [Rule.TO_ENGINE]),
        (lambda checker: checker.engine_notified(2.0, CALL), []),
        (lambda checker: checker.engine_released(2.0, CALL), []),  # the engine ends the call itself
        (lambda checker: checker.engine_stopped(A), []),  # its calls end with it
    ):
        checker = make_checker()
        established(checker)
        checker.caller_hung_up(1.0, CALL)
        end_call(checker)
        checker.advance(1.1 + MAX_RELEASE_TIMEOUT, LAG)
        assert violated_rules(checker) == expected


def test_an_attempt_after_the_caller_abandoned_the_setup_is_a_violation():
    for after, expected in ((ABANDON_ALLOWANCE - 0.01, []), (ABANDON_ALLOWANCE + 0.05, [Rule.LEFT])):
        checker = make_checker()
        checker.caller_abandoned(0.2, CALL)
        checker.attempt_received(0.2 + after, CALL, A, 0.0)
        assert violated_rules(checker) == expected


def test_a_setup_with_a_longer_time_limit_or_changed_fields_is_a_violation():
    for at, remaining, expected in ((0.4, 0.75, []), (0.4, 0.77, [Rule.DEADLINE])):
        checker = make_checker()
        checker.setup_fields_received(at, CALL, FIELDS, remaining, LAG)
        assert violated_rules(checker) == expected
    for fields in (
        SetupFields("class-1", "77", b"v=0"),
        SetupFields("class-0", "78", b"v=0"),
        SetupFields("class-0", "77", b""),
    ):
        checker = make_checker()
        checker.setup_fields_received(0.1, CALL, fields, 0.5, LAG)
        assert violated_rules(checker) == [Rule.CHANGED]


def test_an_error_needs_no_retry_delay_and_may_have_run():
    checker = make_checker(idempotent=False)
    checker.attempt_received(0.1, CALL, A, LAG)
    checker.attempt_ended(0.2, CALL, A, "error", needs_retry_delay=False)
    attempt(checker, 0.2, B, 0.3)
    assert violated_rules(checker) == [Rule.REPEATED]


def test_exceeded_limits_a_failed_exit_and_a_late_start_are_violations():
    checker = make_checker()
    limits = Limits(descriptors=128, memory_mb=32)
    checker.process_sampled(0.0, "n0.0", 128, 32.0, limits)
    checker.process_exited(0.0, "n0.0", 0)
    assert violated_rules(checker) == []
    checker.process_sampled(0.0, "n0.0", 129, 33.0, limits)
    checker.process_exited(0.0, "n0.0", -9)
    checker.process_not_ready(0.0, "n0.1", 6.0)
    assert violated_rules(checker) == [Rule.DESCRIPTORS, Rule.MEMORY, Rule.EXIT, Rule.READY]


def test_every_rule_is_violated_in_a_test_above():
    source = (ROOT / "tests" / "test_soak.py").read_text()
    assert all(f"Rule.{rule.name}" in source for rule in Rule)


def test_a_seed_always_generates_the_same_plan_and_seeds_cover_all_types():
    plans = [generate_plan(seed, SECONDS) for seed in range(60)]
    assert plans == [generate_plan(seed, SECONDS) for seed in range(60)]
    assert {episode.signals for plan in plans for episode in plan.signals} == set(Signals)
    assert {fault.fault for plan in plans for fault in plan.faults} == set(EngineFault)
    assert {len(plan.crowds) for plan in plans} == {0, 1}
    assert all(3.0 <= seconds <= 15.0 for plan in plans for _, _, seconds in plan.pressure.drains)
    assert {len(plan.silent_board) for plan in plans} == {0, 1}


@pytest.mark.parametrize("seed", [3, 8])
def test_a_soak_violates_no_rule(seed):
    command = [sys.executable, "-m", "softswitch.cli", "soak", "--seed", str(seed), "--seconds", str(SECONDS)]
    process = subprocess.run(
        [*command, "--json"], cwd=ROOT, capture_output=True, text=True, timeout=SECONDS + 60
    )
    assert process.stdout, process.stderr[-2000:]
    report = orjson.loads(process.stdout)
    assert report["broken"] == [], report["broken"][:3]
    assert report["answers"] == report["calls"] - report["crossed"] - report["left"] > 300
    assert report["releases"] > 200
    assert sum(report["signals"].values()) >= 3
    assert process.returncode == 0


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
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=SECONDS + 60)
    assert orjson.loads(process.stdout)["broken"] == []


@pytest.mark.parametrize("fault", ["drain-taken-for-ready", "no-quiet-time"])
def test_an_injected_fault_is_detected(fault):
    """docs/soak.md has the commands for the other faults and more seeds, which are run by hand."""
    seed, seconds, rule = INJECTED_FAULTS[fault]
    command = [sys.executable, "-m", "softswitch.cli", "soak", "--seed", str(seed), "--seconds", seconds]
    process = subprocess.run(
        [*command, "--plant", fault, "--json"], cwd=ROOT, capture_output=True, text=True, timeout=SECONDS + 60
    )
    assert rule.value in {violation["rule"] for violation in orjson.loads(process.stdout)["broken"]}, (
        process.stderr[-2000:]
    )
    assert process.returncode == 1
