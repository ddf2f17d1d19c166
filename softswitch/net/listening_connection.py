"""Connections to an engine that only listen, for releases that it wrote to a connection that is over.

An engine whose connection we gave up as silent may not know yet that it is over, and write the releases of
calls set up there to it as before; they come again on the next connection that is opened. So one is opened
every now and then while such calls are established.
"""

from __future__ import annotations

from typing import Protocol

from twisted.internet.protocol import ClientFactory

from softswitch.core.counters import Count
from softswitch.core.switch import Switch
from softswitch.net.engine_codec import EngineMessage, MessageType, Release, encode_message
from softswitch.net.engine_connection import EngineConnection

# Ms. A release has to reach its caller within 1 s: so far apart are these connections, and so long are they
# open; for so long that often, then rarely, then no more.
OPEN_EVERY = 450.0
OPEN_FOR = 250.0
OFTEN_FOR = 12_000.0
RARELY_EVERY = 3_000.0
GIVE_UP_AFTER = 120_000.0


class Link(Protocol):
    """What is needed of the link to the engine."""

    server: str
    switch: Switch

    @property
    def may_listen(self) -> bool:
        """Whether one more connection makes sense now."""

    @property
    def is_closing(self) -> bool:
        """Whether the link is over."""

    @property
    def is_reading(self) -> bool:
        """Whether what engines send is read now."""

    def connect(self, listener: ClientFactory) -> None:
        """Opens one more connection to the engine."""

    def engine_active(self) -> None:
        """The engine gave a sign of life."""

    def release_received(self, message: EngineMessage) -> None:
        """The engine ended a call."""

    def partial_release_received(self, release: Release) -> None:
        """A release whose end did not come."""


class ListeningConnection(ClientFactory):
    """One connection that only listens, and not for long. Fulfils `engine_connection.ConnectionOwner`."""

    noisy = False

    def __init__(self, link: Link, up: dict[EngineConnection, None]) -> None:
        self.link = link
        self.switch = link.switch
        self.server = link.server
        self.connection: EngineConnection | None = None
        self._up = up  # all connections of this kind

    def buildProtocol(self, addr: object) -> EngineConnection:
        """Called by Twisted."""
        return EngineConnection(self)

    def connection_up(self, connection: EngineConnection) -> None:
        """The connection is up; it is closed soon."""
        self.connection = connection
        self._up[connection] = None
        if not self.link.is_reading:
            connection.set_reading(False)
        self.switch.wheel.call_after(OPEN_FOR, self._close_our_side)
        self.switch.wheel.call_after(3 * OPEN_FOR, connection.transport.abortConnection)

    def _close_our_side(self) -> None:
        """What is on its way still comes."""
        if self.connection is not None:
            self.connection.transport.loseWriteConnection()

    def connection_down(self, connection: EngineConnection) -> None:
        """The connection is over."""
        self.connection = None
        self._up.pop(connection, None)

    def piece_received(self) -> None:
        """A piece of a message came."""
        self.link.engine_active()

    def set_backpressured(self, backpressured: bool) -> None:
        """Nothing waits to be written here."""

    def partial_release_received(self, release: Release) -> None:
        """A release whose end did not come."""
        self.link.partial_release_received(release)

    def message_received(self, message: EngineMessage) -> None:
        """Releases are acknowledged and passed on; the rest comes on the link's own connection too."""
        self.link.engine_active()
        if message.type != MessageType.RELEASE:
            return
        if self.switch.history:
            self.switch.history.note(message.call, "release on a connection that listens", self.server)
        if self.connection is not None:
            self.connection.sendString(encode_message(MessageType.ACKNOWLEDGE, message.call))
        self.link.release_received(message)


class MissedReleases:
    """Owner of the calls whose releases may be missed, and of the schedule of connections that listen for
    them.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        self.switch = link.switch
        self.calls: set[str] = set()  # established, and set up on a connection that is over
        self.since = 0.0
        self.up: dict[EngineConnection, None] = {}  # connections that listen now
        self._scheduled = False

    def connection_given_up(self) -> None:
        """The calls that are established at the engine were set up on connections that are over."""
        self.calls = {call.id for call in self.switch.calls.established_at(self.link.server)}
        self.since = self.switch.wheel.now
        if self.calls and not self._scheduled:
            self._scheduled = True
            self.switch.wheel.call_after(OPEN_EVERY, self._listen)

    def _listen(self) -> None:
        now = self.switch.wheel.now
        self.calls = {call for call in self.calls if call in self.switch.calls}
        too_old = now - self.since >= GIVE_UP_AFTER
        self._scheduled = bool(self.calls) and not too_old and not self.link.is_closing
        if not self._scheduled:
            return
        rarely = now - self.since > OFTEN_FOR
        self.switch.wheel.call_after(RARELY_EVERY if rarely else OPEN_EVERY, self._listen)
        if self.link.may_listen:
            self.open_connection()

    def open_connection(self) -> None:
        """Opens one connection that listens."""
        self.switch.counters[Count.ENGINE_LISTENING_CONNECTIONS] += 1
        self.link.connect(ListeningConnection(self.link, self.up))
