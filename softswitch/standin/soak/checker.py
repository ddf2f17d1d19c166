"""Checks the traffic of the softswitches, seen from outside, against the rules that each of them must keep.

The checker uses no sockets and no clock: the stand-ins report each event with its time in seconds.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

from softswitch.standin.soak.surroundings import SoftswitchHistory
from softswitch.standin.soak.timeline import Timeline, softswitch_of

ANSWER_ALLOWANCE = 0.5  # s after the deadline; an answer within it counts as late, a later one is a violation
ORDER_ALLOWANCE = 0.1  # s within which events of two connections may be read out of order
DRAIN_ALLOWANCE = 2.0  # s after a softswitch is notified of a drain in which it may still send attempts
RELEASE_TIMEOUT = 1.0  # s until a caller must receive its engine's release, if callers stay connected
# s for the same if callers don't stay connected, and s until an engine must receive a caller's release.
MAX_RELEASE_TIMEOUT = 8.0
ABANDON_ALLOWANCE = 0.1  # s after a caller abandons a setup in which an attempt may still reach an engine
DEADLINE_ALLOWANCE = 0.15  # s by which the time limit sent to an engine may exceed the caller's
# s after SIGTERM; SIGKILL may leave a setup sent until then unanswered, but no setup that was sent later.
SHUTDOWN_ALLOWANCE = 0.7
# s before a connection closes; a setup sent in this time may cross with the close and never be read.
CROSSING_WINDOW = 0.05
MAX_CALL_EVENTS = 24  # recorded per call, for the report of a violation
MAX_CALLS = 20_000  # call records retained, for late events of ended calls


class Rule(StrEnum):
    """The rules. The value describes the violation, and is written to reports.

    In the values, "patience" is the answer timeout, "quiet time" the retry delay, "out" means in flight,
    "repeated" retried, "left" abandoned its setup, and "told" received.
    """

    ANSWERED = "no answer before the patience ended"
    ONE_ANSWER = "a second final answer"
    LOST = "unanswered at the end of its connection"
    ONE_ATTEMPT = "two attempts out at once"
    QUIET_TIME = "an attempt within the quiet time"
    ATTEMPTS = "more attempts than the settings allow"
    REPEATED = "repeated though an attempt may have run"
    DRAINED = "a set-up over 2 s after the drain"
    RELEASED = "release not passed on in time"
    TO_ENGINE = "caller's release not passed on to its engine"
    LEFT = "an attempt after its caller had left"
    DEADLINE = "an engine told a longer wait than the caller's"
    CHANGED = "a set-up changed on its way"
    DESCRIPTORS = "more descriptors than the limit"
    MEMORY = "more memory than the limit"
    EXIT = "ended otherwise than with 0"
    READY = "not ready in time"


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violated rule, with the last events of the call or process that violated it."""

    rule: Rule
    at: float  # s
    who: str  # id of a call, or name of a process of a softswitch
    detail: str
    events: tuple[str, ...] = ()
    surroundings: tuple[str, ...] = ()  # the timeline of the call's softswitch since the setup


@dataclass(slots=True)
class Attempt:
    """An attempt, as the engine sees it."""

    engine: str
    received_at: float
    ended_at: float | None = None
    may_have_run: bool = True  # the engine may have processed the call: only idempotent calls may be retried
    needs_retry_delay: bool = True  # after a timeout, a reset or a cancellation


@dataclass(slots=True)
class SetupFields:
    """The fields of a setup that must reach the engine unchanged."""

    call_class: str
    number: str
    description: bytes


@dataclass(slots=True)
class CallRecord:
    """A call, as its caller and the engines see it."""

    sent_at: float
    answer_timeout: float
    idempotent: bool
    process: str  # process of a softswitch that received the setup
    answered_at: float | None = None
    # When its caller abandoned it, or its missing answer was counted. No answer is expected afterwards.
    abandoned_at: float | None = None
    established: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    # Times: the engine sent its release, the caller received it, the caller sent a release.
    released_by_engine: float | None = None
    released_to_caller: float | None = None
    released_by_caller: float | None = None
    ended_at_engine: bool = False  # the engine received or sent a release, or has stopped
    fields: SetupFields | None = None
    events: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_CALL_EVENTS))


class Checker:
    """Holds the recorded events and the violations found."""

    def __init__(self, retry_delay: float, max_attempts: int) -> None:
        self.retry_delay = retry_delay  # s
        self.max_attempts = max_attempts
        self.calls: dict[str, CallRecord] = {}
        self.timeline = Timeline()
        self.violations: list[RuleViolation] = []
        self.setups = 0
        self.answers = 0
        self.late_answers = 0  # answers up to ANSWER_ALLOWANCE after the deadline
        self.abandoned = 0  # setups that their callers abandoned: no answer is expected
        self.crossed_setups = 0  # unanswered setups sent within CROSSING_WINDOW of their connection's end
        self.attempts = 0
        self.releases = 0
        self.drained_at: dict[str, float] = {}  # by engine: when the watch server announced its drain
        self.stop_requested_at: dict[str, float] = {}  # by process: when SIGTERM was sent
        self.checked: Counter[Rule] = Counter()  # how often each rule was checked
        self.exempt: Counter[Rule] = Counter()  # how many of these checks were exempt or had a wider limit
        self.histories: dict[str, SoftswitchHistory] = {}  # by softswitch
        self._pending_releases: deque[tuple[float, str]] = deque()  # (deadline, call), to callers
        self._pending_engine_releases: deque[tuple[float, str]] = deque()  # (deadline, call), to engines
        # (arrival of the later attempt, call, earlier attempt)
        self._overlapping_attempts: deque[tuple[float, str, Attempt]] = deque()

    # Softswitches and engines

    def history_of(self, process: str) -> SoftswitchHistory:
        """Returns the history of a softswitch, given its name or that of one of its processes."""
        return self.histories.setdefault(softswitch_of(process), SoftswitchHistory())

    def stop_requested(self, at: float, process: str) -> None:
        """Records the first SIGTERM to a process."""
        self.stop_requested_at.setdefault(process, at)

    def watch_server_silent(self, at: float, until: float, softswitch: str) -> None:
        """Records that the softswitch's watch server sends nothing from `at` to `until`."""
        self.history_of(softswitch).silences.append((at, until))

    def engine_drained(self, at: float, engine: str) -> None:
        """Records that the watch server announced the drain of an engine."""
        self.drained_at[engine] = at

    def engine_stopped(self, engine: str) -> None:
        """Records that an engine crashed or ended, and its calls with it."""
        for record in self.calls.values():
            if record.attempts and record.attempts[-1].engine == engine:
                record.ended_at_engine = True

    def engine_active(self, engine: str) -> None:
        """Records that the watch server announced the engine as active."""
        self.drained_at.pop(engine, None)

    # Callers

    def setup_sent(
        self,
        at: float,
        call: str,
        answer_timeout: float,
        idempotent: bool,
        process: str,
        fields: SetupFields | None = None,
    ) -> None:
        """Records a setup written to a connection."""
        self.setups += 1
        self.calls[call] = CallRecord(at, answer_timeout, idempotent, process, fields=fields)
        self.note(at, call, f"set-up, waits {answer_timeout:.3f} s")
        if len(self.calls) > MAX_CALLS:
            del self.calls[next(iter(self.calls))]

    def answer_received(self, at: float, call: str, code: int, lag: float) -> None:
        """Checks a final answer. `lag`: s by which the stand-in may have read it late."""
        record = self.note(at, call, f"answer {code}")
        if record is None:
            return
        self.checked[Rule.ONE_ANSWER] += 1
        if record.answered_at is not None:
            self._report_violation(Rule.ONE_ANSWER, at, call, f"{code} after another")
            return
        record.answered_at = at
        record.established = code == 200
        if record.abandoned_at is None:
            self.answers += 1
            self.checked[Rule.ANSWERED] += 1
            late = at - record.sent_at - record.answer_timeout
            self.late_answers += late > lag
            if late > ANSWER_ALLOWANCE + lag:
                self._report_violation(Rule.ANSWERED, at, call, f"{late * 1000:.0f} ms late")

    def answer_timed_out(self, at: float, call: str) -> None:
        """Records that the caller received no answer until ANSWER_ALLOWANCE after the deadline."""
        record = self.note(at, call, "given up")
        if record is not None and record.answered_at is None and record.abandoned_at is None:
            record.abandoned_at = at
            self.checked[Rule.ANSWERED] += 1
            self._report_violation(Rule.ANSWERED, at, call, "no answer")

    def caller_abandoned(self, at: float, call: str) -> None:
        """Records that the caller abandoned the setup before its deadline: no answer is expected."""
        record = self.note(at, call, "abandoned by its caller")
        if record is not None and record.answered_at is None and record.abandoned_at is None:
            self.checked[Rule.LEFT] += 1
            self.abandoned += 1
            record.abandoned_at = at

    def connection_closed(self, at: float, calls: list[str], killed: bool) -> None:
        """Checks the unanswered setups of a closed caller connection.

        `killed`: it closed because its softswitch process received SIGKILL.
        """
        for call in calls:
            record = self.note(at, call, "caller's connection closed")
            if record is None or record.answered_at is not None or record.abandoned_at is not None:
                continue
            record.abandoned_at = at
            stopped = self.stop_requested_at.get(record.process)
            self.checked[Rule.LOST] += 1
            is_loss = stopped is None or record.sent_at - stopped > SHUTDOWN_ALLOWANCE
            if killed and not is_loss:
                self.exempt[Rule.LOST] += 1
                continue  # the platform's rules allow SIGKILL to lose setups sent up to then
            if not killed and at - record.sent_at < CROSSING_WINDOW:
                self.crossed_setups += 1
                continue
            self._report_violation(Rule.LOST, at, call, "by SIGKILL" if killed else "closed")

    def caller_notified(self, at: float, call: str) -> None:
        """Records that a caller received the release of its call."""
        record = self.note(at, call, "release received by its caller")
        if record is not None and record.released_to_caller is None:
            record.released_to_caller = at

    def caller_hung_up(self, at: float, call: str) -> None:
        """Records that the caller released an established call."""
        record = self.note(at, call, "released by its caller")
        if record is None or record.released_by_caller is not None or record.ended_at_engine:
            return
        record.released_by_caller = at
        self._pending_engine_releases.append((at + MAX_RELEASE_TIMEOUT, call))

    # Engines

    def attempt_received(self, at: float, call: str, engine: str, lag: float) -> None:
        """Checks a setup that an engine received. `lag`: as in `answer_received`."""
        self.attempts += 1
        record = self.note(at, call, f"attempt at {engine}")
        if record is None:
            return
        self._check_drain(at - lag, call, engine, record)
        previous = record.attempts[-1] if record.attempts else None
        record.attempts.append(Attempt(engine, at))
        if record.abandoned_at is not None and record.answered_at is None:
            self._check_abandoned(at - lag, call, record.abandoned_at)
        if len(record.attempts) >= self.max_attempts:
            self.checked[Rule.ATTEMPTS] += 1
        if len(record.attempts) > self.max_attempts:
            self._report_violation(Rule.ATTEMPTS, at, call, f"{len(record.attempts)} of {self.max_attempts}")
        if previous is not None:
            self._check_retry(at, call, record, previous, lag)

    def _check_retry(self, at: float, call: str, record: CallRecord, previous: Attempt, lag: float) -> None:
        self.checked[Rule.ONE_ATTEMPT] += 1
        if previous.ended_at is None:  # its end may be read later, from another connection
            self._overlapping_attempts.append((at, call, previous))
        elif previous.needs_retry_delay and previous.may_have_run:
            self.checked[Rule.QUIET_TIME] += 1
            if at - previous.ended_at + lag < self.retry_delay:
                elapsed_ms = (at - previous.ended_at) * 1000
                self._report_violation(
                    Rule.QUIET_TIME, at, call, f"{elapsed_ms:.0f} ms after the end of the previous attempt"
                )
        if not record.idempotent:
            self.checked[Rule.REPEATED] += 1
            if any(a.may_have_run for a in record.attempts[:-1]):
                self._report_violation(Rule.REPEATED, at, call, f"attempt {len(record.attempts)}")

    def _check_abandoned(self, at: float, call: str, abandoned_at: float) -> None:
        if at - abandoned_at > ABANDON_ALLOWANCE:
            self._report_violation(
                Rule.LEFT, at, call, f"{(at - abandoned_at) * 1000:.0f} ms after the caller abandoned it"
            )

    def _check_drain(self, at: float, call: str, engine: str, record: CallRecord) -> None:
        history = self.history_of(record.process)
        for draining_engine, drained_at in self.drained_at.items():
            notification = history.notified_at(record.process, drained_at)
            if at <= notification.at + DRAIN_ALLOWANCE:
                continue
            # Counted for each draining engine, even if the attempt went to another one.
            self.checked[Rule.DRAINED] += 1
            self.exempt[Rule.DRAINED] += notification.exempt
            if draining_engine == engine:
                detail = f"{at - notification.at:.2f} s after the notification that {engine} drains"
                self._report_violation(Rule.DRAINED, at, call, detail)

    def setup_fields_received(
        self, at: float, call: str, fields: SetupFields, time_left: float, lag: float
    ) -> None:
        """Checks the fields of a setup. `time_left`: the caller's remaining time, as sent to the engine."""
        record = self.calls.get(call)
        if record is None:
            return
        self.checked[Rule.DEADLINE] += 1
        remaining = record.sent_at + record.answer_timeout - at
        if time_left > max(0.0, remaining) + DEADLINE_ALLOWANCE + lag:
            self._report_violation(
                Rule.DEADLINE, at, call, f"{time_left:.3f} s sent, {remaining:.3f} s remain"
            )
        if record.fields is not None:
            self.checked[Rule.CHANGED] += 1
            if record.fields != fields:
                self._report_violation(Rule.CHANGED, at, call, f"{record.fields} became {fields}")

    def attempt_ended(
        self,
        at: float,
        call: str,
        engine: str,
        outcome: str,
        may_have_run: bool = True,
        needs_retry_delay: bool = True,
    ) -> None:
        """Records the end of an attempt: withdrawn, answered, rejected, or its connection closed."""
        record = self.note(at, call, f"{outcome} at {engine}")
        for attempt in record.attempts if record is not None else ():
            if attempt.engine == engine and attempt.ended_at is None:
                attempt.ended_at = at
                attempt.may_have_run = may_have_run
                attempt.needs_retry_delay = needs_retry_delay

    def engine_released(self, at: float, call: str) -> None:
        """Records that an engine wrote the release of an established call to an open connection."""
        record = self.note(at, call, "released by its engine")
        if record is not None:
            record.ended_at_engine = True
        if record is None or not record.established or record.released_by_engine is not None:
            return
        self.releases += 1
        record.released_by_engine = at
        self._pending_releases.append((at + RELEASE_TIMEOUT, call))

    def engine_notified(self, at: float, call: str) -> None:
        """Records that an engine received the release of a call."""
        record = self.note(at, call, "release received by its engine")
        if record is not None:
            record.ended_at_engine = True

    # Processes

    def process_sampled(
        self, at: float, process: str, descriptors: int, memory_mb: float, limits: Limits
    ) -> None:
        """Checks the descriptors and memory of a process."""
        self.checked.update((Rule.DESCRIPTORS, Rule.MEMORY))
        if descriptors > limits.descriptors:
            self._report_violation(Rule.DESCRIPTORS, at, process, f"{descriptors} of {limits.descriptors}")
        if memory_mb > limits.memory_mb:
            self._report_violation(Rule.MEMORY, at, process, f"{memory_mb:.0f} of {limits.memory_mb} MB")

    def process_exited(self, at: float, process: str, code: int) -> None:
        """Checks the exit status of a process that was not killed."""
        self.checked[Rule.EXIT] += 1
        if code != 0:
            self._report_violation(Rule.EXIT, at, process, f"exit status {code}")

    def process_not_ready(self, at: float, process: str, within: float) -> None:
        """Reports a process that was not ready in time."""
        self.checked[Rule.READY] += 1
        self._report_violation(Rule.READY, at, process, f"within {within:.0f} s")

    def advance(self, now: float, lag: float) -> None:
        """Checks everything that is due by now. `lag`: as in `answer_received`."""
        for _ in range(len(self._pending_releases)):
            deadline, call = self._pending_releases.popleft()
            if now <= deadline + lag:
                self._pending_releases.append((deadline, call))
            else:
                self._check_release(now, deadline, call, lag)
        while self._pending_engine_releases and now > self._pending_engine_releases[0][0] + lag:
            self._check_engine_release(now, self._pending_engine_releases.popleft()[1])
        while self._overlapping_attempts and now - self._overlapping_attempts[0][0] > ORDER_ALLOWANCE + lag:
            self._check_overlap(*self._overlapping_attempts.popleft(), lag)

    def _check_release(self, now: float, deadline: float, call: str, lag: float) -> None:
        """Checks a release to a caller after RELEASE_TIMEOUT; if still missing, after MAX_RELEASE_TIMEOUT."""
        record = self.calls.get(call)
        if record is None or record.released_by_engine is None or record.released_by_caller is not None:
            return
        released, notified_at = record.released_by_engine, record.released_to_caller
        first_check = deadline < released + MAX_RELEASE_TIMEOUT
        # False if no caller was connected at some time within RELEASE_TIMEOUT of the release.
        connected = self.history_of(record.process).callers_connected(released, released + RELEASE_TIMEOUT)
        limit = RELEASE_TIMEOUT if connected else MAX_RELEASE_TIMEOUT
        if first_check:
            self.checked[Rule.RELEASED] += 1
            self.exempt[Rule.RELEASED] += not connected
        if (now if notified_at is None else notified_at) - released > limit + lag:
            self._report_violation(Rule.RELEASED, now, call, f"not within {limit:.0f} s")
        elif notified_at is None and first_check:
            self._pending_releases.append((released + MAX_RELEASE_TIMEOUT, call))

    def _check_engine_release(self, now: float, call: str) -> None:
        record = self.calls.get(call)
        self.checked[Rule.TO_ENGINE] += 1
        if record is not None and not record.ended_at_engine:
            self._report_violation(Rule.TO_ENGINE, now, call, f"not within {MAX_RELEASE_TIMEOUT:.0f} s")

    def _check_overlap(self, at: float, call: str, first: Attempt, lag: float) -> None:
        if first.ended_at is None or first.ended_at > at + lag:
            self._report_violation(
                Rule.ONE_ATTEMPT, at, call, f"an attempt was still in flight at {first.engine}"
            )

    def note(self, at: float, call: str, event: str) -> CallRecord | None:
        """Adds an event to a call's record, for reports. Returns the record, or None for an unknown call."""
        record = self.calls.get(call)
        if record is not None:
            record.events.append(f"{at:.3f} {event}")
        return record

    def _report_violation(self, rule: Rule, at: float, who: str, detail: str) -> None:
        record = self.calls.get(who)
        if record is None:
            self.violations.append(RuleViolation(rule, at, who, detail))
            return
        timeline = self.timeline.between(softswitch_of(record.process), record.sent_at, at)
        self.violations.append(RuleViolation(rule, at, who, detail, tuple(record.events), timeline))


@dataclass(frozen=True, slots=True)
class Limits:
    """Resource limits of a process."""

    descriptors: int
    memory_mb: int
