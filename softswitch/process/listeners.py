"""Opens the callers' listeners, or takes them over from a predecessor process."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loguru import logger

from softswitch.configuration import Address
from softswitch.core.switch import Switch
from softswitch.net.endpoint_watch import EndpointWatch
from softswitch.net.handover import Handover
from softswitch.net.handover_sockets import open_listener
from softswitch.net.sip_server import SipServer

BACKLOG = 512  # connections waiting to be accepted
LIST_WAIT = 1_000.0  # ms for which a successor waits for an up-to-date endpoint list
HANDOVER_RETRY_FOR = 5_000.0  # ms from the start; the platform waits 6 s until the process is ready
HANDOVER_RETRY_EVERY = 0.2  # s
CHECK_INTERVAL = 5.0  # ms between two checks whether the endpoint list is known

Descriptors = dict[str, int]  # descriptors of listening sockets, by name


class Listeners:
    """Listening sockets for callers: `sip`, and `control` if the call-control API is enabled."""

    def __init__(
        self,
        reactor: Any,
        switch: Switch,
        sip: SipServer,
        watch: EndpointWatch,
        handover: Handover | None,
        shared: bool,
    ) -> None:
        self.reactor = reactor
        self.switch = switch
        self.sip = sip
        self.watch = watch
        self.handover = handover  # None: listeners are never handed over
        self.shared = shared  # both processes listen on the address (SO_REUSEPORT)
        self.control: Any = None  # a `CallControlServer`, if the API is enabled
        self.control_address: Address | None = None
        self.on_failure: Callable[[str], None] = lambda _: None
        self._started_at = switch.wheel.now

    def open(self, address: Address) -> None:
        """Listens at once, or as soon as the predecessor has handed over its listeners."""
        self.address = address
        predecessors = self.handover.predecessor_sockets(address.pair) if self.handover else []
        if not predecessors:
            self._mark_endpoints_known()
            self._serve({})
            return
        # The list in the configuration file may be out of date: wait for updates from the endpoint watch.
        self.switch.wheel.call_after(LIST_WAIT, self._mark_endpoints_known)
        self._request_handover(predecessors)

    def _mark_endpoints_known(self) -> None:
        if self.watch.revision:
            self.switch.lifecycle.endpoints_received(self.switch.wheel.now)

    def _request_handover(self, predecessors: list[Path]) -> None:
        assert self.handover is not None
        self.handover.request_listeners(predecessors, self._handover_finished)

    def _handover_finished(self, received: Descriptors | None) -> None:
        """Takes over the listeners, or opens new ones if no predecessor has handed any over."""
        if received and not self.switch.lifecycle.endpoints_known:
            # Until the list is known, this process would reject callers; the predecessor still accepts them.
            self.switch.wheel.call_after(CHECK_INTERVAL, self._handover_finished, received)
            return
        try:
            self._serve(received or {})
            self._mark_endpoints_known()
        except OSError as e:
            self._retry_or_fail(e)

    def _retry_or_fail(self, error: OSError) -> None:
        """Retries the handover until HANDOVER_RETRY_FOR: a busy predecessor may not have answered."""
        assert self.handover is not None
        if self.switch.wheel.read_clock() - self._started_at < HANDOVER_RETRY_FOR:
            predecessors = self.handover.predecessor_sockets(self.address.pair)
            self.reactor.callLater(HANDOVER_RETRY_EVERY, self._request_handover, predecessors)
        else:
            self.on_failure(f"cannot listen for callers: {error}")

    def _serve(self, received: Descriptors) -> None:
        self.sip.attach(self._listen("sip", self.address, self.sip, received))
        if self.control is not None and self.control_address is not None:
            self._listen("control", self.control_address, self.control, received)
            logger.info("call-control API listens at {}:{}", *self.control_address.pair)
        for descriptor in received.values():
            os.close(descriptor)
        self.switch.lifecycle.listener_opened(self.switch.wheel.now)
        if self.handover:
            self.handover.listen_for_successor(self.address.pair)
        logger.info("softswitch {} serves at {}:{}", self.sip.name, *self.address.pair)

    def _listen(self, name: str, address: Address, factory: Any, received: Descriptors) -> Any:
        # The reactor adopts a socket that it did not open. So it never shuts the socket down while a process
        # that received it by handover uses it.
        if name in received:
            listener = socket.socket(fileno=received.pop(name))
        else:
            listener = open_listener(address.pair, BACKLOG, self.shared)
        port = self.reactor.adoptStreamPort(listener.fileno(), socket.AF_INET, factory)
        listener.close()
        if self.handover:
            self.handover.ports[name] = port
        return port
