"""One member's part in the budgets of the fleet: it holds, it may vote, it may be the allocator.

Events in, actions out. `now` is a clock in ms that is never set and goes on while the machine sleeps.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from hashlib import blake2b
from random import Random

from softswitch.budgets.allocator import Candidate
from softswitch.budgets.lease_holder import Holder
from softswitch.budgets.messages import NOBODY, Ask, Denied, Grant, Message, Promised, See, Waive, Want
from softswitch.budgets.plan import Plan
from softswitch.budgets.voter import Voter


@dataclass(frozen=True, slots=True)
class Say:
    """A message to this member."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Note:
    """For operators. `what`: 'office taken' or 'lost', 'at the floor', 'granted again', 'whole lowered'."""

    what: str
    why: str = ""


Act = Say | Note


def voters_digest(plan: Plan) -> int:
    """Of all that voters must agree on: who they are, and the times that the proof of one office rests on."""
    said = f"{sorted(plan.voters)} {plan.promise} {plan.lease} {plan.drift}".encode()
    return int.from_bytes(blake2b(said, digest_size=7).digest(), "big")


class Keeper:
    def __init__(self, plan: Plan, me: str, boot: int, seed: int, now: float) -> None:
        self.plan, self.me = plan, me
        rng, voters = Random(seed), voters_digest(plan)
        self.votes = me in plan.voters
        self.voter = Voter(plan, me, voters, now)
        self.candidate = Candidate(plan, me, voters, rng, now)
        self.holder = Holder(plan, me, boot, rng, now)
        self.acts: list[Act] = []
        self.own: list[Message] = []  # what it says to itself
        self.was = False  # in office, as told last
        self.low = True  # at its floor, as told last
        self.bound = {b.name: b.whole for b in plan.budgets}  # the lowest wholes, as told last

    # time

    def next_at(self) -> float:
        """When `tick` is to be called next, at the latest."""
        due = [self.holder.next_want]
        if not self.holder.fresh:
            due.append(self.holder.until)
        if self.votes:
            due.append(self.candidate.next_at())
        return min(due)

    def tick(self, now: float) -> list[Act]:
        if self.votes and not self.holder.leaving:
            for message in self.candidate.tick(now, self.voter.promised(now)):
                self._to_voters(message)
        self._office(now)
        if now >= self.holder.next_want and not self.holder.leaving:
            self._say(*self.holder.want(now))
        return self._take(now)

    # what goes out

    def _say(self, to: str, message: Message) -> None:
        if to == self.me:
            self.own.append(message)
        else:
            self.acts.append(Say(to, message))

    def _to_voters(self, message: Message) -> None:
        for voter in self.plan.voters:
            self._say(voter, message)

    def _take(self, now: float) -> list[Act]:
        while self.own:
            self._heard(now, self.own.pop(0))
        if self.holder.lapsed(now) and not self.low:
            self.low = True
            self.acts.append(Note("at the floor", "no allocator was heard for a whole lease"))
        acts, self.acts = self.acts, []
        return acts

    def _office(self, now: float) -> None:
        holds = self.candidate.holds(now)
        if holds != self.was:
            self.was = holds
            self.acts.append(Note("office taken" if holds else "office lost", f"term {self.candidate.term}"))
        if holds:
            for name, (whole, _) in self.candidate.books.bound.items():
                if whole < self.bound.get(name, 0):
                    self.acts.append(Note("whole lowered", f"{name}: {whole} slots by another member's file"))
                self.bound[name] = whole

    # what comes in

    def heard(self, now: float, message: Message) -> list[Act]:
        self._heard(now, message)
        return self._take(now)

    def _heard(self, now: float, message: Message) -> None:
        if isinstance(message, Want):
            self._wanted(now, message)
        elif isinstance(message, Grant):
            if self.holder.granted(now, message) and self.low:
                self.low = False
                self.acts.append(Note("granted again", f"by {message.at}"))
        elif isinstance(message, See):
            self.holder.seen(now, message)
            if now >= self.holder.next_want and not self.holder.leaving:
                self._say(*self.holder.want(now))
        elif not self.votes:
            return
        elif isinstance(message, Ask):
            if message.address in self.plan.voters:
                self.candidate.term = max(self.candidate.term, message.office[0])
                self._say(message.address, self.voter.asked(now, message))
        elif isinstance(message, Promised):
            if self.candidate.promised(now, message):
                self._office(now)
        elif isinstance(message, Denied):
            self.candidate.refused(message)
        elif isinstance(message, Waive):
            self.voter.released(message)

    def _wanted(self, now: float, want: Want) -> None:
        if self.votes and self.candidate.holds(now):
            answer = self.candidate.wanted(now, want)
            if answer is not None:
                self._say(want.address, answer)
        elif self.votes:
            at = self.voter.promised(now)
            if at and at != self.me and not want.back:
                self._say(want.address, See(NOBODY, at))

    # what this process needs, and holds

    def needs(self, now: float, needs: dict[str, tuple[int, float]]) -> None:
        self.holder.need(now, needs)

    def held(self, now: float, name: str) -> int:
        """Slots that it may use at this instant, floor and all."""
        return self.holder.held(now, name)

    def leave(self, now: float) -> list[Act]:
        """A planned stop: all goes back at once; an allocator's office ends with its promises."""
        if not self.holder.leaving:
            self.holder.leaving = True
            self._say(*self.holder.want(now, back=True))
            if self.candidate.asking != NOBODY:
                given_up = self.candidate.asking
                self.candidate.office = self.candidate.asking = NOBODY
                self._to_voters(Waive(given_up))
        return self._take(now)

    def now_is(self, now: float, plan: Plan) -> list[Act]:
        """Another file holds from now on. Wholes change at once, and floors that fall. What a budget is, a
        floor that rises, who votes and the times change at the next start only: they are what slots were
        counted by that are out.
        """
        budgets = []
        for new in plan.budgets:
            old = self.plan.by_name.get(new.name)
            if old is None:
                budgets.append(replace(new, floor=0))
            elif replace(new, whole=old.whole, floor=old.floor) != old:
                budgets.append(old)
            else:
                budgets.append(replace(new, floor=min(new.floor, old.floor)))
        self.plan = replace(self.plan, budgets=tuple(budgets))
        self.holder.plan = self.voter.plan = self.candidate.plan = self.plan
        if self.candidate.office != NOBODY:  # the books are of the old budgets: the office is given up
            given_up = self.candidate.asking
            self.candidate.office = self.candidate.asking = NOBODY
            self.candidate.next_try = now + 200.0
            self._to_voters(Waive(given_up))
        self._office(now)
        return self._take(now)
