"""Numbers whose lines are all busy: calls to them are rejected before they cost an endpoint work.

A busy number is busy at every endpoint, and each call set up in vain is work for a processor others need.
How many lines a number has is not told, nor how many of them other softswitches use. So a busy answer closes
the number for an interval that doubles from one busy answer to the next (binary exponential backoff, as in
Metcalfe and Boggs, "Ethernet", 1976); the first call after it is a probe. A call that is established, and one
that ends, opens the number for the next call at once. Times are in ms.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_NUMBERS = 4_096  # busy numbers that are known; the one that was busy longest ago is forgotten first
MAX_ESTABLISHED = 4_096  # established calls to them that are known
FIRST_INTERVAL = 500.0  # ms after the first busy answer
MAX_INTERVAL = 4_000.0  # ms; so long a freed line may stay unused
FORGET_AFTER = 30_000.0  # ms without a busy answer, after which a number is like any other


@dataclass(slots=True)
class BusyNumber:
    """A number that was busy lately."""

    busy_at: float  # the last time
    closed_until: float
    interval: float


class CalledNumbers:
    """Owner of what is known of busy numbers."""

    def __init__(self, max_numbers: int = MAX_NUMBERS, max_established: int = MAX_ESTABLISHED) -> None:
        self.max_numbers = max_numbers
        self.max_established = max_established
        self.numbers: OrderedDict[str, BusyNumber] = OrderedDict()  # the one busy longest ago first
        self.established: OrderedDict[str, str] = OrderedDict()  # calls to these numbers, the oldest first
        self.rejected = 0
        self.probes = 0

    def admit(self, now: float, number: str) -> float:
        """Admits a call to the number: 0. Otherwise ms until one more may be tried."""
        known = self.numbers.get(number)
        if known is None:
            return 0.0
        if now - known.busy_at > FORGET_AFTER:
            del self.numbers[number]
            return 0.0
        if now < known.closed_until:
            self.rejected += 1
            return known.closed_until - now
        self.probes += 1
        known.closed_until = now + known.interval  # until this one is answered
        return 0.0

    def busy(self, now: float, number: str) -> None:
        """A call to the number found all its lines busy."""
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
        """A call to the number is established: there may be one more line."""
        known = self.numbers.get(number)
        if known is None:
            return
        known.interval = max(FIRST_INTERVAL / 2, known.interval / 2)
        known.closed_until = now
        self.established[call] = number
        if len(self.established) > self.max_established:
            self.established.popitem(last=False)

    def ended(self, now: float, call: str) -> None:
        """An established call ended: if it went to one of these numbers, a line is free."""
        known = self.numbers.get(self.established.pop(call, ""))
        if known is not None:
            known.closed_until = now
