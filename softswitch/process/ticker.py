"""Drives the timer wheel from Twisted's reactor and lets the process sleep while no timer is due."""

from __future__ import annotations

from typing import Any

from softswitch.core.counters import Count, Counters
from softswitch.core.timer_wheel import TimerWheel
from softswitch.net.twisted_internals import notify_wakes

MAX_IDLE = 50.0  # ms without reading the clock; a stall within this time is not detected
LATE_TICKS = 2.0  # a tick that is late by more than this many ticks indicates a stall


class Ticker:
    """Runs all timers of the wheel with a single timer of the reactor."""

    def __init__(self, reactor: Any, wheel: TimerWheel, counters: Counters) -> None:
        self.reactor = reactor
        self.wheel = wheel
        self.counters = counters
        self._due = 0.0  # when the next tick is due
        self._scheduled: Any = None  # Twisted's delayed call that runs the next tick
        self._may_idle = False  # whether ticks without due timers are skipped

    def start(self) -> None:
        """Runs the first tick. From then on the process sleeps until its next timer or input."""
        self._due = self.wheel.read_clock()
        self._tick()
        if notify_wakes(self.reactor, self.wheel.read_after_idle):
            self._may_idle = True
            self.wheel.on_earlier = self._timer_before_next_tick

    def _tick(self) -> None:
        """Runs the due timers; after a stall the sockets are read first.

        Input that arrived during the stall precedes the overdue timers and must not be treated as late.
        """
        wheel = self.wheel
        now = wheel.read_clock()
        self._scheduled = None
        late = now - self._due > LATE_TICKS * wheel.tick
        if late:
            self.counters[Count.LATE_TICKS] += 1
            self.reactor.callLater(0, wheel.run_due)
        else:
            wheel.run_due()
        next_tick = max(self._due + wheel.tick, now)
        if self._may_idle and not late:
            next_tick = max(next_tick, self._idle_until(now))
            wheel.idle_until = next_tick
        self._due = next_tick
        self._scheduled = self.reactor.callLater(self._delay(next_tick), self._tick)

    def _idle_until(self, now: float) -> float:
        """Returns the end of the idle time. When input arrives earlier, the poller reads the clock."""
        latest = now + MAX_IDLE
        due = self.wheel.next_due
        return latest if due is None else min(latest, due)

    def _timer_before_next_tick(self, due: float) -> None:
        """Advances the next tick for a timer that is due before the end of the idle time."""
        due = max(due, self.wheel.now)
        if self._scheduled is not None and due < self._due:
            self._due = due
            self.wheel.idle_until = due
            self._scheduled.reset(self._delay(due))

    def _delay(self, when: float) -> float:
        """Returns the seconds until `when`."""
        return max(0.0, when - self.wheel.now - self.wheel.elapsed_in_turn()) / 1000.0
