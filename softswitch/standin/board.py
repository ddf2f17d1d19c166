"""A stand-in watch server: sends softswitches the list of quote engines as numbered events."""

from __future__ import annotations

from dataclasses import dataclass
from struct import pack
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from softswitch.net.endpoint_watch import CHANGES, COMPLETE, ENDPOINT_RECORD, EVENT_HEADER, NO_CHANGE

STATE_CODES = {"active": 0, "leaving": 1, "left": 2}  # "leaving": draining; "left": removed


@dataclass(frozen=True, slots=True)
class ListedEngine:
    """An engine as the watch server lists it."""

    name: str  # `s-` and 8 hex digits
    address: tuple[str, int]
    cell: int
    health: str = "active"  # a key of STATE_CODES
    born_ms: int = 0  # Unix time of its last start; 0: long ago
    share: float = 1.0  # size relative to other engines

    def record(self) -> bytes:
        """Encodes the entry for the wire."""
        return ENDPOINT_RECORD.pack(
            int(self.name[2:], 16),
            bytes(map(int, self.address[0].split("."))),
            self.address[1],
            STATE_CODES[self.health],
            0,
            0,
            self.cell,
            round(self.share * 1000),
            self.born_ms,
        )

    def as_host(self) -> dict[str, Any]:
        """Returns the entry as one of the `hosts` in the configuration's `known` key."""
        return {
            "host": self.name,
            "dial": f"{self.address[0]}:{self.address[1]}",
            "site": "z",
            "class": "std",
            "block": self.cell,
            "health": self.health,
            "share": self.share,
            "born_ms": self.born_ms,
        }


class WatchServerConnection(Protocol):
    """A connection from a softswitch."""

    def __init__(self, watch_server: WatchServer) -> None:
        self.watch_server, self.data, self.last_event = watch_server, b"", -1

    def dataReceived(self, data: bytes) -> None:
        """Reads the number of the softswitch's last event and sends the later ones. Called by Twisted."""
        self.data += data
        if self.last_event < 0 and len(self.data) >= 8:
            self.last_event = int.from_bytes(self.data[:8], "big")
            for event_number, event_type, payload in self.watch_server.events:
                if event_number > self.last_event:
                    self.send(event_number, event_type, payload)
            self.watch_server.connections[self] = None

    def connectionLost(self, reason: object = None) -> None:
        """Removes the connection. Called by Twisted."""
        self.watch_server.connections.pop(self, None)

    def send(self, event_number: int, event_type: int, payload: bytes = b"") -> None:
        """Sends one event."""
        self.transport.write(
            pack(">I", EVENT_HEADER.size + len(payload))
            + EVENT_HEADER.pack(event_number, event_type)
            + payload
        )


class WatchServer(Factory):
    """The watch server.

    After 1,000 events it replaces its history by one event with the complete list, so a softswitch that is
    further behind receives the complete list first.
    """

    noisy = False

    def __init__(self, reactor: Any, listed: list[ListedEngine]) -> None:
        self.reactor = reactor
        self.listed = {entry.name: entry for entry in listed}
        self.event_number = 1
        self.events: list[tuple[int, int, bytes]] = [(1, COMPLETE, self._complete_list())]
        self.connections: dict[WatchServerConnection, None] = {}
        self.port: Any = None
        self.heartbeat_timer: Any = None

    def _complete_list(self) -> bytes:
        return b"".join(entry.record() for entry in self.listed.values())

    def buildProtocol(self, addr: object) -> WatchServerConnection:
        """Called by Twisted for each connection."""
        return WatchServerConnection(self)

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> tuple[str, int]:
        """Listens and sends periodic heartbeats from now on."""
        self.port = self.reactor.listenTCP(port, self, interface=host)
        self._send_heartbeat()
        return host, self.port.getHost().port

    def _send_heartbeat(self) -> None:
        self.heartbeat_timer = self.reactor.callLater(1.0, self._send_heartbeat)
        for connection in self.connections:
            connection.send(self.event_number, NO_CHANGE)

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self.heartbeat_timer.cancel()
        self.port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def change(self, *changed: ListedEngine) -> None:
        """Sends new or changed entries to all connected softswitches."""
        self.event_number += 1
        self.listed |= {entry.name: entry for entry in changed}
        self.events.append((self.event_number, CHANGES, b"".join(entry.record() for entry in changed)))
        if len(self.events) > 1_000:
            self.events = [(self.event_number, COMPLETE, self._complete_list())]
        for connection in self.connections:
            connection.send(*self.events[-1])
        for entry in changed:
            if entry.health == "left":
                del self.listed[entry.name]

    def known(self) -> dict[str, Any]:
        """Returns the `known` key of a softswitch's configuration: the present list as its first event."""
        hosts = [entry.as_host() for entry in self.listed.values()]
        return {
            "rev": self.event_number,
            "notices": [{"rev": self.event_number, "pool": {"seq": 1, "whole": True, "hosts": hosts}}],
        }
