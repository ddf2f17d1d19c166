"""One connection from a caller: bytes in pieces become SIP messages, and answers go out."""

from __future__ import annotations

from typing import Protocol

from twisted.protocols.basic import LineReceiver

from softswitch.core.timer_wheel import TimerWheel
from softswitch.net.sip_codec import (
    MAX_MESSAGE,
    SipMessage,
    SipParseError,
    SipRequest,
    encode_answer,
    parse_request,
)
from softswitch.net.twisted_internals import has_unwritten_bytes, read_now

LINE_END = b"\r\n"
LINE_END_SIZE = len(LINE_END)
MAX_PENALTY = 16.0  # unusable messages, or four times as many of no class, with no established call between
TURN_BUDGET = (
    40.0  # ms that callers may take of one turn of the loop, so that engines and operators are heard too
)
READ_SIZE = 16_384  # bytes read at once
MAX_UNREAD_TIME = 500.0  # ms that what lies behind a full read has waited at most
MAX_READS_AHEAD = 8  # pieces that are read behind a stale one
STALE_AFTER = (
    100.0  # ms unread after which a caller may have left: nothing is sent before all it said is read
)


class ConnectionOwner(Protocol):
    """What a connection needs of the server that it belongs to."""

    wheel: TimerWheel

    def connection_opened(self, connection: SipConnection) -> None:
        """The connection is up."""

    def connection_lost(self, connection: SipConnection) -> None:
        """The connection is over."""

    def is_open(self, connection: SipConnection) -> bool:
        """Whether the connection is up."""

    def data_of_newcomer(self, connection: SipConnection) -> None:
        """A piece of a connection's first message came."""

    def is_deferred(self, connection: SipConnection) -> bool:
        """Whether the rest of what came waits for a later turn."""

    def defer(self, connection: SipConnection) -> None:
        """Callers had their part of this turn: the rest of what came here is read in a later one."""

    def backpressure_changed(self, connection: SipConnection, backpressured: bool) -> None:
        """The caller stopped reading its answers, or reads again."""

    def request_received(self, connection: SipConnection, request: SipRequest) -> None:
        """A request is complete."""

    def response_received(self, connection: SipConnection, message: SipMessage) -> None:
        """An answer to a request of ours is complete."""

    def route_calls(self, calls: list[str]) -> None:
        """Calls that were accepted may be decided on: their caller has been read."""

    def message_unreadable(self, connection: SipConnection, error: SipParseError) -> None:
        """Where the next message begins is not known."""

    def connection_misused(self, connection: SipConnection) -> None:
        """The caller sent too much that can't be used."""


class SipConnection(LineReceiver):
    """One connection from a caller."""

    MAX_LENGTH = MAX_MESSAGE
    delimiter = LINE_END

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.wheel = owner.wheel
        self.name = ""
        self.opened_at = self.wheel.now
        self.closing_since: float | None = None  # when we began to close it
        self.backpressured_at: float | None = None  # since when its caller leaves answers unread
        self.caller_active_at: float | None = (
            None  # when it last sent what only callers send, not just a probe
        )
        self.is_newcomer = True  # nothing was answered here, or is owed an answer
        self.had_established_call = False
        self.pending_calls: set[str] = set()  # call setups accepted here that are owed an answer
        self.penalty = 0.0
        # What is being read: when it arrived at the earliest, and when this was last read, or could be again.
        self.received_at = self.wheel.now
        self.last_read_at = self.wheel.now
        self.read_count = 0  # pieces that came
        self.more_unread = False  # more may have waited behind the last read
        self.reading_ahead = False
        self.unrouted_calls: list[str] = []  # call setups that were read: nothing was decided on them yet
        self._start_message()

    def _start_message(self) -> None:
        self.message = SipMessage()
        self.message_started_at: float | None = None  # since when a message is not complete
        self.body_length = 0
        self.body_parts: list[bytes] = []

    @property
    def is_closing(self) -> bool:
        """Whether our side is closed."""
        return self.closing_since is not None

    @property
    def has_unwritten_bytes(self) -> bool:
        """Whether some of what was written here has not left the process."""
        return has_unwritten_bytes(self.transport)

    # Twisted's protocol

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_SIZE
        self.transport.registerProducer(self, True)
        self.owner.connection_opened(self)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted."""
        self.owner.connection_lost(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted, and with nothing when reading goes on."""
        if self.closing_since is not None:
            return  # read, so that our close is no reset, which would take what we wrote last
        if data:
            self._note_read(len(data))
        if self.is_newcomer:
            self.owner.data_of_newcomer(self)
        super().dataReceived(data)
        if self.reading_ahead:
            return  # `_read_ahead` goes on
        if self.unrouted_calls and self.wheel.now - self.received_at > STALE_AFTER:
            self._read_ahead()
            if self.owner.is_deferred(self):
                return  # decided once that was read
        self._route_calls()

    def _note_read(self, size: int) -> None:
        now, lag = self.wheel.now, self.wheel.lag
        # else it came only now
        waited_behind = self.more_unread and now - self.last_read_at <= lag + TURN_BUDGET
        self.received_at = max(self.received_at, now - MAX_UNREAD_TIME) if waited_behind else now - lag
        self.more_unread = size >= READ_SIZE
        self.last_read_at = now
        self.read_count += 1

    def _read_ahead(self) -> None:
        """What came was long unread: what its caller sent since, such as a CANCEL, may lie behind."""
        self.reading_ahead = True
        for _ in range(MAX_READS_AHEAD):
            if self.owner.is_deferred(self) or self.read_pending():
                break
        self.reading_ahead = False

    def _route_calls(self) -> None:
        calls, self.unrouted_calls = self.unrouted_calls, []
        if calls:
            self.owner.route_calls(calls)

    def read_pending(self) -> bool:
        """Reads what lies unread here; false: something did, or does, or this connection is over."""
        if self.owner.is_deferred(self):
            return False
        reads = self.read_count
        if self.backpressured_at is None and not read_now(self.transport):
            return False
        return self.read_count == reads

    def resume_deferred(self) -> None:
        """Goes on with what was deferred."""
        self.last_read_at = self.wheel.now
        if self.backpressured_at is None and not self.is_closing and self.owner.is_open(self):
            super().resumeProducing()
        else:
            self._route_calls()

    # A producer's three calls. A caller that doesn't read its answers isn't read from either.

    def pauseProducing(self) -> None:
        """Called by Twisted: the caller does not read."""
        self.backpressured_at = self.wheel.now
        self.owner.backpressure_changed(self, True)
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Called by Twisted: the caller reads again."""
        self.backpressured_at = None
        self.owner.backpressure_changed(self, False)
        if not self.owner.is_deferred(self):
            super().resumeProducing()

    def stopProducing(self) -> None:
        """Called by Twisted."""

    # messages

    def lineLengthExceeded(self, line: bytes) -> None:
        """Called by Twisted."""
        self.owner.message_unreadable(self, SipParseError("a line without end"))

    def lineReceived(self, line: bytes) -> None:
        """Called by Twisted: a line of a message's head."""
        if self.closing_since is not None:
            return
        message = self.message
        message.size += len(line) + LINE_END_SIZE
        text = line.decode("latin-1")
        try:
            if message.size > MAX_MESSAGE:
                self._too_long()
            elif not message.start_line:
                self._add_start_line(text.strip())
            elif text:
                message.add_header(text)
            else:
                self._head_complete()
        except SipParseError as e:
            self.owner.message_unreadable(self, e)

    @staticmethod
    def _too_long() -> None:
        raise SipParseError("longer than 16 KiB", 513)

    def _add_start_line(self, text: str) -> None:
        """Empty lines between messages are skipped, however many."""
        if text:
            self.message.start_line = text
            self.message_started_at = self.wheel.now
        else:
            self.message.size = 0

    def _head_complete(self) -> None:
        self.body_length = self.message.content_length()
        if self.body_length:
            self.setRawMode()
        else:
            self._message_complete(b"")

    def rawDataReceived(self, data: bytes) -> None:
        """Called by Twisted: a piece of a message's body, and of what follows it."""
        if self.closing_since is not None:
            return
        self.body_parts.append(data)
        if sum(map(len, self.body_parts)) < self.body_length:
            return
        received = b"".join(self.body_parts)
        body, rest = received[: self.body_length], received[self.body_length :]
        try:
            self._message_complete(body)
        except SipParseError as e:
            self.owner.message_unreadable(self, e)
        if self.closing_since is None:
            self.setLineMode()
            super().dataReceived(rest)

    def _message_complete(self, body: bytes) -> None:
        message = self.message
        self._start_message()
        if message.is_response:
            self.owner.response_received(self, message)
            return
        self.owner.request_received(self, parse_request(message, body))
        if self.closing_since is None and self.wheel.elapsed_since_read() > TURN_BUDGET:
            self.more_unread = True  # what arrives meanwhile waits unread
            self.owner.defer(self)
            super().pauseProducing()

    def answer(self, code: int, request: SipMessage, body: bytes = b"", retry_after: float = 0.0) -> None:
        """Answers a request."""
        self.transport.write(encode_answer(code, request, body, retry_after))

    def write(self, data: bytes) -> None:
        """Writes a complete message."""
        self.transport.write(data)

    def penalize(self, weight: float = 1.0) -> None:
        """Guards against a caller that sends the same nonsense again as soon as it is rejected.

        Only what no good caller sends counts: closing loses call setups that are on their way, and
        rejections, crossing CANCELs and BYEs are ordinary.
        """
        self.penalty += weight
        if self.penalty >= MAX_PENALTY and not self.is_closing:
            self.owner.connection_misused(self)
