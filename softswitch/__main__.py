"""One softswitch: reads its configuration, wires the parts together, and ends in good order on SIGTERM."""

# ruff: noqa: E402, I001  # signals first, then the trimmed imports
from __future__ import annotations

from softswitch import signals

signals.keep()  # before all that takes time

import softswitch.lazy_import  # noqa: F401  # what follows imports what it keeps out

import gc
import os
import resource
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import orjson
from loguru import logger
from twisted.internet import reactor
from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from softswitch import environment, telemetry
from softswitch.configuration import (
    BadConfiguration,
    address,
    configuration,
    control_settings,
    operator_file,
)
from softswitch.core.lifecycle import Phase
from softswitch.core.switch import MOST_CALLS, MOST_HELD, Switch
from softswitch.core.timer_wheel import Wheel
from softswitch.log_rate_limit import Quiet
from softswitch.net.endpoint_watch import Board
from softswitch.net.engine import EngineLinks
from softswitch.net.handover import Handover, listening
from softswitch.net.management import MgmtFront
from softswitch.net.sip import SipFront
from softswitch.settings import SettingsError, check_settings

VERSION = "0.1.0"
CALLS_PER_MB = 200  # calls known at once, for each MB that the configuration allows
STILL_COMING = 750.0  # ms after SIGTERM in which set-ups may still arrive
BACKLOG = 512  # connections that may wait to be accepted
LIST_BY = 1_000.0  # ms that a process which replaces another gives the board to bring its list up to date
MOST_REST = 50.0  # ms without a look at the clock; a standstill within it goes unseen
SEEK_FOR = 5_000.0  # ms from the start in which it asks for the listeners; the platform waits 6 s for its yes
SHARED = environment.names(environment.HANDOVER_MODE)[0]
FIXED = ("name", "listen", "limits")  # what a reload can't change
# Ms. SIGKILL may come 0.7 s after SIGTERM and the longest deadline, which counts as 3 s where longer or not
# told, and as 5 s where the next process has taken over.
MOST_DEADLINE, MOST_REPLACED, ANSWERED_BY = 3_000.0, 5_000.0, 300.0
# Ms from the end of a stop: for what is written last to engines; for callers to read it and to go. Answers
# that a caller has not read yet are kept until UNSENT_BY after the last end that a stop may have.
ALOUD, GONE_BY, UNSENT_BY = 50.0, 150.0, 300.0


def monotonic_ms() -> float:
    return time.monotonic() * 1000.0


class Poller:
    """The reactor's epoll object, which tells when it comes back from waiting."""

    def __init__(self, poller: Any, woken: Callable[[], None]) -> None:
        self.wrapped, self.woken = poller, woken
        self.register, self.modify, self.unregister = poller.register, poller.modify, poller.unregister
        self.close, self.fileno = poller.close, poller.fileno

    def poll(self, timeout: float, most: int) -> Any:
        found = self.wrapped.poll(timeout, most)
        if found:  # empty, a timer is due, which reads the clock itself and sees a standstill
            self.woken()
        return found


class Softswitch:
    """The parts of one softswitch and the ticks that drive its wheel."""

    def __init__(self, config: dict[str, Any], tables: Any = None) -> None:
        self.settings, self.running = check_settings(config["settings"]), config
        self.listen = address(config["listen"])
        offset = monotonic_ms() - time.time() * 1000.0

        def to_clock(born_ms: int) -> float:
            return born_ms + offset if born_ms else 0.0

        self.wheel = Wheel(self.settings.tick, monotonic_ms)
        self.engines = EngineLinks(reactor, self.settings)
        self.switch = Switch(self.settings, int(str(config.get("seed") or "0"), 16), self.wheel, self.engines)
        self.engines.attach(self.switch)
        limits = config.get("limits") or {}
        sockets = int(limits.get("sockets") or resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        # Some descriptors are kept for engines, the board and the program itself.
        room = max(16, min(1_000, sockets - max(48, sockets // 8)))
        self.switch.most_calls = min(MOST_CALLS, CALLS_PER_MB * int(limits.get("memory_mb") or 1_000))
        self.switch.most_held = min(MOST_HELD, int(limits.get("memory_mb") or 1_000) << 17)
        control = control_settings()
        self.control = self._control_front(control, room // 4) if control.listen else None
        self.sip = SipFront(str(config["name"]), room - room // 4 if self.control else room)
        self.sip.attach(self.switch)
        if self.control:
            self.control.attach(self.switch)
        self.mgmt = MgmtFront(self.switch) if config.get("mgmt") else None
        self.mgmt_at = self._mgmt_address(config["mgmt"]) if self.mgmt else None
        self.board = Board(reactor, address(config["board"]), self.switch, self.engines, to_clock)
        self.known = self.board.read(config.get("known") or {})
        self.telemetry = telemetry.start(self.sip.name, self.switch)
        self.due, self.began, self.failed = 0.0, self.wheel.now, ""
        self.ticking: Any = None  # the reactor's call of the next tick
        self.rests = False  # whether ticks with nothing due are left out
        tmp = os.environ.get("TMPDIR", "")
        way = environment.variable(environment.HANDOVER_MODE)
        if way not in ("", "reuseport"):
            raise BadConfiguration(f"{SHARED}: {way!r:.40} is not 'reuseport'; empty: handed over")
        self.shared = way == "reuseport"
        self.handover = Handover(reactor, self.switch, self.sip, tmp) if tmp and not self.shared else None
        self.parts = self._parts(tables, offset) if tables else {}

    def _control_front(self, settings: Any, room: int) -> Any:
        from softswitch.net.call_control import ControlFront  # and its packages, where it listens

        return ControlFront(settings, room)

    def _mgmt_address(self, text: Any) -> tuple[str, int]:
        try:
            return address(text)
        except ValueError as e:
            raise BadConfiguration(f"mgmt (or $BALANCER_MGMT): {e}; address:port is wanted") from None

    def _parts(self, tables: Any, offset: float) -> dict[str, Any]:
        """The optional parts that the operator file asks for."""
        from softswitch.components import BadPart, Host, make

        host = Host(
            self.sip.name,
            self.switch,
            reactor,
            offset,
            Path(environment.variable(environment.OPERATOR_FILE)).resolve().parent,
            self.settings,
            version=VERSION,
            mgmt=str(self.running.get("mgmt") or ""),
        )
        try:
            made = make(tables, host)
        except BadPart as e:
            raise BadConfiguration(str(e)) from None
        if self.mgmt:
            self.mgmt.more, self.mgmt.parts = host.calls, made
        self.host = host
        return made

    def start(self) -> None:
        self.switch.start()
        self.board.known(self.known)
        self.board.start()
        if self.mgmt:
            try:
                reactor.listenTCP(self.mgmt_at[1], self.mgmt, backlog=64, interface=self.mgmt_at[0])
            except CannotListenError as e:
                raise BadConfiguration(f"mgmt: {e}") from None
            logger.info("management calls at {}:{}", *self.mgmt_at)
        for part in self.parts.values():
            part.start()
        self.due = self.wheel.read()
        self._tick()
        self._rest()
        before = self.handover.predecessors(self.listen) if self.handover else []
        if before:
            # The list in the file may be old by now: the board has a moment to tell the rest.
            self.wheel.at(self.wheel.now + LIST_BY, self._knows)
            self._seek(before)
        else:
            self._knows()
            self._serve({})

    def _knows(self) -> None:
        if self.board.rev:
            self.switch.lifecycle.knows(self.wheel.now)

    def _seek(self, before: list[Path]) -> None:
        self.handover.seek(before, self._found)

    def _found(self, given: dict[str, int] | None) -> None:
        """What the process before has given, if there is one that gives."""
        if given and not self.switch.lifecycle.listed:
            # Until then the other one takes the callers: they would be told no here.
            return self.wheel.at(self.wheel.now + 5.0, self._found, given)
        try:
            self._serve(given or {})
            self._knows()
        except OSError as e:
            if self.wheel.read() - self.began < SEEK_FOR:
                # It still listens, and was too busy to answer: it is asked again.
                reactor.callLater(0.2, self._seek, self.handover.predecessors(self.listen))
            else:
                self.failed = f"listen: {e}"
                reactor.stop()

    def _listen(self, name: str, at: tuple[str, int], factory: Any, given: dict[str, int]) -> Any:
        # Our own socket, adopted: the reactor then never shuts it down under the process that was given it.
        made = socket.socket(fileno=given.pop(name)) if name in given else listening(at, BACKLOG, self.shared)
        port = reactor.adoptStreamPort(made.fileno(), socket.AF_INET, factory)
        made.close()
        if self.handover:
            self.handover.ports[name] = port
        return port

    def _serve(self, given: dict[str, int]) -> None:
        self.sip.port = self._listen("sip", self.listen, self.sip, given)
        if self.control:
            at = address(self.control.set.listen)
            self._listen("control", at, self.control, given)
            logger.info("call-control API at {}:{}", *at)
        for fd in given.values():
            os.close(fd)
        self.switch.lifecycle.opened(self.wheel.now)
        if self.handover:
            self.handover.offer(self.listen)
        logger.info("softswitch {} serves at {}:{}", self.sip.name, *self.listen)

    def _tick(self) -> None:
        """One timer of the reactor drives all others. After a standstill the sockets are read first: what
        came in meanwhile came before the timers that are overdue, and must not look late.
        """
        wheel, tick = self.wheel, self.settings.tick
        now = wheel.read()
        self.ticking = None
        late = now - self.due > 2 * tick
        if late:
            self.switch.count["ticks late"] += 1
            reactor.callLater(0, wheel.turn)
        else:
            wheel.turn()
        next_ = max(self.due + tick, now)
        if self.rests and not late:
            # With nothing due it rests, and the poller reads the clock when something comes in.
            due = wheel.due
            next_ = max(next_, min(now + MOST_REST, due if due is not None else now + MOST_REST))
            wheel.rests_until = next_
        self.due = next_
        self.ticking = reactor.callLater(max(0.0, next_ - monotonic_ms()) / 1000.0, self._tick)

    def _rest(self) -> None:
        """From now on, with nothing to do, it sleeps until its next timer, or until something comes in."""
        if hasattr(reactor, "_poller"):  # another reactor than epoll's turns over every tick
            reactor._poller = Poller(reactor._poller, self.wheel.look)
            self.rests, self.wheel.on_earlier = True, self._earlier

    def _earlier(self, due: float) -> None:
        """A timer was set that comes before the end of the rest."""
        due = max(due, self.wheel.now)
        if self.ticking is not None and due < self.due:
            self.due = self.wheel.rests_until = due
            self.ticking.reset(max(0.0, due - monotonic_ms()) / 1000.0)

    def counters(self) -> None:
        now = {"open": self.switch.open, "known": len(self.switch.calls)}
        logger.info("counters {}", orjson.dumps(now | dict(self.switch.count)).decode())

    def reload(self) -> None:
        """SIGHUP: the configuration is read again, whole and strictly, before anything of it is taken."""
        figures = self.switch.figures
        try:
            config = configuration()
            for key in self.running:
                if key not in config:
                    raise BadConfiguration(f"{key} is missing")
            settings = check_settings(config["settings"], self.running["settings"])
            board, known = address(config["board"]), self.board.read(config.get("known") or {})
            tables = operator_file() if self.parts else None
        except (BadConfiguration, SettingsError) as e:
            figures.cfg_invalid += 1
            logger.error("configuration not reloaded, the old one stays: {}", e)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as e:
            figures.cfg_invalid += 1
            logger.error("configuration not reloaded, the old one stays: {}: {}", type(e).__name__, e)
        else:
            figures.cfg_accepted += 1
            later = [key for key in FIXED if config.get(key) != self.running.get(key)]
            if settings.tick != self.settings.tick:
                later.append("settings.tick")
            self._take(settings)
            later += self._reload_parts(tables)
            self.running = config | {key: self.running[key] for key in FIXED if key in self.running}
            self.board.known(known)
            self.board.move(board)
            logger.info(
                "configuration reloaded, board at {}:{}, classes {}",
                *board,
                ", ".join(c.name for c in settings.classes)[:200],
            )
            if later:
                logger.warning("configuration: {} changes at the next start only", ", ".join(later))

    def _reload_parts(self, tables: Any) -> list[str]:
        """What of the operator file changes at the next start only."""
        if self.parts:
            self.host.tables = tables
        said = [part.reload(getattr(tables, name, None), self.settings) for name, part in self.parts.items()]
        return [f"the operator file's {what}" for what in said if what]

    def _take(self, settings: Any) -> None:
        self.settings = replace(settings, tick=self.settings.tick)
        self.engines.set = self.settings
        self.switch.new_settings(self.settings)

    def stop(self) -> None:
        if self.switch.lifecycle.phase is Phase.STOPPING:
            return
        logger.info("asked to stop: answering what is open")
        now, life = self.wheel.now, self.switch.lifecycle
        if self.shared:
            life.hand_over(now)
            reactor.callLater(0, self.sip.port.stopListening)  # what waits in its queue is taken in first
        most = MOST_REPLACED if life.handed_over else MOST_DEADLINE
        deadline = max(c.deadline or most for c in self.settings.classes)  # 0: none is told
        life.stop(now, now + max(STILL_COMING, min(deadline, most) + ANSWERED_BY))
        self._end_when_done(now + STILL_COMING)

    def _end_when_done(self, earliest: float) -> None:
        now = self.wheel.now
        held = self.switch.calls or (self.switch.lifecycle.handed_over and self.sip.connections)
        if now >= self.switch.lifecycle.ends_at or (not held and now >= earliest):
            self.switch.lifecycle.close(now)  # what still comes is refused, and callers go
            self.switch.refuse_rest()
            self.switch.cut_rest()
            if self.control:
                self.control.stop()
            self._leave(now + GONE_BY)
        else:
            self.wheel.at(now + 20.0, self._end_when_done, earliest)

    def _leave(self, at_last: float) -> None:
        """What was written last still goes out, and what lies unread is read and answered."""
        now, unsent_by = self.wheel.now, self.switch.lifecycle.ends_at + UNSENT_BY
        if (now < at_last and (self.sip.connections or now < at_last - GONE_BY + ALOUD)) or (
            now < unsent_by and any(connection.unsent for connection in self.sip.connections)
        ):
            self.wheel.at(self.wheel.now + 2 * self.settings.tick, self._leave, at_last)
        else:
            reactor.stop()


def say_faults(event: dict[str, Any]) -> None:
    """A fault in a callback of the reactor is one line in the log, no crash."""
    failure = event.get("log_failure")
    if failure is not None:
        where = failure.getTraceback().strip().splitlines()[-2:]
        logger.error("fault: {!r} at {}", failure.value, where[0].strip())


def main() -> int:
    logger.remove()
    logger.add(
        sys.stderr,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        backtrace=False,
        diagnose=False,
        level=environment.variable(environment.LOG_LEVEL, "INFO"),
        filter=Quiet(),
    )
    try:
        config = configuration()
        tables = operator_file()
        if tables and tables.logs.form == "json":
            logger.remove()
            logger.add(
                sys.stderr,
                serialize=True,
                backtrace=False,
                diagnose=False,
                level=environment.variable(environment.LOG_LEVEL, "INFO"),
                filter=Quiet(),
            )
            logger.configure(extra={"softswitch": config["name"]})
        if signals.asked_to_stop():
            return 0  # nobody was let in yet
        try:
            softswitch = Softswitch(config, tables)
            softswitch.start()
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as e:
            raise BadConfiguration(f"configuration: {type(e).__name__}: {e}") from None
        except BadConfiguration:
            raise
        except Exception as e:
            raise BadConfiguration(str(e)) from None
    except BadConfiguration as e:
        print(f"willowhitch: {e}", file=sys.stderr)
        return 2
    if old_names := environment.deprecated_in_use():
        logger.warning("environment: {} deprecated, use SOFTSWITCH_*", ", ".join(old_names))
    globalLogBeginner.beginLoggingTo([say_faults], redirectStandardIO=False, discardBuffer=True)
    reactor.addSystemEventTrigger("before", "shutdown", softswitch.counters)
    signals.carry_out(
        {
            number: partial(reactor.callFromThread, act)
            for number, act in (
                (signal.SIGTERM, softswitch.stop),
                (signal.SIGINT, softswitch.stop),
                (signal.SIGUSR1, softswitch.counters),
                (signal.SIGHUP, softswitch.reload),
            )
        }
    )
    gc.collect()
    gc.set_threshold(10_000, 20, 20)
    gc.freeze()  # what is here now stays: a full collection need not look at it, and pauses stay short
    reactor.run(installSignalHandlers=False)
    if softswitch.failed:
        print(f"willowhitch: {softswitch.failed}", file=sys.stderr)
    if softswitch.telemetry:
        softswitch.telemetry.stop()
    for part in softswitch.parts.values():
        part.stop()
    return 2 if softswitch.failed else 0


if __name__ == "__main__":
    sys.exit(main())
