"""The traffic record: arrivals, outcomes and occupancy by route, class and interval, in bounded memory.

The switch reports each call two or three times (`attempt_received`, `attempt_settled`, `call_ended`); all
other work is done once an interval. Times are milliseconds: on the clock of the timer wheel in method calls,
Unix milliseconds in the entries.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_ROUTES = 64  # of arrivals, of outcomes and of occupancy, each; what is over is booked under OTHER
OTHER = -2  # the cell of what found no room; -1: no cell was named, or none took the call
LONGEST_MS, DIGITS = 3_600_000, 2  # histograms: 1 ms to an hour, two significant digits

OUTCOMES = (
    "carried",
    "late",
    "blocked",
    "processor_full",
    "refused_before",
    "refused_other",
    "failed",
    "given_up",
)


def histogram(encoded: str | None = None) -> HdrHistogram:
    """An empty histogram of durations in ms, or the one that was encoded."""
    if encoded:
        return HdrHistogram.decode(encoded)
    return HdrHistogram(1, LONGEST_MS, DIGITS)


@dataclass(slots=True)
class Arrivals:
    """Set-ups of one destination and class, by slot: first tries and redials."""

    first: list[int]
    redials: list[int]


@dataclass(slots=True)
class Outcomes:
    """What became of set-ups of one route (cell tried first, cell that took it) and class."""

    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(OUTCOMES, 0))
    redials_carried: int = 0
    lost_ms: float = 0.0  # that set-ups waited which did not stand, together
    delay: HdrHistogram = field(default_factory=histogram)  # ms from set-up to standing


@dataclass(slots=True)
class Occupancy:
    """Calls that stand at one cell, of one class."""

    up: int = 0
    integral: float = 0.0  # call-milliseconds up to `at`
    at: float = 0.0
    peak: int = 0
    ended: int = 0
    held: HdrHistogram = field(default_factory=histogram)  # ms that ended calls stood
    held_sum: float = 0.0
    held_squares: float = 0.0  # of seconds

    def turn(self, now: float, by: int) -> None:
        """Counts the calls under way up or down, and the time at the count before."""
        self.integral += self.up * (now - self.at)
        self.at, self.up = now, max(0, self.up + by)
        if self.up > self.peak:
            self.peak = self.up

    def renew(self, now: float) -> None:
        """Begins an interval with the calls that are up."""
        self.integral, self.at, self.peak, self.ended = 0.0, now, self.up, 0
        self.held, self.held_sum, self.held_squares = histogram(), 0.0, 0.0


class TrafficRecord:
    """The interval under way. `save` gets each finished one as a plain dict, ready for the file.

    clock: turns a time of the wheel into Unix milliseconds. Intervals begin at whole multiples of their
    length on that clock, so that those of several softswitches lie side by side.
    """

    def __init__(
        self,
        interval: float,
        slot: float,
        clock: Callable[[float], float],
        save: Callable[[dict[str, Any]], None],
        now: float,
    ) -> None:
        self.interval, self.slot, self.clock, self.save = interval, slot, clock, save
        self.slots = round(interval / slot)
        self.since = now
        self.until = now + interval - clock(now) % interval
        self.occupied: dict[tuple[int, str], Occupancy] = {}
        self._begin()

    def _begin(self) -> None:
        self.arrivals: dict[tuple[int, str], Arrivals] = {}
        self.routes: dict[tuple[int, int, str], Outcomes] = {}

    # from the switch

    def attempt_received(self, now: float, dest: int, klass: str, redial: bool) -> None:
        """A call has arrived; `now` in ms, `dest` its destination's number, `klass` its class."""
        if now >= self.until:
            self.roll_over(now)
        seen = self.arrivals.get((dest, klass))
        if seen is None:
            seen = self._room(self.arrivals, (dest, klass), (OTHER, "other"), self._no_arrivals)
        n = min(self.slots - 1, int((now - (self.until - self.interval)) / self.slot))
        (seen.redials if redial else seen.first)[n] += 1

    def attempt_settled(
        self, now: float, tried: int, took: int, klass: str, outcome: str, delay: float, redial: bool
    ) -> Occupancy | None:
        """A set-up has its answer, or was given up. `took` is -1 where it does not stand; where it does, its
        seat comes back, which `call_ended` expects.
        """
        if now >= self.until:
            self.roll_over(now)
        key = (tried, took, klass)
        seen = self.routes.get(key)
        if seen is None:
            seen = self._room(self.routes, key, (OTHER, OTHER if took >= 0 else -1, "other"), Outcomes)
        seen.counts[outcome] += 1
        if outcome not in ("carried", "late"):
            seen.lost_ms += delay
            return None
        seen.redials_carried += redial
        seen.delay.record_value(min(LONGEST_MS, max(1, int(delay))))
        seat = self.occupied.get((took, klass))
        if seat is None:
            seat = self._room(self.occupied, (took, klass), (OTHER, "other"), lambda: Occupancy(at=now))
        seat.turn(now, 1)
        return seat

    def call_ended(self, now: float, seen: Occupancy, held: float) -> None:
        """The call of this seat has ended after `held` ms."""
        if now >= self.until:
            self.roll_over(now)
        seen.turn(now, -1)
        seen.ended += 1
        seen.held_sum += held
        seen.held_squares += (held / 1000) ** 2
        seen.held.record_value(min(LONGEST_MS, max(1, int(held))))

    # bookkeeping

    def _no_arrivals(self) -> Arrivals:
        return Arrivals([0] * self.slots, [0] * self.slots)

    @staticmethod
    def _room(table: dict[Any, Any], key: Any, other: Any, make: Callable[[], Any]) -> Any:
        """The entry of this key, or the common one once the table is full: its size has a bound."""
        if len(table) >= MAX_ROUTES and key not in table:
            key = other
        found = table.get(key)
        if found is None:
            found = table[key] = make()
        return found

    def roll_over(self, now: float, last: bool = False) -> None:
        """Closes the interval that is over, and begins the one that `now` lies in."""
        if now < self.until and not last:
            return
        end = min(now, self.until)
        for o in self.occupied.values():
            o.turn(end, 0)
        self.save(self._told(end))
        self.occupied = {key: o for key, o in self.occupied.items() if o.up}  # seats of calls that go on
        self._begin()
        # After a standstill, intervals in which nothing was seen are left out, not written as empty.
        missed = int((now - self.until) // self.interval) if now > self.until else 0
        self.since = end + missed * self.interval
        for o in self.occupied.values():
            o.renew(self.since)
        self.until += (missed + 1) * self.interval

    def _told(self, end: float) -> dict[str, Any]:
        return {
            "from": self.clock(self.since),
            "to": self.clock(end),
            "begin": self.clock(self.until - self.interval),
            "arrivals": [
                {"dest": dest, "class": klass, "first": a.first, "redials": a.redials}
                for (dest, klass), a in self.arrivals.items()
            ],
            "routes": [
                {
                    "tried": tried,
                    "took": took,
                    "class": klass,
                    **o.counts,
                    "redials_carried": o.redials_carried,
                    "lost_ms": round(o.lost_ms, 3),
                    "delay": o.delay,
                }
                for (tried, took, klass), o in self.routes.items()
            ],
            "occupied": [
                {
                    "cell": cell,
                    "class": klass,
                    "call_ms": round(o.integral, 3),
                    "peak": o.peak,
                    "up": o.up,
                    "ended": o.ended,
                    "held_ms": round(o.held_sum, 3),
                    "held_s2": round(o.held_squares, 9),
                    "held": o.held,
                }
                for (cell, klass), o in self.occupied.items()
            ],
        }
