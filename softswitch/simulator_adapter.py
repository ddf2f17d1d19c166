"""Puts the decision module on the bench's wire: names to types and back, nothing decided here.

One JSON value a line on standard input and output; one reply to each batch. Unknown keys are skipped.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import partial
from typing import Any, TextIO

import orjson

from softswitch import interface as i
from softswitch.policy import Controller
from softswitch.settings import settings_of

OUTCOMES = {
    1: i.Outcome.OK,
    2: i.Outcome.ERROR,
    3: i.Outcome.FULL,
    4: i.Outcome.TIMEOUT,
    5: i.Outcome.CONNECT_FAILED,
    6: i.Outcome.RESET,
    7: i.Outcome.CANCELLED,
    8: i.Outcome.MOOT,
}
STATES = {"Ready": i.State.READY, "Terminating": i.State.DRAINING, "Gone": i.State.GONE}
KINDS = {
    "patch": i.ListKind.CHANGES,
    "whole": i.ListKind.WHOLE,
    "stale_copy": i.ListKind.STALE,
    "broken": i.ListKind.FAILED,
}
NUMBER_BUSY = 4
PROCESSOR_FULL = 3  # in the low four bits of an answer's `reason`; the rest is a wait in ms


class WireError(Exception):
    """A line of the wire that cannot be right."""


def _report(m: dict[str, Any]) -> tuple[float, ...]:
    return tuple(float(x) for x in m.get("telemetry") or ())


def _set_up(m: dict[str, Any]) -> i.SetUp:
    return i.SetUp(
        m["handle"],
        m["category"],
        m.get("terminates_at", -1),
        m["grace"],
        bool(m.get("repeat")),
        bool(m.get("passing")),
        m.get("slots_needed", 1),
    )


def _ended(m: dict[str, Any]) -> i.Ended:
    note = m.get("reason", 0)
    return i.Ended(
        m["handle"],
        m.get("n", 0),
        m["server"],
        OUTCOMES[m["rc"]],
        m.get("spent", 0.0),
        bool(m.get("ended")),
        note % 16 == PROCESSOR_FULL,
        note % 16 == NUMBER_BUSY,
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
    i.Tell: lambda a: {
        "verb": "write_peer",
        "target": "*" if a.peer is None else a.peer,
        "data": a.data.hex(),
    },
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
            message = orjson.loads(text)
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
        return [orjson.dumps({"front": message["front"]} | ACTIONS[type(a)](a)).decode() for a in ask()]

    def _event(self, verb: str, m: dict[str, Any]) -> Callable[[], list[i.Action]]:
        """Reads the line in full; what is given back then lets the front decide."""
        if verb == "sheet":
            self.sheets[m["table"]] = tuple(
                i.Entry(
                    e["server"],
                    e.get("cell", -1),
                    STATES[e["mode"]],
                    e.get("start_time", 0.0),
                    e.get("scale", 1.0),
                )
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
            print(f"willowhitch: line {number}: {e}", file=sys.stderr)
            return 2
        if said:
            sink.write("\n".join(said) + "\n")
            if said[-1] == '{"verb":"done"}':
                sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
