"""The records of all members that one process knows, their digests, and the updates to disseminate.

Merging is commutative, associative and idempotent: of two records of one member the one with the higher
`Record.rank` wins. So two tables that received the same records in any order are equal.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from math import ceil, log2

from softswitch.fleet.messages import BUCKETS, ENDED, ID_BITS, Record, State

DISSEMINATION_FACTOR = 3.0  # each member sends an update this many times log2 of the fleet size
# ms for which a tombstone (the record of an ended member) is retained; has to outlast a partition
TOMBSTONE_LIFETIME = 3_600_000.0
TOMBSTONE_MARGIN = 60_000.0  # ms; a tombstone that expires within this time is not accepted
# ms; the record of a member that ended longer ago is not sent as an update, only in exchanges
MAX_UPDATE_AGE = 10_000.0
MAX_MEMBERS = 20_000  # including ended ones; further members are not accepted


def digest_of(record: Record) -> int:
    """A hash of the fields on which two tables have to agree: key, incarnation, state and boot."""
    text = f"{record.key} {record.incarnation} {int(record.state)} {record.boot}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> (64 - ID_BITS)


def bucket_of(key: str) -> int:
    """The bucket whose digest includes the member with this key."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS


class MemberTable:
    """The records of all known members, including this process's own."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.changed_at: dict[str, float] = {}  # by key: ms of this process's clock, start of the state
        self.digest = 0  # the XOR of the digests of all records
        self.buckets = [0] * BUCKETS  # the same for the records of each bucket
        self.keys_by_bucket: list[dict[str, None]] = [{} for _ in range(BUCKETS)]
        # updates still to disseminate: key, and how often the record was sent
        self.pending: dict[str, int] = {}
        self.count = dict.fromkeys(State, 0)
        self.rejected = 0  # records of new members that were not accepted because of MAX_MEMBERS

    def put(self, now: float, record: Record, age: float = 0.0) -> Record | None:
        """Merges a record and returns the record that it replaced. `age`: ms since the member ended.

        Returns None if the record was not merged, or if the member had no record before. To tell these apart,
        the caller checks whether the key was and is in `records`.
        """
        key = record.key
        old = self.records.get(key)
        if old is not None and record.rank <= old.rank:
            return None
        if old is None and len(self.records) >= MAX_MEMBERS:
            self.rejected += 1
            return None
        if old is None and record.state in ENDED and age >= TOMBSTONE_LIFETIME - TOMBSTONE_MARGIN:
            # It has expired here, or soon will at every member. If it were accepted, members would send it to
            # each other without end.
            return None
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
        if age < MAX_UPDATE_AGE:
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
        """Removes expired tombstones."""
        ended = [k for k, r in self.records.items() if r.state in ENDED]
        for key in ended:
            if now - self.changed_at[key] > TOMBSTONE_LIFETIME:
                self.drop(key)

    def next_updates(self, max_count: int, first: Iterable[str] = ()) -> tuple[Record, ...]:
        """Up to `max_count` records to send now: those with keys in `first`, then the least sent ones."""
        chosen = [key for key in first if key in self.records][:max_count]
        limit = ceil(DISSEMINATION_FACTOR * log2(len(self.records) + 1))
        rest = sorted((key for key in self.pending if key not in chosen), key=self.pending.__getitem__)
        chosen += rest[: max_count - len(chosen)]
        for key in chosen:
            if key in self.pending:
                self.pending[key] += 1
                if self.pending[key] >= limit:
                    del self.pending[key]
        return tuple(self.records[key] for key in chosen)

    def differing_buckets(self, digests: Iterable[int]) -> tuple[int, ...]:
        """The buckets whose digests differ from another table's, of which `digests` lists all in order."""
        return tuple(n for n, digest in enumerate(digests) if digest != self.buckets[n])

    def records_in(self, buckets: Iterable[int]) -> tuple[Record, ...]:
        """All records in these buckets."""
        return tuple(self.records[key] for n in buckets for key in self.keys_by_bucket[n])

    def seconds_since_end(self, now: float, records: Iterable[Record]) -> tuple[int, ...]:
        """For each record the seconds since the member ended; 0 for members that have not ended."""
        return tuple(int((now - self.changed_at[r.key]) / 1000) if r.state in ENDED else 0 for r in records)

    def count_present(self) -> int:
        """The number of members that are not known to have ended."""
        return self.count[State.JOINING] + self.count[State.ALIVE] + self.count[State.SUSPECT]
