"""Stand-in SIP callers: place calls, wait for the answer, redial, and count the outcomes."""

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
    """Outcomes of calls. A call is its first try with all its redials."""

    calls: int = 0
    tries: int = 0
    carried: int = 0  # calls established, at the first or a later try
    carried_first: int = 0  # first tries that were established
    refused_first: int = 0  # first tries that failed
    lost: int = 0  # calls that were never established
    unanswered: int = 0  # tries without a final response within the timeout
    cut: int = 0  # established calls that ended with a cause other than 16
    ended: int = 0  # established calls that ended normally, with cause 16
    second_answers: int = 0  # repeated final responses to established calls
    wrong_description: int = 0  # answers without the description of their setup
    delay_s: float = 0.0  # sum of the setup delays of established tries
    codes: Counter[int] = field(default_factory=Counter)  # tries by final response; 0: none

    def add(self, other: Tally) -> None:
        """Adds the counters of `other`."""
        for name in COUNTERS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.codes.update(other.codes)

    def as_dict(self) -> dict[str, Any]:
        """Returns the counters, under their names, for a JSON object."""
        return {name: getattr(self, name) for name in COUNTERS} | {
            "codes": {str(code): n for code, n in sorted(self.codes.items())}
        }


COUNTERS = tuple(f.name for f in fields(Tally) if f.name != "codes")


@dataclass(slots=True)
class PendingTry:
    """A call setup without a final response."""

    stream: StreamSettings
    tally: Tally
    at: float  # when the setup was sent, s
    redial_number: int  # 0 for the first try
    description: bytes
    timer: Any = None


class CallerConnection(LineReceiver):
    """A connection to a softswitch."""

    MAX_LENGTH = 16_384
    delimiter = b"\r\n"

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self._start_message()

    def _start_message(self) -> None:
        self.start_line, self.length, self.body = "", 0, b""
        self.headers: dict[str, str] = {}

    def connectionMade(self) -> None:
        """Reports the open connection. Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.callers.connection_up(self)

    def connectionLost(self, reason: object = None) -> None:
        """Reports the closed connection. Called by Twisted."""
        self.callers.connection_down(self)

    def lineReceived(self, line: bytes) -> None:
        """Parses a line of a message header. Called by Twisted."""
        text = line.decode("latin-1")
        if not self.start_line:
            self.start_line = text
        elif text:
            name, _, value = text.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        else:
            self.length = int(self.headers.get("content-length", "0"))
            if self.length:
                self.setRawMode()
            else:
                self._message_complete(b"")

    def rawDataReceived(self, data: bytes) -> None:
        """Collects the message body. Called by Twisted."""
        self.body += data
        if len(self.body) >= self.length:
            rest, body = self.body[self.length :], self.body[: self.length]
            self._message_complete(body)
            self.setLineMode(rest)

    def _message_complete(self, body: bytes) -> None:
        start_line, headers = self.start_line, self.headers
        self._start_message()
        self.callers.message_received(self, start_line, headers, body)

    def send(self, start_line: str, call: str, method: str, *extra_headers: str, body: bytes = b"") -> None:
        """Sends one message."""
        lines = (
            start_line,
            "Via: SIP/2.0/TCP standin",
            f"Call-ID: {call}",
            f"CSeq: 1 {method}",
            *extra_headers,
            f"Content-Length: {len(body)}",
            "",
            "",
        )
        self.transport.write("\r\n".join(lines).encode("latin-1") + body)


class Callers(ReconnectingClientFactory):
    """All callers of one softswitch, on one connection at a time.

    A try waits `answer_timeout` s for its final response. After a failed try, the caller redials with
    probability `redial_probability`, up to `tries` tries in all. The delay is random, between 0.5 and 1.5
    times `redial_delay` s; with `honour_retry_after` it is at least the X-Later-Ms of the response.
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
        self.reactor, self.address, self.random = reactor, address, Random(seed)
        self.answer_timeout, self.tries, self.redial_probability = answer_timeout, tries, redial_probability
        self.redial_delay, self.honour_retry_after = redial_delay, honour_retry_after
        self.connection: CallerConnection | None = None
        self.pending: dict[str, PendingTry] = {}  # by call
        self.established: dict[str, Tally] = {}  # by call
        self.tallies: dict[tuple[str, int], Tally] = {}  # by class and preferred cell
        self.last_call_id = self.random.getrandbits(48)
        self.scheduled_redials = 0
        self.on_ready: Callable[[], None] | None = None  # called once, at the first response to OPTIONS

    def connect(self) -> None:
        """Opens the connection, and reopens it whenever it closes."""
        self.reactor.connectTCP(*self.address, self, timeout=2.0)

    def buildProtocol(self, addr: object) -> CallerConnection:
        """Called by Twisted for each connection."""
        self.resetDelay()
        return CallerConnection(self)

    def connection_up(self, connection: CallerConnection) -> None:
        """Uses the open connection, and sends OPTIONS, whose response calls `on_ready`."""
        self.connection = connection
        connection.send("OPTIONS sip:ping@net SIP/2.0", "00" * 8, "OPTIONS")

    def connection_down(self, connection: CallerConnection) -> None:
        """Handles a closed connection."""
        if self.connection is connection:
            self.connection = None

    def stop(self) -> None:
        """Cancels the timers of all tries and closes the connection."""
        self.stopTrying()
        for pending_try in self.pending.values():
            if pending_try.timer.active():
                pending_try.timer.cancel()
        if self.connection is not None:
            self.connection.transport.abortConnection()

    @property
    def open_tries(self) -> int:
        """Tries without a final response, and scheduled redials."""
        return len(self.pending) + self.scheduled_redials

    def place(self, stream: StreamSettings, tally: Tally | None = None, redial_number: int = 0) -> None:
        """Places one try; `redial_number` is above 0 for a redial."""
        if tally is None:
            tally = self.tallies.setdefault((stream.klass, stream.dest), Tally())
            tally.calls += 1
        tally.tries += 1
        self.last_call_id = (self.last_call_id + 1) & (1 << 64) - 1
        call = f"{self.last_call_id:016x}"
        description = b"v=0 " + call.encode()
        pending_try = self.pending[call] = PendingTry(
            stream, tally, self.reactor.seconds(), redial_number, description
        )
        pending_try.timer = self.reactor.callLater(self.answer_timeout, self._timed_out, call)
        if self.connection is None:
            self._fail_try(call, 0, 0.0)
            return
        retry_headers = ("X-Retry: 1",) if redial_number else ()
        self.connection.send(
            f"INVITE sip:{stream.number}@net SIP/2.0",
            call,
            "INVITE",
            f"Subject: {stream.klass}",
            f"X-Patience: {self.answer_timeout * 1000:.0f}",
            f"X-Facts: dest:{stream.dest};width:{stream.width};via:-1",
            *retry_headers,
            body=description,
        )

    def _timed_out(self, call: str) -> None:
        pending_try = self.pending[call]
        pending_try.tally.unanswered += 1
        if self.connection is not None:
            self.connection.send(f"CANCEL sip:{pending_try.stream.number}@net SIP/2.0", call, "CANCEL")
        self._fail_try(call, 0, 0.0)

    def _fail_try(self, call: str, code: int, retry_after: float) -> None:
        """Counts a failed try, and either schedules a redial or counts the call as lost.

        `code` 0: no response. `retry_after`: s that the response asks the caller to wait.
        """
        pending_try = self.pending.pop(call)
        if pending_try.timer.active():
            pending_try.timer.cancel()
        pending_try.tally.codes[code] += 1
        pending_try.tally.refused_first += pending_try.redial_number == 0
        if pending_try.redial_number + 1 < self.tries and self.random.random() < self.redial_probability:
            delay = self.redial_delay * self.random.uniform(0.5, 1.5)
            self.scheduled_redials += 1
            self.reactor.callLater(
                max(delay, retry_after) if self.honour_retry_after else delay, self._redial, pending_try
            )
        else:
            pending_try.tally.lost += 1

    def _redial(self, pending_try: PendingTry) -> None:
        self.scheduled_redials -= 1
        self.place(pending_try.stream, pending_try.tally, pending_try.redial_number + 1)

    def message_received(
        self, connection: CallerConnection, start_line: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Handles a complete message from the softswitch."""
        call, method = headers.get("call-id", ""), headers.get("cseq", "").split(" ")[-1]
        if not start_line.startswith("SIP/"):
            if start_line.startswith("BYE"):
                connection.send("SIP/2.0 200 OK", call, "BYE")
                tally = self.established.pop(call, None)
                if tally is not None:
                    cut = "cause=16" not in headers.get("reason", "").replace(" ", "")
                    tally.cut += cut
                    tally.ended += not cut
            return
        code = int(start_line.split(" ")[1])
        if method == "OPTIONS":
            if self.on_ready is not None:
                on_ready, self.on_ready = self.on_ready, None
                on_ready()
            return
        if method != "INVITE" or code < 200:
            return
        pending_try = self.pending.get(call)
        if pending_try is None:
            if call in self.established:
                self.established[call].second_answers += 1
            return
        if code != 200:
            self._fail_try(call, code, float(headers.get("x-later-ms", "0")) / 1000)
            return
        del self.pending[call]
        pending_try.timer.cancel()
        pending_try.tally.wrong_description += not body.endswith(pending_try.description)
        pending_try.tally.carried += 1
        pending_try.tally.carried_first += pending_try.redial_number == 0
        pending_try.tally.delay_s += self.reactor.seconds() - pending_try.at
        pending_try.tally.codes[200] += 1
        self.established[call] = pending_try.tally
        connection.send(f"ACK sip:{pending_try.stream.number}@net SIP/2.0", call, "ACK")
