"""Bounded history of the most recent calls, to diagnose those that failed.

Disabled unless the operator file enables it (`calls = {...}`). A call has a few events, each a short record.
The calls whose last event is the oldest are dropped first. A call with many events keeps its first and last
ones.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, Literal

from softswitch.interface import CallId

FIRST_EVENTS = 8  # kept per call; events between these and the last ones are only counted
LAST_EVENTS = 24
CONNECTION_EVENTS = 20 * LAST_EVENTS  # kept for all links and connections together
CONNECTIONS: Final = ""  # the key under which events of links and connections are added
TraceKey = CallId | Literal[""]


@dataclass(slots=True)
class TraceEvent:
    """One event of a call or a connection."""

    at: float  # ms
    name: str
    detail: str  # place or parameters of the event; empty: none


@dataclass(slots=True)
class CallTrace:
    """Events of one call, or of all connections."""

    first: list[TraceEvent] = field(default_factory=list)
    last: list[TraceEvent] = field(default_factory=list)
    omitted: int = 0  # number of events dropped between `first` and `last`

    def add(self, event: TraceEvent, max_last: int = LAST_EVENTS) -> None:
        """Adds an event. Beyond the limits, the middle events are dropped."""
        if len(self.first) < FIRST_EVENTS:
            self.first.append(event)
            return
        self.last.append(event)
        if len(self.last) > max_last:
            del self.last[0]
            self.omitted += 1


class CallHistory:
    """Owns the traces of up to `max_calls` calls."""

    def __init__(self, clock: Callable[[], float], max_calls: int) -> None:
        self.clock = clock
        self.max_calls = max_calls
        self.calls: OrderedDict[CallId, CallTrace] = OrderedDict()  # the one with the oldest last event first
        self.connections = CallTrace()
        self.dropped = 0
        self.changed: dict[TraceKey, None] = {}  # ids with new events since the last `pop_changed`

    def note(self, call: TraceKey, name: str, detail: str = "") -> None:
        """Adds an event to the trace of a call, or of the connections if `call` is CONNECTIONS."""
        event = TraceEvent(self.clock(), name, detail)
        self.changed[call] = None
        if call == CONNECTIONS:
            self.connections.add(event, CONNECTION_EVENTS)
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
        trace.add(event)

    def pop_changed(self, limit: int) -> list[TraceKey]:
        """Removes and returns up to `limit` ids with new events, the oldest first."""
        popped = list(self.changed)[:limit]
        for call in popped:
            del self.changed[call]
        return popped

    def report(self, call: TraceKey, offset: float = 0.0) -> dict[str, Any] | None:
        """Returns the trace of a call, times shifted by `offset` ms; None if the call has no trace."""
        trace = self.connections if call == CONNECTIONS else self.calls.get(call)
        if trace is None:
            return None
        return {
            "call": call or "links",
            "left_out": trace.omitted,
            "life": [_report_event(event, offset) for event in (*trace.first, *trace.last)],
        }


def _report_event(event: TraceEvent, offset: float) -> dict[str, Any]:
    reported: dict[str, Any] = {"ms": round(event.at + offset, 1), "what": event.name}
    if event.detail:
        reported["where"] = event.detail
    return reported
