"""The SIP front: callers' connections, many calls on each."""

from __future__ import annotations

import re
from typing import Any

from loguru import logger
from twisted.internet.protocol import Factory

from softswitch.core.lifecycle import LINGERS_FOR, NEWCOMER, Phase
from softswitch.core.release_delivery import Releases, Tell
from softswitch.core.switch import NORMAL, Order, Switch, Verdict
from softswitch.net.sip_connection import LOOKS, TURN, SipConnection

MOST_OPEN, FIRST_OPEN = 1_024, 64  # set-ups open on one connection; before the first one there stood
ACCEPTS = 8  # connections taken in at once, and 20 more at the most
SWEEP = 250.0  # ms between two looks at the connections
MOMENT = 300.0  # ms in which a newcomer is not the first to go when descriptors are short
FIRST_BY = 2_000.0  # ms from connecting to the first byte
# Ms from connecting in which a first message may pause; as long as pieces of it keep coming, it has WHOLE_BY.
BEGUN_BY, PAUSE = 2_400.0, 1_000.0
IDLE_FOR = 6_000.0  # ms that a connection with no set-up open is kept; callers themselves close after 4 s
KEPT = 0.25  # share of the connections up to which idle ones are kept all the same: releases need one
WHOLE_BY = 5_000.0  # ms that one message may take
CLOSED_BY = 1_000.0  # ms that a close may take
OWED = 100.0  # ms between two looks at the releases that were not heard
CHOKED_FOR = 5_000.0  # ms that a caller may leave its answers unread
NUMBER = re.compile(r"sips?:([^@\s]+)@", re.I)
FIGURE = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,9})?\Z")  # float() takes nan, 1_0, 1e99 and far digits too
CAUSE = re.compile(r"cause\s*=\s*(\d+)", re.I)
CODES = {
    Verdict.REFUSED: 503,
    Verdict.FAILED: 500,
    Verdict.REPEATED: 482,
    Verdict.TABLE_FULL: 503,
    Verdict.DRAINED: 503,
    Verdict.GIVEN_UP: 487,
    Verdict.UNKNOWN: 481,
}


def call_of(headers: dict[str, str]) -> str:
    return headers.get("call-id", "").lower()


def figure(text: str, name: str) -> float:
    if not FIGURE.match(text):
        raise ValueError(f"{name} is no figure")
    return float(text)


def order_of(address: str, headers: dict[str, str], body: bytes) -> Order:
    """The set-up that an INVITE asks for; ValueError with a plain text if it can't be read."""
    number = NUMBER.match(address)
    if not number:
        raise ValueError("no number called")
    patience, facts = figure(headers.get("x-patience", ""), "X-Patience"), {}
    for part in headers.get("x-facts", "").split(";"):
        name, _, value = part.partition(":")
        if part.strip():
            facts[name.strip()] = figure(value.strip(), "X-Facts")
    dest = facts.get("dest", -1.0)
    if dest != int(dest):
        raise ValueError("dest is no whole number")
    return Order(
        call_of(headers),
        headers.get("subject", ""),
        number[1],
        patience,
        body,
        int(dest),
        headers.get("x-retry", "") not in ("", "0"),
        facts.get("width", 1.0),
    )


class SipFront(Factory):
    """All callers' connections. Fulfils `core.switch.Caller`."""

    noisy = False
    survives = True

    def __init__(self, name: str, most: int = 600) -> None:
        self.name, self.most = name, most  # most connections at once
        self.switch: Switch
        self.port: Any = None  # where they connect
        self.numbered = 0
        self.connections: dict[SipConnection, None] = {}
        # Each connection with no set-up open is in one of these, the longest there first, with since when.
        self.new: dict[SipConnection, float] = {}  # nothing came there yet
        self.begun: dict[SipConnection, float] = {}  # a first message comes; with when its last piece came
        self.idle: dict[SipConnection, float] = {}  # no call ever stood there
        self.proven: dict[SipConnection, float] = {}  # a call stood there
        self.put_off: dict[SipConnection, None] = {}  # those with more to read, in turn
        self.leaving: dict[SipConnection, None] = {}  # our side is closed, theirs not yet; oldest first
        self.asked_by: dict[str, tuple[SipConnection, dict[str, str], list[str], str]] = {}  # open set-ups
        self.stood_on: dict[str, tuple[SipConnection, str]] = {}  # calls that stand: connection, number
        self.releases, self.looks = Releases(), False  # looks: a look at the releases is due

    def attach(self, switch: Switch) -> None:
        self.switch = switch
        switch.on_predecessor_release = self.released
        switch.lifecycle.on_change.append(self.changed)
        switch.wheel.at(switch.wheel.now + SWEEP, self._sweep)

    def buildProtocol(self, addr: object) -> SipConnection | None:
        if self.port is not None:
            self.port.numberAccepts = ACCEPTS  # else a flood is taken in whole before any of it can be closed
        if len(self.connections) >= self.most and not self._make_room():
            self.switch.count["connections turned away"] += 1
            return None
        return SipConnection(self)

    # connections

    def _make_room(self) -> bool:
        """Ends a connection at once: one that is being closed, else an idle one, once what lies unread there
        was read: a set-up may have come long before we get to look.
        """
        if self.leaving:
            connection = next(iter(self.leaving))
            del self.leaving[connection]
            connection.transport.abortConnection()
            return True
        for _ in range(LOOKS):
            victim = self._victim()
            if victim is None:
                return False
            if victim.look():
                self.switch.count["connections shed"] += 1
                self.shut(victim, at_once=True)
            if victim not in self.connections or victim.closed_at is not None:
                return True
        return False

    def _victim(self) -> SipConnection | None:
        """Guards the descriptors, and good callers from a crowd: those who connect and say nothing go first,
        then those whose first message has stopped coming, then those who asked something and stayed, the
        longest there. A newcomer has a moment to say what it wants; callers of calls go last.
        """
        now = self.switch.wheel.now
        for kept, moment in ((self.new, MOMENT), (self.begun, PAUSE)):
            first = next(iter(kept), None)
            if first is not None and now - kept[first] > moment:
                return first
        kinds = (self.idle, self.new, self.begun, self.proven)
        return next((next(iter(kept)) for kept in kinds if kept), None)

    def opened(self, connection: SipConnection) -> None:
        self.connections[connection] = None
        self.numbered += 1
        connection.name = f"c{self.numbered}"
        if self.switch.lives:
            self.switch.lives.note("", "caller's connection", connection.name)
        self.new[connection] = self.switch.wheel.now
        self.switch.count["caller connections"] += 1

    def moved(self, connection: SipConnection) -> None:
        """A piece of a newcomer's first message came."""
        self.new.pop(connection, None)
        self.begun.pop(connection, None)
        if connection in self.connections and connection.closed_at is None:
            self.begun[connection] = self.switch.wheel.now

    def later(self, connection: SipConnection) -> None:
        """Callers had their part of this turn: what this one still has to say is read in a later one."""
        if not self.put_off:
            self.switch.wheel.at(self.switch.wheel.now, self._go_on)
        self.put_off[connection] = None

    def _go_on(self) -> None:
        waiting, self.put_off = self.put_off, {}
        while waiting and self.switch.wheel.behind() <= TURN / 2:
            connection = next(iter(waiting))
            del waiting[connection]
            connection.go_on()
        if waiting and not self.put_off:
            self.switch.wheel.at(self.switch.wheel.now, self._go_on)
        self.put_off = waiting | self.put_off

    def _unlist(self, connection: SipConnection) -> None:
        for kept in (self.new, self.begun, self.idle, self.proven):
            kept.pop(connection, None)

    def rests(self, connection: SipConnection) -> None:
        """It was answered, or is owed an answer: no newcomer. Idle, if no set-up is open there any more."""
        connection.newcomer = False
        self._unlist(connection)
        if not connection.calls and connection in self.connections:
            (self.proven if connection.stood else self.idle)[connection] = self.switch.wheel.now
            if self.switch.lifecycle.empties:
                self._leave_soon(connection)

    def _leave_soon(self, connection: SipConnection) -> None:
        """Closes it unless something comes before the next tick but one: what lies unread is read first."""
        self.switch.wheel.at(self.switch.wheel.now + 2 * self.switch.set.tick, self._leave, connection)

    def _leave(self, connection: SipConnection) -> None:
        if connection not in self.connections or connection.closed_at is not None:
            return
        connection.look()
        if (
            connection not in self.connections
            or connection.calls
            or connection.began is not None
            or connection in self.put_off
        ):
            return
        life = self.switch.lifecycle
        if life.empties and not (self._last(connection) and life.lingers(self.switch.wheel.now)):
            self.switch.count["connections closed to drain"] += 1
            self.shut(connection)

    def _leave_rest(self) -> None:
        now = self.switch.wheel.now
        silent = [connection for connection, since in self.new.items() if now - since > NEWCOMER]
        for connection in [*silent, *self.idle, *self.proven]:
            self._leave(connection)

    def _last(self, connection: SipConnection) -> bool:
        """Whether it is the only one left to carry releases of calls that stand."""
        return (
            connection.heard is not None
            and bool(self.stood_on)
            and not any(
                other.heard is not None and other.closed_at is None
                for other in self.connections
                if other is not connection
            )
        )

    def changed(self, phase: Phase) -> None:
        """The lifecycle changed: where callers are to go, idle connections go at once."""
        if self.switch.lifecycle.empties:
            for connection in [*self.idle, *self.proven]:
                self._leave_soon(connection)
            self.switch.wheel.at(self.switch.wheel.now + LINGERS_FOR, self._leave_rest)

    def shut(self, connection: SipConnection, at_once: bool = False) -> None:
        """Closes a connection. What is still owed an answer there gets one: closing must lose no call. Our
        side closes first and theirs is read to its end: unread bytes would make a reset of the close.
        """
        if connection.closed_at is not None:
            return
        connection.closed_at = self.switch.wheel.now
        self._say(self.releases.ended(self.switch.wheel.now, connection))
        for call in list(connection.calls):
            self.switch.fail(call, self)
        self._unlist(connection)
        self.put_off.pop(connection, None)
        connection.clearLineBuffer()
        connection.transport.unregisterProducer()
        if at_once:
            connection.transport.loseConnection()
        else:
            self.leaving[connection] = None
            connection.transport.loseWriteConnection()
            connection.transport.resumeProducing()

    def closed(self, connection: SipConnection) -> None:
        self.connections.pop(connection, None)
        self.leaving.pop(connection, None)
        if self.switch.lives:
            self.switch.lives.note("", "caller's connection over", connection.name)
        self.put_off.pop(connection, None)
        self._unlist(connection)
        self._say(self.releases.ended(self.switch.wheel.now, connection))
        for call in list(connection.calls):
            self.asked_by.pop(call, None)
            self.switch.give_up(call, self)
        connection.calls.clear()

    # what callers ask

    def asked(
        self,
        connection: SipConnection,
        method: str,
        address: str,
        headers: dict[str, str],
        vias: list[str],
        body: bytes,
    ) -> None:
        self.switch.count[f"sip {method}" if method in METHODS else "sip other"] += 1
        act = METHODS.get(method)
        if act in CALLERS:
            self._calls(connection)
        if act:
            act(self, connection, address, headers, vias, body)
        else:
            connection.answer(405, headers, vias)
            connection.strike()
        if act not in UNANSWERED:
            self.rests(connection)

    def _calls(self, connection: SipConnection) -> None:
        """A caller speaks here: releases that wait for one may go this way. The platform's front, which only
        tests, drops them.
        """
        connection.heard = self.switch.wheel.now
        if connection.closed_at is None:
            self._say(self.releases.spoke(connection.heard, connection))

    def _invite(self, connection, address, headers, vias, body) -> None:
        try:
            order = order_of(address, headers, body)
        except (ValueError, OverflowError) as e:
            self.switch.count["bad messages"] += 1
            logger.warning("caller: set-up that can't be read, answered 400: {}", e)
            connection.answer(400, headers, vias)
            connection.strike()
            return
        open_ = self.switch.calls.get(order.call)
        if open_ is not None:
            asked = self.asked_by.get(order.call)
            if asked and asked[0] is connection and open_.order.description == body:
                connection.strike(0.25)
                return  # the same set-up again: its answer is on the way
            connection.answer(CODES[Verdict.REPEATED], headers, vias)
            connection.strike()
            return
        if len(connection.calls) >= (MOST_OPEN if connection.stood else FIRST_OPEN):
            self.switch.count["too many on a connection"] += 1
            self.switch.no_room(order)
            connection.answer(503, headers, vias, b"", self.switch.set.max_retry_after)
            return
        self.asked_by[order.call] = (connection, headers, vias, order.number)
        connection.calls.add(order.call)
        self.rests(connection)
        verdict = self.switch.take(order, self, self.switch.wheel.now - connection.came)
        if verdict is not None:
            self.turned_away(order.call, verdict, 0.0)
        else:
            connection.taken.append(order.call)
        if order.klass not in self.switch.classes:
            connection.strike(0.25)

    def _cancel(self, connection, address, headers, vias, body) -> None:
        call = call_of(headers)
        connection.answer(200 if self.switch.give_up(call, self) else 481, headers, vias)
        asked = self.asked_by.pop(call, None)
        if asked:
            asked[0].calls.discard(call)
            self.rests(asked[0])

    def _say(self, told: list[Tell]) -> None:
        for tell in told:
            self.switch.count["releases sent to callers"] += 1
            if self.switch.lives:
                self.switch.lives.note(tell.call, "caller told", tell.way.name)
            tell.way.write(
                [
                    f"BYE sip:{tell.number}@net SIP/2.0",
                    f"Via: SIP/2.0/TCP {self.name}",
                    f"Call-ID: {tell.call}",
                    "CSeq: 2 BYE",
                    f"Reason: Q.850;cause={tell.cause}",
                ]
            )
        if self.releases.owed and not self.looks:
            self.looks = True
            self.switch.wheel.at(self.switch.wheel.now + OWED, self._look)

    def _look(self) -> None:
        """At the releases that are owed; none is due while there are none."""
        self.looks = False
        if not self.releases.ways and self.switch.other is not None and self.switch.lifecycle.handed_over:
            for call, owed in self.releases.waiting():  # callers come to the next process
                self.releases.hand_on(call)
                self.switch.other.released(call, owed.cause)
        self._say(self.releases.turn(self.switch.wheel.now))
        for what, n in (
            ("never sent", self.releases.lost),
            ("not acknowledged", self.releases.unheard),
            ("sent again", self.releases.moved + self.releases.repeated),
        ):
            if n:
                self.switch.count[f"releases {what}"] = n

    def answered(self, connection: SipConnection, first: str, headers: dict[str, str]) -> None:
        """An answer to a release of ours: whatever it says of the call, the caller knows."""
        if self.releases.owed:
            self.releases.heard(call_of(headers))
        if self.switch.lives:
            self.switch.lives.note(call_of(headers), f"caller answered {first[:40]}", connection.name)

    def _bye_heard(self, connection, address, headers, vias, body) -> None:
        call, cause = call_of(headers), CAUSE.search(headers.get("reason", ""))
        known = self.releases.heard(call, acknowledged=False)
        known |= self.switch.release(call, int(cause[1]) if cause and len(cause[1]) < 4 else NORMAL, self)
        connection.answer(200 if known else 481, headers, vias)
        self._forget(call)

    def _options(self, connection, address, headers, vias, body) -> None:
        connection.answer(200 if self.switch.lifecycle.yes else 503, headers, vias)

    def _nothing(self, connection, address, headers, vias, body) -> None:
        """ACK needs no answer, and NOTIFY wants none."""

    def _forget(self, call: str) -> None:
        self.stood_on.pop(call, None)
        asked = self.asked_by.pop(call, None)
        if asked:
            asked[0].calls.discard(call)
            self.rests(asked[0])

    # what the switch tells

    def _answer(self, call: str, code: int, body: bytes = b"", later: float = 0.0) -> None:
        asked = self.asked_by.pop(call, None)
        if asked:
            connection, headers, vias, _ = asked
            connection.calls.discard(call)
            self.switch.count[f"answered {code}"] += 1
            if self.switch.lives:
                self.switch.lives.note(call, f"answered {code}", connection.name)
            if connection.closed_at is None:
                self.rests(connection)
            connection.answer(code, headers, vias, body, later)

    def stands(self, call: str, description: bytes) -> None:
        asked = self.asked_by.get(call)
        if asked:
            self.stood_on[call] = (asked[0], asked[3])
            asked[0].strikes, asked[0].stood = 0.0, True
            if asked[0].closed_at is None:
                self.releases.stood(asked[0])
        self._answer(call, 200, description)

    def turned_away(self, call: str, verdict: Verdict, stay_away: float) -> None:
        self._answer(call, CODES[verdict], b"", stay_away)

    def released(self, call: str, cause: int) -> None:
        """Any connection of a caller may carry it; with none open it goes out on the next one."""
        connection, number = self.stood_on.pop(call, (None, "call"))
        other, now = self.switch.other, self.switch.wheel.now
        if not self.releases.ways and other is not None and self.switch.lifecycle.handed_over:
            return other.released(call, cause)  # callers come to the next process
        self._say(self.releases.owe(now, call, number, cause, connection))
        return None

    def _too_slow(self, connection: SipConnection, what: str) -> None:
        self.switch.count[f"connections closed as {what}"] += 1
        if connection.began is not None and connection.first:
            connection.answer(408, connection.headers, connection.vias)
        self.shut(connection)

    def _sweep(self) -> None:
        now = self.switch.wheel.now
        self.switch.wheel.at(now + SWEEP, self._sweep)
        if self.switch.lifecycle.empties:
            self._leave_rest()
            for call in list(self.asked_by):
                known = self.switch.calls.get(call)
                if known and self.switch.lifecycle.overstays(now, known.came):
                    self.switch.fail(call, self)
        for what, kept, most in (
            ("silent", self.new, FIRST_BY),
            ("idle", self.idle, IDLE_FOR),
            ("idle", self.proven, IDLE_FOR),
        ):
            few = KEPT * self.most if what == "idle" else 0.0
            while len(kept) > few and now - next(iter(kept.values())) > most:
                connection = next(iter(kept))
                del kept[connection]
                if connection.look():
                    self._too_slow(connection, what)
                elif (
                    connection in self.connections
                    and not connection.calls
                    and not connection.newcomer
                    and connection.closed_at is None
                ):
                    self.rests(connection)
        for connection, moved in list(self.begun.items()):
            if now - connection.since > (BEGUN_BY if now - moved > PAUSE else WHOLE_BY):
                self._too_slow(connection, "silent")
        for connection in list(self.connections):
            if connection.choked_at is not None and now - connection.choked_at > CHOKED_FOR:
                unread = now - connection.choked_at
                logger.warning("caller: answers unread for {:.0f} ms, connection closed", unread)
                connection.transport.abortConnection()
            elif connection.closed_at is not None and now - connection.closed_at > CLOSED_BY:
                connection.transport.abortConnection()  # a close waits for what was written to be read
            elif (
                connection.closed_at is None
                and connection.began is not None
                and now - connection.began > WHOLE_BY
            ):
                connection._bad("not whole in time", 408)


METHODS = {
    "INVITE": SipFront._invite,
    "CANCEL": SipFront._cancel,
    "BYE": SipFront._bye_heard,
    "OPTIONS": SipFront._options,
    "ACK": SipFront._nothing,
    "NOTIFY": SipFront._nothing,
}
CALLERS = (SipFront._invite, SipFront._cancel, SipFront._bye_heard, SipFront._nothing)  # not OPTIONS
UNANSWERED = (SipFront._nothing, SipFront._invite)  # ACK and the like; an INVITE's answer comes by itself
