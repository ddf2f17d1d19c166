"""The call setups of one connection that are accepted and not routed yet.

The end of a connection is read behind all data that came before it. So the call setups of a caller that has
written more than was read at once wait until the rest is read: the caller may have left.
"""

from __future__ import annotations

from softswitch.core.timer_wheel import TimerWheel
from softswitch.interface import CallId

MAX_WAIT = 250.0  # ms; then they are routed although data is still unread


class UnroutedCalls:
    """Owns the accepted call setups of a connection until they are routed."""

    def __init__(self, wheel: TimerWheel) -> None:
        self._wheel = wheel
        self._calls: list[CallId] = []
        self._since = 0.0  # when the first of them was accepted

    def __bool__(self) -> bool:
        return bool(self._calls)

    def add(self, call: CallId) -> None:
        """Adds a call setup that was accepted."""
        if not self._calls:
            self._since = self._wheel.now
        self._calls.append(call)

    @property
    def may_wait(self) -> bool:
        """Whether there are call setups, and all of them may still wait for unread data."""
        return bool(self._calls) and self._wheel.now - self._since <= MAX_WAIT

    def take(self) -> list[CallId]:
        """Removes and returns all call setups, to be routed now."""
        calls, self._calls = self._calls, []
        return calls
