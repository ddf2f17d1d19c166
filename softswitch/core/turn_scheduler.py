"""Divides the turns of the event loop among callers' connections, of all fronts together.

A connection whose data is not processed within a turn's budget is deferred: it is not read, and goes on in a
later turn, in the order in which the connections were deferred. So one that sends without end takes its own
slices, and the first message of any other connection is processed in the turn in which it is read.
"""

from __future__ import annotations

from typing import Protocol

from softswitch.core.timer_wheel import TimerWheel

# Ms of one turn of the event loop in which callers are served; the rest is left for engines and operators.
TURN_BUDGET = 40.0
MIN_SLICE = 5.0  # ms of a turn that a deferred connection gets at least, where many wait


class DeferrableConnection(Protocol):
    """A connection whose received data can be processed in a later turn."""

    def resume_deferred(self) -> None:
        """Processes the data, or defers the connection again if the budget is used up."""


class TurnScheduler:
    """Owns the budget of a turn, and the connections that wait for a later one."""

    def __init__(self, wheel: TimerWheel) -> None:
        self.wheel = wheel
        self.deferred: dict[DeferrableConnection, None] = {}  # in the order of their turns
        self._limit = TURN_BUDGET  # ms of the turn until the connection that is served now has to stop

    @property
    def is_over_budget(self) -> bool:
        """Whether the callers' budget of this turn, or the slice of the resumed connection, is used up."""
        return self.wheel.elapsed_in_turn() > self._limit

    def is_deferred(self, connection: DeferrableConnection) -> bool:
        """Whether the connection waits for a later turn."""
        return connection in self.deferred

    def defer(self, connection: DeferrableConnection) -> None:
        """Postpones the connection's remaining data to a later turn."""
        if not self.deferred:
            self.wheel.call_at(self.wheel.now, self._resume)
        self.deferred[connection] = None

    def forget(self, connection: DeferrableConnection) -> None:
        """Drops a connection that has ended, or whose data is processed no more."""
        self.deferred.pop(connection, None)

    def _resume(self) -> None:
        waiting, self.deferred = self.deferred, {}
        time_slice = max(MIN_SLICE, TURN_BUDGET / max(1, len(waiting)))
        while waiting and self.wheel.elapsed_in_turn() <= TURN_BUDGET / 2:
            connection = next(iter(waiting))
            del waiting[connection]
            self._limit = min(TURN_BUDGET, self.wheel.elapsed_in_turn() + time_slice)
            connection.resume_deferred()
        self._limit = TURN_BUDGET
        if waiting and not self.deferred:
            self.wheel.call_at(self.wheel.now, self._resume)
        self.deferred = waiting | self.deferred
