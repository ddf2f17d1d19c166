"""One connection from a caller: bytes in pieces become SIP messages, and answers go out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from softswitch.net.sip import SipFront

LONGEST = 16_384  # bytes of one message
MOST_STRIKES = 16.0  # unusable messages, or four times as many of no class, with no call standing between
TURN = 40.0  # ms that callers may take of one turn of the loop, so that engines and operators are heard too
READ, OLDEST = 16_384, 500.0  # bytes read at once; ms that what comes behind a full read has waited at most
LOOKS = 8  # connections that are looked at for one that can go; pieces that are read behind a stale one
STALE = 100.0  # ms unread after which a caller may have left: nothing is sent before all it said is read
ONCE = ("content-length", "call-id", "cseq", "subject", "x-patience", "x-facts")
ECHOED = ("via", "from", "to", "call-id", "cseq")
SHORT = {"v": "via", "f": "from", "t": "to", "i": "call-id", "l": "content-length", "s": "subject"}
NAMES = {"via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}
REASONS = {
    200: "OK",
    400: "Bad Request",
    405: "Method Not Allowed",
    481: "Call Does Not Exist",
    482: "Loop Detected",
    487: "Request Terminated",
    500: "Server Failure",
    408: "Request Timeout",
    503: "Service Unavailable",
    513: "Message Too Large",
}


class SipConnection(LineReceiver):
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
        self.first, self.length, self.size = "", 0, 0
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []
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
        return bool(len(way.dataBuffer) > way.offset or way._tempDataLen)

    def go_on(self) -> None:
        """Reads on what was put off."""
        self.read_at = self.front.switch.wheel.now
        if self.choked_at is None and self.closed_at is None and self in self.front.connections:
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
            return None
        self.size += len(line) + 2
        if self.size > LONGEST:
            return self._bad("longer than 16 KiB", 513)
        text = line.decode("latin-1")
        if not self.first:
            self.first = text.strip()  # empty lines between messages are skipped, however many
            self.began = self.front.switch.wheel.now if self.first else None
            self.size = self.size if self.first else 0
            return None
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
        return None

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
        return None

    def rawDataReceived(self, data: bytes) -> None:
        if self.closed_at is not None:
            return
        self.body.append(data)
        have = sum(map(len, self.body))
        if have >= self.length:
            whole = b"".join(self.body)
            rest, body = whole[self.length :], whole[: self.length]
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
        return None

    def answer(
        self, code: int, headers: dict[str, str], vias: list[str], body: bytes = b"", later: float = 0.0
    ) -> None:
        lines = [f"SIP/2.0 {code} {REASONS[code]}", *(f"Via: {via}" for via in vias)]
        lines += [f"{NAMES[name]}: {headers[name]}" for name in ECHOED[1:] if name in headers]
        if later > 0:
            lines.append(f"X-Later-Ms: {later:.0f}")
        self.write(lines, body)

    def strike(self, weight: float = 1.0) -> None:
        """Guards against a caller that sends the same nonsense again as soon as it is turned away. What no
        good caller sends counts alone: closing loses set-ups that are on their way, and refusals, crossing
        CANCELs and BYEs are daily bread.
        """
        self.strikes += weight
        if self.strikes >= MOST_STRIKES and self.closed_at is None:
            self.front.switch.count["connections ended for misuse"] += 1
            self.front.shut(self)

    def write(self, lines: list[str], body: bytes = b"") -> None:
        head = "\r\n".join((*lines, f"Content-Length: {len(body)}", "", "")).encode("latin-1")
        self.transport.write(head + body)
