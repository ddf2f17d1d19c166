"""What the command line says to an agent over its local socket."""

from __future__ import annotations

import socket
import sys
from typing import Any

import orjson

TIMEOUT = 5.0  # s


def ask(path: str, what: str, name: str | None) -> dict[str, Any]:
    """One question to the agent."""
    with socket.socket(socket.AF_UNIX) as line:
        line.settimeout(TIMEOUT)
        line.connect(path)
        line.sendall(orjson.dumps({"do": what} | ({"name": name} if name else {})) + b"\n")
        answer: dict[str, Any] = orjson.loads(line.makefile("rb").readline())
        return answer


def tell(path: str, what: str, name: str | None) -> int:
    """Asks, and prints the answer; the exit code."""
    try:
        answer = ask(path, what, name)
    except (OSError, ValueError) as e:
        print(f"willowhitch: agent at {path}: {e}", file=sys.stderr)
        return 1
    if "error" in answer:
        print(f"willowhitch: {answer['error']}", file=sys.stderr)
        return 1
    for i in answer["instances"]:
        print(
            f"{i['name']:<16} {i['state']:<9} process {i['pid'] or '-':<8} starts {i['starts']:<4} "
            f"for {i['seconds']:.1f} s"
        )
    return 0
