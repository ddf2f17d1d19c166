"""Least-cost circuits for a network of trunk groups, with the optimum proved.

Groups fall into clusters that share no traffic: a final group and those that overflow to it. Each is solved
for itself: a 0/1 programme chooses modules (highspy), and the loss formulas, which are not linear, come in as
cuts (logic-based Benders decomposition, Hooker and Ottosson 2003):

- a bound by the total loss allowed: what overflows to a final of n circuits can't be more than random traffic
  of which n circuits lose so much, as peakier traffic loses more;
- where a choice misses a target, the largest choice above it that still misses: one group at least must be
  larger than that. This is exact as long as more circuits never lose more, which `monotone` checks on the
  way.

A cluster that `MAX_PROGRAMS` programmes do not settle is finished by enumeration in order of a lower bound:
the cost of its direct groups and of the fewest circuits that the first kind of cut leaves its final group. It
ends where the bound reaches the best choice found, or the programme's own bound does.
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
    final_losses,
    overflowing,
    service,
)

MAX_PROGRAMS = 12  # programmes solved for one cluster before it is enumerated
MOST_CHOICES = 4_000_000  # of direct groups' modules that are enumerated at most


class InfeasibleError(Exception):
    """No purchase meets the targets; the text names those that are missed with all that can be bought."""


@dataclass(frozen=True, slots=True)
class Plan:
    """What to buy."""

    modules: dict[str, int]
    circuits: dict[str, int]
    cost: float
    service: Service
    programs_solved: int  # programmes solved
    choices_evaluated: int  # choices whose loss was worked out
    monotone: bool  # no choice was seen that lost more with more circuits


def clusters(groups: Sequence[Group], streams: Sequence[Stream]) -> list[tuple[list[Group], Group]]:
    """(groups that overflow, their final group) of each part of the network; a group by itself is a final."""
    return [
        ([g for g in groups if g.overflow == final.name], final) for final in groups if not final.overflow
    ]


class Cluster:
    """One final group and those that overflow to it, with the tables that the search needs."""

    def __init__(self, direct: list[Group], final: Group, streams: Sequence[Stream], where: str) -> None:
        self.direct, self.final = direct, final
        names = {g.name for g in [*direct, final]}
        self.streams = [s for s in streams if s.group in names]
        self.offered = {s.name: s.at(where) for s in self.streams}
        self.allowed = {s.name: s.target * self.offered[s.name] for s in self.streams}
        self.first = self._parcels(final.name)
        # What each direct group lets over, by modules bought; beyond a point more circuits change nothing.
        self.over: list[list[list[Parcel]]] = []
        for g in direct:
            mine = self._parcels(g.name)
            table: list[list[Parcel]] = []
            for k in range(g.most + 1):
                table.append(overflowing(g.circuits + k * g.module, mine)[0] if mine else [])
                if sum(m for _, m, _ in table[-1]) < 1e-9 * max(1.0, sum(m for _, m, _ in mine)):
                    break
            self.over.append(table)
        self.known: dict[tuple[int, ...], bool] = {}

    def _parcels(self, group: str) -> list[Parcel]:
        return [
            (s.name, self.offered[s.name], self.offered[s.name] * s.peakedness)
            for s in self.streams
            if s.group == group
        ]

    def top(self) -> tuple[int, ...]:
        return (*(len(table) - 1 for table in self.over), self.final.most)

    def cost(self, choice: tuple[int, ...]) -> float:
        return sum(k * g.price for k, g in zip(choice, [*self.direct, self.final], strict=True))

    def losses(self, choice: tuple[int, ...]) -> dict[str, float]:
        """Erlangs lost by stream."""
        rest = [p for table, k in zip(self.over, choice, strict=False) for p in table[k] if p[1] > 0]
        return final_losses(
            self.final.circuits + choice[-1] * self.final.module, self.final.reserve, self.first, rest
        )

    def good(self, choice: tuple[int, ...]) -> bool:
        known = self.known.get(choice)
        if known is None:
            gone = self.losses(choice)
            known = all(m <= self.allowed[name] * (1 + 1e-9) for name, m in gone.items())
            self.known[choice] = known
        return known

    def missed(self) -> list[str]:
        gone = self.losses(self.top())
        return [
            f"{name} loses {m / self.offered[name]:.4g} and may lose "
            f"{self.allowed[name] / self.offered[name]:.4g}"
            for name, m in gone.items()
            if m > self.allowed[name] * (1 + 1e-9)
        ]

    def raised(self, choice: tuple[int, ...]) -> tuple[int, ...]:
        """The largest choice found above one that misses which misses too: first the final group, by halving,
        then each direct group in turn.
        """
        found, top = list(choice), self.top()
        for place in [len(choice) - 1, *range(len(choice) - 1)]:
            low, high = found[place], top[place]
            while low < high:
                middle = (low + high + 1) // 2
                tried = (*found[:place], middle, *found[place + 1 :])
                low, high = (middle, high) if not self.good(tried) else (low, middle - 1)
            found[place] = low
        return tuple(found)

    def monotone(self) -> bool:
        """Whether no choice looked at misses while a smaller one meets its targets (of 300 of each kind)."""
        good = np.array([c for c, ok in self.known.items() if ok][:300])
        bad = np.array([c for c, ok in self.known.items() if not ok][:300])
        return not (len(good) and len(bad) and np.any(np.all(bad[:, None] >= good[None], axis=2)))

    def most_mean(self, circuits: int) -> float:
        """Most random traffic of which so many circuits lose no more than all streams together may."""
        may = sum(self.allowed.values())
        if circuits <= 0:
            return may

        def over(a: float) -> float:
            return a * loss.erlang_b(circuits, a) - may

        high = 2.0 * circuits + 2 * may + 1
        while over(high) < 0:
            high *= 2
        return float(brentq(over, 1e-12, high, rtol=1e-9)) * (1 + 1e-6)

    def solve(self) -> tuple[tuple[int, ...], int]:
        """(cheapest choice that meets all targets, programmes solved). InfeasibleError if there is none."""
        if not self.good(self.top()):
            raise InfeasibleError("; ".join(self.missed()))
        if not self.direct:
            low, high = 0, self.final.most
            while low < high:
                middle = (low + high) // 2
                low, high = (low, middle) if self.good((middle,)) else (middle + 1, high)
            return (low,), 0
        h = highspy.Highs()
        h.setOptionValue("log_to_console", False)  # first: its banner would stand before our own output
        h.setOptionValue("output_flag", False)
        h.setOptionValue("mip_rel_gap", 0.0)
        h.setOptionValue("mip_abs_gap", 1e-9)
        h.setOptionValue("threads", 1)
        x = [
            [h.addBinary(obj=k * g.price) for k in range(len(table))]
            for g, table in zip(self.direct, self.over, strict=True)
        ]
        y = [h.addBinary(obj=k * self.final.price) for k in range(self.final.most + 1)]
        for row in [*x, y]:
            h.addConstr(sum(row[1:], row[0]) == 1)
        spill = [
            (var, sum(m for _, m, _ in parcels))
            for row, table in zip(x, self.over, strict=True)
            for var, parcels in zip(row, table, strict=True)
        ]
        rooms = [self.most_mean(self.final.circuits + k * self.final.module) for k in range(len(y))]
        own = sum(m for _, m, _ in self.first)
        if own or spill:
            terms = [var * m for var, m in spill if m > 1e-6] + [
                var * -room for var, room in zip(y, rooms, strict=True)
            ]
            h.addConstr(sum(terms[1:], terms[0]) <= -own)
        for rounds in range(1, MAX_PROGRAMS + 1):
            h.run()
            if h.getModelStatus() != highspy.HighsModelStatus.kOptimal:
                raise InfeasibleError("; ".join(self.missed()) or "no choice is left")
            values = h.getSolution().col_value
            choice = tuple(int(np.argmax([values[var.index] for var in row])) for row in [*x, y])
            if self.good(choice):
                return choice, rounds
            above = self.raised(choice)
            larger = [var for row, k in zip([*x, y], above, strict=True) for var in row[k + 1 :]]
            h.addConstr(sum(larger[1:], larger[0]) >= 1)
        return self._enumerated(np.array(rooms), own, float(h.getObjectiveValue())), MAX_PROGRAMS

    def _enumerated(self, rooms: np.ndarray, own: float, floor: float) -> tuple[int, ...]:
        """The cheapest choice, by the lower bound's order; `floor` bounds the cost from below."""
        counts = [len(table) for table in self.over]
        if np.prod([float(c) for c in counts]) > MOST_CHOICES:
            raise OutOfRangeError(
                f"group {self.final.name}: its {len(counts)} overflowing groups have over "
                f"{MOST_CHOICES} choices; offer fewer modules, or larger ones"
            )
        costs = mean = np.zeros(1)
        for g, table in zip(self.direct, self.over, strict=True):
            costs = np.add.outer(costs, np.arange(len(table)) * g.price).ravel()
            mean = np.add.outer(mean, [sum(m for _, m, _ in parcels) for parcels in table]).ravel()
        least = np.searchsorted(np.maximum.accumulate(rooms), own + mean)  # fewest modules of the final group
        bounds = np.where(least < len(rooms), costs + least * self.final.price, np.inf)
        best, found = np.inf, self.top()
        for place in np.argsort(bounds, kind="stable"):
            if bounds[place] >= best - 1e-9 or best <= floor + 1e-9:
                break
            direct = tuple(int(k) for k in np.unravel_index(place, counts))
            for n in range(int(least[place]), self.final.most + 1):
                cost = float(costs[place]) + n * self.final.price
                if cost >= best - 1e-9:
                    break
                if self.good((*direct, n)):
                    best, found = cost, (*direct, n)
                    break
        return found


def settle(part: Cluster) -> tuple[tuple[int, ...] | None, str, int, int, bool]:
    """(choice, why there is none, programmes, choices looked at, monotone) of one cluster."""
    try:
        choice, rounds = part.solve()
    except InfeasibleError as e:
        return None, str(e), 0, len(part.known), True
    return choice, "", rounds, len(part.known), part.monotone()


def plan(
    groups: Sequence[Group],
    streams: Sequence[Stream],
    where: str = "middle",
    map_function: Callable[..., Iterable[Any]] = map,
) -> Plan:
    """The cheapest modules that meet every stream's target with its traffic at this end of its estimate.

    map_function: `map`, or that of a pool of processes, as clusters don't touch one another. Raises
    OutOfRangeError for what cannot be, InfeasibleError where no purchase is enough.
    """
    check(groups, streams)
    modules: dict[str, int] = {}
    rounds = evaluated = 0
    monotone, missed = True, []
    parts = [Cluster(direct, final, streams, where) for direct, final in clusters(groups, streams)]
    for part, (choice, why, took, looked, rises) in zip(parts, map_function(settle, parts), strict=True):
        if choice is None:
            missed.append(f"group {part.final.name}: {why}")
            continue
        modules |= {g.name: k for g, k in zip([*part.direct, part.final], choice, strict=True)}
        rounds, evaluated, monotone = rounds + took, evaluated + looked, monotone and rises
    if missed:
        raise InfeasibleError("with all that can be bought, " + "; ".join(missed))
    by_name = {g.name: g for g in groups}
    circuits = {name: by_name[name].circuits + k * by_name[name].module for name, k in modules.items()}
    return Plan(
        modules,
        circuits,
        sum(k * by_name[name].price for name, k in modules.items()),
        service(groups, streams, circuits, where),
        rounds,
        evaluated,
        monotone,
    )


def brute_force(
    groups: Sequence[Group], streams: Sequence[Stream], where: str = "middle"
) -> tuple[float, int]:
    """(least cost, choices tried) by trying everything: what `plan` is held against on small networks.
    Raises InfeasibleError like `plan`.
    """
    total, tried = 0.0, 0
    for direct, final in clusters(groups, streams):
        part = Cluster(direct, final, streams, where)
        best = float("inf")
        for choice in product(*(range(k + 1) for k in part.top())):
            tried += 1
            if part.cost(choice) < best and part.good(choice):
                best = part.cost(choice)
        if best == float("inf"):
            raise InfeasibleError(f"group {final.name}")
        total += best
    return total, tried


def what_if(
    groups: Sequence[Group],
    streams: Sequence[Stream],
    circuits: dict[str, int],
    lost_group: str = "",
    factor: float = 1.0,
) -> dict[str, Service]:
    """Service at both ends and the middle of the estimates, with one group out of use and traffic times a
    factor. Raises OutOfRangeError.
    """
    if lost_group and lost_group not in {g.name for g in groups}:
        raise OutOfRangeError(f"group {lost_group!r} is not in the plan")
    left = {name: 0 if name == lost_group else n for name, n in circuits.items()}
    return {where: service(groups, streams, left, where, factor) for where in ("low", "middle", "high")}


def simulated_loss(
    groups: Sequence[Group],
    streams: Sequence[Stream],
    circuits: dict[str, int],
    where: str,
    seed: int,
    runs: int = 8,
    length: float = 3_000.0,
) -> dict[str, tuple[float, float]]:
    """(share lost, its standard error) of each stream by the event simulation, `runs` runs of so many holding
    times. A peaky stream comes in equal phases on and off that give its peakedness
    (`peaked_traffic.interrupted_poisson`).
    """
    finals = {g.name: g.overflow for g in groups}
    demands = []
    for s in streams:
        erlangs, z = s.at(where), s.peakedness
        # equal phases of length x: Z = 1 + A x / (x + 2), so that x follows from Z below 1 + A
        gap = min(z - 1, 0.9 * erlangs)
        phase = 2 * gap / (erlangs - gap) if gap > 1e-9 else 0.0
        route = (s.group, finals[s.group]) if finals[s.group] else (s.group,)
        demands.append(simulate.Demand(s.name, erlangs, route, on=phase or inf, off=phase))
    shares: dict[str, list[float]] = {s.name: [] for s in streams}
    built = [simulate.Group(g.name, circuits.get(g.name, 0), g.reserve) for g in groups]
    for run in range(runs):
        for name, seen in simulate.run(built, demands, length, seed * 1009 + run, warm=20.0).demands.items():
            shares[name].append(seen.lost / max(1, seen.calls))
    return {name: (float(np.mean(x)), float(np.std(x, ddof=1)) / sqrt(runs)) for name, x in shares.items()}


def verified_plan(
    groups: Sequence[Group], streams: Sequence[Stream], where: str = "middle", seed: int = 1, tries: int = 8
) -> tuple[Plan, dict[str, tuple[float, float]]]:
    """(plan, what its streams lost in simulation): plans, plays the plan, and plans again with a stricter
    target for each stream that lost more than its own, until none does.

    Raises OutOfRangeError, or InfeasibleError where no purchase is enough or `tries` plans did not settle it.
    """
    asked = list(streams)
    for n in range(tries):
        found = plan(groups, asked, where)
        seen = simulated_loss(groups, streams, found.circuits, where, seed + n)
        over = {s.name: seen[s.name][0] / s.target for s in streams if seen[s.name][0] > s.target}
        if not over:
            return found, seen
        asked = [replace(s, target=s.target / (1.05 * over[s.name])) if s.name in over else s for s in asked]
    raise InfeasibleError(f"{tries} plans were played and each lost more than it may: {', '.join(over)}")
