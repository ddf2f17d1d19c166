"""Estimates of offered traffic from measurements: mean with an interval, peakedness, and stationarity.

Blocking censors the carried load, since a blocked call holds no circuit, and redials inflate the number of
attempts. Therefore the offered traffic is the rate of first attempts times the holding time, and not the
carried load. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, inf, log, sqrt

import numpy as np
from scipy.optimize import minimize_scalar
from scipy.stats import chi2, f, t

from softswitch.dimension.loss import OutOfRangeError, check_range
import itertools

MIN_ENDED = 5  # ended calls that an estimate of the holding time needs, and first attempts for a rate
BATCHES = (8, 40)  # min and max number of batches of a batch-means interval
MIN_BOOTSTRAP_ATTEMPTS = 25  # a sample with fewer first attempts gets no bootstrap interval


@dataclass(frozen=True, slots=True)
class Sample:
    """Measurements of one stream: first attempts by slot, and totals of the established calls."""

    slot: float  # seconds
    first_attempts: np.ndarray  # shape (slots,)
    call_seconds: float  # time integral of the number of established calls
    ended: int
    sum_squared_hold: float  # sum of the squared durations of the ended calls, in seconds squared
    redials: int = 0  # attempts that are not first attempts
    blocked: int = 0  # attempts that got no circuit

    @property
    def seconds(self) -> float:
        """Length of the sample."""
        return self.slot * len(self.first_attempts)

    def __post_init__(self) -> None:
        check_range("slot", self.slot, 0, 1e9, exclude_low=True)
        check_range("call_seconds", self.call_seconds, 0, 1e15)
        check_range("ended", self.ended, 0, 1e15)
        if (
            len(self.first_attempts) == 0
            or not np.all(np.isfinite(self.first_attempts))
            or np.any(self.first_attempts < 0)
        ):
            raise OutOfRangeError(
                "first attempts must be counts by slot: at least one slot, and no count under 0"
            )


def merge_samples(samples: Sequence[Sample]) -> Sample:
    """Adds up the samples of one stream from several softswitches, slot by slot, over the shortest sample."""
    if not samples or len({s.slot for s in samples}) != 1:
        raise OutOfRangeError("slot: at least one sample is needed, and all must have the same slot length")
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
    """A point estimate with its confidence interval at the given level."""

    value: float
    low: float
    high: float
    level: float = 0.95

    @property
    def half_width(self) -> float:
        """Half the width of the interval, relative to its midpoint."""
        return (self.high - self.low) / (self.high + self.low) if self.high + self.low > 0 else inf


@dataclass(frozen=True, slots=True)
class Estimate:
    """Estimate of the offered traffic of one stream."""

    erlangs: Interval
    rate: Interval  # first attempts per second
    hold: Interval  # seconds
    hold_cv2: float  # squared coefficient of variation of the holding time
    peakedness: Interval
    method: str  # how the interval was made: `random` or `batches`
    bootstrap: Interval | None  # of `erlangs`, by block bootstrap if the sample is long enough
    seconds: float  # length of the sample
    first_attempts: int
    redial_share: float  # redials / all attempts
    segments: list[Segment]  # more than one if the traffic is not stationary
    more_seconds: float  # further measuring time that the requested precision needs; 0 if it is reached

    @property
    def steady(self) -> bool:
        """Whether no change of the rate was detected."""
        return len(self.segments) <= 1


@dataclass(frozen=True, slots=True)
class Segment:
    """A part of a sample in which no change of the rate of first attempts was detected."""

    start: float  # seconds from the start of the sample
    end: float
    rate: float  # first attempts per second


def holding_time(sample: Sample, level: float = 0.95) -> tuple[Interval, float]:
    """Returns (mean holding time, its squared coefficient of variation).

    The mean is call-seconds over ended calls, the maximum-likelihood estimate for exponential times under
    censoring (Epstein and Sobel, JASA 48, 1953): calls in progress at the end count with their duration so
    far. The interval takes the variance from the measured sum of squares. Raises OutOfRangeError if fewer
    than `MIN_ENDED` calls have ended.
    """
    if sample.ended < MIN_ENDED:
        raise OutOfRangeError(
            f"ended: only {sample.ended} calls have ended in {sample.seconds:g} s, and "
            f"{MIN_ENDED} are needed for a holding time; measure longer"
        )
    mean = sample.call_seconds / sample.ended
    measured_cv2 = sample.sum_squared_hold / sample.ended / mean**2 - 1
    # The measured value is rough on few calls, and too small if the longest calls have not ended in the
    # sample. The prior is exponential times (1); it weighs as much as 20 calls, and more in a short sample.
    prior_weight = 20 + sample.ended * min(20.0, 10 * mean / sample.seconds)
    cv2 = max(0.05, (measured_cv2 * sample.ended + prior_weight) / (sample.ended + prior_weight))
    dof = 2 * sample.ended / cv2
    tail = (1 - level) / 2
    return Interval(mean, mean * dof / chi2.ppf(1 - tail, dof), mean * dof / chi2.ppf(tail, dof), level), cv2


def dispersion(counts: np.ndarray) -> float:
    """Returns the index of dispersion of counts, variance / mean: 1 for random calls, NaN without calls."""
    mean = float(counts.mean())
    return float(counts.var(ddof=1)) / mean if mean > 0 and len(counts) > 1 else float("nan")


def burstiness(sample: Sample) -> tuple[float, float]:
    """Returns (c, tau), the autocovariance of the arrivals, in calls per second and seconds.

    The model of the autocovariance per call is c exp(-u/tau). Then the index of dispersion of counts over T
    is 1 + 2 c tau (1 - (1 - e^-x)/x), x = T/tau. c and tau are fitted to the dispersion over spans of 1, 2,
    4, ... slots, each weighted by the number of spans. (0, slot) if the sample is too short or has no calls.
    """
    counts, spans, excess, weights = sample.first_attempts, [], [], []
    width = 1
    while len(counts) // width >= 8:
        n = len(counts) // width
        excess.append(dispersion(counts[: n * width].reshape(n, width).sum(axis=1)) - 1)
        spans.append(width * sample.slot)
        weights.append(float(n))
        width *= 2
    if not excess or not np.all(np.isfinite(excess)):
        return 0.0, sample.slot
    x, y, w = np.array(spans), np.array(excess), np.array(weights)

    def shape(tau: float) -> np.ndarray:
        r: np.ndarray = 2 * tau * (1 + np.expm1(-x / tau) * tau / x)
        return r

    def fit(tau: float) -> tuple[float, float]:
        s = shape(tau)
        c = float((w * s * y).sum() / (w * s * s).sum())
        return c, float((w * (y - c * s) ** 2).sum())

    best = minimize_scalar(
        lambda u: fit(exp(u))[1],
        method="bounded",
        bounds=(log(sample.slot / 4), log(max(sample.slot, x[-1]))),
    )
    tau = exp(float(best.x))
    return fit(tau)[0], tau


def peakedness(sample: Sample, hold: float) -> float:
    """Returns the peakedness Z = 1 + c / (1/hold + 1/tau), with c and tau of `burstiness`.

    It holds for exponential holding times of mean `hold` (Eckberg, ITC 10, 1983). Z is under 1 for smooth
    traffic, and is limited to 0.05 to 100.
    """
    c, tau = burstiness(sample)
    return min(100.0, max(0.05, 1 + c / (1 / hold + 1 / tau)))


def phases(sample: Sample, hold: float) -> tuple[float, float] | None:
    """Returns the mean phases (on, off) in holding times of the interrupted Poisson process (Kuczura 1973)
    that has the mean and the burstiness of the sample, or None if the traffic is not peaky.

    The rate in the on phase is mean + c, and 1/on + 1/off = 1/tau.
    """
    c, tau = burstiness(sample)
    rate = float(sample.first_attempts.sum()) / sample.seconds
    if c <= 0 or rate <= 0:
        return None
    on_fraction = rate / (rate + c)
    return tau / (1 - on_fraction) / hold, tau / on_fraction / hold


def segments(sample: Sample, hold: float, confidence: float = 0.99) -> list[Segment]:
    """Splits the sample where the rate of first attempts changes; one segment if the sample is too short.

    Binary segmentation on the CUSUM of block counts (Vostrikova 1981). Blocks last at least 10 holding times
    and 20 calls. The noise is estimated from successive differences (von Neumann 1941), on which a change of
    level has little effect. So stationary peaky traffic is not split. `confidence` is the probability of no
    false split by the distribution of a Brownian bridge. As the noise is estimated, short samples are split a
    little more often.
    """
    rate = float(sample.first_attempts.sum()) / sample.seconds
    unsplit = [Segment(0.0, sample.seconds, rate)]
    if rate <= 0:
        return unsplit
    width = max(1, int(np.ceil(max(10 * hold, 20 / rate) / sample.slot)))
    n = len(sample.first_attempts) // width
    if n < 8:
        return unsplit
    blocks = sample.first_attempts[: n * width].reshape(n, width).sum(axis=1)
    limit = sqrt(-log((1 - confidence) / 2) / 2)  # first term of the tail of Kolmogorov's distribution
    cuts: list[int] = []

    def split(low: int, high: int) -> None:
        part = blocks[low:high]
        if len(part) < 6:
            return
        noise = sqrt(max(float((np.diff(part) ** 2).mean()) / 2, float(part.mean()), 1e-12))
        sums = np.cumsum(part - part.mean())[:-1]
        k = int(np.abs(sums).argmax())
        # The bound of the Brownian bridge, widened for a finite number of blocks with estimated noise.
        if abs(sums[k]) / (noise * sqrt(len(part))) > limit * (1 + 1.5 / len(part)):
            split(low, low + k + 1)
            cuts.append(low + k + 1)
            split(low + k + 1, high)

    split(0, n)
    edges = [0, *cuts, n]
    found = []
    for a, b in itertools.pairwise(edges):
        end = sample.seconds if b == n else b * width * sample.slot
        found.append(
            Segment(a * width * sample.slot, end, float(blocks[a:b].sum()) / ((b - a) * width * sample.slot))
        )
    return found


def _batch_means(sample: Sample, hold: float) -> tuple[float, float] | None:
    """Returns (variance of ln rate, degrees of freedom) by batch means; None if the sample is too short.

    The batches are long relative to a holding time, so that bursts average out within them.
    """
    total = float(sample.first_attempts.sum())
    for min_holds in (12, 8, 4, 2):
        for n in range(BATCHES[1], BATCHES[0] - 1, -1):
            width = len(sample.first_attempts) // n
            if width and width * sample.slot >= min_holds * hold and total / n >= 5:
                batches = sample.first_attempts[: n * width].reshape(n, width).sum(axis=1)
                mean = float(batches.mean())
                return float(batches.var(ddof=1)) / n / mean**2, float(n - 1)
    return None


def bootstrap(
    sample: Sample, hold: float, level: float = 0.95, draws: int = 2_000, seed: int = 1
) -> Interval | None:
    """Returns the percentile interval of the offered traffic by the circular block bootstrap (Politis and
    Romano 1992).

    Slot counts are resampled in blocks, and holding times are drawn from their chi-square distribution. None
    for a sample of fewer than 12 blocks, whose percentiles would be too narrow.
    """
    width = max(
        1, int(np.ceil(max(4 * hold, len(sample.first_attempts) ** (1 / 3) * sample.slot) / sample.slot))
    )
    n = len(sample.first_attempts) // width
    if n < 12 or sample.first_attempts.sum() < MIN_BOOTSTRAP_ATTEMPTS:
        return None
    random = np.random.default_rng(seed)
    circular = np.concatenate([sample.first_attempts, sample.first_attempts[:width]])
    sums = np.concatenate([[0.0], np.cumsum(circular)])
    starts = random.integers(0, len(sample.first_attempts), (draws, n))
    rates = (sums[starts + width] - sums[starts]).sum(axis=1) / (n * width * sample.slot)
    interval, cv2 = holding_time(sample, level)
    dof = 2 * sample.ended / cv2
    # Resampling n blocks understates the variance by n / (n - 1).
    rates = rates.mean() + (rates - rates.mean()) * sqrt(n / (n - 1))
    loads = np.maximum(0, rates) * interval.value * dof / random.chisquare(dof, draws)
    low, high = np.quantile(loads, ((1 - level) / 2, (1 + level) / 2))
    return Interval(
        float(sample.first_attempts.sum()) / sample.seconds * interval.value, float(low), float(high), level
    )


def looks_random(sample: Sample) -> bool:
    """Tells whether the counts are consistent with random calls, by the dispersion test (Fisher 1925).

    Two-sided at three spans, with a joint significance level of 1%.
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
    """Returns the offered traffic with its interval. `precision` is the requested relative half-width.

    If the counts are consistent with random calls, the interval is that of a ratio of two gamma variables, an
    F distribution. It is exact for random calls with exponential holding times, except for the censoring.
    Otherwise it is a t interval of the logarithm by batch means, combined with that of the holding time by
    Welch and Satterthwaite. Raises OutOfRangeError if there are too few ended calls or first attempts.
    """
    check_range("level", level, 0.5, 0.9999)
    check_range("precision", precision, 1e-4, 1)
    hold, cv2 = holding_time(sample, level)
    first = int(sample.first_attempts.sum())
    if first < MIN_ENDED:
        raise OutOfRangeError(
            f"first: only {first} first attempts in {sample.seconds:g} s, and {MIN_ENDED} are needed "
            "for a rate; measure longer"
        )
    rate = first / sample.seconds
    value, tail = rate * hold.value, (1 - level) / 2
    batches = _batch_means(sample, hold.value)
    effective_ended = sample.ended / cv2
    random = looks_random(sample) or batches is None
    if random:
        a, b = 2 * first + 1, 2 * effective_ended + 1
        low, high = (value * float(f.ppf(q, a, b)) for q in (tail, 1 - tail))
        rate_low, rate_high = (float(chi2.ppf(q, a)) / 2 / sample.seconds for q in (tail, 1 - tail))
    else:
        assert batches is not None
        variance, dof = batches
        joint_variance = variance + 1 / effective_ended
        joint_dof = joint_variance**2 / (variance**2 / dof + effective_ended**-2 / (2 * effective_ended))
        half = float(t.ppf(1 - tail, joint_dof)) * sqrt(joint_variance)
        low, high = value * exp(-half), value * exp(half)
        half = float(t.ppf(1 - tail, dof)) * sqrt(variance)
        rate_low, rate_high = rate * exp(-half), rate * exp(half)
    erlangs = Interval(value, low, high, level)
    z = peakedness(sample, hold.value)
    found_segments = segments(sample, hold.value)
    missing = (erlangs.half_width / precision) ** 2 - 1  # further measurement, relative to the sample
    return Estimate(
        erlangs,
        Interval(rate, rate_low, rate_high, level),
        hold,
        cv2,
        _peakedness_interval(sample, hold.value, z, level),
        "random" if random else "batches",
        bootstrap(sample, hold.value, level),
        sample.seconds,
        first,
        sample.redials / (sample.redials + first),
        found_segments,
        max(0.0, missing) * sample.seconds,
    )


def _peakedness_interval(sample: Sample, hold: float, z: float, level: float) -> Interval:
    """Returns the t interval of ln Z by the jackknife, which leaves out one of 8 to 20 parts at a time."""
    n = min(20, max(8, len(sample.first_attempts) // 16))
    width = len(sample.first_attempts) // n
    if width < 8:
        return Interval(z, min(z, 0.05), max(z, 100.0), level)  # the sample is too short
    logs = []
    for k in range(n):
        remaining = np.delete(sample.first_attempts, slice(k * width, (k + 1) * width))
        logs.append(
            log(
                peakedness(
                    Sample(
                        sample.slot, remaining, sample.call_seconds, sample.ended, sample.sum_squared_hold
                    ),
                    hold,
                )
            )
        )
    standard_error = sqrt((n - 1) / n * float(((np.array(logs) - np.mean(logs)) ** 2).sum()))
    half = float(t.ppf((1 + level) / 2, n - 1)) * standard_error
    return Interval(z, z * exp(-half), z * exp(half), level)
