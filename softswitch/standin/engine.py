"""A stand-in quote engine with a configured number of circuits and a single-server processor queue.

The processor does one piece of work at a time: call setups first, then answers, rejections and releases, as
an overloaded processor does. A call seizes its circuits when the processor handles its setup, and holds them
until it ends. Times are in seconds, except those that the wire protocol counts in milliseconds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import sqrt
from random import Random
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int16StringReceiver

from softswitch.interface import CallId
from softswitch.net.engine_codec import (
    MAX_MESSAGE,
    NO_CALL,
    MessageType,
    Parameter,
    decode_message,
    encode_message,
)

ACCEPTED_TYPES = frozenset(
    {
        MessageType.SETUP,
        MessageType.PROGRESS,
        MessageType.RELEASE,
        MessageType.ACKNOWLEDGE,
        MessageType.PROBE,
    }
)
NORMAL, ERROR, NO_CIRCUIT, CUT = 16, 47, 34, 41  # Q.850 causes of a release


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Name, capacity and processing times of one engine."""

    name: str  # `s-` and 8 hex digits
    cell: int  # the cell that it belongs to; calls may prefer one
    circuits: int = 1000
    widths: dict[str, int] = field(default_factory=dict)  # circuits per call, by class; default 1
    hold: dict[str, float] = field(default_factory=dict)  # mean holding time in s, by class; default 8
    hold_distribution: str = "exponential"  # or "constant"
    work: float = 0.0  # processor time of a setup, in s
    answer_work: float = 0.25  # processor time of an answer, as a fraction of `work`
    release_work: float = 0.15  # the same for a release
    reject_work: float = 0.2  # the same for a rejection
    max_queue: float = 2.5  # s of queued work above which setups are rejected
    state_interval: float = 0.5  # s between two unsolicited load reports
    reserve: int = 0  # circuits reserved for calls whose number starts with `reserve_prefix`
    reserve_prefix: str = ""
    # A started engine warms up for `warm_up` s. Its capacity, in setups per s, grows meanwhile from
    # `initial_capacity` * `warm_capacity` to `warm_capacity`. It crashes if it receives more than
    # `overload_factor` times its present capacity within `overload_window` s.
    warm_capacity: float = 0.0  # 0: no warm-up
    warm_up: float = 6.0
    initial_capacity: float = 0.3
    overload_factor: float = 3.0
    overload_window: float = 1.0
    restart_delay: float = 2.0  # s from a crash to the restart

    def __post_init__(self) -> None:
        if self.circuits < 1 or self.reserve < 0 or self.reserve >= self.circuits:
            raise ValueError(
                f"engine {self.name}: circuits must be at least 1, and reserve smaller than circuits"
            )
        if self.hold_distribution not in ("exponential", "constant"):
            raise ValueError(f"engine {self.name}: hold_distribution must be exponential or constant")
        if min(self.work, self.max_queue, self.state_interval, *self.hold.values(), 0.0) < 0:
            raise ValueError(f"engine {self.name}: times must be 0 or more")


@dataclass(slots=True)
class EngineCall:
    """A call that holds circuits of this engine."""

    connection: EngineConnection
    width: int
    klass: str  # the call class
    answered: bool = False
    end_timer: Any = None  # timer of the holding time


class EngineConnection(Int16StringReceiver):
    """A connection from a softswitch."""

    MAX_LENGTH = MAX_MESSAGE

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def connectionMade(self) -> None:
        """Registers the connection. Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.engine.connection_opened(self)

    def connectionLost(self, reason: object = None) -> None:
        """Removes the connection. Called by Twisted."""
        self.engine.connection_closed(self)

    def stringReceived(self, data: bytes) -> None:
        """Decodes a complete message. Called by Twisted."""
        try:
            message = decode_message(data, ACCEPTED_TYPES)
        except ValueError as e:
            self.engine.count[f"unreadable: {e}"] += 1
            self.transport.loseConnection()
            return
        self.engine.message_received(self, message.type, message.call, message.parameters)

    def send(self, message_type: int, call: CallId, *parameters: tuple[int, bytes]) -> None:
        """Sends one message, unless the connection is closed."""
        if self.transport.connected:
            self.sendString(encode_message(message_type, call, *parameters))


class Engine(Factory):
    """One engine.

    `reactor` provides the clock, timers and sockets. `observer` is called with an event and the call's id:
    "set-up" (received), "stands" (established) or "over" (released by the engine).
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        settings: EngineSettings,
        seed: int,
        observer: Callable[[str, str], None] | None = None,
    ) -> None:
        self.reactor, self.settings, self.random = reactor, settings, Random(seed)
        self.observer = observer or (lambda event, call: None)
        # Called with the call's id and class for each setup received.
        self.on_setup: Callable[[str, str], None] | None = None
        self.connections: dict[EngineConnection, None] = {}
        self.calls: dict[CallId, EngineCall] = {}
        # Releases without an open connection to send them on: call -> cause. At most 4,096.
        self.unsent_releases: dict[CallId, bytes] = {}
        self.used = 0  # circuits that calls hold
        # By event, under the names in reports: "stood" counts answers, "ended" calls that the engine ended,
        # "given up" setups withdrawn from the queue, and "fell" crashes.
        self.count: Counter[str] = Counter()
        self.circuit_seconds, self.used_changed_at = 0.0, reactor.seconds()  # integral of `used`
        self.setup_queue: deque[tuple[float, Callable[[], None]]] = deque()
        self.other_queue: deque[tuple[float, Callable[[], None]]] = deque()
        self.queued_work, self.busy = 0.0, False  # s of work in both queues
        self.slowdown = 1.0  # factor on all processing times
        self.port: Any = None
        self.address: tuple[str, int] | None = None
        self.started_at: float | None = None  # time of the last restart; None: has not restarted, warmed up
        self.on_started: Callable[[Engine], None] | None = None  # called after each restart
        self.recent_setups: deque[float] = deque()  # times in the last `overload_window`, while warming up
        self.state_timer: Any = None
        self.queued_setups: dict[CallId, EngineConnection] = {}  # by call

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> tuple[str, int]:
        """Listens and sends periodic load reports from now on."""
        self.port = self.reactor.listenTCP(port, self, interface=host, backlog=64)
        self._send_state()
        self.address = host, self.port.getHost().port
        return self.address

    def restart(self) -> None:
        """Simulates a new process at the same address, which has to warm up."""
        if self.port is not None:
            self.stop()
        self.started_at = self.reactor.seconds()
        self.recent_setups.clear()
        self._listen_again()

    def _listen_again(self) -> None:
        assert self.address is not None
        try:
            self.listen(*self.address)
        except CannotListenError:  # the old socket closes at the end of this reactor iteration
            self.reactor.callLater(0.01, self._listen_again)
            return
        if self.on_started is not None:
            self.on_started(self)

    def capacity_fraction(self) -> float:
        """Returns the present capacity as a fraction of `warm_capacity`."""
        age = (
            self.reactor.seconds() - self.started_at if self.started_at is not None else self.settings.warm_up
        )
        if not self.settings.warm_capacity or age >= self.settings.warm_up:
            return 1.0
        return float(self.settings.initial_capacity ** (1 - age / self.settings.warm_up))

    def _is_overloading(self) -> bool:
        """Records a setup; returns whether it overloads the engine, which is still warming up."""
        now, fraction = self.reactor.seconds(), self.capacity_fraction()
        if fraction >= 1.0:
            return False
        self.recent_setups.append(now)
        while self.recent_setups[0] <= now - self.settings.overload_window:
            self.recent_setups.popleft()
        limit = (
            self.settings.overload_factor
            * self.settings.warm_capacity
            * fraction
            * self.settings.overload_window
        )
        # The maximum load during warm-up, in % of the limit.
        self.count["most of what a cold engine bears, %"] = max(
            self.count["most of what a cold engine bears, %"], round(100 * len(self.recent_setups) / limit)
        )
        # The number of random arrivals varies by its square root; only an excess beyond that is overload.
        return len(self.recent_setups) > limit + 3 * sqrt(limit) + 3

    def _crash(self) -> None:
        self.count["fell"] += 1
        self.stop()
        self.reactor.callLater(self.settings.restart_delay, self.restart)

    def stop(self) -> None:
        """Simulates a crash: resets all connections and drops all calls."""
        if self.port is None:
            return
        for timer in (self.state_timer, *(c.end_timer for c in self.calls.values())):
            if timer is not None and timer.active():
                timer.cancel()
        self.port.stopListening()
        self.port = None
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self._change_used(-self.used)
        self.calls.clear()
        self.queued_setups.clear()

    def buildProtocol(self, addr: object) -> EngineConnection:
        """Called by Twisted for each connection."""
        return EngineConnection(self)

    # Circuits and processor

    @property
    def available_circuits(self) -> int:
        """Circuits not held by a call."""
        return self.settings.circuits - self.used

    def _change_used(self, circuits: int) -> None:
        now = self.reactor.seconds()
        self.circuit_seconds += self.used * (now - self.used_changed_at)
        self.used_changed_at, self.used = now, self.used + circuits

    def _enqueue(self, fraction: float, work: Callable[[], None], is_setup: bool = False) -> None:
        """Queues `work`, which takes `fraction` of a setup's processor time.

        Work that takes no time is done at once if the processor is idle.
        """
        cost = fraction * self.settings.work * self.slowdown / self.capacity_fraction()
        if cost <= 0 and not self.busy:
            work()
            return
        (self.setup_queue if is_setup else self.other_queue).append((cost, work))
        self.queued_work += cost
        if not self.busy:
            self._start_next()

    def _start_next(self) -> None:
        queue = self.setup_queue or self.other_queue
        if not queue:
            self.busy, self.queued_work = False, 0.0
            return
        self.busy = True
        cost, work = queue.popleft()
        self.reactor.callLater(cost, self._work_done, cost, work)

    def _work_done(self, cost: float, work: Callable[[], None]) -> None:
        self.queued_work = max(0.0, self.queued_work - cost)
        work()
        self._start_next()

    # Wire protocol

    def load_report(self) -> bytes:
        """Encodes the load report: available and total circuits, and the setups per s it can accept."""
        seconds_per_call = (
            self.settings.work * self.slowdown * (1 + self.settings.answer_work + self.settings.release_work)
        )
        remaining = max(0.0, 1 - self.queued_work / max(self.settings.max_queue, 1e-9))
        return b"x0:%d;x1:%d;qps:%.1f" % (
            self.available_circuits,
            self.settings.circuits,
            remaining / seconds_per_call if seconds_per_call else 10_000,
        )

    def _send_state(self) -> None:
        self.state_timer = self.reactor.callLater(self.settings.state_interval, self._send_state)
        for connection in self.connections:
            connection.send(MessageType.STATE, NO_CALL, (Parameter.REPORT, self.load_report()))

    def connection_opened(self, connection: EngineConnection) -> None:
        """Sends the load report first, then the releases that had no open connection."""
        self.connections[connection] = None
        connection.send(MessageType.STATE, NO_CALL, (Parameter.REPORT, self.load_report()))
        unsent, self.unsent_releases = self.unsent_releases, {}
        for call, cause in unsent.items():
            connection.send(
                MessageType.RELEASE, call, (Parameter.CAUSE, cause), (Parameter.REPORT, self.load_report())
            )

    def connection_closed(self, connection: EngineConnection) -> None:
        """Drops the connection's pending setups. Established calls continue."""
        self.connections.pop(connection, None)
        for call in [c for c, used in self.queued_setups.items() if used is connection]:
            del self.queued_setups[call]
        for call in [c for c, e in self.calls.items() if e.connection is connection and not e.answered]:
            self._remove_call(call)

    def message_received(
        self, connection: EngineConnection, message_type: int, call: CallId, parameters: dict[int, bytes]
    ) -> None:
        """Handles a message from a softswitch."""
        if message_type == MessageType.SETUP:
            self.count["set-ups"] += 1
            self.observer("set-up", call)
            if self.on_setup is not None:
                self.on_setup(call, parameters.get(Parameter.CALL_CLASS, b"").decode("latin-1"))
            if self._is_overloading():
                return self._crash()
            if self.queued_work > self.settings.max_queue:
                self.count["refused: processor"] += 1
                self._enqueue(
                    self.settings.reject_work, lambda: self._reject(connection, call, NO_CIRCUIT, b"cpu_full")
                )
            else:
                self.queued_setups[call] = connection
                self._enqueue(1.0, lambda: self._process_setup(connection, call, parameters), is_setup=True)
        elif message_type == MessageType.RELEASE:
            self.queued_setups.pop(call, None)
            if call in self.calls:
                self.count["released by softswitches"] += 1
                self._remove_call(call)
                self._enqueue(
                    self.settings.release_work, lambda: connection.send(MessageType.ACKNOWLEDGE, call)
                )
        elif message_type == MessageType.PROBE:
            connection.send(
                MessageType.PROBE_ANSWER,
                call,
                (Parameter.CAUSE, b"\1"),
                (Parameter.REPORT, self.load_report()),
            )
        return None

    def _process_setup(
        self, connection: EngineConnection, call: CallId, parameters: dict[int, bytes]
    ) -> None:
        if self.queued_setups.pop(call, None) is None:
            self.count["given up"] += 1
            return
        call_class = parameters.get(Parameter.CALL_CLASS, b"").decode("latin-1")
        width, number = (
            self.settings.widths.get(call_class, 1),
            parameters.get(Parameter.NUMBER, b"").decode("latin-1"),
        )
        reserved = self.settings.reserve if not number.startswith(self.settings.reserve_prefix) else 0
        if self.available_circuits < width + reserved:
            self.count["refused: circuits"] += 1
            self._enqueue(
                self.settings.reject_work,
                lambda: self._reject(connection, call, NO_CIRCUIT, b"all_trunks_busy"),
            )
            return
        self._change_used(width)
        self.calls[call] = EngineCall(connection, width, call_class)
        self._enqueue(
            self.settings.answer_work, lambda: self._answer(call, parameters.get(Parameter.DESCRIPTION, b""))
        )

    def _reject(self, connection: EngineConnection, call: CallId, cause: int, note: bytes) -> None:
        connection.send(
            MessageType.RELEASE,
            call,
            (Parameter.CAUSE, bytes((cause,))),
            (Parameter.NOTE, note),
            (Parameter.REPORT, self.load_report()),
        )

    def _answer(self, call: CallId, description: bytes) -> None:
        engine_call = self.calls.get(call)
        if engine_call is None:
            return  # released while its answer was queued
        engine_call.answered = True
        self.count["stood"] += 1
        self.observer("stands", call)
        mean = self.settings.hold.get(engine_call.klass, 8.0)
        holding_time = (
            self.random.expovariate(1 / mean) if self.settings.hold_distribution == "exponential" else mean
        )
        engine_call.connection.send(
            MessageType.ANSWER,
            call,
            (Parameter.DESCRIPTION, b"engine " + self.settings.name.encode() + b"\r\n" + description),
        )
        engine_call.end_timer = self.reactor.callLater(holding_time, self._end_call, call)

    def _end_call(self, call: CallId) -> None:
        engine_call = self.calls.get(call)
        if engine_call is not None:
            self.count["ended"] += 1
            self._remove_call(call)
            self._enqueue(
                self.settings.release_work,
                lambda: self._send_release(engine_call.connection, call, NORMAL),
            )

    def _send_release(self, connection: EngineConnection, call: CallId, cause: int) -> None:
        self.observer("over", call)
        connection = (
            connection if connection in self.connections else next(iter(self.connections), connection)
        )
        if connection in self.connections:
            connection.send(
                MessageType.RELEASE,
                call,
                (Parameter.CAUSE, bytes((cause,))),
                (Parameter.REPORT, self.load_report()),
            )
        elif len(self.unsent_releases) < 4_096:
            self.unsent_releases[call] = bytes((cause,))

    def cut(self, fraction: float) -> int:
        """Releases a random fraction of the established calls with cause CUT, and returns their number."""
        cut_calls = [c for c, e in self.calls.items() if e.answered and self.random.random() < fraction]
        for call in cut_calls:
            connection = self.calls[call].connection
            self._remove_call(call)
            self._send_release(connection, call, CUT)
        return len(cut_calls)

    def _remove_call(self, call: CallId) -> None:
        engine_call = self.calls.pop(call)
        self._change_used(-engine_call.width)
        if engine_call.end_timer is not None and engine_call.end_timer.active():
            engine_call.end_timer.cancel()
