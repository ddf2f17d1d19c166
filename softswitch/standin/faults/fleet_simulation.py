"""The fleet on virtual time: the very code of `fleet/`, thousands of members, a schedule of faults, and a
checker.

A run is a function of its arguments: same seed, same run. After each step the checker holds what has happened
to what must never happen (`InvariantViolationError`).
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

STARVED_FOR = (150.0, 900.0)  # ms that a starved process sleeps between two looks at what came
ENCODER = msgspec.msgpack.Encoder()


class InvariantViolationError(Exception):
    """A rule that must hold at each step did not; the text says which, who and when."""


@dataclass(slots=True)
class Node:
    name: str
    site: str
    address: str
    member: Member | None = None
    stopped_until: float = 0.0
    up: bool = False
    starved: bool = False
    boots: int = 0
    saved: tuple[int, list[str]] | None = None  # its snapshot: own incarnation, addresses of others
    inbox: list[tuple[Any, ...]] = field(default_factory=list)
    wakes_at: float = 0.0
    bytes_out: int = 0
    messages: int = 0
    called_gone: int = 0  # times that it did so by its own word
    incarnation: int = 0  # the highest of its own so far
    # incarnation and state of each, as it told it
    seen: dict[str, tuple[int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class Outcome:
    """What a run showed. Times in seconds."""

    members: int
    seconds: float
    seed: int
    settled: bool
    settle_s: list[float]  # by fault, in order of their ends: from there until all views were equal and true
    detect_s: list[float]  # by fault that ended processes: until the last process knew
    false_gone: int
    false_suspect: int
    planned_gone: int  # planned stops that were called gone
    bytes_s: float  # a second and member, sent
    messages_s: float
    violation: str = ""
    events: int = 0


class FleetSimulation:
    """Members, links and time."""

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
        self.periods, self.make, self.delay, self.lose = periods or Periods(), make, delay, lose
        self.empty_disk_ratio = empty_disk_ratio  # share of starts that find an empty disk
        self.nodes = {
            f"n{n}": Node(
                f"n{n}", f"{'abcdefghijklmnopqrstuvwxyz'[n % sites]}", f"10.0.{n >> 8}.{n & 255}:7000"
            )
            for n in range(members)
        }
        self.by_address = {node.address: node for node in self.nodes.values()}
        self.sites = {node.name: node.site for node in self.nodes.values()}
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.ordered = 0
        self.links = Links(self.sites, self.rng)
        self.links.unavailable |= set(self.nodes)
        self.faults = sorted(faults, key=lambda f: f.at_s)
        self.false_gone: dict[tuple[str, int], float] = {}
        self.false_suspect: set[tuple[str, int]] = set()
        self.planned: set[int] = set()  # lives (by boot) that said that they stop, with nothing in the way
        self.planned_gone: set[int] = set()  # those of them that somebody called gone all the same
        self.words: set[tuple[str, int, int]] = set()  # lives that were called gone while they ran
        self.ended_lives: set[tuple[str, int, int]] = set()
        self.log: list[tuple[float, str]] = []
        self.events = 0
        self.told: Counter[str] = Counter()
        starving = self.rng.sample(list(self.nodes), round(starved * members))
        for name in starving:
            self.nodes[name].starved = True
        for n, node in enumerate(self.nodes.values()):
            self.at(self.rng.uniform(0, 300) + (0 if n < 3 else 50), self._start, node)
        for fault in self.faults:
            self.at(fault.at_s * 1000, self._begin, fault)

    # time

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        self.ordered += 1
        heappush(self.queue, (when, self.ordered, what, args))

    def run(self, until: float, each: Callable[[], None] | None = None) -> None:
        """Plays to this time (ms); `each` is called about once in 100 ms."""
        look = self.now
        while self.queue and self.queue[0][0] <= until:
            when, _, what, args = heappop(self.queue)
            while each is not None and look + 100.0 <= when:
                look += 100.0
                self.now = look
                each()
            self.now = when
            self.events += 1
            what(*args)
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
        if node.saved and self.rng.random() >= self.empty_disk_ratio:  # what its snapshot holds
            me = msgspec.structs.replace(me, incarnation=node.saved[0] + 1)
            seeds = list(dict.fromkeys((*seeds, *node.saved[1])))
        node.member = self.make("f", me, seeds, self.periods, self.rng.getrandbits(32), self.now)
        node.incarnation, node.seen, node.called_gone = 0, {}, 0
        self._tick(node, node.boots)

    def _end(self, node: Node) -> None:
        if node.member is not None:
            known = [
                r.address for r in node.member.known_records() if r.state not in ENDED and r.name != node.name
            ]
            node.saved = (node.member.me.incarnation, known[:256])
        node.up, node.member, node.inbox = False, None, []
        self.links.unavailable.add(node.name)
        self.links.mark_disturbed(self.now, (node.name,))

    def _tick(self, node: Node, boot: int) -> None:
        member = node.member
        if member is None or node.boots != boot:
            return None
        if node.stopped_until > self.now:
            return self.at(node.stopped_until, self._tick, node, boot)
        if node.starved:
            if self.now < node.wakes_at:
                return self.at(node.wakes_at, self._tick, node, boot)
            self._drain(node)
        self._do(node, member.tick(self.now))
        if node.starved:
            node.wakes_at = self.now + self.rng.uniform(*STARVED_FOR)
        self.at(max(self.now + 1.0, member.next_at()), self._tick, node, boot)
        return None

    def _drain(self, node: Node) -> None:
        inbox, node.inbox = node.inbox, []
        for what, *args in inbox:
            what(node, *args)

    def _takes(self, node: Node, what: Callable[..., None], *args: Any) -> None:
        """Hands something to a process, which may be stopped or starved."""
        if not node.up:
            return
        if node.stopped_until > self.now:
            if len(node.inbox) < 500:  # the socket's buffer
                node.inbox.append((what, *args))
            return
        if node.starved and self.now < node.wakes_at:
            node.inbox.append((what, *args))
            return
        what(node, *args)

    def _do(self, node: Node, actions: list[Any]) -> None:
        for a in actions:
            if isinstance(a, Send):
                self._send(node, a.to, a.message)
            elif isinstance(a, Exchange):
                self._exchange(node, a.to, a.request)
            elif isinstance(a, MemberChanged):
                self._changed(node, a)
            elif isinstance(a, Notice):
                self.told[a.event] += 1
                self.log.append((self.now, f"{node.name}: {a.event}: {a.details}"))
        self._check(node)

    # links

    def _way(self, src: Node, dst: Node) -> tuple[float, float, bool] | None:
        """Delay in ms, share lost, whether it comes twice; None where nothing passes. What is spoilt is
        dropped as garbage by who gets it.
        """
        way = self.links.conditions(src.name, dst.name)
        if way is None:
            return None
        lost = 1.0 if way.corrupt else 1 - (1 - self.lose) * (1 - way.loss_ratio)
        return self.rng.uniform(*self.delay) + way.delay, lost, way.duplicated

    def _send(self, src: Node, to: str, message: Any) -> None:
        size = len(ENCODER.encode(message)) + 28
        src.bytes_out += size
        src.messages += 1
        dst = self.by_address.get(to)
        if dst is None or dst is src:
            return
        way = self._way(src, dst)
        if way is None or self.rng.random() < way[1]:
            return
        self.at(self.now + way[0], self._takes, dst, self._heard, message)
        if way[2]:
            self.at(self.now + way[0] + self.rng.uniform(0, 50), self._takes, dst, self._heard, message)

    def _heard(self, node: Node, message: Any) -> None:
        if node.member is not None:
            self._do(node, node.member.datagram_received(self.now, message))

    def _exchange(self, src: Node, to: str, said: Any) -> None:
        """A connection: what is lost on the way is sent again and only comes later; a cut ends it."""
        self._carry(src, self.by_address.get(to), said)

    def _carry(self, src: Node, dst: Node | None, message: Any) -> None:
        src.bytes_out += len(ENCODER.encode(message)) + 60
        if dst is None or dst is src or not dst.up:
            return
        way, back = self._way(src, dst), self._way(dst, src)
        if way is None or back is None:
            return
        later = 200.0 if self.rng.random() < way[1] else 0.0
        self.at(self.now + way[0] + later, self._takes, dst, self._asked, src, message)

    def _asked(self, node: Node, src: Node, message: Any) -> None:
        if node.member is None:
            return
        answer, actions = node.member.exchange_message_received(self.now, message)
        self._do(node, actions)
        if answer is not None:
            self._carry(node, src, answer)

    # faults

    def _begin(self, fault: Fault) -> None:
        who = select_members(fault.who, self.sites)
        self.log.append((self.now, f"{fault.what} {' '.join(fault.who)}"))
        for name in who:
            node = self.nodes[name]
            if fault.what in ("kill", "restart", "leave") and node.up:
                if fault.what != "kill" and node.member is not None and node.stopped_until <= self.now:
                    self._do(node, node.member.leave(self.now))
                    if not self.links.active:
                        self.planned.add(node.member.me.boot)
                self._end(node)
                if fault.for_s:
                    self.at(self.now + fault.for_s * 1000, self._start, node)
            elif fault.what == "stop" and node.up:
                self.links.unavailable.add(name)
                node.stopped_until = max(node.stopped_until, self.now + fault.for_s * 1000)
                self.at(node.stopped_until, self._continued, node, node.boots)
        on = self.links.begin(self.now, fault)
        if on is not None and fault.for_s:
            self.at(self.now + fault.for_s * 1000, self._over, on)

    def _over(self, on: ActiveFault) -> None:
        self.links.end(self.now, on)

    def _continued(self, node: Node, boot: int) -> None:
        self.links.mark_disturbed(self.now, (node.name,))
        if node.up and node.boots == boot and node.stopped_until <= self.now:
            self.links.unavailable.discard(node.name)
            self._drain(node)

    # the checker

    def _changed(self, node: Node, change: MemberChanged) -> None:
        record = change.record
        about = self.by_address.get(record.address)
        if about is None:
            return
        # What is said of a life that truly ended, by one who only now hears of it, accuses nobody.
        runs = about.member is not None and about.member.me.boot == record.boot
        if record.state in ENDED:
            self.ended_lives.add((record.key, record.incarnation, record.boot))
        if record.state is State.GONE and runs:
            # Who says it first accuses; the others pass it on, some only when they wake up long after.
            word = (record.key, record.incarnation, record.boot)
            if word not in self.words:
                self.words.add(word)
                if not self.links.is_exempt(self.now, node.name, about.name):
                    self.false_gone.setdefault((record.key, record.incarnation), self.now)
        if (
            record.state is State.SUSPECT
            and runs
            and not self.links.is_exempt(self.now, node.name, about.name)
        ):
            self.false_suspect.add((record.key, record.incarnation))
        member = node.member
        assert member is not None
        if member.counts["gone"] > node.called_gone:  # by its own word, not by another's
            node.called_gone = member.counts["gone"]
            there = {r.name for r in member.known_records() if r.state in (State.ALIVE, State.JOINING)}
            whole = there | {r.name for r in member.known_records() if r.state is not State.LEFT}
            if 2 * len(there) <= len(whole):
                raise InvariantViolationError(
                    f"{node.name} at {self.now:.0f} ms: no majority, {record.key} called gone"
                )
        if record.state is State.GONE and record.boot in self.planned:
            self.planned_gone.add(record.boot)
        before = node.seen.get(record.key)
        if before is not None and (record.incarnation, record.state) < before:
            raise InvariantViolationError(
                f"{node.name} at {self.now:.0f} ms: {record.key} went from {before} back to "
                f"{(record.incarnation, int(record.state))}"
            )
        node.seen[record.key] = (record.incarnation, int(record.state))

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
                f"{node.name} at {self.now:.0f} ms: it holds another record of itself than its own"
            )
        life = (member.me.key, member.me.incarnation, member.me.boot)
        if (
            member.me.state in (State.ALIVE, State.JOINING)
            and life in self.ended_lives
            and not member.leaving
        ):
            # Told of its end it must begin a life anew; until it hears of it, it can't know.
            ended = member.table.records[member.me.key].state in ENDED
            if ended:
                raise InvariantViolationError(
                    f"{node.name} at {self.now:.0f} ms: a life that ended came back"
                )

    def running(self) -> list[Node]:
        return [n for n in self.nodes.values() if n.up and n.stopped_until <= self.now]

    def equal(self) -> bool:
        """All running processes hold one view, and it is true: who runs is alive there, who ended is not."""
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
    """One run, with what the checker saw."""
    world = FleetSimulation(members, sites, seed, faults, **more)
    ends = sorted({f.ends_s if f.ends_s is not None else f.at_s for f in faults} | {0.0})
    settle: dict[float, float] = {}
    know: dict[float, float] = {}
    deaths = [f for f in faults if f.what == "kill"]

    def each() -> None:
        now = world.now / 1000
        open_ends = [e for e in ends if e < now and e not in settle]
        if open_ends and world.equal():
            for e in open_ends:
                settle[e] = round(now - e, 2)
        for f in deaths:
            if f.at_s < now and f.at_s not in know:
                dead = set(select_members(f.who, world.sites))
                if all(
                    n.member is None
                    or all(
                        r.state is not State.ALIVE or world.nodes[r.name].up
                        for r in n.member.known_records()
                        if r.name in dead
                    )
                    for n in world.running()
                ):
                    know[f.at_s] = round(now - f.at_s, 2)

    violation = ""
    try:
        world.run(seconds * 1000, each)
    except InvariantViolationError as e:
        violation = str(e)
    nodes = world.nodes.values()
    return Outcome(
        members,
        seconds,
        seed,
        not violation and all(e in settle for e in ends if e <= seconds),
        [settle[e] for e in ends if e in settle],
        [know[f.at_s] for f in deaths if f.at_s in know],
        len(world.false_gone),
        len(world.false_suspect),
        len(world.planned_gone),
        sum(n.bytes_out for n in nodes) / seconds / members,
        sum(n.messages for n in nodes) / seconds / members,
        violation,
        world.events,
    )
