"""Optional components: made from their table of the operator file, started, reloaded, asked for figures,
stopped.

A component is named here by its table and by the place that makes it, which is loaded only where the table is
there. The process holds a list of them and knows no component by name.
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
class Maker:
    """Where a component is made, and the extra of the distribution that brings its packages."""

    module: str  # has `make(table, host)`
    extra: str


MAKERS = {  # by table of the operator file
    "record": Maker("softswitch.measure.recording", "record"),
    "calls": Maker("softswitch.net.call_history", "operator"),
    "fleet": Maker("softswitch.net.peers", "fleet"),
    "budgets": Maker("softswitch.net.budgets", "fleet"),
}

Table = Any  # one table of the operator file, checked by its schema in `operator.tables`
ManagementResponse = tuple[int, dict[str, Any]]  # of a management call: status, and what goes out as JSON


class ComponentError(Exception):
    """A component that can't be made from its table; the text names the key and the remedy."""


class Component(Protocol):
    """What the softswitch asks of an optional component."""

    def start(self) -> None:
        """The softswitch starts; an OSError or ComponentError ends it with one line."""

    def reload(self, table: Table, settings: i.Settings) -> str:
        """SIGHUP: the component's table as it is now (None if it is gone) and the settings that hold from now
        on.

        What it can't take before the next start is named in the text that is returned.
        """

    def figures(self) -> dict[str, Any]:
        """What it adds to the figures at the management address."""

    def stop(self) -> None:
        """The process ends; nothing is sent after it."""


@dataclass(frozen=True, slots=True)
class ManagementRoute:
    """A management call of a component: its method, and what answers the rest of the path."""

    method: str
    handler: Callable[[str], ManagementResponse]


def settings_digest(settings: i.Settings) -> str:
    """Tells softswitches with other settings apart."""
    return blake2b(canonical_text(settings).encode(), digest_size=DIGEST_SIZE).hexdigest()


@dataclass
class Host:
    """What a component may use of its softswitch."""

    name: str
    switch: Any  # core.switch.Switch
    reactor: Any
    unix_offset: float  # the wheel's clock in ms less Unix ms: clock - offset is Unix time
    folder: Path  # relative paths of the operator file are beside it
    settings: i.Settings  # that the process started with
    # Calls of components at the management address, by path or by a beginning that ends with `/`.
    management_routes: dict[str, ManagementRoute] = field(default_factory=dict)
    tables: Any = None  # all of the operator file
    components: dict[str, Any] = field(default_factory=dict)  # those that are made already
    version: str = ""  # of the program
    management_address: str = ""  # where operators call


class Components:
    """The components that an operator file asks for, in the order of MAKERS."""

    def __init__(self, tables: Any, host: Host) -> None:
        self.host = host
        self.by_name: dict[str, Component] = {}
        host.tables = tables
        host.components = self.by_name
        for name, maker in MAKERS.items():
            table = getattr(tables, name, None)
            if table is not None:
                self.by_name[name] = _make(name, maker, table, host)

    def start(self) -> None:
        """Starts all."""
        for component in self.by_name.values():
            component.start()

    def reload(self, tables: Any, settings: i.Settings) -> list[str]:
        """Gives each its table as it is now; what changes at the next start only."""
        if self.by_name:
            self.host.tables = tables
        delayed = [
            component.reload(getattr(tables, name, None), settings)
            for name, component in self.by_name.items()
        ]
        return [f"the operator file's {what}" for what in delayed if what]

    def stop(self) -> None:
        """Stops all."""
        for component in self.by_name.values():
            component.stop()


def _make(name: str, maker: Maker, table: Table, host: Host) -> Component:
    try:
        make = import_module(maker.module).make
    except ImportError as e:
        remedy = f"pip install 'willowhitch[{maker.extra}]'"
        raise ComponentError(f"{name}: needs {e.name}: {remedy}") from None
    try:
        component: Component = make(table, host)
    except (OSError, ValueError) as e:
        raise ComponentError(f"{name}: {e}") from None
    return component
