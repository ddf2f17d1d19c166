"""How often something was done in the last so many ms, in memory that does not grow with how often.

Exact counting keeps a time for each use. Here uses are counted in CELLS cells, and a cell is let go only when
its newest possible use is older than the window: the count is never below the true one, and what that costs
is
at most 1/CELLS of the throughput. `benchmarks/budgets.py window` holds it against the exact one.
"""

from __future__ import annotations

CELLS = 64


class Window:
    """Uses in the last `over` ms."""

    __slots__ = ("at", "cell", "count", "counts", "over")

    def __init__(self, over: float) -> None:
        self.over = over
        self.cell = over / CELLS
        # One cell more than the window holds, so that one which began inside it is still counted whole.
        self.counts = [0] * (CELLS + 1)
        self.at = -1  # number of the newest cell, since time 0
        self.count = 0

    def _turn(self, now: float) -> None:
        cell = int(now // self.cell)
        if cell <= self.at:  # a clock that was read before another one was
            return
        for passed in range(max(self.at + 1, cell - CELLS), cell + 1):
            place = passed % (CELLS + 1)
            self.count -= self.counts[place]
            self.counts[place] = 0
        self.at = cell

    def used(self, now: float) -> int:
        """At least as many as were used in the last `over` ms."""
        self._turn(now)
        return self.count

    def use(self, now: float) -> None:
        self._turn(now)
        self.counts[self.at % (CELLS + 1)] += 1
        self.count += 1

    def opens(self, now: float, slots: int) -> float:
        """Ms until fewer than so many are counted, 0 if that is so now; `over` where there are no slots."""
        self._turn(now)
        if slots <= 0:
            return self.over
        left = self.count
        if left < slots:
            return 0.0
        for back in range(CELLS, -1, -1):  # the oldest first
            left -= self.counts[(self.at - back) % (CELLS + 1)]
            if left < slots:
                return (self.at - back + CELLS + 1) * self.cell - now
        return self.over
