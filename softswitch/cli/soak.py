"""`softswitch soak`: runs softswitch processes with stand-ins on generated plans and checks all rules.

A soak is one such run. Its plan (traffic, signals to processes, faults) is generated from a seed.
"""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any

import orjson
import typer
from rich.console import Console
from rich.table import Table

from softswitch.cli import exit_with_error
from softswitch.standin.soak.plan import generate_plan
from softswitch.standin.soak.run import Soak

START_AND_END_TIMEOUT = 90.0  # s that a soak may take to start and to end, besides its duration
MAX_SHOWN_VIOLATIONS = 5  # per seed, each with the last events of its call

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

Report = dict[str, Any]  # the outcome of one soak, as in the JSON output


def application() -> typer.Typer:
    """Returns the Typer application."""
    return app


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="the first seed; each determines the plan of a soak")] = 1,
    seeds: Annotated[int, typer.Option(help="number of consecutive seeds", min=1, max=10_000)] = 1,
    seconds: Annotated[
        float, typer.Option(help="seconds of traffic for each seed", min=10, max=86_400)
    ] = 25.0,
    jobs: Annotated[int, typer.Option(help="number of seeds that run in parallel", min=1, max=64)] = 1,
    plant: Annotated[str, typer.Option(help="a fault to inject; `list` shows all names")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="one JSON object per line, no table")] = False,
) -> None:
    """Runs soaks. A soak runs softswitch processes with simulated callers and engines on a plan that is
    generated from a seed, and checks all rules.

    Exits with 0 only if no rule was violated.
    """
    _check_plant(plant)
    if seeds == 1:
        reports = [orjson.loads(orjson.dumps(Soak(generate_plan(seed, seconds), plant).run().report()))]
    else:
        with ThreadPoolExecutor(jobs) as pool:
            reports = list(pool.map(lambda n: _run_in_process(n, seconds, plant), range(seed, seed + seeds)))
    if as_json:
        for report in reports:
            print(orjson.dumps(report).decode())
    else:
        Console(width=160).print(_table(reports))
        for report in reports:
            _print_violations(report)
    raise SystemExit(1 if any(report["broken"] for report in reports) else 0)


def _check_plant(plant: str) -> None:
    if not plant:
        return
    from softswitch.standin.soak.planted import FAULTS  # imports the whole softswitch

    if plant not in FAULTS:
        exit_with_error(f"--plant {plant}: must be one of {', '.join(FAULTS)}")


def _run_in_process(seed: int, seconds: float, plant: str) -> Report:
    """Runs the soak of one seed in a separate process."""
    arguments = ["soak", "--seed", str(seed), "--seconds", str(seconds), "--plant", plant, "--json"]
    command = [sys.executable, "-m", "softswitch.cli", *arguments]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=seconds + START_AND_END_TIMEOUT
    )
    try:
        report: Report = orjson.loads(completed.stdout)
    except orjson.JSONDecodeError:
        exit_with_error(f"seed {seed}: exit code {completed.returncode}: {completed.stderr[-500:]}")
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
        rules = sorted({violation["rule"] for violation in report["broken"]})
        figures = (report[name] for name in ("processes", "calls", "answers", "late", "attempts", "releases"))
        violations = f"{len(report['broken'])}: {'; '.join(rules)}" if rules else "none"
        table.add_row(str(report["plan"]["seed"]), *map(str, figures), signals, violations)
    return table


def _print_violations(report: Report) -> None:
    for violation in report["broken"][:MAX_SHOWN_VIOLATIONS]:
        print(
            f"seed {report['plan']['seed']}: {violation['rule']}: {violation['who']}: {violation['detail']}"
        )
        for event in violation["events"]:
            print(f"    {event}")
