"""Whether this process takes callers: the one owner of readiness.

SIP's OPTIONS, the management calls, SIGTERM and the agent ask or notify it, and keep no flag of their own. It
reads no clock: times come in, in ms.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

# Ms after a drain. 4 s after it no caller's connection may be idle, or hold a call setup of the last 2 s.
DRAIN_ADMITS_FOR = 2_200.0  # in which call setups are served
DRAIN_KEEPS_CONNECTION_FOR = 3_850.0  # in which one connection stays, for releases of established calls
DRAIN_LATE_SETUP_FROM = 1_700.0  # call setups received after this ...
DRAIN_LATE_SETUP_UNTIL = 3_500.0  # ... are failed after this
NEW_CONNECTION_TIMEOUT = 500.0  # ms that a connection which is opened after a drain has for its first request
STOP_REJECTS_FOR = (
    300.0  # ms before the end of a stop in which call setups are rejected: connections run idle
)


class Phase(Enum):
    """What this process does with callers. The values are those of the management calls."""

    STARTING = "starting"  # the listener, or the endpoint list, is not there yet
    SERVING = "serving"
    HANDED_OVER = "handed_over"  # the successor takes the new connections
    DRAINED = "drained"  # takes no callers until it is activated; what it has goes on
    STOPPING = "stopping"  # for good


class Lifecycle:
    """The phase, the facts that it follows from, and what each phase allows."""

    def __init__(self) -> None:
        self.listening = False  # the callers' listener is open
        self.endpoints_known = False  # the endpoint list has been received
        self.drain_requested = False
        self.handed_over = False  # a successor takes the new connections
        self.phase_since = 0.0  # when the phase began
        self.stop_deadline: float | None = None  # when a stop is over at the latest; None: none was asked for
        self.closed = False  # the stop is over: what is owed is answered, and callers go
        self.on_change: list[Callable[[Phase], None]] = []
        self._phase = Phase.STARTING

    @property
    def phase(self) -> Phase:
        """The phase now."""
        return self._phase

    @property
    def ready(self) -> bool:
        """Yes only when this process takes callers."""
        return self._phase is Phase.SERVING

    @property
    def healthy(self) -> bool:
        """What a health check at the callers' address learns: during a replacement the two processes are
        one.
        """
        return self.ready or (self.handed_over and not self.drain_requested)

    def listener_opened(self, now: float) -> None:
        """The callers' listener is open."""
        self.listening = True
        self._update(now)

    def endpoints_received(self, now: float) -> None:
        """The endpoint list is known."""
        self.endpoints_known = True
        self._update(now)

    def drain(self, now: float) -> None:
        """Takes no callers until `activate`."""
        self.drain_requested = True
        self._update(now)

    def activate(self, now: float) -> bool:
        """Ends a drain. False: this process is stopping, and takes nobody any more."""
        self.drain_requested = False
        self._update(now)
        return self._phase is not Phase.STOPPING

    def hand_over(self, now: float) -> None:
        """A successor takes the new connections; those here are served on."""
        self.handed_over = True
        self._update(now)

    def take_back(self, now: float) -> bool:
        """The successor is gone. True: callers come here again."""
        if self.stop_deadline is not None:
            return False
        self.handed_over = False
        self._update(now)
        return True

    def stop(self, now: float, deadline: float) -> None:
        """Ends this process, by `deadline` at the latest; a second stop changes nothing."""
        if self.stop_deadline is None:
            self.stop_deadline = deadline
            self._update(now)

    def close(self) -> None:
        """The stop is over but for what is on its way: nothing more is taken in."""
        self.closed = True
        self._notify()

    def _update(self, now: float) -> None:
        phase = self._current_phase()
        if phase is not self._phase:
            self._phase = phase
            self.phase_since = now
            self._notify()

    def _current_phase(self) -> Phase:
        if self.stop_deadline is not None:
            return Phase.STOPPING
        if self.drain_requested:
            return Phase.DRAINED
        if self.handed_over:
            return Phase.HANDED_OVER
        if self.listening and self.endpoints_known:
            return Phase.SERVING
        return Phase.STARTING

    def _notify(self) -> None:
        for listener in self.on_change:
            listener(self._phase)

    def admits_calls(self, now: float) -> bool:
        """Whether a call setup that arrives now is served.

        While stopping it is, until the stop is over: the platform still sends, and what is not answered at
        SIGKILL is lost.
        """
        if self.closed:
            return False
        if self._phase is Phase.DRAINED:
            return now - self.phase_since < DRAIN_ADMITS_FOR
        if self.handed_over and self.stop_deadline is not None:
            return now < self.stop_deadline - STOP_REJECTS_FOR
        return True

    def keeps_last_connection(self, now: float) -> bool:
        """Whether the last connection stays although it is idle."""
        return self._phase is Phase.DRAINED and now - self.phase_since < DRAIN_KEEPS_CONNECTION_FOR

    def setup_is_overdue(self, now: float, received_at: float) -> bool:
        """Whether a call setup that was received then has to be failed."""
        drained = self._phase is Phase.DRAINED and now - self.phase_since > DRAIN_LATE_SETUP_UNTIL
        return drained and received_at - self.phase_since > DRAIN_LATE_SETUP_FROM

    @property
    def closes_idle_connections(self) -> bool:
        """Whether callers' connections are to close as they fall idle."""
        replaced = self.handed_over and self._phase is Phase.STOPPING
        return self.closed or replaced or self._phase is Phase.DRAINED
