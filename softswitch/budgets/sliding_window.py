"""A sliding-window counter whose memory does not grow with the number of uses.

An exact counter stores the time of each use. Here uses are counted in CELLS cells, and a cell expires only
when its newest possible use is older than the window. So the count is never below the true one, which costs
at most 1/CELLS of the throughput. `benchmarks/budgets.py window` compares it with an exact counter.
"""

from __future__ import annotations

CELLS = 64


class SlidingWindow:
    """Counts uses in the last `length` ms."""

    __slots__ = ("_cell_length", "_cells", "_count", "_newest", "length")

    def __init__(self, length: float) -> None:
        self.length = length
        self._cell_length = length / CELLS
        # One more than the window covers, so that the partly expired oldest cell still counts completely.
        self._cells = [0] * (CELLS + 1)
        self._newest = -1  # number of the newest cell, since time 0
        self._count = 0

    def _advance(self, now: float) -> None:
        cell = int(now // self._cell_length)
        if cell <= self._newest:  # the time was read before that of an earlier call
            return
        for passed in range(max(self._newest + 1, cell - CELLS), cell + 1):
            place = passed % (CELLS + 1)
            self._count -= self._cells[place]
            self._cells[place] = 0
        self._newest = cell

    def used(self, now: float) -> int:
        """The count of uses in the last `length` ms, never too low."""
        self._advance(now)
        return self._count

    def use(self, now: float) -> None:
        """Counts one use."""
        self._advance(now)
        self._cells[self._newest % (CELLS + 1)] += 1
        self._count += 1

    def opens_in(self, now: float, slots: int) -> float:
        """Ms until fewer than `slots` uses are counted; 0 if already so; `length` if `slots` is 0."""
        self._advance(now)
        if slots <= 0:
            return self.length
        remaining = self._count
        if remaining < slots:
            return 0.0
        for age in range(CELLS, -1, -1):  # the oldest first
            remaining -= self._cells[(self._newest - age) % (CELLS + 1)]
            if remaining < slots:
                return (self._newest - age + CELLS + 1) * self._cell_length - now
        return self.length
