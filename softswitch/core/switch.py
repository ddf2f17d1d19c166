"""The switch: takes calls from callers, and what engines and the endpoint list say, whatever wire they came
by.

Callers hand call setups in and are told of their answers through `call.Caller`; engines are reached through
`call.Engines`. Decisions are the module's (`policy_executor`). Every time is in ms on the wheel's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from softswitch import interface as i
from softswitch.core.call import (
    Call,
    Caller,
    CallResult,
    CallState,
    Engines,
    FailureReason,
    Obstacle,
    PeerProcess,
    ReleaseCause,
    SetupRequest,
)
from softswitch.core.counters import Count, CountFamily, Duration
from softswitch.core.lifecycle import Lifecycle
from softswitch.core.policy_executor import PROCESSOR_FULL_NOTE, PolicyExecutor, Report
from softswitch.core.timer_wheel import TimerWheel

ANSWER_MARGIN = 40.0  # ms that the module is told less than the caller has: its answer must still travel
GUARD_DELAY = 15.0  # ms after the module's deadline at which the switch itself gives a missing answer


class Switch(PolicyExecutor):
    """The calls of one softswitch process, from their setup to their end."""

    def __init__(self, settings: i.Settings, seed: int, wheel: TimerWheel, engines: Engines) -> None:
        super().__init__(settings, seed, wheel, engines)
        self.lifecycle = Lifecycle()
        self.peer_process: PeerProcess | None = None  # while one process replaces the other
        # Called with (call, cause): an engine ended a call that may be the predecessor's.
        self.on_predecessor_release: Callable[[str, int], None] | None = None

    # from callers

    def request_setup(
        self, request: SetupRequest, caller: Caller, waited: float = 0.0
    ) -> FailureReason | None:
        """Takes a call in, which waited so many ms. None: its one answer comes through the caller."""
        reason = self.accept_call(request, caller, waited)
        if reason is None:
            self.route_call(request.call)
        return reason

    def accept_call(self, request: SetupRequest, caller: Caller, waited: float = 0.0) -> FailureReason | None:
        """Takes a call in, on which nothing is decided before `route_call`."""
        self.counters[Count.CALL_SETUPS] += 1
        if request.call in self.calls:
            self.counters[Count.DUPLICATE_CALL_SETUPS] += 1
            return FailureReason.DUPLICATE
        if not self.lifecycle.admits_calls(self.wheel.now):
            return self.reject_unaccepted(request, FailureReason.DRAINED)
        if not self.calls.has_room_for(request):
            return self.reject_unaccepted(request)
        call = self._new_call(request, caller, waited)
        self.calls.add(call)
        self.figures.for_class(request.call_class).taken += 1
        remaining = call.deadline - call.received_at
        if self.history:
            self.history.note(call.id, "set-up", f"{remaining:.0f} of {request.timeout:.0f} ms left")
        guard_at = call.received_at + max(0.0, remaining - ANSWER_MARGIN) + GUARD_DELAY
        self.wheel.call_at(guard_at, self._answer_overdue, call.id)
        if self.observer:
            self.observer.call_received(call)
        return None

    def _new_call(self, request: SetupRequest, caller: Caller, waited: float) -> Call:
        """The caller waits from its last byte on, not from our reading it.

        After a standstill, call setups that had waited unread were answered too late; each is taken to have
        come as early as it can have.
        """
        call_class = self.controller.classes.get(request.call_class)
        remaining = max(0.0, request.timeout - max(waited, self.wheel.lag))
        return Call(
            request.call,
            request,
            caller,
            received_at=self.wheel.now,
            deadline=self.wheel.now + remaining,
            max_attempts=self.settings.max_attempts,
            idempotent=call_class is None or call_class.idempotent,
        )

    def reject_unaccepted(
        self, request: SetupRequest, reason: FailureReason = FailureReason.TABLE_FULL
    ) -> FailureReason:
        """A call that is rejected before it is taken in; whoever handed it in answers it."""
        self.counters[reason.value.replace("_", " ")] += 1
        self.figures.for_class(request.call_class).taken += 1
        self.figures.count_result(request.call_class, CallResult.REJECTED)
        return reason

    def route_call(self, call_id: str) -> None:
        """A call that was accepted goes to the module, if its caller still waits."""
        call = self.calls.get(call_id)
        if call is not None and call.state is CallState.ACCEPTED:
            call.transition(CallState.ROUTING)
            timeout = max(0.0, call.deadline - ANSWER_MARGIN - self.wheel.now)
            self._feed(call.setup_event(timeout))

    def abandon_call(self, call_id: str, by: Caller) -> bool:
        """The caller stopped waiting. No answer is owed then; False: it has no such call."""
        call = self.calls.get(call_id)
        if self.history:
            self.history.note(call_id, "given up by its caller")
        if call is None or call.caller is not by:
            self.counters[Count.UNKNOWN_ABANDONED] += 1
            return False
        if call.established:  # the answer crossed it: the caller does not want the call any more
            self.release_call(call_id, ReleaseCause.NORMAL, by)
            call.caller.call_released(call_id, ReleaseCause.NORMAL)
            return True
        self.counters[Count.CALLS_ABANDONED] += 1
        self._settle(call, CallResult.ABANDONED)
        self._remove(call)
        self._feed(i.CallerAbandoned(call_id))
        self._give_up_rest(call, i.Outcome.CANCELLED)
        return True

    def release_call(self, call_id: str, cause: int, by: Caller) -> bool:
        """The caller ends a call, established or still being set up; False: it has no such call."""
        call = self.calls.get(call_id)
        if self.history:
            self.history.note(call_id, "released by its caller", str(cause))
        if call is None and by.calls_survive and self._release_unknown(call_id, cause):
            return True
        if call is None or call.caller is not by:
            self.counters[Count.UNKNOWN_RELEASED] += 1
            return False
        if not call.established:
            return self.abandon_call(call_id, by)
        self._release_established(call, cause)
        return True

    def _release_established(self, call: Call, cause: int) -> None:
        self.counters[Count.RELEASED_BY_CALLERS] += 1
        self._remove(call)
        if call.server is not None:
            self.engines.send_release(call.server, call.id, cause)
        self._end(call, i.Outcome.CANCELLED)

    def _release_unknown(self, call_id: str, cause: int) -> bool:
        """A caller's release of a call that the peer process, or the predecessor, may have; False:
        neither.
        """
        if self.peer_process and call_id not in self.predecessor.ended:
            self.peer_process.caller_released(call_id, cause)
            return True
        return self._release_at_every_engine(call_id, cause)

    def _release_at_every_engine(self, call_id: str, cause: int) -> bool:
        """A caller's release of a call that the predecessor may have; False: it can't be."""
        if not self._may_be_predecessors(call_id) or not self.predecessor.may_broadcast(
            self.wheel.now, call_id
        ):
            return False
        self.predecessor.broadcasts += 1
        self.counters[Count.PREDECESSOR_RELEASES] += 1
        self.predecessor.call_ended(self.wheel.now, call_id)
        for server in self.endpoints.listed():  # which of them has it, the predecessor knew
            self.engines.send_release(server, call_id, cause)
        return True

    def fail_call(self, call_id: str, by: Caller) -> None:
        """The call can't be kept though its caller still waits: it is answered, and all of it is over."""
        call = self.calls.get(call_id)
        if call is not None and call.caller is by and not call.established:
            reason = FailureReason.FAILED if call.written else FailureReason.REJECTED
            self._fail_without_module(call, reason)

    # from the peer process

    def release_from_peer(self, call_id: str, cause: int, by_caller: bool) -> None:
        """A release that came to the other process, from a caller or from an engine."""
        call = self.calls.get(call_id)
        if call is None:
            self._release_unknown_to_both(call_id, cause, by_caller)
        elif not call.established or call.server is None:
            self.counters[Count.LATE_RELEASES] += 1
        elif by_caller:
            self.release_call(call_id, cause, call.caller)
        else:
            self.released_by_engine(call.server, call_id, cause)

    def _release_unknown_to_both(self, call_id: str, cause: int, by_caller: bool) -> None:
        """Neither process has the call: one that ended before both may have had it.

        The peer has passed it on and does nothing more, so this is the last place that can.
        """
        if by_caller:
            passed_on = self._release_at_every_engine(call_id, cause)
        else:
            passed_on = self._notify_predecessor_callers(call_id, cause)
            if passed_on and self.peer_process is not None:  # its caller may be connected there
                self.peer_process.release_undeliverable(call_id, cause)
        if not passed_on:
            self.counters[Count.LATE_RELEASES] += 1

    # from the quote engines

    def answered_by_engine(self, server: str, call_id: str, description: bytes) -> None:
        """The engine answered an attempt: the call is established."""
        call = self.calls.get(call_id)
        if self.history:
            self.history.note(call_id, "answer heard", server)
        if call is None or call.server != server:
            # It crossed our cancelling, which frees its circuits; or it is a second copy, or of no call of
            # ours. Guards against an engine that has us write a release for whatever id it thinks up.
            self.counters[Count.LATE_ANSWERS] += 1
            return
        if call.established:
            self.counters[Count.DUPLICATE_ANSWERS] += 1
            return
        now = self.wheel.now
        self.calls.establish(call, now)
        self.counters[Count.CALLS_ESTABLISHED] += 1
        self._measure(Duration.CALL_SETUP, now - call.received_at)
        self._settle(call, CallResult.ESTABLISHED)
        call.caller.call_established(call_id, description)
        self._feed(i.AttemptAnswered(call_id, call.attempt, server, now - call.sent_at))

    def released_by_engine(
        self,
        server: str,
        call_id: str,
        cause: int,
        note: str = "",
        report: Report = (),
        retry_after: float = 0.0,
    ) -> None:
        """The engine rejected an attempt, or ended an established call.

        `retry_after`: ms that a full processor asks to be left alone; 0: it does not say.
        """
        call = self.calls.get(call_id)
        if self.history:
            self.history.note(call_id, "release heard", f"{server} {cause} {note}")
        if call is None and self._pass_on_release(call_id, cause):
            return
        if call is None or call.server != server:
            self.counters[Count.LATE_RELEASES] += 1  # such as the second copy on the next connection
        elif call.established:
            self._ended_by_engine(call, cause, report)
        elif cause == ReleaseCause.NORMAL:
            self._ended_before_answer(call, report)
        else:
            self._attempt_released(call, cause, note, report, retry_after)

    def _pass_on_release(self, call_id: str, cause: int) -> bool:
        """An engine's release of a call that the peer process, or the predecessor, may have; False:
        neither.
        """
        if self.peer_process and call_id not in self.predecessor.ended:
            self.peer_process.engine_released(call_id, cause)
            return True
        return self._notify_predecessor_callers(call_id, cause)

    def _notify_predecessor_callers(self, call_id: str, cause: int) -> bool:
        """An engine's release of a call that the predecessor may have; False: it can't be."""
        if self.on_predecessor_release is None or not self._may_be_predecessors(call_id):
            return False
        # Guards the callers of the predecessor, which stopped or died while their calls were established.
        self.counters[Count.PREDECESSOR_RELEASES] += 1
        self.predecessor.call_ended(self.wheel.now, call_id)
        self.on_predecessor_release(call_id, cause)
        return True

    def _may_be_predecessors(self, call_id: str) -> bool:
        return self.on_predecessor_release is not None and self.predecessor.may_be(self.wheel.now, call_id)

    def _ended_by_engine(self, call: Call, cause: int, report: Report) -> None:
        normal = cause == ReleaseCause.NORMAL
        self.counters[Count.CALLS_ENDED if normal else Count.CALLS_CUT] += 1
        self._remove(call)
        call.caller.call_released(call.id, cause)
        self._end(call, i.Outcome.OK if normal else i.Outcome.RESET, report)

    def _ended_before_answer(self, call: Call, report: Report) -> None:
        """It was established at the engine and has come to its end; its answer is late, or lost.

        Set up again under the same id it would be established for a caller to whom it counts as over.
        """
        self.counters[Count.ENDED_BEFORE_ANSWER] += 1
        self.counters[CountFamily.ATTEMPTS + i.Outcome.RESET.value] += 1
        self._answer_failed(call, FailureReason.FAILED, 0.0)
        self._feed(i.CallerAbandoned(call.id))
        self._end(call, i.Outcome.RESET, report)

    def _attempt_released(
        self, call: Call, cause: int, note: str, report: Report, retry_after: float
    ) -> None:
        if cause == ReleaseCause.NO_CIRCUIT:
            processor_full = note == PROCESSOR_FULL_NOTE
            call.obstacles |= Obstacle.PROCESSOR_FULL if processor_full else Obstacle.NO_CIRCUIT
            outcome = i.Outcome.REJECTED
        elif cause == ReleaseCause.NOT_SENT:
            outcome = i.Outcome.NOT_SENT
        elif cause in ReleaseCause.ERRORS:
            outcome = i.Outcome.ERROR
        else:
            outcome = i.Outcome.RESET
        self._attempt_ended(call, outcome, note, report, retry_after)

    def attempt_unreachable(self, server: str, call_id: str) -> None:
        """No connection came up: nothing of the attempt has run."""
        self._attempt_lost(server, call_id, i.Outcome.CONNECT_FAILED)

    def attempt_disconnected(self, server: str, call_id: str) -> None:
        """The connection of an attempt ended: the attempt may have run."""
        self._attempt_lost(server, call_id, i.Outcome.RESET)

    def _attempt_lost(self, server: str, call_id: str, outcome: i.Outcome) -> None:
        call = self.calls.get(call_id)
        if call is not None and call.state is CallState.ATTEMPTING and call.server == server:
            self._attempt_ended(call, outcome)

    def attempt_written(self, call_id: str) -> None:
        """An attempt of this call was written completely to its engine."""
        call = self.calls.get(call_id)
        if call is not None:
            call.written = True
            self.figures.for_class(call.request.call_class).relayed += 1

    def engine_died(self, server: str, before: float = inf) -> None:
        """The engine is down or silent for too long: calls established there (before a time) are cut."""
        for call in self.calls.established_at(server, before):
            self.released_by_engine(server, call.id, ReleaseCause.RECOVERY_ERROR)

    def load_reported(self, server: str, healthy: bool, report: Report) -> None:
        """An engine told its state unasked, or answered a probe."""
        self._feed(i.LoadReported(server, i.Outcome.OK if healthy else i.Outcome.ERROR, report))

    # from the endpoint list

    def endpoints_changed(self, update: i.EndpointsChanged) -> None:
        """The endpoint list, or a part of it, is this now."""
        self.counters[Count.ENDPOINT_UPDATES] += 1
        self.endpoints.mark_unlisted(update)
        for endpoint in update.endpoints:
            if self.endpoints.restarted(endpoint):
                self.engine_died(endpoint.server, endpoint.started_at)  # the calls of the old process are cut
            self.endpoints.update(endpoint)
        self._feed(update)
        for server in self.endpoints.not_ready():
            self.engines.endpoint_unavailable(server)
        for endpoint in update.endpoints:
            if endpoint.state is i.EndpointState.REMOVED:
                self.engine_died(endpoint.server)

    # the end of this process

    def answer_all(self) -> None:
        """At the end of a planned stop: what is still owed an answer gets one."""
        for call in list(self.calls.values()):
            if not call.established:
                safe = call.idempotent or not call.written
                reason = FailureReason.REJECTED if safe else FailureReason.FAILED
                self._fail_without_module(call, reason, self.settings.max_retry_after)

    def cut_calls_that_end_here(self) -> None:
        """At the very end: calls that no next process can carry on are released, and both sides are told so.

        The others stay established at their engines, and their releases come to the next process.
        """
        for call in list(self.calls.values()):
            if call.established and not call.caller.calls_survive:
                self.release_call(call.id, ReleaseCause.RECOVERY_ERROR, call.caller)
                call.caller.call_released(call.id, ReleaseCause.RECOVERY_ERROR)
