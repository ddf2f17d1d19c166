"""What members say to each other, as typed messages. `net/peers.py` puts them on the wire."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

FORMAT = 1  # of these messages; another one is refused with a reason
ID_BITS = 62  # of digests and of what tells one start of a process from another
BUCKETS = 64  # parts of a table that are compared by digest

Text = Annotated[str, Meta(min_length=1, max_length=64)]
# host:port; no names to look up, and no port that a socket would not take
OCTET = r"(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
PORT = r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
Address = Annotated[str, Meta(max_length=21, pattern=rf"^{OCTET}(\.{OCTET}){{3}}:{PORT}\Z")]
UnsignedInt = Annotated[int, Meta(ge=0, lt=1 << 53)]
Digest = Annotated[int, Meta(ge=0, lt=1 << ID_BITS)]


class State(IntEnum):
    """In the order in which one overrides the other at the same incarnation."""

    JOINING = 0  # started, and has not yet exchanged views with anyone
    ALIVE = 1
    SUSPECT = 2  # did not answer; takes it back by a higher incarnation
    GONE = 3  # found dead; final for this incarnation
    LEFT = 4  # said that it stops; final for this incarnation


ENDED = (State.GONE, State.LEFT)


class Record(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What is said of one member. The owner alone raises the incarnation; others only add a worse state to
    it.
    """

    name: Text
    address: Address  # host:port; with the name, who it is
    incarnation: UnsignedInt
    state: State
    boot: Digest  # drawn at each start of the process
    site: Annotated[str, Meta(max_length=64)] = ""
    version: Annotated[str, Meta(max_length=32)] = ""
    config: Annotated[str, Meta(max_length=32)] = ""  # digest of its configuration
    mgmt: Annotated[str, Meta(max_length=64)] = ""  # where operators call

    @property
    def key(self) -> str:
        """Name and address: what tells members apart."""
        return f"{self.name}@{self.address}"

    @property
    def rank(self) -> tuple[int, int, int, str, str, str, str]:
        """A total order: of two records of one member the greater one holds, whatever the order they come
        in.
        """
        return (self.incarnation, self.state, self.boot, self.version, self.config, self.site, self.mgmt)


RecordBatch = Annotated[tuple[Record, ...], Meta(max_length=64)]
RecordList = Annotated[tuple[Record, ...], Meta(max_length=20_000)]
# Seconds since each of the records with it came to its end, 0 for those that have not: a tombstone's life
# goes on, whoever hears of it.
Ages = Annotated[tuple[Annotated[int, Meta(ge=0, lt=1 << 32)], ...], Meta(max_length=20_000)]
BucketIndices = Annotated[tuple[Annotated[int, Meta(ge=0, lt=BUCKETS)], ...], Meta(max_length=BUCKETS)]
BucketDigests = Annotated[tuple[Digest, ...], Meta(min_length=BUCKETS, max_length=BUCKETS)]


class Header(Struct, frozen=True, array_like=True):
    """Who speaks: fleet, format, and the sender's own record."""

    fleet: Text
    format: int
    sender: Record
    digest: Digest  # of its whole table
    # by own probes
    accuses: Annotated[tuple[Annotated[str, Meta(max_length=160)], ...], Meta(max_length=4)] = ()


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Are you there? `to` is the key of who is meant: another process may have the address by now."""

    header: Header
    seq: UnsignedInt
    to: Annotated[str, Meta(max_length=160)]
    updates: RecordBatch = ()


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """The answer to a probe."""

    header: Header
    seq: UnsignedInt
    updates: RecordBatch = ()


class PingRequest(Struct, frozen=True, array_like=True, tag=3):
    """Ping this one for me."""

    header: Header
    seq: UnsignedInt
    to: Annotated[str, Meta(max_length=160)]
    address: Address
    updates: RecordBatch = ()


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """Asked, and nothing heard from it: at least I am there."""

    header: Header
    seq: UnsignedInt


class Updates(Struct, frozen=True, array_like=True, tag=5):
    """Wants no answer."""

    header: Header
    updates: RecordBatch


class CompareDigests(Struct, frozen=True, array_like=True, tag=6):
    """Opens an exchange: digests of all buckets of the sender's table."""

    header: Header
    buckets: BucketDigests


class DifferingRecords(Struct, frozen=True, array_like=True, tag=7):
    """The answer: in which buckets the tables differ, and what stands there."""

    header: Header
    buckets: BucketIndices
    records: RecordList
    ages: Ages = ()


class RemainingRecords(Struct, frozen=True, array_like=True, tag=8):
    """Ends an exchange: what the opener has in those buckets."""

    header: Header
    records: RecordList
    ages: Ages = ()


class Rejected(Struct, frozen=True, array_like=True, tag=9):
    """The exchange was refused, for this reason."""

    reason: Annotated[str, Meta(max_length=200)]


class ComponentMessage(Struct, frozen=True, array_like=True, tag=10):
    """What another part of the program says to its like at another member. The view takes no notice of it."""

    fleet: Text
    format: int
    component: Annotated[str, Meta(min_length=1, max_length=16)]
    body: Annotated[bytes, Meta(max_length=1_300)]


Datagram = Ping | Ack | PingRequest | Nack | Updates | Rejected
Stream = CompareDigests | DifferingRecords | RemainingRecords | Rejected
Message = (
    Ping
    | Ack
    | PingRequest
    | Nack
    | Updates
    | CompareDigests
    | DifferingRecords
    | RemainingRecords
    | Rejected
)
