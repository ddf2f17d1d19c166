"""Timers in coarse ticks. The clock is injected, and stands still between two readings of it."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil
from typing import Any

from loguru import logger

Timer = tuple[Callable[..., object], tuple[Any, ...]]


class TimerWheel:
    """All events between two ticks have the same time, as in a batch of the simulator's. Times are in ms.

    Ticks at which nothing is due need not be run: `next_due` tells the next one that has timers, `on_earlier`
    is called when a new timer comes before it, and `read_after_idle` reads the clock when something arrives
    meanwhile.
    """

    def __init__(self, tick: float, clock: Callable[[], float]) -> None:
        self.tick = tick
        self.now = clock()
        self.lag = 0.0  # how long before `now` something may have arrived unseen
        self.idle_until = self.now  # no tick is run before this time
        self.on_earlier: Callable[[float], None] | None = None  # called with a time before all others
        self._clock = clock
        self._last_tick = int(self.now // tick)  # number of the last tick that was run
        self._timers: dict[int, list[Timer]] = {}  # by the number of their tick
        self._ticks: list[int] = []  # a heap of these numbers

    def call_at(self, when: float, function: Callable[..., object], *args: Any) -> None:
        """Calls `function` at the first tick at or after `when`, and never within the tick being run."""
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
        """Calls `function` at the first tick `delay` ms from now or later."""
        self.call_at(self.now + delay, function, *args)

    @property
    def next_due(self) -> float | None:
        """When the next timer is due; None if there is none."""
        return self._ticks[0] * self.tick if self._ticks else None

    def read_clock(self) -> float:
        """Reads the clock; what arrives from now on has this time.

        Read late, it shows a standstill: what is taken in next may have waited since the last reading.
        """
        self._read()
        self.idle_until = self.now
        return self.now

    def _read(self) -> None:
        before = self.now
        self.now = max(before, self._clock())
        # not even the end of the idle time was seen
        stalled = self.now - max(before, self.idle_until) > self.tick
        self.lag = max(0.0, self.now - before - self.tick) if stalled else 0.0

    def read_after_idle(self) -> None:
        """Reads the clock as something arrives during an idle time: it came only now, unless that is over."""
        if self.idle_until > self.now + self.tick:
            self._read()

    def elapsed_since_read(self) -> float:
        """Ms since the clock was last read: how long the turn of the event loop has taken so far."""
        return self._clock() - self.now

    def run_due(self) -> None:
        """Runs the timers that are due at the time last read, in order."""
        last = int(self.now // self.tick)
        while self._ticks and self._ticks[0] <= last:
            self._last_tick = heappop(self._ticks)
            for function, args in self._timers.pop(self._last_tick):
                try:
                    function(*args)
                except Exception as e:  # one timer's fault must not stop the others
                    logger.error("timer {}: {!r}", getattr(function, "__qualname__", function), e)
        self._last_tick = max(self._last_tick, last)
