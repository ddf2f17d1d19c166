"""Whether this process takes callers. The one owner of readiness: SIP's OPTIONS, the management calls,
SIGTERM and the agent ask it or tell it, and keep no flag of their own. Pure: times in ms come in.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

# Ms after a drain. 4 s after it no caller's connection may be idle, or hold a set-up of the last 2 s.
ADMITS_FOR = 2_200.0  # in which set-ups are served
LINGERS_FOR = 3_850.0  # in which one connection stays, idle or not: releases of calls that stand need it
LATE_FROM, LATE_AFTER = 1_700.0, 3_500.0  # set-ups that came after the one are failed after the other
NEWCOMER = 500.0  # ms that a connection which comes after a drain has for its first request
LAST_CALL = 300.0  # ms before the end of a stop in which set-ups are refused, so that no connection is in use


class Phase(Enum):
    STARTING = "starting"  # the listener, or the list of engines, is not there yet
    SERVING = "serving"
    HANDED_OVER = "handed_over"  # the process that replaces this one takes the new connections
    DRAINED = "drained"  # takes no callers until it is activated; what it has goes on
    STOPPING = "stopping"  # for good


class Lifecycle:
    def __init__(self) -> None:
        self.listening = self.listed = False
        self.asked_to_drain = False
        self.since = 0.0  # when the phase before this one was left
        self.ends_at: float | None = None  # when a stop is over at the latest
        self.closed = False  # the stop is over: what is owed is answered, and callers go
        self.handed_over = False  # a successor takes the new connections
        self.on_change: list[Callable[[Phase], None]] = []
        self._phase = Phase.STARTING

    @property
    def phase(self) -> Phase:
        return self._phase

    @property
    def ready(self) -> bool:
        """Yes only when this process takes callers."""
        return self._phase is Phase.SERVING

    def _settle(self, now: float) -> None:
        phase = (
            Phase.STOPPING
            if self.ends_at is not None
            else Phase.DRAINED
            if self.asked_to_drain
            else Phase.HANDED_OVER
            if self.handed_over
            else Phase.SERVING
            if self.listening and self.listed
            else Phase.STARTING
        )
        if phase is not self._phase:
            self._phase, self.since = phase, now
            for tell in self.on_change:
                tell(phase)

    def opened(self, now: float) -> None:
        """The callers' listener is open."""
        self.listening = True
        self._settle(now)

    def knows(self, now: float) -> None:
        """The list of engines is known."""
        self.listed = True
        self._settle(now)

    def drain(self, now: float) -> None:
        self.asked_to_drain = True
        self._settle(now)

    def activate(self, now: float) -> bool:
        """False: it is stopping, and takes nobody any more."""
        self.asked_to_drain = False
        self._settle(now)
        return self._phase is not Phase.STOPPING

    def hand_over(self, now: float) -> None:
        """A successor takes the new connections; those here are served on."""
        self.handed_over = True
        self._settle(now)

    def take_back(self, now: float) -> bool:
        """The successor is gone. True: callers come here again."""
        if self.ends_at is not None:
            return False
        self.handed_over = False
        self._settle(now)
        return True

    def stop(self, now: float, ends_at: float) -> None:
        """For good; a second stop changes nothing."""
        if self.ends_at is None:
            self.ends_at = ends_at
            self._settle(now)

    def close(self, now: float) -> None:
        """The stop is over but for what is on its way: nothing more is taken in."""
        self.closed = True
        for tell in self.on_change:
            tell(self._phase)

    @property
    def yes(self) -> bool:
        """What the test at the callers' address is told: during a replacement the two processes are one."""
        return self.ready or (self.handed_over and not self.asked_to_drain)

    def admits(self, now: float) -> bool:
        """Whether a set-up that comes now is served. While stopping it is, until the stop is over: the
        platform's front still sends, and what is not answered at SIGKILL is lost.
        """
        if self.closed:
            return False
        if self._phase is Phase.DRAINED:
            return now - self.since < ADMITS_FOR
        return not self.handed_over or self.ends_at is None or now < self.ends_at - LAST_CALL

    def lingers(self, now: float) -> bool:
        """Whether the last connection stays although it is idle."""
        return now - self.since < LINGERS_FOR if self._phase is Phase.DRAINED else False

    def overstays(self, now: float, came: float) -> bool:
        """Whether a set-up that came then has to go, answered or not."""
        drained = self._phase is Phase.DRAINED and now - self.since > LATE_AFTER
        return drained and came - self.since > LATE_FROM

    @property
    def empties(self) -> bool:
        """Whether callers' connections are to close as they fall idle."""
        leaving = self.handed_over and self._phase is Phase.STOPPING
        return self.closed or leaving or self._phase is Phase.DRAINED
