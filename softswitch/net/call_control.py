"""The call-control API over WebSocket, on which client programs place, watch and release calls.

The API is described in docs/control-api.md.
"""

from __future__ import annotations

from base64 import b64encode
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson
from loguru import logger
from twisted.internet.protocol import Factory

from softswitch.configuration import ControlSettings
from softswitch.core.call import FailureReason, ReleaseCause
from softswitch.core.call_id import parse_callers_id
from softswitch.core.counters import Count
from softswitch.core.memory_budget import Holder
from softswitch.core.switch import Switch
from softswitch.interface import CallId
from softswitch.net.control_connection import ClientConnection
from softswitch.net.control_messages import (
    BAD_JSON,
    BAD_MESSAGE,
    BAD_VERSION,
    CODES,
    VERSION,
    Message,
    read_integer,
    read_setup,
)

MAX_ENDED_CALLS = 2_048  # ended calls whose last event is retained for later watchers
MAX_CAUSE = 127
EVENTS_DIVISOR = 4  # events and watches may hold 1 / EVENTS_DIVISOR of the memory for peers
WATCH_BYTES = 256  # of memory for one client's watch of one call
ENDED_CALL_BYTES = 512  # of memory for the last event of an ended call
CLIENT_CONNECTION_BYTES = 32_768  # of memory for a connection, with the headers of its handshake
PLACED_CALL_BYTES = 1_024  # of memory for an open call, besides that of the call table
HANDSHAKE_TIMEOUT = 2_000.0  # ms from connecting to the end of the handshake
PING_INTERVAL = 20_000.0  # ms of silence from which a client is pinged at each sweep
SILENCE_TIMEOUT = 50_000.0  # ms of silence after which a connection is closed
SWEEP_INTERVAL = 1_000.0  # ms between two checks of the connections
GOING_AWAY = 1001  # close code of RFC 6455

RequestHandler = Callable[[ClientConnection, CallId, Message], None]


@dataclass(slots=True)
class PlacedCall:
    """A call that was placed through this API and has not ended."""

    watchers: set[ClientConnection] = field(default_factory=set)  # connections that receive its events
    last_event: Message = field(default_factory=dict)  # last event that was sent to the watchers
    established: bool = False
    unwatched_at: float | None = None  # when its last watcher stopped
    description_bytes: int = 0  # of memory for the description in the last event


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
        self.calls: dict[CallId, PlacedCall] = {}
        self.ended: OrderedDict[CallId, Message] = OrderedDict()  # last event of ended calls, by call id
        self._handlers: dict[str, RequestHandler] = {
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
        self.switch.memory.change(Holder.CONNECTIONS, CLIENT_CONNECTION_BYTES)
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
        self.switch.memory.change(Holder.CONNECTIONS, -CLIENT_CONNECTION_BYTES)
        self.accepted.pop(connection, None)
        self.connecting.pop(connection, None)
        self.client_disconnected(connection)
        self.switch.connection_ended(connection, connection.watched)
        for call in list(connection.watched):
            self._stop_watching(connection, call)

    def client_disconnected(self, connection: ClientConnection) -> None:
        """Abandons the pending call setups of a client that has closed its connection."""
        for call in list(connection.pending):
            self._abandon(connection, call)

    def route_calls(self, calls: list[CallId]) -> None:
        """Routes accepted calls."""
        for call in calls:
            self.switch.route_call(call)

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
        call: CallId | None = None
        try:
            call = parse_callers_id(message.get("id"))
            self._handler_of(message)(connection, call, message)
        except (ValueError, OverflowError) as e:
            connection.send_error(BAD_MESSAGE, str(e), call)

    def _handler_of(self, message: Message) -> RequestHandler:
        """Returns the handler of a request; raises ValueError if there is none."""
        verb = message.get("do")
        handler = self._handlers.get(verb) if isinstance(verb, str) else None
        if handler is None:
            raise ValueError("do is place, watch or release")
        return handler

    def _place(self, connection: ClientConnection, call: CallId, message: Message) -> None:
        setup = read_setup(call, message)
        if connection.is_disconnected:  # nobody waits for the answer
            self.switch.counters[Count.SETUPS_AFTER_DISCONNECT] += 1
            return
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
        reason = self.switch.accept_call(setup, self, connection, answer_bytes=PLACED_CALL_BYTES)
        if reason is None:
            connection.unrouted.add(call)
        else:
            self._stop_watching(connection, call)
            del self.calls[call]
            connection.pending.discard(call)
            connection.send_error(CODES[reason], "not taken in", call)

    def _watch(self, connection: ClientConnection, call: CallId, message: Message) -> None:
        placed = self.calls.get(call)
        if placed is not None and not self._may_hold(WATCH_BYTES):
            code = CODES[FailureReason.TABLE_FULL]
            connection.send_error(code, "no memory for one more watcher", call)
        elif placed is not None:
            self._start_watching(connection, call, placed)
            connection.send(placed.last_event)
        elif call in self.ended:
            connection.send(self.ended[call])
        else:
            code = CODES[FailureReason.UNKNOWN_CALL]
            connection.send_error(code, "no call of this id was placed here", call)

    def _release(self, connection: ClientConnection, call: CallId, message: Message) -> None:
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

    def _release_established(self, call: CallId, cause: int) -> None:
        self.switch.release_call(call, cause, self)
        self.call_released(call, cause)

    def _abandon(self, connection: ClientConnection, call: CallId) -> bool:
        """Ends a call that is still being set up. False: another connection placed it."""
        if not self.switch.abandon_call(call, self, connection):
            return False
        self.call_failed(call, FailureReason.ABANDONED, 0.0)
        return True

    # watchers

    def _may_hold(self, additional: int) -> bool:
        """Whether events and watches may hold so many bytes more."""
        memory = self.switch.memory
        return memory.held[Holder.EVENTS] + additional <= memory.limit // EVENTS_DIVISOR

    def _start_watching(self, connection: ClientConnection, call: CallId, placed: PlacedCall) -> None:
        if connection not in placed.watchers:
            self.switch.memory.change(Holder.EVENTS, WATCH_BYTES)
        placed.watchers.add(connection)
        placed.unwatched_at = None
        connection.watched.add(call)

    def _stop_watching(self, connection: ClientConnection, call: CallId) -> None:
        placed = self.calls.get(call)
        connection.watched.discard(call)
        if placed is not None and connection in placed.watchers:
            self.switch.memory.change(Holder.EVENTS, -WATCH_BYTES)
            placed.watchers.discard(connection)
            if not placed.watchers:
                placed.unwatched_at = self.switch.wheel.now

    def _notify(self, call: CallId, event: Message) -> None:
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

    def _notify_end(self, call: CallId, event: Message) -> None:
        """Sends the last event of a call and retains it for later watchers."""
        self._notify(call, event)
        placed = self.calls.pop(call, None)
        if placed is None:
            return
        for connection in placed.watchers:
            connection.watched.discard(call)
        held = WATCH_BYTES * len(placed.watchers) + placed.description_bytes
        self.switch.memory.change(Holder.EVENTS, ENDED_CALL_BYTES - held)
        self.ended[call] = placed.last_event
        while len(self.ended) > MAX_ENDED_CALLS or (self.ended and not self._may_hold(0)):
            self.ended.popitem(last=False)
            self.switch.memory.change(Holder.EVENTS, -ENDED_CALL_BYTES)

    # core.call.Caller

    def call_established(self, call: CallId, description: bytes) -> None:
        """Notifies the watchers that the call is established."""
        placed = self.calls.get(call)
        if placed is not None:
            placed.established = True
            encoded = b64encode(description).decode()
            self._notify(call, {"event": "stands", "description_b64": encoded})
            if self._may_hold(len(encoded)):
                placed.description_bytes = len(encoded)
                self.switch.memory.change(Holder.EVENTS, len(encoded))
            else:  # clients that watch the call later are sent the event without its description
                placed.last_event = {"id": call, "event": "stands"}

    def call_failed(self, call: CallId, reason: FailureReason, retry_after: float) -> None:
        """Notifies the watchers that the call could not be established."""
        event: Message = {"event": "turned_away", "code": CODES[reason]}
        if retry_after > 0:
            event["later_ms"] = round(retry_after)
        self._notify_end(call, event)

    def call_released(self, call: CallId, cause: int) -> None:
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
