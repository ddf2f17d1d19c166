"""A call from its setup to its end: the caller's request, the states, and who is told of it."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Flag, IntEnum, StrEnum, auto
from typing import Any, Protocol

from softswitch import interface as i

MAX_TEXT_BYTES = 16_200  # of a call setup's texts: with their heads they fit a message of 16 KiB
MAX_TIMEOUT = 600_000.0  # ms
MAX_CIRCUITS = 100.0
MAX_CELL = 65_535
CALL_ID = re.compile(r"[0-9a-f]{16}\Z")
NUMBER = re.compile(r"[0-9A-Za-z*#+._~-]{1,64}\Z")
CLASS = re.compile(r"[!-~]{1,64}\Z")  # an engine closes the link, with all calls on it, at what it can't read


class ReleaseCause:
    """Causes of a release, as in Q.850; 102 is used here for what was never sent."""

    NORMAL = 16
    RECOVERY_ERROR = 41  # the call was cut
    NO_CIRCUIT = 34  # or a processor that is full, by the release's note
    NOT_SENT = 102
    ERRORS = (17, 47)  # user busy, resource unavailable


class CallResult(StrEnum):
    """How a call ceased to be owed an answer. The values are those of the call-control API and the record."""

    ESTABLISHED = "stands"
    ABANDONED = "given_up"  # its caller waits no longer
    REJECTED = "refused"  # trying again is harmless
    FAILED = "failed"  # an attempt may have run


class FailureReason(StrEnum):
    """Why a call was not established. The values are codes of the call-control API."""

    REJECTED = "refused"  # trying again is harmless
    FAILED = "failed"  # an attempt may have run
    DUPLICATE = "repeated"  # this id is known already; the first call setup goes on
    TABLE_FULL = "table_full"
    DRAINED = "drained"  # this process takes no callers now
    ABANDONED = "given_up"  # its caller waits no longer
    UNKNOWN_CALL = "unknown"  # the request names no call that this caller has here


RESULTS = {FailureReason.REJECTED: CallResult.REJECTED, FailureReason.FAILED: CallResult.FAILED}


class CallState(IntEnum):
    """Where a call is between its setup and its end."""

    ACCEPTED = auto()  # taken in; the decision module does not know it yet
    ROUTING = auto()  # the decision module has it; no attempt is in flight
    ATTEMPTING = auto()  # an attempt is in flight at `Call.server`
    ESTABLISHED = auto()  # at `Call.server`
    OVER = auto()


TRANSITIONS = {
    CallState.ACCEPTED: frozenset({CallState.ROUTING, CallState.OVER}),
    CallState.ROUTING: frozenset({CallState.ATTEMPTING, CallState.OVER}),
    CallState.ATTEMPTING: frozenset({CallState.ROUTING, CallState.ESTABLISHED, CallState.OVER}),
    CallState.ESTABLISHED: frozenset({CallState.OVER}),
    CallState.OVER: frozenset[CallState](),
}


class InvalidTransition(Exception):  # noqa: N818  # names what happened, as StopIteration does
    """A call was to change to a state that does not follow on the one that it is in."""


class Obstacle(Flag):
    """What the attempts of a call met."""

    NONE = 0
    NO_CIRCUIT = auto()
    PROCESSOR_FULL = auto()


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """A call setup as a caller hands it in."""

    call: str  # 16 hex digits
    call_class: str
    number: str  # the number called
    timeout: float  # ms that the caller waits, from now
    description: bytes = b""
    destination_cell: int = -1
    redial: bool = False
    circuits: float = 1.0
    tenant: str = ""  # whose call it is; empty: nobody's

    def __post_init__(self) -> None:
        if not CALL_ID.match(self.call):
            raise ValueError("the id of a call is 16 hex digits")
        if not NUMBER.match(self.number):
            raise ValueError("no number called")
        if not CLASS.match(self.call_class):
            raise ValueError("no class")
        if not 0 < self.timeout <= MAX_TIMEOUT or not 0 < self.circuits <= MAX_CIRCUITS:
            raise ValueError("patience or width out of range")
        if not -1 <= self.destination_cell <= MAX_CELL:
            raise ValueError("dest out of range")
        if len(self.description) + len(self.number) + len(self.call_class) > MAX_TEXT_BYTES:
            raise ValueError("longer than a message may be")


class Caller(Protocol):
    """What the owner of a caller's connection is told of the calls that it handed in."""

    calls_survive: bool  # whether its calls go on under the next process: their callers know them by id alone

    def call_established(self, call: str, description: bytes) -> None:
        """The call is established; `description` comes from the engine."""

    def call_failed(self, call: str, reason: FailureReason, retry_after: float) -> None:
        """The call is not established; `retry_after` in ms, 0: no advice."""

    def call_released(self, call: str, cause: int) -> None:
        """An established call has ended."""


class Engines(Protocol):
    """What the switch asks of its quote engines. Answers come back by the switch's own methods."""

    def send_setup(self, server: str, call: Call) -> None:
        """Sends the call's setup there."""

    def cancel_setup(self, server: str, call: str) -> None:
        """Takes back a setup that is not answered."""

    def send_release(self, server: str, call: str, cause: int) -> None:
        """Ends a call there."""

    def endpoint_unavailable(self, server: str) -> None:
        """It takes nothing new: setups that are not written yet come back as unreachable."""


class CallObserver(Protocol):
    """Who is notified of each call, for the traffic record."""

    def call_received(self, call: Call) -> None:
        """A call was taken in."""

    def call_settled(self, call: Call, result: CallResult) -> None:
        """A call is owed no answer any more."""

    def call_ended(self, call: Call) -> None:
        """An established call has ended."""


class PeerProcess(Protocol):
    """The other process of this softswitch, while one replaces the other."""

    def caller_released(self, call: str, cause: int) -> None:
        """A caller ended a call that is not known here."""

    def engine_released(self, call: str, cause: int) -> None:
        """An engine ended a call that is not known here."""

    def release_undeliverable(self, call: str, cause: int) -> None:
        """A call is over, and no caller is connected here who could be told."""


@dataclass(slots=True, eq=False)
class Call:
    """One call that this process knows."""

    id: str
    request: SetupRequest
    caller: Caller
    received_at: float
    deadline: float  # when the caller stops waiting
    max_attempts: int = 1
    idempotent: bool = True  # by its class as it came: may be rejected although an attempt may have run
    state: CallState = CallState.ACCEPTED
    attempt: int = -1  # number of the last attempt
    server: str | None = None  # where an attempt is in flight, or the call is established
    sent_at: float = 0.0
    written: bool = False  # whether any attempt was written to an engine: until then nothing can have run
    retry_at: float = 0.0  # no attempt before this: retry_delay
    established_at: float | None = None
    first_server: str = ""  # where its first attempt went
    obstacles: Obstacle = field(default=Obstacle.NONE)
    record_slot: Any = None  # where a traffic record has booked it

    @property
    def established(self) -> bool:
        """Whether the call has been answered."""
        return self.state is CallState.ESTABLISHED

    @property
    def never_sent(self) -> bool:
        """Whether no attempt was made."""
        return self.attempt < 0

    def transition(self, state: CallState) -> None:
        """Changes to the next state."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransition(f"call {self.id}: {self.state.name} to {state.name}")
        self.state = state

    def awaits(self, attempt: int) -> bool:
        """Whether that attempt is in flight."""
        return self.state is CallState.ATTEMPTING and self.attempt == attempt

    def setup_event(self, timeout: float) -> i.SetupRequested:
        """The event that hands the call to the decision module."""
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
