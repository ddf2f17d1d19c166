"""Whether an engine, and the connection to it, are alive: by the interval at which it tells its state.

Reads no clock: times come in, in ms. Engines tell their state at an interval of their own, which is learned.
A connection that misses it is probed, and given up for a new one after one and a half of it.
"""

from __future__ import annotations

from enum import Enum, auto

FIRST_INTERVAL = 1_300.0
MIN_INTERVAL = 300.0
MAX_INTERVAL = 2_000.0
UNPROBED_INTERVAL = 3_500.0  # the longest interval, and the first, where engines may not be probed
# An engine that drains tells its state no more, and takes no calls: established ones are all that is at
# stake, whose callers have to know within 8 s. A connection that is given up after one and a half of it is in
# time.
DRAINING_INTERVAL = 3_000.0
SLACK = 75.0
ENGINE_TIMEOUT = 6_500.0  # without a sign on any connection, after which established calls are cut


class Verdict(Enum):
    """What a look at the signs of life says."""

    ALIVE = auto()
    PROBE = auto()  # the connection has missed an interval: probe it
    CONNECTION_DEAD = auto()
    ENGINE_DEAD = auto()


class Heartbeat:
    """The signs of life of one engine."""

    def __init__(self, now: float, may_probe: bool) -> None:
        self.interval = FIRST_INTERVAL if may_probe else UNPROBED_INTERVAL
        self.connection_active_at = now  # when this connection, or its opening, last gave a sign
        self.engine_active_at = now  # when the engine last gave a sign, on any connection
        self.state_at: float | None = None  # when it last told its state on this connection
        self.probed_at = 0.0

    def connection_up(self, now: float) -> None:
        """A new connection."""
        self.connection_active_at = now
        self.state_at = None

    def message_received(self, now: float) -> None:
        """Any message came on the connection."""
        self.connection_active_at = now
        self.engine_active_at = now

    def state_received(self, now: float, may_probe: bool) -> None:
        """The engine told its state unasked."""
        if self.state_at is not None:
            longest = MAX_INTERVAL if may_probe else UNPROBED_INTERVAL
            seen = min(max(now - self.state_at, MIN_INTERVAL), longest)
            self.interval = max(seen, 0.9 * self.interval)
        self.state_at = now

    def probe_sent(self, now: float) -> None:
        """A probe is on its way."""
        self.probed_at = now

    def restart(self, now: float) -> None:
        """The engine was found dead; it is watched as if it had just given a sign."""
        self.message_received(now)

    def missed(self, now: float, draining: bool) -> bool:
        """Whether the connection has missed an interval."""
        return now - self.connection_active_at >= self._interval(draining) + SLACK

    def _interval(self, draining: bool) -> float:
        return max(self.interval, DRAINING_INTERVAL) if draining else self.interval

    def check(self, now: float, draining: bool, connected: bool, may_probe: bool) -> Verdict:
        """What to do about an engine that has missed an interval."""
        if now - self.engine_active_at >= ENGINE_TIMEOUT:
            return Verdict.ENGINE_DEAD
        if not connected:
            return Verdict.ALIVE
        if now - self.connection_active_at >= 1.5 * self._interval(draining) + 2 * SLACK:
            return Verdict.CONNECTION_DEAD
        if may_probe and self.probed_at <= self.connection_active_at:
            return Verdict.PROBE
        return Verdict.ALIVE
