"""Bounds the log: whoever sends us nonsense at full speed must not fill it, nor cost us the writing."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic
from typing import Any

MOST, PER = 10, 10.0  # lines of one kind, and the seconds they count for


class Quiet:
    """A filter for loguru's sinks: each place in the code may write so many lines in so many seconds. The
    first line after that says how many were left out. It keeps one entry a place, whatever the lines hold.
    """

    def __init__(self, time: Callable[[], float] = monotonic) -> None:
        self._time = time
        self._places: dict[tuple[str, int], list[float]] = {}  # span's start, lines in it, lines left out

    def __call__(self, record: dict[str, Any]) -> bool:
        now = self._time()
        place = self._places.setdefault((record["name"], record["line"]), [now, 0, 0])
        if now - place[0] >= PER:
            place[:2] = now, 0
        place[1] += 1
        if place[1] > MOST:
            place[2] += 1
            return False
        if place[2]:
            record["message"] += f" ({place[2]:.0f} more like it were left out)"
            place[2] = 0
        return True
