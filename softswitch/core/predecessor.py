"""Calls of the predecessor process, which stopped or died while they were established.

For a while after the start, an unknown call id may name a call of the predecessor. An engine's release of
such a call is passed to the callers, and a caller's release of it to every engine.
"""

from __future__ import annotations

from softswitch.interface import CallId

PREDECESSOR_FOR = 60_000.0  # ms after the start in which calls of the predecessor may still end
MAX_ENDED_CALLS = 4_096  # ids kept of this process's calls that ended in that time
MAX_BROADCASTS = 4_096  # releases of unknown calls sent to every engine; bounded, as ids can be invented


class PredecessorCalls:
    """Distinguishes calls of the predecessor from late duplicates of messages about this process's calls."""

    def __init__(self, started_at: float) -> None:
        self.until = started_at + PREDECESSOR_FOR
        self.broadcasts = 0  # callers' releases that were sent to every engine
        self.ended: dict[CallId, None] = {}  # this process's ended calls, the oldest first

    def may_be(self, now: float, call: CallId) -> bool:
        """Whether an unknown id can name a call of the predecessor."""
        return now < self.until and call not in self.ended

    def may_broadcast(self, now: float, call: CallId) -> bool:
        """Whether a caller's release of an unknown call may be sent to every engine."""
        return self.broadcasts < MAX_BROADCASTS and self.may_be(now, call)

    def call_ended(self, now: float, call: CallId) -> None:
        """Records the end of a call; later messages that name it are duplicates."""
        if now >= self.until:
            self.ended.clear()
            return
        # At the limit the oldest id is dropped. A late duplicate of its release would then be passed on,
        # which is harmless. If no more releases were passed on at the limit, the callers of the predecessor
        # would not be notified of the end of their calls.
        if len(self.ended) >= MAX_ENDED_CALLS:
            del self.ended[next(iter(self.ended))]
        self.ended[call] = None
