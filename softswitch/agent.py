"""The agent: starts, watches, restarts and drains the softswitches that a TOML file names.

It is spoken to over a Unix socket: one JSON object a line, one answer to each (`cli.py` does so).
"""

from __future__ import annotations

import os
import signal
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

import orjson
from loguru import logger
from twisted.internet import reactor
from twisted.internet.error import ProcessDone
from twisted.internet.protocol import Factory, ProcessProtocol
from twisted.protocols.basic import LineReceiver

FIRST_WAIT, LONGEST_WAIT = 0.5, 30.0  # s before a softswitch that ended is started again; doubles
STEADY_AFTER = 10.0  # s of running after which the wait begins anew
KNOWS_HUP_AFTER = 2.0  # s after its start
KILL_AFTER = 15.0  # s that a drain may take


class AgentConfigError(Exception):
    """An agent's file that cannot be served."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One softswitch that the agent runs."""

    name: str
    config: str  # its BALANCER_CONFIG
    control: str = ""  # its SOFTSWITCH_CONTROL; empty: the repository's
    env: dict[str, str] = field(default_factory=dict)


def read(path: str) -> tuple[str, list[Instance]]:
    """The socket's path and the instances; relative paths are beside the file."""
    try:
        table, beside = tomllib.loads(Path(path).read_text()), Path(path).resolve().parent
        instances = [Instance(**entry) for entry in table.get("instance", [])]
        if not instances or len({i.name for i in instances}) != len(instances):
            raise ValueError("at least one [[instance]], and no name twice")
        return str(beside / table["socket"]), [
            Instance(i.name, str(beside / i.config), str(beside / i.control) if i.control else "", i.env)
            for i in instances
        ]
    except KeyError as e:
        raise AgentConfigError(f"{path}: {e} is missing") from None
    except (OSError, ValueError, TypeError) as e:
        raise AgentConfigError(f"{path}: {e}") from None


class Watched(ProcessProtocol):
    """One softswitch under the agent's eye."""

    def __init__(self, instance: Instance) -> None:
        self.instance, self.wanted, self.again = instance, True, False
        self.state, self.since, self.starts, self.wait = "waiting", monotonic(), 0, FIRST_WAIT
        self.kill = self.due = None

    def start(self) -> None:
        """Starts the process, unless it runs or is not wanted."""
        self.due = None
        if not self.wanted or self.state in ("running", "draining"):
            return
        env = os.environ | {"BALANCER_CONFIG": self.instance.config} | self.instance.env
        if self.instance.control:
            env["SOFTSWITCH_CONTROL"] = self.instance.control
        self._is("running")
        self.starts += 1
        reactor.spawnProcess(
            self,
            sys.executable,
            [sys.executable, "-m", "softswitch"],
            env=env,
            path=str(Path(__file__).resolve().parent.parent),
            childFDs={0: 0, 1: 1, 2: 2},
        )
        logger.info("agent: {} started, process {}", self.instance.name, self.transport.pid)

    def _is(self, state: str) -> None:
        self.state, self.since = state, monotonic()

    def drain(self, again: bool = False) -> None:
        """Ends it in good order; `again`: and starts it anew."""
        self.wanted, self.again = again, again
        if self.due is not None:
            self.due.cancel()
            self.due = None
        if self.state == "running":
            self._is("draining")
            self.transport.signalProcess("TERM")
            self.kill = reactor.callLater(KILL_AFTER, self._kill)
        elif self.state != "draining":
            self._is("drained")
            if again:
                self.start()

    def reload(self) -> None:
        """It reads its configuration again and keeps serving."""
        if self.state == "running":
            # One that has just begun does not know the signal yet, and would end by it.
            reactor.callLater(max(0.0, KNOWS_HUP_AFTER - (monotonic() - self.since)), self._hup, self.starts)

    def _hup(self, start: int) -> None:
        if self.state == "running" and self.starts == start:
            self.transport.signalProcess("HUP")

    def _kill(self) -> None:
        self.kill = None
        logger.warning("agent: {} did not end within {:.0f} s, killed", self.instance.name, KILL_AFTER)
        self.transport.signalProcess("KILL")

    def processEnded(self, reason: Any) -> None:
        """Twisted callback: the process has ended; it is started again if it is wanted."""
        ran, drained = monotonic() - self.since, self.state == "draining"
        if self.kill is not None:
            self.kill.cancel()
            self.kill = None
        how = "in good order" if reason.check(ProcessDone) else str(reason.value)
        logger.info("agent: {} ended: {}", self.instance.name, how)
        if drained and not self.again:
            self._is("drained")
            return
        if drained or ran >= STEADY_AFTER:
            self.wait = FIRST_WAIT
        wait, self.again = 0.0 if drained else self.wait, False
        self.wait = min(2 * self.wait, LONGEST_WAIT)
        self._is("waiting")
        self.due = reactor.callLater(wait, self.start)

    def status(self) -> dict[str, Any]:
        """State, process id and what else the command line shows, as JSON types."""
        pid = self.transport.pid if self.state in ("running", "draining") else None
        return {
            "name": self.instance.name,
            "state": self.state,
            "pid": pid,
            "starts": self.starts,
            "seconds": round(monotonic() - self.since, 1),
        }


class AgentLine(LineReceiver):
    """One client of the agent."""

    delimiter, MAX_LENGTH = b"\n", 4_096

    def lineReceived(self, line: bytes) -> None:
        """Twisted callback: one request, a JSON object on a line; the answer is one too."""
        try:
            said = orjson.loads(line)
            answer = self.factory.agent.asked(said["do"], said.get("name"))
        except (ValueError, KeyError, TypeError, AttributeError):
            answer = {"error": "an object with do, and name where it is wanted"}
        self.sendLine(orjson.dumps(answer))

    def lineLengthExceeded(self, line: bytes) -> None:
        """Twisted callback: a request that is too long ends the connection."""
        self.transport.loseConnection()


class Agent(Factory):
    """Runs the instances, and answers the command line on a Unix socket."""

    protocol, noisy = AgentLine, False

    def __init__(self, instances: list[Instance]) -> None:
        self.agent, self.ending = self, False
        self.watched = {i.name: Watched(i) for i in instances}

    def start(self) -> None:
        """Starts all instances."""
        for watched in self.watched.values():
            watched.start()

    def asked(self, what: str, name: str | None) -> dict[str, Any]:
        """Carries out one request. The answer has `error` if it was refused."""
        if name is not None and name not in self.watched:
            return {"error": f"no instance {name!r}"}
        chosen = [w for n, w in self.watched.items() if name in (None, n)]
        if what in ("drain", "restart"):
            if self.ending:
                return {"error": "the agent is ending"}
            for watched in chosen:
                watched.drain(again=what == "restart")
        elif what == "reload":
            for watched in chosen:
                watched.reload()
        elif what != "status":
            return {"error": f"{what!r} is not status, drain, restart or reload"}
        return {"instances": [w.status() for w in chosen]}

    def end(self) -> None:
        """Drains all, then ends the agent."""
        if not self.ending:
            self.ending = True
            logger.info("agent: draining all")
            for watched in self.watched.values():
                watched.drain()
            self._end_when_done()

    def _end_when_done(self) -> None:
        if all(w.state == "drained" for w in self.watched.values()):
            reactor.stop()
        else:
            reactor.callLater(0.1, self._end_when_done)


def run(path: str) -> int:
    """Runs the agent by the file at `path` until it is stopped; the exit status."""
    socket, instances = read(path)
    agent = Agent(instances)
    try:
        if os.path.exists(socket):
            os.unlink(socket)  # left by an agent that was killed
        reactor.listenUNIX(socket, agent, mode=0o600)
    except Exception as e:
        raise AgentConfigError(f"{socket}: {e}") from None

    def begin() -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: reactor.callFromThread(agent.end))
        # Guards against an agent that a SIGHUP ends, and its softswitches left with nobody to watch them.
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(agent.asked, "reload", None))
        agent.start()

    reactor.callWhenRunning(begin)
    reactor.run()  # its own handler of SIGCHLD sees softswitches end
    return 0
