"""One stage for a case: the record, the stand-ins on loopback addresses, and softswitches as processes.

The stand-ins do what the protocol pages say of quote engines, the notice board and callers. Where the pages
are silent they do what a sound one would. All times are Unix seconds; `record.txt` has them from the start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins_2 import wire

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy" / "balancer.toml"
READY, DRAINING, GONE = 0, 1, 2
HEALTH = ("active", "leaving", "left")
STATE_EVERY = 1.0  # s between two unasked states of a group
NOTHING_NEW, WHOLE, CHANGES = 0, 1, 2
# Exit codes of a case. `run.sh` makes 1 of BROKEN, and 2 of all others, so that a fault of the test itself,
# which ends Python with 1, is never taken for a broken rule.
BROKEN, HELD, COULD_NOT_RUN = 10, 0, 2


class CouldNotRunError(Exception):
    """The case could not be played, so it tells nothing."""


def settings(**limits: Any) -> dict[str, Any]:
    """The settings of a small deployment, with the figures of the site `tana-quoting`."""
    return {
        "family": "trunks",
        "fleet_size": 6,
        "registry_mode": "automatic",
        "tick": 5.0,
        "family_info": {
            "network_form": "groups",
            "own_number": -1,
            "clear_wait": 200.0,
            "repeat": 500.0,
            "holding": [8600.0, 12900.0],
            "class_width": [1, 1],
            "skilled_pools": [[0, 1, 2, 3], [0, 1, 2, 3]],
            "far_reports": "answers",
            "hints_route": False,
            "tells_wait": False,
        },
        "lanes": [
            lane("price-check", aim=2000.0, credit=1.0, late_value=0.1),
            lane("save-quote", aim=1500.0, credit=3.0, late_value=0.25),
        ],
        "limits": {
            "may_cancel": True,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "max_retry_after": 2000.0,
            "send_cap": 6,
            "connect_timeout": 500.0,
            "keepalive": 600000.0,
            "parallel_tries": False,
        }
        | limits,
        "rules": {
            "answer_slack": 20.0,
            "cold": 14000.0,
            "cold_from": 0.3,
            "overload_factor": 3.0,
            "overload_for": 1000.0,
            "stop_sending_within": 2000.0,
        },
        "stats": {"fields": ["spare", "total", "allowed"], "how": "answers"},
        "zone": "nairobi",
        "zones": ["nairobi", "mombasa", "kisumu", "eldoret"],
        "host_types": ["std-1core"],
    }


def lane(name: str, aim: float, credit: float, late_value: float) -> dict[str, Any]:
    """One class of calls."""
    return {
        "name": name,
        "aim": aim,
        "hard_limit": 9000.0,
        "credit": credit,
        "late_value": late_value,
        "idempotency": "read_like",
        "stream": True,
    }


class Stage:
    """Owns the record and all that a case starts, and ends it all."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.time()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = (folder / "record.txt").open("w", buffering=1)
        self.random = random.Random()  # ids are new in each run
        self.tasks: set[asyncio.Task[Any]] = set()
        self.processes: list[Softswitch] = []
        self.writers: list[asyncio.StreamWriter] = []  # of all connections of the stand-ins
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.note("stage", f"disruption {'on' if self.trouble else 'off'}")

    def note(self, party: str, what: str) -> None:
        """Adds one line to the record."""
        self.record.write(f"{time.time() - self.started_at:9.3f} {party:<10} {what}\n")

    def new_call(self) -> str:
        """Returns a new call id."""
        return f"{self.random.getrandbits(64):016x}"

    def go(self, work: Any) -> asyncio.Task[Any]:
        """Starts a task that ends with the stage at the latest."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def end(self) -> None:
        """Ends all tasks and processes."""
        for task in list(self.tasks):
            task.cancel()
        for process in self.processes:
            await process.kill()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.05)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.flush()


def run(folder: Path, case: Callable[[Stage], Awaitable[list[str]]], seconds: float = 115.0) -> None:
    """Plays a case, which returns the breaks of the rule that it saw, and exits as the issue says."""
    sys.exit(asyncio.run(_play(folder, case, seconds)))


async def _play(folder: Path, case: Callable[[Stage], Awaitable[list[str]]], seconds: float) -> int:
    stage = Stage(folder)
    play = asyncio.ensure_future(asyncio.wait_for(case(stage), seconds))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, play.cancel)
    try:
        broken = await play
    except (Exception, asyncio.CancelledError) as e:
        stage.note("stage", f"could not run: {e!r}")
        print(f"could not run: {e!r}")
        return COULD_NOT_RUN
    finally:
        await stage.end()
    for line in broken:
        stage.note("stage", f"BROKEN: {line}")
        print(f"broken: {line}")
    stage.note("stage", "the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD


# the notice board


class Board:
    """The notice board: numbered events, and an empty frame each second."""

    def __init__(self, stage: Stage, name: str = "board") -> None:
        self.stage, self.name = stage, name
        self.entries: dict[str, dict[str, Any]] = {}
        self.number = 1
        self.events: list[tuple[int, int, bytes]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ("127.0.0.1", 0)
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[Any] | None = None

    async def open(self, host: str = "127.0.0.1") -> None:
        """Listens, and sends an empty frame each second from now on."""
        self.server = await asyncio.start_server(self._serve, host, self.address[1])
        self.address = self.server.sockets[0].getsockname()[:2]
        self.beats = self.stage.go(self._beat())

    def close(self) -> None:
        """Closes the listener and all connections: the board is down."""
        self.stage.note(self.name, "down")
        if self.server is not None:
            self.server.close()
        if self.beats is not None:
            self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    def list(self, engine: Engine, state: int = READY, born_ms: int = 0) -> dict[str, Any]:
        """Sets an entry of the list, and returns it; no event is sent."""
        entry = {"engine": engine, "state": state, "born_ms": born_ms}
        self.entries[engine.name] = entry
        return entry

    def _record(self, entry: dict[str, Any]) -> bytes:
        engine = entry["engine"]
        address = bytes(map(int, engine.address[0].split(".")))
        return struct.pack(
            ">I4sHBBBHIQ",
            int(engine.name[2:], 16),
            address,
            engine.address[1],
            entry["state"],
            0,
            0,
            engine.cell,
            1000,
            entry["born_ms"],
        )

    def change(self, engine: Engine, state: int, born_ms: int = 0) -> None:
        """Changes one entry, with an event."""
        entry = self.list(engine, state, born_ms)
        self.number += 1
        self._send((self.number, CHANGES, self._record(entry)))
        self.stage.note(self.name, f"event {self.number}: {engine.name} {HEALTH[state]}")
        if state == GONE:
            del self.entries[engine.name]

    def whole(self) -> None:
        """Sends the whole list as the next event, in place of all earlier ones."""
        self.number += 1
        self.events.clear()
        self._send((self.number, WHOLE, b"".join(self._record(e) for e in self.entries.values())))
        self.stage.note(self.name, f"event {self.number}: the whole list, {sorted(self.entries)}")

    def _send(self, event: tuple[int, int, bytes]) -> None:
        self.events.append(event)
        for writer in self.writers:
            self._write(writer, *event)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, number: int, kind: int, payload: bytes = b"") -> None:
        writer.write(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in self.writers:
                self._write(writer, self.number, NOTHING_NEW)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.stage.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            after = int.from_bytes(await reader.readexactly(8), "big")
            self.stage.note(self.name, f"asked for what came after {after}")
            for event in self.events:
                if event[0] > after:
                    self._write(writer, *event)
            self.writers.add(writer)
            while await reader.read(4096):
                pass
        self.writers.discard(writer)
        writer.close()

    def known(self) -> dict[str, Any]:
        """The key `known` of a configuration."""
        hosts = [
            {
                "host": engine["engine"].name,
                "dial": "{}:{}".format(*engine["engine"].address),
                "site": "nairobi",
                "class": "std-1core",
                "block": engine["engine"].cell,
                "health": HEALTH[engine["state"]],
                "share": 1,
                "born_ms": engine["born_ms"],
            }
            for engine in self.entries.values()
        ]
        whole = {"rev": self.number, "pool": {"seq": self.number, "whole": True, "hosts": hosts}}
        return {"rev": self.number, "notices": [whole]}


# quote engines


class EngineLine:
    """One connection from a softswitch to a quote engine."""

    def __init__(self, engine: Engine, writer: asyncio.StreamWriter, number: int) -> None:
        self.engine, self.writer = engine, writer
        self.name = f"{engine.name[-4:]}/{number}"

    def send(self, kind: int, call: str, *parameters: tuple[int, bytes]) -> None:
        """Sends one message."""
        if self in self.engine.lines:
            self.writer.write(wire.encode(kind, call, *parameters))
            if kind not in (wire.STATE, wire.TESTED):
                cause = dict(parameters).get(wire.CAUSE)
                told = f" cause {cause[0]}" if cause else ""
                self.engine.note(f"{self.name} > {wire.NAMES[kind]} {call}{told}")

    def reset(self) -> None:
        """Resets the connection."""
        self.writer.transport.abort()


class EngineCall:
    """A call at a quote engine, from its set-up to its end."""

    def __init__(self, call: str, line: EngineLine, parameters: dict[int, bytes]) -> None:
        self.id, self.line, self.parameters = call, line, parameters
        self.came_at = time.time()
        self.stands = False
        self.end: asyncio.Task[Any] | None = None


class Engine:
    """A quote engine: one processor with far more lines than calls.

    `hold`: seconds for which a call stands. `delay`: seconds from a set-up to its answer.
    """

    def __init__(self, stage: Stage, name: str, cell: int, hold: float = 3600.0, delay: float = 0.02) -> None:
        self.stage, self.name, self.cell, self.hold, self.delay = stage, name, cell, hold, delay
        self.address = ("127.0.0.1", 0)
        self.server: asyncio.Server | None = None
        self.lines: dict[EngineLine, None] = {}
        self.calls: dict[str, EngineCall] = {}
        self.setups: list[EngineCall] = []  # all that came
        self.unreadable: list[bytes] = []
        self.again: dict[str, int] = {}  # releases to be sent on the next connection that is opened
        self.over: dict[str, float] = {}  # when calls that stood came to their end here
        self.opened = 0
        self.gone_lines: list[EngineLine] = []  # open and silent for good
        self.on_setup: Callable[[EngineCall], None] = self.answer_soon

    def note(self, what: str) -> None:
        """Adds a line to the record."""
        self.stage.note(self.name, what)

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.stage.go(self._tell_state())
        self.note(f"listens at {self.address[0]}:{self.address[1]}")

    def stop_listening(self) -> None:
        """Closes the listener; connections stay."""
        if self.server is not None:
            self.server.close()

    def die(self) -> None:
        """Ends as a process does: its connections are reset and its calls are cut."""
        self.note(f"dies, {len(self.calls)} calls cut")
        self.stop_listening()
        for line in list(self.lines):
            line.reset()
        self._cut_all()

    def _cut_all(self) -> None:
        for call in self.calls.values():
            if call.end is not None:
                call.end.cancel()
            if call.stands:
                self.over[call.id] = time.time()
        self.calls.clear()

    def vanish(self) -> None:
        """Goes as a machine that vanishes: its connections stay open and silent, and its calls are cut."""
        self.note(f"vanishes, {len(self.calls)} calls cut")
        self.stop_listening()
        self._cut_all()
        for line in list(self.lines):
            line.writer.transport.pause_reading()
            self.gone_lines.append(line)
        self.lines.clear()

    def report(self) -> tuple[int, bytes]:
        """The report of the group's state."""
        return wire.REPORT, b"x0:%d;x1:1000;qps:40.0" % (1000 - len(self.calls))

    async def _tell_state(self) -> None:
        while True:
            await asyncio.sleep(STATE_EVERY)
            for line in list(self.lines)[:4]:
                line.send(wire.STATE, wire.NO_CALL, self.report())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.stage.writers.append(writer)
        line = EngineLine(self, writer, self.opened)
        self.lines[line] = None
        self.note(f"{line.name} opened")
        line.send(wire.STATE, wire.NO_CALL, self.report())
        again, self.again = self.again, {}
        for call, cause in again.items():
            line.send(wire.RELEASE, call, (wire.CAUSE, bytes((cause,))), self.report())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._read(reader, line)
        self.lines.pop(line, None)
        self.note(f"{line.name} over")
        for call in [c for c in self.calls.values() if c.line is line and not c.stands]:
            del self.calls[call.id]  # the set-ups open on it are given up
        writer.close()

    async def _read(self, reader: asyncio.StreamReader, line: EngineLine) -> None:
        while True:
            size = struct.unpack(">H", await reader.readexactly(2))[0]
            body = await reader.readexactly(size)
            try:
                kind, call, parameters = wire.decode(body)
            except wire.UnreadableError:
                self.unreadable.append(body)
                self.note(f"{line.name} < unreadable {body.hex()}, closes")
                return
            self._received(line, kind, call, parameters)

    def _received(self, line: EngineLine, kind: int, call: str, parameters: dict[int, bytes]) -> None:
        if kind == wire.TEST:
            line.send(wire.TESTED, call, (wire.CAUSE, b"\1"), self.report())
            return
        self.note(f"{line.name} < {wire.NAMES[kind]} {call}")
        if kind == wire.SETUP:
            new = EngineCall(call, line, parameters)
            self.calls[call] = new
            self.setups.append(new)
            self.on_setup(new)
        elif kind == wire.RELEASE:
            line.send(wire.HEARD, call)
            ended = self.calls.pop(call, None)
            if ended is not None and ended.end is not None:
                ended.end.cancel()

    def answer_soon(self, call: EngineCall) -> None:
        """Answers a set-up after `delay`."""
        call.end = self.stage.go(self._live(call))

    async def _live(self, call: EngineCall) -> None:
        await asyncio.sleep(self.delay)
        if self.calls.get(call.id) is not call:
            return  # given up
        self.answer(call)
        await asyncio.sleep(self.hold)
        self.release(call, 16)

    def answer(self, call: EngineCall) -> None:
        """Answers a set-up: the call stands."""
        call.stands = True
        description = f"{self.name}\r\n".encode() + call.parameters.get(wire.DESCRIPTION, b"")
        call.line.send(wire.ANSWER, call.id, (wire.DESCRIPTION, description))

    def release(self, call: EngineCall, cause: int) -> None:
        """Releases a call that stands: on its connection, else on any; and again on the next one."""
        if self.calls.get(call.id) is not call:
            return
        self.over[call.id] = time.time()
        del self.calls[call.id]
        line = call.line if call.line in self.lines else next(iter(self.lines), None)
        if line is not None:
            line.send(wire.RELEASE, call.id, (wire.CAUSE, bytes((cause,))), self.report())
        self.again[call.id] = cause


# callers


class Caller:
    """One connection from a caller to the softswitch, with the calls that were placed on it."""

    count = 0

    def __init__(self, stage: Stage) -> None:
        Caller.count += 1
        self.stage, self.name = stage, f"caller{Caller.count}"
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.received: list[tuple[float, wire.SipMessage]] = []
        self.ended_at: float | None = None
        self.news = asyncio.Event()

    async def connect(self, address: tuple[str, int]) -> Caller:
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.stage.writers.append(self.writer)
        self.stage.go(self._read())
        return self

    def write(self, data: bytes) -> None:
        """Writes bytes as they are."""
        self.writer.write(data)

    def invite(
        self,
        call: str,
        *,
        patience: float = 3.0,
        number: str = "7f3a9c21e0b4d655",
        dest: int = 0,
        **more: str,
    ) -> None:
        """Sends a set-up."""
        headers = {
            "Call-ID": call,
            "CSeq": "1 INVITE",
            "Subject": "price-check",
            "X-Patience": f"{1000 * patience:.0f}",
            "X-Facts": f"dest:{dest};width:1;via:-1",
        } | {name.replace("_", "-"): value for name, value in more.items()}
        body = b"c=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        self.stage.note(self.name, f"> INVITE {call}")
        self.write(wire.request("INVITE", f"sip:{number}@net", headers, body))

    def send(self, method: str, call: str, cseq: int = 1, **more: str) -> None:
        """Sends another request about a call."""
        self.stage.note(self.name, f"> {method} {call}")
        headers = {"Call-ID": call, "CSeq": f"{cseq} {method}"} | more
        self.write(wire.request(method, "sip:7f3a9c21e0b4d655@net", headers))

    def close(self) -> None:
        """Closes the connection."""
        self.stage.note(self.name, "closes")
        self.writer.close()

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                message = wire.SipMessage((await self.reader.readuntil(b"\r\n\r\n"))[:-4].decode("latin-1"))
                message.body = await self.reader.readexactly(message.size)
                self._received(message)
        self.ended_at = time.time()
        self.stage.note(self.name, "connection over")
        self.news.set()

    def _received(self, message: wire.SipMessage) -> None:
        self.received.append((time.time(), message))
        if message.method != "OPTIONS":
            self.stage.note(self.name, f"< {message.start} {message.call} {message.method}")
        if message.is_response and message.method == "INVITE" and message.code >= 200:
            self.write(wire.request("ACK", "sip:x@net", {"Call-ID": message.call, "CSeq": "1 ACK"}))
        elif not message.is_response and message.method == "BYE":
            self.write(wire.response(200, message.call, message.headers.get("cseq", "2 BYE")))
        self.news.set()

    def answers(self, call: str, method: str = "INVITE") -> list[tuple[float, wire.SipMessage]]:
        """The final answers to a request."""
        return [
            (at, m)
            for at, m in self.received
            if m.is_response and m.call == call and m.method == method and m.code >= 200
        ]

    def byes(self, call: str) -> list[float]:
        """When releases of a call came."""
        return [at for at, m in self.received if not m.is_response and m.method == "BYE" and m.call == call]

    async def wait_for(self, test: Callable[[], Any], seconds: float) -> Any:
        """Waits until the test holds or the time is over; returns what the test says then."""
        until = time.time() + seconds
        while not (result := test()) and (left := until - time.time()) > 0 and self.ended_at is None:
            self.news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), left)
        return result

    async def call(self, call: str, patience: float = 3.0, **more: Any) -> int:
        """Places a call; returns the code of its final answer, 0 for none within patience and 0.6 s."""
        self.invite(call, patience=patience, **more)
        answers = await self.wait_for(lambda: self.answers(call), patience + 0.6)
        return answers[0][1].code if answers else 0

    async def establish(self, call: str, **more: Any) -> None:
        """Places a call that has to stand, as nothing is wrong yet."""
        if await self.call(call, **more) != 200:
            raise CouldNotRunError(f"call {call} does not stand")


# softswitches


async def small_deployment(stage: Stage) -> tuple[list[Engine], Board, Softswitch]:
    """Starts four quote engines, as on the site's busiest days, the notice board, and one softswitch."""
    engines = [Engine(stage, f"s-0000000{'abcd'[cell]}", cell) for cell in range(4)]
    board = Board(stage)
    for engine in engines:
        await engine.open()
        board.list(engine)
    board.whole()
    await board.open()
    softswitch = Softswitch(stage, board)
    await softswitch.start()
    return engines, board, softswitch


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that nobody listens at."""
    with socket.socket() as s:
        s.bind((host, 0))
        return int(s.getsockname()[1])


class Softswitch:
    """One softswitch as the platform starts it: by the deploy file's `run`, from the root."""

    def __init__(
        self,
        stage: Stage,
        board: Board,
        name: str = "n1",
        listen: tuple[str, int] | None = None,
        folder: Path | None = None,
        info: dict[str, Any] | None = None,
    ) -> None:
        self.stage, self.board, self.name = stage, board, name
        self.address = listen or ("127.0.0.1", free_port())
        self.mgmt = ("127.0.0.1", free_port())
        self.info = info or settings()
        # The platform's folder: empty and private at each start, but for a process that replaces another.
        self.folder = folder or Path(tempfile.mkdtemp(prefix="node-", dir=stage.folder))
        self.config = stage.folder / f"{name}-{len(stage.processes)}.json"
        self.keeps_config = False
        self.process: asyncio.subprocess.Process | None = None
        stage.processes.append(self)

    def same_config_as(self, other: Softswitch) -> None:
        """Starts with the file of another process as it is, as a process that replaces it does."""
        self.keeps_config = True
        self.config.write_bytes(other.config.read_bytes())

    def write_config(self) -> None:
        """Writes the configuration, as of now."""
        document = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "seed": f"{self.stage.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": "{}:{}".format(*self.board.address),
            "known": self.board.known(),
            "settings": self.info,
        }
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(document))
        new.replace(self.config)

    async def start(self, ready_within: float = 10.0) -> float:
        """Starts the process, and waits until it passes a test; returns the time of the start."""
        if not self.keeps_config:
            self.write_config()
        started_at = time.time()
        log = self.config.with_suffix(".log").open("ab")
        run_command = tomllib.loads(DEPLOY.read_text())["run"]
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("BALANCER_", "SOFTSWITCH_"))}
        environment |= {
            "BALANCER_CONFIG": str(self.config),
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": "{}:{}".format(*self.address),
            "BALANCER_MGMT": "{}:{}".format(*self.mgmt),
            "TMPDIR": str(self.folder),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.stage.note(self.name, f"started, process {self.process.pid}")
        await self._wait_until_ready(started_at + ready_within)
        return started_at

    async def _wait_until_ready(self, until: float) -> None:
        while time.time() < until and self.running:
            if await self.ready():
                self.stage.note(self.name, "ready")
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} is not ready")

    async def ready(self) -> bool:
        """Asks at the operators' address whether this process takes callers."""
        return (await self.operator("GET", "/v1/readyz"))[0] == 200

    async def operator(self, method: str, path: str) -> tuple[int, Any]:
        """One call of an operator; 0 if it fails."""
        try:
            reader, writer = await asyncio.open_connection(*self.mgmt)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n".encode())
            data = await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
        except (OSError, TimeoutError):
            return 0, None
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split()[1]) if head else 0, json.loads(body) if body else None

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.running:
            self.stage.note(self.name, f"gets {number.name}")
            self.process.send_signal(number)

    async def ended(self, seconds: float) -> int | None:
        """Waits until the process has ended; returns its exit status."""
        if self.process is None:
            return None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), seconds)
        self.stage.note(self.name, f"exit status {self.process.returncode}")
        return self.process.returncode

    async def kill(self) -> None:
        """Ends the process at once, if it still runs."""
        if self.process is not None and self.running:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    @property
    def log(self) -> str:
        """What it wrote to standard output and error."""
        return self.config.with_suffix(".log").read_text(errors="replace")
