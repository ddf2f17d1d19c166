"""One SIP connection from a caller: assembles received bytes into messages and writes responses."""

from __future__ import annotations

from typing import Protocol

from twisted.protocols.basic import LineReceiver

from softswitch.core.timer_wheel import TimerWheel
from softswitch.core.turn_scheduler import TURN_BUDGET, TurnScheduler
from softswitch.interface import CallId
from softswitch.net.sip_codec import (
    MAX_MESSAGE,
    SipMessage,
    SipParseError,
    SipRequest,
    encode_response,
    parse_request,
)
from softswitch.net.twisted_internals import peer_has_closed, read_now, unparsed_bytes, unwritten_bytes
from softswitch.net.unrouted_calls import UnroutedCalls

CRLF = b"\r\n"
CRLF_SIZE = len(CRLF)
# Penalty points since the last established call at which a connection is closed: 16 unusable messages, or 64
# call setups of an unknown class.
MAX_PENALTY = 16.0
LINES_PER_CHECK = 64  # header lines between two checks of the budget; an ordinary head has fewer
READ_SIZE = 16_384  # max bytes of one read; smaller ones would hide how long data has waited
MAX_UNREAD_TIME = 500.0  # max ms that data behind a full read is assumed to have waited
MAX_READS_AHEAD = 8  # further reads after a stale one
# Data that waited unread for more ms than this is stale: its caller may have given up in the meantime. Call
# setups in it are routed only after the rest of the data from the caller has been read.
STALE_AFTER = 100.0


class ConnectionOwner(Protocol):
    """The server that owns a connection, as the connection uses it."""

    wheel: TimerWheel
    turns: TurnScheduler

    def connection_opened(self, connection: SipConnection) -> None:
        """Called when the connection is established."""

    def connection_lost(self, connection: SipConnection) -> None:
        """Called when the connection has ended."""

    def caller_disconnected(self, connection: SipConnection) -> None:
        """Called when the caller has closed the connection, although what it wrote may not be read yet."""

    def is_open(self, connection: SipConnection) -> bool:
        """Whether the connection is still established."""

    def first_message_data(self, connection: SipConnection) -> None:
        """Called when data of a connection's first message is received."""

    def unprocessed_changed(self, connection: SipConnection, size: int) -> None:
        """Called when the connection holds `size` bytes of received data that is not processed."""

    def is_paused(self, connection: SipConnection) -> bool:
        """Whether the connection is not read because the memory does not suffice."""

    def backpressure_changed(self, connection: SipConnection, backpressured: bool) -> None:
        """Called when the caller stops reading its responses, or resumes."""

    def unsent_changed(self, connection: SipConnection, size: int) -> None:
        """Called for each write to a caller that does not read; `size` bytes are unsent now."""

    def request_received(self, connection: SipConnection, request: SipRequest) -> None:
        """Called for each complete request."""

    def response_received(self, connection: SipConnection, message: SipMessage) -> None:
        """Called for each complete response to a request that the softswitch sent."""

    def route_calls(self, calls: list[CallId]) -> None:
        """Routes accepted calls, after the data from their caller has been read."""

    def message_unreadable(self, connection: SipConnection, error: SipParseError) -> None:
        """Called when a message cannot be parsed, which leaves the start of the next one unknown."""

    def connection_misused(self, connection: SipConnection) -> None:
        """Called when the caller has sent too many unusable messages."""


class SipConnection(LineReceiver):
    """One SIP connection from a caller."""

    MAX_LENGTH = MAX_MESSAGE
    delimiter = CRLF

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.wheel = owner.wheel
        self.name = ""
        self.opened_at = self.wheel.now
        self.closing_started_at: float | None = None  # when the softswitch began to close it
        self.backpressured_at: float | None = None  # when its caller stopped reading
        # When it last received a request that only callers send, so not a health check.
        self.caller_active_at: float | None = None
        self.is_new = True  # no request was answered, and no call setup accepted, here yet
        self.had_established_call = False
        self.pending_calls: set[CallId] = set()  # call setups accepted here and not answered yet
        self.established_calls: set[CallId] = set()  # established calls that were set up here
        self.penalty = 0.0
        self.received_at = self.wheel.now  # the earliest time at which the current data can have arrived
        self.last_read_at = self.wheel.now  # time of the last read, or of the last resumption of reading
        self.read_count = 0  # reads that returned data
        self.more_unread = False  # more data may have been waiting behind the last read
        self.reading_ahead = False
        self.caller_disconnected = False  # the caller has closed; what it wrote before may still be unread
        self.unrouted = UnroutedCalls(self.wheel)
        self.unprocessed = 0  # bytes received and not processed: incomplete or deferred messages
        self._start_message()

    def _start_message(self) -> None:
        self.message = SipMessage()
        self.message_started_at: float | None = None  # None between messages
        self.header_lines = 0
        self.body_length = 0
        self.body = bytearray()  # received part of the body

    @property
    def is_closing(self) -> bool:
        """Whether the softswitch has begun to close the connection."""
        return self.closing_started_at is not None

    @property
    def has_unwritten_bytes(self) -> bool:
        """Whether written bytes have not left the process yet."""
        return unwritten_bytes(self.transport) > 0

    # Twisted's protocol callbacks

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_SIZE
        self.transport.registerProducer(self, True)
        self.owner.connection_opened(self)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted when the connection has ended."""
        self.owner.connection_lost(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when data is received, and without data when a deferred connection resumes."""
        if self.closing_started_at is not None:
            # Data is still read: closing with unread data sends a reset, which discards the last writes.
            return
        if data:
            self._record_read(len(data))
        if not self.caller_disconnected and peer_has_closed(self.transport):
            self.caller_disconnected = True
            self.owner.caller_disconnected(self)
        if self.is_new:
            self.owner.first_message_data(self)
        super().dataReceived(data)
        self._record_unprocessed()
        if self.reading_ahead:
            return  # called from `_read_ahead`, which continues
        if not self.unrouted:
            return
        self._read_before_routing()
        if not self.owner.turns.is_deferred(self):  # else they are routed after the deferred data
            self._route_calls()

    def _read_before_routing(self) -> None:
        """Reads what the caller has written since: it may have taken call setups back, or have left."""
        if not self.more_unread and self.wheel.now - self.received_at <= STALE_AFTER:
            return
        self._read_ahead()
        if self._waits_for_unread() and not self.owner.turns.is_deferred(self):
            self._defer()

    def _waits_for_unread(self) -> bool:
        """Whether the routing of call setups waits until more data is read, in a later turn."""
        is_ending = self.is_closing or not self.owner.is_open(self)
        return not is_ending and self.more_unread and self.unrouted.may_wait

    def _record_read(self, size: int) -> None:
        """Records a read of `size` bytes, and estimates when these bytes arrived (`received_at`)."""
        now, lag = self.wheel.now, self.wheel.lag
        # Whether the data may have waited behind the last full read; else it arrived within the loop's lag.
        waited_behind = self.more_unread and now - self.last_read_at <= lag + TURN_BUDGET
        self.received_at = max(self.received_at, now - MAX_UNREAD_TIME) if waited_behind else now - lag
        self.more_unread = size >= READ_SIZE
        self.last_read_at = now
        self.read_count += 1

    def clear_received(self) -> None:
        """Drops the data that was received and not processed, because the connection is closing."""
        self.clearLineBuffer()
        self.message = SipMessage()
        self.body = bytearray()

    def _record_unprocessed(self) -> None:
        """Records how much of the received data is held: of an incomplete message, or of deferred ones."""
        incomplete_line = unparsed_bytes(self)
        if not incomplete_line and not self.message.start_line and not self.unprocessed:
            return  # between messages
        size = incomplete_line + self.message.stored_bytes() + len(self.body)
        if size == self.unprocessed or self.is_closing:
            return
        self.owner.unprocessed_changed(self, size)
        if self.message_started_at is None and incomplete_line:
            self.message_started_at = self.wheel.now

    def _read_ahead(self) -> None:
        """Reads on after stale data: the caller may have sent more since, such as a CANCEL."""
        self.reading_ahead = True
        for _ in range(MAX_READS_AHEAD):
            if self.owner.turns.is_deferred(self):
                break
            if self.read_pending():
                self.more_unread = not self._may_read  # else nothing was waiting
                break
        self.reading_ahead = False

    def _route_calls(self) -> None:
        calls = self.unrouted.take()
        if calls:
            self.owner.route_calls(calls)

    def read_pending(self) -> bool:
        """Reads waiting data. True: there was none.

        False: data was read or is deferred, or the connection has ended.
        """
        if self.owner.turns.is_deferred(self):
            return False
        reads = self.read_count
        if self._may_read and not read_now(self.transport):
            return False
        return self.read_count == reads

    @property
    def _may_read(self) -> bool:
        return self.backpressured_at is None and not self.owner.is_paused(self)

    def resume_paused(self) -> None:
        """Resumes reading after a pause for memory. What is read next may have waited in it."""
        self.more_unread = True
        self.last_read_at = self.wheel.now
        if self.backpressured_at is None and not self.is_closing:
            super().resumeProducing()

    def resume_deferred(self) -> None:
        """Resumes processing of the deferred data."""
        self.last_read_at = self.wheel.now
        if self.backpressured_at is None and not self.is_closing and self.owner.is_open(self):
            super().resumeProducing()
        elif self._waits_for_unread():
            self.owner.turns.defer(self)
        else:
            self._route_calls()

    # Twisted's producer callbacks. A connection whose caller does not read responses is not read from either.

    def pauseProducing(self) -> None:
        """Called by Twisted when the caller does not read its responses."""
        self.backpressured_at = self.wheel.now
        self.owner.backpressure_changed(self, True)
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Called by Twisted when the caller reads again."""
        self.backpressured_at = None
        self.owner.backpressure_changed(self, False)
        if not self.owner.turns.is_deferred(self) and not self.owner.is_paused(self):
            super().resumeProducing()

    def stopProducing(self) -> None:
        """Called by Twisted when the connection has ended."""

    # messages

    def lineLengthExceeded(self, line: bytes) -> None:
        """Called by Twisted when a line is longer than MAX_LENGTH."""
        self.owner.message_unreadable(self, SipParseError("a line without end"))

    def lineReceived(self, line: bytes) -> None:
        """Called by Twisted for each line of a message's head."""
        if self.closing_started_at is not None:
            return
        message = self.message
        message.size += len(line) + CRLF_SIZE
        text = line.decode("latin-1")
        try:
            if message.size > MAX_MESSAGE:
                self._raise_too_long()
            elif not message.start_line:
                self._add_start_line(text.strip())
            elif text:
                message.add_header(text)
                self.header_lines += 1
                if self.header_lines % LINES_PER_CHECK == 0:
                    self._defer_if_over_budget()
            else:
                self._head_complete()
        except SipParseError as e:
            self.owner.message_unreadable(self, e)

    @staticmethod
    def _raise_too_long() -> None:
        raise SipParseError("message longer than 16 KiB", 513)

    def _add_start_line(self, text: str) -> None:
        """Sets the start line. Any number of empty lines between messages is skipped."""
        if text:
            self.message.start_line = text
            self.message_started_at = self.wheel.now
        else:
            self.message.size = 0
            self.message_started_at = None

    def _head_complete(self) -> None:
        self.body_length = self.message.content_length()
        if self.body_length:
            self.setRawMode()
        else:
            self._message_complete(b"")

    def rawDataReceived(self, data: bytes) -> None:
        """Called by Twisted with data of a body, which may include the start of the next message."""
        if self.closing_started_at is not None:
            return
        self.body += data
        if len(self.body) < self.body_length:
            return
        body, rest = bytes(self.body[: self.body_length]), bytes(self.body[self.body_length :])
        try:
            self._message_complete(body)
        except SipParseError as e:
            self.owner.message_unreadable(self, e)
        if self.closing_started_at is None:
            self.setLineMode()
            if rest:
                self._defer_if_over_budget()
            super().dataReceived(rest)  # only stored if the connection is deferred

    def _message_complete(self, body: bytes) -> None:
        message = self.message
        self._start_message()
        if message.is_response:
            self.owner.response_received(self, message)
            return
        self.owner.request_received(self, parse_request(message, body))
        if unparsed_bytes(self):  # a connection without further data has taken no more than its share
            self._defer_if_over_budget()

    def _defer_if_over_budget(self) -> None:
        """Leaves the remaining data to a later turn if the callers' budget of this turn is used up."""
        if self.closing_started_at is None and self.owner.turns.is_over_budget:
            self._defer()

    def _defer(self) -> None:
        self.more_unread = True  # data that arrives while deferred waits unread
        self.owner.turns.defer(self)
        super().pauseProducing()

    def answer(self, code: int, request: SipMessage, body: bytes = b"", retry_after: float = 0.0) -> None:
        """Writes the response to a request."""
        self.respond(code, request.echoed_headers(), body, retry_after)

    def respond(
        self, code: int, echoed_headers: bytes | bytearray, body: bytes = b"", retry_after: float = 0.0
    ) -> None:
        """Writes the response to the request that had these headers."""
        self.write(encode_response(code, echoed_headers, body, retry_after))

    def write(self, data: bytes) -> None:
        """Writes a complete message."""
        self.transport.write(data)
        if self.backpressured_at is not None:
            self.owner.unsent_changed(self, unwritten_bytes(self.transport))

    def end_unread(self) -> None:
        """Aborts the connection, because its caller does not read."""
        self.transport.abortConnection()

    def penalize(self, weight: float = 1.0) -> None:
        """Adds penalty points and reports misuse at MAX_PENALTY.

        Guards against a caller that repeats an invalid message as soon as it is rejected. Only messages that
        no correct caller sends count, because closing the connection loses call setups in transit.
        Rejections and crossing CANCELs and BYEs are ordinary and do not count.
        """
        self.penalty += weight
        if self.penalty >= MAX_PENALTY and not self.is_closing:
            self.owner.connection_misused(self)
