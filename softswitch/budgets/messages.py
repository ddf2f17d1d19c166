"""Messages between members about budgets, sent inside the fleet's datagrams (`net/peers`).

On the wire they are arrays with a numbered tag: names of types and fields may change, their order may not.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from softswitch.fleet.messages import Address, Digest, UnsignedInt

MAX_BUDGETS = 16  # as many as fit into one datagram, with the longest names and largest numbers
MAX_DURATION = 600_000  # ms

Name = Annotated[str, Meta(min_length=1, max_length=32)]
Slots = Annotated[int, Meta(ge=0, le=10_000_000)]
Duration = Annotated[float, Meta(gt=0, le=MAX_DURATION)]  # ms
# one leadership of an allocator: term, and a random number that makes it unique
Epoch = tuple[UnsignedInt, Digest]
GrantId = tuple[Digest, UnsignedInt]  # number of the epoch, and number of the grant within it
NO_EPOCH: Epoch = (0, 0)
NO_GRANT: GrantId = (0, 0)


class BudgetRequest(Struct, frozen=True, array_like=True):
    """A holder's state and need of one budget, in slots."""

    name: Name
    total: Slots  # in the holder's operator file, as is the floor
    floor: Slots
    leased: Slots  # at the time of the request
    need: Slots  # including the floor
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0  # mean priority weight of its demand


class LeaseRequest(Struct, frozen=True, array_like=True, tag=1):
    """Requests a lease or its renewal. The lease runs from the time at which this was sent."""

    address: Address
    boot: Digest
    seq: UnsignedInt
    epoch: Epoch  # the last known one; a request that echoes it was sent after the epoch began
    basis: GrantId  # the last accepted grant
    budgets: Annotated[tuple[BudgetRequest, ...], Meta(max_length=MAX_BUDGETS)]
    returns_all: bool = False  # the holder no longer uses its lease


class LeaseGrant(Struct, frozen=True, array_like=True, tag=2):
    """Grants a lease. It is valid only if `basis` is still the holder's last accepted grant."""

    boot: Digest
    seq: UnsignedInt
    epoch: Epoch
    allocator: Address
    id: GrantId
    basis: GrantId
    slots: Annotated[tuple[tuple[Name, Slots], ...], Meta(max_length=MAX_BUDGETS)]
    duration: Duration  # from the time at which the request was sent
    renew_after: Duration  # until the holder should request again


class Redirect(Struct, frozen=True, array_like=True, tag=3):
    """Sends a holder to another address, `allocator`: the one that holds the sender's promise. May be empty.

    A voter sends it with NO_EPOCH. An allocator sends it with its own address and epoch, if the holder has to
    request again and echo this epoch.
    """

    epoch: Epoch
    allocator: Annotated[str, Meta(max_length=21)]


class PromiseRequest(Struct, frozen=True, array_like=True, tag=4):
    """Requests a voter's promise for this epoch of the candidate."""

    address: Address
    epoch: Epoch
    round: UnsignedInt  # number of the candidate's round of requests
    voters: Digest  # digest of the settings on which voters have to agree


class Promise(Struct, frozen=True, array_like=True, tag=5):
    """Answers a PromiseRequest: for a limited time the voter makes no promise for another epoch."""

    voter: Address
    epoch: Epoch
    round: UnsignedInt


class PromiseDenied(Struct, frozen=True, array_like=True, tag=6):
    """Answers a PromiseRequest: the voter makes no promise."""

    voter: Address
    epoch: Epoch  # of the request
    round: UnsignedInt
    term: UnsignedInt  # the highest known to the voter
    why: Annotated[str, Meta(max_length=160)]


class EpochWithdrawn(Struct, frozen=True, array_like=True, tag=7):
    """Releases all promises of this epoch: the candidate no longer uses them."""

    epoch: Epoch


Message = LeaseRequest | LeaseGrant | Redirect | PromiseRequest | Promise | PromiseDenied | EpochWithdrawn
