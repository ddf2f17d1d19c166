"""Directory of the quote engines in the endpoint list: state, last start and cell of each."""

from __future__ import annotations

from softswitch import interface as i


class EndpointDirectory:
    """Stores the endpoint list. An entry is deleted once its engine is removed and has no calls left."""

    def __init__(self) -> None:
        self.states: dict[str, i.EndpointState] = {}
        self.started_at: dict[str, float] = {}
        self.cells: dict[str, int] = {}

    def state_of(self, server: str) -> i.EndpointState | None:
        """Returns the state of a server in the list; None if the server is unknown."""
        return self.states.get(server)

    def is_ready(self, server: str) -> bool:
        """Whether calls may be sent to a server."""
        return self.states.get(server) is i.EndpointState.READY

    def listed(self) -> list[str]:
        """Returns the servers that are not removed."""
        return [s for s, state in self.states.items() if state is not i.EndpointState.REMOVED]

    def not_ready(self) -> list[str]:
        """Returns the servers that accept no new calls."""
        return [s for s, state in self.states.items() if state is not i.EndpointState.READY]

    def restarted(self, endpoint: i.Endpoint) -> bool:
        """Whether the entry shows a new process at a known server: its start time has changed."""
        return self.started_at.get(endpoint.server, endpoint.started_at) != endpoint.started_at

    def mark_unlisted(self, update: i.EndpointsChanged) -> None:
        """Marks the servers as removed that a complete list does not contain."""
        for server in update.unlisted(self.states):
            self.states[server] = i.EndpointState.REMOVED

    def update(self, endpoint: i.Endpoint) -> None:
        """Stores one entry of the list. A removed server that is unknown is not stored."""
        if endpoint.state is i.EndpointState.REMOVED and endpoint.server not in self.states:
            return
        self.states[endpoint.server] = endpoint.state
        self.started_at[endpoint.server] = endpoint.started_at
        self.cells[endpoint.server] = endpoint.cell

    def forget(self, server: str) -> None:
        """Deletes a removed server that has no calls left."""
        self.states.pop(server, None)
        self.started_at.pop(server, None)
        self.cells.pop(server, None)
