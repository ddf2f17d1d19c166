"""What happened to each of the last calls, in a bounded ring, for those that went wrong.

Off unless the operator file asks for it (`calls = {...}`). Kept of a call are a few short entries; of many
calls the oldest go first, and a call with many entries keeps its first and its last ones.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

FIRST_ENTRIES = 8  # kept of one call; those between these and the last ones are counted
LAST_ENTRIES = 24
CONNECTION_ENTRIES = 20 * LAST_ENTRIES  # kept of links and connections together
CONNECTIONS = ""  # the id under which links and connections are noted


@dataclass(slots=True)
class Entry:
    """Something that happened, where and when."""

    at: float  # ms
    what: str
    where: str


@dataclass(slots=True)
class CallTrace:
    """The entries of one call."""

    first: list[Entry] = field(default_factory=list)
    last: list[Entry] = field(default_factory=list)
    left_out: int = 0  # entries between them

    def add(self, entry: Entry, max_last: int = LAST_ENTRIES) -> None:
        """Adds an entry; of many the middle ones are left out."""
        if len(self.first) < FIRST_ENTRIES:
            self.first.append(entry)
            return
        self.last.append(entry)
        if len(self.last) > max_last:
            del self.last[0]
            self.left_out += 1


class CallHistory:
    """Owner of all traces, of `max_calls` calls at once."""

    def __init__(self, clock: Callable[[], float], max_calls: int) -> None:
        self.clock = clock
        self.max_calls = max_calls
        self.calls: OrderedDict[str, CallTrace] = OrderedDict()  # the one that was longest untouched first
        self.connections = CallTrace()
        self.dropped = 0
        self.changed: dict[str, None] = {}  # calls with entries since they were last taken for the file

    def note(self, call: str, what: str, where: str = "") -> None:
        """Something happened to a call, or with CONNECTIONS to a link or a connection."""
        entry = Entry(self.clock(), what, where)
        self.changed[call] = None
        if call == CONNECTIONS:
            self.connections.add(entry, CONNECTION_ENTRIES)
            return
        trace = self.calls.get(call)
        if trace is None:
            trace = self.calls[call] = CallTrace()
            if len(self.calls) > self.max_calls:
                oldest, _ = self.calls.popitem(last=False)
                self.changed.pop(oldest, None)
                self.dropped += 1
        else:
            self.calls.move_to_end(call)
        trace.add(entry)

    def pop_changed(self, limit: int) -> list[str]:
        """Up to so many calls with entries since they were last taken; the oldest first."""
        taken = list(self.changed)[:limit]
        for call in taken:
            del self.changed[call]
        return taken

    def report(self, call: str, offset: float = 0.0) -> dict[str, Any] | None:
        """The trace of one call, times shifted by `offset` ms; None if it is not known, or no more."""
        trace = self.connections if call == CONNECTIONS else self.calls.get(call)
        if trace is None:
            return None
        return {
            "call": call or "links",
            "left_out": trace.left_out,
            "life": [_reported(entry, offset) for entry in (*trace.first, *trace.last)],
        }


def _reported(entry: Entry, offset: float) -> dict[str, Any]:
    reported: dict[str, Any] = {"ms": round(entry.at + offset, 1), "what": entry.what}
    if entry.where:
        reported["where"] = entry.where
    return reported
