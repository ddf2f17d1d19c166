"""`softswitch demo`: the main job at work on loopback, with no file to write."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from softswitch.cli import bad
from softswitch.cli.traffic import cells_table, routes_table, summary
from softswitch.measure.recordfile import read
from softswitch.standin.engine import EngineSettings
from softswitch.standin.fleet import ClassSettings, Day, Fleet, FleetFailed
from softswitch.standin.traffic import StreamSettings


def application() -> typer.Typer:
    return app


app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def day(seconds: float, rate: float, engines: int, circuits: int, seed: int) -> Day:
    """A short quoting day: two classes, first choices spread over the engines."""
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


def table(fleet: Fleet) -> Group:
    """What is seen now, from the stand-ins' side."""
    now = fleet.reactor.seconds() - fleet.started_at
    calls = Table(
        "class",
        "first choice",
        "calls",
        "stand or stood",
        "refused tries",
        "lost",
        "mean set-up ms",
        title=f"callers, second {now:.0f} of {fleet.day.seconds:.0f}",
    )
    sums: dict[tuple[str, int], list[float]] = {}
    for callers in fleet.callers:
        for key, t in callers.tallies.items():
            row = sums.setdefault(key, [0, 0, 0, 0, 0.0])
            for n, value in enumerate((t.calls, t.carried, t.codes[503], t.lost, t.delay_s)):
                row[n] += value
    for (klass, dest), (placed, stood, refused, lost, delay) in sorted(sums.items()):
        calls.add_row(
            klass,
            str(dest),
            f"{placed:.0f}",
            f"{stood:.0f}",
            f"{refused:.0f}",
            f"{lost:.0f}",
            f"{1000 * delay / stood:.0f}" if stood else "-",
        )
    engines = Table(
        "engine",
        "circuits",
        "in use",
        "set-ups",
        "refused: circuits",
        "refused: processor",
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
    seconds: Annotated[float, typer.Option(help="how long calls come", min=1, max=600)] = 20.0,
    rate: Annotated[float, typer.Option(help="calls a second", min=0.1, max=500)] = 40.0,
    engines: Annotated[int, typer.Option(help="stand-in quote engines", min=1, max=20)] = 3,
    circuits: Annotated[int, typer.Option(help="circuits of each", min=1, max=100_000)] = 24,
    seed: Annotated[int, typer.Option(help="of traffic and holding times")] = 1,
    keep: Annotated[str, typer.Option(help="where the traffic record is kept; else it is dropped")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="one JSON object at the end, no table")] = False,
) -> None:
    """A softswitch among stand-ins on loopback: a live table, then its traffic report."""
    screen = Console()
    live = None if as_json else Live(console=screen, refresh_per_second=2)

    def show(fleet: Fleet) -> None:
        if live:
            live.update(table(fleet))

    fleet = Fleet(day(seconds, rate, engines, circuits, seed), show)
    try:
        if live:
            with live:
                result = fleet.run()
        else:
            result = fleet.run()
    except FleetFailed as e:
        bad(e)
    (file,) = result.records
    contents = read(file)
    told, total = summary(contents.entries), result.total()
    if keep:
        try:
            shutil.copyfile(file, keep)
        except OSError as e:
            bad(f"{keep}: {e.strerror}; name a file that can be written")
    if as_json:
        said: dict[str, Any] = {
            "callers": total.as_dict(),
            "engines": result.engines,
            "traffic": told,
            "kept": keep,
        }
        print(orjson.dumps(said).decode())
    else:
        screen.print(routes_table(told["routes"]))
        screen.print(cells_table(told["cells"]))
        screen.print(
            f"{total.calls} calls: {total.carried} stood, {total.lost} lost after all tries, "
            f"{total.unanswered} without an answer in time."
        )
        if keep:
            screen.print(f"record kept: softswitch trunks estimate {Path(keep)}", markup=False)
    raise typer.Exit(0 if total.unanswered == 0 and total.second_answers == 0 else 1)
