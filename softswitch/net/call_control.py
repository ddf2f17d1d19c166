"""The call-control API over WebSocket, on which client programs place, watch and release calls.

The API is described in docs/control-api.md.
"""

from __future__ import annotations

import binascii
from base64 import b64decode, b64encode
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from loguru import logger
from twisted.internet.protocol import Factory, Protocol
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
from softswitch.core.call import FailureReason, ReleaseCause, SetupRequest
from softswitch.core.counters import Count, CountFamily
from softswitch.core.switch import Switch

VERSION = 1
PATH = "/v1/calls"
MAX_MESSAGE = 24_576  # characters: room for a description of 16 KiB in base64
MAX_UNREAD = 262_144  # max bytes queued for a client that does not read
MAX_ENDED_CALLS = 2_048  # ended calls whose last event is retained for later watchers
MAX_CAUSE = 127
HANDSHAKE_TIMEOUT = 2_000.0  # ms from connecting to the end of the handshake
PING_INTERVAL = 20_000.0  # ms of silence from which a client is pinged at each sweep
SILENCE_TIMEOUT = 50_000.0  # ms of silence after which a connection is closed
SWEEP_INTERVAL = 1_000.0  # ms between two checks of the connections
# Close codes of RFC 6455.
GOING_AWAY, UNSUPPORTED_DATA, MESSAGE_TOO_BIG = 1001, 1003, 1009
# Error codes: one for each failure reason of the core, and those for invalid messages.
CODES = {reason: reason.value for reason in FailureReason}
BAD_JSON, BAD_MESSAGE, BAD_VERSION = "bad_json", "bad_message", "bad_version"

Message = dict[str, Any]  # one JSON object, as sent or received


@dataclass(slots=True)
class PlacedCall:
    """A call that was placed through this API and has not ended."""

    watchers: set[ClientConnection] = field(default_factory=set)  # connections that receive its events
    last_event: Message = field(default_factory=dict)  # last event that was sent to the watchers
    established: bool = False
    unwatched_at: float | None = None  # when its last watcher stopped


def read_number(message: Message, name: str, default: float | None = None) -> float:
    """Returns a numeric field of a message; raises ValueError if it is not a number."""
    value = message.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is no number")
    return value


def read_integer(message: Message, name: str, default: int) -> int:
    """Returns an integer field of a message; raises ValueError if it is not an integer."""
    value = read_number(message, name, default)
    if value != int(value):
        raise ValueError(f"{name} is no whole number")
    return int(value)


def read_text(message: Message, name: str, default: str | None = None) -> str:
    """Returns a string field of a message; raises ValueError if it is not a string."""
    value = message.get(name, default)
    if not isinstance(value, str):
        raise ValueError(f"{name} is no text")
    return value


def read_setup(message: Message) -> SetupRequest:
    """Builds the call setup that a `place` message requests; raises ValueError with the reason if invalid."""
    try:
        description = b64decode(read_text(message, "description_b64", ""), validate=True)
    except binascii.Error:
        raise ValueError("description_b64 is not base64") from None
    return SetupRequest(
        read_text(message, "id").lower(),
        read_text(message, "class"),
        read_text(message, "number"),
        read_number(message, "patience_ms"),
        description,
        read_integer(message, "dest", -1),
        message.get("retry") is True,
        read_number(message, "width", 1),
        read_text(message, "tenant", ""),
    )


class ClientConnection(Protocol):
    """The WebSocket connection of one client."""

    def __init__(self, server: CallControlServer) -> None:
        self.server = server
        self.websocket = WSConnection(ConnectionType.SERVER)
        self.is_accepted = False  # whether the handshake is complete
        self.is_over = False
        self.opened_at = self.last_data_at = server.switch.wheel.now
        self.pending: set[str] = set()  # ids of the client's call setups that are not answered yet
        self.watched: set[str] = set()  # ids of the calls whose events the client receives
        self._backpressured = False
        self._unread = 0  # bytes written since the client stopped reading
        self._text = ""  # received part of an incomplete message

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted when the connection has ended."""
        self.is_over = True
        self.server.connection_lost(self)

    # Twisted's producer callbacks. A client that does not read is not read from either.

    def pauseProducing(self) -> None:
        """Called by Twisted when the client does not read."""
        self._backpressured = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Called by Twisted when the client reads again."""
        self._backpressured = False
        self._unread = 0
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Called by Twisted when the connection has ended."""

    def _write(self, event: Event) -> None:
        if self.is_over:
            return
        data = self.websocket.send(event)
        self._unread = self._unread + len(data) if self._backpressured else 0
        if self._unread > MAX_UNREAD:
            self.is_over = True
            logger.warning("control client: {} bytes unread, connection closed", self._unread)
            self.transport.abortConnection()
            return
        self.transport.write(data)

    def send(self, message: Message) -> None:
        """Sends an event."""
        self._write(TextMessage(data=orjson.dumps({"v": VERSION} | message).decode()))

    def send_error(self, code: str, text: str, call: str | None = None) -> None:
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
        try:
            self.websocket.receive_data(data)
            for event in self.websocket.events():
                if self.is_over:
                    return
                self._handle(event)
        except RemoteProtocolError as e:
            logger.warning("control client: WebSocket protocol error, connection closed: {}", e)
            if e.event_hint is not None:
                self._write(e.event_hint)
            self._disconnect()

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
            self.server.message_received(self, text)

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
        if origins and origins[0].decode("latin-1") not in settings.origins:
            return 403  # a foreign web page in a browser on this machine
        if len(self.server.accepted) >= settings.most_sockets:
            return 503
        return None


class CallControlServer(Factory):
    """Owner of the clients of the call-control API and of their calls. Implements `core.call.Caller`."""

    noisy = False
    calls_survive = False  # clients watch their calls on connections to this process

    def __init__(self, settings: ControlSettings, switch: Switch, max_connections: int = 1_000) -> None:
        self.settings = settings
        self.switch = switch
        # Includes handshakes in progress.
        self.max_connections = min(2 * settings.most_sockets, max_connections)
        self.accepted: dict[ClientConnection, None] = {}
        self.connecting: dict[ClientConnection, None] = {}  # until the next sweep after the handshake
        self.calls: dict[str, PlacedCall] = {}
        self.ended: OrderedDict[str, Message] = OrderedDict()  # last event of ended calls, by call id
        self._handlers: dict[str, Callable[[ClientConnection, str, Message], None]] = {
            "place": self._place,
            "watch": self._watch,
            "release": self._release,
        }
        switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)

    def buildProtocol(self, addr: object) -> ClientConnection | None:
        """Called by Twisted when a client connects."""
        if (
            len(self.connecting.keys() | self.accepted.keys()) >= self.max_connections
            and not self._shed_one()
        ):
            self.switch.counters[Count.CONTROL_SOCKETS_REFUSED] += 1
            return None
        connection = ClientConnection(self)
        self.connecting[connection] = None
        return connection

    def _shed_one(self) -> bool:
        """Aborts the oldest connection whose handshake is not complete; False if there is none."""
        waiting = (c for c in self.connecting if not c.is_accepted and not c.is_over)
        victim = next(waiting, None)
        if victim is None:
            return False
        victim.is_over = True
        self.connecting.pop(victim)
        victim.transport.abortConnection()
        return True

    def connection_lost(self, connection: ClientConnection) -> None:
        """Abandons the client's pending call setups. Established calls go on, and may be watched again."""
        self.accepted.pop(connection, None)
        self.connecting.pop(connection, None)
        for call in list(connection.pending):
            self._abandon(connection, call)
        for call in list(connection.watched):
            self._stop_watching(connection, call)

    # client requests

    def message_received(self, connection: ClientConnection, text: str) -> None:
        """Carries out a client's request, or answers it with an error."""
        self.switch.counters[Count.CONTROL_MESSAGES] += 1
        try:
            message = orjson.loads(text)
        except ValueError:
            connection.send_error(BAD_JSON, "not JSON")
            return
        if not isinstance(message, dict) or message.get("v") != VERSION:
            connection.send_error(BAD_VERSION, f'an object with "v":{VERSION} is wanted')
            return
        verb, id_ = message.get("do"), message.get("id")
        handler = self._handlers.get(verb) if isinstance(verb, str) else None
        call = id_.lower() if isinstance(id_, str) else None
        if handler is None or call is None:
            connection.send_error(BAD_MESSAGE, "do is place, watch or release, and id a text", call)
            return
        try:
            handler(connection, call, message)
        except (ValueError, OverflowError) as e:
            connection.send_error(BAD_MESSAGE, str(e), call)

    def _place(self, connection: ClientConnection, call: str, message: Message) -> None:
        setup = read_setup(message)
        if call in self.calls or call in self.ended:
            connection.send_error(CODES[FailureReason.DUPLICATE], "this id was placed before", call)
            return
        if len(connection.pending) >= self.settings.most_open:
            code = CODES[FailureReason.TABLE_FULL]
            connection.send_error(code, "too many set-ups wait for their answer", call)
            return
        placed = self.calls[call] = PlacedCall()
        self._start_watching(connection, call, placed)
        connection.pending.add(call)
        self._notify(call, {"event": "setting_up"})
        reason = self.switch.request_setup(setup, self, connection)
        if reason is not None:
            del self.calls[call]
            connection.pending.discard(call)
            connection.watched.discard(call)
            connection.send_error(CODES[reason], "not taken in", call)

    def _watch(self, connection: ClientConnection, call: str, message: Message) -> None:
        placed = self.calls.get(call)
        if placed is not None:
            self._start_watching(connection, call, placed)
            connection.send(placed.last_event)
        elif call in self.ended:
            connection.send(self.ended[call])
        else:
            code = CODES[FailureReason.UNKNOWN_CALL]
            connection.send_error(code, "no call of this id was placed here", call)

    def _release(self, connection: ClientConnection, call: str, message: Message) -> None:
        cause = read_integer(message, "cause", ReleaseCause.NORMAL)
        if not 0 <= cause <= MAX_CAUSE:
            raise ValueError(f"cause is 0 to {MAX_CAUSE}")
        placed = self.calls.get(call)
        if placed is None:
            connection.send_error(CODES[FailureReason.UNKNOWN_CALL], "no call of this id is open", call)
        elif placed.established:
            self._release_established(call, cause)
        elif not self._abandon(connection, call):
            code = CODES[FailureReason.UNKNOWN_CALL]
            connection.send_error(code, "another connection is still setting up this call", call)

    def _release_established(self, call: str, cause: int) -> None:
        self.switch.release_call(call, cause, self)
        self.call_released(call, cause)

    def _abandon(self, connection: ClientConnection, call: str) -> bool:
        """Ends a call that is still being set up. False: another connection placed it."""
        if not self.switch.abandon_call(call, self, connection):
            return False
        self.call_failed(call, FailureReason.ABANDONED, 0.0)
        return True

    # watchers

    def _start_watching(self, connection: ClientConnection, call: str, placed: PlacedCall) -> None:
        placed.watchers.add(connection)
        placed.unwatched_at = None
        connection.watched.add(call)

    def _stop_watching(self, connection: ClientConnection, call: str) -> None:
        placed = self.calls.get(call)
        connection.watched.discard(call)
        if placed is not None:
            placed.watchers.discard(connection)
            if not placed.watchers:
                placed.unwatched_at = self.switch.wheel.now

    def _notify(self, call: str, event: Message) -> None:
        """Sends an event to all watchers of a call."""
        placed = self.calls.get(call)
        if placed is None:
            return
        placed.last_event = {"id": call} | event
        for connection in list(placed.watchers):
            connection.send(placed.last_event)
        if event["event"] != "setting_up":
            for connection in placed.watchers:
                connection.pending.discard(call)

    def _notify_end(self, call: str, event: Message) -> None:
        """Sends the last event of a call and retains it for later watchers."""
        self._notify(call, event)
        placed = self.calls.pop(call, None)
        if placed is None:
            return
        for connection in placed.watchers:
            connection.watched.discard(call)
        self.ended[call] = placed.last_event
        if len(self.ended) > MAX_ENDED_CALLS:
            self.ended.popitem(last=False)

    # core.call.Caller

    def call_established(self, call: str, description: bytes) -> None:
        """Notifies the watchers that the call is established."""
        if call in self.calls:
            self.calls[call].established = True
            encoded = b64encode(description).decode()
            self._notify(call, {"event": "stands", "description_b64": encoded})

    def call_failed(self, call: str, reason: FailureReason, retry_after: float) -> None:
        """Notifies the watchers that the call could not be established."""
        event: Message = {"event": "turned_away", "code": CODES[reason]}
        if retry_after > 0:
            event["later_ms"] = round(retry_after)
        self._notify_end(call, event)

    def call_released(self, call: str, cause: int) -> None:
        """Notifies the watchers that an established call has ended."""
        self._notify_end(call, {"event": "released", "cause": cause})

    def stop(self) -> None:
        """Closes the clients' connections at the end of the process."""
        for connection in list(self.accepted):
            connection.close(GOING_AWAY, "the softswitch stops")

    # timers

    def _sweep(self) -> None:
        now = self.switch.wheel.now
        self.switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)
        for connection in list(self.connecting):
            if connection.is_accepted or connection.is_over:
                self.connecting.pop(connection)
            elif now - connection.opened_at > HANDSHAKE_TIMEOUT:
                connection.transport.abortConnection()
        for connection in list(self.accepted):
            self._check_silence(now - connection.last_data_at, connection)
        unwatched_timeout = 1000.0 * self.settings.keep_s
        for call, placed in list(self.calls.items()):
            if placed.unwatched_at is not None and now - placed.unwatched_at > unwatched_timeout:
                self._release_established(call, ReleaseCause.NORMAL)

    @staticmethod
    def _check_silence(silent_for: float, connection: ClientConnection) -> None:
        if silent_for > SILENCE_TIMEOUT:
            logger.warning("control client: silent for {:.0f} ms, connection closed", silent_for)
            connection.transport.abortConnection()
        elif silent_for > PING_INTERVAL:
            connection.ping()
