"""Offered traffic from what was measured: its mean with an interval, its peakedness, and whether it stood
still.

What is measured is censored by blocking (calls that found no circuit held none) and swollen by redials. So
the offered traffic is the rate of first tries times the holding time, and not the load carried. Times in
seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, inf, log, sqrt

import numpy as np
from scipy.optimize import minimize_scalar
from scipy.stats import chi2, f, t

from softswitch.dimension.loss import OutOfRangeError, need
import itertools

LEAST_ENDED = 5  # calls that must have ended before a holding time is told at all
BATCHES = (8, 40)  # the fewest and most batches of a batch-means interval
CROWD = 25  # first tries under which a random stream is taken for random: nothing else can be told


@dataclass(frozen=True, slots=True)
class Sample:
    """What a record has of one stream: first tries by slot, and the calls that stood."""

    slot: float  # seconds
    first_attempts: np.ndarray  # shape (slots,)
    call_seconds: float  # integral of calls up
    ended: int
    sum_squared_hold: float  # sum of squares of the seconds that ended calls stood
    redials: int = 0
    blocked: int = 0

    @property
    def seconds(self) -> float:
        return self.slot * len(self.first_attempts)

    def __post_init__(self) -> None:
        need("slot", self.slot, 0, 1e9, open_low=True)
        need("call_seconds", self.call_seconds, 0, 1e15)
        need("ended", self.ended, 0, 1e15)
        if (
            len(self.first_attempts) == 0
            or not np.all(np.isfinite(self.first_attempts))
            or np.any(self.first_attempts < 0)
        ):
            raise OutOfRangeError("first tries are counts by slot, at least one slot and none under 0")


def merge_samples(samples: Sequence[Sample]) -> Sample:
    """Several softswitches' shares of one stream, slot by slot; the shortest decides how long."""
    if not samples or len({s.slot for s in samples}) != 1:
        raise OutOfRangeError("slot: samples of one stream are at least one, all with the same slot")
    n = min(len(s.first_attempts) for s in samples)
    return Sample(
        samples[0].slot,
        np.sum([s.first_attempts[:n] for s in samples], axis=0),
        sum(s.call_seconds for s in samples),
        sum(s.ended for s in samples),
        sum(s.sum_squared_hold for s in samples),
        sum(s.redials for s in samples),
        sum(s.blocked for s in samples),
    )


@dataclass(frozen=True, slots=True)
class Interval:
    """A figure with the bounds that hold it at this level of confidence."""

    value: float
    low: float
    high: float
    level: float = 0.95

    @property
    def half_width(self) -> float:
        """Half the interval over its middle."""
        return (self.high - self.low) / (self.high + self.low) if self.high + self.low > 0 else inf


@dataclass(frozen=True, slots=True)
class Estimate:
    """Offered traffic of one stream."""

    erlangs: Interval
    rate: Interval  # first tries a second
    hold: Interval  # seconds
    hold_cv2: float  # squared coefficient of variation of the holding time
    peakedness: Interval
    method: str  # how the interval was made: `random` or `batches`
    bootstrap: Interval | None  # the same figure by block bootstrap, where the sample is long enough
    seconds: float
    first_attempts: int
    redial_share: float  # redials over all tries
    segments: list[Segment]  # more than one where the traffic did not stand still
    more_seconds: float  # to measure on for the precision asked for; 0 if it is reached

    @property
    def steady(self) -> bool:
        return len(self.segments) <= 1


@dataclass(frozen=True, slots=True)
class Segment:
    """A stretch in which the rate of first tries stood still, as far as can be told."""

    start: float  # seconds from the sample's begin
    end: float
    rate: float  # first tries a second


def holding(sample: Sample, level: float = 0.95) -> tuple[Interval, float]:
    """(mean holding time, its squared coefficient of variation). Calls still up at the end count with the
    time that they have stood: call-seconds over calls ended, the maximum-likelihood figure for exponential
    times under censoring (Epstein and Sobel, JASA 48, 1953). Its interval takes the counted squares for the
    spread.

    Raises OutOfRangeError under `LEAST_ENDED` calls ended.
    """
    if sample.ended < LEAST_ENDED:
        raise OutOfRangeError(
            f"ended: only {sample.ended} calls have ended in {sample.seconds:g} s, and "
            f"{LEAST_ENDED} are needed for a holding time; measure longer"
        )
    mean = sample.call_seconds / sample.ended
    spread = sample.sum_squared_hold / sample.ended / mean**2 - 1
    # The counted spread is rough on few calls, and too small where the longest have not ended in the time;
    # exponential times (1) are the prior, of 20 calls' worth and more the shorter the sample.
    prior = 20 + sample.ended * min(20.0, 10 * mean / sample.seconds)
    cv2 = max(0.05, (spread * sample.ended + prior) / (sample.ended + prior))
    dof = 2 * sample.ended / cv2
    tail = (1 - level) / 2
    return Interval(mean, mean * dof / chi2.ppf(1 - tail, dof), mean * dof / chi2.ppf(tail, dof), level), cv2


def dispersion(counts: np.ndarray) -> float:
    """Variance over mean of counts (index of dispersion); 1 for random calls. nan without calls."""
    mean = float(counts.mean())
    return float(counts.var(ddof=1)) / mean if mean > 0 and len(counts) > 1 else float("nan")


def burstiness(sample: Sample) -> tuple[float, float]:
    """(c, tau): how the arrivals of a stream hang together, in calls a second and seconds.

    The covariance of the arrivals is taken for c exp(-u/tau) per call: then the dispersion of counts over T
    is 1 + 2 c tau (1 - (1 - e^-x)/x), x = T/tau. c and tau are fitted to the dispersion over spans of 1, 2,
    4, ... slots, each weighted by its number of spans. (0, slot) where nothing can be told.
    """
    counts, spans, seen, weights = sample.first_attempts, [], [], []
    width = 1
    while len(counts) // width >= 8:
        n = len(counts) // width
        seen.append(dispersion(counts[: n * width].reshape(n, width).sum(axis=1)) - 1)
        spans.append(width * sample.slot)
        weights.append(float(n))
        width *= 2
    if not seen or not np.all(np.isfinite(seen)):
        return 0.0, sample.slot
    x, y, w = np.array(spans), np.array(seen), np.array(weights)

    def shape(tau: float) -> np.ndarray:
        r: np.ndarray = 2 * tau * (1 + np.expm1(-x / tau) * tau / x)
        return r

    def fitted(tau: float) -> tuple[float, float]:
        s = shape(tau)
        c = float((w * s * y).sum() / (w * s * s).sum())
        return c, float((w * (y - c * s) ** 2).sum())

    best = minimize_scalar(
        lambda u: fitted(exp(u))[1],
        method="bounded",
        bounds=(log(sample.slot / 4), log(max(sample.slot, x[-1]))),
    )
    tau = exp(float(best.x))
    return fitted(tau)[0], tau


def peakedness(sample: Sample, hold: float) -> float:
    """Z from counts by slot, corrected for the holding time: 1 + c / (1/hold + 1/tau) with the `burstiness`,
    for exponential holding times (Eckberg, ITC 10, 1983). Under 1 for smooth traffic; within 0.05 to 100.
    """
    c, tau = burstiness(sample)
    return min(100.0, max(0.05, 1 + c / (1 / hold + 1 / tau)))


def phases(sample: Sample, hold: float) -> tuple[float, float] | None:
    """(on, off) in holding times of the switched stream (Kuczura 1973) with this mean and burstiness, which
    settle it: while on the rate is mean + c, and 1/on + 1/off = 1/tau. None for traffic that is not peaky.
    """
    c, tau = burstiness(sample)
    rate = float(sample.first_attempts.sum()) / sample.seconds
    if c <= 0 or rate <= 0:
        return None
    share = rate / (rate + c)
    return tau / (1 - share) / hold, tau / share / hold


def segments(sample: Sample, hold: float, sure: float = 0.99) -> list[Segment]:
    """Cuts the sample where the rate of first tries changes, by binary segmentation on the CUSUM of block
    counts (Vostrikova 1981). Blocks last at least ten holding times and 20 calls. The noise is taken from
    successive differences (von Neumann 1941), which a change of level leaves small, so that peaky traffic
    that stands still is not cut. One segment where nothing can be told. `sure`: against a false cut, as a
    Brownian bridge has it; block noise is estimated, so that short samples cut a little more often.
    """
    rate = float(sample.first_attempts.sum()) / sample.seconds
    whole = [Segment(0.0, sample.seconds, rate)]
    if rate <= 0:
        return whole
    width = max(1, int(np.ceil(max(10 * hold, 20 / rate) / sample.slot)))
    n = len(sample.first_attempts) // width
    if n < 8:
        return whole
    blocks = sample.first_attempts[: n * width].reshape(n, width).sum(axis=1)
    limit = sqrt(-log((1 - sure) / 2) / 2)  # Kolmogorov's tail, first term
    cuts: list[int] = []

    def cut(low: int, high: int) -> None:
        part = blocks[low:high]
        if len(part) < 6:
            return
        noise = sqrt(max(float((np.diff(part) ** 2).mean()) / 2, float(part.mean()), 1e-12))
        sums = np.cumsum(part - part.mean())[:-1]
        k = int(np.abs(sums).argmax())
        # a finite number of blocks: the bridge's bound with the t-like widening of estimated noise
        if abs(sums[k]) / (noise * sqrt(len(part))) > limit * (1 + 1.5 / len(part)):
            cut(low, low + k + 1)
            cuts.append(low + k + 1)
            cut(low + k + 1, high)

    cut(0, n)
    edges = [0, *cuts, n]
    found = []
    for a, b in itertools.pairwise(edges):
        to = sample.seconds if b == n else b * width * sample.slot
        found.append(
            Segment(a * width * sample.slot, to, float(blocks[a:b].sum()) / ((b - a) * width * sample.slot))
        )
    return found


def _batched(sample: Sample, hold: float) -> tuple[float, float] | None:
    """(variance of ln rate, degrees of freedom) by batch means: batches long against a holding time, so that
    what is peaky within them averages out. None where the sample is too short for it.
    """
    total = float(sample.first_attempts.sum())
    for long in (12, 8, 4, 2):
        for n in range(BATCHES[1], BATCHES[0] - 1, -1):
            width = len(sample.first_attempts) // n
            if width and width * sample.slot >= long * hold and total / n >= 5:
                batches = sample.first_attempts[: n * width].reshape(n, width).sum(axis=1)
                mean = float(batches.mean())
                return float(batches.var(ddof=1)) / n / mean**2, float(n - 1)
    return None


def bootstrap(
    sample: Sample, hold: float, level: float = 0.95, draws: int = 2_000, seed: int = 1
) -> Interval | None:
    """Offered traffic by the circular block bootstrap (Politis and Romano 1992) of slot counts, with holding
    times drawn from their chi-square law; percentiles. None for a sample under 12 blocks: percentiles of so
    few are too narrow.
    """
    width = max(
        1, int(np.ceil(max(4 * hold, len(sample.first_attempts) ** (1 / 3) * sample.slot) / sample.slot))
    )
    n = len(sample.first_attempts) // width
    if n < 12 or sample.first_attempts.sum() < CROWD:
        return None
    random = np.random.default_rng(seed)
    around = np.concatenate([sample.first_attempts, sample.first_attempts[:width]])
    sums = np.concatenate([[0.0], np.cumsum(around)])
    begins = random.integers(0, len(sample.first_attempts), (draws, n))
    rates = (sums[begins + width] - sums[begins]).sum(axis=1) / (n * width * sample.slot)
    interval, cv2 = holding(sample, level)
    dof = 2 * sample.ended / cv2
    # So few blocks spread too little by n / (n - 1).
    rates = rates.mean() + (rates - rates.mean()) * sqrt(n / (n - 1))
    loads = np.maximum(0, rates) * interval.value * dof / random.chisquare(dof, draws)
    low, high = np.quantile(loads, ((1 - level) / 2, (1 + level) / 2))
    return Interval(
        float(sample.first_attempts.sum()) / sample.seconds * interval.value, float(low), float(high), level
    )


def looks_random(sample: Sample) -> bool:
    """Whether the counts pass for random calls: the dispersion test (Fisher 1925) at three spans, two-sided
    at 1% together.
    """
    for width in (1, 4, 16):
        n = len(sample.first_attempts) // width
        if n < 8:
            break
        counts = sample.first_attempts[: n * width].reshape(n, width).sum(axis=1)
        if counts.mean() <= 0:
            return True
        x = dispersion(counts) * (n - 1)
        if not chi2.ppf(0.01 / 6, n - 1) <= x <= chi2.ppf(1 - 0.01 / 6, n - 1):
            return False
    return True


def estimate(sample: Sample, level: float = 0.95, precision: float = 0.05) -> Estimate:
    """Offered traffic with its interval; `precision`: the half-width over the middle that is wanted.

    Where the counts pass for random calls the interval is that of a ratio of two gamma laws, an F
    distribution (exact for random calls with exponential holding times, but for the censoring). Else it is a
    t interval on the logarithm by batch means, joined with the holding time's by Welch and Satterthwaite.
    Raises OutOfRangeError where too few calls have ended to tell anything.
    """
    need("level", level, 0.5, 0.9999)
    need("precision", precision, 1e-4, 1)
    hold, cv2 = holding(sample, level)
    first = int(sample.first_attempts.sum())
    if first < LEAST_ENDED:
        raise OutOfRangeError(
            f"first: only {first} first tries in {sample.seconds:g} s, and {LEAST_ENDED} are needed "
            "for a rate; measure longer"
        )
    rate = first / sample.seconds
    value, tail = rate * hold.value, (1 - level) / 2
    batches = _batched(sample, hold.value)
    ended = sample.ended / cv2
    random = looks_random(sample) or batches is None
    if random:
        a, b = 2 * first + 1, 2 * ended + 1
        low, high = (value * float(f.ppf(q, a, b)) for q in (tail, 1 - tail))
        rate_low, rate_high = (float(chi2.ppf(q, a)) / 2 / sample.seconds for q in (tail, 1 - tail))
    else:
        assert batches is not None
        spread, dof = batches
        both = spread + 1 / ended
        joint = both**2 / (spread**2 / dof + ended**-2 / (2 * ended))
        wide = float(t.ppf(1 - tail, joint)) * sqrt(both)
        low, high = value * exp(-wide), value * exp(wide)
        wide = float(t.ppf(1 - tail, dof)) * sqrt(spread)
        rate_low, rate_high = rate * exp(-wide), rate * exp(wide)
    erlangs = Interval(value, low, high, level)
    z = peakedness(sample, hold.value)
    parts = segments(sample, hold.value)
    short = (erlangs.half_width / precision) ** 2 - 1
    return Estimate(
        erlangs,
        Interval(rate, rate_low, rate_high, level),
        hold,
        cv2,
        _z_interval(sample, hold.value, z, level),
        "random" if random else "batches",
        bootstrap(sample, hold.value, level),
        sample.seconds,
        first,
        sample.redials / (sample.redials + first),
        parts,
        max(0.0, short) * sample.seconds,
    )


def _z_interval(sample: Sample, hold: float, z: float, level: float) -> Interval:
    """Peakedness by leaving out one of eight to twenty parts at a time (jackknife), a t interval on ln Z."""
    n = min(20, max(8, len(sample.first_attempts) // 16))
    width = len(sample.first_attempts) // n
    if width < 8:
        return Interval(z, min(z, 0.05), max(z, 100.0), level)  # nothing can be told
    logs = []
    for k in range(n):
        left = np.delete(sample.first_attempts, slice(k * width, (k + 1) * width))
        logs.append(
            log(
                peakedness(
                    Sample(sample.slot, left, sample.call_seconds, sample.ended, sample.sum_squared_hold),
                    hold,
                )
            )
        )
    spread = sqrt((n - 1) / n * float(((np.array(logs) - np.mean(logs)) ** 2).sum()))
    wide = float(t.ppf((1 + level) / 2, n - 1)) * spread
    return Interval(z, z * exp(-wide), z * exp(wide), level)
