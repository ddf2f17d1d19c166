"""What the limits cost: processor time a call and memory, with as many numbers and tenants as they may know.

python benchmarks/call_limits.py    # calls a second through admission, weight and answer; bytes
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
NUMBERS = 2 * MAX_NUMBERS  # called, half of them more than are known at once
BUSY_SHARE = 0.3
CALL_CLASS = i.CallClass("plain", latency_objective=2_000.0)


def settings() -> i.Settings:
    """Settings with as many tenants as the benchmark has."""
    tenants = tuple(i.Tenant(f"tenant-{n}", 1.0) for n in range(TENANTS))
    return i.Settings((CALL_CLASS,), tenants=tenants, over_quota_weight=0.1)


def requests(rng: Random) -> list[i.SetupRequested]:
    """Calls to drawn numbers by drawn tenants."""
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


def play(limits: CallLimits, calls: list[i.SetupRequested], rng: Random) -> int:
    """Plays the calls, a millisecond apart; how many were rejected."""
    rejected = 0
    for now, request in enumerate(calls):
        if limits.admit(now, request, CALL_CLASS, i.UNLIMITED):
            rejected += 1
            continue
        limits.weight_of(now, request, CALL_CLASS, 0.2)
        busy = rng.random() < BUSY_SHARE
        event: i.AttemptEvent = i.AttemptAnswered(request.call, 0, "e", 40.0)
        if busy:
            event = i.AttemptEnded(request.call, 0, "e", i.Outcome.ERROR, 40.0, callee_busy=True)
        limits.record_attempt_event(now, event, request)
    return rejected


def main() -> None:
    """Prints one JSON object."""
    calls = requests(Random(1))
    limits = CallLimits(settings())
    began = time.process_time()
    rejected = play(limits, calls, Random(2))
    seconds = time.process_time() - began
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    measured = CallLimits(settings())
    play(measured, calls, Random(2))
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
