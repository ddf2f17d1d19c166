"""Transport of the fleet view: UDP datagrams for probes, one TCP connection per exchange, a snapshot file.

The fleet view is what this process knows about the members of its fleet. The snapshot retains this member's
incarnation and the addresses of other members over a restart.

msgspec validates every message completely; undecodable messages are counted and dropped. This module makes no
protocol decisions: it passes events to `fleet.member.Member` and carries out the returned actions.
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
from softswitch.fleet.member import Exchange, Member, MemberChanged, Notice, Periods, Send
from softswitch.fleet.messages import (
    ENDED,
    FORMAT,
    ID_BITS,
    CompareDigests,
    ComponentMessage,
    Datagram,
    DifferingRecords,
    Record,
    Rejected,
    RemainingRecords,
    State,
    Stream,
)
from softswitch.fleet.size import FleetSize
from softswitch.storage.snapshot import Snapshot, SnapshotError

MAX_DATAGRAM = 1_400  # bytes
MAX_EXCHANGE_MESSAGE = 4 << 20  # bytes of one message
EXCHANGE_TIMEOUT = 4.0  # s for a complete exchange
MAX_EXCHANGES = 24  # concurrent, incoming and outgoing
RATE_INTERVAL, MAX_DATAGRAMS_PER_INTERVAL = 100.0, 200  # ms; datagrams accepted per interval
BIND_RETRY_INTERVAL = 100.0  # ms; the predecessor process may still have the address bound
SNAPSHOT_INTERVAL = 2_000.0  # ms
SNAPSHOT_TYPE, SNAPSHOT_VERSION, MAX_SAVED_ADDRESSES = 1, 1, 256  # the last: addresses of other members
# Ms. An ended member counts in the fleet size for the longest deadline of a call plus this margin. The
# default applies if no call class has a deadline.
LINGER_MARGIN, DEFAULT_CALL_DEADLINE = 1_000.0, 9_000.0


class SavedState(msgspec.Struct, array_like=True, frozen=True):
    """The content of the snapshot."""

    fleet: str
    key: str  # of this member: name@address
    incarnation: int
    peer_addresses: tuple[str, ...]


class DatagramSocket(DatagramProtocol):
    """The UDP socket of the fleet view."""

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a received datagram to `Peers`."""
        self.peers.datagram_received(data)


class ExchangeConnection(Int32StringReceiver):
    """One exchange, on the opening or the accepting side."""

    MAX_LENGTH = MAX_EXCHANGE_MESSAGE

    def __init__(self, peers: Peers, request: CompareDigests | None = None) -> None:
        self.peers, self.request, self.timer = peers, request, None

    def connectionMade(self) -> None:
        """Starts the timeout and, on the opening side, sends the request."""
        self.peers.exchanges[self] = None
        self.timer = self.peers.host.reactor.callLater(EXCHANGE_TIMEOUT, self.transport.abortConnection)
        if self.request is not None:
            self.sendString(self.peers.encoder.encode(self.request))

    def connectionLost(self, reason: object = None) -> None:
        """Removes the connection and cancels its timeout."""
        self.peers.exchanges.pop(self, None)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def lengthLimitExceeded(self, length: int) -> None:
        """Aborts the connection if the peer announces a message above `MAX_LENGTH`."""
        self.peers.count_undecodable("an exchange's message is too long")
        self.transport.abortConnection()

    def stringReceived(self, data: bytes) -> None:
        """Handles one complete message and sends the answer, if there is one."""
        try:
            message = self.peers.exchange_decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as e:
            self.peers.count_undecodable(str(e))
            self.transport.abortConnection()
            return
        if isinstance(message, DifferingRecords) != (self.request is not None) and not isinstance(
            message, Rejected
        ):
            self.peers.count_undecodable("not what was asked")
            self.transport.abortConnection()
            return
        answer = self.peers.exchange_message_received(message)
        if answer is not None:
            self.sendString(self.peers.encoder.encode(answer))
        if isinstance(message, DifferingRecords | RemainingRecords | Rejected) or isinstance(
            answer, Rejected
        ):
            self.transport.loseConnection()


class ExchangeClientFactory(ClientFactory):
    """Opens one exchange with another member and sends the request."""

    noisy = False

    def __init__(self, peers: Peers, request: CompareDigests) -> None:
        self.peers, self.request = peers, request

    def buildProtocol(self, addr: object) -> ExchangeConnection:
        """Returns the protocol of the opened connection."""
        return ExchangeConnection(self.peers, self.request)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Counts a failed connection attempt."""
        self.peers.counts["exchanges that found nobody"] += 1


class ExchangeServerFactory(Factory):
    """Accepts exchanges that other members open."""

    noisy = False

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def buildProtocol(self, addr: object) -> ExchangeConnection | None:
        """Returns the protocol of an accepted connection; None closes it if `MAX_EXCHANGES` are open."""
        if len(self.peers.exchanges) >= MAX_EXCHANGES:
            self.peers.counts["exchanges turned away"] += 1
            return None
        return ExchangeConnection(self.peers)


class Peers:
    """Maintains this softswitch's view of its fleet. A `components.Component`.

    `table` is the operator file's table `fleet`.
    """

    def __init__(self, table: Any, host: Host) -> None:
        self.table, self.host, self.switch, self.wheel = table, host, host.switch, host.switch.wheel
        self.counts: Counter[str] = Counter()
        self.encoder = msgspec.msgpack.Encoder()
        self.datagram_decoder = msgspec.msgpack.Decoder(Datagram | ComponentMessage)
        self.receivers: dict[str, Callable[[bytes], None]] = {}  # of component messages, by component
        self.exchange_decoder = msgspec.msgpack.Decoder(Stream)
        self.exchanges: dict[ExchangeConnection, None] = {}
        self.datagram_port: Any = None  # Twisted port; None while the address is not bound
        self.exchange_port: Any = None
        self.bind_failure_logged = False
        self.datagrams_in_interval, self.interval_started_at = 0, 0.0
        self.next_tick_at = 0.0
        self.handed_over = False  # whether the successor process acts for the member
        # `saving`: a write is running; `saved_digest`: the member table's digest at the last write
        self.snapshot, self.saving, self.saved_digest, self.write_failing = (
            self._open_snapshot(),
            False,
            0,
            False,
        )
        random = SystemRandom()
        previous = self._load_state()
        incarnation = previous.incarnation + 1 if previous else 1
        name, boot = table.member or host.name, random.getrandbits(ID_BITS)
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
        seeds = dict.fromkeys((*table.seeds, *(previous.peer_addresses if previous else ())))
        periods = Periods(period=table.period_ms, ack_timeout=table.answer_ms)
        self.member = Member(table.name, me, seeds, periods, random.getrandbits(64), self.wheel.now)
        deadline = max((c.deadline for c in host.settings.classes), default=0.0) or DEFAULT_CALL_DEADLINE
        self.fleet_size = FleetSize(host.settings.fleet_size, deadline + LINGER_MARGIN)
        self.applied_size = host.settings.fleet_size  # the size that the decision module uses now
        host.management_routes["/v1/fleet"] = ManagementRoute("GET", self._report_view)

    # snapshot

    def _open_snapshot(self) -> Snapshot | None:
        if not self.table.folder:
            return None
        folder = Path(self.host.folder, self.table.folder)
        name = f"fleet-{self.table.name}-{self.table.member or self.host.name}.snapshot"
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as e:
            self.counts["snapshots failed"] += 1
            logger.warning(
                "fleet: snapshot folder not created, the softswitch serves on from its seeds: {}", e
            )
            return None
        return Snapshot(folder / name, SNAPSHOT_TYPE, SNAPSHOT_VERSION)

    def _load_state(self) -> SavedState | None:
        """Returns the state that the predecessor process saved.

        None if there is no snapshot or it is unusable; in both cases the member joins through its configured
        seeds. An unusable snapshot is logged.
        """
        if self.snapshot is None:
            return None
        try:
            found = self.snapshot.read()
            saved = msgspec.msgpack.decode(found[1], type=SavedState) if found else None
            if saved is not None and saved.fleet != self.table.name:
                raise SnapshotError(f"{self.snapshot.path}: belongs to fleet {saved.fleet!r}")
        except (OSError, SnapshotError, msgspec.DecodeError, msgspec.ValidationError) as e:
            self.counts["snapshots unreadable"] += 1
            logger.warning("fleet: snapshot not read, the softswitch serves on from its seeds: {}", e)
            return None
        return saved

    def _save(self) -> None:
        """Writes a snapshot every SNAPSHOT_INTERVAL ms if the digest of the member table changed.

        A thread writes it, so that the event loop does not wait for the disk.
        """
        self.wheel.call_at(self.wheel.now + SNAPSHOT_INTERVAL, self._save)
        if (
            self.snapshot is None
            or self.saving
            or self.handed_over
            or self.saved_digest == self.member.table.digest
        ):
            return
        me, records = self.member.me, self.member.known_records()
        others = [r.address for r in records if r.state not in ENDED and r.key != me.key][
            :MAX_SAVED_ADDRESSES
        ]
        self.saving, self.saved_digest = True, self.member.table.digest
        saved = SavedState(self.table.name, me.key, me.incarnation, tuple(others))
        self.host.reactor.callInThread(self._write_snapshot, self.snapshot, self.encoder.encode(saved))

    def _write_snapshot(self, snapshot: Snapshot, record: bytes) -> None:
        """Runs in a thread, one write at a time."""
        try:
            snapshot.write(record)
            self.counts["snapshots"] += 1
            self.write_failing = False
        except OSError as e:
            self.counts["snapshots failed"] += 1
            self.saved_digest = 0  # forces a retry
            if not self.write_failing:
                logger.warning("fleet: snapshot not written, the softswitch serves on without: {}", e)
            self.write_failing = True
        finally:
            self.saving = False

    # component interface

    def start(self) -> None:
        """Binds the address, joins the fleet and starts probing."""
        self.switch.lifecycle.on_change.append(self._phase_changed)
        logger.info(
            "fleet: {} in fleet {}, site {!r}, {} seeds",
            self.member.me.key,
            self.table.name,
            self.table.site,
            len(self.member.seeds),
        )
        self._bind()
        self.wheel.call_at(self.wheel.now + SNAPSHOT_INTERVAL, self._save)
        self.wheel.call_at(self.wheel.now + 1_000.0, self._check_size_periodically)

    def reload(self, table: Any, settings: Any) -> str:
        """Applies changed settings. Returns the table's name if a change of it needs a restart."""
        self.fleet_size.configured = settings.fleet_size
        self._execute(
            self.member.update_configuration(self.wheel.now, self.host.version, settings_digest(settings))
        )
        self.applied_size = settings.fleet_size  # the reload has already applied it to the switch
        self._apply_size()
        return "" if table == self.table else "fleet"

    def figures(self) -> dict[str, Any]:
        """Counts for `GET /metrics`: members by state, messages, exchanges."""
        count = self.member.table.count
        counts = dict(self.counts) | self.member.counts  # one atomic copy: the snapshot thread may add a key
        return {
            "alive": count[State.ALIVE] + count[State.JOINING],
            "suspect": count[State.SUSPECT],
            "gone": count[State.GONE],
            "left": count[State.LEFT],
            "cut_off": self.member.cut_off,
            "size": self.applied_size,
            "health": self.member.health_score,
            **{name.replace(" ", "_"): n for name, n in counts.items()},
        }

    def stop(self) -> None:
        """Closes the sockets. A planned stop has been announced already, see `_phase_changed`."""
        self._close()

    # address

    def _bind(self) -> None:
        """Binds the address; retries while the predecessor process of the same member still has it bound."""
        if self.datagram_port is not None or self.handed_over:
            return
        host, _, port = self.table.address.rpartition(":")
        try:
            self.datagram_port = self.host.reactor.listenUDP(
                int(port), DatagramSocket(self), host, maxPacketSize=65_536
            )
            self.exchange_port = self.host.reactor.listenTCP(int(port), ExchangeServerFactory(self), 64, host)
        except CannotListenError as e:
            if self.datagram_port is not None:
                self.datagram_port.stopListening()
                self.datagram_port = None
            if not self.bind_failure_logged:
                logger.warning("fleet: address still in use, binding is retried: {}", e)
            self.bind_failure_logged = True
            self.wheel.call_at(self.wheel.now + BIND_RETRY_INTERVAL, self._bind)
            return
        self.bind_failure_logged = False
        self.member.next_tick_due = self.wheel.now  # waiting for the address is no stall
        self._tick(self.wheel.now)

    def _close(self) -> None:
        for port in (self.datagram_port, self.exchange_port):
            if port is not None:
                port.stopListening()
        self.datagram_port = self.exchange_port = None
        for connection in list(self.exchanges):
            connection.transport.abortConnection()

    def _phase_changed(self, phase: Phase) -> None:
        lifecycle = self.switch.lifecycle
        if lifecycle.handed_over and not self.handed_over:
            self.handed_over = True  # not announced: the successor process continues as the same member
            self._close()
        elif not lifecycle.handed_over and self.handed_over:
            self.handed_over = False
            self._bind()
        if phase is Phase.STOPPING and not self.handed_over:
            self._execute(self.member.leave(self.wheel.now))

    # timers

    def _tick(self, due: float) -> None:
        if self.datagram_port is None or (due != self.next_tick_at and self.next_tick_at > self.wheel.now):
            return
        self._execute(self.member.tick(self.wheel.now))

    def _schedule_tick(self) -> None:
        """Schedules the member's next tick. Timers are not cancelled: `_tick` ignores an obsolete one."""
        due = max(self.member.next_at(), self.wheel.now + self.wheel.tick)
        if due < self.next_tick_at or self.next_tick_at <= self.wheel.now:
            self.next_tick_at = due
            self.wheel.call_at(due, self._tick, due)

    def _check_size_periodically(self) -> None:
        self.wheel.call_at(self.wheel.now + 1_000.0, self._check_size_periodically)
        self._apply_size()

    def _apply_size(self) -> None:
        """Applies a changed fleet size, by which the decision module divides the capacity of warming engines.

        `FleetSize` raises the size at once and lowers it with a delay.
        """
        joined = self.member.me.state is not State.JOINING
        size = self.fleet_size.update(
            self.wheel.now, self.member.known_records(), joined, self.member.cut_off
        )
        if size != self.applied_size and not self.handed_over:
            logger.info("fleet: size changed to {}, was {}", size, self.applied_size)
            self.applied_size = size
            self.switch.apply_fleet_size(size)

    # received messages

    def datagram_received(self, data: bytes) -> None:
        """Handles one datagram; drops it above MAX_DATAGRAMS_PER_INTERVAL in this interval."""
        now = self.wheel.now
        if now - self.interval_started_at >= RATE_INTERVAL:
            self.interval_started_at, self.datagrams_in_interval = now, 0
        self.datagrams_in_interval += 1
        if self.datagrams_in_interval > MAX_DATAGRAMS_PER_INTERVAL:
            self.counts["datagrams dropped in a flood"] += 1
            return None
        if len(data) > MAX_DATAGRAM:
            return self.count_undecodable("a datagram is too long")
        try:
            message = self.datagram_decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as e:
            return self.count_undecodable(str(e))
        self.counts["datagrams in"] += 1
        if isinstance(message, ComponentMessage):
            receiver = self.receivers.get(message.component)
            if receiver is not None and (message.fleet, message.format) == (self.table.name, FORMAT):
                receiver(message.body)
            return None
        self._execute(self.member.datagram_received(now, message))
        return None

    def count_undecodable(self, reason: str) -> None:
        """Counts an undecodable message, and logs the first one."""
        self.counts["messages that can't be read"] += 1
        if self.counts["messages that can't be read"] == 1:
            logger.warning(
                "fleet: undecodable message dropped, further ones are counted only: {:.120}", reason
            )

    def exchange_message_received(self, message: Any) -> Any:
        """Returns this member's answer to a message of an exchange, or None."""
        answer, actions = self.member.exchange_message_received(self.wheel.now, message)
        self._execute(actions)
        return answer

    # sent messages

    def _dial_address(self, address: str) -> tuple[str, int]:
        host, _, port = self.table.dial.get(address, address).rpartition(":")
        return host, int(port)

    def _execute(self, actions: list[Any]) -> None:
        size_may_change = False
        for a in actions:
            if isinstance(a, Send):
                self._send(a.to, a.message)
            elif isinstance(a, Exchange):
                if len(self.exchanges) < MAX_EXCHANGES and self.datagram_port is not None:
                    self.host.reactor.connectTCP(
                        *self._dial_address(a.to), ExchangeClientFactory(self, a.request), timeout=1.0
                    )
            elif isinstance(a, MemberChanged):
                size_may_change = True
                self._log_change(a)
            elif isinstance(a, Notice):
                self.counts[f"told: {a.event}"] += 1
                level = "INFO" if a.event == "sees a majority" else "WARNING"
                logger.log(level, "fleet: {}: {}", a.event, a.details)
        if size_may_change:
            self._apply_size()
        if self.datagram_port is not None:
            self._schedule_tick()

    def _send(self, to: str, message: Any) -> None:
        if self.datagram_port is None:
            return
        data = self.encoder.encode(message)
        while len(data) > MAX_DATAGRAM and getattr(message, "updates", None):
            message = msgspec.structs.replace(message, updates=message.updates[: len(message.updates) // 2])
            data = self.encoder.encode(message)
        try:
            self.datagram_port.write(data, self._dial_address(to))
            self.counts["datagrams out"] += 1
            self.counts["bytes out"] += len(data)
        except (OSError, ValueError):
            self.counts["datagrams not sent"] += 1

    def send_component_message(self, to: str, component: str, body: bytes) -> bool:
        """Sends a message to the same component of another member. False while the address is not bound."""
        if self.datagram_port is None:
            return False
        self._send(to, ComponentMessage(self.table.name, FORMAT, component, body))
        return True

    def _log_change(self, change: MemberChanged) -> None:
        record, previous_state = change.record, change.previous_state
        before = "not known" if previous_state is None else previous_state.name.lower()
        logger.info(
            "fleet: {} is {}, was {}, incarnation {}",
            record.key,
            record.state.name.lower(),
            before,
            record.incarnation,
        )

    # management calls

    def _report_view(self, rest: str) -> tuple[int, dict[str, Any]]:
        """GET /v1/fleet."""
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
                "for_ms": round(now - table.changed_at.get(r.key, now)),
            }
            for r in sorted(member.known_records(), key=lambda r: r.key)
        ]
        return 200, {
            "fleet": member.fleet,
            "me": member.me.key,
            "cut_off": member.cut_off,
            "joined": member.me.state is not State.JOINING,
            "digest": f"{table.digest:016x}",
            "size": self.applied_size,
            "names_taken": list(member.name_conflicts),
            "refused": member.rejections,
            "sites": member.count_by_site(),
            "members": members,
        }


def make(table: Any, host: Host) -> Peers:
    """Makes the component from the operator file's table. ValueError if the member's name is unusable."""
    name = host.name if not table.member else table.member
    if not 0 < len(name) <= 64:
        raise ValueError(f"`member`: {name!r:.70} is not a name of 1 to 64 characters")
    return Peers(table, host)
