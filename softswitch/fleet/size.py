"""How many softswitches share what a cold engine bears, by the view: it rises at once, and falls with care.

A member counts from the moment it is known until its last attempts have ended: `linger` ms after it left, was
found gone, or was heard of again. While this process is cut off the number never falls, and before it has
joined the file's number holds, as long as that is the greater one.
"""

from __future__ import annotations

from collections.abc import Iterable

from softswitch.fleet.messages import ENDED, Record


class FleetSize:
    """Owner of the number that the module is told."""

    def __init__(self, configured: int, linger: float) -> None:
        self.configured, self.linger = configured, linger
        self.size = configured
        self.until: dict[str, float] = {}  # names that ended: until when they count

    def update(self, now: float, records: Iterable[Record], joined: bool, cut_off: bool) -> int:
        """The number that holds from now on; to be asked at each change, and once a second."""
        there: set[str] = set()
        ended: set[str] = set()
        for r in records:
            (ended if r.state in ENDED else there).add(r.name)
        for name in ended - there:
            self.until.setdefault(name, now + self.linger)
        for name in [n for n in self.until if n in there or n not in ended]:
            del self.until[name]
        counted = len(there) + sum(now < until for until in self.until.values())
        if not joined:
            counted = max(counted, self.configured)
        if cut_off:
            counted = max(counted, self.size)
        self.size = max(1, counted)
        return self.size
