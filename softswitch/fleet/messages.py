"""Messages between members of a fleet. `net/peers.py` sends and receives them.

On the wire they are msgpack arrays with a numeric tag: names of types and fields may change, their order may
not.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

FORMAT = 1  # version of the message format; messages of other versions are rejected with a reason
ID_BITS = 62  # size of digests and boot ids
# A hash of its key assigns each member to a bucket. Two tables are compared by their buckets' digests.
BUCKETS = 64

Text = Annotated[str, Meta(min_length=1, max_length=64)]
# host:port; an IPv4 address without name lookup, and a port that a socket can bind
OCTET = r"(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
PORT = r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
Address = Annotated[str, Meta(max_length=21, pattern=rf"^{OCTET}(\.{OCTET}){{3}}:{PORT}\Z")]
UnsignedInt = Annotated[int, Meta(ge=0, lt=1 << 53)]
Digest = Annotated[int, Meta(ge=0, lt=1 << ID_BITS)]


class State(IntEnum):
    """Member states; at the same incarnation a higher value overrides a lower one."""

    JOINING = 0  # started, and has not exchanged tables with any member yet
    ALIVE = 1
    SUSPECT = 2  # did not answer; the member can refute it with a higher incarnation
    GONE = 3  # declared dead; final for this incarnation
    LEFT = 4  # announced its stop; final for this incarnation


ENDED = (State.GONE, State.LEFT)  # states of ended members


class Record(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The state of one member.

    Only the member itself raises its incarnation: at a start, after a change of its configuration, and to
    refute what others report of it. Others only set a state that overrides the current one.
    """

    name: Text
    address: Address  # host:port; with the name, identifies the member
    incarnation: UnsignedInt
    state: State
    boot: Digest  # random id of this start of the process
    site: Annotated[str, Meta(max_length=64)] = ""
    version: Annotated[str, Meta(max_length=32)] = ""
    config: Annotated[str, Meta(max_length=32)] = ""  # digest of its settings
    mgmt: Annotated[str, Meta(max_length=64)] = ""  # management address

    @property
    def key(self) -> str:
        """Name and address, which identify a member."""
        return f"{self.name}@{self.address}"

    @property
    def rank(self) -> tuple[int, int, int, str, str, str, str]:
        """A total order: of two records of one member the higher one wins, in whatever order they arrive."""
        return (self.incarnation, self.state, self.boot, self.version, self.config, self.site, self.mgmt)


RecordBatch = Annotated[tuple[Record, ...], Meta(max_length=64)]
RecordList = Annotated[tuple[Record, ...], Meta(max_length=20_000)]
# For each record of the message the seconds since the member ended; 0 for members that have not ended. So a
# tombstone (the record of an ended member) expires at the same time at every member.
Ages = Annotated[tuple[Annotated[int, Meta(ge=0, lt=1 << 32)], ...], Meta(max_length=20_000)]
BucketIndices = Annotated[tuple[Annotated[int, Meta(ge=0, lt=BUCKETS)], ...], Meta(max_length=BUCKETS)]
BucketDigests = Annotated[tuple[Digest, ...], Meta(min_length=BUCKETS, max_length=BUCKETS)]


class Header(Struct, frozen=True, array_like=True):
    """Common to the protocol messages: fleet, format, the sender's own record and a digest of its table."""

    fleet: Text
    format: int
    sender: Record
    digest: Digest  # of the sender's complete table
    # keys of members that the sender suspects because its own probes failed
    suspects: Annotated[tuple[Annotated[str, Meta(max_length=160)], ...], Meta(max_length=4)] = ()


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """A probe. `to` is the key of the probed member: another member may use the address by now."""

    header: Header
    seq: UnsignedInt
    to: Annotated[str, Meta(max_length=160)]
    updates: RecordBatch = ()


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """Answers a probe."""

    header: Header
    seq: UnsignedInt
    updates: RecordBatch = ()


class PingRequest(Struct, frozen=True, array_like=True, tag=3):
    """Requests an indirect probe: the receiver, a helper, probes the member `to` on behalf of the sender."""

    header: Header
    seq: UnsignedInt
    to: Annotated[str, Meta(max_length=160)]
    address: Address
    updates: RecordBatch = ()


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """Answers a PingRequest: the helper has received no Ack yet, but is reachable itself."""

    header: Header
    seq: UnsignedInt


class Updates(Struct, frozen=True, array_like=True, tag=5):
    """Sends changed records without a probe; not answered."""

    header: Header
    updates: RecordBatch


class CompareDigests(Struct, frozen=True, array_like=True, tag=6):
    """Opens an exchange with the digests of all buckets of the sender's table."""

    header: Header
    buckets: BucketDigests


class DifferingRecords(Struct, frozen=True, array_like=True, tag=7):
    """Answers CompareDigests: the buckets that differ, and the sender's records in them."""

    header: Header
    buckets: BucketIndices
    records: RecordList
    ages: Ages = ()


class RemainingRecords(Struct, frozen=True, array_like=True, tag=8):
    """Ends an exchange: the records in the differing buckets that the opening member had."""

    header: Header
    records: RecordList
    ages: Ages = ()


class Rejected(Struct, frozen=True, array_like=True, tag=9):
    """Rejects a message, with a reason."""

    reason: Annotated[str, Meta(max_length=200)]


class ComponentMessage(Struct, frozen=True, array_like=True, tag=10):
    """A message between the same components of two members. The membership protocol ignores it."""

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
