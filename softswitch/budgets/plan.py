"""Budgets as the operator file names them, in slots; and the times that all members have to share.

A budget's total is counted in slots. A slot can be used once in `window` ms, by one member at a time; so in
any `window` ms no more is spent than there are slots. A share of something (what warming engines bear,
probes) is divided into SHARES slots that are held and not used up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from softswitch import interface as i

SHARES = 1_000  # slots of a budget that is a share
CALLS, RETRIES = "set-ups", "repeats"  # resources that are used up: first attempts, retries
SHARED = (i.SHARED_SLOW_START, i.SHARED_PROBES)  # resources that are held as a share
RESOURCES = (CALLS, RETRIES, *SHARED)
MAX_DRIFT = 0.1


class PlanError(ValueError):
    """A plan that can't be kept; the text names the budget and the figures."""


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget."""

    name: str
    resource: str  # of RESOURCES
    total: int  # slots
    floor: int = 0  # slots that each member on the roster holds, whatever happens
    window: float = 1_000.0  # ms in which a slot can be used once
    call_class: str = ""  # of calls; empty: all
    engine: str = ""  # quote engine; empty: all

    def __post_init__(self) -> None:
        if self.resource not in RESOURCES:
            raise PlanError(f"{self.name}: `what` is one of {', '.join(RESOURCES)}")
        if self.total < 1 or self.floor < 0 or not self.window > 0:
            raise PlanError(
                f"{self.name}: a whole of {self.total} slots and a floor of {self.floor} can't be "
                "kept; raise `whole` or `over_s`"
            )

    @property
    def is_share(self) -> bool:
        """Whether its slots are held and not used up."""
        return self.resource in SHARED


@dataclass(frozen=True, slots=True)
class Limits:
    """Total and floor of one budget, in slots."""

    total: int
    floor: int


@dataclass(frozen=True, slots=True)
class Plan:
    """All budgets, who has a floor, who votes, and the times.

    `drift`: no member's clock runs faster or slower than true time by more than this share. All safety rests
    on it, and on nothing else: no clock is compared with another one.
    """

    budgets: tuple[Budget, ...]
    members: tuple[str, ...]  # the roster: addresses that have a floor
    voters: tuple[str, ...]  # who choose the allocator, and of whom one is it
    lease: float = 4_000.0  # ms that slots are granted for, from when they were asked for
    promise: float = 3_000.0  # ms that a voter promises itself to one allocator
    drift: float = 0.01
    by_name: dict[str, Budget] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_name", {b.name: b for b in self.budgets})
        if len(self.by_name) != len(self.budgets):
            raise PlanError("a budget's name is there twice")
        if not self.voters:
            raise PlanError("`voters`: nobody chooses an allocator")
        if not 0 <= self.drift <= MAX_DRIFT:
            raise PlanError("`drift` is a share from 0 to 0.1")
        for budget in self.budgets:
            self._check_floors(budget)

    def _check_floors(self, budget: Budget) -> None:
        members = len(set(self.members))
        floors = budget.floor * members
        if floors > budget.total:
            raise PlanError(
                f"{budget.name}: the floors of {members} members sum to {floors} "
                f"slots, the whole is {budget.total}; lower `floor`"
            )

    def floor_of(self, name: str, member: str) -> int:
        """The floor of a member, by its address."""
        budget = self.by_name.get(name)
        return budget.floor if budget is not None and member in self.members else 0

    @property
    def quorum(self) -> int:
        """Voters that are more than half."""
        return len(self.voters) // 2 + 1

    @property
    def leadership(self) -> float:
        """Ms of its own clock that an allocator may count on promises, from when it asked for them.

        In true time it is over before any voter's promise is.
        """
        return self.promise * (1 - self.drift) / (1 + self.drift)

    @property
    def lease_bound(self) -> float:
        """Ms of its own clock after which an allocator may count on a lease being over that was asked for
        before.

        The holder's clock may be the slowest, its own the fastest.
        """
        return self.lease * (1 + self.drift) / (1 - self.drift)

    def cooldown(self, budget: Budget) -> float:
        """Ms of one's own clock that surely cover the budget's window in true time."""
        return budget.window * (1 + self.drift)

    @property
    def renew_interval(self) -> float:
        """Ms between two requests of a holder."""
        return self.lease / 4


def strictest_limits(plan: Plan, reported: Iterable[dict[str, Limits]]) -> dict[str, Limits]:
    """The limits of each budget of the plan that hold where members run other files.

    The lowest total and the highest floor of all.
    """
    limits = {b.name: Limits(b.total, b.floor) for b in plan.budgets}
    for other in reported:
        for name, theirs in other.items():
            own = limits.get(name)
            if own is not None:
                limits[name] = Limits(min(own.total, theirs.total), max(own.floor, theirs.floor))
    return limits


def make_plan(budgets: Any, allocation: Any) -> Plan:
    """The plan that an operator file's two tables make; PlanError names the budget that can't be kept."""
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
