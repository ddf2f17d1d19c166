"""A small fleet on loopback for a limited time: real softswitches among stand-ins.

The stand-ins of the watch server, the engines and the callers run in this process; each softswitch is a
process of its own, started as the platform starts it. A run begins with a warm-up time that is not counted.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from time import time
from typing import Any

import orjson
from twisted.internet import reactor as installed_reactor

from softswitch import environment
from softswitch.standin.addresses import own_host
from softswitch.standin.board import ListedEngine, WatchServer
from softswitch.standin.caller import Callers, Tally
from softswitch.standin.engine import Engine, EngineSettings
from softswitch.standin.traffic import StreamSettings, merged

SIP_PORT = 5_060  # each softswitch has its own address
ROOT = Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT = 20.0  # s for all softswitches to respond to OPTIONS
SHUTDOWN_TIMEOUT = 8.0  # s from SIGTERM to SIGKILL


class FleetFailed(Exception):
    """A softswitch did not start, or ended unexpectedly. The text has the last lines of its log."""


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """A call class for the softswitches' settings. Times are in s."""

    name: str
    aim: float  # latency objective
    hold: float  # mean holding time
    worth: float = 1.0  # priority weight
    late_share: float = 0.2  # fraction of the weight that a late answer has
    deadline: float = 9.0


@dataclass(frozen=True, slots=True)
class Day:
    """The traffic and the configuration of one run. Times are in s."""

    engines: tuple[EngineSettings, ...]
    classes: tuple[ClassSettings, ...]
    streams: tuple[StreamSettings, ...]
    seconds: float
    warm_up: float = 0.0  # before `seconds`; not counted
    softswitches: int = 1
    seed: int = 1
    max_attempts: int = 6
    # The next five apply to the callers; see `Callers`.
    answer_timeout: float = 3.0
    tries: int = 1
    redial_probability: float = 0.0
    redial_delay: float = 1.0
    honour_retry_after: bool = False
    record_interval: float = 0.0  # of the traffic records; 0: none
    record_slot: float = 0.5  # time slot in an interval of the record
    env: dict[str, str] = field(default_factory=dict)  # added to the environment of the softswitches

    def settings(self) -> dict[str, Any]:
        """Returns the softswitches' settings in the form of the platform's configuration."""
        return {
            "family": "trunks",
            "fleet_size": self.softswitches,
            "family_info": {
                "own_number": -1,
                "clear_wait": 200.0,
                "repeat": 500.0,
                "holding": [c.hold * 1000 for c in self.classes],
            },
            "lanes": [
                {
                    "name": c.name,
                    "aim": c.aim * 1000,
                    "credit": c.worth,
                    "late_value": c.late_share,
                    "hard_limit": c.deadline * 1000,
                }
                for c in self.classes
            ],
            "limits": {
                "may_cancel": False,
                "probes": True,
                "send_cap": self.max_attempts,
                "retry_after": True,
                "max_retry_after": 2000.0,
            },
            "rules": {"cold": 1000.0, "cold_from": 0.3, "overload_factor": 3.0, "overload_for": 1000.0},
            "stats": {"fields": ["x0", "x1", "qps"], "how": "answers"},
            "tick": 5.0,
        }


@dataclass(slots=True)
class Result:
    """What callers and engines counted after the warm-up."""

    seconds: float  # length of the counted time
    tallies: dict[tuple[str, int], Tally]  # by class and destination cell
    engines: list[dict[str, Any]]
    records: list[str]  # paths of the traffic records
    counters: list[dict[str, int]]  # of each softswitch, from its log
    dir: tempfile.TemporaryDirectory[str]

    def total(self) -> Tally:
        """Returns the sum of all tallies."""
        sums = Tally()
        for tally in self.tallies.values():
            sums.add(tally)
        return sums


class Fleet:
    """Runs one day. `on_second` is called with this object about once a second."""

    def __init__(self, day: Day, on_second: Callable[[Fleet], None] | None = None) -> None:
        self.day, self.on_second = day, on_second
        self.reactor: Any = installed_reactor
        self.dir = tempfile.TemporaryDirectory(prefix="willowhitch-")
        self.engines = [Engine(self.reactor, e, day.seed * 7919 + n) for n, e in enumerate(day.engines)]
        self.callers: list[Callers] = []
        self.programs: list[subprocess.Popen[bytes]] = []
        self.logs: list[Path] = []
        self.failure, self.ending = "", 0.0  # why the run failed; when the shutdown began, 0 before
        self.started_at = 0.0
        self.arrivals = merged(list(day.streams), day.seed, day.warm_up + day.seconds)
        self.next_arrival = 0
        self.max_lateness = 0.0  # s between a call's scheduled and actual time
        # Values of each engine at the end of the warm-up, which results subtract.
        self.circuit_seconds_base: list[float] = []
        self.counts_base: list[dict[str, int]] = []
        self.marks: list[float] = []  # start and end of the counted time

    # Course of the day

    def run(self) -> Result:
        """Blocks until the day is over and all processes have ended. Raises FleetFailed on failure."""
        try:
            self.reactor.callWhenRunning(self._start)
            self.reactor.run(installSignalHandlers=False)
        finally:
            self._end_programs()
        if self.failure:
            raise FleetFailed(self.failure)
        return self._result()

    def _start(self) -> None:
        listed = [ListedEngine(e.settings.name, e.listen(own_host()), e.settings.cell) for e in self.engines]
        self.watch_server = WatchServer(self.reactor, listed)
        watch_server_address = self.watch_server.listen(own_host())
        for n in range(self.day.softswitches):
            host = own_host()
            config = Path(self.dir.name, f"n{n}.json")
            config.write_bytes(
                orjson.dumps(
                    {
                        "name": f"n{n}",
                        "listen": f"{host}:{SIP_PORT}",
                        "seed": f"{self.day.seed * 31 + n:016x}",
                        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                        "board": f"{watch_server_address[0]}:{watch_server_address[1]}",
                        "known": self.watch_server.known(),
                        "settings": self.day.settings(),
                    }
                    | self.extra_configuration(n)
                )
            )
            if operator_text := self.operator_text(n):
                Path(self.dir.name, f"n{n}.star").write_text(operator_text)
            self.logs.append(Path(self.dir.name, f"n{n}.log"))
            self.programs.append(self.start_process(n))
            callers = Callers(
                self.reactor,
                (host, SIP_PORT),
                self.day.seed * 65537 + n,
                self.day.answer_timeout,
                self.day.tries,
                self.day.redial_probability,
                self.day.redial_delay,
                self.day.honour_retry_after,
            )
            callers.on_ready = self._softswitch_ready
            self.callers.append(callers)
            callers.connect()
        self.ready_count = 0
        self.ready_timer = self.reactor.callLater(
            READY_TIMEOUT, self._fail, "a softswitch did not become ready"
        )

    def extra_configuration(self, n: int) -> dict[str, Any]:
        """Returns additional configuration keys for this softswitch."""
        return {}

    def operator_text(self, n: int) -> str:
        """Returns the text of this softswitch's operator file; empty if it has none."""
        if not self.day.record_interval:
            return ""
        return (
            f'record = {{"file": "n{n}.whtr", "interval_s": {self.day.record_interval:g}, '
            f'"slot_s": {self.day.record_slot:g}}}\n'
        )

    def start_process(self, n: int) -> subprocess.Popen[bytes]:
        """Starts or restarts a softswitch; a restarted one appends to its log."""
        operator_file = Path(self.dir.name, f"n{n}.star")
        env = os.environ | {"BALANCER_CONFIG": str(Path(self.dir.name, f"n{n}.json"))} | self.day.env
        env = environment.without(env, environment.OPERATOR_FILE)
        if operator_file.exists():
            env["SOFTSWITCH_OPERATOR"] = str(operator_file)
        with open(self.logs[n], "ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "softswitch"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def _fail(self, reason: str) -> None:
        if not self.failure:
            log_lines = [
                f"{log.name}: {line}"
                for log in self.logs
                for line in log.read_text(errors="replace").splitlines()[-5:]
            ]
            self.failure = "; ".join([reason, *log_lines])
            self._stop()

    def _softswitch_ready(self) -> None:
        self.ready_count += 1
        if self.ready_count == self.day.softswitches:
            self.ready_timer.cancel()
            self.started_at = self.reactor.seconds()
            self.started_unix = time()
            self.reactor.callLater(self.day.warm_up, self._start_counting)
            self.reactor.callLater(1.0, self._every_second)
            self._place_due_calls()

    def _place_due_calls(self) -> None:
        """Places all calls that are due, and schedules the next ones."""
        now = self.reactor.seconds() - self.started_at
        while self.next_arrival < len(self.arrivals) and self.arrivals[self.next_arrival][0] <= now:
            at, stream = self.arrivals[self.next_arrival]
            self.max_lateness = max(self.max_lateness, now - at)
            callers = self.callers_for(self.next_arrival)
            if callers is not None:
                callers.place(stream)
            self.next_arrival += 1
        if self.next_arrival < len(self.arrivals):
            self.reactor.callLater(max(0.0, self.arrivals[self.next_arrival][0] - now), self._place_due_calls)
        else:
            self.reactor.callLater(
                max(0.0, self.day.warm_up + self.day.seconds - now), self._finish_when_idle
            )

    def callers_for(self, index: int) -> Callers | None:
        """Returns the callers that place this call, or None to skip it."""
        return self.callers[index % len(self.callers)]

    def _start_counting(self) -> None:
        """Resets the counters at the end of the warm-up."""
        for callers in self.callers:
            callers.tallies = {}
        now = self.reactor.seconds()
        for engine in self.engines:
            engine._change_used(0)  # updates circuit_seconds to the present
            self.circuit_seconds_base.append(engine.circuit_seconds)
            self.counts_base.append(dict(engine.count))
        self.marks = [now]

    def _every_second(self) -> None:
        if self.ending:
            return None
        for n, program in enumerate(self.programs):
            if program.poll() is not None and self.should_run(n):
                return self._fail(f"softswitch n{n} ended unexpectedly with exit status {program.returncode}")
        if self.on_second:
            self.on_second(self)
        self.reactor.callLater(1.0, self._every_second)
        return None

    def should_run(self, n: int) -> bool:
        """Returns whether this softswitch is expected to run, so that its end is a failure."""
        return True

    def _finish_when_idle(self) -> None:
        """After the last call: waits for open tries, for a limited time, then stops the fleet."""
        if len(self.marks) == 1:
            self.marks.append(self.reactor.seconds())
            self.erlangs = []
            for engine, base in zip(self.engines, self.circuit_seconds_base, strict=True):
                engine._change_used(0)
                self.erlangs.append(
                    (engine.circuit_seconds - base) / max(1e-9, self.marks[1] - self.marks[0])
                )
        waited = self.reactor.seconds() - self.marks[1]
        if any(c.open_tries for c in self.callers) and waited < self.day.answer_timeout * self.day.tries + 10:
            self.reactor.callLater(0.05, self._finish_when_idle)
        else:
            self._stop()

    def _stop(self) -> None:
        """Terminates the softswitches. The stand-ins run until all softswitches have ended."""
        if not self.ending:
            self.ending = self.reactor.seconds()
            for program in self.programs:
                if program.poll() is None:
                    program.send_signal(signal.SIGTERM)
        if (
            any(p.poll() is None for p in self.programs)
            and self.reactor.seconds() - self.ending < SHUTDOWN_TIMEOUT
        ):
            self.reactor.callLater(0.05, self._stop)
            return
        for callers in self.callers:
            callers.stop()
        for engine in self.engines:
            engine.stop()
        if hasattr(self, "watch_server"):
            self.watch_server.stop()
        self.reactor.callLater(0.05, self.reactor.stop)

    def _end_programs(self) -> None:
        """Kills all processes that still run, whatever happened before."""
        for program in self.programs:
            if program.poll() is None:
                program.kill()
            program.wait()

    def _result(self) -> Result:
        tallies: dict[tuple[str, int], Tally] = {}
        for callers in self.callers:
            for key, tally in callers.tallies.items():
                tallies.setdefault(key, Tally()).add(tally)
        engines = [
            {
                "cell": e.settings.cell,
                "circuits": e.settings.circuits,
                "erlangs": erlangs,
                **{k: v - base.get(k, 0) for k, v in e.count.items()},
            }
            for e, erlangs, base in zip(self.engines, self.erlangs, self.counts_base, strict=True)
        ]
        counters = []
        for log in self.logs:
            lines = [line for line in log.read_text(errors="replace").splitlines() if "counters {" in line]
            counters.append(orjson.loads("{" + lines[-1].partition("{")[2]) if lines else {})
        records = [str(p) for p in sorted(Path(self.dir.name).glob("n*.whtr"))]
        return Result(self.marks[1] - self.marks[0], tallies, engines, records, counters, self.dir)
