"""What one process knows of all members: a join of records, their digests, and what still has to be spread.

Merging is commutative, associative and idempotent: of two records of one member the greater one holds
(`Record.rank`). So two tables that have seen the same records are equal, in whatever order these came.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from math import ceil, log2

from softswitch.fleet.messages import BUCKETS, ENDED, ID_BITS, Record, State

SPREAD = 3.0  # times log2 of the fleet that a piece of news is passed on by each member
# ms for which an ended member is remembered: tombstones of a whole partition's length
TOMBSTONE_LIFETIME = 3_600_000.0
NEARLY = 60_000.0  # ms before the end of that life from which on a tombstone is taken from nobody any more
LATELY = 10_000.0  # ms; what came to its end longer ago is no news, and left to exchanges
MAX_MEMBERS = 20_000  # members known, ended ones included; one more is not taken


def digest_of(record: Record) -> int:
    """Some bits of what two views have to agree on: who, in which incarnation and state."""
    said = f"{record.key} {record.incarnation} {int(record.state)} {record.boot}".encode()
    return int.from_bytes(blake2b(said, digest_size=8).digest(), "big") >> (64 - ID_BITS)


def bucket_of(key: str) -> int:
    """The bucket of a member's key, in which its digest is summed up."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS


class MemberTable:
    """Owner of all records of other members and of the own one."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.changed_at: dict[str, float] = {}  # ms; when the state that holds was learned here
        self.digest = 0
        self.buckets = [0] * BUCKETS
        self.keys_by_bucket: list[dict[str, None]] = [{} for _ in range(BUCKETS)]
        # times that the record was passed on; longer known than that: not in here
        self.pending: dict[str, int] = {}
        self.count = dict.fromkeys(State, 0)
        self.rejected = 0

    def put(self, now: float, record: Record, age: float = 0.0) -> Record | None:
        """Takes a record in; of an ended one, `age` ms ago. The one that held before where this one now holds
        instead; None if it changes nothing, or there was none: `key in records` tells which.
        """
        key = record.key
        old = self.records.get(key)
        if old is not None and record.rank <= old.rank:
            return None
        if old is None and len(self.records) >= MAX_MEMBERS:
            self.rejected += 1
            return None
        if old is None and record.state in ENDED and age >= TOMBSTONE_LIFETIME - NEARLY:
            return None  # dropped here, or about to be by all: it would go from one to the other without end
        bucket, change = bucket_of(key), digest_of(record)
        if old is not None:
            change ^= digest_of(old)
            self.count[old.state] -= 1
        if old is None or old.state is not record.state:
            self.changed_at[key] = now - age
        self.count[record.state] += 1
        self.digest ^= change
        self.buckets[bucket] ^= change
        self.keys_by_bucket[bucket][key] = None
        self.records[key] = record
        if age < LATELY:
            self.pending[key] = 0
        return old

    def drop(self, key: str) -> None:
        """Removes a member's record."""
        record = self.records.pop(key, None)
        if record is None:
            return
        self.count[record.state] -= 1
        self.digest ^= digest_of(record)
        self.buckets[bucket_of(key)] ^= digest_of(record)
        del self.keys_by_bucket[bucket_of(key)][key]
        del self.changed_at[key]
        self.pending.pop(key, None)

    def remove_expired(self, now: float) -> None:
        """Tombstones whose life is over go."""
        ended = [k for k, r in self.records.items() if r.state in ENDED]
        for key in ended:
            if now - self.changed_at[key] > TOMBSTONE_LIFETIME:
                self.drop(key)

    def next_updates(self, most: int, first: Iterable[str] = ()) -> tuple[Record, ...]:
        """So many records to pass on now: `first` those asked for, then the ones passed on least."""
        chosen = [key for key in first if key in self.records][:most]
        limit = ceil(SPREAD * log2(len(self.records) + 1))
        rest = sorted((key for key in self.pending if key not in chosen), key=self.pending.__getitem__)
        chosen += rest[: most - len(chosen)]
        for key in chosen:
            if key in self.pending:
                self.pending[key] += 1
                if self.pending[key] >= limit:
                    del self.pending[key]
        return tuple(self.records[key] for key in chosen)

    def differing_buckets(self, buckets: Iterable[int]) -> tuple[int, ...]:
        """The buckets whose digests are others than these."""
        return tuple(n for n, digest in enumerate(buckets) if digest != self.buckets[n])

    def records_in(self, buckets: Iterable[int]) -> tuple[Record, ...]:
        """All records in these buckets."""
        return tuple(self.records[key] for n in buckets for key in self.keys_by_bucket[n])

    def seconds_since_end(self, now: float, records: Iterable[Record]) -> tuple[int, ...]:
        """Seconds since each of these came to its end, 0 for those that have not."""
        return tuple(int((now - self.changed_at[r.key]) / 1000) if r.state in ENDED else 0 for r in records)

    def count_present(self) -> int:
        """Members that are not known to have ended."""
        return self.count[State.JOINING] + self.count[State.ALIVE] + self.count[State.SUSPECT]
