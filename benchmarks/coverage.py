"""Coverage of the estimates' 95% confidence intervals: the fraction that contains the true value.

Each case is simulated N times on virtual time, with different seeds:
`python benchmarks/coverage.py [N]` (default 500 runs of each case, about 40 s on eight cores).
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from math import inf

import numpy as np

from softswitch.dimension import peaked_traffic, simulate, traffic

# Erlangs, length in holding times, other options, circuits. "short" corresponds to a few minutes of traffic.
CASES = {
    "random, long": (10.0, 400.0, {}, 100),
    "random, short": (10.0, 5.0, {}, 100),
    "random, very short": (3.0, 8.0, {}, 100),
    "peaky, long": (10.0, 2000.0, {"on": 2.0, "off": 4.0}, 100),
    "peaky, shorter": (10.0, 400.0, {"on": 2.0, "off": 4.0}, 100),
    "peaky, short": (10.0, 150.0, {"on": 2.0, "off": 4.0}, 100),
    "mildly peaky, short": (10.0, 60.0, {"on": 0.3, "off": 0.3}, 100),
    "blocked": (10.0, 400.0, {}, 10),
    "blocked, with redials": (10.0, 400.0, {"again": 0.8, "tries": 4}, 10),
}


def run_case(case):
    """Simulates a case with a seed and checks the estimate; returns (name, None) if there is no estimate."""
    name, seed = case
    erlangs, seconds, options, circuits = CASES[name]
    record = simulate.run(
        [simulate.Group("g", circuits)],
        [simulate.Demand("x", erlangs, ("g",), **options)],
        seconds,
        seed,
        warm_up=10.0,
        slot=max(0.1, seconds / 2000),
    ).records["x"]
    try:
        estimate = traffic.estimate(
            traffic.Sample(
                record.slot, record.first_attempts, record.erlang_time, record.ended, record.sum_squared_hold
            )
        )
    except traffic.OutOfRangeError:
        return name, None
    bootstrap = estimate.bootstrap
    z = (
        peaked_traffic.interrupted_poisson(erlangs, options["on"], options["off"])[1]
        if options.get("on", inf) < inf
        else 1.0
    )
    return name, (
        estimate.erlangs.low <= erlangs <= estimate.erlangs.high,
        estimate.erlangs.half_width,
        None if bootstrap is None else bootstrap.low <= erlangs <= bootstrap.high,
        estimate.peakedness.low <= z <= estimate.peakedness.high,
        estimate.steady,
        estimate.peakedness.value,
        z,
    )


def main():
    """Prints a table with one row per case."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 500
    with ProcessPoolExecutor() as pool:
        rows = list(
            pool.map(run_case, [(name, seed) for name in CASES for seed in range(count)], chunksize=10)
        )
    print(
        f"{'case':22} {'runs':>5} {'cover':>6} {'half-width':>10} {'bootstrap':>9} {'Z cover':>8} "
        f"{'Z':>6} {'true':>6} {'steady':>7}"
    )
    for name in CASES:
        results = [r for n, r in rows if n == name and r is not None]
        bootstraps = [r[2] for r in results if r[2] is not None]
        print(
            f"{name:22} {len(results):5} {np.mean([r[0] for r in results]):6.3f} "
            f"{np.mean([r[1] for r in results]):10.3f} "
            f"{np.mean(bootstraps) if bootstraps else float('nan'):9.3f} "
            f"{np.mean([r[3] for r in results]):8.3f} "
            f"{np.median([r[5] for r in results]):6.2f} {results[0][6]:6.2f} "
            f"{np.mean([r[4] for r in results]):7.3f}"
        )


if __name__ == "__main__":
    main()
