"""The callers' connections of a SIP listener, by what they do, and the bounds on them."""

from __future__ import annotations

from collections.abc import Iterator

from softswitch.net.sip_connection import SipConnection

NEWCOMER_GRACE = 300.0  # ms in which a newcomer is not the first to go when descriptors are short
FIRST_BYTE_TIMEOUT = 2_000.0  # ms from connecting to the first byte
# Ms from connecting in which a first message may pause; as long as pieces of it come, it has MESSAGE_TIMEOUT.
FIRST_MESSAGE_TIMEOUT = 2_400.0
PIECE_TIMEOUT = 1_000.0
MESSAGE_TIMEOUT = 5_000.0  # ms that one message may take
IDLE_TIMEOUT = (
    6_000.0  # ms that a connection with no pending call is kept; callers themselves close after 4 s
)
IDLE_SHARE_KEPT = 0.25  # share of the connections up to which idle ones stay all the same: releases need one

Since = dict[SipConnection, float]  # connections, the longest there first, with the time since when


class ConnectionTable:
    """Owner of the connections. Each with no pending call is in one of the four `Since`."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.all: dict[SipConnection, None] = {}
        self.silent: Since = {}  # nothing came there yet
        self.in_first_message: Since = {}  # a first message comes; with when its last piece came
        self.idle: Since = {}  # no call was ever established there
        self.idle_callers: Since = {}  # a call was established there
        self.deferred: dict[SipConnection, None] = {}  # those with more to read, in turn
        self.closing: dict[SipConnection, None] = {}  # our side is closed, theirs not yet; oldest first

    def __len__(self) -> int:
        return len(self.all)

    def __iter__(self) -> Iterator[SipConnection]:
        return iter(list(self.all))

    def __contains__(self, connection: object) -> bool:
        return connection in self.all

    @property
    def full(self) -> bool:
        """Whether one more would be too many."""
        return len(self.all) >= self.max_connections

    def add(self, now: float, connection: SipConnection) -> None:
        """The connection is up."""
        self.all[connection] = None
        self.silent[connection] = now

    def remove(self, connection: SipConnection) -> None:
        """The connection is over."""
        self.all.pop(connection, None)
        self.closing.pop(connection, None)
        self.deferred.pop(connection, None)
        self.unlist(connection)

    def unlist(self, connection: SipConnection) -> None:
        """It has a pending call, or is closing."""
        for connections in (self.silent, self.in_first_message, self.idle, self.idle_callers):
            connections.pop(connection, None)

    def first_message_piece(self, now: float, connection: SipConnection) -> None:
        """A piece of its first message came."""
        self.silent.pop(connection, None)
        self.in_first_message.pop(connection, None)
        if connection in self.all and not connection.is_closing:
            self.in_first_message[connection] = now

    def mark_idle(self, now: float, connection: SipConnection) -> None:
        """It has no pending call."""
        connections = self.idle_callers if connection.had_established_call else self.idle
        connections[connection] = now

    def start_closing(self, connection: SipConnection, lingering: bool) -> None:
        """Our side closes. `lingering`: theirs is read to its end."""
        self.unlist(connection)
        self.deferred.pop(connection, None)
        if lingering:
            self.closing[connection] = None

    def next_to_shed(self, now: float) -> SipConnection | None:
        """Guards the descriptors, and good callers from a crowd.

        Those who connect and send nothing go first, then those whose first message has stopped coming, then
        those who asked something and stayed, the longest there. A newcomer has a moment to send what it
        wants; callers of calls go last.
        """
        for connections, grace in ((self.silent, NEWCOMER_GRACE), (self.in_first_message, PIECE_TIMEOUT)):
            first = next(iter(connections), None)
            if first is not None and now - connections[first] > grace:
                return first
        for connections in (self.idle, self.silent, self.in_first_message, self.idle_callers):
            if connections:
                return next(iter(connections))
        return None

    def silent_too_long(self, now: float) -> SipConnection | None:
        """One that sent nothing in time."""
        return _first_older(self.silent, now, FIRST_BYTE_TIMEOUT, 0.0)

    def idle_too_long(self, now: float) -> SipConnection | None:
        """One that is idle while many are; those of callers last."""
        kept = IDLE_SHARE_KEPT * self.max_connections
        first = _first_older(self.idle, now, IDLE_TIMEOUT, kept)
        return first or _first_older(self.idle_callers, now, IDLE_TIMEOUT, kept)

    def stalled_first_messages(self, now: float) -> list[SipConnection]:
        """Those whose first message does not come to its end."""
        return [
            connection
            for connection, last_piece in self.in_first_message.items()
            if now - connection.opened_at
            > (FIRST_MESSAGE_TIMEOUT if now - last_piece > PIECE_TIMEOUT else MESSAGE_TIMEOUT)
        ]

    def other_active(self, connection: SipConnection) -> bool:
        """Whether another connection may carry releases."""
        return any(
            other.caller_active_at is not None and not other.is_closing
            for other in self.all
            if other is not connection
        )


def _first_older(connections: Since, now: float, timeout: float, kept: float) -> SipConnection | None:
    if len(connections) <= kept:
        return None
    first, since = next(iter(connections.items()))
    return first if now - since > timeout else None
