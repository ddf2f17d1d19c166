"""The connections of a SIP listener by state, with the limits on their number and inactivity."""

from __future__ import annotations

from collections.abc import Iterator

from softswitch.net.sip_connection import SipConnection

SILENT_MIN_AGE = 300.0  # ms after connecting in which a silent connection is not the first to be shed
FIRST_BYTE_TIMEOUT = 2_000.0  # ms from connecting to the first received byte
# Ms from connecting after which an incomplete first message times out, if no data has come for PIECE_TIMEOUT.
# While data keeps coming, MESSAGE_TIMEOUT applies.
FIRST_MESSAGE_TIMEOUT = 2_400.0
PIECE_TIMEOUT = 1_000.0
MESSAGE_TIMEOUT = 5_000.0  # max ms from the first to the last byte of a message
# Ms after which a connection with no pending call may be closed; callers close theirs after 4 s.
IDLE_TIMEOUT = 6_000.0
# Idle connections are retained up to this fraction of the maximum, so that releases can be sent on them.
IDLE_FRACTION_RETAINED = 0.25

ConnectionTimes = dict[SipConnection, float]  # when each connection entered the state; the oldest first


class ConnectionTable:
    """Owner of the connections.

    Each open connection with no pending call is in one of the four `ConnectionTimes`.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.all: dict[SipConnection, None] = {}
        self.silent: ConnectionTimes = {}  # nothing was received yet
        self.in_first_message: ConnectionTimes = {}  # the first message is arriving; time of its last data
        self.idle: ConnectionTimes = {}  # no pending call, and none was ever established
        self.idle_callers: ConnectionTimes = {}  # no pending call, but one was established before
        # Closed by the softswitch, not yet by the caller; the oldest first.
        self.closing: dict[SipConnection, None] = {}

    def __len__(self) -> int:
        return len(self.all)

    def __iter__(self) -> Iterator[SipConnection]:
        return iter(list(self.all))

    def __contains__(self, connection: object) -> bool:
        return connection in self.all

    @property
    def full(self) -> bool:
        """Whether the maximum number of connections is reached."""
        return len(self.all) >= self.max_connections

    def add(self, now: float, connection: SipConnection) -> None:
        """Adds a new connection."""
        self.all[connection] = None
        self.silent[connection] = now

    def remove(self, connection: SipConnection) -> None:
        """Removes a connection that has ended."""
        self.all.pop(connection, None)
        self.closing.pop(connection, None)
        self.untrack(connection)

    def untrack(self, connection: SipConnection) -> None:
        """Removes a connection from all `ConnectionTimes`: it has a pending call, or is closing."""
        for connections in (self.silent, self.in_first_message, self.idle, self.idle_callers):
            connections.pop(connection, None)

    def first_message_data(self, now: float, connection: SipConnection) -> None:
        """Records that data of the connection's first message was received."""
        self.silent.pop(connection, None)
        self.in_first_message.pop(connection, None)
        if connection in self.all and not connection.is_closing:
            self.in_first_message[connection] = now

    def mark_idle(self, now: float, connection: SipConnection) -> None:
        """Records that the connection has no pending call."""
        connections = self.idle_callers if connection.had_established_call else self.idle
        connections[connection] = now

    def start_closing(self, connection: SipConnection, lingering: bool) -> None:
        """Records that the softswitch closes the connection.

        `lingering`: it is read until the caller closes too.
        """
        self.untrack(connection)
        if lingering:
            self.closing[connection] = None

    def next_to_shed(self, now: float) -> SipConnection | None:
        """Returns the connection to close first when the table is full, so that real callers keep theirs.

        The order is: silent connections, connections whose first message has stalled, then idle connections,
        each time the oldest first. A new connection has SILENT_MIN_AGE to send its first request. Connections
        on which calls were established go last.
        """
        for connections, min_age in ((self.silent, SILENT_MIN_AGE), (self.in_first_message, PIECE_TIMEOUT)):
            first = next(iter(connections), None)
            if first is not None and now - connections[first] > min_age:
                return first
        for connections in (self.idle, self.silent, self.in_first_message, self.idle_callers):
            if connections:
                return next(iter(connections))
        return None

    def silent_too_long(self, now: float) -> SipConnection | None:
        """Returns a connection that has sent nothing within FIRST_BYTE_TIMEOUT."""
        return _first_older(self.silent, now, FIRST_BYTE_TIMEOUT, 0.0)

    def idle_too_long(self, now: float) -> SipConnection | None:
        """Returns a connection to close as idle, if more are idle than are retained.

        Connections on which calls were established come last.
        """
        retained = IDLE_FRACTION_RETAINED * self.max_connections
        first = _first_older(self.idle, now, IDLE_TIMEOUT, retained)
        return first or _first_older(self.idle_callers, now, IDLE_TIMEOUT, retained)

    def stalled_first_messages(self, now: float) -> list[SipConnection]:
        """Returns the connections whose first message is not completed in time."""
        return [
            connection
            for connection, last_data_at in self.in_first_message.items()
            if now - connection.opened_at
            > (FIRST_MESSAGE_TIMEOUT if now - last_data_at > PIECE_TIMEOUT else MESSAGE_TIMEOUT)
        ]

    def has_active_besides(self, connection: SipConnection) -> bool:
        """Whether a caller is active on another open connection, so that releases can go out there."""
        return any(
            other.caller_active_at is not None and not other.is_closing
            for other in self.all
            if other is not connection
        )


def _first_older(
    connections: ConnectionTimes, now: float, timeout: float, retained: float
) -> SipConnection | None:
    if len(connections) <= retained:
        return None
    first, entered_at = next(iter(connections.items()))
    return first if now - entered_at > timeout else None
