"""The `softswitch` command. With no arguments it runs one softswitch, as the platform starts it.

Each group of commands is a module of this package, loaded when one of its commands is asked for.
"""

from __future__ import annotations

import importlib
import sys
from typing import NoReturn

from softswitch.cli.agent_client import ask

__all__ = ["ask", "main"]

# command -> module, help; the modules have a Typer application `app`
COMMANDS = {
    "agent": ("agents", "starts, watches, restarts and drains softswitches"),
    "status": ("agents", "how an agent's softswitches are"),
    "drain": ("agents", "end them in good order, for good"),
    "restart": ("agents", "end them in good order and start them anew"),
    "reload": ("agents", "have them read their configuration again, and keep serving"),
    "config": ("config", "check and show an operator file"),
    "demo": ("demo", "a softswitch among stand-ins on loopback, for a bounded time"),
    "fleet": ("fleet", "what softswitches say of their fleet; drills and runs with faults between them"),
    "soak": ("soak", "real softswitches among stand-ins, drawn from a seed, held against every rule"),
    "traffic": ("traffic", "what a traffic record holds"),
    "trunks": ("trunks", "dimension trunk groups: blocking, circuits, estimate, plan, what-if, plots"),
}
EXTRA = "this command needs its packages: pip install 'willowhitch[tools]'"


def overview() -> str:
    wide = max(map(len, COMMANDS)) + 2
    lines = [
        "usage: softswitch [COMMAND ...]",
        "",
        "With no arguments: runs one softswitch (BALANCER_CONFIG).",
        "",
    ]
    return "\n".join(
        [
            *lines,
            *(f"  {name:<{wide}}{text}" for name, (_, text) in COMMANDS.items()),
            "",
            "`softswitch COMMAND --help` tells more.",
        ]
    )


def main(words: list[str] | None = None) -> int:
    words = sys.argv[1:] if words is None else words
    if not words:
        from softswitch.__main__ import main as softswitch

        return softswitch()
    if words[0] in ("-h", "--help", "help"):
        print(overview())
        return 0
    if words[0] not in COMMANDS:
        print(f"willowhitch: no command '{words[0]}'; there are {', '.join(COMMANDS)}", file=sys.stderr)
        return 2
    group = COMMANDS[words[0]][0]
    try:
        app = importlib.import_module(f"softswitch.cli.{group}").application()
    except ImportError as e:
        if (e.name or "softswitch").startswith("softswitch"):
            raise
        print(f"willowhitch: {e.name} is missing; {EXTRA}", file=sys.stderr)
        return 2
    try:
        # A group of one name stands by itself; `agents` has several words of the top level.
        app(
            words if group == "agents" else words[1:],
            prog_name="softswitch" + ("" if group == "agents" else f" {words[0]}"),
        )
    except SystemExit as e:
        return e.code if isinstance(e.code, int) else 0 if e.code is None else 1
    return 0


def bad(text: object) -> NoReturn:
    """Ends a command over bad input: one plain line, exit code 2."""
    print(f"willowhitch: {' '.join(str(text).split())}", file=sys.stderr)
    raise SystemExit(2)
