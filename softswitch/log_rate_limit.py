"""Limits the rate of log lines: whoever sends us nonsense at full speed must not fill the log, nor cost us
the writing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loguru import Record

MAX_LINES = 10  # of one place in the code ...
INTERVAL = 10.0  # ... in so many seconds


@dataclass(slots=True)
class _Place:
    """One place in the code that logs."""

    interval_began: float
    lines: int = 0
    left_out: int = 0


class LogRateLimit:
    """A filter for loguru's sinks: each place in the code may write so many lines in an interval.

    The first line after that says how many were left out. It keeps one entry a place, whatever the lines
    hold.
    """

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self._clock = clock
        self._places: dict[tuple[str, int], _Place] = {}

    def __call__(self, record: Record) -> bool:
        """Whether this record is to be written."""
        now = self._clock()
        key = (record["name"] or "", record["line"])
        place = self._places.setdefault(key, _Place(now))
        if now - place.interval_began >= INTERVAL:
            place.interval_began = now
            place.lines = 0
        place.lines += 1
        if place.lines > MAX_LINES:
            place.left_out += 1
            return False
        if place.left_out:
            record["message"] += f" ({place.left_out} more like it were left out)"
            place.left_out = 0
        return True
