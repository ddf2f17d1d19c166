"""The link faults that are active now, their effect on a message, and the processes that they exempt.

The simulations on virtual time and the relays between real processes share this module, so that a schedule
has the same effect in both. Times are in ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from softswitch.standin.faults.schedule import LINK_FAULTS, Fault, select_members

EXEMPT_FOR = 15_000.0  # ms after a fault in which the affected processes may still be declared gone


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """The effect of all active faults on one message."""

    delay: float = 0.0  # ms
    loss_ratio: float = 0.0
    duplicated: bool = False
    corrupt: bool = False
    kb_s: float = 0.0  # max kilobytes per second; 0: no limit


@dataclass(frozen=True, slots=True)
class ActiveFault:
    """An active fault of the links between the members `who` and `other`."""

    fault: Fault
    who: frozenset[str]
    other: frozenset[str]


class Links:
    """The active faults, and when each process was last disturbed."""

    def __init__(self, sites: dict[str, str], rng: Random) -> None:
        self.sites, self.rng = sites, rng
        self.active: list[ActiveFault] = []
        self.disturbed_at: dict[str, float] = dict.fromkeys(sites, -1e9)  # last end, pause or resumption
        self.cut_at: dict[str, float] = dict.fromkeys(sites, -1e9)  # last begin or end of a cut of its links
        self.unavailable: set[str] = set()  # not started, ended or paused

    def begin(self, now: float, fault: Fault) -> ActiveFault | None:
        """Applies a fault. Returns a fault of links as an active fault, to be passed to `end` later."""
        who = select_members(fault.who, self.sites)
        if fault.what not in LINK_FAULTS:
            self.mark_disturbed(now, who)
            return None
        other = select_members(fault.other, self.sites, who)
        active = ActiveFault(fault, frozenset(who), frozenset(other))
        self.active.append(active)
        if fault.what.startswith("cut"):
            self.cut_at |= dict.fromkeys((*who, *other), now)
        return active

    def end(self, now: float, active: ActiveFault) -> None:
        """Ends an active fault."""
        self.active.remove(active)
        if active.fault.what.startswith("cut"):
            self.cut_at |= dict.fromkeys(active.who | active.other, now)

    def mark_disturbed(self, now: float, names: Iterable[str]) -> None:
        """Records that these processes ended, were paused or resumed."""
        for name in names:
            self.disturbed_at[name] = now

    def conditions(self, src: str, dst: str) -> LinkConditions | None:
        """Returns the effect of the active faults on a message; None if the link is cut."""
        if not self.active:
            return UNDISTURBED
        delay, loss_ratio, duplicated, corrupt, kb_s = 0.0, 0.0, False, False, 0.0
        for active in self.active:
            forward, backward = (
                src in active.who and dst in active.other,
                src in active.other and dst in active.who,
            )
            if not forward and not backward:
                continue
            f = active.fault
            if f.what == "cut" or (f.what == "cut one way" and forward):
                return None
            if f.what == "slow":
                delay += f.ms + self.rng.random() * f.jitter_ms
            elif f.what == "lose":
                loss_ratio = 1 - (1 - loss_ratio) * (1 - f.share)
            elif f.what == "spoil":
                corrupt |= self.rng.random() < f.share
            elif f.what == "double":
                duplicated |= self.rng.random() < f.share
            elif f.what == "reorder":
                delay += self.rng.uniform(5.0, 80.0) if self.rng.random() < f.share else 0.0
            elif f.what == "limit":
                kb_s = min(kb_s or f.kb_s, f.kb_s)
        return LinkConditions(delay, loss_ratio, duplicated, corrupt, kb_s)

    def is_exempt(self, now: float, observer: str, about: str) -> bool:
        """Whether a report of `observer` that the process `about` is gone is exempt from the check.

        It does if one of them is unavailable, if `about` was disturbed lately, or if a cut affects `about` or
        began or ended lately at one of them. An earlier pause of `observer` does not exempt its reports.
        """
        if about in self.unavailable or observer in self.unavailable:
            return True
        if max(self.disturbed_at[about], self.cut_at[about], self.cut_at[observer]) > now - EXEMPT_FOR:
            return True
        return any(
            active.fault.what.startswith("cut") and about in active.who | active.other
            for active in self.active
        )


UNDISTURBED = LinkConditions()
