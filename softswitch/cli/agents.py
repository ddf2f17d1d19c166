"""`softswitch agent` and the commands that are sent to a running agent: status, drain, restart, reload.

An agent is a process that runs the softswitches of a host as its child processes.
"""

from __future__ import annotations

import sys
from typing import Annotated

import typer

from softswitch import environment
from softswitch.cli.agent_client import run_command

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)
Name = Annotated[str, typer.Argument(help="the name of a softswitch; default: all")]
AGENT_NAMES = environment.names(environment.AGENT_SOCKET)
At = Annotated[str, typer.Option("--socket", help="path of the agent's local socket", envvar=AGENT_NAMES)]


def application() -> typer.Typer:
    """Returns the Typer application."""
    return app


def supervise(file: str) -> int:
    """Runs an agent in this process until it is stopped; returns the exit code."""
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
def agent(file: Annotated[str, typer.Argument(help="a TOML file that lists the softswitches")]) -> None:
    """Runs an agent, which starts, monitors, restarts and drains the softswitches of the file."""
    raise typer.Exit(supervise(file))


@app.command()
def status(instance: Name = "", socket: At = "agent.sock") -> None:
    """Shows the state of the softswitches."""
    raise typer.Exit(run_command(socket, "status", instance or None))


@app.command()
def drain(instance: Name = "", socket: At = "agent.sock") -> None:
    """Drains the softswitches and stops them for good."""
    raise typer.Exit(run_command(socket, "drain", instance or None))


@app.command()
def restart(instance: Name = "", socket: At = "agent.sock") -> None:
    """Drains the softswitches and starts them again."""
    raise typer.Exit(run_command(socket, "restart", instance or None))


@app.command()
def reload(instance: Name = "", socket: At = "agent.sock") -> None:
    """Reloads the configuration of the softswitches without interrupting service."""
    raise typer.Exit(run_command(socket, "reload", instance or None))
