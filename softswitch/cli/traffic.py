"""`softswitch traffic`: shows traffic records, the files in which softswitches count their calls."""

from __future__ import annotations

from typing import Annotated, Any

import orjson
import typer
from rich.console import Console
from rich.table import Table

from softswitch.cli import exit_with_error
from softswitch.measure.record import OTHER, OUTCOMES, histogram
from softswitch.measure.recordfile import RecordFileError, read


def application() -> typer.Typer:
    """Returns the Typer application."""
    return app


app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Traffic records: files in which softswitches count their calls.",
)


@app.callback()
def group() -> None:
    """Traffic records: files in which softswitches count their calls (`record` in the operator file)."""


def format_cell(number: int) -> str:
    """Returns a cell's number as text; `other` for the cells beyond the record's limit, `-` for none."""
    return "other" if number == OTHER else "-" if number < 0 else str(number)


def summary(entries: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the totals over all entries of a record, by route and class, and by cell and class.

    A route is the pair of the first cell tried (`tried`) and the cell that accepted the call (`took`).
    """
    routes: dict[tuple[int, int, str], dict[str, Any]] = {}
    occupancies: dict[tuple[int, str], dict[str, Any]] = {}
    span = sum(e["to"] - e["from"] for e in entries)
    for entry in entries:
        for r in entry["routes"]:
            route = routes.setdefault(
                (r["tried"], r["took"], r["class"]), dict.fromkeys(OUTCOMES, 0) | {"delay": histogram()}
            )
            for outcome in OUTCOMES:
                route[outcome] += r[outcome]
            if r["delay"]:
                route["delay"].add(histogram(r["delay"]))
        for o in entry["occupied"]:
            occupancy = occupancies.setdefault(
                (o["cell"], o["class"]), {"call_ms": 0.0, "peak": 0, "ended": 0, "held": histogram()}
            )
            occupancy["call_ms"] += o["call_ms"]
            occupancy["ended"] += o["ended"]
            occupancy["peak"] = max(occupancy["peak"], o["peak"])
            if o["held"]:
                occupancy["held"].add(histogram(o["held"]))
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
            for (k, c), s in sorted(occupancies.items())
        ],
    }


@app.command()
def show(
    file: Annotated[str, typer.Argument(help="a traffic record written by a softswitch")],
    as_json: Annotated[bool, typer.Option("--json", help="one JSON object")] = False,
) -> None:
    """Shows the contents of a traffic record: outcomes by route, load by cell."""
    try:
        contents = read(file)
    except RecordFileError as e:
        exit_with_error(e)
    totals = summary(contents.entries)
    if as_json:
        print(orjson.dumps({"file": file, "cut": contents.stop_reason} | totals).decode())
        return
    console = Console()
    if contents.stop_reason:
        console.print(f"{file}: {contents.stop_reason}", markup=False)
    console.print(f"{totals['intervals']} intervals, {totals['seconds']:.0f} s")
    console.print(routes_table(totals["routes"]))
    console.print(cells_table(totals["cells"]))


def routes_table(rows: list[dict[str, Any]]) -> Table:
    """Returns a table of outcomes by route and class, with a column for each outcome that occurred."""
    occurred = [w for w in OUTCOMES if any(r[w] for r in rows)]
    table = Table(
        "tried",
        "took",
        "class",
        *(w.replace("_", " ") for w in occurred),
        "p50 ms",
        "p99 ms",
        title="call setups by route",
    )
    for r in rows:
        table.add_row(
            format_cell(r["tried"]),
            format_cell(r["took"]),
            r["class"],
            *(str(r[w]) for w in occurred),
            f"{r['delay_p50_ms']:.0f}",
            f"{r['delay_p99_ms']:.0f}",
        )
    return table


def cells_table(rows: list[dict[str, Any]]) -> Table:
    """Returns a table of load and holding times by cell and class."""
    table = Table(
        "cell", "class", "erlangs", "peak", "ended", "mean hold s", "p95 hold s", title="established calls"
    )
    for s in rows:
        table.add_row(
            format_cell(s["cell"]),
            s["class"],
            f"{s['erlangs']:.2f}",
            str(s["peak"]),
            str(s["ended"]),
            f"{s['hold_s']:.2f}" if s["hold_s"] else "-",
            f"{s['hold_p95_s']:.2f}",
        )
    return table
