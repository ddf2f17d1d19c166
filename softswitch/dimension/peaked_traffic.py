"""Traffic that is peakier or smoother than random: overflow, surges, finite sources, day-to-day variation.

A stream is described by its mean in erlangs and its peakedness Z. Z is the variance over the mean of the
number of circuits that the stream occupies in an infinite group: 1 for random traffic, over 1 for overflow
and surges, under 1 for few sources.
"""

from __future__ import annotations

from functools import lru_cache
from math import exp, log, sqrt

import numpy as np
from scipy.optimize import brentq
from scipy.sparse import diags, hstack, identity, vstack
from scipy.sparse.linalg import spsolve
from scipy.special import roots_genlaguerre

from softswitch.dimension.loss import MAX_LOAD, OutOfRangeError, check_range, erlang_b, find_root

MAX_Z, MIN_Z = 100.0, 0.01


def overflow(circuits: float, erlangs: float) -> tuple[float, float]:
    """Returns (mean, variance) in erlangs of the overflow of random traffic (Riordan, in Wilkinson, BSTJ 35,
    1956, appendix).

    Circuits may be real; the result is exact for integers. Raises OutOfRangeError.
    """
    mean = erlangs * erlang_b(circuits, erlangs)
    if erlangs == 0:
        return 0.0, 0.0
    return mean, mean * (1 - mean + erlangs / (circuits + 1 - erlangs + mean))


def combine(*streams: tuple[float, float]) -> tuple[float, float]:
    """Returns the (mean, variance) of the sum of independent streams, each given as (mean, variance)."""
    return sum(m for m, _ in streams), sum(v for _, v in streams)


@lru_cache(maxsize=4096)
def equivalent_random(mean: float, variance: float) -> tuple[float, float]:
    """Returns (erlangs, circuits) of the group whose overflow has the given mean and variance.

    This is Wilkinson's equivalent random method (BSTJ 35, 1956). Rapp's formula (1964) is the initial value;
    the moments are then met to 1e-10. Peakedness 1 to 100, mean > 0. Raises OutOfRangeError.
    """
    check_range("mean", mean, 0, MAX_LOAD, exclude_low=True)
    z = variance / mean
    check_range("peakedness", z, 1, MAX_Z)
    if z < 1 + 1e-9:
        return mean, 0.0

    def circuits_for_load(a: float) -> float:
        return a * (mean + z) / (mean + z - 1) - mean - 1

    def excess(a: float) -> float:
        return a * erlang_b(max(0.0, circuits_for_load(a)), a) - mean

    rapp = variance + 3 * z * (z - 1)
    old, new = rapp, rapp * 1.01  # a few secant steps from this good initial value usually suffice
    excess_old = excess(old)
    for _ in range(8):
        excess_new = excess(new)
        if abs(excess_new) < 1e-11 * mean:
            if circuits_for_load(new) >= 0:
                return new, circuits_for_load(new)
            break
        if excess_new == excess_old:
            break
        old, new, excess_old = new, new - excess_new * (new - old) / (excess_new - excess_old), excess_new
        if not 0.3 * rapp < new < 3 * rapp:
            break
    # Below `min_load` the number of circuits would be negative. At it, all traffic overflows.
    min_load = (mean + 1) * (mean + z - 1) / (mean + z)
    low, high = max(min_load, rapp / 2), max(rapp, min_load) * 1.5
    while excess(low) < 0 and low > min_load:
        low = max(min_load, low / 1.5)
    while excess(high) > 0:
        high *= 1.5
        if high > MAX_LOAD:
            raise OutOfRangeError(f"peakedness is {z:g}: no group under {MAX_LOAD:g} erlangs overflows so")
    if excess(low) <= 0:
        return low, max(0.0, circuits_for_load(low))
    a = float(brentq(excess, low, high, rtol=1e-13))
    return a, max(0.0, circuits_for_load(a))


def wilkinson(circuits: float, mean: float, variance: float) -> float:
    """Returns the blocking of a peaky stream (Z >= 1) by the equivalent random method.

    For the overflow of random traffic it is within a few per cent of the exact call congestion. Raises
    OutOfRangeError.
    """
    a, n = equivalent_random(mean, variance)
    return a * erlang_b(n + circuits, a) / mean


def hayward(circuits: float, erlangs: float, peakedness: float = 1.0) -> float:
    """Returns the blocking by Hayward's approximation, B(N/Z, A/Z) (Fredericks, BSTJ 59, 1980). Z is 0.01 to
    100.

    It is faster and less accurate than `wilkinson`. It may understate the blocking of streams with a small
    mean (0.013 for 0.037 at a mean of 1 and Z of 2 on 6 circuits). The error is at most a quarter if the mean
    is at least ten times Z and the blocking is 0.5 to 20%. Raises OutOfRangeError.
    """
    check_range("peakedness", peakedness, MIN_Z, MAX_Z)
    return erlang_b(circuits / peakedness, erlangs / peakedness)


def bpp(circuits: int, erlangs: float, peakedness: float) -> tuple[float, float, float]:
    """Returns (time, call, traffic congestion) of Bernoulli-Poisson-Pascal traffic (Delbrouck, IEEE Trans.
    COM-29, 1981).

    With n calls established, the arrival rate is a + b n per holding time, where a = A/Z and b = 1 - 1/Z. The
    result is exact for Z = 1 and for A/(1 - Z) finite sources. If that is not an integer, negative rates are
    replaced by 0. Integer circuits up to 1e6; the relative error is about 1e-11. Raises OutOfRangeError.
    """
    check_range("circuits", circuits, 0, 1e6)
    check_range("erlangs", erlangs, 0, MAX_LOAD, exclude_low=True)
    check_range("peakedness", peakedness, MIN_Z, MAX_Z)
    a, b = erlangs / peakedness, 1 - 1 / peakedness
    n = np.arange(circuits + 1)
    rates = np.maximum(0.0, a + b * n)
    with np.errstate(divide="ignore"):
        logs = np.concatenate(([0.0], np.cumsum(np.log(rates[:-1]) - np.log(n[1:]))))
    p = np.exp(logs - logs.max())
    p /= p.sum()
    offered = float((rates * p).sum())
    carried = float((n * p).sum())
    call = float(rates[-1] * p[-1]) / offered if offered > 0 else 0.0
    return float(p[-1]), call, max(0.0, 1 - carried / erlangs)


def blocking(circuits: float, erlangs: float, peakedness: float = 1.0) -> float:
    """Returns the blocking by the formula for the given peakedness.

    It is Erlang B at 1, the equivalent random method above 1, and the traffic congestion of Bernoulli traffic
    below 1, whose logarithm is interpolated between integer circuits. Raises OutOfRangeError.
    """
    check_range("peakedness", peakedness, MIN_Z, MAX_Z)
    if erlangs == 0 or peakedness == 1:
        return erlang_b(circuits, erlangs)
    if peakedness > 1:
        return wilkinson(circuits, erlangs, erlangs * peakedness)
    low = int(circuits)
    at_low = bpp(low, erlangs, peakedness)[2]
    if circuits == low:
        return at_low
    at_high = bpp(low + 1, erlangs, peakedness)[2]
    if at_low <= 0 or at_high <= 0:
        return at_low + (circuits - low) * (at_high - at_low)
    return exp(log(at_low) + (circuits - low) * (log(at_high) - log(at_low)))


def circuits_for(erlangs: float, target: float, peakedness: float = 1.0) -> float:
    """Returns the real number of circuits at which `blocking` equals the target, 0 < target < 1.

    Raises OutOfRangeError.
    """
    check_range("target", target, 0, 1, True, True)
    check_range("erlangs", erlangs, 0, MAX_LOAD)
    check_range("peakedness", peakedness, MIN_Z, MAX_Z)
    if erlangs == 0:
        return 0.0
    return find_root(
        lambda n: blocking(n, erlangs, peakedness) - target,
        0.0,
        erlangs + sqrt(erlangs),
        MAX_LOAD,
        "circuits",
    )


def day_to_day(circuits: float, mean: float, variance: float, peakedness: float = 1.0) -> float:
    """Returns lost / offered traffic over days whose erlangs are gamma distributed with the given mean and
    variance (Wilkinson, Bell Labs 1958; Hill and Neal, BSTJ 55, 1976).

    64 Gauss-Laguerre points. The relative error is under 1e-4 for a coefficient of variation up to 0.7, as
    compared with adaptive quadrature. Raises OutOfRangeError.
    """
    check_range("variance", variance, 0, MAX_LOAD * MAX_LOAD)
    check_range("mean", mean, 0, MAX_LOAD, exclude_low=True)
    if variance == 0:
        return blocking(circuits, mean, peakedness)
    shape, scale = mean * mean / variance, variance / mean
    if shape > 150:  # so narrow that the Laguerre weights would overflow: normal instead
        points, weight = np.polynomial.hermite_e.hermegauss(24)
        loads = mean + sqrt(variance) * points
    else:
        points, weight = roots_genlaguerre(64, shape - 1)
        loads = scale * points
    weight = weight / weight.sum()
    lost = sum(
        float(w) * float(x) * blocking(circuits, float(x), peakedness)
        for x, w in zip(loads, weight, strict=True)
        if w > 1e-16 and x > 0
    )
    return lost / mean


def interrupted_poisson(mean: float, on: float, off: float) -> tuple[float, float]:
    """Returns (erlangs in the on phase, peakedness) of Kuczura's interrupted Poisson process (BSTJ 52, 1973).

    Random calls arrive in the on phases only. The phases are exponential with the given mean lengths in
    holding times. The process models recurring surges: rare on phases that are long relative to a holding
    time are peaky. `mean` is the mean traffic in erlangs. Exact for exponential holding times. Raises
    OutOfRangeError.
    """
    check_range("mean", mean, 0, MAX_LOAD, exclude_low=True)
    check_range("on", on, 0, 1e9, exclude_low=True)
    check_range("off", off, 0, 1e9)
    rate = mean * (on + off) / on
    if off == 0:
        return rate, 1.0
    leave_on, leave_off = 1 / on, 1 / off
    return rate, 1 + rate * leave_on / ((leave_on + leave_off) * (1 + leave_on + leave_off))


def interrupted_poisson_blocking(circuits: int, erlangs: float, on: float, off: float) -> tuple[float, float]:
    """Returns (call, time congestion) of an interrupted Poisson process; phases are in holding times.

    Solves the Markov chain of phase and busy circuits exactly, with a relative error of about 1e-9. Unlike
    the equivalent random method, which has two moments only, it accounts for the length of the surges; the
    two may differ by half. Raises OutOfRangeError over 20,000 circuits.
    """
    check_range("circuits", circuits, 0, 20_000)
    rate, _ = interrupted_poisson(erlangs, on, off)
    if off == 0:
        b = erlang_b(circuits, erlangs)
        return b, b
    n = np.arange(circuits + 1)
    states = circuits + 1  # of each phase
    down, up = diags([n[1:].astype(float)], [1]), diags([np.full(circuits, rate)], [-1])
    leave_off, leave_on = 1 / off, 1 / on
    off_block = down - diags(n + leave_off)
    on_block = down + up - diags(n + leave_on + np.where(n < circuits, rate, 0.0))
    one = identity(states)
    matrix = vstack([hstack([off_block, one * leave_on]), hstack([one * leave_off, on_block])]).tolil()
    matrix[0, :] = 1.0  # replaces a redundant equation: the probabilities add up to 1
    right = np.zeros(2 * states)
    right[0] = 1.0
    p = spsolve(matrix.tocsc(), right)
    all_busy_on = float(p[-1])
    return all_busy_on / float(p[states:].sum()), all_busy_on + float(p[states - 1])
