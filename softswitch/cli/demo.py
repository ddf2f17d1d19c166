"""`softswitch demo`: runs a softswitch with stand-ins on loopback; needs no configuration file.

Stand-ins are simulated callers, quote engines and a watch server that use the real protocols.
"""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from softswitch.cli import exit_with_error
from softswitch.cli.traffic import cells_table, routes_table, summary
from softswitch.measure.recordfile import read
from softswitch.standin.engine import EngineSettings
from softswitch.standin.fleet import ClassSettings, Day, Fleet, FleetFailed
from softswitch.standin.traffic import StreamSettings


def application() -> typer.Typer:
    """Returns the Typer application."""
    return app


app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def day(seconds: float, rate: float, engines: int, circuits: int, seed: int) -> Day:
    """Returns a short day of traffic with two classes; first choices are spread over the engines."""
    hold = {"price-check": 1.6, "save-quote": 2.4}
    return Day(
        engines=tuple(
            EngineSettings(f"s-{n + 1:08x}", n, circuits, hold=hold, work=0.006) for n in range(engines)
        ),
        classes=(ClassSettings("price-check", 2.0, 1.6), ClassSettings("save-quote", 1.5, 2.4, worth=3.0)),
        streams=tuple(
            StreamSettings(name, rate * share / engines, n, number=str(n))
            for n in range(engines)
            for name, share in (("price-check", 0.78), ("save-quote", 0.22))
        ),
        seconds=seconds,
        seed=seed,
        record_interval=5.0,
        record_slot=0.5,
        answer_timeout=3.0,
        tries=2,
        redial_probability=0.5,
        redial_delay=1.0,
        honour_retry_after=True,
    )


def live_tables(fleet: Fleet) -> Group:
    """Returns tables of the current state as the stand-ins see it."""
    now = fleet.reactor.seconds() - fleet.started_at
    calls = Table(
        "class",
        "first choice",
        "calls",
        "established",
        "rejected attempts",
        "lost",
        "mean setup ms",
        title=f"callers, second {now:.0f} of {fleet.day.seconds:.0f}",
    )
    sums: dict[tuple[str, int], list[float]] = {}
    for callers in fleet.callers:
        for key, t in callers.tallies.items():
            row = sums.setdefault(key, [0, 0, 0, 0, 0.0])
            for n, value in enumerate((t.calls, t.carried, t.codes[503], t.lost, t.delay_s)):
                row[n] += value
    for (call_class, dest), (placed, established, rejected, lost, delay) in sorted(sums.items()):
        calls.add_row(
            call_class,
            str(dest),
            f"{placed:.0f}",
            f"{established:.0f}",
            f"{rejected:.0f}",
            f"{lost:.0f}",
            f"{1000 * delay / established:.0f}" if established else "-",
        )
    engines = Table(
        "engine",
        "circuits",
        "in use",
        "set-ups",
        "rejected: circuits",
        "rejected: processor",
        "queue ms",
        title="quote engines",
    )
    for e in fleet.engines:
        engines.add_row(
            e.settings.name,
            str(e.settings.circuits),
            str(e.used),
            str(e.count["set-ups"]),
            str(e.count["refused: circuits"]),
            str(e.count["refused: processor"]),
            f"{e.queued_work * 1000:.0f}",
        )
    return Group(calls, engines)


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(help="seconds of traffic", min=1, max=600)] = 20.0,
    rate: Annotated[float, typer.Option(help="calls per second", min=0.1, max=500)] = 40.0,
    engines: Annotated[int, typer.Option(help="number of stand-in quote engines", min=1, max=20)] = 3,
    circuits: Annotated[int, typer.Option(help="circuits of each engine", min=1, max=100_000)] = 24,
    seed: Annotated[int, typer.Option(help="random seed of traffic and holding times")] = 1,
    keep: Annotated[str, typer.Option(help="file to copy the traffic record to; default: none")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="one JSON object at the end, no table")] = False,
) -> None:
    """Runs a softswitch with stand-ins (simulated callers and quote engines) on loopback; shows a live table,
    then a traffic report.
    """
    console = Console()
    live = None if as_json else Live(console=console, refresh_per_second=2)

    def show(fleet: Fleet) -> None:
        if live:
            live.update(live_tables(fleet))

    fleet = Fleet(day(seconds, rate, engines, circuits, seed), show)
    try:
        if live:
            with live:
                result = fleet.run()
        else:
            result = fleet.run()
    except FleetFailed as e:
        exit_with_error(e)
    (file,) = result.records
    contents = read(file)
    traffic, total = summary(contents.entries), result.total()
    if keep:
        try:
            shutil.copyfile(file, keep)
        except OSError as e:
            exit_with_error(f"{keep}: {e.strerror}; name a writable file")
    if as_json:
        report: dict[str, Any] = {
            "callers": total.as_dict(),
            "engines": result.engines,
            "traffic": traffic,
            "kept": keep,
        }
        print(orjson.dumps(report).decode())
    else:
        console.print(routes_table(traffic["routes"]))
        console.print(cells_table(traffic["cells"]))
        console.print(
            f"{total.calls} calls: {total.carried} established, {total.lost} lost after all attempts, "
            f"{total.unanswered} attempts without a response in time."
        )
        if keep:
            console.print(
                f"traffic record written; evaluate it with: softswitch trunks estimate {Path(keep)}",
                markup=False,
            )
    raise typer.Exit(0 if total.unanswered == 0 and total.second_answers == 0 else 1)
