"""Pictures of traffic and plans, by matplotlib without a screen."""

from __future__ import annotations

from typing import Any

from matplotlib.figure import Figure

from softswitch.cli.traffic import cell
from softswitch.dimension import network, peaked_traffic, planner
from softswitch.measure.streams import MeasuredTraffic


def over_time(found: MeasuredTraffic) -> Any:
    """First tries a second by stream, and calls up by cell, over time."""
    figure = Figure(figsize=(9, 6), layout="constrained")
    above, below = figure.subplots(2, 1)
    for stream in found.streams:
        width = max(1, len(stream.first_attempts) // 120)
        n = len(stream.first_attempts) // width
        rates = [
            sum(stream.first_attempts[k * width : (k + 1) * width]) / width / found.slot for k in range(n)
        ]
        above.step(
            [k * width * found.slot for k in range(n)],
            rates,
            where="post",
            label=f"{cell(stream.dest)}/{stream.call_class}",
        )
    above.set(xlabel="s", ylabel="first tries a second")
    above.legend(fontsize="small", ncols=3)
    for number, loads in sorted(found.erlangs.items()):
        below.step(
            range(len(loads)),
            loads,
            where="post",
            label=f"cell {cell(number)}, peak {found.peaks.get(number, 0)}",
        )
    below.set(xlabel="interval", ylabel="erlangs carried")
    below.legend(fontsize="small", ncols=3)
    return figure


def blocking_band(erlangs: float, low: float, high: float, peakedness: float) -> Any:
    """Blocking against circuits, with the band that the traffic's interval leaves and plain Erlang B."""
    top = int(peaked_traffic.circuits_for(high, 1e-3, peakedness)) + 2
    bottom = max(1, int(low * 0.6))
    at = list(range(bottom, top + 1, max(1, (top - bottom) // 60)))
    figure = Figure(figsize=(8, 5), layout="constrained")
    axes = figure.subplots()
    lines = [[peaked_traffic.blocking(n, a, peakedness) for n in at] for a in (low, erlangs, high)]
    axes.fill_between(at, lines[0], lines[2], alpha=0.25, label=f"{low:g} to {high:g} erlangs")
    axes.plot(at, lines[1], label=f"{erlangs:g} erlangs, Z {peakedness:g}")
    if peakedness != 1:
        axes.plot(
            at, [peaked_traffic.blocking(n, erlangs) for n in at], linestyle="--", label="plain Erlang B"
        )
    axes.set(xlabel="circuits", ylabel="blocking", yscale="log")
    axes.grid(alpha=0.3)
    axes.legend()
    return figure


def of_plan(groups: list[network.Group], found: planner.Plan, ends: dict[str, network.Service]) -> Any:
    """Circuits and carried load by group; loss of each stream over the estimate."""
    figure = Figure(figsize=(9, 6), layout="constrained")
    above, below = figure.subplots(2, 1)
    names = [g.name for g in groups]
    above.bar(names, [found.circuits[n] for n in names], label="circuits", alpha=0.4)
    above.bar(names, [found.service.loads[n].carried for n in names], width=0.5, label="erlangs carried")
    above.legend()
    streams = list(found.service.lost)
    for where, service in ends.items():
        below.plot(
            streams,
            [max(1e-6, service.lost[s]) for s in streams],
            marker="o",
            linestyle="",
            label=f"at the {where} end",
        )
    below.set(yscale="log", ylabel="lost from end to end")
    below.legend()
    for axes in (above, below):
        axes.tick_params(axis="x", rotation=45)
    return figure
