"""The management address for operators: a small HTTP/1.1 API, parsed by h11, one request per connection.

It stores no state of the softswitch: requests read and change the lifecycle, and read the switch's figures.
Optional components add routes for their own paths.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11
import orjson
from loguru import logger
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from softswitch.components import Component, ManagementResponse, ManagementRoute
from softswitch.core.counters import Count, CountFamily
from softswitch.core.lifecycle import Phase
from softswitch.core.switch import Switch
from softswitch.net.twisted_internals import read_now, unwritten_bytes

MAX_CONNECTIONS = 16  # at once; one more sheds another one
MAX_HEAD, MAX_BODY = 8_192, 4_096  # bytes of a request's head and body
MAX_HEADERS = 64  # header lines of a request
ACCEPTS_PER_TURN = 4  # connections accepted in one turn of the event loop; fewer than may be open
REQUEST_TIMEOUT = 3_500.0  # ms from connecting to a complete request
CLOSE_TIMEOUT = 500.0  # ms that a client may take to close after the response
SWEEP_INTERVAL = 100.0  # ms between two checks of the connections
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    503: b"Service Unavailable",
}
BODY_TOO_LARGE = {"error": f"a body of over {MAX_BODY} bytes"}


@implementer(IHalfCloseableProtocol)
class ManagementConnection(Protocol):
    """One connection with one request. The client may close its sending side after the request."""

    def __init__(self, server: ManagementServer) -> None:
        self.server = server
        self.opened_at = server.switch.wheel.now
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.request: h11.Request | None = None
        self.body_size = 0
        self.answered_at: float | None = None

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established."""
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted when the connection has ended."""
        self.server.connections.pop(self, None)

    def read_pending(self) -> None:
        """Reads what the client has written so far."""
        read_now(self.transport)

    @property
    def is_response_sent(self) -> bool:
        """Whether the response has been passed to the operating system completely."""
        return self.answered_at is not None and unwritten_bytes(self.transport) == 0

    def readConnectionLost(self) -> None:
        """Called by Twisted when the client has closed its sending side."""
        if self.answered_at is None:
            self.transport.abortConnection()  # the request is incomplete and cannot be completed
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Called by Twisted when the sending side is closed."""

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when data is received."""
        if self.answered_at is not None:
            return  # one request per connection
        try:
            self.http.receive_data(data)
            while self.answered_at is None:
                if not self._handle(self.http.next_event()):
                    return  # the request is incomplete, or already answered
        except h11.RemoteProtocolError as e:
            self.answer(e.error_status_hint, {"error": str(e)})

    def _handle(self, event: object) -> bool:
        """Processes an event of the parser; False if it is not a part of a request."""
        if isinstance(event, h11.Request):
            self._head_received(event)
        elif isinstance(event, h11.Data):
            self.body_size += len(event.data)
            if self.body_size > MAX_BODY:
                self.answer(413, BODY_TOO_LARGE)
        elif isinstance(event, h11.EndOfMessage) and self.request is not None:
            method, target = self.request.method.decode(), self.request.target.decode("latin-1")
            self.answer(*self.server.handle_request(method, target))
        else:
            return False
        return True

    def _head_received(self, request: h11.Request) -> None:
        if len(list(request.headers)) > MAX_HEADERS:  # each takes some 160 bytes until the connection ends
            self.answer(431, {"error": f"more than {MAX_HEADERS} header lines"})
            return
        self.request = request
        if any(name == b"content-length" and int(value) > MAX_BODY for name, value in request.headers):
            self.answer(413, BODY_TOO_LARGE)
        elif self.http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
            self.transport.write(self.http.send(proceed) or b"")

    def answer(self, status: int, content: dict[str, Any]) -> None:
        """Writes the only response of the connection, then closes the sending side."""
        self.answered_at = self.server.switch.wheel.now
        self.server.switch.counters[CountFamily.MANAGEMENT_ANSWERS + str(status)] += 1
        body = orjson.dumps(content)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if status == 405:
            headers.append(("Allow", content["allow"]))
        response = h11.Response(status_code=status, headers=headers, reason=REASON_PHRASES.get(status, b""))
        data = self.http.send(response) or b""
        if self.request is None or self.request.method != b"HEAD":
            data += self.http.send(h11.Data(data=body)) or b""
        self.transport.write(data)
        # Only the sending side is closed, and further data is read and discarded: closing the connection with
        # unread data sends a reset, which could overtake the response.
        self.transport.loseWriteConnection()


@dataclass(frozen=True, slots=True)
class Route:
    """The method and the handler of one path."""

    method: str
    run: Callable[[], ManagementResponse]


class ManagementServer(Factory):
    """Owner of the management connections, and router of their requests."""

    noisy = False

    def __init__(self, switch: Switch) -> None:
        self.switch = switch
        self.connections: dict[ManagementConnection, None] = {}  # the oldest first
        self.routes = {
            "/v1/readyz": Route("GET", self._ready),
            "/v1/metrics": Route("GET", self._figures),
            "/v1/softswitch/drain": Route("POST", self._drain),
            "/v1/softswitch/activate": Route("POST", self._activate),
        }
        # Routes of components, by path or by a path prefix that ends with `/`.
        self.component_routes: dict[str, ManagementRoute] = {}
        self.components: dict[str, Component] = {}  # their figures are part of the metrics
        self._sweep_scheduled = False  # only while there are connections
        self.port: Any = None  # the Twisted port on which clients connect

    def attach(self, port: Any) -> None:
        """Sets the Twisted port on which clients connect.

        It accepts few connections in a turn: the request on a new one is read before further ones can
        displace it.
        """
        self.port = port
        port.numberAccepts = ACCEPTS_PER_TURN

    def buildProtocol(self, addr: object) -> ManagementConnection | None:
        """Called by Twisted when a client connects."""
        if self.port is not None:
            self.port.numberAccepts = ACCEPTS_PER_TURN  # Twisted raises it whenever all are used
        if len(self.connections) >= MAX_CONNECTIONS and not self._shed_one():
            self.switch.counters[Count.MANAGEMENT_REFUSED] += 1
            return None
        connection = ManagementConnection(self)
        self.connections[connection] = None
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            self.switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)
        return connection

    def _shed_one(self) -> bool:
        """Aborts one connection, so that silent clients never block others; False if there is none to abort.

        One whose response has been sent goes first, then the oldest whose request is incomplete, after all
        that was written meanwhile is read. A response that is not sent yet would be lost.
        """
        for connection in list(self.connections):
            if connection.answered_at is None:
                connection.read_pending()
        unanswered = (c for c in self.connections if c.answered_at is None)
        victim = next((c for c in self.connections if c.is_response_sent), None) or next(unanswered, None)
        if victim is None:
            return False
        self.switch.counters[Count.MANAGEMENT_SHED] += 1
        self.connections.pop(victim)
        victim.transport.abortConnection()
        return True

    def handle_request(self, method: str, target: str) -> ManagementResponse:
        """Returns the status and the content of the response to a request."""
        path = target.partition("?")[0]
        route = self.routes.get(path)
        if route is not None:
            return route.run() if method == route.method else _wrong_method(path, route.method)
        for prefix, component_route in self.component_routes.items():
            if path == prefix or (prefix.endswith("/") and path.startswith(prefix)):
                if method != component_route.method:
                    return _wrong_method(path, component_route.method)
                return component_route.handler(path[len(prefix) :])
        known_paths = ", ".join((*self.routes, *self.component_routes))
        return 404, {"error": f"no such call; there are {known_paths}"}

    def _ready(self) -> ManagementResponse:
        lifecycle = self.switch.lifecycle
        status = 200 if lifecycle.ready else 503
        return status, {"ready": lifecycle.ready, "phase": lifecycle.phase.value}

    def _figures(self) -> ManagementResponse:
        report = self.switch.report_figures()
        for name, component in self.components.items():
            if figures := component.figures():
                report[name] = figures
        return 200, report

    def _drain(self) -> ManagementResponse:
        lifecycle = self.switch.lifecycle
        if lifecycle.phase is not Phase.DRAINED:
            logger.info("asked to drain: callers' connections close as they fall idle")
        lifecycle.drain(self.switch.wheel.now)
        return 200, {"phase": lifecycle.phase.value}

    def _activate(self) -> ManagementResponse:
        lifecycle = self.switch.lifecycle
        if lifecycle.phase is Phase.DRAINED:
            logger.info("activated: takes callers again")
        activated = lifecycle.activate(self.switch.wheel.now)
        return 200 if activated else 409, {"phase": lifecycle.phase.value}

    def _sweep(self) -> None:
        now = self.switch.wheel.now
        self._sweep_scheduled = bool(self.connections)
        if self._sweep_scheduled:
            self.switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)
        for connection in list(self.connections):
            if connection.answered_at is None:
                if now - connection.opened_at > REQUEST_TIMEOUT:
                    connection.answer(408, {"error": "no whole request in time"})
            elif now - connection.answered_at > CLOSE_TIMEOUT:
                connection.transport.abortConnection()


def _wrong_method(path: str, allowed: str) -> ManagementResponse:
    return 405, {"error": f"{path} wants {allowed}", "allow": allowed}
