"""The `softswitch` command. Without arguments it runs one softswitch, as the platform starts it.

Each group of commands is a module of this package. It is imported when one of its commands is called.
"""

from __future__ import annotations

import importlib
import sys
from typing import NoReturn

from softswitch.cli.agent_client import send_request

__all__ = ["main", "send_request"]

# command -> (module, help); each module has a function `application` that returns its Typer application
COMMANDS = {
    "agent": ("agents", "start, monitor, restart and drain softswitches"),
    "status": ("agents", "show the state of an agent's softswitches"),
    "drain": ("agents", "drain softswitches and stop them for good"),
    "restart": ("agents", "drain softswitches and start them again"),
    "reload": ("agents", "reload the configuration of softswitches without interrupting service"),
    "config": ("config", "check and show an operator file (Starlark: the optional features of a softswitch)"),
    "demo": ("demo", "run a softswitch with simulated callers and engines on loopback for a limited time"),
    "fleet": (
        "fleet",
        "compare the fleet views of softswitches; run drills (real processes) and simulations with faults",
    ),
    "soak": (
        "soak",
        "run softswitch processes under randomly generated load and faults, and check all rules",
    ),
    "traffic": ("traffic", "show the contents of a traffic record"),
    "trunks": ("trunks", "dimension trunk groups: blocking, circuits, estimate, plan, what-if, plots"),
}
MISSING_PACKAGES = "this command needs additional packages: pip install 'willowhitch[tools]'"


def overview() -> str:
    """Returns the help text of the `softswitch` command."""
    width = max(map(len, COMMANDS)) + 2
    lines = [
        "usage: softswitch [COMMAND ...]",
        "",
        "Without arguments: runs one softswitch. The environment variable BALANCER_CONFIG must contain\n"
        "the path of its configuration.",
        "",
    ]
    return "\n".join(
        [
            *lines,
            *(f"  {name:<{width}}{text}" for name, (_, text) in COMMANDS.items()),
            "",
            "Run `softswitch COMMAND --help` for details.",
        ]
    )


def main(args: list[str] | None = None) -> int:
    """Runs a command, or a softswitch if there are no arguments; returns the exit code."""
    args = sys.argv[1:] if args is None else args
    if not args:
        from softswitch.__main__ import main as softswitch

        return softswitch()
    if args[0] in ("-h", "--help", "help"):
        print(overview())
        return 0
    if args[0] not in COMMANDS:
        print(f"willowhitch: unknown command '{args[0]}'; commands: {', '.join(COMMANDS)}", file=sys.stderr)
        return 2
    group = COMMANDS[args[0]][0]
    try:
        app = importlib.import_module(f"softswitch.cli.{group}").application()
    except ImportError as e:
        if (e.name or "softswitch").startswith("softswitch"):
            raise
        print(f"willowhitch: {e.name} is missing; {MISSING_PACKAGES}", file=sys.stderr)
        return 2
    try:
        # The commands of `agents` are top-level commands; the other modules are named by the first argument.
        app(
            args if group == "agents" else args[1:],
            prog_name="softswitch" + ("" if group == "agents" else f" {args[0]}"),
        )
    except SystemExit as e:
        return e.code if isinstance(e.code, int) else 0 if e.code is None else 1
    return 0


def exit_with_error(message: object) -> NoReturn:
    """Prints a message in one line and exits with code 2, for invalid input."""
    print(f"willowhitch: {' '.join(str(message).split())}", file=sys.stderr)
    raise SystemExit(2)
