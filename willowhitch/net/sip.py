"""The SIP front: callers' connections, many calls on each."""
from __future__ import annotations

import re
from typing import Any

from loguru import logger
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from willowhitch.core.lifecycle import LINGERS_FOR, NEWCOMER, Phase
from willowhitch.core.releases import Releases, Tell
from willowhitch.core.switch import NORMAL, Order, Switch, Verdict

LONGEST = 16_384  # bytes of one message
MOST_OPEN, FIRST_OPEN = 1_024, 64  # set-ups open on one connection; before the first one there stood
MOST_STRIKES = 16.0  # unusable messages, or four times as many of no class, with no call standing between
ACCEPTS = 8  # connections taken in at once, and 20 more at the most
SWEEP = 250.0  # ms between two looks at the connections
TURN = 40.0  # ms that callers may take of one turn of the loop, so that engines and operators are heard too
READ, OLDEST = 16_384, 500.0  # bytes read at once; ms that what comes behind a full read has waited at most
MOMENT = 300.0  # ms in which a newcomer is not the first to go when descriptors are short
FIRST_BY = 2_000.0  # ms from connecting to the first byte
# Ms from connecting in which a first message may pause; as long as pieces of it keep coming, it has WHOLE_BY.
BEGUN_BY, PAUSE = 2_400.0, 1_000.0
IDLE_FOR = 6_000.0  # ms that a connection with no set-up open is kept; callers themselves close after 4 s
KEPT = 0.25  # share of the connections up to which idle ones are kept all the same: releases need one
WHOLE_BY = 5_000.0  # ms that one message may take
CLOSED_BY = 1_000.0  # ms that a close may take
OWED = 100.0  # ms between two looks at the releases that were not heard
LOOKS = 8  # connections that are looked at for one that can go; pieces that are read behind a stale one
STALE = 100.0  # ms unread after which a caller may have left: nothing is sent before all it said is read
CHOKED_FOR = 5_000.0  # ms that a caller may leave its answers unread
NUMBER = re.compile(r"sips?:([^@\s]+)@", re.I)
FIGURE = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,9})?\Z")  # float() takes nan, 1_0, 1e99 and far digits too
CAUSE = re.compile(r"cause\s*=\s*(\d+)", re.I)
ONCE = ("content-length", "call-id", "cseq", "subject", "x-patience", "x-facts")
ECHOED = ("via", "from", "to", "call-id", "cseq")
SHORT = {"v": "via", "f": "from", "t": "to", "i": "call-id", "l": "content-length", "s": "subject"}
NAMES = {"via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}
REASONS = {200: "OK", 400: "Bad Request", 405: "Method Not Allowed", 481: "Call Does Not Exist",
           482: "Loop Detected", 487: "Request Terminated", 500: "Server Failure", 408: "Request Timeout",
           503: "Service Unavailable", 513: "Message Too Large"}
CODES = {Verdict.REFUSED: 503, Verdict.FAILED: 500, Verdict.REPEATED: 482, Verdict.TABLE_FULL: 503,
         Verdict.DRAINED: 503, Verdict.GIVEN_UP: 487, Verdict.UNKNOWN: 481}


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
    return Order(call_of(headers), headers.get("subject", ""), number[1], patience, body,
                 int(dest), headers.get("x-retry", "") not in ("", "0"), facts.get("width", 1.0))


class SipLine(LineReceiver):
    """One connection from a caller."""

    MAX_LENGTH = LONGEST
    delimiter = b"\r\n"

    def __init__(self, front: SipFront) -> None:
        self.front = front
        self.calls: set[str] = set()  # set-ups taken on this connection that are owed an answer
        self.choked_at: float | None = None
        self.began: float | None = None  # since when a message is not whole
        self.closed_at: float | None = None  # when we began to close it
        self.strikes = 0.0
        self.name = ""
        # came: what is being read, at the earliest; read_at: when this was last read, or could be again
        self.since = self.came = self.read_at = front.switch.wheel.now
        self.reads = 0  # pieces that came
        self.taken: list[str] = []  # set-ups that were read: nothing was decided on them yet
        self.looking = False  # what lies behind them is being read
        self.full = False  # more may have waited behind the last read
        self.newcomer = True  # nothing was answered here, or is owed an answer
        self.stood = False  # whether a call stood here
        self.heard: float | None = None  # when it last sent what only callers send, not just a test
        self._begin()

    def _begin(self) -> None:
        self.began = None
        self.first, self.headers, self.length, self.size, self.body = "", {}, 0, 0, []
        self.vias: list[str] = []

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ
        self.transport.registerProducer(self, True)
        self.front.opened(self)

    def connectionLost(self, reason: object = None) -> None:
        self.front.closed(self)

    def dataReceived(self, data: bytes) -> None:
        if self.closed_at is not None:
            return  # read, so that our close is no reset, which would take what we wrote last
        wheel = self.front.switch.wheel
        if data:
            behind = self.full and wheel.now - self.read_at <= wheel.lag + TURN  # else it came only now
            self.came = max(self.came, wheel.now - OLDEST) if behind else wheel.now - wheel.lag
            self.full, self.read_at, self.reads = len(data) >= READ, wheel.now, self.reads + 1
        if self.newcomer:
            self.front.moved(self)
        super().dataReceived(data)
        if self.looking:
            return  # within a look below, which decides
        if self.taken and wheel.now - self.came > STALE:
            self.looking = True  # long unread: what its caller said since may lie behind
            for _ in range(LOOKS):
                if self in self.front.put_off or self.look():
                    break
            self.looking = False
            if self in self.front.put_off:
                return  # decided once that was read
        self._decide()

    def _decide(self) -> None:
        taken, self.taken = self.taken, []
        for call in taken:
            self.front.switch.decide(call)

    @property
    def unsent(self) -> bool:
        """Whether some of what was written here has not left the process."""
        way = self.transport
        return len(way.dataBuffer) > way.offset or way._tempDataLen > 0

    def go_on(self) -> None:
        """Reads on what was put off."""
        self.read_at = self.front.switch.wheel.now
        if self.choked_at is None and self.closed_at is None and self in self.front.lines:
            super().resumeProducing()
        else:
            self._decide()

    def look(self) -> bool:
        """Reads what lies unread here; False: something did, or does, or this connection is over."""
        if self in self.front.put_off:
            return False
        before, over = self.reads, None
        if self.choked_at is None:
            over = self.transport.doRead()
        if over is not None:
            self.transport.connectionLost(Failure(over))
        return over is None and self.reads == before

    # A producer's three calls. A caller that doesn't read its answers isn't read from either.
    def pauseProducing(self) -> None:
        self.choked_at = self.front.switch.wheel.now
        self.front.releases.choked(self, True)
        super().pauseProducing()

    def resumeProducing(self) -> None:
        self.choked_at = None
        self.front.releases.choked(self, False)
        if self not in self.front.put_off:
            super().resumeProducing()

    def stopProducing(self) -> None:
        pass

    def _bad(self, why: str, code: int = 400) -> None:
        """Where the next message begins is not known: it is told so, and nothing more is read."""
        self.front.switch.count["bad messages"] += 1
        logger.warning("caller: bad message, connection closed: {}", why)
        if self.first and not self.first.startswith("SIP/"):
            self.answer(code, self.headers, self.vias)
        self.front.shut(self)

    def lineLengthExceeded(self, line: bytes) -> None:
        self._bad("a line without end")

    def lineReceived(self, line: bytes) -> None:
        if self.closed_at is not None:
            return
        self.size += len(line) + 2
        if self.size > LONGEST:
            return self._bad("longer than 16 KiB", 513)
        text = line.decode("latin-1")
        if not self.first:
            self.first = text.strip()  # empty lines between messages are skipped
            self.began = self.front.switch.wheel.now if self.first else None
            return
        if not text:
            return self._head_done()
        name, colon, value = text.partition(":")
        if not colon:
            return self._bad("a header without a colon")
        name, value = name.strip().lower(), value.strip()
        name = SHORT.get(name, name)
        if name == "via":
            self.vias.append(value)
        if self.headers.setdefault(name, value) != value and name in ONCE:
            return self._bad("a header twice")

    def _head_done(self) -> None:
        length = self.headers.get("content-length", "")
        if not length.isascii() or not length.isdigit() or len(length) > 30:
            return self._bad("Content-Length is no number")
        self.length = int(length)
        if self.size + self.length > LONGEST:
            return self._bad("longer than 16 KiB", 513)  # told before its body is read, not after
        if self.length:
            self.setRawMode()
        else:
            self._whole(b"")

    def rawDataReceived(self, data: bytes) -> None:
        if self.closed_at is not None:
            return
        self.body.append(data)
        have = sum(map(len, self.body))
        if have >= self.length:
            whole = b"".join(self.body)
            rest, body = whole[self.length:], whole[:self.length]
            self._whole(body)
            if self.closed_at is None:
                self.setLineMode()
                super().dataReceived(rest)

    def _whole(self, body: bytes) -> None:
        first, headers, vias = self.first, self.headers, self.vias
        self._begin()
        if first.startswith("SIP/"):
            return self.front.answered(self, first, headers)
        words = first.split()
        if len(words) != 3 or not words[2].startswith("SIP/2"):
            return self._bad("no SIP first line")
        self.front.asked(self, words[0], words[1], headers, vias, body)
        if self.closed_at is None and self.front.switch.wheel.behind() > TURN:
            self.full = True  # what comes meanwhile waits unread
            self.front.later(self)
            super().pauseProducing()

    def answer(self, code: int, headers: dict[str, str], vias: list[str], body: bytes = b"",
               later: float = 0.0) -> None:
        lines = [f"SIP/2.0 {code} {REASONS[code]}", *(f"Via: {via}" for via in vias)]
        lines += [f"{NAMES[name]}: {headers[name]}" for name in ECHOED[1:] if name in headers]
        if later > 0:
            lines.append(f"X-Later-Ms: {later:.0f}")
        self.write(lines, body)

    def strike(self, weight: float = 1.0) -> None:
        """Guards against a caller that sends the same nonsense again as soon as it is turned away. What no
        good caller sends counts alone: closing loses set-ups that are on their way, and refusals, crossing
        CANCELs and BYEs are daily bread."""
        self.strikes += weight
        if self.strikes >= MOST_STRIKES and self.closed_at is None:
            self.front.switch.count["connections ended for misuse"] += 1
            self.front.shut(self)

    def write(self, lines: list[str], body: bytes = b"") -> None:
        head = "\r\n".join((*lines, f"Content-Length: {len(body)}", "", "")).encode("latin-1")
        self.transport.write(head + body)


class SipFront(Factory):
    """All callers' connections. Fulfils `core.switch.Caller`."""

    noisy = False
    survives = True

    def __init__(self, name: str, most: int = 600) -> None:
        self.name, self.most = name, most  # most connections at once
        self.switch: Switch
        self.port: Any = None  # where they connect
        self.numbered = 0
        self.lines: dict[SipLine, None] = {}
        # Each connection with no set-up open is in one of these, the longest there first, with since when.
        self.new: dict[SipLine, float] = {}  # nothing came there yet
        self.begun: dict[SipLine, float] = {}  # a first message is coming; with when its last piece came
        self.idle: dict[SipLine, float] = {}  # no call ever stood there
        self.proven: dict[SipLine, float] = {}  # a call stood there
        self.put_off: dict[SipLine, None] = {}  # those with more to read, in turn
        self.leaving: dict[SipLine, None] = {}  # our side is closed, theirs not yet; the longest so first
        self.asked_by: dict[str, tuple[SipLine, dict[str, str], list[str], str]] = {}  # open set-ups
        self.stood_on: dict[str, tuple[SipLine, str]] = {}  # calls that stand: their connection and number
        self.releases, self.looks = Releases(), False  # looks: a look at the releases is due

    def attach(self, switch: Switch) -> None:
        self.switch = switch
        switch.on_predecessor_release = self.released
        switch.lifecycle.on_change.append(self.changed)
        switch.wheel.at(switch.wheel.now + SWEEP, self._sweep)

    def buildProtocol(self, addr: object) -> SipLine | None:
        if self.port is not None:
            self.port.numberAccepts = ACCEPTS  # else a flood is taken in whole before any of it can be closed
        if len(self.lines) >= self.most and not self._make_room():
            self.switch.count["connections turned away"] += 1
            return None
        return SipLine(self)

    # connections

    def _make_room(self) -> bool:
        """Ends a connection at once: one that is being closed, else an idle one, once what lies unread there
        was read: a set-up may have come long before we get to look."""
        if self.leaving:
            line = next(iter(self.leaving))
            del self.leaving[line]
            line.transport.abortConnection()
            return True
        for _ in range(LOOKS):
            victim = self._victim()
            if victim is None:
                return False
            if victim.look():
                self.switch.count["connections shed"] += 1
                self.shut(victim, at_once=True)
            if victim not in self.lines or victim.closed_at is not None:
                return True
        return False

    def _victim(self) -> SipLine | None:
        """Guards the descriptors, and good callers from a crowd: those who connect and say nothing go first,
        then those whose first message has stopped coming, then those who asked something and stayed, the
        longest there. A newcomer has a moment to say what it wants; callers of calls go last."""
        now = self.switch.wheel.now
        for kept, moment in ((self.new, MOMENT), (self.begun, PAUSE)):
            first = next(iter(kept), None)
            if first is not None and now - kept[first] > moment:
                return first
        return next((line for kept in (self.idle, self.new, self.begun, self.proven) for line in kept), None)

    def opened(self, line: SipLine) -> None:
        self.lines[line] = None
        self.numbered += 1
        line.name = f"c{self.numbered}"
        if self.switch.lives:
            self.switch.lives.note("", "caller's connection", line.name)
        self.new[line] = self.switch.wheel.now
        self.switch.count["caller connections"] += 1

    def moved(self, line: SipLine) -> None:
        """A piece of a newcomer's first message came."""
        self.new.pop(line, None)
        self.begun.pop(line, None)
        if line in self.lines and line.closed_at is None:
            self.begun[line] = self.switch.wheel.now

    def later(self, line: SipLine) -> None:
        """Callers had their part of this turn: what this one still has to say is read in a later one."""
        if not self.put_off:
            self.switch.wheel.at(self.switch.wheel.now, self._go_on)
        self.put_off[line] = None

    def _go_on(self) -> None:
        waiting, self.put_off = self.put_off, {}
        while waiting and self.switch.wheel.behind() <= TURN / 2:
            line = next(iter(waiting))
            del waiting[line]
            line.go_on()
        if waiting and not self.put_off:
            self.switch.wheel.at(self.switch.wheel.now, self._go_on)
        self.put_off = waiting | self.put_off

    def _unlist(self, line: SipLine) -> None:
        for kept in (self.new, self.begun, self.idle, self.proven):
            kept.pop(line, None)

    def rests(self, line: SipLine) -> None:
        """It was answered, or is owed an answer: no newcomer. Idle, if no set-up is open there any more."""
        line.newcomer = False
        self._unlist(line)
        if not line.calls and line in self.lines:
            (self.proven if line.stood else self.idle)[line] = self.switch.wheel.now
            if self.switch.lifecycle.empties:
                self._leave_soon(line)

    def _leave_soon(self, line: SipLine) -> None:
        """Closes it unless something comes before the next tick but one: what lies unread is read first."""
        self.switch.wheel.at(self.switch.wheel.now + 2 * self.switch.set.tick, self._leave, line)

    def _leave(self, line: SipLine) -> None:
        if line not in self.lines or line.closed_at is not None:
            return
        line.look()
        if line not in self.lines or line.calls or line.began is not None or line in self.put_off:
            return
        life = self.switch.lifecycle
        if life.empties and not (self._last(line) and life.lingers(self.switch.wheel.now)):
            self.switch.count["connections closed to drain"] += 1
            self.shut(line)

    def _leave_rest(self) -> None:
        silent = [line for line, since in self.new.items() if self.switch.wheel.now - since > NEWCOMER]
        for line in [*silent, *self.idle, *self.proven]:
            self._leave(line)

    def _last(self, line: SipLine) -> bool:
        """Whether it is the only one left to carry releases of calls that stand."""
        return line.heard is not None and bool(self.stood_on) and not any(
            other.heard is not None and other.closed_at is None for other in self.lines if other is not line)

    def changed(self, phase: Phase) -> None:
        """The lifecycle changed: where callers are to go, idle connections go at once."""
        if self.switch.lifecycle.empties:
            for line in [*self.idle, *self.proven]:
                self._leave_soon(line)
            self.switch.wheel.at(self.switch.wheel.now + LINGERS_FOR, self._leave_rest)

    def shut(self, line: SipLine, at_once: bool = False) -> None:
        """Closes a connection. What is still owed an answer there gets one: closing must lose no call. Our
        side closes first and theirs is read to its end: unread bytes would make a reset of the close."""
        if line.closed_at is not None:
            return
        line.closed_at = self.switch.wheel.now
        self._say(self.releases.ended(self.switch.wheel.now, line))
        for call in list(line.calls):
            self.switch.fail(call, self)
        self._unlist(line)
        self.put_off.pop(line, None)
        line.clearLineBuffer()
        line.transport.unregisterProducer()
        if at_once:
            line.transport.loseConnection()
        else:
            self.leaving[line] = None
            line.transport.loseWriteConnection()
            line.transport.resumeProducing()

    def closed(self, line: SipLine) -> None:
        self.lines.pop(line, None)
        self.leaving.pop(line, None)
        if self.switch.lives:
            self.switch.lives.note("", "caller's connection over", line.name)
        self.put_off.pop(line, None)
        self._unlist(line)
        self._say(self.releases.ended(self.switch.wheel.now, line))
        for call in list(line.calls):
            self.asked_by.pop(call, None)
            self.switch.give_up(call, self)
        line.calls.clear()

    # what callers ask

    def asked(self, line: SipLine, method: str, address: str, headers: dict[str, str], vias: list[str],
              body: bytes) -> None:
        self.switch.count[f"sip {method}" if method in METHODS else "sip other"] += 1
        act = METHODS.get(method)
        if act in CALLERS:
            self._calls(line)
        if act:
            act(self, line, address, headers, vias, body)
        else:
            line.answer(405, headers, vias)
            line.strike()
        if act not in UNANSWERED:
            self.rests(line)

    def _calls(self, line: SipLine) -> None:
        """A caller speaks here: releases that wait for one may go this way. The platform's front, which only
        tests, drops them."""
        line.heard = self.switch.wheel.now
        if line.closed_at is None:
            self._say(self.releases.spoke(line.heard, line))

    def _invite(self, line, address, headers, vias, body) -> None:
        try:
            order = order_of(address, headers, body)
        except (ValueError, OverflowError) as e:
            self.switch.count["bad messages"] += 1
            logger.warning("caller: set-up that can't be read, answered 400: {}", e)
            line.answer(400, headers, vias)
            line.strike()
            return
        open_ = self.switch.calls.get(order.call)
        if open_ is not None:
            asked = self.asked_by.get(order.call)
            if asked and asked[0] is line and open_.order.description == body:
                line.strike(0.25)
                return  # the same set-up again: its answer is on the way
            line.answer(CODES[Verdict.REPEATED], headers, vias)
            line.strike()
            return
        if len(line.calls) >= (MOST_OPEN if line.stood else FIRST_OPEN):
            self.switch.count["too many on a connection"] += 1
            self.switch.no_room(order)
            line.answer(503, headers, vias, b"", self.switch.set.max_advice)
            return
        self.asked_by[order.call] = (line, headers, vias, order.number)
        line.calls.add(order.call)
        self.rests(line)
        verdict = self.switch.take(order, self, self.switch.wheel.now - line.came)
        if verdict is not None:
            self.turned_away(order.call, verdict, 0.0)
        else:
            line.taken.append(order.call)
        if order.klass not in self.switch.classes:
            line.strike(0.25)

    def _cancel(self, line, address, headers, vias, body) -> None:
        call = call_of(headers)
        line.answer(200 if self.switch.give_up(call, self) else 481, headers, vias)
        asked = self.asked_by.pop(call, None)
        if asked:
            asked[0].calls.discard(call)
            self.rests(asked[0])

    def _say(self, told: list[Tell]) -> None:
        for tell in told:
            self.switch.count["releases sent to callers"] += 1
            if self.switch.lives:
                self.switch.lives.note(tell.call, "caller told", tell.way.name)
            tell.way.write([f"BYE sip:{tell.number}@net SIP/2.0", f"Via: SIP/2.0/TCP {self.name}",
                            f"Call-ID: {tell.call}", "CSeq: 2 BYE", f"Reason: Q.850;cause={tell.cause}"])
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
        for what, n in (("never sent", self.releases.lost), ("not acknowledged", self.releases.unheard),
                        ("sent again", self.releases.moved + self.releases.repeated)):
            if n:
                self.switch.count[f"releases {what}"] = n

    def answered(self, line: SipLine, first: str, headers: dict[str, str]) -> None:
        """An answer to a release of ours: whatever it says of the call, the caller knows."""
        if self.releases.owed:
            self.releases.heard(call_of(headers))
        if self.switch.lives:
            self.switch.lives.note(call_of(headers), f"caller answered {first[:40]}", line.name)

    def _bye_heard(self, line, address, headers, vias, body) -> None:
        call, cause = call_of(headers), CAUSE.search(headers.get("reason", ""))
        known = self.releases.heard(call, acknowledged=False)
        known |= self.switch.release(call, int(cause[1]) if cause and len(cause[1]) < 4 else NORMAL, self)
        line.answer(200 if known else 481, headers, vias)
        self._forget(call)

    def _options(self, line, address, headers, vias, body) -> None:
        line.answer(200 if self.switch.lifecycle.yes else 503, headers, vias)

    def _nothing(self, line, address, headers, vias, body) -> None:
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
            line, headers, vias, _ = asked
            line.calls.discard(call)
            self.switch.count[f"answered {code}"] += 1
            if self.switch.lives:
                self.switch.lives.note(call, f"answered {code}", line.name)
            if line.closed_at is None:
                self.rests(line)
            line.answer(code, headers, vias, body, later)

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
        line, number = self.stood_on.pop(call, (None, "call"))
        other, now = self.switch.other, self.switch.wheel.now
        if not self.releases.ways and other is not None and self.switch.lifecycle.handed_over:
            return other.released(call, cause)  # callers come to the next process
        self._say(self.releases.owe(now, call, number, cause, line))

    def _too_slow(self, line: SipLine, what: str) -> None:
        self.switch.count[f"connections closed as {what}"] += 1
        if line.began is not None and line.first:
            line.answer(408, line.headers, line.vias)
        self.shut(line)

    def _sweep(self) -> None:
        now = self.switch.wheel.now
        self.switch.wheel.at(now + SWEEP, self._sweep)
        if self.switch.lifecycle.empties:
            self._leave_rest()
            for call in list(self.asked_by):
                known = self.switch.calls.get(call)
                if known and self.switch.lifecycle.overstays(now, known.came):
                    self.switch.fail(call, self)
        for what, kept, most in (("silent", self.new, FIRST_BY), ("idle", self.idle, IDLE_FOR),
                                 ("idle", self.proven, IDLE_FOR)):
            few = KEPT * self.most if what == "idle" else 0.0
            while len(kept) > few and now - next(iter(kept.values())) > most:
                line = next(iter(kept))
                del kept[line]
                if line.look():
                    self._too_slow(line, what)
                elif line in self.lines and not line.calls and line.closed_at is None and not line.newcomer:
                    self.rests(line)
        for line, moved in list(self.begun.items()):
            if now - line.since > (BEGUN_BY if now - moved > PAUSE else WHOLE_BY):
                self._too_slow(line, "silent")
        for line in list(self.lines):
            if line.choked_at is not None and now - line.choked_at > CHOKED_FOR:
                unread = now - line.choked_at
                logger.warning("caller: answers unread for {:.0f} ms, connection closed", unread)
                line.transport.abortConnection()
            elif line.closed_at is not None and now - line.closed_at > CLOSED_BY:
                line.transport.abortConnection()  # a close waits for what was written to be read
            elif line.closed_at is None and line.began is not None and now - line.began > WHOLE_BY:
                line._bad("not whole in time", 408)


METHODS = {"INVITE": SipFront._invite, "CANCEL": SipFront._cancel, "BYE": SipFront._bye_heard,
           "OPTIONS": SipFront._options, "ACK": SipFront._nothing, "NOTIFY": SipFront._nothing}
CALLERS = (SipFront._invite, SipFront._cancel, SipFront._bye_heard, SipFront._nothing)  # not OPTIONS
UNANSWERED = (SipFront._nothing, SipFront._invite)  # ACK and the like; an INVITE's answer comes by itself
