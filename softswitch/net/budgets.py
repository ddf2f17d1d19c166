"""Budgets on the wire: inside the fleet's datagrams, and towards the module as its constraints.

Nothing here decides: events go to `budgets.keeper.Keeper`, its actions are carried out. The clock is one that
is never set and goes on while the machine sleeps, read anew for every event and every question of the module.
"""

from __future__ import annotations

import time
from collections import deque
from random import SystemRandom
from typing import Any

import msgspec
from loguru import logger

from softswitch.budgets.lease_client import Keeper, Note, Say
from softswitch.budgets.messages import Message
from softswitch.budgets.plan import BadPlan, plan_of
from softswitch.budgets.spending import Purse
from softswitch.components import ComponentCall, Host
from softswitch.core.lifecycle import Phase
from softswitch.net.peers import Peers

PART = "budgets"
NEEDS = 200.0  # ms between two times that the needs are looked at
HALF = 0.5  # of the floors, while one process replaces the other


def clock() -> float:
    """Ms. Counts the time that the machine slept, and is never set."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class Floors:
    """How much of its floors this process may use. They belong to the fleet's address: only who has bound it
    has them. While one process replaces the other each has half. What is gained counts only after the slots
    have rested that the other process may have used.
    """

    def __init__(self, now: float, longest: float) -> None:
        self.longest = longest  # ms, the longest that slots of any budget rest
        self.part = self.before = 0.0
        self.since = now

    def now_is(self, now: float, part: float) -> None:
        if part != self.part:
            self.before, self.part, self.since = self.of(now, self.longest), part, now

    def of(self, now: float, rests: float) -> float:
        return min(self.before, self.part) if now < self.since + rests else self.part


class Recorded(Purse):
    """Keeps the time of the last spendings, for drills that add them up over all processes."""

    kept: dict[str, deque[float]]

    def admit(self, klass: str, worth: float) -> float:
        wait = super().admit(klass, worth)
        if not wait:
            for p in self.first:
                if p.binds("set-ups", klass, ""):
                    self.kept[p.budget.name].append(self.clock())
        return wait

    def attempt_sent(self, klass: str, engine: str, repeat: bool) -> None:
        super().attempt_sent(klass, engine, repeat)
        for p in self.each:
            if p.binds("repeats" if repeat else "set-ups", klass, engine):
                self.kept[p.budget.name].append(self.clock())


class Budgets:
    """The part of a softswitch that holds its parts of the fleet's budgets. A `parts.Part`."""

    def __init__(self, table: Any, host: Host, peers: Peers) -> None:
        self.table, self.host, self.peers, self.wheel = table, host, peers, host.switch.wheel
        self.allocation = allocation = host.tables.allocation
        plan, draw = plan_of(table, allocation), SystemRandom()
        now = clock()
        self.me = peers.table.address
        self.keeper = Keeper(plan, self.me, draw.getrandbits(62), draw.getrandbits(64), now)
        self.floors = Floors(now, max(plan.rests(b) for b in plan.budgets))
        self.purse = (Recorded if allocation.record else Purse)(plan, self.held, clock)
        if isinstance(self.purse, Recorded):
            self.purse.kept = {b.name: deque(maxlen=allocation.record) for b in plan.budgets}
        self.encoder, self.decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)
        self.due = 0.0
        self.garbage = self.unsent = 0
        host.calls["/v1/budgets"] = ComponentCall("GET", self.asked)
        if allocation.record:
            host.calls["/v1/budgets/"] = ComponentCall("GET", self.spendings)

    # what is held

    def _part(self, now: float) -> None:
        switch = self.host.switch
        if switch.peer_process is not None:
            part = HALF
        else:
            part = switch.slow_start_share if self.peers.port is not None else 0.0
        self.floors.now_is(now, part)

    def held(self, now: float, name: str) -> int:
        """Slots that this process may use at this instant."""
        self._part(now)
        plan = self.keeper.plan
        floor = int(self.keeper.holder.floor(now, name) * self.floors.of(now, plan.rests(plan.by_name[name])))
        return floor + self.keeper.holder.leased(now, name)

    # as a part

    def start(self) -> None:
        self.peers.carried[PART] = self.heard
        self.host.switch.lifecycle.on_change.append(self._phase)
        self.host.switch.apply_constraints(self.purse)
        plan = self.keeper.plan
        logger.info(
            "budgets: {}; {} voters, {}",
            ", ".join(b.name for b in plan.budgets)[:200],
            len(plan.voters),
            "one of them" if self.keeper.votes else "not one of them",
        )
        self._unknown_classes(self.host.settings)
        self._needs()
        self._tick(self.wheel.now)

    def reload(self, table: Any, settings: Any) -> str:
        later = "allocation" if self.host.tables.allocation != self.allocation else ""
        if table is None:
            return "budgets"
        self._unknown_classes(settings)
        try:
            plan = plan_of(table, self.allocation)
        except BadPlan as e:
            logger.error("budgets: not taken, the old ones stay: {}", e)
            return "budgets"
        self._do(self.keeper.now_is(clock(), plan))
        self.purse.settle(self.keeper.plan)
        if isinstance(self.purse, Recorded):
            for b in self.keeper.plan.budgets:
                self.purse.kept.setdefault(b.name, deque(maxlen=self.allocation.record))
        if self.keeper.plan != plan:
            later += " and " * bool(later) + "what budgets count, or floors that rise,"
        return later

    def _unknown_classes(self, settings: Any) -> None:
        known = {c.name for c in settings.classes}
        for b in self.host.tables.budgets:
            if b.klass and b.klass not in known:
                logger.warning("budgets: {} binds class {}, which the settings do not have", b.name, b.klass)

    def figures(self) -> dict[str, Any]:
        holder, candidate, now = self.keeper.holder, self.keeper.candidate, clock()
        return {
            "in_office": candidate.holds(now),
            "allocator": holder.at,
            "at_the_floor": holder.fresh,
            "offices": candidate.offices,
            "granted": candidate.granted,
            "garbage": self.garbage,
            "unsent": self.unsent,
            **{what.replace(" ", "_"): n for what, n in holder.counts.items()},
            "by_name": self.purse.told(),
        }

    def stop(self) -> None:
        pass

    def _phase(self, phase: Phase) -> None:
        if phase is Phase.STOPPING and self.peers.port is not None:
            self._do(self.keeper.leave(clock()))

    # time

    def _needs(self) -> None:
        self.wheel.call_at(self.wheel.now + NEEDS, self._needs)
        now = clock()
        self._part(now)
        self.keeper.needs(now, self.purse.needs())
        self._arm(now)

    def _tick(self, due: float) -> None:
        if due != self.due and self.due > self.wheel.now:
            return
        now = clock()
        if self.peers.port is not None:  # another process speaks for this member while it has the address
            self._do(self.keeper.tick(now))
        self._arm(now)

    def _arm(self, now: float) -> None:
        wait = max(self.wheel.tick, self.keeper.next_at() - now)
        due = self.wheel.now + (wait if self.peers.port is not None else NEEDS)
        if due < self.due or self.due <= self.wheel.now:
            self.due = due
            self.wheel.call_at(due, self._tick, due)

    # the wire

    def heard(self, body: bytes) -> None:
        try:
            message = self.decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError) as e:
            self.garbage += 1
            if self.garbage == 1:
                logger.warning(
                    "budgets: a message that can't be read, dropped, and others like it: {:.120}", str(e)
                )
            return
        now = clock()
        self._do(self.keeper.heard(now, message))
        self._arm(now)

    def _do(self, acts: list[Any]) -> None:
        for act in acts:
            if isinstance(act, Say):
                self.unsent += not self.peers.carry(act.to, PART, self.encoder.encode(act.message))
            elif isinstance(act, Note):
                level = "WARNING" if act.what in ("at the floor", "office lost", "whole lowered") else "INFO"
                logger.log(level, "budgets: {}: {}", act.what, act.why)

    # what is told

    def asked(self, rest: str) -> tuple[int, dict[str, Any]]:
        """GET /v1/budgets"""
        now, keeper = clock(), self.keeper
        holder, candidate, plan = keeper.holder, keeper.candidate, keeper.plan
        told = self.purse.told()
        for b in plan.budgets:
            need, weight = holder.needs.get(b.name, (0, 1.0))
            told[b.name] |= {"leased": holder.leased(now, b.name), "need": need, "weight": weight}
        office = candidate.holds(now)
        view: dict[str, Any] = {
            "me": self.me,
            "member": self.peers.member.me.name,
            "at_ms": now,
            "in_office": office,
            "allocator": holder.at,
            "term": candidate.term,
            "lease_left_ms": max(0.0, holder.until - now),
            "voters": list(plan.voters),
            "denied": candidate.denied,
            "budgets": told,
        }
        if office:
            books = candidate.books
            view["books"] = {
                "bound": {name: whole for name, (whole, _) in books.bound.items()},
                "out": books.out,
                "resting": books.resting,
                "holders": [
                    {"address": a.address, "out": a.out, "need": a.need, "target": a.target}
                    for a in list(books.accounts.values())[:1_000]
                ],
            }
        return 200, view

    def spendings(self, rest: str) -> tuple[int, dict[str, Any]]:
        """GET /v1/budgets/NAME: when the last ones were, by the machine's clock since its start."""
        kept = self.purse.kept.get(rest) if isinstance(self.purse, Recorded) else None
        if kept is None:
            return 404, {"error": f"no budget {rest!r:.40}"}
        return 200, {"me": self.me, "spent_ms": list(kept)}


def make(table: Any, host: Host) -> Budgets:
    peers = host.components.get("fleet")
    if not isinstance(peers, Peers):
        raise ValueError("needs `fleet`: they are divided among its members")
    return Budgets(table, host, peers)
