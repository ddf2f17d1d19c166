"""Releases that callers are owed: who was told on which connection, and whether it was heard. Pure.

A release has one owner, this table, from the moment the call is over until its caller has acknowledged it, or
its time is over. Its life:

    owed -> sent on a connection -> heard   the caller acknowledged it, or ended the call itself
    sent -> sent on another     the connection ended first, or nothing was heard for REPEAT_AFTER
    owed, with no way           it waits for the next connection on which a caller speaks
    any  -> dropped             KEPT_FOR after the call was over, or when MOST are kept: the oldest first

An acknowledgement is free on the wire. So its absence alone is taken for a loss only where callers of this
front acknowledge at all; the end of a connection is always taken for one, as whoever closed it may have had
the release unread. A release that comes twice is harmless: calls are known by their id.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

KEPT_FOR = 8_000.0  # ms after its end in which a call's release is still of use
REPEAT_AFTER = 300.0  # ms without an acknowledgement; the caller is to know within 1 s
MOST_SENT = 3  # times that one release goes out for want of an acknowledgement
MOST = 4_096  # releases kept


@dataclass(slots=True)
class Way:
    """A callers' connection as far as releases are concerned."""

    stood: bool = False  # a call stood here
    heard: float = 0.0  # when its caller last said what only callers say
    choked: bool = False  # its caller does not read
    sent: dict[str, None] = field(default_factory=dict)  # releases that went out here and are not heard


@dataclass(slots=True)
class Owed:
    """One release."""

    number: str
    cause: int
    since: float  # ms; when the call was over
    way: Hashable | None = None  # where it was sent last
    at: float = 0.0  # ms; when
    sent: int = 0
    tried: set[Hashable] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Tell:
    """To be written to this connection now."""

    way: Hashable
    call: str
    number: str
    cause: int


class Releases:
    """Owner of all releases that a front's callers are owed."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.owed: OrderedDict[str, Owed] = OrderedDict()  # the longest over first
        self.ways: dict[Hashable, Way] = {}  # connections on which a caller spoke, and that are not closing
        self.acknowledged = False  # whether any caller ever acknowledged a release
        self.lost = self.unheard = 0  # given up: never sent, sent but not acknowledged
        self.moved = self.repeated = 0

    # connections

    def spoke(self, now: float, way: Hashable) -> list[Tell]:
        """A caller speaks here: what waits for a way may go out."""
        self.ways.setdefault(way, Way()).heard = now
        return [self._send(now, call, way) for call, owed in self.owed.items() if owed.way is None]

    def stood(self, way: Hashable) -> None:
        """A call stands that was set up here."""
        self.ways.setdefault(way, Way()).stood = True

    def choked(self, way: Hashable, choked: bool) -> None:
        if way in self.ways:
            self.ways[way].choked = choked

    def ended(self, now: float, way: Hashable) -> list[Tell]:
        """The connection is over, or its caller can read no more: what was not heard goes out elsewhere."""
        gone = self.ways.pop(way, None)
        if gone is None:
            return []
        told = []
        for call in gone.sent:
            owed = self.owed[call]
            owed.way = None
            owed.tried.discard(way)
            other = self._best()
            if other is not None:
                self.moved += 1
                told.append(self._send(now, call, other))
        return told

    # releases

    def owe(self, now: float, call: str, number: str, cause: int, way: Hashable | None) -> list[Tell]:
        """A call that stood is over. `way`: the connection of its set-up. Nothing to tell: no way is open."""
        if call in self.owed:
            return []
        if len(self.owed) >= self.most:
            self._drop(next(iter(self.owed)))
        self.owed[call] = Owed(number, cause, now)
        own = self.ways.get(way) if way is not None else None
        best = way if own is not None and not own.choked else self._best()
        return [self._send(now, call, best)] if best is not None else []

    def heard(self, call: str, acknowledged: bool = True) -> bool:
        """The caller knows: it acknowledged the release, or ended the call itself. False: none was owed."""
        self.acknowledged |= acknowledged and call in self.owed
        return self._forget(call) is not None

    def waiting(self) -> list[tuple[str, Owed]]:
        """Releases with no way, the longest over first."""
        return [(call, owed) for call, owed in self.owed.items() if owed.way is None]

    def hand_on(self, call: str) -> None:
        """Somebody else tells the caller from now on."""
        self._forget(call)

    def turn(self, now: float) -> list[Tell]:
        """Time went on: what is over its time is dropped, what was not heard goes out on another way."""
        while self.owed and now - next(iter(self.owed.values())).since > KEPT_FOR:
            self._drop(next(iter(self.owed)))
        told = []
        if self.acknowledged and len(self.ways) > 1:
            for call, owed in self.owed.items():
                if owed.way is not None and owed.sent < MOST_SENT and now - owed.at >= REPEAT_AFTER:
                    other = self._best(owed.tried)
                    if other is not None:
                        self.repeated += 1
                        told.append(self._send(now, call, other))
        return told

    # inside

    def _best(self, but: set[Hashable] | None = None) -> Hashable | None:
        """One whose caller reads, before one that does not; one where calls stood: others may be whoever; of
        several the last one heard.
        """
        able = [
            (not way.choked, way.stood, way.heard, key)
            for key, way in self.ways.items()
            if not but or key not in but
        ]
        return max(able, key=lambda found: found[:3])[3] if able else None

    def _send(self, now: float, call: str, way: Hashable) -> Tell:
        owed = self.owed[call]
        if owed.way is not None:
            self.ways[owed.way].sent.pop(call, None)
        owed.way, owed.at, owed.sent = way, now, owed.sent + 1
        owed.tried.add(way)
        self.ways[way].sent[call] = None
        return Tell(way, call, owed.number, owed.cause)

    def _forget(self, call: str) -> Owed | None:
        owed = self.owed.pop(call, None)
        if owed is not None and owed.way is not None:
            self.ways[owed.way].sent.pop(call, None)
        return owed

    def _drop(self, call: str) -> None:
        owed = self._forget(call)
        if owed is not None and not owed.sent:
            self.lost += 1
        elif owed is not None:
            self.unheard += 1
