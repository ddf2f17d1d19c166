"""The allocator's ledger: who may hold what, what cools down, and what may be granted. For one epoch.

A grant counts until its holder has reported that it holds another one instead, or can't hold it any more by
any clock within the bound on drift; then its slots cool down for as long as one can have been used before.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import sqrt

from softswitch.budgets.division import divide
from softswitch.budgets.messages import GrantId, LeaseRequest
from softswitch.budgets.plan import Budget, Limits, Plan, strictest_limits

MAX_HOLDERS = 20_000
DIVISION_INTERVAL = 200.0  # ms between two divisions
# What moves cools down unused for a window. So a part that would change by no more than STEADY of it stays;
# by more than that, up to LARGE, only if it would all through a window; by more than LARGE at once.
STEADY, LARGE = 1 / 8, 1 / 2
HEADROOM = 15 / 16  # of what nobody needs, given out; the rest waits for newcomers

HolderKey = tuple[str, int]  # address and boot: one start of one process


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that its holder may hold."""

    id: GrantId
    slots: dict[str, int]
    until: float


@dataclass(slots=True)
class HolderRecord:
    """What one start of one holder may hold, and what it needs."""

    address: str
    last_request_at: float
    seq: int = 0
    grants: list[OutstandingGrant] = field(default_factory=list)
    leased: dict[str, int] = field(default_factory=dict)  # by budget, the most of all grants
    needs: dict[str, int] = field(default_factory=dict)  # beyond its floor
    weights: dict[str, float] = field(default_factory=dict)
    limits: dict[str, Limits] = field(default_factory=dict)  # by its own file
    targets: dict[str, int] = field(default_factory=dict)
    off_target_since: dict[str, float] = field(default_factory=dict)  # by more than STEADY
    returned_all: bool = False


@dataclass(frozen=True, slots=True)
class Cooling:
    """Slots that may not be granted yet."""

    until: float
    slots: int


class Ledger:
    """Owner of what is leased, and of what cools down."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.plan = plan
        self.began_at = now
        self.holders: dict[HolderKey, HolderRecord] = {}
        self.leased = {b.name: 0 for b in plan.budgets}
        self.cooling_slots = {b.name: 0 for b in plan.budgets}
        self.cooling: dict[str, deque[Cooling]] = {b.name: deque() for b in plan.budgets}
        self.limits = strictest_limits(plan, ())
        self.next_division = now
        self.holders_refused = 0

    def earlier_epoch_over(self, now: float, name: str) -> bool:
        """Whether all that the allocator before granted has expired, and was last used long enough ago."""
        budget = self.plan.by_name[name]
        return now >= self.began_at + self.plan.lease_bound + self.plan.cooldown(budget)

    def leasable(self, name: str) -> int:
        """Slots that are not floors."""
        limits = self.limits[name]
        return max(0, limits.total - limits.floor * len(set(self.plan.members)))

    def available(self, now: float, name: str) -> int:
        """Slots that may be granted now. May be below 0, after a total was lowered."""
        cooling = self.cooling[name]
        while cooling and now >= cooling[0].until:
            self.cooling_slots[name] -= cooling.popleft().slots
        return self.leasable(name) - self.leased[name] - self.cooling_slots[name]

    def _update_leased(self, now: float, holder: HolderRecord) -> None:
        """After some grants of a holder were dropped or one came."""
        for budget in self.plan.budgets:
            name = budget.name
            leased = max((grant.slots.get(name, 0) for grant in holder.grants), default=0)
            change = leased - holder.leased.get(name, 0)
            if change < 0:
                self.cooling[name].append(Cooling(now + self.plan.cooldown(budget), -change))
                self.cooling_slots[name] -= change
            if change:
                self.leased[name] += change
                holder.leased[name] = leased

    def sweep(self, now: float) -> None:
        """What has expired goes; who was not heard of for a whole lease and has nothing leased is
        forgotten.
        """
        for key, holder in list(self.holders.items()):
            if any(now >= grant.until for grant in holder.grants):
                holder.grants = [grant for grant in holder.grants if now < grant.until]
                self._update_leased(now, holder)
            if not holder.grants and now - holder.last_request_at > self.plan.lease_bound:
                del self.holders[key]

    def request_received(self, now: float, request: LeaseRequest, epoch_number: int) -> HolderRecord | None:
        """Takes in what a holder reports. None: no room for one more."""
        holder = self._holder_of(now, request)
        if holder is None:
            return None
        before = len(holder.grants)
        if request.basis[0] == epoch_number:
            # Grants before the one that it holds name another basis than it: it can't take them any more.
            holder.grants = [grant for grant in holder.grants if grant.id[1] >= request.basis[1]]
        holder.grants = [grant for grant in holder.grants if now < grant.until]
        if request.returns_all:
            holder.grants = []
            holder.returned_all = True
        if len(holder.grants) != before:
            self._update_leased(now, holder)
        if request.seq > holder.seq:
            self._take_needs(now, request, holder)
        return holder

    def _holder_of(self, now: float, request: LeaseRequest) -> HolderRecord | None:
        key = (request.address, request.boot)
        holder = self.holders.get(key)
        if holder is not None:
            return holder
        if len(self.holders) >= MAX_HOLDERS:
            self.holders_refused += 1
            return None
        holder = self.holders[key] = HolderRecord(request.address, now)
        self.next_division = min(self.next_division, now)
        return holder

    def _take_needs(self, now: float, request: LeaseRequest, holder: HolderRecord) -> None:
        holder.seq = request.seq
        holder.last_request_at = now
        for asked in request.budgets:
            if asked.name in self.plan.by_name:
                floor = self.plan.floor_of(asked.name, request.address)
                holder.needs[asked.name] = max(0, asked.need - floor)
                holder.weights[asked.name] = asked.weight
                holder.limits[asked.name] = Limits(asked.total, asked.floor)

    def add_grant(self, now: float, holder: HolderRecord, id_: GrantId, slots: dict[str, int]) -> None:
        """A grant goes out: it counts from now on."""
        holder.grants.append(OutstandingGrant(id_, slots, now + self.plan.lease_bound))
        self._update_leased(now, holder)

    # division

    def divide(self, now: float) -> None:
        """Sets the targets of all that are present anew."""
        self.next_division = now + DIVISION_INTERVAL
        self.sweep(now)
        latest = self._latest_starts()
        for holder in self.holders.values():
            if latest[holder.address] is not holder or holder.returned_all:
                holder.targets = {}
        present = [
            holder
            for holder in latest.values()
            if not holder.returned_all and now - holder.last_request_at <= self.plan.lease_bound
        ]
        self.limits = strictest_limits(self.plan, (holder.limits for holder in present))
        for budget in self.plan.budgets:
            targets = self._divide_budget(now, budget, present)
            for holder, target in zip(present, targets, strict=True):
                holder.targets[budget.name] = target

    def _latest_starts(self) -> dict[str, HolderRecord]:
        """Of two starts of one member the one heard of last counts."""
        latest: dict[str, HolderRecord] = {}
        for holder in self.holders.values():
            known = latest.get(holder.address)
            if known is None or holder.last_request_at >= known.last_request_at:
                latest[holder.address] = holder
        return latest

    def _divide_budget(self, now: float, budget: Budget, present: list[HolderRecord]) -> list[int]:
        total = self.leasable(budget.name)
        needs = [holder.needs.get(budget.name, 0) for holder in present]
        weights = [holder.weights.get(budget.name, 1.0) for holder in present]
        parts = divide(total, needs, weights)
        if not budget.is_share and sum(needs) <= total and present:
            parts = _with_headroom(parts, needs, total - sum(parts))
        steady = [
            self._steady(now, budget, holder, part) for holder, part in zip(present, parts, strict=True)
        ]
        if sum(steady) > total:
            return parts
        # What stays as it is may leave something over: it goes to those who still need more.
        lacking = [max(0, need - part) for part, need in zip(steady, needs, strict=True)]
        more = divide(total - sum(steady), lacking, weights)
        return [part + extra for part, extra in zip(steady, more, strict=True)]

    def _steady(self, now: float, budget: Budget, holder: HolderRecord, part: int) -> int:
        """The part, or what is leased already where the difference is not worth the move, or not yet."""
        leased = holder.leased.get(budget.name, 0)
        difference = abs(part - leased)
        if not leased or difference <= max(1, leased * STEADY):
            holder.off_target_since.pop(budget.name, None)
            return leased or part
        since = holder.off_target_since.setdefault(budget.name, now)
        moves = difference > max(2, leased * LARGE) or now - since >= budget.window
        return part if moves else leased


def _with_headroom(parts: list[int], needs: list[int], spare: int) -> list[int]:
    """Headroom by the root of the need: so much does what comes by itself vary."""
    roots = [sqrt(need + 1) for need in needs]
    each = spare * HEADROOM / sum(roots)
    return [part + int(each * root) for part, root in zip(parts, roots, strict=True)]
