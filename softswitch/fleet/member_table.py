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
KEPT_ENDED = 3_600_000.0
NEARLY = 60_000.0  # ms before the end of that life from which on a tombstone is taken from nobody any more
LATELY = 10_000.0  # ms; what came to its end longer ago is no news, and left to exchanges
MOST = 20_000  # members known, ended ones included; one more is not taken


def digest_of(record: Record) -> int:
    """Some bits of what two views have to agree on: who, in which incarnation and state."""
    said = f"{record.key} {record.incarnation} {int(record.state)} {record.boot}".encode()
    return int.from_bytes(blake2b(said, digest_size=8).digest(), "big") >> (64 - ID_BITS)


def bucket_of(key: str) -> int:
    """The bucket of a member's key, in which its digest is summed up."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS


class Table:
    """Owner of all records of other members and of the own one."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.since: dict[str, float] = {}  # ms; when the state that holds was learned here
        self.digest = 0
        self.buckets = [0] * BUCKETS
        self.inside: list[dict[str, None]] = [{} for _ in range(BUCKETS)]
        # times that the record was passed on; longer known than that: not in here
        self.fresh: dict[str, int] = {}
        self.count = dict.fromkeys(State, 0)
        self.turned_away = 0

    def put(self, now: float, record: Record, age: float = 0.0) -> Record | None:
        """Takes a record in; of an ended one, `age` ms ago. The one that held before where this one now holds
        instead; None if it changes nothing, or there was none: `key in records` tells which.
        """
        key = record.key
        old = self.records.get(key)
        if old is not None and record.rank <= old.rank:
            return None
        if old is None and len(self.records) >= MOST:
            self.turned_away += 1
            return None
        if old is None and record.state in ENDED and age >= KEPT_ENDED - NEARLY:
            return None  # dropped here, or about to be by all: it would go from one to the other without end
        bucket, change = bucket_of(key), digest_of(record)
        if old is not None:
            change ^= digest_of(old)
            self.count[old.state] -= 1
        if old is None or old.state is not record.state:
            self.since[key] = now - age
        self.count[record.state] += 1
        self.digest ^= change
        self.buckets[bucket] ^= change
        self.inside[bucket][key] = None
        self.records[key] = record
        if age < LATELY:
            self.fresh[key] = 0
        return old

    def drop(self, key: str) -> None:
        """Removes a member's record."""
        record = self.records.pop(key, None)
        if record is None:
            return
        self.count[record.state] -= 1
        self.digest ^= digest_of(record)
        self.buckets[bucket_of(key)] ^= digest_of(record)
        del self.inside[bucket_of(key)][key]
        del self.since[key]
        self.fresh.pop(key, None)

    def forget(self, now: float) -> None:
        """Tombstones whose life is over go."""
        ended = [k for k, r in self.records.items() if r.state in ENDED]
        for key in ended:
            if now - self.since[key] > KEPT_ENDED:
                self.drop(key)

    def news(self, most: int, first: Iterable[str] = ()) -> tuple[Record, ...]:
        """So many records to pass on now: `first` those asked for, then the ones passed on least."""
        chosen = [key for key in first if key in self.records][:most]
        limit = ceil(SPREAD * log2(len(self.records) + 1))
        rest = sorted((key for key in self.fresh if key not in chosen), key=self.fresh.__getitem__)
        chosen += rest[: most - len(chosen)]
        for key in chosen:
            if key in self.fresh:
                self.fresh[key] += 1
                if self.fresh[key] >= limit:
                    del self.fresh[key]
        return tuple(self.records[key] for key in chosen)

    def differing(self, buckets: Iterable[int]) -> tuple[int, ...]:
        """The buckets whose digests are others than these."""
        return tuple(n for n, digest in enumerate(buckets) if digest != self.buckets[n])

    def within(self, buckets: Iterable[int]) -> tuple[Record, ...]:
        """All records in these buckets."""
        return tuple(self.records[key] for n in buckets for key in self.inside[n])

    def ages(self, now: float, records: Iterable[Record]) -> tuple[int, ...]:
        """Seconds since each of these came to its end, 0 for those that have not."""
        return tuple(int((now - self.since[r.key]) / 1000) if r.state in ENDED else 0 for r in records)

    def present(self) -> int:
        """Members that are not known to have ended."""
        return self.count[State.JOINING] + self.count[State.ALIVE] + self.count[State.SUSPECT]
