"""A holder: requests leases, accepts grants, and computes the slots that it holds at any time.

A lease runs from the time of its request by the holder's own clock, so a late grant is valid for a shorter
time, and a grant for an earlier start of the process is not accepted. A grant replaces only the grant that it
names as its basis: grants that arrive out of order can't restore slots that were given up.
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

MAX_PENDING_REQUESTS = 16  # the last requests; grants for earlier ones are not accepted
MIN_INTERVAL = 50.0  # ms between two requests even after redirects: two voters may redirect to each other
RETRY_INTERVAL = 300.0  # ms after which an unanswered request is retried
GROWTH = 1.25  # times the last reported need, above which the need is reported early
MAX_UNANSWERED = 3  # unanswered requests before another voter is tried
JITTER = (0.85, 1.1)  # random factor of an interval


@dataclass(frozen=True, slots=True)
class Need:
    """A holder's need of one budget."""

    slots: int = 0  # including the floor
    weight: float = 1.0


Needs = dict[str, Need]  # by budget
NO_NEED = Need()


class LeaseHolder:
    """The lease of this process."""

    def __init__(self, plan: Plan, address: str, boot: int, rng: Random, now: float) -> None:
        self.plan = plan
        self.address = address
        self.boot = boot  # random id of this start of the process
        self.rng = rng
        self.started_at = now
        self.seq = 0  # of the last request
        self.sent: OrderedDict[int, float] = OrderedDict()  # when a request was sent, by its number
        self.epoch: Epoch = NO_EPOCH
        self.allocator = ""  # address; empty if not known
        self.unanswered = 0  # requests since the allocator's last answer
        self.last_grant: GrantId = NO_GRANT  # the last accepted one, expired or not
        self.slots: dict[str, int] = {}  # leased, by budget
        self.until = now  # end of the lease
        self.needs: Needs = {}
        self.reported_slots: dict[str, int] = {}  # needs, as the last request reported them
        self.next_request = now
        self.next_voter = rng.randrange(len(plan.voters))  # receives requests while no allocator is known
        self.stopping = False
        self.has_no_lease = True  # no grant was accepted since the last expiry
        # "wants": requests sent; "lapses": expired leases
        self.counts = {"wants": 0, "grants": 0, "grants that came too late": 0, "lapses": 0}

    def leased(self, now: float, name: str) -> int:
        """Slots of this budget that are leased now."""
        return self.slots.get(name, 0) if now < self.until and not self.stopping else 0

    def held(self, now: float, name: str) -> int:
        """Slots of this budget that may be used now: floor and lease."""
        return self.leased(now, name) + self.floor(now, name)

    def floor(self, now: float, name: str) -> int:
        """The floor; 0 during the cooldown after a start: an earlier process may have used it just before."""
        budget = self.plan.by_name.get(name)
        if budget is None or now < self.started_at + self.plan.cooldown(budget):
            return 0
        return self.plan.floor_of(name, self.address)

    def request(self, now: float, returns_all: bool = False) -> tuple[str, LeaseRequest]:
        """Returns the next request and its recipient."""
        self.seq += 1
        self.sent[self.seq] = now
        while len(self.sent) > MAX_PENDING_REQUESTS:
            self.sent.popitem(last=False)
        to = self._next_recipient()
        interval = min(self.plan.renew_interval, RETRY_INTERVAL)
        self.next_request = now + interval * self.rng.uniform(*JITTER)
        self.counts["wants"] += 1
        self.reported_slots = {name: need.slots for name, need in self.needs.items()}
        budgets = tuple(self._budget_request(now, budget.name, returns_all) for budget in self.plan.budgets)
        message = LeaseRequest(
            self.address, self.boot, self.seq, self.epoch, self.last_grant, budgets, returns_all
        )
        return to, message

    def _next_recipient(self) -> str:
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
        """Sets the current needs. A need that has grown much is reported early."""
        self.needs = needs
        reported = self.reported_slots
        grown = any(need.slots > GROWTH * reported.get(name, 0) + 1 for name, need in needs.items())
        if grown and self.sent:
            self._request_soon(now, RETRY_INTERVAL)

    def _request_soon(self, now: float, delay: float) -> None:
        """Moves the next request to `delay` ms after the last one, if that is earlier than planned."""
        last = next(reversed(self.sent.values()), now - delay)
        self.next_request = min(self.next_request, max(now, last + delay))

    def redirected(self, now: float, message: Redirect) -> None:
        """Sets the allocator that a voter names, or the allocator and epoch that an allocator sends."""
        if message.epoch != NO_EPOCH:
            self.epoch = message.epoch
        elif not message.allocator or message.allocator == self.allocator:
            return
        self.allocator = message.allocator
        self.unanswered = 0
        self._request_soon(now, MIN_INTERVAL)

    def granted(self, now: float, grant: LeaseGrant) -> bool:
        """Accepts a grant.

        Returns False if it is for an earlier start, too late, or not based on the last accepted grant.
        """
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
        if gave_up_some:  # these slots cool down for other holders as soon as a request reports this grant
            self._request_soon(now, MIN_INTERVAL)
        return True

    def expired(self, now: float) -> bool:
        """Returns True once after each expiry of the lease, when only the floor is left."""
        if self.has_no_lease or now < self.until:
            return False
        self.has_no_lease = True
        self.slots = {}
        self.counts["lapses"] += 1
        return True
