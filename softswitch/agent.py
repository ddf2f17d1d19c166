"""The agent: a supervisor that starts, monitors, restarts and drains the softswitches listed in a TOML file.

It accepts requests on a Unix socket, one JSON object per line, and answers each with one line. The client is
`cli/agent_client.py`.
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

MIN_BACKOFF, MAX_BACKOFF = 0.5, 30.0  # s before a softswitch that exited is restarted; doubles each time
BACKOFF_RESET_AFTER = 10.0  # s of running after which the backoff is reset
HANDLES_HUP_AFTER = 2.0  # s after the start of the process
KILL_AFTER = 15.0  # max s for a drain


class AgentConfigError(Exception):
    """The agent's file is not valid, or its socket can't be opened."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One softswitch that the agent runs."""

    name: str
    config: str  # value of BALANCER_CONFIG
    control: str = ""  # value of SOFTSWITCH_CONTROL; empty: the file in the repository
    env: dict[str, str] = field(default_factory=dict)


def read(path: str) -> tuple[str, list[Instance]]:
    """Returns the path of the socket and the instances; relative paths start at the directory of the file."""
    try:
        table, directory = tomllib.loads(Path(path).read_text()), Path(path).resolve().parent
        instances = [Instance(**entry) for entry in table.get("instance", [])]
        if not instances or len({i.name for i in instances}) != len(instances):
            raise ValueError("at least one [[instance]] is needed, and names must be unique")
        return str(directory / table["socket"]), [
            Instance(
                i.name, str(directory / i.config), str(directory / i.control) if i.control else "", i.env
            )
            for i in instances
        ]
    except KeyError as e:
        raise AgentConfigError(f"{path}: {e} is missing") from None
    except (OSError, ValueError, TypeError) as e:
        raise AgentConfigError(f"{path}: {e}") from None


class Supervised(ProcessProtocol):
    """The process of one softswitch, monitored by the agent."""

    def __init__(self, instance: Instance) -> None:
        # enabled: the process has to run. restarting: it has to be started again once it has drained.
        self.instance, self.enabled, self.restarting = instance, True, False
        self.state, self.state_changed_at, self.starts, self.backoff = "waiting", monotonic(), 0, MIN_BACKOFF
        self.kill_timer = self.start_timer = None

    def start(self) -> None:
        """Starts the process, unless it is running or disabled."""
        self.start_timer = None
        if not self.enabled or self.state in ("running", "draining"):
            return
        env = os.environ | {"BALANCER_CONFIG": self.instance.config} | self.instance.env
        if self.instance.control:
            env["SOFTSWITCH_CONTROL"] = self.instance.control
        self._set_state("running")
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

    def _set_state(self, state: str) -> None:
        self.state, self.state_changed_at = state, monotonic()

    def drain(self, restart: bool = False) -> None:
        """Drains and ends the process, and starts it again if `restart` is set."""
        self.enabled, self.restarting = restart, restart
        if self.start_timer is not None:
            self.start_timer.cancel()
            self.start_timer = None
        if self.state == "running":
            self._set_state("draining")
            self.transport.signalProcess("TERM")
            self.kill_timer = reactor.callLater(KILL_AFTER, self._kill)
        elif self.state != "draining":
            self._set_state("drained")
            if restart:
                self.start()

    def reload(self) -> None:
        """Makes the running process reload its configuration, by SIGHUP."""
        if self.state == "running":
            # SIGHUP would end a process that has just started and does not handle the signal yet.
            reactor.callLater(
                max(0.0, HANDLES_HUP_AFTER - (monotonic() - self.state_changed_at)), self._hup, self.starts
            )

    def _hup(self, start: int) -> None:
        if self.state == "running" and self.starts == start:
            self.transport.signalProcess("HUP")

    def _kill(self) -> None:
        self.kill_timer = None
        logger.warning("agent: {} did not exit within {:.0f} s, killed", self.instance.name, KILL_AFTER)
        self.transport.signalProcess("KILL")

    def processEnded(self, reason: Any) -> None:
        """Twisted callback: the process has exited. Restarts it, unless it was drained without restart."""
        uptime, drained = monotonic() - self.state_changed_at, self.state == "draining"
        if self.kill_timer is not None:
            self.kill_timer.cancel()
            self.kill_timer = None
        outcome = "exit status 0" if reason.check(ProcessDone) else str(reason.value)
        logger.info("agent: {} ended: {}", self.instance.name, outcome)
        if drained and not self.restarting:
            self._set_state("drained")
            return
        if drained or uptime >= BACKOFF_RESET_AFTER:
            self.backoff = MIN_BACKOFF
        delay, self.restarting = 0.0 if drained else self.backoff, False
        self.backoff = min(2 * self.backoff, MAX_BACKOFF)
        self._set_state("waiting")
        self.start_timer = reactor.callLater(delay, self.start)

    def status(self) -> dict[str, Any]:
        """Returns the state, the process id and the other values for the command line, as JSON types."""
        pid = self.transport.pid if self.state in ("running", "draining") else None
        return {
            "name": self.instance.name,
            "state": self.state,
            "pid": pid,
            "starts": self.starts,
            "seconds": round(monotonic() - self.state_changed_at, 1),
        }


class AgentConnection(LineReceiver):
    """The connection of one client of the agent."""

    delimiter, MAX_LENGTH = b"\n", 4_096

    def lineReceived(self, line: bytes) -> None:
        """Twisted callback: answers one request; request and answer are JSON objects on one line."""
        try:
            request = orjson.loads(line)
            answer = self.factory.agent.handle_request(request["do"], request.get("name"))
        except (ValueError, KeyError, TypeError, AttributeError):
            answer = {"error": "an object with do, and name where it is wanted"}
        self.sendLine(orjson.dumps(answer))

    def lineLengthExceeded(self, line: bytes) -> None:
        """Twisted callback: closes the connection if a request is too long."""
        self.transport.loseConnection()


class Agent(Factory):
    """Runs the instances, and answers the requests of the command line on a Unix socket."""

    protocol, noisy = AgentConnection, False

    def __init__(self, instances: list[Instance]) -> None:
        self.agent, self.stopping = self, False
        self.supervised = {i.name: Supervised(i) for i in instances}

    def start(self) -> None:
        """Starts all instances."""
        for process in self.supervised.values():
            process.start()

    def handle_request(self, action: str, name: str | None) -> dict[str, Any]:
        """Executes one request. The answer has `error` if the request is rejected."""
        if name is not None and name not in self.supervised:
            return {"error": f"no instance {name!r}"}
        selected = [p for n, p in self.supervised.items() if name in (None, n)]
        if action in ("drain", "restart"):
            if self.stopping:
                return {"error": "the agent is ending"}
            for process in selected:
                process.drain(restart=action == "restart")
        elif action == "reload":
            for process in selected:
                process.reload()
        elif action != "status":
            return {"error": f"{action!r} is not status, drain, restart or reload"}
        return {"instances": [p.status() for p in selected]}

    def stop(self) -> None:
        """Drains all softswitches, then stops the agent."""
        if not self.stopping:
            self.stopping = True
            logger.info("agent: draining all")
            for process in self.supervised.values():
                process.drain()
            self._stop_when_drained()

    def _stop_when_drained(self) -> None:
        if all(p.state == "drained" for p in self.supervised.values()):
            reactor.stop()
        else:
            reactor.callLater(0.1, self._stop_when_drained)


def run(path: str) -> int:
    """Runs the agent with the file at `path` until it is stopped. Returns the exit status."""
    socket, instances = read(path)
    agent = Agent(instances)
    try:
        if os.path.exists(socket):
            os.unlink(socket)  # left over from a killed agent
        reactor.listenUNIX(socket, agent, mode=0o600)
    except Exception as e:
        raise AgentConfigError(f"{socket}: {e}") from None

    def start_agent() -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: reactor.callFromThread(agent.stop))
        # By default, SIGHUP would end the agent and leave its softswitches running without supervision.
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(agent.handle_request, "reload", None))
        agent.start()

    reactor.callWhenRunning(start_agent)
    reactor.run()  # its SIGCHLD handler detects the exit of softswitches
    return 0
