"""Arrivals of calls: random, switched (peaky), or following a profile; seeded, one stream each."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import inf
from random import Random


@dataclass(frozen=True, slots=True)
class StreamSettings:
    """One stream of calls. Rates are calls a second, times seconds."""

    klass: str
    rate: float  # the mean, over both phases where it is switched
    dest: int = -1  # cell of first choice
    number: str = "77"
    width: int = 1
    on: float = inf  # mean length of the phases in which calls come; inf: always
    off: float = 0.0  # mean length of the phases in between
    profile: tuple[tuple[float, float], ...] = field(default=())  # (from this second on, times the rate)

    def __post_init__(self) -> None:
        if not self.rate >= 0 or not self.on > 0 or not self.off >= 0:
            raise ValueError(f"stream {self.klass}: rate and off are 0 or more, on is over 0")
        if any(not factor >= 0 for _, factor in self.profile) or list(self.profile) != sorted(self.profile):
            raise ValueError(f"stream {self.klass}: the profile is in order of time, factors 0 or more")

    def factor(self, at: float) -> float:
        """Times the rate at a second of the day."""
        found = 1.0
        for since, factor in self.profile:
            if since > at:
                break
            found = factor
        return found


def arrivals(stream: StreamSettings, seed: int, until: float) -> Iterator[float]:
    """Times of the stream's calls, from 0 on: a Poisson process thinned by profile and switch."""
    random = Random(seed)
    most = max([1.0, *(f for _, f in stream.profile)])
    peak = stream.rate * (1 if stream.on == inf else (stream.on + stream.off) / stream.on)
    if peak <= 0:
        return
    begins, ends = 0.0, inf
    if stream.on != inf:  # the switch is found in either phase by their shares
        running = random.random() < stream.on / (stream.on + stream.off)
        begins = 0.0 if running else random.expovariate(1 / stream.off)
        ends = begins + random.expovariate(1 / stream.on)
    at = begins
    while at < until:
        at += random.expovariate(peak * most)
        while at >= ends:
            begins = ends + (random.expovariate(1 / stream.off) if stream.off else 0.0)
            at = begins + random.expovariate(peak * most)
            ends = begins + random.expovariate(1 / stream.on)
        if at < until and random.random() * most < stream.factor(at):
            yield at


def merged(
    streams: list[StreamSettings],
    seed: int,
    until: float,
    one: Callable[[StreamSettings, int, float], Iterator[float]] = arrivals,
) -> list[tuple[float, StreamSettings]]:
    """All streams' calls in order of time; each stream has its own seed."""
    found = [(at, n) for n, s in enumerate(streams) for at in one(s, seed * 1009 + n, until)]
    return [(at, streams[n]) for at, n in sorted(found)]
