"""Planned stop: open calls are answered, new call setups are still accepted, then callers disconnect.

A release that an engine sends while no caller is connected cannot be delivered. It is left unread, so the
engine sends it to the successor on the first connection that the successor opens.
"""

from __future__ import annotations

from typing import Any

from loguru import logger

from softswitch.core.lifecycle import Phase
from softswitch.core.switch import Switch
from softswitch.net.engine_pool import EnginePool
from softswitch.net.sip_server import SipServer

ARRIVALS_UNTIL = 750.0  # ms after SIGTERM until which call setups may still arrive
# Ms. SIGKILL may follow 0.7 s plus the longest deadline after SIGTERM. The deadline counts as at most 3 s, or
# 5 s if a successor has taken over; an unknown deadline counts as the maximum.
MAX_DEADLINE = 3_000.0
MAX_DEADLINE_REPLACED = 5_000.0
ANSWER_TIME = 300.0  # ms after the longest deadline until the stop ends at the latest
# Ms from the end of a stop to the exit of the process.
LAST_WRITES = 50.0  # without connected callers: for the last writes to engines
CALLERS_DISCONNECT_AFTER = 150.0  # for callers to read their answers and disconnect
UNWRITTEN_UNTIL = 300.0  # from the latest end of a stop; answers not yet read by a caller are kept until then
CHECK_INTERVAL = 20.0  # ms between two checks whether the stop can end
# Ms before the end of a stop in which no connection to an engine is opened: releases sent on a connection
# that is still being opened at the end would be lost.
NO_ENGINE_CONNECTIONS_BEFORE_END = 200.0


class Shutdown:
    """Stops the process without losing calls or releases."""

    def __init__(
        self, reactor: Any, switch: Switch, sip: SipServer, engines: EnginePool, control: Any, shared: bool
    ) -> None:
        self.reactor = reactor
        self.switch = switch
        self.sip = sip
        self.engines = engines
        self.control = control  # a `CallControlServer`, or None
        self.shared = shared  # the successor listens on the same address (SO_REUSEPORT)

    def begin(self) -> None:
        """Begins the stop; a second call changes nothing."""
        lifecycle, now = self.switch.lifecycle, self.switch.wheel.now
        if lifecycle.phase is Phase.STOPPING:
            return
        logger.info("asked to stop: answering what is open")
        if self.shared:
            lifecycle.hand_over(now)
            # accepts the connections in the backlog first
            self.reactor.callLater(0, self.sip.port.stopListening)
        deadline = now + max(ARRIVALS_UNTIL, self._longest_deadline() + ANSWER_TIME)
        lifecycle.stop(now, deadline)
        self.sip.releases.on_reachable_change = self._update_reading
        self._close_when_done(now + ARRIVALS_UNTIL, deadline)

    def _update_reading(self) -> None:
        """Reads from engines only while their messages can be passed on."""
        if not self.switch.lifecycle.closed:
            self.engines.set_reading(self._can_pass_on())

    def _can_pass_on(self) -> bool:
        if self.switch.calls.unanswered or self.switch.peer_process is not None:
            return True
        return self.sip.releases.callers_reachable or bool(self.control and self.control.accepted)

    def _longest_deadline(self) -> float:
        """Returns the ms for which a caller may still wait; an unknown deadline counts as the maximum."""
        limit = MAX_DEADLINE_REPLACED if self.switch.lifecycle.handed_over else MAX_DEADLINE
        return min(limit, max(c.deadline or limit for c in self.switch.settings.classes))

    def _close_when_done(self, earliest: float, deadline: float) -> None:
        now, lifecycle = self.switch.wheel.now, self.switch.lifecycle
        callers_connected = lifecycle.handed_over and len(self.sip.connections) > 0
        nothing_to_serve = not self.switch.calls or not self._can_pass_on()
        done = now >= earliest and nothing_to_serve and not callers_connected
        if not done and now < deadline:
            self._update_reading()
            if deadline - now < NO_ENGINE_CONNECTIONS_BEFORE_END:
                self.engines.stop_opening()
            self.switch.wheel.call_after(CHECK_INTERVAL, self._close_when_done, earliest, deadline)
            return
        if self.engines.is_reading:
            self.engines.read_pending()  # releases are passed on if callers are connected
        self.engines.set_reading(False)
        lifecycle.close()  # from now on call setups are rejected, and callers disconnect
        self.switch.answer_all()
        self.switch.cut_calls_that_cannot_survive()
        if self.control:
            self.control.stop()
        self._stop_when_flushed(now, deadline + UNWRITTEN_UNTIL)

    def _stop_when_flushed(self, closed_at: float, unwritten_until: float) -> None:
        """Stops the reactor once the last messages are written; until then requests are still answered."""
        now = self.switch.wheel.now
        if self._is_waiting_for_callers(now - closed_at) or (
            now < unwritten_until and self._has_unwritten_bytes()
        ):
            self.switch.wheel.call_after(
                2 * self.switch.wheel.tick, self._stop_when_flushed, closed_at, unwritten_until
            )
        else:
            self.reactor.stop()

    def _is_waiting_for_callers(self, elapsed: float) -> bool:
        return elapsed < (CALLERS_DISCONNECT_AFTER if len(self.sip.connections) > 0 else LAST_WRITES)

    def _has_unwritten_bytes(self) -> bool:
        return any(connection.has_unwritten_bytes for connection in self.sip.connections)
