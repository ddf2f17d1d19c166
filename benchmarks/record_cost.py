"""What the traffic record costs: CPU of the softswitch per call with and without it, paired in one run; the
bytes of a day's file and of the record in memory. `python benchmarks/record_cost.py [PAIRS] [SECONDS]`.
"""

import resource
import subprocess
import sys
import tracemalloc
from statistics import median

from softswitch.measure.record import TrafficRecord
from softswitch.measure.recordfile import encoded


def day(record, seconds, seed):
    from softswitch.cli.demo import day as demo_day
    from softswitch.standin.fleet import Day, Fleet

    made = demo_day(seconds, 100.0, 3, 200, seed)
    fields = {name: getattr(made, name) for name in made.__dataclass_fields__} | {
        "record_interval": 5.0 if record else 0.0
    }
    result = Fleet(Day(**fields)).run()
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    print((used.ru_utime + used.ru_stime) / result.total().tries)


def played(record, seconds, seed):
    ran = subprocess.run(
        [sys.executable, __file__, "day", str(int(record)), seconds, str(seed)],
        capture_output=True,
        text=True,
        check=True,
    )
    return float(ran.stdout)


def memory():
    """Bytes of a record with 3 cells, 2 classes and a full interval of 60 slots; bytes of its entry."""
    import orjson

    tracemalloc.start()
    saved = []
    r = TrafficRecord(60_000, 1_000, lambda now: now, saved.append, 0.0)
    now = 0.0
    seats = []
    for n in range(60 * 62):
        now = n * 1000 / 62
        dest, klass = n % 3, ("price-check", "save-quote")[n % 5 == 0]
        r.came(now, dest, klass, False)
        seats.append((now, r.settled(now, dest, dest, klass, "carried", 10 + n % 90, False)))
        if len(seats) > 500:
            since, seat = seats.pop(0)
            r.over(now, seat, now - since)
    held = tracemalloc.get_traced_memory()[0]
    r.turn(60_000.0)
    entry = len(orjson.dumps(saved[0], default=encoded))
    print(
        f"record in memory: {held / 1024:.0f} KiB with 500 calls up; an entry of 60 s: {entry} bytes; "
        f"a day of them: {entry * 1440 / 1e6:.1f} MB"
    )


if __name__ == "__main__":
    if sys.argv[1:2] == ["day"]:
        day(sys.argv[2] == "1", float(sys.argv[3]), int(sys.argv[4]))
    else:
        pairs, seconds = int((sys.argv[1:] or ["4"])[0]), (sys.argv[2:] or ["12"])[0]
        ratios = []
        for n in range(pairs):
            # the order alternates, so that drift of the machine falls on both alike
            order = (True, False) if n % 2 else (False, True)
            cost = {on: played(on, seconds, n) for on in order}
            ratios.append(cost[True] / cost[False])
            print(
                f"pair {n}: {1e6 * cost[False]:.0f} us a call without, {1e6 * cost[True]:.0f} with: "
                f"{ratios[-1]:.3f}",
                flush=True,
            )
        print(f"median ratio {median(ratios):.3f}")
        memory()
