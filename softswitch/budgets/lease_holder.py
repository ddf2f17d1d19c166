"""A holder: asks for its parts, takes what is granted, and knows at each instant what it holds.

A part runs from when it was asked for, by the holder's own clock, so a grant that comes late runs shorter and
one of a life before does not fit. A grant replaces the one that it names as its basis and no other: grants
that overtake each other can't bring back what was given up.
"""

from __future__ import annotations

from collections import OrderedDict
from random import Random

from softswitch.budgets.messages import NOBODY, NOTHING, Grant, Id, Line, Office, See, Want
from softswitch.budgets.plan import Plan

KEPT = 16  # wants whose grants may still come
LEAST = 50.0  # ms between two wants, whatever is heard: voters may each point at the other
AGAIN = 300.0  # ms after which a want that nobody answered goes out again
GROWN = 1.25  # times the need told last, from which on it is told at once
DEAF = 3  # wants that an allocator leaves unanswered before another voter is asked


class Holder:
    """Owner of what this process holds on lease."""

    def __init__(self, plan: Plan, me: str, boot: int, rng: Random, now: float) -> None:
        self.plan, self.me, self.boot, self.rng = plan, me, boot, rng
        self.seq, self.began = 0, now
        self.sent: OrderedDict[int, float] = OrderedDict()  # want -> when it went out
        self.office: Office = NOBODY
        self.at = ""  # the allocator, as far as is known
        self.unanswered = 0
        self.last: Id = NOTHING  # the grant that was taken last, lapsed or not
        self.parts: dict[str, int] = {}
        self.until = now  # until when they are held
        self.needs: dict[str, tuple[int, float]] = {}  # slots, floor and all; weight
        self.told: dict[str, int] = {}  # needs, as the last want told them
        self.next_want = now
        self.turn = rng.randrange(len(plan.voters))  # the voter that is asked next while nobody is known
        self.leaving = False
        self.fresh = True  # nothing was taken since the last lapse
        self.counts = {"wants": 0, "grants": 0, "grants that came too late": 0, "lapses": 0}

    def leased(self, now: float, name: str) -> int:
        return self.parts.get(name, 0) if now < self.until and not self.leaving else 0

    def held(self, now: float, name: str) -> int:
        """Slots, floor and all. The floor is there once the slots have rested that a life before may have
        used.
        """
        return self.leased(now, name) + self.floor(now, name)

    def floor(self, now: float, name: str) -> int:
        budget = self.plan.by_name.get(name)
        if budget is None or now < self.began + self.plan.rests(budget):
            return 0
        return self.plan.floor_of(name, self.me)

    def want(self, now: float, back: bool = False) -> tuple[str, Want]:
        """The next one, and to whom."""
        self.seq += 1
        self.sent[self.seq] = now
        while len(self.sent) > KEPT:
            self.sent.popitem(last=False)
        if self.unanswered >= DEAF:
            self.at, self.unanswered = "", 0
        if not self.at:
            self.turn = (self.turn + 1) % len(self.plan.voters)
        to = self.at or self.plan.voters[self.turn]
        self.unanswered += bool(self.at)
        self.next_want = now + min(self.plan.renew, AGAIN) * self.rng.uniform(0.85, 1.1)
        self.counts["wants"] += 1
        self.told = {name: slots for name, (slots, _) in self.needs.items()}
        lines = tuple(
            Line(
                b.name,
                b.whole,
                b.floor,
                0 if back else self.leased(now, b.name),
                *self.needs.get(b.name, (0, 1.0)),
            )
            for b in self.plan.budgets
        )
        return to, Want(self.me, self.boot, self.seq, self.office, self.last, lines, back)

    def need(self, now: float, needs: dict[str, tuple[int, float]]) -> None:
        """What is needed now. A need that has grown much is told soon."""
        self.needs = needs
        grown = any(slots > GROWN * self.told.get(name, 0) + 1 for name, (slots, _) in needs.items())
        if grown and self.sent:
            self._soon(now, AGAIN)

    def _soon(self, now: float, after: float) -> None:
        """The next want goes out as soon as so many ms have passed since the last one."""
        last = next(reversed(self.sent.values()), now - after)
        self.next_want = min(self.next_want, max(now, last + after))

    def seen(self, now: float, see: See) -> None:
        """Somebody says who the allocator is. The allocator itself says which office it holds."""
        if see.office != NOBODY:
            self.office, self.at, self.unanswered = see.office, see.at, 0
            self._soon(now, LEAST)
        elif see.at and see.at != self.at:
            self.at, self.unanswered = see.at, 0
            self._soon(now, LEAST)

    def granted(self, now: float, grant: Grant) -> bool:
        """False: it is of another life, came too late, or does not follow on what is held."""
        asked = self.sent.get(grant.seq)
        if grant.boot != self.boot or asked is None or self.leaving:
            return False
        self.office, self.at, self.unanswered = grant.office, grant.at, 0
        until = asked + grant.lease
        if grant.basis != self.last or now >= until:
            self.counts["grants that came too late"] += 1
            return False
        parts = dict(grant.parts)
        less = any(parts.get(name, 0) < part for name, part in self.parts.items())
        self.last, self.parts, self.until, self.fresh = grant.id, parts, until, False
        self.counts["grants"] += 1
        self.next_want = now + grant.again * self.rng.uniform(0.85, 1.1)
        if less:  # what it gave up is free for others as soon as it says so
            self._soon(now, LEAST)
        return True

    def lapsed(self, now: float) -> bool:
        """True once, when what was held has lapsed and the floor is left."""
        if self.fresh or now < self.until:
            return False
        self.fresh, self.parts = True, {}
        self.counts["lapses"] += 1
        return True
