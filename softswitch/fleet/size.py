"""The fleet size by which the decision module divides the capacity of warming engines.

The size rises at once and falls with a delay: a member counts from the moment it is known until its last
attempts have ended, `linger` ms after it first appears as left or gone in this process's view. While this
process is cut off, the size never falls. Before this process has joined, the size is at least the configured
one.
"""

from __future__ import annotations

from collections.abc import Iterable

from softswitch.fleet.messages import ENDED, Record


class FleetSize:
    """Computes the fleet size that the decision module uses."""

    def __init__(self, configured: int, linger: float) -> None:
        self.configured, self.linger = configured, linger
        self.size = configured
        self.counts_until: dict[str, float] = {}  # ended members by name: ms until which they count

    def update(self, now: float, records: Iterable[Record], joined: bool, cut_off: bool) -> int:
        """Recomputes the size. Has to be called at each change of the view, and once a second."""
        present: set[str] = set()
        ended: set[str] = set()
        for r in records:
            (ended if r.state in ENDED else present).add(r.name)
        for name in ended - present:
            self.counts_until.setdefault(name, now + self.linger)
        for name in [n for n in self.counts_until if n in present or n not in ended]:
            del self.counts_until[name]
        counted = len(present) + sum(now < until for until in self.counts_until.values())
        if not joined:
            counted = max(counted, self.configured)
        if cut_off:
            counted = max(counted, self.size)
        self.size = max(1, counted)
        return self.size
