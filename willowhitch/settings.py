"""The one reading of the settings JSON into `interface.Settings`, for the adapter and the softswitch alike.

The simulator hands the object to an instance in its first message; a softswitch has it in its configuration.
Unknown keys are skipped.
"""
from __future__ import annotations

from typing import Any

from willowhitch import interface as i

FIELDS = {"spare": "free", "total": "size", "waiting": "queue", "avg_ms": "latency_ms", "allowed": "qps",
          "x0": "free", "x1": "size"}


def settings_of(info: dict[str, Any]) -> i.Settings:
    fam, limits, rules = info.get("family_info") or {}, info.get("limits") or {}, info.get("rules") or {}
    stats = info.get("stats") or {}
    pools = (fam.get("skilled_pools") or []) if fam.get("network_form") == "groups" else []
    holding = fam.get("holding") or []
    classes = tuple(
        i.CallClass(
            name=lane["name"], aim=lane["aim"], worth=lane.get("credit", 1.0),
            hold=holding[n] if n < len(holding) else 0.0, late_share=lane.get("late_value", 0.0),
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
        may_advise=bool(limits.get("retry_after")),
        max_advice=limits.get("max_retry_after", 0.0),
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
