"""Required circuits over the confidence interval of an estimate, and notes for the user."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from softswitch.dimension import loss, peaked_traffic
from softswitch.dimension.loss import OutOfRangeError
from softswitch.dimension.traffic import Estimate, Sample, estimate


@dataclass(frozen=True, slots=True)
class CircuitRange:
    """Required circuits at the low end, the middle and the high end of the interval of the traffic."""

    low: int
    middle: int
    high: int
    erlang_b: int  # at the middle, by Erlang B, which assumes random traffic


def required_circuits(found: Estimate, target: float) -> CircuitRange:
    """Returns the circuits that the target needs at the low end, the middle and the high end.

    The peakedness is 1 if the counts are consistent with random calls, and otherwise its estimate, but at
    least 1. Raises OutOfRangeError.
    """
    z = 1.0 if found.method == "random" else max(1.0, found.peakedness.value)
    needed = [
        loss.round_up(peaked_traffic.circuits_for(x, target, z))
        for x in (found.erlangs.low, found.erlangs.value, found.erlangs.high)
    ]
    return CircuitRange(
        needed[0], needed[1], needed[2], loss.round_up(loss.circuits_for(found.erlangs.value, target))
    )


def estimate_busiest(
    sample: Sample, level: float = 0.95, precision: float = 0.05
) -> tuple[Estimate, Estimate]:
    """Returns (estimate for dimensioning, estimate of the complete sample).

    If the traffic is not stationary, the first estimate is of the busiest segment. The average over all
    segments would describe no period. Raises OutOfRangeError.
    """
    complete = estimate(sample, level, precision)
    if complete.steady:
        return complete, complete
    busiest = max(complete.segments, key=lambda s: s.rate)
    low, high = round(busiest.start / sample.slot), round(busiest.end / sample.slot)
    busiest_sample = Sample(
        sample.slot,
        np.asarray(sample.first_attempts[low:high]),
        sample.call_seconds,
        sample.ended,
        sample.sum_squared_hold,
        sample.redials,
        sample.blocked,
    )
    try:
        return estimate(busiest_sample, level, precision), complete
    except OutOfRangeError:
        return complete, complete


def notes(name: str, found: Estimate, complete: Estimate, precision: float) -> list[str]:
    """Returns remarks on the accuracy of an estimate, to be shown with its figures.

    `found` and `complete` are those of `estimate_busiest`; `name` names the stream.
    """
    remarks = []
    if found.more_seconds > 0:
        remarks.append(
            f"{name}: known to ±{100 * found.erlangs.half_width:.0f}% only; for ±{100 * precision:.0f}% "
            f"measure {_duration(found.more_seconds)} longer"
        )
    if not complete.steady:
        segments = ", ".join(f"{s.rate:.3g}/s from {s.start:.0f} to {s.end:.0f} s" for s in complete.segments)
        remarks.append(
            f"{name}: the traffic did not stand still ({segments}); the figures are of the busiest stretch"
        )
    if found.method == "batches" and found.peakedness.low > 1:
        remarks.append(f"{name}: peaky, Z {found.peakedness.value:.2f}; plain Erlang B understates the need")
    if complete.redial_share > 0.02:
        remarks.append(
            f"{name}: {100 * complete.redial_share:.0f}% of all tries were redials, and are not counted in"
        )
    return remarks


def _duration(seconds: float) -> str:
    return (
        f"{seconds:.0f} s"
        if seconds < 120
        else f"{seconds / 60:.0f} min"
        if seconds < 7200
        else (f"{seconds / 3600:.1f} h")
    )
