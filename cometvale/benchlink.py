"""Puts the decision module on the bench's wire: names to types and back, nothing decided here.

One JSON value a line on standard input and output; one reply to each batch. Unknown keys are skipped.
"""
from __future__ import annotations

import json
import sys
from collections.abc import Callable
from functools import partial
from typing import Any, TextIO

from cometvale import interface as i
from cometvale.decide import Controller

OUTCOMES = {
    1: i.Outcome.OK, 2: i.Outcome.ERROR, 3: i.Outcome.FULL, 4: i.Outcome.TIMEOUT,
    5: i.Outcome.CONNECT_FAILED, 6: i.Outcome.RESET, 7: i.Outcome.CANCELLED, 8: i.Outcome.MOOT,
}
STATES = {"Ready": i.State.READY, "Terminating": i.State.DRAINING, "Gone": i.State.GONE}
KINDS = {
    "patch": i.ListKind.CHANGES, "whole": i.ListKind.WHOLE,
    "stale_copy": i.ListKind.STALE, "broken": i.ListKind.FAILED,
}
FIELDS = {"spare": "free", "total": "size", "waiting": "queue", "avg_ms": "latency_ms", "allowed": "qps"}
NUMBER_BUSY = 4
PROCESSOR_FULL = 3  # in the low four bits of an answer's `reason`; the rest is a wait in ms


class WireError(Exception):
    """A line of the wire that cannot be right."""


def settings_of(info: dict[str, Any]) -> i.Settings:
    fam, limits, rules = info.get("family_info") or {}, info.get("limits") or {}, info.get("rules") or {}
    stats = info.get("stats") or {}
    pools = (fam.get("skilled_pools") or []) if fam.get("network_form") == "groups" else []
    holding = fam.get("holding") or []
    classes = tuple(
        i.CallClass(
            name=lane["name"], aim=lane["aim"], worth=lane.get("credit", 1.0),
            hold=holding[n] if n < len(holding) else 0.0, late_share=lane.get("late_value", 0.0),
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
    )


def _report(m: dict[str, Any]) -> tuple[float, ...]:
    return tuple(float(x) for x in m.get("telemetry") or ())


def _set_up(m: dict[str, Any]) -> i.SetUp:
    return i.SetUp(
        m["handle"], m["category"], m.get("terminates_at", -1), m["grace"], bool(m.get("repeat")),
        bool(m.get("passing")), m.get("slots_needed", 1),
    )


def _ended(m: dict[str, Any]) -> i.Ended:
    note = m.get("reason", 0)
    return i.Ended(
        m["handle"], m.get("n", 0), m["server"], OUTCOMES[m["rc"]], m.get("spent", 0.0),
        bool(m.get("ended")), note % 16 == PROCESSOR_FULL, note % 16 == NUMBER_BUSY,
        float(note // 16) if note % 16 == PROCESSOR_FULL else 0.0,
        _report(m),
    )


EVENTS = {
    "request": _set_up,
    "flowing": lambda m: i.Stands(m["handle"], m.get("n", 0), m["server"], m.get("spent", 0.0)),
    "answer": _ended,
    "client_gone": lambda m: i.CallerGone(m["handle"]),
    "wake": lambda m: i.Wake(m["cookie"]),
    "sampled": lambda m: i.Sampled(m["server"], OUTCOMES[m["rc"]], _report(m)),
    "heard": lambda m: i.Heard(m["src"], bytes.fromhex(m.get("data", ""))),
}
ACTIONS = {
    i.Attempt: lambda a: {"verb": "dispatch", "handle": a.call, "server": a.server, "allow_for": a.timeout},
    i.Refuse: lambda a: {"verb": "not_now", "handle": a.call, "come_back": a.stay_away},
    i.Fail: lambda a: {"verb": "drop_request", "handle": a.call},
    i.Cancel: lambda a: {"verb": "drop_attempt", "handle": a.call, "n": a.attempt},
    i.WakeAt: lambda a: {"verb": "defer", "instant": a.at, "cookie": a.token},
    i.Tell: lambda a: {"verb": "write_peer", "target": "*" if a.peer is None else a.peer,
                       "data": a.data.hex()},
    i.Log: lambda a: {"verb": "say_log", "msg": a.text},
    i.Follow: lambda a: {"verb": "follow", "active": True},
}


class Link:
    """Hosts the instances of one process; they share nothing but the numbered sheets of the wire."""

    def __init__(self) -> None:
        self.fronts: dict[int, Controller] = {}
        self.sheets: dict[int, tuple[i.Entry, ...]] = {}
        self.clock: float | None = None

    def line(self, text: str) -> list[str]:
        """Takes one line of the wire, gives the lines to write."""
        try:
            message = json.loads(text)
        except ValueError as e:
            raise WireError(f"not valid JSON: {e}") from None
        if not isinstance(message, dict) or not isinstance(message.get("verb"), str):
            raise WireError("not an object with a verb")
        verb = message["verb"]
        try:
            if verb == "clock":
                self.clock = float(message["clock"])
                return []
            if self.clock is None:
                raise WireError(f"{verb} before the first clock")
            if verb == "over_to_you":
                return ['{"verb":"done"}']
            ask = self._event(verb, message)
        except KeyError as e:
            raise WireError(f"{verb}: field missing or value unknown: {e.args[0]!r}") from None
        except (TypeError, ValueError, AttributeError) as e:
            raise WireError(f"{verb}: {e}") from None
        # The module runs outside the guard above: a fault of its own is not the line's.
        return [json.dumps({"front": message["front"]} | ACTIONS[type(a)](a)) for a in ask()]

    def _event(self, verb: str, m: dict[str, Any]) -> Callable[[], list[i.Action]]:
        """Reads the line in full; what is given back then lets the front decide."""
        if verb == "sheet":
            self.sheets[m["table"]] = tuple(
                i.Entry(e["server"], e.get("cell", -1), STATES[e["mode"]], e.get("start_time", 0.0),
                        e.get("scale", 1.0))
                for e in m["records"]
            )
            return list
        front, now = m["front"], self.clock
        if verb == "start":
            self.fronts[front] = Controller(settings_of(m["info"]), m["seed"])
            return partial(self.fronts[front].start, now)
        if verb == "down":
            self.fronts.pop(front, None)
            return list
        if verb == "membership":
            kind = KINDS[m["scope"]]
            event = i.ListNews(kind, () if kind is i.ListKind.FAILED else self.sheets[m["table"]])
        elif verb in EVENTS:
            event = EVENTS[verb](m)
        else:
            raise WireError(f"unknown verb {verb!r}")
        if front not in self.fronts:
            raise WireError(f"{verb} for front {front}, which has not started")
        return partial(self.fronts[front].handle, now, event)


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    link = Link()
    for number, text in enumerate(source, 1):
        if not text.strip():
            continue
        try:
            said = link.line(text)
        except WireError as e:
            print(f"cometvale: line {number}: {e}", file=sys.stderr)
            return 2
        if said:
            sink.write("\n".join(said) + "\n")
            if said[-1] == '{"verb":"done"}':
                sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
