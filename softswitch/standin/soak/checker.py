"""Judges what is seen on the wire, from outside, against the rules that every softswitch keeps.

It knows no socket and reads no clock: whoever owns the wire tells it what was seen, with the time in seconds.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

from softswitch.standin.soak.surroundings import Surroundings
from softswitch.standin.soak.timeline import Timeline, softswitch_of

ANSWER_ALLOWANCE = 0.5  # s after the patience in which an answer only earns nothing; later the call is lost
ORDER_ALLOWANCE = 0.1  # s in which events of two connections may be read in another order than they came
DRAIN_ALLOWANCE = 2.0  # s after a drain was told, in which new attempts may still come
RELEASE_WITHIN = 1.0  # s from an engine's release to the caller's
RELEASE_AT_LAST = 8.0  # s, where no release could be sent; and from a caller's release to its engine's
LEFT_ALLOWANCE = 0.1  # s after its caller left, in which an attempt may still come
DEADLINE_ALLOWANCE = 0.15  # s by which an engine may be told a longer wait than the caller's
COUNTED_AFTER_STOP = 0.7  # s after SIGTERM; what comes later and is unanswered at SIGKILL is lost
# S by which a set-up may cross the end of its connection: it can't be told then whether it was read.
CROSSING = 0.05
KEPT_EVENTS = 24  # of one call, for the report of a broken rule
KEPT_CALLS = 20_000  # that are over, for what comes late


class Rule(StrEnum):
    """What has to hold."""

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
class Broken:
    """A rule that did not hold, and the last events of what it did not hold for."""

    rule: Rule
    at: float
    who: str  # a call, or a softswitch
    detail: str
    events: tuple[str, ...] = ()
    surroundings: tuple[str, ...] = ()  # of its softswitch, from the set-up on


@dataclass(slots=True)
class Attempt:
    """One attempt, as its engine sees it."""

    engine: str
    came: float
    ended: float | None = None
    may_have_run: bool = True
    needs_quiet: bool = True  # it timed out, was reset or was cancelled


@dataclass(slots=True)
class SetupFields:
    """What a set-up carries to its engine unchanged."""

    call_class: str
    number: str
    description: bytes


@dataclass(slots=True)
class CallRecord:
    """One call, as its caller and the engines see it."""

    sent: float
    patience: float
    idempotent: bool
    process: str
    answered: float | None = None
    left: float | None = None  # its caller waits no longer, or was judged
    established: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    released_by_engine: float | None = None
    released_to_caller: float | None = None
    released_by_caller: float | None = None
    over_at_engine: bool = False  # the engine was told, ended it itself, or is gone
    fields: SetupFields | None = None
    events: deque[str] = field(default_factory=lambda: deque(maxlen=KEPT_EVENTS))


class Checker:
    """Owner of all that was seen, and of the rules that were broken."""

    def __init__(self, clear_wait: float, max_attempts: int) -> None:
        self.clear_wait = clear_wait  # s
        self.max_attempts = max_attempts
        self.calls: dict[str, CallRecord] = {}
        self.timeline = Timeline()
        self.broken: list[Broken] = []
        self.taken = 0
        self.answers = 0
        self.late = 0  # answers within ANSWER_ALLOWANCE of the end of the patience
        self.left = 0  # set-ups that their callers gave up early: no answer is owed
        self.crossed = 0  # set-ups that crossed the end of their connection
        self.attempts = 0
        self.releases = 0
        self.drained: dict[str, float] = {}  # by engine, when it was told
        self.stopped: dict[str, float] = {}  # by process, when SIGTERM went to it
        self.judged: Counter[Rule] = Counter()  # how often each rule was looked at
        self.excused: Counter[Rule] = Counter()  # of these, with more allowed than usual
        self.surroundings: dict[str, Surroundings] = {}  # by softswitch
        self._awaited: deque[tuple[float, str]] = deque()  # releases: (by when, call)
        self._to_engines: deque[tuple[float, str]] = deque()  # callers' releases: (by when, call)
        self._doubles: deque[tuple[float, str, Attempt]] = deque()  # attempts that came beside this one

    # the surroundings

    def of(self, process: str) -> Surroundings:
        """What is known of the softswitch that a process belongs to; a softswitch may be named itself."""
        return self.surroundings.setdefault(softswitch_of(process), Surroundings())

    def stop_requested(self, at: float, process: str) -> None:
        """The first SIGTERM."""
        self.stopped.setdefault(process, at)

    def board_silent(self, at: float, until: float, softswitch: str) -> None:
        """What its board has to tell may not arrive before."""
        self.of(softswitch).silences.append((at, until))

    def engine_drained(self, at: float, engine: str) -> None:
        """The board told that it takes nothing new."""
        self.drained[engine] = at

    def engine_stopped(self, engine: str) -> None:
        """It crashed, or ended: its calls are gone."""
        for record in self.calls.values():
            if record.attempts and record.attempts[-1].engine == engine:
                record.over_at_engine = True

    def engine_back(self, engine: str) -> None:
        """The board told that it takes calls."""
        self.drained.pop(engine, None)

    # callers

    def setup_sent(
        self,
        at: float,
        call: str,
        patience: float,
        idempotent: bool,
        process: str,
        fields: SetupFields | None = None,
    ) -> None:
        """A set-up was written to a connection."""
        self.taken += 1
        self.calls[call] = CallRecord(at, patience, idempotent, process, fields=fields)
        self.note(at, call, f"set-up, waits {patience:.3f} s")
        if len(self.calls) > KEPT_CALLS:
            del self.calls[next(iter(self.calls))]

    def answered(self, at: float, call: str, code: int, lag: float) -> None:
        """A final answer came; `lag`: s by which this reading may be late."""
        record = self.note(at, call, f"answer {code}")
        if record is None:
            return
        self.judged[Rule.ONE_ANSWER] += 1
        if record.answered is not None:
            self._break(Rule.ONE_ANSWER, at, call, f"{code} after another")
            return
        record.answered = at
        record.established = code == 200
        if record.left is None:
            self.answers += 1
            self.judged[Rule.ANSWERED] += 1
            late = at - record.sent - record.patience
            self.late += late > lag
            if late > ANSWER_ALLOWANCE + lag:
                self._break(Rule.ANSWERED, at, call, f"{late * 1000:.0f} ms late")

    def patience_over(self, at: float, call: str) -> None:
        """The caller gives up, ANSWER_ALLOWANCE after its patience."""
        record = self.note(at, call, "given up")
        if record is not None and record.answered is None and record.left is None:
            record.left = at
            self.judged[Rule.ANSWERED] += 1
            self._break(Rule.ANSWERED, at, call, "nothing came")

    def caller_left(self, at: float, call: str) -> None:
        """The caller gave the set-up up before its patience ended: no answer is owed."""
        record = self.note(at, call, "caller left")
        if record is not None and record.answered is None and record.left is None:
            self.judged[Rule.LEFT] += 1
            self.left += 1
            record.left = at

    def connection_ended(self, at: float, calls: list[str], killed: bool) -> None:
        """A caller's connection is over with these set-ups unanswered. `killed`: by SIGKILL."""
        for call in calls:
            record = self.note(at, call, "connection over")
            if record is None or record.answered is not None or record.left is not None:
                continue
            record.left = at
            stopped = self.stopped.get(record.process)
            self.judged[Rule.LOST] += 1
            counted = stopped is None or record.sent - stopped > COUNTED_AFTER_STOP
            if killed and not counted:
                self.excused[Rule.LOST] += 1
                continue  # the page excuses what came before
            if not killed and at - record.sent < CROSSING:
                self.crossed += 1
                continue
            self._break(Rule.LOST, at, call, "by SIGKILL" if killed else "closed")

    def caller_released(self, at: float, call: str) -> None:
        """The caller was told that the call is over."""
        record = self.note(at, call, "caller told of the release")
        if record is not None and record.released_to_caller is None:
            record.released_to_caller = at

    def caller_released_call(self, at: float, call: str) -> None:
        """The caller ended an established call."""
        record = self.note(at, call, "released by its caller")
        if record is None or record.released_by_caller is not None or record.over_at_engine:
            return
        record.released_by_caller = at
        self._to_engines.append((at + RELEASE_AT_LAST, call))

    # engines

    def attempt(self, at: float, call: str, engine: str, lag: float) -> None:
        """A set-up came to an engine; `lag`: as in `answered`."""
        self.attempts += 1
        record = self.note(at, call, f"attempt at {engine}")
        if record is None:
            return
        self._check_drain(at - lag, call, engine, record)
        before = record.attempts[-1] if record.attempts else None
        record.attempts.append(Attempt(engine, at))
        if record.left is not None and record.answered is None:
            self._check_left(at - lag, call, record.left)
        if len(record.attempts) >= self.max_attempts:
            self.judged[Rule.ATTEMPTS] += 1
        if len(record.attempts) > self.max_attempts:
            self._break(Rule.ATTEMPTS, at, call, f"{len(record.attempts)} of {self.max_attempts}")
        if before is not None:
            self._check_retry(at, call, record, before, lag)

    def _check_retry(self, at: float, call: str, record: CallRecord, before: Attempt, lag: float) -> None:
        self.judged[Rule.ONE_ATTEMPT] += 1
        if before.ended is None:  # its end may be read after this, from another connection
            self._doubles.append((at, call, before))
        elif before.needs_quiet and before.may_have_run:
            self.judged[Rule.QUIET_TIME] += 1
            if at - before.ended + lag < self.clear_wait:
                gap = (at - before.ended) * 1000
                self._break(Rule.QUIET_TIME, at, call, f"{gap:.0f} ms after the end of the one before")
        if not record.idempotent:
            self.judged[Rule.REPEATED] += 1
            if any(a.may_have_run for a in record.attempts[:-1]):
                self._break(Rule.REPEATED, at, call, f"attempt {len(record.attempts)}")

    def _check_left(self, at: float, call: str, left: float) -> None:
        if at - left > LEFT_ALLOWANCE:
            self._break(Rule.LEFT, at, call, f"{(at - left) * 1000:.0f} ms after it left")

    def _check_drain(self, at: float, call: str, engine: str, record: CallRecord) -> None:
        surroundings = self.of(record.process)
        for drained, since in self.drained.items():
            told = surroundings.told_at(record.process, since)
            if at <= told.at + DRAIN_ALLOWANCE:
                continue
            self.judged[Rule.DRAINED] += 1
            self.excused[Rule.DRAINED] += told.excused
            if drained == engine:
                late = f"{at - told.at:.2f} s after {engine} was told to drain"
                self._break(Rule.DRAINED, at, call, late)

    def setup_read(self, at: float, call: str, fields: SetupFields, time_left: float, lag: float) -> None:
        """What the set-up carried; `time_left` (s): how long its engine is told that the caller waits."""
        record = self.calls.get(call)
        if record is None:
            return
        self.judged[Rule.DEADLINE] += 1
        remaining = record.sent + record.patience - at
        if time_left > max(0.0, remaining) + DEADLINE_ALLOWANCE + lag:
            self._break(Rule.DEADLINE, at, call, f"{time_left:.3f} s, {remaining:.3f} s are left")
        if record.fields is not None:
            self.judged[Rule.CHANGED] += 1
            if record.fields != fields:
                self._break(Rule.CHANGED, at, call, f"{record.fields} became {fields}")

    def attempt_ended(
        self,
        at: float,
        call: str,
        engine: str,
        what: str,
        may_have_run: bool = True,
        needs_quiet: bool = True,
    ) -> None:
        """The attempt is over: withdrawn, answered, refused, or its connection ended."""
        record = self.note(at, call, f"{what} at {engine}")
        for attempt in record.attempts if record is not None else ():
            if attempt.engine == engine and attempt.ended is None:
                attempt.ended = at
                attempt.may_have_run = may_have_run
                attempt.needs_quiet = needs_quiet

    def engine_released(self, at: float, call: str) -> None:
        """An engine wrote the release of an established call to a connection that is up."""
        record = self.note(at, call, "released by its engine")
        if record is not None:
            record.over_at_engine = True
        if record is None or not record.established or record.released_by_engine is not None:
            return
        self.releases += 1
        record.released_by_engine = at
        self._awaited.append((at + RELEASE_WITHIN, call))

    def engine_told(self, at: float, call: str) -> None:
        """A release of the call came to an engine."""
        record = self.note(at, call, "engine told of the release")
        if record is not None:
            record.over_at_engine = True

    # processes

    def sampled(self, at: float, process: str, descriptors: int, memory_mb: float, limits: Limits) -> None:
        """What a process has now."""
        self.judged.update((Rule.DESCRIPTORS, Rule.MEMORY))
        if descriptors > limits.descriptors:
            self._break(Rule.DESCRIPTORS, at, process, f"{descriptors} of {limits.descriptors}")
        if memory_mb > limits.memory_mb:
            self._break(Rule.MEMORY, at, process, f"{memory_mb:.0f} of {limits.memory_mb} MB")

    def exited(self, at: float, process: str, code: int) -> None:
        """A process ended by itself."""
        self.judged[Rule.EXIT] += 1
        if code != 0:
            self._break(Rule.EXIT, at, process, f"with {code}")

    def not_ready(self, at: float, process: str, within: float) -> None:
        """A process was not ready in time."""
        self.judged[Rule.READY] += 1
        self._break(Rule.READY, at, process, f"within {within:.0f} s")

    def advance(self, now: float, lag: float) -> None:
        """Time went on: what was to come by now is judged. `lag`: as in `answered`."""
        for _ in range(len(self._awaited)):
            by, call = self._awaited.popleft()
            if now <= by + lag:
                self._awaited.append((by, call))
            else:
                self._judge_release(now, by, call, lag)
        while self._to_engines and now > self._to_engines[0][0] + lag:
            self._judge_release_to_engine(now, self._to_engines.popleft()[1])
        while self._doubles and now - self._doubles[0][0] > ORDER_ALLOWANCE + lag:
            self._judge_double(*self._doubles.popleft(), lag)

    def _judge_release(self, now: float, by: float, call: str, lag: float) -> None:
        record = self.calls.get(call)
        if record is None or record.released_by_engine is None or record.released_by_caller is not None:
            return
        released, told = record.released_by_engine, record.released_to_caller
        first_look = by < released + RELEASE_AT_LAST
        in_time = self.of(record.process).callers_connected(released, released + RELEASE_WITHIN)
        allowed = RELEASE_WITHIN if in_time else RELEASE_AT_LAST  # while connections come and go
        if first_look:
            self.judged[Rule.RELEASED] += 1
            self.excused[Rule.RELEASED] += not in_time
        if (now if told is None else told) - released > allowed + lag:
            self._break(Rule.RELEASED, now, call, f"not within {allowed:.0f} s")
        elif told is None and first_look:
            self._awaited.append((released + RELEASE_AT_LAST, call))

    def _judge_release_to_engine(self, now: float, call: str) -> None:
        record = self.calls.get(call)
        self.judged[Rule.TO_ENGINE] += 1
        if record is not None and not record.over_at_engine:
            self._break(Rule.TO_ENGINE, now, call, f"not within {RELEASE_AT_LAST:.0f} s")

    def _judge_double(self, at: float, call: str, first: Attempt, lag: float) -> None:
        if first.ended is None or first.ended > at + lag:
            self._break(Rule.ONE_ATTEMPT, at, call, f"one was still out at {first.engine}")

    def note(self, at: float, call: str, what: str) -> CallRecord | None:
        """An event of a call, for the report; None: no such call is known."""
        record = self.calls.get(call)
        if record is not None:
            record.events.append(f"{at:.3f} {what}")
        return record

    def _break(self, rule: Rule, at: float, who: str, detail: str) -> None:
        record = self.calls.get(who)
        if record is None:
            self.broken.append(Broken(rule, at, who, detail))
            return
        surroundings = self.timeline.between(softswitch_of(record.process), record.sent, at)
        self.broken.append(Broken(rule, at, who, detail, tuple(record.events), surroundings))


@dataclass(frozen=True, slots=True)
class Limits:
    """What a process may use."""

    descriptors: int
    memory_mb: int
