"""Event simulation of trunk groups in virtual time, to verify formulas, estimates and plans.

A call is offered to the first group of its route, overflows along the route, and is lost after the last
group. The simulation is seeded. Each demand has its own random streams, so that different networks are
offered the same calls. The unit of time is the mean holding time of a demand whose `hold` is 1.
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
    """A trunk group. `reserve` circuits are reserved for calls whose route begins with this group."""

    name: str
    circuits: int
    reserve: int = 0


@dataclass(frozen=True, slots=True)
class Demand:
    """Offered calls of one type: Poisson if `on` is inf, else an interrupted Poisson process (Kuczura)."""

    name: str
    erlangs: float  # mean number of calls that would be established without blocking and redials
    route: tuple[str, ...]  # names of groups, in the order in which they are tried
    width: int = 1  # circuits of one call
    hold: float = 1.0  # mean holding time
    on: float = inf  # mean lengths of the on and off phases
    off: float = 0.0
    profile: tuple[tuple[float, float], ...] = ()  # (start, factor of the call rate from then on)
    again: float = 0.0  # probability that a blocked attempt is followed by a redial
    pause: float = 1.0  # mean time to the redial, exponentially distributed
    tries: int = 1  # max attempts of a call


@dataclass(slots=True)
class CallCounts:
    """Outcomes of the calls of one demand after the warm-up."""

    calls: int = 0
    attempts: int = 0
    blocked_attempts: int = 0
    lost: int = 0  # calls whose last attempt was blocked
    overflowed: int = 0  # attempts that found their first group full


@dataclass(slots=True)
class Record:
    """The measurements that a traffic record would have of one demand; the arrays have shape (slots,)."""

    slot: float
    first_attempts: np.ndarray
    redials: np.ndarray
    erlang_time: float = 0.0  # time integral of the number of established calls
    ended: int = 0
    sum_squared_hold: float = 0.0  # sum of the squared durations of the ended calls


@dataclass(slots=True)
class Outcome:
    """Result of a simulation run."""

    demands: dict[str, CallCounts] = field(default_factory=dict)
    carried: dict[str, float] = field(default_factory=dict)  # mean circuits in use, by group
    records: dict[str, Record] = field(default_factory=dict)


def arrivals(random: np.random.Generator, demand: Demand, until: float) -> np.ndarray:
    """Returns the sorted times of the first attempts of a demand in [0, until), shape (calls,)."""
    check_range("erlangs", demand.erlangs, 0, 1e7)
    rate = demand.erlangs / demand.hold
    phases = [(0.0, until)]
    if demand.on != inf:
        rate *= (demand.on + demand.off) / demand.on
        count = int(until / (demand.on + demand.off) * 2 + 100)
        start = (
            0.0 if random.random() < demand.on / (demand.on + demand.off) else random.exponential(demand.off)
        )
        phases = []
        while start < until:
            for on, off in zip(
                random.exponential(demand.on, count), random.exponential(demand.off, count), strict=True
            ):
                phases.append((start, min(until, start + on)))
                start += on + off
                if start >= until:
                    break
    steps = [(0.0, 1.0), *demand.profile, (inf, 0.0)]
    samples = []
    for phase_start, phase_end in phases:
        for (step_start, factor), (step_end, _) in itertools.pairwise(steps):
            low, high = max(phase_start, step_start), min(phase_end, step_end)
            if high > low:
                n = random.poisson(rate * factor * (high - low))
                samples.append(random.uniform(low, high, n))
    times: np.ndarray = np.sort(np.concatenate(samples)) if samples else np.empty(0)
    return times


def run(
    groups: Sequence[Group],
    demands: Sequence[Demand],
    seconds: float,
    seed: int,
    warm_up: float = 0.0,
    slot: float = 0.0,
) -> Outcome:
    """Simulates a warm-up of `warm_up` and then `seconds` of traffic, which alone is counted.

    A `slot` over 0 makes records. Holding times are exponential. The same seed and demands give the same
    calls for any groups.
    """
    by_name = {g.name: n for n, g in enumerate(groups)}
    routes = []
    for d in demands:
        unknown = [name for name in d.route if name not in by_name]
        if unknown or not d.route:
            raise OutOfRangeError(f"demand {d.name}: its route names {', '.join(unknown) or 'no group'}")
        routes.append([by_name[name] for name in d.route])
    check_range("seconds", seconds, 0, 1e12, exclude_low=True)
    until = warm_up + seconds
    seeds = np.random.SeedSequence(seed).spawn(2 * len(demands))
    # (time, 0 for the end of a call or 1 for a redial, demand, group or number of the attempt, start)
    events: list[tuple[float, int, int, int, float]] = []
    randoms, holding_times = [], []
    first_attempts = []
    for n, d in enumerate(demands):
        random = np.random.default_rng(seeds[2 * n])
        times = arrivals(random, d, until)
        first_attempts.append(np.stack([times, np.full(len(times), float(n))], axis=1))
        randoms.append(np.random.default_rng(seeds[2 * n + 1]))
        holding_times.append(iter(randoms[n].exponential(d.hold, max(16, len(times) + len(times) // 4))))
    order = np.concatenate(first_attempts) if first_attempts else np.empty((0, 2))
    order = order[np.argsort(order[:, 0], kind="stable")]
    free = [g.circuits for g in groups]
    capacities = [g.circuits for g in groups]
    # Time integral of the busy circuits of each group after the warm-up, and the time of its last update.
    carried, updated_at = [0.0] * len(groups), [warm_up] * len(groups)
    outcome = Outcome({d.name: CallCounts() for d in demands}, {}, {})
    counts = [outcome.demands[d.name] for d in demands]
    slots = int(np.ceil(seconds / slot)) if slot else 0
    if slots:
        outcome.records = {d.name: Record(slot, np.zeros(slots), np.zeros(slots)) for d in demands}
    records = [outcome.records.get(d.name) for d in demands]

    def seize(g: int, width: int, now: float) -> None:
        """Seizes circuits of a group; a negative width releases them."""
        if now > warm_up:
            carried[g] += (capacities[g] - free[g]) * (now - updated_at[g])
            updated_at[g] = now
        free[g] -= width

    def attempt(now: float, n: int, nth: int) -> None:
        d, s, counted = demands[n], counts[n], now >= warm_up
        record = records[n]
        if counted:
            s.calls += nth == 0
            s.attempts += 1
            if record is not None:
                (record.redials if nth else record.first_attempts)[
                    min(slots - 1, int((now - warm_up) / slot))
                ] += 1
        for k, g in enumerate(routes[n]):
            reserved = groups[g].reserve if k else 0
            if free[g] >= d.width + reserved:
                seize(g, d.width, now)
                hold = next(holding_times[n], None)
                if hold is None:
                    hold = randoms[n].exponential(d.hold)
                heappush(events, (now + hold, 0, n, g, now))
                return
            if k == 0 and counted:
                s.overflowed += 1
        if counted:
            s.blocked_attempts += 1
        if nth + 1 < d.tries and randoms[n].random() < d.again:
            heappush(events, (now + randoms[n].exponential(d.pause), 1, n, nth + 1, now))
        elif counted:
            s.lost += 1

    def run_events(limit: float) -> None:
        while events and events[0][0] <= limit:
            now, event_type, n, detail, start = heappop(events)
            if event_type:  # a redial
                attempt(now, n, detail)
                continue
            seize(detail, -demands[n].width, now)
            record = records[n]
            if record is not None and now > warm_up:
                record.erlang_time += now - max(start, warm_up)
                record.ended += 1
                record.sum_squared_hold += (now - start) ** 2

    for time, demand in order:
        now = float(time)
        run_events(now)
        attempt(now, int(demand), 0)
    run_events(until)
    for _, event_type, n, _, start in events:
        if event_type == 0:  # the end of a call
            record = records[n]
            if record is not None:
                record.erlang_time += until - max(start, warm_up)
    for n, g in enumerate(groups):
        seize(n, 0, until)
        outcome.carried[g.name] = carried[n] / seconds
    return outcome
