"""Figures for operators: one row per call class. Each call is counted once, when its result is known.

The sums balance: taken = fulfilled + throttled + faulted + abandoned + unanswered calls. An established call
counts as fulfilled, and as an open request until it ends. The counts start with the process; the published
names are those of the operators' page.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from softswitch.core.call import CallResult

MAX_REMOVED_CLASSES = 64  # rows kept for classes that are no longer in the settings

# The column in which a call is counted, by its result.
COLUMNS = {
    CallResult.ESTABLISHED: "fulfilled",
    CallResult.ABANDONED: "abandoned",
    CallResult.REJECTED: "throttled",
    CallResult.FAILED: "faulted",
}


@dataclass(slots=True)
class ClassFigures:
    """The row of one call class."""

    taken: int = 0  # call setups received, without duplicates
    fulfilled: int = 0  # established
    throttled: int = 0  # rejected: the caller can safely retry
    faulted: int = 0  # failed
    abandoned: int = 0  # abandoned by the caller before an answer
    relayed: int = 0  # attempts written completely to quote engines

    def report(self) -> dict[str, int]:
        """Returns the published columns."""
        return {"fulfilled": self.fulfilled, "throttled": self.throttled, "faulted": self.faulted}


class Figures:
    """The figures of all call classes. Only the settings create rows; class names sent by callers do not."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.rows: dict[str, ClassFigures] = {}
        self.unknown = ClassFigures()  # calls of classes without a row
        self.current: dict[str, None] = {}  # classes in the settings, in their order
        self.relayed_of_dropped_rows = 0
        self.cfg_accepted = 0  # configurations applied at SIGHUP
        self.cfg_invalid = 0
        self.replace_classes(classes)

    def replace_classes(self, classes: Iterable[str]) -> None:
        """Replaces the current classes. Keeps the newest MAX_REMOVED_CLASSES rows of removed classes."""
        self.current = dict.fromkeys(classes)
        for name in self.current:
            self.rows[name] = self.rows.pop(name) if name in self.rows else ClassFigures()
        removed = [name for name in self.rows if name not in self.current]
        for name in removed[:-MAX_REMOVED_CLASSES]:
            self.relayed_of_dropped_rows += self.rows.pop(name).relayed

    def for_class(self, call_class: str) -> ClassFigures:
        """Returns the row of a class, or the common row of all unknown classes."""
        return self.rows.get(call_class) or self.unknown

    def count_result(self, call_class: str, result: CallResult) -> None:
        """Counts the result of a call."""
        row = self.for_class(call_class)
        column = COLUMNS[result]
        setattr(row, column, getattr(row, column) + 1)

    def report(self, open_requests: int, listed: int, unavailable: int) -> dict[str, Any]:
        """Returns the figures in the form that the management address publishes."""
        rows = (self.unknown, *self.rows.values())
        return {
            "operations": {name: row.report() for name, row in self.rows.items()},
            "relayed": self.relayed_of_dropped_rows + sum(row.relayed for row in rows),
            "open_requests": open_requests,
            "registry_entries": listed,
            "out_of_rotation": unavailable,
            "cfg_accepted": self.cfg_accepted,
            "cfg_invalid": self.cfg_invalid,
        }
