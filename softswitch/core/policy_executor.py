"""Feeds events to the decision module and carries out its actions on the calls.

All times are in ms on the clock of the timer wheel. The *guards* are checks here that enforce the rules on
attempts and answers even if the decision module violates one; the counters `guard: ...` count such cases.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from loguru import logger

from softswitch import interface as i
from softswitch.core.call import (
    RESULT_BY_REASON,
    Call,
    CallObserver,
    CallResult,
    CallState,
    Engines,
    FailureReason,
)
from softswitch.core.call_history import CallHistory
from softswitch.core.call_table import CallTable
from softswitch.core.counters import Count, Counters, CountFamily, Duration
from softswitch.core.endpoint_directory import EndpointDirectory
from softswitch.core.figures import Figures
from softswitch.core.memory_budget import MemoryBudget
from softswitch.core.predecessor import PredecessorCalls
from softswitch.core.recent_calls import RecentCalls
from softswitch.core.timer_wheel import TimerWheel
from softswitch.core.turn_scheduler import TurnScheduler
from softswitch.core.unsent_data import UnsentData
from softswitch.interface import CallId
from softswitch.limits.call_limits import CallLimits
from softswitch.policy.controller import Controller
from softswitch.policy.state import EJECTION_FAILURES

RETRY_DELAY_SLACK = 60.0  # ms added to retry_delay: time limits on sockets are 50 ms longer, ticks are coarse
# Notes in the release of an engine.
PROCESSOR_FULL_NOTE = "cpu_full"
NUMBER_BUSY_NOTE = "number_busy"

Report = tuple[float, ...]  # a load report, in the order of the settings' report_fields


class PolicyExecutor:
    """Owns the calls, the known endpoints, the counters and the decision module."""

    def __init__(self, settings: i.Settings, seed: int, wheel: TimerWheel, engines: Engines) -> None:
        self.wheel = wheel
        self.engines = engines
        self.memory = MemoryBudget()
        self.unsent = UnsentData(self.memory)
        self.turns = TurnScheduler(wheel)
        self.calls = CallTable(self.memory)
        self.endpoints = EndpointDirectory()
        self.predecessor = PredecessorCalls(wheel.now)
        self.recent_calls = RecentCalls()
        self.counters = Counters()
        self.slow_start_share = 1.0  # see `interface.Settings`
        self.settings = self._adapted(settings)
        self.figures = Figures(self._class_names())
        self.limits = CallLimits(self.settings)
        self.controller = Controller(self.settings, seed, self.limits)
        self.history: CallHistory | None = None  # the events of recent calls, if recorded
        self.observer: CallObserver | None = None  # notified of each call, if a traffic record is written
        self.on_duration: Callable[[Duration, float], None] | None = None  # for telemetry
        self._events: deque[i.Event] = deque()
        self._handling = False
        self._executors: dict[type, Callable[[Any], None]] = {
            i.SendAttempt: self._send_attempt,
            i.Reject: lambda action: self._fail(action.call, FailureReason.REJECTED, action.retry_after),
            i.Fail: lambda action: self._fail(action.call, FailureReason.FAILED, 0.0),
            i.CancelAttempt: self._cancel_attempt,
            i.StartTimer: lambda action: self.wheel.call_at(
                action.at, self._feed, i.TimerFired(action.token)
            ),
            i.WriteLog: lambda action: logger.info("module: {}", action.text),
        }

    def start(self) -> None:
        """Carries out the actions that the decision module returns at its start."""
        self._execute(self.controller.start(self.wheel.now))

    # settings and constraints

    def _adapted(self, settings: i.Settings) -> i.Settings:
        """Returns the settings with this process's slow start share, and with slack in the retry delay."""
        delay = settings.retry_delay + RETRY_DELAY_SLACK if settings.retry_delay else 0.0
        return replace(settings, slow_start_share=self.slow_start_share, retry_delay=delay)

    def _class_names(self) -> list[str]:
        return [c.name for c in self.settings.classes]

    def apply_settings(self, settings: i.Settings) -> None:
        """Applies new settings. Calls in progress keep their class and the smaller attempt limit."""
        self.settings = self._adapted(settings)
        self.figures.replace_classes(self._class_names())
        for call in self.calls.values():
            call.max_attempts = min(call.max_attempts, self.settings.max_attempts)
        self.limits.apply(self.settings)
        self._feed(i.SettingsChanged(self.settings))

    def apply_slow_start_share(self, fraction: float) -> None:
        """Sets the fraction of the softswitch's call setups to warming engines that this process may send."""
        self.slow_start_share = fraction
        self.settings = replace(self.settings, slow_start_share=fraction)
        self._feed(i.SettingsChanged(self.settings))

    def apply_fleet_size(self, size: int) -> None:
        """Sets how many softswitches divide the shared limits. The next settings replace the number."""
        self.settings = replace(self.settings, fleet_size=size)
        self._feed(i.SettingsChanged(self.settings))

    def apply_constraints(self, constraints: i.Constraints) -> None:
        """Replaces the constraints of the decision module."""
        self._feed(i.ConstraintsChanged(constraints))

    # the decision module

    def _feed(self, event: i.Event) -> None:
        """Passes an event to the decision module.

        Events are processed one at a time in order of arrival, including those that its actions cause.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self.controller.handle(self.wheel.now, event)
                except Exception as e:  # `_answer_overdue` answers the calls that the module misses
                    self.counters[Count.POLICY_ERRORS] += 1
                    logger.error("decision module raised {!r} while handling {}", e, type(event).__name__)
                else:
                    self._execute(actions)
        finally:
            self._handling = False

    def _execute(self, actions: Iterable[i.Action]) -> None:
        for action in actions:
            execute = self._executors.get(type(action))
            if execute is not None:
                execute(action)

    # attempts

    def _send_attempt(self, action: i.SendAttempt) -> None:
        call, now = self.calls.get(action.call), self.wheel.now
        if call is None or call.state is not CallState.ROUTING:
            self.counters[Count.GUARD_UNEXPECTED_ATTEMPT] += 1
            return
        call.transition(CallState.ATTEMPTING)
        call.attempt += 1
        call.server = action.server
        call.sent_at = now
        call.first_server = call.first_server or action.server
        if not self._may_send(call, action.server):
            self.counters[Count.GUARD_FORBIDDEN_ATTEMPT] += 1
            self._attempt_ended(call, i.Outcome.NOT_SENT)
            return
        self.counters[Count.ATTEMPTS] += 1
        if self.history:
            self.history.note(action.call, "attempt", f"{call.attempt} {action.server} {action.timeout:.0f}")
        if action.timeout > 0:
            self.wheel.call_at(now + action.timeout, self._handle_attempt_timeout, action.call, call.attempt)
        self.engines.send_setup(action.server, call)

    def _may_send(self, call: Call, server: str) -> bool:
        """Enforces the rules on drains, on the delay of retries and on the number of attempts."""
        in_time = self.wheel.now >= call.retry_at
        return in_time and call.attempt < call.max_attempts and self.endpoints.is_ready(server)

    def _cancel_attempt(self, action: i.CancelAttempt) -> None:
        self._abort_attempt(action.call, action.attempt, i.Outcome.CANCELLED)

    def _handle_attempt_timeout(self, call_id: CallId, attempt: int) -> None:
        self._abort_attempt(call_id, attempt, i.Outcome.TIMEOUT)

    def _abort_attempt(self, call_id: CallId, attempt: int, outcome: i.Outcome) -> None:
        call = self.calls.get(call_id)
        if call is not None and call.server is not None and call.has_in_flight(attempt):
            self.engines.cancel_setup(call.server, call_id)
            self._attempt_ended(call, outcome)

    def _attempt_ended(
        self, call: Call, outcome: i.Outcome, note: str = "", report: Report = (), retry_after: float = 0.0
    ) -> None:
        """Ends the attempt of a call that is still unanswered, and reports it to the decision module."""
        now, server = self.wheel.now, call.server or ""
        self.counters[CountFamily.ATTEMPTS + outcome.value] += 1
        if self.history:
            self.history.note(call.id, "attempt ended", f"{server} {outcome.value}")
        call.transition(CallState.ROUTING)
        call.server = None
        if outcome in i.DELAYS_RETRY:
            call.retry_at = now + self.settings.retry_delay
        event = i.AttemptEnded(
            call.id,
            call.attempt,
            server,
            outcome,
            now - call.sent_at,
            processor_full=note == PROCESSOR_FULL_NOTE,
            callee_busy=note == NUMBER_BUSY_NOTE,
            retry_after=retry_after if note == PROCESSOR_FULL_NOTE else 0.0,
            report=report,
        )
        self._feed(event)

    # the end of calls

    def _fail(self, call_id: CallId, reason: FailureReason, retry_after: float) -> None:
        """Answers a call as not established and cancels an attempt in flight.

        The decision module and the overdue guard cannot know that an attempt still waits for its connection.
        So a failure becomes a rejection here if nothing of the call was written to an engine.
        """
        call = self.calls.get(call_id)
        if call is not None and not call.established:
            if reason is FailureReason.FAILED and not call.written:
                reason, retry_after = FailureReason.REJECTED, self.settings.retry_after
            self._answer_failed(call, reason, retry_after)
            self._cancel_remaining_attempt(call, i.Outcome.TIMEOUT)

    def _fail_and_forget(self, call: Call, reason: FailureReason, retry_after: float = 0.0) -> None:
        """Like `_fail`, but also removes the call from the decision module."""
        self._fail(call.id, reason, retry_after)
        self._feed(i.CallerAbandoned(call.id))

    def _answer_failed(self, call: Call, reason: FailureReason, retry_after: float) -> None:
        """Sends the one final answer of a call that is not established, and removes the call."""
        self.counters[reason.value] += 1
        if self.history:
            self.history.note(call.id, "turned away", reason.value)
        self._settle(call, RESULT_BY_REASON[reason])
        self._remove(call)
        call.caller.call_failed(call.id, reason, retry_after)

    def _cancel_remaining_attempt(self, call: Call, outcome: i.Outcome) -> None:
        """Cancels an attempt that is still in flight for a call that needs no further answer."""
        if call.server is not None:
            self.engines.cancel_setup(call.server, call.id)
            self._report_end(call, outcome)

    def _report_end(self, call: Call, outcome: i.Outcome, report: Report = ()) -> None:
        """Reports the end of a removed call, or of its last attempt, to observer and decision module."""
        now = self.wheel.now
        if call.established_at is not None:
            self._measure(Duration.CALL, now - call.established_at)
            if self.observer:
                self.observer.call_ended(call)
        server = call.server or ""
        elapsed = now - call.sent_at
        self._feed(
            i.AttemptEnded(call.id, call.attempt, server, outcome, elapsed, call_over=True, report=report)
        )

    def _settle(self, call: Call, result: CallResult) -> None:
        """Records the final result of a call setup; called once for each accepted call."""
        self.figures.count_result(call.request.call_class, result)
        if self.observer:
            self.observer.call_settled(call, result)

    def _remove(self, call: Call) -> None:
        self.calls.remove(call)
        self.predecessor.call_ended(self.wheel.now, call.id)
        if call.written:
            self.recent_calls.add(self.wheel.now, call.id)

    def _answer_overdue(self, call_id: CallId) -> None:
        """Answers a call that the decision module has not answered in time."""
        self.calls.timers_expired()
        call = self.calls.get(call_id)
        if call is not None and not call.established:
            self.counters[Count.GUARD_OVERDUE] += 1
            self._fail_and_forget(call, FailureReason.FAILED)

    def _measure(self, duration: Duration, ms: float) -> None:
        if self.on_duration:
            self.on_duration(duration, ms)

    # figures

    def update_counters(self) -> None:
        """Copies the counters that the call limits maintain."""
        self.counters[Count.BUSY_NUMBER_REJECTED] = self.limits.numbers.rejected
        self.counters[Count.BUSY_NUMBER_PROBES] = self.limits.numbers.probes
        self.counters[Count.OVER_QUOTA] = self.limits.tenants.over_quota_calls

    def report_figures(self) -> dict[str, Any]:
        """Returns the figures for operators."""
        listed = self.endpoints.listed()
        return self.figures.report(len(self.calls), len(listed), self._unavailable(listed))

    def _unavailable(self, servers: list[str]) -> int:
        """Counts the engines that get no calls: draining, ejected, or closed at their own request."""
        gates = [self.controller.gates.get(server) for server in servers]
        ready = [g for g in gates if g is not None and g.state is i.EndpointState.READY]
        used = [g for g in ready if g.failures < EJECTION_FAILURES and self.wheel.now >= g.closed_until]
        return len(servers) - len(used)
