"""Relays between real processes: one for each ordered pair, for datagrams and for connections.

To reach process B, process A dials the relay of the pair (A, B) instead of B. The relay applies the active
faults to each datagram and to each chunk of a connection.
"""

from __future__ import annotations

from random import Random
from typing import Any

from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, Protocol

from softswitch.standin.addresses import own_host
from softswitch.standin.faults.links import LinkConditions, Links

CHECK_INTERVAL = 0.1  # s between two checks for connections over cut links
RETRANSMISSION_DELAY = 200.0  # ms by which a lost packet delays a chunk of a connection


class Datagrams(DatagramProtocol):
    """Relays datagrams from one process to another."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Called by Twisted: forwards, delays, duplicates, corrupts or drops the datagram."""
        relay, rng = self.relay, self.relay.rng
        link = relay.links.conditions(relay.src, relay.dst)
        relay.received += 1
        if link is None or rng.random() < link.loss_ratio:
            relay.dropped += 1
            return
        if link.corrupt and data:
            at = rng.randrange(len(data))
            data = data[:at] + bytes((data[at] ^ (1 + rng.randrange(255)),)) + data[at + 1 :]
        for extra in (0.0, rng.uniform(0.0, 50.0)) if link.duplicated else (0.0,):
            relay.reactor.callLater(
                (link.delay + relay.queueing_delay(link, len(data)) + extra) / 1000, self._forward, data
            )

    def _forward(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data, self.relay.target)


class RelayedConnection(Protocol):
    """One side of a relayed connection; `peer` is the other side."""

    def __init__(self, relay: Relay, from_source: bool) -> None:
        self.relay, self.from_source = relay, from_source
        self.peer: RelayedConnection | None = None
        self.pending: list[bytes] = []  # received before the other side was connected
        self.last_due = 0.0  # when the last chunk is forwarded, s

    def connectionMade(self) -> None:
        """Called by Twisted: a connection from the source is continued to the target."""
        self.relay.connections[self] = None
        if self.from_source:
            self.relay.reactor.connectTCP(*self.relay.target, TargetFactory(self), timeout=2.0)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted: closes the other side after its last chunk."""
        self.relay.connections.pop(self, None)
        peer, self.peer = self.peer, None
        if peer is not None:
            wait = max(0.0, self.last_due - self.relay.reactor.seconds())
            self.relay.reactor.callLater(wait + 0.001, peer.transport.loseConnection)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted: forwards a chunk with its delay, or aborts the connection if the link is cut."""
        if self.peer is None:
            self.pending.append(data)
            return None
        relay = self.relay
        src, dst = (relay.src, relay.dst) if self.from_source else (relay.dst, relay.src)
        link = relay.links.conditions(src, dst)
        if link is None:
            return relay.abort(self)
        delay = (
            link.delay
            + relay.queueing_delay(link, len(data))
            + (RETRANSMISSION_DELAY if relay.rng.random() < link.loss_ratio else 0.0)
        )
        now = relay.reactor.seconds()
        self.last_due = max(self.last_due, now + delay / 1000)  # keeps the order of the chunks
        if self.last_due <= now:
            self.peer.transport.write(data)
        else:
            relay.reactor.callLater(self.last_due - now, self._forward, self.peer, data)
        return None

    def _forward(self, peer: RelayedConnection, data: bytes) -> None:
        if peer in self.relay.connections:
            peer.transport.write(data)


class TargetFactory(ClientFactory):
    """Connects to the target on behalf of a connection from the source."""

    noisy = False

    def __init__(self, connection: RelayedConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: object) -> RelayedConnection:
        """Called by Twisted: makes the side of the target and joins both sides."""
        target_side = RelayedConnection(self.connection.relay, False)
        target_side.peer, self.connection.peer = self.connection, target_side
        self.connection.relay.reactor.callLater(0, self._flush)
        return target_side

    def _flush(self) -> None:
        pending, self.connection.pending = self.connection.pending, []
        for data in pending:
            self.connection.dataReceived(data)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Called by Twisted: aborts the connection from the source."""
        self.connection.transport.abortConnection()


class SourceFactory(Factory):
    """Accepts connections from the source, unless the link is cut in either direction."""

    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: object) -> RelayedConnection | None:
        """Called by Twisted."""
        relay = self.relay
        if (
            relay.links.conditions(relay.src, relay.dst) is None
            or relay.links.conditions(relay.dst, relay.src) is None
        ):
            return None
        return RelayedConnection(relay, True)


class Relay:
    """Forwards traffic from one process (`src`) to another (`dst`); `src` dials the address from `listen`."""

    def __init__(
        self, reactor: Any, links: Links, src: str, dst: str, target: tuple[str, int], seed: int
    ) -> None:
        self.reactor, self.links, self.src, self.dst, self.target = reactor, links, src, dst, target
        self.rng = Random(seed)
        self.connections: dict[RelayedConnection, None] = {}
        self.received = self.dropped = 0  # datagrams
        self.free_at = 0.0  # when a link with a limited rate has sent everything in its queue, ms

    def listen(self) -> tuple[str, int]:
        """Listens for datagrams and connections on one port and returns the address."""
        host = own_host()
        for _ in range(20):
            self.udp = self.reactor.listenUDP(0, Datagrams(self), host, maxPacketSize=65_536)
            port: int = self.udp.getHost().port
            try:
                self.tcp = self.reactor.listenTCP(port, SourceFactory(self), 16, host)
            except Exception:  # the TCP port with this number is in use
                self.udp.stopListening()
                continue
            return host, port
        raise OSError("no port is free for both datagrams and connections")

    def queueing_delay(self, link: LinkConditions, size: int) -> float:
        """Queues a message of `size` bytes on a link with a limited rate and returns its delay in ms."""
        if not link.kb_s:
            return 0.0
        now = self.reactor.seconds() * 1000.0
        self.free_at = max(self.free_at, now) + size / link.kb_s  # bytes / (kB/s) = ms
        return float(self.free_at - now)

    def abort(self, connection: RelayedConnection) -> None:
        """Aborts both sides of a connection."""
        if connection.peer is not None:
            connection.peer.transport.abortConnection()
        connection.transport.abortConnection()

    def abort_cut_connections(self) -> None:
        """Aborts all connections if the link is cut in either direction."""
        if not self.connections or not self.links.active:
            return
        if (
            self.links.conditions(self.src, self.dst) is None
            or self.links.conditions(self.dst, self.src) is None
        ):
            for connection in list(self.connections):
                connection.transport.abortConnection()

    def stop(self) -> None:
        """Stops listening and aborts all connections."""
        self.udp.stopListening()
        self.tcp.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()
