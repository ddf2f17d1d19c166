"""`softswitch trunks`: how many circuits a trunk group needs, and what blocking it has."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import msgspec
import orjson
import typer
from rich.console import Console
from rich.table import Table

from softswitch.cli import bad
from softswitch.cli.traffic import cell
from softswitch.dimension import loss, network, peaked_traffic, planner, report
from softswitch.dimension.loss import OutOfRangeError
from softswitch.dimension.traffic import Interval, Sample
from softswitch.measure.recordfile import RecordFileError, read
from softswitch.measure.streams import MeasuredTraffic, Stream, aggregate_streams

POOL_FROM = 24  # groups from which a plan is worked out by several processes


def application() -> typer.Typer:
    return app


app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False, help="Trunk groups."
)
Json = Annotated[bool, typer.Option("--json", help="one JSON object")]
Erlangs = Annotated[float, typer.Option(help="offered traffic, without redials")]
Peakedness = Annotated[float, typer.Option(help="variance over mean: 1 random, over 1 peaky, under 1 smooth")]
Variance = Annotated[
    float, typer.Option("--day-variance", help="variance of the daily traffic, in erlangs squared")
]
Again = Annotated[
    float, typer.Option("--redials", help="chance that a blocked call dials again, 0 to under 1")
]


def tell(told: dict[str, Any], as_json: bool, *lines: str) -> None:
    print(orjson.dumps(told).decode() if as_json else "\n".join(lines))


def percent(share: float) -> str:
    return f"{100 * share:.4g}%"


@app.command()
def blocking(
    erlangs: Erlangs,
    circuits: Annotated[float, typer.Option(help="circuits of the group")],
    peakedness: Peakedness = 1.0,
    day_variance: Variance = 0.0,
    redials: Again = 0.0,
    as_json: Json = False,
) -> None:
    """The share of calls that find no circuit."""
    try:
        total = erlangs
        if redials:
            if peakedness != 1.0 or day_variance:
                raise OutOfRangeError(
                    "--redials goes with random traffic alone: leave out --peakedness and --day-variance"
                )
            share, total = loss.erlang_b_redials(circuits, erlangs, redials)
        elif day_variance:
            share = peaked_traffic.day_to_day(circuits, erlangs, day_variance, peakedness)
        else:
            share = peaked_traffic.blocking(circuits, erlangs, peakedness)
        plain = loss.erlang_b(circuits, erlangs)
    except OutOfRangeError as e:
        bad(e)
    told = {
        "blocking": share,
        "erlangs": erlangs,
        "circuits": circuits,
        "peakedness": peakedness,
        "erlang_b": plain,
        "carried_erlangs": total * (1 - share),
        "offered_with_redials": total,
    }
    tell(
        told,
        as_json,
        f"blocking {percent(share)} of {total:g} erlangs offered to {circuits:g} circuits",
        *([f"plain Erlang B: {percent(plain)}"] if share != plain else []),
    )


@app.command()
def circuits(
    erlangs: Erlangs,
    target: Annotated[float, typer.Option(help="blocking, such as 0.01")],
    peakedness: Peakedness = 1.0,
    as_json: Json = False,
) -> None:
    """The circuits that a stated blocking needs."""
    try:
        exact = peaked_traffic.circuits_for(erlangs, target, peakedness)
        plain = loss.round_up(loss.circuits_for(erlangs, target))
        needed = loss.round_up(exact)
        share = peaked_traffic.blocking(needed, erlangs, peakedness)
    except OutOfRangeError as e:
        bad(e)
    told = {
        "circuits": needed,
        "exact": exact,
        "blocking": share,
        "erlangs": erlangs,
        "target": target,
        "peakedness": peakedness,
        "erlang_b_circuits": plain,
    }
    tell(
        told,
        as_json,
        f"{needed} circuits for {erlangs:g} erlangs at {percent(target)}: blocking {percent(share)}",
        *([f"plain Erlang B: {plain}"] if needed != plain else []),
    )


# from a record


def sample_of(stream: Stream) -> Sample:
    import numpy as np

    return Sample(
        stream.slot,
        np.array(stream.first_attempts, float),
        stream.call_seconds,
        stream.ended,
        stream.sum_squared_hold,
        stream.redials,
        stream.blocked,
    )


def records(files: list[str]) -> MeasuredTraffic:
    try:
        return aggregate_streams([read(file) for file in files])
    except RecordFileError as e:
        bad(e)


def told_interval(i: Interval) -> dict[str, float]:
    return {"value": i.value, "low": i.low, "high": i.high, "level": i.level}


@app.command()
def estimate(
    files: Annotated[list[str], typer.Argument(help="traffic records, one or more softswitches'")],
    target: Annotated[float, typer.Option(help="blocking that circuits are worked out for")] = 0.01,
    level: Annotated[float, typer.Option(help="confidence of the intervals")] = 0.95,
    precision: Annotated[float, typer.Option(help="half-width wanted, as a share")] = 0.05,
    plan_file: Annotated[str, typer.Option("--plan", help="write a file for `trunks plan` here")] = "",
    as_json: Json = False,
) -> None:
    """Offered traffic of each destination and class, with intervals, and the circuits that it needs."""
    found = records(files)
    notes, short = list(found.notes), []
    rows: list[dict[str, Any]] = []
    streams: list[dict[str, Any]] = []
    for stream in found.streams:
        name = f"{cell(stream.dest)}/{stream.call_class}"
        try:
            best, whole = report.estimate_busiest(sample_of(stream), level, precision)
            need = report.required_circuits(best, target)
        except OutOfRangeError as e:
            short.append({"dest": stream.dest, "class": stream.call_class, "why": str(e)})
            notes.append(f"{name}: {e}")
            continue
        notes += report.notes(name, best, whole, precision)
        tries = stream.carried + stream.lost_attempts
        rows.append(
            {
                "dest": stream.dest,
                "class": stream.call_class,
                "erlangs": told_interval(best.erlangs),
                "bootstrap": told_interval(best.bootstrap) if best.bootstrap else None,
                "rate": told_interval(best.rate),
                "hold_s": told_interval(best.hold),
                "peakedness": told_interval(best.peakedness),
                "method": best.method,
                "seconds": best.seconds,
                "first": best.first_attempts,
                "redial_share": whole.redial_share,
                "steady": whole.steady,
                "segments": [{"since": s.start, "to": s.end, "rate": s.rate} for s in whole.segments],
                "more_seconds": best.more_seconds,
                "lost_share": stream.lost_attempts / tries if tries else 0.0,
                "circuits": {
                    "low": need.low,
                    "middle": need.middle,
                    "high": need.high,
                    "erlang_b": need.erlang_b,
                },
            }
        )
        z = 1.0 if best.method == "random" else max(1.0, best.peakedness.value)
        streams.append(
            {
                "name": name,
                "group": cell(stream.dest),
                "class": stream.call_class,
                "erlangs": best.erlangs.value,
                "low": best.erlangs.low,
                "high": best.erlangs.high,
                "peakedness": z,
            }
        )
    if plan_file and streams:
        groups = [{"name": g} for g in sorted({str(s["group"]) for s in streams})]
        text = orjson.dumps(
            {"target": target, "groups": groups, "streams": streams}, option=orjson.OPT_INDENT_2
        )
        try:
            Path(plan_file).write_bytes(text)
        except OSError as e:
            bad(f"{plan_file}: {e.strerror}; name a file that can be written")
    if as_json:
        print(
            orjson.dumps(
                {"streams": rows, "too_short": short, "notes": notes, "seconds": found.seconds}
            ).decode()
        )
        return
    table = Table(
        "first choice",
        "class",
        "erlangs",
        "holding s",
        "peakedness",
        f"circuits for {percent(target)}",
        "Erlang B",
        "lost now",
        title=f"offered traffic over {found.seconds:.0f} s, {100 * level:.0f}% intervals",
    )
    for r in rows:
        table.add_row(
            cell(r["dest"]),
            r["class"],
            _span(r["erlangs"]),
            _span(r["hold_s"]),
            _span(r["peakedness"]),
            f"{r['circuits']['low']} to {r['circuits']['high']}",
            str(r["circuits"]["erlang_b"]),
            percent(r["lost_share"]),
        )
    screen = Console()
    screen.print(table)
    for note in notes:
        screen.print(note, markup=False, highlight=False)
    if not rows:
        raise typer.Exit(1)


def _span(i: dict[str, float]) -> str:
    return f"{i['value']:.3g} ({i['low']:.3g} to {i['high']:.3g})"


# plans


class PlanGroup(msgspec.Struct, forbid_unknown_fields=True):
    """A group as a plan file has it."""

    name: str
    module: int = 1
    price: float = 1.0
    most: int = 200
    overflow: str = ""
    reserve: int = 0
    circuits: int = 0


class PlanStream(msgspec.Struct, forbid_unknown_fields=True):
    """A stream as a plan file has it; its target is its class's, else the file's."""

    name: str
    group: str
    erlangs: float
    klass: str = msgspec.field(default="", name="class")
    peakedness: float = 1.0
    low: float = 0.0
    high: float = 0.0
    target: float | None = None


class PlanFile(msgspec.Struct, forbid_unknown_fields=True):
    """What `trunks plan` reads."""

    groups: list[PlanGroup]
    streams: list[PlanStream]
    target: float = 0.01
    targets: dict[str, float] = {}  # by class


def network_of(file: str) -> tuple[list[network.Group], list[network.Stream]]:
    """Groups and streams of a plan file; ends the command with one line where it can't be read."""
    try:
        told = msgspec.json.decode(Path(file).read_bytes(), type=PlanFile)
    except OSError as e:
        bad(f"{file}: can't be read: {e.strerror}")
    except msgspec.DecodeError as e:
        bad(f"{file}: {e}; docs/trunks.md shows the form")
    classes = {s.klass for s in told.streams}
    for klass in told.targets:
        if klass not in classes:
            bad(f"{file}: targets: unknown class {klass!r}; the streams have {', '.join(sorted(classes))}")
    groups = [
        network.Group(g.name, g.module, g.price, g.most, g.overflow, g.reserve, g.circuits)
        for g in told.groups
    ]
    streams = [
        network.Stream(
            s.name,
            s.group,
            s.erlangs,
            told.targets.get(s.klass, told.target) if s.target is None else s.target,
            s.peakedness,
            s.low,
            s.high,
        )
        for s in told.streams
    ]
    try:
        network.check(groups, streams)
    except OutOfRangeError as e:
        bad(f"{file}: {e}")
    return groups, streams


PlanPath = Annotated[str, typer.Argument(help="a plan file, JSON; `trunks estimate --plan` writes one")]
At = Annotated[str, typer.Option("--at", help="end of the estimates to plan for: low, middle or high")]


@contextmanager
def quiet() -> Iterator[None]:
    """Keeps the solver's banner, which it writes past Python, out of our own output; in a pool's processes
    too.
    """
    sys.stdout.flush()
    kept, none = os.dup(1), os.open(os.devnull, os.O_WRONLY)
    os.dup2(none, 1)
    try:
        yield
    finally:
        os.dup2(kept, 1)
        os.close(kept)
        os.close(none)


def planned(
    file: str, where: str, check: bool = False
) -> tuple[list[network.Group], list[network.Stream], planner.Plan]:
    if where not in ("low", "middle", "high"):
        bad(f"--at is {where!r}; it is low, middle or high")
    groups, streams = network_of(file)
    try:
        with quiet():
            if check:
                return groups, streams, planner.verified_plan(groups, streams, where)[0]
            if len(groups) >= POOL_FROM:
                with ProcessPoolExecutor() as pool:
                    return groups, streams, planner.plan(groups, streams, where, pool.map)
            return groups, streams, planner.plan(groups, streams, where)
    except OutOfRangeError as e:
        bad(f"{file}: {e}")
    except planner.InfeasibleError as e:
        print(f"willowhitch: {file}: no plan: {e}; allow more modules or a larger target", file=sys.stderr)
        raise SystemExit(1) from None


def told_service(service: network.Service) -> dict[str, Any]:
    return {
        "lost": service.lost,
        "groups": {
            name: {
                "circuits": g.circuits,
                "offered": g.offered,
                "peakedness": g.peakedness,
                "blocking": g.blocking,
                "carried": g.carried,
            }
            for name, g in service.loads.items()
        },
    }


@app.command()
def plan(
    file: PlanPath,
    at: At = "high",
    check: Annotated[
        bool, typer.Option("--check", help="play the plan, and plan again where it misses")
    ] = False,
    as_json: Json = False,
) -> None:
    """The cheapest circuits that meet every target; exit code 1 where nothing that can be bought does."""
    groups, streams, found = planned(file, at, check)
    ends = planner.what_if(groups, streams, found.circuits)
    if as_json:
        print(
            orjson.dumps(
                {
                    "cost": found.cost,
                    "modules": found.modules,
                    "circuits": found.circuits,
                    "at": at,
                    "proved": found.monotone,
                    "service": {w: told_service(s) for w, s in ends.items()},
                }
            ).decode()
        )
        return
    screen = Console()
    table = Table(
        "group",
        "modules",
        "circuits",
        "offered",
        "Z",
        "blocking",
        title=f"cost {found.cost:g}, traffic at the {at} end",
    )
    for g in groups:
        load = found.service.loads[g.name]
        table.add_row(
            g.name,
            str(found.modules[g.name]),
            str(load.circuits),
            f"{load.offered:.4g}",
            f"{load.peakedness:.3g}",
            percent(load.blocking),
        )
    screen.print(table)
    screen.print(_ends_table(streams, ends))
    if not found.monotone:
        screen.print("A choice was seen that lost more with more circuits: the cost may not be the least.")


def _ends_table(streams: list[network.Stream], ends: dict[str, network.Service]) -> Table:
    table = Table("stream", "may lose", *(f"loses at {where}" for where in ends))
    for s in streams:
        table.add_row(
            s.name,
            percent(s.target),
            *(percent(e.lost[s.name]) + (" !" if s.name in e.missed(streams) else "") for e in ends.values()),
        )
    return table


@app.command()
def whatif(
    file: PlanPath,
    lose: Annotated[str, typer.Option(help="a group that is out of use")] = "",
    factor: Annotated[float, typer.Option(help="times the traffic")] = 1.0,
    circuits: Annotated[str, typer.Option(help="NAME=N,...; else those of the plan at its high end")] = "",
    as_json: Json = False,
) -> None:
    """Loss from end to end with given circuits, a group lost, or other traffic, over the whole estimate."""
    if circuits:
        groups, streams = network_of(file)
        given: dict[str, int] = {}
        for part in circuits.split(","):
            name, _, number = part.partition("=")
            if name.strip() not in {g.name for g in groups} or not number.strip().isdigit():
                bad(f"--circuits: {part!r} is no NAME=N of a group in {file}")
            given[name.strip()] = int(number)
        given = {g.name: given.get(g.name, g.circuits) for g in groups}
    else:
        groups, streams, found = planned(file, "high")
        given = found.circuits
    try:
        ends = planner.what_if(groups, streams, given, lose, factor)
    except OutOfRangeError as e:
        bad(f"{file}: {e}")
    if as_json:
        print(
            orjson.dumps(
                {
                    "circuits": given,
                    "lost_group": lose,
                    "factor": factor,
                    "missed": {w: s.missed(streams) for w, s in ends.items()},
                    "service": {w: told_service(s) for w, s in ends.items()},
                }
            ).decode()
        )
        return
    Console().print(_ends_table(streams, ends))


@app.command()
def plot(
    out: Annotated[str, typer.Argument(help="the picture: .png, .svg or .pdf")],
    record: Annotated[list[str], typer.Option(help="traffic records: load and loss over time")] = [],  # noqa: B006  # Typer copies it
    plan_file: Annotated[str, typer.Option("--plan", help="a plan file: circuits and load by group")] = "",
    erlangs: Annotated[float, typer.Option(help="blocking against circuits at this traffic")] = 0.0,
    low: Annotated[float, typer.Option(help="its low end")] = 0.0,
    high: Annotated[float, typer.Option(help="its high end")] = 0.0,
    peakedness: Peakedness = 1.0,
) -> None:
    """Draws load and loss over time, blocking against circuits with its band, or a plan."""
    from softswitch.cli import plots

    if sum((bool(record), bool(plan_file), erlangs > 0)) != 1:
        bad("plot: name one of --record, --plan and --erlangs")
    try:
        if record:
            figure = plots.over_time(records(record))
        elif plan_file:
            groups, streams, found = planned(plan_file, "high")
            figure = plots.of_plan(groups, found, planner.what_if(groups, streams, found.circuits))
        else:
            figure = plots.blocking_band(erlangs, low or erlangs, high or erlangs, peakedness)
        figure.savefig(out, dpi=120)
    except OutOfRangeError as e:
        bad(e)
    except (OSError, ValueError) as e:
        bad(f"{out}: {e}; name a .png, .svg or .pdf file that can be written")
    print(out)
