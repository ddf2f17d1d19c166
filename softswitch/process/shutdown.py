"""A planned stop: what is open is answered, what still comes is served, and callers go.

A release that an engine sends while no caller is connected here could reach nobody. It is left unread, and
the engine sends it to the next process, on the first connection that is opened there.
"""

from __future__ import annotations

from typing import Any

from loguru import logger

from softswitch.core.lifecycle import Phase
from softswitch.core.switch import Switch
from softswitch.net.engine_pool import EnginePool
from softswitch.net.sip_server import SipServer

STILL_COMING_FOR = 750.0  # ms after SIGTERM in which call setups may still arrive
# Ms. SIGKILL may come 0.7 s after SIGTERM and the longest deadline, which counts as 3 s where longer or not
# told, and as 5 s where the next process has taken over.
MAX_DEADLINE = 3_000.0
MAX_DEADLINE_REPLACED = 5_000.0
ANSWER_TIME = 300.0
# Ms from the end of a stop: for what is written last to engines; for callers to read it and to go. Answers
# that a caller has not read yet are kept until UNWRITTEN_UNTIL after the last end that a stop may have.
LAST_WRITES = 50.0
CALLERS_GONE_AFTER = 150.0
UNWRITTEN_UNTIL = 300.0
CHECK_INTERVAL = 20.0
# Ms before the end of a stop from which no connection to an engine is opened: one that is on its way at the
# end would take releases with it.
ENGINES_OPENED_UNTIL = 200.0


class Shutdown:
    """Ends the process in good order."""

    def __init__(
        self, reactor: Any, switch: Switch, sip: SipServer, engines: EnginePool, control: Any, shared: bool
    ) -> None:
        self.reactor = reactor
        self.switch = switch
        self.sip = sip
        self.engines = engines
        self.control = control  # a `CallControlServer`, or None
        self.shared = shared  # the kernel shares the callers' address out

    def begin(self) -> None:
        """Stops for good; a second call changes nothing."""
        lifecycle, now = self.switch.lifecycle, self.switch.wheel.now
        if lifecycle.phase is Phase.STOPPING:
            return
        logger.info("asked to stop: answering what is open")
        if self.shared:
            lifecycle.hand_over(now)
            # what waits in its queue is taken in first
            self.reactor.callLater(0, self.sip.port.stopListening)
        deadline = now + max(STILL_COMING_FOR, self._longest_deadline() + ANSWER_TIME)
        lifecycle.stop(now, deadline)
        self.sip.releases.on_reachable_change = self._update_reading
        self._close_when_done(now + STILL_COMING_FOR, deadline)

    def _update_reading(self) -> None:
        """Engines are read as long as what they send can be passed on."""
        if not self.switch.lifecycle.closed:
            self.engines.set_reading(self._can_pass_on())

    def _can_pass_on(self) -> bool:
        if self.switch.calls.unanswered or self.switch.peer_process is not None:
            return True
        return self.sip.releases.callers_reachable or bool(self.control and self.control.accepted)

    def _longest_deadline(self) -> float:
        """Ms that a caller may still wait; a class without a deadline counts as the most."""
        most = MAX_DEADLINE_REPLACED if self.switch.lifecycle.handed_over else MAX_DEADLINE
        return min(most, max(c.deadline or most for c in self.switch.settings.classes))

    def _close_when_done(self, earliest: float, deadline: float) -> None:
        now, lifecycle = self.switch.wheel.now, self.switch.lifecycle
        callers_stay = lifecycle.handed_over and len(self.sip.connections) > 0
        nothing_to_do = not self.switch.calls or not self._can_pass_on()
        done = now >= earliest and nothing_to_do and not callers_stay
        if not done and now < deadline:
            self._update_reading()
            if deadline - now < ENGINES_OPENED_UNTIL:
                self.engines.stop_opening()
            self.switch.wheel.call_after(CHECK_INTERVAL, self._close_when_done, earliest, deadline)
            return
        if self.engines.is_reading:
            self.engines.read_pending()  # and passed on, as long as callers are connected
        self.engines.set_reading(False)
        lifecycle.close()  # what still comes is rejected, and callers go
        self.switch.answer_all()
        self.switch.cut_calls_that_end_here()
        if self.control:
            self.control.stop()
        self._leave(now, deadline + UNWRITTEN_UNTIL)

    def _leave(self, closed_at: float, unwritten_until: float) -> None:
        """What was written last still goes out, and what lies unread is read and answered."""
        now = self.switch.wheel.now
        if self._callers_may_stay(now - closed_at) or (now < unwritten_until and self._has_unwritten_bytes()):
            self.switch.wheel.call_after(2 * self.switch.wheel.tick, self._leave, closed_at, unwritten_until)
        else:
            self.reactor.stop()

    def _callers_may_stay(self, elapsed: float) -> bool:
        return elapsed < (CALLERS_GONE_AFTER if len(self.sip.connections) > 0 else LAST_WRITES)

    def _has_unwritten_bytes(self) -> bool:
        return any(connection.has_unwritten_bytes for connection in self.sip.connections)
