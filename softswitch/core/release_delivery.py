"""Queue of the releases to be delivered to callers, with the connection and acknowledgement of each.

The queue owns a release from the end of the call until the caller has acknowledged the release or it has
expired:

    pending -> sent on a connection -> acknowledged   on a connection that it was sent on
    any     -> withdrawn                              the caller ended the call itself
    sent    -> sent on another connection             the first one closed, or RETRY_AFTER passed
    pending, with no connection                       waits for the next connection with an active caller
    any     -> dropped                                EXPIRES_AFTER the end of the call, or at max_releases

Acknowledgements are optional in the protocol. A missing one counts as a loss only if callers of this listener
send acknowledgements at all. The close of a connection always counts as a loss, since the release may still
have been unread. A duplicate release is harmless: calls are identified by their id. Times are in ms.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from softswitch.core.call import Connection
from softswitch.interface import CallId

EXPIRES_AFTER = 8_000.0  # ms after the end of the call; a later release is of no use
RETRY_AFTER = 300.0  # ms without an acknowledgement; the release must reach the caller within 1 s
MAX_TRANSMISSIONS = 3  # of one release while it is not acknowledged
MAX_RELEASES = 4_096  # in the queue; the oldest is dropped beyond this


@dataclass(slots=True)
class ConnectionState:
    """State of a caller's connection that matters for the delivery of releases."""

    call_established: bool = False  # whether a call was established on this connection
    last_active: float = 0.0  # time of the last message that only a caller sends
    backpressured: bool = False  # the caller has stopped reading
    unacknowledged: dict[CallId, None] = field(default_factory=dict)  # releases sent on this connection


@dataclass(slots=True)
class PendingRelease:
    """A release that is not yet acknowledged."""

    number: str
    cause: int
    ended_at: float  # end of the call
    connection: Connection | None = None  # of the last transmission; None: to be sent
    sent_at: float = 0.0
    transmissions: int = 0
    tried: set[Connection] = field(default_factory=set)  # open connections that it was sent on


@dataclass(slots=True)
class ReleaseMessage:
    """A release that must be written to a connection now."""

    connection: Connection
    call: CallId
    number: str
    cause: int


class ReleaseQueue:
    """Owns all releases that are to be delivered to the callers of one listener."""

    def __init__(self, max_releases: int = MAX_RELEASES) -> None:
        self.max_releases = max_releases
        self.pending: OrderedDict[CallId, PendingRelease] = OrderedDict()  # by call, the earliest end first
        # Connections on which a caller was active; closing ones are excluded.
        self.connections: dict[Connection, ConnectionState] = {}
        self.callers_acknowledge = False  # whether any caller has ever acknowledged a release
        self.unsent = 0  # releases dropped without having been sent
        self.unacknowledged = 0  # releases dropped after having been sent
        self.moved = 0  # releases sent again because their connection closed
        self.retried = 0  # releases sent again because no acknowledgement came

    # connections

    def caller_active(self, now: float, connection: Connection) -> list[ReleaseMessage]:
        """Records activity of a caller. Returns the releases that were waiting for a connection."""
        self._state_of(connection).last_active = now
        if not self.pending:
            return []
        waiting = [call for call, release in self.pending.items() if release.connection is None]
        return [self._send(now, call, connection) for call in waiting]

    def call_established(self, connection: Connection) -> None:
        """Records that a call was established on this connection."""
        self._state_of(connection).call_established = True

    def _state_of(self, connection: Connection) -> ConnectionState:
        state = self.connections.get(connection)
        if state is None:
            state = self.connections[connection] = ConnectionState()
        return state

    def record_backpressure(self, connection: Connection, backpressured: bool) -> None:
        """Records whether the caller has stopped reading."""
        if connection in self.connections:
            self.connections[connection].backpressured = backpressured

    def connection_closed(self, now: float, connection: Connection) -> list[ReleaseMessage]:
        """Removes a connection. Returns its unacknowledged releases for another connection, if there is one.

        Also called when the connection is still open but its caller can no longer read.
        """
        closed = self.connections.pop(connection, None)
        if closed is None:
            return []
        messages = []
        for call in closed.unacknowledged:
            release = self.pending[call]
            release.connection = None
            release.tried.discard(connection)
            target = self._best_connection()
            if target is not None:
                self.moved += 1
                messages.append(self._send(now, call, target))
        return messages

    # releases

    def add(
        self, now: float, call: CallId, number: str, cause: int, connection: Connection | None
    ) -> list[ReleaseMessage]:
        """Adds the release of an established call, which was set up on `connection`.

        Returns the message to write; empty if no connection is open.
        """
        if call in self.pending:
            return []
        if len(self.pending) >= self.max_releases:
            self._drop(next(iter(self.pending)))
        self.pending[call] = PendingRelease(number, cause, now)
        own = self.connections.get(connection) if connection is not None else None
        target = connection if own is not None and not own.backpressured else self._best_connection()
        return [self._send(now, call, target)] if target is not None else []

    def acknowledge(self, call: CallId, connection: Connection) -> bool:
        """Removes a release that was answered on a connection. False: it was not sent there."""
        release = self.pending.get(call)
        if release is None or connection not in release.tried:
            return False
        self.callers_acknowledge = True
        self._remove(call)
        return True

    def withdraw(self, call: CallId) -> bool:
        """Removes a release whose call the caller itself ended. False: none was pending."""
        return self._remove(call) is not None

    def without_connection(self) -> list[tuple[CallId, PendingRelease]]:
        """Returns the releases that wait for a connection, the earliest end first."""
        return [(call, release) for call, release in self.pending.items() if release.connection is None]

    def hand_over(self, call: CallId) -> None:
        """Removes a release whose delivery is taken over by another process."""
        self._remove(call)

    def advance(self, now: float) -> list[ReleaseMessage]:
        """Drops expired releases. Returns the unacknowledged ones that are due on another connection."""
        while self.pending and now - next(iter(self.pending.values())).ended_at > EXPIRES_AFTER:
            self._drop(next(iter(self.pending)))
        if not self.callers_acknowledge or len(self.connections) < 2:
            return []
        messages = []
        for call, release in self.pending.items():
            if self._retry_due(now, release):
                target = self._best_connection(release.tried)
                if target is not None:
                    self.retried += 1
                    messages.append(self._send(now, call, target))
        return messages

    @staticmethod
    def _retry_due(now: float, release: PendingRelease) -> bool:
        if release.connection is None or release.transmissions >= MAX_TRANSMISSIONS:
            return False
        return now - release.sent_at >= RETRY_AFTER

    def _best_connection(self, excluded: set[Connection] | None = None) -> Connection | None:
        """Returns the connection that is most likely to reach the caller; None if there is none.

        Prefers connections that are read, then those with established calls, then the latest activity.
        """
        candidates = [
            ((not state.backpressured, state.call_established, state.last_active), connection)
            for connection, state in self.connections.items()
            if not excluded or connection not in excluded
        ]
        return max(candidates, key=lambda candidate: candidate[0])[1] if candidates else None

    def _send(self, now: float, call: CallId, connection: Connection) -> ReleaseMessage:
        release = self.pending[call]
        if release.connection is not None:
            self.connections[release.connection].unacknowledged.pop(call, None)
        release.connection = connection
        release.sent_at = now
        release.transmissions += 1
        release.tried.add(connection)
        self.connections[connection].unacknowledged[call] = None
        return ReleaseMessage(connection, call, release.number, release.cause)

    def _remove(self, call: CallId) -> PendingRelease | None:
        release = self.pending.pop(call, None)
        if release is not None and release.connection is not None:
            self.connections[release.connection].unacknowledged.pop(call, None)
        return release

    def _drop(self, call: CallId) -> None:
        release = self._remove(call)
        if release is None:
            return
        if release.transmissions:
            self.unacknowledged += 1
        else:
            self.unsent += 1
