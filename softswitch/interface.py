"""Types of the decision module: its settings, its input events and the actions that it returns.

All times and durations are floats in milliseconds. Times are on the clock of the code that calls the module.

- A *softswitch* accepts calls and routes them. The softswitches that share the endpoints form a fleet.
- An *endpoint* (a quote engine) is a server that answers calls. It belongs to a *cell*, an exchange that is
  identified by a number. The endpoints of a cell share its *circuits*, which established calls occupy.
- A *call setup* is a request to establish a call. A *redial* is a call setup by which a caller repeats an
  earlier one that did not succeed.
- An *attempt* offers the call once to one endpoint. The attempt *runs* once the endpoint processes it.
- A *probe* tests an endpoint that gets no other calls: a single call shows whether the endpoint works again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, ClassVar, NewType, Protocol

CallId = NewType("CallId", str)  # 16 hex digits; on sockets, read by `core.call_id`


class Outcome(Enum):
    """How an attempt ended. The values are part of counter names."""

    OK = "ok"  # the call was established and has ended
    ERROR = "error"  # the endpoint answered with an error
    REJECTED = "full"  # by the endpoint, for lack of capacity; the attempt never ran
    TIMEOUT = "timeout"  # not answered in time; the attempt may have run
    CONNECT_FAILED = "connect_failed"  # no connection to the endpoint; the attempt never ran
    RESET = "reset"  # the attempt or the established call was cut off; the attempt may have run
    CANCELLED = "cancelled"  # by the softswitch, or ended by the caller; the attempt may have run
    NOT_SENT = "moot"  # the attempt never ran


# After these outcomes, a retry waits for retry_delay.
DELAYS_RETRY = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
# After these outcomes, the attempt has certainly not run.
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointState(Enum):
    """State of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateKind(Enum):
    """Contents of an update of the endpoint list."""

    CHANGES = "changes"
    COMPLETE = "whole"  # the complete list
    STALE = "stale"  # a complete list that may be out of date
    FAILED = "failed"  # the list could not be fetched


@dataclass(frozen=True, slots=True)
class CallClass:
    """Settings of one class of calls."""

    name: str
    latency_objective: float  # ms from the caller's first try; a call established within it counts in full
    priority_weight: float = 1.0
    holding_time: float = 0.0  # ms, average duration of a call; 0: unknown
    late_weight_share: float = 0.0  # fraction of the weight that counts after the objective
    deadline: float = 0.0  # ms after which callers of this class have given up; 0: unknown
    idempotent: bool = True  # a retry is safe even if an attempt may have run
    cells: tuple[int, ...] | None = None  # cells whose endpoints accept this class; None: any

    def weight_of(self, redial: bool) -> float:
        """Returns the priority weight of a call; a redial counts as late."""
        return self.priority_weight * (self.late_weight_share if redial else 1.0)


@dataclass(frozen=True, slots=True)
class Tenant:
    """Settings of one tenant: a group of callers with a common quota of calls."""

    name: str
    quota: float  # calls per second over all softswitches


@dataclass(frozen=True, slots=True)
class Settings:
    """Permissions of the decision module, and properties of the network, the endpoints and the tenants."""

    classes: tuple[CallClass, ...]
    fleet_size: int = 1  # number of softswitches that share the endpoints
    own_cell: int = -1  # cell of this softswitch's own exchange, which gets no calls; -1: none
    report_fields: tuple[str, ...] = ()  # of load reports: free, size, queue, latency_ms, qps and others
    may_cancel: bool = False
    may_message_peers: bool = False
    may_probe: bool = False  # may request an endpoint's state by a message without a call
    may_send_retry_after: bool = False
    max_retry_after: float = 0.0  # ms
    max_attempts: int = 1  # per call
    list_pushed: bool = True  # False: list updates arrive only after SubscribeEndpoints
    retry_delay: float = 0.0  # ms between a timeout, reset or cancel and the call's next attempt
    retransmit_after: float = 0.0  # ms until the network retransmits a waiting call setup; 0: never
    warm_up: float = 0.0  # ms, maximum time until a started endpoint is warmed up
    initial_capacity: float = 1.0  # minimum fraction of its capacity that an endpoint starts with
    # A warming endpoint fails under this multiple of its current capacity, sustained for overload_window.
    overload_factor: float = 1.0
    overload_window: float = 1000.0  # ms
    tick: float = 1.0  # ms, minimum interval between two batches of events
    # Fraction of this softswitch's slow start budget that this process may use: two processes of one
    # softswitch divide the budget.
    slow_start_share: float = 1.0
    connect_timeout: float = 500.0  # ms after which an attempt to connect has failed
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0  # fraction of its weight that a call over its tenant's quota keeps

    @property
    def max_weight(self) -> float:
        """Highest priority weight of all classes; 1 if all weights are 0."""
        return max(c.priority_weight for c in self.classes) or 1.0

    @property
    def min_weight(self) -> float:
        """Lowest priority weight of all classes."""
        return min(c.priority_weight for c in self.classes)

    @property
    def retry_after(self) -> float:
        """Retry-after time for rejected callers, in ms; 0: none is sent."""
        return self.max_retry_after if self.may_send_retry_after else 0.0

    @property
    def max_objective(self) -> float:
        """Longest latency objective of all classes, in ms."""
        return max(c.latency_objective for c in self.classes)

    @property
    def min_objective(self) -> float:
        """Shortest latency objective of all classes, in ms."""
        return min(c.latency_objective for c in self.classes)

    @property
    def mean_holding_time(self) -> float:
        """Holding time averaged over the classes, in ms; the longest objective if all are unknown."""
        return sum(c.holding_time for c in self.classes) / len(self.classes) or self.max_objective

    def __post_init__(self) -> None:
        if not self.classes or len({c.name for c in self.classes}) != len(self.classes):
            raise ValueError("settings: classes must not be empty, and class names must be unique")
        for c in self.classes:
            if not c.latency_objective > 0 or not c.priority_weight >= 0 or not 0 <= c.late_weight_share <= 1:
                raise ValueError(
                    f"settings: class {c.name}: latency_objective must be > 0, priority_weight >= 0, "
                    "late_weight_share from 0 to 1"
                )
        if self.fleet_size < 1 or self.max_attempts < 0:
            raise ValueError("settings: fleet_size must be >= 1, max_attempts >= 0")
        if not 0 < self.initial_capacity <= 1 or not self.overload_factor > 0 or not self.overload_window > 0:
            raise ValueError(
                "settings: initial_capacity must be > 0 and <= 1, overload_factor > 0, overload_window > 0"
            )
        durations = ("retry_delay", "retransmit_after", "warm_up", "tick", "max_retry_after")
        for name in durations:
            if not getattr(self, name) >= 0:
                raise ValueError(f"settings: {name} must be a duration >= 0")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    server: str  # name of the endpoint
    cell: int
    state: EndpointState
    started_at: float = 0.0  # clock time of its last start; 0: long ago
    weight: float = 1.0  # size relative to other endpoints


class Constraints(Protocol):
    """Quotas shared with other softswitches. The module checks them, and reports each attempt to them."""

    def admit(self, call_class: str, priority_weight: float) -> float:
        """Returns 0 and counts the call if it is admitted; otherwise ms until the exhausted quota opens."""

    def attempt_wanted(self, call_class: str, retry: bool, priority_weight: float) -> None:
        """Records that a call needs an attempt, at any endpoint; called once per attempt."""

    def may_attempt(self, call_class: str, server: str, retry: bool) -> bool:
        """Whether an attempt may be sent to that endpoint now."""

    def attempt_sent(self, call_class: str, server: str, retry: bool) -> None:
        """Records that an attempt is sent to that endpoint."""

    def share(self, resource: str, server: str, default: float) -> float:
        """Returns the fraction of the endpoint's `SHARED_...` resource that this softswitch holds.

        `default`: returned if the resource is not divided.
        """


class Unlimited:
    """Constraints without any limit."""

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
        """Returns the default: no resource is divided."""
        return default


UNLIMITED = Unlimited()


class CallLimits(Protocol):
    """Limits of this softswitch alone on calls that share an attribute: the called number or the tenant.

    The module checks them for each call setup, and reports the events of attempts to them.
    """

    def admit(self, now: float, request: SetupRequested, call_class: CallClass, shared: Constraints) -> float:
        """Returns 0 if these limits and `shared` admit the call; else ms until a similar call may pass."""

    def weight_of(
        self, now: float, request: SetupRequested, call_class: CallClass, call_fraction: float
    ) -> float:
        """Returns the priority weight of an admitted call; called once per call.

        `call_fraction`: this softswitch's fraction of all calls, from 0 to 1.
        """

    def record_attempt_event(self, now: float, event: AttemptEvent, request: SetupRequested | None) -> None:
        """Records an answered or ended attempt; `request` is None if the call was established before."""


class NoCallLimits:
    """Call limits that apply the shared quotas alone."""

    def admit(self, now: float, request: SetupRequested, call_class: CallClass, shared: Constraints) -> float:
        """Applies the shared quotas."""
        return shared.admit(call_class.name, call_class.priority_weight)

    def weight_of(
        self, now: float, request: SetupRequested, call_class: CallClass, call_fraction: float
    ) -> float:
        """Returns the weight of the call's class."""
        return call_class.weight_of(request.redial)

    def record_attempt_event(self, now: float, event: AttemptEvent, request: SetupRequested | None) -> None:
        """Records nothing."""


NO_CALL_LIMITS = NoCallLimits()
# Resources of an endpoint that the softswitches divide among themselves; see `Constraints.share`.
SHARED_SLOW_START = "cold"  # call setups that a warming endpoint can take from all softswitches
SHARED_PROBES = "probes"  # probes that an endpoint can take from all softswitches


@dataclass(slots=True)
class LoadReport:
    """Load report of an endpoint; a negative value is unknown."""

    circuits: float = -1.0  # all circuits, in use or available
    available_circuits: float = -1.0
    wait: float = -1.0  # ms until the endpoint answers a call setup
    rate: float = -1.0  # call setups per second that it can take
    queue: float = -1.0  # waiting call setups

    @classmethod
    def from_values(cls, fields: tuple[str, ...], values: tuple[float, ...]) -> LoadReport:
        """Builds a report from its values; `fields` names them, as report_fields of the settings does."""
        if not values:
            return NO_REPORT
        known = dict(zip(fields, values, strict=False))
        return cls(*(known.get(name, -1.0) for name in ("size", "free", "latency_ms", "qps", "queue")))


NO_REPORT = LoadReport()


# Events


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """An update of the endpoint list: the complete list, or the entries that changed."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()

    def unlisted(self, known: Iterable[str]) -> list[str]:
        """Returns the known servers that a complete list omits; they are removed."""
        if self.kind is UpdateKind.CHANGES:
            return []
        listed = {endpoint.server for endpoint in self.endpoints}
        return [server for server in known if server not in listed]


@dataclass(frozen=True, slots=True)
class SetupRequested:
    """A call setup arrived. The softswitch has to establish the call or send one final answer."""

    call: CallId
    call_class: str
    destination_cell: int  # preferred cell; -1: none
    timeout: float  # ms until the caller abandons this setup
    redial: bool = False
    transit: bool = False  # only endpoints of destination_cell may receive the call
    circuits: float = 1.0  # circuits that the call occupies
    number: str = ""  # called number; empty: unknown
    tenant: str = ""  # name of the tenant; empty: none


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The attempt was answered: the call is established."""

    call: CallId
    attempt: int  # number of the attempt within the call, from 0
    server: str
    elapsed: float  # ms since the attempt was sent
    # The further fields of AttemptEnded, with constant values: this attempt has not ended.
    outcome: ClassVar[None] = None
    call_over: ClassVar[bool] = False
    processor_full: ClassVar[bool] = False
    callee_busy: ClassVar[bool] = False
    retry_after: ClassVar[float] = 0.0
    report: ClassVar[tuple[float, ...]] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or the call that it established, ended."""

    call: CallId
    attempt: int
    server: str
    outcome: Outcome
    elapsed: float  # ms since the attempt was sent
    call_over: bool = False  # the caller needs no further answer
    processor_full: bool = False  # with REJECTED: the processor is overloaded; False: no circuit is available
    callee_busy: bool = False  # with ERROR: all lines of the called number are busy; the endpoint works
    retry_after: float = 0.0  # ms for which an overloaded processor requests no calls
    report: tuple[float, ...] = ()  # load report, in the order of the settings' report_fields


AttemptEvent = AttemptAnswered | AttemptEnded


@dataclass(frozen=True, slots=True)
class CallerAbandoned:
    """The caller abandoned the call and needs no answer."""

    call: CallId


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer started by StartTimer expired."""

    token: int  # of the StartTimer


@dataclass(slots=True)
class LoadReported:
    """A load report arrived on its own, outside the end of an attempt."""

    server: str
    outcome: Outcome
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another softswitch arrived."""

    source: int  # number of the softswitch that sent it
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings take effect. Calls in progress keep the class settings that they arrived with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ConstraintsChanged:
    """New constraints take effect."""

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

    call: CallId
    server: str
    timeout: float = 0.0  # ms; 0: until the caller gives up


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the call as rejected: the caller can safely retry."""

    call: CallId
    retry_after: float = 0.0  # ms; 0: not sent


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the call as failed: an attempt may have run."""

    call: CallId


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an unanswered attempt."""

    call: CallId
    attempt: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Deliver TimerFired with this token at the clock time `at`."""

    at: float
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another softswitch."""

    data: bytes
    peer: int | None = None  # number of the softswitch that receives it; None: all others


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """Subscribe to updates of the endpoint list."""


Action = (
    SendAttempt | Reject | Fail | CancelAttempt | StartTimer | SendPeerMessage | WriteLog | SubscribeEndpoints
)
