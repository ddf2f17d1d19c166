"""Sums of the budgets that several softswitches report."""

from __future__ import annotations

from typing import Any

from rich.table import Table


def sum_budgets(views: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Returns by budget the lowest configured total, the slots that each member holds and until when, and
    their sum. A slot that moves from one member to another is never counted twice, although the members are
    queried some ms apart: it cools down for a whole window before it is granted again.

    views: the response of each queried address to GET /v1/budgets, or its `error`.
    In the result, `whole` is the lowest total and `wholes` are all configured totals, in slots. `held` has
    the slots of each member, by its address, and `in_flight` is the number of granted slots that no queried
    member reports. `over` names the budgets whose sum exceeds the total, and `in_office` lists the members
    that report that they are the allocator.
    """
    reported = {address: view for address, view in views.items() if "error" not in view}
    budgets: dict[str, dict[str, Any]] = {}
    for view in reported.values():
        for name, b in view["budgets"].items():
            row = budgets.setdefault(
                name,
                {
                    "whole": b["whole"],
                    "over_ms": b["over_ms"],
                    "wholes": [],
                    "sum": 0,
                    "spent": 0,
                    "wanted": 0,
                    "refused": 0,
                    "in_flight": 0,
                    "held": {},
                },
            )
            row["whole"] = min(row["whole"], b["whole"])
            row["wholes"] = sorted({*row["wholes"], b["whole"]})
            row["sum"] += b["held"]
            for key in ("spent", "wanted", "refused"):
                row[key] += b[key]
            row["held"][view["me"]] = {
                "member": view["member"],
                "held": b["held"],
                "leased": b["leased"],
                "need": b["need"],
                "in_use": b["in_use"],
                "spent": b["spent"],
                "wanted": b["wanted"],
                "refused": b["refused"],
                "lease_left_ms": round(view["lease_left_ms"]) if b["leased"] else 0,
            }
    for view in reported.values():
        if "books" in view:
            # Granted slots that no queried member reports: the grant is in flight, or the holder was not
            # queried.
            for name, granted in view["books"]["out"].items():
                if name in budgets:
                    leased = sum(h["leased"] for h in budgets[name]["held"].values())
                    budgets[name]["in_flight"] = max(0, granted - leased)
    return {
        "budgets": budgets,
        "over": [name for name, b in budgets.items() if b["sum"] > b["whole"]],
        "in_office": [view["me"] for view in reported.values() if view["in_office"]],
        "errors": {a: v["error"] for a, v in views.items() if "error" in v},
    }


def budget_tables(summary: dict[str, Any]) -> list[Table]:
    """Returns one table per budget, with one row per member."""
    tables = []
    for name, b in summary["budgets"].items():
        totals = f" (configured: {', '.join(map(str, b['wholes']))})" if len(b["wholes"]) > 1 else ""
        title = (
            f"{name}: {b['sum']} of {b['whole']} slots held{totals}, {b['in_flight']} in flight; "
            f"each slot is used at most once per {b['over_ms'] / 1000:g} s"
        )
        table = Table(
            "member", "holds", "until, s", "needs", "in use", "wanted", "spent", "refused", title=title
        )
        for address, h in sorted(b["held"].items(), key=lambda item: -item[1]["held"]):
            until = f"{h['lease_left_ms'] / 1000:.1f}" if h["leased"] else "floor"
            table.add_row(
                f"{h['member']} {address}",
                str(h["held"]),
                until,
                str(h["need"]),
                str(h["in_use"]),
                str(h["wanted"]),
                str(h["spent"]),
                str(h["refused"]),
            )
        tables.append(table)
    return tables
