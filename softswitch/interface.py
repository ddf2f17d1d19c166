"""Types of the decision module: its settings, the events that it takes and the actions that it returns.

All times and durations are milliseconds on the caller's own clock, as floats. A *call setup* is a call that
asks to be established; an *attempt* is one try of it at one endpoint (a quote engine).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, ClassVar, Protocol


class Outcome(Enum):
    """How an attempt ended. The values are part of counter names."""

    OK = "ok"  # the call was established and has ended
    ERROR = "error"
    REJECTED = "full"  # by the endpoint; the attempt never ran
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # the attempt never ran
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


# A retry waits for retry_delay after these.
DELAYS_RETRY = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
# After these the attempt has certainly not run.
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointState(Enum):
    """What the endpoint list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateKind(Enum):
    """What an update of the endpoint list holds."""

    CHANGES = "changes"
    COMPLETE = "whole"  # the complete list
    STALE = "stale"  # a complete list that may be out of date
    FAILED = "failed"  # the list could not be fetched


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls, as the settings describe it."""

    name: str
    latency_objective: float  # ms from the first attempt; a call established within it counts in full
    priority_weight: float = 1.0
    holding_time: float = 0.0  # ms that a call lasts on average; 0: unknown
    late_weight_share: float = 0.0  # share of the weight that counts after the objective
    deadline: float = 0.0  # ms after which its callers have given up; 0: unknown
    idempotent: bool = True  # may be sent again although an attempt may have run
    cells: tuple[int, ...] | None = None  # cells whose endpoints can take it; None: any

    def weight_of(self, redial: bool) -> float:
        """The priority weight of a call; a redial is late already."""
        return self.priority_weight * (self.late_weight_share if redial else 1.0)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant, as the settings describe it."""

    name: str
    quota: float  # calls a second, of all softswitches together


@dataclass(frozen=True, slots=True)
class Settings:
    """What the decision module may do, and what it is told of its surroundings."""

    classes: tuple[CallClass, ...]
    fleet_size: int = 1  # number of softswitches
    own_cell: int = -1  # cell of this softswitch's own exchange; never sent to
    report_fields: tuple[str, ...] = ()  # of load reports: free, size, queue, latency_ms, qps and others
    may_cancel: bool = False
    may_message_peers: bool = False
    may_probe: bool = False
    may_send_retry_after: bool = False
    max_retry_after: float = 0.0  # ms
    max_attempts: int = 1  # for one call
    list_pushed: bool = True  # False: changes of the list come only after SubscribeEndpoints
    retry_delay: float = 0.0  # ms from a timeout, reset or cancel to the call's next attempt
    retransmit_after: float = 0.0  # ms until the network sends a waiting call setup again; 0: never
    warm_up: float = 0.0  # ms until a started endpoint is warm, at most
    initial_capacity: float = 1.0  # share of its capacity that an endpoint starts with, at least
    overload_factor: float = 1.0  # times its present capacity, for overload_window, fails a warming endpoint
    overload_window: float = 1000.0  # ms
    tick: float = 1.0  # ms, the shortest gap between two batches of events
    slow_start_share: float = 1.0  # of the softswitch's share of warming endpoints: two processes may be one
    connect_timeout: float = 500.0  # ms until a connection that does not come up has failed
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0  # share of its weight that a call beyond its tenant's quota counts

    @property
    def max_weight(self) -> float:
        """The highest priority weight of all classes; 1 if all are 0."""
        return max(c.priority_weight for c in self.classes) or 1.0

    @property
    def min_weight(self) -> float:
        """The lowest priority weight of all classes."""
        return min(c.priority_weight for c in self.classes)

    @property
    def retry_after(self) -> float:
        """Ms that a rejected caller may be told to wait; 0: none."""
        return self.max_retry_after if self.may_send_retry_after else 0.0

    @property
    def max_objective(self) -> float:
        """The longest latency objective of all classes, ms."""
        return max(c.latency_objective for c in self.classes)

    @property
    def mean_holding_time(self) -> float:
        """Ms that a call lasts on average over the classes; the longest objective where none is known."""
        return sum(c.holding_time for c in self.classes) / len(self.classes) or self.max_objective

    def __post_init__(self) -> None:
        if not self.classes or len({c.name for c in self.classes}) != len(self.classes):
            raise ValueError("settings: at least one class, and no class name twice")
        for c in self.classes:
            if not c.latency_objective > 0 or not c.priority_weight >= 0 or not 0 <= c.late_weight_share <= 1:
                raise ValueError(f"settings: class {c.name}: aim > 0, worth >= 0, late_share 0 to 1")
        if self.fleet_size < 1 or self.max_attempts < 0:
            raise ValueError("settings: fleet_size >= 1 and max_attempts >= 0")
        if not 0 < self.initial_capacity <= 1 or not self.overload_factor > 0 or not self.overload_window > 0:
            raise ValueError("settings: 0 < cold_from <= 1, overload_factor > 0, overload_for > 0")
        durations = ("retry_delay", "retransmit_after", "warm_up", "tick", "max_retry_after")
        for name in durations:
            if not getattr(self, name) >= 0:
                raise ValueError(f"settings: {name} is a duration, >= 0")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    server: str
    cell: int
    state: EndpointState
    started_at: float = 0.0  # clock time of its last start; 0: long ago
    weight: float = 1.0  # size beside other endpoints


class Constraints(Protocol):
    """Quotas shared with other softswitches. The module asks before it decides, and reports what it did."""

    def admit(self, call_class: str, priority_weight: float) -> float:
        """Admits a call and counts it: 0. Otherwise ms until the exhausted quota opens."""

    def attempt_wanted(self, call_class: str, retry: bool, priority_weight: float) -> None:
        """Records that an attempt is wanted, wherever it may go; called once for each."""

    def may_attempt(self, call_class: str, server: str, retry: bool) -> bool:
        """Whether an attempt may go to that endpoint now."""

    def attempt_sent(self, call_class: str, server: str, retry: bool) -> None:
        """Records that an attempt goes there."""

    def share(self, resource: str, server: str, default: float) -> float:
        """The share held of a `SHARED_...` resource of that endpoint; `default` if it is not divided."""


class Unlimited:
    """Constraints that limit nothing."""

    def admit(self, call_class: str, priority_weight: float) -> float:
        """Admits every call."""
        return 0.0

    def attempt_wanted(self, call_class: str, retry: bool, priority_weight: float) -> None:
        """Records nothing."""

    def may_attempt(self, call_class: str, server: str, retry: bool) -> bool:
        """Allows every attempt."""
        return True

    def attempt_sent(self, call_class: str, server: str, retry: bool) -> None:
        """Records nothing."""

    def share(self, resource: str, server: str, default: float) -> float:
        """Divides nothing."""
        return default


UNLIMITED = Unlimited()


class CallLimits(Protocol):
    """Limits of this softswitch alone, by what calls have in common. The module asks, and reports ends."""

    def admit(self, now: float, request: SetupRequested, call_class: CallClass, shared: Constraints) -> float:
        """Admits a call, by the `shared` quotas too: 0. Otherwise ms until one like it may be tried."""

    def weight_of(
        self, now: float, request: SetupRequested, call_class: CallClass, call_share: float
    ) -> float:
        """The priority weight of a call that was admitted; asked once for each.

        `call_share`: this softswitch's share of all calls, from 0 to 1.
        """

    def record_attempt_event(self, now: float, event: AttemptEvent, request: SetupRequested | None) -> None:
        """An attempt was answered or ended; `request`: of its call, None if that was established before."""


class NoCallLimits:
    """Only the quotas that are shared limit anything."""

    def admit(self, now: float, request: SetupRequested, call_class: CallClass, shared: Constraints) -> float:
        """Admits what the shared quotas admit."""
        return shared.admit(call_class.name, call_class.priority_weight)

    def weight_of(
        self, now: float, request: SetupRequested, call_class: CallClass, call_share: float
    ) -> float:
        """The weight by its class alone."""
        return call_class.weight_of(request.redial)

    def record_attempt_event(self, now: float, event: AttemptEvent, request: SetupRequested | None) -> None:
        """Learns nothing."""


NO_CALL_LIMITS = NoCallLimits()
SHARED_SLOW_START = "cold"  # call setups that a warming endpoint bears from all softswitches
SHARED_PROBES = "probes"  # probes that an endpoint bears from all softswitches


@dataclass(slots=True)
class LoadReport:
    """What a load report tells; values under 0 are not known."""

    circuits: float = -1.0
    free_circuits: float = -1.0
    wait: float = -1.0  # ms
    rate: float = -1.0  # call setups a second that it can take
    queue: float = -1.0  # call setups that wait

    @classmethod
    def of(cls, fields: tuple[str, ...], values: tuple[float, ...]) -> LoadReport:
        """`fields` names the values, as the settings' report_fields do."""
        if not values:
            return NO_REPORT
        known = dict(zip(fields, values, strict=False))
        return cls(*(known.get(name, -1.0) for name in ("size", "free", "latency_ms", "qps", "queue")))


NO_REPORT = LoadReport()


# Events


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """The endpoint list, or a part of it, as it is now."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()

    def unlisted(self, known: Iterable[str]) -> list[str]:
        """Those of the known servers that a complete list leaves out: they are removed."""
        if self.kind is UpdateKind.CHANGES:
            return []
        listed = {endpoint.server for endpoint in self.endpoints}
        return [server for server in known if server not in listed]


@dataclass(frozen=True, slots=True)
class SetupRequested:
    """A call is handed to this softswitch, which now owes it one final answer or an established call."""

    call: str
    call_class: str
    destination_cell: int  # cell of first choice
    timeout: float  # ms until the caller gives up on this try
    redial: bool = False
    transit: bool = False
    circuits: float = 1.0  # that it takes
    number: str = ""  # the number called; empty: unknown
    tenant: str = ""  # whose call it is; empty: nobody's


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The attempt was answered: the call is established."""

    call: str
    attempt: int
    server: str
    elapsed: float  # ms since it was sent
    # What the end of an attempt tells besides; here it has not ended.
    outcome: ClassVar[None] = None
    call_over: ClassVar[bool] = False
    processor_full: ClassVar[bool] = False
    callee_busy: ClassVar[bool] = False
    retry_after: ClassVar[float] = 0.0
    report: ClassVar[tuple[float, ...]] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or the call that it established, ended."""

    call: str
    attempt: int
    server: str
    outcome: Outcome
    elapsed: float  # ms since it was sent
    call_over: bool = False  # the call needs no further answer
    processor_full: bool = False  # with REJECTED: its processor, not its circuits
    callee_busy: bool = False  # with ERROR: the called number's circuits are busy, no fault of the endpoint
    retry_after: float = 0.0  # ms that a full processor asks to be left alone
    report: tuple[float, ...] = ()  # a load report, in the order of the settings' report_fields


AttemptEvent = AttemptAnswered | AttemptEnded


@dataclass(frozen=True, slots=True)
class CallerAbandoned:
    """The caller waits no longer; the call needs no answer."""

    call: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a StartTimer has come."""

    token: int


@dataclass(slots=True)
class LoadReported:
    """A load report that came outside an answer; values under 0 are not known."""

    server: str
    outcome: Outcome
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another softswitch sent data."""

    source: int
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings hold from now on. Calls in progress keep the class that they came with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ConstraintsChanged:
    """Other constraints hold from now on."""

    constraints: Constraints = UNLIMITED


Event = (
    EndpointsChanged
    | SettingsChanged
    | ConstraintsChanged
    | SetupRequested
    | AttemptAnswered
    | AttemptEnded
    | CallerAbandoned
    | TimerFired
    | LoadReported
    | PeerMessageReceived
)


EventHandler = Callable[[float, Any], None]  # (clock time, an event of one type)

# Actions


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the call to this endpoint."""

    call: str
    server: str
    timeout: float = 0.0  # ms; 0: until the caller gives up


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the call: rejected, and trying again is harmless."""

    call: str
    retry_after: float = 0.0  # ms; 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the call: failed, an attempt may have run."""

    call: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give up an attempt that is not answered."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Report TimerFired at a clock time."""

    at: float
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send data to another softswitch."""

    data: bytes
    peer: int | None = None  # None: all


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """Ask for changes of the endpoint list from now on."""


Action = (
    SendAttempt | Reject | Fail | CancelAttempt | StartTimer | SendPeerMessage | WriteLog | SubscribeEndpoints
)
