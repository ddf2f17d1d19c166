"""Short-lived listening connections, which receive releases that an engine wrote to a dead connection.

When this side gives up a silent connection, the engine may not have detected it and may still write the
releases of calls that were set up on it to that connection. The engine sends them again on the next
connection opened to it. So a listening connection is opened periodically while such calls are established.
"""

from __future__ import annotations

from typing import Protocol

from twisted.internet.protocol import ClientFactory

from softswitch.core.counters import Count
from softswitch.core.switch import Switch
from softswitch.interface import CallId
from softswitch.net.engine_codec import EngineMessage, MessageType, Release, encode_message
from softswitch.net.engine_connection import EngineConnection

# In ms. The intervals are chosen so that a release reaches its caller within 1 s.
OPEN_INTERVAL = 450.0  # between listening connections, in the frequent phase
OPEN_DURATION = 250.0  # of a listening connection
FREQUENT_DURATION = 12_000.0  # length of the frequent phase, from the loss of the connection
RARE_OPEN_INTERVAL = 3_000.0  # between listening connections after that phase
GIVE_UP_AFTER = 120_000.0  # from the loss of the connection; then no more are opened


class Link(Protocol):
    """The interface of the engine link that listening connections use."""

    server: str
    switch: Switch

    @property
    def may_listen(self) -> bool:
        """Whether an additional listening connection is useful now."""

    @property
    def is_closing(self) -> bool:
        """Whether the link was closed."""

    @property
    def is_reading(self) -> bool:
        """Whether data from engines is read."""

    def connect(self, listener: ClientFactory) -> None:
        """Opens an additional connection to the engine."""

    def engine_active(self) -> None:
        """Called when data is received from the engine."""

    def release_received(self, message: EngineMessage) -> None:
        """Called for a release from the engine."""

    def partial_release_received(self, release: Release) -> None:
        """Called for a truncated release, the rest of which will not arrive."""


class ListeningConnection(ClientFactory):
    """One short-lived listening connection. Implements `engine_connection.ConnectionOwner`."""

    noisy = False

    def __init__(self, link: Link, up: dict[EngineConnection, None]) -> None:
        self.link = link
        self.switch = link.switch
        self.server = link.server
        self.connection: EngineConnection | None = None
        self._up = up  # all listening connections to the engine that are established

    def buildProtocol(self, addr: object) -> EngineConnection:
        """Called by Twisted."""
        return EngineConnection(self)

    def connection_up(self, connection: EngineConnection) -> None:
        """Called when the connection is established; schedules its end."""
        self.connection = connection
        self._up[connection] = None
        if not self.link.is_reading:
            connection.set_reading(False)
        self.switch.wheel.call_after(OPEN_DURATION, self._close_our_side)
        self.switch.wheel.call_after(3 * OPEN_DURATION, connection.transport.abortConnection)

    def _close_our_side(self) -> None:
        """Closes the sending direction, so that data in transit is still received."""
        if self.connection is not None:
            self.connection.transport.loseWriteConnection()

    def connection_down(self, connection: EngineConnection) -> None:
        """Called when the connection ends."""
        self.connection = None
        self._up.pop(connection, None)

    def piece_received(self) -> None:
        """Called for a piece of a message, which counts as a sign of life."""
        self.link.engine_active()

    def backpressure_changed(self, backpressured: bool) -> None:
        """Does nothing, because no messages are queued for this connection."""

    def partial_release_received(self, release: Release) -> None:
        """Passes a truncated release on to the link."""
        self.link.partial_release_received(release)

    def message_received(self, message: EngineMessage) -> None:
        """Acknowledges releases and passes them on. The link's main connection handles the other messages."""
        self.link.engine_active()
        if message.type != MessageType.RELEASE:
            return
        if self.switch.history:
            self.switch.history.note(message.call, "release on a connection that listens", self.server)
        if self.connection is not None:
            self.connection.sendString(encode_message(MessageType.ACKNOWLEDGE, message.call))
        self.link.release_received(message)


class MissedReleases:
    """Tracks the calls whose releases may be missed, and schedules the listening connections for them."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.switch = link.switch
        self.calls: set[CallId] = set()  # established calls that were set up on a dead connection
        self.given_up_at = 0.0  # when the last connection was given up
        self.up: dict[EngineConnection, None] = {}  # established listening connections
        self._scheduled = False

    def connection_given_up(self) -> None:
        """Called when the link gives up its connection, on which all established calls were set up."""
        self.calls = {call.id for call in self.switch.calls.established_at(self.link.server)}
        self.given_up_at = self.switch.wheel.now
        if self.calls and not self._scheduled:
            self._scheduled = True
            self.switch.wheel.call_after(OPEN_INTERVAL, self._listen)

    def _listen(self) -> None:
        now = self.switch.wheel.now
        self.calls = {call for call in self.calls if call in self.switch.calls}
        is_expired = now - self.given_up_at >= GIVE_UP_AFTER
        self._scheduled = bool(self.calls) and not is_expired and not self.link.is_closing
        if not self._scheduled:
            return
        is_rare = now - self.given_up_at > FREQUENT_DURATION
        self.switch.wheel.call_after(RARE_OPEN_INTERVAL if is_rare else OPEN_INTERVAL, self._listen)
        if self.link.may_listen:
            self.open_connection()

    def open_connection(self) -> None:
        """Opens one listening connection."""
        self.switch.counters[Count.ENGINE_LISTENING_CONNECTIONS] += 1
        self.link.connect(ListeningConnection(self.link, self.up))
