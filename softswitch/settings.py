"""Parses the settings JSON into `interface.Settings`, for the simulator adapter and the softswitch.

The simulator sends the settings to each simulated softswitch in its first message. A real softswitch reads
them from its configuration and validates them completely before it applies any of them. Unknown keys are
ignored. The keys are those of the operators' pages (a *lane* is a call class, an *account* is a tenant); the
rest of the code uses the names of `interface.Settings`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from math import isfinite
from typing import Any

from softswitch import interface as i

Json = Any  # a value returned by `orjson.loads`; validated before use

# Fields of load reports: name on the wire -> name in `interface.LoadReport.from_values`. Some fields have two
# names on the wire.
REPORT_FIELDS = {
    "spare": "free",
    "total": "size",
    "waiting": "queue",
    "avg_ms": "latency_ms",
    "allowed": "qps",
    "x0": "free",
    "x1": "size",
}
UNKNOWN = -1.0  # value of a field that a load report omits


class SettingsError(ValueError):
    """The settings are invalid; the message names the key and the expected value."""


def parse_settings(info: dict[str, Json]) -> i.Settings:
    """Parses the settings without validating them; `check_settings` validates them first."""
    family = info.get("family_info") or {}
    limits = info.get("limits") or {}
    rules = info.get("rules") or {}
    stats = info.get("stats") or {}
    sends_retry_after = bool(limits.get("retry_after"))
    return i.Settings(
        classes=_parse_classes(info["lanes"], family),
        fleet_size=info.get("fleet_size", 1),
        own_cell=family.get("own_number", -1),
        report_fields=tuple(REPORT_FIELDS.get(f, f) for f in stats.get("fields") or ()),
        may_cancel=bool(limits.get("may_cancel")),
        may_message_peers=bool(limits.get("peers")),
        may_probe=bool(limits.get("probes")),
        may_send_retry_after=sends_retry_after,
        max_retry_after=limits.get("max_retry_after", 0.0) if sends_retry_after else 0.0,
        max_attempts=limits.get("send_cap", 1),
        list_pushed=info.get("registry_mode", "automatic") == "automatic",
        retry_delay=family.get("clear_wait", 0.0),
        retransmit_after=family.get("repeat", 0.0),
        warm_up=rules.get("cold", 0.0),
        initial_capacity=rules.get("cold_from", 1.0),
        overload_factor=rules.get("overload_factor", 1.0),
        overload_window=rules.get("overload_for", 1000.0),
        tick=info.get("tick", 1.0),
        connect_timeout=limits.get("connect_timeout", 500.0),
        tenants=tuple(
            i.Tenant(account["name"], account["quota_per_s"])
            for account in info.get("accounts") or []
            if "quota_per_s" in account  # a tenant without a quota is not limited
        ),
        over_quota_weight=info.get("over_share_worth", 1.0),
    )


def _parse_classes(lanes: list[dict[str, Json]], family: dict[str, Json]) -> tuple[i.CallClass, ...]:
    """Parses one class per lane; lists in `family` hold one value per lane, in the same order."""
    grouped = family.get("network_form") == "groups"  # otherwise every cell accepts every class
    cells = (family.get("skilled_pools") or []) if grouped else []
    holding_times = family.get("holding") or []
    return tuple(
        i.CallClass(
            name=lane["name"],
            latency_objective=lane["aim"],
            priority_weight=lane.get("credit", 1.0),
            holding_time=holding_times[n] if n < len(holding_times) else 0.0,
            late_weight_share=lane.get("late_value", 0.0),
            deadline=lane.get("hard_limit", 0.0),
            idempotent=lane.get("idempotency", "read_like") == "read_like",
            cells=tuple(cells[n]) if n < len(cells) and cells[n] is not None else None,
        )
        for n, lane in enumerate(lanes)
    )


@dataclass(frozen=True, slots=True)
class Key:
    """Validation of one key of the settings."""

    is_valid: Callable[[Json], bool]
    expected: str  # valid values, for the error message
    required: bool = False


def _is_number(value: Json) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)


def _is_integer(value: Json) -> bool:
    return _is_number(value) and value == int(value)


def _is_cells(value: Json) -> bool:
    return isinstance(value, list) and all(
        cells is None or (isinstance(cells, list) and all(map(_is_integer, cells))) for cells in value
    )


def _is_list_of(is_valid: Callable[[Json], bool]) -> Callable[[Json], bool]:
    return lambda value: isinstance(value, list) and all(map(is_valid, value))


POSITIVE = Key(lambda v: _is_number(v) and v > 0, "a positive number")
DURATION = Key(lambda v: _is_number(v) and v >= 0, "a number of ms, 0 or more")
WEIGHT = Key(DURATION.is_valid, "a weight, 0 or more")
SHARE = Key(lambda v: _is_number(v) and 0 <= v <= 1, "a number from 0 to 1")
POSITIVE_SHARE = Key(lambda v: _is_number(v) and 0 < v <= 1, "a number above 0, at most 1")
COUNT = Key(lambda v: _is_integer(v) and v >= 1, "a whole number, 1 or more")
INTEGER = Key(_is_integer, "a whole number")
FLAG = Key(lambda v: isinstance(v, bool), "true or false")
TEXT = Key(lambda v: isinstance(v, str) and v != "", "a text")
DURATIONS = Key(_is_list_of(DURATION.is_valid), "a list of ms")
CELLS = Key(_is_cells, "a list with the cells of each class, or null")
TEXTS = Key(_is_list_of(lambda v: isinstance(v, str)), "a list of texts")

LANE_KEYS = {
    "name": Key(TEXT.is_valid, TEXT.expected, required=True),
    "aim": Key(POSITIVE.is_valid, POSITIVE.expected, required=True),
    "hard_limit": POSITIVE,
    "credit": WEIGHT,
    "late_value": SHARE,
    "idempotency": TEXT,
}
ACCOUNT_KEYS = {
    "name": Key(TEXT.is_valid, TEXT.expected, required=True),
    "quota_per_s": Key(DURATION.is_valid, "a number of calls per second, 0 or more"),
}
# The keys of each object within the settings; "" stands for the outermost object.
OBJECT_KEYS = {
    "": {"fleet_size": COUNT, "registry_mode": TEXT, "tick": POSITIVE, "over_share_worth": SHARE},
    "limits": {
        "may_cancel": FLAG,
        "peers": FLAG,
        "retry_after": FLAG,
        "probes": FLAG,
        "max_retry_after": DURATION,
        "send_cap": COUNT,
        "connect_timeout": POSITIVE,
    },
    "rules": {
        "cold": DURATION,
        "cold_from": POSITIVE_SHARE,
        "overload_factor": POSITIVE,
        "overload_for": POSITIVE,
    },
    "family_info": {
        "own_number": INTEGER,
        "clear_wait": DURATION,
        "repeat": DURATION,
        "network_form": TEXT,
        "holding": DURATIONS,
        "skilled_pools": CELLS,
    },
    "stats": {"fields": TEXTS},
}


def _check_object(value: Json, keys: dict[str, Key], path: str) -> None:
    if not isinstance(value, dict):
        raise SettingsError(f"{path}: an object is required")
    for name, key in keys.items():
        if name not in value:
            if key.required:
                raise SettingsError(f"{path}.{name} is missing: {key.expected} is required")
        elif not key.is_valid(value[name]):
            raise SettingsError(f"{path}.{name}: {value[name]!r:.40} is not {key.expected}")


def _check_complete(new: Json, old: Json, path: str) -> None:
    """Requires every key of `old` in `new`, including the keys of nested objects and of each class."""
    if isinstance(old, dict):
        for key, value in old.items():
            if not isinstance(new, dict) or key not in new:
                raise SettingsError(f"{path}.{key} is missing")
            _check_complete(new[key], value, f"{path}.{key}")
    elif isinstance(old, list) and old and isinstance(old[0], dict) and isinstance(new, list):
        for n, item in enumerate(new):
            _check_complete(item, old[0], f"{path}[{n}]")


def _check_named_objects(objects: Json, keys: dict[str, Key], path: str) -> None:
    if not isinstance(objects, list):
        raise SettingsError(f"{path}: a list is required")
    names: set[str] = set()
    for n, item in enumerate(objects):
        _check_object(item, keys, f"{path}[{n}]")
        if item["name"] in names:
            raise SettingsError(f"{path}[{n}].name: {item['name']!r:.40} is there twice")
        names.add(item["name"])


def _check_lanes(lanes: Json) -> None:
    if not isinstance(lanes, list) or not lanes:
        raise SettingsError("settings.lanes: a list with at least one class is required")
    _check_named_objects(lanes, LANE_KEYS, "settings.lanes")


def check_settings(info: Json, running: Json = None) -> i.Settings:
    """Validates and parses the settings; SettingsError names the first invalid key.

    `running`: the settings JSON in force. New settings that lack one of its keys are rejected as incomplete.
    """
    _check_object(info, {}, "settings")
    if running is not None:
        _check_complete(info, running, "settings")
    _check_lanes(info.get("lanes"))
    _check_named_objects(info.get("accounts") or [], ACCOUNT_KEYS, "settings.accounts")
    for name, keys in OBJECT_KEYS.items():
        if not name:
            _check_object(info, keys, "settings")
        elif info.get(name) is not None:
            _check_object(info[name], keys, f"settings.{name}")
    return parse_settings(info)


def parse_report(settings: i.Settings, text: str) -> tuple[float, ...]:
    """Parses a load report of a quote engine (`x0:12;x1:40`); the values are ordered as report_fields."""
    values = {}
    for field in text.split(";"):
        name, _, value = field.partition(":")
        try:
            values[REPORT_FIELDS.get(name, name)] = float(value)
        except ValueError:
            continue
    return tuple(values.get(name, UNKNOWN) for name in settings.report_fields)


# Field names in the digest of the settings. They stay as in its first format, so that different versions
# of the softswitch report the same digest for the same settings.
DIGEST_NAMES = {
    "latency_objective": "aim",
    "priority_weight": "worth",
    "holding_time": "hold",
    "late_weight_share": "late_share",
    "idempotent": "repeatable",
    "may_message_peers": "may_tell",
    "may_send_retry_after": "may_advise",
    "max_retry_after": "max_advice",
    "retry_delay": "release",
    "retransmit_after": "repeat_after",
    "warm_up": "cold",
    "initial_capacity": "cold_from",
    "overload_window": "overload_for",
    "slow_start_share": "part",
}

NEWER_FIELDS = ("tenants", "over_quota_weight")  # omitted from the digest while they have their defaults


def canonical_text(value: object) -> str:
    """Serializes the settings for the digest; the text is the same in every version for the same settings."""
    if isinstance(value, tuple):
        items = ", ".join(map(canonical_text, value))
        return f"({items},)" if len(value) == 1 else f"({items})"
    if isinstance(value, i.Settings | i.CallClass | i.Tenant):
        included = [
            f for f in fields(value) if f.name not in NEWER_FIELDS or getattr(value, f.name) != f.default
        ]
        named = ((f.name, canonical_text(getattr(value, f.name))) for f in included)
        texts = (f"{DIGEST_NAMES.get(name, name)}={text}" for name, text in named)
        return f"{type(value).__name__}({', '.join(texts)})"
    return repr(value)
