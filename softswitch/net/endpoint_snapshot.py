"""The endpoint list as one process of a softswitch passes it to the other, during a replacement.

A process that starts while the server of the endpoint watch is down would otherwise know the list of its
configuration alone, and send calls to engines that the other process knows to drain. Of two lists the one
with the higher revision is newer. All times are those of the monotonic clock, which the processes share.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from softswitch import interface as i

ENTRIES_PER_MESSAGE = 6  # the message stays below the limit of the channel
MAX_ENTRIES = 4_096

Address = tuple[str, int]
Message = dict[str, Any]


@dataclass(frozen=True, slots=True)
class LocatedEndpoint:
    """An entry of the endpoint list and the address to connect to."""

    endpoint: i.Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The complete endpoint list at a revision."""

    revision: int
    entries: tuple[LocatedEndpoint, ...]


def encode_snapshot(snapshot: EndpointSnapshot) -> Iterator[Message]:
    """Yields the fields of the messages that carry a snapshot, in order."""
    entries = [_encode_entry(entry) for entry in snapshot.entries]
    for start in range(0, max(1, len(entries)), ENTRIES_PER_MESSAGE):
        end = start + ENTRIES_PER_MESSAGE
        yield {"revision": snapshot.revision, "entries": entries[start:end], "last": end >= len(entries)}


def _encode_entry(entry: LocatedEndpoint) -> list[Any]:
    e = entry.endpoint
    return [e.server, *entry.address, e.cell, e.state.value, e.started_at, e.weight]


def _decode_entry(fields: list[Any]) -> LocatedEndpoint:
    server, host, port, cell, state, started_at, weight = fields
    endpoint = i.Endpoint(str(server), int(cell), i.EndpointState(state), float(started_at), float(weight))
    return LocatedEndpoint(endpoint, (str(host), int(port)))


class SnapshotReader:
    """Assembles a snapshot from its messages."""

    def __init__(self) -> None:
        self._revision = 0
        self._entries: list[LocatedEndpoint] = []

    def read(self, message: Message) -> EndpointSnapshot | None:
        """Reads a message. Returns the snapshot with its last one; raises ValueError if one is malformed."""
        revision = int(message["revision"])
        if revision != self._revision:
            self._revision, self._entries = revision, []
        self._entries += [_decode_entry(fields) for fields in message["entries"]]
        if len(self._entries) > MAX_ENTRIES:
            raise ValueError("endpoint list too long")
        if not message["last"]:
            return None
        snapshot = EndpointSnapshot(revision, tuple(self._entries))
        self._revision, self._entries = 0, []
        return snapshot
