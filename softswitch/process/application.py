"""Wires the parts of one softswitch together and starts them."""

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
from softswitch.core.call_table import MAX_CALLS, MAX_DESCRIPTION_BYTES
from softswitch.core.switch import Switch
from softswitch.core.timer_wheel import TimerWheel
from softswitch.net.endpoint_watch import EndpointWatch
from softswitch.net.engine_pool import EnginePool
from softswitch.net.handover import Handover
from softswitch.net.management import ManagementServer
from softswitch.net.sip_server import SipServer
from softswitch.process.listeners import Listeners
from softswitch.process.reload import Reloader
from softswitch.process.shutdown import Shutdown
from softswitch.process.ticker import Ticker

VERSION = "0.1.0"
CALLS_PER_MB = 200  # calls known at once, for each MB that the configuration allows
DESCRIPTION_BYTES_PER_MB = 1 << 17
MAX_CONNECTIONS, MIN_CONNECTIONS = 1_000, 16
MIN_RESERVED_DESCRIPTORS = 48  # kept for engines, the board and the program itself ...
RESERVED_DESCRIPTORS_DIVISOR = 8  # ... or this part of all, if that is more
CONTROL_DIVISOR = 4  # part of the connections that the call-control API has
MANAGEMENT_BACKLOG = 64
REUSEPORT = "reuseport"  # of $SOFTSWITCH_HANDOVER: the kernel shares the address out, where none can be given


def monotonic_ms() -> float:
    """The clock of all timers."""
    return time.monotonic() * 1000.0


def is_address_shared() -> bool:
    """Whether $SOFTSWITCH_HANDOVER has the kernel share the callers' address out."""
    mode = environment.variable(environment.HANDOVER_MODE)
    if mode not in ("", REUSEPORT):
        name = environment.names(environment.HANDOVER_MODE)[0]
        raise ConfigurationError(f"{name}: {mode!r:.40} is not '{REUSEPORT}'; empty: handed over")
    return mode == REUSEPORT


def max_connections(configuration: Configuration) -> int:
    """How many callers' connections the descriptors allow."""
    descriptors = configuration.limits.sockets or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    reserved = max(MIN_RESERVED_DESCRIPTORS, descriptors // RESERVED_DESCRIPTORS_DIVISOR)
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, descriptors - reserved))


class Application:
    """One softswitch."""

    def __init__(self, reactor: Any, configuration: Configuration, tables: Any = None) -> None:
        self.reactor = reactor
        self.configuration = configuration
        self.listen = configuration.listen
        self.failure = ""  # why the process ends, where it could not serve
        self._unix_offset = monotonic_ms() - time.time() * 1000.0
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
        memory_mb = configuration.limits.memory_mb
        self.switch.calls.max_calls = min(MAX_CALLS, CALLS_PER_MB * memory_mb)
        self.switch.calls.max_description_bytes = min(
            MAX_DESCRIPTION_BYTES, DESCRIPTION_BYTES_PER_MB * memory_mb
        )

    def _build_listeners(self, shared: bool) -> None:
        configuration = self.configuration
        control_settings = load_control_settings()
        room = max_connections(configuration)
        control_room = room // CONTROL_DIVISOR if control_settings.listen else 0
        self.sip = SipServer(configuration.name, self.switch, room - control_room)
        self.management = ManagementServer(self.switch) if configuration.management else None
        self.watch = EndpointWatch(
            self.reactor, configuration.board.pair, self.switch, self.engines, self._to_clock
        )
        self.known_events = self.watch.parse(configuration.known_events)
        handover = self._build_handover(shared)
        self.listeners = Listeners(self.reactor, self.switch, self.sip, self.watch, handover, shared)
        self.listeners.on_failure = self._fail
        if control_settings.listen:
            self.listeners.control = self._build_control(control_settings, control_room)
            self.listeners.control_address = Address.parse(control_settings.listen)

    def _build_handover(self, shared: bool) -> Handover | None:
        directory = os.environ.get("TMPDIR", "")
        if not directory or shared:
            return None
        handover = Handover(self.reactor, self.switch, self.sip, directory)
        handover.on_predecessor_ended = self.engines.predecessor_ended
        return handover

    def _build_control(self, settings: ControlSettings, room: int) -> Any:
        from softswitch.net.call_control import CallControlServer  # and its packages, where it listens

        return CallControlServer(settings, self.switch, room)

    def _build_components(self, tables: Any) -> Components:
        """The optional components that the operator file asks for."""
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
            self.management.component_calls = host.management_routes
            self.management.components = components.by_name
        return components

    def _to_clock(self, unix_ms: int) -> float:
        return unix_ms + self._unix_offset if unix_ms else 0.0

    def start(self) -> None:
        """Starts all parts; callers may connect once the endpoint list is known."""
        self.switch.start()
        self.watch.apply_known_events(self.known_events)
        self.watch.start()
        self._listen_for_operators()
        if self.components:
            self.components.start()
        self.ticker.start()
        self.listeners.open(self.listen)

    def _listen_for_operators(self) -> None:
        address = self.configuration.management
        if self.management is None or address is None:
            return
        try:
            self.reactor.listenTCP(
                address.port, self.management, backlog=MANAGEMENT_BACKLOG, interface=address.host
            )
        except CannotListenError as e:
            raise ConfigurationError(f"mgmt: {e}") from None
        logger.info("management calls at {}:{}", *address.pair)

    def _fail(self, failure: str) -> None:
        self.failure = failure
        self.reactor.stop()

    def log_counters(self) -> None:
        """Writes the counters to the log."""
        self.switch.update_counters()
        now = {"open": self.switch.calls.unanswered, "known": len(self.switch.calls)}
        counters = {str(name): count for name, count in self.switch.counters.items()}
        logger.info("counters {}", orjson.dumps(now | counters).decode())

    def finish(self) -> None:
        """The reactor has ended: what is kept is written and sent."""
        if self.telemetry:
            self.telemetry.stop()
        if self.components:
            self.components.stop()
