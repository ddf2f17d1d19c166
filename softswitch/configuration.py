"""Reads the files that a softswitch starts with: configuration, call-control settings, operator file."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from softswitch import environment

CONTROL = Path(__file__).resolve().parent.parent / "deploy" / "control.toml"  # or $SOFTSWITCH_CONTROL


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """What deploy/control.toml says."""

    listen: str = ""  # address:port; empty: off
    most_sockets: int = 100
    most_open: int = 1_000  # set-ups of one socket that wait for their answer
    keep_s: float = 30.0  # a call that stands and is watched by nobody is released after this
    origins: tuple[str, ...] = ()  # web pages that may connect; programs send no Origin

    @classmethod
    def of(cls, table: dict[str, Any]) -> ControlSettings:
        unknown = set(table) - set(cls.__dataclass_fields__)
        if unknown:
            raise ValueError(f"control: unknown key {sorted(unknown)[0]!r}")
        given: dict[str, Any] = {k: tuple(v) if isinstance(v, list) else v for k, v in table.items()}
        made = cls(**given)
        if not isinstance(made.listen, str) or made.most_sockets < 1 or made.most_open < 1 or made.keep_s < 0:
            raise ValueError("control: listen is a text, most_sockets and most_open >= 1, keep_s >= 0")
        return made


class BadConfiguration(Exception):
    """A configuration that cannot be served."""


def address(text: Any) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address")
    return host, int(port)


def configuration() -> dict[str, Any]:
    path = os.environ.get("BALANCER_CONFIG", "")
    if not path:
        raise BadConfiguration("BALANCER_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            config = orjson.loads(file.read())
        if not isinstance(config, dict):
            raise ValueError("not an object")
    except (OSError, ValueError) as e:
        raise BadConfiguration(f"{path}: {e}") from None
    config.setdefault("name", os.environ.get("BALANCER_NAME", "softswitch"))
    config.setdefault("listen", os.environ.get("BALANCER_LISTEN", ""))
    # This one the environment wins: while a process is replaced, two may read one file, and each has its own.
    config["mgmt"] = os.environ.get("BALANCER_MGMT") or config.get("mgmt") or ""
    return config


def control_settings() -> ControlSettings:
    path = Path(environment.variable(environment.CALL_CONTROL_FILE, str(CONTROL)))
    if not path.exists() and path == CONTROL:
        return ControlSettings()
    try:
        return ControlSettings.of(tomllib.loads(path.read_text()))
    except (OSError, ValueError, TypeError) as e:
        raise BadConfiguration(f"{path}: {e}") from None


def operator_file() -> Any:
    """The operator file's tables, where SOFTSWITCH_OPERATOR names one. None of its packages is loaded
    else.
    """
    path = environment.variable(environment.OPERATOR_FILE)
    if not path:
        return None
    try:
        from softswitch.operator.load import BadOperatorFile, load
    except ImportError as e:
        name = environment.names(environment.OPERATOR_FILE)[0]
        remedy = "pip install 'willowhitch[operator]'"
        raise BadConfiguration(f"{name}: needs {e.name}: {remedy}") from None
    try:
        return load(path)
    except BadOperatorFile as e:
        raise BadConfiguration(str(e)) from None
