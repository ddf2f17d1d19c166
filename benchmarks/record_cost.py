"""Cost of the traffic record: CPU time of the softswitch per call with and without it, in pairs of runs;
bytes of a file of 24 hours and of the record in memory. `python benchmarks/record_cost.py [PAIRS] [SECONDS]`.
"""

import resource
import subprocess
import sys
import tracemalloc
from statistics import median

from softswitch.measure.record import TrafficRecord
from softswitch.measure.recordfile import encode_histogram


def run_day(record, seconds, seed):
    """Runs a softswitch with stand-ins (a `Day`); prints its processor seconds per attempt.

    record: whether it writes a traffic record.
    """
    from softswitch.cli.demo import day as demo_day
    from softswitch.standin.fleet import Day, Fleet

    day = demo_day(seconds, 100.0, 3, 200, seed)
    fields = {name: getattr(day, name) for name in day.__dataclass_fields__} | {
        "record_interval": 5.0 if record else 0.0
    }
    result = Fleet(Day(**fields)).run()
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    print((usage.ru_utime + usage.ru_stime) / result.total().tries)


def run_in_process(record, seconds, seed):
    """Runs a day in a separate process and returns the figure that it prints."""
    completed = subprocess.run(
        [sys.executable, __file__, "day", str(int(record)), seconds, str(seed)],
        capture_output=True,
        text=True,
        check=True,
    )
    return float(completed.stdout)


def measure_memory():
    """Prints the size of a record with 3 cells, 2 classes and 60 full slots, and of its entry in the file."""
    import orjson

    tracemalloc.start()
    saved = []
    record = TrafficRecord(60_000, 1_000, lambda now: now, saved.append, 0.0)
    now = 0.0
    calls = []
    for n in range(60 * 62):
        now = n * 1000 / 62
        dest, call_class = n % 3, ("price-check", "save-quote")[n % 5 == 0]
        record.attempt_received(now, dest, call_class, False)
        calls.append(
            (now, record.attempt_settled(now, dest, dest, call_class, "carried", 10 + n % 90, False))
        )
        if len(calls) > 500:
            established_at, occupancy = calls.pop(0)
            record.call_ended(now, occupancy, now - established_at)
    memory = tracemalloc.get_traced_memory()[0]
    record.roll_over(60_000.0)
    entry = len(orjson.dumps(saved[0], default=encode_histogram))
    print(
        f"record in memory: {memory / 1024:.0f} KiB with 500 established calls; "
        f"an entry of 60 s: {entry} bytes; the entries of a day: {entry * 1440 / 1e6:.1f} MB"
    )


if __name__ == "__main__":
    if sys.argv[1:2] == ["day"]:
        run_day(sys.argv[2] == "1", float(sys.argv[3]), int(sys.argv[4]))
    else:
        pairs, seconds = int((sys.argv[1:] or ["4"])[0]), (sys.argv[2:] or ["12"])[0]
        ratios = []
        for n in range(pairs):
            # The order alternates, so that changes of the machine's speed affect both alike.
            order = (True, False) if n % 2 else (False, True)
            cost = {on: run_in_process(on, seconds, n) for on in order}
            ratios.append(cost[True] / cost[False])
            print(
                f"pair {n}: {1e6 * cost[False]:.0f} us per call without, {1e6 * cost[True]:.0f} with: "
                f"{ratios[-1]:.3f}",
                flush=True,
            )
        print(f"median ratio {median(ratios):.3f}")
        measure_memory()
