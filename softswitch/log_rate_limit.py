"""Limits the rate of log lines.

A peer that sends malformed messages at full speed must neither fill the log nor take up time for writing it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loguru import Record

MAX_LINES = 10  # per log statement and interval
INTERVAL = 10.0  # s


@dataclass(slots=True)
class _LogStatement:
    """The lines of one log statement in the current interval."""

    interval_started_at: float
    lines: int = 0
    suppressed: int = 0


class LogRateLimit:
    """A filter for loguru sinks: each log statement may write at most MAX_LINES lines per INTERVAL.

    The first line of a later interval states how many were suppressed. There is one entry per log statement,
    regardless of the text of the lines, so memory use is bounded.
    """

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self._clock = clock
        self._statements: dict[tuple[str, int], _LogStatement] = {}  # by module and line number

    def __call__(self, record: Record) -> bool:
        """Whether to write this record. Adds the number of suppressed lines to its message."""
        now = self._clock()
        key = (record["name"] or "", record["line"])
        statement = self._statements.setdefault(key, _LogStatement(now))
        if now - statement.interval_started_at >= INTERVAL:
            statement.interval_started_at = now
            statement.lines = 0
        statement.lines += 1
        if statement.lines > MAX_LINES:
            statement.suppressed += 1
            return False
        if statement.suppressed:
            record["message"] += f" ({statement.suppressed} more like it were left out)"
            statement.suppressed = 0
        return True
