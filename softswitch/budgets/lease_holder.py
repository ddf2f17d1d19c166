"""A holder: asks for its lease, takes what is granted, and knows at each instant what it holds.

A lease runs from when it was asked for, by the holder's own clock, so a grant that comes late runs shorter
and one for an earlier start of the process does not fit. A grant replaces the one that it names as its basis
and no other: grants that overtake each other can't bring back what was given up.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

from softswitch.budgets.messages import (
    NO_EPOCH,
    NO_GRANT,
    BudgetRequest,
    Epoch,
    GrantId,
    LeaseGrant,
    LeaseRequest,
    Redirect,
)
from softswitch.budgets.plan import Plan

KEPT_REQUESTS = 16  # whose grants may still come
MIN_INTERVAL = 50.0  # ms between two requests, whatever is heard: voters may each point at the other
RETRY_INTERVAL = 300.0  # ms after which a request that nobody answered goes out again
GROWTH = 1.25  # times the need reported last, from which on it is reported at once
MAX_UNANSWERED = 3  # requests that an allocator leaves unanswered before another voter is asked
JITTER = (0.85, 1.1)  # times an interval


@dataclass(frozen=True, slots=True)
class Need:
    """What a holder would use of one budget."""

    slots: int = 0  # floor and all
    weight: float = 1.0


Needs = dict[str, Need]  # by budget
NO_NEED = Need()


class LeaseHolder:
    """Owner of what this process holds on lease."""

    def __init__(self, plan: Plan, address: str, boot: int, rng: Random, now: float) -> None:
        self.plan = plan
        self.address = address
        self.boot = boot  # drawn at the start of the process
        self.rng = rng
        self.started_at = now
        self.seq = 0  # of the last request
        self.sent: OrderedDict[int, float] = OrderedDict()  # request: when it went out
        self.epoch: Epoch = NO_EPOCH
        self.allocator = ""  # its address, as far as is known
        self.unanswered = 0
        self.last_grant: GrantId = NO_GRANT  # that was taken, expired or not
        self.slots: dict[str, int] = {}  # leased, by budget
        self.until = now  # until when they are held
        self.needs: Needs = {}
        self.reported_slots: dict[str, int] = {}  # needs, as the last request reported them
        self.next_request = now
        self.next_voter = rng.randrange(len(plan.voters))  # asked while no allocator is known
        self.stopping = False
        self.has_no_lease = True  # nothing was taken since the last expiry
        self.counts = {"wants": 0, "grants": 0, "grants that came too late": 0, "lapses": 0}

    def leased(self, now: float, name: str) -> int:
        """Slots on lease."""
        return self.slots.get(name, 0) if now < self.until and not self.stopping else 0

    def held(self, now: float, name: str) -> int:
        """Slots, floor and all."""
        return self.leased(now, name) + self.floor(now, name)

    def floor(self, now: float, name: str) -> int:
        """The floor, once the slots have cooled down that the process may have used before its restart."""
        budget = self.plan.by_name.get(name)
        if budget is None or now < self.started_at + self.plan.cooldown(budget):
            return 0
        return self.plan.floor_of(name, self.address)

    def request(self, now: float, returns_all: bool = False) -> tuple[str, LeaseRequest]:
        """Whom to ask, and the next request."""
        self.seq += 1
        self.sent[self.seq] = now
        while len(self.sent) > KEPT_REQUESTS:
            self.sent.popitem(last=False)
        to = self._whom_to_ask()
        interval = min(self.plan.renew_interval, RETRY_INTERVAL)
        self.next_request = now + interval * self.rng.uniform(*JITTER)
        self.counts["wants"] += 1
        self.reported_slots = {name: need.slots for name, need in self.needs.items()}
        budgets = tuple(self._budget_request(now, budget.name, returns_all) for budget in self.plan.budgets)
        message = LeaseRequest(
            self.address, self.boot, self.seq, self.epoch, self.last_grant, budgets, returns_all
        )
        return to, message

    def _whom_to_ask(self) -> str:
        if self.unanswered >= MAX_UNANSWERED:
            self.allocator = ""
            self.unanswered = 0
        if not self.allocator:
            self.next_voter = (self.next_voter + 1) % len(self.plan.voters)
            return self.plan.voters[self.next_voter]
        self.unanswered += 1
        return self.allocator

    def _budget_request(self, now: float, name: str, returns_all: bool) -> BudgetRequest:
        budget = self.plan.by_name[name]
        need = self.needs.get(name, NO_NEED)
        leased = 0 if returns_all else self.leased(now, name)
        return BudgetRequest(name, budget.total, budget.floor, leased, need.slots, need.weight)

    def set_needs(self, now: float, needs: Needs) -> None:
        """What is needed now. A need that has grown much is reported soon."""
        self.needs = needs
        reported = self.reported_slots
        grown = any(need.slots > GROWTH * reported.get(name, 0) + 1 for name, need in needs.items())
        if grown and self.sent:
            self._request_soon(now, RETRY_INTERVAL)

    def _request_soon(self, now: float, after: float) -> None:
        """The next request goes out as soon as so many ms have passed since the last one."""
        last = next(reversed(self.sent.values()), now - after)
        self.next_request = min(self.next_request, max(now, last + after))

    def redirected(self, now: float, message: Redirect) -> None:
        """Somebody tells who the allocator is. The allocator itself tells which epoch is its own."""
        if message.epoch != NO_EPOCH:
            self.epoch = message.epoch
        elif not message.allocator or message.allocator == self.allocator:
            return
        self.allocator = message.allocator
        self.unanswered = 0
        self._request_soon(now, MIN_INTERVAL)

    def granted(self, now: float, grant: LeaseGrant) -> bool:
        """False: it is for an earlier start, came too late, or does not follow on what is held."""
        requested_at = self.sent.get(grant.seq)
        if grant.boot != self.boot or requested_at is None or self.stopping:
            return False
        self.epoch = grant.epoch
        self.allocator = grant.allocator
        self.unanswered = 0
        until = requested_at + grant.duration
        if grant.basis != self.last_grant or now >= until:
            self.counts["grants that came too late"] += 1
            return False
        slots = dict(grant.slots)
        gave_up_some = any(slots.get(name, 0) < before for name, before in self.slots.items())
        self.last_grant = grant.id
        self.slots = slots
        self.until = until
        self.has_no_lease = False
        self.counts["grants"] += 1
        self.next_request = now + grant.renew_after * self.rng.uniform(*JITTER)
        if gave_up_some:  # it is available to others as soon as this process reports so
            self._request_soon(now, MIN_INTERVAL)
        return True

    def expired(self, now: float) -> bool:
        """True once, when what was held has expired and the floor is left."""
        if self.has_no_lease or now < self.until:
            return False
        self.has_no_lease = True
        self.slots = {}
        self.counts["lapses"] += 1
        return True
