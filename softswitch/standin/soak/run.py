"""Runs one soak: processes, signals, faults and callers according to a plan."""

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
from twisted.internet import reactor as installed_reactor
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

# Each softswitch has an address of its own. Its first process uses MGMT_PORT, each later one the next port.
SIP_PORT, MGMT_PORT = 5_060, 15_000
INITIAL_RETRY_AFTER = 2_000.0  # ms; the longest delay that rejected callers are asked to wait
HOLD = 2.0  # s; mean holding time
# s between an engine's load reports. After a rejection for lack of circuits, the softswitch counts no free
# circuit until the next report.
STATE_INTERVAL = 0.06
SETUP_WORK = 0.002  # s; an engine's processor time per setup
READY_TIMEOUT = 10.0  # s, for the first process or a restart
REPLACEMENT_TIMEOUT = 6.0  # s, for a process that replaces another
POLL_INTERVAL = 0.05  # s between two checks whether a process is ready or has ended
SAMPLE_INTERVAL = 0.5  # s between two samples of descriptors and memory
KILL_WINDOW = 0.5  # s after SIGKILL in which a closed connection is attributed to it
FINAL_ANSWERS_DELAY = 1.0  # s after the longest deadline until the processes are stopped
RESERVED_DESCRIPTORS = 300  # of this process, not available to a crowd
PARTIAL_MESSAGE = b"INVITE sip:77@net SIP/2.0\r\nCall-ID: "
EARLY_EXIT_STATUSES = (0, -signal.SIGTERM)  # SIGTERM kills a process that has no signal handler yet


@dataclass(frozen=True, slots=True)
class Outcome:
    """Counters and violations of a soak."""

    plan: Plan
    calls: int  # setups sent
    answers: int
    late: int  # answers up to ANSWER_ALLOWANCE after the deadline
    left: int  # setups that their callers abandoned
    crossed: int  # unanswered setups that crossed with the end of their connection
    attempts: int
    releases: int  # by engines
    signals: dict[str, int]  # how often each series of signals was sent
    processes: int  # started
    stand_in_lag: float  # s; max
    judged: dict[str, int]  # how often each rule was checked
    excused: dict[str, int]  # how many of these checks were exempt or had a wider limit
    broken: tuple[RuleViolation, ...]  # the violations

    def report(self) -> dict[str, Any]:
        """Returns all fields, under their names, for a JSON object."""
        return asdict(self)


class Process:
    """A process of a softswitch."""

    def __init__(
        self, name: str, program: subprocess.Popen[bytes], management_address: tuple[str, int]
    ) -> None:
        self.name = name
        self.program = program
        self.management_address = management_address
        self.stopping = False
        self.killed_at: float | None = None

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.program.poll() is None

    def usage(self) -> tuple[int, float] | None:
        """Returns the open descriptors and the memory in MB, or None if the process has ended."""
        folder = Path(f"/proc/{self.program.pid}")
        try:
            pages = int((folder / "statm").read_text().split()[1])
            return len(os.listdir(folder / "fd")), pages * resource.getpagesize() / (1 << 20)
        except (OSError, IndexError):
            return None


class Member:
    """One softswitch: its successive processes, with its own callers, engines and watch server.

    Engines are not shared: a real engine knows which softswitch has the call that it releases; a stand-in
    does not.
    """

    def __init__(self, soak: Soak, index: int, host: str) -> None:
        self.soak = soak
        self.index = index
        self.host = host
        self.name = f"n{index}"
        self.address = (host, SIP_PORT)
        self.engines = [self._make_engine(k) for k in range(soak.plan.engines)]
        listed = [ListedEngine(e.settings.name, e.listen(host), e.settings.cell) for e in self.engines]
        self.watch_server = SoakWatchServer(soak.reactor, listed)
        self.watch_server_address = self.watch_server.listen(host)
        self.folder = Path(soak.dir.name, self.name)
        self.folder.mkdir()
        self.config = self.folder / "config.json"
        self.processes: list[Process] = []
        self.max_retry_after = INITIAL_RETRY_AFTER
        self.serving = ""  # the process that accepts new connections
        self.callers = SoakCallers(
            soak.reactor,
            self.address,
            soak.plan.seed * 65537 + index,
            soak.checker,
            soak.lag,
            lambda: self.serving,
            self._recently_killed,
            soak.plan.pressure,
        )

    def _make_engine(self, k: int) -> SoakEngine:
        plan = self.soak.plan
        number = self.index * plan.engines + k
        hold = {c.name: HOLD for c in plan.classes}
        settings = EngineSettings(
            f"s-{number + 1:08x}", k, 500, hold=hold, work=SETUP_WORK, state_interval=STATE_INTERVAL
        )
        seed = plan.seed * 7919 + number
        return SoakEngine(
            self.soak.reactor, settings, seed, self.soak.checker, self.soak.lag, self.name, plan.pressure
        )

    def _recently_killed(self) -> bool:
        times = [p.killed_at for p in self.processes if p.killed_at is not None]
        return bool(times) and self.soak.now() - max(times) < KILL_WINDOW

    def note(self, event: str) -> None:
        """Notes an event of this softswitch for the report of a violation."""
        self.soak.checker.timeline.note(self.soak.now(), self.name, event)

    def write_config(self, max_retry_after: float = INITIAL_RETRY_AFTER) -> None:
        """Writes the configuration; `max_retry_after` is the setting that reloads change."""
        self.max_retry_after = max_retry_after
        plan = self.soak.plan
        settings = plan.settings()
        settings["limits"]["max_retry_after"] = max_retry_after
        configuration = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "seed": f"{plan.seed * 31 + self.index:016x}",
            "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.descriptors},
            "board": "{}:{}".format(*self.watch_server_address),
            "known": self.watch_server.known(),
            "settings": settings,
        }
        self.config.write_bytes(orjson.dumps(configuration))

    def start(self) -> Process:
        """Starts a process with the present list of engines."""
        self.write_config(self.max_retry_after)
        management_address = (self.host, MGMT_PORT + len(self.processes))
        env = os.environ | {
            "BALANCER_CONFIG": str(self.config),
            "BALANCER_MGMT": "{}:{}".format(*management_address),
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
        process = Process(f"{self.name}.{len(self.processes)}", program, management_address)
        self.processes.append(process)
        self.note(f"{process.name} started")
        replaces = any(p.running for p in self.processes[:-1])
        self.soak.checker.history_of(self.name).process_started(self.soak.now(), process.name, replaces)
        return process

    async def wait_until_ready(self, process: Process, within: float) -> bool:
        """Waits up to `within` s until the process reports that it is ready. Returns whether it did."""
        until = self.soak.now() + within
        while self.soak.now() < until and process.running:
            if await self.soak.request(process, "GET /v1/readyz") == HTTP_OK:
                self.serving = process.name
                self.note(f"{process.name} ready")
                self.soak.checker.history_of(self.name).process_ready(self.soak.now(), process.name)
                return True
            await self.soak.sleep(POLL_INTERVAL)
        self.soak.checker.process_not_ready(self.soak.now(), process.name, within)
        return False

    async def stop(
        self,
        process: Process,
        second_signal_after: float | None = None,
        early: bool = False,
        replaced: bool = False,
    ) -> None:
        """Sends SIGTERM, and SIGKILL at the earliest time that the platform's rules allow.

        `second_signal_after`: s until a second SIGTERM. `early`: the process may not have a signal handler
        yet. `replaced`: another process has taken over.
        """
        soak = self.soak
        process.stopping = True
        soak.checker.stop_requested(soak.now(), process.name)
        requested_at = soak.now()
        self.note(f"{process.name} SIGTERM")
        process.program.send_signal(signal.SIGTERM)
        if second_signal_after is not None:
            await soak.sleep(second_signal_after)
            if process.running:
                process.program.send_signal(signal.SIGTERM)
        while process.running and soak.now() - requested_at < soak.plan.kill_after(replaced):
            await soak.sleep(POLL_INTERVAL)
        if process.running:
            process.killed_at = soak.now()
            process.program.kill()
            self.note(f"{process.name} SIGKILL")
            return
        self.note(f"{process.name} ended")
        code = process.program.returncode
        if not (early and code in EARLY_EXIT_STATUSES):
            soak.checker.process_exited(soak.now(), process.name, code)

    async def restart(self) -> None:
        """Starts a process after the previous one has ended."""
        await self.wait_until_ready(self.start(), READY_TIMEOUT)

    async def run_signals(self, episode: Episode) -> None:
        """Sends a series of signals to the present process."""
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
        await self.restart()

    async def _reload(self, process: Process, episode: Episode) -> None:
        self.write_config(max_retry_after=1000.0 + 1000.0 * episode.gap)
        process.program.send_signal(signal.SIGHUP)
        await self.soak.sleep(episode.gap / 10)
        if episode.signals is Signals.RELOAD_TWICE:
            process.program.send_signal(signal.SIGHUP)

    async def _replace(self, old: Process, drained: bool) -> None:
        if drained:
            await self.soak.request(old, "POST /v1/softswitch/drain")
        taken_over = await self.wait_until_ready(self.start(), REPLACEMENT_TIMEOUT)
        await self.stop(old, replaced=taken_over)

    async def run_fault(self, fault: EngineEpisode) -> None:
        """Runs an engine fault of the plan."""
        engine = self.engines[fault.engine]
        if fault.fault is EngineFault.RESET:
            engine.reset_connections()
        elif fault.fault is EngineFault.HANG:
            engine.hung = True
            self.note(f"{engine.settings.name} hangs")
            await self.soak.sleep(fault.seconds)
            engine.hung = False
            self.note(f"{engine.settings.name} resumes")
        else:
            await self._drain(engine, fault.seconds)

    async def run_drain(self, drain: tuple[float, int, float]) -> None:
        """Drains an engine, unless it is draining already."""
        _, index, seconds = drain
        await self._drain(self.engines[index], seconds)

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
        """Silences the watch server for a time. Connections stay open."""
        self.watch_server.go_silent()
        now = self.soak.now()
        self.soak.checker.watch_server_silent(now, now + seconds, self.name)
        await self.soak.sleep(seconds)
        self.watch_server.resume()


class Soak:
    """Runs one soak and owns everything that it starts."""

    def __init__(self, plan: Plan, fault: str = "") -> None:
        self.plan = plan
        self.fault = fault  # name of a fault to inject into the softswitches
        self.reactor: Any = installed_reactor
        self.dir = tempfile.TemporaryDirectory(prefix="soak-")
        self.checker = Checker(plan.clear_wait / 1000, plan.max_attempts)
        self.lag = LagMeter(self.reactor)
        self.max_lag = 0.0
        self.signals: Counter[str] = Counter()
        self.rng = Random(f"calls {plan.seed}")
        self.crowd_connections: list[CrowdConnection] = []
        self.members: list[Member] = []
        self.error: BaseException | None = None
        self.finished = False

    def module(self) -> tuple[str, ...]:
        """Returns the Python module, with arguments, that runs a softswitch."""
        return ("softswitch.standin.soak.planted", self.fault) if self.fault else ("softswitch",)

    def now(self) -> float:
        """Returns the time in seconds, by the reactor's clock."""
        return float(self.reactor.seconds())

    def sleep(self, seconds: float) -> Deferred[None]:
        """Returns an awaitable delay."""
        return deferLater(self.reactor, seconds, lambda: None)

    def request(self, process: Process, request: str) -> Deferred[int]:
        """Sends a management request. Returns the status of the response, 0 if there is none."""
        response: Deferred[int] = Deferred()
        query = Query(request, lambda status, _: response.callback(status))
        self.reactor.connectTCP(*process.management_address, query, timeout=1.0)
        return response

    def run(self) -> Outcome:
        """Blocks until the soak is over and all processes have ended."""
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
        finished = ensureDeferred(self._run())
        finished.addErrback(self._failed)
        finished.addBoth(lambda _: self.reactor.stop())

    def _failed(self, failure: Any) -> None:
        self.error = failure.value

    async def _run(self) -> None:
        self.lag.start()
        hosts = own_hosts(self.plan.softswitches)
        self.members = [Member(self, n, host) for n, host in enumerate(hosts)]
        for member in self.members:
            member.write_config()
            member.start()
        for member in self.members:
            await member.wait_until_ready(member.processes[0], READY_TIMEOUT)
            member.callers.connect()
        self.started_at = self.now()
        self._schedule()
        self._place_next_call()
        self._sample_processes()
        await self.sleep(self.plan.seconds)
        self.finished = True
        await self.sleep(max(c.hard_limit for c in self.plan.classes) / 1000 + FINAL_ANSWERS_DELAY)
        for member in self.members:
            for process in member.processes:
                if process.running and not process.stopping:
                    await member.stop(process)
        self._close()
        await self.sleep(POLL_INTERVAL)

    def _schedule(self) -> None:
        for episode in self.plan.signals:
            self._start_at(episode.at, self.members[episode.softswitch].run_signals, episode)
        for member in self.members:
            for fault in self.plan.faults:
                self._start_at(fault.at, member.run_fault, fault)
            for drain in self.plan.pressure.drains:
                self._start_at(drain[0], member.run_drain, drain)
            for at, seconds in self.plan.silent_board:
                self._start_at(at, member.silence_watch_server, seconds)
        for crowd in self.plan.crowds:
            self.reactor.callLater(crowd.at, self._open_crowd, crowd)

    def _start_at(self, at: float, action: Any, argument: Any) -> None:
        def begin() -> None:
            ensureDeferred(action(argument)).addErrback(self._failed)

        self.reactor.callLater(at, begin)

    def _open_crowd(self, crowd: Crowd) -> None:
        """Opens a crowd's connections, as far as descriptors allow, and places its setups at once."""
        available = max(0, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - RESERVED_DESCRIPTORS)
        member = self.members[0]
        for n in range(min(available, crowd.idle + crowd.half_written)):
            first_bytes = PARTIAL_MESSAGE if n < crowd.half_written else b""
            self.reactor.connectTCP(*member.address, CrowdFactory(self, first_bytes), timeout=2.0)
        for _ in range(crowd.setups):
            self._place_call(member)

    def _place_next_call(self) -> None:
        """Places a call and schedules the next one."""
        if self.finished:
            return
        self._place_call(self.rng.choice(self.members))
        self.reactor.callLater(self.rng.expovariate(self.plan.rate), self._place_next_call)

    def _place_call(self, member: Member) -> None:
        call_class = self.rng.choice(self.plan.classes)
        answer_timeout = self.rng.uniform(0.3, call_class.hard_limit / 1000)
        member.callers.place_call(call_class, self.rng.randrange(self.plan.engines), answer_timeout)

    def _sample_processes(self) -> None:
        limits = Limits(self.plan.descriptors, self.plan.memory_mb)
        self.max_lag = max(self.max_lag, self.lag.lag)
        self.checker.advance(self.now(), self.lag.lag)
        for process in (p for m in self.members for p in m.processes):
            usage = process.usage() if process.running else None
            if usage is not None:
                self.checker.process_sampled(self.now(), process.name, *usage, limits)
            elif not process.running and not process.stopping:
                process.stopping = True
                self.checker.process_exited(self.now(), process.name, process.program.returncode or 1)
        self.reactor.callLater(SAMPLE_INTERVAL, self._sample_processes)

    def _close(self) -> None:
        self.checker.advance(self.now(), self.lag.lag)
        for connection in self.crowd_connections:
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
            self.max_lag,
            {rule.name: checker.checked[rule] for rule in Rule},
            {rule.name: checker.exempt[rule] for rule in Rule if checker.exempt[rule]},
            tuple(checker.violations),
        )


class CrowdFactory(ClientFactory):
    """Opens one connection of a crowd."""

    noisy = False

    def __init__(self, soak: Soak, first_bytes: bytes) -> None:
        self.soak = soak
        self.first_bytes = first_bytes

    def buildProtocol(self, addr: object) -> CrowdConnection:
        """Called by Twisted when the connection is open."""
        connection = CrowdConnection(self.first_bytes)
        self.soak.crowd_connections.append(connection)
        return connection
