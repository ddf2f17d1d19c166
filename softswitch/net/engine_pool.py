"""The links to all quote engines of the endpoint list."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory

from softswitch import interface as i
from softswitch.core.call import NO_CONNECTION, Call
from softswitch.core.endpoint_directory import IncarnationEnded
from softswitch.core.switch import Switch
from softswitch.interface import CallId
from softswitch.net.engine_codec import Release
from softswitch.net.engine_link import EngineLink

SWEEP_INTERVAL = 100.0  # ms between two checks of the links
FETCH_DELAY = 50.0  # ms until engines have detected the end of another process's connections
CAUSE_CANCELLED = 16  # of the release that cancels an attempt

Address = tuple[str, int]


class EnginePool:
    """Owns the links to the engines. Implements `core.call.Engines` and `engine_link.Connector`."""

    def __init__(self, reactor: Any, settings: i.Settings) -> None:
        self.reactor = reactor
        self.settings = settings
        self.switch: Switch  # set by `attach`, because the switch and the pool need each other
        self.links: dict[str, EngineLink] = {}  # by engine
        # If false, data from engines is left unread, so that they send it again to the successor process.
        self.is_reading = True
        self.may_open = True  # whether new connections may be opened

    def attach(self, switch: Switch) -> None:
        """Sets the switch that uses the pool, and starts the periodic checks."""
        self.switch = switch
        switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)

    def connect(self, address: Address, factory: ClientFactory) -> None:
        """Opens a TCP connection."""
        self.reactor.connectTCP(*address, factory, timeout=self.settings.connect_timeout / 1000)

    def set_reading(self, reading: bool) -> None:
        """Resumes or pauses reading from all engines.

        An engine repeats a release that was left unread on the next connection opened to it, by whichever
        process. So reading is paused while this process could not pass releases on, and no connection is
        opened meanwhile.
        """
        if reading == self.is_reading:
            return
        self.is_reading = self.may_open = reading
        for link in list(self.links.values()):
            link.reading_changed()

    def stop_opening(self) -> None:
        """Opens no more connections, because this process is about to exit."""
        self.may_open = False

    def read_pending(self) -> None:
        """Reads the data that engines have sent so far."""
        for link in list(self.links.values()):
            link.read_pending()

    def needs_connection(self, server: str) -> bool:
        """Whether the engine may receive calls or has calls."""
        return self.switch.endpoints.is_ready(server) or self.switch.calls.any_at(server)

    def add_endpoint(self, server: str, address: Address) -> None:
        """Adds an engine of the endpoint list, or changes its address.

        Called before the switch receives the update of the list.
        """
        current = self.links.get(server)
        if current is not None and current.address == address:
            current.relisted()
            return
        link = EngineLink(self, self.switch, server, address)
        self.links[server] = link
        if current is not None:
            current.close()
            if not current.is_removed:
                link.take_over_queue(current)
        link.open()

    def addresses(self) -> dict[str, Address]:
        """Returns the addresses of all engines with a link."""
        return {server: link.address for server, link in self.links.items()}

    def incarnation_ended(self, ended: IncarnationEnded) -> int:
        """Drops what was meant for an ended process of an engine; see `core.call.Engines`."""
        link = self.links.get(ended.server)
        return NO_CONNECTION if link is None else link.incarnation_ended(ended)

    def send_setup(self, server: str, call: Call) -> None:
        """Sends the setup of a call to an engine."""
        link = self.links.get(server)
        if link is None:
            self.switch.attempt_unreachable(server, call.id)
        else:
            link.send_setup(call)

    def cancel_setup(self, server: str, call: CallId) -> None:
        """Cancels an unanswered setup: withdraws it, or sends a release if it was written."""
        link = self.links.get(server)
        if link and not link.withdraw_setup(call):
            link.send_release(Release(call, CAUSE_CANCELLED))

    def send_release(self, server: str, call: CallId, cause: int) -> None:
        """Sends the release of a call to an engine."""
        link = self.links.get(server)
        if link:
            link.send_release(Release(call, cause))

    def endpoint_unavailable(self, server: str) -> None:
        """Returns an engine's unwritten call setups, because it accepts no new calls any more."""
        if server in self.links:
            self.links[server].return_queued_setups()

    def predecessor_ended(self) -> None:
        """Called when the predecessor process has ended; fetches the releases that it left unread.

        An engine sends them on the next connection opened to it. The connections of this process were opened
        before, so a listening connection is opened to each engine.
        """
        self.switch.wheel.call_after(FETCH_DELAY, self._fetch_releases)

    def _fetch_releases(self) -> None:
        for link in self.links.values():
            link.listen_once()

    def _sweep(self) -> None:
        now = self.switch.wheel.now
        self.switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)
        for server, link in list(self.links.items()):
            if self.is_reading:
                link.sweep(now)
            removed = self.switch.endpoints.state_of(server) is i.EndpointState.REMOVED
            if removed and not self.switch.calls.any_at(server):
                link.close()
                del self.links[server]
                self.switch.endpoints.forget(server)
