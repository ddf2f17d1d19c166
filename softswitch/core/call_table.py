"""Table of the calls in this process, with limits on its size."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from typing import Protocol

from softswitch.core.call import Call, CallState, SetupRequest

MAX_CALLS = 20_000  # in the table at once; further calls are rejected
MAX_DESCRIPTION_BYTES = 8 << 20  # total size of the descriptions of unanswered calls


class CallTableObserver(Protocol):
    """Observer of the calls that are added to the table and removed from it, by id."""

    def call_added(self, call: str) -> None:
        """Called when a call was added."""

    def call_removed(self, call: str) -> None:
        """Called when a call was removed."""


class CallTable(dict[str, Call]):
    """The calls by id. Counts the unanswered calls and the bytes of their descriptions."""

    def __init__(self) -> None:
        super().__init__()
        self.max_calls = MAX_CALLS
        self.max_description_bytes = MAX_DESCRIPTION_BYTES
        self.unanswered = 0
        self.description_bytes = 0
        self.observer: CallTableObserver | None = None

    def has_capacity_for(self, request: SetupRequest) -> bool:
        """Whether one more call stays within the limits."""
        if len(self) >= self.max_calls:
            return False
        return self.description_bytes + len(request.description) <= self.max_description_bytes

    def add(self, call: Call) -> None:
        """Adds an accepted call."""
        self[call.id] = call
        self.unanswered += 1
        self.description_bytes += len(call.request.description)
        if self.observer is not None:
            self.observer.call_added(call.id)

    def establish(self, call: Call, now: float) -> None:
        """Marks a call as established. Drops its description: thousands of them would fill the memory."""
        call.transition(CallState.ESTABLISHED)
        call.established_at = now
        self.unanswered -= 1
        self.description_bytes -= len(call.request.description)
        call.request = replace(call.request, description=b"")

    def remove(self, call: Call) -> None:
        """Removes a call that has ended."""
        del self[call.id]
        if not call.established:
            self.unanswered -= 1
        self.description_bytes -= len(call.request.description)
        call.transition(CallState.OVER)
        if self.observer is not None:
            self.observer.call_removed(call.id)

    def established_at(self, server: str, before: float = inf) -> list[Call]:
        """Returns the calls at a server that were established before a time."""
        at_server = [call for call in self.values() if call.established and call.server == server]
        return [
            call for call in at_server if call.established_at is not None and call.established_at < before
        ]

    def any_at(self, server: str) -> bool:
        """Whether a server has an established call or an attempt in flight."""
        return any(call.server == server for call in self.values())
