"""The planner against brute force on drawn small networks, 100 groups against the clock, and plans fed back
through the event simulation. `python benchmarks/planning.py [NETWORKS]` (default 200).
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from random import Random

import numpy as np

from softswitch.dimension import planner, simulate
from softswitch.dimension.network import Group, Stream


def drawn(seed, finals=1, direct=2, most=6, reserve=0):
    """A network of so many final groups, each with so many groups that overflow to it."""
    random, groups, streams = Random(seed), [], []
    for f in range(finals):
        groups.append(
            Group(f"f{f}", random.choice((1, 2, 3, 6)), random.uniform(1, 4), 2 * most, reserve=reserve)
        )
        for k in range(direct):
            name = f"d{f}.{k}"
            groups.append(Group(name, random.choice((1, 2, 4)), random.uniform(0.5, 4), most, f"f{f}"))
            streams.append(
                Stream(
                    f"s{name}",
                    name,
                    random.uniform(1, 10),
                    random.choice((0.01, 0.02, 0.05)),
                    random.choice((1, 1, 1.5)),
                )
            )
        streams.append(Stream(f"sf{f}", f"f{f}", random.uniform(1, 6), random.choice((0.01, 0.03))))
    return groups, streams


def against_brute(seed):
    random = Random(seed)
    groups, streams = drawn(seed, 1, random.choice((1, 2, 3)), random.choice((4, 6)))
    try:
        cost = planner.plan(groups, streams).cost
    except planner.InfeasibleError:
        cost = None
    try:
        best = planner.brute_force(groups, streams)[0]
    except planner.InfeasibleError:
        best = None
    return cost, best


def fed_back(seed):
    """(stream, target, lost in the simulation, its standard error over ten runs) of a plan with random
    streams.
    """
    groups, streams = drawn(seed, 1, 3, 14)
    streams = [Stream(s.name, s.group, s.erlangs, s.target) for s in streams]
    try:
        found = planner.plan(groups, streams)
    except planner.InfeasibleError:
        return []
    demands = [
        simulate.Demand(s.name, s.erlangs, (s.group, "f0") if s.group != "f0" else ("f0",)) for s in streams
    ]
    shares = {s.name: [] for s in streams}
    for run in range(10):
        out = simulate.run(
            [simulate.Group(g.name, found.circuits[g.name]) for g in groups],
            demands,
            2000.0,
            1000 * seed + run,
            warm_up=20.0,
        )
        for name, seen in out.demands.items():
            shares[name].append(seen.lost / seen.calls)
    return [
        (
            s.name,
            s.target,
            float(np.mean(shares[s.name])),
            float(np.std(shares[s.name], ddof=1) / 10**0.5),
            found.service.lost[s.name],
        )
        for s in streams
    ]


def checked(seed):
    """(stream, target, lost on other seeds, its standard error) of a plan that was played before it was
    told.
    """
    groups, streams = drawn(seed, 1, 3, 14)
    streams = [Stream(s.name, s.group, s.erlangs, s.target) for s in streams]
    try:
        found, _ = planner.verified_plan(groups, streams)
    except planner.InfeasibleError:
        return []
    seen = planner.simulated_loss(groups, streams, found.circuits, "middle", 77_000 + seed, 10, 2000.0)
    return [(s.name, s.target, *seen[s.name]) for s in streams]


def main():
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(against_brute, range(count), chunksize=5))
        same = sum(a == b or (a is not None and b is not None and abs(a - b) < 1e-9) for a, b in rows)
        print(
            f"{same} of {count} drawn networks: cost equal to brute force "
            f"({sum(b is None for _, b in rows)} of them without a plan, told so by both)"
        )
        groups, streams = drawn(3, 20, 4, 14)
        began = time.perf_counter()
        found = planner.plan(groups, streams, map_function=pool.map)
        print(
            f"{len(groups)} groups in {time.perf_counter() - began:.1f} s: cost {found.cost:.1f}, "
            f"{found.programs_solved} programmes, {found.choices_evaluated} choices looked at, "
            f"monotone {found.monotone}"
        )
        told = [row for rows in pool.map(fed_back, range(40)) for row in rows]
        played = [row for rows in pool.map(checked, range(100, 160)) for row in rows]
    missed = [
        (name, target, lost, error) for name, target, lost, error, _ in told if lost - 2 * error > target
    ]
    ratio = [lost / want for _, _, lost, _, want in told if want > 1e-3]
    print(
        f"plans fed back: {len(told) - len(missed)} of {len(told)} streams within their target (2 standard "
        f"errors); lost over predicted: median {np.median(ratio):.2f}, 10 to 90%: "
        f"{np.quantile(ratio, 0.1):.2f} to {np.quantile(ratio, 0.9):.2f}"
    )
    for row in missed:
        print("  over its target:", *(f"{x:.5f}" if isinstance(x, float) else x for x in row))
    over = [row for row in played if row[2] - 2 * row[3] > row[1]]
    print(
        f"checked plans of 60 other networks: {len(played) - len(over)} of {len(played)} streams within "
        "their target"
    )
    for row in over:
        print("  over its target:", *(f"{x:.5f}" if isinstance(x, float) else x for x in row))


if __name__ == "__main__":
    main()
