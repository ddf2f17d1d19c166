"""The calls that came by SIP: callers' requests, and the answers to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from softswitch.core.call import FailureReason
from softswitch.core.counters import Count, CountFamily
from softswitch.core.switch import Switch
from softswitch.net.release_sender import ReleaseSender
from softswitch.net.sip_codec import SipMessage, SipRequest, parse_setup
from softswitch.net.sip_connection import SipConnection

MAX_PENDING = 1_024  # call setups pending on one connection ...
MAX_PENDING_BEFORE_FIRST_CALL = 64  # ... and before the first call was established there
LIGHT_PENALTY = 0.25  # for what a good caller may do now and then
UNKNOWN_NUMBER = "call"  # in the BYE of a call whose setup this process did not see
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
    """A call setup that is owed an answer."""

    connection: SipConnection
    message: SipMessage
    number: str


@dataclass(slots=True)
class EstablishedCall:
    """Where an established call was set up, and the number called."""

    connection: SipConnection
    number: str


class Method:
    """What is done with the requests of one method, and the counter that counts them."""

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
        self.sent_by_callers = sent_by_callers  # and not by health checks
        self.answered_at_once = answered_at_once  # an INVITE's answer comes later, an ACK has none


class ConnectionKeeper(Protocol):
    """Who has to know what a connection is used for."""

    def update_idle(self, connection: SipConnection) -> None:
        """The connection was answered, or its pending calls changed."""


class SipCalls:
    """Owner of the pending and the established calls of SIP callers. Fulfils `core.call.Caller`."""

    calls_survive = True

    def __init__(self, switch: Switch, releases: ReleaseSender, keeper: ConnectionKeeper) -> None:
        self.switch = switch
        self.releases = releases
        self.keeper = keeper
        self.pending: dict[str, PendingSetup] = {}
        self._other = Method(self._refuse_method, "other", sent_by_callers=False)
        self.established: dict[str, EstablishedCall] = {}
        self._methods = {  # the others are answered 405
            "INVITE": Method(self._invite, "INVITE", answered_at_once=False),
            "CANCEL": Method(self._cancel, "CANCEL"),
            "BYE": Method(self._bye, "BYE"),
            "OPTIONS": Method(self._options, "OPTIONS", sent_by_callers=False),
            "ACK": Method(self._ignore, "ACK", answered_at_once=False),
            "NOTIFY": Method(self._ignore, "NOTIFY", answered_at_once=False),
        }

    # requests

    def handle(self, connection: SipConnection, request: SipRequest) -> None:
        """Carries out a request of a caller."""
        method = self._methods.get(request.method, self._other)
        self.switch.counters[method.counter] += 1
        if method.sent_by_callers:
            self._caller_active(connection)
        method.run(connection, request)
        if method.answered_at_once:
            self.keeper.update_idle(connection)

    def _caller_active(self, connection: SipConnection) -> None:
        """Releases that wait for a connection may go out here. The platform's health checks drop them."""
        connection.caller_active_at = self.switch.wheel.now
        if connection.closing_since is None:
            self.releases.caller_active(connection)

    def _invite(self, connection: SipConnection, request: SipRequest) -> None:
        try:
            setup = parse_setup(request)
        except (ValueError, OverflowError) as e:
            self.switch.counters[Count.BAD_MESSAGES] += 1
            logger.warning("caller: set-up that can't be read, answered 400: {}", e)
            connection.answer(400, request.message)
            connection.penalize()
            return
        if setup.call in self.switch.calls:
            self._duplicate_invite(connection, request)
            return
        if len(connection.pending_calls) >= self._max_pending(connection):
            self.switch.counters[Count.TOO_MANY_ON_CONNECTION] += 1
            self.switch.reject_unaccepted(setup)
            connection.answer(503, request.message, retry_after=self.switch.settings.max_retry_after)
            return
        self.pending[setup.call] = PendingSetup(connection, request.message, setup.number)
        connection.pending_calls.add(setup.call)
        self.keeper.update_idle(connection)
        reason = self.switch.accept_call(setup, self, self.switch.wheel.now - connection.received_at)
        if reason is not None:
            self.call_failed(setup.call, reason, 0.0)
        else:
            connection.unrouted_calls.append(setup.call)
        if setup.call_class not in self.switch.controller.classes:
            connection.penalize(LIGHT_PENALTY)

    @staticmethod
    def _max_pending(connection: SipConnection) -> int:
        return MAX_PENDING if connection.had_established_call else MAX_PENDING_BEFORE_FIRST_CALL

    def _duplicate_invite(self, connection: SipConnection, request: SipRequest) -> None:
        pending = self.pending.get(request.call_id)
        known = self.switch.calls[request.call_id]
        if pending and pending.connection is connection and known.request.description == request.body:
            connection.penalize(LIGHT_PENALTY)
            return  # the same call setup again: its answer is on the way
        connection.answer(ANSWER_CODES[FailureReason.DUPLICATE], request.message)
        connection.penalize()

    def _cancel(self, connection: SipConnection, request: SipRequest) -> None:
        known = self.switch.abandon_call(request.call_id, self)
        connection.answer(200 if known else 481, request.message)
        self._forget_pending(request.call_id)

    def _bye(self, connection: SipConnection, request: SipRequest) -> None:
        was_pending = self.releases.queue.acknowledge(request.call_id, by_answer=False)
        known = self.switch.release_call(request.call_id, request.release_cause(), self)
        connection.answer(200 if known or was_pending else 481, request.message)
        self.established.pop(request.call_id, None)
        self._forget_pending(request.call_id)

    def _options(self, connection: SipConnection, request: SipRequest) -> None:
        connection.answer(200 if self.switch.lifecycle.healthy else 503, request.message)

    def _ignore(self, connection: SipConnection, request: SipRequest) -> None:
        """ACK needs no answer, and NOTIFY wants none."""

    def _refuse_method(self, connection: SipConnection, request: SipRequest) -> None:
        connection.answer(405, request.message)
        connection.penalize()

    def _forget_pending(self, call: str) -> None:
        pending = self.pending.pop(call, None)
        if pending:
            pending.connection.pending_calls.discard(call)
            self.keeper.update_idle(pending.connection)

    def handle_response(self, connection: SipConnection, message: SipMessage) -> None:
        """An answer to a release of ours: whatever it says of the call, the caller knows."""
        self.releases.queue.acknowledge(message.call_id)
        if self.switch.history:
            what = f"caller answered {message.start_line[:40]}"
            self.switch.history.note(message.call_id, what, connection.name)

    # connections

    def fail_calls_of(self, connection: SipConnection) -> None:
        """The connection is being closed by us: what is pending there is answered."""
        for call in list(connection.pending_calls):
            self.switch.fail_call(call, self)

    def abandon_calls_of(self, connection: SipConnection) -> None:
        """The connection is over: its caller waits no longer."""
        for call in list(connection.pending_calls):
            self.pending.pop(call, None)
            self.switch.abandon_call(call, self)
        connection.pending_calls.clear()

    def fail_overdue(self, now: float) -> None:
        """During a drain call setups have to go, answered or not."""
        for call_id in list(self.pending):
            call = self.switch.calls.get(call_id)
            if call and self.switch.lifecycle.setup_is_overdue(now, call.received_at):
                self.switch.fail_call(call_id, self)

    # as a `core.call.Caller`

    def call_established(self, call: str, description: bytes) -> None:
        """The call is established: its caller is answered."""
        pending = self.pending.get(call)
        if pending:
            connection = pending.connection
            self.established[call] = EstablishedCall(connection, pending.number)
            connection.penalty = 0.0
            connection.had_established_call = True
            if connection.closing_since is None:
                self.releases.queue.call_established(connection)
        self._answer(call, 200, description)

    def call_failed(self, call: str, reason: FailureReason, retry_after: float) -> None:
        """The call is not established: its caller is answered."""
        self._answer(call, ANSWER_CODES[reason], b"", retry_after)

    def call_released(self, call: str, cause: int) -> None:
        """An established call has ended, here or under the predecessor."""
        known = self.established.pop(call, None)
        if known is None:
            self.releases.release(call, UNKNOWN_NUMBER, cause, None)
        else:
            self.releases.release(call, known.number, cause, known.connection)

    def _answer(self, call: str, code: int, body: bytes = b"", retry_after: float = 0.0) -> None:
        pending = self.pending.pop(call, None)
        if pending is None:
            return
        connection = pending.connection
        connection.pending_calls.discard(call)
        self.switch.counters[CountFamily.SIP_ANSWERS + str(code)] += 1
        if self.switch.history:
            self.switch.history.note(call, f"answered {code}", connection.name)
        if connection.closing_since is None:
            self.keeper.update_idle(connection)
        connection.answer(code, pending.message, body, retry_after)
