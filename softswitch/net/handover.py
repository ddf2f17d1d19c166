"""Hands the listening sockets from the serving process to its successor, through a Unix socket in $TMPDIR.

The successor receives the descriptors of the listening sockets, so no connection is lost in an accept queue
that is closed with the predecessor. While both processes run, the channel also carries releases that one
process received for calls of the other, and the ids of each process's calls (`peer_calls`). If no handover
is possible, the successor opens its own listeners. The lifecycle determines which of the two processes
accepts callers.

The channel carries one JSON object per line: `do` is the message type, a key of `Handover.handlers`, and
`id` is a call id. The names are the same in every version, because different versions hand over to each
other. A process sends ids of its calls only to a peer that has said `shares_calls`, and the endpoint list to
one that has said `shares_endpoints`: others do not know them.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import orjson
from loguru import logger
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import ClientFactory, Factory
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from softswitch.core.call_id import InvalidCallIdError, parse_call_id
from softswitch.core.counters import Count
from softswitch.core.lifecycle import Phase
from softswitch.core.switch import Switch
from softswitch.interface import CallId
from softswitch.net import peer_calls
from softswitch.net.endpoint_snapshot import EndpointSnapshot, SnapshotReader, encode_snapshot
from softswitch.net.handover_sockets import Address, Descriptors, SocketDirectory
from softswitch.net.sip_server import SipServer

VERSION = 1  # of the channel's messages
SOCKET_PREFIX = "willowhitch"  # of the Unix sockets' file names, the same in every version
MAX_SOCKETS_TRIED = 4  # including stale socket files
MAX_LISTENERS = 4  # listening sockets received on one channel
MAX_MESSAGE = 1_024  # bytes of one line of the channel
MAX_UNREAD = 512 << 10  # bytes queued for a peer that does not read: the ids of a full call table fit
ANSWER_TIMEOUT = 1.5  # s for the predecessor to hand over
REPORT_INTERVAL = 100.0  # ms between two reports of the number of open connections
# Fraction of the softswitch's rate to warming engines that each process may use while there are two
# processes.
FRACTION_PER_PROCESS = 0.5
# Ms after the end of the peer process until this process uses the complete rate: the last call setups of the
# peer still count.
SOLE_PROCESS_DELAY = 1_500.0
MIN_CONNECTIONS = 16  # limit of the successor, however many connections the predecessor still has
STALE_SOCKET_ERRORS = (errno.ECONNREFUSED, errno.ENOENT)

Message = dict[str, Any]  # a decoded line of the channel
# What a process tells its peer to understand; the peer sends it nothing else that older versions do not know.
SHARED = {"shares_calls": True, "shares_endpoints": True}


class EndpointList(Protocol):
    """The endpoint list of this process."""

    revision: int

    def snapshot(self) -> EndpointSnapshot:
        """Returns the list as it is known now."""

    def apply_snapshot(self, snapshot: EndpointSnapshot) -> None:
        """Applies the list of the peer process if it is newer."""


def _read_call_ids(message: Message) -> list[CallId]:
    """Returns the ids of a report of calls; raises InvalidCallIdError if one is invalid."""
    return [parse_call_id(id_) for id_ in message["ids"]]


@implementer(IFileDescriptorReceiver)
class Channel(LineReceiver):
    """One end of the connection between the two processes of a softswitch."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_MESSAGE

    def __init__(self, handover: Handover) -> None:
        self.handover = handover
        self.descriptors: list[int] = []  # received and not taken over yet

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.bufferSize = MAX_UNREAD
        self.transport.registerProducer(self, True)
        self.handover.channel_opened(self)

    def connectionLost(self, reason: object = None) -> None:
        """Called by Twisted."""
        self.handover.channel_lost(self)
        for descriptor in self.descriptors:
            os.close(descriptor)

    # Producer interface: a peer that does not read is disconnected, so that little data is buffered for it.

    def pauseProducing(self) -> None:
        """Called by Twisted when the write buffer is full."""
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
        except InvalidCallIdError as e:
            # Closing the channel would end the replacement, and with it the delivery of all other releases.
            logger.warning("handover: message ignored: {}", e)
        except (ValueError, KeyError, TypeError) as e:
            logger.warning("handover: malformed message, connection closed: {!r}", e)
            self.transport.abortConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Called by Twisted."""
        self.transport.abortConnection()

    def send(self, do: str, **fields: Any) -> None:
        """Sends one message."""
        self.sendLine(orjson.dumps({"do": do} | fields))


class PredecessorSearch(ClientFactory):
    """Searches for the predecessor by connecting to one Unix socket after the other."""

    noisy = False

    def __init__(self, handover: Handover, paths: list[Path]) -> None:
        self.handover = handover
        self.paths = paths

    def buildProtocol(self, addr: object) -> Channel:
        """Called by Twisted."""
        return Channel(self.handover)

    def try_next(self) -> None:
        """Connects to the next socket. Ends the search if there are no more."""
        if not self.paths:
            self.handover.search_ended(None)
            return
        self.path = self.paths.pop(0)
        try:
            address = self.handover.directory.address_of(self.path.name)
            self.handover.reactor.connectUNIX(address, self, timeout=ANSWER_TIMEOUT)
        except Exception as e:  # the platform does not allow Unix sockets
            logger.warning("handover: no Unix sockets, starting without a predecessor: {}", e)
            self.handover.search_ended(None)

    def clientConnectionFailed(self, connector: object, reason: Any) -> None:
        """Called by Twisted."""
        if getattr(reason.value, "osError", None) in STALE_SOCKET_ERRORS:
            self.path.unlink(missing_ok=True)  # left by a process that was killed
        self.try_next()


class Handover(Factory):
    """The handover as seen by this process: receives and sends listeners, and owns the channel to the peer.

    Implements `core.call.PeerProcess`.
    """

    noisy = False

    def __init__(self, reactor: Any, switch: Switch, sip: SipServer, directory: str) -> None:
        self.reactor = reactor
        self.switch = switch
        self.sip = sip
        self.directory = SocketDirectory(Path(directory))
        self.ports: dict[str, Any] = {}  # Twisted ports of the listeners, by name
        self.channel: Channel | None = None  # to the peer process
        self.is_predecessor = False  # whether the peer process replaces this one
        self.max_connections = sip.connections.max_connections  # of both processes together
        self.peer_calls = peer_calls.PeerCalls(switch.calls)
        self.reported_connections = -1  # last number of connections reported to the successor
        self.on_predecessor_ended: Callable[[], None] | None = None
        self.endpoint_list: EndpointList | None = None
        self.sent_revision = 0  # of the endpoint list that was last sent to the peer
        self.received_list = SnapshotReader()
        # Set during the search for the predecessor; called once, with the received descriptors.
        self.on_search_end: Callable[[Descriptors | None], None] | None = None
        self.handlers: dict[str, Callable[[Channel, Message], None]] = {
            "take": self._listeners_requested,
            "given": self._listeners_given,
            "holds": self._connections_reported,
            "serving": self._successor_serves,
            "endpoints": self._endpoints_received,
            peer_calls.ADDED: self._peer_calls_added,
            peer_calls.REMOVED: self._peer_calls_removed,
            # A release by a caller, a release by an engine, and a release to deliver to a caller.
            "release": self._release_received,
            "cleared": self._release_received,
            "released": self._release_received,
        }
        switch.lifecycle.on_change.append(self._phase_changed)

    def _socket_prefix(self, address: Address) -> str:
        return f"{SOCKET_PREFIX}-{address[0]}-{address[1]}."

    # as the successor

    def predecessor_sockets(self, address: Address) -> list[Path]:
        """Unix sockets of processes that may serve this address, newest first."""
        try:
            sockets = [
                p for p in self.directory.path.glob(self._socket_prefix(address) + "*") if p.is_socket()
            ]
            return sorted(sockets, key=lambda path: -path.stat().st_mtime)[:MAX_SOCKETS_TRIED]
        except OSError:
            return []

    def request_listeners(self, paths: list[Path], on_end: Callable[[Descriptors | None], None]) -> None:
        """Requests the listeners from the predecessor.

        Calls `on_end` once, within ANSWER_TIMEOUT: with the descriptors, or with None if there is no
        predecessor that hands over.
        """
        self.on_search_end = on_end
        PredecessorSearch(self, paths).try_next()
        self.reactor.callLater(ANSWER_TIMEOUT, self._handle_search_timeout)

    def _handle_search_timeout(self) -> None:
        if self.on_search_end is not None:
            logger.warning("handover: the predecessor does not answer")
            if self.channel is not None:
                self.channel.transport.abortConnection()
            self.search_ended(None)

    def search_ended(self, given: Descriptors | None) -> None:
        """Ends the search, with the received descriptors or None."""
        if self.on_search_end is not None:
            on_end, self.on_search_end = self.on_search_end, None
            on_end(given)

    def _listeners_given(self, channel: Channel, message: Message) -> None:
        names = [str(name) for name in message["ports"]]
        if self.on_search_end is None or len(names) != len(channel.descriptors):
            raise ValueError("unexpected listeners")
        given = dict(zip(names, channel.descriptors, strict=True))
        channel.descriptors = []
        self.switch.peer_process = self
        self.switch.memory.share_with_peer_process(True)
        self._share_calls(channel, message)
        self._share_endpoints(message)
        self.switch.apply_slow_start_share(FRACTION_PER_PROCESS)
        self._connections_reported(channel, message)
        self.search_ended(given)

    def _connections_reported(self, channel: Channel, message: Message) -> None:
        """Reduces the limit of this process by the predecessor's connections: it applies to both together."""
        if not self.is_predecessor:
            remaining = self.max_connections - int(message["lines"])
            self.sip.connections.max_connections = max(MIN_CONNECTIONS, remaining)

    # as the predecessor

    def listen_for_successor(self, address: Address) -> None:
        """Opens the Unix socket on which a successor can request the listeners."""
        name = f"{self._socket_prefix(address)}{os.getpid()}"
        try:
            (self.directory.path / name).unlink(missing_ok=True)
            self.reactor.listenUNIX(self.directory.address_of(name), self, mode=0o600)
        except Exception as e:  # the softswitch keeps running without the handover
            logger.warning("handover: not offered: {}", e)

    def buildProtocol(self, addr: object) -> Channel | None:
        """Called by Twisted when a successor connects."""
        return Channel(self) if self.channel is None else None

    def channel_opened(self, channel: Channel) -> None:
        """Called when the channel is open; a successor then requests the listeners."""
        self.channel = channel
        if self.on_search_end is not None:
            channel.send("take", v=VERSION, **SHARED)

    def _listeners_requested(self, channel: Channel, message: Message) -> None:
        if message["v"] != VERSION or self.on_search_end is not None:
            raise ValueError("unsupported version or unexpected request")
        if self.switch.lifecycle.phase is Phase.STOPPING or not self.ports:
            channel.transport.loseConnection()
            return
        self.is_predecessor = True
        self.switch.peer_process = self
        self.switch.memory.share_with_peer_process(True)
        # Before the successor has the listeners:
        self._share_calls(channel, message)
        self._share_endpoints(message)
        for port in self.ports.values():
            channel.transport.sendFileDescriptor(port.fileno())
        channel.send("given", ports=list(self.ports), lines=len(self.sip.connections), **SHARED)
        self.switch.apply_slow_start_share(FRACTION_PER_PROCESS)
        self._report_connections()
        logger.info("handover: listeners given to the next process")

    def _successor_serves(self, channel: Channel, message: Message) -> None:
        """Stops accepting connections, because the successor accepts them now."""
        if self.is_predecessor:
            for port in self.ports.values():
                port.stopReading()
            self.switch.lifecycle.hand_over(self.switch.wheel.now)
            logger.info("handover: the next process takes the callers")

    def _report_connections(self) -> None:
        """Reports the number of open connections to the successor, repeatedly."""
        if self.channel is None or not self.is_predecessor:
            return
        connections = len(self.sip.connections)
        if connections != self.reported_connections:
            self.channel.send("holds", lines=connections)
            self.reported_connections = connections
        self.switch.wheel.call_after(REPORT_INTERVAL, self._report_connections)

    # in both roles

    def _phase_changed(self, phase: Phase) -> None:
        if phase is Phase.SERVING and self.channel is not None and not self.is_predecessor:
            self.channel.send("serving")

    def channel_lost(self, channel: Channel) -> None:
        """Called when the channel is closed, because the peer process ended or disconnected."""
        if channel is not self.channel:
            return
        self.channel = None
        self.peer_calls.stop()
        if self.on_search_end is not None:
            self.search_ended(None)
            return
        if self.switch.peer_process is self:
            self.switch.peer_process = None
            self.switch.memory.share_with_peer_process(False)
            self.switch.wheel.call_after(SOLE_PROCESS_DELAY, self._restore_slow_start_rate)
        if self.is_predecessor:
            self._successor_ended()
        else:
            self.sip.connections.max_connections = self.max_connections
            if self.on_predecessor_ended is not None:
                self.on_predecessor_ended()

    def _successor_ended(self) -> None:
        self.is_predecessor = False
        self.reported_connections = -1
        if self.switch.lifecycle.take_back(self.switch.wheel.now):
            logger.warning("handover: the successor ended, callers are taken here again")
            for port in self.ports.values():
                port.startReading()

    def _restore_slow_start_rate(self) -> None:
        if self.switch.peer_process is None:
            self.switch.apply_slow_start_share(1.0)

    # the endpoint list

    def _share_endpoints(self, message: Message) -> None:
        """Sends the endpoint list, now and after each change, if the peer has said that it understands it."""
        if message.get("shares_endpoints") and self.endpoint_list is not None:
            self.sent_revision = 0
            self._send_endpoints()

    def _send_endpoints(self) -> None:
        if self.channel is None or self.endpoint_list is None:
            return
        if self.endpoint_list.revision > self.sent_revision:
            snapshot = self.endpoint_list.snapshot()
            for fields in encode_snapshot(snapshot):
                self.channel.send("endpoints", **fields)
            self.sent_revision = snapshot.revision
        self.switch.wheel.call_after(REPORT_INTERVAL, self._send_endpoints)

    def _endpoints_received(self, channel: Channel, message: Message) -> None:
        snapshot = self.received_list.read(message)
        if snapshot is not None and self.endpoint_list is not None:
            self.endpoint_list.apply_snapshot(snapshot)

    # ids of calls

    def _share_calls(self, channel: Channel, message: Message) -> None:
        """Reports the calls of this process to the peer, if `message` says that the peer understands it."""
        if message.get("shares_calls"):
            self.peer_calls.start(channel, self.switch.recent_calls)

    def _peer_calls_added(self, channel: Channel, message: Message) -> None:
        self.peer_calls.peer_added(_read_call_ids(message))

    def _peer_calls_removed(self, channel: Channel, message: Message) -> None:
        ids = _read_call_ids(message)
        self.peer_calls.peer_removed(ids)
        if message.get("written"):
            for call in ids:
                self.switch.recent_calls.add(self.switch.wheel.now, call)

    # implementation of `core.call.PeerProcess`: forwards releases of calls of the peer process

    def has_call(self, call: CallId) -> bool:
        """Whether the peer process has reported an open or established call with this id."""
        return call in self.peer_calls

    def caller_released(self, call: CallId, cause: int) -> None:
        """Forwards the release by a caller of a call unknown to this process."""
        self._forward("release", call, cause)

    def engine_released(self, server: str, call: CallId, cause: int) -> None:
        """Forwards the release by an engine of a call unknown to this process."""
        self._forward("cleared", call, cause, server=server)

    def release_undeliverable(self, call: CallId, cause: int) -> None:
        """Forwards the release of a call whose caller is not connected to this process."""
        self._forward("released", call, cause)

    def _forward(self, do: str, call: CallId, cause: int, **more: str) -> None:
        self.switch.counters[Count.PASSED_TO_PEER_PROCESS] += 1
        if self.channel is not None:
            self.channel.send(do, id=call, cause=cause, **more)

    def _release_received(self, channel: Channel, message: Message) -> None:
        call, cause = parse_call_id(message["id"]), int(message["cause"])
        if message["do"] == "released":
            self.sip.calls.call_released(call, cause)
            return
        if message["do"] == "release":
            self.switch.caller_release_from_peer(call, cause)
        else:
            self.switch.engine_release_from_peer(call, cause, message.get("server"))
        self.sip.calls.forget_ended(call)
