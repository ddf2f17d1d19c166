"""The SIP front: callers' connections, many calls on each."""
from __future__ import annotations

import re
from collections import OrderedDict

from loguru import logger
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

from willowhitch.core.switch import NORMAL, Order, Switch, Verdict

LONGEST = 16_384  # bytes of one message
MOST_CONNECTIONS = 600
MOST_UNSAID = 4_096  # releases kept for the next connection of a caller
UNSAID_FOR = 8_000.0  # ms
CHOKED_FOR = 5_000.0  # ms that a caller may leave its answers unread
NUMBER = re.compile(r"sips?:([^@\s]+)@", re.I)
CAUSE = re.compile(r"cause\s*=\s*(\d+)", re.I)
ECHOED = ("via", "from", "to", "call-id", "cseq")
SHORT = {"v": "via", "f": "from", "t": "to", "i": "call-id", "l": "content-length", "s": "subject"}
NAMES = {"via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}
REASONS = {200: "OK", 400: "Bad Request", 405: "Method Not Allowed", 481: "Call Does Not Exist",
           482: "Loop Detected", 487: "Request Terminated", 500: "Server Failure",
           503: "Service Unavailable", 513: "Message Too Large"}
CODES = {Verdict.REFUSED: 503, Verdict.FAILED: 500, Verdict.REPEATED: 482, Verdict.TABLE_FULL: 503,
         Verdict.GIVEN_UP: 487, Verdict.UNKNOWN: 481}


def call_of(headers: dict[str, str]) -> str:
    return headers.get("call-id", "").lower()


def order_of(address: str, headers: dict[str, str], body: bytes) -> Order:
    """The set-up that an INVITE asks for; ValueError with a plain text if it can't be read."""
    number = NUMBER.match(address)
    if not number:
        raise ValueError("no number called")
    patience = float(headers.get("x-patience", "nan"))
    facts = dict(part.split(":", 1) for part in headers.get("x-facts", "").split(";") if ":" in part)
    return Order(call_of(headers), headers.get("subject", ""), number[1], patience, body,
                 int(facts.get("dest", -1)), headers.get("x-retry", "") not in ("", "0"),
                 float(facts.get("width", 1)))


class SipLine(LineReceiver):
    """One connection from a caller."""

    MAX_LENGTH = LONGEST
    delimiter = b"\r\n"

    def __init__(self, front: SipFront) -> None:
        self.front = front
        self.calls: set[str] = set()  # set-ups taken on this connection that are owed an answer
        self.choked_at: float | None = None
        self._begin()

    def _begin(self) -> None:
        self.first, self.headers, self.length, self.size, self.body = "", {}, 0, 0, []
        self.vias: list[str] = []

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.front.opened(self)

    def connectionLost(self, reason: object = None) -> None:
        self.front.closed(self)

    # A producer's three calls. A caller that doesn't read its answers isn't read from either.
    def pauseProducing(self) -> None:
        self.choked_at = self.front.switch.wheel.now
        super().pauseProducing()

    def resumeProducing(self) -> None:
        self.choked_at = None
        super().resumeProducing()

    def stopProducing(self) -> None:
        pass

    def _bad(self, why: str) -> None:
        self.front.switch.count["bad messages"] += 1
        logger.warning("caller: bad message, connection closed: {}", why)
        self.clearLineBuffer()
        self.transport.loseConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        self._bad("a line without end")

    def lineReceived(self, line: bytes) -> None:
        if self.transport.disconnecting:
            return
        self.size += len(line) + 2
        if self.size > LONGEST:
            return self._bad("longer than 16 KiB")
        text = line.decode("latin-1")
        if not self.first:
            self.first = text.strip()  # empty lines between messages are skipped
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
        self.headers.setdefault(name, value)

    def _head_done(self) -> None:
        length = self.headers.get("content-length", "0")
        if not length.isascii() or not length.isdigit() or len(length) > 9:
            return self._bad("Content-Length is no number")
        self.length = int(length)
        if self.size + self.length > LONGEST:
            return self._bad("longer than 16 KiB")
        if self.length:
            self.setRawMode()
        else:
            self._whole(b"")

    def rawDataReceived(self, data: bytes) -> None:
        self.body.append(data)
        have = sum(map(len, self.body))
        if have >= self.length:
            whole = b"".join(self.body)
            rest, body = whole[self.length:], whole[:self.length]
            self._whole(body)
            self.setLineMode(rest)

    def _whole(self, body: bytes) -> None:
        first, headers, vias = self.first, self.headers, self.vias
        self._begin()
        if first.startswith("SIP/"):
            return  # an answer to a release of ours
        words = first.split()
        if len(words) != 3 or not words[2].startswith("SIP/2"):
            return self._bad("no SIP first line")
        self.front.asked(self, words[0], words[1], headers, vias, body)

    def answer(self, code: int, headers: dict[str, str], vias: list[str], body: bytes = b"",
               later: float = 0.0) -> None:
        lines = [f"SIP/2.0 {code} {REASONS[code]}", *(f"Via: {via}" for via in vias)]
        lines += [f"{NAMES[name]}: {headers[name]}" for name in ECHOED[1:] if name in headers]
        if later > 0:
            lines.append(f"X-Later-Ms: {later:.0f}")
        self.write(lines, body)

    def write(self, lines: list[str], body: bytes = b"") -> None:
        head = "\r\n".join((*lines, f"Content-Length: {len(body)}", "", "")).encode("latin-1")
        self.transport.write(head + body)


class SipFront(Factory):
    """All callers' connections. Fulfils `core.switch.Caller`."""

    noisy = False

    def __init__(self, name: str) -> None:
        self.name = name
        self.switch: Switch
        self.draining = False
        self.lines: dict[SipLine, None] = {}
        self.asked_by: dict[str, tuple[SipLine, dict[str, str], list[str]]] = {}  # open set-ups
        self.stood_on: dict[str, tuple[SipLine, str]] = {}  # calls that stand: their connection and number
        self.unsaid: OrderedDict[str, tuple[float, str, int]] = OrderedDict()  # releases with no connection

    def attach(self, switch: Switch) -> None:
        self.switch = switch
        switch.wheel.at(switch.wheel.now + 1000.0, self._sweep)

    def buildProtocol(self, addr: object) -> SipLine | None:
        if len(self.lines) >= MOST_CONNECTIONS:
            self.switch.count["connections turned away"] += 1
            return None
        return SipLine(self)

    # connections

    def opened(self, line: SipLine) -> None:
        self.lines[line] = None
        self.switch.count["caller connections"] += 1
        unsaid, self.unsaid = self.unsaid, OrderedDict()
        for call, (_, number, cause) in unsaid.items():
            self._bye(line, call, number, cause)

    def closed(self, line: SipLine) -> None:
        self.lines.pop(line, None)
        for call in list(line.calls):
            self.asked_by.pop(call, None)
            self.switch.give_up(call, self)

    # what callers ask

    def asked(self, line: SipLine, method: str, address: str, headers: dict[str, str], vias: list[str],
              body: bytes) -> None:
        self.switch.count[f"sip {method}" if method in METHODS else "sip other"] += 1
        act = METHODS.get(method)
        if act:
            act(self, line, address, headers, vias, body)
        else:
            line.answer(405, headers, vias)

    def _invite(self, line, address, headers, vias, body) -> None:
        try:
            order = order_of(address, headers, body)
        except (ValueError, OverflowError) as e:
            self.switch.count["bad messages"] += 1
            logger.warning("caller: set-up that can't be read, answered 400: {}", e)
            line.answer(400, headers, vias)
            return
        if order.call in self.asked_by:
            return  # the same set-up again: its answer is on the way
        if order.call in self.switch.calls:
            line.answer(CODES[Verdict.REPEATED], headers, vias)
            return
        self.asked_by[order.call] = (line, headers, vias)
        line.calls.add(order.call)
        self.stood_on.pop(order.call, None)
        verdict = self.switch.set_up(order, self)
        if verdict is not None:
            self.turned_away(order.call, verdict, 0.0)
        elif order.call in self.asked_by or order.call in self.switch.calls:
            self.stood_on[order.call] = (line, order.number)

    def _cancel(self, line, address, headers, vias, body) -> None:
        call = call_of(headers)
        line.answer(200, headers, vias)
        asked = self.asked_by.pop(call, None)
        if asked:
            asked[0].calls.discard(call)
            self.stood_on.pop(call, None)
        self.switch.give_up(call, self)

    def _bye(self, line: SipLine, call: str, number: str, cause: int) -> None:
        self.switch.count["releases sent to callers"] += 1
        line.write([f"BYE sip:{number}@net SIP/2.0", f"Via: SIP/2.0/TCP {self.name}", f"Call-ID: {call}",
                    "CSeq: 2 BYE", f"Reason: Q.850;cause={cause}"])

    def _bye_heard(self, line, address, headers, vias, body) -> None:
        call, cause = call_of(headers), CAUSE.search(headers.get("reason", ""))
        line.answer(200, headers, vias)
        self.unsaid.pop(call, None)
        self.switch.release(call, int(cause[1]) if cause and len(cause[1]) < 4 else NORMAL, self)
        self._forget(call)

    def _options(self, line, address, headers, vias, body) -> None:
        line.answer(503 if self.draining else 200, headers, vias)

    def _nothing(self, line, address, headers, vias, body) -> None:
        """ACK needs no answer, and NOTIFY wants none."""

    def _forget(self, call: str) -> None:
        self.stood_on.pop(call, None)
        asked = self.asked_by.pop(call, None)
        if asked:
            asked[0].calls.discard(call)

    # what the switch tells

    def _answer(self, call: str, code: int, body: bytes = b"", later: float = 0.0) -> None:
        asked = self.asked_by.pop(call, None)
        if asked:
            line, headers, vias = asked
            line.calls.discard(call)
            self.switch.count[f"answered {code}"] += 1
            line.answer(code, headers, vias, body, later)

    def stands(self, call: str, description: bytes) -> None:
        self._answer(call, 200, description)

    def turned_away(self, call: str, verdict: Verdict, stay_away: float) -> None:
        self._answer(call, CODES[verdict], b"", stay_away)
        self.stood_on.pop(call, None)

    def released(self, call: str, cause: int) -> None:
        """Any connection of a caller may carry it; with none open it goes out on the next one."""
        line, number = self.stood_on.pop(call, (None, "call"))
        if line not in self.lines:
            line = next(reversed(self.lines), None)
        if line is not None:
            self._bye(line, call, number, cause)
            return
        self.unsaid[call] = (self.switch.wheel.now, number, cause)
        if len(self.unsaid) > MOST_UNSAID:
            self.unsaid.popitem(last=False)

    def _sweep(self) -> None:
        now = self.switch.wheel.now
        self.switch.wheel.at(now + 1000.0, self._sweep)
        while self.unsaid and now - next(iter(self.unsaid.values()))[0] > UNSAID_FOR:
            self.unsaid.popitem(last=False)
            self.switch.count["releases never sent"] += 1
        for line in list(self.lines):
            if line.choked_at is not None and now - line.choked_at > CHOKED_FOR:
                unread = now - line.choked_at
                logger.warning("caller: answers unread for {:.0f} ms, connection closed", unread)
                line.transport.abortConnection()


METHODS = {"INVITE": SipFront._invite, "CANCEL": SipFront._cancel, "BYE": SipFront._bye_heard,
           "OPTIONS": SipFront._options, "ACK": SipFront._nothing, "NOTIFY": SipFront._nothing}
