"""What this process may spend now, what it spent, and what it would. Fulfils `interface.Constraints`.

The module asks before it decides, and says what it did. The clock is handed in and read at each question: a
process that was stopped in the middle of its work must not spend on by a time from before.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, exp, sqrt

from softswitch.budgets.plan import SHARED, SHARES, Budget, Plan
from softswitch.budgets.sliding_window import Window

QUICK, SLOW = 1_500.0, 10_000.0  # ms; two means of what is asked for
CHANGED = 3.0  # standard deviations of the quick mean from the slow one, from which on the load has moved


class Offered:
    """How much is asked for, and its mean worth. A slow mean, so that what comes unevenly by itself moves no
    parts; once the quick one differs by more than that can explain, the load has moved, and it holds.
    """

    __slots__ = ("at", "quick", "slow", "worth")

    def __init__(self, now: float) -> None:
        self.quick = self.slow = 0.0  # a ms
        self.at, self.worth = now, 1.0

    def _age(self, now: float) -> None:
        gap = now - self.at
        if gap > 0:
            self.quick *= exp(-gap / QUICK)
            self.slow *= exp(-gap / SLOW)
            self.at = now

    def add(self, now: float, worth: float) -> None:
        self._age(now)
        self.quick += 1 / QUICK
        self.slow += 1 / SLOW
        self.worth += (worth - self.worth) / 20

    def rate(self, now: float) -> float:
        """A ms."""
        self._age(now)
        # Such a mean of events that come by themselves has half the variance of their number in that time.
        spread = CHANGED * sqrt(max(self.quick, self.slow) * QUICK / 2) + 1
        if abs(self.quick - self.slow) * QUICK > spread:
            self.slow = self.quick
        return self.slow


class Pocket:
    """One budget, as this process uses it."""

    def __init__(self, budget: Budget, now: float, drift: float) -> None:
        self.budget = budget
        self.window = Window(budget.over * (1 + drift))
        self.offered = Offered(now)
        self.wanted = self.spent = self.refused = 0

    def binds(self, what: str, klass: str, engine: str) -> bool:
        b = self.budget
        return b.what == what and b.klass in ("", klass) and b.engine in ("", engine)


class Purse:
    """Owner of the pockets. `held` tells the slots that are held at a time (floor and lease)."""

    def __init__(self, plan: Plan, held: Callable[[float, str], int], clock: Callable[[], float]) -> None:
        self.held, self.clock = held, clock
        self.pockets: dict[str, Pocket] = {}
        self.settle(plan)

    def settle(self, plan: Plan) -> None:
        """What was used stays used, whatever the file says now: a budget's window does not change."""
        old, self.pockets = self.pockets, {}
        for b in plan.budgets:
            pocket = self.pockets[b.name] = old.get(b.name) or Pocket(b, self.clock(), plan.drift)
            pocket.budget = b
        self.first = [p for p in self.pockets.values() if p.budget.what == "set-ups" and not p.budget.engine]
        self.each = [
            p
            for p in self.pockets.values()
            if p.budget.what == "repeats" or (p.budget.what == "set-ups" and p.budget.engine)
        ]

    # what the module asks

    def admit(self, klass: str, worth: float) -> float:
        """A call comes. 0: it is let in, and counted as spent. Else ms until the budget that binds opens."""
        now, wait = self.clock(), 0.0
        bound = [p for p in self.first if p.binds("set-ups", klass, "")]
        for p in bound:
            p.wanted += 1
            p.offered.add(now, worth)
            wait = max(wait, p.window.opens(now, self.held(now, p.budget.name)))
        for p in bound:
            if wait:
                p.refused += 1
            else:
                p.spent += 1
                p.window.use(now)
        for p in self.pockets.values():  # what cold engines and probes are asked for follows the calls
            if p.budget.what in SHARED:
                p.offered.add(now, worth)
        return wait

    def may_attempt(self, klass: str, engine: str, repeat: bool) -> bool:
        """Whether an attempt may go there now. Asked often; counts nothing."""
        if not self.each:
            return True
        now = self.clock()
        what = "repeats" if repeat else "set-ups"
        return all(
            p.window.used(now) < self.held(now, p.budget.name)
            for p in self.each
            if p.binds(what, klass, engine)
        )

    def attempt_sent(self, klass: str, engine: str, repeat: bool) -> None:
        """An attempt goes there."""
        if self.each:
            now = self.clock()
            for p in self.each:
                if p.binds("repeats" if repeat else "set-ups", klass, engine):
                    p.spent += 1
                    p.window.use(now)

    def attempt_wanted(self, klass: str, repeat: bool, worth: float) -> None:
        """An attempt is wanted, at whichever engine; once for each."""
        now = self.clock()
        for p in self.each:
            if p.binds("repeats" if repeat else "set-ups", klass, p.budget.engine):
                p.wanted += 1
                p.offered.add(now, worth)

    def share(self, what: str, engine: str, default: float) -> float:
        """The share of what that engine can take of this that is held now; `default`: no budget binds it."""
        found = None
        for p in self.pockets.values():
            if p.budget.what == what and p.budget.engine in ("", engine):
                held = self.held(self.clock(), p.budget.name) / SHARES
                found = held if found is None else min(found, held)
        return default if found is None else found

    # what is needed

    def needs(self) -> dict[str, tuple[int, float]]:
        """For each budget the slots that would be used, and the weight of this need among others."""
        now, found = self.clock(), {}
        for name, p in self.pockets.items():
            rate = p.offered.rate(now)
            if p.budget.what in SHARED:
                # Everyone could use all of it: it is divided by how much each has to do.
                found[name] = (SHARES if rate * SLOW > 0.05 else 0, max(1e-3, rate * 1_000.0))
            else:
                mean = rate * p.budget.over
                found[name] = (ceil(mean) if mean > 0.02 else 0, p.offered.worth)
        return found

    def told(self) -> dict[str, dict[str, float | int]]:
        """Figures, by budget."""
        now = self.clock()
        return {
            name: {
                "whole": p.budget.whole,
                "floor": p.budget.floor,
                "held": self.held(now, name),
                "in_use": p.window.used(now),
                "wanted": p.wanted,
                "spent": p.spent,
                "refused": p.refused,
                "over_ms": p.budget.over,
            }
            for name, p in self.pockets.items()
        }
