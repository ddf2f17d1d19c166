"""A quote engine with a stated number of circuits and a processor of one line.

Work is done in turn: new set-ups first, then answers, refusals and releases, as at a pressed processor.
A call takes its circuits when its set-up is looked at, and holds them until it ends. Times are seconds in the
settings and in the code, but for what the wire counts in milliseconds.
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

from softswitch.net.engine_codec import (
    MAX_MESSAGE,
    NO_CALL,
    MessageType,
    Parameter,
    decode_message,
    encode_message,
)

ACCEPTED = frozenset(
    {
        MessageType.SETUP,
        MessageType.PROGRESS,
        MessageType.RELEASE,
        MessageType.ACKNOWLEDGE,
        MessageType.PROBE,
    }
)
NORMAL, ERROR, NO_CIRCUIT, CUT = 16, 47, 34, 41


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """What one engine is and can do."""

    name: str  # `s-` and 8 hex digits
    cell: int
    circuits: int = 1000
    widths: dict[str, int] = field(default_factory=dict)  # circuits a call takes, by class; else 1
    hold: dict[str, float] = field(default_factory=dict)  # mean seconds that a call stands, by class; else 8
    hold_kind: str = "exponential"  # or "constant"
    work: float = 0.0  # seconds that a set-up takes the processor
    answer_work: float = 0.25  # of a set-up's: an answer
    release_work: float = 0.15  # a release
    refuse_work: float = 0.2  # a refusal
    longest_wait: float = 2.5  # seconds of the processor's queue over which set-ups are refused
    state_every: float = 0.5  # seconds between two states told unasked
    reserve: int = 0  # circuits kept for calls whose number begins with `own`
    reserve_prefix: str = ""
    # A started engine is cold for so long; it bears `cold_from` of `bears` set-ups a second at first, then
    # more. More than `overload_factor` times what it bears then, within `overload_for`, push it over.
    warm_capacity: float = 0.0  # 0: it is warm at once
    warm_up: float = 6.0
    initial_capacity: float = 0.3
    overload_factor: float = 3.0
    overload_window: float = 1.0
    restart_delay: float = 2.0  # seconds after a fall until it is started again

    def __post_init__(self) -> None:
        if self.circuits < 1 or self.reserve < 0 or self.reserve >= self.circuits:
            raise ValueError(f"engine {self.name}: at least one circuit, and a reserve smaller than that")
        if self.hold_kind not in ("exponential", "constant"):
            raise ValueError(f"engine {self.name}: hold_kind is exponential or constant")
        if min(self.work, self.longest_wait, self.state_every, *self.hold.values(), 0.0) < 0:
            raise ValueError(f"engine {self.name}: times are 0 or more")


@dataclass(slots=True)
class Standing:
    """A call that this engine has: its circuits, where it came from, and its end."""

    line: EngineSide
    width: int
    klass: str
    answered: bool = False
    end: Any = None  # the timer that ends it


class EngineSide(Int16StringReceiver):
    """One connection from a softswitch."""

    MAX_LENGTH = MAX_MESSAGE

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.engine.opened(self)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted."""
        self.engine.closed(self)

    def stringReceived(self, data: bytes) -> None:
        """Called by Twisted: a message is complete."""
        try:
            message = decode_message(data, ACCEPTED)
        except ValueError as e:
            self.engine.count[f"unreadable: {e}"] += 1
            self.transport.loseConnection()
            return
        self.engine.message_received(self, message.type, message.call, message.parameters)

    def send(self, kind: int, call: str, *parameters: tuple[int, bytes]) -> None:
        """Sends one message, unless the connection is over."""
        if self.transport.connected:
            self.sendString(encode_message(kind, call, *parameters))


class Engine(Factory):
    """One engine. `reactor` gives time and timers; `watch` is told ("set-up", "stands", "over", call)."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        settings: EngineSettings,
        seed: int,
        watch: Callable[[str, str], None] | None = None,
    ) -> None:
        self.reactor, self.settings, self.random = reactor, settings, Random(seed)
        self.watch = watch or (lambda what, call: None)
        self.on_setup: Callable[[str, str], None] | None = (
            None  # told (call, class) of each set-up as it comes
        )
        self.lines: dict[EngineSide, None] = {}
        self.calls: dict[str, Standing] = {}
        self.unsaid: dict[str, bytes] = {}  # releases with no connection to go out on; at most 4,096
        self.used = 0
        self.count: Counter[str] = Counter()
        self.integral, self.since = 0.0, reactor.seconds()  # circuit-seconds in use
        self.new: deque[tuple[float, Callable[[], None]]] = deque()
        self.rest: deque[tuple[float, Callable[[], None]]] = deque()
        self.queued_work, self.working = 0.0, False  # seconds of work that wait
        self.slow = 1.0  # times as slow as it is
        self.port: Any = None
        self.address: tuple[str, int] | None = None
        self.born: float | None = None  # when it was started, where it began cold
        self.on_started: Callable[[Engine], None] | None = None
        self.lately: deque[float] = deque()  # set-ups of the last `overload_for`, while it is cold
        self.beat: Any = None
        self.waiting: dict[str, EngineSide] = {}  # set-ups in the processor's queue

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> tuple[str, int]:
        """Listens, and tells its state from now on."""
        self.port = self.reactor.listenTCP(port, self, interface=host, backlog=64)
        self._state()
        self.address = host, self.port.getHost().port
        return self.address

    def restart(self) -> None:
        """A new process at the same address, cold."""
        if self.port is not None:
            self.stop()
        self.born = self.reactor.seconds()
        self.lately.clear()
        self._again()

    def _again(self) -> None:
        assert self.address is not None
        try:
            self.listen(*self.address)
        except CannotListenError:  # the socket of before is closed at the end of this turn of the reactor
            self.reactor.callLater(0.01, self._again)
            return
        if self.on_started is not None:
            self.on_started(self)

    def capacity_fraction(self) -> float:
        """The share of what it bears when warm that it bears now."""
        age = self.reactor.seconds() - self.born if self.born is not None else self.settings.warm_up
        if not self.settings.warm_capacity or age >= self.settings.warm_up:
            return 1.0
        return float(self.settings.initial_capacity ** (1 - age / self.settings.warm_up))

    def _falls(self) -> bool:
        """Whether this set-up is the one too many for a cold engine."""
        now, fraction = self.reactor.seconds(), self.capacity_fraction()
        if fraction >= 1.0:
            return False
        self.lately.append(now)
        while self.lately[0] <= now - self.settings.overload_window:
            self.lately.popleft()
        bears = (
            self.settings.overload_factor
            * self.settings.warm_capacity
            * fraction
            * self.settings.overload_window
        )
        self.count["most of what a cold engine bears, %"] = max(
            self.count["most of what a cold engine bears, %"], round(100 * len(self.lately) / bears)
        )
        # What comes by itself varies by the root of its number; only what lies beyond that pushes it over.
        return len(self.lately) > bears + 3 * sqrt(bears) + 3

    def _fall(self) -> None:
        self.count["fell"] += 1
        self.stop()
        self.reactor.callLater(self.settings.restart_delay, self.restart)

    def stop(self) -> None:
        """A crash: connections are reset, calls are gone."""
        if self.port is None:
            return
        for timer in (self.beat, *(c.end for c in self.calls.values())):
            if timer is not None and timer.active():
                timer.cancel()
        self.port.stopListening()
        self.port = None
        for line in list(self.lines):
            line.transport.abortConnection()
        self._use(-self.used)
        self.calls.clear()
        self.waiting.clear()

    def buildProtocol(self, addr: object) -> EngineSide:
        """Called by Twisted."""
        return EngineSide(self)

    # circuits and processor

    @property
    def free(self) -> int:
        """Circuits that no call has."""
        return self.settings.circuits - self.used

    def _use(self, circuits: int) -> None:
        now = self.reactor.seconds()
        self.integral += self.used * (now - self.since)
        self.since, self.used = now, self.used + circuits

    def _work(self, share: float, what: Callable[[], None], new: bool = False) -> None:
        """Queues a piece of work, in shares of a set-up's. With a processor that costs nothing, it is
        done.
        """
        cost = share * self.settings.work * self.slow / self.capacity_fraction()
        if cost <= 0 and not self.working:
            what()
            return
        (self.new if new else self.rest).append((cost, what))
        self.queued_work += cost
        if not self.working:
            self._next()

    def _next(self) -> None:
        queue = self.new or self.rest
        if not queue:
            self.working, self.queued_work = False, 0.0
            return
        self.working = True
        cost, what = queue.popleft()
        self.reactor.callLater(cost, self._done, cost, what)

    def _done(self, cost: float, what: Callable[[], None]) -> None:
        self.queued_work = max(0.0, self.queued_work - cost)
        what()
        self._next()

    # the wire

    def report(self) -> bytes:
        """The load report."""
        each = self.settings.work * self.slow * (1 + self.settings.answer_work + self.settings.release_work)
        left = max(0.0, 1 - self.queued_work / max(self.settings.longest_wait, 1e-9))
        return b"x0:%d;x1:%d;qps:%.1f" % (self.free, self.settings.circuits, left / each if each else 10_000)

    def _state(self) -> None:
        self.beat = self.reactor.callLater(self.settings.state_every, self._state)
        for line in self.lines:
            line.send(MessageType.STATE, NO_CALL, (Parameter.REPORT, self.report()))

    def opened(self, line: EngineSide) -> None:
        """A connection is up: it hears the state first, then releases that had none to go out on."""
        self.lines[line] = None
        line.send(MessageType.STATE, NO_CALL, (Parameter.REPORT, self.report()))
        unsaid, self.unsaid = self.unsaid, {}
        for call, said in unsaid.items():
            line.send(MessageType.RELEASE, call, (Parameter.CAUSE, said), (Parameter.REPORT, self.report()))

    def closed(self, line: EngineSide) -> None:
        """Set-ups open there are given up; calls that stand go on."""
        self.lines.pop(line, None)
        for call in [c for c, at in self.waiting.items() if at is line]:
            del self.waiting[call]
        for call in [c for c, s in self.calls.items() if s.line is line and not s.answered]:
            self._forget(call)

    def message_received(self, line: EngineSide, kind: int, call: str, said: dict[int, bytes]) -> None:
        """A message came from a softswitch."""
        if kind == MessageType.SETUP:
            self.count["set-ups"] += 1
            self.watch("set-up", call)
            if self.on_setup is not None:
                self.on_setup(call, said.get(Parameter.CALL_CLASS, b"").decode("latin-1"))
            if self._falls():
                return self._fall()
            if self.queued_work > self.settings.longest_wait:
                self.count["refused: processor"] += 1
                self._work(
                    self.settings.refuse_work, lambda: self._refuse(line, call, NO_CIRCUIT, b"cpu_full")
                )
            else:
                self.waiting[call] = line
                self._work(1.0, lambda: self._look(line, call, said), new=True)
        elif kind == MessageType.RELEASE:
            self.waiting.pop(call, None)
            if call in self.calls:
                self.count["released by softswitches"] += 1
                self._forget(call)
                self._work(self.settings.release_work, lambda: line.send(MessageType.ACKNOWLEDGE, call))
        elif kind == MessageType.PROBE:
            line.send(
                MessageType.PROBE_ANSWER, call, (Parameter.CAUSE, b"\1"), (Parameter.REPORT, self.report())
            )
        return None

    def _look(self, line: EngineSide, call: str, said: dict[int, bytes]) -> None:
        if self.waiting.pop(call, None) is None:
            self.count["given up"] += 1
            return
        klass = said.get(Parameter.CALL_CLASS, b"").decode("latin-1")
        width, number = self.settings.widths.get(klass, 1), said.get(Parameter.NUMBER, b"").decode("latin-1")
        kept = self.settings.reserve if not number.startswith(self.settings.reserve_prefix) else 0
        if self.free < width + kept:
            self.count["refused: circuits"] += 1
            self._work(
                self.settings.refuse_work, lambda: self._refuse(line, call, NO_CIRCUIT, b"all_trunks_busy")
            )
            return
        self._use(width)
        self.calls[call] = Standing(line, width, klass)
        self._work(
            self.settings.answer_work, lambda: self._answer(call, said.get(Parameter.DESCRIPTION, b""))
        )

    def _refuse(self, line: EngineSide, call: str, cause: int, note: bytes) -> None:
        line.send(
            MessageType.RELEASE,
            call,
            (Parameter.CAUSE, bytes((cause,))),
            (Parameter.NOTE, note),
            (Parameter.REPORT, self.report()),
        )

    def _answer(self, call: str, description: bytes) -> None:
        standing = self.calls.get(call)
        if standing is None:
            return  # given up while its answer waited for the processor
        standing.answered = True
        self.count["stood"] += 1
        self.watch("stands", call)
        mean = self.settings.hold.get(standing.klass, 8.0)
        held = self.random.expovariate(1 / mean) if self.settings.hold_kind == "exponential" else mean
        standing.line.send(
            MessageType.ANSWER,
            call,
            (Parameter.DESCRIPTION, b"engine " + self.settings.name.encode() + b"\r\n" + description),
        )
        standing.end = self.reactor.callLater(held, self._ends, call)

    def _ends(self, call: str) -> None:
        standing = self.calls.get(call)
        if standing is not None:
            self.count["ended"] += 1
            self._forget(call)
            self._work(self.settings.release_work, lambda: self._tell_end(standing.line, call, NORMAL))

    def _tell_end(self, line: EngineSide, call: str, cause: int) -> None:
        self.watch("over", call)
        line = line if line in self.lines else next(iter(self.lines), line)
        if line in self.lines:
            line.send(
                MessageType.RELEASE,
                call,
                (Parameter.CAUSE, bytes((cause,))),
                (Parameter.REPORT, self.report()),
            )
        elif len(self.unsaid) < 4_096:
            self.unsaid[call] = bytes((cause,))

    def cut(self, share: float) -> int:
        """Cuts so many of the calls that stand, drawn at random; how many."""
        gone = [c for c, s in self.calls.items() if s.answered and self.random.random() < share]
        for call in gone:
            line = self.calls[call].line
            self._forget(call)
            self._tell_end(line, call, CUT)
        return len(gone)

    def _forget(self, call: str) -> None:
        standing = self.calls.pop(call)
        self._use(-standing.width)
        if standing.end is not None and standing.end.active():
            standing.end.cancel()
