"""Bounded history of the most recent calls, to diagnose those that failed.

Disabled unless the operator file enables it (`calls = {...}`). A call has a few short entries. The calls
untouched for longest are dropped first; a call with many entries keeps its first and last ones.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

FIRST_ENTRIES = 8  # kept per call; entries between these and the last ones are only counted
LAST_ENTRIES = 24
CONNECTION_ENTRIES = 20 * LAST_ENTRIES  # kept for all links and connections together
CONNECTIONS = ""  # the id under which entries of links and connections are added


@dataclass(slots=True)
class Entry:
    """One event of a call or a connection."""

    at: float  # ms
    event: str
    detail: str  # place or parameters of the event; empty: none


@dataclass(slots=True)
class CallTrace:
    """Entries of one call, or of all connections."""

    first: list[Entry] = field(default_factory=list)
    last: list[Entry] = field(default_factory=list)
    omitted: int = 0  # number of entries dropped between `first` and `last`

    def add(self, entry: Entry, max_last: int = LAST_ENTRIES) -> None:
        """Adds an entry. Beyond the limits, the middle entries are dropped."""
        if len(self.first) < FIRST_ENTRIES:
            self.first.append(entry)
            return
        self.last.append(entry)
        if len(self.last) > max_last:
            del self.last[0]
            self.omitted += 1


class CallHistory:
    """Owns the traces of up to `max_calls` calls."""

    def __init__(self, clock: Callable[[], float], max_calls: int) -> None:
        self.clock = clock
        self.max_calls = max_calls
        self.calls: OrderedDict[str, CallTrace] = OrderedDict()  # the one untouched for longest first
        self.connections = CallTrace()
        self.dropped = 0
        self.changed: dict[str, None] = {}  # ids with new entries since the last `pop_changed`

    def note(self, call: str, event: str, detail: str = "") -> None:
        """Adds an entry to the trace of a call, or of the connections if `call` is CONNECTIONS."""
        entry = Entry(self.clock(), event, detail)
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
        """Removes and returns up to `limit` ids with new entries, the oldest first."""
        popped = list(self.changed)[:limit]
        for call in popped:
            del self.changed[call]
        return popped

    def report(self, call: str, offset: float = 0.0) -> dict[str, Any] | None:
        """Returns the trace of a call, times shifted by `offset` ms; None if the call has no trace."""
        trace = self.connections if call == CONNECTIONS else self.calls.get(call)
        if trace is None:
            return None
        return {
            "call": call or "links",
            "left_out": trace.omitted,
            "life": [_report_entry(entry, offset) for entry in (*trace.first, *trace.last)],
        }


def _report_entry(entry: Entry, offset: float) -> dict[str, Any]:
    reported: dict[str, Any] = {"ms": round(entry.at + offset, 1), "what": entry.event}
    if entry.detail:
        reported["where"] = entry.detail
    return reported
