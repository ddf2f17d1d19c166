"""Optional components: created from their tables in the operator file, started, reloaded and stopped.

FACTORIES maps each table to the module that creates its component. The module is loaded only if the operator
file has the table. The rest of the process handles components without knowing them by name.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from importlib import import_module
from pathlib import Path
from typing import Any, Protocol

from softswitch import interface as i
from softswitch.settings import canonical_text

DIGEST_SIZE = 6  # bytes


@dataclass(frozen=True, slots=True)
class ComponentFactory:
    """The module that creates a component, and the extra of the distribution that installs its packages."""

    module: str  # defines `make(table, host)`
    extra: str


FACTORIES = {  # by table of the operator file
    "record": ComponentFactory("softswitch.measure.recording", "record"),
    "calls": ComponentFactory("softswitch.net.call_history", "operator"),
    "fleet": ComponentFactory("softswitch.net.peers", "fleet"),
    "budgets": ComponentFactory("softswitch.net.budgets", "fleet"),
}

Table = Any  # a table of the operator file, checked by its schema in `operator.tables`
ManagementResponse = tuple[int, dict[str, Any]]  # HTTP status and JSON body


class ComponentError(Exception):
    """A component can't be created from its table. The message names the key and the remedy."""


class Component(Protocol):
    """The interface of an optional component."""

    def start(self) -> None:
        """Called at startup. An OSError or ComponentError ends the process with a one-line message."""

    def reload(self, table: Table, settings: i.Settings) -> str:
        """Called on SIGHUP with the component's new table (None if it was removed) and the new settings.

        Returns a text that names what changes only at the next start; empty if everything was applied.
        """

    def figures(self) -> dict[str, Any]:
        """Figures that the component adds to the metrics at the management address."""

    def stop(self) -> None:
        """Called when the process stops. The component sends nothing afterwards."""


@dataclass(frozen=True, slots=True)
class ManagementRoute:
    """The HTTP method and the handler of a management request; the handler receives the rest of the path."""

    method: str
    handler: Callable[[str], ManagementResponse]


def settings_digest(settings: i.Settings) -> str:
    """A digest of the settings, to detect softswitches that have different ones."""
    return blake2b(canonical_text(settings).encode(), digest_size=DIGEST_SIZE).hexdigest()


@dataclass
class Host:
    """The parts of the softswitch that a component may use."""

    name: str
    switch: Any  # core.switch.Switch
    reactor: Any
    unix_offset: float  # time of the timer wheel minus Unix time, in ms
    folder: Path  # of the operator file; its relative paths are resolved against it
    settings: i.Settings  # the settings at startup
    # Requests to the management address that components handle, by path or by a prefix that ends with `/`.
    management_routes: dict[str, ManagementRoute] = field(default_factory=dict)
    tables: Any = None  # all tables of the operator file
    components: dict[str, Any] = field(default_factory=dict)  # components created so far, by table
    version: str = ""  # of the program
    management_address: str = ""  # empty if there is none


class Components:
    """The components that an operator file configures, in the order of FACTORIES."""

    def __init__(self, tables: Any, host: Host) -> None:
        self.host = host
        self.by_name: dict[str, Component] = {}
        host.tables = tables
        host.components = self.by_name
        for name, factory in FACTORIES.items():
            table = getattr(tables, name, None)
            if table is not None:
                self.by_name[name] = _create(name, factory, table, host)

    def start(self) -> None:
        """Starts all components."""
        for component in self.by_name.values():
            component.start()

    def reload(self, tables: Any, settings: i.Settings) -> list[str]:
        """Reloads all components; returns texts that name what changes only at the next start."""
        if self.by_name:
            self.host.tables = tables
        delayed = [
            component.reload(getattr(tables, name, None), settings)
            for name, component in self.by_name.items()
        ]
        return [f"the operator file's {what}" for what in delayed if what]

    def stop(self) -> None:
        """Stops all components."""
        for component in self.by_name.values():
            component.stop()


def _create(name: str, factory: ComponentFactory, table: Table, host: Host) -> Component:
    try:
        make = import_module(factory.module).make
    except ImportError as e:
        remedy = f"pip install 'willowhitch[{factory.extra}]'"
        raise ComponentError(f"{name}: needs {e.name}: {remedy}") from None
    try:
        component: Component = make(table, host)
    except (OSError, ValueError) as e:
        raise ComponentError(f"{name}: {e}") from None
    return component
