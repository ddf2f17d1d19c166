"""Directory of the quote engines in the endpoint list: state, last start and cell of each."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from softswitch import interface as i


@dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """The process of an engine has ended, as an update of the endpoint list shows."""

    server: str
    # Start of the process that has replaced it under the same name; inf: the engine was removed.
    replaced_at: float = inf

    @property
    def is_removal(self) -> bool:
        """Whether the engine was removed, and no process has replaced this one."""
        return self.replaced_at == inf


class EndpointDirectory:
    """Stores the endpoint list. An entry is deleted once its engine is removed and has no calls left."""

    def __init__(self) -> None:
        self.states: dict[str, i.EndpointState] = {}
        self.started_at: dict[str, float] = {}
        self.cells: dict[str, int] = {}
        self.weights: dict[str, float] = {}

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

    def apply(self, update: i.EndpointsChanged) -> list[IncarnationEnded]:
        """Stores an update of the list. Returns the processes of engines that have ended with it.

        An engine may be removed by name or be absent from a complete list, and an entry with another start
        time names a new process.
        """
        ended = [self._remove(server) for server in update.unlisted(self.listed())]
        for endpoint in update.endpoints:
            known_state = self.states.get(endpoint.server)
            if endpoint.state is i.EndpointState.REMOVED:
                if known_state not in (None, i.EndpointState.REMOVED):
                    ended.append(self._remove(endpoint.server))
                continue
            if self.started_at.get(endpoint.server, endpoint.started_at) != endpoint.started_at:
                ended.append(IncarnationEnded(endpoint.server, endpoint.started_at))
            self.states[endpoint.server] = endpoint.state
            self.started_at[endpoint.server] = endpoint.started_at
            self.cells[endpoint.server] = endpoint.cell
            self.weights[endpoint.server] = endpoint.weight
        return ended

    def entry_of(self, server: str) -> i.Endpoint:
        """Returns the entry of a known server."""
        started_at, weight = self.started_at[server], self.weights[server]
        return i.Endpoint(server, self.cells[server], self.states[server], started_at, weight)

    def listed_after(self, update: i.EndpointsChanged) -> dict[str, i.Endpoint]:
        """Returns the entries that are not removed, by server, as they will be after an update."""
        unlisted = set(update.unlisted(self.states))
        listed = {server: self.entry_of(server) for server in self.listed() if server not in unlisted}
        for endpoint in update.endpoints:
            listed[endpoint.server] = endpoint
        return {s: e for s, e in listed.items() if e.state is not i.EndpointState.REMOVED}

    def _remove(self, server: str) -> IncarnationEnded:
        self.states[server] = i.EndpointState.REMOVED
        return IncarnationEnded(server)

    def forget(self, server: str) -> None:
        """Deletes a removed server that has no calls left."""
        self.states.pop(server, None)
        self.started_at.pop(server, None)
        self.cells.pop(server, None)
        self.weights.pop(server, None)
