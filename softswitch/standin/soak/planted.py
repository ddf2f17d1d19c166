"""A softswitch with one fault planted in it, to show that the soak sees the fault.

    python -m softswitch.standin.soak.planted NAME

starts the program with the planted fault NAME. Nothing of the running program loads this module.
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
EVERY = 10  # one in so many calls or messages is spoilt
LONGER_WAIT = 1_000.0  # ms
LEAKED_BYTES = 1 << 20  # for each set-up in EVERY
EXIT_CODE = 3

Plant = Callable[[], None]
FAULTS: dict[str, Plant] = {}


def plant(function: Plant) -> Plant:
    """Adds a planted fault under the function's name."""
    FAULTS[function.__name__.replace("_", "-")] = function
    return function


def _wrap(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    setattr(owner, name, make(getattr(owner, name)))


def _every() -> Callable[[], bool]:
    """True at one call in EVERY."""
    calls = count(1)
    return lambda: next(calls) % EVERY == 0


def _spoil(owner: Any, name: str, spoil: Callable[..., Any]) -> None:
    """Has one call in EVERY of a method done by `spoil(old, *arguments)`."""
    due, old = _every(), getattr(owner, name)

    def method(*arguments: Any) -> Any:
        return spoil(old, *arguments) if due() else old(*arguments)

    setattr(owner, name, method)


def _change_settings(change: Callable[[i.Settings], i.Settings]) -> None:
    _wrap(settings, "parse_settings", lambda parse: lambda info: change(parse(info)))


@plant
def drain_taken_for_ready() -> None:
    """Set-ups go on to an engine that drains."""

    def ready(event: i.EndpointsChanged) -> i.EndpointsChanged:
        endpoints = tuple(
            replace(e, state=i.EndpointState.READY) if e.state is i.EndpointState.DRAINING else e
            for e in event.endpoints
        )
        return replace(event, endpoints=endpoints)

    _wrap(Switch, "endpoints_changed", lambda old: lambda me, event: old(me, ready(event)))


@plant
def one_attempt_more() -> None:
    """Calls get one attempt more than the settings allow."""
    _change_settings(lambda known: replace(known, max_attempts=known.max_attempts + 1))


@plant
def no_quiet_time() -> None:
    """Calls are sent again at once after a timeout, a reset or a cancel."""
    _change_settings(lambda known: replace(known, retry_delay=0.0))


@plant
def repeats_what_may_have_run() -> None:
    """Calls of every class are sent again, whatever may have run."""

    def change(known: i.Settings) -> i.Settings:
        return replace(known, classes=tuple(replace(c, idempotent=True) for c in known.classes))

    _change_settings(change)


@plant
def late_releases() -> None:
    """Callers are told of the end of a call 2.5 s late."""

    def late(old: Any) -> Any:
        def release(me: ReleaseSender, *words: Any) -> None:
            me.switch.wheel.call_after(LATE_RELEASE, old, me, *words)

        return release

    _wrap(ReleaseSender, "release", late)


@plant
def lost_releases() -> None:
    """Callers are never told of the end of one call in EVERY."""
    _spoil(ReleaseSender, "release", lambda old, *arguments: None)


@plant
def no_answer() -> None:
    """One call in EVERY is never answered."""
    _spoil(SipCalls, "_answer", lambda old, *arguments: None)


@plant
def late_answers() -> None:
    """One call in EVERY is answered after its caller's patience."""

    def late(old: Any, me: SipCalls, *arguments: Any) -> None:
        me.switch.wheel.call_after(LATE_ANSWER, old, me, *arguments)

    _spoil(SipCalls, "_answer", late)


@plant
def second_answers() -> None:
    """One call in EVERY is answered twice."""
    due = _every()

    def twice(old: Any) -> Any:
        def answer(me: SipConnection, code: int, request: Any, *words: Any) -> None:
            old(me, code, request, *words)
            if code != 100 and request.start_line.startswith("INVITE") and due():
                old(me, code, request, *words)

        return answer

    _wrap(SipConnection, "answer", twice)


@plant
def two_attempts_at_once() -> None:
    """One attempt in EVERY goes to a second engine as well."""
    due = _every()

    def hedged(old: Any) -> Any:
        def send(me: EnginePool, server: str, call: Any) -> None:
            old(me, server, call)
            others = [name for name in me.links if name != server]
            if due() and others:
                old(me, others[0], call)

        return send

    _wrap(EnginePool, "send_setup", hedged)


@plant
def longer_deadline() -> None:
    """Engines are told a longer wait than the caller has."""
    old = engine_link.encode_setup
    engine_link.encode_setup = lambda call, now: old(call, now - LONGER_WAIT)


@plant
def changed_description() -> None:
    """Descriptions are cut on their way to engines."""

    def cut(old: Any) -> Any:
        def encode(call: Any, now: float) -> bytes:
            request, call.request = call.request, replace(call.request, description=b"cut")
            try:
                return bytes(old(call, now))
            finally:
                call.request = request

        return encode

    _wrap(engine_link, "encode_setup", cut)


@plant
def sends_for_callers_that_left() -> None:
    """A caller's CANCEL is answered, and its call goes on."""

    def deaf(old: Any) -> Any:
        def abandon(me: Switch, call: str, by: Any) -> bool:
            known = me.calls.get(call)
            return True if known is not None and not known.established else bool(old(me, call, by))

        return abandon

    _wrap(Switch, "abandon_call", deaf)


@plant
def callers_release_kept() -> None:
    """A caller's BYE is answered and not passed on to its engine."""

    def keep(old: Any) -> Any:
        def send(me: EnginePool, server: str, call: str, cause: int) -> None:
            """Nothing goes out."""

        return send

    _wrap(EnginePool, "send_release", keep)


@plant
def lets_calls_go_at_sigterm() -> None:
    """What is open at SIGTERM is dropped with its connection."""

    def drop(old: Any) -> Any:
        def begin(me: Shutdown) -> None:
            for connection in me.sip.connections:
                connection.transport.abortConnection()
            old(me)

        return begin

    _wrap(Shutdown, "begin", drop)


@plant
def ends_with_an_error() -> None:
    """A planned stop ends with another code than 0."""
    _wrap(Shutdown, "begin", lambda old: lambda me: (old(me), os._exit(EXIT_CODE)))


@plant
def never_ready() -> None:
    """The process never says that it takes callers."""
    Lifecycle.ready = property(lambda me: False)  # type: ignore[assignment, method-assign]


@plant
def leaks_memory() -> None:
    """Memory grows with each set-up."""
    kept: list[bytearray] = []

    def leak(old: Any) -> Any:
        def accept(me: Switch, *words: Any) -> Any:
            kept.append(bytearray(LEAKED_BYTES))
            return old(me, *words)

        return accept

    _wrap(Switch, "accept_call", leak)


@plant
def leaks_descriptors() -> None:
    """Descriptors grow with each set-up."""

    def leak(old: Any) -> Any:
        def accept(me: Switch, *words: Any) -> Any:
            os.dup(0)
            return old(me, *words)

        return accept

    _wrap(Switch, "accept_call", leak)


def main(name: str) -> None:
    """Plants the fault and becomes the program."""
    if name not in FAULTS:
        raise SystemExit(f"no such planted fault: {name}; one of {', '.join(FAULTS)}")
    FAULTS[name]()
    sys.argv = ["softswitch"]
    runpy.run_module("softswitch", run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else "")
