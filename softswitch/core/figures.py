"""What the operators are told in numbers: a row a class, each call counted once, where it happens.

The sums balance: taken = fulfilled + throttled + faulted + abandoned + those still owed an answer. An
established call is fulfilled, and an open request until it ends. Counts since the start; the names are those
of the page.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from softswitch.core.call import CallResult

MAX_VANISHED_CLASSES = 64  # rows kept of classes that the settings no longer have

# In which column of the figures a call is counted, by how it ceased to be owed an answer.
COLUMNS = {
    CallResult.ESTABLISHED: "fulfilled",
    CallResult.ABANDONED: "abandoned",
    CallResult.REJECTED: "throttled",
    CallResult.FAILED: "faulted",
}


@dataclass(slots=True)
class ClassFigures:
    """One class of call."""

    taken: int = 0  # call setups that were owed an answer
    fulfilled: int = 0  # established
    throttled: int = 0  # rejected: trying again is harmless
    faulted: int = 0  # failed
    abandoned: int = 0  # given up by their callers before an answer
    relayed: int = 0  # attempts written completely to quote engines

    def report(self) -> dict[str, int]:
        """The published columns."""
        return {"fulfilled": self.fulfilled, "throttled": self.throttled, "faulted": self.faulted}


class Figures:
    """Its rows come from the settings alone: what callers write never makes one."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.rows: dict[str, ClassFigures] = {}
        self.unknown = ClassFigures()  # calls of classes that no settings had
        self.current: dict[str, None] = {}  # in the order of the settings
        self.relayed_of_dropped_rows = 0
        self.cfg_accepted = 0  # configurations taken at SIGHUP
        self.cfg_invalid = 0
        self.set_classes(classes)

    def set_classes(self, classes: Iterable[str]) -> None:
        """The settings' classes now. Those that vanish keep their rows, of many the newest."""
        self.current = dict.fromkeys(classes)
        for name in self.current:
            self.rows[name] = self.rows.pop(name) if name in self.rows else ClassFigures()
        vanished = [name for name in self.rows if name not in self.current]
        for name in vanished[:-MAX_VANISHED_CLASSES]:
            self.relayed_of_dropped_rows += self.rows.pop(name).relayed

    def for_class(self, call_class: str) -> ClassFigures:
        """The row of a class."""
        return self.rows.get(call_class) or self.unknown

    def count_result(self, call_class: str, result: CallResult) -> None:
        """A call is owed no answer any more."""
        row = self.for_class(call_class)
        column = COLUMNS[result]
        setattr(row, column, getattr(row, column) + 1)

    def report(self, open_requests: int, listed: int, unavailable: int) -> dict[str, Any]:
        """As the management address gives them."""
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
