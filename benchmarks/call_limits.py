"""Processor time per call and memory of the call limits, with the maximum of tracked numbers and tenants.

python benchmarks/call_limits.py    # calls per second through admission, weight and attempt result; bytes
"""

from __future__ import annotations

import json
import time
import tracemalloc
from random import Random

from softswitch import interface as i
from softswitch.limits.call_limits import CallLimits
from softswitch.limits.called_numbers import MAX_NUMBERS

TENANTS = 1_000
CALLS = 200_000
NUMBERS = 2 * MAX_NUMBERS  # called numbers: twice as many as are tracked at once
BUSY_FRACTION = 0.3  # of the admitted calls, that end because the called number is busy
CALL_CLASS = i.CallClass("plain", latency_objective=2_000.0)


def settings() -> i.Settings:
    """Returns settings with the tenants of the benchmark."""
    tenants = tuple(i.Tenant(f"tenant-{n}", 1.0) for n in range(TENANTS))
    return i.Settings((CALL_CLASS,), tenants=tenants, over_quota_weight=0.1)


def requests(rng: Random) -> list[i.SetupRequested]:
    """Returns calls to random numbers by random tenants."""
    return [
        i.SetupRequested(
            f"{n:016x}",
            "plain",
            0,
            3_000.0,
            number=str(rng.randrange(NUMBERS)),
            tenant=f"tenant-{rng.randrange(TENANTS)}",
        )
        for n in range(CALLS)
    ]


def run(limits: CallLimits, calls: list[i.SetupRequested], rng: Random) -> int:
    """Runs the calls, a millisecond apart; returns how many were rejected."""
    rejected = 0
    for now, request in enumerate(calls):
        if limits.admit(now, request, CALL_CLASS, i.UNLIMITED):
            rejected += 1
            continue
        limits.weight_of(now, request, CALL_CLASS, 0.2)
        busy = rng.random() < BUSY_FRACTION
        event: i.AttemptEvent = i.AttemptAnswered(request.call, 0, "e", 40.0)
        if busy:
            event = i.AttemptEnded(request.call, 0, "e", i.Outcome.ERROR, 40.0, callee_busy=True)
        limits.record_attempt_event(now, event, request)
    return rejected


def main() -> None:
    """Prints the results as one JSON object."""
    calls = requests(Random(1))
    limits = CallLimits(settings())
    started_at = time.process_time()
    rejected = run(limits, calls, Random(2))
    seconds = time.process_time() - started_at
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    measured = CallLimits(settings())
    run(measured, calls, Random(2))
    after, _ = tracemalloc.get_traced_memory()
    print(
        json.dumps(
            {
                "calls_per_s": round(CALLS / seconds),
                "us_per_call": round(1e6 * seconds / CALLS, 2),
                "bytes": after - before,
                "numbers_known": len(measured.numbers.numbers),
                "established_known": len(measured.numbers.established),
                "tenants": len(measured.tenants.buckets),
                "rejected_share": round(rejected / CALLS, 3),
            }
        )
    )


if __name__ == "__main__":
    main()
