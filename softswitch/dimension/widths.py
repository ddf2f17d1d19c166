"""Blocking of calls of different widths on one group: Kaufman-Roberts, with trunk reservation."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from softswitch.dimension.loss import OutOfRangeError, check_range


@dataclass(frozen=True, slots=True)
class Stream:
    """Random calls that occupy `width` circuits each.

    `erlangs` is the offered number of calls, not of circuits. `reserve` is the number of circuits that must
    stay free for other streams after a call is accepted.
    """

    erlangs: float
    width: int = 1
    reserve: int = 0


def _check(circuits: int, streams: Sequence[Stream]) -> None:
    check_range("circuits", circuits, 0, 1e6)
    for s in streams:
        check_range("erlangs", s.erlangs, 0, 1e7)
        check_range("width", s.width, 1, 1e4)
        check_range("reserve", s.reserve, 0, 1e6)
    if not streams:
        raise OutOfRangeError("no stream is given; at least one is needed")


def occupancy(circuits: int, streams: Sequence[Stream]) -> np.ndarray:
    """Returns the probability of each number of busy circuits, shape (circuits + 1,).

    Without reservation it is exact for any holding time distribution (Kaufman, IEEE Trans. COM-29, 1981;
    Roberts 1981). With reservation it is Roberts' approximation (1983), which assumes that a stream has no
    calls in the states in which its calls are rejected. The recursion is rescaled, so that 1e6 circuits
    neither overflow nor underflow. Raises OutOfRangeError.
    """
    _check(circuits, streams)
    q = np.zeros(circuits + 1)
    q[0] = 1.0
    loads = [(s.erlangs * s.width, s.width, circuits - s.reserve) for s in streams if s.erlangs > 0]
    for j in range(1, circuits + 1):
        total = 0.0
        for circuit_load, width, limit in loads:
            if width <= j <= limit:
                total += circuit_load * q[j - width]
        q[j] = total / j
        if q[j] > 1e200:
            q[: j + 1] *= 1e-200
    probabilities: np.ndarray = q / q.sum()
    return probabilities


def blocking(circuits: int, streams: Sequence[Stream]) -> list[float]:
    """Returns the fraction of the calls of each stream that find too few free circuits.

    This is the time congestion, which equals the call congestion for random calls. See `occupancy` for the
    source and the error. Raises OutOfRangeError.
    """
    q = occupancy(circuits, streams)
    return [float(q[max(0, circuits - s.width - s.reserve + 1) :].sum()) for s in streams]


def circuits_for(streams: Sequence[Stream], targets: Sequence[float], max_circuits: int = 100_000) -> int:
    """Returns the min number of circuits at which the blocking of each stream is at most its target.

    Raises OutOfRangeError.
    """
    _check(0, streams)
    for t in targets:
        check_range("target", t, 0, 1, True, True)

    def meets_targets(n: int) -> bool:
        return all(b <= t for b, t in zip(blocking(n, streams), targets, strict=True))

    high = max(1, int(sum(s.erlangs * s.width for s in streams)))
    while not meets_targets(high):
        if high >= max_circuits:
            raise OutOfRangeError(f"circuits would have to be over {max_circuits}")
        high = min(max_circuits, 2 * high)
    low = 0
    while low < high:
        middle = (low + high) // 2
        low, high = (low, middle) if meets_targets(middle) else (middle + 1, high)
    return low


def overflow_with_reserve(
    circuits: int, first: float, overflow: tuple[float, float], reserve: int
) -> tuple[float, float]:
    """Returns (blocking of first-routed calls, blocking of overflowing calls) on a final group.

    The last `reserve` circuits are reserved for first-routed random calls of `first` erlangs. `overflow` is
    the (mean, variance) of the traffic that overflows to the group.

    Solves a birth-death chain after Hayward's scaling: circuits, reserve and traffic are divided by the joint
    peakedness Z, and the loss is interpolated between integer circuits. Without reservation, the ratio of the
    two losses follows Katz (ITC 1967). This is an approximation: simulations show errors of up to a fifth of
    the blocking (docs/design/trunk-dimensioning.md). Raises OutOfRangeError.
    """
    mean, variance = overflow
    check_range("first", first, 0, 1e7)
    check_range("mean", mean, 0, 1e7)
    check_range("reserve", reserve, 0, max(0, circuits))
    total = first + mean
    if total <= 0:
        return 0.0, 0.0
    z = max(1.0, (first + variance) / total)

    def solve_chain(n: int, reserved: float) -> tuple[float, float]:
        a, b = first / z, mean / z
        logs = np.zeros(n + 1)
        for j in range(1, n + 1):
            # Fraction of the overflowing calls accepted; between 0 and 1 where the reserve is not an integer.
            accepted = min(1.0, max(0.0, n - reserved - (j - 1)))
            rate = a + b * accepted
            if rate <= 0:
                logs[j:] = -np.inf
                break
            logs[j] = logs[j - 1] + np.log(rate / j)
        p = np.exp(logs - logs.max())
        p /= p.sum()
        accepted_by_state = np.minimum(1.0, np.maximum(0.0, n - reserved - np.arange(n + 1)))
        return float(p[n]), float((p * (1 - accepted_by_state)).sum())

    scaled = circuits / z
    low, fraction = int(scaled), scaled - int(scaled)
    at_low, at_high = (
        solve_chain(low, reserve / z),
        solve_chain(low + 1, reserve / z) if fraction > 0 else (0.0, 0.0),
    )
    blocking_pair = [
        x ** (1 - fraction) * y**fraction
        if fraction > 0 and x > 0 and y > 0
        else x * (1 - fraction) + y * fraction
        for x, y in zip(at_low, at_high, strict=True)
    ]
    if reserve == 0 and mean > 0 and first > 0 and z > 1:
        # Peaky calls find the group full more often: the blocking B_i is proportional to
        # 1 + (Z_i - 1) weight.
        total_loss, z_overflow = blocking_pair[0] * total, max(1.0, variance / mean)
        weight = min(1.0, circuits / total) * 0.5
        ratio = 1 + (z_overflow - 1) * weight
        direct_blocking = total_loss / (first + mean * ratio)
        blocking_pair = [min(1.0, direct_blocking), min(1.0, direct_blocking * ratio)]
    return blocking_pair[0], blocking_pair[1]
