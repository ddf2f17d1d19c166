"""Optional parts: made from their table of the operator file, started, reloaded, asked for figures, stopped.

A part is named here by its table and by the place that makes it, which is loaded only where the table is
there. `__main__` holds the list and knows no part by name.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from importlib import import_module
from pathlib import Path
from typing import Any, Protocol

from softswitch.settings import canonical_text

# Table of the operator file: where `make(table, host)` is, and the extra that brings its packages.
PARTS = {
    "record": ("softswitch.measure.recording", "record"),
    "calls": ("softswitch.net.call_history", "operator"),
    "fleet": ("softswitch.net.peers", "fleet"),
    "budgets": ("softswitch.net.budgets", "fleet"),
}


class BadPart(Exception):
    """A part that can't be made from its table; the text names the key and the remedy."""


class Part(Protocol):
    """What the softswitch asks of an optional part."""

    def start(self) -> None:
        """The softswitch starts; an OSError or BadPart ends it with one line."""

    def reload(self, table: Any, settings: Any) -> str:
        """SIGHUP: the part's table as it is now (None if it is gone) and the settings that hold from now on.
        What it can't take before the next start is told by the text that comes back.
        """

    def figures(self) -> dict[str, Any]:
        """What it adds to the figures at the management address."""

    def stop(self) -> None:
        """The process ends; nothing is sent after it."""


@dataclass
class Host:
    """What a part may use of its softswitch."""

    name: str
    switch: Any  # core.switch.Switch
    reactor: Any
    offset: float  # the wheel's clock in ms less Unix ms: clock - offset is Unix time
    folder: Path  # relative paths of the operator file are beside it
    settings: Any
    # Calls of parts at the management address, by path or by a beginning that ends with `/`.
    calls: dict[str, tuple[str, Callable[[str], Any]]] = field(default_factory=dict)
    tables: Any = None  # all of the operator file
    parts: dict[str, Any] = field(default_factory=dict)  # those that are made already
    version: str = ""  # of the program
    mgmt: str = ""  # where operators call

    @property
    def digest(self) -> str:
        """Of the settings that it started with."""
        return self.digest_of(self.settings)

    def digest_of(self, settings: Any) -> str:
        return blake2b(canonical_text(settings).encode(), digest_size=6).hexdigest()


def make(tables: Any, host: Host) -> dict[str, Part]:
    """The parts that the operator file asks for, in the order of PARTS."""
    made: dict[str, Part] = {}
    host.tables, host.parts = tables, made
    for name, (module, extra) in PARTS.items():
        table = getattr(tables, name, None)
        if table is None:
            continue
        try:
            maker = import_module(module).make
        except ImportError as e:
            raise BadPart(f"{name}: needs {e.name}: pip install 'willowhitch[{extra}]'") from None
        try:
            made[name] = maker(table, host)
        except (OSError, ValueError) as e:
            raise BadPart(f"{name}: {e}") from None
    return made
