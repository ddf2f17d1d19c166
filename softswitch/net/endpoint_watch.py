"""The notice board: numbered events with the changes of the list of quote engines."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from struct import Struct
from typing import Any

from loguru import logger
from twisted.internet.protocol import ReconnectingClientFactory
from twisted.protocols.basic import Int32StringReceiver

from softswitch import interface as i
from softswitch.core.switch import Switch
from softswitch.net.engine import EngineLinks

RECORD = Struct(">I4sHBBBHIQ")  # id, address, port, state, zone, kind, cell, weight, started
HEAD = Struct(">QB")
NOTHING, WHOLE, CHANGES = 0, 1, 2
STATES = (i.EndpointState.READY, i.EndpointState.DRAINING, i.EndpointState.REMOVED)
WORDS = {
    "active": i.EndpointState.READY,
    "leaving": i.EndpointState.DRAINING,
    "left": i.EndpointState.REMOVED,
}
SILENT_AFTER = 2_200.0  # ms; the board says at least 'nothing new' once a second
SWEEP = 250.0  # ms between two looks at the silence

Named = tuple[i.Endpoint, tuple[str, int]]
Known = tuple[int, list[tuple[int, bool, list[Named]]]]  # the last number; number, whether whole, and lines


def entries_of(payload: bytes, clock: Callable[[int], float]) -> list[Named]:
    if len(payload) % RECORD.size:
        raise ValueError(f"{len(payload)} bytes are no whole records")
    return [
        (
            i.Endpoint(f"s-{ident:08x}", cell, STATES[state], clock(born), weight / 1000),
            (".".join(map(str, address)), port),
        )
        for ident, address, port, state, _, _, cell, weight, born in RECORD.iter_unpack(payload)
    ]


def entries_of_json(hosts: Iterable[dict[str, Any]], clock: Callable[[int], float]) -> list[Named]:
    found = []
    for h in hosts:
        address, _, port = h["dial"].rpartition(":")
        entry = i.Endpoint(
            h["host"],
            h.get("block", -1),
            WORDS[h["health"]],
            clock(h.get("born_ms") or 0),
            float(h.get("share", 1.0)),
        )
        found.append((entry, (address, int(port))))
    return found


class BoardWatch(Int32StringReceiver):
    MAX_LENGTH = 1 << 20

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.factory.rev.to_bytes(8, "big"))
        self.factory.up(self)

    def stringReceived(self, frame: bytes) -> None:
        if self is not self.factory.watch:
            return  # what stands behind a bad frame, or comes from a board that was left
        try:
            number, kind = HEAD.unpack_from(frame)
            self.factory.heard(number, kind, frame[HEAD.size :])
        except Exception as e:
            logger.warning("notice board: bad frame, connection closed: {!r}", e)
            self.factory.ask_again()

    def lengthLimitExceeded(self, length: int) -> None:
        logger.warning("notice board: frame of {} bytes, connection closed", length)
        self.transport.abortConnection()


class Board(ReconnectingClientFactory):
    """Follows the board over connections that come and go; each event is taken in once, in order."""

    protocol = BoardWatch
    noisy = False
    initialDelay, maxDelay, factor, jitter = 0.05, 0.5, 2.0, 0.1

    def __init__(
        self,
        reactor: object,
        address: tuple[str, int],
        switch: Switch,
        engines: EngineLinks,
        clock: Callable[[int], float],
    ) -> None:
        self.clock_source, self.address = reactor, address
        self.switch, self.engines, self.to_clock = switch, engines, clock
        self.rev, self.watch, self.last = 0, None, switch.wheel.now
        self.asked_again = 0  # the number after which events were missing, once they were asked for again

    def read(self, config: dict[str, Any]) -> Known:
        """The events that a configuration holds; nothing is taken in yet."""
        events = [
            (
                int(event.get("rev") or 0),
                bool(event["pool"].get("whole")),
                entries_of_json(event["pool"].get("hosts") or (), self.to_clock),
            )
            for event in config.get("notices") or ()
        ]
        return int(config.get("rev") or 0), events

    def known(self, told: Known) -> None:
        """Takes in the events that a configuration holds."""
        last, events = told
        last = 0 if self.rev else last
        for rev, whole, named in events:
            if rev > self.rev or not self.rev:  # else taken in before this configuration was read
                self._take(i.UpdateKind.COMPLETE if whole or not self.rev else i.UpdateKind.CHANGES, named)
                self.rev = max(self.rev, rev)
        self.rev = max(self.rev, last)

    def start(self) -> None:
        self.connector = self.clock_source.connectTCP(*self.address, self, timeout=1.0)
        self.switch.wheel.at(self.switch.wheel.now + SWEEP, self._sweep)

    def move(self, address: tuple[str, int]) -> None:
        """The board is at another address from now on; the numbers continue there."""
        if address == self.address:
            return
        left, self.address, self.watch = self.connector, address, None
        self.stopTrying()
        self.resetDelay()
        self.continueTrying = 1
        self.connector = self.clock_source.connectTCP(*address, self, timeout=1.0)
        left.disconnect()

    def up(self, watch: BoardWatch) -> None:
        self.watch, self.last = watch, self.switch.wheel.now

    # What a connection to a board that was left still says of its end must not touch the new one.
    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        if connector is self.connector:
            super().clientConnectionFailed(connector, reason)

    def clientConnectionLost(self, connector: object, reason: object) -> None:
        if connector is self.connector:
            self.watch = None
            self.switch.count["board connections lost"] += 1
            super().clientConnectionLost(connector, reason)

    def heard(self, number: int, kind: int, payload: bytes) -> None:
        self.last = self.switch.wheel.now
        self.switch.lifecycle.knows(self.last)  # even if it says that nothing is new
        self.resetDelay()  # not before it speaks: one that hangs up on us at once is not called in a loop
        missing = number > self.rev + (kind == CHANGES) and kind != WHOLE
        if missing and self.asked_again != self.rev:
            # Once: a board that leaves numbers out would be asked without end.
            self.asked_again = self.rev
            self.switch.count["notices asked again"] += 1
            logger.warning(
                "notice board: events after {} are missing before {}, asking again", self.rev, number
            )
            return self.ask_again()
        if kind not in (WHOLE, CHANGES):
            return None
        if number <= self.rev:
            self.switch.count["repeated notices"] += 1
            return None
        self._take(
            i.UpdateKind.COMPLETE if kind == WHOLE else i.UpdateKind.CHANGES,
            entries_of(payload, self.to_clock),
        )
        self.rev = number
        return None

    def ask_again(self) -> None:
        """Leaves this watch for a new one, which is told all that came after the last event that we have."""
        left, self.watch = self.watch, None
        if left is not None:
            left.transport.abortConnection()

    def _take(self, kind: i.UpdateKind, named: list[Named]) -> None:
        # The links first: the news may send held calls to a new engine at once.
        for entry, address in named:
            if entry.state is not i.EndpointState.REMOVED:
                self.engines.known(entry.server, address)
        self.switch.news(kind, tuple(entry for entry, _ in named))

    def _sweep(self) -> None:
        """A board that is silent has lost us: what it has to tell counts as told all the same."""
        now = self.switch.wheel.now
        self.switch.wheel.at(now + SWEEP, self._sweep)
        if self.watch is not None and now - self.last > SILENT_AFTER:
            logger.warning("notice board: silent for {:.0f} ms, connecting anew", now - self.last)
            self.last = now
            self.ask_again()
