"""Connects the decision module to the simulator: converts messages to events, and actions to messages.

The protocol has one JSON object per line on standard input and output. The simulator sends a batch of events
and ends it with `over_to_you`; the reply is a batch of actions that ends with `done`. `front` is the number
of an *instance*, which is one simulated softswitch. Unknown keys are ignored. The names of fields and values
are defined by the simulator.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import partial
from typing import Any, TextIO

import orjson

from softswitch import interface as i
from softswitch.limits.call_limits import CallLimits
from softswitch.policy.controller import Controller
from softswitch.settings import parse_settings

Message = dict[str, Any]  # one JSON object of the protocol
Decision = Callable[[], list[i.Action]]  # passes a parsed event to the decision module

OUTCOMES = {
    1: i.Outcome.OK,
    2: i.Outcome.ERROR,
    3: i.Outcome.REJECTED,
    4: i.Outcome.TIMEOUT,
    5: i.Outcome.CONNECT_FAILED,
    6: i.Outcome.RESET,
    7: i.Outcome.CANCELLED,
    8: i.Outcome.NOT_SENT,
}
STATES = {
    "Ready": i.EndpointState.READY,
    "Terminating": i.EndpointState.DRAINING,
    "Gone": i.EndpointState.REMOVED,
}
UPDATE_KINDS = {
    "patch": i.UpdateKind.CHANGES,
    "whole": i.UpdateKind.COMPLETE,
    "stale_copy": i.UpdateKind.STALE,
    "broken": i.UpdateKind.FAILED,
}
# `reason` of an `answer` is REASON_BASE * t + c, where t is a retry-after time in ms and c is a code, such as
# one of the two below.
REASON_BASE = 16
PROCESSOR_FULL = 3
NUMBER_BUSY = 4
END_OF_BATCH = '{"verb":"done"}'


class WireError(Exception):
    """An input line that is invalid."""


def _report(message: Message) -> tuple[float, ...]:
    return tuple(float(value) for value in message.get("telemetry") or ())


def _setup_requested(message: Message) -> i.SetupRequested:
    return i.SetupRequested(
        message["handle"],
        message["category"],
        message.get("terminates_at", -1),
        message["grace"],
        bool(message.get("repeat")),
        bool(message.get("passing")),
        message.get("slots_needed", 1),
        str(message.get("resource", "")),
        str(message.get("client_group") or ""),
    )


def _attempt_answered(message: Message) -> i.AttemptAnswered:
    return i.AttemptAnswered(
        message["handle"], message.get("n", 0), message["server"], message.get("spent", 0.0)
    )


def _attempt_ended(message: Message) -> i.AttemptEnded:
    wait, reason = divmod(message.get("reason", 0), REASON_BASE)
    processor_full = reason == PROCESSOR_FULL
    return i.AttemptEnded(
        message["handle"],
        message.get("n", 0),
        message["server"],
        OUTCOMES[message["rc"]],
        message.get("spent", 0.0),
        call_over=bool(message.get("ended")),
        processor_full=processor_full,
        callee_busy=reason == NUMBER_BUSY,
        retry_after=float(wait) if processor_full else 0.0,
        report=_report(message),
    )


EVENTS: dict[str, Callable[[Message], i.Event]] = {
    "request": _setup_requested,
    "flowing": _attempt_answered,
    "answer": _attempt_ended,
    "client_gone": lambda m: i.CallerAbandoned(m["handle"]),
    "wake": lambda m: i.TimerFired(m["cookie"]),
    "sampled": lambda m: i.LoadReported(m["server"], OUTCOMES[m["rc"]], _report(m)),
    "heard": lambda m: i.PeerMessageReceived(m["src"], bytes.fromhex(m.get("data", ""))),
}
ACTIONS: dict[type, Callable[[Any], Message]] = {
    i.SendAttempt: lambda a: {
        "verb": "dispatch",
        "handle": a.call,
        "server": a.server,
        "allow_for": a.timeout,
    },
    i.Reject: lambda a: {"verb": "not_now", "handle": a.call, "come_back": a.retry_after},
    i.Fail: lambda a: {"verb": "drop_request", "handle": a.call},
    i.CancelAttempt: lambda a: {"verb": "drop_attempt", "handle": a.call, "n": a.attempt},
    i.StartTimer: lambda a: {"verb": "defer", "instant": a.at, "cookie": a.token},
    i.SendPeerMessage: lambda a: {
        "verb": "write_peer",
        "target": "*" if a.peer is None else a.peer,
        "data": a.data.hex(),
    },
    i.WriteLog: lambda a: {"verb": "say_log", "msg": a.text},
    i.SubscribeEndpoints: lambda a: {"verb": "follow", "active": True},
}


def _parse_endpoint(record: Message) -> i.Endpoint:
    return i.Endpoint(
        record["server"],
        record.get("cell", -1),
        STATES[record["mode"]],
        record.get("start_time", 0.0),
        record.get("scale", 1.0),
    )


class Adapter:
    """Runs all instances in one process. They share only the numbered endpoint lists of the protocol."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}  # by instance number
        self.endpoint_lists: dict[int, tuple[i.Endpoint, ...]] = {}
        self.clock: float | None = None

    def handle_line(self, text: str) -> list[str]:
        """Handles one input line and returns the output lines."""
        message = self._parse(text)
        verb = message["verb"]
        try:
            if verb == "clock":
                self.clock = float(message["clock"])
                return []
            if self.clock is None:
                raise WireError(f"{verb} before the first clock")
            if verb == "over_to_you":  # the end of the simulator's batch
                return [END_OF_BATCH]
            decide = self._read(verb, message, self.clock)
        except KeyError as e:
            raise WireError(f"{verb}: missing field or unknown value: {e.args[0]!r}") from None
        except (TypeError, ValueError, AttributeError) as e:
            raise WireError(f"{verb}: {e}") from None
        # Runs outside the try block: an exception of the module must not be reported as an invalid line.
        instance = {"front": message.get("front")}
        return [orjson.dumps(instance | ACTIONS[type(action)](action)).decode() for action in decide()]

    @staticmethod
    def _parse(text: str) -> Message:
        try:
            message = orjson.loads(text)
        except ValueError as e:
            raise WireError(f"not valid JSON: {e}") from None
        if not isinstance(message, dict) or not isinstance(message.get("verb"), str):
            raise WireError("not an object with a verb")
        return message

    def _read(self, verb: str, message: Message, now: float) -> Decision:
        """Parses the complete message; the returned function lets the instance handle it."""
        if verb == "sheet":  # a numbered endpoint list; a `membership` message names its number
            self.endpoint_lists[message["table"]] = tuple(map(_parse_endpoint, message["records"]))
            return list
        instance = message["front"]
        if verb == "start":
            settings = parse_settings(message["info"])
            controller = Controller(settings, message["seed"], CallLimits(settings))
            self.controllers[instance] = controller
            return partial(controller.start, now)
        if verb == "down":  # the instance stops
            self.controllers.pop(instance, None)
            return list
        event = self._event(verb, message)
        if instance not in self.controllers:
            raise WireError(f"{verb} for front {instance}, which has not started")
        return partial(self.controllers[instance].handle, now, event)

    def _event(self, verb: str, message: Message) -> i.Event:
        if verb == "membership":
            kind = UPDATE_KINDS[message["scope"]]
            failed = kind is i.UpdateKind.FAILED
            return i.EndpointsChanged(kind, () if failed else self.endpoint_lists[message["table"]])
        if verb in EVENTS:
            return EVENTS[verb](message)
        raise WireError(f"unknown verb {verb!r}")


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Handles input lines until end of file; returns exit code 2 at an invalid line."""
    adapter = Adapter()
    for number, text in enumerate(source, 1):
        if not text.strip():
            continue
        try:
            replies = adapter.handle_line(text)
        except WireError as e:
            print(f"willowhitch: line {number}: {e}", file=sys.stderr)
            return 2
        if replies:
            sink.write("\n".join(replies) + "\n")
            if replies[-1] == END_OF_BATCH:
                sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
