"""The notice board: numbered events with the changes of the list of quote engines."""
from __future__ import annotations

from collections.abc import Callable, Iterable
from struct import Struct
from typing import Any

from loguru import logger
from twisted.internet.protocol import ReconnectingClientFactory
from twisted.protocols.basic import Int32StringReceiver

from willowhitch import interface as i
from willowhitch.core.switch import Switch
from willowhitch.net.engine import EngineLinks

RECORD = Struct(">I4sHBBBHIQ")  # id, address, port, state, zone, kind, cell, weight, started
HEAD = Struct(">QB")
NOTHING, WHOLE, CHANGES = 0, 1, 2
STATES = (i.State.READY, i.State.DRAINING, i.State.GONE)
WORDS = {"active": i.State.READY, "leaving": i.State.DRAINING, "left": i.State.GONE}
SILENT_AFTER = 2_500.0  # ms; the board says at least 'nothing new' once a second

Named = tuple[i.Entry, tuple[str, int]]


def entries_of(payload: bytes, clock: Callable[[int], float]) -> list[Named]:
    if len(payload) % RECORD.size:
        raise ValueError(f"{len(payload)} bytes are no whole records")
    return [
        (i.Entry(f"s-{ident:08x}", cell, STATES[state], clock(born), weight / 1000),
         (".".join(map(str, address)), port))
        for ident, address, port, state, _, _, cell, weight, born in RECORD.iter_unpack(payload)
    ]


def entries_of_json(hosts: Iterable[dict[str, Any]], clock: Callable[[int], float]) -> list[Named]:
    found = []
    for h in hosts:
        address, _, port = h["dial"].rpartition(":")
        entry = i.Entry(h["host"], h.get("block", -1), WORDS[h["health"]], clock(h.get("born_ms") or 0),
                        float(h.get("share", 1.0)))
        found.append((entry, (address, int(port))))
    return found


class BoardLine(Int32StringReceiver):
    MAX_LENGTH = 1 << 20

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.factory.rev.to_bytes(8, "big"))
        self.factory.up(self)

    def stringReceived(self, frame: bytes) -> None:
        try:
            number, kind = HEAD.unpack_from(frame)
            self.factory.heard(number, kind, frame[HEAD.size:])
        except Exception as e:
            logger.warning("notice board: bad frame, connection closed: {!r}", e)
            self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        logger.warning("notice board: frame of {} bytes, connection closed", length)
        self.transport.abortConnection()


class Board(ReconnectingClientFactory):
    """Follows the board over connections that come and go; each event is taken in once, in order."""

    protocol = BoardLine
    noisy = False
    initialDelay, maxDelay, factor, jitter = 0.1, 1.0, 2.0, 0.1

    def __init__(self, reactor: object, address: tuple[str, int], switch: Switch, engines: EngineLinks,
                 clock: Callable[[int], float]) -> None:
        self.clock_source, self.address = reactor, address
        self.switch, self.engines, self.to_clock = switch, engines, clock
        self.rev, self.line, self.last = 0, None, switch.wheel.now

    def known(self, config: dict[str, Any]) -> None:
        """The events of the start, from the configuration."""
        for event in config.get("notices") or ():
            pool = event["pool"]
            kind = i.ListKind.WHOLE if pool.get("whole") or not self.rev else i.ListKind.CHANGES
            self._take(kind, entries_of_json(pool.get("hosts") or (), self.to_clock))
            self.rev = max(self.rev, int(event.get("rev") or 0))
        self.rev = max(self.rev, int(config.get("rev") or 0))

    def start(self) -> None:
        self.clock_source.connectTCP(*self.address, self, timeout=1.0)
        self.switch.wheel.at(self.switch.wheel.now + 500.0, self._sweep)

    def up(self, line: BoardLine) -> None:
        self.resetDelay()
        self.line, self.last = line, self.switch.wheel.now

    def clientConnectionLost(self, connector: object, reason: object) -> None:
        self.line = None
        self.switch.count["board connections lost"] += 1
        super().clientConnectionLost(connector, reason)

    def heard(self, number: int, kind: int, payload: bytes) -> None:
        self.last = self.switch.wheel.now
        if kind not in (WHOLE, CHANGES):
            return
        if number <= self.rev:
            self.switch.count["repeated notices"] += 1
            return
        self._take(i.ListKind.WHOLE if kind == WHOLE else i.ListKind.CHANGES,
                   entries_of(payload, self.to_clock))
        self.rev = number

    def _take(self, kind: i.ListKind, named: list[Named]) -> None:
        self.switch.news(kind, tuple(entry for entry, _ in named))
        for entry, address in named:
            if entry.state is not i.State.GONE:
                self.engines.known(entry.server, address)

    def _sweep(self) -> None:
        """A board that is silent has lost us: what it has to tell counts as told all the same."""
        now = self.switch.wheel.now
        self.switch.wheel.at(now + 500.0, self._sweep)
        if self.line is not None and now - self.last > SILENT_AFTER:
            logger.warning("notice board: silent for {:.0f} ms, connecting anew", now - self.last)
            self.last = now
            self.line.transport.abortConnection()
