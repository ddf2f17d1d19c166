"""Figures of traffic and plans, drawn by matplotlib without a display."""

from __future__ import annotations

from typing import Any

from matplotlib.figure import Figure

from softswitch.cli.traffic import format_cell
from softswitch.dimension import network, peaked_traffic, planner
from softswitch.measure.streams import MeasuredTraffic


def plot_over_time(measured: MeasuredTraffic) -> Any:
    """Plots over time the first attempts per second of each stream and the established calls at each cell."""
    figure = Figure(figsize=(9, 6), layout="constrained")
    above, below = figure.subplots(2, 1)
    for stream in measured.streams:
        width = max(1, len(stream.first_attempts) // 120)
        n = len(stream.first_attempts) // width
        rates = [
            sum(stream.first_attempts[k * width : (k + 1) * width]) / width / measured.slot for k in range(n)
        ]
        above.step(
            [k * width * measured.slot for k in range(n)],
            rates,
            where="post",
            label=f"{format_cell(stream.dest)}/{stream.call_class}",
        )
    above.set(xlabel="s", ylabel="first attempts per second")
    above.legend(fontsize="small", ncols=3)
    for number, loads in sorted(measured.erlangs.items()):
        below.step(
            range(len(loads)),
            loads,
            where="post",
            label=f"cell {format_cell(number)}, peak {measured.peaks.get(number, 0)}",
        )
    below.set(xlabel="interval", ylabel="erlangs carried")
    below.legend(fontsize="small", ncols=3)
    return figure


def plot_blocking(erlangs: float, low: float, high: float, peakedness: float) -> Any:
    """Plots blocking against circuits, with the band of the traffic's confidence interval, and Erlang B."""
    top = int(peaked_traffic.circuits_for(high, 1e-3, peakedness)) + 2
    bottom = max(1, int(low * 0.6))
    circuits = list(range(bottom, top + 1, max(1, (top - bottom) // 60)))
    figure = Figure(figsize=(8, 5), layout="constrained")
    axes = figure.subplots()
    lines = [[peaked_traffic.blocking(n, a, peakedness) for n in circuits] for a in (low, erlangs, high)]
    axes.fill_between(circuits, lines[0], lines[2], alpha=0.25, label=f"{low:g} to {high:g} erlangs")
    axes.plot(circuits, lines[1], label=f"{erlangs:g} erlangs, Z {peakedness:g}")
    if peakedness != 1:
        axes.plot(
            circuits,
            [peaked_traffic.blocking(n, erlangs) for n in circuits],
            linestyle="--",
            label="plain Erlang B",
        )
    axes.set(xlabel="circuits", ylabel="blocking", yscale="log")
    axes.grid(alpha=0.3)
    axes.legend()
    return figure


def plot_plan(groups: list[network.Group], plan: planner.Plan, ends: dict[str, network.Service]) -> Any:
    """Plots circuits and carried load of each group, and the loss of each stream at each of `ends`.

    ends: the service with the traffic at the low end, the middle and the high end of its estimate, by name.
    """
    figure = Figure(figsize=(9, 6), layout="constrained")
    above, below = figure.subplots(2, 1)
    names = [g.name for g in groups]
    above.bar(names, [plan.circuits[n] for n in names], label="circuits", alpha=0.4)
    above.bar(names, [plan.service.loads[n].carried for n in names], width=0.5, label="erlangs carried")
    above.legend()
    streams = list(plan.service.lost)
    for end, service in ends.items():
        below.plot(
            streams,
            [max(1e-6, service.lost[s]) for s in streams],
            marker="o",
            linestyle="",
            label=f"at the {end} end",
        )
    below.set(yscale="log", ylabel="end-to-end loss")
    below.legend()
    for axes in (above, below):
        axes.tick_params(axis="x", rotation=45)
    return figure
