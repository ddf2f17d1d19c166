"""Budgets as the operator file names them, in slots; and the times that all members have to share.

A whole is counted in slots. A slot can be used once in `over` ms, by one member at a time; so in any `over`
ms no more is spent than there are slots. A share of something (what cold engines bear, probes) is divided
into SHARES slots that are held and not used up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

SHARES = 1_000  # slots of a budget that is a share
WHATS = ("set-ups", "repeats", "cold", "probes")
SHARED = ("cold", "probes")  # held as a share


class BadPlan(ValueError):
    """A plan that can't be kept; the text names the budget and the figures."""


@dataclass(frozen=True, slots=True)
class Budget:
    name: str
    what: str  # of WHATS: first tries, repeated attempts, set-ups at cold engines, trials at shut gates
    whole: int  # slots
    floor: int = 0  # slots that each member on the roster holds, whatever happens
    over: float = 1_000.0  # ms in which a slot can be used once
    klass: str = ""  # of calls; empty: all
    engine: str = ""  # quote engine; empty: all

    def __post_init__(self) -> None:
        if self.what not in WHATS:
            raise BadPlan(f"{self.name}: `what` is one of {', '.join(WHATS)}")
        if self.whole < 1 or self.floor < 0 or not self.over > 0:
            raise BadPlan(
                f"{self.name}: a whole of {self.whole} slots and a floor of {self.floor} can't be "
                "kept; raise `whole` or `over_s`"
            )


@dataclass(frozen=True, slots=True)
class Plan:
    """All budgets, who has a floor, who votes, and the times.

    `drift`: no member's clock runs faster or slower than true time by more than this share. All safety rests
    on it, and on nothing else: no clock is compared with another one.
    """

    budgets: tuple[Budget, ...]
    members: tuple[str, ...]  # the roster: addresses that have a floor
    voters: tuple[str, ...]  # who choose the allocator, and of whom one is it
    lease: float = 4_000.0  # ms that a part is granted for, from when it was asked for
    promise: float = 3_000.0  # ms that a voter promises itself to one allocator
    drift: float = 0.01
    by_name: dict[str, Budget] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_name", {b.name: b for b in self.budgets})
        if len(self.by_name) != len(self.budgets):
            raise BadPlan("a budget's name is there twice")
        if not self.voters:
            raise BadPlan("`voters`: nobody chooses an allocator")
        if not 0 <= self.drift <= 0.1:
            raise BadPlan("`drift` is a share from 0 to 0.1")
        for b in self.budgets:
            floors = b.floor * len(set(self.members))
            if floors > b.whole:
                raise BadPlan(
                    f"{b.name}: the floors of {len(set(self.members))} members sum to {floors} "
                    f"slots, the whole is {b.whole}; lower `floor`"
                )

    def floor_of(self, name: str, member: str) -> int:
        found = self.by_name.get(name)
        return found.floor if found is not None and member in self.members else 0

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def office(self) -> float:
        """Ms of its own clock that an allocator may count on promises, from when it asked for them: in true
        time it is over before any voter's promise is.
        """
        return self.promise * (1 - self.drift) / (1 + self.drift)

    @property
    def owed(self) -> float:
        """Ms of its own clock after which an allocator may count on a lease being over that was asked for
        before: the holder's clock may be the slowest, its own the fastest.
        """
        return self.lease * (1 + self.drift) / (1 - self.drift)

    def rests(self, budget: Budget) -> float:
        """Ms of one's own clock that surely cover `over` ms of true time."""
        return budget.over * (1 + self.drift)

    @property
    def renew(self) -> float:
        """Ms between two wants of a holder."""
        return self.lease / 4


def lowest(plan: Plan, told: Iterable[dict[str, tuple[int, int]]]) -> dict[str, tuple[int, int]]:
    """Whole and floor of each budget of the plan that bind, where others run other files: the lowest whole
    and
    the highest floor of all.
    """
    found = {b.name: (b.whole, b.floor) for b in plan.budgets}
    for other in told:
        for name, (whole, floor) in other.items():
            if name in found:
                found[name] = (min(found[name][0], whole), max(found[name][1], floor))
    return found


def plan_of(budgets: Any, allocation: Any) -> Plan:
    """The plan that an operator file's two tables make; BadPlan names the budget that can't be kept."""
    made = tuple(
        Budget(b.name, b.what, b.slots(b.whole), b.slots(b.floor), b.over_s * 1000.0, b.klass, b.engine)
        for b in budgets
    )
    return Plan(
        made,
        allocation.members,
        allocation.voters,
        allocation.lease_s * 1000.0,
        allocation.promise_s * 1000.0,
        allocation.drift,
    )
