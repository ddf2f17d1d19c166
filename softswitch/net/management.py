"""The operators' address: a few calls over HTTP/1.1, parsed by h11, one call to a connection.

Nothing here decides: the calls ask and tell the lifecycle, and ask the switch for its figures.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
import orjson
from loguru import logger
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from softswitch.core.lifecycle import Phase
from softswitch.core.switch import Switch

MOST = 16  # connections at once; one more sheds the longest there that has asked nothing whole
LONGEST_HEAD, LONGEST_BODY = 8_192, 4_096  # bytes of a request
WHOLE_BY = 3_500.0  # ms from connecting to a whole request
CLOSED_BY = 500.0  # ms that a caller may take to close once it was answered
SWEEP = 100.0  # ms between two looks at the connections
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

Answer = tuple[int, dict[str, Any]]  # status, and what goes out as JSON


@implementer(IHalfCloseableProtocol)
class MgmtLine(Protocol):
    """One call. A caller may close its own side once it has asked."""

    def __init__(self, front: MgmtFront) -> None:
        self.front, self.since = front, front.switch.wheel.now
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=LONGEST_HEAD)
        self.asked: h11.Request | None = None
        self.body = 0
        self.answered_at: float | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: object = None) -> None:
        self.front.lines.pop(self, None)

    def readConnectionLost(self) -> None:
        if self.answered_at is None:
            self.transport.abortConnection()  # it asked nothing, and can't any more
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        pass

    def dataReceived(self, data: bytes) -> None:
        if self.answered_at is not None:
            return  # one call to a connection
        try:
            self.http.receive_data(data)
            while self.answered_at is None:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    self._head(event)
                elif isinstance(event, h11.Data):
                    self.body += len(event.data)
                    if self.body > LONGEST_BODY:
                        self.say(413, {"error": f"a body of over {LONGEST_BODY} bytes"})
                elif isinstance(event, h11.EndOfMessage) and self.asked is not None:
                    method, target = self.asked.method.decode(), self.asked.target.decode("latin-1")
                    self.say(*self.front.call(method, target))
                else:
                    return  # not whole yet, or over
        except h11.RemoteProtocolError as e:
            self.say(e.error_status_hint, {"error": str(e)})

    def _head(self, request: h11.Request) -> None:
        self.asked = request
        if any(k == b"content-length" and int(v) > LONGEST_BODY for k, v in request.headers):
            self.say(413, {"error": f"a body of over {LONGEST_BODY} bytes"})
        elif self.http.they_are_waiting_for_100_continue:
            self.transport.write(
                self.http.send(h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue"))
                or b""
            )

    def say(self, status: int, what: dict[str, Any]) -> None:
        """The one answer; the connection closes behind it."""
        self.answered_at = self.front.switch.wheel.now
        self.front.switch.count[f"mgmt {status}"] += 1
        body = orjson.dumps(what)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if status == 405:
            headers.append(("Allow", what["allow"]))
        answer = h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b""))
        head_only = self.asked is not None and self.asked.method == b"HEAD"
        data = self.http.send(answer) or b""
        data += b"" if head_only else self.http.send(h11.Data(data=body)) or b""
        self.transport.write(data)
        # Our side closes; what still comes is read and dropped, else a reset could overtake the answer.
        self.transport.loseWriteConnection()


class MgmtFront(Factory):
    """All calls of operators."""

    noisy = False

    def __init__(self, switch: Switch) -> None:
        self.switch = switch
        self.lines: dict[MgmtLine, None] = {}  # the longest there first
        # Calls of optional parts: by path, or by a beginning that ends with `/`; and figures of theirs.
        self.more: dict[str, tuple[str, Callable[[str], Answer]]] = {}
        self.parts: dict[str, Any] = {}
        self.sweeps = False  # a sweep is due; none is while nobody is connected

    def buildProtocol(self, addr: object) -> MgmtLine:
        if len(self.lines) >= MOST:
            # Guards good callers from those who connect and ask nothing. One that was answered goes first.
            victim = next((line for line in self.lines if line.answered_at is not None), None)
            victim = victim or next(iter(self.lines))
            self.switch.count["mgmt shed"] += 1
            self.lines.pop(victim)
            victim.transport.abortConnection()
        line = MgmtLine(self)
        self.lines[line] = None
        if not self.sweeps:
            self.sweeps = True
            self.switch.wheel.at(self.switch.wheel.now + SWEEP, self._sweep)
        return line

    def call(self, method: str, target: str) -> Answer:
        path = target.partition("?")[0]
        known = CALLS.get(path)
        if known is None:
            for begin, (wants, answer) in self.more.items():
                if path == begin or (begin.endswith("/") and path.startswith(begin)):
                    if method != wants:
                        return 405, {"error": f"{path} wants {wants}", "allow": wants}
                    return answer(path[len(begin) :])
            return 404, {"error": f"no such call; there are {', '.join((*CALLS, *self.more))}"}
        allowed, act = known
        if method != allowed:
            return 405, {"error": f"{path} wants {allowed}", "allow": allowed}
        return act(self)

    def _ready(self) -> Answer:
        life = self.switch.lifecycle
        return 200 if life.ready else 503, {"ready": life.ready, "phase": life.phase.value}

    def _figures(self) -> Answer:
        told = self.switch.told()
        for name, part in self.parts.items():
            if figures := part.figures():
                told[name] = figures
        return 200, told

    def _drain(self) -> Answer:
        life = self.switch.lifecycle
        if life.phase is not Phase.DRAINED:
            logger.info("asked to drain: callers' connections close as they fall idle")
        life.drain(self.switch.wheel.now)
        return 200, {"phase": life.phase.value}

    def _activate(self) -> Answer:
        life = self.switch.lifecycle
        if life.phase is Phase.DRAINED:
            logger.info("activated: takes callers again")
        done = life.activate(self.switch.wheel.now)
        return 200 if done else 409, {"phase": life.phase.value}

    def _sweep(self) -> None:
        now = self.switch.wheel.now
        self.sweeps = bool(self.lines)
        if self.sweeps:
            self.switch.wheel.at(now + SWEEP, self._sweep)
        for line in list(self.lines):
            if line.answered_at is None and now - line.since > WHOLE_BY:
                line.say(408, {"error": "no whole request in time"})
            elif line.answered_at is not None and now - line.answered_at > CLOSED_BY:
                line.transport.abortConnection()


CALLS: dict[str, tuple[str, Callable[[MgmtFront], Answer]]] = {
    "/v1/readyz": ("GET", MgmtFront._ready),
    "/v1/metrics": ("GET", MgmtFront._figures),
    "/v1/softswitch/drain": ("POST", MgmtFront._drain),
    "/v1/softswitch/activate": ("POST", MgmtFront._activate),
}
