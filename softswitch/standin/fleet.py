"""A small fleet on loopback for a bounded time: stand-in board and engines, real softswitches, callers.

One process holds the stand-ins; each softswitch is a process of its own, started as the platform does it. The
runs of a day begin with `warm` seconds that are not counted.
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
from twisted.internet import reactor as installed

from softswitch import environment
from softswitch.standin.addresses import own_host
from softswitch.standin.board import Board, ListedEngine
from softswitch.standin.caller import Callers, Tally
from softswitch.standin.engine import Engine, EngineSettings
from softswitch.standin.traffic import StreamSettings, merged

SIP_PORT = 5_060  # at an address of each softswitch's own
ROOT = Path(__file__).resolve().parent.parent.parent
READY_WITHIN = 20.0  # seconds for all softswitches to answer their test
ENDED_WITHIN = 8.0  # seconds for them to end once asked; then they are killed


class FleetFailed(Exception):
    """A softswitch did not come up, or ended by itself; the text has its last lines."""


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of call as the settings have it; seconds, but worth and share."""

    name: str
    aim: float
    hold: float
    worth: float = 1.0
    late_share: float = 0.2
    given_up: float = 9.0


@dataclass(frozen=True, slots=True)
class Day:
    """What is played."""

    engines: tuple[EngineSettings, ...]
    classes: tuple[ClassSettings, ...]
    streams: tuple[StreamSettings, ...]
    seconds: float
    warm_up: float = 0.0
    softswitches: int = 1
    seed: int = 1
    max_attempts: int = 6
    answer_timeout: float = 3.0
    tries: int = 1
    redial_probability: float = 0.0
    redial_delay: float = 1.0
    honour_retry_after: bool = False
    record_interval: float = 0.0  # seconds; 0: no traffic record
    record_slot: float = 0.5
    env: dict[str, str] = field(default_factory=dict)

    def settings(self) -> dict[str, Any]:
        """The softswitches' settings, as the platform's configuration has them."""
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
                    "hard_limit": c.given_up * 1000,
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
    """What was seen from outside, in the counted part of the day."""

    seconds: float
    tallies: dict[tuple[str, int], Tally]
    engines: list[dict[str, Any]]
    records: list[str]  # paths of the traffic records
    counters: list[dict[str, int]]  # of each softswitch, at its end
    dir: tempfile.TemporaryDirectory[str]

    def total(self) -> Tally:
        sums = Tally()
        for tally in self.tallies.values():
            sums.add(tally)
        return sums


class Fleet:
    """Plays one day. `on_second` is called about once a second with this object."""

    def __init__(self, day: Day, on_second: Callable[[Fleet], None] | None = None) -> None:
        self.day, self.on_second = day, on_second
        self.reactor: Any = installed
        self.dir = tempfile.TemporaryDirectory(prefix="willowhitch-")
        self.engines = [Engine(self.reactor, e, day.seed * 7919 + n) for n, e in enumerate(day.engines)]
        self.callers: list[Callers] = []
        self.programs: list[subprocess.Popen[bytes]] = []
        self.logs: list[Path] = []
        self.failed, self.ending = "", 0.0
        self.started_at = 0.0
        self.plan = merged(list(day.streams), day.seed, day.warm_up + day.seconds)
        self.next = 0
        self.fallen_behind = 0.0  # the latest that a call was placed after its time, in seconds
        self.carried_base: list[float] = []
        self.counts_base: list[dict[str, int]] = []
        self.marks: list[float] = []

    # the day

    def run(self) -> Result:
        """Blocks until the day is over and all that was started has ended. FleetFailed if it went wrong."""
        try:
            self.reactor.callWhenRunning(self._start)
            self.reactor.run(installSignalHandlers=False)
        finally:
            self._end_programs()
        if self.failed:
            raise FleetFailed(self.failed)
        return self._result()

    def _start(self) -> None:
        listed = [ListedEngine(e.settings.name, e.listen(own_host()), e.settings.cell) for e in self.engines]
        self.board = Board(self.reactor, listed)
        board = self.board.listen(own_host())
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
                        "board": f"{board[0]}:{board[1]}",
                        "known": self.board.known(),
                        "settings": self.day.settings(),
                    }
                    | self.extra_configuration(n)
                )
            )
            if tables := self.operator_text(n):
                Path(self.dir.name, f"n{n}.star").write_text(tables)
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
            callers.on_up = self._softswitch_ready
            self.callers.append(callers)
            callers.connect()
        self.ready_count = 0
        self.deadline = self.reactor.callLater(READY_WITHIN, self._fail, "a softswitch did not come up")

    def extra_configuration(self, n: int) -> dict[str, Any]:
        """Keys of the configuration that this softswitch has besides."""
        return {}

    def operator_text(self, n: int) -> str:
        """Its operator file; empty: it has none."""
        if not self.day.record_interval:
            return ""
        return (
            f'record = {{"file": "n{n}.whtr", "interval_s": {self.day.record_interval:g}, '
            f'"slot_s": {self.day.record_slot:g}}}\n'
        )

    def start_process(self, n: int) -> subprocess.Popen[bytes]:
        """Starts a softswitch, for the first time or again; its log goes on."""
        star = Path(self.dir.name, f"n{n}.star")
        env = os.environ | {"BALANCER_CONFIG": str(Path(self.dir.name, f"n{n}.json"))} | self.day.env
        env = environment.without(env, environment.OPERATOR_FILE)
        if star.exists():
            env["SOFTSWITCH_OPERATOR"] = str(star)
        with open(self.logs[n], "ab") as out:
            return subprocess.Popen(
                [sys.executable, "-m", "softswitch"],
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
            )

    def _fail(self, why: str) -> None:
        if not self.failed:
            said = [
                f"{log.name}: {line}"
                for log in self.logs
                for line in log.read_text(errors="replace").splitlines()[-5:]
            ]
            self.failed = "; ".join([why, *said])
            self._stop()

    def _softswitch_ready(self) -> None:
        self.ready_count += 1
        if self.ready_count == self.day.softswitches:
            self.deadline.cancel()
            self.started_at = self.reactor.seconds()
            self.started_unix = time()
            self.reactor.callLater(self.day.warm_up, self._start_counting)
            self.reactor.callLater(1.0, self._second)
            self._place()

    def _place(self) -> None:
        """Places all calls that are due, then sleeps until the next."""
        now = self.reactor.seconds() - self.started_at
        while self.next < len(self.plan) and self.plan[self.next][0] <= now:
            at, stream = self.plan[self.next]
            self.fallen_behind = max(self.fallen_behind, now - at)
            callers = self.callers_for(self.next)
            if callers is not None:
                callers.place(stream)
            self.next += 1
        if self.next < len(self.plan):
            self.reactor.callLater(max(0.0, self.plan[self.next][0] - now), self._place)
        else:
            self.reactor.callLater(
                max(0.0, self.day.warm_up + self.day.seconds - now), self._finish_when_idle
            )

    def callers_for(self, nth: int) -> Callers | None:
        """Who places the nth call; None: nobody."""
        return self.callers[nth % len(self.callers)]

    def _start_counting(self) -> None:
        """The warm-up is over: books are begun anew."""
        for callers in self.callers:
            callers.tallies = {}
        now = self.reactor.seconds()
        for engine in self.engines:
            engine._change_used(0)
            self.carried_base.append(engine.circuit_seconds)
            self.counts_base.append(dict(engine.count))
        self.marks = [now]

    def _second(self) -> None:
        if self.ending:
            return None
        for n, program in enumerate(self.programs):
            if program.poll() is not None and self.should_run(n):
                return self._fail(f"softswitch n{n} ended by itself with {program.returncode}")
        if self.on_second:
            self.on_second(self)
        self.reactor.callLater(1.0, self._second)
        return None

    def should_run(self, n: int) -> bool:
        """Whether it is a fault if this one has ended."""
        return True

    def _finish_when_idle(self) -> None:
        """No more calls: what is open is awaited, so long as it may take."""
        if len(self.marks) == 1:
            self.marks.append(self.reactor.seconds())
            self.loads = []
            for engine, base in zip(self.engines, self.carried_base, strict=True):
                engine._change_used(0)
                self.loads.append((engine.circuit_seconds - base) / max(1e-9, self.marks[1] - self.marks[0]))
        waited = self.reactor.seconds() - self.marks[1]
        if any(c.open for c in self.callers) and waited < self.day.answer_timeout * self.day.tries + 10:
            self.reactor.callLater(0.05, self._finish_when_idle)
        else:
            self._stop()

    def _stop(self) -> None:
        """Asks the softswitches to stop, and serves them until they have."""
        if not self.ending:
            self.ending = self.reactor.seconds()
            for program in self.programs:
                if program.poll() is None:
                    program.send_signal(signal.SIGTERM)
        if (
            any(p.poll() is None for p in self.programs)
            and self.reactor.seconds() - self.ending < ENDED_WITHIN
        ):
            self.reactor.callLater(0.05, self._stop)
            return
        for callers in self.callers:
            callers.stop()
        for engine in self.engines:
            engine.stop()
        if hasattr(self, "board"):
            self.board.stop()
        self.reactor.callLater(0.05, self.reactor.stop)

    def _end_programs(self) -> None:
        """Whatever happened, nothing that this object started is left running."""
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
                "erlangs": load,
                **{k: v - base.get(k, 0) for k, v in e.count.items()},
            }
            for e, load, base in zip(self.engines, self.loads, self.counts_base, strict=True)
        ]
        counters = []
        for log in self.logs:
            lines = [line for line in log.read_text(errors="replace").splitlines() if "counters {" in line]
            counters.append(orjson.loads("{" + lines[-1].partition("{")[2]) if lines else {})
        records = [str(p) for p in sorted(Path(self.dir.name).glob("n*.whtr"))]
        return Result(self.marks[1] - self.marks[0], tallies, engines, records, counters, self.dir)
