"""The quote engines that the endpoint list has named: their state, last start and cell."""

from __future__ import annotations

from softswitch import interface as i


class EndpointDirectory:
    """Owner of what the list says. An entry goes once its engine is removed and has no call left."""

    def __init__(self) -> None:
        self.states: dict[str, i.EndpointState] = {}
        self.started_at: dict[str, float] = {}
        self.cells: dict[str, int] = {}

    def state_of(self, server: str) -> i.EndpointState | None:
        """What the list says of a server; None if it never named it."""
        return self.states.get(server)

    def is_ready(self, server: str) -> bool:
        """Whether calls may be sent there."""
        return self.states.get(server) is i.EndpointState.READY

    def listed(self) -> list[str]:
        """The servers that are not removed."""
        return [s for s, state in self.states.items() if state is not i.EndpointState.REMOVED]

    def not_ready(self) -> list[str]:
        """The servers that take nothing new."""
        return [s for s, state in self.states.items() if state is not i.EndpointState.READY]

    def restarted(self, endpoint: i.Endpoint) -> bool:
        """Whether another process runs there than the list told before."""
        return self.started_at.get(endpoint.server, endpoint.started_at) != endpoint.started_at

    def mark_unlisted(self, update: i.EndpointsChanged) -> None:
        """A complete list leaves out what is removed."""
        for server in update.unlisted(self.states):
            self.states[server] = i.EndpointState.REMOVED

    def update(self, endpoint: i.Endpoint) -> None:
        """Takes in one entry of the list; a removed server that is not known stays unknown."""
        if endpoint.state is i.EndpointState.REMOVED and endpoint.server not in self.states:
            return
        self.states[endpoint.server] = endpoint.state
        self.started_at[endpoint.server] = endpoint.started_at
        self.cells[endpoint.server] = endpoint.cell

    def forget(self, server: str) -> None:
        """The server is removed and has no call left."""
        self.states.pop(server, None)
        self.started_at.pop(server, None)
        self.cells.pop(server, None)
