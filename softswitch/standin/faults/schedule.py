"""Schedules of faults: typed lists, read from JSON or generated from a seed.

    [{"at_s": 3, "what": "cut", "who": ["site:a"], "other": ["site:b", "site:c"], "for_s": 6},
     {"at_s": 5, "what": "kill", "who": ["n3"], "for_s": 4}]

`who` and `other` select members: a name, `site:NAME`, `rest` (all that `who` does not select) or `all`.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

LINK_FAULTS = ("cut", "cut one way", "slow", "lose", "double", "reorder", "spoil", "limit")
DISK_FAULTS = ("disk full", "disk read-only", "disk slow")
What = Literal[
    "cut",
    "cut one way",  # from `who` to `other`
    "slow",  # delay messages
    "lose",  # drop messages
    "double",  # duplicate messages
    "reorder",
    "spoil",  # corrupt messages
    "limit",  # limit the rate
    "kill",  # the process is started again after `for_s`, if given
    "stop",  # the process is paused
    "restart",  # planned stop; the process is started again after `for_s`
    "leave",  # planned stop; the process is started again after `for_s`, if given
    "disk full",
    "disk read-only",
    "disk slow",
    "flood",  # random datagrams to the process
]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]


class Fault(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One fault of a schedule. `__post_init__` checks the fields that its type, `what`, requires."""

    at_s: Seconds  # start, since the start of the run
    what: What
    who: Annotated[tuple[str, ...], Meta(min_length=1, max_length=1_000)]
    other: tuple[str, ...] = ("rest",)  # the far ends of the links
    for_s: Seconds = 0.0  # duration; 0: until the end of the run
    share: Annotated[float, Meta(ge=0, le=1)] = 0.0  # lose, double, reorder, spoil: fraction of messages
    ms: Annotated[float, Meta(ge=0, le=60_000)] = 0.0  # slow: delay; disk slow: delay of each write
    jitter_ms: Annotated[float, Meta(ge=0, le=60_000)] = 0.0  # slow: max additional random delay
    kb_s: Annotated[float, Meta(ge=0)] = 0.0  # limit: kilobytes per second on each link
    per_s: Annotated[float, Meta(ge=0, le=100_000)] = 0.0  # flood: datagrams per second

    def __post_init__(self) -> None:
        if self.what in ("lose", "double", "reorder", "spoil") and not self.share:
            raise ValueError(f"`{self.what}` needs a `share` above 0")
        if self.what == "slow" and not self.ms + self.jitter_ms:
            raise ValueError("`slow` needs `ms` or `jitter_ms`")
        if self.what == "limit" and not self.kb_s:
            raise ValueError("`limit` needs `kb_s` above 0")
        if self.what == "flood" and not self.per_s:
            raise ValueError("`flood` needs `per_s` above 0")
        if self.what in ("stop", "restart") and not self.for_s:
            raise ValueError(f"`{self.what}` needs `for_s` above 0")

    @property
    def ends_s(self) -> float | None:
        """End of the fault; None if it lasts until the end of the run."""
        return self.at_s + self.for_s if self.for_s else None


class ScheduleError(Exception):
    """A schedule that can't be run. The message names the fault and the reason."""


def select_members(
    selectors: Sequence[str], sites: dict[str, str], excluded: Sequence[str] = ()
) -> list[str]:
    """Returns the members that the selectors match; `rest` matches all but `excluded`.

    `sites` maps each member to its site.
    """
    found: dict[str, None] = {}
    for selector in selectors:
        if selector == "all":
            found |= dict.fromkeys(sites)
        elif selector == "rest":
            found |= dict.fromkeys(n for n in sites if n not in excluded)
        elif selector.startswith("site:"):
            in_site = [n for n, site in sites.items() if site == selector[5:]]
            if not in_site:
                known_sites = ", ".join(sorted(set(sites.values())))
                raise ScheduleError(f"no member in {selector!r}; there are sites {known_sites}")
            found |= dict.fromkeys(in_site)
        elif selector in sites:
            found[selector] = None
        else:
            raise ScheduleError(f"{selector!r} is no member, `site:NAME`, `rest` or `all`")
    return list(found)


def read_schedule(path: str | Path, sites: dict[str, str]) -> list[Fault]:
    """Reads a schedule from a JSON file.

    Raises ScheduleError, with a message of one line, if it can't be run with these members.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as e:
        raise ScheduleError(f"{path}: can't be read: {e.strerror}") from None
    return parse_schedule(data, str(path), sites)


def parse_schedule(data: bytes, name: str, sites: dict[str, str]) -> list[Fault]:
    """Parses a schedule and sorts it by time; `name`, such as the path, starts the error messages."""
    try:
        faults = msgspec.json.decode(data, type=list[Fault])
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as e:
        raise ScheduleError(f"{name}: {e}") from None
    for n, fault in enumerate(faults):
        try:
            who = select_members(fault.who, sites)
            if fault.what in LINK_FAULTS:
                select_members(fault.other, sites, who)
        except ScheduleError as e:
            raise ScheduleError(f"{name}: fault {n + 1} ({fault.what} at {fault.at_s:g} s): {e}") from None
    return sorted(faults, key=lambda f: f.at_s)


def generate_schedule(
    seed: int, names: Sequence[str], sites: dict[str, str], seconds: float, settling_time: float = 12.0
) -> list[Fault]:
    """Generates a schedule of one to five faults that may overlap.

    Faults with a duration end `settling_time` seconds or more before the end of the run, so that all views
    can settle. Processes that leave, or are killed without a duration, stay down.
    """
    rng = Random(seed)
    faults: list[Fault] = []
    last_end = seconds - settling_time
    site_names = sorted(set(sites.values()))
    for _ in range(rng.randint(1, 5)):
        start = round(rng.uniform(2.0, max(2.5, last_end - 3.0)), 2)
        duration = round(rng.uniform(0.5, max(0.6, last_end - start)), 2)
        what: Any = rng.choice(
            (
                "kill",
                "kill",
                "stop",
                "restart",
                "leave",
                "cut",
                "cut",
                "cut one way",
                "lose",
                "slow",
                "double",
                "reorder",
                "spoil",
            )
        )
        members = tuple(rng.sample(list(names), rng.randint(1, max(1, len(names) // 3))))
        who: tuple[str, ...] = members
        if what.startswith("cut") and rng.random() < 0.6:
            who = (f"site:{rng.choice(site_names)}",)
        if what == "kill":
            faults.append(Fault(at_s=start, what=what, who=who, for_s=rng.choice((0.0, duration))))
        elif what in ("stop", "restart"):
            faults.append(
                Fault(at_s=start, what="stop" if what == "stop" else "restart", who=who, for_s=duration)
            )
        elif what == "leave":
            faults.append(Fault(at_s=start, what="leave", who=who[:1]))
        elif what == "cut" or what == "cut one way":
            faults.append(
                Fault(at_s=start, what="cut" if what == "cut" else "cut one way", who=who, for_s=duration)
            )
        elif what == "slow":
            faults.append(
                Fault(
                    at_s=start,
                    what="slow",
                    who=who,
                    for_s=duration,
                    ms=rng.choice((5, 60)),
                    jitter_ms=rng.choice((0, 30, 120)),
                )
            )
        elif what == "lose":
            faults.append(
                Fault(at_s=start, what="lose", who=who, for_s=duration, share=rng.choice((0.05, 0.2, 0.3)))
            )
        elif what == "double":
            faults.append(Fault(at_s=start, what="double", who=who, for_s=duration, share=0.3))
        elif what == "reorder":
            faults.append(Fault(at_s=start, what="reorder", who=who, for_s=duration, share=0.3))
        else:
            faults.append(Fault(at_s=start, what="spoil", who=who, for_s=duration, share=0.2))
    return sorted(faults, key=lambda f: f.at_s)
