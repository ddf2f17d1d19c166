"""What members say to each other about budgets. They travel inside the fleet's datagrams (`net/peers.py`)."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from softswitch.fleet.messages import Address, Digest, Whole

MOST_BUDGETS = 16  # so many fit one datagram, whatever their names and figures
Name = Annotated[str, Meta(min_length=1, max_length=32)]
Slots = Annotated[int, Meta(ge=0, le=10_000_000)]
Office = tuple[Whole, Digest]  # term, and a number drawn for this office: no two offices are the same
Id = tuple[Digest, Whole]  # of a grant: the office's number, and its place there


class Line(Struct, frozen=True, array_like=True):
    """What a holder says of one budget. In slots."""

    name: Name
    whole: Slots  # by its own file
    floor: Slots
    held: Slots  # leased, not lapsed as it asks
    need: Slots  # of these it would use, floor and all
    worth: Annotated[float, Meta(ge=0, le=1e9)] = 1.0  # of what it would spend on


class Want(Struct, frozen=True, array_like=True, tag=1):
    """A holder asks for its parts anew. What is granted runs from when this was sent."""

    address: Address
    boot: Digest
    seq: Whole
    office: Office  # the one heard of last; an answer that echoes it was sent after the office began
    basis: Id  # the grant that is held, or was last
    lines: Annotated[tuple[Line, ...], Meta(max_length=MOST_BUDGETS)]
    back: bool = False  # it gives all back, and spends nothing of it any more


class Grant(Struct, frozen=True, array_like=True, tag=2):
    """The allocator's answer. It holds only where `basis` is still what the holder has."""

    boot: Digest
    seq: Whole
    office: Office
    at: Address  # of the allocator
    id: Id
    basis: Id
    parts: Annotated[tuple[tuple[Name, Slots], ...], Meta(max_length=MOST_BUDGETS)]
    lease: Annotated[float, Meta(gt=0, le=600_000)]  # ms from when the want was sent
    again: Annotated[float, Meta(gt=0, le=600_000)]  # ms until the next want is of use


class See(Struct, frozen=True, array_like=True, tag=3):
    """I am not the allocator. `at`: who is, as far as I have promised; empty if nobody."""

    office: Office
    at: Annotated[str, Meta(max_length=21)]


class Ask(Struct, frozen=True, array_like=True, tag=4):
    """Promise yourself to this office."""

    address: Address
    office: Office
    round: Whole
    voters: Digest  # of what voters have to agree on


class Promised(Struct, frozen=True, array_like=True, tag=5):
    voter: Address
    office: Office
    round: Whole


class Denied(Struct, frozen=True, array_like=True, tag=6):
    voter: Address
    office: Office  # that was asked for
    round: Whole
    term: Whole  # the highest one heard of here
    why: Annotated[str, Meta(max_length=160)]


class Waive(Struct, frozen=True, array_like=True, tag=7):
    """The candidate counts on no promise of this office any more."""

    office: Office


Message = Want | Grant | See | Ask | Promised | Denied | Waive
NOBODY: Office = (0, 0)
NOTHING: Id = (0, 0)
