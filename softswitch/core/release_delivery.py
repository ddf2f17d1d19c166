"""Releases that callers are owed: who was sent one on which connection, and whether it was acknowledged.

A release has one owner, this queue, from the moment the call is over until its caller has acknowledged it, or
its time is over:

    pending -> sent on a connection -> acknowledged   by the caller, or it ended the call itself
    sent    -> sent on another connection             the first one closed, or RETRY_AFTER passed
    pending, with no connection                       waits for the next one on which a caller is active
    any     -> dropped                                EXPIRES_AFTER the call was over, or at the bound

An acknowledgement is optional on the wire. So its absence alone is taken for a loss only where callers of
this listener acknowledge at all; the close of a connection is always taken for one, as whoever closed it may
have had the release unread. A release that comes twice is harmless: calls are known by their id. Times are in
ms.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

EXPIRES_AFTER = 8_000.0  # ms after its end in which a call's release is still of use
RETRY_AFTER = 300.0  # ms without an acknowledgement; the caller is to know within 1 s
MAX_TRANSMISSIONS = 3  # of one release for want of an acknowledgement
MAX_RELEASES = 4_096

Connection = Hashable


@dataclass(slots=True)
class ConnectionState:
    """A callers' connection as far as releases are concerned."""

    call_established: bool = False  # a call was established here
    last_active: float = 0.0  # when its caller last sent what only callers send
    backpressured: bool = False  # its caller does not read
    unacknowledged: dict[str, None] = field(default_factory=dict)  # releases that were sent here


@dataclass(slots=True)
class PendingRelease:
    """One release."""

    number: str
    cause: int
    ended_at: float  # when the call was over
    connection: Connection | None = None  # where it was sent last
    sent_at: float = 0.0
    transmissions: int = 0
    tried: set[Connection] = field(default_factory=set)


@dataclass(slots=True)
class ReleaseMessage:
    """A release to be written to a connection now."""

    connection: Connection
    call: str
    number: str
    cause: int


class ReleaseQueue:
    """Owner of all releases that a listener's callers are owed."""

    def __init__(self, max_releases: int = MAX_RELEASES) -> None:
        self.max_releases = max_releases
        self.pending: OrderedDict[str, PendingRelease] = OrderedDict()  # by call, the longest over first
        self.connections: dict[
            Connection, ConnectionState
        ] = {}  # where a caller was active; not closing ones
        self.callers_acknowledge = False  # whether any caller ever acknowledged a release
        self.unsent = 0  # dropped, never sent
        self.unacknowledged = 0  # dropped, sent but not acknowledged
        self.moved = 0  # sent again as their connection closed
        self.retried = 0  # sent again for want of an acknowledgement

    # connections

    def caller_active(self, now: float, connection: Connection) -> list[ReleaseMessage]:
        """A caller is active here: what waits for a connection may go out."""
        self._state_of(connection).last_active = now
        if not self.pending:
            return []
        waiting = [call for call, release in self.pending.items() if release.connection is None]
        return [self._send(now, call, connection) for call in waiting]

    def call_established(self, connection: Connection) -> None:
        """A call is established that was set up here."""
        self._state_of(connection).call_established = True

    def _state_of(self, connection: Connection) -> ConnectionState:
        state = self.connections.get(connection)
        if state is None:
            state = self.connections[connection] = ConnectionState()
        return state

    def set_backpressured(self, connection: Connection, backpressured: bool) -> None:
        """Its caller has stopped reading, or reads again."""
        if connection in self.connections:
            self.connections[connection].backpressured = backpressured

    def connection_closed(self, now: float, connection: Connection) -> list[ReleaseMessage]:
        """It is over, or its caller can read no more: what was not acknowledged goes out elsewhere."""
        closed = self.connections.pop(connection, None)
        if closed is None:
            return []
        messages = []
        for call in closed.unacknowledged:
            release = self.pending[call]
            release.connection = None
            release.tried.discard(connection)
            other = self._best_connection()
            if other is not None:
                self.moved += 1
                messages.append(self._send(now, call, other))
        return messages

    # releases

    def add(
        self, now: float, call: str, number: str, cause: int, connection: Connection | None
    ) -> list[ReleaseMessage]:
        """An established call is over. `connection`: where it was set up. Empty: no connection is open."""
        if call in self.pending:
            return []
        if len(self.pending) >= self.max_releases:
            self._drop(next(iter(self.pending)))
        self.pending[call] = PendingRelease(number, cause, now)
        own = self.connections.get(connection) if connection is not None else None
        target = connection if own is not None and not own.backpressured else self._best_connection()
        return [self._send(now, call, target)] if target is not None else []

    def acknowledge(self, call: str, by_answer: bool = True) -> bool:
        """The caller knows: it answered the release, or ended the call itself. False: none was pending."""
        if by_answer and call in self.pending:
            self.callers_acknowledge = True
        return self._remove(call) is not None

    def without_connection(self) -> list[tuple[str, PendingRelease]]:
        """Releases that wait for a connection, the longest over first."""
        return [(call, release) for call, release in self.pending.items() if release.connection is None]

    def hand_over(self, call: str) -> None:
        """Somebody else notifies the caller from now on."""
        self._remove(call)

    def advance(self, now: float) -> list[ReleaseMessage]:
        """Time went on: what has expired is dropped, what was not acknowledged goes out on another
        connection.
        """
        while self.pending and now - next(iter(self.pending.values())).ended_at > EXPIRES_AFTER:
            self._drop(next(iter(self.pending)))
        if not self.callers_acknowledge or len(self.connections) < 2:
            return []
        messages = []
        for call, release in self.pending.items():
            if self._retry_due(now, release):
                other = self._best_connection(release.tried)
                if other is not None:
                    self.retried += 1
                    messages.append(self._send(now, call, other))
        return messages

    @staticmethod
    def _retry_due(now: float, release: PendingRelease) -> bool:
        if release.connection is None or release.transmissions >= MAX_TRANSMISSIONS:
            return False
        return now - release.sent_at >= RETRY_AFTER

    def _best_connection(self, excluded: set[Connection] | None = None) -> Connection | None:
        """One whose caller reads; of these one where calls were established; of these the last one active."""
        candidates = [
            ((not state.backpressured, state.call_established, state.last_active), connection)
            for connection, state in self.connections.items()
            if not excluded or connection not in excluded
        ]
        return max(candidates, key=lambda candidate: candidate[0])[1] if candidates else None

    def _send(self, now: float, call: str, connection: Connection) -> ReleaseMessage:
        release = self.pending[call]
        if release.connection is not None:
            self.connections[release.connection].unacknowledged.pop(call, None)
        release.connection = connection
        release.sent_at = now
        release.transmissions += 1
        release.tried.add(connection)
        self.connections[connection].unacknowledged[call] = None
        return ReleaseMessage(connection, call, release.number, release.cause)

    def _remove(self, call: str) -> PendingRelease | None:
        release = self.pending.pop(call, None)
        if release is not None and release.connection is not None:
            self.connections[release.connection].unacknowledged.pop(call, None)
        return release

    def _drop(self, call: str) -> None:
        release = self._remove(call)
        if release is None:
            return
        if release.transmissions:
            self.unacknowledged += 1
        else:
            self.unsent += 1
