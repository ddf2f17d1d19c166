"""Generated call arrivals: Poisson, on-off (peaked) or with a rate profile; each stream has its own seed."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import inf
from random import Random


@dataclass(frozen=True, slots=True)
class StreamSettings:
    """One stream of calls. Rates are in calls per s, times in s."""

    klass: str  # the call class
    rate: float  # mean, over the on and off phases
    dest: int = -1  # preferred cell; -1: none
    number: str = "77"
    width: int = 1  # circuits per call
    on: float = inf  # mean length of the on phases; inf: always on
    off: float = 0.0  # mean length of the off phases
    profile: tuple[tuple[float, float], ...] = field(default=())  # (start time, factor on the rate)

    def __post_init__(self) -> None:
        if not self.rate >= 0 or not self.on > 0 or not self.off >= 0:
            raise ValueError(f"stream {self.klass}: rate and off must be 0 or more, on must be above 0")
        if any(not factor >= 0 for _, factor in self.profile) or list(self.profile) != sorted(self.profile):
            raise ValueError(
                f"stream {self.klass}: the profile must be in order of time, with factors of 0 or more"
            )

    def factor(self, at: float) -> float:
        """Returns the profile's factor on the rate at a time of the day."""
        result = 1.0
        for start, factor in self.profile:
            if start > at:
                break
            result = factor
        return result


def arrivals(stream: StreamSettings, seed: int, until: float) -> Iterator[float]:
    """Yields the stream's arrival times from 0 on: a Poisson process thinned by profile and phases."""
    random = Random(seed)
    max_factor = max([1.0, *(f for _, f in stream.profile)])
    peak = stream.rate * (1 if stream.on == inf else (stream.on + stream.off) / stream.on)
    if peak <= 0:
        return
    phase_start, phase_end = 0.0, inf
    if stream.on != inf:  # the stream starts in a random phase, by the phases' fractions of the time
        starts_on = random.random() < stream.on / (stream.on + stream.off)
        phase_start = 0.0 if starts_on else random.expovariate(1 / stream.off)
        phase_end = phase_start + random.expovariate(1 / stream.on)
    at = phase_start
    while at < until:
        at += random.expovariate(peak * max_factor)
        while at >= phase_end:
            phase_start = phase_end + (random.expovariate(1 / stream.off) if stream.off else 0.0)
            at = phase_start + random.expovariate(peak * max_factor)
            phase_end = phase_start + random.expovariate(1 / stream.on)
        if at < until and random.random() * max_factor < stream.factor(at):
            yield at


def merged(
    streams: list[StreamSettings],
    seed: int,
    until: float,
    generate: Callable[[StreamSettings, int, float], Iterator[float]] = arrivals,
) -> list[tuple[float, StreamSettings]]:
    """Returns the arrivals of all streams in order of time, with seeds derived from `seed`."""
    merged_arrivals = [(at, n) for n, s in enumerate(streams) for at in generate(s, seed * 1009 + n, until)]
    return [(at, streams[n]) for at, n in sorted(merged_arrivals)]
