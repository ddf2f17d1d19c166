"""A voter: promises itself to one allocator at a time, for a while.

Nothing of it is on disk. A voter that started anew may have promised itself before its restart; so it
promises nothing until such a promise is over by its own clock. What is not kept can't be corrupt, full or
forgotten.
"""

from __future__ import annotations

from softswitch.budgets.messages import (
    NO_EPOCH,
    Epoch,
    EpochWithdrawn,
    Promise,
    PromiseDenied,
    PromiseRequest,
)
from softswitch.budgets.plan import Plan


class Voter:
    """Owner of one promise."""

    def __init__(self, plan: Plan, address: str, voters_digest: int, now: float) -> None:
        self.plan = plan
        self.address = address
        self.voters_digest = voters_digest  # of what voters agree on
        self.term = 0  # the highest heard of
        self.epoch: Epoch = NO_EPOCH  # that the promise was given to
        self.allocator = ""  # the address of its allocator
        self.until = now + plan.promise  # until when it may not promise itself to another
        self.withdrawn: Epoch = NO_EPOCH

    def promised_to(self, now: float) -> str:
        """The address that the promise was given to, as far as it runs; empty if to nobody."""
        return self.allocator if now < self.until else ""

    def promise_requested(self, now: float, request: PromiseRequest) -> Promise | PromiseDenied:
        """The answer to a candidate."""
        why = self._objection(now, request)
        if why:
            return PromiseDenied(self.address, request.epoch, request.round, self.term, why)
        # Terms tell epochs apart for readers; that there is one at a time rests on the promise alone. A voter
        # that was cut off and tried for itself has seen higher ones: nothing against an epoch.
        self.term = max(self.term, request.epoch[0])
        self.epoch = request.epoch
        self.allocator = request.address
        self.until = now + self.plan.promise
        return Promise(self.address, request.epoch, request.round)

    def _objection(self, now: float, request: PromiseRequest) -> str:
        """Why it does not promise itself; empty if it does."""
        if request.voters != self.voters_digest:
            return "another list of voters, or other times, are in use here"
        if now < self.until and request.epoch != self.epoch:
            to = self.allocator or "whoever was before the start"
            return f"promised to {to} for {self.until - now:.0f} ms"
        if request.epoch == self.withdrawn:
            return "it gave up this office"
        return ""

    def epoch_withdrawn(self, message: EpochWithdrawn) -> None:
        """The candidate counts on no promise of this epoch: it may be given to another at once."""
        if message.epoch == self.epoch and message.epoch != NO_EPOCH:
            self.withdrawn = message.epoch
            self.epoch = NO_EPOCH
            self.allocator = ""
            self.until = 0.0
