"""Blocking of one trunk group offered random (Poisson) or finite-source traffic.

Traffic is in erlangs, circuits are a count and may be real where the docstring says so, probabilities are
0 to 1. All functions raise `OutOfRangeError` with the argument's name on what has no answer.
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp, expm1, inf, isfinite, lgamma, log, log1p, pi, sqrt

from scipy.optimize import brentq

MOST = 1e7  # circuits or erlangs; accuracy was checked up to 1e6
STEPS = 200_000  # terms of a series or a continued fraction; at 1e6 circuits some 10,000 are needed


class OutOfRangeError(ValueError):
    """An argument for which a formula has no answer; the text names it, its value and what is allowed."""


def need(
    name: str, value: float, low: float, high: float, open_low: bool = False, open_high: bool = False
) -> None:
    """Checks one argument; NaN and infinity never pass."""
    good = (
        isfinite(value)
        and (value > low if open_low else value >= low)
        and (value < high if open_high else value <= high)
    )
    if not good:
        span = f"{'over' if open_low else 'from'} {low:g} {'and under' if open_high else 'to'} {high:g}"
        raise OutOfRangeError(f"{name} is {value:g}; it must be {span}")


def _stirling_error(n: float) -> float:
    """Ln n! less Stirling's formula (C. Loader, Fast and accurate computation of binomial probabilities,
    2000).
    """
    if n < 16:
        return lgamma(n + 1) - (n + 0.5) * log(n) + n - 0.5 * log(2 * pi)
    m = n * n
    return (1 / 12 - (1 / 360 - (1 / 1260 - (1 / 1680 - (1 / 1188) / m) / m) / m) / m) / n


def _deviance(x: float, mean: float) -> float:
    """X ln(x / mean) + mean - x, without loss of digits where the two are close (Loader, as above)."""
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
    """Ln of mean^n e^-mean / Gamma(n + 1), for real n >= 0 and mean > 0; absolute error about 1e-15 times
    the result's size (Loader's saddle-point form).
    """
    if n == 0:
        return -mean
    if n < 1e-3:
        return n * log(mean) - mean - lgamma(n + 1)
    return -_stirling_error(n) - _deviance(n, mean) - 0.5 * log(2 * pi * n)


def log_erlang_b(circuits: float, erlangs: float) -> float:
    """Natural logarithm of `erlang_b`, which does not underflow. Same arguments, errors and source."""
    need("erlangs", erlangs, 0, MOST)
    need("circuits", circuits, 0, MOST)
    if erlangs == 0:
        return 0.0 if circuits == 0 else -inf
    n, a = circuits, erlangs
    if a <= n + 1:
        # 1/B = 1/p - S: p the Poisson term, S the rising series; it loses no digits as Q(n+1, a) > 0.3 here.
        term = total = 1.0
        k = n
        for _ in range(STEPS):
            k += 1
            term *= a / k
            total += term
            if term < 1e-17 * total:
                break
        point = log_poisson(n, a)
        return point - log1p(-exp(point) * (total - 1.0))
    # Else the continued fraction of the incomplete gamma function (DLMF 8.9.2), by Lentz: all terms positive.
    tiny = 1e-300
    b = a - n
    c, d = 1 / tiny, 1 / b
    h = d
    for k in range(1, STEPS):
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
    """Share of Poisson calls that find all circuits busy (Erlang 1917, loss formula).

    circuits: real, 0 to 1e7 (between whole numbers by the incomplete gamma function, Jagerman, BSTJ 53,
    1974); erlangs: 0 to 1e7. Relative error under 1e-9 up to 1e6 circuits; below 1e-308 it is 0, see
    `log_erlang_b`. Raises OutOfRangeError.
    """
    return exp(log_erlang_b(circuits, erlangs))


def erlang_b_recursion(circuits: int, erlangs: float) -> float:
    """The textbook recursion 1/B(n) = 1 + n/A 1/B(n-1), kept as the plain alternative of the benchmark."""
    need("erlangs", erlangs, 0, MOST, open_low=True)
    b = 1.0
    for n in range(1, int(circuits) + 1):
        b = erlangs * b / (n + erlangs * b)
    return b


def erlang_b_slopes(circuits: float, erlangs: float) -> tuple[float, float]:
    """(dB/dA per erlang, dB/dN per circuit). The first is exact, B (N/A - 1 + B); the second by differences
    of ln B with Richardson's step, relative error about 1e-7. Raises OutOfRangeError; erlangs > 0.
    """
    need("erlangs", erlangs, 0, MOST, open_low=True)
    b = erlang_b(circuits, erlangs)
    step = 0.01 * max(1.0, sqrt(erlangs))
    if circuits < 2 * step:
        step = max(circuits, 1e-4) / 4
    at = max(circuits, 2 * step)

    def slope(h: float) -> float:
        return (log_erlang_b(at + h, erlangs) - log_erlang_b(at - h, erlangs)) / (2 * h)

    return b * ((circuits - erlangs) / erlangs + b), b * (4 * slope(step / 2) - slope(step)) / 3


def _falls_to(f: Callable[[float], float], low: float, step: float, most: float, what: str) -> float:
    """Where f, which falls from above nought, crosses nought: brackets by doubling, then Brent's method."""
    if f(low) <= 0:
        return low
    high = low + step
    while f(high) > 0:
        if high >= most:
            raise OutOfRangeError(f"{what} would have to be over {most:g}")
        low, high = high, min(most, 2 * high + step)
    return float(brentq(f, low, high, xtol=1e-12 * max(1.0, high), rtol=1e-14, maxiter=200))


def circuits_for(erlangs: float, target: float) -> float:
    """Real circuits at which `erlang_b` is the target; `round_up` rounds it up. 0 < target < 1.

    Brent's method on ln B; relative error about 1e-11. Raises OutOfRangeError.
    """
    need("target", target, 0, 1, True, True)
    need("erlangs", erlangs, 0, MOST)
    if erlangs == 0:
        return 0.0
    goal = log(target)
    start = max(0.0, erlangs * (1 - target) - 1)
    if log_erlang_b(start, erlangs) < goal:
        start = 0.0
    return _falls_to(lambda n: log_erlang_b(n, erlangs) - goal, start, 1 + sqrt(erlangs), MOST, "circuits")


def erlangs_for(circuits: float, target: float) -> float:
    """Traffic in erlangs at which `erlang_b` of these circuits is the target. 0 < target < 1, circuits > 0.

    Relative error about 1e-11. Raises OutOfRangeError.
    """
    need("target", target, 0, 1, True, True)
    need("circuits", circuits, 0, MOST, open_low=True)
    goal = log(target)
    high = max(1.0, circuits)
    while log_erlang_b(circuits, high) < goal:
        if high >= MOST:
            raise OutOfRangeError(f"erlangs would have to be over {MOST:g}")
        high = min(2 * high, MOST)
    low = min(high, circuits) / 2
    while log_erlang_b(circuits, low) > goal:
        low /= 8
        if low < 1e-280:
            raise OutOfRangeError(
                f"target is {target:g}: no traffic is small enough on {circuits:g} circuits"
            )
    return float(brentq(lambda a: log_erlang_b(circuits, a) - goal, low, high, xtol=1e-300, rtol=1e-14))


def round_up(circuits: float) -> int:
    """Circuits rounded up, where a hair over a whole number (1 in 1e9) counts as that number."""
    return int(-(-(circuits - 1e-9 * max(1.0, circuits)) // 1)) if circuits > 0 else 0


def erlang_c(circuits: float, erlangs: float) -> float:
    """Share of Poisson calls that wait where none is lost (Erlang 1917, delay formula); 1 at or over
    capacity.

    circuits real > 0; relative error as `erlang_b`. Raises OutOfRangeError.
    """
    need("circuits", circuits, 0, MOST, open_low=True)
    b = erlang_b(circuits, erlangs)
    if erlangs >= circuits:
        return 1.0
    return b / (1 - erlangs / circuits * (1 - b))


def erlang_a(circuits: int, erlangs: float, patience: float) -> tuple[float, float]:
    """(share that waits, share lost) where blocked calls are held and give up after an exponential patience
    (Palm 1937; Garnett, Mandelbaum, Reiman 2002). `patience`: its mean in holding times; 0 gives Erlang B.

    This is what a softswitch makes of a group whose calls it may hold for a while. Whole circuits up to 1e5;
    relative error about 1e-12. Raises OutOfRangeError.
    """
    need("circuits", circuits, 1, 1e5)
    need("patience", patience, 0, 1e6)
    need("erlangs", erlangs, 0, MOST)
    b = erlang_b(circuits, erlangs)
    if patience == 0 or erlangs == 0:
        return b, b
    # Weights of the states over the circuits, beside the one with all circuits busy and nobody waiting.
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
    total = 1 / b - 1 + waiting  # 1/b: all states up to the full group, beside the full one
    return waiting / total, lost / total / erlangs


def loss_with_fixed_wait(circuits: float, erlangs: float, held: float) -> float:
    """Share lost where a call that finds no circuit is held for a fixed time, `held` holding times, takes the
    first circuit that falls free and is lost after that (Baccelli and Hebuterne 1981, M/M/N+D; Barrer 1957).

    What a softswitch makes of a group by holding calls for as long as they can still stand within their aim.
    0 gives Erlang B. Circuits real, 1 or more; relative error about 1e-9. Raises OutOfRangeError.
    """
    need("circuits", circuits, 1, MOST)
    need("held", held, 0, 1e6)
    need("erlangs", erlangs, 0, MOST)
    if held == 0 or erlangs == 0:
        return erlang_b(circuits, erlangs)
    drift = (circuits - erlangs) * held
    tail = exp(-drift) / circuits if drift > -700 else inf
    if tail == inf:
        return 1 - circuits / erlangs  # a queue that never empties: what is served is all circuits can
    between = held if abs(drift) < 1e-12 else -expm1(-drift) / (circuits - erlangs)
    # In units of the chance that all circuits but one are busy: no wait, a wait under `held`, one over it.
    none = 1 / erlang_b(circuits - 1, erlangs)
    return erlangs * tail / (none + erlangs * (between + tail))


def engset(circuits: int, sources: int, each: float) -> tuple[float, float]:
    """(time congestion, call congestion) of a group with finitely many sources (Engset 1918).

    each: erlangs offered by one idle source; whole circuits and sources, up to 1e6. The call congestion is
    the time congestion that a source finds among the others. Relative error about 1e-12.
    Raises OutOfRangeError.
    """
    need("circuits", circuits, 0, 1e6)
    need("sources", sources, 1, 1e7)
    need("each", each, 0, 1e6)

    def time_share(s: int) -> float:
        if circuits > s:
            return 0.0
        e = 1.0
        for n in range(1, circuits + 1):
            x = each * (s - n + 1) * e
            e = x / (n + x)
        return e

    return time_share(sources), time_share(sources - 1) if circuits else 1.0


def erlang_b_redials(circuits: float, erlangs: float, again: float) -> tuple[float, float]:
    """(blocking of one try, erlangs with redials) where a blocked call dials again with chance `again`
    (0 to 1, not 1): the extended Erlang B formula, A' = A + again A' B(N, A').

    It takes redials for fresh random calls, which holds while they wait several holding times and overstates
    the blocking where they come at once. Fixed point to 1e-12 of A'. Raises OutOfRangeError.
    """
    need("again", again, 0, 1, open_high=True)
    need("erlangs", erlangs, 0, MOST)
    if erlangs == 0 or again == 0:
        return erlang_b(circuits, erlangs), erlangs

    def missing(total: float) -> float:
        return total * (1 - again * erlang_b(circuits, total)) - erlangs

    total = float(brentq(missing, erlangs, erlangs / (1 - again) * (1 + 1e-12), rtol=1e-13))
    return erlang_b(circuits, total), total


def lost_after_redials(blocking: float, tries: int, again: float) -> float:
    """Share of calls never served when each blocked try is followed by another with chance `again`, at most
    `tries` tries in all, each blocked alike and independently. Raises OutOfRangeError.
    """
    need("blocking", blocking, 0, 1)
    need("again", again, 0, 1)
    need("tries", tries, 1, 1000)
    lost, open_ = 0.0, 1.0
    for n in range(tries):
        open_ *= blocking
        stays = again if n + 1 < tries else 0.0
        lost += open_ * (1 - stays)
        open_ *= stays
    return lost


def surge_peak(erlangs: float, factor: float, lasted: float) -> float:
    """Erlangs at the end of a surge to `factor` times the traffic that lasted so many holding times: offered
    load follows a jump exponentially (Palm 1943: mean of an infinite group). Raises OutOfRangeError.
    """
    need("erlangs", erlangs, 0, MOST)
    need("factor", factor, 0, 1e6)
    need("lasted", lasted, 0, 1e9)
    return erlangs * (1 + (factor - 1) * -expm1(-lasted))
