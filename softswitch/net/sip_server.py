"""The SIP listener: accepts callers' connections and closes them without losing a call."""

from __future__ import annotations

from typing import Any

from loguru import logger
from twisted.internet.protocol import Factory

from softswitch.core.call_history import CONNECTIONS
from softswitch.core.counters import Count, CountFamily
from softswitch.core.lifecycle import DRAIN_KEEPS_CONNECTION_FOR, NEW_CONNECTION_TIMEOUT, Phase
from softswitch.core.memory_budget import Holder
from softswitch.core.switch import Switch
from softswitch.interface import CallId
from softswitch.net.received_data import ReceivedData
from softswitch.net.release_sender import ReleaseSender
from softswitch.net.sip_calls import SipCalls
from softswitch.net.sip_codec import SipMessage, SipParseError, SipRequest
from softswitch.net.sip_connection import SipConnection
from softswitch.net.sip_connection_table import MESSAGE_TIMEOUT, ConnectionTable

ACCEPTS_PER_TURN = 8  # connections accepted in one turn of the event loop; Twisted may add up to 20
MAX_SHED_TRIES = 8  # connections examined to find one that can be shed
SWEEP_INTERVAL = 250.0  # ms between two checks of the connections
CLOSE_TIMEOUT = 1_000.0  # ms from the start of a close to an abort
CONNECTION_BYTES = 4_096  # of memory that a connection without data holds
UNREAD_TIMEOUT = 5_000.0  # ms that a caller may leave its responses unread


class SipServer(Factory):
    """Owner of all callers' connections. Implements `sip_connection.ConnectionOwner`."""

    noisy = False

    def __init__(self, name: str, switch: Switch, max_connections: int = 600) -> None:
        self.name = name
        self.switch = switch
        self.wheel = switch.wheel
        self.turns = switch.turns
        self.port: Any = None  # the Twisted port on which callers connect
        self.connections = ConnectionTable(max_connections)
        self.received = ReceivedData(switch)
        self.releases = ReleaseSender(name, switch)
        self.calls = SipCalls(switch, self.releases, self)
        self._opened_count = 0  # connections since the start
        switch.on_predecessor_release = self.calls.call_released
        switch.lifecycle.on_change.append(self._phase_changed)
        self.wheel.call_after(SWEEP_INTERVAL, self._sweep)

    # opening

    def attach(self, port: Any) -> None:
        """Sets the Twisted port on which callers connect, and limits how many it accepts in its first turn.

        By default Twisted accepts 100 in the first turn. The connections that wait when a listener is handed
        over would then exceed the descriptors, because a connection that is shed holds its descriptor until
        the end of the turn.
        """
        self.port = port
        port.numberAccepts = ACCEPTS_PER_TURN

    def buildProtocol(self, addr: object) -> SipConnection | None:
        """Called by Twisted when a caller connects."""
        if self.port is not None:
            # Without this limit a flood is accepted completely before any of it can be closed.
            self.port.numberAccepts = ACCEPTS_PER_TURN
        if self.connections.full and not self._shed_one():
            self.switch.counters[Count.CONNECTIONS_REFUSED] += 1
            return None
        return SipConnection(self)

    def _shed_one(self) -> bool:
        """Closes one connection to free its descriptor; False if none can be closed.

        A connection that is closing is aborted. Otherwise `next_to_shed` selects one, and its unread data is
        processed first: a call setup may be waiting there.
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
        """Registers a new connection."""
        self._opened_count += 1
        connection.name = f"c{self._opened_count}"
        self.connections.add(self.wheel.now, connection)
        self.switch.memory.change(Holder.CONNECTIONS, CONNECTION_BYTES)
        if self.switch.history:
            self.switch.history.note(CONNECTIONS, "caller's connection", connection.name)
        self.switch.counters[Count.CALLER_CONNECTIONS] += 1

    def connection_lost(self, connection: SipConnection) -> None:
        """Removes an ended connection and abandons the calls pending on it."""
        self.connections.remove(connection)
        self.turns.forget(connection)
        self.received.forget(connection)
        self.switch.unsent.forget(connection)
        self.switch.memory.change(Holder.CONNECTIONS, -CONNECTION_BYTES)
        if self.switch.history:
            self.switch.history.note(CONNECTIONS, "caller's connection over", connection.name)
        self.releases.connection_closed(connection)
        self.calls.connection_ended(connection)

    def caller_disconnected(self, connection: SipConnection) -> None:
        """Abandons the calls pending on a connection that its caller has closed."""
        self.calls.abandon_calls_of(connection)

    def is_open(self, connection: SipConnection) -> bool:
        """Whether the connection is still established."""
        return connection in self.connections

    # received data

    def first_message_data(self, connection: SipConnection) -> None:
        """Records that data of a connection's first message was received."""
        self.connections.first_message_data(self.wheel.now, connection)

    def request_received(self, connection: SipConnection, request: SipRequest) -> None:
        """Carries out a complete request."""
        self.calls.handle(connection, request)

    def response_received(self, connection: SipConnection, message: SipMessage) -> None:
        """Processes the response to a BYE that the softswitch sent."""
        self.calls.handle_response(connection, message)

    def route_calls(self, calls: list[CallId]) -> None:
        """Routes accepted calls."""
        for call in calls:
            self.switch.route_call(call)

    def message_unreadable(self, connection: SipConnection, error: SipParseError) -> None:
        """Answers a message that cannot be parsed, and closes the connection.

        The start of the next message is unknown.
        """
        self.switch.counters[Count.BAD_MESSAGES] += 1
        logger.warning("caller: bad message, connection closed: {}", error)
        message = connection.message
        if message.start_line and not message.is_response:
            connection.answer(error.code, message)
        self.close(connection)

    def connection_misused(self, connection: SipConnection) -> None:
        """Closes a connection whose caller has sent too many unusable messages."""
        self.switch.counters[Count.CONNECTIONS_MISUSED] += 1
        self.close(connection)

    def backpressure_changed(self, connection: SipConnection, backpressured: bool) -> None:
        """Records whether the caller reads its responses; releases avoid connections that are not read."""
        self.releases.queue.record_backpressure(connection, backpressured)
        if not backpressured:
            self.switch.unsent.forget(connection)

    def unsent_changed(self, connection: SipConnection, size: int) -> None:
        """Records how much is unsent on a connection that is not read."""
        if connection in self.connections:  # what is written after its end is dropped with it
            self.switch.unsent.update(self.wheel.now, connection, size)

    # memory

    def is_paused(self, connection: SipConnection) -> bool:
        """Whether the connection is not read because the memory does not suffice."""
        return connection in self.received.paused

    def unprocessed_changed(self, connection: SipConnection, size: int) -> None:
        """Records the unprocessed data of a connection."""
        self.received.update(connection, size, may_pause=not self.turns.is_deferred(connection))

    # idle connections

    def update_idle(self, connection: SipConnection) -> None:
        """Called when a request was answered, or the pending calls changed: idle if no call is pending."""
        connection.is_new = False
        self.connections.untrack(connection)
        if connection.pending_calls or connection not in self.connections:
            return
        self.connections.mark_idle(self.wheel.now, connection)
        if self.switch.lifecycle.closes_idle_connections:
            self._close_idle_soon(connection)

    def _close_idle_soon(self, connection: SipConnection) -> None:
        """Closes a connection after two ticks unless it is used by then; unread data is processed first."""
        self.wheel.call_after(2 * self.switch.settings.tick, self._close_if_idle, connection)

    def _close_if_idle(self, connection: SipConnection) -> None:
        if connection not in self.connections or connection.is_closing:
            return
        connection.read_pending()
        if self._is_in_use(connection):
            return
        lifecycle = self.switch.lifecycle
        if not lifecycle.closes_idle_connections:
            return
        if lifecycle.keeps_last_connection(self.wheel.now) and self._is_last_release_path(connection):
            return
        self.switch.counters[Count.CONNECTIONS_DRAINED] += 1
        self.close(connection)

    def _is_in_use(self, connection: SipConnection) -> bool:
        if connection not in self.connections or connection.pending_calls:
            return True
        return connection.message_started_at is not None or self.turns.is_deferred(connection)

    def _is_last_release_path(self, connection: SipConnection) -> bool:
        """Whether releases of established calls can go out on this connection alone."""
        if connection.caller_active_at is None or not self.calls.established:
            return False
        return not self.connections.has_active_besides(connection)

    def _close_all_idle(self) -> None:
        now = self.wheel.now
        silent = [
            c for c, opened_at in self.connections.silent.items() if now - opened_at > NEW_CONNECTION_TIMEOUT
        ]
        for connection in [*silent, *self.connections.idle, *self.connections.idle_callers]:
            self._close_if_idle(connection)

    def _phase_changed(self, phase: Phase) -> None:
        """Starts closing idle connections when the new phase requires it."""
        if self.switch.lifecycle.closes_idle_connections:
            for connection in [*self.connections.idle, *self.connections.idle_callers]:
                self._close_idle_soon(connection)
            self.wheel.call_after(DRAIN_KEEPS_CONNECTION_FOR, self._close_all_idle)

    # closing

    def close(self, connection: SipConnection, lingering: bool = True) -> None:
        """Closes a connection. Call setups pending there are answered first, so that no call is lost.

        With `lingering`, only the sending side is closed, and the connection is read until the caller closes
        too: closing it with unread data would send a reset.
        """
        if connection.is_closing:
            return
        connection.closing_started_at = self.wheel.now
        self.releases.connection_closed(connection)
        self.calls.fail_calls_of(connection)
        self.connections.start_closing(connection, lingering)
        self.turns.forget(connection)
        connection.clear_received()
        self.received.forget(connection)
        connection.transport.unregisterProducer()
        if lingering:
            connection.transport.loseWriteConnection()
            connection.transport.resumeProducing()
        else:
            connection.transport.loseConnection()

    def _close_on_timeout(self, connection: SipConnection, reason: str) -> None:
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
        self.switch.counters[Count.CONNECTIONS_UNREAD] += self.switch.unsent.enforce(now)
        for connection in self.connections:
            self._close_if_stuck(now, connection)

    def _close_inactive(self, now: float) -> None:
        while connection := self.connections.silent_too_long(now):
            self._close_unless_read(connection, "silent")
        while connection := self.connections.idle_too_long(now):
            self._close_unless_read(connection, "idle")
        for connection in self.connections.stalled_first_messages(now):
            self._close_on_timeout(connection, "silent")

    def _close_unless_read(self, connection: SipConnection, reason: str) -> None:
        """Reads waiting data, and closes the connection for `reason` if there was none."""
        self.connections.untrack(connection)
        if connection.read_pending():
            self._close_on_timeout(connection, reason)
        elif self.is_open(connection) and not connection.is_closing and not connection.is_new:
            self.update_idle(connection)

    def _close_if_stuck(self, now: float, connection: SipConnection) -> None:
        """Ends a stuck connection: responses are unread, the close hangs, or a message is never completed."""
        backpressured_at, closing_started_at = connection.backpressured_at, connection.closing_started_at
        if backpressured_at is not None and now - backpressured_at > UNREAD_TIMEOUT:
            unread_for = now - backpressured_at
            logger.warning("caller: responses unread for {:.0f} ms, connection closed", unread_for)
            connection.transport.abortConnection()
        elif closing_started_at is not None:
            if now - closing_started_at > CLOSE_TIMEOUT:
                connection.transport.abortConnection()  # it still waits for written data to be read
        elif connection.message_started_at is not None:
            if now - connection.message_started_at > MESSAGE_TIMEOUT:
                self.message_unreadable(connection, SipParseError("not whole in time", 408))
