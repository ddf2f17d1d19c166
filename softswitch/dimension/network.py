"""End-to-end blocking of trunk groups with direct and overflow routes.

A stream is offered to one group. A group may overflow to another group, which has no overflow itself: two
stages, as in alternate routing with high-usage and final groups. Parcels of traffic are described by mean and
variance in erlangs.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from softswitch.dimension import peaked_traffic, widths
from softswitch.dimension.loss import OutOfRangeError, check_range


@dataclass(frozen=True, slots=True)
class Stream:
    """A traffic stream. `low` and `high` bound the estimate of its erlangs; 0 means the same as `erlangs`."""

    name: str
    group: str  # the group that it is offered to first
    erlangs: float
    target: float  # max end-to-end loss, as a fraction
    peakedness: float = 1.0
    low: float = 0.0
    high: float = 0.0

    def erlangs_at(self, point: str) -> float:
        """Returns the erlangs at the `low`, `middle` or `high` point of the estimate."""
        return {"low": self.low, "middle": self.erlangs, "high": self.high}[point] or self.erlangs


@dataclass(frozen=True, slots=True)
class Group:
    """A trunk group that can be extended by up to `max_modules` modules.

    `circuits` are installed already and cost nothing. `reserve` circuits are reserved for calls that are
    offered to this group first.
    """

    name: str
    module: int = 1  # circuits of one module
    price: float = 1.0  # of one module
    max_modules: int = 100
    overflow: str = ""
    reserve: int = 0
    circuits: int = 0


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Traffic and blocking of one group."""

    circuits: int
    offered: float  # erlangs, with the overflow of other groups
    peakedness: float
    blocking: float
    carried: float


@dataclass(frozen=True, slots=True)
class Service:
    """End-to-end loss by stream and load by group, for given circuits."""

    lost: dict[str, float]  # fraction of the calls of the stream
    loads: dict[str, GroupLoad]

    def missed(self, streams: Sequence[Stream], slack: float = 1e-9) -> list[str]:
        """Returns the names of the streams whose target is not met."""
        return [s.name for s in streams if self.lost[s.name] > s.target * (1 + slack)]


# Weight of the variance against the mean where lost traffic is divided among parcels; chosen by
# benchmarks/planning.py.
VARIANCE_WEIGHT = 0.8

Parcel = tuple[str, float, float]  # stream, mean, variance


def check(groups: Sequence[Group], streams: Sequence[Stream]) -> None:
    """Raises OutOfRangeError for unknown or duplicate names, routes of three stages, and invalid values.

    The messages name the fields as a plan file does: `most` is `max_modules`.
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
        check_range(f"group {g.name}: module", g.module, 1, 100_000)
        check_range(f"group {g.name}: price", g.price, 0, 1e12)
        check_range(f"group {g.name}: most", g.max_modules, 0, 100_000)
        check_range(f"group {g.name}: reserve", g.reserve, 0, 100_000)
        check_range(f"group {g.name}: circuits", g.circuits, 0, 1_000_000)
    for s in streams:
        if s.group not in by_name:
            raise OutOfRangeError(f"stream {s.name}: group is {s.group!r}, which does not exist")
        check_range(f"stream {s.name}: erlangs", s.erlangs, 0, 1e6, exclude_low=True)
        check_range(f"stream {s.name}: target", s.target, 0, 1, True, True)
        check_range(f"stream {s.name}: peakedness", s.peakedness, 1, 100)
        for name in ("low", "high"):
            check_range(f"stream {s.name}: {name}", getattr(s, name), 0, 1e6)


def split_overflow(circuits: int, parcels: Sequence[Parcel]) -> tuple[list[Parcel], float, float]:
    """Returns (overflow of each parcel, joint blocking, mean offered).

    The joint overflow is by Wilkinson's method. Four fifths of the lost traffic are divided among the parcels
    in proportion to their variance, since a peakier parcel finds the group full more often (Wilkinson 1956),
    and one fifth in proportion to their mean. Katz (ITC 1967) combines both in this way. The variance of the
    overflow is divided in proportion to the lost traffic.
    """
    mean, variance = peaked_traffic.combine(*((m, v) for _, m, v in parcels))
    if mean <= 0:
        return [(name, 0.0, 0.0) for name, _, _ in parcels], 0.0, 0.0
    if circuits <= 0:
        return list(parcels), 1.0, mean
    a, n = peaked_traffic.equivalent_random(mean, max(mean, variance))
    overflow, overflow_variance = peaked_traffic.overflow(n + circuits, a)
    lost = [
        min(m, overflow * (VARIANCE_WEIGHT * v / variance + (1 - VARIANCE_WEIGHT) * m / mean))
        for _, m, v in parcels
    ]
    total = sum(lost)
    fractions = [x / total if total > 0 else 0.0 for x in lost]
    return (
        [
            (name, x, overflow_variance * fraction)
            for (name, _, _), x, fraction in zip(parcels, lost, fractions, strict=True)
        ],
        overflow / mean,
        mean,
    )


def final_losses(
    circuits: int, reserve: int, direct: Sequence[Parcel], overflow: Sequence[Parcel]
) -> dict[str, float]:
    """Returns the erlangs that each stream loses on a final group.

    The `direct` parcels are offered to the group first, the `overflow` parcels come from other groups.
    """
    if reserve <= 0 or not overflow or circuits <= reserve:
        lost, _, _ = split_overflow(circuits, [*direct, *overflow])
        return {name: m for name, m, _ in lost}
    own, other = (
        peaked_traffic.combine(*((m, v) for _, m, v in parcels)) if parcels else (0.0, 0.0)
        for parcels in (direct, overflow)
    )
    # The direct traffic may be peaky too. Its excess variance is added to that of the overflow, since the
    # joint peakedness determines the blocking of both.
    direct_blocking, overflow_blocking = widths.overflow_with_reserve(
        circuits, own[0], (other[0], other[1] + max(0.0, own[1] - own[0])), reserve
    )
    return {
        **{name: m * direct_blocking for name, m, _ in direct},
        **{name: m * overflow_blocking for name, m, _ in overflow},
    }


def compute_service(
    groups: Sequence[Group],
    streams: Sequence[Stream],
    circuits: Mapping[str, int],
    point: str = "middle",
    factor: float = 1.0,
) -> Service:
    """Returns the end-to-end loss with the given circuits by group name.

    The traffic is taken at one point of its estimate and multiplied by the factor. Errors against simulation
    on random networks are in docs/design/trunk-dimensioning.md. Raises OutOfRangeError.
    """
    check(groups, streams)
    check_range("factor", factor, 0, 1e6)
    offered = {s.name: s.erlangs_at(point) * factor for s in streams}
    parcels: dict[str, list[Parcel]] = {g.name: [] for g in groups}
    for s in streams:
        if offered[s.name] > 0:
            parcels[s.group].append((s.name, offered[s.name], offered[s.name] * s.peakedness))
    overflowed: dict[str, list[Parcel]] = {g.name: [] for g in groups}
    lost: dict[str, float] = {s.name: 0.0 for s in streams}
    loads: dict[str, GroupLoad] = {}
    for g in sorted(groups, key=lambda g: not g.overflow):  # groups with an overflow first
        n = circuits.get(g.name, 0)
        offered_parcels = parcels[g.name] + overflowed[g.name]
        mean, variance = (
            peaked_traffic.combine(*((m, v) for _, m, v in offered_parcels))
            if offered_parcels
            else (0.0, 0.0)
        )
        if g.overflow:
            overflow, blocking, _ = split_overflow(n, offered_parcels)
            overflowed[g.overflow] += [p for p in overflow if p[1] > 0]
        else:
            lost_here = final_losses(n, g.reserve, parcels[g.name], overflowed[g.name])
            for name, m in lost_here.items():
                lost[name] += m
            blocking = sum(lost_here.values()) / mean if mean > 0 else 0.0
        loads[g.name] = GroupLoad(
            n, mean, variance / mean if mean > 0 else 1.0, blocking, mean * (1 - blocking)
        )
    return Service(
        {name: min(1.0, x / offered[name]) if offered[name] > 0 else 0.0 for name, x in lost.items()}, loads
    )
