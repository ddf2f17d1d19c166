"""Table of the calls in this process, with limits on its size."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from typing import Protocol

from softswitch.core.call import Call, CallState, Connection, SetupRequest
from softswitch.core.memory_budget import Holder, MemoryBudget
from softswitch.interface import CallId

MAX_CALLS = 20_000  # in the table at once; further calls are rejected
# Bytes of a call in this process, with its records in the decision module, the front and the engine's link.
OPEN_CALL_BYTES = 2_304  # without its description and what its front retains
ESTABLISHED_CALL_BYTES = 1_536
# Bytes of a call's timers. They outlive a call that ends early, and stay until its deadline.
CALL_TIMER_BYTES = 640


class CallTableObserver(Protocol):
    """Observer of the calls that are added to the table and removed from it, by id."""

    def call_added(self, call: CallId) -> None:
        """Called when a call was added."""

    def call_removed(self, call: CallId, written: bool) -> None:
        """Called when a call was removed. `written`: an attempt of it was written to an engine."""


class CallTable(dict[CallId, Call]):
    """The calls by id. Counts the unanswered calls, and the memory that calls hold."""

    def __init__(self, memory: MemoryBudget) -> None:
        super().__init__()
        self.max_calls = MAX_CALLS
        self.memory = memory
        self.unanswered = 0
        self.open_bytes: dict[Connection, int] = {}  # of the unanswered calls, by their connection
        self.observer: CallTableObserver | None = None

    def has_capacity_for(self, request: SetupRequest, connection: Connection, answer_bytes: int) -> bool:
        """Whether one more call stays within the limits.

        `answer_bytes`: what the front retains of the request until its answer.
        """
        if len(self) >= self.max_calls:
            return False
        needed = open_call_bytes(request, answer_bytes) + CALL_TIMER_BYTES
        return self.memory.allows(self.open_bytes.get(connection, 0), needed)

    def add(self, call: Call) -> None:
        """Adds an accepted call."""
        self[call.id] = call
        self.unanswered += 1
        call.held_bytes = open_call_bytes(call.request, call.answer_bytes)
        connection = call.connection
        self.open_bytes[connection] = self.open_bytes.get(connection, 0) + call.held_bytes
        self.memory.change(Holder.CALLS, call.held_bytes)
        self.memory.change(Holder.TIMERS, CALL_TIMER_BYTES)
        if self.observer is not None:
            self.observer.call_added(call.id)

    def timers_expired(self) -> None:
        """Records that the timers of one call, which may have ended long before, are gone."""
        self.memory.change(Holder.TIMERS, -CALL_TIMER_BYTES)

    def establish(self, call: Call, now: float) -> None:
        """Marks a call as established. Drops its long texts: thousands of them would fill the memory."""
        call.transition(CallState.ESTABLISHED)
        call.established_at = now
        self._answered(call)
        call.request = replace(call.request, description=b"", tenant="")
        self.memory.change(Holder.CALLS, ESTABLISHED_CALL_BYTES - call.held_bytes)
        call.held_bytes = ESTABLISHED_CALL_BYTES

    def _answered(self, call: Call) -> None:
        self.unanswered -= 1
        left = self.open_bytes[call.connection] - call.held_bytes
        if left:
            self.open_bytes[call.connection] = left
        else:
            del self.open_bytes[call.connection]

    def remove(self, call: Call) -> None:
        """Removes a call that has ended."""
        del self[call.id]
        if not call.established:
            self._answered(call)
        self.memory.change(Holder.CALLS, -call.held_bytes)
        call.transition(CallState.OVER)
        if self.observer is not None:
            self.observer.call_removed(call.id, call.written)

    def established_at(self, server: str, before: float = inf) -> list[Call]:
        """Returns the calls at a server that were established before a time."""
        at_server = [call for call in self.values() if call.established and call.server == server]
        return [
            call for call in at_server if call.established_at is not None and call.established_at < before
        ]

    def any_at(self, server: str) -> bool:
        """Whether a server has an established call or an attempt in flight."""
        return any(call.server == server for call in self.values())


def open_call_bytes(request: SetupRequest, answer_bytes: int) -> int:
    """Returns the bytes that an unanswered call holds, without its timers."""
    return OPEN_CALL_BYTES + len(request.description) + len(request.tenant) + answer_bytes
