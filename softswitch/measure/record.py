"""The traffic record: arrivals, outcomes and occupancy by route, class and interval, in bounded memory.

The switch reports each call two or three times (`attempt_received`, `attempt_settled`, `call_ended`); all
other work is done once an interval. Times are milliseconds: on the clock of the timer wheel in method calls,
Unix milliseconds in the entries. A cell is the number that the endpoint list gives to an engine; a caller
names the cell of its first choice.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_ROUTES = 64  # keys of each table (arrivals, outcomes, occupancy); further keys are counted under OTHER
OTHER = -2  # the cell of further keys; -1 means that no cell was requested, or that none accepted the call
MAX_MS, DIGITS = 3_600_000, 2  # histograms: 1 ms to an hour, two significant digits

OUTCOMES = (
    "carried",  # established within the latency objective of the class
    "late",  # established after it
    "blocked",  # rejected; at least one attempt found no free circuit
    "processor_full",  # rejected; an attempt found an engine's processor overloaded, none lacked a circuit
    "refused_before",  # rejected before any attempt was started
    "refused_other",  # rejected for another reason after an attempt
    "failed",  # failed after an attempt that may have run
    "given_up",  # abandoned by the caller
)


def histogram(encoded: str | None = None) -> HdrHistogram:
    """Returns an empty histogram of durations in ms, or decodes an encoded one."""
    if encoded:
        return HdrHistogram.decode(encoded)
    return HdrHistogram(1, MAX_MS, DIGITS)


@dataclass(slots=True)
class Arrivals:
    """Call setups of one destination and class by slot: first attempts and redials."""

    first_attempts: list[int]
    redials: list[int]


@dataclass(slots=True)
class Outcomes:
    """Outcomes of the call setups of one class and one route: first cell tried, and cell that accepted."""

    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(OUTCOMES, 0))
    redials_carried: int = 0
    lost_ms: float = 0.0  # total time from the start to the end of the setups that did not succeed
    delay: HdrHistogram = field(default_factory=histogram)  # ms from setup to establishment


@dataclass(slots=True)
class Occupancy:
    """Established calls of one class at one cell."""

    active: int = 0
    call_ms: float = 0.0  # time integral of `active` up to `updated_at`
    updated_at: float = 0.0
    peak: int = 0
    ended: int = 0
    durations: HdrHistogram = field(default_factory=histogram)  # ms, of ended calls
    duration_sum: float = 0.0  # ms
    duration_squares: float = 0.0  # sum of the squared durations in seconds

    def add(self, now: float, change: int) -> None:
        """Changes the number of active calls, and integrates the previous number up to now."""
        self.call_ms += self.active * (now - self.updated_at)
        self.updated_at, self.active = now, max(0, self.active + change)
        if self.active > self.peak:
            self.peak = self.active

    def start_interval(self, now: float) -> None:
        """Starts an interval with the calls that are active."""
        self.call_ms, self.updated_at, self.peak, self.ended = 0.0, now, self.active, 0
        self.durations, self.duration_sum, self.duration_squares = histogram(), 0.0, 0.0


class TrafficRecord:
    """Counts the traffic of the current interval.

    interval, slot: lengths in ms; an interval has a whole number of slots.
    save: receives each finished interval as a dict for the file.
    clock: converts a time of the timer wheel to Unix milliseconds. Intervals start at integer multiples of
    their length on that clock, so that the intervals of several softswitches coincide.
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
        self.started_at = now
        self.ends_at = now + interval - clock(now) % interval
        self.occupied: dict[tuple[int, str], Occupancy] = {}
        self._clear()

    def _clear(self) -> None:
        self.arrivals: dict[tuple[int, str], Arrivals] = {}
        self.routes: dict[tuple[int, int, str], Outcomes] = {}

    # calls from the switch

    def attempt_received(self, now: float, dest: int, call_class: str, redial: bool) -> None:
        """Counts the arrival of a call setup; `now` is in ms, `dest` the number of the destination cell."""
        if now >= self.ends_at:
            self.roll_over(now)
        arrivals = self.arrivals.get((dest, call_class))
        if arrivals is None:
            arrivals = self._entry(self.arrivals, (dest, call_class), (OTHER, "other"), self._no_arrivals)
        n = min(self.slots - 1, int((now - (self.ends_at - self.interval)) / self.slot))
        (arrivals.redials if redial else arrivals.first_attempts)[n] += 1

    def attempt_settled(
        self,
        now: float,
        tried: int,
        carried_by: int,
        call_class: str,
        outcome: str,
        delay: float,
        redial: bool,
    ) -> Occupancy | None:
        """Counts the outcome of a call setup after `delay` ms.

        `tried` is the first cell tried, `carried_by` the cell that accepted the call, or -1. Returns the
        occupancy to pass to `call_ended` if the call is established, else None.
        """
        if now >= self.ends_at:
            self.roll_over(now)
        key = (tried, carried_by, call_class)
        outcomes = self.routes.get(key)
        if outcomes is None:
            outcomes = self._entry(
                self.routes, key, (OTHER, OTHER if carried_by >= 0 else -1, "other"), Outcomes
            )
        outcomes.counts[outcome] += 1
        if outcome not in ("carried", "late"):
            outcomes.lost_ms += delay
            return None
        outcomes.redials_carried += redial
        outcomes.delay.record_value(min(MAX_MS, max(1, int(delay))))
        occupancy = self.occupied.get((carried_by, call_class))
        if occupancy is None:
            occupancy = self._entry(
                self.occupied, (carried_by, call_class), (OTHER, "other"), lambda: Occupancy(updated_at=now)
            )
        occupancy.add(now, 1)
        return occupancy

    def call_ended(self, now: float, occupancy: Occupancy, duration: float) -> None:
        """Counts the end of an established call after `duration` ms."""
        if now >= self.ends_at:
            self.roll_over(now)
        occupancy.add(now, -1)
        occupancy.ended += 1
        occupancy.duration_sum += duration
        occupancy.duration_squares += (duration / 1000) ** 2
        occupancy.durations.record_value(min(MAX_MS, max(1, int(duration))))

    # intervals and tables

    def _no_arrivals(self) -> Arrivals:
        return Arrivals([0] * self.slots, [0] * self.slots)

    @staticmethod
    def _entry(table: dict[Any, Any], key: Any, other: Any, make: Callable[[], Any]) -> Any:
        """Returns the entry of a key, or the entry of `other` for a new key if the table is full."""
        if len(table) >= MAX_ROUTES and key not in table:
            key = other
        entry = table.get(key)
        if entry is None:
            entry = table[key] = make()
        return entry

    def roll_over(self, now: float, last: bool = False) -> None:
        """Saves the interval if it is over, and starts the interval that contains `now`.

        `last` saves the interval in any case.
        """
        if now < self.ends_at and not last:
            return
        end = min(now, self.ends_at)
        for o in self.occupied.values():
            o.add(end, 0)
        self.save(self._to_dict(end))
        self.occupied = {key: o for key, o in self.occupied.items() if o.active}
        self._clear()
        # After a stall of the process, the intervals without data are skipped. They are not saved as empty.
        missed = int((now - self.ends_at) // self.interval) if now > self.ends_at else 0
        self.started_at = end + missed * self.interval
        for o in self.occupied.values():
            o.start_interval(self.started_at)
        self.ends_at += (missed + 1) * self.interval

    def _to_dict(self, end: float) -> dict[str, Any]:
        """Returns the entry of the interval, which ends at `end`.

        The names are those of the file format. `begin` is the start of the interval on the Unix clock; `from`
        is later if the record was started within it. `took` is the cell that accepted the call, `up` the
        number of established calls at the end, `held` the durations of ended calls (`held_ms` their sum,
        `held_s2` the sum of their squares in s^2).
        """
        return {
            "from": self.clock(self.started_at),
            "to": self.clock(end),
            "begin": self.clock(self.ends_at - self.interval),
            "arrivals": [
                {"dest": dest, "class": call_class, "first": a.first_attempts, "redials": a.redials}
                for (dest, call_class), a in self.arrivals.items()
            ],
            "routes": [
                {
                    "tried": tried,
                    "took": carried_by,
                    "class": call_class,
                    **o.counts,
                    "redials_carried": o.redials_carried,
                    "lost_ms": round(o.lost_ms, 3),
                    "delay": o.delay,
                }
                for (tried, carried_by, call_class), o in self.routes.items()
            ],
            "occupied": [
                {
                    "cell": cell,
                    "class": call_class,
                    "call_ms": round(o.call_ms, 3),
                    "peak": o.peak,
                    "up": o.active,
                    "ended": o.ended,
                    "held_ms": round(o.duration_sum, 3),
                    "held_s2": round(o.duration_squares, 9),
                    "held": o.durations,
                }
                for (cell, call_class), o in self.occupied.items()
            ],
        }
