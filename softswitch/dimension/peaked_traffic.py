"""Traffic that is peakier or smoother than random: overflow, surges, finite crowds, days that differ.

A stream is told by its mean in erlangs and its peakedness Z, the variance over the mean of the circuits it
would hold in a group without end: 1 for random traffic, over 1 for overflow and surges, under 1 for few
sources.
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

MOST_Z, LEAST_Z = 100.0, 0.01


def overflow(circuits: float, erlangs: float) -> tuple[float, float]:
    """(mean, variance) in erlangs of what random traffic overflows from so many circuits (Riordan, in
    Wilkinson, BSTJ 35, 1956, appendix). Circuits may be real; exact for whole ones. Raises OutOfRangeError.
    """
    mean = erlangs * erlang_b(circuits, erlangs)
    if erlangs == 0:
        return 0.0, 0.0
    return mean, mean * (1 - mean + erlangs / (circuits + 1 - erlangs + mean))


def combine(*streams: tuple[float, float]) -> tuple[float, float]:
    """(mean, variance) of independent streams together, each given as (mean, variance)."""
    return sum(m for m, _ in streams), sum(v for _, v in streams)


@lru_cache(maxsize=4096)
def equivalent_random(mean: float, variance: float) -> tuple[float, float]:
    """(erlangs, circuits) of the group whose overflow has these moments: Wilkinson's equivalent random
    method (BSTJ 35, 1956). Rapp's formula (1964) starts it; the moments are then met to 1e-10.

    Peakedness 1 to 100; mean > 0. Raises OutOfRangeError.
    """
    check_range("mean", mean, 0, MAX_LOAD, exclude_low=True)
    z = variance / mean
    check_range("peakedness", z, 1, MOST_Z)
    if z < 1 + 1e-9:
        return mean, 0.0

    def circuits_of(a: float) -> float:
        return a * (mean + z) / (mean + z - 1) - mean - 1

    def too_much(a: float) -> float:
        return a * erlang_b(max(0.0, circuits_of(a)), a) - mean

    rapp = variance + 3 * z * (z - 1)
    old, new = rapp, rapp * 1.01  # secant steps from so good a start mostly settle at once
    of_old = too_much(old)
    for _ in range(8):
        of_new = too_much(new)
        if abs(of_new) < 1e-11 * mean:
            if circuits_of(new) >= 0:
                return new, circuits_of(new)
            break
        if of_new == of_old:
            break
        old, new, of_old = new, new - of_new * (new - old) / (of_new - of_old), of_new
        if not 0.3 * rapp < new < 3 * rapp:
            break
    # Below `least` the circuits would be fewer than none; there the overflow is the whole traffic.
    least = (mean + 1) * (mean + z - 1) / (mean + z)
    low, high = max(least, rapp / 2), max(rapp, least) * 1.5
    while too_much(low) < 0 and low > least:
        low = max(least, low / 1.5)
    while too_much(high) > 0:
        high *= 1.5
        if high > MAX_LOAD:
            raise OutOfRangeError(f"peakedness is {z:g}: no group under {MAX_LOAD:g} erlangs overflows so")
    if too_much(low) <= 0:
        return low, max(0.0, circuits_of(low))
    a = float(brentq(too_much, low, high, rtol=1e-13))
    return a, max(0.0, circuits_of(a))


def wilkinson(circuits: float, mean: float, variance: float) -> float:
    """Blocking of a peaky stream (Z >= 1) on so many circuits by the equivalent random method. Known to be
    within a few per cent of exact call congestion for overflow of random traffic. Raises OutOfRangeError.
    """
    a, n = equivalent_random(mean, variance)
    return a * erlang_b(n + circuits, a) / mean


def hayward(circuits: float, erlangs: float, peakedness: float = 1.0) -> float:
    """Blocking of a stream of this peakedness: B(N/Z, A/Z) (Fredericks, BSTJ 59, 1980). Z of 0.01 to 100.

    Quicker than `wilkinson` and rougher: it may understate small means (0.013 for 0.037 at a mean of 1 and Z
    of 2 on 6 circuits); a quarter at most where the mean is ten times Z or more and blocking 0.5 to 20%.
    Raises OutOfRangeError.
    """
    check_range("peakedness", peakedness, LEAST_Z, MOST_Z)
    return erlang_b(circuits / peakedness, erlangs / peakedness)


def bpp(circuits: int, erlangs: float, peakedness: float) -> tuple[float, float, float]:
    """(time, call, traffic congestion) of Bernoulli-Poisson-Pascal traffic: calls come at a + b n while n are
    up, with a = A/Z and b = 1 - 1/Z per holding time (Delbrouck, IEEE Trans. COM-29, 1981).

    Exact for Z = 1 and for finite sources, A/(1 - Z) of them; where that is no whole number the rate is cut
    at nought. Whole circuits up to 1e6; relative error about 1e-11. Raises OutOfRangeError.
    """
    check_range("circuits", circuits, 0, 1e6)
    check_range("erlangs", erlangs, 0, MAX_LOAD, exclude_low=True)
    check_range("peakedness", peakedness, LEAST_Z, MOST_Z)
    a, b = erlangs / peakedness, 1 - 1 / peakedness
    n = np.arange(circuits + 1)
    rates = np.maximum(0.0, a + b * n)
    with np.errstate(divide="ignore"):
        logs = np.concatenate(([0.0], np.cumsum(np.log(rates[:-1]) - np.log(n[1:]))))
    p = np.exp(logs - logs.max())
    p /= p.sum()
    came = float((rates * p).sum())
    carried = float((n * p).sum())
    call = float(rates[-1] * p[-1]) / came if came > 0 else 0.0
    return float(p[-1]), call, max(0.0, 1 - carried / erlangs)


def blocking(circuits: float, erlangs: float, peakedness: float = 1.0) -> float:
    """Blocking by the formula that fits the peakedness: Erlang B at 1, the equivalent random method over it,
    and under it the traffic congestion of Bernoulli traffic (between whole circuits, interpolated in its
    logarithm). Raises OutOfRangeError.
    """
    check_range("peakedness", peakedness, LEAST_Z, MOST_Z)
    if erlangs == 0 or peakedness == 1:
        return erlang_b(circuits, erlangs)
    if peakedness > 1:
        return wilkinson(circuits, erlangs, erlangs * peakedness)
    low = int(circuits)
    first = bpp(low, erlangs, peakedness)[2]
    if circuits == low:
        return first
    second = bpp(low + 1, erlangs, peakedness)[2]
    if first <= 0 or second <= 0:
        return first + (circuits - low) * (second - first)
    return exp(log(first) + (circuits - low) * (log(second) - log(first)))


def circuits_for(erlangs: float, target: float, peakedness: float = 1.0) -> float:
    """Real circuits at which `blocking` is the target (0 < target < 1). Raises OutOfRangeError."""
    check_range("target", target, 0, 1, True, True)
    check_range("erlangs", erlangs, 0, MAX_LOAD)
    check_range("peakedness", peakedness, LEAST_Z, MOST_Z)
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
    """Blocking over days whose traffic differs: lost over offered where a day's erlangs are gamma with this
    mean and variance (Wilkinson, Bell Labs 1958; Hill and Neal, BSTJ 55, 1976).

    64 Gauss-Laguerre points; relative error under 1e-4 for a coefficient of variation up to 0.7 (checked
    against adaptive quadrature). Raises OutOfRangeError.
    """
    check_range("variance", variance, 0, MAX_LOAD * MAX_LOAD)
    check_range("mean", mean, 0, MAX_LOAD, exclude_low=True)
    if variance == 0:
        return blocking(circuits, mean, peakedness)
    shape, scale = mean * mean / variance, variance / mean
    if shape > 150:  # so narrow that the points' weights would overflow: by moments of the normal instead
        at, weight = np.polynomial.hermite_e.hermegauss(24)
        loads = mean + sqrt(variance) * at
    else:
        at, weight = roots_genlaguerre(64, shape - 1)
        loads = scale * at
    weight = weight / weight.sum()
    lost = sum(
        float(w) * float(x) * blocking(circuits, float(x), peakedness)
        for x, w in zip(loads, weight, strict=True)
        if w > 1e-16 and x > 0
    )
    return lost / mean


def interrupted_poisson(mean: float, on: float, off: float) -> tuple[float, float]:
    """(erlangs while on, peakedness) of random calls that come only while a switch is on, with exponential
    phases of these mean lengths in holding times: Kuczura's interrupted Poisson process (BSTJ 52, 1973).

    The model of a surge that comes and goes: on seldom and long against a holding time is peaky. `mean` is
    the mean traffic in erlangs. Exact for exponential holding times. Raises OutOfRangeError.
    """
    check_range("mean", mean, 0, MAX_LOAD, exclude_low=True)
    check_range("on", on, 0, 1e9, exclude_low=True)
    check_range("off", off, 0, 1e9)
    rate = mean * (on + off) / on
    if off == 0:
        return rate, 1.0
    ends, begins = 1 / on, 1 / off
    return rate, 1 + rate * ends / ((ends + begins) * (1 + ends + begins))


def interrupted_poisson_blocking(circuits: int, erlangs: float, on: float, off: float) -> tuple[float, float]:
    """(call, time congestion) of a switched stream of this mean on whole circuits; phases in holding times.

    The chain of phase and busy circuits, solved exactly; relative error about 1e-9. Beside the equivalent
    random method, which knows two moments, this knows how long a surge lasts: the two may differ by half.
    Raises OutOfRangeError over 20,000 circuits.
    """
    check_range("circuits", circuits, 0, 20_000)
    rate, _ = interrupted_poisson(erlangs, on, off)
    if off == 0:
        b = erlang_b(circuits, erlangs)
        return b, b
    n = np.arange(circuits + 1)
    wide = circuits + 1
    down, up = diags([n[1:].astype(float)], [1]), diags([np.full(circuits, rate)], [-1])
    leave_off, leave_on = 1 / off, 1 / on
    idle = down - diags(n + leave_off)
    busy = down + up - diags(n + leave_on + np.where(n < circuits, rate, 0.0))
    one = identity(wide)
    matrix = vstack([hstack([idle, one * leave_on]), hstack([one * leave_off, busy])]).tolil()
    matrix[0, :] = 1.0  # one equation is redundant: the chances add up to one
    right = np.zeros(2 * wide)
    right[0] = 1.0
    p = spsolve(matrix.tocsc(), right)
    full = float(p[-1])
    return full / float(p[wide:].sum()), full + float(p[wide - 1])
