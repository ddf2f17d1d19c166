"""The lives of calls: a bounded ring of what happened to each of the last ones, for those that went wrong.

Off unless the operator file asks for it (`calls = {...}`). Pure: times in ms come in. What is kept of a call
is a few short entries; of many calls the oldest go first, and a call with many entries keeps its first and
its last ones.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

FIRST, LAST = 8, 24  # entries kept of one call; those between are counted
SYSTEM = ""  # the id under which links and connections are noted


class Life:
    """What is kept of one call: entries of (ms, what, where)."""

    __slots__ = ("between", "first", "last")

    def __init__(self) -> None:
        self.first: list[tuple[float, str, str]] = []
        self.last: list[tuple[float, str, str]] = []
        self.between = 0  # entries left out

    def note(self, entry: tuple[float, str, str], most: int = LAST) -> None:
        if len(self.first) < FIRST:
            self.first.append(entry)
            return
        self.last.append(entry)
        if len(self.last) > most:
            del self.last[0]
            self.between += 1


class Lives:
    """Owner of all lives; `most` calls at once."""

    def __init__(self, clock: Callable[[], float], most: int) -> None:
        self.clock, self.most = clock, most
        self.calls: OrderedDict[str, Life] = OrderedDict()  # the one that was longest untouched first
        self.system = Life()
        self.dropped = 0
        self.fresh: dict[str, None] = {}  # calls with entries since they were last taken for the file

    def note(self, call: str, what: str, where: str = "") -> None:
        """Something happened to a call, or with SYSTEM to a link or a connection."""
        entry = (self.clock(), what, where)
        self.fresh[call] = None
        if call == SYSTEM:
            return self.system.note(entry, 20 * LAST)
        life = self.calls.get(call)
        if life is None:
            life = self.calls[call] = Life()
            if len(self.calls) > self.most:
                self.fresh.pop(self.calls.popitem(last=False)[0], None)
                self.dropped += 1
        else:
            self.calls.move_to_end(call)
        life.note(entry)
        return None

    def take(self, most: int) -> list[str]:
        """So many calls, at the most, with entries since they were last taken; the oldest first."""
        taken = list(self.fresh)[:most]
        for call in taken:
            del self.fresh[call]
        return taken

    def told(self, call: str, offset: float = 0.0) -> dict[str, Any] | None:
        """The life of one call, times shifted by `offset` ms; None if it is not known, or no more."""
        life = self.system if call == SYSTEM else self.calls.get(call)
        if life is None:
            return None
        return {
            "call": call or "links",
            "left_out": life.between,
            "life": [
                {"ms": round(at + offset, 1), "what": what, **({"where": where} if where else {})}
                for at, what, where in (*life.first, *life.last)
            ],
        }
