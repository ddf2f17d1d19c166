"""Simulates a fleet on virtual time: runs the code of `fleet/` for thousands of members under faults.

Runs with the same arguments, which include the seed, are identical. After each step the checker verifies the
invariants and raises `InvariantViolationError` if one is violated.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

import msgspec

from softswitch.fleet.member import Exchange, Member, MemberChanged, Notice, Periods, Send
from softswitch.fleet.messages import ENDED, ID_BITS, Record, State
from softswitch.standin.faults.links import ActiveFault, Links
from softswitch.standin.faults.schedule import Fault, select_members

STARVED_FOR = (150.0, 900.0)  # ms that a starved process sleeps before it handles received messages
ENCODER = msgspec.msgpack.Encoder()


class InvariantViolationError(Exception):
    """A violated invariant. The message names the invariant, the member and the time."""


@dataclass(slots=True)
class Node:
    """One process: its member of the fleet, its state and its traffic."""

    name: str
    site: str
    address: str
    member: Member | None = None
    paused_until: float = 0.0  # ms
    up: bool = False
    starved: bool = False
    boots: int = 0  # starts
    snapshot: tuple[int, list[str]] | None = None  # its own incarnation, addresses of other members
    inbox: list[tuple[Any, ...]] = field(default_factory=list)
    wakes_at: float = 0.0  # when a starved process handles its inbox next, ms
    bytes_out: int = 0
    messages: int = 0
    gone_declared: int = 0  # how often it declared a member gone itself, at the last check
    incarnation: int = 0  # its own incarnation at the last check
    # by member: incarnation and state that it reported last
    reported: dict[str, tuple[int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class Outcome:
    """The results of a run. Times are in seconds."""

    members: int
    seconds: float
    seed: int
    settled: bool
    # Time from the start of the run, and from the end of each fault, until all views were equal and correct.
    settle_s: list[float]
    detect_s: list[float]  # by `kill` fault: time until all members had detected it
    false_gone: int  # incarnations declared gone while they ran and without an exempting fault
    false_suspect: int  # the same for suspected ones
    planned_gone: int  # announced stops of members that were declared gone nevertheless
    bytes_s: float  # sent, per second and member
    messages_s: float
    violation: str = ""
    events: int = 0


class FleetSimulation:
    """Members, links and virtual time.

    `starved` is the fraction of members that are short of processor time, `lose` the fraction of datagrams
    that are lost throughout the run, `empty_disk_ratio` the fraction of restarts that find no snapshot, and
    `delay` the range of the links' delay in ms. `make` creates a member.
    """

    def __init__(
        self,
        members: int,
        sites: int,
        seed: int,
        faults: Sequence[Fault] = (),
        periods: Periods | None = None,
        starved: float = 0.0,
        lose: float = 0.0,
        empty_disk_ratio: float = 0.5,
        make: Callable[..., Member] = Member,
        delay: tuple[float, float] = (0.2, 1.5),
    ) -> None:
        self.rng, self.seed, self.now = Random(seed), seed, 0.0
        self.periods, self.make, self.delay, self.loss_ratio = periods or Periods(), make, delay, lose
        self.empty_disk_ratio = empty_disk_ratio
        self.nodes = {
            f"n{n}": Node(
                f"n{n}", f"{'abcdefghijklmnopqrstuvwxyz'[n % sites]}", f"10.0.{n >> 8}.{n & 255}:7000"
            )
            for n in range(members)
        }
        self.by_address = {node.address: node for node in self.nodes.values()}
        self.sites = {node.name: node.site for node in self.nodes.values()}
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = 0  # orders callbacks of the same time
        self.links = Links(self.sites, self.rng)
        self.links.unavailable |= set(self.nodes)
        self.faults = sorted(faults, key=lambda f: f.at_s)
        self.false_gone: dict[tuple[str, int], float] = {}  # (key, incarnation) -> time
        self.false_suspect: set[tuple[str, int]] = set()  # (key, incarnation)
        self.announced_stops: set[int] = set()  # boot ids that announced their stop without an active fault
        self.planned_gone: set[int] = set()  # boot ids of these that were declared gone nevertheless
        # Process starts (key, incarnation, boot) that were declared gone while they ran.
        self.gone_while_running: set[tuple[str, int, int]] = set()
        self.ended: set[tuple[str, int, int]] = set()  # process starts that some member reported as ended
        self.log: list[tuple[float, str]] = []
        self.events = 0
        self.notices: Counter[str] = Counter()
        starved_names = self.rng.sample(list(self.nodes), round(starved * members))
        for name in starved_names:
            self.nodes[name].starved = True
        for n, node in enumerate(self.nodes.values()):
            self.call_at(self.rng.uniform(0, 300) + (0 if n < 3 else 50), self._start, node)
        for fault in self.faults:
            self.call_at(fault.at_s * 1000, self._start_fault, fault)

    # time

    def call_at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a callback."""
        self.sequence += 1
        heappush(self.queue, (when, self.sequence, callback, args))

    def run(self, until: float, on_sample: Callable[[], None] | None = None) -> None:
        """Runs until this time (ms) and calls `on_sample` every 100 ms."""
        sampled_at = self.now
        while self.queue and self.queue[0][0] <= until:
            when, _, callback, args = heappop(self.queue)
            while on_sample is not None and sampled_at + 100.0 <= when:
                sampled_at += 100.0
                self.now = sampled_at
                on_sample()
            self.now = when
            self.events += 1
            callback(*args)
        self.now = until

    # processes

    def _start(self, node: Node) -> None:
        if node.up:
            return
        node.boots += 1
        node.up = True
        self.links.unavailable.discard(node.name)
        me = Record(
            node.name, node.address, 1, State.JOINING, self.rng.getrandbits(ID_BITS), node.site, "1.0", "c0"
        )
        seeds = [n.address for n in list(self.nodes.values())[:3]]
        if node.snapshot and self.rng.random() >= self.empty_disk_ratio:
            me = msgspec.structs.replace(me, incarnation=node.snapshot[0] + 1)
            seeds = list(dict.fromkeys((*seeds, *node.snapshot[1])))
        node.member = self.make("f", me, seeds, self.periods, self.rng.getrandbits(32), self.now)
        node.incarnation, node.reported, node.gone_declared = 0, {}, 0
        self._tick(node, node.boots)

    def _end_process(self, node: Node) -> None:
        if node.member is not None:
            addresses = [
                r.address for r in node.member.known_records() if r.state not in ENDED and r.name != node.name
            ]
            node.snapshot = (node.member.me.incarnation, addresses[:256])
        node.up, node.member, node.inbox = False, None, []
        self.links.unavailable.add(node.name)
        self.links.mark_disturbed(self.now, (node.name,))

    def _tick(self, node: Node, boot: int) -> None:
        member = node.member
        if member is None or node.boots != boot:
            return None
        if node.paused_until > self.now:
            return self.call_at(node.paused_until, self._tick, node, boot)
        if node.starved:
            if self.now < node.wakes_at:
                return self.call_at(node.wakes_at, self._tick, node, boot)
            self._handle_inbox(node)
        self._perform(node, member.tick(self.now))
        if node.starved:
            node.wakes_at = self.now + self.rng.uniform(*STARVED_FOR)
        self.call_at(max(self.now + 1.0, member.next_at()), self._tick, node, boot)
        return None

    def _handle_inbox(self, node: Node) -> None:
        inbox, node.inbox = node.inbox, []
        for handler, *args in inbox:
            handler(node, *args)

    def _deliver(self, node: Node, handler: Callable[..., None], *args: Any) -> None:
        """Passes a message to a handler of a process, or queues it while the process is paused or starved."""
        if not node.up:
            return
        if node.paused_until > self.now:
            if len(node.inbox) < 500:  # messages that fit into the socket's buffer
                node.inbox.append((handler, *args))
            return
        if node.starved and self.now < node.wakes_at:
            node.inbox.append((handler, *args))
            return
        handler(node, *args)

    def _perform(self, node: Node, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(node, action.to, action.message)
            elif isinstance(action, Exchange):
                self._start_exchange(node, action.to, action.request)
            elif isinstance(action, MemberChanged):
                self._check_change(node, action)
            elif isinstance(action, Notice):
                self.notices[action.event] += 1
                self.log.append((self.now, f"{node.name}: {action.event}: {action.details}"))
        self._check(node)

    # links

    def _link(self, src: Node, dst: Node) -> tuple[float, float, bool] | None:
        """Returns delay in ms, loss ratio and whether the message is duplicated; None if the link is cut.

        A corrupt message counts as lost, since its receiver discards it.
        """
        link = self.links.conditions(src.name, dst.name)
        if link is None:
            return None
        loss_ratio = 1.0 if link.corrupt else 1 - (1 - self.loss_ratio) * (1 - link.loss_ratio)
        return self.rng.uniform(*self.delay) + link.delay, loss_ratio, link.duplicated

    def _send(self, src: Node, to: str, message: Any) -> None:
        size = len(ENCODER.encode(message)) + 28
        src.bytes_out += size
        src.messages += 1
        dst = self.by_address.get(to)
        if dst is None or dst is src:
            return
        link = self._link(src, dst)
        if link is None or self.rng.random() < link[1]:
            return
        self.call_at(self.now + link[0], self._deliver, dst, self._datagram_received, message)
        if link[2]:
            self.call_at(
                self.now + link[0] + self.rng.uniform(0, 50),
                self._deliver,
                dst,
                self._datagram_received,
                message,
            )

    def _datagram_received(self, node: Node, message: Any) -> None:
        if node.member is not None:
            self._perform(node, node.member.datagram_received(self.now, message))

    def _start_exchange(self, src: Node, to: str, request: Any) -> None:
        """Sends a request on a connection: loss only delays it by a retransmission, a cut link drops it."""
        self._send_exchange_message(src, self.by_address.get(to), request)

    def _send_exchange_message(self, src: Node, dst: Node | None, message: Any) -> None:
        src.bytes_out += len(ENCODER.encode(message)) + 60
        if dst is None or dst is src or not dst.up:
            return
        link, reverse = self._link(src, dst), self._link(dst, src)
        if link is None or reverse is None:
            return
        retransmission_delay = 200.0 if self.rng.random() < link[1] else 0.0
        self.call_at(
            self.now + link[0] + retransmission_delay,
            self._deliver,
            dst,
            self._exchange_message_received,
            src,
            message,
        )

    def _exchange_message_received(self, node: Node, src: Node, message: Any) -> None:
        if node.member is None:
            return
        reply, actions = node.member.exchange_message_received(self.now, message)
        self._perform(node, actions)
        if reply is not None:
            self._send_exchange_message(node, src, reply)

    # faults

    def _start_fault(self, fault: Fault) -> None:
        who = select_members(fault.who, self.sites)
        self.log.append((self.now, f"{fault.what} {' '.join(fault.who)}"))
        for name in who:
            node = self.nodes[name]
            if fault.what in ("kill", "restart", "leave") and node.up:
                if fault.what != "kill" and node.member is not None and node.paused_until <= self.now:
                    self._perform(node, node.member.leave(self.now))
                    if not self.links.active:
                        self.announced_stops.add(node.member.me.boot)
                self._end_process(node)
                if fault.for_s:
                    self.call_at(self.now + fault.for_s * 1000, self._start, node)
            elif fault.what == "stop" and node.up:
                self.links.unavailable.add(name)
                node.paused_until = max(node.paused_until, self.now + fault.for_s * 1000)
                self.call_at(node.paused_until, self._resume, node, node.boots)
        active = self.links.begin(self.now, fault)
        if active is not None and fault.for_s:
            self.call_at(self.now + fault.for_s * 1000, self._end_link_fault, active)

    def _end_link_fault(self, active: ActiveFault) -> None:
        self.links.end(self.now, active)

    def _resume(self, node: Node, boot: int) -> None:
        self.links.mark_disturbed(self.now, (node.name,))
        if node.up and node.boots == boot and node.paused_until <= self.now:
            self.links.unavailable.discard(node.name)
            self._handle_inbox(node)

    # the checker

    def _check_change(self, node: Node, change: MemberChanged) -> None:
        record = change.record
        subject = self.by_address.get(record.address)  # the process that the record describes
        if subject is None:
            return
        # A late report about a process that really has ended is not false.
        is_running = subject.member is not None and subject.member.me.boot == record.boot
        if record.state in ENDED:
            self.ended.add((record.key, record.incarnation, record.boot))
        if record.state is State.GONE and is_running:
            # Only the first report is checked. Other members repeat it, starved ones possibly much later.
            report = (record.key, record.incarnation, record.boot)
            if report not in self.gone_while_running:
                self.gone_while_running.add(report)
                if not self.links.is_exempt(self.now, node.name, subject.name):
                    self.false_gone.setdefault((record.key, record.incarnation), self.now)
        if (
            record.state is State.SUSPECT
            and is_running
            and not self.links.is_exempt(self.now, node.name, subject.name)
        ):
            self.false_suspect.add((record.key, record.incarnation))
        member = node.member
        assert member is not None
        if member.counts["gone"] > node.gone_declared:  # this member declared it; the report was not received
            node.gone_declared = member.counts["gone"]
            present = {r.name for r in member.known_records() if r.state in (State.ALIVE, State.JOINING)}
            not_left = present | {r.name for r in member.known_records() if r.state is not State.LEFT}
            if 2 * len(present) <= len(not_left):
                raise InvariantViolationError(
                    f"{node.name} at {self.now:.0f} ms: declared {record.key} gone without seeing a majority"
                )
        if record.state is State.GONE and record.boot in self.announced_stops:
            self.planned_gone.add(record.boot)
        previous = node.reported.get(record.key)
        if previous is not None and (record.incarnation, record.state) < previous:
            raise InvariantViolationError(
                f"{node.name} at {self.now:.0f} ms: {record.key} went from {previous} back to "
                f"{(record.incarnation, int(record.state))}"
            )
        node.reported[record.key] = (record.incarnation, int(record.state))

    def _check(self, node: Node) -> None:
        member = node.member
        if member is None:
            return
        if member.me.incarnation < node.incarnation:
            raise InvariantViolationError(
                f"{node.name} at {self.now:.0f} ms: its own incarnation fell to {member.me.incarnation}"
            )
        node.incarnation = member.me.incarnation
        if member.table.records.get(member.me.key) is not member.me:
            raise InvariantViolationError(
                f"{node.name} at {self.now:.0f} ms: its table has another record of itself than its own"
            )
        own_start = (member.me.key, member.me.incarnation, member.me.boot)
        if member.me.state in (State.ALIVE, State.JOINING) and own_start in self.ended and not member.leaving:
            # A member must take a new incarnation once it has received a report of its own end.
            ended = member.table.records[member.me.key].state in ENDED
            if ended:
                raise InvariantViolationError(
                    f"{node.name} at {self.now:.0f} ms: an ended incarnation is alive again"
                )

    def running(self) -> list[Node]:
        """The processes that are up and not paused."""
        return [n for n in self.nodes.values() if n.up and n.paused_until <= self.now]

    def views_agree(self) -> bool:
        """Whether all running processes have the same view and it shows exactly these processes as alive."""
        running = self.running()
        if len({n.member.table.digest for n in running if n.member is not None}) > 1:
            return False
        if not running or running[0].member is None:
            return True
        records = running[0].member.table.records
        up = {n.name for n in running}
        for record in records.values():
            if (record.state is State.ALIVE) != (record.name in up):
                return False
            ended = record.state in ENDED or running[0].member.cut_off
            if record.name not in up and not ended:
                return False
        return up <= {r.name for r in records.values()}


def run_simulation(
    members: int, sites: int, seconds: float, seed: int, faults: Sequence[Fault], **more: Any
) -> Outcome:
    """Runs one simulation and returns its results."""
    simulation = FleetSimulation(members, sites, seed, faults, **more)
    # Settling is measured from the start of the run and from the end of each fault.
    ends = sorted({f.ends_s if f.ends_s is not None else f.at_s for f in faults} | {0.0})
    settled_after: dict[float, float] = {}
    detected_after: dict[float, float] = {}
    kills = [f for f in faults if f.what == "kill"]

    def on_sample() -> None:
        now = simulation.now / 1000
        open_ends = [e for e in ends if e < now and e not in settled_after]
        if open_ends and simulation.views_agree():
            for e in open_ends:
                settled_after[e] = round(now - e, 2)
        for f in kills:
            if f.at_s < now and f.at_s not in detected_after:
                killed = set(select_members(f.who, simulation.sites))
                if all(
                    n.member is None
                    or all(
                        r.state is not State.ALIVE or simulation.nodes[r.name].up
                        for r in n.member.known_records()
                        if r.name in killed
                    )
                    for n in simulation.running()
                ):
                    detected_after[f.at_s] = round(now - f.at_s, 2)

    violation = ""
    try:
        simulation.run(seconds * 1000, on_sample)
    except InvariantViolationError as e:
        violation = str(e)
    nodes = simulation.nodes.values()
    return Outcome(
        members,
        seconds,
        seed,
        not violation and all(e in settled_after for e in ends if e <= seconds),
        [settled_after[e] for e in ends if e in settled_after],
        [detected_after[f.at_s] for f in kills if f.at_s in detected_after],
        len(simulation.false_gone),
        len(simulation.false_suspect),
        len(simulation.planned_gone),
        sum(n.bytes_out for n in nodes) / seconds / members,
        sum(n.messages for n in nodes) / seconds / members,
        violation,
        simulation.events,
    )
