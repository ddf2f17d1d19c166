"""The lifecycle phase of this process, which decides whether it accepts callers.

SIP OPTIONS, the management requests, SIGTERM and the agent query or change the phase here; none of them
stores its own readiness flag. Times are passed in, in ms: this module reads no clock.

After a *drain*, the process accepts no callers until it is activated again. In a *handover*, a successor
process takes over the listeners and accepts the new connections. A *stop* ends the process.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

# Ms from the start of a drain. 4 s after it, no caller's connection may be idle or hold a call setup that was
# received in the last 2 s.
DRAIN_ADMITS_FOR = 2_200.0  # call setups are still accepted
DRAIN_KEEPS_CONNECTION_FOR = 3_850.0  # one connection stays open for releases of established calls
DRAIN_LATE_SETUP_FROM = 1_700.0  # call setups received after this ...
DRAIN_LATE_SETUP_UNTIL = 3_500.0  # ... are failed after this
NEW_CONNECTION_TIMEOUT = 500.0  # ms until the first request is due on a connection opened after a drain
# Ms before the end of a stop in which call setups are rejected, so that connections become idle.
STOP_REJECTS_FOR = 300.0


class Phase(Enum):
    """Phase of this process. The management API publishes the values."""

    STARTING = "starting"  # the listener is not open or the endpoint list is not known yet
    SERVING = "serving"
    HANDED_OVER = "handed_over"  # the successor accepts the new connections
    DRAINED = "drained"  # accepts no callers until it is activated; calls in progress continue
    STOPPING = "stopping"  # final: the process is shutting down


class Lifecycle:
    """Holds the phase and its conditions, and decides what each phase allows."""

    def __init__(self) -> None:
        self.listening = False  # the callers' listener is open
        self.endpoints_known = False  # the endpoint list has been received
        self.drain_requested = False
        self.handed_over = False  # a successor accepts the new connections
        self.phase_started_at = 0.0
        self.stop_deadline: float | None = None  # latest end of a stop; None: not stopping
        self.closed = False  # the stop is over: open calls are answered, callers disconnect
        self.on_change: list[Callable[[Phase], None]] = []
        self._phase = Phase.STARTING

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    @property
    def ready(self) -> bool:
        """Whether this process accepts callers."""
        return self._phase is Phase.SERVING

    @property
    def healthy(self) -> bool:
        """Result of a health check at the callers' address.

        During a replacement both processes count as one, so this process stays healthy after the handover.
        """
        return self.ready or (self.handed_over and not self.drain_requested)

    def listener_opened(self, now: float) -> None:
        """Records that the callers' listener is open."""
        self.listening = True
        self._update(now)

    def endpoints_received(self, now: float) -> None:
        """Records that the endpoint list is known."""
        self.endpoints_known = True
        self._update(now)

    def drain(self, now: float) -> None:
        """Stops accepting callers until `activate`."""
        self.drain_requested = True
        self._update(now)

    def activate(self, now: float) -> bool:
        """Ends a drain. False: this process is stopping and accepts no more callers."""
        self.drain_requested = False
        self._update(now)
        return self._phase is not Phase.STOPPING

    def hand_over(self, now: float) -> None:
        """Leaves new connections to a successor; existing connections are still served."""
        self.handed_over = True
        self._update(now)

    def take_back(self, now: float) -> bool:
        """Reverts `hand_over` when the successor has died. True: this process accepts callers again."""
        if self.stop_deadline is not None:
            return False
        self.handed_over = False
        self._update(now)
        return True

    def stop(self, now: float, deadline: float) -> None:
        """Starts the stop of this process, which ends by `deadline`. A second stop changes nothing."""
        if self.stop_deadline is None:
            self.stop_deadline = deadline
            self._update(now)

    def close(self) -> None:
        """Ends the stop: no further call is accepted, only data in transit is still delivered."""
        self.closed = True
        self._notify()

    def _update(self, now: float) -> None:
        phase = self._current_phase()
        if phase is not self._phase:
            self._phase = phase
            self.phase_started_at = now
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
        """Whether a call setup that arrives now is accepted.

        A stopping process accepts call setups until the end of the stop: the platform still sends them, and
        setups unanswered at SIGKILL are lost.
        """
        if self.closed:
            return False
        if self._phase is Phase.DRAINED:
            return now - self.phase_started_at < DRAIN_ADMITS_FOR
        if self.handed_over and self.stop_deadline is not None:
            return now < self.stop_deadline - STOP_REJECTS_FOR
        return True

    def keeps_last_connection(self, now: float) -> bool:
        """Whether the last connection stays open although it is idle."""
        return self._phase is Phase.DRAINED and now - self.phase_started_at < DRAIN_KEEPS_CONNECTION_FOR

    def setup_is_overdue(self, now: float, received_at: float) -> bool:
        """Whether a call setup received at `received_at` must now be failed."""
        drained = self._phase is Phase.DRAINED and now - self.phase_started_at > DRAIN_LATE_SETUP_UNTIL
        return drained and received_at - self.phase_started_at > DRAIN_LATE_SETUP_FROM

    @property
    def closes_idle_connections(self) -> bool:
        """Whether callers' connections are closed when they become idle."""
        replaced = self.handed_over and self._phase is Phase.STOPPING
        return self.closed or replaced or self._phase is Phase.DRAINED
