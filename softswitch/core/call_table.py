"""The calls that this process knows, and the bounds on them."""

from __future__ import annotations

from dataclasses import replace
from math import inf

from softswitch.core.call import Call, CallState, SetupRequest

MAX_CALLS = 20_000  # known at once; one more is rejected
MAX_DESCRIPTION_BYTES = 8 << 20  # of the descriptions of unanswered calls


class CallTable(dict[str, Call]):
    """Owner of the calls, by id. Counts those that are owed an answer, and the bytes of their
    descriptions.
    """

    def __init__(self) -> None:
        super().__init__()
        self.max_calls = MAX_CALLS
        self.max_description_bytes = MAX_DESCRIPTION_BYTES
        self.unanswered = 0
        self.description_bytes = 0

    def has_room_for(self, request: SetupRequest) -> bool:
        """Whether one more call keeps the bounds."""
        if len(self) >= self.max_calls:
            return False
        return self.description_bytes + len(request.description) <= self.max_description_bytes

    def add(self, call: Call) -> None:
        """A call was taken in."""
        self[call.id] = call
        self.unanswered += 1
        self.description_bytes += len(call.request.description)

    def establish(self, call: Call, now: float) -> None:
        """The call is answered. Its description goes: thousands of established calls must not hold theirs."""
        call.transition(CallState.ESTABLISHED)
        call.established_at = now
        self.unanswered -= 1
        self.description_bytes -= len(call.request.description)
        call.request = replace(call.request, description=b"")

    def remove(self, call: Call) -> None:
        """The call is over."""
        del self[call.id]
        if not call.established:
            self.unanswered -= 1
        self.description_bytes -= len(call.request.description)
        call.transition(CallState.OVER)

    def established_at(self, server: str, before: float = inf) -> list[Call]:
        """The calls that are established at a server, since before a time."""
        at_server = [call for call in self.values() if call.established and call.server == server]
        return [
            call for call in at_server if call.established_at is not None and call.established_at < before
        ]

    def any_at(self, server: str) -> bool:
        """Whether a call is established, or an attempt in flight, at a server."""
        return any(call.server == server for call in self.values())
