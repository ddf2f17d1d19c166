"""The SIP listener: takes callers' connections in, and closes them without losing a call."""

from __future__ import annotations

from typing import Any

from loguru import logger
from twisted.internet.protocol import Factory

from softswitch.core.call_history import CONNECTIONS
from softswitch.core.counters import Count, CountFamily
from softswitch.core.lifecycle import DRAIN_KEEPS_CONNECTION_FOR, NEW_CONNECTION_TIMEOUT, Phase
from softswitch.core.switch import Switch
from softswitch.net.release_sender import ReleaseSender
from softswitch.net.sip_calls import SipCalls
from softswitch.net.sip_codec import SipMessage, SipParseError, SipRequest
from softswitch.net.sip_connection import TURN_BUDGET, SipConnection
from softswitch.net.sip_connection_table import MESSAGE_TIMEOUT, ConnectionTable

ACCEPTS_PER_TURN = 8  # connections taken in at once, and 20 more at the most
MAX_SHED_TRIES = 8  # connections that are looked at for one that can go
SWEEP_INTERVAL = 250.0  # ms between two looks at the connections
CLOSE_TIMEOUT = 1_000.0  # ms that a close may take
UNREAD_TIMEOUT = 5_000.0  # ms that a caller may leave its answers unread


class SipServer(Factory):
    """All callers' connections, and when they close. Fulfils `sip_connection.ConnectionOwner`."""

    noisy = False

    def __init__(self, name: str, switch: Switch, max_connections: int = 600) -> None:
        self.name = name
        self.switch = switch
        self.wheel = switch.wheel
        self.port: Any = None  # where they connect; a Twisted port
        self.connections = ConnectionTable(max_connections)
        self.releases = ReleaseSender(name, switch)
        self.calls = SipCalls(switch, self.releases, self)
        self._opened = 0  # connections so far
        switch.on_predecessor_release = self.calls.call_released
        switch.lifecycle.on_change.append(self._phase_changed)
        self.wheel.call_after(SWEEP_INTERVAL, self._sweep)

    # connections come

    def attach(self, port: Any) -> None:
        """The Twisted port where callers connect. At its first turn too it takes in no more than at others.

        Twisted's first turn takes 100: those waiting as a listener is handed over would exceed the
        descriptors, as connections that are closed to make room hold theirs until the end of the turn.
        """
        self.port = port
        port.numberAccepts = ACCEPTS_PER_TURN

    def buildProtocol(self, addr: object) -> SipConnection | None:
        """Called by Twisted as a caller connects."""
        if self.port is not None:
            # Else a flood is taken in whole before any of it can be closed.
            self.port.numberAccepts = ACCEPTS_PER_TURN
        if self.connections.full and not self._make_room():
            self.switch.counters[Count.CONNECTIONS_REFUSED] += 1
            return None
        return SipConnection(self)

    def _make_room(self) -> bool:
        """Ends a connection at once: one that is closing, else an idle one, once what lies unread there was
        read.

        A call setup may have arrived there long before we get to look.
        """
        for connection in self.connections.closing:
            del self.connections.closing[connection]
            connection.transport.abortConnection()
            return True
        for _ in range(MAX_SHED_TRIES):
            victim = self.connections.next_to_shed(self.wheel.now)
            if victim is None:
                return False
            if victim.read_pending():
                self.switch.counters[Count.CONNECTIONS_SHED] += 1
                self.close(victim, lingering=False)
            if victim not in self.connections or victim.is_closing:
                return True
        return False

    def connection_opened(self, connection: SipConnection) -> None:
        """The connection is up."""
        self._opened += 1
        connection.name = f"c{self._opened}"
        self.connections.add(self.wheel.now, connection)
        if self.switch.history:
            self.switch.history.note(CONNECTIONS, "caller's connection", connection.name)
        self.switch.counters[Count.CALLER_CONNECTIONS] += 1

    def connection_lost(self, connection: SipConnection) -> None:
        """The connection is over."""
        self.connections.remove(connection)
        if self.switch.history:
            self.switch.history.note(CONNECTIONS, "caller's connection over", connection.name)
        self.releases.connection_closed(connection)
        self.calls.abandon_calls_of(connection)

    def is_open(self, connection: SipConnection) -> bool:
        """Whether the connection is up."""
        return connection in self.connections

    # what comes on them

    def data_of_newcomer(self, connection: SipConnection) -> None:
        """A piece of a connection's first message came."""
        self.connections.first_message_piece(self.wheel.now, connection)

    def request_received(self, connection: SipConnection, request: SipRequest) -> None:
        """A request is complete."""
        self.calls.handle(connection, request)

    def response_received(self, connection: SipConnection, message: SipMessage) -> None:
        """An answer to a release of ours is complete."""
        self.calls.handle_response(connection, message)

    def route_calls(self, calls: list[str]) -> None:
        """Calls that were accepted may be decided on."""
        for call in calls:
            self.switch.route_call(call)

    def message_unreadable(self, connection: SipConnection, error: SipParseError) -> None:
        """Where the next message begins is not known: the caller is told so, and nothing more is read."""
        self.switch.counters[Count.BAD_MESSAGES] += 1
        logger.warning("caller: bad message, connection closed: {}", error)
        message = connection.message
        if message.start_line and not message.is_response:
            connection.answer(error.code, message)
        self.close(connection)

    def connection_misused(self, connection: SipConnection) -> None:
        """The caller sent too much that can't be used."""
        self.switch.counters[Count.CONNECTIONS_MISUSED] += 1
        self.close(connection)

    def backpressure_changed(self, connection: SipConnection, backpressured: bool) -> None:
        """The caller stopped reading its answers, or reads again."""
        self.releases.queue.set_backpressured(connection, backpressured)

    # reading in turns

    def is_deferred(self, connection: SipConnection) -> bool:
        """Whether the rest of what came there waits for a later turn."""
        return connection in self.connections.deferred

    def defer(self, connection: SipConnection) -> None:
        """Callers had their part of this turn: the rest of what came there is read in a later one."""
        if not self.connections.deferred:
            self.wheel.call_at(self.wheel.now, self._resume_deferred)
        self.connections.deferred[connection] = None

    def _resume_deferred(self) -> None:
        waiting, self.connections.deferred = self.connections.deferred, {}
        while waiting and self.wheel.elapsed_since_read() <= TURN_BUDGET / 2:
            connection = next(iter(waiting))
            del waiting[connection]
            connection.resume_deferred()
        if waiting and not self.connections.deferred:
            self.wheel.call_at(self.wheel.now, self._resume_deferred)
        self.connections.deferred = waiting | self.connections.deferred

    # connections fall idle

    def update_idle(self, connection: SipConnection) -> None:
        """The connection was answered, or is owed an answer: no newcomer. Idle, if no call is pending
        there.
        """
        connection.is_newcomer = False
        self.connections.unlist(connection)
        if connection.pending_calls or connection not in self.connections:
            return
        self.connections.mark_idle(self.wheel.now, connection)
        if self.switch.lifecycle.closes_idle_connections:
            self._close_idle_soon(connection)

    def _close_idle_soon(self, connection: SipConnection) -> None:
        """Closes it unless something comes before the next tick but one: what lies unread is read first."""
        self.wheel.call_after(2 * self.switch.settings.tick, self._close_if_idle, connection)

    def _close_if_idle(self, connection: SipConnection) -> None:
        if connection not in self.connections or connection.is_closing:
            return
        connection.read_pending()
        if self._is_used(connection):
            return
        lifecycle = self.switch.lifecycle
        if not lifecycle.closes_idle_connections:
            return
        if lifecycle.keeps_last_connection(self.wheel.now) and self._carries_last_releases(connection):
            return
        self.switch.counters[Count.CONNECTIONS_DRAINED] += 1
        self.close(connection)

    def _is_used(self, connection: SipConnection) -> bool:
        if connection not in self.connections or connection.pending_calls:
            return True
        return connection.message_started_at is not None or self.is_deferred(connection)

    def _carries_last_releases(self, connection: SipConnection) -> bool:
        """Whether it is the only one left to carry releases of established calls."""
        if connection.caller_active_at is None or not self.calls.established:
            return False
        return not self.connections.other_active(connection)

    def _close_all_idle(self) -> None:
        now = self.wheel.now
        silent = [c for c, since in self.connections.silent.items() if now - since > NEW_CONNECTION_TIMEOUT]
        for connection in [*silent, *self.connections.idle, *self.connections.idle_callers]:
            self._close_if_idle(connection)

    def _phase_changed(self, phase: Phase) -> None:
        """Where callers are to go, idle connections go at once."""
        if self.switch.lifecycle.closes_idle_connections:
            for connection in [*self.connections.idle, *self.connections.idle_callers]:
                self._close_idle_soon(connection)
            self.wheel.call_after(DRAIN_KEEPS_CONNECTION_FOR, self._close_all_idle)

    # connections go

    def close(self, connection: SipConnection, lingering: bool = True) -> None:
        """Closes a connection. What is still owed an answer there gets one: closing must lose no call.

        Our side closes first and theirs is read to its end, if `lingering`: unread bytes would make a reset
        of it.
        """
        if connection.is_closing:
            return
        connection.closing_since = self.wheel.now
        self.releases.connection_closed(connection)
        self.calls.fail_calls_of(connection)
        self.connections.start_closing(connection, lingering)
        connection.clearLineBuffer()
        connection.transport.unregisterProducer()
        if lingering:
            connection.transport.loseWriteConnection()
            connection.transport.resumeProducing()
        else:
            connection.transport.loseConnection()

    def _close_as(self, connection: SipConnection, reason: str) -> None:
        self.switch.counters[CountFamily.CONNECTIONS_CLOSED + reason] += 1
        if connection.message_started_at is not None and connection.message.start_line:
            connection.answer(408, connection.message)
        self.close(connection)

    def _sweep(self) -> None:
        now = self.wheel.now
        self.wheel.call_after(SWEEP_INTERVAL, self._sweep)
        if self.switch.lifecycle.closes_idle_connections:
            self._close_all_idle()
            self.calls.fail_overdue(now)
        self._close_inactive(now)
        for connection in self.connections:
            self._check(now, connection)

    def _close_inactive(self, now: float) -> None:
        while connection := self.connections.silent_too_long(now):
            self._close_unless_read(connection, "silent")
        while connection := self.connections.idle_too_long(now):
            self._close_unless_read(connection, "idle")
        for connection in self.connections.stalled_first_messages(now):
            self._close_as(connection, "silent")

    def _close_unless_read(self, connection: SipConnection, reason: str) -> None:
        self.connections.unlist(connection)
        if connection.read_pending():
            self._close_as(connection, reason)
        elif self.is_open(connection) and not connection.is_closing and not connection.is_newcomer:
            self.update_idle(connection)

    def _check(self, now: float, connection: SipConnection) -> None:
        """Ends a connection that is stuck: answers unread, a close that hangs, a message without end."""
        backpressured_at, closing_since = connection.backpressured_at, connection.closing_since
        if backpressured_at is not None and now - backpressured_at > UNREAD_TIMEOUT:
            unread_for = now - backpressured_at
            logger.warning("caller: answers unread for {:.0f} ms, connection closed", unread_for)
            connection.transport.abortConnection()
        elif closing_since is not None:
            if now - closing_since > CLOSE_TIMEOUT:
                connection.transport.abortConnection()  # a close waits for what was written to be read
        elif connection.message_started_at is not None:
            if now - connection.message_started_at > MESSAGE_TIMEOUT:
                self.message_unreadable(connection, SipParseError("not whole in time", 408))
