"""What an operator file may set. A table that the file leaves out is off.

Types and limits are checked by msgspec; what spans two fields is checked in `__post_init__`.
"""
from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated, Literal

from msgspec import Meta, Struct


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
            host, _, port = what.rpartition(":")
            if not 0 < int(port) < 65_536:
                raise ValueError(f"`{what}` has no port from 1 to 65535")
            try:
                IPv4Address(host)
            except ValueError:
                raise ValueError(f"`{what}` is no IPv4 address; no names are looked up") from None
        if self.address.startswith("0.0.0.0:"):
            raise ValueError("`address` is where the others reach this one; 0.0.0.0 is no such place")
        if self.answer_ms > self.period_ms / 2:
            raise ValueError("`answer_ms` is at most half of `period_ms`: the indirect probes need the rest")
        if not self.seeds and not self.folder:
            raise ValueError("`seeds` or `folder` is needed: else nobody is found")


class Logs(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How log lines are written."""

    form: Literal["plain", "json"] = "plain"


class Operator(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All tables of the file."""

    record: Record | None = None
    calls: Calls | None = None
    fleet: Fleet | None = None
    logs: Logs = Logs()
