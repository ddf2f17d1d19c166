"""Sends callers the releases that they are owed, on whichever of their connections can carry one."""

from __future__ import annotations

from collections.abc import Callable, Hashable

from softswitch.core.counters import Count
from softswitch.core.release_delivery import ReleaseMessage, ReleaseQueue
from softswitch.core.switch import Switch
from softswitch.net.sip_codec import encode_bye
from softswitch.net.sip_connection import SipConnection

REVIEW_INTERVAL = 100.0  # ms between two looks at the releases that were not acknowledged


class ReleaseSender:
    """Writes the messages of a `ReleaseQueue`, and reviews it while it holds any."""

    def __init__(self, name: str, switch: Switch) -> None:
        self.name = name
        self.switch = switch
        self.queue = ReleaseQueue()
        self.on_reachable_change: Callable[[], None] | None = None
        self._review_scheduled = False

    def caller_active(self, connection: SipConnection) -> None:
        """A caller is active on the connection."""
        was_reachable = self.callers_reachable
        messages = self.queue.caller_active(self.switch.wheel.now, connection)
        if messages:
            self._send(messages)
        self._note_reachable(was_reachable)

    def connection_closed(self, connection: SipConnection) -> None:
        """The connection can carry no release any more."""
        was_reachable = self.callers_reachable
        self._send(self.queue.connection_closed(self.switch.wheel.now, connection))
        self._note_reachable(was_reachable)

    @property
    def callers_reachable(self) -> bool:
        """Whether a release would find a connection to go out on."""
        return bool(self.queue.connections)

    def _note_reachable(self, was_reachable: bool) -> None:
        if self.on_reachable_change is not None and self.callers_reachable != was_reachable:
            self.on_reachable_change()

    def release(self, call: str, number: str, cause: int, connection: Hashable | None) -> None:
        """An established call is over; `connection` is where it was set up.

        Any connection of a caller may carry the release; with none open it goes out on the next one.
        """
        peer = self.switch.peer_process
        if peer is not None and self._callers_are_elsewhere():
            peer.release_undeliverable(call, cause)
        else:
            self._send(self.queue.add(self.switch.wheel.now, call, number, cause, connection))

    def _callers_are_elsewhere(self) -> bool:
        """Whether callers come to the next process."""
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
        """Looks at the releases that are pending; none is scheduled while there are none."""
        self._review_scheduled = False
        peer = self.switch.peer_process
        if peer is not None and self._callers_are_elsewhere():
            for call, release in self.queue.without_connection():
                self.queue.hand_over(call)
                peer.release_undeliverable(call, release.cause)
        self._send(self.queue.advance(self.switch.wheel.now))
        self._count()

    def _count(self) -> None:
        totals = {
            Count.CALLER_RELEASES_UNSENT: self.queue.unsent,
            Count.CALLER_RELEASES_UNACKNOWLEDGED: self.queue.unacknowledged,
            Count.CALLER_RELEASES_RETRIED: self.queue.moved + self.queue.retried,
        }
        for name, total in totals.items():
            if total:
                self.switch.counters[name] = total
