"""Watches the endpoint list: receives numbered events with changes to the list of quote engines.

The server of the watch is the notice board, the key `board` of the configuration. The number of an event is
the *revision* of the list that results from it. On each connection, the client first sends the last revision
that it has applied, and the server sends the events after it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from struct import Struct
from typing import Any

from loguru import logger
from twisted.internet.protocol import ReconnectingClientFactory
from twisted.protocols.basic import Int32StringReceiver

from softswitch import interface as i
from softswitch.core.counters import Count
from softswitch.core.switch import Switch
from softswitch.net.displaced_endpoints import displaced_endpoints
from softswitch.net.endpoint_snapshot import EndpointSnapshot, LocatedEndpoint
from softswitch.net.engine_pool import EnginePool

ENDPOINT_RECORD = Struct(">I4sHBBBHIQ")  # id, address, port, state, zone, kind, cell, weight, started
EVENT_HEADER = Struct(">QB")  # number and type of an event
NO_CHANGE, COMPLETE, CHANGES = 0, 1, 2  # event types
MAX_FRAME = 1 << 20  # bytes
MAX_SKIPPED = 1_000  # events at once; a higher number is taken to be damaged itself
REVISION_SIZE = 8  # bytes of the revision that the client sends
WEIGHT_UNIT = 1000  # weight in a record of an endpoint of weight 1
# State of an endpoint, by its code in a record.
STATES = (i.EndpointState.READY, i.EndpointState.DRAINING, i.EndpointState.REMOVED)
STATE_NAMES = {
    "active": i.EndpointState.READY,
    "leaving": i.EndpointState.DRAINING,
    "left": i.EndpointState.REMOVED,
}
SILENCE_TIMEOUT = (
    2_200.0  # ms; the server sends an event at least once a second, NO_CHANGE if there is no other
)
SWEEP_INTERVAL = 250.0  # ms between two checks of the timeout
CONNECT_TIMEOUT = 1.0  # s

Address = tuple[str, int]
ToClock = Callable[[int], float]  # converts Unix ms to the clock of the timer wheel; 0 stays 0


@dataclass(frozen=True, slots=True)
class ListEvent:
    """A numbered event with a complete list or changes to it."""

    revision: int
    is_complete: bool
    endpoints: list[LocatedEndpoint]


@dataclass(frozen=True, slots=True)
class KnownEvents:
    """The events that a configuration contains."""

    revision: int  # of the list that results from all of them
    events: list[ListEvent]


def decode_endpoints(payload: bytes, to_clock: ToClock) -> list[LocatedEndpoint]:
    """Decodes the records of an event."""
    if len(payload) % ENDPOINT_RECORD.size:
        raise ValueError(f"{len(payload)} bytes are not a multiple of the record size")
    endpoints = []
    for id_, address, port, state, _, _, cell, weight, started in ENDPOINT_RECORD.iter_unpack(payload):
        endpoint = i.Endpoint(f"s-{id_:08x}", cell, STATES[state], to_clock(started), weight / WEIGHT_UNIT)
        endpoints.append(LocatedEndpoint(endpoint, (".".join(map(str, address)), port)))
    return endpoints


def parse_endpoints(hosts: Iterable[dict[str, Any]], to_clock: ToClock) -> list[LocatedEndpoint]:
    """Parses the hosts of an event in a configuration."""
    endpoints = []
    for host in hosts:
        address, _, port = host["dial"].rpartition(":")
        endpoint = i.Endpoint(
            host["host"],
            host.get("block", -1),
            STATE_NAMES[host["health"]],
            to_clock(host.get("born_ms") or 0),
            float(host.get("share", 1.0)),
        )
        endpoints.append(LocatedEndpoint(endpoint, (address, int(port))))
    return endpoints


class WatchConnection(Int32StringReceiver):
    """A connection to the server of the watch."""

    MAX_LENGTH = MAX_FRAME
    factory: EndpointWatch

    def connectionMade(self) -> None:
        """Called by Twisted; requests the events after the last known revision."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.factory.revision.to_bytes(REVISION_SIZE, "big"))
        self.factory.connection_up(self)

    def stringReceived(self, frame: bytes) -> None:
        """Called by Twisted for each complete frame."""
        if self is not self.factory.connection:
            return  # frames after a bad one, or from a connection that was replaced
        number = 0
        try:
            number, type_ = EVENT_HEADER.unpack_from(frame)
            self.factory.event_received(number, type_, frame[EVENT_HEADER.size :])
        except Exception as e:
            self.factory.event_unreadable(number, e)

    def lengthLimitExceeded(self, length: int) -> None:
        """Called by Twisted when a frame is longer than MAX_LENGTH."""
        logger.warning("endpoint watch: frame of {} bytes, connection closed", length)
        self.transport.abortConnection()


class EndpointWatch(ReconnectingClientFactory):
    """Keeps a connection to the watch server, and applies each event once and in order."""

    protocol = WatchConnection
    noisy = False
    initialDelay, maxDelay, factor, jitter = 0.05, 0.5, 2.0, 0.1

    def __init__(
        self, reactor: Any, address: Address, switch: Switch, engines: EnginePool, to_clock: ToClock
    ) -> None:
        self.reactor = reactor
        self.address = address
        self.switch = switch
        self.engines = engines
        self.to_clock = to_clock
        self.revision = 0  # of the last applied event
        self.connection: WatchConnection | None = None
        self.last_frame_at = switch.wheel.now
        self.requested_after = 0  # revision after which missing events were last requested
        self.unreadable = 0  # number of the last event that could not be read

    def parse(self, config: dict[str, Any]) -> KnownEvents:
        """Parses the events that a configuration contains, without applying them."""
        events = []
        for event in config.get("notices") or ():
            pool = event["pool"]
            endpoints = parse_endpoints(pool.get("hosts") or (), self.to_clock)
            events.append(ListEvent(int(event.get("rev") or 0), bool(pool.get("whole")), endpoints))
        return KnownEvents(int(config.get("rev") or 0), events)

    def apply_known_events(self, known: KnownEvents) -> None:
        """Applies the events of a configuration that are newer than the applied ones."""
        final_revision = 0 if self.revision else known.revision
        for event in known.events:
            if event.revision > self.revision or not self.revision:
                is_complete = event.is_complete or not self.revision
                self._apply(i.UpdateKind.COMPLETE if is_complete else i.UpdateKind.CHANGES, event.endpoints)
                self.revision = max(self.revision, event.revision)
        self.revision = max(self.revision, final_revision)

    def snapshot(self) -> EndpointSnapshot:
        """Returns the endpoint list as it is known now."""
        addresses = self.engines.addresses()
        directory = self.switch.endpoints
        listed = [server for server in directory.listed() if server in addresses]
        entries = tuple(LocatedEndpoint(directory.entry_of(s), addresses[s]) for s in listed)
        return EndpointSnapshot(self.revision, entries)

    def apply_snapshot(self, snapshot: EndpointSnapshot) -> None:
        """Applies the list of the other process if it is newer; the server's next events continue from it."""
        if snapshot.revision <= self.revision:
            return
        logger.info("endpoint watch: list {} taken from the other process", snapshot.revision)
        self._apply(i.UpdateKind.COMPLETE, list(snapshot.entries))
        self.revision = snapshot.revision

    def start(self) -> None:
        """Opens the first connection."""
        self._connect()
        self.switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)

    def _connect(self) -> None:
        self.connector = self.reactor.connectTCP(*self.address, self, timeout=CONNECT_TIMEOUT)

    def move(self, address: Address) -> None:
        """Reconnects to another address of the watch server; the revisions continue there."""
        if address == self.address:
            return
        old_connector = self.connector
        self.address = address
        self.connection = None
        self.stopTrying()
        self.resetDelay()
        self.continueTrying = 1
        self._connect()
        old_connector.disconnect()

    def connection_up(self, connection: WatchConnection) -> None:
        """Called when the connection is established."""
        self.connection = connection
        self.last_frame_at = self.switch.wheel.now

    # Twisted also reports the end of a replaced connection, which must not affect its successor.

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Called by Twisted."""
        if connector is self.connector:
            super().clientConnectionFailed(connector, reason)

    def clientConnectionLost(self, connector: object, reason: object) -> None:
        """Called by Twisted."""
        if connector is self.connector:
            self.connection = None
            self.switch.counters[Count.WATCH_CONNECTIONS_LOST] += 1
            super().clientConnectionLost(connector, reason)

    def event_received(self, number: int, type_: int, payload: bytes) -> None:
        """Applies an event. NO_CHANGE also means that the known endpoint list is current."""
        self.last_frame_at = self.switch.wheel.now
        self.switch.lifecycle.endpoints_received(self.last_frame_at)
        # Reset only after a frame: a server that closes each new connection must not be retried in a loop.
        self.resetDelay()
        if self._has_gap_before(number, type_) and self.requested_after != self.revision:
            self._request_missing(number)
            return
        if type_ not in (COMPLETE, CHANGES):
            return
        if number <= self.revision:
            self.switch.counters[Count.DUPLICATE_ENDPOINT_UPDATES] += 1
            return
        kind = i.UpdateKind.COMPLETE if type_ == COMPLETE else i.UpdateKind.CHANGES
        self._apply(kind, decode_endpoints(payload, self.to_clock))
        self.revision = number

    def event_unreadable(self, number: int, error: Exception) -> None:
        """Requests an event that cannot be read again; one that still cannot be read is skipped.

        The data may have been damaged on its way. If it was not, the server sends the same event first on
        each connection, and the events after it would never be received. `number` is 0 if it is unreadable.
        """
        may_skip = self.revision < number <= self.revision + MAX_SKIPPED
        if not may_skip or number != self.unreadable:
            self.unreadable = number
            logger.warning("endpoint watch: bad frame, connection closed: {!r}", error)
            self.reconnect()
            return
        self.switch.counters[Count.ENDPOINT_UPDATES_SKIPPED] += 1
        logger.error("endpoint watch: event {} cannot be read, skipped: {!r}", number, error)
        self.revision = max(self.revision, number)

    def _has_gap_before(self, number: int, type_: int) -> bool:
        """Whether events between the last applied one and this one are missing."""
        next_number = self.revision + (1 if type_ == CHANGES else 0)
        return type_ != COMPLETE and number > next_number

    def _request_missing(self, number: int) -> None:
        """Requests the missing events by reconnecting.

        Done once per gap: a server that skips numbers would otherwise be queried forever.
        """
        self.requested_after = self.revision
        self.switch.counters[Count.ENDPOINT_UPDATES_REQUESTED] += 1
        logger.warning(
            "endpoint watch: events after {} are missing before {}, requesting them", self.revision, number
        )
        self.reconnect()

    def reconnect(self) -> None:
        """Aborts the connection; on the new one, the server sends all events after the last applied one."""
        old_connection, self.connection = self.connection, None
        if old_connection is not None:
            old_connection.transport.abortConnection()

    def _apply(self, kind: i.UpdateKind, located: list[LocatedEndpoint]) -> None:
        update = i.EndpointsChanged(kind, tuple(entry.endpoint for entry in located))
        addresses = self.engines.addresses() | {entry.endpoint.server: entry.address for entry in located}
        displaced = displaced_endpoints(self.switch.endpoints.listed_after(update), addresses)
        ended = {endpoint.server for endpoint in displaced}
        for server in ended:
            logger.info("endpoint watch: {} has ended, its address belongs to another engine", server)
        # The links are added first, because the update may send queued calls to a new engine at once.
        for entry in located:
            server = entry.endpoint.server
            if entry.endpoint.state is not i.EndpointState.REMOVED and server not in ended:
                self.engines.add_endpoint(server, entry.address)
        others = tuple(endpoint for endpoint in update.endpoints if endpoint.server not in ended)
        self.switch.endpoints_changed(replace(update, endpoints=others + displaced))

    def _sweep(self) -> None:
        """Reconnects if the server is silent.

        The server may have lost this connection. It counts events sent on it as delivered and does not repeat
        them here.
        """
        now = self.switch.wheel.now
        self.switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)
        if self.connection is not None and now - self.last_frame_at > SILENCE_TIMEOUT:
            logger.warning("endpoint watch: silent for {:.0f} ms, reconnecting", now - self.last_frame_at)
            self.last_frame_at = now
            self.reconnect()
