"""`willowhitch trunks`: how many circuits a trunk group needs, and what blocking it has."""
from __future__ import annotations

from typing import Annotated, Any

import orjson
import typer

from willowhitch.cli import bad
from willowhitch.dimension import loss, peaky
from willowhitch.dimension.loss import OutOfRange


def application() -> typer.Typer:
    return app


app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="Trunk groups.")
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
def blocking(erlangs: Erlangs, circuits: Annotated[float, typer.Option(help="circuits of the group")],
             peakedness: Peakedness = 1.0, day_variance: Variance = 0.0, redials: Again = 0.0,
             as_json: Json = False) -> None:
    """The share of calls that find no circuit."""
    try:
        total = erlangs
        if redials:
            if peakedness != 1.0 or day_variance:
                raise OutOfRange("--redials goes with random traffic alone: leave out --peakedness and "
                                 "--day-variance")
            share, total = loss.erlang_b_redials(circuits, erlangs, redials)
        elif day_variance:
            share = peaky.day_to_day(circuits, erlangs, day_variance, peakedness)
        else:
            share = peaky.blocking(circuits, erlangs, peakedness)
        plain = loss.erlang_b(circuits, erlangs)
    except OutOfRange as e:
        bad(e)
    told = {"blocking": share, "erlangs": erlangs, "circuits": circuits, "peakedness": peakedness,
            "erlang_b": plain, "carried_erlangs": total * (1 - share), "offered_with_redials": total}
    tell(told, as_json, f"blocking {percent(share)} of {total:g} erlangs offered to {circuits:g} circuits",
         *([f"plain Erlang B: {percent(plain)}"] if share != plain else []))


@app.command()
def circuits(erlangs: Erlangs, target: Annotated[float, typer.Option(help="blocking, such as 0.01")],
             peakedness: Peakedness = 1.0, as_json: Json = False) -> None:
    """The circuits that a stated blocking needs."""
    try:
        exact = peaky.circuits_for(erlangs, target, peakedness)
        plain = loss.whole(loss.circuits_for(erlangs, target))
        needed = loss.whole(exact)
        share = peaky.blocking(needed, erlangs, peakedness)
    except OutOfRange as e:
        bad(e)
    told = {"circuits": needed, "exact": exact, "blocking": share, "erlangs": erlangs, "target": target,
            "peakedness": peakedness, "erlang_b_circuits": plain}
    tell(told, as_json, f"{needed} circuits for {erlangs:g} erlangs at {percent(target)}: blocking "
         f"{percent(share)}", *([f"plain Erlang B: {plain}"] if needed != plain else []))
