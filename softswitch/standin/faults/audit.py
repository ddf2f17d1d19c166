"""Adds up what real processes hold and spend of budgets, and what came to the engines, and holds it to the
whole.

Three witnesses that know nothing of each other: what each process says that it holds, the times at which each
says that it spent (one machine, so one clock), and the set-ups that the stand-in engines saw.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

FRESH = 800.0  # ms; an answer older than this is not added to the others: a slot rests longer than that
# Ms that a set-up may take from being spent to being seen at an engine; windows there are so much shorter.
ON_THE_WAY = 100.0


@dataclass(slots=True)
class Book:
    """What was seen of one budget."""

    whole: int
    over: float  # ms
    what: str
    klass: str
    most_held: int = 0
    spent: dict[tuple[int, float], None] = field(default_factory=dict)  # process and time, ms
    came: list[float] = field(default_factory=list)  # at the engines, ms

    def most_spent(self) -> int:
        return most_within([at for _, at in self.spent], self.over)

    def most_came(self) -> int:
        return most_within(self.came, self.over - ON_THE_WAY)


def most_within(times: list[float], over: float) -> int:
    """The most of these in any half-open window of so many ms."""
    ordered, first, most = sorted(times), 0, 0
    for n, at in enumerate(ordered):
        while ordered[first] <= at - over:
            first += 1
        most = max(most, n - first + 1)
    return most


class Audit:
    """Owner of all that was seen of the budgets in one drill."""

    def __init__(self, budgets: list[dict[str, Any]]) -> None:
        self.books: dict[str, Book] = {}
        self.said: dict[int, tuple[float, dict[str, int]]] = {}  # by process, what it held when
        self.seen: dict[str, int] = {}  # attempts of each call at the engines
        for b in budgets:
            over, shared = b.get("over_s", 1.0), b.get("what") in ("cold", "probes")
            whole = int(b.get("whole", 1.0) * (1000 if shared else over) + 1e-9)
            self.books[b["name"]] = Book(whole, over * 1000.0, b.get("what", "set-ups"), b.get("class", ""))

    def holds(self, n: int, view: dict[str, Any]) -> None:
        """A process says what it holds; the sum is taken over all that said so lately."""
        self.said[n] = (view["at_ms"], {name: b["held"] for name, b in view["budgets"].items()})
        latest = view["at_ms"]
        for name, book in self.books.items():
            fresh = [held.get(name, 0) for at, held in self.said.values() if latest - at < FRESH]
            book.most_held = max(book.most_held, sum(fresh))

    def ended(self, n: int) -> None:
        self.said.pop(n, None)

    def spent(self, n: int, name: str, times: list[float]) -> None:
        self.books[name].spent.update(((n, at), None) for at in times)

    def came(self, now: float, call: str, klass: str) -> None:
        """A set-up came to an engine."""
        again = self.seen.get(call, 0)
        self.seen[call] = again + 1
        for book in self.books.values():
            if book.what == ("repeats" if again else "set-ups") and book.klass in ("", klass):
                book.came.append(now)

    def to_dict(self) -> dict[str, Any]:
        return {
            name: {
                "whole": b.whole,
                "over_s": b.over / 1000,
                "most_held": b.most_held,
                "most_spent": b.most_spent(),
                "most_at_engines": b.most_came(),
                "spent": len(b.spent),
                "at_engines": len(b.came),
            }
            for name, b in self.books.items()
        }

    def exceeded(self) -> list[str]:
        """The budgets of which somebody saw more than the whole."""
        return [
            name
            for name, t in self.to_dict().items()
            if max(t["most_held"], t["most_spent"], t["most_at_engines"]) > t["whole"]
        ]
