"""What an operator file may set. A table that the file leaves out is off.

Types and limits are checked by msgspec; what spans two fields is checked in `__post_init__`.
"""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated, Literal

from msgspec import Meta, Struct, field


class Record(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The traffic record (docs/trunks.md)."""

    file: Annotated[str, Meta(min_length=1)]  # relative paths are beside the operator file
    interval_s: Annotated[float, Meta(ge=1, le=3600)] = 60.0  # one entry is written each
    slot_s: Annotated[float, Meta(ge=0.05, le=60)] = 1.0  # arrivals are counted by so fine a slot
    most_mb: Annotated[int, Meta(ge=1, le=4096)] = 64  # then the file is kept as FILE.1 and begun anew

    def __post_init__(self) -> None:
        slots = self.interval_s / self.slot_s
        if abs(slots - round(slots)) > 1e-6 or not 1 <= round(slots) <= 240:
            raise ValueError("`interval_s` holds a whole number of `slot_s`, 1 to 240 of them")


class Calls(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The lives of the last calls, for one that went wrong (docs/operation.md)."""

    keep: Annotated[int, Meta(ge=1, le=100_000)] = 4_096  # calls; some 1.5 KB each
    # Beside the operator file; a line a call, appended each so many s and at exit: a later line of a call
    # stands for the ones before. `{pid}` in the name is the process's number.
    file: str = ""
    every_s: Annotated[float, Meta(ge=0.1, le=3600)] = 5.0
    most_mb: Annotated[int, Meta(ge=1, le=4096)] = 64  # then nothing more is written there


Address = Annotated[str, Meta(min_length=3, max_length=64, pattern=r"^[0-9A-Za-z.\-]+:[0-9]{1,5}$")]


def reached(address: str) -> None:
    """ValueError unless that is where a process can be reached: IPv4 and a port, no names to look up."""
    host, _, port = address.rpartition(":")
    if not 0 < int(port) < 65_536:
        raise ValueError(f"`{address}` has no port from 1 to 65535")
    try:
        IPv4Address(host)
    except ValueError:
        raise ValueError(f"`{address}` is no IPv4 address; no names are looked up") from None


class Fleet(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The view of the fleet (docs/fleet-view.md)."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]  # of the fleet; members of another are refused
    address: Address  # where the others reach this one, by datagrams and connections
    site: Annotated[str, Meta(max_length=64)] = ""
    member: Annotated[str, Meta(max_length=64)] = ""  # this one's name; left out, the configuration's
    seeds: Annotated[tuple[Address, ...], Meta(max_length=64)] = ()  # members to ask first
    dial: dict[Address, Address] = {}  # where one is reached from here, if not at its address
    period_ms: Annotated[float, Meta(ge=100, le=60_000)] = 500.0  # between two probes
    answer_ms: Annotated[float, Meta(ge=20, le=20_000)] = 200.0  # for a direct answer
    folder: str = ""  # of the snapshot, beside this file; left out: none is kept

    def __post_init__(self) -> None:
        for what in (self.address, *self.seeds, *self.dial, *self.dial.values()):
            reached(what)
        if self.address.startswith("0.0.0.0:"):
            raise ValueError("`address` is where the others reach this one; 0.0.0.0 is no such place")
        if self.answer_ms > self.period_ms / 2:
            raise ValueError("`answer_ms` is at most half of `period_ms`: the indirect probes need the rest")
        if not self.seeds and not self.folder:
            raise ValueError("`seeds` or `folder` is needed: else nobody is found")


class Budget(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One budget of the whole fleet (docs/budgets.md)."""

    name: Annotated[str, Meta(min_length=1, max_length=32, pattern=r"^[0-9A-Za-z._\-]+$")]
    what: Literal["set-ups", "repeats", "cold", "probes"] = "set-ups"
    whole: Annotated[float, Meta(gt=0, le=1e6)] = 1.0  # a second; of cold and probes a share, 1 at most
    floor: Annotated[float, Meta(ge=0, le=1e6)] = 0.0  # of it for each of `allocation.members`, always
    over_s: Annotated[float, Meta(ge=0.2, le=60)] = 1.0  # the window in which no more than the whole is spent
    klass: Annotated[str, Meta(max_length=64)] = field(default="", name="class")
    engine: Annotated[str, Meta(max_length=64)] = ""

    def __post_init__(self) -> None:
        if self.what in ("cold", "probes"):
            if self.whole > 1 or self.klass:
                raise ValueError(
                    f"`{self.what}` is a share of what engines take: `whole` is 1 at most, and "
                    "no `class` is named"
                )
        elif self.slots(self.whole) < 1:
            raise ValueError("`whole` times `over_s` is less than one; make `over_s` longer")
        elif self.floor and not self.slots(self.floor):
            raise ValueError("`floor` times `over_s` is less than one; make `over_s` longer, or leave it out")

    def slots(self, figure: float) -> int:
        """Rounded down: the sum must not come out above what was meant."""
        each = 1000.0 if self.what in ("cold", "probes") else self.over_s
        return int(figure * each + 1e-9)


class Allocation(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Who divides the budgets, and who has a floor (docs/budgets.md)."""

    members: Annotated[tuple[Address, ...], Meta(max_length=10_000)] = ()  # fleet addresses that have a floor
    voters: Annotated[tuple[Address, ...], Meta(min_length=1, max_length=9)]  # who choose the allocator
    lease_s: Annotated[float, Meta(ge=1, le=120)] = 4.0  # that a part is granted for
    promise_s: Annotated[float, Meta(ge=0.5, le=60)] = 3.0  # that a voter keeps to one allocator
    drift: Annotated[float, Meta(ge=0, le=0.1)] = 0.01  # no clock runs faster or slower by more than this
    record: Annotated[int, Meta(ge=0, le=100_000)] = 0  # spendings kept by time, for checks

    def __post_init__(self) -> None:
        if len(set(self.voters)) != len(self.voters) or len(set(self.members)) != len(self.members):
            raise ValueError("`voters` and `members` name nobody twice")
        for address in (*self.voters, *self.members):
            reached(address)


class Logs(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How log lines are written."""

    form: Literal["plain", "json"] = "plain"


class Operator(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All tables of the file."""

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
        from softswitch.budgets.plan import make_plan  # its floors must not sum to more than the whole

        make_plan(self.budgets, self.allocation)
