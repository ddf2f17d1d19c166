"""Data that callers' connections have received and not processed: incomplete and deferred messages.

Its part of the memory held for peers is limited. Reading pauses on each connection that holds more than what
is left to all, so on the greediest first, and goes on when there is room. A message that is not completed in
time ends its connection, and with it the pause.
"""

from __future__ import annotations

from softswitch.core.counters import Count
from softswitch.core.memory_budget import Holder
from softswitch.core.switch import Switch
from softswitch.net.sip_connection import SipConnection

LIMIT_DIVISOR = 6  # unprocessed data takes 1 / LIMIT_DIVISOR of the memory before reading pauses


class ReceivedData:
    """Counts the unprocessed data of all SIP connections, and owns the pauses for it."""

    def __init__(self, switch: Switch) -> None:
        self.switch = switch
        self.paused: dict[SipConnection, None] = {}  # not read until there is memory; the oldest first

    def update(self, connection: SipConnection, size: int, may_pause: bool) -> None:
        """Records the unprocessed bytes of a connection, and pauses it if they are too many.

        Without `may_pause` it is not paused: it is not read at present anyway.
        """
        self.switch.memory.change(Holder.RECEIVED, size - connection.unprocessed)
        connection.unprocessed = size
        if may_pause and connection not in self.paused and not self._may_hold(size):
            self._pause(connection)

    def forget(self, connection: SipConnection) -> None:
        """Records that a connection has ended, or drops what it received, and is paused no more."""
        self.paused.pop(connection, None)
        self.update(connection, 0, may_pause=False)

    def _may_hold(self, size: int) -> bool:
        memory = self.switch.memory
        left = memory.limit // LIMIT_DIVISOR - memory.held[Holder.RECEIVED]
        return size <= min(left, memory.available)

    def _pause(self, connection: SipConnection) -> None:
        self.switch.counters[Count.CONNECTIONS_PAUSED] += 1
        connection.transport.pauseProducing()
        if not self.paused:
            self.switch.wheel.call_after(self.switch.settings.tick, self._resume)
        self.paused[connection] = None

    def _resume(self) -> None:
        for connection in list(self.paused):
            if self._may_hold(connection.unprocessed):
                del self.paused[connection]
                connection.resume_paused()
        if self.paused:
            self.switch.wheel.call_after(self.switch.settings.tick, self._resume)
