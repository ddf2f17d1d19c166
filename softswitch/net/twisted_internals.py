"""The places where Twisted's own interfaces do not reach, so that its private fields are used.

Each is used here alone; tests/test_read_scheduling.py and tests/test_core.py would show a change of them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure


def has_unwritten_bytes(transport: Any) -> bool:
    """Whether some of what was written to a TCP transport has not left the process.

    The transport tells of it only by its producer's calls, which come too late at the end of the process.
    """
    return bool(len(transport.dataBuffer) > transport.offset or transport._tempDataLen)  # noqa: SLF001  # the module tells why


def read_now(transport: Any) -> bool:
    """Reads what lies unread at a TCP transport, without waiting for the reactor; false if it was closed
    by that.
    """
    reason = transport.doRead()
    if reason is not None:
        transport.connectionLost(Failure(reason))
    return reason is None


class WakeNotifier:
    """Stands in for the reactor's epoll object and calls back when it returns with something to do."""

    def __init__(self, poller: Any, on_wake: Callable[[], None]) -> None:
        self._poller = poller
        self._on_wake = on_wake
        self.register = poller.register
        self.unregister = poller.unregister
        self.modify = poller.modify
        self.close = poller.close
        self.fileno = poller.fileno

    def poll(self, timeout: float, max_events: int) -> Any:
        """As epoll's; empty when a timer is due, which reads the clock itself and sees a standstill."""
        events = self._poller.poll(timeout, max_events)
        if events:
            self._on_wake()
        return events


def notify_wakes(reactor: Any, on_wake: Callable[[], None]) -> bool:
    """Has `on_wake` called whenever the reactor comes back from waiting with something to do.

    False: it is not epoll's reactor, and nothing is changed. Twisted has no hook between waiting and reading.
    """
    if not hasattr(reactor, "_poller"):
        return False
    reactor._poller = WakeNotifier(reactor._poller, on_wake)  # noqa: SLF001
    return True
