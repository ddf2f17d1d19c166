"""A notice board: numbered events with the list of quote engines."""

from __future__ import annotations

from dataclasses import dataclass
from struct import pack
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from softswitch.net.endpoint_watch import CHANGES, COMPLETE, ENDPOINT_RECORD, EVENT_HEADER, NO_CHANGE

STATES = {"active": 0, "leaving": 1, "left": 2}


@dataclass(frozen=True, slots=True)
class ListedEngine:
    """One engine as the board lists it."""

    name: str  # `s-` and 8 hex digits
    address: tuple[str, int]
    cell: int
    health: str = "active"
    born_ms: int = 0
    share: float = 1.0

    def record(self) -> bytes:
        """The entry as the wire has it."""
        return ENDPOINT_RECORD.pack(
            int(self.name[2:], 16),
            bytes(map(int, self.address[0].split("."))),
            self.address[1],
            STATES[self.health],
            0,
            0,
            self.cell,
            round(self.share * 1000),
            self.born_ms,
        )

    def host(self) -> dict[str, Any]:
        """The same as the configuration's `known` has it."""
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


class BoardSide(Protocol):
    """One softswitch's connection."""

    def __init__(self, board: Board) -> None:
        self.board, self.data, self.after = board, b"", -1

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted: the number of the last event that the softswitch has."""
        self.data += data
        if self.after < 0 and len(self.data) >= 8:
            self.after = int.from_bytes(self.data[:8], "big")
            for number, kind, payload in self.board.events:
                if number > self.after:
                    self.send(number, kind, payload)
            self.board.lines[self] = None

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted."""
        self.board.lines.pop(self, None)

    def send(self, number: int, kind: int, payload: bytes = b"") -> None:
        """Sends one event."""
        self.transport.write(
            pack(">I", EVENT_HEADER.size + len(payload)) + EVENT_HEADER.pack(number, kind) + payload
        )


class Board(Factory):
    """The board. Keeps its newest 1,000 events; whoever asks for older ones gets the whole list first."""

    noisy = False

    def __init__(self, reactor: Any, listed: list[ListedEngine]) -> None:
        self.reactor = reactor
        self.listed = {one.name: one for one in listed}
        self.number = 1
        self.events: list[tuple[int, int, bytes]] = [(1, COMPLETE, self._all())]
        self.lines: dict[BoardSide, None] = {}
        self.port: Any = None
        self.beat: Any = None

    def _all(self) -> bytes:
        return b"".join(one.record() for one in self.listed.values())

    def buildProtocol(self, addr: object) -> BoardSide:
        """Called by Twisted."""
        return BoardSide(self)

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> tuple[str, int]:
        """Listens, and keeps the connections alive from now on."""
        self.port = self.reactor.listenTCP(port, self, interface=host)
        self._beat()
        return host, self.port.getHost().port

    def _beat(self) -> None:
        self.beat = self.reactor.callLater(1.0, self._beat)
        for line in self.lines:
            line.send(self.number, NO_CHANGE)

    def stop(self) -> None:
        """Closes everything."""
        self.beat.cancel()
        self.port.stopListening()
        for line in list(self.lines):
            line.transport.abortConnection()

    def change(self, *changed: ListedEngine) -> None:
        """Tells everybody of these entries, new or changed."""
        self.number += 1
        self.listed |= {one.name: one for one in changed}
        self.events.append((self.number, CHANGES, b"".join(one.record() for one in changed)))
        if len(self.events) > 1_000:
            self.events = [(self.number, COMPLETE, self._all())]
        for line in self.lines:
            line.send(*self.events[-1])
        for one in changed:
            if one.health == "left":
                del self.listed[one.name]

    def known(self) -> dict[str, Any]:
        """The events of the start, for a configuration."""
        hosts = [one.host() for one in self.listed.values()]
        return {
            "rev": self.number,
            "notices": [{"rev": self.number, "pool": {"seq": 1, "whole": True, "hosts": hosts}}],
        }
