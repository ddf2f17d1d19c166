"""Budgets on virtual time: the very code of `budgets/`, clocks that run apart, a schedule of faults, and a
checker on true time, which no member sees.

A run is a function of its arguments. After each step the checker holds what all hold, and what all spent in
any window, to the whole; and that at most one process is in office.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

import msgspec

from softswitch.budgets.lease_client import LeaseClient, Notice, NoticeKind, SendMessage
from softswitch.budgets.messages import LeaseRequest
from softswitch.budgets.plan import Plan
from softswitch.budgets.spending import Spending
from softswitch.standin.faults.links import Links, On
from softswitch.standin.faults.schedule import Fault, select_members

ENCODER = msgspec.msgpack.Encoder()
LATE, LATEST = 0.01, 6_000.0  # share of messages that are held up somewhere, and for how long at most, ms
INBOX = 500  # messages that wait for a process that is stopped
ASK = 200.0  # ms between two times that needs are told
EPSILON = 1e-6  # ms; of rounding in the clocks


class InvariantViolationError(Exception):
    """A rule that must hold at each step did not; the text says which, who and when."""


class Clock:
    """A member's clock: ms, of an origin of its own, running apart from true time by up to `drift`."""

    def __init__(self, world: BudgetSimulation, rate: float, start: float) -> None:
        self.world, self.rate, self.told, self.since = world, rate, start, world.now

    def __call__(self) -> float:
        return self.told + (self.world.now - self.since) * self.rate

    def runs(self, rate: float) -> None:
        self.told, self.since, self.rate = self(), self.world.now, rate

    def true(self, told: float) -> float:
        """When it will tell this, if its rate stays."""
        return self.since + (told - self.told) / self.rate


@dataclass(slots=True)
class Node:
    name: str
    address: str
    clock: Clock
    plan: Plan
    client: Any = None
    spending: Spending | None = None
    up: bool = False
    boots: int = 0
    stopped_until: float = 0.0
    inbox: list[Any] = field(default_factory=list)
    catches: bool = False  # stopped in the middle of its next answer, which goes out as it goes on
    stuck: list[Any] = field(default_factory=list)
    bytes_out: int = 0
    messages: int = 0


@dataclass(slots=True)
class BudgetUsage:
    """What a run showed of one budget."""

    requested: int = 0
    spent: int = 0
    max_spent: int = 0  # in any window
    max_held: int = 0


@dataclass(slots=True)
class Outcome:
    settled: bool
    violation: str
    events: int
    usage: dict[str, BudgetUsage]
    elections: int
    lapses: int
    bytes_s: float
    messages_s: float
    steps_over_total: int = 0  # steps at which a sum was above its whole, where that does not end the run


Demand = Callable[[float, str, str], float]  # true time in ms, node, budget -> calls a second


def uniform_demand(rate: float) -> Demand:
    return lambda now, node, budget: rate


class BudgetSimulation:
    """Members, links, clocks and time."""

    def __init__(
        self,
        plan: Plan,
        members: int,
        sites: int,
        seed: int,
        faults: Sequence[Fault] = (),
        demand: Demand | None = None,
        make: Callable[..., Any] = LeaseClient,
        strict: bool = True,
        drift: float | None = None,
        late: float = LATE,
        lose: float = 0.0,
        plans: Sequence[tuple[float, str, Plan]] = (),
        look: Callable[[BudgetSimulation], None] | None = None,
        join_at: dict[str, float] | None = None,
    ) -> None:
        self.rng, self.now, self.plan, self.make, self.strict = Random(seed), 0.0, plan, make, strict
        self.drift = plan.drift if drift is None else drift
        self.late, self.lose, self.demand = late, lose, demand or uniform_demand(5.0)
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.ordered = self.events = self.steps_over_total = self.lapses = self.elections = 0
        names = [f"n{n}" for n in range(members)]
        self.sites = {name: "abcdefghijkl"[n % sites] for n, name in enumerate(names)}
        self.links = Links(self.sites, self.rng)
        self.nodes = {name: Node(name, address_of(n), self._clock(), plan) for n, name in enumerate(names)}
        self.by_address = {n.address: n for n in self.nodes.values()}
        self.usage = {b.name: BudgetUsage() for b in plan.budgets}
        self.uses: dict[str, deque[float]] = {b.name: deque() for b in plan.budgets}
        self.totals = {b.name: b.total for b in plan.budgets}  # that bind now
        self.log: list[tuple[float, str]] = []
        for name, node in self.nodes.items():
            self.at((join_at or {}).get(name, self.rng.uniform(0, 300)), self._start, node)
            for b in plan.budgets:
                self.at(self.rng.uniform(0, 500), self._arrive, node, b.name)
        for fault in faults:
            self.at(fault.at_s * 1000, self._begin, fault)
        for when, name, made in plans:
            self.at(when, self._reload, self.nodes[name], made)
        self.look = look
        if look is not None:
            self.at(100.0, self._look)

    def _clock(self) -> Clock:
        return Clock(self, 1 + self.rng.choice((-1, 0, 1)) * self.drift, self.rng.uniform(0, 1e7))

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        self.ordered += 1
        heappush(self.queue, (when, self.ordered, what, args))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what, args = heappop(self.queue)
            self.events += 1
            what(*args)
            self._check()
        self.now = until

    def _look(self) -> None:
        assert self.look is not None
        self.look(self)
        self.at(self.now + 100.0, self._look)

    # processes

    def _start(self, node: Node) -> None:
        if node.up:
            return
        node.up, node.boots, node.inbox, node.stuck = True, node.boots + 1, [], []
        clock = node.clock
        node.client = self.make(
            node.plan, node.address, self.rng.getrandbits(62), self.rng.getrandbits(32), clock()
        )
        client = node.client
        node.spending = Spending(node.plan, lambda now, name: client.held(now, name), clock)
        self._tick(node, node.boots)
        self._needs(node, node.boots)

    def _end(self, node: Node) -> None:
        node.up, node.client, node.spending, node.inbox, node.stuck = False, None, None, [], []
        node.catches = False

    def _needs(self, node: Node, boot: int) -> None:
        if node.up and node.boots == boot:
            if node.stopped_until <= self.now and node.spending is not None:
                node.client.set_needs(node.clock(), node.spending.needs())
            self.at(self.now + ASK, self._needs, node, boot)

    def _tick(self, node: Node, boot: int) -> None:
        if not node.up or node.boots != boot:
            return None
        if node.stopped_until > self.now:
            return self.at(node.stopped_until, self._tick, node, boot)
        self._do(node, node.client.tick(node.clock()))
        due = node.clock.true(node.client.next_at())
        self.at(max(self.now + 1.0, min(due, self.now + 250.0)), self._tick, node, boot)
        return None

    def _arrive(self, node: Node, name: str) -> None:
        rate = self.demand(self.now, node.name, name)
        self.at(self.now + self.rng.expovariate(max(rate, 0.01)) * 1000, self._arrive, node, name)
        if rate > 0 and node.up and node.spending is not None:
            if node.stopped_until > self.now:
                if sum(1 for item in node.inbox if item == name) < 40:
                    node.inbox.insert(0, name)  # it is served as the process goes on, before all else
            else:
                self._call(node, name)

    def _call(self, node: Node, name: str) -> None:
        assert node.spending is not None
        told = self.usage[name]
        told.requested += 1
        klass = node.plan.by_name[name].call_class if name in node.plan.by_name else ""
        if name in node.plan.by_name and not node.spending.admit(klass, 1.0):
            told.spent += 1
            self.uses[name].append(self.now)

    def _reload(self, node: Node, plan: Plan) -> None:
        node.plan = plan
        if node.up and node.spending is not None:
            self._do(node, node.client.change_plan(node.clock(), plan))
            node.spending.apply_plan(node.client.plan)

    # links

    def _do(self, node: Node, acts: list[Any]) -> None:
        for act in acts:
            if isinstance(act, SendMessage):
                if node.stopped_until > self.now:
                    node.stuck.append(act)
                else:
                    self._send(node, act)
            elif isinstance(act, Notice):
                self.log.append((self.now, f"{node.name}: {act.kind.value}: {act.details}"))
                self.lapses += act.kind is NoticeKind.AT_THE_FLOOR
                self.elections += act.kind is NoticeKind.ELECTED

    def _send(self, src: Node, act: SendMessage) -> None:
        src.bytes_out += len(ENCODER.encode(act.message)) + 60
        src.messages += 1
        dst = self.by_address.get(act.to)
        way = self.links.way(src.name, dst.name) if dst is not None else None
        if dst is None or way is None or way.spoilt:
            return
        if self.rng.random() < 1 - (1 - self.lose) * (1 - way.lost):
            return
        for _ in range(2 if way.double or self.rng.random() < 0.02 else 1):
            wait = self.rng.uniform(0.2, 1.5) + way.delay
            if self.rng.random() < self.late:
                wait += self.rng.uniform(0.0, LATEST)
            self.at(self.now + wait, self._arrives, dst, act.message)

    def _arrives(self, node: Node, message: Any) -> None:
        if not node.up:
            return
        if node.stopped_until > self.now:
            if node.catches and isinstance(message, LeaseRequest):
                node.catches = False  # it had begun to answer this one as it was stopped
                self._do(node, node.client.message_received(node.clock(), message))
            elif len(node.inbox) < INBOX:
                node.inbox.append(message)
            return
        self._do(node, node.client.message_received(node.clock(), message))

    # faults

    def _begin(self, fault: Fault) -> None:
        self.log.append((self.now, f"{fault.what} {' '.join(fault.who)}"))
        for name in select_members(fault.who, self.sites):
            node = self.nodes[name]
            if fault.what in ("kill", "restart", "leave") and node.up:
                if fault.what != "kill" and node.stopped_until <= self.now:
                    self._do(node, node.client.stop(node.clock()))
                self._end(node)
                if fault.for_s:
                    self.at(self.now + fault.for_s * 1000, self._start, node)
            elif fault.what == "stop" and node.up:
                node.stopped_until = max(node.stopped_until, self.now + fault.for_s * 1000)
                node.catches = self.rng.random() < 0.5
                self.at(node.stopped_until, self._continued, node, node.boots)
        on = self.links.begin(self.now, fault)
        if on is not None and fault.for_s:
            self.at(self.now + fault.for_s * 1000, self._over, on)
        if self.rng.random() < 0.3:  # clocks do not keep their rates either
            for node in self.nodes.values():
                node.clock.runs(1 + self.rng.choice((-1, 0, 1)) * self.drift)

    def _over(self, on: On) -> None:
        self.links.end(self.now, on)

    def _continued(self, node: Node, boot: int) -> None:
        if not node.up or node.boots != boot or node.stopped_until > self.now:
            return
        stuck, node.stuck = node.stuck, []
        for act in stuck:
            self._send(node, act)
        inbox, node.inbox, node.catches = node.inbox, [], False
        for item in inbox:
            if isinstance(item, str):
                self._call(node, item)
            else:
                self._do(node, node.client.message_received(node.clock(), item))

    # the checker

    def held(self, name: str) -> int:
        return sum(n.client.held(n.clock(), name) for n in self.nodes.values() if n.up)

    def _check(self) -> None:
        in_office = [
            n.name
            for n in self.nodes.values()
            if n.up and n.client.votes and n.client.allocator.is_leader(n.clock())
        ]
        if len(in_office) > 1:
            raise InvariantViolationError(
                f"{self.now:.0f} ms: {' and '.join(in_office)} are in office at once"
            )
        for b in self.plan.budgets:
            held, whole, told = self.held(b.name), self.totals[b.name], self.usage[b.name]
            uses = self.uses[b.name]
            while uses and uses[0] <= self.now - b.window + EPSILON:
                uses.popleft()
            told.max_spent, told.max_held = max(told.max_spent, len(uses)), max(told.max_held, held)
            if held > whole or len(uses) > whole:
                self.steps_over_total += 1
                if self.strict:
                    raise InvariantViolationError(
                        f"{self.now:.0f} ms: {b.name}: {held} slots held, {len(uses)} used in "
                        f"{b.window:.0f} ms, the whole is {whole}"
                    )

    def settled(self) -> bool:
        """One allocator, and everyone has its part from it; with no majority of voters up, all are at their
        floors.
        """
        up = [n for n in self.nodes.values() if n.up and n.stopped_until <= self.now]
        if sum(n.client.votes for n in up) < self.plan.quorum:
            return all(n.client.holder.has_no_lease for n in up)
        return (
            all(not n.client.holder.has_no_lease for n in up)
            and sum(n.client.votes and n.client.allocator.is_leader(n.clock()) for n in up) == 1
        )


def address_of(n: int) -> str:
    return f"10.0.{n >> 8}.{n & 255}:7946"


def run_simulation(
    plan: Plan, members: int, sites: int, seconds: float, seed: int, faults: Sequence[Fault], **more: Any
) -> Outcome:
    """One run, with what the checker saw."""
    world = BudgetSimulation(plan, members, sites, seed, faults, **more)
    violation = ""
    try:
        world.run(seconds * 1000)
    except InvariantViolationError as e:
        violation = str(e)
    nodes = world.nodes.values()
    return Outcome(
        not violation and world.settled(),
        violation,
        world.events,
        world.usage,
        world.elections,
        world.lapses,
        sum(n.bytes_out for n in nodes) / seconds / members,
        sum(n.messages for n in nodes) / seconds / members,
        world.steps_over_total,
    )
