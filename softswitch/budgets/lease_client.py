"""One member's roles in the lease protocol: holder, and if it is a voter also voter and allocator.

Events in, actions out. `now` is a clock in ms that is never set and continues while the machine sleeps.
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
PLAN_CHANGED_DELAY = 200.0  # ms before an allocator that resigned because of a new plan is a candidate again


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another member."""

    to: str  # address
    message: Message


class NoticeKind(Enum):
    """Types of notices. The values appear in the log."""

    ELECTED = "elected allocator"
    DEPOSED = "no longer allocator"
    AT_THE_FLOOR = "lease expired"
    GRANTED_AGAIN = "lease granted"
    TOTAL_LOWERED = "total lowered"


@dataclass(frozen=True, slots=True)
class Notice:
    """A notice for operators, which is logged."""

    kind: NoticeKind
    details: str = ""


Action = SendMessage | Notice


def voters_digest(plan: Plan) -> int:
    """A digest of the settings on which voters have to agree.

    These are the list of voters and the times that guarantee at most one allocator.
    """
    agreed = f"{sorted(plan.voters)} {plan.promise} {plan.lease} {plan.drift}".encode()
    return int.from_bytes(blake2b(agreed, digest_size=DIGEST_SIZE).digest(), "big")


class LeaseClient:
    """Combines the holder with, on a voter, the voter and the allocator."""

    def __init__(self, plan: Plan, address: str, boot: int, seed: int, now: float) -> None:
        self.plan = plan
        self.address = address
        rng, digest = Random(seed), voters_digest(plan)
        self.votes = address in plan.voters  # whether this member is a voter
        self.voter = Voter(plan, address, digest, now)
        self.allocator = Allocator(plan, address, digest, rng, now)
        self.holder = LeaseHolder(plan, address, boot, rng, now)
        self._actions: list[Action] = []
        self._own_messages: list[Message] = []  # messages of this member to itself
        # state that the last notices reported:
        self._was_leader = False
        self._was_at_the_floor = True  # no lease, so only the floor may be used
        self._totals = {budget.name: budget.total for budget in plan.budgets}

    # timers

    def next_at(self) -> float:
        """The time by which `tick` has to be called again."""
        due = [self.holder.next_request]
        if not self.holder.has_no_lease:
            due.append(self.holder.until)
        if self.votes:
            due.append(self.allocator.next_at())
        return min(due)

    def tick(self, now: float) -> list[Action]:
        """Handles due timers."""
        if self.votes and not self.holder.stopping:
            for message in self.allocator.tick(now, self.voter.promised_to(now)):
                self._send_to_voters(message)
        self._note_leadership(now)
        if now >= self.holder.next_request and not self.holder.stopping:
            self._send(*self.holder.request(now))
        return self._take_actions(now)

    # sent messages

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
            self._note(
                NoticeKind.AT_THE_FLOOR, "no allocator answered for a complete lease, only the floor is left"
            )
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

    # received messages

    def message_received(self, now: float, message: Message) -> list[Action]:
        """Handles a message of another member."""
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

    # needs, slots, plan

    def set_needs(self, now: float, needs: Needs) -> None:
        """Sets the needs of this process."""
        self.holder.set_needs(now, needs)

    def held(self, now: float, name: str) -> int:
        """Slots of this budget that the process may use now: floor and lease."""
        return self.holder.held(now, name)

    def stop(self, now: float) -> list[Action]:
        """A planned stop: returns the lease at once; an allocator also resigns and releases its promises."""
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
        """Replaces the plan. Totals and lowered floors change at once.

        The definition of a budget, a raised floor, the voters and the times change only at the next start,
        because slots that are on lease now depend on them.
        """
        budgets = tuple(self._changed_budget(new) for new in plan.budgets)
        self.plan = replace(self.plan, budgets=budgets)
        self.holder.plan = self.plan
        self.voter.plan = self.plan
        self.allocator.plan = self.plan
        if self.allocator.epoch != NO_EPOCH:  # its ledger counts slots of the old budgets
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
