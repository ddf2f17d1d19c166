"""Data that was written to callers' connections and that their callers do not read.

A connection that is not read is not read from either, so its unsent data grows by the answers to its open
calls alone. While the process holds more than its memory allows, the connection with the most unsent data is
ended, one after the other.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from softswitch.core.memory_budget import Holder, MemoryBudget

# Ms for which data may stay unsent before it can end its connection: a caller that reads has it by then.
READ_TIME = 250.0


class WritableConnection(Protocol):
    """A connection whose unsent data is tracked."""

    def end_unread(self) -> None:
        """Aborts the connection, because its caller does not read."""


@dataclass(slots=True)
class Backlog:
    """The unsent data of one connection."""

    since: float
    size: int = 0  # bytes


class UnsentData:
    """Tracks the unsent data of all fronts' connections, and ends the greediest ones."""

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self.backlogs: dict[WritableConnection, Backlog] = {}

    def update(self, now: float, connection: WritableConnection, size: int) -> None:
        """Records how many bytes are unsent on a connection."""
        backlog = self.backlogs.setdefault(connection, Backlog(now))
        self.memory.change(Holder.UNSENT, size - backlog.size)
        backlog.size = size

    def forget(self, connection: WritableConnection) -> None:
        """Records that nothing is unsent on a connection any more, or that it has ended."""
        backlog = self.backlogs.pop(connection, None)
        if backlog is not None:
            self.memory.change(Holder.UNSENT, -backlog.size)

    def enforce(self, now: float) -> int:
        """Ends connections, the one with the most unsent data first, until the memory suffices.

        Returns their number.
        """
        ended = 0
        while self.memory.total > self.memory.limit:
            victim = self._greediest(now)
            if victim is None:
                break
            self.forget(victim)
            victim.end_unread()
            ended += 1
        return ended

    def _greediest(self, now: float) -> WritableConnection | None:
        unread = {c: backlog for c, backlog in self.backlogs.items() if now - backlog.since > READ_TIME}
        return max(unread, key=lambda c: unread[c].size) if unread else None
