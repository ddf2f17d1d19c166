"""The WebSocket front: desk tools place, watch and release calls with JSON messages (docs/control-api.md)."""

from __future__ import annotations

import binascii
from base64 import b64decode, b64encode
from collections import OrderedDict
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
    Ping,
    RejectConnection,
    Request,
    TextMessage,
)
from wsproto.utilities import RemoteProtocolError

from softswitch.configuration import ControlSettings
from softswitch.core.switch import NORMAL, Order, Switch, Verdict

VERSION = 1
PATH = "/v1/calls"
LONGEST = 24_576  # characters of one message: 16 KiB of description, written in base64
MOST_UNREAD = 262_144  # bytes that may wait for a client that doesn't read
MOST_ENDED = 2_048  # ended calls whose last event is kept for who watches later
HANDSHAKE, PING_EVERY, SILENT_AFTER = 2_000.0, 20_000.0, 50_000.0  # ms
# One code for each outcome of the core, and those of the wire itself.
CODES = {verdict: verdict.value for verdict in Verdict}
BAD_JSON, BAD_MESSAGE, BAD_VERSION = "bad_json", "bad_message", "bad_version"


@dataclass(slots=True)
class Placed:
    """A call of this front, from its set-up to its end."""

    watchers: set[ControlSocket] = field(default_factory=set)
    last: dict[str, Any] = field(default_factory=dict)  # the newest event
    stands: bool = False
    alone_since: float | None = None  # when its last watcher went


def number_of(said: dict[str, Any], name: str, default: float | None = None) -> float:
    value = said.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is no number")
    return value


def whole_of(said: dict[str, Any], name: str, default: int) -> int:
    value = number_of(said, name, default)
    if value != int(value):
        raise ValueError(f"{name} is no whole number")
    return int(value)


def text_of(said: dict[str, Any], name: str, default: str | None = None) -> str:
    value = said.get(name, default)
    if not isinstance(value, str):
        raise ValueError(f"{name} is no text")
    return value


def order_of(said: dict[str, Any]) -> Order:
    """The set-up that a `place` asks for; ValueError with a plain text if it can't be read."""
    try:
        description = b64decode(text_of(said, "description_b64", ""), validate=True)
    except binascii.Error:
        raise ValueError("description_b64 is not base64") from None
    return Order(
        text_of(said, "id").lower(),
        text_of(said, "class"),
        text_of(said, "number"),
        number_of(said, "patience_ms"),
        description,
        whole_of(said, "dest", -1),
        said.get("retry") is True,
        number_of(said, "width", 1),
    )


class ControlSocket(Protocol):
    """One client."""

    def __init__(self, front: ControlFront) -> None:
        self.front, self.ws = front, WSConnection(ConnectionType.SERVER)
        self.ready = self.choked = self.over = False
        self.unread, self.text = 0, ""
        self.since = self.heard = front.switch.wheel.now
        self.opened: set[str] = set()  # its set-ups that wait for their answer
        self.watched: set[str] = set()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def connectionLost(self, reason: object = None) -> None:
        self.over = True
        self.front.closed(self)

    # A producer's three calls. A client that doesn't read isn't read from either.
    def pauseProducing(self) -> None:
        self.choked = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.choked, self.unread = False, 0
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        pass

    def _write(self, event: Any) -> None:
        if self.over:
            return
        data = self.ws.send(event)
        self.unread = self.unread + len(data) if self.choked else 0
        if self.unread > MOST_UNREAD:
            self.over = True
            logger.warning("control client: {} bytes unread, connection closed", self.unread)
            self.transport.abortConnection()
            return
        self.transport.write(data)

    def say(self, event: dict[str, Any]) -> None:
        self._write(TextMessage(data=orjson.dumps({"v": VERSION} | event).decode()))

    def error(self, code: str, text: str, call: str | None = None) -> None:
        self.front.switch.count[f"control {code}"] += 1
        self.say({"event": "error", "code": code, "text": text} | ({"id": call} if call else {}))

    def end(self, code: int, why: str) -> None:
        if not self.over:
            if self.ready:
                self._write(CloseConnection(code=code, reason=why))
            self.over = True
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.front.switch.wheel.now
        try:
            self.ws.receive_data(data)
            for event in self.ws.events():
                if self.over:
                    return
                self._event(event)
        except RemoteProtocolError as e:
            logger.warning("control client: not WebSocket, connection closed: {}", e)
            if e.event_hint is not None:
                self._write(e.event_hint)
            self.over = True
            self.transport.loseConnection()

    def _event(self, event: Any) -> None:
        match event:
            case Request():
                self._greet(event)
            case TextMessage():
                self.text += event.data
                if len(self.text) > LONGEST:
                    return self.end(1009, "longer than a message may be")
                if event.message_finished:
                    text, self.text = self.text, ""
                    self.front.asked(self, text)
            case BytesMessage():
                self.end(1003, "text messages only")
            case Ping():
                self._write(event.response())
            case CloseConnection():
                self._write(event.response())
                self.over = True
                self.transport.loseConnection()
        return None

    def _greet(self, request: Request) -> None:
        origin = next((v.decode("latin-1") for k, v in request.extra_headers if k.lower() == b"origin"), None)
        if request.target.partition("?")[0] != PATH:
            refusal = 404
        elif origin is not None and origin not in self.front.set.origins:
            refusal = 403  # a web page of somebody else's in a browser on this machine
        elif len(self.front.sockets) >= self.front.set.most_sockets:
            refusal = 503
        else:
            self.ready = True
            self.front.sockets[self] = None
            self._write(AcceptConnection())
            return
        self._write(RejectConnection(status_code=refusal))
        self.over = True
        self.transport.loseConnection()


class ControlFront(Factory):
    """All clients of the call-control API. Fulfils `core.switch.Caller`."""

    noisy = False
    survives = False  # a desk tool watches its calls on this program's sockets

    def __init__(self, settings: ControlSettings, most: int = 1_000) -> None:
        self.set, self.most = settings, min(2 * settings.most_sockets, most)  # connections, greeted or not
        self.switch: Switch
        self.sockets: dict[ControlSocket, None] = {}
        self.greeting: dict[ControlSocket, None] = {}
        self.calls: dict[str, Placed] = {}
        self.ended: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def attach(self, switch: Switch) -> None:
        self.switch = switch
        switch.wheel.at(switch.wheel.now + 1000.0, self._sweep)

    def buildProtocol(self, addr: object) -> ControlSocket | None:
        # A socket that was greeted stands in both until the next sweep.
        if len(self.greeting.keys() | self.sockets.keys()) >= self.most:
            victim = next((s for s in self.greeting if not s.ready and not s.over), None)
            if victim is None:
                self.switch.count["control sockets turned away"] += 1
                return None
            victim.over = True  # who connects and says nothing goes first, the longest there
            self.greeting.pop(victim)
            victim.transport.abortConnection()
        socket = ControlSocket(self)
        self.greeting[socket] = None
        return socket

    def closed(self, socket: ControlSocket) -> None:
        """Its set-ups are given up; its calls that stand go on, for who comes back and watches them."""
        self.sockets.pop(socket, None)
        self.greeting.pop(socket, None)
        for call in list(socket.opened):
            self._end_set_up(call, Verdict.GIVEN_UP)
        for call in list(socket.watched):
            self._unwatch(socket, call)

    # what clients ask

    def asked(self, socket: ControlSocket, text: str) -> None:
        self.switch.count["control messages"] += 1
        try:
            said = orjson.loads(text)
        except ValueError:
            return socket.error(BAD_JSON, "not JSON")
        if not isinstance(said, dict) or said.get("v") != VERSION:
            return socket.error(BAD_VERSION, f'an object with "v":{VERSION} is wanted')
        act = ASKS.get(said["do"]) if isinstance(said.get("do"), str) else None
        call = said["id"].lower() if isinstance(said.get("id"), str) else None
        if act is None or call is None:
            return socket.error(BAD_MESSAGE, "do is place, watch or release, and id a text", call)
        try:
            act(self, socket, call, said)
        except (ValueError, OverflowError) as e:
            socket.error(BAD_MESSAGE, str(e), call)

    def _place(self, socket: ControlSocket, call: str, said: dict[str, Any]) -> None:
        order = order_of(said)
        if call in self.calls or call in self.ended:
            return socket.error(CODES[Verdict.REPEATED], "this id was placed before", call)
        if len(socket.opened) >= self.set.most_open:
            return socket.error(CODES[Verdict.TABLE_FULL], "too many set-ups wait for their answer", call)
        placed = self.calls[call] = Placed()
        self._watch_on(socket, call, placed)
        socket.opened.add(call)
        self._tell(call, {"event": "setting_up"})
        verdict = self.switch.set_up(order, self)
        if verdict is not None:
            del self.calls[call]
            socket.opened.discard(call)
            socket.watched.discard(call)
            socket.error(CODES[verdict], "not taken in", call)
        return None

    def _watch(self, socket: ControlSocket, call: str, said: dict[str, Any]) -> None:
        placed = self.calls.get(call)
        if placed is not None:
            self._watch_on(socket, call, placed)
            socket.say(placed.last)
        elif call in self.ended:
            socket.say(self.ended[call])
        else:
            socket.error(CODES[Verdict.UNKNOWN], "no call of this id was placed here", call)

    def _release(self, socket: ControlSocket, call: str, said: dict[str, Any]) -> None:
        cause = whole_of(said, "cause", NORMAL)
        if not 0 <= cause <= 127:
            raise ValueError("cause is 0 to 127")
        placed = self.calls.get(call)
        if placed is None:
            socket.error(CODES[Verdict.UNKNOWN], "no call of this id is open", call)
        elif placed.stands:
            self.switch.release(call, cause, self)
            self.released(call, cause)
        else:
            self._end_set_up(call, Verdict.GIVEN_UP)

    def _end_set_up(self, call: str, verdict: Verdict) -> None:
        self.switch.give_up(call, self)
        self.turned_away(call, verdict, 0.0)

    # watchers

    def _watch_on(self, socket: ControlSocket, call: str, placed: Placed) -> None:
        placed.watchers.add(socket)
        placed.alone_since = None
        socket.watched.add(call)

    def _unwatch(self, socket: ControlSocket, call: str) -> None:
        placed = self.calls.get(call)
        socket.watched.discard(call)
        if placed is not None:
            placed.watchers.discard(socket)
            if not placed.watchers:
                placed.alone_since = self.switch.wheel.now

    def _tell(self, call: str, event: dict[str, Any], last: bool = False) -> None:
        placed = self.calls.get(call)
        if placed is None:
            return
        placed.last = {"id": call} | event
        for socket in list(placed.watchers):
            socket.say(placed.last)
        if event["event"] != "setting_up":
            for socket in placed.watchers:
                socket.opened.discard(call)
        if last:
            del self.calls[call]
            for socket in placed.watchers:
                socket.watched.discard(call)
            self.ended[call] = placed.last
            if len(self.ended) > MOST_ENDED:
                self.ended.popitem(last=False)

    # what the switch tells

    def stands(self, call: str, description: bytes) -> None:
        if call in self.calls:
            self.calls[call].stands = True
            self._tell(call, {"event": "stands", "description_b64": b64encode(description).decode()})

    def turned_away(self, call: str, verdict: Verdict, stay_away: float) -> None:
        later = {"later_ms": round(stay_away)} if stay_away > 0 else {}
        self._tell(call, {"event": "turned_away", "code": CODES[verdict]} | later, last=True)

    def released(self, call: str, cause: int) -> None:
        self._tell(call, {"event": "released", "cause": cause}, last=True)

    def stop(self) -> None:
        """The program ends: clients are told so."""
        for socket in list(self.sockets):
            socket.end(1001, "the softswitch stops")

    def _sweep(self) -> None:
        now = self.switch.wheel.now
        self.switch.wheel.at(now + 1000.0, self._sweep)
        for socket in list(self.greeting):
            if socket.ready or socket.over:
                self.greeting.pop(socket)
            elif now - socket.since > HANDSHAKE:
                socket.transport.abortConnection()
        for socket in list(self.sockets):
            if now - socket.heard > SILENT_AFTER:
                logger.warning("control client: silent for {:.0f} ms, connection closed", now - socket.heard)
                socket.transport.abortConnection()
            elif now - socket.heard > PING_EVERY:
                socket._write(Ping())
        for call, placed in list(self.calls.items()):
            if placed.alone_since is not None and now - placed.alone_since > 1000.0 * self.set.keep_s:
                self.switch.release(call, NORMAL, self)
                self.released(call, NORMAL)


ASKS = {"place": ControlFront._place, "watch": ControlFront._watch, "release": ControlFront._release}
