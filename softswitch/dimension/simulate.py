"""An event simulation of trunk groups on virtual time, to hold formulas, estimates and plans against.

Calls come to the first group of their route, overflow along it, and are lost behind the last. Seeded; each
demand has random streams of its own, so that two networks meet the same calls. Times are in mean holding
times of the network unless a demand says otherwise.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

import numpy as np

from softswitch.dimension.loss import OutOfRangeError, check_range
import itertools


@dataclass(frozen=True, slots=True)
class Group:
    """A trunk group. `reserve` circuits are kept for calls whose route begins here."""

    name: str
    circuits: int
    reserve: int = 0


@dataclass(frozen=True, slots=True)
class Demand:
    """Calls of one kind. Random while `on` is inf; else they come in phases (Kuczura's switch)."""

    name: str
    erlangs: float
    route: tuple[str, ...]
    width: int = 1
    hold: float = 1.0
    on: float = inf  # mean lengths of the phases, in the unit of time
    off: float = 0.0
    profile: tuple[tuple[float, float], ...] = ()  # (since, times the rate)
    again: float = 0.0  # chance that a lost try is followed by another
    pause: float = 1.0  # mean time to that, exponential
    tries: int = 1


@dataclass(slots=True)
class CallCounts:
    """What became of one demand's calls in the counted time."""

    calls: int = 0
    tries: int = 0
    blocked_tries: int = 0
    lost: int = 0  # calls that never got through
    overflowed: int = 0  # tries that found their first group full


@dataclass(slots=True)
class Record:
    """What a traffic record would hold of one demand: shapes (slots,)."""

    slot: float
    first_attempts: np.ndarray
    redials: np.ndarray
    erlang_time: float = 0.0  # integral of calls up
    ended: int = 0
    sum_squared_hold: float = 0.0  # sum of squares of the times that ended calls stood


@dataclass(slots=True)
class Outcome:
    demands: dict[str, CallCounts] = field(default_factory=dict)
    carried: dict[str, float] = field(default_factory=dict)  # mean circuits in use, by group
    records: dict[str, Record] = field(default_factory=dict)


def arrivals(random: np.random.Generator, demand: Demand, until: float) -> np.ndarray:
    """Sorted times of the demand's first tries in [0, until), shape (calls,)."""
    check_range("erlangs", demand.erlangs, 0, 1e7)
    rate = demand.erlangs / demand.hold
    phases = [(0.0, until)]
    if demand.on != inf:
        rate *= (demand.on + demand.off) / demand.on
        count = int(until / (demand.on + demand.off) * 2 + 100)
        begins = (
            0.0 if random.random() < demand.on / (demand.on + demand.off) else random.exponential(demand.off)
        )
        phases = []
        while begins < until:
            for on, off in zip(
                random.exponential(demand.on, count), random.exponential(demand.off, count), strict=True
            ):
                phases.append((begins, min(until, begins + on)))
                begins += on + off
                if begins >= until:
                    break
    steps = [(0.0, 1.0), *demand.profile, (inf, 0.0)]
    found = []
    for since, to in phases:
        for (at, factor), (end, _) in itertools.pairwise(steps):
            low, high = max(since, at), min(to, end)
            if high > low:
                n = random.poisson(rate * factor * (high - low))
                found.append(random.uniform(low, high, n))
    times: np.ndarray = np.sort(np.concatenate(found)) if found else np.empty(0)
    return times


def run(
    groups: Sequence[Group],
    demands: Sequence[Demand],
    seconds: float,
    seed: int,
    warm: float = 0.0,
    slot: float = 0.0,
) -> Outcome:
    """Plays `warm` and then `seconds` of traffic, counting in the second part; `slot` over 0 keeps records.

    Holding times are exponential. The same seed and demands give the same calls, whatever the groups.
    """
    by_name = {g.name: n for n, g in enumerate(groups)}
    routes = []
    for d in demands:
        unknown = [name for name in d.route if name not in by_name]
        if unknown or not d.route:
            raise OutOfRangeError(f"demand {d.name}: its route names {', '.join(unknown) or 'no group'}")
        routes.append([by_name[name] for name in d.route])
    check_range("seconds", seconds, 0, 1e12, exclude_low=True)
    until = warm + seconds
    seeds = np.random.SeedSequence(seed).spawn(2 * len(demands))
    events: list[tuple[float, int, int, int, float]] = []  # time, kind, demand, group or try, began
    randoms, holds = [], []
    merged = []
    for n, d in enumerate(demands):
        random = np.random.default_rng(seeds[2 * n])
        times = arrivals(random, d, until)
        merged.append(np.stack([times, np.full(len(times), float(n))], axis=1))
        randoms.append(np.random.default_rng(seeds[2 * n + 1]))
        holds.append(iter(randoms[n].exponential(d.hold, max(16, len(times) + len(times) // 4))))
    order = np.concatenate(merged) if merged else np.empty((0, 2))
    order = order[np.argsort(order[:, 0], kind="stable")]
    free = [g.circuits for g in groups]
    caps = [g.circuits for g in groups]
    area, last = [0.0] * len(groups), [warm] * len(groups)
    out = Outcome({d.name: CallCounts() for d in demands}, {}, {})
    seen = [out.demands[d.name] for d in demands]
    slots = int(np.ceil(seconds / slot)) if slot else 0
    if slots:
        out.records = {d.name: Record(slot, np.zeros(slots), np.zeros(slots)) for d in demands}
    records = [out.records.get(d.name) for d in demands]

    def use(g: int, width: int, now: float) -> None:
        if now > warm:
            area[g] += (caps[g] - free[g]) * (now - last[g])
            last[g] = now
        free[g] -= width

    def attempt(now: float, n: int, nth: int) -> None:
        d, s, counted = demands[n], seen[n], now >= warm
        record = records[n]
        if counted:
            s.calls += nth == 0
            s.tries += 1
            if record is not None:
                (record.redials if nth else record.first_attempts)[
                    min(slots - 1, int((now - warm) / slot))
                ] += 1
        for k, g in enumerate(routes[n]):
            kept = groups[g].reserve if k else 0
            if free[g] >= d.width + kept:
                use(g, d.width, now)
                held = next(holds[n], None)
                if held is None:
                    held = randoms[n].exponential(d.hold)
                heappush(events, (now + held, 0, n, g, now))
                return
            if k == 0 and counted:
                s.overflowed += 1
        if counted:
            s.blocked_tries += 1
        if nth + 1 < d.tries and randoms[n].random() < d.again:
            heappush(events, (now + randoms[n].exponential(d.pause), 1, n, nth + 1, now))
        elif counted:
            s.lost += 1

    def due(limit: float) -> None:
        while events and events[0][0] <= limit:
            now, kind, n, what, began = heappop(events)
            if kind:
                attempt(now, n, what)
                continue
            use(what, -demands[n].width, now)
            record = records[n]
            if record is not None and now > warm:
                record.erlang_time += now - max(began, warm)
                record.ended += 1
                record.sum_squared_hold += (now - began) ** 2

    for at, kind in order:
        now = float(at)
        due(now)
        attempt(now, int(kind), 0)
    due(until)
    for _, kind, n, _, began in events:
        if kind == 0:
            record = records[n]
            if record is not None:
                record.erlang_time += until - max(began, warm)
    for n, g in enumerate(groups):
        use(n, 0, until)
        out.carried[g.name] = area[n] / seconds
    return out
