"""The link to one quote engine: queues call setups and releases, reconnects and dispatches messages."""

from __future__ import annotations

from itertools import count
from typing import Any, Protocol

from loguru import logger
from twisted.internet.error import ConnectionRefusedError as TcpConnectionRefused
from twisted.internet.protocol import ClientFactory

from softswitch import interface as i
from softswitch.core.call import NO_CONNECTION, Call
from softswitch.core.call_history import CONNECTIONS, TraceKey
from softswitch.core.counters import Count
from softswitch.core.endpoint_directory import IncarnationEnded
from softswitch.core.switch import Switch
from softswitch.interface import CallId
from softswitch.net.engine_codec import (
    NO_CALL,
    PASSED,
    EngineMessage,
    MessageType,
    Parameter,
    Release,
    encode_message,
)
from softswitch.net.engine_connection import EngineConnection
from softswitch.net.engine_heartbeat import Heartbeat, Verdict
from softswitch.net.engine_queue import EngineQueue, PendingRelease
from softswitch.net.listening_connection import MissedReleases
from softswitch.settings import parse_report

MAX_BACKLOG = 1 << 20  # bytes buffered for an engine that does not read
PIECE_TIMEOUT = 300.0  # max ms between two pieces of a message
STABLE_AFTER = 1_000.0  # ms; a connection that lasted this long is reopened without backoff
MIN_BACKOFF, MAX_BACKOFF = 50.0, 400.0  # ms between connection attempts
ANY_STATE = b"\0"  # value of the cause parameter of a probe

Report = tuple[float, ...]
_connection_numbers = count(NO_CONNECTION + 1)  # of the main connections of all links


class Connector(Protocol):
    """The interface of the engine pool that a link uses."""

    settings: i.Settings

    def connect(self, address: tuple[str, int], factory: ClientFactory) -> None:
        """Opens a TCP connection."""

    def needs_connection(self, server: str) -> bool:
        """Whether the engine may receive calls or has calls."""

    @property
    def is_reading(self) -> bool:
        """Whether data from engines is read."""

    @property
    def may_open(self) -> bool:
        """Whether new connections may be opened."""


def encode_setup(call: Call, now: float) -> bytes:
    """Encodes the setup message of a call, including the remaining time until its caller gives up."""
    request, remaining = call.request, max(1.0, call.deadline - now)
    return encode_message(
        MessageType.SETUP,
        request.call,
        (Parameter.CALL_CLASS, request.call_class.encode()),
        (Parameter.TIME_LEFT, b"%d" % remaining),
        (Parameter.NUMBER, request.number.encode()),
        (Parameter.DESCRIPTION, request.description),
    )


class EngineLink(ClientFactory):
    """The link to one engine.

    Implements `engine_connection.ConnectionOwner` and `listening_connection.Link`.
    """

    noisy = False

    def __init__(self, pool: Connector, switch: Switch, server: str, address: tuple[str, int]) -> None:
        self.pool = pool
        self.switch = switch
        self.server = server
        self.address = address
        self.connection: EngineConnection | None = None
        self.connection_number = NO_CONNECTION  # of the last connection
        self.is_closing = False  # opens no further connection
        # The engine was removed from the list. Another process may listen at its address, so the established
        # calls are lost with the connection that is still open.
        self.is_removed = False
        self.queue = EngineQueue()
        self.in_flight: set[CallId] = set()  # setups written to the current connection, unanswered
        self.heartbeat = Heartbeat(switch.wheel.now, pool.settings.may_probe)
        self.missed_releases = MissedReleases(self)
        self._is_connecting = False
        self._open_scheduled = False
        self._open_not_before = 0.0
        self._backoff = MIN_BACKOFF
        self._backpressured = False

    # connection

    def open(self) -> None:
        """Opens a connection unless one is open or being opened; during a backoff, after it."""
        if self.connection is not None or self._is_connecting or self.is_closing or self._open_scheduled:
            return
        if not self.pool.may_open:
            return
        if self.switch.wheel.now < self._open_not_before:  # applies even if messages are queued
            self._open_scheduled = True
            self.switch.wheel.call_at(self._open_not_before, self._scheduled_open)
            return
        self._is_connecting = True
        self.pool.connect(self.address, self)

    def _scheduled_open(self) -> None:
        self._open_scheduled = False
        self.open()

    def _open_after_backoff(self) -> None:
        self._open_not_before = self.switch.wheel.now + self._backoff
        self._backoff = min(2 * self._backoff, MAX_BACKOFF)
        if self._is_needed():
            self.open()

    def _is_needed(self) -> bool:
        return len(self.queue) > 0 or self.pool.needs_connection(self.server)

    def buildProtocol(self, addr: object) -> EngineConnection:
        """Called by Twisted."""
        return EngineConnection(self)

    def clientConnectionFailed(self, connector: object, reason: Any) -> None:
        """Called by Twisted when a connection attempt fails."""
        self._is_connecting = False
        process_is_dead = reason.check(TcpConnectionRefused)  # nothing listens there: its calls are lost too
        if process_is_dead:
            # Cleared before the setups are returned: the switch may queue them here again at once, for the
            # engine's next process.
            self.queue.releases.clear()
        self.return_queued_setups()
        if process_is_dead:
            self.switch.engine_died(self.server)
        self._open_after_backoff()

    def connection_up(self, connection: EngineConnection) -> None:
        """Called when the connection is established; writes the queued messages."""
        self._is_connecting = False
        if self.is_closing:
            connection.transport.abortConnection()
            return
        self.connection = connection
        self.connection_number = next(_connection_numbers)
        self._backpressured = False
        self.heartbeat.connection_up(self.switch.wheel.now)
        if not self.is_reading:
            connection.set_reading(False)
        self._note(CONNECTIONS, "link up")
        self._flush()

    def connection_down(self, connection: EngineConnection) -> None:
        """Called when the connection ends.

        Fails the attempts in flight on it and queues its unacknowledged releases for the next connection.
        """
        if connection is not self.connection:
            return
        now = self.switch.wheel.now
        self.connection = None
        self.switch.unsent.forget(connection)
        in_flight, self.in_flight = self.in_flight, set()
        self.switch.counters[Count.ENGINE_CONNECTIONS_LOST] += 1
        self._note(CONNECTIONS, "link down")
        for call in in_flight:
            self.switch.attempt_disconnected(self.server, call)
        # If the engine closed the connection or died, it sends nothing more on it. After an abort by this
        # side, the engine may not have detected the end, and may write releases to the dead connection.
        if connection.is_given_up:
            self.missed_releases.connection_given_up()
        if self.is_removed:
            self.switch.connection_to_removed_engine_ended(self.server, self.connection_number)
            return
        self.queue.expire_unacknowledged(now)
        self._requeue_unacknowledged()
        if now - connection.opened_at < STABLE_AFTER:
            # Prevents a tight reconnect loop with an engine that closes each new connection.
            self._open_after_backoff()
        elif self._is_needed():
            self._backoff = MIN_BACKOFF
            self.open()  # without delay: the engine sends missed releases on the next connection

    def close(self) -> None:
        """Closes the link, because the engine was removed or has a new address."""
        self.is_closing = True
        self.return_queued_setups()
        if self.connection is None:
            return
        if self.is_removed:  # its peer may be gone, and never take the data that is still unsent
            self.connection.transport.abortConnection()
        else:
            self.connection.transport.loseConnection()

    def incarnation_ended(self, ended: IncarnationEnded) -> int:
        """Drops what was meant for an ended process. Implements `core.call.Engines`, for this engine.

        Returns the number of the connection that is still open.
        """
        if ended.is_removal:
            self.is_closing = self.is_removed = True
            if self.connection is None:
                self.queue.releases.clear()
        elif self.connection is not None and self.connection.opened_at < ended.replaced_at:
            self.queue.unacknowledged.clear()
            self.connection.give_up("its process was replaced")
        return NO_CONNECTION if self.connection is None else self.connection_number

    def relisted(self) -> None:
        """Called when a removed engine is listed again at the same address, or at each mention of it."""
        self.is_closing = self.is_removed = False
        self.open()

    @property
    def is_reading(self) -> bool:
        """Whether data from the engine is read."""
        return self.pool.is_reading

    def _connections(self) -> list[EngineConnection]:
        own = [self.connection] if self.connection is not None else []
        return own + list(self.missed_releases.up)

    def read_pending(self) -> None:
        """Reads the data that the engine has sent so far."""
        for connection in self._connections():
            connection.read_pending()

    def reading_changed(self) -> None:
        """Called when `is_reading` changes; resumes or pauses all connections to the engine."""
        for connection in self._connections():
            connection.set_reading(self.is_reading)
        if self.is_reading:  # no heartbeat could be received while reading was paused
            self.heartbeat.restart(self.switch.wheel.now)
            if self._is_needed():
                self.open()

    def backpressure_changed(self, backpressured: bool) -> None:
        """Called when the write buffer of the connection is full (True) or has drained (False)."""
        self._backpressured = backpressured
        if not backpressured:
            if self.connection is not None:
                self.switch.unsent.forget(self.connection)
            self._flush()

    # messages to the engine

    def send_setup(self, call: Call) -> None:
        """Queues a call setup; it is written once a connection is up and not backpressured."""
        if self.queue.is_full:
            self.switch.attempt_unreachable(self.server, call.id)
            return
        self.queue.add_setup(call)
        self._flush_or_open()

    def send_release(self, release: Release) -> None:
        """Queues a release; it is written once a connection is up and not backpressured."""
        if self.queue.is_full:  # the call stays established until the engine ends it
            self.switch.counters[Count.ENGINE_RELEASES_DROPPED] += 1
            return
        self.queue.add_release(release)
        self._flush_or_open()

    def _flush_or_open(self) -> None:
        self._flush()
        if self.connection is None:
            self.open()

    def withdraw_setup(self, call: CallId) -> bool:
        """Removes a call setup from the queue. Returns whether it was still queued."""
        return self.queue.withdraw_setup(call)

    def return_queued_setups(self) -> None:
        """Reports all queued call setups as unreachable, so that the switch retries or fails them."""
        for call in list(self.queue.setups):
            if self.withdraw_setup(call):
                self.switch.attempt_unreachable(self.server, call)

    def take_over_queue(self, predecessor: EngineLink) -> None:
        """Moves the queued messages here from the link to the engine's earlier address."""
        self.queue.take_over(predecessor.queue)

    def _flush(self) -> None:
        """Writes queued messages until the queue is empty or the connection is backpressured."""
        while self.connection is not None and not self._backpressured:
            if release := self.queue.pop_release():
                self._write_release(release)
            elif call := self.queue.pop_setup():
                self._write_setup(call)
            else:
                return

    def _write_setup(self, call: Call) -> None:
        self.in_flight.add(call.id)
        if self.switch.history:
            self._note(call.id, "set-up written")
        self.switch.attempt_written(call.id, self.connection_number)
        self._write(encode_setup(call, self.switch.wheel.now))

    def _write_release(self, pending: PendingRelease) -> None:
        release = pending.release
        if release.call in self.in_flight:
            # Not repeated on the next connection: the engine drops the attempts of a connection that ends.
            self.in_flight.discard(release.call)
        else:
            self.queue.release_written(self.switch.wheel.now, pending)
        if self.switch.history:
            self._note(release.call, "release written")
        self._write(release.encode())

    def _write(self, data: bytes) -> None:
        if self.connection is None:
            return
        self.connection.sendString(data)
        if self._backpressured:
            self._unsent_changed(self.connection, self.connection.unwritten_bytes)

    def _unsent_changed(self, connection: EngineConnection, size: int) -> None:
        if size > MAX_BACKLOG:
            connection.end_unread()
        else:
            self.switch.unsent.update(self.switch.wheel.now, connection, size)

    def _requeue_unacknowledged(self) -> None:
        resent, dropped = self.queue.requeue_unacknowledged()
        self.switch.counters[Count.ENGINE_RELEASES_RESENT] += resent
        self.switch.counters[Count.ENGINE_RELEASES_DROPPED] += dropped

    # messages from the engine

    def message_received(self, message: EngineMessage) -> None:
        """Dispatches a message from the engine."""
        now = self.switch.wheel.now
        self.heartbeat.message_received(now)
        if message.type == MessageType.ANSWER:
            self.in_flight.discard(message.call)
            description = message.parameters.get(Parameter.DESCRIPTION, b"")
            self.switch.answered_by_engine(self.server, message.call, description)
        elif message.type == MessageType.RELEASE:
            self._write(encode_message(MessageType.ACKNOWLEDGE, message.call))
            self.release_received(message)
        elif message.type == MessageType.STATE:
            self.heartbeat.state_received(now, self._may_probe)
            self.switch.load_reported(self.server, True, self._report(message))
        elif message.type == MessageType.PROBE_ANSWER:
            self.switch.load_reported(self.server, message.cause == PASSED, self._report(message))
        elif message.type == MessageType.ACKNOWLEDGE:
            self.queue.acknowledged(message.call)
        elif message.type != MessageType.PROGRESS:
            self.switch.counters[Count.ENGINE_UNKNOWN_MESSAGES] += 1

    def release_received(self, message: EngineMessage) -> None:
        """Called when the engine rejects an attempt or ends an established call."""
        self.in_flight.discard(message.call)
        report = self._report(message)
        self.switch.released_by_engine(
            self.server, message.call, message.cause, message.note, report, message.retry_after
        )

    def piece_received(self) -> None:
        """Called for a piece of a message, which counts as a sign of life."""
        self.heartbeat.message_received(self.switch.wheel.now)

    def partial_release_received(self, release: Release) -> None:
        """Called for a truncated release; ends the call if it is established at this engine.

        An attempt is not ended by it: the end of the connection retries or fails it.
        """
        call = self.switch.calls.get(release.call)
        if call is not None and call.established and call.server == self.server:
            self.switch.counters[Count.RELEASES_CUT_SHORT] += 1
            self.in_flight.discard(release.call)
            self.switch.released_by_engine(self.server, release.call, release.cause)

    def _report(self, message: EngineMessage) -> Report:
        text = message.report
        return () if text is None else parse_report(self.pool.settings, text)

    # heartbeat

    @property
    def _may_probe(self) -> bool:
        return self.pool.settings.may_probe

    @property
    def may_listen(self) -> bool:
        """Whether an additional listening connection is useful now."""
        return self.connection is not None and self.pool.may_open and self.pool.needs_connection(self.server)

    def listen_once(self) -> None:
        """Opens one listening connection, to receive releases that were left unread by another process."""
        if self.connection is not None and not self.is_closing and self.pool.may_open:
            self.missed_releases.open_connection()

    def connect(self, listener: ClientFactory) -> None:
        """Opens an additional connection to the engine."""
        self.pool.connect(self.address, listener)

    def engine_active(self) -> None:
        """Called when data is received from the engine on another connection."""
        self.heartbeat.engine_active_at = self.switch.wheel.now

    def sweep(self, now: float) -> None:
        """Checks the timeouts: of an incomplete message, of unacknowledged releases and of the heartbeat.

        A silent engine is probed and declared dead early enough to release its calls in time.
        """
        connection = self.connection
        if connection is not None and self._is_truncated(now, connection):
            connection.process_partial_release()
            connection.give_up("message cut short")
            return
        self.queue.expire_unacknowledged(now)
        draining = not self.in_flight and not self.switch.endpoints.is_ready(self.server)
        if self.heartbeat.missed(now, draining) and self._has_calls():
            self._check_heartbeat(now, draining)

    @staticmethod
    def _is_truncated(now: float, connection: EngineConnection) -> bool:
        last_piece_at = connection.last_piece_at
        return last_piece_at is not None and now - last_piece_at > PIECE_TIMEOUT

    def _has_calls(self) -> bool:
        return bool(self.in_flight) or self.switch.calls.any_at(self.server)

    def _check_heartbeat(self, now: float, draining: bool) -> None:
        connection = self.connection
        verdict = self.heartbeat.check(now, draining, connection is not None, self._may_probe)
        if verdict is Verdict.ENGINE_DEAD:
            self._engine_silent(now)
        elif verdict is Verdict.CONNECTION_DEAD and connection is not None:
            # A connection that stays open but delivers nothing would make its engine unavailable for seconds.
            connection.give_up("silent though tested" if self._may_probe else "silent")
        elif verdict is Verdict.PROBE:
            self.heartbeat.probe_sent(now)
            self.switch.counters[Count.ENGINE_PROBES] += 1
            self._write(encode_message(MessageType.PROBE, NO_CALL, (Parameter.CAUSE, ANY_STATE)))

    def _engine_silent(self, now: float) -> None:
        silent_for = now - self.heartbeat.engine_active_at
        logger.warning("engine {}: silent for {:.0f} ms, releasing its calls", self.server, silent_for)
        self.heartbeat.restart(now)
        self.switch.engine_died(self.server)
        if self.connection is not None:
            self.connection.transport.abortConnection()

    def _note(self, call: TraceKey, what: str) -> None:
        if self.switch.history:
            self.switch.history.note(call, what, self.server)
