"""`softswitch trunks`: dimensions trunk groups: blocking, circuits, traffic estimates, plans and plots."""

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

from softswitch.cli import exit_with_error
from softswitch.cli.traffic import format_cell
from softswitch.dimension import loss, network, peaked_traffic, planner, report
from softswitch.dimension.loss import OutOfRangeError
from softswitch.dimension.traffic import Interval, Sample
from softswitch.measure.recordfile import RecordFileError, read
from softswitch.measure.streams import MeasuredTraffic, Stream, aggregate_streams

MIN_GROUPS_FOR_POOL = 24  # plans with at least this many groups are computed by several processes


def application() -> typer.Typer:
    """Returns the Typer application."""
    return app


app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Dimensions trunk groups (groups of circuits) by the formulas of teletraffic theory.",
)
Json = Annotated[bool, typer.Option("--json", help="one JSON object")]
Erlangs = Annotated[float, typer.Option(help="offered traffic without redials")]
Peakedness = Annotated[
    float, typer.Option(help="variance-to-mean ratio: 1 random, above 1 peaky, below 1 smooth")
]
Variance = Annotated[
    float, typer.Option("--day-variance", help="day-to-day variance of the traffic, in erlangs squared")
]
Again = Annotated[
    float,
    typer.Option("--redials", help="probability that a blocked call is redialed, at least 0 and below 1"),
]


def print_result(result: dict[str, Any], as_json: bool, *lines: str) -> None:
    """Prints a result as JSON, or the lines."""
    print(orjson.dumps(result).decode() if as_json else "\n".join(lines))


def percent(fraction: float) -> str:
    """Returns a fraction as a percentage with four significant digits."""
    return f"{100 * fraction:.4g}%"


@app.command()
def blocking(
    erlangs: Erlangs,
    circuits: Annotated[float, typer.Option(help="circuits of the group")],
    peakedness: Peakedness = 1.0,
    day_variance: Variance = 0.0,
    redials: Again = 0.0,
    as_json: Json = False,
) -> None:
    """Computes the fraction of calls that find no free circuit."""
    try:
        total = erlangs
        if redials:
            if peakedness != 1.0 or day_variance:
                raise OutOfRangeError(
                    "--redials goes only with random traffic: omit --peakedness and --day-variance"
                )
            fraction, total = loss.erlang_b_redials(circuits, erlangs, redials)
        elif day_variance:
            fraction = peaked_traffic.day_to_day(circuits, erlangs, day_variance, peakedness)
        else:
            fraction = peaked_traffic.blocking(circuits, erlangs, peakedness)
        plain = loss.erlang_b(circuits, erlangs)
    except OutOfRangeError as e:
        exit_with_error(e)
    result = {
        "blocking": fraction,
        "erlangs": erlangs,
        "circuits": circuits,
        "peakedness": peakedness,
        "erlang_b": plain,
        "carried_erlangs": total * (1 - fraction),
        "offered_with_redials": total,
    }
    print_result(
        result,
        as_json,
        f"blocking {percent(fraction)} of {total:g} erlangs offered to {circuits:g} circuits",
        *([f"plain Erlang B: {percent(plain)}"] if fraction != plain else []),
    )


@app.command()
def circuits(
    erlangs: Erlangs,
    target: Annotated[float, typer.Option(help="allowed blocking, such as 0.01")],
    peakedness: Peakedness = 1.0,
    as_json: Json = False,
) -> None:
    """Computes the circuits that keep the blocking within a target."""
    try:
        exact = peaked_traffic.circuits_for(erlangs, target, peakedness)
        plain = loss.round_up(loss.circuits_for(erlangs, target))
        needed = loss.round_up(exact)
        fraction = peaked_traffic.blocking(needed, erlangs, peakedness)
    except OutOfRangeError as e:
        exit_with_error(e)
    result = {
        "circuits": needed,
        "exact": exact,
        "blocking": fraction,
        "erlangs": erlangs,
        "target": target,
        "peakedness": peakedness,
        "erlang_b_circuits": plain,
    }
    print_result(
        result,
        as_json,
        f"{needed} circuits for {erlangs:g} erlangs at {percent(target)}: blocking {percent(fraction)}",
        *([f"plain Erlang B: {plain}"] if needed != plain else []),
    )


# estimates from traffic records


def make_sample(stream: Stream) -> Sample:
    """Returns the measurements of a stream in the form that the estimator takes."""
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


def load_records(files: list[str]) -> MeasuredTraffic:
    """Returns the streams of traffic records; exits with one line if a file is invalid."""
    try:
        return aggregate_streams([read(file) for file in files])
    except RecordFileError as e:
        exit_with_error(e)


def interval_as_dict(i: Interval) -> dict[str, float]:
    """Returns a confidence interval for JSON."""
    return {"value": i.value, "low": i.low, "high": i.high, "level": i.level}


@app.command()
def estimate(
    files: Annotated[list[str], typer.Argument(help="traffic records of one or more softswitches")],
    target: Annotated[float, typer.Option(help="allowed blocking; circuits are computed for it")] = 0.01,
    level: Annotated[float, typer.Option(help="confidence level of the intervals")] = 0.95,
    precision: Annotated[
        float, typer.Option(help="desired half-width of the intervals, relative to their midpoints")
    ] = 0.05,
    plan_file: Annotated[str, typer.Option("--plan", help="file to write for `trunks plan`")] = "",
    as_json: Json = False,
) -> None:
    """Estimates the offered traffic of each destination and class, and the circuits that it needs."""
    measurements = load_records(files)
    notes, too_short = list(measurements.notes), []
    rows: list[dict[str, Any]] = []
    streams: list[dict[str, Any]] = []
    for stream in measurements.streams:
        name = f"{format_cell(stream.dest)}/{stream.call_class}"
        try:
            best, entire = report.estimate_busiest(make_sample(stream), level, precision)
            need = report.required_circuits(best, target)
        except OutOfRangeError as e:
            too_short.append({"dest": stream.dest, "class": stream.call_class, "why": str(e)})
            notes.append(f"{name}: {e}")
            continue
        notes += report.notes(name, best, entire, precision)
        attempts = stream.carried + stream.lost_attempts
        rows.append(
            {
                "dest": stream.dest,
                "class": stream.call_class,
                "erlangs": interval_as_dict(best.erlangs),
                "bootstrap": interval_as_dict(best.bootstrap) if best.bootstrap else None,
                "rate": interval_as_dict(best.rate),
                "hold_s": interval_as_dict(best.hold),
                "peakedness": interval_as_dict(best.peakedness),
                "method": best.method,
                "seconds": best.seconds,
                "first": best.first_attempts,
                "redial_share": entire.redial_share,
                "steady": entire.steady,
                "segments": [{"since": s.start, "to": s.end, "rate": s.rate} for s in entire.segments],
                "more_seconds": best.more_seconds,
                "lost_share": stream.lost_attempts / attempts if attempts else 0.0,
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
                "group": format_cell(stream.dest),
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
            exit_with_error(f"{plan_file}: {e.strerror}; name a writable file")
    if as_json:
        print(
            orjson.dumps(
                {"streams": rows, "too_short": too_short, "notes": notes, "seconds": measurements.seconds}
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
        "loss now",
        title=f"offered traffic over {measurements.seconds:.0f} s, {100 * level:.0f}% intervals",
    )
    for r in rows:
        table.add_row(
            format_cell(r["dest"]),
            r["class"],
            _format_interval(r["erlangs"]),
            _format_interval(r["hold_s"]),
            _format_interval(r["peakedness"]),
            f"{r['circuits']['low']} to {r['circuits']['high']}",
            str(r["circuits"]["erlang_b"]),
            percent(r["lost_share"]),
        )
    console = Console()
    console.print(table)
    for note in notes:
        console.print(note, markup=False, highlight=False)
    if not rows:
        raise typer.Exit(1)


def _format_interval(i: dict[str, float]) -> str:
    return f"{i['value']:.3g} ({i['low']:.3g} to {i['high']:.3g})"


# plans


class PlanGroup(msgspec.Struct, forbid_unknown_fields=True):
    """A trunk group of a plan file."""

    name: str
    module: int = 1  # circuits of one module
    price: float = 1.0  # of one module
    most: int = 200  # max number of modules to buy
    overflow: str = ""  # name of the group that gets the calls which find this one full; empty: none
    reserve: int = 0  # circuits reserved for calls that are offered to this group first
    circuits: int = 0  # installed already, at no cost


class PlanStream(msgspec.Struct, forbid_unknown_fields=True):
    """A stream of a plan file. A stream without a target has the target of its class, or else of the file."""

    name: str
    group: str  # the group that it is offered to first
    erlangs: float  # offered traffic
    klass: str = msgspec.field(default="", name="class")
    peakedness: float = 1.0
    low: float = 0.0  # ends of the confidence interval of `erlangs`; 0: the same as `erlangs`
    high: float = 0.0
    target: float | None = None  # max end-to-end loss, as a fraction


class PlanFile(msgspec.Struct, forbid_unknown_fields=True):
    """The contents of a plan file."""

    groups: list[PlanGroup]
    streams: list[PlanStream]
    target: float = 0.01  # max end-to-end loss of a stream, as a fraction
    targets: dict[str, float] = {}  # the same by class


def load_network(file: str) -> tuple[list[network.Group], list[network.Stream]]:
    """Returns the groups and streams of a plan file; exits with one line if the file is invalid."""
    try:
        plan_file = msgspec.json.decode(Path(file).read_bytes(), type=PlanFile)
    except OSError as e:
        exit_with_error(f"{file}: can't be read: {e.strerror}")
    except msgspec.DecodeError as e:
        exit_with_error(f"{file}: {e}; docs/trunks.md describes the format")
    classes = {s.klass for s in plan_file.streams}
    for call_class in plan_file.targets:
        if call_class not in classes:
            exit_with_error(
                f"{file}: targets: unknown class {call_class!r}; "
                f"the streams have {', '.join(sorted(classes))}"
            )
    groups = [
        network.Group(g.name, g.module, g.price, g.most, g.overflow, g.reserve, g.circuits)
        for g in plan_file.groups
    ]
    streams = [
        network.Stream(
            s.name,
            s.group,
            s.erlangs,
            plan_file.targets.get(s.klass, plan_file.target) if s.target is None else s.target,
            s.peakedness,
            s.low,
            s.high,
        )
        for s in plan_file.streams
    ]
    try:
        network.check(groups, streams)
    except OutOfRangeError as e:
        exit_with_error(f"{file}: {e}")
    return groups, streams


PlanPath = Annotated[str, typer.Argument(help="a plan file in JSON, as `trunks estimate --plan` writes it")]
At = Annotated[
    str, typer.Option("--at", help="end of the confidence intervals to plan for: low, middle or high")
]


@contextmanager
def suppress_solver_output() -> Iterator[None]:
    """Redirects file descriptor 1 to /dev/null: the solver writes its banner there without Python's stdout.
    The processes of a pool inherit the redirection.
    """
    sys.stdout.flush()
    stdout_copy, null = os.dup(1), os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, 1)
    try:
        yield
    finally:
        os.dup2(stdout_copy, 1)
        os.close(stdout_copy)
        os.close(null)


def make_plan(
    file: str, end: str, check: bool = False
) -> tuple[list[network.Group], list[network.Stream], planner.Plan]:
    """Returns groups, streams and the cheapest plan of a plan file; exits with one line if there is none."""
    if end not in ("low", "middle", "high"):
        exit_with_error(f"--at is {end!r}; it must be low, middle or high")
    groups, streams = load_network(file)
    try:
        with suppress_solver_output():
            if check:
                return groups, streams, planner.verified_plan(groups, streams, end)[0]
            if len(groups) >= MIN_GROUPS_FOR_POOL:
                with ProcessPoolExecutor() as pool:
                    return groups, streams, planner.plan(groups, streams, end, pool.map)
            return groups, streams, planner.plan(groups, streams, end)
    except OutOfRangeError as e:
        exit_with_error(f"{file}: {e}")
    except planner.InfeasibleError as e:
        print(f"willowhitch: {file}: no plan: {e}; allow more modules or a higher target", file=sys.stderr)
        raise SystemExit(1) from None


def service_as_dict(service: network.Service) -> dict[str, Any]:
    """Returns the loss of each stream and the load of each group for JSON."""
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
        bool, typer.Option("--check", help="simulate the plan; replan if it misses a target")
    ] = False,
    as_json: Json = False,
) -> None:
    """Finds the cheapest circuits that meet all targets. Exits with 1 if no available choice meets them."""
    groups, streams, best = make_plan(file, at, check)
    ends = planner.what_if(groups, streams, best.circuits)
    if as_json:
        print(
            orjson.dumps(
                {
                    "cost": best.cost,
                    "modules": best.modules,
                    "circuits": best.circuits,
                    "at": at,
                    "proved": best.monotone,
                    "service": {end: service_as_dict(s) for end, s in ends.items()},
                }
            ).decode()
        )
        return
    console = Console()
    table = Table(
        "group",
        "modules",
        "circuits",
        "offered",
        "Z",
        "blocking",
        title=f"cost {best.cost:g}, traffic at the {at} end",
    )
    for g in groups:
        load = best.service.loads[g.name]
        table.add_row(
            g.name,
            str(best.modules[g.name]),
            str(load.circuits),
            f"{load.offered:.4g}",
            f"{load.peakedness:.3g}",
            percent(load.blocking),
        )
    console.print(table)
    console.print(_ends_table(streams, ends))
    if not best.monotone:
        console.print("More circuits increased the loss in at least one case: the cost may not be minimal.")


def _ends_table(streams: list[network.Stream], ends: dict[str, network.Service]) -> Table:
    """Returns a table of the loss of each stream at each end of its interval; `!` marks a missed target."""
    table = Table("stream", "allowed loss", *(f"loss at {end}" for end in ends))
    for s in streams:
        table.add_row(
            s.name,
            percent(s.target),
            *(
                percent(service.lost[s.name]) + (" !" if s.name in service.missed(streams) else "")
                for service in ends.values()
            ),
        )
    return table


@app.command()
def whatif(
    file: PlanPath,
    lose: Annotated[str, typer.Option(help="name of a group that is out of service")] = "",
    factor: Annotated[float, typer.Option(help="factor that the traffic is multiplied by")] = 1.0,
    circuits: Annotated[str, typer.Option(help="NAME=N,...; default: those planned for the high end")] = "",
    as_json: Json = False,
) -> None:
    """Computes the end-to-end loss with given circuits, without a group, or with other traffic."""
    if circuits:
        groups, streams = load_network(file)
        circuits_by_group: dict[str, int] = {}
        for item in circuits.split(","):
            name, _, number = item.partition("=")
            if name.strip() not in {g.name for g in groups} or not number.strip().isdigit():
                exit_with_error(f"--circuits: {item!r} is no NAME=N of a group in {file}")
            circuits_by_group[name.strip()] = int(number)
        circuits_by_group = {g.name: circuits_by_group.get(g.name, g.circuits) for g in groups}
    else:
        groups, streams, best = make_plan(file, "high")
        circuits_by_group = best.circuits
    try:
        ends = planner.what_if(groups, streams, circuits_by_group, lose, factor)
    except OutOfRangeError as e:
        exit_with_error(f"{file}: {e}")
    if as_json:
        print(
            orjson.dumps(
                {
                    "circuits": circuits_by_group,
                    "lost_group": lose,
                    "factor": factor,
                    "missed": {end: s.missed(streams) for end, s in ends.items()},
                    "service": {end: service_as_dict(s) for end, s in ends.items()},
                }
            ).decode()
        )
        return
    Console().print(_ends_table(streams, ends))


@app.command()
def plot(
    out: Annotated[str, typer.Argument(help="the file to write: .png, .svg or .pdf")],
    record: Annotated[list[str], typer.Option(help="traffic records: attempts and load over time")] = [],  # noqa: B006  # Typer copies it
    plan_file: Annotated[str, typer.Option("--plan", help="a plan file: circuits, load and loss")] = "",
    erlangs: Annotated[float, typer.Option(help="blocking against circuits at this traffic")] = 0.0,
    low: Annotated[float, typer.Option(help="low end of the interval of the traffic")] = 0.0,
    high: Annotated[float, typer.Option(help="high end of the interval of the traffic")] = 0.0,
    peakedness: Peakedness = 1.0,
) -> None:
    """Plots attempts and load over time, blocking against circuits, or a plan."""
    from softswitch.cli import plots

    if sum((bool(record), bool(plan_file), erlangs > 0)) != 1:
        exit_with_error("plot: name one of --record, --plan and --erlangs")
    try:
        if record:
            figure = plots.plot_over_time(load_records(record))
        elif plan_file:
            groups, streams, best = make_plan(plan_file, "high")
            figure = plots.plot_plan(groups, best, planner.what_if(groups, streams, best.circuits))
        else:
            figure = plots.plot_blocking(erlangs, low or erlangs, high or erlangs, peakedness)
        figure.savefig(out, dpi=120)
    except OutOfRangeError as e:
        exit_with_error(e)
    except (OSError, ValueError) as e:
        exit_with_error(f"{out}: {e}; name a writable .png, .svg or .pdf file")
    print(out)
