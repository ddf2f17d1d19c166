"""The calls of SIP callers: carries out their requests and answers them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from softswitch.core.call import FailureReason, SetupRequest
from softswitch.core.call_id import InvalidCallIdError
from softswitch.core.counters import Count, CountFamily
from softswitch.core.switch import Switch
from softswitch.interface import CallId
from softswitch.net.release_sender import ReleaseSender
from softswitch.net.sip_codec import SipMessage, SipRequest, parse_setup
from softswitch.net.sip_connection import SipConnection

MAX_PENDING = 1_024  # max call setups pending on one connection
MAX_PENDING_BEFORE_FIRST_CALL = 64  # the same, before the first call is established there
# Copies of the echoed headers that count: one is held until the answer, one is in the transport after it.
ANSWER_COPIES = 2
LIGHT_PENALTY = 0.25  # penalty points for requests that a correct caller may send occasionally
# Replaces the called number in the BYE of a call that another process set up.
UNKNOWN_NUMBER = "call"
ANSWER_CODES = {
    FailureReason.REJECTED: 503,
    FailureReason.FAILED: 500,
    FailureReason.DUPLICATE: 482,
    FailureReason.TABLE_FULL: 503,
    FailureReason.DRAINED: 503,
    FailureReason.ABANDONED: 487,
    FailureReason.UNKNOWN_CALL: 481,
}


@dataclass(slots=True)
class PendingSetup:
    """A call setup that is not answered yet."""

    connection: SipConnection
    # All that is retained of the INVITE: its other headers may fill 16 KiB, and nothing needs them.
    echoed_headers: bytes
    number: str


@dataclass(slots=True)
class EstablishedCall:
    """The connection on which an established call was set up, and the called number."""

    connection: SipConnection | None  # None once it has ended
    number: str


class Method:
    """The handler of one SIP method, and the counter of its requests."""

    __slots__ = ("answered_at_once", "counter", "run", "sent_by_callers")

    def __init__(
        self,
        run: Callable[[SipConnection, SipRequest], None],
        name: str,
        sent_by_callers: bool = True,
        answered_at_once: bool = True,
    ) -> None:
        self.run = run
        self.counter = CountFamily.SIP_REQUESTS + name
        self.sent_by_callers = sent_by_callers  # and not by health checks: it shows that a caller is active
        self.answered_at_once = answered_at_once  # False: answered later (INVITE), or never (ACK, NOTIFY)


class IdleTracker(Protocol):
    """Tracks which connections are idle."""

    def update_idle(self, connection: SipConnection) -> None:
        """Called when a request was answered on the connection, or its pending calls changed."""


class SipCalls:
    """Owner of the pending and the established calls of SIP callers. Implements `core.call.Caller`."""

    calls_survive = True

    def __init__(self, switch: Switch, releases: ReleaseSender, idle_tracker: IdleTracker) -> None:
        self.switch = switch
        self.releases = releases
        self.idle_tracker = idle_tracker
        self.pending: dict[CallId, PendingSetup] = {}
        self._unsupported_method = Method(self._reject_method, "other", sent_by_callers=False)
        self.established: dict[CallId, EstablishedCall] = {}
        self._methods = {  # any other method is answered 405
            "INVITE": Method(self._invite, "INVITE", answered_at_once=False),
            "CANCEL": Method(self._cancel, "CANCEL"),
            "BYE": Method(self._bye, "BYE"),
            "OPTIONS": Method(self._options, "OPTIONS", sent_by_callers=False),
            "ACK": Method(self._ignore, "ACK", answered_at_once=False),
            "NOTIFY": Method(self._ignore, "NOTIFY", answered_at_once=False),
        }

    # requests

    def handle(self, connection: SipConnection, request: SipRequest) -> None:
        """Counts a request and carries it out."""
        method = self._methods.get(request.method, self._unsupported_method)
        self.switch.counters[method.counter] += 1
        if method.sent_by_callers:
            self._caller_active(connection)
        method.run(connection, request)
        if method.answered_at_once:
            self.idle_tracker.update_idle(connection)

    def _caller_active(self, connection: SipConnection) -> None:
        """Records that a caller is active on the connection: queued releases may be sent on it.

        The platform's health checks must not count as callers, because they discard releases.
        """
        connection.caller_active_at = self.switch.wheel.now
        if connection.closing_started_at is None:
            self.releases.caller_active(connection)

    def _invite(self, connection: SipConnection, request: SipRequest) -> None:
        try:
            setup = parse_setup(request)
        except (ValueError, OverflowError) as e:
            self._reject_invalid(connection, request, e)
            return
        if connection.caller_disconnected:  # nobody waits for the answer
            self.switch.counters[Count.SETUPS_AFTER_DISCONNECT] += 1
            return
        if self.switch.has_call(setup.call):
            self._duplicate_invite(connection, request, setup)
            return
        if len(connection.pending_calls) >= self._max_pending(connection):
            self.switch.counters[Count.TOO_MANY_ON_CONNECTION] += 1
            self.switch.reject_unaccepted(setup)
            connection.answer(503, request.message, retry_after=self.switch.settings.max_retry_after)
            return
        echoed_headers = bytes(request.message.echoed_headers())
        self.pending[setup.call] = PendingSetup(connection, echoed_headers, setup.number)
        connection.pending_calls.add(setup.call)
        self.idle_tracker.update_idle(connection)
        waited = self.switch.wheel.now - connection.received_at
        answer_bytes = ANSWER_COPIES * len(echoed_headers)
        reason = self.switch.accept_call(setup, self, connection, waited, answer_bytes)
        if reason is not None:
            self.call_failed(setup.call, reason, self._retry_after(reason))
        else:
            connection.unrouted.add(setup.call)
        if setup.call_class not in self.switch.controller.classes:
            connection.penalize(LIGHT_PENALTY)

    def _reject_invalid(self, connection: SipConnection, request: SipRequest, error: Exception) -> None:
        """Answers a request that names no call, or asks for a call that cannot be set up."""
        self.switch.counters[Count.BAD_MESSAGES] += 1
        logger.warning("caller: invalid {}, answered 400: {}", request.method, error)
        connection.answer(400, request.message)
        connection.penalize()

    def _retry_after(self, reason: FailureReason) -> float:
        """Returns the ms for which a caller that was not accepted has to stay away; 0: not specified."""
        return self.switch.settings.max_retry_after if reason is FailureReason.TABLE_FULL else 0.0

    @staticmethod
    def _max_pending(connection: SipConnection) -> int:
        return MAX_PENDING if connection.had_established_call else MAX_PENDING_BEFORE_FIRST_CALL

    def _duplicate_invite(self, connection: SipConnection, request: SipRequest, setup: SetupRequest) -> None:
        pending = self.pending.get(setup.call)
        if pending and pending.connection is connection:
            accepted = self.switch.calls[setup.call].request
            if accepted.description == setup.description:
                connection.penalize(LIGHT_PENALTY)
                return  # a retransmission: the first INVITE is answered later
        connection.answer(ANSWER_CODES[FailureReason.DUPLICATE], request.message)
        connection.penalize()

    def _cancel(self, connection: SipConnection, request: SipRequest) -> None:
        call = self._call_to_end(connection, request)
        if call is None:
            return
        ended = self.switch.abandon_call(call, self, connection)
        connection.answer(200 if ended else 481, request.message)
        if ended:
            self._forget_pending(call)

    def _bye(self, connection: SipConnection, request: SipRequest) -> None:
        call = self._call_to_end(connection, request)
        if call is None:
            return
        was_pending = self.releases.queue.withdraw(call)
        ended = self.switch.release_call(call, request.release_cause(), self, connection)
        connection.answer(200 if ended or was_pending else 481, request.message)
        if ended:
            self._forget_established(call)
            self._forget_pending(call)

    def _call_to_end(self, connection: SipConnection, request: SipRequest) -> CallId | None:
        """Returns the call that a CANCEL or BYE names. One that names none is rejected: None."""
        call = request.call_id
        if call is None:
            self._reject_invalid(connection, request, InvalidCallIdError())
        elif self.switch.history:
            self.switch.history.note(call, f"caller sent {request.method}", connection.name)
        return call

    def _options(self, connection: SipConnection, request: SipRequest) -> None:
        connection.answer(200 if self.switch.lifecycle.healthy else 503, request.message)

    def _ignore(self, connection: SipConnection, request: SipRequest) -> None:
        """Ignores ACK and NOTIFY: neither is answered."""

    def _reject_method(self, connection: SipConnection, request: SipRequest) -> None:
        connection.answer(405, request.message)
        connection.penalize()

    def _forget_pending(self, call: CallId) -> None:
        pending = self.pending.pop(call, None)
        if pending:
            pending.connection.pending_calls.discard(call)
            self.idle_tracker.update_idle(pending.connection)

    def handle_response(self, connection: SipConnection, message: SipMessage) -> None:
        """Processes the response to a BYE: whatever its status, the caller has received the release."""
        call = message.call_id
        if call is None:
            return
        self.releases.queue.acknowledge(call, connection)
        if self.switch.history:
            self.switch.history.note(call, f"caller answered {message.start_line[:40]}", connection.name)

    # connections

    def fail_calls_of(self, connection: SipConnection) -> None:
        """Answers the call setups pending on a connection that the softswitch is closing."""
        for call in list(connection.pending_calls):
            self.switch.fail_call(call, self)

    def abandon_calls_of(self, connection: SipConnection) -> None:
        """Abandons the call setups pending on a connection that its caller has closed."""
        for call in list(connection.pending_calls):
            self.pending.pop(call, None)
            self.switch.abandon_call(call, self, connection)
        connection.pending_calls.clear()

    def connection_ended(self, connection: SipConnection) -> None:
        """Abandons the pending calls of an ended connection, and drops it from the established ones."""
        self.abandon_calls_of(connection)
        for call in connection.established_calls:
            self.established[call].connection = None
        self.switch.connection_ended(connection, connection.established_calls)
        connection.established_calls.clear()

    def fail_overdue(self, now: float) -> None:
        """Fails the call setups that the lifecycle considers overdue during a drain."""
        for call_id in list(self.pending):
            call = self.switch.calls.get(call_id)
            if call and self.switch.lifecycle.setup_is_overdue(now, call.received_at):
                self.switch.fail_call(call_id, self)

    # core.call.Caller

    def call_established(self, call: CallId, description: bytes) -> None:
        """Answers the caller of a call that is now established."""
        pending = self.pending.get(call)
        if pending:
            connection = pending.connection
            self.established[call] = EstablishedCall(connection, pending.number)
            connection.established_calls.add(call)
            connection.penalty = 0.0
            connection.had_established_call = True
            if connection.closing_started_at is None:
                self.releases.queue.call_established(connection)
        self._answer(call, 200, description)

    def call_failed(self, call: CallId, reason: FailureReason, retry_after: float) -> None:
        """Answers the caller of a call that could not be established."""
        self._answer(call, ANSWER_CODES[reason], b"", retry_after)

    def call_released(self, call: CallId, cause: int) -> None:
        """Notifies the caller that an established call, of this process or the predecessor, has ended."""
        established = self._forget_established(call)
        if established is None:
            self.releases.release(call, UNKNOWN_NUMBER, cause, None)
        else:
            self.releases.release(call, established.number, cause, established.connection)

    def forget_ended(self, call: CallId) -> None:
        """Forgets an established call that has ended without a release to its caller."""
        if call not in self.switch.calls:
            self._forget_established(call)

    def _forget_established(self, call: CallId) -> EstablishedCall | None:
        established = self.established.pop(call, None)
        if established is not None and established.connection is not None:
            established.connection.established_calls.discard(call)
        return established

    def _answer(self, call: CallId, code: int, body: bytes = b"", retry_after: float = 0.0) -> None:
        pending = self.pending.pop(call, None)
        if pending is None:
            return
        connection = pending.connection
        connection.pending_calls.discard(call)
        self.switch.counters[CountFamily.SIP_ANSWERS + str(code)] += 1
        if self.switch.history:
            self.switch.history.note(call, f"answered {code}", connection.name)
        if connection.closing_started_at is None:
            self.idle_tracker.update_idle(connection)
        connection.respond(code, pending.echoed_headers, body, retry_after)
