"""The interface of willowhitch's decision module: its settings, events and actions.

All times and durations are milliseconds on the front's own clock, as floats.
A *set-up* is a call that asks to stand; an *attempt* is one try of it at one core server.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"  # the call stood and has ended
    ERROR = "error"
    FULL = "full"  # turned away; never ran
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # not sent at all


class State(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event holds: the changes, the whole list, a possibly stale whole list, or a failure."""

    CHANGES = "changes"
    WHOLE = "whole"
    STALE = "stale"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CallClass:
    name: str
    aim: float  # ms from the first try; a call that stands within it earns its full worth
    worth: float = 1.0
    hold: float = 0.0  # ms that a call lasts on average; 0: unknown
    late_share: float = 0.0  # share of the worth earned after the aim
    deadline: float = 0.0  # ms after which its callers have given up; 0: unknown
    repeatable: bool = True  # may be sent again although an attempt may have run
    cells: tuple[int, ...] | None = None  # cells that can take it; None: any


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[CallClass, ...]
    fleet_size: int = 1  # fronts
    own_cell: int = -1  # cell of this front's own exchange; never sent to
    report_fields: tuple[str, ...] = ()  # of free, size, queue, latency_ms, qps and others
    may_cancel: bool = False
    may_tell: bool = False
    may_probe: bool = False
    may_advise: bool = False  # refusals may say how long to stay away
    max_advice: float = 0.0  # ms
    max_attempts: int = 1  # for one call
    list_pushed: bool = True  # False: list changes come only after Follow
    release: float = 0.0  # ms from timeout, reset or cancel to the call's next attempt
    repeat_after: float = 0.0  # ms until a waiting set-up is sent again by the network; 0: never
    cold: float = 0.0  # ms until a started server is warm, at most
    cold_from: float = 1.0  # share of its capacity that a server starts with, at least
    overload_factor: float = 1.0  # times its present capacity, for overload_for, push a cold server over
    overload_for: float = 1000.0  # ms
    tick: float = 1.0  # ms, the shortest gap between two batches of events
    part: float = 1.0  # of its share of cold servers that this process has: two may be one front
    connect_timeout: float = 500.0  # ms until a connection that does not come up has failed

    def __post_init__(self) -> None:
        if not self.classes or len({c.name for c in self.classes}) != len(self.classes):
            raise ValueError("settings: at least one class, and no class name twice")
        for c in self.classes:
            if not c.aim > 0 or not c.worth >= 0 or not 0 <= c.late_share <= 1:
                raise ValueError(f"settings: class {c.name}: aim > 0, worth >= 0, late_share 0 to 1")
        if self.fleet_size < 1 or self.max_attempts < 0:
            raise ValueError("settings: fleet_size >= 1 and max_attempts >= 0")
        if not 0 < self.cold_from <= 1 or not self.overload_factor > 0 or not self.overload_for > 0:
            raise ValueError("settings: 0 < cold_from <= 1, overload_factor > 0, overload_for > 0")
        for name in ("release", "repeat_after", "cold", "tick", "max_advice"):
            if not getattr(self, name) >= 0:
                raise ValueError(f"settings: {name} is a duration, >= 0")


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of a server list."""

    server: str
    cell: int
    state: State
    started: float = 0.0  # clock time of its last start; 0: long ago
    weight: float = 1.0  # size beside other servers


class Constraints(Protocol):
    """What this front may spend of what it shares with others, at the instant of asking. The module asks
    before it decides, and says what it did.
    """

    def admit(self, klass: str, worth: float) -> float:
        """A call comes. 0: let in, and counted, whatever becomes of it. Else ms until what binds it opens."""

    def wanted(self, klass: str, repeat: bool, worth: float) -> None:
        """An attempt is wanted, wherever it may go; told once for each."""

    def may(self, klass: str, server: str, repeat: bool) -> bool:
        """Whether an attempt may go to that server now."""

    def sent(self, klass: str, server: str, repeat: bool) -> None:
        """An attempt goes there."""

    def share(self, what: str, server: str) -> float | None:
        """Of the 'cold' budget or the 'probes' of that server, as a share; None: nothing binds it."""


# Events


@dataclass(frozen=True, slots=True)
class ListNews:
    kind: ListKind
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class SetUp:
    """A call is handed to this front, which now owes it one final answer or a call that stands."""

    call: str
    klass: str
    dest: int  # cell of first choice
    grace: float  # ms until the caller gives up on this try
    redial: bool = False
    transit: bool = False
    width: float = 1.0  # lines it takes


@dataclass(frozen=True, slots=True)
class Stands:
    """The attempt's set-up is answered: the call stands."""

    call: str
    attempt: int
    server: str
    took: float  # ms since it was sent


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt ended; `closed` when the call needs no further answer."""

    call: str
    attempt: int
    server: str
    outcome: Outcome
    took: float
    closed: bool = False
    busy: bool = False  # with FULL: its processor, not its lines
    callee: bool = False  # with ERROR: the called number's lines are busy, no fault of the server
    told_wait: float = 0.0  # ms the full processor asks to be left alone
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerGone:
    call: str


@dataclass(frozen=True, slots=True)
class Wake:
    token: int


@dataclass(frozen=True, slots=True)
class Sampled:
    """A load report that came outside an answer; values under 0 are not known."""

    server: str
    outcome: Outcome
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Heard:
    source: int
    data: bytes = field(default=b"")


@dataclass(frozen=True, slots=True)
class NewSettings:
    """Other settings hold from now on. Calls under way keep the class that they came with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class NewConstraints:
    """These bind from now on; None: nothing does."""

    constraints: Constraints | None


Event = ListNews | NewSettings | NewConstraints | SetUp | Stands | Ended | CallerGone | Wake | Sampled | Heard


# Actions


@dataclass(frozen=True, slots=True)
class Attempt:
    call: str
    server: str
    timeout: float = 0.0  # ms; 0: until the caller gives up


@dataclass(frozen=True, slots=True)
class Refuse:
    call: str
    stay_away: float = 0.0  # ms; 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    call: str


@dataclass(frozen=True, slots=True)
class Cancel:
    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAt:
    at: float  # clock time
    token: int


@dataclass(frozen=True, slots=True)
class Tell:
    data: bytes
    peer: int | None = None  # None: all


@dataclass(frozen=True, slots=True)
class Log:
    text: str


@dataclass(frozen=True, slots=True)
class Follow:
    """Ask for list changes from now on."""


Action = Attempt | Refuse | Fail | Cancel | WakeAt | Tell | Log | Follow
