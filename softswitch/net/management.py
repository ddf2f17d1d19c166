"""The operators' address: a few calls over HTTP/1.1, parsed by h11, one call to a connection.

Nothing here decides: the calls ask and notify the lifecycle, and ask the switch for its figures.
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

MAX_CONNECTIONS = 16  # at once; one more sheds the longest there that has sent no complete request
MAX_HEAD, MAX_BODY = 8_192, 4_096  # bytes of a request
REQUEST_TIMEOUT = 3_500.0  # ms from connecting to a complete request
CLOSE_TIMEOUT = 500.0  # ms that a caller may take to close once it was answered
SWEEP_INTERVAL = 100.0  # ms between two looks at the connections
REASONS = {
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
    """One call. A caller may close its own side once it has sent its request."""

    def __init__(self, server: ManagementServer) -> None:
        self.server = server
        self.opened_at = server.switch.wheel.now
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.request: h11.Request | None = None
        self.body_size = 0
        self.answered_at: float | None = None

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted."""
        self.server.connections.pop(self, None)

    def readConnectionLost(self) -> None:
        """Called by Twisted: the caller has closed its side."""
        if self.answered_at is None:
            self.transport.abortConnection()  # it has sent no request, and can't any more
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Called by Twisted."""

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted."""
        if self.answered_at is not None:
            return  # one call to a connection
        try:
            self.http.receive_data(data)
            while self.answered_at is None:
                if not self._handle(self.http.next_event()):
                    return  # not complete yet, or over
        except h11.RemoteProtocolError as e:
            self.answer(e.error_status_hint, {"error": str(e)})

    def _handle(self, event: object) -> bool:
        """Takes in an event of the parser; false if it tells of no part of a request."""
        if isinstance(event, h11.Request):
            self._head_received(event)
        elif isinstance(event, h11.Data):
            self.body_size += len(event.data)
            if self.body_size > MAX_BODY:
                self.answer(413, BODY_TOO_LARGE)
        elif isinstance(event, h11.EndOfMessage) and self.request is not None:
            method, target = self.request.method.decode(), self.request.target.decode("latin-1")
            self.answer(*self.server.call(method, target))
        else:
            return False
        return True

    def _head_received(self, request: h11.Request) -> None:
        self.request = request
        if any(name == b"content-length" and int(value) > MAX_BODY for name, value in request.headers):
            self.answer(413, BODY_TOO_LARGE)
        elif self.http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
            self.transport.write(self.http.send(proceed) or b"")

    def answer(self, status: int, content: dict[str, Any]) -> None:
        """The one answer; the connection closes behind it."""
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
        response = h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b""))
        data = self.http.send(response) or b""
        if self.request is None or self.request.method != b"HEAD":
            data += self.http.send(h11.Data(data=body)) or b""
        self.transport.write(data)
        # Our side closes; what still comes is read and dropped, else a reset could overtake the answer.
        self.transport.loseWriteConnection()


@dataclass(frozen=True, slots=True)
class Call:
    """One management call."""

    method: str
    run: Callable[[], ManagementResponse]


class ManagementServer(Factory):
    """All calls of operators."""

    noisy = False

    def __init__(self, switch: Switch) -> None:
        self.switch = switch
        self.connections: dict[ManagementConnection, None] = {}  # the longest there first
        self.calls = {
            "/v1/readyz": Call("GET", self._ready),
            "/v1/metrics": Call("GET", self._figures),
            "/v1/softswitch/drain": Call("POST", self._drain),
            "/v1/softswitch/activate": Call("POST", self._activate),
        }
        # Calls of components, by path, or by a beginning that ends with `/`; and figures of theirs.
        self.component_calls: dict[str, ManagementRoute] = {}
        self.components: dict[str, Component] = {}
        self._sweep_scheduled = False  # none is while nobody is connected

    def buildProtocol(self, addr: object) -> ManagementConnection:
        """Called by Twisted as an operator connects."""
        if len(self.connections) >= MAX_CONNECTIONS:
            self._shed_one()
        connection = ManagementConnection(self)
        self.connections[connection] = None
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            self.switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)
        return connection

    def _shed_one(self) -> None:
        """Guards good callers from those who connect and ask nothing. One that was answered goes first."""
        answered = (c for c in self.connections if c.answered_at is not None)
        victim = next(answered, None) or next(iter(self.connections))
        self.switch.counters[Count.MANAGEMENT_SHED] += 1
        self.connections.pop(victim)
        victim.transport.abortConnection()

    def call(self, method: str, target: str) -> ManagementResponse:
        """Runs the call of a request."""
        path = target.partition("?")[0]
        known = self.calls.get(path)
        if known is not None:
            return known.run() if method == known.method else _wrong_method(path, known.method)
        for beginning, call in self.component_calls.items():
            if path == beginning or (beginning.endswith("/") and path.startswith(beginning)):
                if method != call.method:
                    return _wrong_method(path, call.method)
                return call.handler(path[len(beginning) :])
        there_are = ", ".join((*self.calls, *self.component_calls))
        return 404, {"error": f"no such call; there are {there_are}"}

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
        done = lifecycle.activate(self.switch.wheel.now)
        return 200 if done else 409, {"phase": lifecycle.phase.value}

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


def _wrong_method(path: str, wanted: str) -> ManagementResponse:
    return 405, {"error": f"{path} wants {wanted}", "allow": wanted}
