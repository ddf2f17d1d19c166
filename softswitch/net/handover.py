"""Passes the listeners from the serving process to its successor, through a Unix socket in $TMPDIR.

The successor is given the very sockets that listen, so that no connection waits in a queue which goes down
with its process. While both live, the channel carries the releases that came to one and concern the other.
Whatever is missing or refused, the successor starts as on a plain day. Which of the two takes callers, the
lifecycle says.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
from loguru import logger
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import ClientFactory, Factory
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from softswitch.core.lifecycle import Phase
from softswitch.core.switch import CALL, Switch
from softswitch.net.sip import SipFront

VERSION = 1
MOST_SOCKETS = 4  # stale files that are tried
MOST_LISTENERS = 4
MOST_PATH = 100  # bytes of a Unix socket's path
ANSWER_BY = 1.5  # s that a predecessor may take to hand over
SWEEP = 100.0  # ms between two looks at how many connections are held
HALF = 0.5  # of what cold engines may get from this softswitch, while it is two processes
ALONE_AFTER = 1_500.0  # ms after the other has gone: what it sent last still counts

Given = dict[str, int]  # descriptors of listening sockets, by name


def listening(at: tuple[str, int], backlog: int, shared: bool = False) -> socket.socket:
    """A socket that listens there. `shared`: others of this user may do so too (SO_REUSEPORT), each with its
    own queue, which goes down with it.
    """
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        made.bind(at)
        made.listen(backlog)
        made.setblocking(False)
    except OSError:
        made.close()
        raise
    return made


@implementer(IFileDescriptorReceiver)
class Channel(LineReceiver):
    """One end of what two processes of one softswitch say to each other: a JSON object a line."""

    delimiter, MAX_LENGTH = b"\n", 1_024

    def __init__(self, handover: Handover) -> None:
        self.handover = handover
        self.given: list[int] = []  # descriptors that came and are not taken over yet

    def connectionMade(self) -> None:
        self.transport.registerProducer(self, True)
        self.handover.met(self)

    def connectionLost(self, reason: object = None) -> None:
        self.handover.lost(self)
        for fd in self.given:
            os.close(fd)

    # A producer's calls: one that does not read is given up, and nothing piles up for it.
    def pauseProducing(self) -> None:
        self.transport.abortConnection()

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass

    def fileDescriptorReceived(self, fd: int) -> None:
        if len(self.given) < MOST_LISTENERS:
            self.given.append(fd)
        else:
            os.close(fd)

    def lineReceived(self, line: bytes) -> None:
        try:
            said = orjson.loads(line)
            act = SAID[said["do"]]
            act(self.handover, self, said)
        except (ValueError, KeyError, TypeError) as e:
            logger.warning("handover: a line that can't be read, connection closed: {!r}", e)
            self.transport.abortConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        self.transport.abortConnection()

    def say(self, do: str, **what: Any) -> None:
        self.sendLine(orjson.dumps({"do": do} | what))


class Seeker(ClientFactory):
    """Looks for the predecessor, at one socket after the other."""

    noisy = False

    def __init__(self, handover: Handover, paths: list[Path]) -> None:
        self.handover, self.paths = handover, paths

    def buildProtocol(self, addr: object) -> Channel:
        return Channel(self.handover)

    def next(self) -> None:
        if not self.paths:
            return self.handover.found(None)
        self.path = self.paths.pop(0)
        try:
            self.handover.reactor.connectUNIX(str(self.path), self, timeout=ANSWER_BY)
        except Exception as e:  # Unix sockets are refused here
            logger.warning("handover: no Unix socket, started as on a plain day: {}", e)
            self.handover.found(None)

    def clientConnectionFailed(self, connector: object, reason: Any) -> None:
        if getattr(reason.value, "osError", None) in STALE:
            self.path.unlink(missing_ok=True)  # left by a process that was killed
        self.next()


STALE = (111, 2)  # ECONNREFUSED, ENOENT


class Handover(Factory):
    """This process's end: what it was given, what it gives, and the channel to the other process."""

    noisy = False

    def __init__(self, reactor: Any, switch: Switch, sip: SipFront, directory: str) -> None:
        self.reactor, self.switch, self.sip = reactor, switch, sip
        self.directory = Path(directory)
        self.ports: dict[str, Any] = {}  # what listens here, by name
        self.channel: Channel | None = None  # to the other process
        self.to_successor = False  # the other process is the one that replaces this one
        self.room, self.told = sip.most, -1
        self.on_found: Callable[[Given | None], None] | None = None  # while the predecessor is looked for
        switch.lifecycle.on_change.append(self.changed)

    def _name(self, at: tuple[str, int]) -> str:
        return f"willowhitch-{at[0]}-{at[1]}."

    # the successor's side

    def predecessors(self, at: tuple[str, int]) -> list[Path]:
        """Sockets of processes that may serve this address, the newest first."""
        try:
            found = [p for p in self.directory.glob(self._name(at) + "*") if p.is_socket()]
            return sorted(found, key=lambda p: -p.stat().st_mtime)[:MOST_SOCKETS]
        except OSError:
            return []

    def seek(self, paths: list[Path], on_found: Callable[[Given | None], None]) -> None:
        """Calls back once, in time: with what was given, or None where nobody gives."""
        self.on_found = on_found
        Seeker(self, paths).next()
        self.reactor.callLater(ANSWER_BY, self._too_late)

    def _too_late(self) -> None:
        if self.on_found is not None:
            logger.warning("handover: the process before does not answer")
            if self.channel is not None:
                self.channel.transport.abortConnection()
            self.found(None)

    def found(self, given: Given | None) -> None:
        if self.on_found is not None:
            on_found, self.on_found = self.on_found, None
            on_found(given)

    def _given(self, channel: Channel, said: dict[str, Any]) -> None:
        names = [str(name) for name in said["ports"]]
        if self.on_found is None or len(names) != len(channel.given):
            raise ValueError("not what was asked for")
        given, channel.given = dict(zip(names, channel.given, strict=True)), []
        self.switch.other = self
        self._two()
        self._holds(channel, said)
        self.found(given)

    def _holds(self, channel: Channel, said: dict[str, Any]) -> None:
        """So many connections the predecessor still holds: both together stay within the limit."""
        if not self.to_successor:
            self.sip.most = max(16, self.room - int(said["lines"]))

    # the predecessor's side

    def offer(self, at: tuple[str, int]) -> None:
        """Others may take over from here on."""
        path = self.directory / f"{self._name(at)}{os.getpid()}"
        try:
            if len(str(path)) > MOST_PATH:
                raise ValueError("path too long")
            path.unlink(missing_ok=True)
            self.reactor.listenUNIX(str(path), self, mode=0o600)
        except Exception as e:  # the feature steps aside, never the softswitch
            logger.warning("handover: not offered: {}", e)

    def buildProtocol(self, addr: object) -> Channel | None:
        return Channel(self) if self.channel is None else None

    def met(self, channel: Channel) -> None:
        self.channel = channel
        if self.on_found is not None:
            channel.say("take", v=VERSION)

    def _take(self, channel: Channel, said: dict[str, Any]) -> None:
        if said["v"] != VERSION or self.on_found is not None:
            raise ValueError("not this version")
        if self.switch.lifecycle.phase is Phase.STOPPING or not self.ports:
            channel.transport.loseConnection()
            return
        self.to_successor, self.switch.other = True, self
        for port in self.ports.values():
            channel.transport.sendFileDescriptor(port.fileno())
        channel.say("given", ports=list(self.ports), lines=len(self.sip.connections))
        self._two()
        self._tell()
        logger.info("handover: listeners given to the next process")

    def _serving(self, channel: Channel, said: dict[str, Any]) -> None:
        """The successor takes the new connections from now on."""
        if self.to_successor:
            for port in self.ports.values():
                port.stopReading()
            self.switch.lifecycle.hand_over(self.switch.wheel.now)
            logger.info("handover: the next process takes the callers")

    def _tell(self) -> None:
        """Tells the successor how many connections are still held here."""
        if self.channel is not None and self.to_successor:
            held = len(self.sip.connections)
            if held != self.told:
                self.channel.say("holds", lines=held)
                self.told = held
            self.switch.wheel.at(self.switch.wheel.now + SWEEP, self._tell)

    # both

    def changed(self, phase: Phase) -> None:
        if phase is Phase.SERVING and self.channel is not None and not self.to_successor:
            self.channel.say("serving")

    def _two(self) -> None:
        self.switch.new_part(HALF)

    def lost(self, channel: Channel) -> None:
        if channel is not self.channel:
            return None
        self.channel = None
        if self.on_found is not None:
            return self.found(None)
        if self.switch.other is self:
            self.switch.other = None
            self.switch.wheel.at(self.switch.wheel.now + ALONE_AFTER, self._alone)
        if self.to_successor:
            self.to_successor, self.told = False, -1
            if self.switch.lifecycle.take_back(self.switch.wheel.now):
                logger.warning("handover: the next process is gone, callers are taken here again")
                for port in self.ports.values():
                    port.startReading()
        else:
            self.sip.most = self.room
        return None

    def _alone(self) -> None:
        if self.switch.other is None:
            self.switch.new_part(1.0)

    # What concerns calls of the other process. Fulfils `core.switch.Other`.

    def release(self, call: str, cause: int) -> None:
        self._pass("release", call, cause)

    def cleared(self, call: str, cause: int) -> None:
        self._pass("cleared", call, cause)

    def released(self, call: str, cause: int) -> None:
        self._pass("released", call, cause)

    def _pass(self, do: str, call: str, cause: int) -> None:
        self.switch.count["passed to the other process"] += 1
        if self.channel is not None:
            self.channel.say(do, id=call, cause=cause)

    def _heard(self, channel: Channel, said: dict[str, Any]) -> None:
        call, cause = said["id"], int(said["cause"])
        if not CALL.match(call):
            raise ValueError("no id of a call")
        if said["do"] == "released":
            self.sip.released(call, cause)
        else:
            self.switch.from_other(call, cause, by_caller=said["do"] == "release")


SAID: dict[str, Callable[[Handover, Channel, dict[str, Any]], None]] = {
    "take": Handover._take,
    "given": Handover._given,
    "holds": Handover._holds,
    "serving": Handover._serving,
    "release": Handover._heard,
    "cleared": Handover._heard,
    "released": Handover._heard,
}
