"""Bytes that the process holds for its peers, by holder, within one limit.

The limit follows from the memory that the configuration allows. What is held is estimated from sizes and
counts, not measured, so that a decision costs no system call and is the same in every run.

The limit is shared by dynamic thresholds (Choudhury and Hahne, "Dynamic queue length thresholds for
shared-memory packet switches", 1998): a peer may hold as much as is left to all. A single greedy peer gets
half of the memory, n of them n / (n + 1), and a peer that holds little is always served beside them.
"""

from __future__ import annotations

from typing import Final

MB = 1 << 20  # bytes
DEFAULT_MEMORY_BYTES = 1_000 * MB  # if the configuration names no limit
IDLE_PROCESS_BYTES = (
    24 * MB
)  # of a process without callers; its peer process during a replacement has as many
# Part of the remaining memory that may be held. The rest is for the allocator, reads and the engines' links.
USABLE_FRACTION = 0.65
ORDINARY_LOAD_BYTES = 8 * MB  # granted where less would be left beside a second process
MIN_LIMIT = 3 * MB // 2  # bytes


class Holder:
    """What holds memory for peers, by its name in the counters.

    Plain strings, since enum members are too slow to look up here.
    """

    CONNECTIONS: Final = "held by connections"
    CALLS: Final = "held by calls"
    TIMERS: Final = "held by timers"
    RECEIVED: Final = "held by incomplete messages"
    UNSENT: Final = "held by unread messages"
    EVENTS: Final = "held by events for watchers"


HOLDERS = (
    Holder.CONNECTIONS,
    Holder.CALLS,
    Holder.TIMERS,
    Holder.RECEIVED,
    Holder.UNSENT,
    Holder.EVENTS,
)


def sole_limit(memory_bytes: int) -> int:
    """Returns the limit of the only process of a softswitch.

    It leaves room for a second process, which may start at any time to replace this one and shares the
    memory. Where the memory is too small for that, it grants ORDINARY_LOAD_BYTES if these are there.
    """
    beside_a_second = _usable(memory_bytes - 2 * IDLE_PROCESS_BYTES)
    alone = _usable(memory_bytes - IDLE_PROCESS_BYTES)
    return max(MIN_LIMIT, beside_a_second, min(alone, ORDINARY_LOAD_BYTES))


def shared_limit(memory_bytes: int) -> int:
    """Returns the limit of each of two processes, while one replaces the other."""
    return max(MIN_LIMIT, _usable(memory_bytes - 2 * IDLE_PROCESS_BYTES) // 2)


def _usable(memory_bytes: int) -> int:
    return int(USABLE_FRACTION * memory_bytes)


class MemoryBudget:
    """Counts the held bytes by holder, and decides what fits into the limit."""

    def __init__(self) -> None:
        self.held = dict.fromkeys(HOLDERS, 0)
        self.total = 0
        self.configure(DEFAULT_MEMORY_BYTES)

    def configure(self, memory_bytes: int) -> None:
        """Sets the memory that the softswitch may use, with all its processes."""
        self._memory_bytes = memory_bytes
        self.share_with_peer_process(False)

    def share_with_peer_process(self, shared: bool) -> None:
        """Applies the limit of one of two processes, or of the only one."""
        self.limit = shared_limit(self._memory_bytes) if shared else sole_limit(self._memory_bytes)

    def change(self, holder: str, difference: int) -> None:
        """Records that `holder` holds more bytes than before, or less if the difference is negative."""
        self.held[holder] += difference
        self.total += difference

    @property
    def available(self) -> int:
        """Bytes that are left to all peers together."""
        return max(0, self.limit - self.total)

    def allows(self, held_by_peer: int, additional: int) -> bool:
        """Whether a peer that holds so many bytes may hold the additional ones."""
        return held_by_peer + additional <= self.available

    def gauges(self) -> dict[str, int]:
        """Returns the held bytes by holder, for the counters."""
        return dict(self.held)
