"""Access to private fields of Twisted, for which it has no public interface.

No other module uses them. tests/test_read_scheduling.py and tests/test_core.py fail if they change.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

TCP_CLOSE_WAIT = 8  # state of a TCP socket in the first byte of TCP_INFO, of Linux: the peer has closed


def unwritten_bytes(transport: Any) -> int:
    """Returns how many bytes that were written to a TCP transport it still buffers.

    The public interface reports only through producer callbacks that there are some, which come too late when
    the process exits.
    """
    return int(len(transport.dataBuffer) - transport.offset + transport._tempDataLen)  # noqa: SLF001  # see module docstring


def unparsed_bytes(receiver: Any) -> int:
    """Returns how many received bytes a line receiver has not passed on yet: an incomplete line, if any."""
    return len(receiver._buffer)  # noqa: SLF001  # see module docstring


def read_now(transport: Any) -> bool:
    """Reads from a TCP transport without waiting for the reactor; returns False if that closed it."""
    reason = transport.doRead()
    if reason is not None:
        transport.connectionLost(Failure(reason))
    return reason is None


def peer_has_closed(transport: Any) -> bool:
    """Whether the peer of a TCP transport has closed its side, although data may still be unread.

    A reading reactor notices the end of a connection only behind all data that came before it.
    """
    sock = getattr(transport, "socket", None)
    if sock is None:  # closed here, or a transport without a socket
        return False
    try:
        return bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT)
    except OSError:
        return True


class WakeNotifier:
    """Wraps the reactor's epoll object, and calls back when it returns with events."""

    def __init__(self, poller: Any, on_wake: Callable[[], None]) -> None:
        self._poller = poller
        self._on_wake = on_wake
        self.register = poller.register
        self.unregister = poller.unregister
        self.modify = poller.modify
        self.close = poller.close
        self.fileno = poller.fileno

    def poll(self, timeout: float, max_events: int) -> Any:
        """Polls as epoll does. Calls back only if there are events.

        Without events a timer is due, which reads the clock itself and detects a paused process.
        """
        events = self._poller.poll(timeout, max_events)
        if events:
            self._on_wake()
        return events


def notify_wakes(reactor: Any, on_wake: Callable[[], None]) -> bool:
    """Has `on_wake` called whenever the reactor returns from polling with events.

    Twisted has no hook between polling and reading. Returns False, and changes nothing, if the reactor does
    not use epoll.
    """
    if not hasattr(reactor, "_poller"):
        return False
    reactor._poller = WakeNotifier(reactor._poller, on_wake)  # noqa: SLF001
    return True
