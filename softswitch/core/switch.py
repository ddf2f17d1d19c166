"""The switch: processes call setups, engine messages and endpoint list updates, independent of the protocol.

Callers submit call setups and receive the answers through `call.Caller`; engines are reached through
`call.Engines`. The decision module makes the routing decisions (`policy_executor`). All times are in ms on
the clock of the timer wheel.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from softswitch import interface as i
from softswitch.core.call import (
    ENDED_CONNECTION,
    NO_CONNECTION,
    Call,
    Caller,
    CallResult,
    CallState,
    Connection,
    Engines,
    FailureReason,
    Obstacle,
    PeerProcess,
    ReleaseCause,
    SetupRequest,
)
from softswitch.core.counters import Count, CountFamily, Duration
from softswitch.core.endpoint_directory import IncarnationEnded
from softswitch.core.lifecycle import Lifecycle
from softswitch.core.policy_executor import PROCESSOR_FULL_NOTE, PolicyExecutor, Report
from softswitch.core.timer_wheel import TimerWheel
from softswitch.interface import CallId

# Ms by which the decision module's deadline precedes the caller's: the answer still has to reach the caller.
ANSWER_MARGIN = 40.0
UNKNOWN_CLASS_TIMEOUT = 1_000.0  # ms; the decision module rejects such a call at once
GUARD_DELAY = 15.0  # ms after the module's deadline until the switch itself sends a missing answer


class Switch(PolicyExecutor):
    """Handles all calls of one softswitch process, from setup to end."""

    def __init__(self, settings: i.Settings, seed: int, wheel: TimerWheel, engines: Engines) -> None:
        super().__init__(settings, seed, wheel, engines)
        self.lifecycle = Lifecycle()
        self.peer_process: PeerProcess | None = None  # while one process replaces the other
        # Called with (call, cause) when an engine releases a call that may belong to the predecessor.
        self.on_predecessor_release: Callable[[CallId, int], None] | None = None

    # from callers

    def request_setup(
        self,
        request: SetupRequest,
        caller: Caller,
        connection: Connection,
        waited: float = 0.0,
        answer_bytes: int = 0,
    ) -> FailureReason | None:
        """Accepts and routes a call whose setup waited `waited` ms in this process.

        `answer_bytes`: see `accept_call`. Returns None if the call was accepted: its one answer is sent
        through `caller`. Until then only `connection` may end the call.
        """
        reason = self.accept_call(request, caller, connection, waited, answer_bytes)
        if reason is None:
            self.route_call(request.call)
        return reason

    def has_call(self, call_id: CallId) -> bool:
        """Whether this process, or the peer process, has or had a call with this id.

        A call that ended counts for a while, unless no attempt of it was written to an engine.
        """
        if call_id in self.calls or self.recent_calls.has(self.wheel.now, call_id):
            return True
        return self.peer_process is not None and self.peer_process.has_call(call_id)

    def accept_call(
        self,
        request: SetupRequest,
        caller: Caller,
        connection: Connection,
        waited: float = 0.0,
        answer_bytes: int = 0,
    ) -> FailureReason | None:
        """Accepts a call without passing it to the decision module; `route_call` does that.

        `answer_bytes`: what the front retains of the request until its answer. Returns the reason if the call
        is not accepted.
        """
        self.counters[Count.CALL_SETUPS] += 1
        if self.has_call(request.call):
            self.counters[Count.DUPLICATE_CALL_SETUPS] += 1
            return FailureReason.DUPLICATE
        if not self.lifecycle.admits_calls(self.wheel.now):
            return self.reject_unaccepted(request, FailureReason.DRAINED)
        if not self.calls.has_capacity_for(request, connection, answer_bytes):
            return self.reject_unaccepted(request)
        call = self._new_call(request, caller, connection, waited)
        call.answer_bytes = answer_bytes
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

    def _new_call(self, request: SetupRequest, caller: Caller, connection: Connection, waited: float) -> Call:
        """Creates a call. Its deadline counts from the arrival of the request's last byte, not from its read.

        After a stall of the process, call setups that had waited unread were answered too late. So each
        request is assumed to have arrived at the earliest possible time.
        """
        call_class = self.controller.classes.get(request.call_class)
        remaining = max(0.0, request.timeout - max(waited, self.wheel.lag))
        if call_class is None or call_class.deadline > 0:
            # Timers last until the deadline, also those of a call that is taken back at once.
            remaining = min(remaining, call_class.deadline if call_class else UNKNOWN_CLASS_TIMEOUT)
        return Call(
            request.call,
            request,
            caller,
            connection,
            received_at=self.wheel.now,
            deadline=self.wheel.now + remaining,
            max_attempts=self.settings.max_attempts,
            idempotent=call_class is None or call_class.idempotent,
        )

    def reject_unaccepted(
        self, request: SetupRequest, reason: FailureReason = FailureReason.TABLE_FULL
    ) -> FailureReason:
        """Counts a call that is rejected without being accepted. The server that received it answers it."""
        self.counters[reason.value.replace("_", " ")] += 1
        self.figures.for_class(request.call_class).taken += 1
        self.figures.count_result(request.call_class, CallResult.REJECTED)
        return reason

    def route_call(self, call_id: CallId) -> None:
        """Passes an accepted call to the decision module unless the call has ended meanwhile."""
        call = self.calls.get(call_id)
        if call is not None and call.state is CallState.ACCEPTED:
            call.transition(CallState.ROUTING)
            timeout = max(0.0, call.deadline - ANSWER_MARGIN - self.wheel.now)
            self._feed(call.setup_event(timeout))

    def abandon_call(self, call_id: CallId, by: Caller, connection: Connection) -> bool:
        """Ends a call whose caller stopped waiting; no answer is sent.

        False: no call was set up under this id on this connection. Another connection can end a call only
        once it is established, and only with `release_call`.
        """
        call = self.calls.get(call_id)
        if call is None or call.caller is not by:
            self.counters[Count.UNKNOWN_ABANDONED] += 1
            return False
        if call.connection is not connection:
            self._note_wrong_connection(call_id)
            return False
        if self.history:
            self.history.note(call_id, "given up by its caller")
        if call.established:  # the cancel crossed the answer: the established call is released
            self.release_call(call_id, ReleaseCause.NORMAL, by, connection)
            call.caller.call_released(call_id, ReleaseCause.NORMAL)
            return True
        self.counters[Count.CALLS_ABANDONED] += 1
        self._settle(call, CallResult.ABANDONED)
        self._remove(call)
        self._feed(i.CallerAbandoned(call_id))
        self._cancel_remaining_attempt(call, i.Outcome.CANCELLED)
        return True

    def connection_ended(self, connection: Connection, calls: Iterable[CallId]) -> None:
        """Drops the reference to an ended connection from the established calls among `calls`.

        They may go on for long, and a connection takes several KB with its transport.
        """
        for call_id in calls:
            call = self.calls.get(call_id)
            if call is not None and call.established and call.connection is connection:
                call.connection = ENDED_CONNECTION

    def _note_wrong_connection(self, call_id: CallId) -> None:
        self.counters[Count.ENDED_ON_WRONG_CONNECTION] += 1
        if self.history:
            self.history.note(call_id, "not given up: asked on another connection")

    def release_call(
        self, call_id: CallId, cause: int, by: Caller, connection: Connection | None = None
    ) -> bool:
        """Ends a call at its caller's request.

        An established call may be released on any connection, an open one only on its own. False: that caller
        has no such call, or has not set it up on this connection.
        """
        call = self.calls.get(call_id)
        if self.history and (call is None or call.established):
            self.history.note(call_id, "released by its caller", str(cause))
        if call is None and by.calls_survive and self._release_unknown(call_id, cause):
            return True
        if call is None or call.caller is not by:
            self.counters[Count.UNKNOWN_RELEASED] += 1
            return False
        if not call.established:
            return self.abandon_call(call_id, by, connection)
        self._release_established(call, cause)
        return True

    def _release_established(self, call: Call, cause: int) -> None:
        self.counters[Count.RELEASED_BY_CALLERS] += 1
        self._remove(call)
        if call.server is not None:
            self.engines.send_release(call.server, call.id, cause)
        self._report_end(call, i.Outcome.CANCELLED)

    def _release_unknown(self, call_id: CallId, cause: int) -> bool:
        """Passes on a caller's release of a call that the peer process or the predecessor may have.

        Returns False if neither can have the call.
        """
        if self.peer_process and call_id not in self.predecessor.ended:
            self.peer_process.caller_released(call_id, cause)
            return True
        return self._release_at_every_engine(call_id, cause)

    def _release_at_every_engine(self, call_id: CallId, cause: int) -> bool:
        """Sends a caller's release of a call that the predecessor may have to every engine.

        Returns False if the predecessor cannot have the call, or if the limit on such releases is reached.
        """
        if not self._may_be_predecessors(call_id) or not self.predecessor.may_broadcast(
            self.wheel.now, call_id
        ):
            return False
        self.predecessor.broadcasts += 1
        self.counters[Count.PREDECESSOR_RELEASES] += 1
        self.predecessor.call_ended(self.wheel.now, call_id)
        for server in self.endpoints.listed():  # only the predecessor knew which engine has the call
            self.engines.send_release(server, call_id, cause)
        return True

    def fail_call(self, call_id: CallId, by: Caller) -> None:
        """Fails a call setup that cannot continue although its caller still waits, and ends its attempt."""
        call = self.calls.get(call_id)
        if call is not None and call.caller is by and not call.established:
            reason = FailureReason.FAILED if call.written else FailureReason.REJECTED
            self._fail_and_forget(call, reason)

    # from the peer process

    def caller_release_from_peer(self, call_id: CallId, cause: int) -> None:
        """Handles a release that a caller sent to the peer process.

        A caller's release ends only calls that callers identify by their id alone, because the peer process
        does not know the front of a call. Within one process, no front ends the calls of another either.
        """
        call = self.calls.get(call_id)
        if call is None:
            # An earlier process may have set it up. The peer process takes no further action.
            if not self._release_at_every_engine(call_id, cause):
                self.counters[Count.LATE_RELEASES] += 1
        elif not call.established:
            self.counters[Count.LATE_RELEASES] += 1
        elif call.caller.calls_survive:
            self.release_call(call_id, cause, call.caller)
        else:
            self.counters[Count.UNKNOWN_RELEASED] += 1

    def engine_release_from_peer(self, call_id: CallId, cause: int, server: str | None) -> None:
        """Handles a release that an engine sent to the peer process.

        `server`: the engine; None if the peer process, of an older version, does not name it. An engine may
        still release an attempt of a call that another one has established since.
        """
        call = self.calls.get(call_id)
        if call is None:
            self._engine_release_unknown_to_both(call_id, cause)
        elif not call.established or call.server is None or server not in (None, call.server):
            self.counters[Count.LATE_RELEASES] += 1
        else:
            self.released_by_engine(call.server, call_id, cause)

    def _engine_release_unknown_to_both(self, call_id: CallId, cause: int) -> None:
        """Handles a release of a call that neither process has; an earlier process may have set it up.

        The peer process takes no further action after passing the release on, so this process has to.
        """
        if not self._notify_predecessor_callers(call_id, cause):
            self.counters[Count.LATE_RELEASES] += 1
        elif self.peer_process is not None:  # the caller may be connected to the peer
            self.peer_process.release_undeliverable(call_id, cause)

    # from the quote engines

    def answered_by_engine(self, server: str, call_id: CallId, description: bytes) -> None:
        """Establishes a call whose attempt was answered by its engine."""
        call = self.calls.get(call_id)
        if self.history:
            self.history.note(call_id, "answer heard", server)
        if call is None or call.server != server:
            # The answer crossed the cancel of the attempt, which frees the circuits; or it is a duplicate, or
            # names no call of this process. No release is sent in reply: otherwise an engine could make the
            # switch write releases for arbitrary ids.
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
        call_id: CallId,
        cause: int,
        note: str = "",
        report: Report = (),
        retry_after: float = 0.0,
    ) -> None:
        """Handles an engine's release, which rejects an attempt or ends an established call.

        `retry_after`: ms for which an engine with a full processor requests no calls; 0: not specified.
        """
        call = self.calls.get(call_id)
        if self.history:
            self.history.note(call_id, "release heard", f"{server} {cause} {note}")
        if call is None and self._pass_on_release(server, call_id, cause):
            return
        if call is None or call.server != server:
            self.counters[Count.LATE_RELEASES] += 1  # for example a retransmission on the next connection
        elif call.established:
            self._ended_by_engine(call, cause, report)
        elif cause == ReleaseCause.NORMAL:
            self._ended_before_answer(call, report)
        else:
            self._attempt_released(call, cause, note, report, retry_after)

    def _pass_on_release(self, server: str, call_id: CallId, cause: int) -> bool:
        """Passes on an engine's release of a call that the peer process or the predecessor may have.

        Returns False if neither can have the call.
        """
        if self.peer_process and call_id not in self.predecessor.ended:
            self.peer_process.engine_released(server, call_id, cause)
            return True
        return self._notify_predecessor_callers(call_id, cause)

    def _notify_predecessor_callers(self, call_id: CallId, cause: int) -> bool:
        """Passes an engine's release of a call that the predecessor may have to its callers.

        Returns False if the predecessor cannot have the call.
        """
        if self.on_predecessor_release is None or not self._may_be_predecessors(call_id):
            return False
        # Without this, callers whose predecessor process stopped or died would not be notified that
        # their established calls have ended.
        self.counters[Count.PREDECESSOR_RELEASES] += 1
        self.predecessor.call_ended(self.wheel.now, call_id)
        self.on_predecessor_release(call_id, cause)
        return True

    def _may_be_predecessors(self, call_id: CallId) -> bool:
        return self.on_predecessor_release is not None and self.predecessor.may_be(self.wheel.now, call_id)

    def _ended_by_engine(self, call: Call, cause: int, report: Report) -> None:
        normal = cause == ReleaseCause.NORMAL
        self.counters[Count.CALLS_ENDED if normal else Count.CALLS_CUT] += 1
        self._remove(call)
        call.caller.call_released(call.id, cause)
        self._report_end(call, i.Outcome.OK if normal else i.Outcome.RESET, report)

    def _ended_before_answer(self, call: Call, report: Report) -> None:
        """Fails a call that was established at the engine and ended there before its answer arrived.

        The answer is late or lost. A retry under the same id would establish a call that already counts as
        ended for the caller.
        """
        self.counters[Count.ENDED_BEFORE_ANSWER] += 1
        self.counters[CountFamily.ATTEMPTS + i.Outcome.RESET.value] += 1
        self._answer_failed(call, FailureReason.FAILED, 0.0)
        self._feed(i.CallerAbandoned(call.id))
        self._report_end(call, i.Outcome.RESET, report)

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

    def attempt_unreachable(self, server: str, call_id: CallId) -> None:
        """Ends an attempt for which no connection could be opened; it has not run."""
        self._attempt_lost(server, call_id, i.Outcome.CONNECT_FAILED)

    def attempt_disconnected(self, server: str, call_id: CallId) -> None:
        """Ends an attempt whose connection closed; it may have run."""
        self._attempt_lost(server, call_id, i.Outcome.RESET)

    def _attempt_lost(self, server: str, call_id: CallId, outcome: i.Outcome) -> None:
        call = self.calls.get(call_id)
        if call is not None and call.state is CallState.ATTEMPTING and call.server == server:
            self._attempt_ended(call, outcome)

    def attempt_written(self, call_id: CallId, connection: int = NO_CONNECTION) -> None:
        """Records that an attempt was written completely on a connection to its engine, given by number."""
        call = self.calls.get(call_id)
        if call is not None:
            call.written = True
            call.engine_connection = connection
            self.figures.for_class(call.request.call_class).relayed += 1

    def engine_died(self, server: str) -> None:
        """Releases the calls established at an engine that is down or silent for too long."""
        self._release_lost(self.calls.established_at(server))

    def connection_to_removed_engine_ended(self, server: str, connection: int) -> None:
        """Releases the calls that were set up on the last connection to the process of a removed engine."""
        calls = self.calls.established_at(server)
        self._release_lost(call for call in calls if call.engine_connection == connection)

    def _release_lost(self, calls: Iterable[Call]) -> None:
        """Releases calls that were lost with the process of their engine, which sends no release."""
        for call in calls:
            if call.server is not None:
                self.released_by_engine(call.server, call.id, ReleaseCause.RECOVERY_ERROR)

    def load_reported(self, server: str, healthy: bool, report: Report) -> None:
        """Passes on a load report that an engine sent unrequested or in answer to a probe."""
        self._feed(i.LoadReported(server, i.Outcome.OK if healthy else i.Outcome.ERROR, report))

    # from the endpoint list

    def endpoints_changed(self, update: i.EndpointsChanged) -> None:
        """Applies an update of the endpoint list, complete or incremental."""
        self.counters[Count.ENDPOINT_UPDATES] += 1
        ended = self.endpoints.apply(update)
        # The module learns of the lost calls while it still knows the old process of the engine, so that they
        # do not count against the new one. A removed engine gets no calls, so it has to learn of that first.
        for incarnation in ended:
            if not incarnation.is_removal:
                self._incarnation_ended(incarnation)
        self._feed(update)
        for server in self.endpoints.not_ready():
            self.engines.endpoint_unavailable(server)
        for incarnation in ended:
            if incarnation.is_removal:
                self._incarnation_ended(incarnation)

    def _incarnation_ended(self, ended: IncarnationEnded) -> None:
        """Releases the calls that were established at a process of an engine that has ended.

        The address of the engine may belong to another process by now, which answers there. So calls are
        retained only if their connection is still open: its process has them, whatever its name.
        """
        self.counters[Count.ENGINE_INCARNATIONS_ENDED] += 1
        open_connection = self.engines.incarnation_ended(ended)
        calls = self.calls.established_at(ended.server, ended.replaced_at)
        self._release_lost(
            call
            for call in calls
            if call.engine_connection == NO_CONNECTION or call.engine_connection != open_connection
        )

    # the end of this process

    def answer_all(self) -> None:
        """Answers all calls that are not established, at the end of a planned stop."""
        for call in list(self.calls.values()):
            if not call.established:
                safe = call.idempotent or not call.written
                reason = FailureReason.REJECTED if safe else FailureReason.FAILED
                self._fail_and_forget(call, reason, self.settings.max_retry_after)

    def cut_calls_that_cannot_survive(self) -> None:
        """Releases the established calls that no successor can continue, at their callers and engines.

        Runs last in a planned stop. The other calls stay established at their engines, and their releases go
        to the successor.
        """
        for call in list(self.calls.values()):
            if call.established and not call.caller.calls_survive:
                self.release_call(call.id, ReleaseCause.RECOVERY_ERROR, call.caller)
                call.caller.call_released(call.id, ReleaseCause.RECOVERY_ERROR)
