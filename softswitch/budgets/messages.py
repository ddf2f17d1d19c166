"""What members send each other about budgets, as typed messages inside the fleet's datagrams (`net/peers`).

On the wire they are arrays with a numbered tag: names of types and fields may change, their order may not.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from softswitch.fleet.messages import Address, Digest, UnsignedInt

MAX_BUDGETS = 16  # so many fit one datagram, whatever their names and figures
MAX_DURATION = 600_000  # ms

Name = Annotated[str, Meta(min_length=1, max_length=32)]
Slots = Annotated[int, Meta(ge=0, le=10_000_000)]
Duration = Annotated[float, Meta(gt=0, le=MAX_DURATION)]  # ms
# an allocator's time in office: term, and a number drawn for it; none comes twice
Epoch = tuple[UnsignedInt, Digest]
GrantId = tuple[Digest, UnsignedInt]  # the number of the allocator's epoch, and the grant's place in it
NO_EPOCH: Epoch = (0, 0)
NO_GRANT: GrantId = (0, 0)


class BudgetRequest(Struct, frozen=True, array_like=True):
    """What a holder says of one budget. In slots."""

    name: Name
    total: Slots  # by its own file
    floor: Slots
    leased: Slots  # not expired as it asks
    need: Slots  # of these it would use, floor and all
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0  # priority weight of what it would spend on


class LeaseRequest(Struct, frozen=True, array_like=True, tag=1):
    """A holder asks for its lease anew. What is granted runs from when this was sent."""

    address: Address
    boot: Digest
    seq: UnsignedInt
    epoch: Epoch  # the one heard of last; an answer that echoes it was sent after the epoch began
    basis: GrantId  # the grant that is held, or was last
    budgets: Annotated[tuple[BudgetRequest, ...], Meta(max_length=MAX_BUDGETS)]
    returns_all: bool = False  # it spends nothing of its lease any more


class LeaseGrant(Struct, frozen=True, array_like=True, tag=2):
    """The allocator's answer. It holds only where `basis` is still what the holder has."""

    boot: Digest
    seq: UnsignedInt
    epoch: Epoch
    allocator: Address
    id: GrantId
    basis: GrantId
    slots: Annotated[tuple[tuple[Name, Slots], ...], Meta(max_length=MAX_BUDGETS)]
    duration: Duration  # from when the request was sent
    renew_after: Duration  # until the next request is of use


class Redirect(Struct, frozen=True, array_like=True, tag=3):
    """The sender is not the allocator. `allocator`: who is, as far as it has promised; empty if nobody.

    An allocator answers with it too, where its holder has to hear of the epoch first.
    """

    epoch: Epoch
    allocator: Annotated[str, Meta(max_length=21)]


class PromiseRequest(Struct, frozen=True, array_like=True, tag=4):
    """A candidate asks a voter to promise itself to this epoch."""

    address: Address
    epoch: Epoch
    round: UnsignedInt
    voters: Digest  # of what voters have to agree on


class Promise(Struct, frozen=True, array_like=True, tag=5):
    """A voter has promised itself."""

    voter: Address
    epoch: Epoch
    round: UnsignedInt


class PromiseDenied(Struct, frozen=True, array_like=True, tag=6):
    """A voter has not promised itself."""

    voter: Address
    epoch: Epoch  # that was asked for
    round: UnsignedInt
    term: UnsignedInt  # the highest one heard of there
    why: Annotated[str, Meta(max_length=160)]


class EpochWithdrawn(Struct, frozen=True, array_like=True, tag=7):
    """The candidate counts on no promise of this epoch any more."""

    epoch: Epoch


Message = LeaseRequest | LeaseGrant | Redirect | PromiseRequest | Promise | PromiseDenied | EpochWithdrawn
