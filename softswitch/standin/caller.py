"""Callers by SIP: place calls as they fall due, wait with patience, redial, and book what became of each."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from random import Random
from typing import Any

from twisted.internet.protocol import ReconnectingClientFactory
from twisted.protocols.basic import LineReceiver

from softswitch.standin.traffic import StreamSettings


@dataclass(slots=True)
class Tally:
    """What became of calls. A call is its first try with all its redials."""

    calls: int = 0
    tries: int = 0
    carried: int = 0  # calls, at the first or a later try
    carried_first: int = 0  # first tries that stood
    refused_first: int = 0  # first tries that were refused
    lost: int = 0  # calls that never stood
    unanswered: int = 0  # tries without an answer within their patience
    cut: int = 0
    ended: int = 0
    second_answers: int = 0
    wrong_description: int = 0
    delay_s: float = 0.0  # of tries that stood, together
    codes: Counter[int] = field(default_factory=Counter)

    def add(self, other: Tally) -> None:
        """Adds the figures of another."""
        for name in FIGURES:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.codes.update(other.codes)

    def as_dict(self) -> dict[str, Any]:
        """The figures, for a JSON object."""
        return {name: getattr(self, name) for name in FIGURES} | {
            "codes": {str(code): n for code, n in sorted(self.codes.items())}
        }


FIGURES = tuple(f.name for f in fields(Tally) if f.name != "codes")


@dataclass(slots=True)
class Try:
    """One set-up that waits for its answer."""

    stream: StreamSettings
    tally: Tally
    at: float
    nth: int  # 0: the first try
    description: bytes
    timer: Any = None


class CallerLine(LineReceiver):
    """One connection to a softswitch."""

    MAX_LENGTH = 16_384
    delimiter = b"\r\n"

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self._begin()

    def _begin(self) -> None:
        self.first, self.length, self.body = "", 0, b""
        self.headers: dict[str, str] = {}

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.callers.up(self)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted."""
        self.callers.down(self)

    def lineReceived(self, line: bytes) -> None:
        """Called by Twisted: a line of a message head."""
        text = line.decode("latin-1")
        if not self.first:
            self.first = text
        elif text:
            name, _, value = text.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        else:
            self.length = int(self.headers.get("content-length", "0"))
            if self.length:
                self.setRawMode()
            else:
                self._whole(b"")

    def rawDataReceived(self, data: bytes) -> None:
        """Called by Twisted: a part of a body."""
        self.body += data
        if len(self.body) >= self.length:
            rest, body = self.body[self.length :], self.body[: self.length]
            self._whole(body)
            self.setLineMode(rest)

    def _whole(self, body: bytes) -> None:
        first, headers = self.first, self.headers
        self._begin()
        self.callers.message_received(self, first, headers, body)

    def send(self, first: str, call: str, method: str, *more: str, body: bytes = b"") -> None:
        """Sends one message."""
        lines = (
            first,
            "Via: SIP/2.0/TCP standin",
            f"Call-ID: {call}",
            f"CSeq: 1 {method}",
            *more,
            f"Content-Length: {len(body)}",
            "",
            "",
        )
        self.transport.write("\r\n".join(lines).encode("latin-1") + body)


class Callers(ReconnectingClientFactory):
    """All callers of one softswitch, on one connection at a time.

    patience: seconds a try waits; again: chance that a refused or unanswered try is followed by another,
    after `pause` seconds (drawn between half and one and a half of it, or what X-Later-Ms asks, where
    `honour`), at most `tries` tries in all.
    """

    noisy = False
    maxDelay, initialDelay = 0.5, 0.05

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        seed: int,
        answer_timeout: float = 3.0,
        tries: int = 1,
        redial_probability: float = 0.0,
        redial_delay: float = 1.0,
        honour_retry_after: bool = False,
    ) -> None:
        self.clock_, self.address, self.random = reactor, address, Random(seed)
        self.answer_timeout, self.tries, self.redial_probability = answer_timeout, tries, redial_probability
        self.redial_delay, self.honour_retry_after = redial_delay, honour_retry_after
        self.connection: CallerLine | None = None
        self.waiting: dict[str, Try] = {}
        self.standing: dict[str, Tally] = {}
        self.tallies: dict[tuple[str, int], Tally] = {}
        self.last = self.random.getrandbits(48)
        self.redials_due = 0
        self.on_up: Callable[[], None] | None = None

    def connect(self) -> None:
        """Opens the connection, and opens it anew whenever it ends."""
        self.clock_.connectTCP(*self.address, self, timeout=2.0)

    def buildProtocol(self, addr: object) -> CallerLine:
        """Called by Twisted."""
        self.resetDelay()
        return CallerLine(self)

    def up(self, line: CallerLine) -> None:
        """A connection is up."""
        self.connection = line
        line.send("OPTIONS sip:ping@net SIP/2.0", "00" * 8, "OPTIONS")

    def down(self, line: CallerLine) -> None:
        """A connection is over."""
        if self.connection is line:
            self.connection = None

    def stop(self) -> None:
        """Waits for nothing any more, and closes."""
        self.stopTrying()
        for one in self.waiting.values():
            if one.timer.active():
                one.timer.cancel()
        if self.connection is not None:
            self.connection.transport.abortConnection()

    @property
    def open(self) -> int:
        """Tries that wait for an answer, or for their time to be placed."""
        return len(self.waiting) + self.redials_due

    def place(self, stream: StreamSettings, tally: Tally | None = None, nth: int = 0) -> None:
        """One try; `nth` over 0 for a redial."""
        if tally is None:
            tally = self.tallies.setdefault((stream.klass, stream.dest), Tally())
            tally.calls += 1
        tally.tries += 1
        self.last = (self.last + 1) & (1 << 64) - 1
        call = f"{self.last:016x}"
        description = b"v=0 " + call.encode()
        one = self.waiting[call] = Try(stream, tally, self.clock_.seconds(), nth, description)
        one.timer = self.clock_.callLater(self.answer_timeout, self._given_up, call)
        if self.connection is None:
            self._settle(call, 0, 0.0)
            return
        more = ("X-Retry: 1",) if nth else ()
        self.connection.send(
            f"INVITE sip:{stream.number}@net SIP/2.0",
            call,
            "INVITE",
            f"Subject: {stream.klass}",
            f"X-Patience: {self.answer_timeout * 1000:.0f}",
            f"X-Facts: dest:{stream.dest};width:{stream.width};via:-1",
            *more,
            body=description,
        )

    def _given_up(self, call: str) -> None:
        one = self.waiting[call]
        one.tally.unanswered += 1
        if self.connection is not None:
            self.connection.send(f"CANCEL sip:{one.stream.number}@net SIP/2.0", call, "CANCEL")
        self._settle(call, 0, 0.0)

    def _settle(self, call: str, code: int, later: float) -> None:
        """A try is over and does not stand."""
        one = self.waiting.pop(call)
        if one.timer.active():
            one.timer.cancel()
        one.tally.codes[code] += 1
        one.tally.refused_first += one.nth == 0
        if one.nth + 1 < self.tries and self.random.random() < self.redial_probability:
            wait = self.redial_delay * self.random.uniform(0.5, 1.5)
            self.redials_due += 1
            self.clock_.callLater(max(wait, later) if self.honour_retry_after else wait, self._redial, one)
        else:
            one.tally.lost += 1

    def _redial(self, one: Try) -> None:
        self.redials_due -= 1
        self.place(one.stream, one.tally, one.nth + 1)

    def message_received(self, line: CallerLine, first: str, headers: dict[str, str], body: bytes) -> None:
        """A message is complete."""
        call, method = headers.get("call-id", ""), headers.get("cseq", "").split(" ")[-1]
        if not first.startswith("SIP/"):
            if first.startswith("BYE"):
                line.send("SIP/2.0 200 OK", call, "BYE")
                tally = self.standing.pop(call, None)
                if tally is not None:
                    cut = "cause=16" not in headers.get("reason", "").replace(" ", "")
                    tally.cut += cut
                    tally.ended += not cut
            return
        code = int(first.split(" ")[1])
        if method == "OPTIONS":
            if self.on_up is not None:
                on_up, self.on_up = self.on_up, None
                on_up()
            return
        if method != "INVITE" or code < 200:
            return
        one = self.waiting.get(call)
        if one is None:
            if call in self.standing:
                self.standing[call].second_answers += 1
            return
        if code != 200:
            self._settle(call, code, float(headers.get("x-later-ms", "0")) / 1000)
            return
        del self.waiting[call]
        one.timer.cancel()
        one.tally.wrong_description += not body.endswith(one.description)
        one.tally.carried += 1
        one.tally.carried_first += one.nth == 0
        one.tally.delay_s += self.clock_.seconds() - one.at
        one.tally.codes[200] += 1
        self.standing[call] = one.tally
        line.send(f"ACK sip:{one.stream.number}@net SIP/2.0", call, "ACK")
