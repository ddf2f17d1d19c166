"""Ids of calls that have ended, so that none of them is set up again.

An engine may still work on an attempt that was taken back, or have run it, and identifies a call by its id
alone. The protocol has callers use a new id for each call setup. Times are in ms.
"""

from __future__ import annotations

from collections import OrderedDict

from softswitch.interface import CallId

RETAINED_FOR = 60_000.0  # ms after the end of a call
MAX_RETAINED = 4_096  # ids; the oldest is dropped beyond this


class RecentCalls:
    """The ids of ended calls of which an attempt was written to an engine."""

    def __init__(self) -> None:
        # The earliest end first. Of a plain dict, finding the first entry is slow once others were removed.
        self._ended_at: OrderedDict[CallId, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ended_at)

    def add(self, now: float, call: CallId) -> None:
        """Records the end of a call."""
        self._ended_at[call] = now
        self._ended_at.move_to_end(call)
        if len(self._ended_at) > MAX_RETAINED:
            self._ended_at.popitem(last=False)

    def has(self, now: float, call: CallId) -> bool:
        """Whether a call of this id ended within RETAINED_FOR."""
        ended_at = self._ended_at.get(call)
        return ended_at is not None and now - ended_at < RETAINED_FOR

    def ids(self) -> list[CallId]:
        """Returns the retained ids, the earliest end first."""
        return list(self._ended_at)
