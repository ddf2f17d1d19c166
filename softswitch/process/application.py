"""Creates, connects and starts the components of one softswitch process."""

from __future__ import annotations

import os
import resource
import time
from pathlib import Path
from typing import Any

import orjson
from loguru import logger
from twisted.internet.error import CannotListenError

from softswitch import environment, telemetry
from softswitch.components import ComponentError, Components, Host
from softswitch.configuration import (
    Address,
    Configuration,
    ConfigurationError,
    ControlSettings,
    load_control_settings,
)
from softswitch.core.memory_budget import MB
from softswitch.core.switch import Switch
from softswitch.core.timer_wheel import TimerWheel
from softswitch.net.endpoint_watch import EndpointWatch
from softswitch.net.engine_pool import EnginePool
from softswitch.net.handover import Handover
from softswitch.net.management import ManagementServer
from softswitch.net.sip_connection import READ_SIZE
from softswitch.net.sip_server import CONNECTION_BYTES, SipServer
from softswitch.process.listeners import Listeners
from softswitch.process.reload import Reloader
from softswitch.process.shutdown import Shutdown
from softswitch.process.ticker import Ticker

VERSION = "0.1.0"
MAX_CONNECTIONS, MIN_CONNECTIONS = 1_000, 16  # bounds of the limit on callers' connections
# File descriptors reserved for engines, the endpoint watch and the process itself: the larger of this number
# and total / divisor.
MIN_RESERVED_DESCRIPTORS = 48
RESERVED_DESCRIPTORS_DIVISOR = 8
CONTROL_DIVISOR = 4  # the call-control API gets 1 / CONTROL_DIVISOR of the connections
MANAGEMENT_BACKLOG = 64  # connections waiting to be accepted
# Value of $SOFTSWITCH_HANDOVER for hosts on which listeners cannot be handed over: both processes listen, and
# the kernel distributes the connections (SO_REUSEPORT).
REUSEPORT = "reuseport"


def monotonic_ms() -> float:
    """Returns the time of the clock that all timers use, in ms."""
    return time.monotonic() * 1000.0


def is_address_shared() -> bool:
    """Whether $SOFTSWITCH_HANDOVER selects SO_REUSEPORT for the callers' address."""
    mode = environment.variable(environment.HANDOVER_MODE)
    if mode not in ("", REUSEPORT):
        name = environment.names(environment.HANDOVER_MODE)[0]
        raise ConfigurationError(
            f"{name}: {mode!r:.40} is not '{REUSEPORT}'; leave it empty to hand listeners over"
        )
    return mode == REUSEPORT


def max_connections(configuration: Configuration, memory_limit: int) -> int:
    """Returns how many callers' connections the limit on file descriptors and that on held memory allow."""
    descriptors = configuration.limits.sockets or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    reserved = max(MIN_RESERVED_DESCRIPTORS, descriptors // RESERVED_DESCRIPTORS_DIVISOR)
    by_memory = memory_limit // (CONNECTION_BYTES + READ_SIZE)  # each may be read once before it is paused
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, descriptors - reserved, by_memory))


class Application:
    """One softswitch process.

    `tables`: tables of the operator file, which configure the optional components; None: no such file.
    """

    def __init__(self, reactor: Any, configuration: Configuration, tables: Any = None) -> None:
        self.reactor = reactor
        self.configuration = configuration
        self.listen = configuration.listen
        self.failure = ""  # reason if the process ends because it could not serve
        self._unix_offset = monotonic_ms() - time.time() * 1000.0  # timer clock minus Unix time, in ms
        shared = is_address_shared()
        self._build_switch()
        self._build_listeners(shared)
        self.telemetry = telemetry.start(configuration.name, self.switch)
        self.components = self._build_components(tables) if tables else None
        control = self.listeners.control
        self.shutdown = Shutdown(self.reactor, self.switch, self.sip, self.engines, control, shared)
        self.reloader = Reloader(configuration, self.switch, self.engines, self.watch)
        if self.components:
            self.reloader.has_components = bool(self.components.by_name)
            self.reloader.reload_components = self.components.reload

    def _build_switch(self) -> None:
        configuration, settings = self.configuration, self.configuration.settings
        self.wheel = TimerWheel(settings.tick, monotonic_ms)
        self.engines = EnginePool(self.reactor, settings)
        self.switch = Switch(settings, configuration.seed, self.wheel, self.engines)
        self.engines.attach(self.switch)
        self.ticker = Ticker(self.reactor, self.wheel, self.switch.counters)
        self.switch.memory.configure(configuration.limits.memory_mb * MB)

    def _build_listeners(self, shared: bool) -> None:
        configuration = self.configuration
        control_settings = load_control_settings()
        connections = max_connections(configuration, self.switch.memory.limit)
        control_connections = connections // CONTROL_DIVISOR if control_settings.listen else 0
        self.sip = SipServer(configuration.name, self.switch, connections - control_connections)
        self.management = ManagementServer(self.switch) if configuration.management else None
        self.watch = EndpointWatch(
            self.reactor, configuration.board.pair, self.switch, self.engines, self._to_clock
        )
        self.known_events = self.watch.parse(configuration.known_events)
        handover = self._build_handover(shared)
        if handover is not None:
            handover.endpoint_list = self.watch
        self.listeners = Listeners(self.reactor, self.switch, self.sip, self.watch, handover, shared)
        self.listeners.on_failure = self._fail
        if control_settings.listen:
            self.listeners.control = self._build_control(control_settings, control_connections)
            self.listeners.control_address = Address.parse(control_settings.listen)

    def _build_handover(self, shared: bool) -> Handover | None:
        directory = os.environ.get("TMPDIR", "")
        if not directory or shared:
            return None
        handover = Handover(self.reactor, self.switch, self.sip, directory)
        handover.on_predecessor_ended = self.engines.predecessor_ended
        return handover

    def _build_control(self, settings: ControlSettings, connections: int) -> Any:
        from softswitch.net.call_control import CallControlServer  # only imported if the API is enabled

        return CallControlServer(settings, self.switch, connections)

    def _build_components(self, tables: Any) -> Components:
        """Creates the optional components that the operator file enables."""
        management = self.configuration.management
        host = Host(
            name=self.configuration.name,
            switch=self.switch,
            reactor=self.reactor,
            unix_offset=self._unix_offset,
            folder=Path(environment.variable(environment.OPERATOR_FILE)).resolve().parent,
            settings=self.configuration.settings,
            version=VERSION,
            management_address=str(management) if management else "",
        )
        try:
            components = Components(tables, host)
        except ComponentError as e:
            raise ConfigurationError(str(e)) from None
        if self.management:
            self.management.component_routes = host.management_routes
            self.management.components = components.by_name
        return components

    def _to_clock(self, unix_ms: int) -> float:
        """Converts Unix ms to the clock of the timer wheel; 0 (unknown) stays 0."""
        return unix_ms + self._unix_offset if unix_ms else 0.0

    def start(self) -> None:
        """Starts all components. Callers can connect once the endpoint list is known."""
        self.switch.start()
        self.watch.apply_known_events(self.known_events)
        self.watch.start()
        self._listen_management()
        if self.components:
            self.components.start()
        self.ticker.start()
        self.listeners.open(self.listen)

    def _listen_management(self) -> None:
        address = self.configuration.management
        if self.management is None or address is None:
            return
        try:
            port = self.reactor.listenTCP(
                address.port, self.management, backlog=MANAGEMENT_BACKLOG, interface=address.host
            )
            self.management.attach(port)
        except CannotListenError as e:
            raise ConfigurationError(f"mgmt: {e}") from None
        logger.info("management server listens at {}:{}", *address.pair)

    def _fail(self, failure: str) -> None:
        self.failure = failure
        self.reactor.stop()

    def log_counters(self) -> None:
        """Logs the counters."""
        self.switch.update_counters()
        gauges = {"open": self.switch.calls.unanswered, "known": len(self.switch.calls)}
        gauges |= self.switch.memory.gauges()
        counters = {str(name): count for name, count in self.switch.counters.items()}
        logger.info("counters {}", orjson.dumps(gauges | counters).decode())

    def finish(self) -> None:
        """Stops telemetry and components after the reactor has ended; they flush their data."""
        if self.telemetry:
            self.telemetry.stop()
        if self.components:
            self.components.stop()
