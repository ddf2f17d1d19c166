"""`softswitch fleet`: compares the fleet views of softswitches, runs drills on real processes and simulations
on virtual time.

A fleet view is the list of the members of the fleet and their states that each softswitch has. A drill runs
softswitch processes with simulated callers and engines, injects the faults of a schedule, and checks that all
views converge.
"""

from __future__ import annotations

import http.client
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer
from rich.console import Console
from rich.live import Live
from rich.table import Table

from softswitch.cli import exit_with_error

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)
MAX_ADDRESSES = 1_000
AsJson = Annotated[bool, typer.Option("--json", help="one JSON object, no table")]


def application() -> typer.Typer:
    """Returns the Typer application."""
    return app


def query_all(addresses: list[str], seconds: float, resource: str, key: str) -> dict[str, dict[str, Any]]:
    """Queries each address once, several in parallel; returns the responses by address, in order."""
    addresses = list(dict.fromkeys(addresses))
    if len(addresses) > MAX_ADDRESSES:
        exit_with_error(f"{len(addresses)} addresses; at most {MAX_ADDRESSES} are queried at once")
    with ThreadPoolExecutor(min(32, len(addresses))) as pool:
        responses = pool.map(lambda a: query(a, seconds, resource, key), addresses)
        return dict(zip(addresses, responses, strict=True))


def query(address: str, seconds: float, resource: str, key: str) -> dict[str, Any]:
    """Returns a softswitch's response to GET /v1/`resource`, which must contain `key`. If that fails, returns
    only `error` with the reason.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        return {"error": f"{address!r} is not an address; expected host:port of `mgmt`"}
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
        try:
            connection.request("GET", f"/v1/{resource}")
            response = connection.getresponse()
            body = response.read()
        finally:
            connection.close()
        if response.status == 404:
            return {"error": f"not configured: its operator file has no `{resource}`"}
        if response.status != 200:
            return {"error": f"HTTP status {response.status}"}
        view = orjson.loads(body)
        if not isinstance(view, dict) or key not in view:
            return {"error": "unexpected response"}
        return view
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as e:
        return {"error": f"not reached: {e}"}


def compare_views(views: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Compares the views member by member. `differ_ms` is the longest time that they may have differed.

    In the row of a member, `said` has its record in each view, by the address of the queried softswitch.
    `names_taken` has the other claimants of a queried member's name.
    """
    received = {address: view for address, view in views.items() if "error" not in view}
    rows: dict[str, dict[str, Any]] = {}
    for address, view in received.items():
        for m in view["members"]:
            key = f"{m['name']}@{m['address']}"
            row = rows.setdefault(key, {k: m[k] for k in ("name", "address", "site")} | {"said": {}})
            row["said"][address] = {k: m[k] for k in ("state", "incarnation", "for_ms", "version", "config")}
    for row in rows.values():
        views_of_member = row["said"]
        states = {(s["state"], s["incarnation"]) for s in views_of_member.values()}
        row["agree"] = len(states) == 1 and len(views_of_member) == len(received)
        # The views have differed at most since the latest change of any of them.
        row["differ_ms"] = 0 if row["agree"] else min(s["for_ms"] for s in views_of_member.values())
    fleets = {view["fleet"] for view in received.values()}
    cut_off = [address for address, view in received.items() if view["cut_off"]]
    all_received = bool(received) and len(received) == len(views)
    agree = all_received and len(fleets) == 1 and all(row["agree"] for row in rows.values())
    return {
        "agree": agree,
        "cut_off": cut_off,
        "fleets": sorted(fleets),
        "errors": {a: v["error"] for a, v in views.items() if "error" in v},
        "names_taken": {a: v["names_taken"] for a, v in received.items() if v["names_taken"]},
        "members": [rows[key] for key in sorted(rows)],
    }


def comparison_table(comparison: dict[str, Any], queried: int) -> Table:
    """Returns a table with one row per member, or one per state where the views differ."""
    table = Table(
        "member",
        "site",
        "state",
        "incarnation",
        "for s",
        "version",
        "config",
        "agree",
        title=f"fleet {', '.join(comparison['fleets']) or '-'}: {queried} queried",
    )
    for row in comparison["members"]:
        by_state: dict[tuple[str, int], list[dict[str, Any]]] = {}
        for record in row["said"].values():
            by_state.setdefault((record["state"], record["incarnation"]), []).append(record)
        most_frequent = sorted(by_state.items(), key=lambda item: -len(item[1]))
        for n, ((state, incarnation), records) in enumerate(most_frequent):
            first = records[0]
            table.add_row(
                row["name"] if n == 0 else "",
                row["site"] if n == 0 else "",
                state if len(most_frequent) == 1 else f"{state} ({len(records)} of the views)",
                str(incarnation),
                f"{max(s['for_ms'] for s in records) / 1000:.1f}",
                first["version"],
                first["config"][:8],
                "yes" if row["agree"] else f"no, for {row['differ_ms'] / 1000:.1f} s" if n == 0 else "",
            )
    return table


@app.command()
def view(
    addresses: Annotated[list[str], typer.Argument(help="management addresses, host:port")],
    seconds: Annotated[float, typer.Option(help="timeout per address, in seconds", min=0.1, max=60)] = 2.0,
    as_json: AsJson = False,
) -> None:
    """Compares the fleet views of softswitches. Exits with 0 only if all views agree."""
    views = query_all(addresses, seconds, "fleet", "members")
    comparison = compare_views(views)
    if as_json:
        print(orjson.dumps(comparison).decode())
    else:
        console = Console()
        console.print(comparison_table(comparison, len(views)))
        for address, error in comparison["errors"].items():
            console.print(f"{address}: {error}", markup=False)
        for address in comparison["cut_off"]:
            console.print(f"{address}: reports that it is cut off", markup=False)
        for address, claimants in comparison["names_taken"].items():
            console.print(f"{address}: its name is also claimed by {', '.join(claimants)}", markup=False)
        console.print("All views agree." if comparison["agree"] else "The views differ.")
    raise typer.Exit(0 if comparison["agree"] else 1)


@app.command()
def budgets(
    addresses: Annotated[list[str], typer.Argument(help="management addresses, host:port")],
    seconds: Annotated[float, typer.Option(help="timeout per address, in seconds", min=0.1, max=60)] = 2.0,
    as_json: AsJson = False,
) -> None:
    """Shows how many slots of the fleet's budgets each member holds, and until when. Exits with 0 only if all
    members were reached and no sum exceeds its total.
    """
    from softswitch.cli.budgets import budget_tables, sum_budgets

    summary = sum_budgets(query_all(addresses, seconds, "budgets", "budgets"))
    if as_json:
        print(orjson.dumps(summary).decode())
    else:
        console = Console()
        for table in budget_tables(summary):
            console.print(table)
        for address, error in summary["errors"].items():
            console.print(f"{address}: {error}", markup=False)
        no_leader = "none; all members are at their floors or soon will be"
        console.print(f"allocator: {', '.join(summary['in_office']) or no_leader}", markup=False)
        for name in summary["over"]:
            console.print(f"{name}: THE SUM EXCEEDS THE TOTAL", markup=False)
    raise typer.Exit(1 if summary["over"] or summary["errors"] else 0)


def load_faults(schedule: str, seed: int, sites: dict[str, str], seconds: float) -> list[Any]:
    """Returns the faults of a schedule file, or generates them from the seed if there is no file."""
    from softswitch.standin.faults.schedule import ScheduleError, generate_schedule, read_schedule

    if not schedule:
        return generate_schedule(seed, list(sites), sites, seconds)
    try:
        faults = read_schedule(schedule, sites)
    except ScheduleError as e:
        exit_with_error(e)
    late = [f for f in faults if f.at_s >= seconds]
    if late:
        exit_with_error(
            f"{schedule}: {late[0].what} at {late[0].at_s:g} s is after the end of the run at {seconds:g} s; "
            "increase --seconds"
        )
    return faults


@app.command()
def drill(
    softswitches: Annotated[int, typer.Option(help="number of softswitch processes", min=2, max=60)] = 12,
    sites: Annotated[int, typer.Option(min=1, max=12)] = 3,
    seconds: Annotated[float, typer.Option(help="duration of calls and faults", min=5, max=3600)] = 40.0,
    seed: Annotated[int, typer.Option(help="random seed of traffic, links and a generated schedule")] = 7,
    schedule: Annotated[str, typer.Option(help="a JSON file of faults; default: generated")] = "",
    rate: Annotated[float, typer.Option(help="calls per second in total", min=0, max=1000)] = 24.0,
    keep: Annotated[str, typer.Option(help="file to write the executed schedule to")] = "",
    budgets: Annotated[str, typer.Option(help="a JSON file of budgets, as in an operator file")] = "",
    heavy: Annotated[
        float, typer.Option(help="extra fraction of calls for one softswitch", min=0, max=1)
    ] = 0.0,
    heavy_moves: Annotated[
        float, typer.Option(help="seconds until another one gets it; 0: never", min=0)
    ] = 0.0,
    as_json: AsJson = False,
) -> None:
    """Runs a drill: softswitch processes with simulated callers and engines, into which the faults of a
    schedule are injected.

    Exits with 0 only if all views converged, no member was falsely declared gone and no sum of a budget
    exceeded its total.
    """
    from softswitch.standin.faults.drill import Drill
    from softswitch.standin.fleet import FleetFailed

    site_by_name = {f"n{n}": "abcdefghijkl"[n % sites] for n in range(softswitches)}
    faults = load_faults(schedule, seed, site_by_name, seconds)
    if any(fault.what == "disk slow" for fault in faults):
        exit_with_error(
            f"{schedule}: 'disk slow' is not available for real processes; `disk full`, `disk read-only` are"
        )
    console = Console()
    live = None if as_json else Live(console=console, refresh_per_second=2)

    def show(running: Drill) -> None:
        if live:
            live.update(drill_table(running))

    drill = Drill(
        softswitches,
        sites,
        seconds,
        seed,
        faults,
        rate,
        on_second=show,
        budgets=load_budgets(budgets, softswitches),
        heavy=heavy,
        moves_s=heavy_moves,
    )
    try:
        if live:
            with live:
                result = drill.run_and_report()
        else:
            result = drill.run_and_report()
    except FleetFailed as e:
        exit_with_error(e)
    if keep:
        try:
            Path(keep).write_bytes(result.schedule())
        except OSError as e:
            exit_with_error(f"{keep}: {e.strerror}; name a writable file")
    if as_json:
        print(orjson.dumps(result.to_dict()).decode())
    else:
        console.print(faults_table(result.to_dict()))
        if result.budgets:
            console.print(budgets_table(result.budgets))
        console.print(
            f"converged: {'yes' if result.settled else 'no'}; falsely declared gone: "
            f"{', '.join(result.false_gone) or 'none'}; {result.calls} calls, {result.carried} established, "
            f"{result.unanswered} without a response in time",
            markup=False,
        )
    raise typer.Exit(0 if result.settled and not result.false_gone and not result.exceeded_budgets else 1)


def load_budgets(path: str, members: int) -> list[dict[str, Any]]:
    """Returns the budgets of a JSON file, checked like those of an operator file."""
    if not path:
        return []
    import msgspec

    from softswitch.budgets.plan import make_plan
    from softswitch.operator.tables import Allocation, Budget

    try:
        decoded = msgspec.json.decode(Path(path).read_bytes(), type=tuple[Budget, ...])
        addresses = tuple(f"127.0.0.1:{n + 1}" for n in range(members))
        make_plan(decoded, Allocation(members=addresses, voters=addresses[:1]))
        budgets: list[dict[str, Any]] = msgspec.to_builtins(decoded)
    except OSError as e:
        exit_with_error(f"{path}: can't be read: {e.strerror}")
    except (msgspec.DecodeError, ValueError) as e:
        exit_with_error(f"{path}: {e}")
    return budgets


def budgets_table(budgets: dict[str, Any]) -> Table:
    """Returns a table of the budgets of a drill, in slots, with the largest observed sums."""
    table = Table("budget", "whole", "window, s", "max held", "max spent", "max at engines", "total spent")
    for name, b in budgets.items():
        table.add_row(
            name,
            str(b["whole"]),
            f"{b['over_s']:g}",
            str(b["most_held"]),
            str(b["most_spent"]),
            str(b["most_at_engines"]),
            str(b["spent"]),
        )
    return table


def drill_table(drill: Any) -> Table:
    """Returns a table of the current state of a drill, with one row per process."""
    table = Table(
        "process",
        "site",
        "intended state",
        "alive",
        "suspect",
        "gone",
        "cut off",
        title=f"second {drill.now():.0f} of {drill.day.seconds:.0f}",
    )
    for n, name in enumerate(drill.names):
        view = drill.views.get(n)
        states = [m["state"] for m in view["members"]] if view else []
        table.add_row(
            name,
            drill.sites[name],
            drill.expected_state[n],
            str(states.count("alive")) if view else "-",
            str(states.count("suspect")),
            str(states.count("gone")),
            "yes" if view and view["cut_off"] else "",
        )
    return table


def faults_table(report: dict[str, Any]) -> Table:
    """Returns a table of the faults of a drill. Times are in seconds: start and end from the start of the
    run, the others from the start and the end of the fault.
    """
    table = Table("fault", "who", "start, s", "end, s", "known to all after, s", "views equal after, s")
    for f in report["faults"]:
        times = [f[k] for k in ("began_s", "ended_s", "known_s", "settle_s")]
        table.add_row(f["what"], ", ".join(f["who"])[:40], *("-" if v is None else f"{v:.2f}" for v in times))
    return table


@app.command()
def simulate(
    members: Annotated[int, typer.Option(min=2, max=20_000)] = 100,
    sites: Annotated[int, typer.Option(min=1, max=26)] = 4,
    seconds: Annotated[float, typer.Option(help="seconds of virtual time", min=5, max=86_400)] = 60.0,
    seed: Annotated[int, typer.Option(help="random seed")] = 7,
    schedule: Annotated[str, typer.Option(help="a JSON file of faults; default: generated")] = "",
    lose: Annotated[float, typer.Option(help="fraction of datagrams lost", min=0, max=0.9)] = 0.0,
    starved: Annotated[float, typer.Option(help="fraction of CPU-starved members", min=0, max=1)] = 0.0,
    as_json: AsJson = False,
) -> None:
    """Simulates a fleet on virtual time with the softswitch's own code. Exits with 0 only if all views
    converged, no invariant was violated and no member was falsely declared gone.
    """
    from softswitch.standin.faults.fleet_simulation import run_simulation
    from softswitch.standin.faults.schedule import DISK_FAULTS

    site_by_name = {f"n{n}": "abcdefghijklmnopqrstuvwxyz"[n % sites] for n in range(members)}
    faults = load_faults(schedule, seed, site_by_name, seconds)
    for fault in faults:
        if fault.what in (*DISK_FAULTS, "flood"):
            exit_with_error(
                f"{schedule}: {fault.what!r} needs real processes; run it with `softswitch fleet drill`"
            )
    outcome = run_simulation(members, sites, seconds, seed, faults, lose=lose, starved=starved)
    report = {
        "members": members,
        "seconds": seconds,
        "seed": seed,
        "settled": outcome.settled,
        "settle_s": outcome.settle_s,
        "known_s": outcome.detect_s,
        "false_gone": outcome.false_gone,
        "falsely_suspected": outcome.false_suspect,
        "bytes_s": round(outcome.bytes_s, 1),
        "messages_s": round(outcome.messages_s, 2),
        "broken": outcome.violation,
    }
    if as_json:
        print(orjson.dumps(report).decode())
    else:
        table = Table("figure", "value")
        for key, value in report.items():
            table.add_row(key, str(value))
        Console().print(table)
    if outcome.violation:
        print(f"willowhitch: invariant violated: {outcome.violation}", file=sys.stderr)
    raise typer.Exit(0 if outcome.settled and not outcome.violation and not outcome.false_gone else 1)
