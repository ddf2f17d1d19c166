"""What an estimate or a plan means for circuits: figures over the whole interval, and plain sentences."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from softswitch.dimension import loss, peaked_traffic
from softswitch.dimension.loss import OutOfRangeError
from softswitch.dimension.traffic import Estimate, Sample, estimate


@dataclass(frozen=True, slots=True)
class CircuitRange:
    """Circuits for a target, over the interval of the traffic and the peakedness."""

    low: int
    middle: int
    high: int
    erlang_b: int  # by Erlang B at the middle, as if the traffic were random


def required_circuits(found: Estimate, target: float) -> CircuitRange:
    """Circuits that the target needs at the low end, the middle and the high end. Peakedness goes by its
    middle where the counts did not pass for random calls, and is 1 where they did. Raises OutOfRangeError.
    """
    z = 1.0 if found.method == "random" else max(1.0, found.peakedness.value)
    at = [
        loss.round_up(peaked_traffic.circuits_for(x, target, z))
        for x in (found.erlangs.low, found.erlangs.value, found.erlangs.high)
    ]
    return CircuitRange(at[0], at[1], at[2], loss.round_up(loss.circuits_for(found.erlangs.value, target)))


def estimate_busiest(
    sample: Sample, level: float = 0.95, precision: float = 0.05
) -> tuple[Estimate, Estimate]:
    """(estimate to go by, estimate of the whole). Where the traffic did not stand still, the first is that of
    the busiest stretch and not of the average, which would be true of no time at all. Raises OutOfRangeError.
    """
    whole = estimate(sample, level, precision)
    if whole.steady:
        return whole, whole
    busiest = max(whole.segments, key=lambda s: s.rate)
    low, high = round(busiest.start / sample.slot), round(busiest.end / sample.slot)
    part = Sample(
        sample.slot,
        np.asarray(sample.first_attempts[low:high]),
        sample.call_seconds,
        sample.ended,
        sample.sum_squared_hold,
        sample.redials,
        sample.blocked,
    )
    try:
        return estimate(part, level, precision), whole
    except OutOfRangeError:
        return whole, whole


def notes(name: str, found: Estimate, whole: Estimate, precision: float) -> list[str]:
    """What must be said beside the figure."""
    said = []
    if found.more_seconds > 0:
        said.append(
            f"{name}: known to ±{100 * found.erlangs.half_width:.0f}% only; for ±{100 * precision:.0f}% "
            f"measure {_long(found.more_seconds)} longer"
        )
    if not whole.steady:
        parts = ", ".join(f"{s.rate:.3g}/s from {s.start:.0f} to {s.end:.0f} s" for s in whole.segments)
        said.append(
            f"{name}: the traffic did not stand still ({parts}); the figures are of the busiest stretch"
        )
    if found.method == "batches" and found.peakedness.low > 1:
        said.append(f"{name}: peaky, Z {found.peakedness.value:.2f}; plain Erlang B understates the need")
    if whole.redial_share > 0.02:
        said.append(
            f"{name}: {100 * whole.redial_share:.0f}% of all tries were redials, and are not counted in"
        )
    return said


def _long(seconds: float) -> str:
    return (
        f"{seconds:.0f} s"
        if seconds < 120
        else f"{seconds / 60:.0f} min"
        if seconds < 7200
        else (f"{seconds / 3600:.1f} h")
    )
