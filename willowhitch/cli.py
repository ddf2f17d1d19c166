"""The `willowhitch` command. With no arguments it runs one softswitch, as the platform starts it."""
from __future__ import annotations

import argparse
import os
import socket
import sys

import orjson
from loguru import logger

TIMEOUT = 5.0  # s


def ask(path: str, what: str, name: str | None) -> dict:
    """One question to the agent."""
    with socket.socket(socket.AF_UNIX) as line:
        line.settimeout(TIMEOUT)
        line.connect(path)
        line.sendall(orjson.dumps({"do": what} | ({"name": name} if name else {})) + b"\n")
        return orjson.loads(line.makefile("rb").readline())


def tell(path: str, what: str, name: str | None) -> int:
    try:
        answer = ask(path, what, name)
    except (OSError, ValueError) as e:
        print(f"willowhitch: agent at {path}: {e}", file=sys.stderr)
        return 1
    if "error" in answer:
        print(f"willowhitch: {answer['error']}", file=sys.stderr)
        return 1
    for i in answer["instances"]:
        print(f"{i['name']:<16} {i['state']:<9} process {i['pid'] or '-':<8} starts {i['starts']:<4} "
              f"for {i['seconds']:.1f} s")
    return 0


def main(words: list[str] | None = None) -> int:
    words = sys.argv[1:] if words is None else words
    if not words:
        from willowhitch.__main__ import main as softswitch
        return softswitch()
    parser = argparse.ArgumentParser("willowhitch", description="With no arguments: runs one softswitch.")
    commands = parser.add_subparsers(dest="command", required=True)
    agent = commands.add_parser("agent", help="starts, watches, restarts and drains softswitches")
    agent.add_argument("file", help="the TOML file that names them")
    for name, text in (("status", "how they are"), ("drain", "end them in good order, for good"),
                       ("restart", "end them in good order and start them anew"),
                       ("reload", "have them read their configuration again, and keep serving")):
        command = commands.add_parser(name, help=text)
        command.add_argument("instance", nargs="?", help="its name; else all")
        command.add_argument("--socket", default=os.environ.get("WILLOWHITCH_AGENT", "agent.sock"),
                             help="the agent's socket (else WILLOWHITCH_AGENT, else ./agent.sock)")
    said = parser.parse_args(words)
    if said.command != "agent":
        return tell(said.socket, said.command, said.instance)
    from willowhitch import agent as supervision
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False, diagnose=False)
    try:
        return supervision.run(said.file)
    except supervision.BadFile as e:
        print(f"willowhitch: {e}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
