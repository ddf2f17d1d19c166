"""The planner compared with brute force on small random networks, its time for 100 groups, and the loss of
its plans in the event simulation. `python benchmarks/planning.py [NETWORKS]` (default 200).
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from random import Random

import numpy as np

from softswitch.dimension import planner, simulate
from softswitch.dimension.network import Group, Stream


def random_network(seed, finals=1, direct=2, max_modules=6, reserve=0):
    """Returns (groups, streams) of a random network.

    finals: final groups. direct: groups that overflow to each final group.
    """
    random, groups, streams = Random(seed), [], []
    for f in range(finals):
        groups.append(
            Group(
                f"f{f}", random.choice((1, 2, 3, 6)), random.uniform(1, 4), 2 * max_modules, reserve=reserve
            )
        )
        for k in range(direct):
            name = f"d{f}.{k}"
            groups.append(Group(name, random.choice((1, 2, 4)), random.uniform(0.5, 4), max_modules, f"f{f}"))
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


def compare_with_brute_force(seed):
    """Returns the costs found by the planner and by brute force for a random network; a cost is None if no
    plan was found.
    """
    random = Random(seed)
    groups, streams = random_network(seed, 1, random.choice((1, 2, 3)), random.choice((4, 6)))
    try:
        cost = planner.plan(groups, streams).cost
    except planner.InfeasibleError:
        cost = None
    try:
        best = planner.brute_force(groups, streams)[0]
    except planner.InfeasibleError:
        best = None
    return cost, best


def simulate_plan(seed):
    """Plans a network with random traffic and simulates the plan in ten runs.

    Returns (stream, target, simulated loss, its standard error, predicted loss) of each stream.
    """
    groups, streams = random_network(seed, 1, 3, 14)
    streams = [Stream(s.name, s.group, s.erlangs, s.target) for s in streams]
    try:
        plan = planner.plan(groups, streams)
    except planner.InfeasibleError:
        return []
    demands = [
        simulate.Demand(s.name, s.erlangs, (s.group, "f0") if s.group != "f0" else ("f0",)) for s in streams
    ]
    losses = {s.name: [] for s in streams}
    for run in range(10):
        outcome = simulate.run(
            [simulate.Group(g.name, plan.circuits[g.name]) for g in groups],
            demands,
            2000.0,
            1000 * seed + run,
            warm_up=20.0,
        )
        for name, counts in outcome.demands.items():
            losses[name].append(counts.lost / counts.calls)
    return [
        (
            s.name,
            s.target,
            float(np.mean(losses[s.name])),
            float(np.std(losses[s.name], ddof=1) / 10**0.5),
            plan.service.lost[s.name],
        )
        for s in streams
    ]


def simulate_checked_plan(seed):
    """Plans a network with `planner.verified_plan` and simulates the result on other seeds.

    Returns (stream, target, simulated loss, its standard error) of each stream.
    """
    groups, streams = random_network(seed, 1, 3, 14)
    streams = [Stream(s.name, s.group, s.erlangs, s.target) for s in streams]
    try:
        plan, _ = planner.verified_plan(groups, streams)
    except planner.InfeasibleError:
        return []
    losses = planner.simulated_loss(groups, streams, plan.circuits, "middle", 77_000 + seed, 10, 2000.0)
    return [(s.name, s.target, *losses[s.name]) for s in streams]


def main():
    """Prints the results of all comparisons."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(compare_with_brute_force, range(count), chunksize=5))
        equal = sum(a == b or (a is not None and b is not None and abs(a - b) < 1e-9) for a, b in rows)
        print(
            f"{equal} of {count} random networks: cost equal to brute force "
            f"({sum(b is None for _, b in rows)} of them without a plan by either method)"
        )
        groups, streams = random_network(3, 20, 4, 14)
        started_at = time.perf_counter()
        plan = planner.plan(groups, streams, map_function=pool.map)
        print(
            f"{len(groups)} groups in {time.perf_counter() - started_at:.1f} s: cost {plan.cost:.1f}, "
            f"{plan.programs_solved} integer programs, {plan.choices_evaluated} choices evaluated, "
            f"monotone {plan.monotone}"
        )
        simulated = [row for rows in pool.map(simulate_plan, range(40)) for row in rows]
        checked = [row for rows in pool.map(simulate_checked_plan, range(100, 160)) for row in rows]
    missed = [
        (name, target, lost, error) for name, target, lost, error, _ in simulated if lost - 2 * error > target
    ]
    ratio = [lost / predicted for _, _, lost, _, predicted in simulated if predicted > 1e-3]
    print(
        f"simulated plans: {len(simulated) - len(missed)} of {len(simulated)} streams within their target "
        f"(2 standard errors); simulated over predicted loss: median {np.median(ratio):.2f}, 10 to 90%: "
        f"{np.quantile(ratio, 0.1):.2f} to {np.quantile(ratio, 0.9):.2f}"
    )
    for row in missed:
        print("  above its target:", *(f"{x:.5f}" if isinstance(x, float) else x for x in row))
    exceeding = [row for row in checked if row[2] - 2 * row[3] > row[1]]
    print(
        f"checked plans of 60 other networks: {len(checked) - len(exceeding)} of {len(checked)} streams "
        "within their target"
    )
    for row in exceeding:
        print("  above its target:", *(f"{x:.5f}" if isinstance(x, float) else x for x in row))


if __name__ == "__main__":
    main()
