"""The switch: feeds events to the decision module and carries out its actions, whatever wire they came by.

A front hands set-ups in and is told of their answers through `Caller`; engines are reached through `Engines`.
Every time is in milliseconds on the wheel's clock.
"""

from __future__ import annotations

import re
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, Protocol

from loguru import logger

from softswitch import interface as i
from softswitch.core.call_history import Lives
from softswitch.core.figures import Figures
from softswitch.core.lifecycle import Lifecycle
from softswitch.core.timer_wheel import Wheel
from softswitch.policy.controller import Controller
from softswitch.policy.state import EJECTION_FAULTS

MARGIN = 40.0  # the module is told so much less patience than the caller has: its answer must still travel
GUARD = 15.0  # an answer still missing so long after the module's deadline is given by the switch itself
RELEASE_SLACK = 60.0  # added to the release wait: limits on sockets are 50 ms longer, and ticks are coarse
MOST_CALLS = 20_000  # calls known at once; one more is turned away
MOST_HELD = 8 << 20  # bytes of the descriptions of open set-ups

# Ms after the start in which calls of the process before may still come to their end.
PREDECESSOR_FOR = 60_000.0
MOST_OVER = 4_096  # ids of calls that ended in that time
MOST_TOLD = 4_096  # callers' releases of calls not known here that go to every engine: ids may be made up

LONGEST = 16_200  # bytes of a set-up's texts: with their heads they fit a message of 16 KiB
CALL, NUMBER = re.compile(r"[0-9a-f]{16}\Z"), re.compile(r"[0-9A-Za-z*#+._~-]{1,64}\Z")
CLASS = re.compile(r"[!-~]{1,64}\Z")  # an engine closes the link, with all calls on it, at what it can't read
MOST_PATIENCE, MOST_WIDTH, MOST_CELL = 600_000.0, 100.0, 65_535  # ms, lines, the highest cell

NORMAL, CUT = 16, 41  # causes of a release
FULL, MOOT, FAULTS = 34, 102, (17, 47)

BLOCKED, PROCESSOR_FULL = 1, 2  # marks of a call: an attempt found no circuit, or a full processor


class Verdict(Enum):
    """How a call that does not stand was answered."""

    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"  # an attempt may have run
    REPEATED = "repeated"  # this id is known already; the first set-up goes on
    TABLE_FULL = "table_full"  # no room for one more call
    DRAINED = "drained"  # this process takes no callers now
    GIVEN_UP = "given_up"  # its caller no longer waits
    UNKNOWN = "unknown"  # what was asked names no call that this caller has here


# In which column of the figures a call is counted, by how it ceased to be owed an answer.
COLUMNS = {
    "stands": "fulfilled",
    "given_up": "abandoned",
    Verdict.REFUSED.value: "throttled",
    Verdict.FAILED.value: "faulted",
}


class Caller(Protocol):
    """What a front is told of the calls that it handed in."""

    survives: bool  # whether its callers' calls go on under the next process: they know them by id alone

    def stands(self, call: str, description: bytes) -> None: ...

    def turned_away(self, call: str, verdict: Verdict, stay_away: float) -> None: ...

    def released(self, call: str, cause: int) -> None: ...


class Engines(Protocol):
    """What the switch asks of its quote engines. Answers come back by the switch's own methods."""

    def set_up(self, server: str, call: Call) -> None: ...

    def give_up(self, server: str, call: str) -> None: ...

    def release(self, server: str, call: str, cause: int) -> None: ...

    def drains(self, server: str) -> None:
        """It takes nothing new: set-ups that are not written yet come back as unreachable."""


class Watcher(Protocol):
    """Who is told of each call for the traffic record."""

    def came(self, call: Call) -> None: ...

    def settled(self, call: Call, outcome: str) -> None:
        """It stands, or was turned away by the verdict of this name, or its caller gave up."""

    def over(self, call: Call) -> None:
        """A call that stood has ended."""


class Other(Protocol):
    """The other process of this softswitch, while one replaces the other."""

    def release(self, call: str, cause: int) -> None:
        """A caller ended a call that is not known here."""

    def cleared(self, call: str, cause: int) -> None:
        """An engine ended a call that is not known here."""

    def released(self, call: str, cause: int) -> None:
        """A call is over, and no caller is connected here who could be told."""


@dataclass(frozen=True, slots=True)
class Order:
    """A set-up as a front hands it in."""

    call: str  # 16 hex digits
    klass: str
    number: str  # the number called
    patience: float  # ms that the caller waits, from now
    description: bytes = b""
    dest: int = -1
    redial: bool = False
    width: float = 1.0

    def __post_init__(self) -> None:
        if not CALL.match(self.call):
            raise ValueError("the id of a call is 16 hex digits")
        if not NUMBER.match(self.number):
            raise ValueError("no number called")
        if not CLASS.match(self.klass):
            raise ValueError("no class")
        if not 0 < self.patience <= MOST_PATIENCE or not 0 < self.width <= MOST_WIDTH:
            raise ValueError("patience or width out of range")
        if not -1 <= self.dest <= MOST_CELL:
            raise ValueError("dest out of range")
        if len(self.description) + len(self.number) + len(self.klass) > LONGEST:
            raise ValueError("longer than a message may be")


@dataclass(slots=True)
class Call:
    order: Order
    caller: Caller
    came: float
    deadline: float  # when the caller stops waiting
    most: int = 1  # attempts it may have
    repeatable: bool = True  # by its class as it came: may be refused although an attempt may have run
    attempt: int = -1  # number of the last attempt
    server: str | None = None  # where an attempt is out, or where the call stands
    sent: float = 0.0
    ready: float = 0.0  # no send before this (release rule)
    decided: bool = False  # whether the module knows it
    stands: bool = False
    stood: float = 0.0  # since when
    first: str = ""  # where its first attempt went
    marks: int = 0  # what its attempts met
    seat: Any = None  # where a traffic record has booked it


class Switch:
    def __init__(self, settings: i.Settings, seed: int, wheel: Wheel, engines: Engines) -> None:
        self.wheel, self.engines, self.part = wheel, engines, 1.0
        self.other: Other | None = None  # while one process replaces the other
        self.calls: dict[str, Call] = {}
        self._settle(settings)
        self.controller = Controller(self.set, seed)
        self.open = 0  # calls that are owed an answer
        self.held, self.most_calls, self.most_held = 0, MOST_CALLS, MOST_HELD  # held: bytes of theirs
        self.states: dict[str, i.EndpointState] = {}
        self.started: dict[str, float] = {}
        self.count: Counter[str] = Counter()
        self.lifecycle, self.figures = Lifecycle(), Figures(self.classes)
        # Called with (call, cause): an engine ended a call that we never knew.
        self.on_predecessor_release = None
        self.predecessor_until = wheel.now + PREDECESSOR_FOR
        self.told_to_all = 0  # releases of callers that every engine was told
        self.over: dict[str, None] = {}  # our own calls that ended since the start: kept for PREDECESSOR_FOR
        self.cells: dict[str, int] = {}
        self.lives: Lives | None = None  # where the lives of calls are kept
        self.watcher: Watcher | None = None  # told of each call, where a traffic record is kept
        self.on_duration = None  # called with (what, ms): set-up times and lengths of calls, for telemetry
        self._events: deque[i.Event] = deque()
        self._busy = False

    def _settle(self, settings: i.Settings) -> None:
        self.set = replace(
            settings,
            slow_start_share=self.part,
            retry_delay=settings.retry_delay + RELEASE_SLACK if settings.retry_delay else 0.0,
        )
        self.classes = {c.name: c for c in settings.classes}

    def new_settings(self, settings: i.Settings) -> None:
        """They hold from now on. A call under way keeps its class, and the fewer attempts of old and new."""
        self._settle(settings)
        self.figures.settle(self.classes)
        for call in self.calls.values():
            call.most = min(call.most, self.set.max_attempts)
        self._feed(i.SettingsChanged(self.set))

    def new_part(self, part: float) -> None:
        """This process has that part of the softswitch's share of cold engines."""
        self.part = part
        self.set = replace(self.set, slow_start_share=part)
        self._feed(i.SettingsChanged(self.set))

    def new_fleet_size(self, size: int) -> None:
        """So many softswitches share what is whole, from now on and until the next settings."""
        self.set = replace(self.set, fleet_size=size)
        self._feed(i.SettingsChanged(self.set))

    def new_constraints(self, constraints: i.Constraints) -> None:
        """These bind the module from now on."""
        self._feed(i.ConstraintsChanged(constraints))

    def start(self) -> None:
        self._carry_out(self.controller.start(self.wheel.now))

    # from the fronts

    def set_up(self, order: Order, caller: Caller, waited: float = 0.0) -> Verdict | None:
        """Takes a call in, which waited so many ms. None: its one answer comes through the caller."""
        verdict = self.take(order, caller, waited)
        if verdict is None:
            self.decide(order.call)
        return verdict

    def decide(self, call_id: str) -> None:
        """A call that was taken in goes to the module, if its caller still waits."""
        call = self.calls.get(call_id)
        if call is not None and not call.decided:
            call.decided, order = True, call.order
            grace = max(0.0, call.deadline - MARGIN - self.wheel.now)
            self._feed(
                i.SetupRequested(call_id, order.klass, order.dest, grace, order.redial, False, order.width)
            )

    def take(self, order: Order, caller: Caller, waited: float = 0.0) -> Verdict | None:
        """Takes a call in, on which nothing is decided before `decide`."""
        self.count["set-ups"] += 1
        if order.call in self.calls:
            self.count["repeated"] += 1
            return Verdict.REPEATED
        if not self.lifecycle.admits(self.wheel.now):
            return self.no_room(order, Verdict.DRAINED)
        if len(self.calls) >= self.most_calls or self.held + len(order.description) > self.most_held:
            return self.no_room(order)
        # The caller waits from its last byte on, not from our reading it: after a standstill, set-ups that
        # had waited unread were answered too late. Each is taken to have come as early as it can have.
        klass, now = self.classes.get(order.klass), self.wheel.now
        patience = max(0.0, order.patience - max(waited, self.wheel.lag))
        grace = max(0.0, patience - MARGIN)
        self.calls[order.call] = Call(
            order, caller, now, now + patience, self.set.max_attempts, klass is None or klass.idempotent
        )
        self.figures.of(order.klass).taken += 1
        self.open += 1
        if self.lives:
            left = f"{patience:.0f} of {order.patience:.0f} ms left"
            self.lives.note(order.call, "set-up", left)
        self.held += len(order.description)
        self.wheel.at(now + grace + GUARD, self._overdue, order.call)
        if self.watcher:
            self.watcher.came(self.calls[order.call])
        return None

    def no_room(self, order: Order, verdict: Verdict = Verdict.TABLE_FULL) -> Verdict:
        """A call that is turned away before it is taken in; the front answers it."""
        self.count[verdict.value.replace("_", " ")] += 1
        self.figures.of(order.klass).taken += 1
        self.figures.ended(order.klass, "throttled")
        return verdict

    def give_up(self, call_id: str, by: Caller) -> bool:
        """The caller stopped waiting. No answer is owed then; False: it has no such call."""
        call = self.calls.get(call_id)
        if self.lives:
            self.lives.note(call_id, "given up by its caller")
        if call is None or call.caller is not by:
            self.count["unknown given up"] += 1
            return False
        if call.stands:  # the answer crossed it: the caller does not want the call any more
            self.release(call_id, NORMAL, by)
            call.caller.released(call_id, NORMAL)
            return True
        self.count["given up"] += 1
        self._settled(call, "given_up")
        self._forget(call_id)
        self._feed(i.CallerLeft(call_id))
        self._call_off(call, i.Outcome.CANCELLED)
        return True

    def release(self, call_id: str, cause: int, by: Caller) -> bool:
        """The caller ends a call, standing or still being set up; False: it has no such call."""
        call = self.calls.get(call_id)
        if self.lives:
            self.lives.note(call_id, "released by its caller", str(cause))
        if call is None and by.survives and self.other and call_id not in self.over:
            self.other.release(call_id, cause)
            return True
        if call is None and by.survives and self._of_predecessor(call_id) and self.told_to_all < MOST_TOLD:
            self.told_to_all += 1
            self.count["heir releases"] += 1
            self._ended(call_id)
            for server, state in self.states.items():  # which of them has it, the process before us knew
                if state is not i.EndpointState.REMOVED:
                    self.engines.release(server, call_id, cause)
            return True
        if call is None or call.caller is not by:
            self.count["unknown released"] += 1
            return False
        if not call.stands:
            return self.give_up(call_id, by)
        self.count["released by callers"] += 1
        self._forget(call_id)
        self.engines.release(call.server, call_id, cause)
        self._over(call, i.Outcome.CANCELLED)
        return True

    def from_other(self, call_id: str, cause: int, by_caller: bool) -> None:
        """A release that came to the other process, from a caller or from an engine."""
        call = self.calls.get(call_id)
        if call is None or not call.stands:
            self.count["late releases"] += 1
        elif by_caller:
            self.release(call_id, cause, call.caller)
        else:
            self.cleared(call.server, call_id, cause)

    # from the quote engines

    def answered(self, server: str, call_id: str, description: bytes) -> None:
        call = self.calls.get(call_id)
        if self.lives:
            self.lives.note(call_id, "answer heard", server)
        if call is None or call.server != server:
            # It crossed our giving up, which frees its lines; or it is a second copy, or of no call of ours.
            # Guards against an engine that has us write a release for whatever id it thinks up.
            self.count["late answers"] += 1
            return
        if call.stands:
            self.count["repeated answers"] += 1
            return
        now = self.wheel.now
        call.stands, call.stood = True, now
        self.held -= len(call.order.description)
        call.order = replace(call.order, description=b"")  # thousands of standing calls must not hold theirs
        self.open -= 1
        self.count["stood"] += 1
        self._measure("set-up", now - call.came)
        self._settled(call, "stands")
        call.caller.stands(call_id, description)
        self._feed(i.AttemptAnswered(call_id, call.attempt, server, now - call.sent))

    def cleared(self, server: str, call_id: str, cause: int, note: str = "", report: tuple = ()) -> None:
        """The engine turned an attempt away, or released a call that stood."""
        call = self.calls.get(call_id)
        if self.lives:
            self.lives.note(call_id, "release heard", f"{server} {cause} {note}")
        if call is None and self.other and call_id not in self.over:
            self.other.cleared(call_id, cause)
            return
        if call is None and self._of_predecessor(call_id):
            # Guards the callers of the process before us, which stopped or died while their calls stood.
            self.count["heir releases"] += 1
            self._ended(call_id)
            self.on_predecessor_release(call_id, cause)
            return
        if call is None or call.server != server:
            self.count["late releases"] += 1  # such as the second copy on the next connection
            return
        if call.stands:
            outcome = i.Outcome.OK if cause == NORMAL else i.Outcome.RESET
            self.count["ended" if outcome is i.Outcome.OK else "cut"] += 1
            self._forget(call_id)
            call.caller.released(call_id, cause)
            self._over(call, outcome, report)
            return
        if cause == NORMAL:
            # It stood at the engine and has come to its end; its answer is late, or lost. Set up again under
            # the same id it would stand for a caller to whom it counts as over.
            self.count["ended before the answer"] += 1
            self.count["attempt reset"] += 1
            self._turned_away(call, Verdict.FAILED, 0.0)
            self._feed(i.CallerLeft(call_id))
            self._over(call, i.Outcome.RESET, report)
            return
        if cause == FULL:
            call.marks |= PROCESSOR_FULL if note == "cpu_full" else BLOCKED
            outcome = i.Outcome.REJECTED
        elif cause == MOOT:
            outcome = i.Outcome.NOT_SENT
        else:
            outcome = i.Outcome.ERROR if cause in FAULTS else i.Outcome.RESET
        self._attempt_ended(call, outcome, note, report)

    def unreachable(self, server: str, call_id: str) -> None:
        """No connection came up: nothing of the attempt has run."""
        self._if_out(server, call_id, i.Outcome.CONNECT_FAILED)

    def broken(self, server: str, call_id: str) -> None:
        """The connection of an open attempt ended: the attempt may have run."""
        self._if_out(server, call_id, i.Outcome.RESET)

    def died(self, server: str, before: float | None = None) -> None:
        """The engine is down or silent for too long: calls that stand there (since before a time) are cut."""
        for call_id, call in list(self.calls.items()):
            if call.stands and call.server == server and (before is None or call.stood < before):
                self.cleared(server, call_id, CUT)

    def sampled(self, server: str, passed: bool, report: tuple[float, ...]) -> None:
        self._feed(i.LoadReported(server, i.Outcome.OK if passed else i.Outcome.ERROR, report))

    def drop(self, server: str) -> None:
        """The engine is gone and no call is left there. Guards against a list that grows with ids seen."""
        self.states.pop(server, None)
        self.started.pop(server, None)
        self.cells.pop(server, None)

    def busy_at(self, server: str) -> bool:
        return any(call.server == server for call in self.calls.values())

    # from the notice board

    def news(self, kind: i.UpdateKind, entries: tuple[i.Endpoint, ...]) -> None:
        self.count["notices"] += 1
        if kind is not i.UpdateKind.CHANGES:
            named = {e.server for e in entries}
            for server in self.states:
                if server not in named:
                    self.states[server] = i.EndpointState.REMOVED
        for e in entries:
            if self.started.get(e.server, e.started_at) != e.started_at:
                self.died(e.server, e.started_at)  # a new process: the calls of the old one are cut
            if e.state is not i.EndpointState.REMOVED or e.server in self.states:
                self.states[e.server], self.started[e.server] = e.state, e.started_at
                self.cells[e.server] = e.cell
        self._feed(i.EndpointsChanged(kind, entries))
        for server in [s for s, state in self.states.items() if state is not i.EndpointState.READY]:
            self.engines.drains(server)
        for e in entries:
            if e.state is i.EndpointState.REMOVED:
                self.died(e.server)

    # actions of the module

    def _feed(self, event: i.Event) -> None:
        """Events reach the module one by one in order of arrival, also those that its own actions cause."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self.controller.handle(self.wheel.now, event)
                except Exception as e:  # the switch's own deadlines answer what the module forgets
                    self.count["module faults"] += 1
                    logger.error("decision module: {!r} at {}", e, type(event).__name__)
                    continue
                self._carry_out(actions)
        finally:
            self._busy = False

    def _carry_out(self, actions: Iterable[i.Action]) -> None:
        for a in actions:
            match a:
                case i.SendAttempt():
                    self._attempt(a)
                case i.Reject():
                    self._turn_away(a.call, Verdict.REFUSED, a.retry_after)
                case i.Fail():
                    self._turn_away(a.call, Verdict.FAILED, 0.0)
                case i.CancelAttempt():
                    call = self.calls.get(a.call)
                    if call and call.server and not call.stands and call.attempt == a.attempt:
                        self.engines.give_up(call.server, a.call)
                        self._attempt_ended(call, i.Outcome.CANCELLED)
                case i.StartTimer():
                    self.wheel.at(a.at, self._feed, i.TimerFired(a.token))
                case i.WriteLog():
                    logger.info("module: {}", a.text)

    def _attempt(self, a: i.SendAttempt) -> None:
        call, now = self.calls.get(a.call), self.wheel.now
        if call is None or call.stands or call.server is not None:
            self.count["guard: not owed or already out"] += 1
            return
        call.attempt += 1
        call.server, call.sent = a.server, now
        call.first = call.first or a.server
        if (
            self.states.get(a.server) is not i.EndpointState.READY
            or now < call.ready
            or call.attempt >= call.most
        ):
            # Guards the rules on drains, release and attempts, should the module ever miss one.
            self.count["guard: moot"] += 1
            self._attempt_ended(call, i.Outcome.NOT_SENT)
            return
        self.count["attempts"] += 1
        if self.lives:
            self.lives.note(a.call, "attempt", f"{call.attempt} {a.server} {a.timeout:.0f}")
        if a.timeout > 0:
            self.wheel.at(now + a.timeout, self._timed_out, a.call, call.attempt)
        self.engines.set_up(a.server, call)

    def _timed_out(self, call_id: str, attempt: int) -> None:
        call = self.calls.get(call_id)
        if call and call.server and not call.stands and call.attempt == attempt:
            self.engines.give_up(call.server, call_id)
            self._attempt_ended(call, i.Outcome.TIMEOUT)

    def _attempt_ended(self, call: Call, outcome: i.Outcome, note: str = "", report: tuple = ()) -> None:
        """An attempt is over and the call is still owed its answer."""
        now, server = self.wheel.now, call.server
        self.count[f"attempt {outcome.value}"] += 1
        if self.lives:
            self.lives.note(call.order.call, "attempt ended", f"{server} {outcome.value}")
        call.server = None
        if outcome in (i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CANCELLED):
            call.ready = now + self.set.retry_delay
        self._feed(
            i.AttemptEnded(
                call.order.call,
                call.attempt,
                server,
                outcome,
                now - call.sent,
                False,
                note == "cpu_full",
                note == "number_busy",
                0.0,
                report,
            )
        )

    def _if_out(self, server: str, call_id: str, outcome: i.Outcome) -> None:
        call = self.calls.get(call_id)
        if call and call.server == server and not call.stands:
            self._attempt_ended(call, outcome)

    def _turn_away(self, call_id: str, verdict: Verdict, stay_away: float) -> None:
        call = self.calls.get(call_id)
        if call is None or call.stands:
            return
        self._turned_away(call, verdict, stay_away)
        self._call_off(call, i.Outcome.TIMEOUT)

    def _turned_away(self, call: Call, verdict: Verdict, stay_away: float) -> None:
        """The one final answer of a call that does not stand."""
        self.count[verdict.value] += 1
        if self.lives:
            self.lives.note(call.order.call, "turned away", verdict.value)
        self._settled(call, verdict.value)
        self._forget(call.order.call)
        call.caller.turned_away(call.order.call, verdict, stay_away)

    def _overdue(self, call_id: str) -> None:
        """Guards the answer in time, whatever the module does."""
        call = self.calls.get(call_id)
        if call and not call.stands:
            self.count["guard: overdue"] += 1
            self._turn_away(call_id, Verdict.FAILED, 0.0)
            self._feed(i.CallerLeft(call_id))

    def refuse_rest(self) -> None:
        """At the end of a planned stop: what is still owed an answer gets one."""
        for call_id, call in list(self.calls.items()):
            if not call.stands:
                safe = call.repeatable or call.attempt < 0
                self._turn_away(
                    call_id, Verdict.REFUSED if safe else Verdict.FAILED, self.set.max_retry_after
                )
                self._feed(i.CallerLeft(call_id))

    def cut_rest(self) -> None:
        """At the very end: calls that no next process can carry on go down with the switch, and both sides
        are told so. The others stand at their engines, and their releases come to the next process.
        """
        for call_id, call in list(self.calls.items()):
            if call.stands and not call.caller.survives:
                self.release(call_id, CUT, call.caller)
                call.caller.released(call_id, CUT)

    def _forget(self, call_id: str) -> None:
        call = self.calls.pop(call_id)
        self._ended(call_id)
        self.open -= not call.stands
        self.held -= len(call.order.description)

    def _of_predecessor(self, call_id: str) -> bool:
        """Whether it can be a call of the process before us."""
        return (
            self.on_predecessor_release is not None
            and self.wheel.now < self.predecessor_until
            and call_id not in self.over
        )

    def _ended(self, call_id: str) -> None:
        if self.wheel.now >= self.predecessor_until:
            self.over.clear()  # from now on an unknown id is a late copy
            return
        # The oldest goes: a late copy of its release would be passed on, which is harmless. To stop here
        # would leave callers of the process before without theirs.
        if len(self.over) >= MOST_OVER:
            del self.over[next(iter(self.over))]
        self.over[call_id] = None

    def _call_off(self, call: Call, outcome: i.Outcome) -> None:
        """The call has its answer, or needs none: an attempt still out is given up."""
        if call.server is not None:
            self.engines.give_up(call.server, call.order.call)
            self._over(call, outcome)

    def _over(self, call: Call, outcome: i.Outcome, report: tuple = ()) -> None:
        now = self.wheel.now
        if call.stands:
            self._measure("call", now - call.stood)
            if self.watcher:
                self.watcher.over(call)
        self._feed(
            i.AttemptEnded(
                call.order.call, call.attempt, call.server, outcome, now - call.sent, True, report=report
            )
        )

    def relayed(self, call_id: str) -> None:
        """An attempt of this call was written whole to its engine."""
        call = self.calls.get(call_id)
        if call is not None:
            self.figures.of(call.order.klass).relayed += 1

    def told(self) -> dict[str, Any]:
        """The figures for operators. Which engines are avoided is the module's to say."""
        listed = [server for server, state in self.states.items() if state is not i.EndpointState.REMOVED]
        avoided = self._avoided(listed)
        return self.figures.told(len(self.calls), len(listed), avoided)

    def _avoided(self, listed: list[str]) -> int:
        """How many of these engines the module does not use: draining, ejected, or closed as they asked."""
        now, gates = self.wheel.now, [self.controller.gates.get(server) for server in listed]
        used = [g for g in gates if g and g.state is i.EndpointState.READY and g.faults < EJECTION_FAULTS]
        return len(listed) - sum(now >= gate.closed_until for gate in used)

    def fail(self, call_id: str, by: Caller) -> None:
        """The front can't keep the call, whose caller still waits: it is answered, and all of it is over."""
        call = self.calls.get(call_id)
        if call is not None and call.caller is by and not call.stands:
            never_sent = call.attempt < 0
            self._turn_away(call_id, Verdict.REFUSED if never_sent else Verdict.FAILED, 0.0)
            self._feed(i.CallerLeft(call_id))

    def _settled(self, call: Call, outcome: str) -> None:
        """The one place where a call ceases to be owed an answer."""
        self.figures.ended(call.order.klass, COLUMNS[outcome])
        if self.watcher:
            self.watcher.settled(call, outcome)

    def _measure(self, what: str, ms: float) -> None:
        if self.on_duration:
            self.on_duration(what, ms)
