"""A TCP connection to a quote engine: splits the byte stream into messages and reports its end once."""

from __future__ import annotations

from typing import Protocol

from loguru import logger
from twisted.protocols.basic import Int16StringReceiver

from softswitch.core.call_history import CONNECTIONS
from softswitch.core.counters import Count
from softswitch.core.switch import Switch
from softswitch.net.engine_codec import (
    MAX_MESSAGE,
    EngineMessage,
    EngineMessageError,
    Release,
    decode_message,
    decode_partial_release,
)
from softswitch.net.twisted_internals import read_now, unwritten_bytes

# Ms after the first piece of a message during which further pieces count as a sign of life. The same limit
# applies to messages of callers.
MESSAGE_TIMEOUT = 5_000.0
SHOWN_BYTES = 11  # of a truncated message, recorded in the call history: length, type and call id


class ConnectionOwner(Protocol):
    """The owner of a connection, which is notified of its events."""

    server: str
    switch: Switch

    def connection_up(self, connection: EngineConnection) -> None:
        """Called when the connection is established."""

    def connection_down(self, connection: EngineConnection) -> None:
        """Called when the connection is closed, or when this side gives it up."""

    def message_received(self, message: EngineMessage) -> None:
        """Called for each complete message."""

    def piece_received(self) -> None:
        """Called when another piece of an incomplete message is received."""

    def partial_release_received(self, release: Release) -> None:
        """Called for a truncated release, the rest of which will not arrive."""

    def backpressure_changed(self, backpressured: bool) -> None:
        """Called when the write buffer is full (True) and when it has drained (False)."""


class EngineConnection(Int16StringReceiver):
    """A connection to a quote engine."""

    MAX_LENGTH = MAX_MESSAGE

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.switch = owner.switch
        self.opened_at = self.switch.wheel.now
        self.is_given_up = False  # aborted by this side; the engine may not have noticed
        # When the last and the first piece of the incomplete message were received; None if there is none.
        self.last_piece_at: float | None = None
        self.first_piece_at: float | None = None

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.owner.connection_up(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted. A message may be split into any number of pieces."""
        if self.is_given_up:
            return
        super().dataReceived(data)
        self._update_piece_times(self.switch.wheel.now)

    def _update_piece_times(self, now: float) -> None:
        if not self.recvd or self.is_given_up:
            self.last_piece_at = self.first_piece_at = None
            return
        self.last_piece_at = now
        if self.first_piece_at is None:
            self.first_piece_at = now
        if now - self.first_piece_at <= MESSAGE_TIMEOUT:
            self.owner.piece_received()

    def stringReceived(self, data: bytes) -> None:
        """Called by Twisted for each complete message."""
        if self.is_given_up:
            return
        self.last_piece_at = self.first_piece_at = None
        try:
            message = decode_message(data)
        except EngineMessageError as e:
            self.give_up(f"bad message ({e})")
            return
        self.owner.message_received(message)

    def lengthLimitExceeded(self, length: int) -> None:
        """Called by Twisted when a message is longer than MAX_LENGTH."""
        self.give_up(f"message of {length} bytes")

    def read_pending(self) -> None:
        """Reads the bytes in the socket's receive buffer."""
        if not self.is_given_up:
            read_now(self.transport)

    @property
    def unwritten_bytes(self) -> int:
        """Bytes that were written and have not left the process yet."""
        return unwritten_bytes(self.transport)

    def end_unread(self) -> None:
        """Aborts the connection, because the engine does not read."""
        logger.warning("engine {}: does not read, connection closed", self.owner.server)
        self.transport.abortConnection()

    def set_reading(self, reading: bool) -> None:
        """Resumes or pauses reading.

        The engine detects it if the connection is closed before its bytes were read.
        """
        if reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def give_up(self, reason: str) -> None:
        """Aborts the connection and stops reading from it.

        After a malformed message the start of the next one is unknown. The switch retries or fails each call
        setup that is in flight on the connection.
        """
        if self.is_given_up:
            return
        self.is_given_up = True
        self.switch.counters[Count.ENGINE_CONNECTIONS_CORRUPT] += 1
        logger.warning("engine {}: {}, connection closed", self.owner.server, reason)
        if self.switch.history and self.recvd:
            received = f"{self.owner.server} {len(self.recvd)} bytes {self.recvd[:SHOWN_BYTES].hex()}"
            self.switch.history.note(CONNECTIONS, "message begun and cut short", received)
        self.transport.abortConnection()
        self.owner.connection_down(self)

    def process_partial_release(self) -> None:
        """Reports the incomplete message if it is a release.

        Called when the rest of the message will not arrive. The engine considers the release sent and does
        not repeat it, so the received part has to suffice.
        """
        release = decode_partial_release(self.recvd) if self.recvd else None
        if release is not None:
            self.owner.partial_release_received(release)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted."""
        if not self.is_given_up:
            self.process_partial_release()
        self.owner.connection_down(self)

    def pauseProducing(self) -> None:
        """Called by Twisted when the write buffer is full, because the engine reads too slowly."""
        self.owner.backpressure_changed(True)

    def resumeProducing(self) -> None:
        """Called by Twisted when the write buffer has drained."""
        self.owner.backpressure_changed(False)

    def stopProducing(self) -> None:
        """Called by Twisted."""
