"""Transport of the budgets: messages inside the fleet's datagrams, and constraints for the decision module.

A budget is a limit for all members of the fleet together, counted in slots, see `budgets.plan`. A member may
use the slots of its floor at any time, and further slots on lease.

This module makes no protocol decisions: it passes events to `budgets.lease_client.LeaseClient` and carries
out the returned actions. The clock is never set and continues while the machine sleeps; it is read for each
event and each query of the decision module.
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

COMPONENT = "budgets"  # name of this component in the fleet's component messages
NEEDS_INTERVAL = 200.0  # ms between two updates of the needs
FLOOR_FRACTION_DURING_REPLACEMENT = 0.5  # for each of the two processes
MAX_SHOWN_HOLDERS = 1_000  # in the report of the ledger
MAX_SHOWN_NAMES = 200  # characters of the budgets' names in a log line
BOOT_BITS, SEED_BITS = 62, 64  # sizes of the boot id and of the random seed
WARNINGS = (NoticeKind.AT_THE_FLOOR, NoticeKind.DEPOSED, NoticeKind.TOTAL_LOWERED)


def boot_time_ms() -> float:
    """Returns ms since boot, including time that the machine slept. The clock is never set."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class FloorFraction:
    """The fraction of its floors that this process may use.

    Floors belong to the member's fleet address: only a process that has bound the address may use them. While
    a successor replaces its predecessor, each of the two processes has half. When the fraction rises, the
    added part may be used only after a cooldown, because the other process may have used those slots.
    """

    def __init__(self, now: float, max_cooldown: float) -> None:
        self.max_cooldown = max_cooldown  # ms, of any budget
        self.fraction = 0.0
        self.previous_fraction = 0.0
        self.changed_at = now

    def update(self, now: float, fraction: float) -> None:
        """Sets the fraction that this process has from now on."""
        if fraction != self.fraction:
            self.previous_fraction = self.usable(now, self.max_cooldown)
            self.fraction = fraction
            self.changed_at = now

    def usable(self, now: float, cooldown: float) -> float:
        """The fraction of a budget's floor that may be used now."""
        return (
            min(self.previous_fraction, self.fraction) if now < self.changed_at + cooldown else self.fraction
        )


class RecordedSpending(Spending):
    """Spending that records the times of the last uses. Drills sum them up over all processes."""

    def __init__(self, plan: Plan, held: Any, clock: Any, limit: int) -> None:
        self.limit = limit
        self.times: dict[str, deque[float]] = {}
        super().__init__(plan, held, clock)

    def apply_plan(self, plan: Plan) -> None:
        """As `Spending.apply_plan`. Recorded times are retained."""
        super().apply_plan(plan)
        for budget in plan.budgets:
            self.times.setdefault(budget.name, deque(maxlen=self.limit))

    def admit(self, call_class: str, priority_weight: float) -> float:
        """As `Spending.admit`."""
        wait = super().admit(call_class, priority_weight)
        if not wait:
            self._record(use.budget.name for use in self.call_uses if use.applies_to(CALLS, call_class, ""))
        return wait

    def attempt_sent(self, call_class: str, server: str, retry: bool) -> None:
        """As `Spending.attempt_sent`."""
        super().attempt_sent(call_class, server, retry)
        resource = RETRIES if retry else CALLS
        self._record(
            use.budget.name for use in self.attempt_uses if use.applies_to(resource, call_class, server)
        )

    def _record(self, names: Iterable[str]) -> None:
        for name in names:
            self.times[name].append(self.clock())


class Budgets:
    """Manages this softswitch's slots of the fleet's budgets. A `components.Component`.

    `table` is the operator file's list `budgets`.
    """

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
        self.floor_fraction = FloorFraction(now, max(plan.cooldown(budget) for budget in plan.budgets))
        self.spending = self._make_spending(plan)
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)
        self.undecodable = 0  # received messages
        self.unsent = 0  # messages that were not sent because the fleet address is not bound
        self._next_tick_at = 0.0  # by the wheel's clock
        host.management_routes["/v1/budgets"] = ManagementRoute("GET", self._report_budgets)
        if self.allocation.record:
            host.management_routes["/v1/budgets/"] = ManagementRoute("GET", self._report_spendings)

    def _make_spending(self, plan: Plan) -> Spending:
        if self.allocation.record:
            return RecordedSpending(plan, self.held, boot_time_ms, self.allocation.record)
        return Spending(plan, self.held, boot_time_ms)

    # slots

    def _update_floor_fraction(self, now: float) -> None:
        switch = self.host.switch
        if switch.peer_process is not None:
            fraction = FLOOR_FRACTION_DURING_REPLACEMENT
        elif self.peers.datagram_port is not None:
            fraction = switch.slow_start_share
        else:
            fraction = 0.0
        self.floor_fraction.update(now, fraction)

    def held(self, now: float, name: str) -> int:
        """Slots that this process may use now: its floor and its lease."""
        self._update_floor_fraction(now)
        plan, holder = self.client.plan, self.client.holder
        usable = self.floor_fraction.usable(now, plan.cooldown(plan.by_name[name]))
        return int(holder.floor(now, name) * usable) + holder.leased(now, name)

    # component interface

    def start(self) -> None:
        """Registers the message receiver and applies the constraints."""
        self.peers.receivers[COMPONENT] = self._message_received
        self.host.switch.lifecycle.on_change.append(self._phase_changed)
        self.host.switch.apply_constraints(self.spending)
        plan = self.client.plan
        logger.info(
            "budgets: {}; {} voters; this member {}",
            ", ".join(budget.name for budget in plan.budgets)[:MAX_SHOWN_NAMES],
            len(plan.voters),
            "is a voter" if self.client.votes else "is not a voter",
        )
        self._warn_of_unknown_classes(self.host.settings)
        self._update_needs()
        self._tick(self.wheel.now)

    def reload(self, table: Any, settings: i.Settings) -> str:
        """Applies changed budgets. Returns a text that names the changes that need a restart."""
        delayed = "allocation" if self.host.tables.allocation != self.allocation else ""
        if table is None:
            return "budgets"
        self._warn_of_unknown_classes(settings)
        try:
            plan = make_plan(table, self.allocation)
        except PlanError as e:
            logger.error("budgets: new plan rejected, the old one stays in use: {}", e)
            return "budgets"
        self._execute(self.client.change_plan(boot_time_ms(), plan))
        self.spending.apply_plan(self.client.plan)
        if self.client.plan != plan:
            delayed += " and " * bool(delayed) + "the definition of a budget or a raised floor"
        return delayed

    def _warn_of_unknown_classes(self, settings: i.Settings) -> None:
        known = {c.name for c in settings.classes}
        for budget in self.host.tables.budgets:
            if budget.klass and budget.klass not in known:
                logger.warning(
                    "budgets: {} applies to class {}, which the settings do not define",
                    budget.name,
                    budget.klass,
                )

    def figures(self) -> dict[str, Any]:
        """Counts for `GET /metrics`. `in_office`: is the allocator now; `offices`: won elections."""
        holder, allocator, now = self.client.holder, self.client.allocator, boot_time_ms()
        return {
            "in_office": allocator.is_leader(now),
            "allocator": holder.allocator,
            "at_the_floor": holder.has_no_lease,
            "offices": allocator.epochs_won,
            "granted": allocator.granted,
            "garbage": self.undecodable,
            "unsent": self.unsent,
            **{name.replace(" ", "_"): count for name, count in holder.counts.items()},
            "by_name": self.spending.report(),
        }

    def stop(self) -> None:
        """Does nothing: leases are returned when the lifecycle enters STOPPING."""

    def _phase_changed(self, phase: Phase) -> None:
        if phase is Phase.STOPPING and self.peers.datagram_port is not None:
            self._execute(self.client.stop(boot_time_ms()))

    # timers

    def _update_needs(self) -> None:
        self.wheel.call_after(NEEDS_INTERVAL, self._update_needs)
        now = boot_time_ms()
        self._update_floor_fraction(now)
        self.client.set_needs(now, self.spending.needs())
        self._schedule(now)

    def _tick(self, due: float) -> None:
        if due != self._next_tick_at and self._next_tick_at > self.wheel.now:
            return
        now = boot_time_ms()
        if self.peers.datagram_port is not None:  # otherwise another process acts for this member
            self._execute(self.client.tick(now))
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        """Schedules the next tick. Timers are not cancelled: `_tick` ignores an obsolete one."""
        wait = max(self.wheel.tick, self.client.next_at() - now)
        due = self.wheel.now + (wait if self.peers.datagram_port is not None else NEEDS_INTERVAL)
        if due < self._next_tick_at or self._next_tick_at <= self.wheel.now:
            self._next_tick_at = due
            self.wheel.call_at(due, self._tick, due)

    # messages

    def _message_received(self, body: bytes) -> None:
        try:
            message = self.decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError) as e:
            self.undecodable += 1
            if self.undecodable == 1:
                logger.warning(
                    "budgets: undecodable message dropped, further ones are counted only: {:.120}", str(e)
                )
            return
        now = boot_time_ms()
        self._execute(self.client.message_received(now, message))
        self._schedule(now)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                sent = self.peers.send_component_message(
                    action.to, COMPONENT, self.encoder.encode(action.message)
                )
                self.unsent += not sent
            elif isinstance(action, Notice):
                level = "WARNING" if action.kind in WARNINGS else "INFO"
                logger.log(level, "budgets: {}: {}", action.kind.value, action.details)

    # management calls

    def _report_budgets(self, rest: str) -> ManagementResponse:
        """GET /v1/budgets. `in_office`: is the allocator now; `books`: its ledger."""
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
        # "bound": totals in force; "out": leased slots; "resting": slots that cool down
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
        """GET /v1/budgets/NAME: times of the last uses, in ms since the machine's boot."""
        times = self.spending.times.get(rest) if isinstance(self.spending, RecordedSpending) else None
        if times is None:
            return 404, {"error": f"no budget {rest!r:.40}"}
        return 200, {"me": self.address, "spent_ms": list(times)}


def make(table: Any, host: Host) -> Budgets:
    """Makes the component from the operator file's table. ValueError if there is no fleet component."""
    peers = host.components.get("fleet")
    if not isinstance(peers, Peers):
        raise ValueError("needs `fleet`: they are divided among its members")
    return Budgets(table, host, peers)
