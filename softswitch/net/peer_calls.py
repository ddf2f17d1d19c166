"""The calls of the peer process, while one process of a softswitch replaces the other.

Engines identify a call by its id alone, and the two processes count as one softswitch. So neither may set up
a call under an id that the other one has: each reports its calls to the other over the handover's channel.
A report takes as long as the channel needs, so ids that arrive at both processes at once are not detected.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Protocol

from softswitch.core.call_table import MAX_CALLS, CallTable
from softswitch.core.recent_calls import RecentCalls
from softswitch.interface import CallId

# Message types; the field `ids` is a list of call ids.
ADDED = "calls_added"
REMOVED = "calls_removed"
IDS_PER_MESSAGE = 48  # of 16 hex digits: the message stays below the limit of the channel


def _pieces(ids: list[CallId]) -> Iterator[list[CallId]]:
    """Divides ids into lists that fit into a message each."""
    for start in range(0, len(ids), IDS_PER_MESSAGE):
        yield ids[start : start + IDS_PER_MESSAGE]


class MessageSender(Protocol):
    """The channel to the peer process."""

    def send(self, do: str, **fields: Any) -> None:
        """Sends one message."""


class PeerCalls:
    """The ids of the peer process's calls, and the reports of this process's own ones.

    Implements `core.call_table.CallTableObserver`.
    """

    def __init__(self, calls: CallTable) -> None:
        self._calls = calls
        self._ids: set[CallId] = set()
        self._channel: MessageSender | None = None

    def __contains__(self, call: CallId) -> bool:
        """Whether the peer process has a call with this id."""
        return call in self._ids

    def start(self, channel: MessageSender, ended: RecentCalls) -> None:
        """Reports all calls of this process, and from now on each one that is added or removed.

        `ended`: the calls that ended lately.
        """
        self._channel = channel
        self._calls.observer = self
        for ids in _pieces(list(self._calls)):
            channel.send(ADDED, ids=ids)
        for ids in _pieces(ended.ids()):
            channel.send(REMOVED, ids=ids, written=True)

    def stop(self) -> None:
        """Stops reporting and forgets the peer process's calls: the channel is closed."""
        self._channel = self._calls.observer = None
        self._ids.clear()

    # reports of the peer process

    def peer_added(self, ids: list[CallId]) -> None:
        """Handles the peer's report of added calls."""
        if len(self._ids) + len(ids) <= MAX_CALLS:
            self._ids.update(ids)

    def peer_removed(self, ids: list[CallId]) -> None:
        """Handles the peer's report of removed calls."""
        self._ids.difference_update(ids)

    # core.call_table.CallTableObserver

    def call_added(self, call: CallId) -> None:
        """Reports a call that this process has accepted."""
        if self._channel is not None:
            self._channel.send(ADDED, ids=[call])

    def call_removed(self, call: CallId, written: bool) -> None:
        """Reports a call of this process that has ended. The peer must not set it up if it was written."""
        if self._channel is not None:
            self._channel.send(REMOVED, ids=[call], written=written)
