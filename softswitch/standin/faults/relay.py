"""Relays between real processes: each ordered pair has one, for datagrams and for connections.

A process dials the relay of (itself, the other) in place of the other; what the faults that are on say
happens to each datagram and each piece of a connection.
"""

from __future__ import annotations

from random import Random
from typing import Any

from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, Protocol

from softswitch.standin.addresses import own_host
from softswitch.standin.faults.links import Links, Way

CHECK = 0.1  # s between two looks whether a connection is cut
RESENT = 200.0  # ms that a piece of a connection is late if its packet was lost


class Datagrams(DatagramProtocol):
    """Datagrams from one process to another."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        relay, rng = self.relay, self.relay.rng
        way = relay.links.way(relay.src, relay.dst)
        relay.came += 1
        if way is None or rng.random() < way.lost:
            relay.dropped += 1
            return
        if way.spoilt and data:
            at = rng.randrange(len(data))
            data = data[:at] + bytes((data[at] ^ (1 + rng.randrange(255)),)) + data[at + 1 :]
        for late in (0.0, rng.uniform(0.0, 50.0)) if way.double else (0.0,):
            relay.reactor.callLater((way.delay + relay.queued(way, len(data)) + late) / 1000, self._on, data)

    def _on(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data, self.relay.to)


class Half(Protocol):
    """One end of a connection that passes through; `peer` is the other end."""

    def __init__(self, relay: Relay, forth: bool) -> None:
        self.relay, self.forth = relay, forth
        self.peer: Half | None = None
        self.waiting: list[bytes] = []
        self.due = 0.0

    def connectionMade(self) -> None:
        self.relay.halves[self] = None
        if self.forth:
            self.relay.reactor.connectTCP(*self.relay.to, Onward(self), timeout=2.0)

    def connectionLost(self, reason: object = None) -> None:
        self.relay.halves.pop(self, None)
        peer, self.peer = self.peer, None
        if peer is not None:
            wait = max(0.0, self.due - self.relay.reactor.seconds())
            self.relay.reactor.callLater(wait + 0.001, peer.transport.loseConnection)

    def dataReceived(self, data: bytes) -> None:
        if self.peer is None:
            self.waiting.append(data)
            return None
        relay = self.relay
        src, dst = (relay.src, relay.dst) if self.forth else (relay.dst, relay.src)
        way = relay.links.way(src, dst)
        if way is None:
            return relay.cut(self)
        late = way.delay + relay.queued(way, len(data)) + (RESENT if relay.rng.random() < way.lost else 0.0)
        now = relay.reactor.seconds()
        self.due = max(self.due, now + late / 1000)  # in order
        if self.due <= now:
            self.peer.transport.write(data)
        else:
            relay.reactor.callLater(self.due - now, self._on, self.peer, data)
        return None

    def _on(self, peer: Half, data: bytes) -> None:
        if peer in self.relay.halves:
            peer.transport.write(data)


class Onward(ClientFactory):
    noisy = False

    def __init__(self, half: Half) -> None:
        self.half = half

    def buildProtocol(self, addr: object) -> Half:
        made = Half(self.half.relay, False)
        made.peer, self.half.peer = self.half, made
        self.half.relay.reactor.callLater(0, self._flush)
        return made

    def _flush(self) -> None:
        waiting, self.half.waiting = self.half.waiting, []
        for data in waiting:
            self.half.dataReceived(data)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.half.transport.abortConnection()


class Acceptor(Factory):
    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: object) -> Half | None:
        relay = self.relay
        if relay.links.way(relay.src, relay.dst) is None or relay.links.way(relay.dst, relay.src) is None:
            return None
        return Half(relay, True)


class Relay:
    """From one process to another; `listen` tells where the first one is to dial."""

    def __init__(
        self, reactor: Any, links: Links, src: str, dst: str, to: tuple[str, int], seed: int
    ) -> None:
        self.reactor, self.links, self.src, self.dst, self.to = reactor, links, src, dst, to
        self.rng = Random(seed)
        self.halves: dict[Half, None] = {}
        self.came = self.dropped = 0
        self.free_at = 0.0  # when a limited link has sent what it was given

    def listen(self) -> tuple[str, int]:
        """Datagrams and connections at one port."""
        host = own_host()
        for _ in range(20):
            self.udp = self.reactor.listenUDP(0, Datagrams(self), host, maxPacketSize=65_536)
            port: int = self.udp.getHost().port
            try:
                self.tcp = self.reactor.listenTCP(port, Acceptor(self), 16, host)
            except Exception:  # the same number is taken there
                self.udp.stopListening()
                continue
            return host, port
        raise OSError("no port is free for datagrams and connections both")

    def queued(self, way: Way, size: int) -> float:
        """Ms that a limited link makes this wait."""
        if not way.kb_s:
            return 0.0
        now = self.reactor.seconds() * 1000.0
        self.free_at = max(self.free_at, now) + size / way.kb_s
        return float(self.free_at - now)

    def cut(self, half: Half) -> None:
        if half.peer is not None:
            half.peer.transport.abortConnection()
        half.transport.abortConnection()

    def check(self) -> None:
        """Connections that stand where nothing passes any more are ended."""
        if not self.halves or not self.links.on:
            return
        if self.links.way(self.src, self.dst) is None or self.links.way(self.dst, self.src) is None:
            for half in list(self.halves):
                half.transport.abortConnection()

    def stop(self) -> None:
        self.udp.stopListening()
        self.tcp.stopListening()
        for half in list(self.halves):
            half.transport.abortConnection()
