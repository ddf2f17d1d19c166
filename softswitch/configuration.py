"""Reads the files of a softswitch: configuration, call-control settings and operator file."""

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

Json = Any  # an unchecked value from `orjson.loads`


class ConfigurationError(Exception):
    """The configuration is invalid. The message names the file or key, and the remedy."""


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: Json) -> Address:
        """Parses `host:port`. Raises ValueError if the text is malformed."""
        host, _, port = str(text).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError(f"{text!r} is no address")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def pair(self) -> tuple[str, int]:
        """The address as a tuple, as sockets expect it."""
        return (self.host, self.port)


@dataclass(frozen=True, slots=True)
class Limits:
    """Resource limits of this process, set by the platform."""

    memory_mb: int = DEFAULT_MEMORY_MB
    sockets: int | None = None  # max file descriptors; None: the limit of the operating system


@dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration. The values that a reload can change are parsed and checked.

    The other values are only read at startup, through properties that raise ValueError or TypeError if a
    value is invalid.
    """

    document: dict[str, Json]  # the JSON object of the file
    settings: i.Settings
    board: Address  # server of the endpoint watch

    @property
    def name(self) -> str:
        """The name of the softswitch."""
        return str(self.document["name"])

    @property
    def listen(self) -> Address:
        """The address on which callers connect."""
        return Address.parse(self.document["listen"])

    @property
    def management(self) -> Address | None:
        """The management address, on which operators connect; None if there is none."""
        text = self.document["mgmt"]
        if not text:
            return None
        try:
            return Address.parse(text)
        except ValueError as e:
            raise ConfigurationError(f"mgmt (or $BALANCER_MGMT): {e}; expected address:port") from None

    @property
    def seed(self) -> int:
        """The seed of the random number generators."""
        return int(str(self.document.get("seed") or DEFAULT_SEED), 16)

    @property
    def limits(self) -> Limits:
        """The resource limits of this process."""
        limits = self.document.get("limits") or {}
        sockets = limits.get("sockets")
        return Limits(int(limits.get("memory_mb") or DEFAULT_MEMORY_MB), int(sockets) if sockets else None)

    @property
    def known_events(self) -> dict[str, Json]:
        """The initial events of the endpoint list, for `EndpointWatch.parse`."""
        return self.document.get("known") or {}

    def changed_keys(self, other: Configuration, keys: tuple[str, ...]) -> list[str]:
        """The keys among `keys` whose values differ between the two configurations."""
        return [key for key in keys if self.document.get(key) != other.document.get(key)]

    def with_values_of(self, other: Configuration, keys: tuple[str, ...]) -> Configuration:
        """A copy of this configuration, with the values of `keys` taken from the other one."""
        values = {key: other.document[key] for key in keys if key in other.document}
        return replace(self, document=self.document | values)


def load_document() -> dict[str, Json]:
    """Reads the JSON object of the configuration file, and completes it from the environment."""
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
    # Here the environment takes precedence: during a replacement two processes may read the same file, and
    # each needs a management address of its own.
    document["mgmt"] = os.environ.get("BALANCER_MGMT") or document.get("mgmt") or ""
    return document


def load_configuration(running: Configuration | None = None) -> Configuration:
    """Reads and checks the complete configuration.

    `running`: the current configuration, if any. A file that lacks one of its keys is rejected as incomplete.
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
    """The call-control settings of deploy/control.toml. The field names are its keys."""

    listen: str = ""  # address:port; empty: the API is off
    most_sockets: int = 100  # max connections
    most_open: int = 1_000  # max unanswered call setups of one connection
    keep_s: float = 30.0  # an established call that no connection watches is released after this time
    origins: tuple[str, ...] = ()  # Origin headers of web pages that may connect; programs send none

    @classmethod
    def parse(cls, table: dict[str, Json]) -> ControlSettings:
        """Parses the table of the file. Raises ValueError if a key or value is invalid."""
        unknown = sorted(set(table) - set(cls.__dataclass_fields__))
        if unknown:
            raise ValueError(f"control: unknown key {unknown[0]!r}")
        given: dict[str, Any] = {
            key: tuple(value) if isinstance(value, list) else value for key, value in table.items()
        }
        settings = cls(**given)
        has_valid_maxima = settings.most_sockets >= 1 and settings.most_open >= 1
        if not isinstance(settings.listen, str) or not has_valid_maxima or settings.keep_s < 0:
            raise ValueError("control: listen must be a string, most_sockets and most_open >= 1, keep_s >= 0")
        return settings


def load_control_settings() -> ControlSettings:
    """Reads the call-control settings. The API is off if the default file does not exist."""
    path = Path(environment.variable(environment.CALL_CONTROL_FILE, str(CONTROL_FILE)))
    if not path.exists() and path == CONTROL_FILE:
        return ControlSettings()
    try:
        return ControlSettings.parse(tomllib.loads(path.read_text()))
    except (OSError, ValueError, TypeError) as e:
        raise ConfigurationError(f"{path}: {e}") from None


def load_operator_file() -> Any:
    """Reads the tables (`operator.tables`) of the operator file that the environment names.

    Returns None, and loads none of the operator packages, if no file is named.
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
