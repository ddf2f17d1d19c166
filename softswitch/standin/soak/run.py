"""Plays one soak: processes, signals, faults and callers by the plan, until the time is over."""

from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from time import time
from typing import Any

import orjson
from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.protocol import ClientFactory
from twisted.internet.task import deferLater

from softswitch import environment
from softswitch.standin.addresses import own_hosts
from softswitch.standin.board import ListedEngine
from softswitch.standin.engine import EngineSettings
from softswitch.standin.fleet import ROOT
from softswitch.standin.http_query import HTTP_OK, Query
from softswitch.standin.soak.checker import Checker, Limits, Rule, RuleViolation
from softswitch.standin.soak.plan import Crowd, EngineEpisode, EngineFault, Episode, Plan, Signals
from softswitch.standin.soak.world import CrowdConnection, LagMeter, SoakCallers, SoakEngine, SoakWatchServer

SIP_PORT, MGMT_PORT = 5_060, 15_000  # at an address of its own; each process has a management port more
FIRST_ADVICE = 2_000.0  # ms that rejected callers are told to stay away
HOLD = 2.0  # s that a call stands on average
STATE_EVERY = 0.06  # s between two states of an engine: no circuit is free for no longer than that
SETUP_WORK = 0.002  # s of an engine's processor
READY_WITHIN = 10.0  # s for a process that starts
REPLACED_WITHIN = 6.0  # s for one that replaces another
POLL = 0.05  # s between two looks at whether a process is ready, or has ended
SAMPLE = 0.5  # s between two looks at descriptors and memory
JUST_NOW = 0.5  # s in which the end of a connection is told to be that of a killed process
LAST_ANSWERS = 1.0  # s beyond the longest deadline until what is open is judged
OWN_DESCRIPTORS = 300  # that the stand-ins keep besides a crowd
HALF_MESSAGE = b"INVITE sip:77@net SIP/2.0\r\nCall-ID: "
ENDED_IN_START = (0, -signal.SIGTERM)  # before the program has a handler, the signal itself ends it


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a soak showed."""

    plan: Plan
    calls: int
    answers: int
    late: int
    left: int
    crossed: int
    attempts: int
    releases: int
    signals: dict[str, int]
    processes: int
    stand_in_lag: float  # s, the most seen
    judged: dict[str, int]  # how often each rule was looked at
    excused: dict[str, int]  # of these, with more allowed than usual
    broken: tuple[RuleViolation, ...]

    def report(self) -> dict[str, Any]:
        """All of it, for a JSON object."""
        return asdict(self)


class Process:
    """One process of a softswitch."""

    def __init__(self, name: str, program: subprocess.Popen[bytes], mgmt: tuple[str, int]) -> None:
        self.name = name
        self.program = program
        self.mgmt = mgmt
        self.stopping = False
        self.killed_at: float | None = None

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.program.poll() is None

    def usage(self) -> tuple[int, float] | None:
        """Descriptors and MB of memory; None if it has ended."""
        folder = Path(f"/proc/{self.program.pid}")
        try:
            pages = int((folder / "statm").read_text().split()[1])
            return len(os.listdir(folder / "fd")), pages * resource.getpagesize() / (1 << 20)
        except (OSError, IndexError):
            return None


class Member:
    """One softswitch: its processes, one after the other, with callers, engines and a board of its own.

    A quote engine knows whose call it ends; stand-ins that several softswitches share would not.
    """

    def __init__(self, soak: Soak, n: int, host: str) -> None:
        self.soak = soak
        self.n = n
        self.host = host
        self.name = f"n{n}"
        self.address = (host, SIP_PORT)
        self.engines = [self._engine(k) for k in range(soak.plan.engines)]
        listed = [ListedEngine(e.settings.name, e.listen(host), e.settings.cell) for e in self.engines]
        self.watch_server = SoakWatchServer(soak.reactor, listed)
        self.watch_server_address = self.watch_server.listen(host)
        self.folder = Path(soak.dir.name, self.name)
        self.folder.mkdir()
        self.config = self.folder / "config.json"
        self.processes: list[Process] = []
        self.advice = FIRST_ADVICE
        self.serving = ""  # the process that takes new connections
        self.callers = SoakCallers(
            soak.reactor,
            self.address,
            soak.plan.seed * 65537 + n,
            soak.checker,
            soak.lag,
            lambda: self.serving,
            self._killed_just_now,
            soak.plan.pressure,
        )

    def _engine(self, k: int) -> SoakEngine:
        plan = self.soak.plan
        number = self.n * plan.engines + k
        hold = {c.name: HOLD for c in plan.classes}
        settings = EngineSettings(
            f"s-{number + 1:08x}", k, 500, hold=hold, work=SETUP_WORK, state_interval=STATE_EVERY
        )
        seed = plan.seed * 7919 + number
        return SoakEngine(
            self.soak.reactor, settings, seed, self.soak.checker, self.soak.lag, self.name, plan.pressure
        )

    def _killed_just_now(self) -> bool:
        times = [p.killed_at for p in self.processes if p.killed_at is not None]
        return bool(times) and self.soak.now() - max(times) < JUST_NOW

    def note(self, event: str) -> None:
        """An event of this softswitch, for the report of a broken rule."""
        self.soak.checker.timeline.note(self.soak.now(), self.name, event)

    def write_config(self, advice: float = FIRST_ADVICE) -> None:
        """The configuration, with another advice to callers where it changes."""
        self.advice = advice
        plan = self.soak.plan
        settings = plan.settings()
        settings["limits"]["max_retry_after"] = advice
        made = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "seed": f"{plan.seed * 31 + self.n:016x}",
            "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.descriptors},
            "board": "{}:{}".format(*self.watch_server_address),
            "known": self.watch_server.known(),
            "settings": settings,
        }
        self.config.write_bytes(orjson.dumps(made))

    def start(self) -> Process:
        """Starts a process, with the list of engines of this moment."""
        self.write_config(self.advice)
        mgmt = (self.host, MGMT_PORT + len(self.processes))
        env = os.environ | {
            "BALANCER_CONFIG": str(self.config),
            "BALANCER_MGMT": "{}:{}".format(*mgmt),
            "TMPDIR": str(self.folder),
        }
        env = environment.without(env, environment.OPERATOR_FILE)
        with open(self.folder / "log", "ab") as log:
            program = subprocess.Popen(
                [sys.executable, "-m", *self.soak.module()],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        process = Process(f"{self.name}.{len(self.processes)}", program, mgmt)
        self.processes.append(process)
        self.note(f"{process.name} started")
        replaces = any(p.running for p in self.processes[:-1])
        self.soak.checker.surroundings_of(self.name).process_started(self.soak.now(), process.name, replaces)
        return process

    async def until_ready(self, process: Process, within: float) -> bool:
        """Whether it says in time that it is ready."""
        until = self.soak.now() + within
        while self.soak.now() < until and process.running:
            if await self.soak.ask(process, "GET /v1/readyz") == HTTP_OK:
                self.serving = process.name
                self.note(f"{process.name} ready")
                self.soak.checker.surroundings_of(self.name).process_ready(self.soak.now(), process.name)
                return True
            await self.soak.sleep(POLL)
        self.soak.checker.process_not_ready(self.soak.now(), process.name, within)
        return False

    async def stop(
        self,
        process: Process,
        second_after: float | None = None,
        early: bool = False,
        replaced: bool = False,
    ) -> None:
        """SIGTERM, once more after a while if that is given, and SIGKILL at the page's earliest.

        `early`: it may not have got as far as to handle a signal. `replaced`: another has taken over.
        """
        soak = self.soak
        process.stopping = True
        soak.checker.stop_requested(soak.now(), process.name)
        asked = soak.now()
        self.note(f"{process.name} SIGTERM")
        process.program.send_signal(signal.SIGTERM)
        if second_after is not None:
            await soak.sleep(second_after)
            if process.running:
                process.program.send_signal(signal.SIGTERM)
        while process.running and soak.now() - asked < soak.plan.kill_after(replaced):
            await soak.sleep(POLL)
        if process.running:
            process.killed_at = soak.now()
            process.program.kill()
            self.note(f"{process.name} SIGKILL")
            return
        self.note(f"{process.name} ended")
        code = process.program.returncode
        if not (early and code in ENDED_IN_START):
            soak.checker.process_exited(soak.now(), process.name, code)

    async def start_again(self) -> None:
        """Starts a process where the one before has ended."""
        await self.until_ready(self.start(), READY_WITHIN)

    async def play(self, episode: Episode) -> None:
        """Sends a series of signals."""
        process = self.processes[-1]
        if not process.running:
            return
        self.soak.signals[episode.signals.value] += 1
        if episode.signals in (Signals.RELOAD_TWICE, Signals.RELOAD_STOP):
            await self._reload(process, episode)
        elif episode.signals in (Signals.REPLACE, Signals.REPLACE_DRAINED):
            await self._replace(process, drained=episode.signals is Signals.REPLACE_DRAINED)
            return
        if episode.signals is Signals.RELOAD_TWICE:
            return
        await self.stop(process, episode.gap if episode.signals is Signals.STOP_TWICE else None)
        if episode.signals is Signals.STOP_IN_START:
            started = self.start()
            await self.soak.sleep(episode.gap)
            await self.stop(started, early=True)
        await self.start_again()

    async def _reload(self, process: Process, episode: Episode) -> None:
        self.write_config(advice=1000.0 + 1000.0 * episode.gap)
        process.program.send_signal(signal.SIGHUP)
        await self.soak.sleep(episode.gap / 10)
        if episode.signals is Signals.RELOAD_TWICE:
            process.program.send_signal(signal.SIGHUP)

    async def _replace(self, old: Process, drained: bool) -> None:
        if drained:
            await self.soak.ask(old, "POST /v1/softswitch/drain")
        taken_over = await self.until_ready(self.start(), REPLACED_WITHIN)
        await self.stop(old, replaced=taken_over)

    async def play_fault(self, fault: EngineEpisode) -> None:
        """Has an engine do what the plan says."""
        engine = self.engines[fault.engine]
        if fault.fault is EngineFault.RESET:
            engine.reset_connections()
        elif fault.fault is EngineFault.HANG:
            engine.hung = True
            self.note(f"{engine.settings.name} hangs")
            await self.soak.sleep(fault.seconds)
            engine.hung = False
            self.note(f"{engine.settings.name} goes on")
        else:
            await self._drain(engine, fault.seconds)

    async def play_drain(self, drain: tuple[float, int, float]) -> None:
        """Drains an engine, unless it drains already."""
        _, n, seconds = drain
        await self._drain(self.engines[n], seconds)

    async def _drain(self, engine: SoakEngine, seconds: float) -> None:
        if engine.settings.name in self.soak.checker.drained_at:
            return
        self.note(f"{engine.settings.name} drains")
        self.watch_server.change_health(engine, "leaving")
        self.soak.checker.engine_drained(self.soak.now(), engine.settings.name)
        await self.soak.sleep(seconds)
        self.watch_server.change_health(engine, "left")
        engine.stop()
        await self.soak.sleep(1.0)
        self.soak.checker.engine_active(engine.settings.name)
        engine.restart()
        self.watch_server.change_health(engine, "active", born_ms=int(time() * 1000))

    async def silence_watch_server(self, seconds: float) -> None:
        """The board stays connected and says nothing."""
        self.watch_server.go_silent()
        now = self.soak.now()
        self.soak.checker.watch_server_silent(now, now + seconds, self.name)
        await self.soak.sleep(seconds)
        self.watch_server.resume()


class Soak:
    """Owner of everything that one soak starts."""

    def __init__(self, plan: Plan, plant: str = "") -> None:
        self.plan = plan
        self.plant = plant  # a fault that is planted in the softswitches
        self.reactor: Any = installed
        self.dir = tempfile.TemporaryDirectory(prefix="soak-")
        self.checker = Checker(plan.clear_wait / 1000, plan.max_attempts)
        self.lag = LagMeter(self.reactor)
        self.most_lag = 0.0
        self.signals: Counter[str] = Counter()
        self.draws = Random(f"calls {plan.seed}")
        self.crowd: list[CrowdConnection] = []
        self.members: list[Member] = []
        self.error: BaseException | None = None
        self.over = False

    def module(self) -> tuple[str, ...]:
        """What a softswitch is started as."""
        return ("softswitch.standin.soak.planted", self.plant) if self.plant else ("softswitch",)

    def now(self) -> float:
        """Seconds, of the stand-ins' clock."""
        return float(self.reactor.seconds())

    def sleep(self, seconds: float) -> Deferred[None]:
        """To be awaited."""
        return deferLater(self.reactor, seconds, lambda: None)

    def ask(self, process: Process, request: str) -> Deferred[int]:
        """The status of the answer to a management call; 0 if none comes."""
        answer: Deferred[int] = Deferred()
        query = Query(request, lambda status, _: answer.callback(status))
        self.reactor.connectTCP(*process.mgmt, query, timeout=1.0)
        return answer

    def run(self) -> Outcome:
        """Blocks until the soak is over and all that was started has ended."""
        self.reactor.callWhenRunning(self._begin)
        try:
            self.reactor.run(installSignalHandlers=False)
        finally:
            for process in (p for m in self.members for p in m.processes):
                if process.running:
                    process.program.kill()
                process.program.wait()
            self.dir.cleanup()
        if self.error is not None:
            raise self.error
        return self._outcome()

    def _begin(self) -> None:
        played = ensureDeferred(self._play())
        played.addErrback(self._failed)
        played.addBoth(lambda _: self.reactor.stop())

    def _failed(self, failure: Any) -> None:
        self.error = failure.value

    async def _play(self) -> None:
        self.lag.start()
        hosts = own_hosts(self.plan.softswitches)
        self.members = [Member(self, n, host) for n, host in enumerate(hosts)]
        for member in self.members:
            member.write_config()
            member.start()
        for member in self.members:
            await member.until_ready(member.processes[0], READY_WITHIN)
            member.callers.connect()
        self.began = self.now()
        self._schedule()
        self._call()
        self._sample()
        await self.sleep(self.plan.seconds)
        self.over = True
        await self.sleep(max(c.hard_limit for c in self.plan.classes) / 1000 + LAST_ANSWERS)
        for member in self.members:
            for process in member.processes:
                if process.running and not process.stopping:
                    await member.stop(process)
        self._end()
        await self.sleep(POLL)

    def _schedule(self) -> None:
        for episode in self.plan.signals:
            self._start_at(episode.at, self.members[episode.softswitch].play, episode)
        for member in self.members:
            for fault in self.plan.faults:
                self._start_at(fault.at, member.play_fault, fault)
            for drain in self.plan.pressure.drains:
                self._start_at(drain[0], member.play_drain, drain)
            for at, seconds in self.plan.silent_board:
                self._start_at(at, member.silence_watch_server, seconds)
        for crowd in self.plan.crowds:
            self.reactor.callLater(crowd.at, self._gather, crowd)

    def _start_at(self, at: float, action: Any, what: Any) -> None:
        def begin() -> None:
            ensureDeferred(action(what)).addErrback(self._failed)

        self.reactor.callLater(at, begin)

    def _gather(self, crowd: Crowd) -> None:
        """Connections that nobody wants, as many as the stand-ins may open, and set-ups all at once."""
        room = max(0, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - OWN_DESCRIPTORS)
        member = self.members[0]
        for n in range(min(room, crowd.idle + crowd.half_written)):
            first_bytes = HALF_MESSAGE if n < crowd.half_written else b""
            self.reactor.connectTCP(*member.address, CrowdFactory(self, first_bytes), timeout=2.0)
        for _ in range(crowd.setups):
            self._place(member)

    def _call(self) -> None:
        """Places the next call."""
        if self.over:
            return
        self._place(self.draws.choice(self.members))
        self.reactor.callLater(self.draws.expovariate(self.plan.rate), self._call)

    def _place(self, member: Member) -> None:
        call_class = self.draws.choice(self.plan.classes)
        patience = self.draws.uniform(0.3, call_class.hard_limit / 1000)
        member.callers.place_call(call_class, self.draws.randrange(self.plan.engines), patience)

    def _sample(self) -> None:
        limits = Limits(self.plan.descriptors, self.plan.memory_mb)
        self.most_lag = max(self.most_lag, self.lag.lag)
        self.checker.advance(self.now(), self.lag.lag)
        for process in (p for m in self.members for p in m.processes):
            usage = process.usage() if process.running else None
            if usage is not None:
                self.checker.process_sampled(self.now(), process.name, *usage, limits)
            elif not process.running and not process.stopping:
                process.stopping = True
                self.checker.process_exited(self.now(), process.name, process.program.returncode or 1)
        self.reactor.callLater(SAMPLE, self._sample)

    def _end(self) -> None:
        self.checker.advance(self.now(), self.lag.lag)
        for connection in self.crowd:
            connection.transport.abortConnection()
        for member in self.members:
            member.callers.stop()
            member.watch_server.stop()
            for engine in member.engines:
                engine.stop()

    def _outcome(self) -> Outcome:
        checker = self.checker
        return Outcome(
            self.plan,
            checker.setups,
            checker.answers,
            checker.late_answers,
            checker.abandoned,
            checker.crossed_setups,
            checker.attempts,
            checker.releases,
            dict(self.signals),
            sum(len(m.processes) for m in self.members),
            self.most_lag,
            {rule.name: checker.checked[rule] for rule in Rule},
            {rule.name: checker.exempt[rule] for rule in Rule if checker.exempt[rule]},
            tuple(checker.violations),
        )


class CrowdFactory(ClientFactory):
    """One connection of a crowd."""

    noisy = False

    def __init__(self, soak: Soak, first_bytes: bytes) -> None:
        self.soak = soak
        self.first_bytes = first_bytes

    def buildProtocol(self, addr: object) -> CrowdConnection:
        """Called by Twisted."""
        connection = CrowdConnection(self.first_bytes)
        self.soak.crowd.append(connection)
        return connection
