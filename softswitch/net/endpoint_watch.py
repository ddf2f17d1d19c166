"""Watches the endpoint list at the notice board: numbered events with the changes of the list of quote
engines.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from struct import Struct
from typing import Any

from loguru import logger
from twisted.internet.protocol import ReconnectingClientFactory
from twisted.protocols.basic import Int32StringReceiver

from softswitch import interface as i
from softswitch.core.counters import Count
from softswitch.core.switch import Switch
from softswitch.net.engine_pool import EnginePool

ENDPOINT_RECORD = Struct(">I4sHBBBHIQ")  # id, address, port, state, zone, kind, cell, weight, started
EVENT_HEADER = Struct(">QB")  # number and type of an event
NO_CHANGE, COMPLETE, CHANGES = 0, 1, 2  # types of events
MAX_FRAME = 1 << 20  # bytes
REVISION_SIZE = 8  # bytes
WEIGHT_UNIT = 1000
STATES = (i.EndpointState.READY, i.EndpointState.DRAINING, i.EndpointState.REMOVED)
STATE_NAMES = {
    "active": i.EndpointState.READY,
    "leaving": i.EndpointState.DRAINING,
    "left": i.EndpointState.REMOVED,
}
SILENCE_TIMEOUT = 2_200.0  # ms; the board sends at least 'nothing new' once a second
SWEEP_INTERVAL = 250.0  # ms between two looks at the silence
CONNECT_TIMEOUT = 1.0  # s

Address = tuple[str, int]
ToClock = Callable[[int], float]  # Unix ms to the wheel's clock; 0 stays 0


@dataclass(frozen=True, slots=True)
class LocatedEndpoint:
    """One entry of the list, and where it is called."""

    endpoint: i.Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class ListEvent:
    """One numbered event."""

    revision: int
    is_complete: bool
    endpoints: list[LocatedEndpoint]


@dataclass(frozen=True, slots=True)
class KnownEvents:
    """The events that a configuration holds."""

    revision: int
    events: list[ListEvent]


def decode_endpoints(payload: bytes, to_clock: ToClock) -> list[LocatedEndpoint]:
    """The records of an event."""
    if len(payload) % ENDPOINT_RECORD.size:
        raise ValueError(f"{len(payload)} bytes are no whole records")
    endpoints = []
    for id_, address, port, state, _, _, cell, weight, started in ENDPOINT_RECORD.iter_unpack(payload):
        endpoint = i.Endpoint(f"s-{id_:08x}", cell, STATES[state], to_clock(started), weight / WEIGHT_UNIT)
        endpoints.append(LocatedEndpoint(endpoint, (".".join(map(str, address)), port)))
    return endpoints


def parse_endpoints(hosts: Iterable[dict[str, Any]], to_clock: ToClock) -> list[LocatedEndpoint]:
    """The hosts of an event in a configuration."""
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
    """One connection to the board."""

    MAX_LENGTH = MAX_FRAME
    factory: EndpointWatch

    def connectionMade(self) -> None:
        """Called by Twisted: asks for the events after the last one that is known."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.factory.revision.to_bytes(REVISION_SIZE, "big"))
        self.factory.connection_up(self)

    def stringReceived(self, frame: bytes) -> None:
        """Called by Twisted: a frame is complete."""
        if self is not self.factory.connection:
            return  # what stands behind a bad frame, or comes from a board that was left
        try:
            number, type_ = EVENT_HEADER.unpack_from(frame)
            self.factory.event_received(number, type_, frame[EVENT_HEADER.size :])
        except Exception as e:
            logger.warning("notice board: bad frame, connection closed: {!r}", e)
            self.factory.reconnect()

    def lengthLimitExceeded(self, length: int) -> None:
        """Called by Twisted."""
        logger.warning("notice board: frame of {} bytes, connection closed", length)
        self.transport.abortConnection()


class EndpointWatch(ReconnectingClientFactory):
    """Follows the board over connections that come and go; each event is taken in once, in order."""

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
        self.revision = 0  # of the last event that was taken in
        self.connection: WatchConnection | None = None
        self.last_frame_at = switch.wheel.now
        self.requested_after = (
            0  # the revision after which events were missing, once they were requested again
        )

    def parse(self, config: dict[str, Any]) -> KnownEvents:
        """The events that a configuration holds; nothing is taken in yet."""
        events = []
        for event in config.get("notices") or ():
            pool = event["pool"]
            endpoints = parse_endpoints(pool.get("hosts") or (), self.to_clock)
            events.append(ListEvent(int(event.get("rev") or 0), bool(pool.get("whole")), endpoints))
        return KnownEvents(int(config.get("rev") or 0), events)

    def apply_known_events(self, known: KnownEvents) -> None:
        """Takes in the events that a configuration holds."""
        last = 0 if self.revision else known.revision
        for event in known.events:
            if event.revision > self.revision or not self.revision:  # else it is older than what we have
                complete = event.is_complete or not self.revision
                self._take(i.UpdateKind.COMPLETE if complete else i.UpdateKind.CHANGES, event.endpoints)
                self.revision = max(self.revision, event.revision)
        self.revision = max(self.revision, last)

    def start(self) -> None:
        """Opens the first connection."""
        self._connect()
        self.switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)

    def _connect(self) -> None:
        self.connector = self.reactor.connectTCP(*self.address, self, timeout=CONNECT_TIMEOUT)

    def move(self, address: Address) -> None:
        """The board is at another address from now on; the numbers continue there."""
        if address == self.address:
            return
        left = self.connector
        self.address = address
        self.connection = None
        self.stopTrying()
        self.resetDelay()
        self.continueTrying = 1
        self._connect()
        left.disconnect()

    def connection_up(self, connection: WatchConnection) -> None:
        """The connection is up."""
        self.connection = connection
        self.last_frame_at = self.switch.wheel.now

    # What a connection to a board that was left still says of its end must not touch the new one.

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
        """An event, or the sign that there is none."""
        self.last_frame_at = self.switch.wheel.now
        self.switch.lifecycle.endpoints_received(self.last_frame_at)  # even if it says that nothing is new
        self.resetDelay()  # not before it speaks: one that hangs up on us at once is not called in a loop
        if self._is_missing_before(number, type_) and self.requested_after != self.revision:
            self._request_missing(number)
            return
        if type_ not in (COMPLETE, CHANGES):
            return
        if number <= self.revision:
            self.switch.counters[Count.DUPLICATE_ENDPOINT_UPDATES] += 1
            return
        kind = i.UpdateKind.COMPLETE if type_ == COMPLETE else i.UpdateKind.CHANGES
        self._take(kind, decode_endpoints(payload, self.to_clock))
        self.revision = number

    def _is_missing_before(self, number: int, type_: int) -> bool:
        """Whether events were left out before this one."""
        next_number = self.revision + (1 if type_ == CHANGES else 0)
        return type_ != COMPLETE and number > next_number

    def _request_missing(self, number: int) -> None:
        """Once: a board that leaves numbers out would be asked without end."""
        self.requested_after = self.revision
        self.switch.counters[Count.ENDPOINT_UPDATES_REQUESTED] += 1
        logger.warning(
            "notice board: events after {} are missing before {}, asking again", self.revision, number
        )
        self.reconnect()

    def reconnect(self) -> None:
        """Leaves this connection for a new one, which brings all that came after the last event that we
        have.
        """
        left, self.connection = self.connection, None
        if left is not None:
            left.transport.abortConnection()

    def _take(self, kind: i.UpdateKind, located: list[LocatedEndpoint]) -> None:
        # The links first: the update may send queued calls to a new engine at once.
        for entry in located:
            if entry.endpoint.state is not i.EndpointState.REMOVED:
                self.engines.add_endpoint(entry.endpoint.server, entry.address)
        self.switch.endpoints_changed(i.EndpointsChanged(kind, tuple(entry.endpoint for entry in located)))

    def _sweep(self) -> None:
        """A board that is silent has lost us: what it has to tell counts as told all the same."""
        now = self.switch.wheel.now
        self.switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)
        if self.connection is not None and now - self.last_frame_at > SILENCE_TIMEOUT:
            logger.warning("notice board: silent for {:.0f} ms, connecting anew", now - self.last_frame_at)
            self.last_frame_at = now
            self.reconnect()
