"""`softswitch fleet`: what many softswitches say of their fleet, drills on processes, runs on virtual
time.
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

from softswitch.cli import bad

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)
MOST_ADDRESSES = 1_000
AsJson = Annotated[bool, typer.Option("--json", help="one JSON object, no table")]


def application() -> typer.Typer:
    return app


def ask_all(addresses: list[str], seconds: float, what: str, key: str) -> dict[str, dict[str, Any]]:
    """What each of them says, in the order given; each is asked once, many at a time."""
    addresses = list(dict.fromkeys(addresses))
    if len(addresses) > MOST_ADDRESSES:
        bad(f"{len(addresses)} addresses; at most {MOST_ADDRESSES} are asked at once")
    with ThreadPoolExecutor(min(32, len(addresses))) as pool:
        said = pool.map(lambda a: ask(a, seconds, what, key), addresses)
        return dict(zip(addresses, said, strict=True))


def ask(address: str, seconds: float, what: str, key: str) -> dict[str, Any]:
    """What the softswitch whose management address this is says of its fleet, or of `what`; `error` says why
    there is nothing.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        return {"error": f"{address!r} is no address; host:port of `mgmt` is wanted"}
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
        try:
            connection.request("GET", f"/v1/{what}")
            answer = connection.getresponse()
            body = answer.read()
        finally:
            connection.close()
        if answer.status == 404:
            return {"error": f"has none: its operator file has no `{what}`"}
        if answer.status != 200:
            return {"error": f"answered {answer.status}"}
        view = orjson.loads(body)
        if not isinstance(view, dict) or key not in view:
            return {"error": "not what was asked for in what it answered"}
        return view
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as e:
        return {"error": f"not reached: {e}"}


def compared(views: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """What all say, member by member. `disagree`: where they differ, and since when that can be at the
    most.
    """
    told = {address: view for address, view in views.items() if "error" not in view}
    rows: dict[str, dict[str, Any]] = {}
    for address, view in told.items():
        for m in view["members"]:
            key = f"{m['name']}@{m['address']}"
            row = rows.setdefault(key, {k: m[k] for k in ("name", "address", "site")} | {"said": {}})
            row["said"][address] = {k: m[k] for k in ("state", "incarnation", "for_ms", "version", "config")}
    for row in rows.values():
        said = row["said"]
        states = {(s["state"], s["incarnation"]) for s in said.values()}
        row["agree"] = len(states) == 1 and len(said) == len(told)
        # They have differed since the last of them learned what it holds now, or for less.
        row["differ_ms"] = 0 if row["agree"] else min(s["for_ms"] for s in said.values())
    fleets = {view["fleet"] for view in told.values()}
    cut_off = [address for address, view in told.items() if view["cut_off"]]
    heard = bool(told) and len(told) == len(views)
    agree = heard and len(fleets) == 1 and all(row["agree"] for row in rows.values())
    return {
        "agree": agree,
        "cut_off": cut_off,
        "fleets": sorted(fleets),
        "errors": {a: v["error"] for a, v in views.items() if "error" in v},
        "names_taken": {a: v["names_taken"] for a, v in told.items() if v["names_taken"]},
        "members": [rows[key] for key in sorted(rows)],
    }


def table_of(found: dict[str, Any], asked: int) -> Table:
    table = Table(
        "member",
        "site",
        "state",
        "incarnation",
        "for s",
        "version",
        "config",
        "agree",
        title=f"fleet {', '.join(found['fleets']) or '-'}: {asked} asked",
    )
    for row in found["members"]:
        by: dict[tuple[str, int], list[dict[str, Any]]] = {}
        for said in row["said"].values():
            by.setdefault((said["state"], said["incarnation"]), []).append(said)
        most = sorted(by.items(), key=lambda item: -len(item[1]))
        for n, ((state, incarnation), some) in enumerate(most):
            first = some[0]
            table.add_row(
                row["name"] if n == 0 else "",
                row["site"] if n == 0 else "",
                state if len(most) == 1 else f"{state} ({len(some)} say so)",
                str(incarnation),
                f"{max(s['for_ms'] for s in some) / 1000:.1f}",
                first["version"],
                first["config"][:8],
                "yes" if row["agree"] else f"no, for {row['differ_ms'] / 1000:.1f} s" if n == 0 else "",
            )
    return table


@app.command()
def view(
    addresses: Annotated[list[str], typer.Argument(help="management addresses, host:port")],
    seconds: Annotated[float, typer.Option(help="how long each may take", min=0.1, max=60)] = 2.0,
    as_json: AsJson = False,
) -> None:
    """What the softswitches say of their fleet, and where they disagree. Exit 0 only if all agree."""
    views = ask_all(addresses, seconds, "fleet", "members")
    found = compared(views)
    if as_json:
        print(orjson.dumps(found).decode())
    else:
        screen = Console()
        screen.print(table_of(found, len(views)))
        for address, why in found["errors"].items():
            screen.print(f"{address}: {why}", markup=False)
        for address in found["cut_off"]:
            screen.print(f"{address}: says that it is cut off", markup=False)
        for address, taken in found["names_taken"].items():
            screen.print(f"{address}: its name is claimed by {', '.join(taken)} too", markup=False)
        screen.print("All agree." if found["agree"] else "They do not agree.")
    raise typer.Exit(0 if found["agree"] else 1)


@app.command()
def budgets(
    addresses: Annotated[list[str], typer.Argument(help="management addresses, host:port")],
    seconds: Annotated[float, typer.Option(help="how long each may take", min=0.1, max=60)] = 2.0,
    as_json: AsJson = False,
) -> None:
    """Who holds which part of the fleet's budgets until when. Exit 0 only if all were reached and no sum is
    above its whole.
    """
    from softswitch.cli.budgets import summed, tables

    found = summed(ask_all(addresses, seconds, "budgets", "budgets"))
    if as_json:
        print(orjson.dumps(found).decode())
    else:
        screen = Console()
        for table in tables(found):
            screen.print(table)
        for address, why in found["errors"].items():
            screen.print(f"{address}: {why}", markup=False)
        nobody = "nobody: all are at their floors, or soon"
        screen.print(f"allocator: {', '.join(found['in_office']) or nobody}", markup=False)
        for name in found["over"]:
            screen.print(f"{name}: THE SUM IS ABOVE THE WHOLE", markup=False)
    raise typer.Exit(1 if found["over"] or found["errors"] else 0)


def faults_of(schedule: str, seed: int, sites: dict[str, str], seconds: float) -> list[Any]:
    from softswitch.standin.faults.schedule import ScheduleError, generate_schedule, read_schedule

    if not schedule:
        return generate_schedule(seed, list(sites), sites, seconds)
    try:
        faults = read_schedule(schedule, sites)
    except ScheduleError as e:
        bad(e)
    late = [f for f in faults if f.at_s >= seconds]
    if late:
        bad(
            f"{schedule}: {late[0].what} at {late[0].at_s:g} s comes after the run's {seconds:g} s; "
            "give it more --seconds"
        )
    return faults


@app.command()
def drill(
    softswitches: Annotated[int, typer.Option(help="real processes", min=2, max=60)] = 12,
    sites: Annotated[int, typer.Option(min=1, max=12)] = 3,
    seconds: Annotated[float, typer.Option(help="how long calls and faults come", min=5, max=3600)] = 40.0,
    seed: Annotated[int, typer.Option(help="of traffic, links, and of the schedule where none is given")] = 7,
    schedule: Annotated[str, typer.Option(help="a JSON file of faults; else they are drawn")] = "",
    rate: Annotated[float, typer.Option(help="calls a second over all", min=0, max=1000)] = 24.0,
    keep: Annotated[str, typer.Option(help="a file for the schedule as it was played")] = "",
    budgets: Annotated[str, typer.Option(help="a JSON file of budgets, divided among them")] = "",
    heavy: Annotated[float, typer.Option(help="share of all calls at one softswitch", min=0, max=1)] = 0.0,
    heavy_moves: Annotated[float, typer.Option(help="s until it moves; 0: never", min=0)] = 0.0,
    as_json: AsJson = False,
) -> None:
    """Starts softswitches with faults between them. Exit 0 only if all settled, nobody was falsely called
    gone and no sum of a budget was above its whole.
    """
    from softswitch.standin.faults.drill import Drill
    from softswitch.standin.fleet import FleetFailed

    names = {f"n{n}": "abcdefghijkl"[n % sites] for n in range(softswitches)}
    faults = faults_of(schedule, seed, names, seconds)
    if any(fault.what == "disk slow" for fault in faults):
        bad(f"{schedule}: 'disk slow' can't be put under a real process; `disk full`, `disk read-only` can")
    screen = Console()
    live = None if as_json else Live(console=screen, refresh_per_second=2)

    def show(play: Drill) -> None:
        if live:
            live.update(drill_table(play))

    made = Drill(
        softswitches,
        sites,
        seconds,
        seed,
        faults,
        rate,
        on_second=show,
        budgets=budgets_of(budgets, softswitches),
        heavy=heavy,
        moves_s=heavy_moves,
    )
    try:
        if live:
            with live:
                seen = made.run_and_report()
        else:
            seen = made.run_and_report()
    except FleetFailed as e:
        bad(e)
    if keep:
        try:
            Path(keep).write_bytes(seen.schedule())
        except OSError as e:
            bad(f"{keep}: {e.strerror}; name a file that can be written")
    if as_json:
        print(orjson.dumps(seen.to_dict()).decode())
    else:
        screen.print(faults_table(seen.to_dict()))
        if seen.budgets:
            screen.print(budgets_table(seen.budgets))
        screen.print(
            f"settled: {'yes' if seen.settled else 'no'}; falsely called gone: "
            f"{', '.join(seen.false_gone) or 'nobody'}; {seen.calls} calls, {seen.carried} stood, "
            f"{seen.unanswered} without an answer in time",
            markup=False,
        )
    raise typer.Exit(0 if seen.settled and not seen.false_gone and not seen.exceeded_budgets else 1)


def budgets_of(path: str, members: int) -> list[dict[str, Any]]:
    """The budgets of a JSON file, checked as those of an operator file are."""
    if not path:
        return []
    import msgspec

    from softswitch.budgets.plan import make_plan
    from softswitch.operator.tables import Allocation, Budget

    try:
        found = msgspec.json.decode(Path(path).read_bytes(), type=tuple[Budget, ...])
        at = tuple(f"127.0.0.1:{n + 1}" for n in range(members))
        make_plan(found, Allocation(members=at, voters=at[:1]))
        made: list[dict[str, Any]] = msgspec.to_builtins(found)
    except OSError as e:
        bad(f"{path}: can't be read: {e.strerror}")
    except (msgspec.DecodeError, ValueError) as e:
        bad(f"{path}: {e}")
    return made


def budgets_table(told: dict[str, Any]) -> Table:
    table = Table("budget", "whole", "in s", "most held", "most spent", "most seen at engines", "in all")
    for name, b in told.items():
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


def drill_table(play: Any) -> Table:
    table = Table(
        "process",
        "site",
        "is",
        "says alive",
        "suspect",
        "gone",
        "cut off",
        title=f"second {play.now():.0f} of {play.day.seconds:.0f}",
    )
    for n, name in enumerate(play.names):
        said = play.views.get(n)
        states = [m["state"] for m in said["members"]] if said else []
        table.add_row(
            name,
            play.sites[name],
            play.expected_state[n],
            str(states.count("alive")) if said else "-",
            str(states.count("suspect")),
            str(states.count("gone")),
            "yes" if said and said["cut_off"] else "",
        )
    return table


def faults_table(told: dict[str, Any]) -> Table:
    table = Table("fault", "who", "began s", "ended s", "all knew after s", "views equal after its end, s")
    for f in told["faults"]:
        shown = [f[k] for k in ("began_s", "ended_s", "known_s", "settle_s")]
        table.add_row(f["what"], ", ".join(f["who"])[:40], *("-" if v is None else f"{v:.2f}" for v in shown))
    return table


@app.command()
def simulate(
    members: Annotated[int, typer.Option(min=2, max=20_000)] = 100,
    sites: Annotated[int, typer.Option(min=1, max=26)] = 4,
    seconds: Annotated[float, typer.Option(help="of virtual time", min=5, max=86_400)] = 60.0,
    seed: Annotated[int, typer.Option(help="of all that is drawn")] = 7,
    schedule: Annotated[str, typer.Option(help="a JSON file of faults; else they are drawn")] = "",
    lose: Annotated[float, typer.Option(help="share of datagrams lost throughout", min=0, max=0.9)] = 0.0,
    starved: Annotated[float, typer.Option(help="share of members short of processor", min=0, max=1)] = 0.0,
    as_json: AsJson = False,
) -> None:
    """The same code on virtual time. Exit 0 only if all settled, no rule broke and nobody was falsely called
    gone.
    """
    from softswitch.standin.faults.fleet_simulation import run_simulation
    from softswitch.standin.faults.schedule import DISK_FAULTS

    names = {f"n{n}": "abcdefghijklmnopqrstuvwxyz"[n % sites] for n in range(members)}
    faults = faults_of(schedule, seed, names, seconds)
    for fault in faults:
        if fault.what in (*DISK_FAULTS, "flood"):
            bad(f"{schedule}: {fault.what!r} needs processes: play it by `softswitch fleet drill`")
    o = run_simulation(members, sites, seconds, seed, faults, lose=lose, starved=starved)
    told = {
        "members": members,
        "seconds": seconds,
        "seed": seed,
        "settled": o.settled,
        "settle_s": o.settle_s,
        "known_s": o.detect_s,
        "false_gone": o.false_gone,
        "falsely_suspected": o.false_suspect,
        "bytes_s": round(o.bytes_s, 1),
        "messages_s": round(o.messages_s, 2),
        "broken": o.violation,
    }
    if as_json:
        print(orjson.dumps(told).decode())
    else:
        table = Table("figure", "value")
        for key, value in told.items():
            table.add_row(key, str(value))
        Console().print(table)
    if o.violation:
        print(f"willowhitch: a rule broke: {o.violation}", file=sys.stderr)
    raise typer.Exit(0 if o.settled and not o.violation and not o.false_gone else 1)
