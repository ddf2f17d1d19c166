"""Opens the callers' listeners, taken over from the predecessor where there is one."""

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
from softswitch.net.handover import Handover, open_listener
from softswitch.net.sip_server import SipServer

BACKLOG = 512  # connections that may wait to be accepted
LIST_WAIT = 1_000.0  # ms that a successor gives the board to bring its list up to date
HANDOVER_RETRY_FOR = 5_000.0  # ms from the start; the platform waits 6 s for its readiness
HANDOVER_RETRY_EVERY = 0.2  # s
CHECK_INTERVAL = 5.0  # ms between two looks whether the endpoint list is known

Descriptors = dict[str, int]  # descriptors of listening sockets, by name


class Listeners:
    """The sockets on which callers connect: `sip`, and `control` where the call-control API listens."""

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
        self.handover = handover  # None: listeners are not handed over
        self.shared = shared  # the kernel shares the address out (SO_REUSEPORT)
        self.control: Any = None  # a `CallControlServer`, where there is one, and its address
        self.control_address: Address | None = None
        self.on_failure: Callable[[str], None] = lambda _: None
        self._started_at = switch.wheel.now

    def open(self, address: Address) -> None:
        """Listens at once, or as soon as the predecessor has handed its listeners over."""
        self.address = address
        predecessors = self.handover.predecessor_sockets(address.pair) if self.handover else []
        if not predecessors:
            self._endpoints_known()
            self._serve({})
            return
        # The list in the file may be old by now: the board has a moment to tell the rest.
        self.switch.wheel.call_after(LIST_WAIT, self._endpoints_known)
        self._seek(predecessors)

    def _endpoints_known(self) -> None:
        if self.watch.revision:
            self.switch.lifecycle.endpoints_received(self.switch.wheel.now)

    def _seek(self, predecessors: list[Path]) -> None:
        assert self.handover is not None
        self.handover.request_listeners(predecessors, self._handed_over)

    def _handed_over(self, given: Descriptors | None) -> None:
        """What the predecessor has given, if there is one that gives."""
        if given and not self.switch.lifecycle.endpoints_known:
            # Until then the predecessor takes the callers: they would be told no here.
            self.switch.wheel.call_after(CHECK_INTERVAL, self._handed_over, given)
            return
        try:
            self._serve(given or {})
            self._endpoints_known()
        except OSError as e:
            self._retry_or_fail(e)

    def _retry_or_fail(self, error: OSError) -> None:
        """The predecessor still listens, and was too busy to answer: it is asked again."""
        assert self.handover is not None
        if self.switch.wheel.read_clock() - self._started_at < HANDOVER_RETRY_FOR:
            predecessors = self.handover.predecessor_sockets(self.address.pair)
            self.reactor.callLater(HANDOVER_RETRY_EVERY, self._seek, predecessors)
        else:
            self.on_failure(f"listen: {error}")

    def _serve(self, given: Descriptors) -> None:
        self.sip.attach(self._listen("sip", self.address, self.sip, given))
        if self.control is not None and self.control_address is not None:
            self._listen("control", self.control_address, self.control, given)
            logger.info("call-control API at {}:{}", *self.control_address.pair)
        for descriptor in given.values():
            os.close(descriptor)
        self.switch.lifecycle.listener_opened(self.switch.wheel.now)
        if self.handover:
            self.handover.listen_for_successor(self.address.pair)
        logger.info("softswitch {} serves at {}:{}", self.sip.name, *self.address.pair)

    def _listen(self, name: str, address: Address, factory: Any, given: Descriptors) -> Any:
        # Our own socket, adopted: the reactor then never shuts it down under the process that was given it.
        if name in given:
            listener = socket.socket(fileno=given.pop(name))
        else:
            listener = open_listener(address.pair, BACKLOG, self.shared)
        port = self.reactor.adoptStreamPort(listener.fileno(), socket.AF_INET, factory)
        listener.close()
        if self.handover:
            self.handover.ports[name] = port
        return port
