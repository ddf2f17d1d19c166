"""Asynchronous HTTP requests to a softswitch's management interface."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.protocol import ClientFactory, Protocol

HTTP_OK = 200

Done = Callable[[int, Any], None]  # status, 0 without a response; the body's JSON, None if it is not JSON


class QueryConnection(Protocol):
    """The connection of one request."""

    def __init__(self, request: str, done: Done) -> None:
        self.request = request
        self.done = done
        self.data = b""

    def connectionMade(self) -> None:
        """Sends the request. Called by Twisted."""
        head = f"{self.request} HTTP/1.1\r\nHost: n\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.transport.write(head.encode())

    def dataReceived(self, data: bytes) -> None:
        """Collects the response. Called by Twisted."""
        self.data += data

    def connectionLost(self, reason: object = None) -> None:
        """Reports the response, which may be incomplete. Called by Twisted."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        status_line_fields = head.split(b"\r\n")[0].split()
        status = (
            int(status_line_fields[1])
            if len(status_line_fields) > 1 and status_line_fields[1].isdigit()
            else 0
        )
        try:
            self.done(status, orjson.loads(body) if body else None)
        except orjson.JSONDecodeError:
            self.done(status, None)


class Query(ClientFactory):
    """One request, such as `Query("GET /v1/readyz", done)`, for the reactor's `connectTCP`."""

    noisy = False

    def __init__(self, request: str, done: Done) -> None:
        self.request = request
        self.done = done

    def buildProtocol(self, addr: object) -> QueryConnection:
        """Called by Twisted when the connection is open."""
        return QueryConnection(self.request, self.done)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Reports that there is no response. Called by Twisted."""
        self.done(0, None)


def if_ok(done: Callable[[Any], None]) -> Done:
    """Returns a callback that passes the JSON of a 200 response to `done`, and None for any other outcome."""
    return lambda status, value: done(value if status == HTTP_OK else None)
