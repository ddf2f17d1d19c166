"""`softswitch soak`: real softswitches among stand-ins, drawn from a seed, held against every rule."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any

import orjson
import typer
from rich.console import Console
from rich.table import Table

from softswitch.cli import bad
from softswitch.standin.soak.plan import generate_plan
from softswitch.standin.soak.run import Soak

GRACE = 90.0  # s beyond its length that a soak may take to start and to end
SHOWN_BROKEN = 5  # broken rules of a seed, with the last events of their calls

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

Report = dict[str, Any]  # one outcome as JSON has it


def application() -> typer.Typer:
    """The command."""
    return app


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="the first seed; it draws all that is played")] = 1,
    seeds: Annotated[int, typer.Option(help="how many, one after the other", min=1, max=10_000)] = 1,
    seconds: Annotated[float, typer.Option(help="how long calls come, for each", min=10, max=86_400)] = 25.0,
    jobs: Annotated[int, typer.Option(help="seeds side by side", min=1, max=64)] = 1,
    plant: Annotated[str, typer.Option(help="a fault to plant in the softswitches; `list` names them")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="one JSON object a line, no table")] = False,
) -> None:
    """Plays soaks. Exit 0 only if no rule was broken."""
    _check_plant(plant)
    if seeds == 1:
        reports = [orjson.loads(orjson.dumps(Soak(generate_plan(seed, seconds), plant).run().report()))]
    else:
        with ThreadPoolExecutor(jobs) as pool:
            reports = list(pool.map(lambda n: _play_apart(n, seconds, plant), range(seed, seed + seeds)))
    if as_json:
        for report in reports:
            print(orjson.dumps(report).decode())
    else:
        Console(width=160).print(_table(reports))
        for report in reports:
            _print_broken(report)
    raise SystemExit(1 if any(report["broken"] for report in reports) else 0)


def _check_plant(plant: str) -> None:
    if not plant:
        return
    from softswitch.standin.soak.planted import FAULTS  # loads the program

    if plant not in FAULTS:
        bad(f"--plant {plant}: one of {', '.join(FAULTS)}")


def _play_apart(seed: int, seconds: float, plant: str) -> Report:
    """One seed in a process of its own."""
    words = ["soak", "--seed", str(seed), "--seconds", str(seconds), "--plant", plant, "--json"]
    command = [sys.executable, "-m", "softswitch.cli", *words]
    done = subprocess.run(command, capture_output=True, text=True, timeout=seconds + GRACE)
    try:
        report: Report = orjson.loads(done.stdout)
    except orjson.JSONDecodeError:
        bad(f"seed {seed} ended with {done.returncode}: {done.stderr[-500:]}")
    return report


def _table(reports: list[Report]) -> Table:
    table = Table(title="Soaks")
    for name in (
        "seed",
        "processes",
        "calls",
        "answers",
        "late",
        "attempts",
        "releases",
        "signals",
        "broken",
    ):
        table.add_column(name, justify="left" if name in ("signals", "broken") else "right")
    for report in reports:
        signals = ", ".join(f"{name} {n}" for name, n in sorted(report["signals"].items()))
        kinds = sorted({broken["rule"] for broken in report["broken"]})
        figures = (report[name] for name in ("processes", "calls", "answers", "late", "attempts", "releases"))
        broken = f"{len(report['broken'])}: {'; '.join(kinds)}" if kinds else "none"
        table.add_row(str(report["plan"]["seed"]), *map(str, figures), signals, broken)
    return table


def _print_broken(report: Report) -> None:
    for broken in report["broken"][:SHOWN_BROKEN]:
        print(f"seed {report['plan']['seed']}: {broken['rule']}: {broken['who']}: {broken['detail']}")
        for event in broken["events"]:
            print(f"    {event}")
