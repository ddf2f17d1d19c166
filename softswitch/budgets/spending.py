"""What this process may spend now, what it spent, and what it would. Fulfils `interface.Constraints`.

The module asks before it decides, and reports what it did. The clock is handed in and read at each question:
a process that was stopped in the middle of its work must not spend on by a time from before.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, exp, sqrt

from softswitch.budgets.lease_holder import Need, Needs
from softswitch.budgets.plan import CALLS, RETRIES, SHARES, Budget, Plan
from softswitch.budgets.sliding_window import SlidingWindow

FAST, SLOW = 1_500.0, 10_000.0  # ms; two means of the load
LOAD_MOVED = 3.0  # standard deviations of the fast mean from the slow one, from which on the load has moved
WEIGHT_SMOOTHING = 20
MIN_SHARE_LOAD = 0.05  # calls in SLOW ms below which no share is needed
MIN_SLOT_LOAD = 0.02  # slots below which none is needed
MIN_SHARE_WEIGHT = 1e-3


class OfferedLoad:
    """How much is asked for, and its mean weight.

    A slow mean, so that what comes unevenly by itself moves no slots; once the fast one differs by more than
    that can explain, the load has moved, and the fast one holds.
    """

    __slots__ = ("fast", "slow", "updated_at", "weight")

    def __init__(self, now: float) -> None:
        self.fast = 0.0  # per ms
        self.slow = 0.0
        self.updated_at = now
        self.weight = 1.0

    def _age(self, now: float) -> None:
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.fast *= exp(-elapsed / FAST)
            self.slow *= exp(-elapsed / SLOW)
            self.updated_at = now

    def add(self, now: float, weight: float) -> None:
        """One more is asked for."""
        self._age(now)
        self.fast += 1 / FAST
        self.slow += 1 / SLOW
        self.weight += (weight - self.weight) / WEIGHT_SMOOTHING

    def rate(self, now: float) -> float:
        """Per ms."""
        self._age(now)
        # Such a mean of events that come by themselves has half the variance of their number in that time.
        spread = LOAD_MOVED * sqrt(max(self.fast, self.slow) * FAST / 2) + 1
        if abs(self.fast - self.slow) * FAST > spread:
            self.slow = self.fast
        return self.slow


class BudgetUse:
    """One budget, as this process uses it."""

    def __init__(self, budget: Budget, now: float, drift: float) -> None:
        self.budget = budget
        self.window = SlidingWindow(budget.window * (1 + drift))
        self.load = OfferedLoad(now)
        self.wanted = 0
        self.spent = 0
        self.rejected = 0

    def limits(self, resource: str, call_class: str, engine: str) -> bool:
        """Whether the budget is one of that resource, for that class and engine."""
        b = self.budget
        return b.resource == resource and b.call_class in ("", call_class) and b.engine in ("", engine)

    def spend(self, now: float) -> None:
        """One slot is used."""
        self.spent += 1
        self.window.use(now)


def _resource(retry: bool) -> str:
    return RETRIES if retry else CALLS


class Spending:
    """Owner of the uses. `held` tells the slots that are held at a time (floor and lease)."""

    def __init__(self, plan: Plan, held: Callable[[float, str], int], clock: Callable[[], float]) -> None:
        self.held = held
        self.clock = clock
        self.uses: dict[str, BudgetUse] = {}  # by budget
        self.of_calls: list[BudgetUse] = []  # asked as a call comes
        self.of_attempts: list[BudgetUse] = []  # asked before each attempt
        self.set_plan(plan)

    def set_plan(self, plan: Plan) -> None:
        """What was used stays used, whatever the file says now: a budget's window does not change."""
        before, self.uses = self.uses, {}
        for budget in plan.budgets:
            use = before.get(budget.name) or BudgetUse(budget, self.clock(), plan.drift)
            use.budget = budget
            self.uses[budget.name] = use
        self.of_calls = []
        self.of_attempts = []
        for use in self.uses.values():
            if use.budget.resource == CALLS and not use.budget.engine:
                self.of_calls.append(use)
            elif use.budget.resource in (CALLS, RETRIES):
                self.of_attempts.append(use)

    # as `interface.Constraints`

    def admit(self, call_class: str, priority_weight: float) -> float:
        """Admits a call and counts it as spent: 0. Otherwise ms until the exhausted budget opens."""
        now, wait = self.clock(), 0.0
        limiting = [use for use in self.of_calls if use.limits(CALLS, call_class, "")]
        for use in limiting:
            use.wanted += 1
            use.load.add(now, priority_weight)
            wait = max(wait, use.window.opens_in(now, self.held(now, use.budget.name)))
        for use in limiting:
            if wait:
                use.rejected += 1
            else:
                use.spend(now)
        for use in self.uses.values():  # what warming engines and probes are asked for follows the calls
            if use.budget.is_share:
                use.load.add(now, priority_weight)
        return wait

    def may_attempt(self, call_class: str, server: str, retry: bool) -> bool:
        """Whether an attempt may go there now. Asked often; counts nothing."""
        if not self.of_attempts:
            return True
        now, resource = self.clock(), _resource(retry)
        return all(
            use.window.used(now) < self.held(now, use.budget.name)
            for use in self.of_attempts
            if use.limits(resource, call_class, server)
        )

    def attempt_sent(self, call_class: str, server: str, retry: bool) -> None:
        """An attempt goes there."""
        if not self.of_attempts:
            return
        now, resource = self.clock(), _resource(retry)
        for use in self.of_attempts:
            if use.limits(resource, call_class, server):
                use.spend(now)

    def attempt_wanted(self, call_class: str, retry: bool, priority_weight: float) -> None:
        """An attempt is wanted, at whichever engine; once for each."""
        now, resource = self.clock(), _resource(retry)
        for use in self.of_attempts:
            if use.limits(resource, call_class, use.budget.engine):
                use.wanted += 1
                use.load.add(now, priority_weight)

    def share(self, resource: str, server: str, default: float) -> float:
        """The share of that engine's resource that is held now; `default`: no budget divides it."""
        now = self.clock()
        shares = [
            self.held(now, use.budget.name) / SHARES
            for use in self.uses.values()
            if use.budget.resource == resource and use.budget.engine in ("", server)
        ]
        return min(shares, default=default)

    # what is needed

    def needs(self) -> Needs:
        """For each budget the slots that would be used, and the weight of this need among others."""
        now = self.clock()
        return {name: self._need(use, use.load.rate(now)) for name, use in self.uses.items()}

    @staticmethod
    def _need(use: BudgetUse, rate: float) -> Need:
        if use.budget.is_share:
            # Everyone could use all of it: it is divided by how much each has to do.
            slots = SHARES if rate * SLOW > MIN_SHARE_LOAD else 0
            return Need(slots, max(MIN_SHARE_WEIGHT, rate * 1_000.0))
        mean = rate * use.budget.window
        return Need(ceil(mean) if mean > MIN_SLOT_LOAD else 0, use.load.weight)

    def report(self) -> dict[str, dict[str, float | int]]:
        """Figures, by budget; the names are those of the page."""
        now = self.clock()
        return {
            name: {
                "whole": use.budget.total,
                "floor": use.budget.floor,
                "held": self.held(now, name),
                "in_use": use.window.used(now),
                "wanted": use.wanted,
                "spent": use.spent,
                "refused": use.rejected,
                "over_ms": use.budget.window,
            }
            for name, use in self.uses.items()
        }
