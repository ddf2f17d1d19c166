"""One connection to a quote engine: bytes become messages, and what ends it is told once."""

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
from softswitch.net.twisted_internals import read_now

MESSAGE_TIMEOUT = 5_000.0  # ms in which pieces of one message are a sign of life, as with callers' messages
SHOWN_BYTES = 11  # of a message that was cut short, in the history: its length, type and call


class ConnectionOwner(Protocol):
    """What a connection needs of the link that it belongs to."""

    server: str
    switch: Switch

    def connection_up(self, connection: EngineConnection) -> None:
        """The connection is up."""

    def connection_down(self, connection: EngineConnection) -> None:
        """The connection is over, or given up as corrupt."""

    def message_received(self, message: EngineMessage) -> None:
        """A message is complete."""

    def piece_received(self) -> None:
        """A piece of a message came."""

    def partial_release_received(self, release: Release) -> None:
        """No more will come of a release that was begun."""

    def set_backpressured(self, backpressured: bool) -> None:
        """The engine reads too slowly, or reads again."""


class EngineConnection(Int16StringReceiver):
    """One connection to a quote engine."""

    MAX_LENGTH = MAX_MESSAGE

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.switch = owner.switch
        self.opened_at = self.switch.wheel.now
        self.is_given_up = False  # given up by us: the engine may not know
        # When the last piece came of a message that is not complete, and the first.
        self.incomplete_since: float | None = None
        self.message_began_at: float | None = None

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.owner.connection_up(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted. A message may come in any pieces, as long as they keep coming."""
        if self.is_given_up:
            return
        super().dataReceived(data)
        self._note_piece(self.switch.wheel.now)

    def _note_piece(self, now: float) -> None:
        if not self.recvd or self.is_given_up:
            self.incomplete_since = self.message_began_at = None
            return
        self.incomplete_since = now
        if self.message_began_at is None:
            self.message_began_at = now
        if now - self.message_began_at <= MESSAGE_TIMEOUT:
            self.owner.piece_received()

    def stringReceived(self, data: bytes) -> None:
        """Called by Twisted: a message is complete."""
        if self.is_given_up:
            return
        self.incomplete_since = self.message_began_at = None
        try:
            message = decode_message(data)
        except EngineMessageError as e:
            self.give_up(f"bad message ({e})")
            return
        self.owner.message_received(message)

    def lengthLimitExceeded(self, length: int) -> None:
        """Called by Twisted."""
        self.give_up(f"message of {length} bytes")

    def read_pending(self) -> None:
        """Reads what lies unread."""
        if not self.is_given_up:
            read_now(self.transport)

    def set_reading(self, reading: bool) -> None:
        """What comes is read, or left to the engine, which sees it unread when the connection ends."""
        if reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def give_up(self, why: str) -> None:
        """Ends the connection at once: nothing more is read.

        Guards against what stands behind a corrupt message: where the next one begins is not known. Every
        call setup in flight here is the switch's to retry or to fail.
        """
        if self.is_given_up:
            return
        self.is_given_up = True
        self.switch.counters[Count.ENGINE_CONNECTIONS_CORRUPT] += 1
        logger.warning("engine {}: {}, connection closed", self.owner.server, why)
        if self.switch.history and self.recvd:
            begun = f"{self.owner.server} {len(self.recvd)} bytes {self.recvd[:SHOWN_BYTES].hex()}"
            self.switch.history.note(CONNECTIONS, "message begun and cut short", begun)
        self.transport.abortConnection()
        self.owner.connection_down(self)

    def take_partial_release(self) -> None:
        """No more will come of the message that was begun.

        If it was a release, the engine has sent it, as far as it knows, and does so no more: what came of it
        has to do.
        """
        release = decode_partial_release(self.recvd) if self.recvd else None
        if release is not None:
            self.owner.partial_release_received(release)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted."""
        if not self.is_given_up:
            self.take_partial_release()
        self.owner.connection_down(self)

    def pauseProducing(self) -> None:
        """Called by Twisted: the engine reads too slowly."""
        self.owner.set_backpressured(True)

    def resumeProducing(self) -> None:
        """Called by Twisted: it reads again."""
        self.owner.set_backpressured(False)

    def stopProducing(self) -> None:
        """Called by Twisted."""
