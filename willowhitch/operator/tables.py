"""What an operator file may set. A table that the file leaves out is off.

Types and limits are checked by msgspec; what spans two fields is checked in `__post_init__`.
"""
from __future__ import annotations

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


class Logs(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How log lines are written."""

    form: Literal["plain", "json"] = "plain"


class Operator(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All tables of the file."""

    record: Record | None = None
    calls: Calls | None = None
    logs: Logs = Logs()
