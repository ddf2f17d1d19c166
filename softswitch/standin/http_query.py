"""One HTTP call to a softswitch's management address, without waiting for it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.protocol import ClientFactory, Protocol

HTTP_OK = 200

Done = Callable[[int, Any], None]  # status, 0 if none came; the answer's JSON, None if it is none


class QueryConnection(Protocol):
    """The connection of one call."""

    def __init__(self, request: str, done: Done) -> None:
        self.request = request
        self.done = done
        self.data = b""

    def connectionMade(self) -> None:
        """Called by Twisted."""
        head = f"{self.request} HTTP/1.1\r\nHost: n\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.transport.write(head.encode())

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted."""
        self.data += data

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted: the answer is complete, or will never be."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        words = head.split(b"\r\n")[0].split()
        status = int(words[1]) if len(words) > 1 and words[1].isdigit() else 0
        try:
            self.done(status, orjson.loads(body) if body else None)
        except orjson.JSONDecodeError:
            self.done(status, None)


class Query(ClientFactory):
    """One call: `Query("GET /v1/readyz", done)`, for the reactor's `connectTCP`."""

    noisy = False

    def __init__(self, request: str, done: Done) -> None:
        self.request = request
        self.done = done

    def buildProtocol(self, addr: object) -> QueryConnection:
        """Called by Twisted."""
        return QueryConnection(self.request, self.done)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Called by Twisted."""
        self.done(0, None)


def if_ok(done: Callable[[Any], None]) -> Done:
    """For callers that want the answer's JSON of a 200, and None for all else."""
    return lambda status, value: done(value if status == HTTP_OK else None)
