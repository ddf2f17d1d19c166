"""The one reading of the settings JSON into `interface.Settings`, for the adapter and the softswitch alike.

The simulator hands the object to an instance in its first message; a softswitch has it in its configuration,
and checks it strictly before anything of it is taken. Unknown keys are skipped.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Any

from softswitch import interface as i

FIELDS = {
    "spare": "free",
    "total": "size",
    "waiting": "queue",
    "avg_ms": "latency_ms",
    "allowed": "qps",
    "x0": "free",
    "x1": "size",
}


def settings_of(info: dict[str, Any]) -> i.Settings:
    fam, limits, rules = info.get("family_info") or {}, info.get("limits") or {}, info.get("rules") or {}
    stats = info.get("stats") or {}
    pools = (fam.get("skilled_pools") or []) if fam.get("network_form") == "groups" else []
    holding = fam.get("holding") or []
    classes = tuple(
        i.CallClass(
            name=lane["name"],
            aim=lane["aim"],
            worth=lane.get("credit", 1.0),
            hold=holding[n] if n < len(holding) else 0.0,
            late_share=lane.get("late_value", 0.0),
            deadline=lane.get("hard_limit", 0.0),
            repeatable=lane.get("idempotency", "read_like") == "read_like",
            cells=tuple(pools[n]) if n < len(pools) and pools[n] is not None else None,
        )
        for n, lane in enumerate(info["lanes"])
    )
    return i.Settings(
        classes=classes,
        fleet_size=info.get("fleet_size", 1),
        own_cell=fam.get("own_number", -1),
        report_fields=tuple(FIELDS.get(f, f) for f in stats.get("fields") or ()),
        may_cancel=bool(limits.get("may_cancel")),
        may_tell=bool(limits.get("peers")),
        may_probe=bool(limits.get("probes")),
        may_advise=bool(limits.get("retry_after")),
        max_advice=limits.get("max_retry_after", 0.0) if limits.get("retry_after") else 0.0,
        max_attempts=limits.get("send_cap", 1),
        list_pushed=info.get("registry_mode", "automatic") == "automatic",
        release=fam.get("clear_wait", 0.0),
        repeat_after=fam.get("repeat", 0.0),
        cold=rules.get("cold", 0.0),
        cold_from=rules.get("cold_from", 1.0),
        overload_factor=rules.get("overload_factor", 1.0),
        overload_for=rules.get("overload_for", 1000.0),
        tick=info.get("tick", 1.0),
        connect_timeout=limits.get("connect_timeout", 500.0),
    )


class BadSettings(ValueError):
    """Settings that can't be taken; the text names the key and says what is wanted."""


Check = Callable[[Any], bool]


def _number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)


def _whole(value: Any) -> bool:
    return _number(value) and value == int(value)


def _cells(value: Any) -> bool:
    return isinstance(value, list) and all(
        cells is None or (isinstance(cells, list) and all(map(_whole, cells))) for cells in value
    )


POSITIVE: tuple[Check, str] = (lambda v: _number(v) and v > 0, "a positive number")
DURATION: tuple[Check, str] = (lambda v: _number(v) and v >= 0, "a number of ms, 0 or more")
SHARE: tuple[Check, str] = (lambda v: _number(v) and 0 <= v <= 1, "a number from 0 to 1")
COUNT: tuple[Check, str] = (lambda v: _whole(v) and v >= 1, "a whole number, 1 or more")
FLAG: tuple[Check, str] = (lambda v: isinstance(v, bool), "true or false")
TEXT: tuple[Check, str] = (lambda v: isinstance(v, str) and v != "", "a text")
# What is read of each part, and what it has to be. A key with `True` must be there.
LANE = {
    "name": (*TEXT, True),
    "aim": (*POSITIVE, True),
    "hard_limit": (*POSITIVE, False),
    "credit": (*DURATION[:1], "a worth, 0 or more", False),
    "late_value": (*SHARE, False),
    "idempotency": (*TEXT, False),
}
PARTS = {
    "": {"fleet_size": (*COUNT, False), "registry_mode": (*TEXT, False), "tick": (*POSITIVE, False)},
    "limits": {
        "may_cancel": (*FLAG, False),
        "peers": (*FLAG, False),
        "retry_after": (*FLAG, False),
        "probes": (*FLAG, False),
        "max_retry_after": (*DURATION, False),
        "send_cap": (*COUNT, False),
        "connect_timeout": (*POSITIVE, False),
    },
    "rules": {
        "cold": (*DURATION, False),
        "cold_from": (lambda v: _number(v) and 0 < v <= 1, "a number over 0, 1 at most", False),
        "overload_factor": (*POSITIVE, False),
        "overload_for": (*POSITIVE, False),
    },
    "family_info": {
        "own_number": (_whole, "a whole number", False),
        "clear_wait": (*DURATION, False),
        "repeat": (*DURATION, False),
        "network_form": (*TEXT, False),
        "holding": (
            lambda v: isinstance(v, list) and all(_number(h) and h >= 0 for h in v),
            "a list of ms",
            False,
        ),
        "skilled_pools": (_cells, "a list with the cells of each class, or null", False),
    },
    "stats": {
        "fields": (
            lambda v: isinstance(v, list) and all(isinstance(f, str) for f in v),
            "a list of texts",
            False,
        )
    },
}


def _look(part: Any, keys: dict[str, Any], at: str) -> None:
    if not isinstance(part, dict):
        raise BadSettings(f"{at}: an object is wanted")
    for key, (good, wanted, needed) in keys.items():
        if key not in part and not needed:
            continue
        if key not in part:
            raise BadSettings(f"{at}.{key} is missing: {wanted} is wanted")
        if not good(part[key]):
            raise BadSettings(f"{at}.{key}: {part[key]!r:.40} is not {wanted}")


def _missing(new: Any, old: Any, at: str) -> None:
    """Every key that `old` has must be in `new`, down to the keys of each class."""
    if isinstance(old, dict):
        for key, value in old.items():
            if not isinstance(new, dict) or key not in new:
                raise BadSettings(f"{at}.{key} is missing")
            _missing(new[key], value, f"{at}.{key}")
    elif isinstance(old, list) and old and isinstance(old[0], dict) and isinstance(new, list):
        for n, entry in enumerate(new):
            _missing(entry, old[0], f"{at}[{n}]")


def checked(info: Any, running: Any = None) -> i.Settings:
    """The settings, every figure of them looked at first; BadSettings names the first key that is wrong.

    `running`: the settings in force, as they were read. A file that lacks a key that they have is not whole.
    """
    _look(info, {}, "settings")
    if running is not None:
        _missing(info, running, "settings")
    lanes = info.get("lanes")
    if not isinstance(lanes, list) or not lanes:
        raise BadSettings("settings.lanes: a list with one class at least is wanted")
    for n, lane in enumerate(lanes):
        _look(lane, LANE, f"settings.lanes[{n}]")
        if lane["name"] in (other["name"] for other in lanes[:n]):
            raise BadSettings(f"settings.lanes[{n}].name: {lane['name']!r:.40} is there twice")
    for name, keys in PARTS.items():
        part = info if not name else {} if info.get(name) is None else info[name]
        _look(part, keys, f"settings.{name}" if name else "settings")
    return settings_of(info)


def report_of(settings: i.Settings, text: str) -> tuple[float, ...]:
    """A load report as a quote engine writes it (`x0:12;x1:40`), in the settings' order; -1: not said."""
    told = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            told[FIELDS.get(name, name)] = float(value)
        except ValueError:
            continue
    return tuple(told.get(name, -1.0) for name in settings.report_fields)
