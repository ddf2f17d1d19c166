"""Heartbeat monitoring of an engine and of the connection to it.

Each engine sends state messages at a regular interval, which is estimated from their arrival times. If
nothing arrives on a connection for an interval, a probe is sent on it. After one and a half intervals the
connection is given up and replaced by a new one. The module reads no clock: callers pass the time. All times
are in ms.
"""

from __future__ import annotations

from enum import Enum, auto

FIRST_INTERVAL = 1_300.0  # estimate before the first measurement
MIN_INTERVAL = 300.0  # bounds of a measured interval
MAX_INTERVAL = 2_000.0
UNPROBED_INTERVAL = 3_500.0  # first and max interval if probes are not allowed
# A draining engine sends no state and accepts no calls. Only its established calls matter; if the engine
# fails, their callers have to be notified within 8 s. Giving up the connection after one and a half of these
# intervals is early enough.
DRAINING_INTERVAL = 3_000.0
SLACK = 75.0  # added to an interval before it counts as missed
ENGINE_TIMEOUT = 6_500.0  # without a sign of life on any connection; then established calls are released


class Verdict(Enum):
    """Result of a heartbeat check."""

    ALIVE = auto()
    PROBE = auto()  # the connection has missed an interval and has to be probed
    CONNECTION_DEAD = auto()
    ENGINE_DEAD = auto()


class Heartbeat:
    """Times of the last signs of life of one engine and of the connection to it."""

    def __init__(self, now: float, may_probe: bool) -> None:
        self.interval = FIRST_INTERVAL if may_probe else UNPROBED_INTERVAL
        self.connection_active_at = now  # last data on this connection, or its opening
        self.engine_active_at = now  # last data from the engine on any connection
        self.state_at: float | None = None  # last state message on this connection
        self.probed_at = 0.0

    def connection_up(self, now: float) -> None:
        """Records that a new connection is established."""
        self.connection_active_at = now
        self.state_at = None

    def message_received(self, now: float) -> None:
        """Records that data was received on the connection."""
        self.connection_active_at = now
        self.engine_active_at = now

    def state_received(self, now: float, may_probe: bool) -> None:
        """Records an unsolicited state message and updates the estimated interval."""
        if self.state_at is not None:
            max_interval = MAX_INTERVAL if may_probe else UNPROBED_INTERVAL
            measured = min(max(now - self.state_at, MIN_INTERVAL), max_interval)
            self.interval = max(measured, 0.9 * self.interval)
        self.state_at = now

    def probe_sent(self, now: float) -> None:
        """Records that a probe was sent."""
        self.probed_at = now

    def restart(self, now: float) -> None:
        """Restarts the timeouts, as if the engine had just sent data."""
        self.message_received(now)

    def missed(self, now: float, draining: bool) -> bool:
        """Whether the connection has been silent for more than an interval."""
        return now - self.connection_active_at >= self._interval(draining) + SLACK

    def _interval(self, draining: bool) -> float:
        return max(self.interval, DRAINING_INTERVAL) if draining else self.interval

    def check(self, now: float, draining: bool, connected: bool, may_probe: bool) -> Verdict:
        """Checks an engine that has missed an interval."""
        if now - self.engine_active_at >= ENGINE_TIMEOUT:
            return Verdict.ENGINE_DEAD
        if not connected:
            return Verdict.ALIVE
        if now - self.connection_active_at >= 1.5 * self._interval(draining) + 2 * SLACK:
            return Verdict.CONNECTION_DEAD
        if may_probe and self.probed_at <= self.connection_active_at:
            return Verdict.PROBE
        return Verdict.ALIVE
