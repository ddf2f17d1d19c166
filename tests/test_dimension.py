"""Compares the loss formulas with 60-digit arithmetic, published tables and each other."""

from math import exp, log, sqrt
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mpmath import gammainc, mp, mpf, quad

from softswitch.dimension import loss, peaked_traffic, widths
from softswitch.dimension.loss import OutOfRangeError


def exact_log_b(circuits, erlangs):
    """Returns ln B to 60 digits: A^N e^-A over the upper incomplete gamma function of N + 1."""
    with mp.workdps(60):
        n, a = mpf(circuits), mpf(erlangs)
        return float(mp.log(a) * n - a - mp.log(gammainc(n + 1, a)))


def random_points(count, max_exponent, seed):
    random = Random(seed)
    for _ in range(count):
        a = 10 ** random.uniform(-3, max_exponent)
        n = random.choice(
            (
                a * random.uniform(0, 3),
                10 ** random.uniform(-2, max_exponent),
                max(0.0, a + random.uniform(-4, 4) * sqrt(a)),
            )
        )
        yield (float(int(n)) if random.random() < 0.5 else n), a


def test_erlang_b_at_400_points_up_to_10_000_circuits():
    max_error = 0.0
    for n, a in random_points(400, 4, 1):
        actual, expected = loss.log_erlang_b(n, a), exact_log_b(n, a)
        max_error = max(max_error, abs(actual - expected) / max(1.0, abs(expected) * 1e-3))
    assert max_error < 1e-9, max_error


@pytest.mark.parametrize(
    ("n", "a"),
    [
        (1e6, 1e6),
        (999_000, 1e6),
        (1_001_000, 1e6),
        (1e6, 990_000),
        (100_000, 1e6),
        (1e6, 5e6),
        (123_456.5, 123_400),
    ],
)
def test_erlang_b_at_a_million_circuits(n, a):
    with mp.workdps(40):  # 1/B = A int e^-At (1+t)^N dt, scaled by the max of the integrand
        peak, width = max(0.0, (n - a) / a), 1 / sqrt(max(n, a))
        log_max = mpf(n) * mp.log1p(peak) - mpf(a) * peak
        span = [max(0.0, peak - 14 * width), peak, peak + (14 * width if peak else 80 / (a - n + sqrt(a)))]
        if span[0] == peak:
            span = span[1:]
        integral = quad(lambda t: mp.exp(mpf(n) * mp.log1p(t) - mpf(a) * t - log_max), span, maxdegree=12)
        expected = float(-mp.log(mpf(a) * integral) - log_max)
    assert abs(loss.log_erlang_b(n, a) - expected) < 1e-9 * max(1.0, abs(expected))


# ITU-T E.501/E.521 and textbook tables of the first Erlang formula: traffic at a blocking of 1% and 5%.
@pytest.mark.parametrize(
    ("n", "at_1", "at_5"),
    [
        (1, 0.0101, 0.0526),
        (2, 0.153, 0.381),
        (5, 1.36, 2.22),
        (10, 4.46, 6.22),
        (20, 12.0, 15.2),
        (30, 20.3, 24.8),
        (50, 37.9, 44.5),
        (100, 84.1, 95.2),
    ],
)
def test_published_tables(n, at_1, at_5):
    assert loss.erlangs_for(n, 0.01) == pytest.approx(at_1, rel=5e-3)
    assert loss.erlangs_for(n, 0.05) == pytest.approx(at_5, rel=5e-3)


@settings(max_examples=200, deadline=None)
@given(st.floats(0.01, 5e4), st.floats(1e-8, 0.9))
def test_inverses_match_erlang_b(a, target):
    n = loss.circuits_for(a, target)
    if n > 0:
        assert log(loss.erlang_b(n, a) / target) == pytest.approx(0, abs=1e-8)
        assert loss.erlangs_for(n, target) == pytest.approx(a, rel=1e-8)
    needed = loss.round_up(n)
    assert loss.erlang_b(needed, a) <= target * (1 + 1e-6)
    assert needed == 0 or loss.erlang_b(needed - 1, a) > target * (1 - 1e-6)


@settings(max_examples=100, deadline=None)
@given(st.integers(1, 300), st.floats(0.1, 400))
def test_formulas_agree_in_common_special_cases(n, a):
    b = loss.erlang_b_recursion(n, a)
    assert loss.erlang_b(n, a) == pytest.approx(b, rel=1e-10)
    assert peaked_traffic.bpp(n, a, 1.0) == pytest.approx((b, b, b), rel=1e-8)
    assert widths.blocking(n, [widths.Stream(a)]) == pytest.approx([b], rel=1e-9)
    assert loss.erlang_a(n, a, 0) == (pytest.approx(b), pytest.approx(b))
    assert loss.erlang_b_redials(n, a, 0)[0] == pytest.approx(b)
    da, dn = loss.erlang_b_slopes(n, a)
    step = 1e-4 * a
    assert da == pytest.approx((loss.erlang_b(n, a + step) - loss.erlang_b(n, a - step)) / 2 / step, rel=1e-4)
    assert dn <= 0 <= da
    # A group with an overflow group loses as much as one group with all circuits.
    first = max(1, n // 3)
    mean, variance = peaked_traffic.overflow(first, a)
    if mean > 1e-6 and variance / mean < 90:
        assert peaked_traffic.wilkinson(n - first, mean, variance) * mean == pytest.approx(
            a * b, rel=1e-5, abs=1e-12
        )


def test_engset_matches_the_markov_chain():
    for circuits, sources, each in ((3, 5, 0.4), (10, 30, 0.2), (5, 5, 2.0), (8, 4, 1.0)):
        weights = [1.0]
        for k in range(min(circuits, sources)):
            weights.append(weights[-1] * each * (sources - k) / (k + 1))
        time_congestion = weights[circuits] / sum(weights) if circuits <= sources else 0.0
        offered = sum(w * (sources - k) for k, w in enumerate(weights))
        call_congestion = weights[circuits] * (sources - circuits) / offered if circuits <= sources else 0.0
        assert loss.engset(circuits, sources, each) == (
            pytest.approx(time_congestion),
            pytest.approx(call_congestion),
        )
        if circuits < sources:  # Bernoulli traffic of the same mean and peakedness is the same chain
            erlangs = sources * each / (1 + each)
            assert peaked_traffic.bpp(circuits, erlangs, 1 / (1 + each))[:2] == (
                pytest.approx(time_congestion),
                pytest.approx(call_congestion),
            )


def test_two_widths_match_the_markov_chain():
    circuits, streams = 7, [widths.Stream(2.0, 1), widths.Stream(0.8, 3)]
    weights = {}
    for one in range(circuits + 1):
        for three in range((circuits - one) // 3 + 1):
            weights[one, three] = (
                2.0**one * 0.8**three / (float(mp.factorial(one)) * float(mp.factorial(three)))
            )
    total = sum(weights.values())
    expected = [
        sum(w for (a, b), w in weights.items() if circuits - a - 3 * b < width) / total for width in (1, 3)
    ]
    assert widths.blocking(circuits, streams) == pytest.approx(expected)
    reserved = widths.blocking(circuits, [widths.Stream(2.0, 1, reserve=2), widths.Stream(0.8, 3)])
    assert reserved[1] < expected[1]
    assert reserved[0] > expected[0]
    assert widths.blocking(100_000, [widths.Stream(40_000), widths.Stream(30_000, 2)])[1] > 1e-4
    needed = widths.circuits_for(streams, (0.01, 0.02))
    sufficient = [
        all(b <= t for b, t in zip(widths.blocking(n, streams), (0.01, 0.02), strict=True))
        for n in (needed - 1, needed)
    ]
    assert sufficient == [False, True]


def test_erlang_a_lies_between_loss_and_delay():
    b, c = loss.erlang_b(10, 8), loss.erlang_c(10, 8)
    previous = b
    for patience in (0.01, 0.1, 1.0, 10.0, 1000.0):
        waiting, lost = loss.erlang_a(10, 8, patience)
        assert lost < previous
        assert b < waiting < c + 1e-9
        previous = lost
    assert waiting == pytest.approx(c, rel=0.02)
    assert lost < 1e-3
    with mp.workdps(30):  # the Markov chain with states 0 to 10 + 400
        weights = [mpf(1)]
        for k in range(410):
            weights.append(weights[-1] * 8 / (min(k + 1, 10) + max(0, k + 1 - 10) / mpf("0.7")))
        expected = sum(w * (k - 10) / mpf("0.7") for k, w in enumerate(weights) if k > 10) / sum(weights) / 8
    for circuits, erlangs, hold in ((10, 8, 0.2), (10, 12, 0.5), (10, 10, 1.0), (5, 2, 0.05)):
        # Integrates the density of the wait before and after `hold` numerically.
        b = loss.erlang_b(circuits, erlangs)
        no_wait = 1 / loss.erlang_b(circuits - 1, erlangs)
        before = float(quad(lambda x, n=circuits, a=erlangs: mp.exp((a - n) * x), [0, hold]))
        after = exp((erlangs - circuits) * hold) / circuits
        lost = erlangs * after / (no_wait + erlangs * (before + after))
        assert loss.loss_with_fixed_wait(circuits, erlangs, hold) == pytest.approx(lost)
        assert lost < b
    assert (
        loss.loss_with_fixed_wait(10, 8, 0)
        == pytest.approx(loss.erlang_b(10, 8))
        == pytest.approx(loss.loss_with_fixed_wait(10, 8, 1e-9))
    )
    assert loss.loss_with_fixed_wait(10, 30, 1e4) == pytest.approx(1 - 10 / 30)
    assert loss.erlang_a(10, 8, 0.7)[1] == pytest.approx(float(expected), rel=1e-10)


def test_equivalent_random_method_meets_the_moments():
    for mean, z in ((1.0, 2.0), (10.0, 1.5), (10.0, 5.0), (500.0, 3.0), (0.05, 1.2), (2000.0, 20.0)):
        a, n = peaked_traffic.equivalent_random(mean, mean * z)
        overflow = peaked_traffic.overflow(n, a)
        assert overflow[0] == pytest.approx(mean, rel=1e-8)
        assert overflow[1] == pytest.approx(mean * z, rel=1e-6)
    # Hayward's approximation is within a quarter at 0.5 to 20% blocking if the mean is ten times the
    # peakedness.
    for mean, z in ((20.0, 2.0), (50.0, 3.0), (200.0, 5.0), (100.0, 1.5)):
        for target in (0.005, 0.01, 0.05, 0.2):
            n = peaked_traffic.circuits_for(mean, target, z)
            assert peaked_traffic.hayward(n, mean, z) == pytest.approx(target, rel=0.25), (mean, z, target)


def test_day_to_day_against_adaptive_quadrature():
    for mean, variance, n in ((100, 400, 115), (10, 20, 16), (10, 1e-3, 16), (50, 1225, 70)):
        shape, scale = mean**2 / variance, variance / mean
        with mp.workdps(20):
            deviation = sqrt(variance)

            def lost(x, n=n, shape=shape, scale=scale):
                density = mp.exp((shape - 1) * mp.log(x / scale) - x / scale - mp.loggamma(shape)) / scale
                return x * loss.erlang_b(n, float(x)) * density

            expected = quad(lost, [max(1e-9, mean - 12 * deviation), mean, mean + 12 * deviation]) / mean
        assert peaked_traffic.day_to_day(n, mean, variance) == pytest.approx(float(expected), rel=1e-4)
        assert peaked_traffic.day_to_day(n, mean, variance) > loss.erlang_b(n, mean) * 0.999


def test_redials_and_surges():
    b, total = loss.erlang_b_redials(20, 18, 0.8)
    assert total * (1 - 0.8 * b) == pytest.approx(18)
    assert b > loss.erlang_b(20, 18)
    assert loss.lost_after_redials(0.5, 3, 1.0) == pytest.approx(0.125)
    assert loss.lost_after_redials(0.5, 3, 0.0) == pytest.approx(0.5)
    assert loss.lost_after_redials(0.5, 2, 0.5) == pytest.approx(0.5 * 0.5 + 0.5 * 0.5 * 0.5)
    assert loss.surge_peak(10, 2, 1e9) == 20
    assert loss.surge_peak(10, 2, 1) == pytest.approx(20 - 10 * exp(-1))
    rate, z = peaked_traffic.interrupted_poisson(10, 2, 5)
    assert rate == pytest.approx(35)
    assert z > 5
    assert peaked_traffic.interrupted_poisson(10, 1e-6, 1e-6)[1] == pytest.approx(1, abs=1e-4)


@pytest.mark.parametrize(
    ("call", "name"),
    [
        (lambda: loss.erlang_b(-1, 2), "circuits"),
        (lambda: loss.erlang_b(3, float("nan")), "erlangs"),
        (lambda: loss.circuits_for(3, 0), "target"),
        (lambda: loss.circuits_for(3, 1), "target"),
        (lambda: loss.erlangs_for(0, 0.1), "circuits"),
        (lambda: peaked_traffic.hayward(3, 3, 0), "peakedness"),
        (lambda: peaked_traffic.equivalent_random(1, 0.5), "peakedness"),
        (lambda: widths.blocking(5, []), "stream"),
        (lambda: loss.erlang_b_redials(3, 3, 1.0), "again"),
        (lambda: peaked_traffic.bpp(3, 0, 1), "erlangs"),
        (lambda: loss.erlang_b(float("inf"), 2), "circuits"),
        (lambda: loss.engset(3, 0, 1), "sources"),
    ],
)
def test_errors_name_the_argument(call, name):
    with pytest.raises(OutOfRangeError, match=name):
        call()
