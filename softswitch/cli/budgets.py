"""What many softswitches say of their budgets, added up."""

from __future__ import annotations

from typing import Any

from rich.table import Table


def summed(said: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """By budget: the lowest whole that a file names, what each holds until when, and the sum. Two members
    asked some ms apart can't both tell a slot that went from one to the other: it rests for a
    whole window.
    """
    told = {address: view for address, view in said.items() if "error" not in view}
    budgets: dict[str, dict[str, Any]] = {}
    for view in told.values():
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
    for view in told.values():
        if "books" in view:
            # granted and not told to be held: on the way, or with somebody who was not asked
            for name, out in view["books"]["out"].items():
                if name in budgets:
                    leased = sum(h["leased"] for h in budgets[name]["held"].values())
                    budgets[name]["in_flight"] = max(0, out - leased)
    return {
        "budgets": budgets,
        "over": [name for name, b in budgets.items() if b["sum"] > b["whole"]],
        "in_office": [view["me"] for view in told.values() if view["in_office"]],
        "errors": {a: v["error"] for a, v in said.items() if "error" in v},
    }


def tables(found: dict[str, Any]) -> list[Table]:
    made = []
    for name, b in found["budgets"].items():
        wholes = f" (files say {', '.join(map(str, b['wholes']))})" if len(b["wholes"]) > 1 else ""
        title = (
            f"{name}: {b['sum']} of {b['whole']} slots held{wholes}, {b['in_flight']} on the way; "
            f"a slot is used once in {b['over_ms'] / 1000:g} s"
        )
        table = Table(
            "member", "holds", "until, s", "needs", "in use", "wanted", "spent", "refused", title=title
        )
        for at, h in sorted(b["held"].items(), key=lambda item: -item[1]["held"]):
            until = f"{h['lease_left_ms'] / 1000:.1f}" if h["leased"] else "its floor"
            table.add_row(
                f"{h['member']} {at}",
                str(h["held"]),
                until,
                str(h["need"]),
                str(h["in_use"]),
                str(h["wanted"]),
                str(h["spent"]),
                str(h["refused"]),
            )
        made.append(table)
    return made
