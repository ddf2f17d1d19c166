"""Passes the listeners from the serving process to its successor, through a Unix socket in $TMPDIR.

The successor is given the very sockets that listen, so that no connection waits in a queue which goes down
with its process. While both live, the channel carries the releases that came to one and concern the other.
Whatever is missing or refused, the successor starts as on a plain day. Which of the two takes callers, the
lifecycle says.

A line of the channel is a JSON object; `do` names what it is (the keys of `Handover.handlers`), and calls are
named by `id`. The names are the same in every version, as either version hands over to the other.
"""

from __future__ import annotations

import errno
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

from softswitch.core.call import CALL_ID
from softswitch.core.counters import Count
from softswitch.core.lifecycle import Phase
from softswitch.core.switch import Switch
from softswitch.net.sip_server import SipServer

VERSION = 1
SOCKET_PREFIX = "willowhitch"  # of the Unix sockets' names, in every version
MAX_SOCKETS_TRIED = 4  # stale files among them
MAX_LISTENERS = 4
MAX_ADDRESS = 107  # bytes of a Unix socket's address
MAX_LINE = 1_024  # bytes
ANSWER_TIMEOUT = 1.5  # s that a predecessor may take to hand over
REPORT_INTERVAL = 100.0  # ms between two reports of how many connections are held
SHARE_OF_TWO = 0.5  # of what warming engines may get from this softswitch, while it is two processes
ALONE_AFTER = 1_500.0  # ms after the other process has gone: what it sent last still counts
MIN_CONNECTIONS = 16
STALE_SOCKET_ERRORS = (errno.ECONNREFUSED, errno.ENOENT)

Address = tuple[str, int]
Descriptors = dict[str, int]  # descriptors of listening sockets, by name
Message = dict[str, Any]  # one line of the channel


def open_listener(address: Address, backlog: int, shared: bool = False) -> socket.socket:
    """A socket that listens there.

    `shared`: others of this user may do so too (SO_REUSEPORT), each with its own queue, which goes down with
    it.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind(address)
        listener.listen(backlog)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


class SocketDirectory:
    """The directory of the Unix sockets, whose own path may be longer than their address can be."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._descriptor: int | None = None  # kept open from the first time that the path is too long

    def address_of(self, name: str) -> str:
        """The address of the socket with this name."""
        path = self.path / name
        if len(os.fsencode(path)) <= MAX_ADDRESS:
            return str(path)
        # An operator's TMPDIR must not keep a process from being replaced: named by descriptor it is short.
        if self._descriptor is None:
            self._descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._descriptor}/{name}"


@implementer(IFileDescriptorReceiver)
class Channel(LineReceiver):
    """One end of what two processes of one softswitch send each other."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE

    def __init__(self, handover: Handover) -> None:
        self.handover = handover
        self.descriptors: list[int] = []  # that came and are not taken over yet

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.registerProducer(self, True)
        self.handover.channel_opened(self)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted."""
        self.handover.channel_lost(self)
        for descriptor in self.descriptors:
            os.close(descriptor)

    # A producer's calls: a process that does not read is given up, and nothing piles up for it.

    def pauseProducing(self) -> None:
        """Called by Twisted."""
        self.transport.abortConnection()

    def resumeProducing(self) -> None:
        """Called by Twisted."""

    def stopProducing(self) -> None:
        """Called by Twisted."""

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """Called by Twisted."""
        if len(self.descriptors) < MAX_LISTENERS:
            self.descriptors.append(descriptor)
        else:
            os.close(descriptor)

    def lineReceived(self, line: bytes) -> None:
        """Called by Twisted."""
        try:
            message = orjson.loads(line)
            self.handover.handlers[message["do"]](self, message)
        except (ValueError, KeyError, TypeError) as e:
            logger.warning("handover: a line that can't be read, connection closed: {!r}", e)
            self.transport.abortConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Called by Twisted."""
        self.transport.abortConnection()

    def send(self, do: str, **fields: Any) -> None:
        """Sends one message."""
        self.sendLine(orjson.dumps({"do": do} | fields))


class PredecessorSearch(ClientFactory):
    """Looks for the predecessor, at one socket after the other."""

    noisy = False

    def __init__(self, handover: Handover, paths: list[Path]) -> None:
        self.handover = handover
        self.paths = paths

    def buildProtocol(self, addr: object) -> Channel:
        """Called by Twisted."""
        return Channel(self.handover)

    def try_next(self) -> None:
        """Connects to the next socket; without one, there is no predecessor."""
        if not self.paths:
            self.handover.search_ended(None)
            return
        self.path = self.paths.pop(0)
        try:
            address = self.handover.directory.address_of(self.path.name)
            self.handover.reactor.connectUNIX(address, self, timeout=ANSWER_TIMEOUT)
        except Exception as e:  # Unix sockets are refused here
            logger.warning("handover: no Unix socket, started as on a plain day: {}", e)
            self.handover.search_ended(None)

    def clientConnectionFailed(self, connector: object, reason: Any) -> None:
        """Called by Twisted."""
        if getattr(reason.value, "osError", None) in STALE_SOCKET_ERRORS:
            self.path.unlink(missing_ok=True)  # left by a process that was killed
        self.try_next()


class Handover(Factory):
    """This process's end: what it was given, what it gives, and the channel to the other process.

    Fulfils `core.call.PeerProcess`.
    """

    noisy = False

    def __init__(self, reactor: Any, switch: Switch, sip: SipServer, directory: str) -> None:
        self.reactor = reactor
        self.switch = switch
        self.sip = sip
        self.directory = SocketDirectory(Path(directory))
        self.ports: dict[str, Any] = {}  # what listens here, by name; Twisted ports
        self.channel: Channel | None = None  # to the other process
        self.is_predecessor = False  # the other process is the one that replaces this one
        self.max_connections = sip.connections.max_connections  # of both processes together
        self.reported_connections = -1  # to the successor
        self.on_predecessor_ended: Callable[[], None] | None = None  # called as the predecessor has ended
        # Called once with what was given, while the predecessor is searched for.
        self.on_search_end: Callable[[Descriptors | None], None] | None = None
        self.handlers: dict[str, Callable[[Channel, Message], None]] = {
            "take": self._listeners_requested,
            "given": self._listeners_given,
            "holds": self._connections_reported,
            "serving": self._successor_serves,
            "release": self._release_received,
            "cleared": self._release_received,
            "released": self._release_received,
        }
        switch.lifecycle.on_change.append(self._phase_changed)

    def _socket_prefix(self, address: Address) -> str:
        return f"{SOCKET_PREFIX}-{address[0]}-{address[1]}."

    # the successor's side

    def predecessor_sockets(self, address: Address) -> list[Path]:
        """Sockets of processes that may serve this address, the newest first."""
        try:
            sockets = [
                p for p in self.directory.path.glob(self._socket_prefix(address) + "*") if p.is_socket()
            ]
            return sorted(sockets, key=lambda path: -path.stat().st_mtime)[:MAX_SOCKETS_TRIED]
        except OSError:
            return []

    def request_listeners(self, paths: list[Path], on_end: Callable[[Descriptors | None], None]) -> None:
        """Calls back once, in time: with what was given, or None where nobody gives."""
        self.on_search_end = on_end
        PredecessorSearch(self, paths).try_next()
        self.reactor.callLater(ANSWER_TIMEOUT, self._search_timed_out)

    def _search_timed_out(self) -> None:
        if self.on_search_end is not None:
            logger.warning("handover: the process before does not answer")
            if self.channel is not None:
                self.channel.transport.abortConnection()
            self.search_ended(None)

    def search_ended(self, given: Descriptors | None) -> None:
        """The predecessor has given its listeners, or there is none that does."""
        if self.on_search_end is not None:
            on_end, self.on_search_end = self.on_search_end, None
            on_end(given)

    def _listeners_given(self, channel: Channel, message: Message) -> None:
        names = [str(name) for name in message["ports"]]
        if self.on_search_end is None or len(names) != len(channel.descriptors):
            raise ValueError("not what was asked for")
        given = dict(zip(names, channel.descriptors, strict=True))
        channel.descriptors = []
        self.switch.peer_process = self
        self.switch.apply_slow_start_share(SHARE_OF_TWO)
        self._connections_reported(channel, message)
        self.search_ended(given)

    def _connections_reported(self, channel: Channel, message: Message) -> None:
        """So many connections the predecessor still holds: both together stay within the limit."""
        if not self.is_predecessor:
            left = self.max_connections - int(message["lines"])
            self.sip.connections.max_connections = max(MIN_CONNECTIONS, left)

    # the predecessor's side

    def listen_for_successor(self, address: Address) -> None:
        """Others may take over from here on."""
        name = f"{self._socket_prefix(address)}{os.getpid()}"
        try:
            (self.directory.path / name).unlink(missing_ok=True)
            self.reactor.listenUNIX(self.directory.address_of(name), self, mode=0o600)
        except Exception as e:  # the feature steps aside, never the softswitch
            logger.warning("handover: not offered: {}", e)

    def buildProtocol(self, addr: object) -> Channel | None:
        """Called by Twisted as a successor connects."""
        return Channel(self) if self.channel is None else None

    def channel_opened(self, channel: Channel) -> None:
        """The channel is up; a successor asks for the listeners."""
        self.channel = channel
        if self.on_search_end is not None:
            channel.send("take", v=VERSION)

    def _listeners_requested(self, channel: Channel, message: Message) -> None:
        if message["v"] != VERSION or self.on_search_end is not None:
            raise ValueError("not this version")
        if self.switch.lifecycle.phase is Phase.STOPPING or not self.ports:
            channel.transport.loseConnection()
            return
        self.is_predecessor = True
        self.switch.peer_process = self
        for port in self.ports.values():
            channel.transport.sendFileDescriptor(port.fileno())
        channel.send("given", ports=list(self.ports), lines=len(self.sip.connections))
        self.switch.apply_slow_start_share(SHARE_OF_TWO)
        self._report_connections()
        logger.info("handover: listeners given to the next process")

    def _successor_serves(self, channel: Channel, message: Message) -> None:
        """The successor takes the new connections from now on."""
        if self.is_predecessor:
            for port in self.ports.values():
                port.stopReading()
            self.switch.lifecycle.hand_over(self.switch.wheel.now)
            logger.info("handover: the next process takes the callers")

    def _report_connections(self) -> None:
        """Reports to the successor how many connections are still held here."""
        if self.channel is None or not self.is_predecessor:
            return
        connections = len(self.sip.connections)
        if connections != self.reported_connections:
            self.channel.send("holds", lines=connections)
            self.reported_connections = connections
        self.switch.wheel.call_after(REPORT_INTERVAL, self._report_connections)

    # both sides

    def _phase_changed(self, phase: Phase) -> None:
        if phase is Phase.SERVING and self.channel is not None and not self.is_predecessor:
            self.channel.send("serving")

    def channel_lost(self, channel: Channel) -> None:
        """The other process is gone, or gives this one up."""
        if channel is not self.channel:
            return
        self.channel = None
        if self.on_search_end is not None:
            self.search_ended(None)
            return
        if self.switch.peer_process is self:
            self.switch.peer_process = None
            self.switch.wheel.call_after(ALONE_AFTER, self._alone)
        if self.is_predecessor:
            self._successor_gone()
        else:
            self.sip.connections.max_connections = self.max_connections
            if self.on_predecessor_ended is not None:
                self.on_predecessor_ended()

    def _successor_gone(self) -> None:
        self.is_predecessor = False
        self.reported_connections = -1
        if self.switch.lifecycle.take_back(self.switch.wheel.now):
            logger.warning("handover: the next process is gone, callers are taken here again")
            for port in self.ports.values():
                port.startReading()

    def _alone(self) -> None:
        if self.switch.peer_process is None:
            self.switch.apply_slow_start_share(1.0)

    # as a `core.call.PeerProcess`: what concerns calls of the other process

    def caller_released(self, call: str, cause: int) -> None:
        """A caller ended a call that is not known here."""
        self._pass_on("release", call, cause)

    def engine_released(self, call: str, cause: int) -> None:
        """An engine ended a call that is not known here."""
        self._pass_on("cleared", call, cause)

    def release_undeliverable(self, call: str, cause: int) -> None:
        """A call is over, and no caller is connected here who could be told."""
        self._pass_on("released", call, cause)

    def _pass_on(self, do: str, call: str, cause: int) -> None:
        self.switch.counters[Count.PASSED_TO_PEER_PROCESS] += 1
        if self.channel is not None:
            self.channel.send(do, id=call, cause=cause)

    def _release_received(self, channel: Channel, message: Message) -> None:
        call, cause = message["id"], int(message["cause"])
        if not CALL_ID.match(call):
            raise ValueError("no id of a call")
        if message["do"] == "released":
            self.sip.calls.call_released(call, cause)
        else:
            self.switch.release_from_peer(call, cause, by_caller=message["do"] == "release")
