"""Spending of budgets by this process: limits, use and demand. Implements `interface.Constraints`.

The decision module queries it before a decision and reports the result. The injected clock is read at each
query: a process that was paused in the middle of its work must not go on spending by an outdated time.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, exp, sqrt

from softswitch.budgets.lease_holder import Need, Needs
from softswitch.budgets.plan import CALLS, RETRIES, SHARE_SLOTS, Budget, Plan
from softswitch.budgets.sliding_window import SlidingWindow

FAST_TIME_CONSTANT, SLOW_TIME_CONSTANT = 1_500.0, 10_000.0  # ms; of the two moving averages of the load
CHANGE_THRESHOLD = 3.0  # standard deviations between the two averages that count as a change of the load
WEIGHT_SMOOTHING = 20  # calls over which the weight is averaged
MIN_SHARE_LOAD = 0.05  # calls in SLOW_TIME_CONSTANT ms below which no share is needed
MIN_SLOT_LOAD = 0.02  # mean uses in a window below which no slot is needed
MIN_SHARE_WEIGHT = 1e-3  # minimum weight of the need of a share


class OfferedLoad:
    """Rate and mean weight of the offered load.

    The rate is a slow moving average, so that random variation moves no slots between members. When the fast
    average differs from it by more than random variation explains, the load has changed, and the fast average
    replaces the slow one.
    """

    __slots__ = ("fast", "slow", "updated_at", "weight")

    def __init__(self, now: float) -> None:
        self.fast = 0.0  # per ms
        self.slow = 0.0  # per ms
        self.updated_at = now
        self.weight = 1.0  # mean priority weight

    def _decay(self, now: float) -> None:
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.fast *= exp(-elapsed / FAST_TIME_CONSTANT)
            self.slow *= exp(-elapsed / SLOW_TIME_CONSTANT)
            self.updated_at = now

    def add(self, now: float, weight: float) -> None:
        """Counts one offered call or attempt."""
        self._decay(now)
        self.fast += 1 / FAST_TIME_CONSTANT
        self.slow += 1 / SLOW_TIME_CONSTANT
        self.weight += (weight - self.weight) / WEIGHT_SMOOTHING

    def rate(self, now: float) -> float:
        """The current rate per ms."""
        self._decay(now)
        # For random (Poisson) arrivals an exponential average has half the variance of a count over its time
        # constant.
        threshold = CHANGE_THRESHOLD * sqrt(max(self.fast, self.slow) * FAST_TIME_CONSTANT / 2) + 1
        if abs(self.fast - self.slow) * FAST_TIME_CONSTANT > threshold:
            self.slow = self.fast
        return self.slow


class BudgetUse:
    """This process's use of one budget."""

    def __init__(self, budget: Budget, now: float, drift: float) -> None:
        self.budget = budget
        self.window = SlidingWindow(budget.window * (1 + drift))
        self.load = OfferedLoad(now)
        self.wanted = 0  # calls or attempts that needed a slot
        self.spent = 0  # slots used
        self.rejected = 0  # calls rejected because this or another budget was exhausted

    def applies_to(self, resource: str, call_class: str, engine: str) -> bool:
        """Whether the budget limits that resource for that class and engine."""
        b = self.budget
        return b.resource == resource and b.call_class in ("", call_class) and b.engine in ("", engine)

    def spend(self, now: float) -> None:
        """Uses one slot."""
        self.spent += 1
        self.window.use(now)


def _resource(retry: bool) -> str:
    return RETRIES if retry else CALLS


class Spending:
    """Checks and counts the use of all budgets.

    `held` returns the slots of a budget that this process may use: floor and lease.
    """

    def __init__(self, plan: Plan, held: Callable[[float, str], int], clock: Callable[[], float]) -> None:
        self.held = held
        self.clock = clock
        self.uses: dict[str, BudgetUse] = {}  # by budget
        self.call_uses: list[BudgetUse] = []  # checked when a call arrives
        self.attempt_uses: list[BudgetUse] = []  # checked before each attempt
        self.apply_plan(plan)

    def apply_plan(self, plan: Plan) -> None:
        """Replaces the plan. Counted uses are retained: a budget's window does not change."""
        previous, self.uses = self.uses, {}
        for budget in plan.budgets:
            use = previous.get(budget.name) or BudgetUse(budget, self.clock(), plan.drift)
            use.budget = budget
            self.uses[budget.name] = use
        self.call_uses = []
        self.attempt_uses = []
        for use in self.uses.values():
            if use.budget.resource == CALLS and not use.budget.engine:
                self.call_uses.append(use)
            elif use.budget.resource in (CALLS, RETRIES):
                self.attempt_uses.append(use)

    # interface.Constraints

    def admit(self, call_class: str, priority_weight: float) -> float:
        """Admits a call, counts it and returns 0; otherwise returns ms until the exhausted budget opens."""
        now, wait = self.clock(), 0.0
        limiting = [use for use in self.call_uses if use.applies_to(CALLS, call_class, "")]
        for use in limiting:
            use.wanted += 1
            use.load.add(now, priority_weight)
            wait = max(wait, use.window.opens_in(now, self.held(now, use.budget.name)))
        for use in limiting:
            if wait:
                use.rejected += 1
            else:
                use.spend(now)
        for use in self.uses.values():  # every call counts as load of the shared resources
            if use.budget.is_share:
                use.load.add(now, priority_weight)
        return wait

    def may_attempt(self, call_class: str, server: str, retry: bool) -> bool:
        """Whether an attempt may go to that engine now. Called often; counts nothing."""
        if not self.attempt_uses:
            return True
        now, resource = self.clock(), _resource(retry)
        return all(
            use.window.used(now) < self.held(now, use.budget.name)
            for use in self.attempt_uses
            if use.applies_to(resource, call_class, server)
        )

    def attempt_sent(self, call_class: str, server: str, retry: bool) -> None:
        """Counts an attempt that is sent to that engine."""
        if not self.attempt_uses:
            return
        now, resource = self.clock(), _resource(retry)
        for use in self.attempt_uses:
            if use.applies_to(resource, call_class, server):
                use.spend(now)

    def attempt_wanted(self, call_class: str, retry: bool, priority_weight: float) -> None:
        """Records the demand for an attempt, whichever engine it will go to. Called once per attempt."""
        now, resource = self.clock(), _resource(retry)
        for use in self.attempt_uses:
            if use.applies_to(resource, call_class, use.budget.engine):
                use.wanted += 1
                use.load.add(now, priority_weight)

    def share(self, resource: str, server: str, default: float) -> float:
        """The fraction of that engine's resource that is held now; `default` if no budget divides it."""
        now = self.clock()
        shares = [
            self.held(now, use.budget.name) / SHARE_SLOTS
            for use in self.uses.values()
            if use.budget.resource == resource and use.budget.engine in ("", server)
        ]
        return min(shares, default=default)

    # demand

    def needs(self) -> Needs:
        """For each budget the slots that this process would use, and the weight of this need."""
        now = self.clock()
        return {name: self._need(use, use.load.rate(now)) for name, use in self.uses.items()}

    @staticmethod
    def _need(use: BudgetUse, rate: float) -> Need:
        if use.budget.is_share:
            # Each member could use all slots. So every need is the same, and only the weights, the members'
            # loads in calls per s, determine the division.
            slots = SHARE_SLOTS if rate * SLOW_TIME_CONSTANT > MIN_SHARE_LOAD else 0
            return Need(slots, max(MIN_SHARE_WEIGHT, rate * 1_000.0))
        mean = rate * use.budget.window
        return Need(ceil(mean) if mean > MIN_SLOT_LOAD else 0, use.load.weight)

    def report(self) -> dict[str, dict[str, float | int]]:
        """Figures by budget, under the keys of `GET /v1/budgets`."""
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
