"""Checks budgets from outside: sums what real processes hold, use and send to the engines.

It compares three independent sources with the total of each budget: the slots that each process reports it
holds, the times at which each process reports it spent a slot (all run on one machine with one clock), and
the setups that the stand-in engines received.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

# Ms; older reports are left out of a sum. A freed slot cools down for longer, so none is counted twice.
MAX_REPORT_AGE = 800.0
# Ms that may pass from spending a slot until an engine receives the setup; windows at engines are shorter by
# this time.
MAX_TRANSIT_TIME = 100.0


@dataclass(slots=True)
class ObservedBudget:
    """The observed use of one budget."""

    total: int  # slots
    window: float  # ms in which a slot can be used once
    resource: str  # "set-ups" (first attempts), "repeats" (retries), or a shared resource
    call_class: str  # empty: all
    max_held: int = 0  # slots, by all processes together
    spent: dict[tuple[int, float], None] = field(default_factory=dict)  # set of (process, time in ms)
    arrivals: list[float] = field(default_factory=list)  # at the engines, ms

    def max_spent(self) -> int:
        """The maximum number of slots that were spent in any window."""
        return max_within([at for _, at in self.spent], self.window)

    def max_arrived(self) -> int:
        """The maximum number of setups that arrived at the engines in any window."""
        return max_within(self.arrivals, self.window - MAX_TRANSIT_TIME)


def max_within(times: list[float], window: float) -> int:
    """The maximum number of times in any half-open interval of `window` ms."""
    ordered, first, maximum = sorted(times), 0, 0
    for n, at in enumerate(ordered):
        while ordered[first] <= at - window:
            first += 1
        maximum = max(maximum, n - first + 1)
    return maximum


class Audit:
    """All observations of the budgets in one drill."""

    def __init__(self, budgets: list[dict[str, Any]]) -> None:
        self.observed: dict[str, ObservedBudget] = {}
        self.reports: dict[int, tuple[float, dict[str, int]]] = {}  # by process: time, slots held by budget
        self.attempts: dict[str, int] = {}  # by call: attempts that arrived at engines
        for b in budgets:
            window_s, shared = b.get("over_s", 1.0), b.get("what") in ("cold", "probes")
            # A shared resource has 1,000 slots per unit of `whole`; others have `whole` slots per second.
            total = int(b.get("whole", 1.0) * (1000 if shared else window_s) + 1e-9)
            self.observed[b["name"]] = ObservedBudget(
                total, window_s * 1000.0, b.get("what", "set-ups"), b.get("class", "")
            )

    def record_held(self, n: int, view: dict[str, Any]) -> None:
        """Records the slots that process `n` reports it holds, and sums all recent reports."""
        self.reports[n] = (view["at_ms"], {name: b["held"] for name, b in view["budgets"].items()})
        latest = view["at_ms"]
        for name, budget in self.observed.items():
            recent = [held.get(name, 0) for at, held in self.reports.values() if latest - at < MAX_REPORT_AGE]
            budget.max_held = max(budget.max_held, sum(recent))

    def remove_process(self, n: int) -> None:
        """Discards the report of a process that ended."""
        self.reports.pop(n, None)

    def record_spent(self, n: int, name: str, times: list[float]) -> None:
        """Records the times at which process `n` reports it spent a slot; repeated times count once."""
        self.observed[name].spent.update(((n, at), None) for at in times)

    def record_arrival(self, now: float, call: str, call_class: str) -> None:
        """Records a setup that arrived at an engine: a first attempt or a retry."""
        earlier = self.attempts.get(call, 0)
        self.attempts[call] = earlier + 1
        for budget in self.observed.values():
            if budget.resource == ("repeats" if earlier else "set-ups") and budget.call_class in (
                "",
                call_class,
            ):
                budget.arrivals.append(now)

    def to_dict(self) -> dict[str, Any]:
        """The observations by budget, for a JSON object."""
        return {
            name: {
                "whole": b.total,
                "over_s": b.window / 1000,
                "most_held": b.max_held,
                "most_spent": b.max_spent(),
                "most_at_engines": b.max_arrived(),
                "spent": len(b.spent),
                "at_engines": len(b.arrivals),
            }
            for name, b in self.observed.items()
        }

    def exceeded(self) -> list[str]:
        """The budgets whose total was exceeded by any of the three observed maximums."""
        return [
            name
            for name, t in self.to_dict().items()
            if max(t["most_held"], t["most_spent"], t["most_at_engines"]) > t["whole"]
        ]
