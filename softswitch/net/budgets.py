"""Budgets on the wire: inside the fleet's datagrams, and towards the module as its constraints.

Nothing here decides: events go to `budgets.lease_client.LeaseClient`, its actions are carried out. The clock
is one that is never set and goes on while the machine sleeps, read anew for every event and every question of
the module.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterable
from random import SystemRandom
from typing import Any

import msgspec
from loguru import logger

from softswitch import interface as i
from softswitch.budgets.lease_client import Action, LeaseClient, Notice, NoticeKind, SendMessage
from softswitch.budgets.lease_holder import NO_NEED
from softswitch.budgets.messages import Message
from softswitch.budgets.plan import CALLS, RETRIES, Plan, PlanError, make_plan
from softswitch.budgets.spending import Spending
from softswitch.components import Host, ManagementResponse, ManagementRoute
from softswitch.core.lifecycle import Phase
from softswitch.net.peers import Peers

CHANNEL = "budgets"  # of what the fleet's datagrams carry
NEEDS_INTERVAL = 200.0  # ms between two times that the needs are looked at
FLOOR_SHARE_OF_TWO = 0.5  # of the floors, while one process replaces the other
MAX_SHOWN_HOLDERS = 1_000
MAX_SHOWN_NAMES = 200  # characters
BOOT_BITS, SEED_BITS = 62, 64
WARNINGS = (NoticeKind.AT_THE_FLOOR, NoticeKind.DEPOSED, NoticeKind.TOTAL_LOWERED)


def boot_time_ms() -> float:
    """A clock that counts the time that the machine slept, and is never set."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class FloorShare:
    """How much of its floors this process may use.

    They belong to the fleet's address: only who has bound it has them. While one process replaces the other
    each has half. What is gained counts only after the slots have cooled down that the other process may have
    used.
    """

    def __init__(self, now: float, longest_cooldown: float) -> None:
        self.longest_cooldown = longest_cooldown  # ms, of any budget
        self.share = 0.0
        self.share_before = 0.0
        self.since = now

    def set(self, now: float, share: float) -> None:
        """This process has that share from now on."""
        if share != self.share:
            self.share_before = self.usable(now, self.longest_cooldown)
            self.share = share
            self.since = now

    def usable(self, now: float, cooldown: float) -> float:
        """The share of a budget's floor that may be used now."""
        return min(self.share_before, self.share) if now < self.since + cooldown else self.share


class RecordedSpending(Spending):
    """Keeps the time of the last spendings, for drills that add them up over all processes."""

    def __init__(self, plan: Plan, held: Any, clock: Any, limit: int) -> None:
        self.limit = limit
        self.times: dict[str, deque[float]] = {}
        super().__init__(plan, held, clock)

    def set_plan(self, plan: Plan) -> None:
        """Keeps what was recorded."""
        super().set_plan(plan)
        for budget in plan.budgets:
            self.times.setdefault(budget.name, deque(maxlen=self.limit))

    def admit(self, call_class: str, priority_weight: float) -> float:
        """As `Spending.admit`."""
        wait = super().admit(call_class, priority_weight)
        if not wait:
            self._record(use.budget.name for use in self.of_calls if use.limits(CALLS, call_class, ""))
        return wait

    def attempt_sent(self, call_class: str, server: str, retry: bool) -> None:
        """As `Spending.attempt_sent`."""
        super().attempt_sent(call_class, server, retry)
        resource = RETRIES if retry else CALLS
        self._record(use.budget.name for use in self.of_attempts if use.limits(resource, call_class, server))

    def _record(self, names: Iterable[str]) -> None:
        for name in names:
            self.times[name].append(self.clock())


class Budgets:
    """Holds this softswitch's part of the fleet's budgets. A `components.Component`."""

    def __init__(self, table: Any, host: Host, peers: Peers) -> None:
        self.table = table
        self.host = host
        self.peers = peers
        self.wheel = host.switch.wheel
        self.allocation = host.tables.allocation
        self.address: str = peers.table.address
        plan, random, now = make_plan(table, self.allocation), SystemRandom(), boot_time_ms()
        boot, seed = random.getrandbits(BOOT_BITS), random.getrandbits(SEED_BITS)
        self.client = LeaseClient(plan, self.address, boot, seed, now)
        self.floor_share = FloorShare(now, max(plan.cooldown(budget) for budget in plan.budgets))
        self.spending = self._make_spending(plan)
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)
        self.unreadable = 0
        self.unsent = 0
        self._due = 0.0  # when the next tick is due, by the wheel's clock
        host.management_routes["/v1/budgets"] = ManagementRoute("GET", self._report_budgets)
        if self.allocation.record:
            host.management_routes["/v1/budgets/"] = ManagementRoute("GET", self._report_spendings)

    def _make_spending(self, plan: Plan) -> Spending:
        if self.allocation.record:
            return RecordedSpending(plan, self.held, boot_time_ms, self.allocation.record)
        return Spending(plan, self.held, boot_time_ms)

    # what is held

    def _update_floor_share(self, now: float) -> None:
        switch = self.host.switch
        if switch.peer_process is not None:
            share = FLOOR_SHARE_OF_TWO
        elif self.peers.port is not None:
            share = switch.slow_start_share
        else:
            share = 0.0
        self.floor_share.set(now, share)

    def held(self, now: float, name: str) -> int:
        """Slots that this process may use at this instant."""
        self._update_floor_share(now)
        plan, holder = self.client.plan, self.client.holder
        usable = self.floor_share.usable(now, plan.cooldown(plan.by_name[name]))
        return int(holder.floor(now, name) * usable) + holder.leased(now, name)

    # as a component

    def start(self) -> None:
        """The softswitch starts."""
        self.peers.receivers[CHANNEL] = self._message_received
        self.host.switch.lifecycle.on_change.append(self._phase_changed)
        self.host.switch.apply_constraints(self.spending)
        plan = self.client.plan
        logger.info(
            "budgets: {}; {} voters, {}",
            ", ".join(budget.name for budget in plan.budgets)[:MAX_SHOWN_NAMES],
            len(plan.voters),
            "one of them" if self.client.votes else "not one of them",
        )
        self._warn_of_unknown_classes(self.host.settings)
        self._update_needs()
        self._tick(self.wheel.now)

    def reload(self, table: Any, settings: i.Settings) -> str:
        """The operator file was read again."""
        delayed = "allocation" if self.host.tables.allocation != self.allocation else ""
        if table is None:
            return "budgets"
        self._warn_of_unknown_classes(settings)
        try:
            plan = make_plan(table, self.allocation)
        except PlanError as e:
            logger.error("budgets: not taken, the old ones stay: {}", e)
            return "budgets"
        self._carry_out(self.client.change_plan(boot_time_ms(), plan))
        self.spending.set_plan(self.client.plan)
        if self.client.plan != plan:
            delayed += " and " * bool(delayed) + "what budgets count, or floors that rise,"
        return delayed

    def _warn_of_unknown_classes(self, settings: i.Settings) -> None:
        known = {c.name for c in settings.classes}
        for budget in self.host.tables.budgets:
            if budget.klass and budget.klass not in known:
                logger.warning(
                    "budgets: {} binds class {}, which the settings do not have", budget.name, budget.klass
                )

    def figures(self) -> dict[str, Any]:
        """At the management address."""
        holder, allocator, now = self.client.holder, self.client.allocator, boot_time_ms()
        return {
            "in_office": allocator.is_leader(now),
            "allocator": holder.allocator,
            "at_the_floor": holder.has_no_lease,
            "offices": allocator.epochs_won,
            "granted": allocator.granted,
            "garbage": self.unreadable,
            "unsent": self.unsent,
            **{name.replace(" ", "_"): count for name, count in holder.counts.items()},
            "by_name": self.spending.report(),
        }

    def stop(self) -> None:
        """The process ends."""

    def _phase_changed(self, phase: Phase) -> None:
        if phase is Phase.STOPPING and self.peers.port is not None:
            self._carry_out(self.client.stop(boot_time_ms()))

    # time

    def _update_needs(self) -> None:
        self.wheel.call_after(NEEDS_INTERVAL, self._update_needs)
        now = boot_time_ms()
        self._update_floor_share(now)
        self.client.set_needs(now, self.spending.needs())
        self._schedule(now)

    def _tick(self, due: float) -> None:
        if due != self._due and self._due > self.wheel.now:
            return
        now = boot_time_ms()
        if self.peers.port is not None:  # another process speaks for this member while it has the address
            self._carry_out(self.client.tick(now))
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        """Schedules the next tick; timers are not taken back, an obsolete one does nothing."""
        wait = max(self.wheel.tick, self.client.next_at() - now)
        due = self.wheel.now + (wait if self.peers.port is not None else NEEDS_INTERVAL)
        if due < self._due or self._due <= self.wheel.now:
            self._due = due
            self.wheel.call_at(due, self._tick, due)

    # the wire

    def _message_received(self, body: bytes) -> None:
        try:
            message = self.decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError) as e:
            self.unreadable += 1
            if self.unreadable == 1:
                logger.warning(
                    "budgets: a message that can't be read, dropped, and others like it: {:.120}", str(e)
                )
            return
        now = boot_time_ms()
        self._carry_out(self.client.message_received(now, message))
        self._schedule(now)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                sent = self.peers.carry(action.to, CHANNEL, self.encoder.encode(action.message))
                self.unsent += not sent
            elif isinstance(action, Notice):
                level = "WARNING" if action.kind in WARNINGS else "INFO"
                logger.log(level, "budgets: {}: {}", action.kind.value, action.why)

    # management calls

    def _report_budgets(self, rest: str) -> ManagementResponse:
        """GET /v1/budgets."""
        now, client = boot_time_ms(), self.client
        holder, allocator = client.holder, client.allocator
        leader = allocator.is_leader(now)
        view: dict[str, Any] = {
            "me": self.address,
            "member": self.peers.member.me.name,
            "at_ms": now,
            "in_office": leader,
            "allocator": holder.allocator,
            "term": allocator.term,
            "lease_left_ms": max(0.0, holder.until - now),
            "voters": list(client.plan.voters),
            "denied": allocator.last_denial,
            "budgets": self._report_by_name(now),
        }
        if leader:
            view["books"] = self._report_ledger()
        return 200, view

    def _report_by_name(self, now: float) -> dict[str, Any]:
        holder = self.client.holder
        report = self.spending.report()
        for name, figures in report.items():
            need = holder.needs.get(name, NO_NEED)
            figures |= {"leased": holder.leased(now, name), "need": need.slots, "weight": need.weight}
        return report

    def _report_ledger(self) -> dict[str, Any]:
        ledger = self.client.allocator.ledger
        holders = list(ledger.holders.values())[:MAX_SHOWN_HOLDERS]
        return {
            "bound": {name: limits.total for name, limits in ledger.limits.items()},
            "out": ledger.leased,
            "resting": ledger.cooling_slots,
            "holders": [
                {"address": h.address, "out": h.leased, "need": h.needs, "target": h.targets} for h in holders
            ],
        }

    def _report_spendings(self, rest: str) -> ManagementResponse:
        """GET /v1/budgets/NAME: when the last ones were, by the machine's clock since its start."""
        times = self.spending.times.get(rest) if isinstance(self.spending, RecordedSpending) else None
        if times is None:
            return 404, {"error": f"no budget {rest!r:.40}"}
        return 200, {"me": self.address, "spent_ms": list(times)}


def make(table: Any, host: Host) -> Budgets:
    """The component of an operator file's table."""
    peers = host.components.get("fleet")
    if not isinstance(peers, Peers):
        raise ValueError("needs `fleet`: they are divided among its members")
    return Budgets(table, host, peers)
