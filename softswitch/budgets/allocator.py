"""The allocator: its election by lease, and the grants that it makes.

At most one process is the allocator at any instant of true time: it needs promises of a quorum of the voters,
relies on each promise for less time than the voter keeps it, and checks its clock before each grant.

A new allocator does not read the ledger of its predecessor: it grants no further slots until all earlier
grants have expired. Meanwhile it renews what a holder still holds, if the holder reports it after it received
this epoch: the previous epoch had ended by then, so its allocator can't have granted the slots to another
holder.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from softswitch.budgets.ledger import HolderRecord, Ledger
from softswitch.budgets.messages import (
    NO_EPOCH,
    Epoch,
    EpochWithdrawn,
    LeaseGrant,
    LeaseRequest,
    Message,
    Promise,
    PromiseDenied,
    PromiseRequest,
    Redirect,
)
from softswitch.budgets.plan import Plan

EPOCH_BITS = 62
ANSWER_TIMEOUT = 400.0  # ms for voters to answer a candidate
RENEW_SOON = 350.0  # ms after which a holder below its target requests again
MAX_ROUNDS = 4  # rounds of promise requests whose answers are still accepted
MAX_OUTSTANDING = 64  # outstanding grants of one holder
# ms before a candidate starts: per place in the list of voters, and random
RANK_DELAY, MAX_RANDOM_DELAY = 100.0, 150.0
PROMISED_ELSEWHERE_DELAY = 100.0  # ms before the next candidacy if this member's voter promised another


@dataclass(slots=True)
class Round:
    """One round of promise requests."""

    sent_at: float
    voters: set[str] = field(default_factory=set)  # whose promise has arrived


class Allocator:
    """A voter in its roles as candidate and allocator. Stores the promises that it received."""

    def __init__(self, plan: Plan, address: str, voters_digest: int, rng: Random, now: float) -> None:
        self.plan = plan
        self.address = address
        self.voters_digest = voters_digest
        self.rng = rng
        self.rank = plan.voters.index(address) if address in plan.voters else 0
        self.term = 0  # the highest known
        self.candidate_epoch: Epoch = NO_EPOCH  # for which promises are requested
        # of this process's grants, or NO_EPOCH; the epoch's random number is generated when it begins
        self.epoch: Epoch = NO_EPOCH
        self.round = 0
        self.rounds: dict[int, Round] = {}  # by number
        self.until = now  # end of the leadership, by this process's clock
        # A campaign is the time in which a candidate collects promises for one epoch.
        self.campaign_ends = now
        self.next_campaign = now + plan.promise + self._campaign_delay()
        self.next_round = now
        self.ledger = Ledger(plan, now)
        self.grant_number = 0  # of the last grant in this epoch
        self.granted = 0  # grants in all epochs
        self.epochs_won = 0
        self.last_denial = ""

    def _campaign_delay(self) -> float:
        """Voters earlier in the list start earlier, so that candidates rarely compete."""
        return RANK_DELAY * self.rank + self.rng.uniform(0.0, MAX_RANDOM_DELAY)

    def is_leader(self, now: float) -> bool:
        """Whether this process is the allocator."""
        return self.epoch != NO_EPOCH and now < self.until

    def next_at(self) -> float:
        """The time by which `tick` has to be called again."""
        if self.candidate_epoch == NO_EPOCH:
            return self.next_campaign
        leading = self.epoch != NO_EPOCH
        return min(self.next_round, self.ledger.next_division if leading else self.campaign_ends)

    def tick(self, now: float, promised_to: str) -> list[Message]:
        """Handles due timers. `promised_to`: the address to which this member's voter made its promise.

        The returned messages go to all voters.
        """
        if self.epoch != NO_EPOCH and now >= self.until:
            self.resign()  # leadership expired; the ledger is void
            self.next_campaign = now + self._campaign_delay()
        if self.candidate_epoch == NO_EPOCH:
            return self._start_campaign(now, promised_to)
        if self.epoch == NO_EPOCH and now >= self.campaign_ends:
            return self._give_up_campaign(now)
        if self.epoch != NO_EPOCH and now >= self.ledger.next_division:
            self.ledger.divide(now)
        return [self._promise_request(now)] if now >= self.next_round else []

    def _start_campaign(self, now: float, promised_to: str) -> list[Message]:
        if now < self.next_campaign:
            return []
        self.next_campaign = now + PROMISED_ELSEWHERE_DELAY + self._campaign_delay()
        if promised_to not in ("", self.address):
            return []
        self.term += 1
        self.candidate_epoch = (self.term, self.rng.getrandbits(EPOCH_BITS))
        self.rounds = {}
        self.campaign_ends = now + ANSWER_TIMEOUT
        return [self._promise_request(now)]

    def _give_up_campaign(self, now: float) -> list[Message]:
        withdrawn = EpochWithdrawn(self.candidate_epoch)
        self.candidate_epoch = NO_EPOCH
        self.next_campaign = now + self._campaign_delay() * self.rng.uniform(1.0, 4.0)
        return [withdrawn]

    def resign(self) -> Epoch:
        """Ends leadership or candidacy. Returns the epoch whose promises are released."""
        withdrawn = self.candidate_epoch
        self.epoch = NO_EPOCH
        self.candidate_epoch = NO_EPOCH
        return withdrawn

    def _promise_request(self, now: float) -> PromiseRequest:
        self.round += 1
        self.rounds[self.round] = Round(now)
        while len(self.rounds) > MAX_ROUNDS:
            del self.rounds[min(self.rounds)]
        self.next_round = now + (ANSWER_TIMEOUT / 2 if self.epoch == NO_EPOCH else self.plan.promise / 4)
        return PromiseRequest(self.address, self.candidate_epoch, self.round, self.voters_digest)

    def promise_received(self, now: float, promise: Promise) -> bool:
        """Counts a promise. Returns whether this promise makes the process the allocator."""
        round_ = self.rounds.get(promise.round)
        if promise.epoch != self.candidate_epoch or self.candidate_epoch == NO_EPOCH or round_ is None:
            return False
        if promise.voter not in self.plan.voters:
            return False
        round_.voters.add(promise.voter)
        if len(round_.voters) < self.plan.quorum:
            return False
        until = round_.sent_at + self.plan.leadership
        if self.epoch == NO_EPOCH:
            return self._begin_epoch(now, until)
        if now < self.until:
            self.until = max(self.until, until)
        return False

    def _begin_epoch(self, now: float, until: float) -> bool:
        if now >= until:
            return False
        # The number was not known to any process before, so a request that echoes it was sent after the epoch
        # began.
        self.epoch = (self.candidate_epoch[0], self.rng.getrandbits(EPOCH_BITS))
        self.until = until
        self.grant_number = 0
        self.ledger = Ledger(self.plan, now)
        self.epochs_won += 1
        return True

    def denial_received(self, denial: PromiseDenied) -> None:
        """Records that a voter has denied its promise."""
        self.term = max(self.term, denial.term)
        self.last_denial = f"{denial.voter}: {denial.why}"

    def lease_requested(self, now: float, request: LeaseRequest) -> LeaseGrant | Redirect | None:
        """Returns the answer to a holder, or None. Must be called only while `is_leader`."""
        holder = self.ledger.request_received(now, request, self.epoch[1])
        if holder is None or request.returns_all or len(holder.grants) >= MAX_OUTSTANDING:
            # An outstanding grant must not be dropped from the ledger: at the maximum the holder has to wait.
            return None
        echoes = request.epoch == self.epoch
        if not echoes and request.basis[0] != self.epoch[1]:
            return Redirect(self.epoch, self.address)  # the holder then requests again and echoes this epoch
        if now >= self.ledger.next_division:
            self.ledger.divide(now)
        slots = self._slots_for(now, request, holder, echoes)
        if slots is None:
            return Redirect(self.epoch, self.address)
        return self._grant(now, request, holder, slots)

    def _slots_for(
        self, now: float, request: LeaseRequest, holder: HolderRecord, echoes: bool
    ) -> dict[str, int] | None:
        """Slots that may be granted, by budget; None if the holder has to receive this epoch first.

        `echoes`: whether the request names this epoch, so that it was sent after the epoch began.
        """
        slots: dict[str, int] = {}
        for entry in request.budgets:
            if entry.name not in self.plan.by_name:
                continue
            if self.ledger.earlier_epoch_over(now, entry.name):
                leased = holder.leased.get(entry.name, 0)
                limit = leased + max(0, self.ledger.available(now, entry.name))
                slots[entry.name] = min(holder.targets.get(entry.name, 0), limit)
            elif echoes:
                slots[entry.name] = entry.leased
            else:
                return None
        return slots

    def _grant(
        self, now: float, request: LeaseRequest, holder: HolderRecord, slots: dict[str, int]
    ) -> LeaseGrant:
        self.grant_number += 1
        self.granted += 1
        id_ = (self.epoch[1], self.grant_number)
        self.ledger.add_grant(now, holder, id_, slots)
        short = any(count < holder.targets.get(name, 0) for name, count in slots.items())
        renew_after = self.plan.renew_interval
        return LeaseGrant(
            request.boot,
            request.seq,
            self.epoch,
            self.address,
            id_,
            request.basis,
            tuple(slots.items()),
            self.plan.lease,
            min(RENEW_SOON, renew_after) if short else renew_after,
        )
