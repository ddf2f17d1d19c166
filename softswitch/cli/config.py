"""`softswitch config`: checks and shows operator files."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer

from softswitch.cli import exit_with_error
from softswitch.operator.load import OperatorFileError, load
from softswitch.operator.tables import Operator


def application() -> typer.Typer:
    """Returns the Typer application."""
    return app


app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Operator files: Starlark files with the tables of the optional features of a softswitch.",
)
File = Annotated[str, typer.Argument(help="the operator file, such as deploy/operator.star")]


def _load(file: str) -> Operator:
    try:
        return load(file)
    except OperatorFileError as e:
        exit_with_error(e)


@app.command()
def check(file: File) -> None:
    """Checks whether a softswitch can use the file; if not, prints the reason and exits with code 2."""
    _load(file)
    print(f"{file}: valid")


@app.command()
def show(file: File) -> None:
    """Prints the values in effect, including defaults, as JSON."""
    print(msgspec.json.format(msgspec.json.encode(_load(file)), indent=2).decode())
