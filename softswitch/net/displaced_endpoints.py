"""Finds the engines of the endpoint list whose address belongs to another engine by now.

A new engine may have the address of one that has ended, and the list may name the new one first. Only one
process listens at an address, so the entry with the later start is right and the other engine has ended.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from math import inf

from softswitch import interface as i

Address = tuple[str, int]


def displaced_endpoints(
    listed: Mapping[str, i.Endpoint], addresses: Mapping[str, Address]
) -> tuple[i.Endpoint, ...]:
    """Returns an entry that removes each displaced engine.

    `listed`: all engines of the list that are not removed, by name; `addresses`: by name, too. Of engines
    that started at the same time, or whose starts are unknown, none displaces the other.
    """
    latest: dict[Address, float] = {}
    for server, endpoint in listed.items():
        address = addresses.get(server)
        if address is not None:
            latest[address] = max(latest.get(address, -inf), _start_of(endpoint))
    return tuple(
        replace(endpoint, state=i.EndpointState.REMOVED)
        for server, endpoint in listed.items()
        if server in addresses and _start_of(endpoint) < latest[addresses[server]]
    )


def _start_of(endpoint: i.Endpoint) -> float:
    """The time of the last start; the earliest possible one if it is unknown."""
    return endpoint.started_at or -inf
