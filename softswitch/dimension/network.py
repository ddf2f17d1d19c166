"""Trunk groups with direct and overflow routes: what blocking given circuits have, from end to end.

A stream is offered to one group; a group may overflow to another, which itself does not (two stages, as in
alternate routing with high-usage and final groups). Parcels are told by mean and variance in erlangs.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from softswitch.dimension import peaked_traffic, widths
from softswitch.dimension.loss import OutOfRangeError, need


@dataclass(frozen=True, slots=True)
class Stream:
    """Traffic of one kind. `low` and `high` bound the estimate; 0: not known, the middle holds."""

    name: str
    group: str  # that it is offered to first
    erlangs: float
    target: float  # share that may be lost from end to end
    peakedness: float = 1.0
    low: float = 0.0
    high: float = 0.0

    def at(self, where: str) -> float:
        """Erlangs at the `low`, `middle` or `high` end of the estimate."""
        return {"low": self.low, "middle": self.erlangs, "high": self.high}[where] or self.erlangs


@dataclass(frozen=True, slots=True)
class Group:
    """A trunk group as it may be bought: whole modules up to `most` of them. `circuits` are there already and
    cost nothing; `reserve` of its circuits are kept for calls offered to it first.
    """

    name: str
    module: int = 1
    price: float = 1.0  # of one module
    most: int = 100  # modules
    overflow: str = ""
    reserve: int = 0
    circuits: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """What one group meets."""

    circuits: int
    offered: float  # erlangs, overflow of others in it
    peakedness: float
    blocking: float
    carried: float


@dataclass(frozen=True, slots=True)
class Service:
    """What given circuits do: loss from end to end by stream, and the load of each group."""

    lost: dict[str, float]  # share of the stream's calls
    loads: dict[str, Load]

    def missed(self, streams: Sequence[Stream], slack: float = 1e-9) -> list[str]:
        """Streams whose target is not met."""
        return [s.name for s in streams if self.lost[s.name] > s.target * (1 + slack)]


SPLIT = 0.8  # how far a parcel loses by its variance, against its mean: chosen by benchmarks/planning.py

Parcel = tuple[str, float, float]  # stream, mean, variance


def check(groups: Sequence[Group], streams: Sequence[Stream]) -> None:
    """OutOfRangeError with the name of what can't be: unknown or doubled names, routes of three stages,
    figures.
    """
    by_name = {g.name: g for g in groups}
    if (
        not groups
        or not streams
        or len(by_name) != len(groups)
        or len({s.name for s in streams}) != len(streams)
    ):
        raise OutOfRangeError("groups and streams: at least one of each, and no name twice")
    for g in groups:
        if g.overflow and (g.overflow not in by_name or g.overflow == g.name or by_name[g.overflow].overflow):
            raise OutOfRangeError(
                f"group {g.name}: overflow is {g.overflow!r}; it must name another group that has "
                "no overflow itself"
            )
        need(f"group {g.name}: module", g.module, 1, 100_000)
        need(f"group {g.name}: price", g.price, 0, 1e12)
        need(f"group {g.name}: most", g.most, 0, 100_000)
        need(f"group {g.name}: reserve", g.reserve, 0, 100_000)
        need(f"group {g.name}: circuits", g.circuits, 0, 1_000_000)
    for s in streams:
        if s.group not in by_name:
            raise OutOfRangeError(f"stream {s.name}: group is {s.group!r}, and there is none of that name")
        need(f"stream {s.name}: erlangs", s.erlangs, 0, 1e6, open_low=True)
        need(f"stream {s.name}: target", s.target, 0, 1, True, True)
        need(f"stream {s.name}: peakedness", s.peakedness, 1, 100)
        for name in ("low", "high"):
            need(f"stream {s.name}: {name}", getattr(s, name), 0, 1e6)


def overflowing(circuits: int, parcels: Sequence[Parcel]) -> tuple[list[Parcel], float, float]:
    """(what each parcel overflows, blocking of all, mean offered). The joint overflow is Wilkinson's.

    A parcel has of the lost traffic its share of the variance offered (the peakier finds the group full more
    often; Wilkinson 1956) for four parts in five and its share of the mean for the fifth, as Katz (ITC 1967)
    mixes both; and of the overflow's variance its share of the lost traffic.
    """
    mean, variance = peaked_traffic.combine(*((m, v) for _, m, v in parcels))
    if mean <= 0:
        return [(name, 0.0, 0.0) for name, _, _ in parcels], 0.0, 0.0
    if circuits <= 0:
        return list(parcels), 1.0, mean
    a, n = peaked_traffic.equivalent_random(mean, max(mean, variance))
    over, over_variance = peaked_traffic.overflow(n + circuits, a)
    lost = [min(m, over * (SPLIT * v / variance + (1 - SPLIT) * m / mean)) for _, m, v in parcels]
    total = sum(lost)
    shares = [x / total if total > 0 else 0.0 for x in lost]
    return (
        [
            (name, x, over_variance * part)
            for (name, _, _), x, part in zip(parcels, lost, shares, strict=True)
        ],
        over / mean,
        mean,
    )


def final_losses(
    circuits: int, reserve: int, first: Sequence[Parcel], rest: Sequence[Parcel]
) -> dict[str, float]:
    """Erlangs lost by each stream on a final group: `first` are offered to it, `rest` overflow to it."""
    if reserve <= 0 or not rest or circuits <= reserve:
        lost, _, _ = overflowing(circuits, [*first, *rest])
        return {name: m for name, m, _ in lost}
    own, other = (
        peaked_traffic.combine(*((m, v) for _, m, v in part)) if part else (0.0, 0.0)
        for part in (first, rest)
    )
    # The first-routed may be peaky too; the joint peakedness rules both.
    of_first, of_rest = widths.overflow_with_reserve(
        circuits, own[0], (other[0], other[1] + max(0.0, own[1] - own[0])), reserve
    )
    return {**{name: m * of_first for name, m, _ in first}, **{name: m * of_rest for name, m, _ in rest}}


def service(
    groups: Sequence[Group],
    streams: Sequence[Stream],
    circuits: Mapping[str, int],
    where: str = "middle",
    factor: float = 1.0,
) -> Service:
    """End-to-end loss with these circuits by group name; traffic at one end of its estimate, times a factor.

    Errors against simulation on drawn networks are in docs/design/trunk-dimensioning.md.
    Raises OutOfRangeError.
    """
    check(groups, streams)
    need("factor", factor, 0, 1e6)
    offered = {s.name: s.at(where) * factor for s in streams}
    parcels: dict[str, list[Parcel]] = {g.name: [] for g in groups}
    for s in streams:
        if offered[s.name] > 0:
            parcels[s.group].append((s.name, offered[s.name], offered[s.name] * s.peakedness))
    spilt: dict[str, list[Parcel]] = {g.name: [] for g in groups}
    lost: dict[str, float] = {s.name: 0.0 for s in streams}
    loads: dict[str, Load] = {}
    for g in sorted(groups, key=lambda g: not g.overflow):  # those that overflow come first
        n = circuits.get(g.name, 0)
        everything = parcels[g.name] + spilt[g.name]
        mean, variance = (
            peaked_traffic.combine(*((m, v) for _, m, v in everything)) if everything else (0.0, 0.0)
        )
        if g.overflow:
            over, share, _ = overflowing(n, everything)
            spilt[g.overflow] += [p for p in over if p[1] > 0]
        else:
            gone = final_losses(n, g.reserve, parcels[g.name], spilt[g.name])
            for name, m in gone.items():
                lost[name] += m
            share = sum(gone.values()) / mean if mean > 0 else 0.0
        loads[g.name] = Load(n, mean, variance / mean if mean > 0 else 1.0, share, mean * (1 - share))
    return Service(
        {name: min(1.0, x / offered[name]) if offered[name] > 0 else 0.0 for name, x in lost.items()}, loads
    )
