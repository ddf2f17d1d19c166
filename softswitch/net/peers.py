"""The fleet view on the wire: datagrams for probes, a connection for each exchange, and the part's own table.

Every message is checked whole by msgspec; what can't be read is counted and dropped. Nothing here decides:
events go to `fleet.member.Member`, its actions are carried out.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import Any

import msgspec
from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory
from twisted.protocols.basic import Int32StringReceiver

from softswitch.components import Host, ManagementRoute, settings_digest
from softswitch.core.lifecycle import Phase
from softswitch.fleet.member import Changed, Exchange, Member, Periods, Send, Told
from softswitch.fleet.messages import (
    BITS,
    ENDED,
    FORMAT,
    Carried,
    Compare,
    Datagram,
    Differ,
    Record,
    Refused,
    Rest,
    State,
    Stream,
)
from softswitch.fleet.size import Size
from softswitch.storage.snapshot import Snapshot, SnapshotError

LONGEST = 1_400  # bytes of a datagram
LONGEST_EXCHANGE = 4 << 20  # bytes of one message of an exchange
EXCHANGE_BY = 4.0  # s that one may take
MOST_EXCHANGES = 24  # at once, of either direction
EACH, MOST_EACH = 100.0, 200  # ms, and datagrams taken in of so many
AGAIN = 100.0  # ms between two tries to bind the address, which the process before may still hold
SAVE_EVERY = 2_000.0  # ms between two snapshots
KIND, VERSION, KEPT = 1, 1, 256  # of the snapshot; members kept in it
LINGER, LONGEST_CALL = 1_000.0, 9_000.0  # ms; the second where the settings tell no deadline


class Saved(msgspec.Struct, array_like=True, frozen=True):
    """What the snapshot holds."""

    fleet: str
    key: str
    incarnation: int
    others: tuple[str, ...]  # addresses


class Probes(DatagramProtocol):
    """The datagram socket."""

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Twisted callback: one datagram has arrived."""
        self.peers.datagram(data)


class Line(Int32StringReceiver):
    """One exchange, from either end."""

    MAX_LENGTH = LONGEST_EXCHANGE

    def __init__(self, peers: Peers, said: Compare | None = None) -> None:
        self.peers, self.said, self.timer = peers, said, None

    def connectionMade(self) -> None:
        """Twisted callback: the exchange begins, with the request if this end opened it."""
        self.peers.lines[self] = None
        self.timer = self.peers.host.reactor.callLater(EXCHANGE_BY, self.transport.abortConnection)
        if self.said is not None:
            self.sendString(self.peers.encoder.encode(self.said))

    def connectionLost(self, reason: object = None) -> None:
        """Twisted callback: the exchange is over."""
        self.peers.lines.pop(self, None)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def lengthLimitExceeded(self, length: int) -> None:
        """Twisted callback: the other end announced a message that is too long."""
        self.peers.garbage("an exchange's message is too long")
        self.transport.abortConnection()

    def stringReceived(self, data: bytes) -> None:
        """Twisted callback: one whole message has arrived."""
        try:
            message = self.peers.streams.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as e:
            self.peers.garbage(str(e))
            self.transport.abortConnection()
            return
        if isinstance(message, Differ) != (self.said is not None) and not isinstance(message, Refused):
            self.peers.garbage("not what was asked")
            self.transport.abortConnection()
            return
        answer = self.peers.exchanged(message)
        if answer is not None:
            self.sendString(self.peers.encoder.encode(answer))
        if isinstance(message, Differ | Rest | Refused) or isinstance(answer, Refused):
            self.transport.loseConnection()


class Opener(ClientFactory):
    """Opens one exchange with another member, to send it a request."""

    noisy = False

    def __init__(self, peers: Peers, said: Compare) -> None:
        self.peers, self.said = peers, said

    def buildProtocol(self, addr: object) -> Line:
        """Twisted callback: the protocol of the connection that was opened."""
        return Line(self.peers, self.said)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Twisted callback: the other member could not be reached."""
        self.peers.count["exchanges that found nobody"] += 1


class Acceptor(Factory):
    """Accepts the exchanges that other members open."""

    noisy = False

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def buildProtocol(self, addr: object) -> Line | None:
        """Twisted callback: the protocol of an accepted connection; None closes it, at the bound."""
        if len(self.peers.lines) >= MOST_EXCHANGES:
            self.peers.count["exchanges turned away"] += 1
            return None
        return Line(self.peers)


class Peers:
    """The part of a softswitch that keeps the view of its fleet. A `parts.Part`."""

    def __init__(self, table: Any, host: Host) -> None:
        self.table, self.host, self.switch, self.wheel = table, host, host.switch, host.switch.wheel
        self.count: Counter[str] = Counter()
        self.encoder = msgspec.msgpack.Encoder()
        self.datagrams = msgspec.msgpack.Decoder(Datagram | Carried)
        self.receivers: dict[str, Callable[[bytes], None]] = {}  # who takes what is carried for a part
        self.streams = msgspec.msgpack.Decoder(Stream)
        self.lines: dict[Line, None] = {}
        self.port: Any = None  # where datagrams come
        self.listener: Any = None  # where exchanges come
        self.said_busy = False
        self.taken_in, self.span = 0, 0.0
        self.due = 0.0
        self.quiet = False  # the process that replaces this one speaks for the member
        self.snapshot, self.saving, self.saved, self.failing = self._snapshot(), False, 0, False
        draw = SystemRandom()
        known = self._known()
        incarnation = known.incarnation + 1 if known else 1
        name, boot = table.member or host.name, draw.getrandbits(BITS)
        me = Record(
            name,
            table.address,
            incarnation,
            State.JOINING,
            boot,
            table.site,
            host.version,
            settings_digest(host.settings),
            host.management_address,
        )
        seeds = dict.fromkeys((*table.seeds, *(known.others if known else ())))
        periods = Periods(period=table.period_ms, answer=table.answer_ms)
        self.member = Member(table.name, me, seeds, periods, draw.getrandbits(64), self.wheel.now)
        deadline = max((c.deadline for c in host.settings.classes), default=0.0) or LONGEST_CALL
        self.size = Size(host.settings.fleet_size, deadline + LINGER)
        self.told_size = host.settings.fleet_size
        host.management_routes["/v1/fleet"] = ManagementRoute("GET", self.asked)

    # the snapshot

    def _snapshot(self) -> Snapshot | None:
        if not self.table.folder:
            return None
        folder = Path(self.host.folder, self.table.folder)
        name = f"fleet-{self.table.name}-{self.table.member or self.host.name}.snapshot"
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as e:
            self.count["snapshots failed"] += 1
            logger.warning("fleet: no snapshot, the softswitch serves on from its seeds: {}", e)
            return None
        return Snapshot(folder / name, KIND, VERSION)

    def _known(self) -> Saved | None:
        """What the process before had written. Whatever is wrong with it: one line, and the seeds are
        there.
        """
        if self.snapshot is None:
            return None
        try:
            found = self.snapshot.read()
            saved = msgspec.msgpack.decode(found[1], type=Saved) if found else None
            if saved is not None and saved.fleet != self.table.name:
                raise SnapshotError(f"{self.snapshot.path}: of fleet {saved.fleet!r}")
        except (OSError, SnapshotError, msgspec.DecodeError, msgspec.ValidationError) as e:
            self.count["snapshots unreadable"] += 1
            logger.warning("fleet: snapshot not read, the softswitch serves on from its seeds: {}", e)
            return None
        return saved

    def _save(self) -> None:
        """Each SAVE_EVERY ms, if anything changed; written in a thread, so that the loop waits for no
        disk.
        """
        self.wheel.call_at(self.wheel.now + SAVE_EVERY, self._save)
        if self.snapshot is None or self.saving or self.quiet or self.saved == self.member.table.digest:
            return
        me, records = self.member.me, self.member.known()
        others = [r.address for r in records if r.state not in ENDED and r.key != me.key][:KEPT]
        self.saving, self.saved = True, self.member.table.digest
        saved = Saved(self.table.name, me.key, me.incarnation, tuple(others))
        self.host.reactor.callInThread(self._write, self.snapshot, self.encoder.encode(saved))

    def _write(self, snapshot: Snapshot, record: bytes) -> None:
        """In a thread, one at a time."""
        try:
            snapshot.write(record)
            self.count["snapshots"] += 1
            self.failing = False
        except OSError as e:
            self.count["snapshots failed"] += 1
            self.saved = 0  # tried again
            if not self.failing:
                logger.warning("fleet: snapshot not written, the softswitch serves on without: {}", e)
            self.failing = True
        finally:
            self.saving = False

    # as a part

    def start(self) -> None:
        """Binds the address, joins the fleet and begins to probe."""
        self.switch.lifecycle.on_change.append(self._phase)
        logger.info(
            "fleet: {} in fleet {}, site {!r}, {} seeds",
            self.member.me.key,
            self.table.name,
            self.table.site,
            len(self.member.seeds),
        )
        self._bind()
        self.wheel.call_at(self.wheel.now + SAVE_EVERY, self._save)
        self.wheel.call_at(self.wheel.now + 1_000.0, self._sizes)

    def reload(self, table: Any, settings: Any) -> str:
        """Takes the settings that changed. Returns the table's name if a change of it needs a restart."""
        self.size.of_file = settings.fleet_size
        self._do(self.member.now_is(self.wheel.now, self.host.version, settings_digest(settings)))
        self.told_size = settings.fleet_size  # as the switch has it now
        self._resize()
        return "" if table == self.table else "fleet"

    def figures(self) -> dict[str, Any]:
        """Counts for `GET /metrics` and the view: members by state, messages, exchanges."""
        count = self.member.table.count
        counts = dict(self.count) | self.member.counts  # a copy in one step: a thread may add to it meanwhile
        return {
            "alive": count[State.ALIVE] + count[State.JOINING],
            "suspect": count[State.SUSPECT],
            "gone": count[State.GONE],
            "left": count[State.LEFT],
            "cut_off": self.member.cut_off,
            "size": self.told_size,
            "health": self.member.health,
            **{what.replace(" ", "_"): n for what, n in counts.items()},
        }

    def stop(self) -> None:
        """Closes the sockets; a planned stop was announced by the lifecycle before."""
        self._close()

    # the address

    def _bind(self) -> None:
        """Where the process before still holds the address, it is tried again: the two are one member."""
        if self.port is not None or self.quiet:
            return
        host, _, port = self.table.address.rpartition(":")
        try:
            self.port = self.host.reactor.listenUDP(int(port), Probes(self), host, maxPacketSize=65_536)
            self.listener = self.host.reactor.listenTCP(int(port), Acceptor(self), 64, host)
        except CannotListenError as e:
            if self.port is not None:
                self.port.stopListening()
                self.port = None
            if not self.said_busy:
                logger.warning("fleet: address not free yet, tried again: {}", e)
            self.said_busy = True
            self.wheel.call_at(self.wheel.now + AGAIN, self._bind)
            return
        self.said_busy = False
        self.member.expected = self.wheel.now  # it waited by itself: no standstill
        self._tick(self.wheel.now)

    def _close(self) -> None:
        for port in (self.port, self.listener):
            if port is not None:
                port.stopListening()
        self.port = self.listener = None
        for line in list(self.lines):
            line.transport.abortConnection()

    def _phase(self, phase: Phase) -> None:
        life = self.switch.lifecycle
        if life.handed_over and not self.quiet:
            self.quiet = True  # without a word: the member goes on in the next process
            self._close()
        elif not life.handed_over and self.quiet:
            self.quiet = False
            self._bind()
        if phase is Phase.STOPPING and not self.quiet:
            self._do(self.member.leave(self.wheel.now))

    # time

    def _tick(self, due: float) -> None:
        if self.port is None or (due != self.due and self.due > self.wheel.now):
            return
        self._do(self.member.tick(self.wheel.now))

    def _arm(self) -> None:
        """The next tick is due when the member says; timers are not taken back, a moot one does nothing."""
        due = max(self.member.next_at(), self.wheel.now + self.wheel.tick)
        if due < self.due or self.due <= self.wheel.now:
            self.due = due
            self.wheel.call_at(due, self._tick, due)

    def _sizes(self) -> None:
        self.wheel.call_at(self.wheel.now + 1_000.0, self._sizes)
        self._resize()

    def _resize(self) -> None:
        """The module is told how many share what a cold engine bears: more at once, fewer with care."""
        joined = self.member.me.state is not State.JOINING
        size = self.size.of(self.wheel.now, self.member.known(), joined, self.member.cut_off)
        if size != self.told_size and not self.quiet:
            logger.info("fleet: {} softswitches share what is whole, {} before", size, self.told_size)
            self.told_size = size
            self.switch.apply_fleet_size(size)

    # what comes in

    def datagram(self, data: bytes) -> None:
        """Takes in one datagram, within the limit of datagrams of one interval."""
        now = self.wheel.now
        if now - self.span >= EACH:
            self.span, self.taken_in = now, 0
        self.taken_in += 1
        if self.taken_in > MOST_EACH:
            self.count["datagrams dropped in a flood"] += 1
            return None
        if len(data) > LONGEST:
            return self.garbage("a datagram is too long")
        try:
            message = self.datagrams.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as e:
            return self.garbage(str(e))
        self.count["datagrams in"] += 1
        if isinstance(message, Carried):
            takes = self.receivers.get(message.part)
            if takes is not None and (message.fleet, message.format) == (self.table.name, FORMAT):
                takes(message.body)
            return None
        self._do(self.member.heard(now, message))
        return None

    def garbage(self, why: str) -> None:
        """Counts a message that can't be decoded, and logs the first one."""
        self.count["messages that can't be read"] += 1
        if self.count["messages that can't be read"] == 1:
            logger.warning("fleet: a message that can't be read, dropped, and others like it: {:.120}", why)

    def exchanged(self, message: Any) -> Any:
        """The answer of this member to a message of an exchange; None ends the exchange."""
        answer, actions = self.member.asked(self.wheel.now, message)
        self._do(actions)
        return answer

    # what goes out

    def _dial(self, address: str) -> tuple[str, int]:
        host, _, port = self.table.dial.get(address, address).rpartition(":")
        return host, int(port)

    def _do(self, actions: list[Any]) -> None:
        resize = False
        for a in actions:
            if isinstance(a, Send):
                self._send(a.to, a.message)
            elif isinstance(a, Exchange):
                if len(self.lines) < MOST_EXCHANGES and self.port is not None:
                    self.host.reactor.connectTCP(*self._dial(a.to), Opener(self, a.said), timeout=1.0)
            elif isinstance(a, Changed):
                resize = True
                self._changed(a)
            elif isinstance(a, Told):
                self.count[f"told: {a.what}"] += 1
                level = "INFO" if a.what == "sees a majority" else "WARNING"
                logger.log(level, "fleet: {}: {}", a.what, a.why)
        if resize:
            self._resize()
        if self.port is not None:
            self._arm()

    def _send(self, to: str, message: Any) -> None:
        if self.port is None:
            return
        data = self.encoder.encode(message)
        while len(data) > LONGEST and getattr(message, "news", None):
            message = msgspec.structs.replace(message, news=message.news[: len(message.news) // 2])
            data = self.encoder.encode(message)
        try:
            self.port.write(data, self._dial(to))
            self.count["datagrams out"] += 1
            self.count["bytes out"] += len(data)
        except (OSError, ValueError):
            self.count["datagrams not sent"] += 1

    def carry(self, to: str, part: str, body: bytes) -> bool:
        """Sends what another part says to its like there; False while the address is not this process's."""
        if self.port is None:
            return False
        self._send(to, Carried(self.table.name, FORMAT, part, body))
        return True

    def _changed(self, change: Changed) -> None:
        record, was = change.record, change.was
        before = "not known" if was is None else was.name.lower()
        logger.info(
            "fleet: {} {}, {} before, incarnation {}",
            record.key,
            record.state.name.lower(),
            before,
            record.incarnation,
        )

    # what is told

    def asked(self, rest: str) -> tuple[int, dict[str, Any]]:
        """GET /v1/fleet"""
        member, now = self.member, self.wheel.now
        table = member.table
        members = [
            {
                "name": r.name,
                "address": r.address,
                "site": r.site,
                "state": r.state.name.lower(),
                "incarnation": r.incarnation,
                "boot": f"{r.boot:016x}",
                "version": r.version,
                "config": r.config,
                "mgmt": r.mgmt,
                "for_ms": round(now - table.since.get(r.key, now)),
            }
            for r in sorted(member.known(), key=lambda r: r.key)
        ]
        return 200, {
            "fleet": member.fleet,
            "me": member.me.key,
            "cut_off": member.cut_off,
            "joined": member.me.state is not State.JOINING,
            "digest": f"{table.digest:016x}",
            "size": self.told_size,
            "names_taken": list(member.taken),
            "refused": member.refusals,
            "sites": member.sites(),
            "members": members,
        }


def make(table: Any, host: Host) -> Peers:
    """Makes the component from the operator file's table. ValueError if the member's name is not usable."""
    name = host.name if not table.member else table.member
    if not 0 < len(name) <= 64:
        raise ValueError(f"`member`: {name!r:.70} is no name of 1 to 64 characters")
    return Peers(table, host)
