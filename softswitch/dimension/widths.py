"""Calls of several widths on one group: Kaufman-Roberts, with trunk reservation."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from softswitch.dimension.loss import OutOfRangeError, check_range


@dataclass(frozen=True, slots=True)
class Stream:
    """Random calls of one width. `erlangs` counts calls up, not circuits; `reserve`: circuits that must stay
    free after one of its calls is taken in, for others' sake.
    """

    erlangs: float
    width: int = 1
    reserve: int = 0


def _checked(circuits: int, streams: Sequence[Stream]) -> None:
    check_range("circuits", circuits, 0, 1e6)
    for s in streams:
        check_range("erlangs", s.erlangs, 0, 1e7)
        check_range("width", s.width, 1, 1e4)
        check_range("reserve", s.reserve, 0, 1e6)
    if not streams:
        raise OutOfRangeError("no stream is given; at least one is needed")


def occupancy(circuits: int, streams: Sequence[Stream]) -> np.ndarray:
    """Chance of each number of busy circuits, shape (circuits + 1,).

    Without reservation exact for any holding times (Kaufman, IEEE Trans. COM-29, 1981; Roberts 1981); with it
    Roberts' approximation (1983), which takes a stream for absent from the states that its reservation bars.
    Rescaled as it goes, so that 1e6 circuits neither overflow nor underflow. Raises OutOfRangeError.
    """
    _checked(circuits, streams)
    q = np.zeros(circuits + 1)
    q[0] = 1.0
    parts = [(s.erlangs * s.width, s.width, circuits - s.reserve) for s in streams if s.erlangs > 0]
    for j in range(1, circuits + 1):
        total = 0.0
        for work, width, bar in parts:
            if width <= j <= bar:
                total += work * q[j - width]
        q[j] = total / j
        if q[j] > 1e200:
            q[: j + 1] *= 1e-200
    shares: np.ndarray = q / q.sum()
    return shares


def blocking(circuits: int, streams: Sequence[Stream]) -> list[float]:
    """Share of each stream's calls that find too few circuits free (time congestion, which for random calls
    is call congestion). See `occupancy` for source and error. Raises OutOfRangeError.
    """
    q = occupancy(circuits, streams)
    return [float(q[max(0, circuits - s.width - s.reserve + 1) :].sum()) for s in streams]


def circuits_for(streams: Sequence[Stream], targets: Sequence[float], most: int = 100_000) -> int:
    """Fewest circuits at which each stream's blocking is at or under its target. Raises OutOfRangeError."""
    _checked(0, streams)
    for t in targets:
        check_range("target", t, 0, 1, True, True)

    def good(n: int) -> bool:
        return all(b <= t for b, t in zip(blocking(n, streams), targets, strict=True))

    high = max(1, int(sum(s.erlangs * s.width for s in streams)))
    while not good(high):
        if high >= most:
            raise OutOfRangeError(f"circuits would have to be over {most}")
        high = min(most, 2 * high)
    low = 0
    while low < high:
        middle = (low + high) // 2
        low, high = (low, middle) if good(middle) else (middle + 1, high)
    return low


def overflow_with_reserve(
    circuits: int, first: float, overflow: tuple[float, float], reserve: int
) -> tuple[float, float]:
    """(blocking of first-routed calls, of overflowing calls) on a final group that keeps its last `reserve`
    circuits for first-routed random calls of `first` erlangs; `overflow` is (mean, variance) of the rest.

    A birth-death chain after Hayward's scaling: the joint peakedness Z shrinks circuits, reserve and traffic
    alike, between whole circuits by interpolation in the loss. The ratio of the two streams' losses without
    reservation follows Katz (ITC 1967). An approximation: errors up to a fifth of the blocking were seen in
    simulation (docs/design/trunk-dimensioning.md). Raises OutOfRangeError.
    """
    mean, variance = overflow
    check_range("first", first, 0, 1e7)
    check_range("mean", mean, 0, 1e7)
    check_range("reserve", reserve, 0, max(0, circuits))
    total = first + mean
    if total <= 0:
        return 0.0, 0.0
    z = max(1.0, (first + variance) / total)

    def chain(n: int, kept: float) -> tuple[float, float]:
        a, b = first / z, mean / z
        logs = np.zeros(n + 1)
        for j in range(1, n + 1):
            share = min(1.0, max(0.0, n - kept - (j - 1)))  # a reserve between whole circuits bars in part
            rate = a + b * share
            if rate <= 0:
                logs[j:] = -np.inf
                break
            logs[j] = logs[j - 1] + np.log(rate / j)
        p = np.exp(logs - logs.max())
        p /= p.sum()
        opens = np.minimum(1.0, np.maximum(0.0, n - kept - np.arange(n + 1)))
        return float(p[n]), float((p * (1 - opens)).sum())

    scaled = circuits / z
    low, part = int(scaled), scaled - int(scaled)
    one, two = chain(low, reserve / z), chain(low + 1, reserve / z) if part > 0 else (0.0, 0.0)
    mixed = [
        x ** (1 - part) * y**part if part > 0 and x > 0 and y > 0 else x * (1 - part) + y * part
        for x, y in zip(one, two, strict=True)
    ]
    if reserve == 0 and mean > 0 and first > 0 and z > 1:
        # Calls that come in heaps find a full group more often: B_i in ratio of 1 + (Z_i - 1) share.
        whole_loss, z_over = mixed[0] * total, max(1.0, variance / mean)
        share = min(1.0, circuits / total) * 0.5
        tilt = 1 + (z_over - 1) * share
        base = whole_loss / (first + mean * tilt)
        mixed = [min(1.0, base), min(1.0, base * tilt)]
    return mixed[0], mixed[1]
