"""A timer wheel of coarse ticks. Its clock is injected, and stands still between two readings of it."""
from __future__ import annotations

from collections.abc import Callable
from math import ceil
from typing import Any

from loguru import logger

SLOTS = 1024


class Wheel:
    """All events between two ticks bear the same time, as in a batch of the simulator's."""

    def __init__(self, tick: float, time: Callable[[], float]) -> None:
        self.tick, self._time = tick, time
        self.now, self.lag = time(), 0.0  # lag: how long before `now` something may have come in unseen
        self._done = int(self.now // tick)  # number of the last tick that was carried out
        self._slots: list[list[tuple[int, Callable[..., Any], tuple[Any, ...]]]] = [[] for _ in range(SLOTS)]

    def at(self, when: float, what: Callable[..., Any], *args: Any) -> None:
        """Calls `what` at the first tick at or after `when`, and never within the tick under way."""
        due = max(ceil(when / self.tick), self._done + 1)
        self._slots[due % SLOTS].append((due, what, args))

    def read(self) -> float:
        """Reads the clock; what comes in from now on bears this time.

        Read late, it tells of a standstill: what is taken in next may have waited since the last reading.
        """
        before, self.now = self.now, max(self.now, self._time())
        self.lag = max(0.0, self.now - before - self.tick)
        return self.now

    def behind(self) -> float:
        """How long ago the clock was last read: how long the turn of the loop under way has taken so far."""
        return self._time() - self.now

    def turn(self) -> None:
        """Carries out what is due at the time last read, in order."""
        last = int(self.now // self.tick)
        while self._done < last:
            self._done += 1
            slot = self._slots[self._done % SLOTS]
            if not slot:
                continue
            due = [entry for entry in slot if entry[0] <= self._done]
            slot[:] = [entry for entry in slot if entry[0] > self._done]
            for _, what, args in due:
                try:
                    what(*args)
                except Exception as e:  # one timer's fault must not stop the others
                    logger.error("timer {}: {!r}", getattr(what, "__qualname__", what), e)
