"""Records the events of each softswitch of a soak: processes, signals and connections.

The events of a call often don't show why a rule was violated. The events of its softswitch show whether its
caller was connected and which process read an engine's message. Times are in seconds.
"""

from __future__ import annotations

from collections import deque

MAX_EVENTS = 10_000  # per softswitch; the oldest is dropped first
MAX_REPORTED = 80  # events reported with a violation: the latest ones


class Timeline:
    """The latest events of each softswitch, by its name."""

    def __init__(self) -> None:
        self._events: dict[str, deque[tuple[float, str]]] = {}

    def note(self, at: float, softswitch: str, event: str) -> None:
        """Records an event."""
        events = self._events.setdefault(softswitch, deque(maxlen=MAX_EVENTS))
        events.append((at, event))

    def between(self, softswitch: str, since: float, until: float) -> tuple[str, ...]:
        """Returns the latest events from `since` to `until`, one line each."""
        events = self._events.get(softswitch, ())
        lines = [f"{at:.3f} {event}" for at, event in events if since <= at <= until]
        return tuple(lines[-MAX_REPORTED:])


def softswitch_of(process: str) -> str:
    """Returns the softswitch of a process: `n0` for `n0.1`."""
    return process.partition(".")[0]
