"""The links to all quote engines of the endpoint list."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory

from softswitch import interface as i
from softswitch.core.call import Call
from softswitch.core.switch import Switch
from softswitch.net.engine_codec import Release
from softswitch.net.engine_link import EngineLink

SWEEP_INTERVAL = 100.0  # ms between two looks at the links
FETCH_DELAY = 50.0  # ms in which engines see the end of another process's connections
CAUSE_CANCELLED = 16  # of the release that takes an attempt back

Address = tuple[str, int]


class EnginePool:
    """Owner of the links, by engine. Fulfils `core.call.Engines`."""

    def __init__(self, reactor: Any, settings: i.Settings) -> None:
        self.reactor = reactor
        self.settings = settings
        self.switch: Switch  # set by `attach`: each needs the other
        self.links: dict[str, EngineLink] = {}
        self.is_reading = True  # what engines send; else it is left to them, for the next process
        self.may_open = True  # connections

    def attach(self, switch: Switch) -> None:
        """The switch whose calls go there."""
        self.switch = switch
        switch.wheel.call_after(SWEEP_INTERVAL, self._sweep)

    def connect(self, address: Address, factory: ClientFactory) -> None:
        """Opens a connection."""
        self.reactor.connectTCP(*address, factory, timeout=self.settings.connect_timeout / 1000)

    def set_reading(self, reading: bool) -> None:
        """Whether what engines send is read.

        An engine sends a release also on the next connection that is opened to it, whoever opens it: what
        this process could not pass on is left unread, and none is opened meanwhile.
        """
        if reading == self.is_reading:
            return
        self.is_reading = self.may_open = reading
        for link in list(self.links.values()):
            link.reading_changed()

    def stop_opening(self) -> None:
        """No connection is opened any more: this process is about to end."""
        self.may_open = False

    def read_pending(self) -> None:
        """Reads what engines have sent until now."""
        for link in list(self.links.values()):
            link.read_pending()

    def needs_connection(self, server: str) -> bool:
        """Whether calls may go there, or are there."""
        return self.switch.endpoints.is_ready(server) or self.switch.calls.any_at(server)

    def add_endpoint(self, server: str, address: Address) -> None:
        """An engine of the list; called before the switch has the update."""
        known = self.links.get(server)
        if known is not None and known.address == address:
            known.open()
            return
        link = EngineLink(self, self.switch, server, address)
        self.links[server] = link
        if known is not None:
            known.close()
            link.take_over_queue(known)
        link.open()

    def send_setup(self, server: str, call: Call) -> None:
        """Sends the call's setup there."""
        link = self.links.get(server)
        if link is None:
            self.switch.attempt_unreachable(server, call.id)
        else:
            link.send_setup(call)

    def cancel_setup(self, server: str, call: str) -> None:
        """Takes back a setup that is not answered."""
        link = self.links.get(server)
        if link and not link.withdraw_setup(call):
            link.send_release(Release(call, CAUSE_CANCELLED))

    def send_release(self, server: str, call: str, cause: int) -> None:
        """Ends a call there."""
        link = self.links.get(server)
        if link:
            link.send_release(Release(call, cause))

    def endpoint_unavailable(self, server: str) -> None:
        """The list says so: call setups that are not written yet go elsewhere."""
        if server in self.links:
            self.links[server].return_queued_setups()

    def predecessor_ended(self) -> None:
        """The process that this one replaced has ended: releases that it left unread are fetched.

        An engine sends them on the next connection that is opened, and ours have been open for long.
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
