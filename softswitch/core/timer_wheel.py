"""Timers with coarse ticks. The clock is injected, and its time is constant between two readings."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil
from typing import Any

from loguru import logger

Timer = tuple[Callable[..., object], tuple[Any, ...]]


class TimerWheel:
    """Runs timers tick by tick. All events between two ticks have the same time, as in a simulator batch.

    Ticks without due timers can be skipped: `next_due` is the next tick with timers, `on_earlier` is called
    when a new timer precedes it, and `read_after_idle` reads the clock when input arrives in between. Times
    are in ms.
    """

    def __init__(self, tick: float, clock: Callable[[], float]) -> None:
        self.tick = tick
        self.now = clock()
        self.lag = 0.0  # how long before `now` input may have arrived without being read
        self.idle_until = self.now  # no tick runs before this time
        # Called with the due time of a new timer that precedes all others.
        self.on_earlier: Callable[[float], None] | None = None
        self._clock = clock
        self._last_tick = int(self.now // tick)  # number of the last tick that ran
        self._timers: dict[int, list[Timer]] = {}  # by tick number
        self._ticks: list[int] = []  # heap of the tick numbers in `_timers`

    def call_at(self, when: float, function: Callable[..., object], *args: Any) -> None:
        """Calls `function` at the first tick at or after `when`, but never in the tick that is running."""
        tick = max(ceil(when / self.tick), self._last_tick + 1)
        timers = self._timers.get(tick)
        if timers is not None:
            timers.append((function, args))
            return
        self._timers[tick] = [(function, args)]
        heappush(self._ticks, tick)
        if self.on_earlier is not None and self._ticks[0] == tick:
            self.on_earlier(tick * self.tick)

    def call_after(self, delay: float, function: Callable[..., object], *args: Any) -> None:
        """Calls `function` at the first tick that is at least `delay` ms from now."""
        self.call_at(self.now + delay, function, *args)

    @property
    def next_due(self) -> float | None:
        """When the next timer is due; None if there is none."""
        return self._ticks[0] * self.tick if self._ticks else None

    def read_clock(self) -> float:
        """Reads the clock; events get this time until the next reading.

        A late reading indicates a stall: input that is read next may have waited since the last reading.
        """
        self._read()
        self.idle_until = self.now
        return self.now

    def _read(self) -> None:
        before = self.now
        self.now = max(before, self._clock())
        # no tick was due before `idle_until`, so time up to then is no stall
        stalled = self.now - max(before, self.idle_until) > self.tick
        self.lag = max(0.0, self.now - before - self.tick) if stalled else 0.0

    def read_after_idle(self) -> None:
        """Reads the clock when input arrives in an idle time, during which input is read without delay."""
        if self.idle_until > self.now + self.tick:
            self._read()

    def elapsed_in_turn(self) -> float:
        """Returns the ms since the last reading: the duration of the event loop's turn so far."""
        return self._clock() - self.now

    def run_due(self) -> None:
        """Runs the timers that are due at the time of the last reading, in order."""
        last = int(self.now // self.tick)
        while self._ticks and self._ticks[0] <= last:
            self._last_tick = heappop(self._ticks)
            for function, args in self._timers.pop(self._last_tick):
                try:
                    function(*args)
                except Exception as e:  # a failing timer must not stop the others
                    logger.error("timer {} raised {!r}", getattr(function, "__qualname__", function), e)
        self._last_tick = max(self._last_tick, last)
