"""Every counter and duration of the softswitch, declared in one place.

The values are the names in the `counters {...}` log line and in the telemetry; docs/oncall.md explains each.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class Count(StrEnum):
    """A counter, by its published name."""

    # calls
    CALL_SETUPS = "set-ups"
    CALLS_ESTABLISHED = "stood"
    CALLS_REJECTED = "refused"
    CALLS_FAILED = "failed"
    CALLS_ABANDONED = "given up"
    CALLS_ENDED = "ended"
    CALLS_CUT = "cut"
    RELEASED_BY_CALLERS = "released by callers"
    DUPLICATE_CALL_SETUPS = "repeated"
    CALL_TABLE_FULL = "table full"
    REJECTED_WHILE_DRAINING = "drained"
    UNKNOWN_ABANDONED = "unknown given up"
    UNKNOWN_RELEASED = "unknown released"
    PREDECESSOR_RELEASES = "heir releases"
    ENDED_BEFORE_ANSWER = "ended before the answer"
    # attempts
    ATTEMPTS = "attempts"
    LATE_ANSWERS = "late answers"
    DUPLICATE_ANSWERS = "repeated answers"
    LATE_RELEASES = "late releases"
    # guards
    GUARD_UNEXPECTED_ATTEMPT = "guard: not owed or already out"
    GUARD_FORBIDDEN_ATTEMPT = "guard: moot"
    GUARD_OVERDUE = "guard: overdue"
    POLICY_ERRORS = "module faults"
    LATE_TICKS = "ticks late"
    # endpoint list
    ENDPOINT_UPDATES = "notices"
    DUPLICATE_ENDPOINT_UPDATES = "repeated notices"
    ENDPOINT_UPDATES_REQUESTED = "notices asked again"
    WATCH_CONNECTIONS_LOST = "board connections lost"
    # engine links
    ENGINE_CONNECTIONS_LOST = "engine connections lost"
    ENGINE_CONNECTIONS_CORRUPT = "engine links spoilt"
    ENGINE_LISTENING_CONNECTIONS = "engine connections that listen"
    ENGINE_UNKNOWN_MESSAGES = "engine messages that mean nothing"
    ENGINE_PROBES = "tests sent"
    RELEASES_CUT_SHORT = "releases cut short"
    ENGINE_RELEASES_DROPPED = "releases to engines dropped"
    ENGINE_RELEASES_RESENT = "releases to engines sent again"
    # callers by SIP
    CALLER_CONNECTIONS = "caller connections"
    CONNECTIONS_REFUSED = "connections turned away"
    CONNECTIONS_SHED = "connections shed"
    CONNECTIONS_DRAINED = "connections closed to drain"
    CONNECTIONS_MISUSED = "connections ended for misuse"
    TOO_MANY_ON_CONNECTION = "too many on a connection"
    BAD_MESSAGES = "bad messages"
    CALLER_RELEASES_SENT = "releases sent to callers"
    CALLER_RELEASES_RETRIED = "releases sent again"
    CALLER_RELEASES_UNACKNOWLEDGED = "releases not acknowledged"
    CALLER_RELEASES_UNSENT = "releases never sent"
    # callers by WebSocket
    CONTROL_MESSAGES = "control messages"
    CONTROL_SOCKETS_REFUSED = "control sockets turned away"
    # operators
    MANAGEMENT_SHED = "mgmt shed"
    # the other process, components
    PASSED_TO_PEER_PROCESS = "passed to the other process"
    RECORD_INTERVALS = "record intervals"
    RECORD_INTERVALS_LOST = "record intervals lost"


class CountFamily(StrEnum):
    """The beginning of counters that differ by one more word: `CountFamily.SIP_ANSWERS + "200"`."""

    ATTEMPTS = "attempt "  # by outcome
    CONNECTIONS_CLOSED = "connections closed as "  # by reason
    SIP_REQUESTS = "sip "  # by method
    SIP_ANSWERS = "answered "  # by code
    CONTROL_ERRORS = "control "  # by code
    MANAGEMENT_ANSWERS = "mgmt "  # by status


class Duration(StrEnum):
    """A measured duration, by its published name; ms."""

    CALL_SETUP = "set-up"  # from the caller's request to the answer
    CALL = "call"  # from the answer to the end


class Counters(Counter[str]):
    """All counters of one process, from zero at its start. Owned by the switch."""
