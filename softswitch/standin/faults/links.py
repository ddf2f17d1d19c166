"""Faults that are on now: what a message between two processes meets, and whom they excuse.

Shared by the world on virtual time and by the relays between real processes, so that one schedule means the
same in both. Times in ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from softswitch.standin.faults.schedule import LINK_FAULTS, Fault, select_members

RECENTLY = 15_000.0  # ms after a fault in which those that it touched may still be accused for it


@dataclass(frozen=True, slots=True)
class Way:
    """What a message meets."""

    delay: float = 0.0  # ms
    lost: float = 0.0  # share
    double: bool = False
    spoilt: bool = False
    kb_s: float = 0.0  # 0: no limit


@dataclass(frozen=True, slots=True)
class On:
    """A fault of links that is on."""

    fault: Fault
    who: frozenset[str]
    other: frozenset[str]


class Links:
    """Owner of the faults that are on, and of when each process was last disturbed."""

    def __init__(self, sites: dict[str, str], rng: Random) -> None:
        self.sites, self.rng = sites, rng
        self.on: list[On] = []
        self.ended: dict[str, float] = dict.fromkeys(sites, -1e9)  # when it last ended, stopped or went on
        self.severed: dict[str, float] = dict.fromkeys(sites, -1e9)  # when a cut of its links began or ended
        self.away: set[str] = set()  # not started, ended, or stopped

    def begin(self, now: float, fault: Fault) -> On | None:
        """A fault of a schedule is due. What is given back is to be ended when its time is over."""
        who = select_members(fault.who, self.sites)
        if fault.what not in LINK_FAULTS:
            self.touch(now, who)
            return None
        other = select_members(fault.other, self.sites, who)
        made = On(fault, frozenset(who), frozenset(other))
        self.on.append(made)
        if fault.what.startswith("cut"):
            self.severed |= dict.fromkeys((*who, *other), now)
        return made

    def end(self, now: float, on: On) -> None:
        self.on.remove(on)
        if on.fault.what.startswith("cut"):
            self.severed |= dict.fromkeys(on.who | on.other, now)

    def touch(self, now: float, names: Iterable[str]) -> None:
        for name in names:
            self.ended[name] = now

    def way(self, src: str, dst: str) -> Way | None:
        """None: nothing passes."""
        if not self.on:
            return NOTHING
        delay, lost, double, spoilt, kb_s = 0.0, 0.0, False, False, 0.0
        for on in self.on:
            there, back = src in on.who and dst in on.other, src in on.other and dst in on.who
            if not there and not back:
                continue
            f = on.fault
            if f.what == "cut" or (f.what == "cut one way" and there):
                return None
            if f.what == "slow":
                delay += f.ms + self.rng.random() * f.jitter_ms
            elif f.what == "lose":
                lost = 1 - (1 - lost) * (1 - f.share)
            elif f.what == "spoil":
                spoilt |= self.rng.random() < f.share
            elif f.what == "double":
                double |= self.rng.random() < f.share
            elif f.what == "reorder":
                delay += self.rng.uniform(5.0, 80.0) if self.rng.random() < f.share else 0.0
            elif f.what == "limit":
                kb_s = min(kb_s or f.kb_s, f.kb_s)
        return Way(delay, lost, double, spoilt, kb_s)

    def excused(self, now: float, observer: str, about: str) -> bool:
        """Whether the one may call the other gone: it ended or was stopped, a cut stands or lately stood.
        That the observer itself was stopped is no excuse.
        """
        if about in self.away or observer in self.away:
            return True
        if max(self.ended[about], self.severed[about], self.severed[observer]) > now - RECENTLY:
            return True
        return any(on.fault.what.startswith("cut") and about in on.who | on.other for on in self.on)


NOTHING = Way()
