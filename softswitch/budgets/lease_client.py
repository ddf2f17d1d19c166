"""One member's part in the budgets of the fleet: it holds a lease, it may vote, it may be the allocator.

Events in, actions out. `now` is a clock in ms that is never set and goes on while the machine sleeps.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from hashlib import blake2b
from random import Random

from softswitch.budgets.allocator import Allocator
from softswitch.budgets.lease_holder import LeaseHolder, Needs
from softswitch.budgets.messages import (
    NO_EPOCH,
    EpochWithdrawn,
    LeaseGrant,
    LeaseRequest,
    Message,
    Promise,
    PromiseDenied,
    PromiseRequest,
    Redirect,
)
from softswitch.budgets.plan import Budget, Plan
from softswitch.budgets.voter import Voter

DIGEST_SIZE = 7  # bytes
PLAN_CHANGED_DELAY = 200.0  # ms before an allocator whose plan changed tries again


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to this member."""

    to: str
    message: Message


class NoticeKind(Enum):
    """What operators are told of. The values are in the log."""

    ELECTED = "office taken"
    DEPOSED = "office lost"
    AT_THE_FLOOR = "at the floor"
    GRANTED_AGAIN = "granted again"
    TOTAL_LOWERED = "whole lowered"


@dataclass(frozen=True, slots=True)
class Notice:
    """For operators."""

    kind: NoticeKind
    details: str = ""


Action = SendMessage | Notice


def voters_digest(plan: Plan) -> int:
    """Of all that voters must agree on: who they are, and the times that the proof of one allocator rests
    on.
    """
    agreed = f"{sorted(plan.voters)} {plan.promise} {plan.lease} {plan.drift}".encode()
    return int.from_bytes(blake2b(agreed, digest_size=DIGEST_SIZE).digest(), "big")


class LeaseClient:
    """The holder, and where this member votes the voter and the allocator beside it."""

    def __init__(self, plan: Plan, address: str, boot: int, seed: int, now: float) -> None:
        self.plan = plan
        self.address = address
        rng, digest = Random(seed), voters_digest(plan)
        self.votes = address in plan.voters
        self.voter = Voter(plan, address, digest, now)
        self.allocator = Allocator(plan, address, digest, rng, now)
        self.holder = LeaseHolder(plan, address, boot, rng, now)
        self._actions: list[Action] = []
        self._own_messages: list[Message] = []  # what it sends itself
        # As operators were told last:
        self._was_leader = False
        self._was_at_the_floor = True
        self._totals = {budget.name: budget.total for budget in plan.budgets}

    # time

    def next_at(self) -> float:
        """When `tick` is to be called next, at the latest."""
        due = [self.holder.next_request]
        if not self.holder.has_no_lease:
            due.append(self.holder.until)
        if self.votes:
            due.append(self.allocator.next_at())
        return min(due)

    def tick(self, now: float) -> list[Action]:
        """Time went on."""
        if self.votes and not self.holder.stopping:
            for message in self.allocator.tick(now, self.voter.promised_to(now)):
                self._send_to_voters(message)
        self._note_leadership(now)
        if now >= self.holder.next_request and not self.holder.stopping:
            self._send(*self.holder.request(now))
        return self._take_actions(now)

    # what goes out

    def _send(self, to: str, message: Message) -> None:
        if to == self.address:
            self._own_messages.append(message)
        else:
            self._actions.append(SendMessage(to, message))

    def _send_to_voters(self, message: Message) -> None:
        for voter in self.plan.voters:
            self._send(voter, message)

    def _note(self, kind: NoticeKind, details: str) -> None:
        self._actions.append(Notice(kind, details))

    def _take_actions(self, now: float) -> list[Action]:
        while self._own_messages:
            self._handle(now, self._own_messages.pop(0))
        if self.holder.expired(now) and not self._was_at_the_floor:
            self._was_at_the_floor = True
            self._note(NoticeKind.AT_THE_FLOOR, "no allocator was heard for a whole lease")
        actions, self._actions = self._actions, []
        return actions

    def _note_leadership(self, now: float) -> None:
        leader = self.allocator.is_leader(now)
        if leader != self._was_leader:
            self._was_leader = leader
            kind = NoticeKind.ELECTED if leader else NoticeKind.DEPOSED
            self._note(kind, f"term {self.allocator.term}")
        if not leader:
            return
        for name, limits in self.allocator.ledger.limits.items():
            if limits.total < self._totals.get(name, 0):
                details = f"{name}: {limits.total} slots by another member's file"
                self._note(NoticeKind.TOTAL_LOWERED, details)
            self._totals[name] = limits.total

    # what comes in

    def message_received(self, now: float, message: Message) -> list[Action]:
        """Another member sent this."""
        self._handle(now, message)
        return self._take_actions(now)

    def _handle(self, now: float, message: Message) -> None:
        if isinstance(message, LeaseRequest):
            self._lease_requested(now, message)
        elif isinstance(message, LeaseGrant):
            self._granted(now, message)
        elif isinstance(message, Redirect):
            self._redirected(now, message)
        elif self.votes:
            self._handle_as_voter(now, message)

    def _handle_as_voter(self, now: float, message: Message) -> None:
        if isinstance(message, PromiseRequest):
            if message.address in self.plan.voters:
                self.allocator.term = max(self.allocator.term, message.epoch[0])
                self._send(message.address, self.voter.promise_requested(now, message))
        elif isinstance(message, Promise):
            if self.allocator.promise_received(now, message):
                self._note_leadership(now)
        elif isinstance(message, PromiseDenied):
            self.allocator.denial_received(message)
        elif isinstance(message, EpochWithdrawn):
            self.voter.epoch_withdrawn(message)

    def _granted(self, now: float, grant: LeaseGrant) -> None:
        if self.holder.granted(now, grant) and self._was_at_the_floor:
            self._was_at_the_floor = False
            self._note(NoticeKind.GRANTED_AGAIN, f"by {grant.allocator}")

    def _redirected(self, now: float, message: Redirect) -> None:
        self.holder.redirected(now, message)
        if now >= self.holder.next_request and not self.holder.stopping:
            self._send(*self.holder.request(now))

    def _lease_requested(self, now: float, request: LeaseRequest) -> None:
        if not self.votes:
            return
        if self.allocator.is_leader(now):
            answer = self.allocator.lease_requested(now, request)
            if answer is not None:
                self._send(request.address, answer)
            return
        allocator = self.voter.promised_to(now)
        if allocator and allocator != self.address and not request.returns_all:
            self._send(request.address, Redirect(NO_EPOCH, allocator))

    # what this process needs, and holds

    def set_needs(self, now: float, needs: Needs) -> None:
        """What this process would spend."""
        self.holder.set_needs(now, needs)

    def held(self, now: float, name: str) -> int:
        """Slots that it may use at this instant, floor and all."""
        return self.holder.held(now, name)

    def stop(self, now: float) -> list[Action]:
        """A planned stop: all goes back at once; an allocator's epoch ends with its promises."""
        if not self.holder.stopping:
            self.holder.stopping = True
            self._send(*self.holder.request(now, returns_all=True))
            self._resign()
        return self._take_actions(now)

    def _resign(self) -> None:
        withdrawn = self.allocator.resign()
        if withdrawn != NO_EPOCH:
            self._send_to_voters(EpochWithdrawn(withdrawn))

    def change_plan(self, now: float, plan: Plan) -> list[Action]:
        """Another file holds from now on. Totals change at once, and floors that fall.

        What a budget is, a floor that rises, who votes and the times change at the next start only: they are
        what slots were counted by that are leased.
        """
        budgets = tuple(self._changed_budget(new) for new in plan.budgets)
        self.plan = replace(self.plan, budgets=budgets)
        self.holder.plan = self.plan
        self.voter.plan = self.plan
        self.allocator.plan = self.plan
        if self.allocator.epoch != NO_EPOCH:  # the ledger is of the old budgets: the epoch is given up
            self.allocator.next_campaign = now + PLAN_CHANGED_DELAY
            self._resign()
        self._note_leadership(now)
        return self._take_actions(now)

    def _changed_budget(self, new: Budget) -> Budget:
        old = self.plan.by_name.get(new.name)
        if old is None:
            return replace(new, floor=0)
        if replace(new, total=old.total, floor=old.floor) != old:
            return old
        return replace(new, floor=min(new.floor, old.floor))
