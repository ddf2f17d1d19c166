"""A voter: promises itself to one allocator at a time, for a limited time.

Promises are not stored on disk, so there is no file that can be corrupt, lost or not writable. A restarted
voter may have promised itself before, so it makes no promise until any such promise has expired by its own
clock.
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
    """Makes promises, and stores the current one."""

    def __init__(self, plan: Plan, address: str, voters_digest: int, now: float) -> None:
        self.plan = plan
        self.address = address
        self.voters_digest = voters_digest  # of the settings on which voters have to agree
        self.term = 0  # the highest known
        self.epoch: Epoch = NO_EPOCH  # of the promise
        self.allocator = ""  # address to which the promise was made
        self.until = now + plan.promise  # no promise to another allocator before this time
        self.withdrawn: Epoch = NO_EPOCH  # the last epoch whose promise was released

    def promised_to(self, now: float) -> str:
        """The address to which the current promise was made; empty if there is none."""
        return self.allocator if now < self.until else ""

    def promise_requested(self, now: float, request: PromiseRequest) -> Promise | PromiseDenied:
        """Returns the answer to a candidate."""
        objection = self._objection(now, request)
        if objection:
            return PromiseDenied(self.address, request.epoch, request.round, self.term, objection)
        # Terms only label epochs for operators; uniqueness depends on the promises alone. So a term below the
        # highest known one is no objection: an isolated voter raises terms by its own candidacies.
        self.term = max(self.term, request.epoch[0])
        self.epoch = request.epoch
        self.allocator = request.address
        self.until = now + self.plan.promise
        return Promise(self.address, request.epoch, request.round)

    def _objection(self, now: float, request: PromiseRequest) -> str:
        """Why a promise is denied; empty if it is made.

        "whoever was before the start": a candidate to which this voter may have made a promise before its
        restart; "it gave up this office": the candidate has withdrawn this epoch.
        """
        if request.voters != self.voters_digest:
            return "another list of voters, or other times, are in use here"
        if now < self.until and request.epoch != self.epoch:
            to = self.allocator or "whoever was before the start"
            return f"promised to {to} for {self.until - now:.0f} ms"
        if request.epoch == self.withdrawn:
            return "it gave up this office"
        return ""

    def epoch_withdrawn(self, message: EpochWithdrawn) -> None:
        """Releases the promise, which the candidate no longer uses: another may be made at once."""
        if message.epoch == self.epoch and message.epoch != NO_EPOCH:
            self.withdrawn = message.epoch
            self.epoch = NO_EPOCH
            self.allocator = ""
            self.until = 0.0
