"""The model of a call: setup request, call states, and the interfaces to callers, engines and observers.

An *engine* (a quote engine) is the server that answers call setups; the decision module calls it an endpoint.
`softswitch.interface` defines attempt, cell, circuit and redial. All times are in ms.
"""

from __future__ import annotations

import re
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Flag, IntEnum, StrEnum, auto
from typing import Any, Protocol

from softswitch import interface as i
from softswitch.core.endpoint_directory import IncarnationEnded
from softswitch.interface import CallId

MAX_TEXT_BYTES = (
    16_200  # total size of the texts of a call setup; with headers they fit into a 16 KiB message
)
MAX_TIMEOUT = 600_000.0  # ms
MAX_CIRCUITS = 100.0
MAX_CELL = 65_535
CALLED_NUMBER = re.compile(r"[0-9A-Za-z*#+._~-]{1,64}\Z")
# An engine that cannot parse a class name closes the link, which ends all calls on it.
CLASS_NAME = re.compile(r"[!-~]{1,64}\Z")


class ReleaseCause:
    """Release causes of Q.850. Here 102 means that the attempt was never sent."""

    NORMAL = 16
    RECOVERY_ERROR = 41  # the call was cut off
    NO_CIRCUIT = 34  # no circuit available, or a full processor if the note of the release says so
    NOT_SENT = 102
    ERRORS = (17, 47)  # user busy, resource unavailable


class CallResult(StrEnum):
    """Final result of a call setup. The call-control API and the traffic record use the values."""

    ESTABLISHED = "stands"
    ABANDONED = "given_up"  # the caller stopped waiting
    REJECTED = "refused"  # the caller can safely retry
    FAILED = "failed"  # an attempt may have run


class FailureReason(StrEnum):
    """Reason why a call was not established. The values are codes of the call-control API."""

    REJECTED = "refused"  # the caller can safely retry
    FAILED = "failed"  # an attempt may have run
    DUPLICATE = "repeated"  # the call id is already in use; the first call setup continues
    TABLE_FULL = "table_full"
    DRAINED = "drained"  # this process currently accepts no calls
    ABANDONED = "given_up"  # the caller stopped waiting
    UNKNOWN_CALL = "unknown"  # this caller has no call with the requested id in this process


RESULT_BY_REASON = {FailureReason.REJECTED: CallResult.REJECTED, FailureReason.FAILED: CallResult.FAILED}


class CallState(IntEnum):
    """State of a call."""

    ACCEPTED = auto()  # in the call table, but not yet passed to the decision module
    ROUTING = auto()  # passed to the decision module; no attempt is in flight
    ATTEMPTING = auto()  # an attempt to `Call.server` is in flight
    ESTABLISHED = auto()  # at `Call.server`
    OVER = auto()


TRANSITIONS = {
    CallState.ACCEPTED: frozenset({CallState.ROUTING, CallState.OVER}),
    CallState.ROUTING: frozenset({CallState.ATTEMPTING, CallState.OVER}),
    CallState.ATTEMPTING: frozenset({CallState.ROUTING, CallState.ESTABLISHED, CallState.OVER}),
    CallState.ESTABLISHED: frozenset({CallState.OVER}),
    CallState.OVER: frozenset[CallState](),
}


class InvalidTransition(Exception):  # noqa: N818  # named after the event, like StopIteration
    """Raised when a call would change to a state that cannot follow its current state."""


class Obstacle(Flag):
    """Shortages that the attempts of a call ran into."""

    NONE = 0
    NO_CIRCUIT = auto()
    PROCESSOR_FULL = auto()


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """Call setup request of a caller."""

    call: CallId
    call_class: str
    number: str  # called number
    timeout: float  # ms for which the caller waits, counted from now
    description: bytes = b""  # body of the request, passed to the engine unchanged
    destination_cell: int = -1  # preferred cell; -1: none
    redial: bool = False
    circuits: float = 1.0  # circuits that the call occupies
    tenant: str = ""  # tenant of the call; empty: none

    def __post_init__(self) -> None:
        if not CALLED_NUMBER.match(self.number):
            raise ValueError("no number called")
        if not CLASS_NAME.match(self.call_class):
            raise ValueError("no class")
        if not 0 < self.timeout <= MAX_TIMEOUT or not 0 < self.circuits <= MAX_CIRCUITS:
            raise ValueError("patience or width out of range")
        if not -1 <= self.destination_cell <= MAX_CELL:
            raise ValueError("dest out of range")
        if len(self.description) + len(self.number) + len(self.call_class) > MAX_TEXT_BYTES:
            raise ValueError("longer than a message may be")


Connection = Hashable  # a caller's connection, compared by identity; its type is known to the front alone
NO_CONNECTION = 0  # number of no connection to an engine
ENDED_CONNECTION: Connection = "ended"  # stands for the connection of an established call that has ended


class Caller(Protocol):
    """Receiver of the notifications about a caller's calls: the server that owns the caller's connection."""

    # Whether the calls continue in the successor process. They do if callers identify a call by its id alone.
    calls_survive: bool

    def call_established(self, call: CallId, description: bytes) -> None:
        """Reports that a call is established; `description` is the engine's description."""

    def call_failed(self, call: CallId, reason: FailureReason, retry_after: float) -> None:
        """Reports that a call is not established; `retry_after` is in ms, 0: not sent."""

    def call_released(self, call: CallId, cause: int) -> None:
        """Reports that an established call has ended."""


class Engines(Protocol):
    """Interface to the quote engines. The switch receives their answers through its own methods."""

    def send_setup(self, server: str, call: Call) -> None:
        """Sends the call's setup to the engine."""

    def cancel_setup(self, server: str, call: CallId) -> None:
        """Cancels a setup that is not yet answered."""

    def send_release(self, server: str, call: CallId, cause: int) -> None:
        """Releases a call at the engine."""

    def endpoint_unavailable(self, server: str) -> None:
        """Stops sending setups to an engine. Setups not yet written are returned as unreachable."""

    def incarnation_ended(self, ended: IncarnationEnded) -> int:
        """Drops what was meant for an ended process of an engine.

        Returns the number of the connection that is still open, to the process that listens at the engine's
        address; NO_CONNECTION if there is none.
        """


class CallObserver(Protocol):
    """Observer of all calls, for the traffic record."""

    def call_received(self, call: Call) -> None:
        """Reports that a call was accepted into the call table."""

    def call_settled(self, call: Call, result: CallResult) -> None:
        """Reports the final result of a call setup."""

    def call_ended(self, call: Call) -> None:
        """Reports that an established call has ended."""


class PeerProcess(Protocol):
    """The other process of this softswitch while one process replaces the other."""

    def has_call(self, call: CallId) -> bool:
        """Whether the other process has reported an open or established call with this id."""

    def caller_released(self, call: CallId, cause: int) -> None:
        """Passes on a caller's release of a call that is unknown in this process."""

    def engine_released(self, server: str, call: CallId, cause: int) -> None:
        """Passes on an engine's release of a call that is unknown in this process."""

    def release_undeliverable(self, call: CallId, cause: int) -> None:
        """Passes on the release of an ended call when no caller is connected to this process."""


@dataclass(slots=True, eq=False)
class Call:
    """A call in this process, from its setup to its end."""

    id: CallId
    request: SetupRequest
    caller: Caller
    connection: Connection  # on which the setup arrived; only it may end the call before it is established
    received_at: float
    deadline: float  # time at which the caller stops waiting
    answer_bytes: int = 0  # what the front retains of the request until its answer
    held_bytes: int = 0  # memory that the call holds, as its table counts it
    max_attempts: int = 1
    # As configured for the class when the call was received. If true, the call may be rejected although an
    # attempt may have run.
    idempotent: bool = True
    state: CallState = CallState.ACCEPTED
    attempt: int = -1  # number of the last attempt, from 0; -1: none yet
    server: str | None = None  # engine of the attempt in flight or of the established call
    # Number of the connection to the engine on which the last attempt was written; unique in this process.
    engine_connection: int = NO_CONNECTION
    sent_at: float = 0.0  # time of the last attempt
    written: bool = False  # whether an attempt was written to an engine; until then none can have run
    retry_at: float = 0.0  # earliest time of the next attempt, set by retry_delay
    established_at: float | None = None
    first_server: str = ""  # engine of the first attempt
    obstacles: Obstacle = field(default=Obstacle.NONE)
    record_slot: Any = None  # slot of the traffic record in which the call is counted

    @property
    def established(self) -> bool:
        """Whether the call is established."""
        return self.state is CallState.ESTABLISHED

    @property
    def never_sent(self) -> bool:
        """Whether no attempt was started."""
        return self.attempt < 0

    def transition(self, state: CallState) -> None:
        """Changes the state; raises InvalidTransition if the new state cannot follow the current one."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransition(
                f"call {self.id}: invalid transition from {self.state.name} to {state.name}"
            )
        self.state = state

    def has_in_flight(self, attempt: int) -> bool:
        """Whether the attempt with this number is in flight."""
        return self.state is CallState.ATTEMPTING and self.attempt == attempt

    def setup_event(self, timeout: float) -> i.SetupRequested:
        """Returns the event that passes the call to the decision module."""
        r = self.request
        return i.SetupRequested(
            r.call,
            r.call_class,
            r.destination_cell,
            timeout,
            r.redial,
            transit=False,
            circuits=r.circuits,
            number=r.number,
            tenant=r.tenant,
        )
