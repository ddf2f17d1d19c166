"""Environment variables of the program, `SOFTSWITCH_*`, and their deprecated names.

A variable is looked up by its short name: `variable("LOG")` reads `SOFTSWITCH_LOG` or, if that is not set,
the deprecated `WILLOWHITCH_LOG`. `deprecated_in_use` lists the deprecated names that were read, for a log
line.
"""

from __future__ import annotations

import os

PREFIX = "SOFTSWITCH_"
DEPRECATED_PREFIX = "WILLOWHITCH_"

CALL_CONTROL_FILE = "CONTROL"  # path of the call-control settings, deploy/control.toml by default
OPERATOR_FILE = "OPERATOR"  # path of the operator file; unset or empty: no optional component is loaded
HANDOVER_MODE = "HANDOVER"  # "reuseport", or empty: listeners are handed over
LOG_LEVEL = "LOG"  # a level of loguru, INFO by default
AGENT_SOCKET = "AGENT"  # path of the agent's control socket

_deprecated_in_use: set[str] = set()


def names(short_name: str) -> list[str]:
    """The environment variables that may contain the value, the current name first."""
    return [PREFIX + short_name, DEPRECATED_PREFIX + short_name]


def variable(short_name: str, default: str = "") -> str:
    """The value of `SOFTSWITCH_<short_name>`, else of its deprecated name, else `default`.

    The current name takes precedence if it is set, even to an empty value.
    """
    current, deprecated = names(short_name)
    if current in os.environ:
        return os.environ[current] or default
    value = os.environ.get(deprecated, "")
    if value:
        _deprecated_in_use.add(deprecated)
    return value or default


def deprecated_in_use() -> list[str]:
    """The deprecated names from which values were read so far, sorted."""
    return sorted(_deprecated_in_use)


def without(environment: dict[str, str], short_name: str) -> dict[str, str]:
    """A copy of an environment without a variable, under both of its names."""
    excluded = names(short_name)
    return {name: value for name, value in environment.items() if name not in excluded}
