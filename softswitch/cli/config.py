"""`softswitch config`: operator files."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer

from softswitch.cli import bad
from softswitch.operator.load import OperatorFileError, load
from softswitch.operator.tables import Operator


def application() -> typer.Typer:
    return app


app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False, help="Operator files."
)
File = Annotated[str, typer.Argument(help="the operator file, such as deploy/operator.star")]


def _loaded(file: str) -> Operator:
    try:
        return load(file)
    except OperatorFileError as e:
        bad(e)


@app.command()
def check(file: File) -> None:
    """Tells whether a softswitch can serve the file; exit code 2 with one line if not."""
    _loaded(file)
    print(f"{file}: good")


@app.command()
def show(file: File) -> None:
    """The values in force, defaults filled in, as JSON."""
    print(msgspec.json.format(msgspec.json.encode(_loaded(file)), indent=2).decode())
