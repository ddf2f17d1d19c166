"""`softswitch traffic`: traffic records."""

from __future__ import annotations

from typing import Annotated, Any

import orjson
import typer
from rich.console import Console
from rich.table import Table

from softswitch.cli import bad
from softswitch.measure.record import OTHER, OUTCOMES, histogram
from softswitch.measure.recordfile import RecordFileError, read


def application() -> typer.Typer:
    return app


app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False, help="Traffic records."
)


@app.callback()
def group() -> None:
    """Traffic records."""


def cell(number: int) -> str:
    return "other" if number == OTHER else "-" if number < 0 else str(number)


def summary(entries: list[dict[str, Any]]) -> dict[str, Any]:
    """Totals over all entries of a record: by route and class, and by cell and class."""
    routes: dict[tuple[int, int, str], dict[str, Any]] = {}
    seats: dict[tuple[int, str], dict[str, Any]] = {}
    span = sum(e["to"] - e["from"] for e in entries)
    for entry in entries:
        for r in entry["routes"]:
            seen = routes.setdefault(
                (r["tried"], r["took"], r["class"]), dict.fromkeys(OUTCOMES, 0) | {"delay": histogram()}
            )
            for what in OUTCOMES:
                seen[what] += r[what]
            if r["delay"]:
                seen["delay"].add(histogram(r["delay"]))
        for o in entry["occupied"]:
            seat = seats.setdefault(
                (o["cell"], o["class"]), {"call_ms": 0.0, "peak": 0, "ended": 0, "held": histogram()}
            )
            seat["call_ms"] += o["call_ms"]
            seat["ended"] += o["ended"]
            seat["peak"] = max(seat["peak"], o["peak"])
            if o["held"]:
                seat["held"].add(histogram(o["held"]))
    return {
        "seconds": span / 1000,
        "intervals": len(entries),
        "routes": [
            {
                "tried": t,
                "took": k,
                "class": c,
                **{w: s[w] for w in OUTCOMES},
                "delay_p50_ms": s["delay"].get_value_at_percentile(50),
                "delay_p99_ms": s["delay"].get_value_at_percentile(99),
            }
            for (t, k, c), s in sorted(routes.items())
        ],
        "cells": [
            {
                "cell": k,
                "class": c,
                "erlangs": s["call_ms"] / span if span else 0.0,
                "peak": s["peak"],
                "ended": s["ended"],
                "hold_s": s["call_ms"] / s["ended"] / 1000 if s["ended"] else None,
                "hold_p95_s": s["held"].get_value_at_percentile(95) / 1000,
            }
            for (k, c), s in sorted(seats.items())
        ],
    }


@app.command()
def show(
    file: Annotated[str, typer.Argument(help="a file that a softswitch wrote")],
    as_json: Annotated[bool, typer.Option("--json", help="one JSON object")] = False,
) -> None:
    """What a record holds: outcomes by route, load by cell."""
    try:
        contents = read(file)
    except RecordFileError as e:
        bad(e)
    told = summary(contents.entries)
    if as_json:
        print(orjson.dumps({"file": file, "cut": contents.stop_reason} | told).decode())
        return
    screen = Console()
    if contents.stop_reason:
        screen.print(f"{file}: {contents.stop_reason}", markup=False)
    screen.print(f"{told['intervals']} intervals, {told['seconds']:.0f} s")
    screen.print(routes_table(told["routes"]))
    screen.print(cells_table(told["cells"]))


def routes_table(rows: list[dict[str, Any]]) -> Table:
    seen = [w for w in OUTCOMES if any(r[w] for r in rows)]
    table = Table(
        "tried",
        "took",
        "class",
        *(w.replace("_", " ") for w in seen),
        "p50 ms",
        "p99 ms",
        title="set-ups by route",
    )
    for r in rows:
        table.add_row(
            cell(r["tried"]),
            cell(r["took"]),
            r["class"],
            *(str(r[w]) for w in seen),
            f"{r['delay_p50_ms']:.0f}",
            f"{r['delay_p99_ms']:.0f}",
        )
    return table


def cells_table(rows: list[dict[str, Any]]) -> Table:
    table = Table(
        "cell", "class", "erlangs", "peak", "ended", "mean hold s", "p95 hold s", title="calls that stood"
    )
    for s in rows:
        table.add_row(
            cell(s["cell"]),
            s["class"],
            f"{s['erlangs']:.2f}",
            str(s["peak"]),
            str(s["ended"]),
            f"{s['hold_s']:.2f}" if s["hold_s"] else "-",
            f"{s['hold_p95_s']:.2f}",
        )
    return table
