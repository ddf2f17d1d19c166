"""Timers in coarse ticks. The clock is injected, and stands still between two readings of it."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil
from typing import Any

from loguru import logger

Timer = tuple[Callable[..., Any], tuple[Any, ...]]


class Wheel:
    """All events between two ticks bear the same time, as in a batch of the simulator's.

    Ticks at which nothing is due need not be turned: `due` tells the next one that has timers, `on_earlier`
    is called when a new timer comes before it, and `look` reads the clock when something comes in meanwhile.
    """

    def __init__(self, tick: float, time: Callable[[], float]) -> None:
        self.tick, self._time = tick, time
        self.now, self.lag = time(), 0.0  # lag: how long before `now` something may have come in unseen
        self.rests_until = self.now  # no tick is turned before this time
        self.on_earlier: Callable[[float], None] | None = None  # called with a time before all others
        self._done = int(self.now // tick)  # number of the last tick that was carried out
        self._ticks: dict[int, list[Timer]] = {}  # timers by the number of their tick
        self._order: list[int] = []  # a heap of these numbers

    def at(self, when: float, what: Callable[..., Any], *args: Any) -> None:
        """Calls `what` at the first tick at or after `when`, and never within the tick under way."""
        due = max(ceil(when / self.tick), self._done + 1)
        timers = self._ticks.get(due)
        if timers is not None:
            timers.append((what, args))
            return
        self._ticks[due] = [(what, args)]
        heappush(self._order, due)
        if self.on_earlier is not None and self._order[0] == due:
            self.on_earlier(due * self.tick)

    @property
    def due(self) -> float | None:
        """When the next timer is due; None if there is none."""
        return self._order[0] * self.tick if self._order else None

    def read(self) -> float:
        """Reads the clock; what comes in from now on bears this time.

        Read late, it tells of a standstill: what is taken in next may have waited since the last reading.
        """
        self._read()
        self.rests_until = self.now
        return self.now

    def _read(self) -> None:
        before, self.now = self.now, max(self.now, self._time())
        stood = self.now - max(before, self.rests_until) > self.tick  # not even the end of the rest was seen
        self.lag = max(0.0, self.now - before - self.tick) if stood else 0.0

    def look(self) -> None:
        """Reads the clock as something comes in during a rest: it came only now, unless the rest is over."""
        if self.rests_until > self.now + self.tick:
            self._read()

    def behind(self) -> float:
        """How long ago the clock was last read: how long the turn of the loop under way has taken so far."""
        return self._time() - self.now

    def turn(self) -> None:
        """Carries out what is due at the time last read, in order."""
        last = int(self.now // self.tick)
        while self._order and self._order[0] <= last:
            self._done = heappop(self._order)
            for what, args in self._ticks.pop(self._done):
                try:
                    what(*args)
                except Exception as e:  # one timer's fault must not stop the others
                    logger.error("timer {}: {!r}", getattr(what, "__qualname__", what), e)
        self._done = max(self._done, last)
