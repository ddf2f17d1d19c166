"""Calls of the process before this one, which stopped or died while they were established.

For a while after the start an unknown id may be a call of the predecessor: an engine's release is passed to
callers, and a caller's release to every engine.
"""

from __future__ import annotations

PREDECESSOR_FOR = 60_000.0  # ms after the start in which calls of the predecessor may still come to their end
MAX_ENDED_CALLS = 4_096  # ids of own calls that ended in that time
MAX_BROADCASTS = 4_096  # callers' releases of unknown calls that go to every engine: ids may be made up


class PredecessorCalls:
    """Tells calls of the predecessor from late copies of our own calls' messages."""

    def __init__(self, started_at: float) -> None:
        self.until = started_at + PREDECESSOR_FOR
        self.broadcasts = 0  # releases of callers that every engine was told
        self.ended: dict[str, None] = {}  # our own calls that ended since the start, the oldest first

    def may_be(self, now: float, call: str) -> bool:
        """Whether an unknown id can be a call of the predecessor."""
        return now < self.until and call not in self.ended

    def may_broadcast(self, now: float, call: str) -> bool:
        """Whether a caller's release of an unknown call may go to every engine."""
        return self.broadcasts < MAX_BROADCASTS and self.may_be(now, call)

    def call_ended(self, now: float, call: str) -> None:
        """A call has ended; messages that name it from now on are late copies."""
        if now >= self.until:
            self.ended.clear()
            return
        # The oldest goes: a late copy of its release would be passed on, which is harmless. To stop here
        # would leave callers of the predecessor without theirs.
        if len(self.ended) >= MAX_ENDED_CALLS:
            del self.ended[next(iter(self.ended))]
        self.ended[call] = None
