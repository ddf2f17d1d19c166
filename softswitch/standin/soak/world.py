"""Stand-ins of a soak: they report to the checker what they see, and have the faults of the plan."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.protocol import Protocol

from softswitch.net.engine_codec import MessageType, Parameter
from softswitch.standin.board import ListedEngine, WatchServer, WatchServerConnection
from softswitch.standin.caller import CallerConnection, Callers
from softswitch.standin.engine import Engine, EngineConnection, EngineSettings
from softswitch.standin.soak.checker import ANSWER_ALLOWANCE, Checker, SetupFields
from softswitch.standin.soak.plan import AttemptFault, CallClassPlan, Pressure
from softswitch.standin.soak.timeline import softswitch_of
from softswitch.standin.traffic import StreamSettings

LAG_EVERY = 0.01  # s between two looks at the clock
LAG_KEPT = 100  # looks: a second of them
PROCESSOR_WAIT = 19  # parameter: ms that a full processor asks to be left alone
FULL_FOR = (300.0, 1_500.0)  # ms
FAULT_ANSWERS = {  # the cause and the note of a release
    AttemptFault.FULL: (34, b"cpu_full"),
    AttemptFault.NO_CIRCUIT: (34, b"all_trunks_busy"),
    AttemptFault.ERROR: (47, b""),
    AttemptFault.BUSY: (17, b"number_busy"),
    AttemptFault.RESET: (41, b""),
}
SOON = 0.06  # s
NUMBERS = 1_000  # called; a number that was busy is rarely called again soon
HUNG_CALL_RETRY = 0.2  # s until a hung engine's call is tried again to be ended


class LagMeter:
    """How late the stand-ins read what comes: the longest turn of their event loop in the last second."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self._late: deque[float] = deque(maxlen=LAG_KEPT)
        self._due = 0.0

    def start(self) -> None:
        """Looks from now on."""
        self._due = self.reactor.seconds() + LAG_EVERY
        self.reactor.callLater(LAG_EVERY, self._look)

    def _look(self) -> None:
        self._late.append(max(0.0, self.reactor.seconds() - self._due))
        self.start()

    @property
    def lag(self) -> float:
        """Seconds."""
        now_late: float = max(0.0, self.reactor.seconds() - self._due)
        longest: float = max(self._late, default=0.0)
        return LAG_EVERY + max(now_late, longest)


def _port(connection: EngineConnection) -> int:
    port: int = connection.transport.getPeer().port
    return port


class SoakEngine(Engine):
    """An engine that hangs, resets and reports."""

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
        self.draws = Random(f"attempts {seed}")
        self.softswitch = softswitch  # that it serves
        self.checker = checker
        self.lag = lag
        self.hung = False
        self.attempts: dict[str, EngineConnection] = {}  # that are out, by call
        self.written_releases: dict[str, int] = {}  # since a connection was opened last: call, cause

    def _attempt_over(
        self, call: str, what: str, may_have_run: bool = True, needs_retry_delay: bool = True
    ) -> None:
        if self.attempts.pop(call, None) is not None:
            now = self.reactor.seconds()
            self.checker.attempt_ended(now, call, self.settings.name, what, may_have_run, needs_retry_delay)

    def message_received(
        self, connection: EngineConnection, message_type: int, call: str, parameters: dict[int, bytes]
    ) -> None:
        """A message came; a hung engine does nothing with it."""
        now = self.reactor.seconds()
        if message_type == MessageType.SETUP:
            self._setup_came(now, connection, call, parameters)
        elif message_type == MessageType.RELEASE:
            self._attempt_over(call, "withdrawn")
            self.checker.engine_notified(now, call)
        if self.hung:
            return
        if message_type == MessageType.SETUP and self.draws.random() < self.pressure.faulty_attempts:
            faults, weights = zip(*self.pressure.attempt_faults, strict=True)
            self._spoil(connection, call, self.draws.choices(faults, weights)[0])
        else:
            super().message_received(connection, message_type, call, parameters)

    def _setup_came(
        self, now: float, connection: EngineConnection, call: str, parameters: dict[int, bytes]
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

    def _spoil(self, connection: EngineConnection, call: str, fault: AttemptFault) -> None:
        """Answers an attempt with a fault, or never."""
        if fault is AttemptFault.SILENT:
            return
        never_ran = fault in (AttemptFault.FULL, AttemptFault.NO_CIRCUIT)
        self._attempt_over(call, fault.value, not never_ran, fault is AttemptFault.RESET)
        cause, note = FAULT_ANSWERS[fault]
        parameters = [(Parameter.CAUSE, bytes((cause,))), (Parameter.NOTE, note)]
        if fault is AttemptFault.FULL:
            parameters.append((PROCESSOR_WAIT, b"%d" % self.draws.uniform(*FULL_FOR)))
        connection.send(MessageType.RELEASE, call, *parameters)

    def connection_opened(self, connection: EngineConnection) -> None:
        """A connection is up: releases that had none go out.

        Those that were written go out once more, as the protocol says: on the next connection as well.
        """
        self._note(connection, "connection opened")
        for call in self.unsent_releases:
            self.checker.engine_released(self.reactor.seconds(), call)
        super().connection_opened(connection)
        again, self.written_releases = self.written_releases, {}
        for call, cause in again.items():
            self._note_release(connection, call, "release written once more")
            connection.send(MessageType.RELEASE, call, (Parameter.CAUSE, bytes((cause,))))

    def connection_closed(self, connection: EngineConnection) -> None:
        """A connection is over, and the attempts on it."""
        self._note(connection, "connection over")
        for call in [call for call, at in self.attempts.items() if at is connection]:
            self._attempt_over(call, "connection over")
        super().connection_closed(connection)

    def _note(self, connection: EngineConnection, event: str) -> None:
        """An event of a connection; its port tells it from the others."""
        event = f"{self.settings.name} from {_port(connection)}: {event}"
        self.checker.timeline.note(self.reactor.seconds(), self.softswitch, event)

    def _note_release(self, connection: EngineConnection, call: str, event: str) -> None:
        self.checker.note(self.reactor.seconds(), call, f"{event} to {_port(connection)}")

    def stop(self) -> None:
        """A crash: its calls are gone."""
        self.checker.engine_stopped(self.settings.name)
        super().stop()

    def reset_connections(self) -> None:
        """Hangs up on everybody; the process goes on."""
        for connection in list(self.connections):
            for call in [call for call, at in self.attempts.items() if at is connection]:
                self._attempt_over(call, "connection reset")
            connection.transport.abortConnection()

    def _send_state(self) -> None:
        if self.hung:
            self.state_timer = self.reactor.callLater(self.settings.state_interval, self._send_state)
        else:
            super()._send_state()

    def _reject(self, connection: EngineConnection, call: str, cause: int, note: bytes) -> None:
        self._attempt_over(call, "refused", may_have_run=False)
        super()._reject(connection, call, cause, note)

    def _answer(self, call: str, description: bytes) -> None:
        if call in self.calls:
            self._attempt_over(call, "answered")
        super()._answer(call, description)

    def _end_call(self, call: str) -> None:
        if self.hung and call in self.calls:
            self.calls[call].end_timer = self.reactor.callLater(HUNG_CALL_RETRY, self._end_call, call)
        else:
            super()._end_call(call)

    def _send_release(self, connection: EngineConnection, call: str, cause: int) -> None:
        if self.connections:
            self.checker.engine_released(self.reactor.seconds(), call)
            self.written_releases[call] = cause
            written_on = connection if connection in self.connections else next(iter(self.connections))
            self._note_release(written_on, call, "release written")
        super()._send_release(connection, call, cause)


class SilentWatchServerConnection(WatchServerConnection):
    """A softswitch's connection to a board that falls silent now and then."""

    def send(self, event_number: int, event_type: int, payload: bytes = b"") -> None:
        """Nothing is said while the board is silent."""
        assert isinstance(self.watch_server, SoakWatchServer)
        if not self.watch_server.silent:
            super().send(event_number, event_type, payload)


class SoakWatchServer(WatchServer):
    """A board that falls silent, and tells what was missed afterwards."""

    silent = False

    def buildProtocol(self, addr: object) -> WatchServerConnection:
        """Called by Twisted."""
        return SilentWatchServerConnection(self)

    def go_silent(self) -> None:
        """Connections stay, and bring nothing."""
        self.silent = True
        self._missed_from = self.event_number

    def resume(self) -> None:
        """What was missed is told."""
        self.silent = False
        for event_number, event_type, payload in self.events:
            if event_number > self._missed_from:
                for connection in self.connections:
                    connection.send(event_number, event_type, payload)

    def change_health(self, engine: SoakEngine, health: str, born_ms: int = 0) -> None:
        """Tells everybody of an engine's health."""
        assert engine.address is not None
        self.change(ListedEngine(engine.settings.name, engine.address, engine.settings.cell, health, born_ms))


class SoakCallers(Callers):
    """The callers of one softswitch. They use an open connection for as long as it is there."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        seed: int,
        checker: Checker,
        lag: LagMeter,
        process: Callable[[], str],
        was_killed: Callable[[], bool],
        pressure: Pressure,
    ) -> None:
        super().__init__(reactor, address, seed)
        self.checker = checker
        self.lag = lag
        self.process = process  # which process takes new connections
        self.was_killed = was_killed  # whether SIGKILL went to a process just now
        self.connected_to = ""
        self.carried_setup = False  # whether a set-up went out on this connection
        self.pressure = pressure
        self.draws = Random(f"callers {seed}")

    def connection_up(self, connection: CallerConnection) -> None:
        """A connection is up."""
        self.connected_to = self.process()
        self.carried_setup = False
        self._note(f"caller connected, to {self.connected_to}")
        super().connection_up(connection)

    def connection_down(self, connection: CallerConnection) -> None:
        """The connection is over: what was sent on it is never answered."""
        self._note("caller's connection over")
        if self.connection is connection:
            self.checker.surroundings_of(self.process()).caller_disconnected(self.reactor_now())
            self.checker.connection_closed(self.reactor_now(), list(self.pending), self.was_killed())
        super().connection_down(connection)

    def _note(self, event: str) -> None:
        self.checker.timeline.note(self.reactor_now(), softswitch_of(self.process()), event)

    def reactor_now(self) -> float:
        """Seconds."""
        return float(self.reactor.seconds())

    def place_call(self, call_class: CallClassPlan, destination: int, patience: float) -> None:
        """One call, unless no connection is up."""
        if self.connection is None:
            return
        self.answer_timeout = patience
        number = str(self.draws.randrange(NUMBERS))
        self.place(StreamSettings(call_class.name, 1.0, destination, number=number))
        call, now = f"{self.last_call_id:016x}", self.reactor_now()
        fields = SetupFields(call_class.name, number, self.pending[call].description)
        self.checker.setup_sent(now, call, patience, call_class.idempotent, self.connected_to, fields)
        self.pending[call].timer.reset(patience + ANSWER_ALLOWANCE)
        if not self.carried_setup:  # what only tests connect for can carry no release
            self.carried_setup = True
            self.checker.surroundings_of(self.connected_to).caller_connected(now)
        if self.draws.random() < self.pressure.leave_early:
            latest = self.draws.choice((min(patience, SOON), patience))  # most calls are answered soon
            self.reactor.callLater(self.draws.uniform(0.0, latest), self._leave, call)

    def _leave(self, call: str) -> None:
        pending_try = self.pending.get(call)
        if pending_try is None or self.connection is None:
            return
        self.connection.send(f"CANCEL sip:{pending_try.stream.number}@net SIP/2.0", call, "CANCEL")
        self.checker.caller_abandoned(self.reactor_now(), call)
        self._fail_try(call, 0, 0.0)

    def _hang_up(self, call: str) -> None:
        if call not in self.established or self.connection is None:
            return
        del self.established[call]
        self.connection.send("BYE sip:call@net SIP/2.0", call, "BYE", "Reason: Q.850;cause=16")
        self.checker.caller_hung_up(self.reactor_now(), call)

    def _timed_out(self, call: str) -> None:
        self.checker.answer_timed_out(self.reactor_now(), call)
        super()._timed_out(call)

    def message_received(
        self, connection: CallerConnection, start_line: str, headers: dict[str, str], body: bytes
    ) -> None:
        """A message came."""
        now, call = self.reactor_now(), headers.get("call-id", "")
        if start_line.startswith("BYE"):
            self.checker.caller_notified(now, call)
        elif start_line.startswith("SIP/") and headers.get("cseq", "").endswith("INVITE"):
            code = int(start_line.split(" ")[1])
            if code >= 200:
                self.checker.answer_received(now, call, code, self.lag.lag)
        super().message_received(connection, start_line, headers, body)
        if call in self.established and self.draws.random() < self.pressure.hang_up:
            self.reactor.callLater(self.draws.uniform(0.0, 1.0), self._hang_up, call)


class CrowdConnection(Protocol):
    """A connection that nobody uses, or that a half of a message came on."""

    def __init__(self, first_bytes: bytes) -> None:
        self.first_bytes = first_bytes

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.write(self.first_bytes)
