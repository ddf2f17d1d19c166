"""The budgets of the operator file, converted to slots, and the lease times that all members have in common.

A budget's total is counted in slots. Only one member at a time may use a slot, once in `window` ms, so in any
`window` ms at most as many uses happen as there are slots. A shared resource (the capacity of warming
engines, probes) is divided into SHARE_SLOTS slots that are held and not used up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from softswitch import interface as i

SHARE_SLOTS = 1_000  # slots of a budget of a shared resource
CALLS, RETRIES = "set-ups", "repeats"  # consumed resources: first attempts, retries
SHARED_RESOURCES = (i.SHARED_SLOW_START, i.SHARED_PROBES)  # resources of which members hold a share
RESOURCES = (CALLS, RETRIES, *SHARED_RESOURCES)
MAX_DRIFT = 0.1  # of `Plan.drift`


class PlanError(ValueError):
    """An invalid plan. The text names the budget and the figures."""


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget, in slots."""

    name: str
    resource: str  # one of RESOURCES
    total: int  # slots
    floor: int = 0  # slots that each member in `Plan.members` may use without a lease
    window: float = 1_000.0  # ms in which a slot can be used once
    call_class: str = ""  # empty: all classes
    engine: str = ""  # empty: all engines

    def __post_init__(self) -> None:
        if self.resource not in RESOURCES:
            raise PlanError(f"{self.name}: `what` is one of {', '.join(RESOURCES)}")
        if self.total < 1 or self.floor < 0 or not self.window > 0:
            raise PlanError(
                f"{self.name}: a total of {self.total} slots and a floor of {self.floor} are "
                "invalid; raise `whole` or `over_s`"
            )

    @property
    def is_share(self) -> bool:
        """Whether its slots are held and not used up: a budget of a shared resource."""
        return self.resource in SHARED_RESOURCES


@dataclass(frozen=True, slots=True)
class Limits:
    """Total and floor of one budget, in slots."""

    total: int
    floor: int


@dataclass(frozen=True, slots=True)
class Plan:
    """All budgets, the roster, the voters and the lease times.

    `drift`: no member's clock runs faster or slower than true time by more than this ratio. That no two
    members use a slot within its window depends on this assumption alone: clocks of different members are
    never compared.
    """

    budgets: tuple[Budget, ...]
    members: tuple[str, ...]  # the roster: addresses that have a floor
    voters: tuple[str, ...]  # they elect the allocator from among themselves
    lease: float = 4_000.0  # ms that a grant is valid, from the time of its request
    promise: float = 3_000.0  # ms that a voter's promise to one allocator is valid
    drift: float = 0.01
    by_name: dict[str, Budget] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_name", {b.name: b for b in self.budgets})
        if len(self.by_name) != len(self.budgets):
            raise PlanError("the name of a budget is used twice")
        if not self.voters:
            raise PlanError("`voters` is empty: no allocator can be elected")
        if not 0 <= self.drift <= MAX_DRIFT:
            raise PlanError("`drift` is a ratio from 0 to 0.1")
        for budget in self.budgets:
            self._check_floors(budget)

    def _check_floors(self, budget: Budget) -> None:
        members = len(set(self.members))
        floors = budget.floor * members
        if floors > budget.total:
            raise PlanError(
                f"{budget.name}: the floors of {members} members sum to {floors} "
                f"slots, more than the total of {budget.total}; lower `floor`"
            )

    def floor_of(self, name: str, member: str) -> int:
        """The floor of a member, given the budget's name and the member's address; 0 off the roster."""
        budget = self.by_name.get(name)
        return budget.floor if budget is not None and member in self.members else 0

    @property
    def quorum(self) -> int:
        """The smallest number of voters that is a majority."""
        return len(self.voters) // 2 + 1

    @property
    def leadership(self) -> float:
        """How long an allocator may rely on promises: ms of its clock since it requested them.

        In true time this ends before any voter's promise does.
        """
        return self.promise * (1 - self.drift) / (1 + self.drift)

    @property
    def lease_bound(self) -> float:
        """Ms of the allocator's clock after which every lease that was requested before has expired.

        Covers the worst case: the holder's clock is the slowest, the allocator's the fastest.
        """
        return self.lease * (1 + self.drift) / (1 - self.drift)

    def cooldown(self, budget: Budget) -> float:
        """Ms of a member's clock after which the budget's window has passed in true time, at any drift."""
        return budget.window * (1 + self.drift)

    @property
    def renew_interval(self) -> float:
        """Ms between two lease requests of a holder."""
        return self.lease / 4


def strictest_limits(plan: Plan, reported: Iterable[dict[str, Limits]]) -> dict[str, Limits]:
    """The limits of each budget of the plan if members have different operator files.

    These are the lowest total and the highest floor of the plan and of the `reported` limits of holders.
    """
    limits = {b.name: Limits(b.total, b.floor) for b in plan.budgets}
    for limits_by_name in reported:
        for name, theirs in limits_by_name.items():
            own = limits.get(name)
            if own is not None:
                limits[name] = Limits(min(own.total, theirs.total), max(own.floor, theirs.floor))
    return limits


def make_plan(budgets: Any, allocation: Any) -> Plan:
    """Makes the plan from the operator file's tables `budgets` and `allocation`. PlanError if invalid."""
    return Plan(
        tuple(_make_budget(table) for table in budgets),
        allocation.members,
        allocation.voters,
        allocation.lease_s * 1000.0,
        allocation.promise_s * 1000.0,
        allocation.drift,
    )


def _make_budget(table: Any) -> Budget:
    return Budget(
        table.name,
        table.what,
        table.slots(table.whole),
        table.slots(table.floor),
        table.over_s * 1000.0,
        table.klass,
        table.engine,
    )
