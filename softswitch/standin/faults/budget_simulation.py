"""Simulates budgets on virtual time: runs the code of `budgets/` with drifting clocks under faults.

Runs with the same arguments are identical. After each step the checker, which uses true time, verifies for
each budget that neither the slots held by all members nor the slots spent in any window exceed the total, and
that at most one process is the allocator.
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
from softswitch.standin.faults.links import ActiveFault, Links
from softswitch.standin.faults.schedule import Fault, select_members

ENCODER = msgspec.msgpack.Encoder()
LATE_RATIO, MAX_LATENESS = 0.01, 6_000.0  # fraction of late messages, and their maximum extra delay in ms
INBOX_SIZE = 500  # messages that wait for a paused process
NEEDS_INTERVAL = 200.0  # ms between two updates of a client's needs
EPSILON = 1e-6  # ms; rounding errors of the clocks


class InvariantViolationError(Exception):
    """A violated invariant. The message names the invariant, the time and the members or figures."""


class Clock:
    """A member's clock in ms. It has its own origin, and its rate differs from true time by up to `drift`."""

    def __init__(self, simulation: BudgetSimulation, rate: float, start: float) -> None:
        self.simulation, self.rate, self.reading, self.read_at = simulation, rate, start, simulation.now

    def __call__(self) -> float:
        """The current reading."""
        return self.reading + (self.simulation.now - self.read_at) * self.rate

    def set_rate(self, rate: float) -> None:
        """Changes the rate from now on."""
        self.reading, self.read_at, self.rate = self(), self.simulation.now, rate

    def true_time(self, reading: float) -> float:
        """True time of a reading, if the rate does not change."""
        return self.read_at + (reading - self.reading) / self.rate


@dataclass(slots=True)
class Node:
    """One process: its lease client, its clock, its state and its traffic."""

    name: str
    address: str
    clock: Clock
    plan: Plan
    client: Any = None
    spending: Spending | None = None
    up: bool = False
    boots: int = 0  # starts
    paused_until: float = 0.0  # true time, ms
    inbox: list[Any] = field(default_factory=list)  # messages, and names of budgets for calls
    # Paused while it handles the next lease request: the reply is sent when it resumes.
    paused_in_request: bool = False
    unsent: list[Any] = field(default_factory=list)  # messages that a paused process sends when it resumes
    bytes_out: int = 0
    messages: int = 0


@dataclass(slots=True)
class BudgetUsage:
    """The use of one budget in a run, in slots."""

    requested: int = 0  # calls that needed a slot
    spent: int = 0  # calls that got one
    max_spent: int = 0  # in any window
    max_held: int = 0  # by all members together


@dataclass(slots=True)
class Outcome:
    """The results of a run."""

    settled: bool
    violation: str
    events: int
    usage: dict[str, BudgetUsage]
    elections: int  # of allocators
    lapses: int  # leases that expired
    bytes_s: float  # sent, per second and member
    messages_s: float
    steps_over_total: int = 0  # steps at which a total was exceeded; a strict run ends at the first


Demand = Callable[[float, str, str], float]  # true time in ms, node, budget -> calls per second


def uniform_demand(rate: float) -> Demand:
    """A demand of `rate` calls per second at each node, for each budget, at all times."""
    return lambda now, node, budget: rate


class BudgetSimulation:
    """Members, links, clocks and virtual time.

    `late` is the fraction of messages that are delayed by up to MAX_LATENESS ms more, `lose` the fraction
    that is lost. `plans` contains new plans with time and member, `join_at` the start times of members that
    start later than the others. `make` creates a lease client; `demand` defaults to 5 calls per s. If not
    `strict`, exceeded totals are only counted. `on_sample` is called every 100 ms.
    """

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
        late: float = LATE_RATIO,
        lose: float = 0.0,
        plans: Sequence[tuple[float, str, Plan]] = (),
        on_sample: Callable[[BudgetSimulation], None] | None = None,
        join_at: dict[str, float] | None = None,
    ) -> None:
        self.rng, self.now, self.plan, self.make, self.strict = Random(seed), 0.0, plan, make, strict
        self.drift = plan.drift if drift is None else drift
        self.late_ratio, self.loss_ratio, self.demand = late, lose, demand or uniform_demand(5.0)
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = self.events = self.steps_over_total = self.lapses = self.elections = 0
        names = [f"n{n}" for n in range(members)]
        self.sites = {name: "abcdefghijkl"[n % sites] for n, name in enumerate(names)}
        self.links = Links(self.sites, self.rng)
        self.nodes = {name: Node(name, address_of(n), self._clock(), plan) for n, name in enumerate(names)}
        self.by_address = {n.address: n for n in self.nodes.values()}
        self.usage = {b.name: BudgetUsage() for b in plan.budgets}
        self.uses: dict[str, deque[float]] = {b.name: deque() for b in plan.budgets}
        self.totals = {b.name: b.total for b in plan.budgets}  # currently in force, by budget
        self.log: list[tuple[float, str]] = []
        for name, node in self.nodes.items():
            self.call_at((join_at or {}).get(name, self.rng.uniform(0, 300)), self._start, node)
            for b in plan.budgets:
                self.call_at(self.rng.uniform(0, 500), self._call_arrived, node, b.name)
        for fault in faults:
            self.call_at(fault.at_s * 1000, self._start_fault, fault)
        for when, name, new_plan in plans:
            self.call_at(when, self._reload, self.nodes[name], new_plan)
        self.on_sample = on_sample
        if on_sample is not None:
            self.call_at(100.0, self._sample)

    def _clock(self) -> Clock:
        return Clock(self, 1 + self.rng.choice((-1, 0, 1)) * self.drift, self.rng.uniform(0, 1e7))

    def call_at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a callback."""
        self.sequence += 1
        heappush(self.queue, (when, self.sequence, callback, args))

    def run(self, until: float) -> None:
        """Runs until this time (ms)."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback, args = heappop(self.queue)
            self.events += 1
            callback(*args)
            self._check()
        self.now = until

    def _sample(self) -> None:
        assert self.on_sample is not None
        self.on_sample(self)
        self.call_at(self.now + 100.0, self._sample)

    # processes

    def _start(self, node: Node) -> None:
        if node.up:
            return
        node.up, node.boots, node.inbox, node.unsent = True, node.boots + 1, [], []
        clock = node.clock
        node.client = self.make(
            node.plan, node.address, self.rng.getrandbits(62), self.rng.getrandbits(32), clock()
        )
        client = node.client
        node.spending = Spending(node.plan, lambda now, name: client.held(now, name), clock)
        self._tick(node, node.boots)
        self._update_needs(node, node.boots)

    def _end_process(self, node: Node) -> None:
        node.up, node.client, node.spending, node.inbox, node.unsent = False, None, None, [], []
        node.paused_in_request = False

    def _update_needs(self, node: Node, boot: int) -> None:
        if node.up and node.boots == boot:
            if node.paused_until <= self.now and node.spending is not None:
                node.client.set_needs(node.clock(), node.spending.needs())
            self.call_at(self.now + NEEDS_INTERVAL, self._update_needs, node, boot)

    def _tick(self, node: Node, boot: int) -> None:
        if not node.up or node.boots != boot:
            return None
        if node.paused_until > self.now:
            return self.call_at(node.paused_until, self._tick, node, boot)
        self._perform(node, node.client.tick(node.clock()))
        due = node.clock.true_time(node.client.next_at())
        self.call_at(max(self.now + 1.0, min(due, self.now + 250.0)), self._tick, node, boot)
        return None

    def _call_arrived(self, node: Node, name: str) -> None:
        rate = self.demand(self.now, node.name, name)
        self.call_at(self.now + self.rng.expovariate(max(rate, 0.01)) * 1000, self._call_arrived, node, name)
        if rate > 0 and node.up and node.spending is not None:
            if node.paused_until > self.now:
                if sum(1 for item in node.inbox if item == name) < 40:  # max waiting calls per budget
                    node.inbox.insert(0, name)  # handled before messages when the process resumes
            else:
                self._place_call(node, name)

    def _place_call(self, node: Node, name: str) -> None:
        assert node.spending is not None
        usage = self.usage[name]
        usage.requested += 1
        call_class = node.plan.by_name[name].call_class if name in node.plan.by_name else ""
        if name in node.plan.by_name and not node.spending.admit(call_class, 1.0):
            usage.spent += 1
            self.uses[name].append(self.now)

    def _reload(self, node: Node, plan: Plan) -> None:
        node.plan = plan
        if node.up and node.spending is not None:
            self._perform(node, node.client.change_plan(node.clock(), plan))
            node.spending.apply_plan(node.client.plan)

    # links

    def _perform(self, node: Node, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                if node.paused_until > self.now:
                    node.unsent.append(action)
                else:
                    self._send(node, action)
            elif isinstance(action, Notice):
                self.log.append((self.now, f"{node.name}: {action.kind.value}: {action.details}"))
                self.lapses += action.kind is NoticeKind.AT_THE_FLOOR
                self.elections += action.kind is NoticeKind.ELECTED

    def _send(self, src: Node, action: SendMessage) -> None:
        src.bytes_out += len(ENCODER.encode(action.message)) + 60
        src.messages += 1
        dst = self.by_address.get(action.to)
        link = self.links.conditions(src.name, dst.name) if dst is not None else None
        if dst is None or link is None or link.corrupt:
            return
        if self.rng.random() < 1 - (1 - self.loss_ratio) * (1 - link.loss_ratio):
            return
        for _ in range(2 if link.duplicated or self.rng.random() < 0.02 else 1):
            delay = self.rng.uniform(0.2, 1.5) + link.delay
            if self.rng.random() < self.late_ratio:
                delay += self.rng.uniform(0.0, MAX_LATENESS)
            self.call_at(self.now + delay, self._message_arrived, dst, action.message)

    def _message_arrived(self, node: Node, message: Any) -> None:
        if not node.up:
            return
        if node.paused_until > self.now:
            if node.paused_in_request and isinstance(message, LeaseRequest):
                node.paused_in_request = False  # the process was paused while it handled this request
                self._perform(node, node.client.message_received(node.clock(), message))
            elif len(node.inbox) < INBOX_SIZE:
                node.inbox.append(message)
            return
        self._perform(node, node.client.message_received(node.clock(), message))

    # faults

    def _start_fault(self, fault: Fault) -> None:
        self.log.append((self.now, f"{fault.what} {' '.join(fault.who)}"))
        for name in select_members(fault.who, self.sites):
            node = self.nodes[name]
            if fault.what in ("kill", "restart", "leave") and node.up:
                if fault.what != "kill" and node.paused_until <= self.now:
                    self._perform(node, node.client.stop(node.clock()))
                self._end_process(node)
                if fault.for_s:
                    self.call_at(self.now + fault.for_s * 1000, self._start, node)
            elif fault.what == "stop" and node.up:
                node.paused_until = max(node.paused_until, self.now + fault.for_s * 1000)
                node.paused_in_request = self.rng.random() < 0.5
                self.call_at(node.paused_until, self._resume, node, node.boots)
        active = self.links.begin(self.now, fault)
        if active is not None and fault.for_s:
            self.call_at(self.now + fault.for_s * 1000, self._end_link_fault, active)
        if self.rng.random() < 0.3:  # the rates of clocks change too
            for node in self.nodes.values():
                node.clock.set_rate(1 + self.rng.choice((-1, 0, 1)) * self.drift)

    def _end_link_fault(self, active: ActiveFault) -> None:
        self.links.end(self.now, active)

    def _resume(self, node: Node, boot: int) -> None:
        if not node.up or node.boots != boot or node.paused_until > self.now:
            return
        unsent, node.unsent = node.unsent, []
        for action in unsent:
            self._send(node, action)
        inbox, node.inbox, node.paused_in_request = node.inbox, [], False
        for item in inbox:
            if isinstance(item, str):
                self._place_call(node, item)
            else:
                self._perform(node, node.client.message_received(node.clock(), item))

    # the checker

    def held(self, name: str) -> int:
        """Slots of a budget that all members hold together."""
        return sum(n.client.held(n.clock(), name) for n in self.nodes.values() if n.up)

    def _check(self) -> None:
        leaders = [
            n.name
            for n in self.nodes.values()
            if n.up and n.client.votes and n.client.allocator.is_leader(n.clock())
        ]
        if len(leaders) > 1:
            raise InvariantViolationError(
                f"{self.now:.0f} ms: {' and '.join(leaders)} are the allocator at the same time"
            )
        for b in self.plan.budgets:
            held, total, usage = self.held(b.name), self.totals[b.name], self.usage[b.name]
            uses = self.uses[b.name]
            while uses and uses[0] <= self.now - b.window + EPSILON:
                uses.popleft()
            usage.max_spent, usage.max_held = max(usage.max_spent, len(uses)), max(usage.max_held, held)
            if held > total or len(uses) > total:
                self.steps_over_total += 1
                if self.strict:
                    raise InvariantViolationError(
                        f"{self.now:.0f} ms: {b.name}: {held} slots held, {len(uses)} used in "
                        f"{b.window:.0f} ms, the total is {total}"
                    )

    def settled(self) -> bool:
        """Whether there is one allocator and every running member has a lease.

        Without a majority of the voters, whether no running member has one, so that all use their floors.
        """
        up = [n for n in self.nodes.values() if n.up and n.paused_until <= self.now]
        if sum(n.client.votes for n in up) < self.plan.quorum:
            return all(n.client.holder.has_no_lease for n in up)
        return (
            all(not n.client.holder.has_no_lease for n in up)
            and sum(n.client.votes and n.client.allocator.is_leader(n.clock()) for n in up) == 1
        )


def address_of(n: int) -> str:
    """Address of the nth member."""
    return f"10.0.{n >> 8}.{n & 255}:7946"


def run_simulation(
    plan: Plan, members: int, sites: int, seconds: float, seed: int, faults: Sequence[Fault], **more: Any
) -> Outcome:
    """Runs one simulation and returns its results."""
    simulation = BudgetSimulation(plan, members, sites, seed, faults, **more)
    violation = ""
    try:
        simulation.run(seconds * 1000)
    except InvariantViolationError as e:
        violation = str(e)
    nodes = simulation.nodes.values()
    return Outcome(
        not violation and simulation.settled(),
        violation,
        simulation.events,
        simulation.usage,
        simulation.elections,
        simulation.lapses,
        sum(n.bytes_out for n in nodes) / seconds / members,
        sum(n.messages for n in nodes) / seconds / members,
        simulation.steps_over_total,
    )
