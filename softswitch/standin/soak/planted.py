"""A softswitch with one injected fault, to show that the soak detects it.

    python -m softswitch.standin.soak.planted NAME

starts a softswitch with the fault NAME. A regular softswitch doesn't load this module.
"""

from __future__ import annotations

import os
import runpy
import sys
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import Any

from softswitch import interface as i
from softswitch import settings
from softswitch.core.lifecycle import Lifecycle
from softswitch.core.switch import Switch
from softswitch.net import engine_link
from softswitch.net.engine_pool import EnginePool
from softswitch.net.release_sender import ReleaseSender
from softswitch.net.sip_calls import SipCalls
from softswitch.net.sip_connection import SipConnection
from softswitch.process.shutdown import Shutdown

LATE_RELEASE = 2_500.0  # ms
LATE_ANSWER = 6_000.0  # ms; longer than any deadline of a soak
FAULT_PERIOD = 10  # faults that affect only some calls or messages affect every tenth
EXTRA_TIME = 1_000.0  # ms that a setup carries in excess of the remaining time
LEAKED_BYTES = 1 << 20  # per setup
EXIT_CODE = 3

Fault = Callable[[], None]
FAULTS: dict[str, Fault] = {}


def register_fault(function: Fault) -> Fault:
    """Registers a fault under the function's name, with `-` for `_`."""
    FAULTS[function.__name__.replace("_", "-")] = function
    return function


def _wrap(owner: Any, name: str, wrapper: Callable[[Any], Any]) -> None:
    setattr(owner, name, wrapper(getattr(owner, name)))


def _every_nth() -> Callable[[], bool]:
    """Returns a function that returns True every FAULT_PERIOD-th time."""
    calls = count(1)
    return lambda: next(calls) % FAULT_PERIOD == 0


def _replace_some(owner: Any, name: str, replacement: Callable[..., Any]) -> None:
    """Replaces every FAULT_PERIOD-th call of a method by `replacement(old, *arguments)`."""
    is_selected, old = _every_nth(), getattr(owner, name)

    def method(*arguments: Any) -> Any:
        return replacement(old, *arguments) if is_selected() else old(*arguments)

    setattr(owner, name, method)


def _change_settings(change: Callable[[i.Settings], i.Settings]) -> None:
    _wrap(settings, "parse_settings", lambda parse: lambda info: change(parse(info)))


@register_fault
def drain_taken_for_ready() -> None:
    """The softswitch sends setups to a draining engine."""

    def ready(event: i.EndpointsChanged) -> i.EndpointsChanged:
        endpoints = tuple(
            replace(e, state=i.EndpointState.READY) if e.state is i.EndpointState.DRAINING else e
            for e in event.endpoints
        )
        return replace(event, endpoints=endpoints)

    _wrap(Switch, "endpoints_changed", lambda old: lambda self, event: old(self, ready(event)))


@register_fault
def one_attempt_more() -> None:
    """Calls have one attempt more than the settings allow."""
    _change_settings(lambda current: replace(current, max_attempts=current.max_attempts + 1))


@register_fault
def no_quiet_time() -> None:
    """Calls are retried without delay after a timeout, a reset or a cancellation."""
    _change_settings(lambda current: replace(current, retry_delay=0.0))


@register_fault
def repeats_what_may_have_run() -> None:
    """Calls of every class are retried, even if an attempt may have run."""

    def change(current: i.Settings) -> i.Settings:
        return replace(current, classes=tuple(replace(c, idempotent=True) for c in current.classes))

    _change_settings(change)


@register_fault
def late_releases() -> None:
    """Releases reach callers 2.5 s late."""

    def late(old: Any) -> Any:
        def release(self: ReleaseSender, *arguments: Any) -> None:
            self.switch.wheel.call_after(LATE_RELEASE, old, self, *arguments)

        return release

    _wrap(ReleaseSender, "release", late)


@register_fault
def lost_releases() -> None:
    """The release of one call in FAULT_PERIOD is never sent to its caller."""
    _replace_some(ReleaseSender, "release", lambda old, *arguments: None)


@register_fault
def no_answer() -> None:
    """One call in FAULT_PERIOD is never answered."""
    _replace_some(SipCalls, "_answer", lambda old, *arguments: None)


@register_fault
def late_answers() -> None:
    """One call in FAULT_PERIOD is answered after its deadline."""

    def late(old: Any, self: SipCalls, *arguments: Any) -> None:
        self.switch.wheel.call_after(LATE_ANSWER, old, self, *arguments)

    _replace_some(SipCalls, "_answer", late)


@register_fault
def second_answers() -> None:
    """One call in FAULT_PERIOD is answered twice."""
    is_selected = _every_nth()

    def twice(old: Any) -> Any:
        def answer(self: SipConnection, code: int, request: Any, *arguments: Any) -> None:
            old(self, code, request, *arguments)
            if code != 100 and request.start_line.startswith("INVITE") and is_selected():
                old(self, code, request, *arguments)

        return answer

    _wrap(SipConnection, "answer", twice)


@register_fault
def two_attempts_at_once() -> None:
    """One attempt in FAULT_PERIOD goes to a second engine as well."""
    is_selected = _every_nth()

    def hedged(old: Any) -> Any:
        def send(self: EnginePool, server: str, call: Any) -> None:
            old(self, server, call)
            others = [name for name in self.links if name != server]
            if is_selected() and others:
                old(self, others[0], call)

        return send

    _wrap(EnginePool, "send_setup", hedged)


@register_fault
def longer_deadline() -> None:
    """Setups carry more time than remains until the caller's deadline."""
    old = engine_link.encode_setup
    engine_link.encode_setup = lambda call, now: old(call, now - EXTRA_TIME)


@register_fault
def changed_description() -> None:
    """Descriptions are changed on their way to engines."""

    def cut(old: Any) -> Any:
        def encode(call: Any, now: float) -> bytes:
            request, call.request = call.request, replace(call.request, description=b"cut")
            try:
                return bytes(old(call, now))
            finally:
                call.request = request

        return encode

    _wrap(engine_link, "encode_setup", cut)


@register_fault
def sends_for_callers_that_left() -> None:
    """A caller's CANCEL is answered, but its call continues."""

    def ignoring(old: Any) -> Any:
        def abandon(self: Switch, call: i.CallId, *arguments: Any) -> bool:
            active_call = self.calls.get(call)
            if active_call is not None and not active_call.established:
                return True
            return bool(old(self, call, *arguments))

        return abandon

    _wrap(Switch, "abandon_call", ignoring)


@register_fault
def callers_release_kept() -> None:
    """A caller's BYE is answered, but not forwarded to the engine."""

    def discarding(old: Any) -> Any:
        def send(self: EnginePool, server: str, call: str, cause: int) -> None:
            """Sends nothing."""

        return send

    _wrap(EnginePool, "send_release", discarding)


@register_fault
def lets_calls_go_at_sigterm() -> None:
    """Connections are aborted at SIGTERM, and their pending calls with them."""

    def drop(old: Any) -> Any:
        def begin(self: Shutdown) -> None:
            for connection in self.sip.connections:
                connection.transport.abortConnection()
            old(self)

        return begin

    _wrap(Shutdown, "begin", drop)


@register_fault
def ends_with_an_error() -> None:
    """A shutdown ends with an exit status other than 0."""
    _wrap(Shutdown, "begin", lambda old: lambda self: (old(self), os._exit(EXIT_CODE)))


@register_fault
def never_ready() -> None:
    """The process never reports that it is ready."""
    Lifecycle.ready = property(lambda self: False)  # type: ignore[assignment, method-assign]


@register_fault
def leaks_memory() -> None:
    """Memory grows with each setup."""
    leaked: list[bytearray] = []

    def leak(old: Any) -> Any:
        def accept(self: Switch, *arguments: Any) -> Any:
            leaked.append(bytearray(LEAKED_BYTES))
            return old(self, *arguments)

        return accept

    _wrap(Switch, "accept_call", leak)


@register_fault
def leaks_descriptors() -> None:
    """The number of open descriptors grows with each setup."""

    def leak(old: Any) -> Any:
        def accept(self: Switch, *arguments: Any) -> Any:
            os.dup(0)
            return old(self, *arguments)

        return accept

    _wrap(Switch, "accept_call", leak)


def main(name: str) -> None:
    """Injects the fault and runs the softswitch."""
    if name not in FAULTS:
        raise SystemExit(f"unknown fault {name}; choose one of {', '.join(FAULTS)}")
    FAULTS[name]()
    sys.argv = ["softswitch"]
    runpy.run_module("softswitch", run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else "")
