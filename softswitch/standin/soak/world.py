"""Stand-ins of a soak, which produce the plan's faults and report events to the checker."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.protocol import Protocol

from softswitch.interface import CallId
from softswitch.net.engine_codec import MessageType, Parameter
from softswitch.standin.board import ListedEngine, WatchServer, WatchServerConnection
from softswitch.standin.caller import CallerConnection, Callers
from softswitch.standin.engine import Engine, EngineConnection, EngineSettings
from softswitch.standin.soak.checker import ANSWER_ALLOWANCE, Checker, SetupFields
from softswitch.standin.soak.plan import AttemptFault, CallClassPlan, Pressure
from softswitch.standin.soak.timeline import softswitch_of
from softswitch.standin.traffic import StreamSettings

LAG_INTERVAL = 0.01  # s between two samples of the clock
LAG_SAMPLES = 100  # the samples of one second
RETRY_AFTER_PARAMETER = 19  # message parameter: ms for which an overloaded engine asks for no new setups
RETRY_AFTER_RANGE = (300.0, 1_500.0)  # ms
FAULT_RELEASES = {  # cause and note of the release that rejects the attempt
    AttemptFault.FULL: (34, b"cpu_full"),
    AttemptFault.NO_CIRCUIT: (34, b"all_trunks_busy"),
    AttemptFault.ERROR: (47, b""),
    AttemptFault.BUSY: (17, b"number_busy"),
    AttemptFault.RESET: (41, b""),
}
# s; half of the callers that abandon do so within this time, since most calls are answered soon.
SHORT_DELAY = 0.06
NUMBERS = 1_000  # distinct called numbers, so that a busy number is rarely called again soon
HUNG_CALL_RETRY = 0.2  # s until a hung engine tries again to end a call


class LagMeter:
    """Measures how late the stand-ins read events: the longest event loop iteration of the last second."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self._delays: deque[float] = deque(maxlen=LAG_SAMPLES)
        self._next_due = 0.0

    def start(self) -> None:
        """Samples the clock periodically from now on."""
        self._next_due = self.reactor.seconds() + LAG_INTERVAL
        self.reactor.callLater(LAG_INTERVAL, self._sample)

    def _sample(self) -> None:
        self._delays.append(max(0.0, self.reactor.seconds() - self._next_due))
        self.start()

    @property
    def lag(self) -> float:
        """The present lag in seconds."""
        current_delay: float = max(0.0, self.reactor.seconds() - self._next_due)
        max_delay: float = max(self._delays, default=0.0)
        return LAG_INTERVAL + max(current_delay, max_delay)


def _port(connection: EngineConnection) -> int:
    port: int = connection.transport.getPeer().port
    return port


class SoakEngine(Engine):
    """An engine that can hang, reset connections and fail attempts, and reports to the checker."""

    def __init__(
        self,
        reactor: Any,
        settings: EngineSettings,
        seed: int,
        checker: Checker,
        lag: LagMeter,
        softswitch: str,
        pressure: Pressure,
    ) -> None:
        super().__init__(reactor, settings, seed)
        self.pressure = pressure
        self.rng = Random(f"attempts {seed}")
        self.softswitch = softswitch  # name of the softswitch that this engine serves
        self.checker = checker
        self.lag = lag
        self.hung = False
        self.attempts: dict[CallId, EngineConnection] = {}  # in flight: call -> connection
        self.written_releases: dict[CallId, int] = {}  # call -> cause, since the last connection was opened

    def _attempt_ended(
        self, call: CallId, outcome: str, may_have_run: bool = True, needs_retry_delay: bool = True
    ) -> None:
        if self.attempts.pop(call, None) is not None:
            now = self.reactor.seconds()
            self.checker.attempt_ended(
                now, call, self.settings.name, outcome, may_have_run, needs_retry_delay
            )

    def message_received(
        self, connection: EngineConnection, message_type: int, call: CallId, parameters: dict[int, bytes]
    ) -> None:
        """Reports the message to the checker. A hung engine ignores it otherwise."""
        now = self.reactor.seconds()
        if message_type == MessageType.SETUP:
            self._setup_received(now, connection, call, parameters)
        elif message_type == MessageType.RELEASE:
            self._attempt_ended(call, "withdrawn")
            self.checker.engine_notified(now, call)
        if self.hung:
            return
        if message_type == MessageType.SETUP and self.rng.random() < self.pressure.faulty_attempts:
            faults, weights = zip(*self.pressure.attempt_faults, strict=True)
            self._inject_fault(connection, call, self.rng.choices(faults, weights)[0])
        else:
            super().message_received(connection, message_type, call, parameters)

    def _setup_received(
        self, now: float, connection: EngineConnection, call: CallId, parameters: dict[int, bytes]
    ) -> None:
        lag = self.lag.lag
        self.checker.attempt_received(now, call, self.settings.name, lag)
        self.attempts[call] = connection
        call_class, number = (
            parameters.get(p, b"").decode("latin-1") for p in (Parameter.CALL_CLASS, Parameter.NUMBER)
        )
        fields = SetupFields(call_class, number, parameters.get(Parameter.DESCRIPTION, b""))
        time_left = float(parameters.get(Parameter.TIME_LEFT, b"0")) / 1000
        self.checker.setup_fields_received(now, call, fields, time_left, lag)

    def _inject_fault(self, connection: EngineConnection, call: CallId, fault: AttemptFault) -> None:
        """Rejects an attempt with a fault, or leaves it unanswered."""
        if fault is AttemptFault.SILENT:
            return
        never_ran = fault in (AttemptFault.FULL, AttemptFault.NO_CIRCUIT)
        self._attempt_ended(call, fault.value, not never_ran, fault is AttemptFault.RESET)
        cause, note = FAULT_RELEASES[fault]
        parameters = [(Parameter.CAUSE, bytes((cause,))), (Parameter.NOTE, note)]
        if fault is AttemptFault.FULL:
            parameters.append((RETRY_AFTER_PARAMETER, b"%d" % self.rng.uniform(*RETRY_AFTER_RANGE)))
        connection.send(MessageType.RELEASE, call, *parameters)

    def connection_opened(self, connection: EngineConnection) -> None:
        """Sends the releases that had no open connection, then retransmits those already written.

        The protocol requires an engine to repeat its releases on the next connection.
        """
        self._note(connection, "connection opened")
        for call in self.unsent_releases:
            self.checker.engine_released(self.reactor.seconds(), call)
        super().connection_opened(connection)
        releases, self.written_releases = self.written_releases, {}
        for call, cause in releases.items():
            self._note_release(connection, call, "release retransmitted")
            connection.send(MessageType.RELEASE, call, (Parameter.CAUSE, bytes((cause,))))

    def connection_closed(self, connection: EngineConnection) -> None:
        """Ends the attempts on a closed connection."""
        self._note(connection, "connection closed")
        for call in [call for call, used in self.attempts.items() if used is connection]:
            self._attempt_ended(call, "connection closed")
        super().connection_closed(connection)

    def _note(self, connection: EngineConnection, event: str) -> None:
        """Notes an event of a connection, which its port identifies."""
        event = f"{self.settings.name} from {_port(connection)}: {event}"
        self.checker.timeline.note(self.reactor.seconds(), self.softswitch, event)

    def _note_release(self, connection: EngineConnection, call: CallId, event: str) -> None:
        self.checker.note(self.reactor.seconds(), call, f"{event} to {_port(connection)}")

    def stop(self) -> None:
        """Simulates a crash, and reports the end of the engine's calls."""
        self.checker.engine_stopped(self.settings.name)
        super().stop()

    def reset_connections(self) -> None:
        """Resets all connections; the engine itself continues."""
        for connection in list(self.connections):
            for call in [call for call, used in self.attempts.items() if used is connection]:
                self._attempt_ended(call, "connection reset")
            connection.transport.abortConnection()

    def _send_state(self) -> None:
        if self.hung:
            self.state_timer = self.reactor.callLater(self.settings.state_interval, self._send_state)
        else:
            super()._send_state()

    def _reject(self, connection: EngineConnection, call: CallId, cause: int, note: bytes) -> None:
        self._attempt_ended(call, "refused", may_have_run=False)
        super()._reject(connection, call, cause, note)

    def _answer(self, call: CallId, description: bytes) -> None:
        if call in self.calls:
            self._attempt_ended(call, "answered")
        super()._answer(call, description)

    def _end_call(self, call: CallId) -> None:
        if self.hung and call in self.calls:
            self.calls[call].end_timer = self.reactor.callLater(HUNG_CALL_RETRY, self._end_call, call)
        else:
            super()._end_call(call)

    def _send_release(self, connection: EngineConnection, call: CallId, cause: int) -> None:
        if self.connections:
            self.checker.engine_released(self.reactor.seconds(), call)
            self.written_releases[call] = cause
            written_to = connection if connection in self.connections else next(iter(self.connections))
            self._note_release(written_to, call, "release written")
        super()._send_release(connection, call, cause)


class SilentWatchServerConnection(WatchServerConnection):
    """A connection to a watch server that is silent at times."""

    def send(self, event_number: int, event_type: int, payload: bytes = b"") -> None:
        """Sends one event, unless the watch server is silent."""
        assert isinstance(self.watch_server, SoakWatchServer)
        if not self.watch_server.silent:
            super().send(event_number, event_type, payload)


class SoakWatchServer(WatchServer):
    """A watch server that can go silent, and sends the missed events afterwards."""

    silent = False

    def buildProtocol(self, addr: object) -> WatchServerConnection:
        """Called by Twisted for each connection."""
        return SilentWatchServerConnection(self)

    def go_silent(self) -> None:
        """Sends nothing from now on. Connections stay open."""
        self.silent = True
        self._missed_from = self.event_number

    def resume(self) -> None:
        """Sends the missed events to all connections."""
        self.silent = False
        for event_number, event_type, payload in self.events:
            if event_number > self._missed_from:
                for connection in self.connections:
                    connection.send(event_number, event_type, payload)

    def change_health(self, engine: SoakEngine, health: str, born_ms: int = 0) -> None:
        """Sends an engine's health to all connections."""
        assert engine.address is not None
        self.change(ListedEngine(engine.settings.name, engine.address, engine.settings.cell, health, born_ms))


class SoakCallers(Callers):
    """The callers of one softswitch. They use a connection until it closes."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        seed: int,
        checker: Checker,
        lag: LagMeter,
        serving_process: Callable[[], str],
        was_killed: Callable[[], bool],
        pressure: Pressure,
    ) -> None:
        super().__init__(reactor, address, seed)
        self.checker = checker
        self.lag = lag
        self.serving_process = serving_process  # returns the process that accepts new connections
        self.was_killed = was_killed  # whether a process was just killed with SIGKILL
        self.connected_to = ""  # name of the process at the other end
        self.carried_setup = False  # whether a setup was sent on this connection
        self.pressure = pressure
        self.rng = Random(f"callers {seed}")

    def connection_up(self, connection: CallerConnection) -> None:
        """Notes the process at the other end of the new connection."""
        self.connected_to = self.serving_process()
        self.carried_setup = False
        self._note(f"caller connected, to {self.connected_to}")
        super().connection_up(connection)

    def connection_down(self, connection: CallerConnection) -> None:
        """Reports the connection's pending setups, which remain unanswered."""
        self._note("caller's connection closed")
        if self.connection is connection:
            self.checker.history_of(self.serving_process()).caller_disconnected(self.now())
            self.checker.connection_closed(self.now(), list(self.pending), self.was_killed())
        super().connection_down(connection)

    def _note(self, event: str) -> None:
        self.checker.timeline.note(self.now(), softswitch_of(self.serving_process()), event)

    def now(self) -> float:
        """Returns the time in seconds."""
        return float(self.reactor.seconds())

    def place_call(self, call_class: CallClassPlan, destination: int, answer_timeout: float) -> None:
        """Places one call to a destination cell, unless there is no open connection."""
        if self.connection is None:
            return
        self.answer_timeout = answer_timeout
        number = str(self.rng.randrange(NUMBERS))
        self.place(StreamSettings(call_class.name, 1.0, destination, number=number))
        call, now = f"{self.last_call_id:016x}", self.now()
        fields = SetupFields(call_class.name, number, self.pending[call].description)
        self.checker.setup_sent(now, call, answer_timeout, call_class.idempotent, self.connected_to, fields)
        self.pending[call].timer.reset(answer_timeout + ANSWER_ALLOWANCE)
        if not self.carried_setup:  # releases are not sent on a connection that has carried only OPTIONS
            self.carried_setup = True
            self.checker.history_of(self.connected_to).caller_connected(now)
        if self.rng.random() < self.pressure.leave_early:
            max_delay = self.rng.choice((min(answer_timeout, SHORT_DELAY), answer_timeout))
            self.reactor.callLater(self.rng.uniform(0.0, max_delay), self._abandon, call)

    def _abandon(self, call: str) -> None:
        pending_try = self.pending.get(call)
        if pending_try is None or self.connection is None:
            return
        self.connection.send(f"CANCEL sip:{pending_try.stream.number}@net SIP/2.0", call, "CANCEL")
        self.checker.caller_abandoned(self.now(), call)
        self._fail_try(call, 0, 0.0)

    def _hang_up(self, call: str) -> None:
        if call not in self.established or self.connection is None:
            return
        del self.established[call]
        self.connection.send("BYE sip:call@net SIP/2.0", call, "BYE", "Reason: Q.850;cause=16")
        self.checker.caller_hung_up(self.now(), call)

    def _timed_out(self, call: str) -> None:
        self.checker.answer_timed_out(self.now(), call)
        super()._timed_out(call)

    def message_received(
        self, connection: CallerConnection, start_line: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Reports the message to the checker and schedules the release of some established calls."""
        now, call = self.now(), headers.get("call-id", "")
        if start_line.startswith("BYE"):
            self.checker.caller_notified(now, call)
        elif start_line.startswith("SIP/") and headers.get("cseq", "").endswith("INVITE"):
            code = int(start_line.split(" ")[1])
            if code >= 200:
                self.checker.answer_received(now, call, code, self.lag.lag)
        super().message_received(connection, start_line, headers, body)
        if call in self.established and self.rng.random() < self.pressure.hang_up:
            self.reactor.callLater(self.rng.uniform(0.0, 1.0), self._hang_up, call)


class CrowdConnection(Protocol):
    """A connection that stays idle or sends only part of a message."""

    def __init__(self, first_bytes: bytes) -> None:
        self.first_bytes = first_bytes

    def connectionMade(self) -> None:
        """Sends the first bytes. Called by Twisted."""
        self.transport.write(self.first_bytes)
