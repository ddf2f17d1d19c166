"""What the operators are told in numbers: a row a class, each call counted once, where it happens.

The sums balance: taken = fulfilled + throttled + faulted + abandoned + those still owed an answer. A call
that stands is fulfilled, and an open request until it ends. Counts, since the start.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

MOST_VANISHED = 64  # rows kept of classes that the settings have no more
SHOWN = ("fulfilled", "throttled", "faulted")


class Row:
    """One class of call."""

    __slots__ = ("abandoned", "faulted", "fulfilled", "relayed", "taken", "throttled")

    def __init__(self) -> None:
        self.taken = 0  # set-ups that were owed an answer
        self.fulfilled = 0  # they stood
        self.throttled = 0  # refused: trying again is harmless
        self.faulted = 0  # failed
        self.abandoned = 0  # given up by their callers before an answer
        self.relayed = 0  # attempts written whole to quote engines

    def as_dict(self) -> dict[str, int]:
        return {name: getattr(self, name) for name in SHOWN}


class Figures:
    """Its names come from the settings alone: what callers write never makes a row."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.rows: dict[str, Row] = {}
        self.unknown = Row()  # calls of classes that no settings had
        self.current: dict[str, None] = {}  # in the order of the settings
        self.dropped = 0  # attempts of classes whose rows are gone
        self.cfg_accepted = self.cfg_invalid = 0  # files read at SIGHUP
        self.settle(classes)

    def settle(self, classes: Iterable[str]) -> None:
        """The settings' classes now. Those that vanish keep their rows, of many the newest."""
        self.current = dict.fromkeys(classes)
        for name in self.current:
            self.rows[name] = self.rows.pop(name) if name in self.rows else Row()
        vanished = [name for name in self.rows if name not in self.current]
        for name in vanished[:-MOST_VANISHED]:
            self.dropped += self.rows.pop(name).relayed

    def of(self, klass: str) -> Row:
        return self.rows.get(klass) or self.unknown

    def ended(self, klass: str, outcome: str) -> None:
        """A call is owed no answer any more; `outcome` is the name of a column."""
        row = self.of(klass)
        setattr(row, outcome, getattr(row, outcome) + 1)

    def told(self, open_requests: int, listed: int, avoided: int) -> dict[str, Any]:
        """As the management address gives them."""
        relayed = self.dropped + sum(row.relayed for row in (self.unknown, *self.rows.values()))
        return {
            "operations": {name: row.as_dict() for name, row in self.rows.items()},
            "relayed": relayed,
            "open_requests": open_requests,
            "registry_entries": listed,
            "out_of_rotation": avoided,
            "cfg_accepted": self.cfg_accepted,
            "cfg_invalid": self.cfg_invalid,
        }
