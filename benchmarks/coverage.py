"""Coverage of the estimates' 95% intervals: how many of N seeded replays on virtual time hold the truth.

`python benchmarks/coverage.py [N]` (default 500 of each kind, about 40 s on eight cores).
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from math import inf

import numpy as np

from softswitch.dimension import peaked_traffic, simulate, traffic

CASES = {  # erlangs, seconds in holding times, and what else; "short" is what a few minutes would give
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


def one(case):
    name, seed = case
    erlangs, seconds, more, circuits = CASES[name]
    seen = simulate.run(
        [simulate.Group("g", circuits)],
        [simulate.Demand("x", erlangs, ("g",), **more)],
        seconds,
        seed,
        warm_up=10.0,
        slot=max(0.1, seconds / 2000),
    ).records["x"]
    try:
        found = traffic.estimate(
            traffic.Sample(
                seen.slot, seen.first_attempts, seen.erlang_time, seen.ended, seen.sum_squared_hold
            )
        )
    except traffic.OutOfRangeError:
        return name, None
    boot = found.bootstrap
    z = (
        peaked_traffic.interrupted_poisson(erlangs, more["on"], more["off"])[1]
        if more.get("on", inf) < inf
        else 1.0
    )
    return name, (
        found.erlangs.low <= erlangs <= found.erlangs.high,
        found.erlangs.half_width,
        None if boot is None else boot.low <= erlangs <= boot.high,
        found.peakedness.low <= z <= found.peakedness.high,
        found.steady,
        found.peakedness.value,
        z,
    )


def main():
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 500
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(one, [(name, seed) for name in CASES for seed in range(count)], chunksize=10))
    print(
        f"{'case':22} {'told':>5} {'cover':>6} {'half-width':>10} {'bootstrap':>9} {'Z cover':>8} "
        f"{'Z':>6} {'true':>6} {'steady':>7}"
    )
    for name in CASES:
        got = [r for n, r in rows if n == name and r is not None]
        boots = [r[2] for r in got if r[2] is not None]
        print(
            f"{name:22} {len(got):5} {np.mean([r[0] for r in got]):6.3f} "
            f"{np.mean([r[1] for r in got]):10.3f} "
            f"{np.mean(boots) if boots else float('nan'):9.3f} {np.mean([r[3] for r in got]):8.3f} "
            f"{np.median([r[5] for r in got]):6.2f} {got[0][6]:6.2f} {np.mean([r[4] for r in got]):7.3f}"
        )


if __name__ == "__main__":
    main()
