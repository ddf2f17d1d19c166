"""`softswitch agent`, and what one says to it: status, drain, restart, reload."""

from __future__ import annotations

import sys
from typing import Annotated

import typer

from softswitch import environment
from softswitch.cli.agent_client import tell

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)
Name = Annotated[str, typer.Argument(help="its name; else all")]
AGENT_NAMES = environment.names(environment.AGENT_SOCKET)
At = Annotated[str, typer.Option("--socket", help="the agent's socket", envvar=AGENT_NAMES)]


def application() -> typer.Typer:
    return app


def supervise(file: str) -> int:
    from loguru import logger

    from softswitch import agent as supervision

    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False, diagnose=False)
    try:
        return supervision.run(file)
    except supervision.AgentConfigError as e:
        print(f"willowhitch: {e}", file=sys.stderr)
        return 2


@app.command()
def agent(file: Annotated[str, typer.Argument(help="the TOML file that names them")]) -> None:
    """Starts, watches, restarts and drains softswitches."""
    raise typer.Exit(supervise(file))


@app.command()
def status(instance: Name = "", socket: At = "agent.sock") -> None:
    """How they are."""
    raise typer.Exit(tell(socket, "status", instance or None))


@app.command()
def drain(instance: Name = "", socket: At = "agent.sock") -> None:
    """Ends them in good order, for good."""
    raise typer.Exit(tell(socket, "drain", instance or None))


@app.command()
def restart(instance: Name = "", socket: At = "agent.sock") -> None:
    """Ends them in good order and starts them anew."""
    raise typer.Exit(tell(socket, "restart", instance or None))


@app.command()
def reload(instance: Name = "", socket: At = "agent.sock") -> None:
    """Has them read their configuration again, and keep serving."""
    raise typer.Exit(tell(socket, "reload", instance or None))
