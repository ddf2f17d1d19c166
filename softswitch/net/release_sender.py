"""Sends pending releases to callers, on any connection that can carry them."""

from __future__ import annotations

from collections.abc import Callable, Hashable

from softswitch.core.counters import Count
from softswitch.core.release_delivery import ReleaseMessage, ReleaseQueue
from softswitch.core.switch import Switch
from softswitch.interface import CallId
from softswitch.net.sip_codec import encode_bye
from softswitch.net.sip_connection import SipConnection

REVIEW_INTERVAL = 100.0  # ms between two reviews of the pending releases


class ReleaseSender:
    """Writes the messages of a `ReleaseQueue`, and reviews the queue while releases are pending."""

    def __init__(self, name: str, switch: Switch) -> None:
        self.name = name
        self.switch = switch
        self.queue = ReleaseQueue()
        self.on_reachable_change: Callable[[], None] | None = None  # called when `callers_reachable` changes
        self._review_scheduled = False

    def caller_active(self, connection: SipConnection) -> None:
        """Records that a caller is active on the connection, and sends the waiting releases on it."""
        was_reachable = self.callers_reachable
        messages = self.queue.caller_active(self.switch.wheel.now, connection)
        if messages:
            self._send(messages)
        self._notify_reachable_change(was_reachable)

    def connection_closed(self, connection: SipConnection) -> None:
        """Sends the unacknowledged releases of a closed connection on other connections."""
        was_reachable = self.callers_reachable
        self._send(self.queue.connection_closed(self.switch.wheel.now, connection))
        self._notify_reachable_change(was_reachable)

    @property
    def callers_reachable(self) -> bool:
        """Whether any connection can carry a release."""
        return bool(self.queue.connections)

    def _notify_reachable_change(self, was_reachable: bool) -> None:
        if self.on_reachable_change is not None and self.callers_reachable != was_reachable:
            self.on_reachable_change()

    def release(self, call: CallId, number: str, cause: int, connection: Hashable | None) -> None:
        """Sends the release of an ended call; `connection` is where it was set up.

        The release may be sent on any caller's connection. If none is open, it is sent on the next one, or
        passed to the peer process if callers now connect there.
        """
        peer = self.switch.peer_process
        if peer is not None and self._callers_use_successor():
            peer.release_undeliverable(call, cause)
        else:
            self._send(self.queue.add(self.switch.wheel.now, call, number, cause, connection))

    def _callers_use_successor(self) -> bool:
        """Whether callers now connect to the successor process."""
        return not self.queue.connections and self.switch.lifecycle.handed_over

    def _send(self, messages: list[ReleaseMessage]) -> None:
        for message in messages:
            self.switch.counters[Count.CALLER_RELEASES_SENT] += 1
            connection = message.connection
            assert isinstance(connection, SipConnection)
            if self.switch.history:
                self.switch.history.note(message.call, "caller told", connection.name)
            connection.write(encode_bye(message.call, message.number, message.cause, self.name))
        if self.queue.pending and not self._review_scheduled:
            self._review_scheduled = True
            self.switch.wheel.call_after(REVIEW_INTERVAL, self._review)

    def _review(self) -> None:
        """Hands over, retries or drops pending releases. Not scheduled while there are none."""
        self._review_scheduled = False
        peer = self.switch.peer_process
        if peer is not None and self._callers_use_successor():
            for call, release in self.queue.without_connection():
                self.queue.hand_over(call)
                peer.release_undeliverable(call, release.cause)
        self._send(self.queue.advance(self.switch.wheel.now))
        self._update_counters()

    def _update_counters(self) -> None:
        totals = {
            Count.CALLER_RELEASES_UNSENT: self.queue.unsent,
            Count.CALLER_RELEASES_UNACKNOWLEDGED: self.queue.unacknowledged,
            Count.CALLER_RELEASES_RETRIED: self.queue.moved + self.queue.retried,
        }
        for name, total in totals.items():
            if total:
                self.switch.counters[name] = total
