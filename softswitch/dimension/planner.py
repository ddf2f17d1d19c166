"""Finds the provably cheapest circuits for a network of trunk groups.

The groups form clusters that share no traffic: a final group and the groups that overflow to it. Each cluster
is solved separately. A 0/1 integer program (highspy) finds the cheapest choice, the number of modules of each
group. The loss formulas are not linear and enter as cuts (logic-based Benders decomposition, Hooker and
Ottosson 2003):

- A bound by the total allowed loss. The mean traffic that overflows to a final group of n circuits is at most
  the random traffic of which n circuits lose the allowed amount, since peakier traffic loses more.
- If a choice misses a target, the largest choice above it that also misses: at least one group must be larger
  than in that choice. This is exact if more circuits never lose more, which `monotone` checks on the choices
  that were evaluated.

If `MAX_PROGRAMS` integer programs do not solve a cluster, its choices are enumerated in the order of a lower
bound: the cost of the direct groups, and of the fewest circuits that the first type of cut allows for the
final group. The enumeration ends when the lower bound, or the bound of the last integer program, reaches the
cost of the best choice found.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from itertools import product
from math import inf, sqrt
from typing import Any

import highspy
import numpy as np
from scipy.optimize import brentq

from softswitch.dimension import loss, simulate
from softswitch.dimension.loss import OutOfRangeError
from softswitch.dimension.network import (
    Group,
    Parcel,
    Service,
    Stream,
    check,
    compute_service,
    final_losses,
    split_overflow,
)

MAX_PROGRAMS = 12  # integer programs solved for one cluster before its choices are enumerated
MAX_CHOICES = 4_000_000  # max combinations of modules of the direct groups to enumerate


class InfeasibleError(Exception):
    """No choice of modules meets the targets. The message names those that even the max choice misses."""


@dataclass(frozen=True, slots=True)
class Plan:
    """The modules to buy, and the service that they give."""

    modules: dict[str, int]  # by group
    circuits: dict[str, int]  # by group, with those that are installed already
    cost: float  # price of all modules
    service: Service
    programs_solved: int  # integer programs
    choices_evaluated: int  # choices whose loss was computed
    monotone: bool  # no evaluated choice loses more with more circuits; `trunks plan` shows it as `proved`


def clusters(groups: Sequence[Group], streams: Sequence[Stream]) -> list[tuple[list[Group], Group]]:
    """Returns (direct groups, final group) of each cluster.

    A group without an overflow that no other group overflows to is a cluster of its own.
    """
    return [
        ([g for g in groups if g.overflow == final.name], final) for final in groups if not final.overflow
    ]


class Cluster:
    """One final group, the groups that overflow to it, and the tables for the search.

    A choice is a tuple with the number of modules of each direct group, and of the final group as the last.
    """

    def __init__(self, direct: list[Group], final: Group, streams: Sequence[Stream], point: str) -> None:
        self.direct, self.final = direct, final
        names = {g.name for g in [*direct, final]}
        self.streams = [s for s in streams if s.group in names]
        self.offered = {s.name: s.erlangs_at(point) for s in self.streams}
        self.allowed = {s.name: s.target * self.offered[s.name] for s in self.streams}
        self.final_parcels = self._parcels(final.name)
        # The overflow of each direct group by its number of modules, up to the first number that leaves
        # practically no overflow.
        self.overflow_tables: list[list[list[Parcel]]] = []
        for g in direct:
            parcels = self._parcels(g.name)
            table: list[list[Parcel]] = []
            for k in range(g.max_modules + 1):
                table.append(split_overflow(g.circuits + k * g.module, parcels)[0] if parcels else [])
                if sum(m for _, m, _ in table[-1]) < 1e-9 * max(1.0, sum(m for _, m, _ in parcels)):
                    break
            self.overflow_tables.append(table)
        self.evaluated: dict[tuple[int, ...], bool] = {}  # choice -> whether it meets all targets

    def _parcels(self, group: str) -> list[Parcel]:
        return [
            (s.name, self.offered[s.name], self.offered[s.name] * s.peakedness)
            for s in self.streams
            if s.group == group
        ]

    def max_choice(self) -> tuple[int, ...]:
        """Returns the largest choice: all useful modules of the direct groups, and all of the final group."""
        return (*(len(table) - 1 for table in self.overflow_tables), self.final.max_modules)

    def cost(self, choice: tuple[int, ...]) -> float:
        """Returns the price of all modules of a choice."""
        return sum(k * g.price for k, g in zip(choice, [*self.direct, self.final], strict=True))

    def losses(self, choice: tuple[int, ...]) -> dict[str, float]:
        """Returns the erlangs lost by stream."""
        overflow = [
            p for table, k in zip(self.overflow_tables, choice, strict=False) for p in table[k] if p[1] > 0
        ]
        return final_losses(
            self.final.circuits + choice[-1] * self.final.module,
            self.final.reserve,
            self.final_parcels,
            overflow,
        )

    def is_feasible(self, choice: tuple[int, ...]) -> bool:
        """Tells whether a choice meets all targets, with a cache."""
        feasible = self.evaluated.get(choice)
        if feasible is None:
            lost = self.losses(choice)
            feasible = all(m <= self.allowed[name] * (1 + 1e-9) for name, m in lost.items())
            self.evaluated[choice] = feasible
        return feasible

    def missed_targets(self) -> list[str]:
        """Returns a message for each target that the max choice misses."""
        lost = self.losses(self.max_choice())
        return [
            f"{name} loses {m / self.offered[name]:.4g} and may lose "
            f"{self.allowed[name] / self.offered[name]:.4g}"
            for name, m in lost.items()
            if m > self.allowed[name] * (1 + 1e-9)
        ]

    def enlarge_infeasible(self, choice: tuple[int, ...]) -> tuple[int, ...]:
        """Enlarges an infeasible choice as far as it stays infeasible, by bisection.

        The final group is enlarged first, then each direct group in turn.
        """
        largest, limits = list(choice), self.max_choice()
        for index in [len(choice) - 1, *range(len(choice) - 1)]:
            low, high = largest[index], limits[index]
            while low < high:
                middle = (low + high + 1) // 2
                candidate = (*largest[:index], middle, *largest[index + 1 :])
                low, high = (middle, high) if not self.is_feasible(candidate) else (low, middle - 1)
            largest[index] = low
        return tuple(largest)

    def monotone(self) -> bool:
        """Tells whether no evaluated choice is infeasible while a smaller one is feasible.

        Compares up to 300 feasible with up to 300 infeasible choices.
        """
        feasible = np.array([c for c, ok in self.evaluated.items() if ok][:300])
        infeasible = np.array([c for c, ok in self.evaluated.items() if not ok][:300])
        return not (
            len(feasible)
            and len(infeasible)
            and np.any(np.all(infeasible[:, None] >= feasible[None], axis=2))
        )

    def max_offered(self, circuits: int) -> float:
        """Returns the max random traffic whose loss on these circuits is within the total allowed loss."""
        allowed = sum(self.allowed.values())
        if circuits <= 0:
            return allowed

        def excess(a: float) -> float:
            return a * loss.erlang_b(circuits, a) - allowed

        high = 2.0 * circuits + 2 * allowed + 1
        while excess(high) < 0:
            high *= 2
        return float(brentq(excess, 1e-12, high, rtol=1e-9)) * (1 + 1e-6)

    def solve(self) -> tuple[tuple[int, ...], int]:
        """Returns (cheapest feasible choice, integer programs solved). InfeasibleError if there is none."""
        if not self.is_feasible(self.max_choice()):
            raise InfeasibleError("; ".join(self.missed_targets()))
        if not self.direct:
            low, high = 0, self.final.max_modules
            while low < high:
                middle = (low + high) // 2
                low, high = (low, middle) if self.is_feasible((middle,)) else (middle + 1, high)
            return (low,), 0
        h = highspy.Highs()
        h.setOptionValue("log_to_console", False)  # set first, or its banner precedes our output
        h.setOptionValue("output_flag", False)
        h.setOptionValue("mip_rel_gap", 0.0)
        h.setOptionValue("mip_abs_gap", 1e-9)
        h.setOptionValue("threads", 1)
        x = [
            [h.addBinary(obj=k * g.price) for k in range(len(table))]
            for g, table in zip(self.direct, self.overflow_tables, strict=True)
        ]
        y = [h.addBinary(obj=k * self.final.price) for k in range(self.final.max_modules + 1)]
        for row in [*x, y]:
            h.addConstr(sum(row[1:], row[0]) == 1)
        overflow_means = [
            (var, sum(m for _, m, _ in parcels))
            for row, table in zip(x, self.overflow_tables, strict=True)
            for var, parcels in zip(row, table, strict=True)
        ]
        capacities = [self.max_offered(self.final.circuits + k * self.final.module) for k in range(len(y))]
        own = sum(m for _, m, _ in self.final_parcels)
        if own or overflow_means:
            terms = [var * m for var, m in overflow_means if m > 1e-6] + [
                var * -capacity for var, capacity in zip(y, capacities, strict=True)
            ]
            h.addConstr(sum(terms[1:], terms[0]) <= -own)
        for programs_solved in range(1, MAX_PROGRAMS + 1):
            h.run()
            if h.getModelStatus() != highspy.HighsModelStatus.kOptimal:
                raise InfeasibleError("; ".join(self.missed_targets()) or "no choice is left")
            values = h.getSolution().col_value
            choice = tuple(int(np.argmax([values[var.index] for var in row])) for row in [*x, y])
            if self.is_feasible(choice):
                return choice, programs_solved
            largest = self.enlarge_infeasible(choice)
            larger = [var for row, k in zip([*x, y], largest, strict=True) for var in row[k + 1 :]]
            h.addConstr(sum(larger[1:], larger[0]) >= 1)
        return self._enumerate(np.array(capacities), own, float(h.getObjectiveValue())), MAX_PROGRAMS

    def _enumerate(self, capacities: np.ndarray, own: float, min_cost: float) -> tuple[int, ...]:
        """Returns the cheapest feasible choice; the choices are enumerated in the order of a lower bound.

        `capacities` are the `max_offered` erlangs of the final group by its modules, `own` are the erlangs
        that are offered to it directly, and `min_cost` is a lower bound of the cost.
        """
        counts = [len(table) for table in self.overflow_tables]
        if np.prod([float(c) for c in counts]) > MAX_CHOICES:
            raise OutOfRangeError(
                f"group {self.final.name}: its {len(counts)} overflowing groups have over "
                f"{MAX_CHOICES} choices; offer fewer modules, or larger ones"
            )
        costs = mean = np.zeros(1)
        for g, table in zip(self.direct, self.overflow_tables, strict=True):
            costs = np.add.outer(costs, np.arange(len(table)) * g.price).ravel()
            mean = np.add.outer(mean, [sum(m for _, m, _ in parcels) for parcels in table]).ravel()
        min_modules = np.searchsorted(np.maximum.accumulate(capacities), own + mean)  # of the final group
        bounds = np.where(min_modules < len(capacities), costs + min_modules * self.final.price, np.inf)
        best, found = np.inf, self.max_choice()
        for index in np.argsort(bounds, kind="stable"):
            if bounds[index] >= best - 1e-9 or best <= min_cost + 1e-9:
                break
            direct = tuple(int(k) for k in np.unravel_index(index, counts))
            for n in range(int(min_modules[index]), self.final.max_modules + 1):
                cost = float(costs[index]) + n * self.final.price
                if cost >= best - 1e-9:
                    break
                if self.is_feasible((*direct, n)):
                    best, found = cost, (*direct, n)
                    break
        return found


def solve_cluster(cluster: Cluster) -> tuple[tuple[int, ...] | None, str, int, int, bool]:
    """Returns (choice, reason if it is None, programs solved, choices evaluated, monotone) of a cluster."""
    try:
        choice, programs_solved = cluster.solve()
    except InfeasibleError as e:
        return None, str(e), 0, len(cluster.evaluated), True
    return choice, "", programs_solved, len(cluster.evaluated), cluster.monotone()


def plan(
    groups: Sequence[Group],
    streams: Sequence[Stream],
    point: str = "middle",
    map_function: Callable[..., Iterable[Any]] = map,
) -> Plan:
    """Returns the cheapest modules that meet all targets with the traffic at one point of its estimate.

    map_function: `map`, or that of a process pool, since the clusters are independent. Raises OutOfRangeError
    for invalid networks, and InfeasibleError if no choice of modules meets the targets.
    """
    check(groups, streams)
    modules: dict[str, int] = {}
    programs_solved = choices_evaluated = 0
    monotone, missed = True, []
    all_clusters = [Cluster(direct, final, streams, point) for direct, final in clusters(groups, streams)]
    for cluster, (choice, reason, programs, choices, cluster_monotone) in zip(
        all_clusters, map_function(solve_cluster, all_clusters), strict=True
    ):
        if choice is None:
            missed.append(f"group {cluster.final.name}: {reason}")
            continue
        modules |= {g.name: k for g, k in zip([*cluster.direct, cluster.final], choice, strict=True)}
        programs_solved, choices_evaluated, monotone = (
            programs_solved + programs,
            choices_evaluated + choices,
            monotone and cluster_monotone,
        )
    if missed:
        raise InfeasibleError("with the max number of modules, " + "; ".join(missed))
    by_name = {g.name: g for g in groups}
    circuits = {name: by_name[name].circuits + k * by_name[name].module for name, k in modules.items()}
    return Plan(
        modules,
        circuits,
        sum(k * by_name[name].price for name, k in modules.items()),
        compute_service(groups, streams, circuits, point),
        programs_solved,
        choices_evaluated,
        monotone,
    )


def brute_force(
    groups: Sequence[Group], streams: Sequence[Stream], point: str = "middle"
) -> tuple[float, int]:
    """Returns (min cost, number of choices) by exhaustive search, the reference for `plan` on small networks.

    Raises InfeasibleError like `plan`.
    """
    total, count = 0.0, 0
    for direct, final in clusters(groups, streams):
        cluster = Cluster(direct, final, streams, point)
        best = float("inf")
        for choice in product(*(range(k + 1) for k in cluster.max_choice())):
            count += 1
            if cluster.cost(choice) < best and cluster.is_feasible(choice):
                best = cluster.cost(choice)
        if best == float("inf"):
            raise InfeasibleError(f"group {final.name}")
        total += best
    return total, count


def what_if(
    groups: Sequence[Group],
    streams: Sequence[Stream],
    circuits: dict[str, int],
    lost_group: str = "",
    factor: float = 1.0,
) -> dict[str, Service]:
    """Returns the service at the low, middle and high point of the estimates.

    One group may be out of service, and the traffic is multiplied by a factor. Raises OutOfRangeError.
    """
    if lost_group and lost_group not in {g.name for g in groups}:
        raise OutOfRangeError(f"group {lost_group!r} is not in the plan")
    remaining = {name: 0 if name == lost_group else n for name, n in circuits.items()}
    return {
        point: compute_service(groups, streams, remaining, point, factor)
        for point in ("low", "middle", "high")
    }


def simulated_loss(
    groups: Sequence[Group],
    streams: Sequence[Stream],
    circuits: dict[str, int],
    point: str,
    seed: int,
    runs: int = 8,
    length: float = 3_000.0,
) -> dict[str, tuple[float, float]]:
    """Returns (fraction lost, its standard error) of each stream by event simulation.

    Simulates `runs` runs of `length` holding times each. A peaky stream is an interrupted Poisson process
    whose on and off phases are equally long and give its peakedness (`peaked_traffic.interrupted_poisson`).
    """
    finals = {g.name: g.overflow for g in groups}
    demands = []
    for s in streams:
        erlangs, z = s.erlangs_at(point), s.peakedness
        # Equal phases of length x give Z = 1 + A x / (x + 2), which has a solution x for Z below 1 + A.
        excess = min(z - 1, 0.9 * erlangs)
        phase = 2 * excess / (erlangs - excess) if excess > 1e-9 else 0.0
        route = (s.group, finals[s.group]) if finals[s.group] else (s.group,)
        demands.append(simulate.Demand(s.name, erlangs, route, on=phase or inf, off=phase))
    lost: dict[str, list[float]] = {s.name: [] for s in streams}
    simulated = [simulate.Group(g.name, circuits.get(g.name, 0), g.reserve) for g in groups]
    for run in range(runs):
        for name, counts in simulate.run(
            simulated, demands, length, seed * 1009 + run, warm_up=20.0
        ).demands.items():
            lost[name].append(counts.lost / max(1, counts.calls))
    return {name: (float(np.mean(x)), float(np.std(x, ddof=1)) / sqrt(runs)) for name, x in lost.items()}


def verified_plan(
    groups: Sequence[Group],
    streams: Sequence[Stream],
    point: str = "middle",
    seed: int = 1,
    max_plans: int = 8,
) -> tuple[Plan, dict[str, tuple[float, float]]]:
    """Returns (plan, `simulated_loss` of its streams), with a plan that meets the targets in simulation.

    Each stream that misses its target in the simulation gets a stricter target, and a new plan is made, until
    all targets are met. Raises OutOfRangeError, or InfeasibleError if no choice of modules meets the targets
    or none of `max_plans` plans meets them in simulation.
    """
    tightened = list(streams)
    for n in range(max_plans):
        found = plan(groups, tightened, point)
        lost = simulated_loss(groups, streams, found.circuits, point, seed + n)
        excess = {s.name: lost[s.name][0] / s.target for s in streams if lost[s.name][0] > s.target}
        if not excess:
            return found, lost
        tightened = [
            replace(s, target=s.target / (1.05 * excess[s.name])) if s.name in excess else s
            for s in tightened
        ]
    raise InfeasibleError(
        f"{max_plans} plans were simulated, and each missed its targets; the last one for {', '.join(excess)}"
    )
