"""Reads the files that a softswitch starts with: configuration, call-control settings, operator file."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from softswitch import environment
from softswitch import interface as i
from softswitch.settings import SettingsError, check_settings

CONTROL_FILE = Path(__file__).resolve().parent.parent / "deploy" / "control.toml"  # or $SOFTSWITCH_CONTROL
DEFAULT_MEMORY_MB = 1_000
DEFAULT_SEED = "0"  # hexadecimal

Json = Any  # a value as `orjson.loads` gives it; checked before it is used


class ConfigurationError(Exception):
    """A configuration that cannot be served; the text names the file or key, and the remedy."""


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: Json) -> Address:
        """`host:port`; ValueError if it is none."""
        host, _, port = str(text).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError(f"{text!r} is no address")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def pair(self) -> tuple[str, int]:
        """As sockets take it."""
        return (self.host, self.port)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the platform allows this process."""

    memory_mb: int = DEFAULT_MEMORY_MB
    sockets: int | None = None  # descriptors; None: as the system says


@dataclass(frozen=True, slots=True)
class Configuration:
    """One configuration, with what a reload can change read and checked.

    The rest is read at the start alone: its properties raise ValueError or TypeError where it can't be taken.
    """

    document: dict[str, Json]  # the JSON object that it came from
    settings: i.Settings
    board: Address

    @property
    def name(self) -> str:
        """The softswitch's name."""
        return str(self.document["name"])

    @property
    def listen(self) -> Address:
        """Where callers connect."""
        return Address.parse(self.document["listen"])

    @property
    def management(self) -> Address | None:
        """Where operators connect; None: nowhere."""
        text = self.document["mgmt"]
        if not text:
            return None
        try:
            return Address.parse(text)
        except ValueError as e:
            raise ConfigurationError(f"mgmt (or $BALANCER_MGMT): {e}; address:port is wanted") from None

    @property
    def seed(self) -> int:
        """Of the random numbers."""
        return int(str(self.document.get("seed") or DEFAULT_SEED), 16)

    @property
    def limits(self) -> Limits:
        """What the platform allows."""
        limits = self.document.get("limits") or {}
        sockets = limits.get("sockets")
        return Limits(int(limits.get("memory_mb") or DEFAULT_MEMORY_MB), int(sockets) if sockets else None)

    @property
    def known_events(self) -> dict[str, Json]:
        """The endpoint list's events up to now, as the board's watch reads them."""
        return self.document.get("known") or {}

    def differing(self, other: Configuration, keys: tuple[str, ...]) -> list[str]:
        """Those of these keys that have other values in the other one."""
        return [key for key in keys if self.document.get(key) != other.document.get(key)]

    def keeping(self, other: Configuration, keys: tuple[str, ...]) -> Configuration:
        """This one, with these keys as the other one has them."""
        kept = {key: other.document[key] for key in keys if key in other.document}
        return replace(self, document=self.document | kept)


def load_document() -> dict[str, Json]:
    """The configuration file's object, completed from the environment."""
    path = os.environ.get("BALANCER_CONFIG", "")
    if not path:
        raise ConfigurationError("BALANCER_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except (OSError, ValueError) as e:
        raise ConfigurationError(f"{path}: {e}") from None
    if not isinstance(document, dict):
        raise ConfigurationError(f"{path}: not an object")
    document.setdefault("name", os.environ.get("BALANCER_NAME", "softswitch"))
    document.setdefault("listen", os.environ.get("BALANCER_LISTEN", ""))
    # Here the environment wins: while a process is replaced, two may read one file, and each has its own.
    document["mgmt"] = os.environ.get("BALANCER_MGMT") or document.get("mgmt") or ""
    return document


def load_configuration(running: Configuration | None = None) -> Configuration:
    """Reads the configuration strictly, before anything of it is taken.

    `running`: the one in force. A file that lacks a key that it has is not complete.
    """
    document = load_document()
    for key in running.document if running else ():
        if key not in document:
            raise ConfigurationError(f"{key} is missing")
    try:
        settings = check_settings(document["settings"], running.document["settings"] if running else None)
        return Configuration(document, settings, Address.parse(document["board"]))
    except SettingsError as e:
        raise ConfigurationError(str(e)) from None
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as e:
        raise ConfigurationError(f"configuration: {type(e).__name__}: {e}") from None


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """What deploy/control.toml says; the names are its keys."""

    listen: str = ""  # address:port; empty: off
    most_sockets: int = 100
    most_open: int = 1_000  # call setups of one socket that wait for their answer
    keep_s: float = 30.0  # an established call that nobody watches is released after this
    origins: tuple[str, ...] = ()  # web pages that may connect; programs send no Origin

    @classmethod
    def parse(cls, table: dict[str, Json]) -> ControlSettings:
        """The settings of a table; ValueError with what is wrong."""
        unknown = sorted(set(table) - set(cls.__dataclass_fields__))
        if unknown:
            raise ValueError(f"control: unknown key {unknown[0]!r}")
        given: dict[str, Any] = {
            key: tuple(value) if isinstance(value, list) else value for key, value in table.items()
        }
        settings = cls(**given)
        counts = settings.most_sockets >= 1 and settings.most_open >= 1
        if not isinstance(settings.listen, str) or not counts or settings.keep_s < 0:
            raise ValueError("control: listen is a text, most_sockets and most_open >= 1, keep_s >= 0")
        return settings


def load_control_settings() -> ControlSettings:
    """The call-control settings; off where there is no file."""
    path = Path(environment.variable(environment.CALL_CONTROL_FILE, str(CONTROL_FILE)))
    if not path.exists() and path == CONTROL_FILE:
        return ControlSettings()
    try:
        return ControlSettings.parse(tomllib.loads(path.read_text()))
    except (OSError, ValueError, TypeError) as e:
        raise ConfigurationError(f"{path}: {e}") from None


def load_operator_file() -> Any:
    """The operator file's tables (`operator.tables`), where the environment names one; else None.

    None of its packages is loaded without.
    """
    path = environment.variable(environment.OPERATOR_FILE)
    if not path:
        return None
    try:
        from softswitch.operator.load import OperatorFileError, load
    except ImportError as e:
        name = environment.names(environment.OPERATOR_FILE)[0]
        remedy = "pip install 'willowhitch[operator]'"
        raise ConfigurationError(f"{name}: needs {e.name}: {remedy}") from None
    try:
        return load(path)
    except OperatorFileError as e:
        raise ConfigurationError(str(e)) from None
