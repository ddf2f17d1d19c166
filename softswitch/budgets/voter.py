"""A voter: promises itself to one allocator at a time, for a while.

Nothing of it is on disk. A voter that started anew may have promised itself in its life before; so it
promises
nothing until such a promise is over by its own clock. What is not kept can't be spoilt, full or forgotten.
"""

from __future__ import annotations

from softswitch.budgets.messages import NOBODY, Ask, Denied, Office, Promised, Waive
from softswitch.budgets.plan import Plan


class Voter:
    """Owner of one promise."""

    def __init__(self, plan: Plan, me: str, voters: int, now: float) -> None:
        self.plan, self.me, self.voters = plan, me, voters  # voters: digest of what they agree on
        self.term = 0
        self.to: Office = NOBODY  # the office that the promise was given to
        self.at = ""  # the address of its allocator
        self.until = now + plan.promise  # until when it may not promise itself to another
        self.waived: Office = NOBODY

    def promised(self, now: float) -> str:
        """To whom, as far as the promise runs; empty if to nobody."""
        return self.at if now < self.until else ""

    def asked(self, now: float, ask: Ask) -> Promised | Denied:
        def no(why: str) -> Denied:
            return Denied(self.me, ask.office, ask.round, self.term, why)

        if ask.voters != self.voters:
            return no("another list of voters, or other times, are in use here")
        if now < self.until and ask.office != self.to:
            to = self.at or "whoever was before the start"
            return no(f"promised to {to} for {self.until - now:.0f} ms")
        if ask.office == self.waived:
            return no("it gave up this office")
        # Terms tell offices apart for readers; that there is one at a time rests on the promise alone. A
        # voter that was cut off and tried for itself has seen higher ones: nothing against an office.
        self.term, self.to, self.at = max(self.term, ask.office[0]), ask.office, ask.address
        self.until = now + self.plan.promise
        return Promised(self.me, ask.office, ask.round)

    def released(self, waive: Waive) -> None:
        """The candidate counts on no promise of this office: it may be given to another at once."""
        if waive.office == self.to and waive.office != NOBODY:
            self.waived, self.to, self.at, self.until = waive.office, NOBODY, "", 0.0
