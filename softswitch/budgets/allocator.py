"""The allocator: how one is elected by lease, and what it grants.

At most one process is the allocator at any instant of true time: it needs the promises of a quorum of the
voters, counts on each for less than the voter keeps it, and asks its clock before each grant.

The ledger of the allocator before is not read: nothing new is granted until all that it granted has expired.
What a holder still holds from it is renewed meanwhile, if the holder reports it after having heard of this
epoch: the epoch before ended first, so it can't have given that to somebody else.
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
ANSWER_TIMEOUT = 400.0  # ms that voters have to answer a candidate
RENEW_SOON = 350.0  # ms after which a holder that has less than its target asks again
MAX_ROUNDS = 4  # rounds of promises that may still be answered
MAX_OUTSTANDING = 64  # grants of one holder that may still be held
# ms before a candidate tries: by its place in the list, and drawn
RANK_DELAY, MAX_RANDOM_DELAY = 100.0, 150.0
PROMISED_ELSEWHERE_DELAY = 100.0  # ms before it looks again whether its own voter is promised to another


@dataclass(slots=True)
class Round:
    """One round of promises."""

    sent_at: float
    voters: set[str] = field(default_factory=set)  # that promised themselves


class Allocator:
    """This voter's way to become the allocator, and what it does as one. Owner of the promises given to
    it.
    """

    def __init__(self, plan: Plan, address: str, voters_digest: int, rng: Random, now: float) -> None:
        self.plan = plan
        self.address = address
        self.voters_digest = voters_digest
        self.rng = rng
        self.rank = plan.voters.index(address) if address in plan.voters else 0
        self.term = 0  # the highest heard of
        self.candidate_epoch: Epoch = NO_EPOCH  # that promises are asked for
        self.epoch: Epoch = NO_EPOCH  # that grants are given under; its number is drawn as it begins
        self.round = 0
        self.rounds: dict[int, Round] = {}
        self.until = now  # it is the allocator until then, by this process's clock
        self.campaign_ends = now
        self.next_campaign = now + plan.promise + self._campaign_delay()
        self.next_round = now
        self.ledger = Ledger(plan, now)
        self.grant_number = 0  # of the last grant
        self.granted = 0
        self.epochs_won = 0
        self.last_denial = ""

    def _campaign_delay(self) -> float:
        """Those who come first in the list try first, so that candidates seldom meet."""
        return RANK_DELAY * self.rank + self.rng.uniform(0.0, MAX_RANDOM_DELAY)

    def is_leader(self, now: float) -> bool:
        """Whether this process is the allocator."""
        return self.epoch != NO_EPOCH and now < self.until

    def next_at(self) -> float:
        """When `tick` is to be called next."""
        if self.candidate_epoch == NO_EPOCH:
            return self.next_campaign
        leading = self.epoch != NO_EPOCH
        return min(self.next_round, self.ledger.next_division if leading else self.campaign_ends)

    def tick(self, now: float, promised_to: str) -> list[Message]:
        """Time went on. `promised_to`: whom the own voter has promised itself to. The result goes to all
        voters.
        """
        if self.epoch != NO_EPOCH and now >= self.until:
            self.resign()  # lost; nothing of its ledger counts any more
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
        """Is neither the allocator nor a candidate from now on; the epoch that no promise is counted on
        for.
        """
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
        """True: this process becomes the allocator by it."""
        found = self.rounds.get(promise.round)
        if promise.epoch != self.candidate_epoch or self.candidate_epoch == NO_EPOCH or found is None:
            return False
        if promise.voter not in self.plan.voters:
            return False
        found.voters.add(promise.voter)
        if len(found.voters) < self.plan.quorum:
            return False
        until = found.sent_at + self.plan.leadership
        if self.epoch == NO_EPOCH:
            return self._begin_epoch(now, until)
        if now < self.until:
            self.until = max(self.until, until)
        return False

    def _begin_epoch(self, now: float, until: float) -> bool:
        if now >= until:
            return False
        # Of this number nobody can have heard before now: an echo of it was sent after the epoch began.
        self.epoch = (self.candidate_epoch[0], self.rng.getrandbits(EPOCH_BITS))
        self.until = until
        self.grant_number = 0
        self.ledger = Ledger(self.plan, now)
        self.epochs_won += 1
        return True

    def denial_received(self, denial: PromiseDenied) -> None:
        """A voter has not promised itself."""
        self.term = max(self.term, denial.term)
        self.last_denial = f"{denial.voter}: {denial.why}"

    def lease_requested(self, now: float, request: LeaseRequest) -> LeaseGrant | Redirect | None:
        """The answer to a holder; to be asked only while this process `is_leader`."""
        holder = self.ledger.request_received(now, request, self.epoch[1])
        if holder is None or request.returns_all or len(holder.grants) >= MAX_OUTSTANDING:
            return None  # with so many still held it has to wait: none of them may be left out of the ledger
        echoes = request.epoch == self.epoch
        if not echoes and request.basis[0] != self.epoch[1]:
            return Redirect(self.epoch, self.address)  # it asks again, knowing of this epoch
        if now >= self.ledger.next_division:
            self.ledger.divide(now)
        slots = self._slots_for(now, request, holder, echoes)
        if slots is None:
            return Redirect(self.epoch, self.address)
        return self._grant(now, request, holder, slots)

    def _slots_for(
        self, now: float, request: LeaseRequest, holder: HolderRecord, echoes: bool
    ) -> dict[str, int] | None:
        """What may be granted; None: the holder has to hear of this epoch first."""
        slots: dict[str, int] = {}
        for asked in request.budgets:
            if asked.name not in self.plan.by_name:
                continue
            if self.ledger.earlier_epoch_over(now, asked.name):
                leased = holder.leased.get(asked.name, 0)
                most = leased + max(0, self.ledger.available(now, asked.name))
                slots[asked.name] = min(holder.targets.get(asked.name, 0), most)
            elif echoes:
                slots[asked.name] = asked.leased
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
