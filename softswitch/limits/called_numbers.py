"""Rejects calls to numbers whose lines are all busy, before they cause work at an endpoint.

A busy number is busy at every endpoint, and each failed call setup takes processor time from other calls. The
number of lines of a called number is unknown, and so are the lines that other softswitches use. Therefore a
busy answer closes the number for an interval that doubles with each busy answer (binary exponential backoff,
as in Metcalfe and Boggs, "Ethernet", 1976); the first call after the interval is a probe. When a call to the
number is established or ends, the number opens for the next call at once. Times are in ms.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_NUMBERS = 4_096  # busy numbers in the table; the one that was busy longest ago is evicted first
MAX_ESTABLISHED = 4_096  # established calls to them in the table; the oldest is evicted first
FIRST_INTERVAL = 500.0  # ms after the first busy answer
MAX_INTERVAL = 4_000.0  # ms; a line that becomes free may stay unused for this long
REMOVE_AFTER = 30_000.0  # ms after the last busy answer until a number is removed from the table


@dataclass(slots=True)
class BusyNumber:
    """State of a number that was busy recently."""

    busy_at: float  # time of the last busy answer
    closed_until: float  # time until which calls to the number are rejected
    interval: float  # ms for which the last busy answer or probe closes the number


class CalledNumbers:
    """Table of the numbers that were busy recently, and of the established calls to them."""

    def __init__(self, max_numbers: int = MAX_NUMBERS, max_established: int = MAX_ESTABLISHED) -> None:
        self.max_numbers = max_numbers
        self.max_established = max_established
        self.numbers: OrderedDict[str, BusyNumber] = OrderedDict()  # the one busy longest ago first
        self.established: OrderedDict[str, str] = OrderedDict()  # call id -> number, the oldest call first
        self.rejected = 0  # total number of rejected calls
        self.probes = 0  # total number of calls admitted as probes

    def admit(self, now: float, number: str) -> float:
        """Returns 0 if a call to the number is admitted; otherwise ms until the next one may be."""
        known = self.numbers.get(number)
        if known is None:
            return 0.0
        if now - known.busy_at > REMOVE_AFTER:
            del self.numbers[number]
            return 0.0
        if now < known.closed_until:
            self.rejected += 1
            return known.closed_until - now
        self.probes += 1
        known.closed_until = now + known.interval  # until this probe is answered
        return 0.0

    def busy(self, now: float, number: str) -> None:
        """Records that a call to the number found all its lines busy."""
        known = self.numbers.get(number)
        if known is None:
            known = self.numbers[number] = BusyNumber(now, now, FIRST_INTERVAL / 2)
            if len(self.numbers) > self.max_numbers:
                self.numbers.popitem(last=False)
        self.numbers.move_to_end(number)
        known.busy_at = now
        known.interval = min(2 * known.interval, MAX_INTERVAL)
        known.closed_until = now + known.interval

    def answered(self, now: float, number: str, call: str) -> None:
        """Records that a call to the number was established: another line may be free."""
        known = self.numbers.get(number)
        if known is None:
            return
        known.interval = max(FIRST_INTERVAL / 2, known.interval / 2)
        known.closed_until = now
        self.established[call] = number
        if len(self.established) > self.max_established:
            self.established.popitem(last=False)

    def ended(self, now: float, call: str) -> None:
        """Records the end of an established call; its number, if in the table, has a free line."""
        known = self.numbers.get(self.established.pop(call, ""))
        if known is not None:
            known.closed_until = now
