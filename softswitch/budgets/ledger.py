"""The allocator's ledger of one epoch: outstanding grants, slots that cool down, and available slots.

A holder is a process that leases slots. A grant counts until its holder reports that another grant replaced
it, or until it has expired by any clock within the bound on drift. Then its slots cool down for one window,
because they may have been used just before.
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
# Slots that move to another holder are unused during their cooldown of a window. So a change of up to
# MIN_CHANGE of a holder's slots is not made. A change above it, up to LARGE_CHANGE, has to persist for a
# window; a larger one is made at once.
MIN_CHANGE, LARGE_CHANGE = 1 / 8, 1 / 2
HEADROOM = 15 / 16  # fraction of the unneeded slots, granted in advance; the rest is for new holders

HolderKey = tuple[str, int]  # address and boot id: one start of a process


@dataclass(slots=True)
class OutstandingGrant:
    """A grant whose slots its holder may still use."""

    id: GrantId
    slots: dict[str, int]  # by budget
    until: float  # by the allocator's clock, in ms


@dataclass(slots=True)
class HolderRecord:
    """Outstanding grants and needs of one holder, for one start of its process."""

    address: str
    last_request_at: float
    seq: int = 0
    grants: list[OutstandingGrant] = field(default_factory=list)
    leased: dict[str, int] = field(default_factory=dict)  # by budget, the maximum over all grants
    needs: dict[str, int] = field(default_factory=dict)  # by budget, slots beyond its floor
    weights: dict[str, float] = field(default_factory=dict)
    limits: dict[str, Limits] = field(default_factory=dict)  # of the holder's own operator file
    targets: dict[str, int] = field(default_factory=dict)  # by budget, slots that the last division gave it
    off_target_at: dict[str, float] = field(default_factory=dict)  # when the change first exceeded MIN_CHANGE
    returned_all: bool = False


@dataclass(frozen=True, slots=True)
class Cooling:
    """Slots that were given up or expired, and can't be granted before `until`."""

    until: float
    slots: int


class Ledger:
    """Leased slots, slots that cool down, and the division of the rest."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.plan = plan
        self.started_at = now
        self.holders: dict[HolderKey, HolderRecord] = {}
        self.leased = {b.name: 0 for b in plan.budgets}
        self.cooling_slots = {b.name: 0 for b in plan.budgets}
        self.cooling: dict[str, deque[Cooling]] = {b.name: deque() for b in plan.budgets}
        self.limits = strictest_limits(plan, ())
        self.next_division = now
        self.holders_rejected = 0

    def earlier_epoch_over(self, now: float, name: str) -> bool:
        """Whether all grants of the previous allocator have expired and cooled down."""
        budget = self.plan.by_name[name]
        return now >= self.started_at + self.plan.lease_bound + self.plan.cooldown(budget)

    def leasable(self, name: str) -> int:
        """Slots of the total that are not floors."""
        limits = self.limits[name]
        return max(0, limits.total - limits.floor * len(set(self.plan.members)))

    def available(self, now: float, name: str) -> int:
        """Slots that may be granted now; below 0 after a total was lowered."""
        cooling = self.cooling[name]
        while cooling and now >= cooling[0].until:
            self.cooling_slots[name] -= cooling.popleft().slots
        return self.leasable(name) - self.leased[name] - self.cooling_slots[name]

    def _update_leased(self, now: float, holder: HolderRecord) -> None:
        """Recomputes the leased slots of a holder after a change of its grants."""
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
        """Removes expired grants, and holders without grants that sent no request for the time of a lease."""
        for key, holder in list(self.holders.items()):
            if any(now >= grant.until for grant in holder.grants):
                holder.grants = [grant for grant in holder.grants if now < grant.until]
                self._update_leased(now, holder)
            if not holder.grants and now - holder.last_request_at > self.plan.lease_bound:
                del self.holders[key]

    def request_received(self, now: float, request: LeaseRequest, epoch_number: int) -> HolderRecord | None:
        """Updates the record of a holder from its request. None if there are too many holders."""
        holder = self._holder_of(now, request)
        if holder is None:
            return None
        before = len(holder.grants)
        if request.basis[0] == epoch_number:
            # Grants older than the accepted one have another basis, so the holder can't accept them any more.
            holder.grants = [grant for grant in holder.grants if grant.id[1] >= request.basis[1]]
        holder.grants = [grant for grant in holder.grants if now < grant.until]
        if request.returns_all:
            holder.grants = []
            holder.returned_all = True
        if len(holder.grants) != before:
            self._update_leased(now, holder)
        if request.seq > holder.seq:
            self._update_needs(now, request, holder)
        return holder

    def _holder_of(self, now: float, request: LeaseRequest) -> HolderRecord | None:
        key = (request.address, request.boot)
        holder = self.holders.get(key)
        if holder is not None:
            return holder
        if len(self.holders) >= MAX_HOLDERS:
            self.holders_rejected += 1
            return None
        holder = self.holders[key] = HolderRecord(request.address, now)
        self.next_division = min(self.next_division, now)
        return holder

    def _update_needs(self, now: float, request: LeaseRequest, holder: HolderRecord) -> None:
        holder.seq = request.seq
        holder.last_request_at = now
        for entry in request.budgets:
            if entry.name in self.plan.by_name:
                floor = self.plan.floor_of(entry.name, request.address)
                holder.needs[entry.name] = max(0, entry.need - floor)
                holder.weights[entry.name] = entry.weight
                holder.limits[entry.name] = Limits(entry.total, entry.floor)

    def add_grant(self, now: float, holder: HolderRecord, id_: GrantId, slots: dict[str, int]) -> None:
        """Records a new grant, which counts from now on."""
        holder.grants.append(OutstandingGrant(id_, slots, now + self.plan.lease_bound))
        self._update_leased(now, holder)

    # division

    def divide(self, now: float) -> None:
        """Recomputes the targets of all present holders."""
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
        """The holder records by address; of two starts of one member the one with the latest request."""
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
        allocations = divide(total, needs, weights)
        if not budget.is_share and sum(needs) <= total and present:
            allocations = _with_headroom(allocations, needs, total - sum(allocations))
        damped = [
            self._damp_change(now, budget, holder, allocation)
            for holder, allocation in zip(present, allocations, strict=True)
        ]
        if sum(damped) > total:
            return allocations
        # Changes that are not made may leave slots over; holders that need more get them.
        lacking = [max(0, need - allocation) for allocation, need in zip(damped, needs, strict=True)]
        more = divide(total - sum(damped), lacking, weights)
        return [allocation + extra for allocation, extra in zip(damped, more, strict=True)]

    def _damp_change(self, now: float, budget: Budget, holder: HolderRecord, allocation: int) -> int:
        """Returns the allocation, or the leased slots if the change is too small or has not persisted yet."""
        leased = holder.leased.get(budget.name, 0)
        difference = abs(allocation - leased)
        if not leased or difference <= max(1, leased * MIN_CHANGE):
            holder.off_target_at.pop(budget.name, None)
            return leased or allocation
        off_target_at = holder.off_target_at.setdefault(budget.name, now)
        moves = difference > max(2, leased * LARGE_CHANGE) or now - off_target_at >= budget.window
        return allocation if moves else leased


def _with_headroom(allocations: list[int], needs: list[int], spare: int) -> list[int]:
    """Adds headroom in proportion to the square root of the need, as random arrivals vary by that much."""
    roots = [sqrt(need + 1) for need in needs]
    each = spare * HEADROOM / sum(roots)
    return [allocation + int(each * root) for allocation, root in zip(allocations, roots, strict=True)]
