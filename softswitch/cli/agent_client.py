"""Requests of the command line to an agent over its local socket."""

from __future__ import annotations

import socket
import sys
from typing import Any

import orjson

TIMEOUT = 5.0  # s


def send_request(path: str, command: str, name: str | None) -> dict[str, Any]:
    """Sends one command to the agent and returns its response; `name` selects one softswitch, None all.

    Raises OSError if the agent is not reached, and ValueError if its response is not JSON.
    """
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(TIMEOUT)
        connection.connect(path)
        connection.sendall(orjson.dumps({"do": command} | ({"name": name} if name else {})) + b"\n")
        response: dict[str, Any] = orjson.loads(connection.makefile("rb").readline())
        return response


def run_command(path: str, command: str, name: str | None) -> int:
    """Sends one command to the agent and prints its response; returns the exit code."""
    try:
        response = send_request(path, command, name)
    except (OSError, ValueError) as e:
        print(f"willowhitch: agent at {path}: {e}", file=sys.stderr)
        return 1
    if "error" in response:
        print(f"willowhitch: {response['error']}", file=sys.stderr)
        return 1
    for i in response["instances"]:
        print(
            f"{i['name']:<16} {i['state']:<9} process {i['pid'] or '-':<8} starts {i['starts']:<4} "
            f"for {i['seconds']:.1f} s"
        )
    return 0
