"""Blocking of one trunk group that is offered random (Poisson) or finite-source traffic.

Traffic is in erlangs. The number of circuits is an integer, or a real number where the docstring says so.
Probabilities are from 0 to 1. All functions raise `OutOfRangeError` with the name of the argument that is
outside its range.
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp, expm1, inf, isfinite, lgamma, log, log1p, pi, sqrt

from scipy.optimize import brentq

MAX_LOAD = 1e7  # circuits or erlangs; the accuracy is verified up to 1e6
MAX_TERMS = 200_000  # of a series or a continued fraction; about 10,000 are needed at 1e6 circuits


class OutOfRangeError(ValueError):
    """An argument is outside the range of a formula; the message has its name, its value and the range."""


def check_range(
    name: str, value: float, low: float, high: float, exclude_low: bool = False, exclude_high: bool = False
) -> None:
    """Raises OutOfRangeError unless the value is in the range. NaN and infinity are always rejected."""
    in_range = (
        isfinite(value)
        and (value > low if exclude_low else value >= low)
        and (value < high if exclude_high else value <= high)
    )
    if not in_range:
        span = f"{'over' if exclude_low else 'from'} {low:g} {'and under' if exclude_high else 'to'} {high:g}"
        raise OutOfRangeError(f"{name} is {value:g}; it must be {span}")


def _stirling_error(n: float) -> float:
    """Returns ln n! minus Stirling's formula (C. Loader, Fast and accurate computation of binomial
    probabilities, 2000).
    """
    if n < 16:
        return lgamma(n + 1) - (n + 0.5) * log(n) + n - 0.5 * log(2 * pi)
    m = n * n
    return (1 / 12 - (1 / 360 - (1 / 1260 - (1 / 1680 - (1 / 1188) / m) / m) / m) / m) / n


def _deviance(x: float, mean: float) -> float:
    """Returns x ln(x / mean) + mean - x without cancellation for x close to the mean (Loader, as above)."""
    if abs(x - mean) >= 0.1 * (x + mean):
        return x * log(x / mean) + mean - x
    v = (x - mean) / (x + mean)
    total, power, k = (x - mean) * v, 2 * x * v, 1
    while True:
        power *= v * v
        new = total + power / (2 * k + 1)
        if new == total:
            return new
        total, k = new, k + 1


def log_poisson(n: float, mean: float) -> float:
    """Returns the logarithm of mean^n e^-mean / Gamma(n + 1) for real n >= 0 and mean > 0.

    Uses Loader's saddle-point form. The absolute error is about 1e-15 times the magnitude of the result.
    """
    if n == 0:
        return -mean
    if n < 1e-3:
        return n * log(mean) - mean - lgamma(n + 1)
    return -_stirling_error(n) - _deviance(n, mean) - 0.5 * log(2 * pi * n)


def log_erlang_b(circuits: float, erlangs: float) -> float:
    """Returns the natural logarithm of `erlang_b`, which does not underflow.

    The arguments, the errors and the source are those of `erlang_b`.
    """
    check_range("erlangs", erlangs, 0, MAX_LOAD)
    check_range("circuits", circuits, 0, MAX_LOAD)
    if erlangs == 0:
        return 0.0 if circuits == 0 else -inf
    n, a = circuits, erlangs
    if a <= n + 1:
        # 1/B = 1/p - S with the Poisson term p and the increasing series S. The difference loses no digits,
        # since Q(n+1, a) > 0.3 here.
        term = total = 1.0
        k = n
        for _ in range(MAX_TERMS):
            k += 1
            term *= a / k
            total += term
            if term < 1e-17 * total:
                break
        log_p = log_poisson(n, a)
        return log_p - log1p(-exp(log_p) * (total - 1.0))
    # Otherwise the continued fraction of the incomplete gamma function (DLMF 8.9.2) by Lentz's method; all
    # terms are positive.
    tiny = 1e-300
    b = a - n
    c, d = 1 / tiny, 1 / b
    h = d
    for k in range(1, MAX_TERMS):
        num = k * (n + 1 - k)
        b += 2
        d = num * d + b
        c = b + num / c
        d = 1 / (d or tiny)
        step = c * d
        h *= step
        if abs(step - 1) < 1e-16:
            break
    return -log(a * h)


def erlang_b(circuits: float, erlangs: float) -> float:
    """Returns the fraction of Poisson calls that find all circuits busy (Erlang 1917, loss formula).

    circuits: real, 0 to 1e7. Between integers the incomplete gamma function interpolates (Jagerman, BSTJ 53,
    1974). erlangs: 0 to 1e7. The relative error is under 1e-9 up to 1e6 circuits. A result below 1e-308
    underflows to 0; use `log_erlang_b` there. Raises OutOfRangeError.
    """
    return exp(log_erlang_b(circuits, erlangs))


def erlang_b_recursion(circuits: int, erlangs: float) -> float:
    """Returns Erlang B by the textbook recursion 1/B(n) = 1 + n/A 1/B(n-1), the baseline of the benchmark."""
    check_range("erlangs", erlangs, 0, MAX_LOAD, exclude_low=True)
    b = 1.0
    for n in range(1, int(circuits) + 1):
        b = erlangs * b / (n + erlangs * b)
    return b


def erlang_b_slopes(circuits: float, erlangs: float) -> tuple[float, float]:
    """Returns (dB/dA per erlang, dB/dN per circuit) for erlangs > 0.

    dB/dA is exact, B (N/A - 1 + B). dB/dN comes from differences of ln B with Richardson extrapolation, with
    a relative error of about 1e-7. Raises OutOfRangeError.
    """
    check_range("erlangs", erlangs, 0, MAX_LOAD, exclude_low=True)
    b = erlang_b(circuits, erlangs)
    step = 0.01 * max(1.0, sqrt(erlangs))
    if circuits < 2 * step:
        step = max(circuits, 1e-4) / 4
    center = max(circuits, 2 * step)

    def slope(h: float) -> float:
        return (log_erlang_b(center + h, erlangs) - log_erlang_b(center - h, erlangs)) / (2 * h)

    return b * ((circuits - erlangs) / erlangs + b), b * (4 * slope(step / 2) - slope(step)) / 3


def find_root(f: Callable[[float], float], low: float, step: float, max_x: float, what: str) -> float:
    """Returns the root of a decreasing function, or `low` if the function is not positive there.

    The root is bracketed by doubling, with the first interval of length `step`, and then found by Brent's
    method. `what` names the result in the message of the OutOfRangeError for a root over `max_x`.
    """
    if f(low) <= 0:
        return low
    high = low + step
    while f(high) > 0:
        if high >= max_x:
            raise OutOfRangeError(f"{what} would have to be over {max_x:g}")
        low, high = high, min(max_x, 2 * high + step)
    return float(brentq(f, low, high, xtol=1e-12 * max(1.0, high), rtol=1e-14, maxiter=200))


def circuits_for(erlangs: float, target: float) -> float:
    """Returns the real number of circuits at which `erlang_b` equals the target, 0 < target < 1.

    `round_up` gives the number of circuits to install. Brent's method on ln B; the relative error is about
    1e-11. Raises OutOfRangeError.
    """
    check_range("target", target, 0, 1, True, True)
    check_range("erlangs", erlangs, 0, MAX_LOAD)
    if erlangs == 0:
        return 0.0
    log_target = log(target)
    start = max(0.0, erlangs * (1 - target) - 1)
    if log_erlang_b(start, erlangs) < log_target:
        start = 0.0
    return find_root(
        lambda n: log_erlang_b(n, erlangs) - log_target, start, 1 + sqrt(erlangs), MAX_LOAD, "circuits"
    )


def erlangs_for(circuits: float, target: float) -> float:
    """Returns the traffic in erlangs at which `erlang_b` equals the target, 0 < target < 1 and circuits > 0.

    The relative error is about 1e-11. Raises OutOfRangeError.
    """
    check_range("target", target, 0, 1, True, True)
    check_range("circuits", circuits, 0, MAX_LOAD, exclude_low=True)
    log_target = log(target)
    high = max(1.0, circuits)
    while log_erlang_b(circuits, high) < log_target:
        if high >= MAX_LOAD:
            raise OutOfRangeError(f"erlangs would have to be over {MAX_LOAD:g}")
        high = min(2 * high, MAX_LOAD)
    low = min(high, circuits) / 2
    while log_erlang_b(circuits, low) > log_target:
        low /= 8
        if low < 1e-280:
            raise OutOfRangeError(
                f"target is {target:g}: no traffic is small enough on {circuits:g} circuits"
            )
    return float(brentq(lambda a: log_erlang_b(circuits, a) - log_target, low, high, xtol=1e-300, rtol=1e-14))


def round_up(circuits: float) -> int:
    """Returns the circuits rounded up. A relative excess of up to 1 in 1e9 over an integer is ignored."""
    return int(-(-(circuits - 1e-9 * max(1.0, circuits)) // 1)) if circuits > 0 else 0


def erlang_c(circuits: float, erlangs: float) -> float:
    """Returns the fraction of Poisson calls that wait in a system without loss (Erlang 1917, delay formula).

    It is 1 where the traffic reaches the number of circuits, a real number > 0. The relative error is that of
    `erlang_b`. Raises OutOfRangeError.
    """
    check_range("circuits", circuits, 0, MAX_LOAD, exclude_low=True)
    b = erlang_b(circuits, erlangs)
    if erlangs >= circuits:
        return 1.0
    return b / (1 - erlangs / circuits * (1 - b))


def erlang_a(circuits: int, erlangs: float, patience: float) -> tuple[float, float]:
    """Returns (fraction that waits, fraction lost) where blocked calls wait and abandon after an exponential
    patience (Palm 1937; Garnett, Mandelbaum, Reiman 2002).

    It models a group whose blocked calls a softswitch may queue for a while. `patience` is the mean patience
    in holding times; 0 gives Erlang B. Integer circuits up to 1e5; the relative error is about 1e-12. Raises
    OutOfRangeError.
    """
    check_range("circuits", circuits, 1, 1e5)
    check_range("patience", patience, 0, 1e6)
    check_range("erlangs", erlangs, 0, MAX_LOAD)
    b = erlang_b(circuits, erlangs)
    if patience == 0 or erlangs == 0:
        return b, b
    # Weights of the states with k calls waiting, relative to the state with all circuits busy and no queue.
    term, waiting, lost, k = 1.0, 1.0, 0.0, 0
    while k < 10_000_000:
        k += 1
        term *= erlangs / (circuits + k / patience)
        waiting += term
        lost += term * k / patience
        if term * (k + 1) < 1e-17 * max(waiting, lost) and erlangs < circuits + k / patience:
            break
    else:
        raise OutOfRangeError(
            f"patience is {patience:g}: too long for {erlangs:g} erlangs on {circuits} circuits"
        )
    total = 1 / b - 1 + waiting  # 1/b: the states with 0 to all circuits busy, relative to the last of them
    return waiting / total, lost / total / erlangs


def loss_with_fixed_wait(circuits: float, erlangs: float, held: float) -> float:
    """Returns the fraction lost where a blocked call waits a fixed time for a circuit and is then lost
    (Baccelli and Hebuterne 1981, M/M/N+D; Barrer 1957).

    It models a softswitch that queues blocked calls for as long as they can still meet their latency
    objective. `held` is the length of that wait in holding times; 0 gives Erlang B. Real circuits, 1 or more;
    the relative error is about 1e-9. Raises OutOfRangeError.
    """
    check_range("circuits", circuits, 1, MAX_LOAD)
    check_range("held", held, 0, 1e6)
    check_range("erlangs", erlangs, 0, MAX_LOAD)
    if held == 0 or erlangs == 0:
        return erlang_b(circuits, erlangs)
    drift = (circuits - erlangs) * held
    full_wait = exp(-drift) / circuits if drift > -700 else inf
    if full_wait == inf:
        return 1 - circuits / erlangs  # the queue never empties, so that all circuits are always busy
    short_wait = held if abs(drift) < 1e-12 else -expm1(-drift) / (circuits - erlangs)
    # Weights relative to the state with all circuits but one busy: no wait, a wait below `held`, the full
    # wait.
    no_wait = 1 / erlang_b(circuits - 1, erlangs)
    return erlangs * full_wait / (no_wait + erlangs * (short_wait + full_wait))


def engset(circuits: int, sources: int, each: float) -> tuple[float, float]:
    """Returns (time congestion, call congestion) of a group with finitely many sources (Engset 1918).

    each: erlangs offered by one idle source. Integer circuits and sources, up to 1e6. The call congestion is
    the time congestion of the same group with one source less. The relative error is about 1e-12. Raises
    OutOfRangeError.
    """
    check_range("circuits", circuits, 0, 1e6)
    check_range("sources", sources, 1, 1e7)
    check_range("each", each, 0, 1e6)

    def time_congestion(s: int) -> float:
        if circuits > s:
            return 0.0
        e = 1.0
        for n in range(1, circuits + 1):
            x = each * (s - n + 1) * e
            e = x / (n + x)
        return e

    return time_congestion(sources), time_congestion(sources - 1) if circuits else 1.0


def erlang_b_redials(circuits: float, erlangs: float, again: float) -> tuple[float, float]:
    """Returns (blocking of one attempt, erlangs with redials) by the extended Erlang B formula,
    A' = A + again A' B(N, A').

    A blocked call redials with probability `again`, 0 to under 1. Redials are taken as fresh random calls.
    That holds if callers wait several holding times before they redial, and overstates the blocking if they
    redial at once. The fixed point is found to 1e-12 of A'. Raises OutOfRangeError.
    """
    check_range("again", again, 0, 1, exclude_high=True)
    check_range("erlangs", erlangs, 0, MAX_LOAD)
    if erlangs == 0 or again == 0:
        return erlang_b(circuits, erlangs), erlangs

    def imbalance(total: float) -> float:
        return total * (1 - again * erlang_b(circuits, total)) - erlangs

    total = float(brentq(imbalance, erlangs, erlangs / (1 - again) * (1 + 1e-12), rtol=1e-13))
    return erlang_b(circuits, total), total


def lost_after_redials(blocking: float, tries: int, again: float) -> float:
    """Returns the fraction of calls that are never carried, with at most `tries` attempts each.

    Each attempt is blocked independently with the same probability, and a blocked attempt is followed by a
    redial with probability `again`. Raises OutOfRangeError.
    """
    check_range("blocking", blocking, 0, 1)
    check_range("again", again, 0, 1)
    check_range("tries", tries, 1, 1000)
    lost, pending = 0.0, 1.0
    for n in range(tries):
        pending *= blocking
        redials = again if n + 1 < tries else 0.0
        lost += pending * (1 - redials)
        pending *= redials
    return lost


def surge_peak(erlangs: float, factor: float, lasted: float) -> float:
    """Returns the erlangs at the end of a surge to `factor` times the traffic.

    `lasted` is the length of the surge in holding times. The result is the mean load of an infinite group,
    which follows a step of the call rate exponentially (Palm 1943). Raises OutOfRangeError.
    """
    check_range("erlangs", erlangs, 0, MAX_LOAD)
    check_range("factor", factor, 0, 1e6)
    check_range("lasted", lasted, 0, 1e9)
    return erlangs * (1 + (factor - 1) * -expm1(-lasted))
