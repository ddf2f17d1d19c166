"""One WebSocket connection of a client of the call-control API: handshake, frames and backpressure."""

from __future__ import annotations

import sys
from typing import Protocol

import orjson
from loguru import logger
from twisted.internet import protocol
from wsproto import ConnectionType, WSConnection
from wsproto.events import (
    AcceptConnection,
    BytesMessage,
    CloseConnection,
    Event,
    Ping,
    RejectConnection,
    Request,
    TextMessage,
)
from wsproto.utilities import RemoteProtocolError

from softswitch.configuration import ControlSettings
from softswitch.core.counters import CountFamily
from softswitch.core.memory_budget import Holder
from softswitch.core.switch import Switch
from softswitch.interface import CallId
from softswitch.net.control_messages import VERSION, Message
from softswitch.net.twisted_internals import peer_has_closed, read_now, unwritten_bytes
from softswitch.net.unrouted_calls import UnroutedCalls

PATH = "/v1/calls"
READ_SIZE = 16_384  # max bytes of one read
MAX_MESSAGE = 24_576  # characters: room for a description of 16 KiB in base64
MAX_UNREAD = 262_144  # max bytes queued for a client that does not read
# Close codes of RFC 6455.
UNSUPPORTED_DATA, MESSAGE_TOO_BIG, TRY_AGAIN_LATER = 1003, 1009, 1013
MAX_HEADERS = 64  # of a handshake; the parser keeps them as long as the connection lasts


class ConnectionOwner(Protocol):
    """The server that owns a connection, as the connection uses it."""

    switch: Switch
    settings: ControlSettings
    accepted: dict[ClientConnection, None]  # connections whose handshake is complete

    def connection_lost(self, connection: ClientConnection) -> None:
        """Called when the connection has ended."""

    def client_disconnected(self, connection: ClientConnection) -> None:
        """Called when the client has closed the connection, although what it wrote may not be read yet."""

    def message_received(self, connection: ClientConnection, text: str) -> None:
        """Called for each complete text message."""

    def route_calls(self, calls: list[CallId]) -> None:
        """Routes accepted calls, after what the client has written is read."""


class ClientConnection(protocol.Protocol):
    """The WebSocket connection of one client."""

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.websocket = WSConnection(ConnectionType.SERVER)
        self.is_accepted = False  # whether the handshake is complete
        self.is_over = False
        self.is_disconnected = False  # the client has closed; what it wrote before may still be unread
        self.opened_at = self.last_data_at = server.switch.wheel.now
        self.pending: set[CallId] = set()  # ids of the client's call setups that are not answered yet
        self.watched: set[CallId] = set()  # ids of the calls whose events the client receives
        self._backpressured = False
        self._turns = server.switch.turns
        self._held_event: Event | None = None  # the next event, while the connection is deferred
        self._more_unread = False  # more data may have been waiting behind the last read
        self.unrouted = UnroutedCalls(server.switch.wheel)
        self._text = ""  # received part of an incomplete message
        self._text_bytes = 0  # of memory that it holds

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_SIZE
        self.transport.registerProducer(self, True)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted when the connection has ended."""
        self.is_over = True
        self._turns.forget(self)
        self._text = ""
        self._record_text()
        self.server.switch.unsent.forget(self)
        self.server.connection_lost(self)

    # Twisted's producer callbacks. A client that does not read is not read from either.

    def pauseProducing(self) -> None:
        """Called by Twisted when the client does not read."""
        self._backpressured = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Called by Twisted when the client reads again."""
        self._backpressured = False
        self.server.switch.unsent.forget(self)
        if not self._turns.is_deferred(self):
            self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Called by Twisted when the connection has ended."""

    def _write(self, event: Event) -> None:
        if self.is_over:
            return
        data = self.websocket.send(event)
        self.transport.write(data)
        if self._backpressured:
            self._unsent_changed(unwritten_bytes(self.transport))

    def _unsent_changed(self, size: int) -> None:
        switch = self.server.switch
        if size <= MAX_UNREAD:
            switch.unsent.update(switch.wheel.now, self, size)
            return
        logger.warning("control client: {} bytes unread, connection closed", size)
        self.end_unread()

    def end_unread(self) -> None:
        """Aborts the connection, because its client does not read."""
        self.is_over = True
        self.transport.abortConnection()

    def send(self, message: Message) -> None:
        """Sends an event."""
        self._write(TextMessage(data=orjson.dumps({"v": VERSION} | message).decode()))

    def send_error(self, code: str, text: str, call: CallId | None = None) -> None:
        """Sends an error event."""
        self.server.switch.counters[CountFamily.CONTROL_ERRORS + code] += 1
        message: Message = {"event": "error", "code": code, "text": text}
        self.send(message | ({"id": call} if call else {}))

    def ping(self) -> None:
        """Sends a WebSocket ping."""
        self._write(Ping())

    def close(self, code: int, reason: str) -> None:
        """Closes the connection, with a close frame if the handshake is complete."""
        if self.is_over:
            return
        if self.is_accepted:
            self._write(CloseConnection(code=code, reason=reason))
        self._disconnect()

    def _disconnect(self) -> None:
        self.is_over = True
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when data is received."""
        self.last_data_at = self.server.switch.wheel.now
        self._detect_disconnect()
        self._more_unread = len(data) >= READ_SIZE
        self._process(data)

    def resume_deferred(self) -> None:
        """Processes the received data that an earlier turn had no time for, then reads on."""
        self._detect_disconnect()
        if self._held_event is None and not self._backpressured:
            self._more_unread = False  # unless the read below is full again
            read_now(self.transport)
        self._process(b"")
        if not self.is_over and not self._backpressured and not self._turns.is_deferred(self):
            self.transport.resumeProducing()

    def _process(self, data: bytes) -> None:
        """Handles received data, then routes the accepted calls unless data is left for a later turn."""
        self._parse(data)
        if self.is_over or self._turns.is_deferred(self):
            return
        if self._more_unread and self.unrouted.may_wait:
            self._defer()
        elif self.unrouted:
            self.server.route_calls(self.unrouted.take())

    def _defer(self) -> None:
        self.transport.pauseProducing()
        self._turns.defer(self)

    def _parse(self, data: bytes) -> None:
        try:
            if data:
                self.websocket.receive_data(data)
            self._handle_events()
        except RemoteProtocolError as e:
            logger.warning("control client: WebSocket protocol error, connection closed: {}", e)
            if e.event_hint is not None:
                self._write(e.event_hint)
            self._disconnect()

    def _detect_disconnect(self) -> None:
        if not self.is_disconnected and peer_has_closed(self.transport):
            self.is_disconnected = True
            self.server.client_disconnected(self)

    def _handle_events(self) -> None:
        """Handles the received events, as far as the turn's budget allows. The rest stays in the parser."""
        held_event, self._held_event = self._held_event, None
        if held_event is not None:
            self._handle(held_event)
        is_first = held_event is None
        for event in self.websocket.events():
            if self.is_over:
                return
            if self._turns.is_over_budget and not is_first:
                self._held_event = event
                self._defer()
                return
            is_first = False
            self._handle(event)

    def _handle(self, event: Event) -> None:
        match event:
            case Request():
                self._handshake(event)
            case TextMessage():
                self._text_received(event)
            case BytesMessage():
                self.close(UNSUPPORTED_DATA, "text messages only")
            case Ping():
                self._write(event.response())
            case CloseConnection():
                self._write(event.response())
                self._disconnect()

    def _text_received(self, event: TextMessage) -> None:
        self._text += event.data
        if len(self._text) > MAX_MESSAGE:
            self.close(MESSAGE_TOO_BIG, "longer than a message may be")
        elif event.message_finished:
            text, self._text = self._text, ""
            self._record_text()
            self.server.message_received(self, text)
        elif not self.server.switch.memory.allows(0, len(self._text)):
            self.close(TRY_AGAIN_LATER, "no memory for an incomplete message")
        else:
            self._record_text()

    def _record_text(self) -> None:
        """Records how much memory the received part of an incomplete message holds."""
        held = sys.getsizeof(self._text) if self._text else 0
        self.server.switch.memory.change(Holder.RECEIVED, held - self._text_bytes)
        self._text_bytes = held

    def _handshake(self, request: Request) -> None:
        status = self._handshake_error(request)
        if status is None:
            self.is_accepted = True
            self.server.accepted[self] = None
            self._write(AcceptConnection())
        else:
            self._write(RejectConnection(status_code=status))
            self._disconnect()

    def _handshake_error(self, request: Request) -> int | None:
        """Returns the HTTP status with which to reject a handshake; None accepts it."""
        settings = self.server.settings
        origins = [value for name, value in request.extra_headers if name.lower() == b"origin"]
        if request.target.partition("?")[0] != PATH:
            return 404
        if len(request.extra_headers) > MAX_HEADERS:
            return 431
        if origins and origins[0].decode("latin-1") not in settings.origins:
            return 403  # a foreign web page in a browser on this machine
        if len(self.server.accepted) >= settings.most_sockets:
            return 503
        return None
