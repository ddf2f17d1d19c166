"""What happened around the calls of each softswitch of a soak: processes, signals, connections.

The events of one call often can't tell why a rule was broken: whether its caller was connected, or which
process read an engine's message, stands in those of its softswitch. Times are in seconds.
"""

from __future__ import annotations

from collections import deque

MAX_EVENTS = 10_000  # of one softswitch, the oldest are dropped first
MAX_REPORTED = 80  # events beside one broken rule, the latest


class Timeline:
    """The latest events of each softswitch, by its name."""

    def __init__(self) -> None:
        self._events: dict[str, deque[tuple[float, str]]] = {}

    def note(self, at: float, softswitch: str, event: str) -> None:
        """Something happened."""
        events = self._events.setdefault(softswitch, deque(maxlen=MAX_EVENTS))
        events.append((at, event))

    def between(self, softswitch: str, since: float, until: float) -> tuple[str, ...]:
        """The events of that time, a line each."""
        events = self._events.get(softswitch, ())
        lines = [f"{at:.3f} {event}" for at, event in events if since <= at <= until]
        return tuple(lines[-MAX_REPORTED:])


def softswitch_of(process: str) -> str:
    """The softswitch that a process belongs to: `n0` of `n0.1`."""
    return process.partition(".")[0]
