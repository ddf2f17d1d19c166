"""The tables of an operator file. A feature whose table is missing is disabled.

msgspec checks types and limits; `__post_init__` checks conditions on more than one field.
"""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated, Literal

from msgspec import Meta, Struct, field


class Record(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The traffic record (docs/trunks.md)."""

    file: Annotated[str, Meta(min_length=1)]  # relative to the directory of the operator file
    interval_s: Annotated[float, Meta(ge=1, le=3600)] = 60.0  # time between two entries of the file
    slot_s: Annotated[float, Meta(ge=0.05, le=60)] = 1.0  # an entry has the number of arrivals of each slot
    most_mb: Annotated[int, Meta(ge=1, le=4096)] = 64  # a file of this size is renamed to FILE.1

    def __post_init__(self) -> None:
        slots = self.interval_s / self.slot_s
        if abs(slots - round(slots)) > 1e-6 or not 1 <= round(slots) <= 240:
            raise ValueError("`interval_s` must be a whole number of `slot_s`, 1 to 240 of them")


class Calls(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The histories of the most recent calls, to analyze a failed call (docs/operation.md)."""

    keep: Annotated[int, Meta(ge=1, le=100_000)] = 4_096  # number of calls; about 1.5 KB each
    # Relative to the directory of the operator file. One line per call is appended every `every_s` and at
    # exit; a later line of a call replaces the earlier ones. `{pid}` stands for the process id.
    file: str = ""
    every_s: Annotated[float, Meta(ge=0.1, le=3600)] = 5.0
    most_mb: Annotated[int, Meta(ge=1, le=4096)] = 64  # nothing is appended to a file of this size


Address = Annotated[str, Meta(min_length=3, max_length=64, pattern=r"^[0-9A-Za-z.\-]+:[0-9]{1,5}$")]


def check_address(address: str) -> None:
    """Raises ValueError unless the address is an IPv4 address with a port; names are not resolved."""
    host, _, port = address.rpartition(":")
    if not 0 < int(port) < 65_536:
        raise ValueError(f"`{address}` has no port from 1 to 65535")
    try:
        IPv4Address(host)
    except ValueError:
        raise ValueError(f"`{address}` is no IPv4 address; names are not resolved") from None


class Fleet(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The view of the fleet (docs/fleet-view.md)."""

    # Name of the fleet; members of other fleets are rejected.
    name: Annotated[str, Meta(min_length=1, max_length=64)]
    address: Address  # of this member, for the datagrams and the connections of other members
    site: Annotated[str, Meta(max_length=64)] = ""
    member: Annotated[str, Meta(max_length=64)] = ""  # name of this member; default: from the configuration
    seeds: Annotated[tuple[Address, ...], Meta(max_length=64)] = ()  # members to contact first
    dial: dict[Address, Address] = {}  # member address -> address to use from here, if it differs
    period_ms: Annotated[float, Meta(ge=100, le=60_000)] = 500.0  # time between two probes
    answer_ms: Annotated[float, Meta(ge=20, le=20_000)] = 200.0  # timeout of a direct probe
    # Directory of the snapshot of known members, relative to that of the operator file; empty: no snapshot.
    folder: str = ""

    def __post_init__(self) -> None:
        for member_address in (self.address, *self.seeds, *self.dial, *self.dial.values()):
            check_address(member_address)
        if self.address.startswith("0.0.0.0:"):
            raise ValueError("`address` is where the other members reach this one; 0.0.0.0 is no such place")
        if self.answer_ms > self.period_ms / 2:
            raise ValueError(
                "`answer_ms` must be at most half of `period_ms`: indirect probes use the other half"
            )
        if not self.seeds and not self.folder:
            raise ValueError("`seeds` or `folder` is needed to find other members")


class Budget(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One budget: a limit that the members of the fleet keep together (docs/budgets.md)."""

    name: Annotated[str, Meta(min_length=1, max_length=32, pattern=r"^[0-9A-Za-z._\-]+$")]
    # What is limited: first attempts of calls, retries, call setups that warming engines can take, probes.
    what: Literal["set-ups", "repeats", "cold", "probes"] = "set-ups"
    # Total per second; for cold and probes a fraction, 1 at most, of what engines accept.
    whole: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    floor: Annotated[float, Meta(ge=0, le=1e6)] = 0.0  # reserved part for each of `allocation.members`
    over_s: Annotated[float, Meta(ge=0.2, le=60)] = 1.0  # window in which the total must not be exceeded
    klass: Annotated[str, Meta(max_length=64)] = field(default="", name="class")  # empty: all classes
    engine: Annotated[str, Meta(max_length=64)] = ""  # empty: all engines

    def __post_init__(self) -> None:
        if self.what in ("cold", "probes"):
            if self.whole > 1 or self.klass:
                raise ValueError(
                    f"`{self.what}` is a fraction of what engines accept: `whole` is 1 at most, and "
                    "`class` is not allowed"
                )
        elif self.slots(self.whole) < 1:
            raise ValueError("`whole` times `over_s` is less than one; make `over_s` longer")
        elif self.floor and not self.slots(self.floor):
            raise ValueError("`floor` times `over_s` is less than one; make `over_s` longer, or leave it out")

    def slots(self, amount: float) -> int:
        """Converts an amount to slots, rounded down so that the sum does not exceed the configured total."""
        slots_per_unit = 1000.0 if self.what in ("cold", "probes") else self.over_s
        return int(amount * slots_per_unit + 1e-9)


class Allocation(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The members with a floor, and the voters that elect the allocator of the budgets (docs/budgets.md)."""

    members: Annotated[tuple[Address, ...], Meta(max_length=10_000)] = ()  # fleet addresses with a floor
    voters: Annotated[tuple[Address, ...], Meta(min_length=1, max_length=9)]  # elect the allocator
    lease_s: Annotated[float, Meta(ge=1, le=120)] = 4.0  # term of the lease of an allocation
    promise_s: Annotated[float, Meta(ge=0.5, le=60)] = 3.0  # time that a voter is bound to one allocator
    drift: Annotated[float, Meta(ge=0, le=0.1)] = 0.01  # max relative error of the rate of a member's clock
    record: Annotated[int, Meta(ge=0, le=100_000)] = 0  # max uses retained with their time, for checks

    def __post_init__(self) -> None:
        if len(set(self.voters)) != len(self.voters) or len(set(self.members)) != len(self.members):
            raise ValueError("`voters` and `members` must not have duplicates")
        for address in (*self.voters, *self.members):
            check_address(address)


class Logs(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The format of log lines."""

    form: Literal["plain", "json"] = "plain"


class Operator(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All tables of an operator file."""

    record: Record | None = None
    calls: Calls | None = None
    fleet: Fleet | None = None
    budgets: Annotated[tuple[Budget, ...], Meta(min_length=1, max_length=16)] | None = None
    allocation: Allocation | None = None
    logs: Logs = Logs()

    def __post_init__(self) -> None:
        if self.budgets is None:
            return
        if self.fleet is None:
            raise ValueError("`budgets` needs `fleet`: they are divided among its members")
        if self.allocation is None:
            raise ValueError("`budgets` needs `allocation`, with `voters` at least")
        from softswitch.budgets.plan import make_plan  # rejects floors that sum to more than the total

        make_plan(self.budgets, self.allocation)
