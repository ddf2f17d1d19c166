"""Declares all counters and durations of the softswitch.

The values are the names in the `counters {...}` log line and in the telemetry; docs/oncall.md explains each.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Final


class Count:
    """Published names of the counters. Plain strings, since enum members are too slow to look up here."""

    # calls
    CALL_SETUPS: Final = "set-ups"
    CALLS_ESTABLISHED: Final = "stood"
    CALLS_REJECTED: Final = "refused"
    CALLS_FAILED: Final = "failed"
    CALLS_ABANDONED: Final = "given up"
    CALLS_ENDED: Final = "ended"
    CALLS_CUT: Final = "cut"
    RELEASED_BY_CALLERS: Final = "released by callers"
    DUPLICATE_CALL_SETUPS: Final = "repeated"
    CALL_TABLE_FULL: Final = "table full"
    REJECTED_WHILE_DRAINING: Final = "drained"
    UNKNOWN_ABANDONED: Final = "unknown given up"
    UNKNOWN_RELEASED: Final = "unknown released"
    ENDED_ON_WRONG_CONNECTION: Final = "not given up: another connection's"
    PREDECESSOR_RELEASES: Final = "heir releases"
    ENDED_BEFORE_ANSWER: Final = "ended before the answer"
    BUSY_NUMBER_REJECTED: Final = "refused for a busy number"
    BUSY_NUMBER_PROBES: Final = "busy numbers tried"
    OVER_QUOTA: Final = "beyond their tenant's quota"
    # attempts
    ATTEMPTS: Final = "attempts"
    LATE_ANSWERS: Final = "late answers"
    DUPLICATE_ANSWERS: Final = "repeated answers"
    LATE_RELEASES: Final = "late releases"
    # guards
    GUARD_UNEXPECTED_ATTEMPT: Final = "guard: not owed or already out"
    GUARD_FORBIDDEN_ATTEMPT: Final = "guard: moot"
    GUARD_OVERDUE: Final = "guard: overdue"
    POLICY_ERRORS: Final = "module faults"
    LATE_TICKS: Final = "ticks late"
    # endpoint list
    ENDPOINT_UPDATES: Final = "notices"
    DUPLICATE_ENDPOINT_UPDATES: Final = "repeated notices"
    ENDPOINT_UPDATES_REQUESTED: Final = "notices asked again"
    ENDPOINT_UPDATES_SKIPPED: Final = "notices skipped"
    WATCH_CONNECTIONS_LOST: Final = "board connections lost"
    ENGINE_INCARNATIONS_ENDED: Final = "engine processes ended by the list"
    # links to engines
    ENGINE_CONNECTIONS_LOST: Final = "engine connections lost"
    ENGINE_CONNECTIONS_CORRUPT: Final = "engine links spoilt"
    ENGINE_LISTENING_CONNECTIONS: Final = "engine connections that listen"
    ENGINE_UNKNOWN_MESSAGES: Final = "engine messages that mean nothing"
    ENGINE_PROBES: Final = "tests sent"
    RELEASES_CUT_SHORT: Final = "releases cut short"
    ENGINE_RELEASES_DROPPED: Final = "releases to engines dropped"
    ENGINE_RELEASES_RESENT: Final = "releases to engines sent again"
    # SIP callers
    CALLER_CONNECTIONS: Final = "caller connections"
    CONNECTIONS_REFUSED: Final = "connections turned away"
    CONNECTIONS_SHED: Final = "connections shed"
    CONNECTIONS_DRAINED: Final = "connections closed to drain"
    CONNECTIONS_MISUSED: Final = "connections ended for misuse"
    CONNECTIONS_PAUSED: Final = "connections paused for memory"
    CONNECTIONS_UNREAD: Final = "connections ended for unread answers"
    TOO_MANY_ON_CONNECTION: Final = "too many on a connection"
    SETUPS_AFTER_DISCONNECT: Final = "set-ups of callers that left"
    BAD_MESSAGES: Final = "bad messages"
    CALLER_RELEASES_SENT: Final = "releases sent to callers"
    CALLER_RELEASES_RETRIED: Final = "releases sent again"
    CALLER_RELEASES_UNACKNOWLEDGED: Final = "releases not acknowledged"
    CALLER_RELEASES_UNSENT: Final = "releases never sent"
    # WebSocket callers
    CONTROL_MESSAGES: Final = "control messages"
    CONTROL_SOCKETS_REFUSED: Final = "control sockets turned away"
    # management requests
    MANAGEMENT_SHED: Final = "mgmt shed"
    MANAGEMENT_REFUSED: Final = "mgmt turned away"
    # the peer process and optional components
    PASSED_TO_PEER_PROCESS: Final = "passed to the other process"
    RECORD_INTERVALS: Final = "record intervals"
    RECORD_INTERVALS_LOST: Final = "record intervals lost"


class CountFamily:
    """Prefixes of counters that differ in their last word: `CountFamily.SIP_ANSWERS + "200"`."""

    ATTEMPTS: Final = "attempt "  # by outcome
    CONNECTIONS_CLOSED: Final = "connections closed as "  # by reason
    SIP_REQUESTS: Final = "sip "  # by method
    SIP_ANSWERS: Final = "answered "  # by code
    CONTROL_ERRORS: Final = "control "  # by code
    MANAGEMENT_ANSWERS: Final = "mgmt "  # by status


class Duration(StrEnum):
    """Published names of the measured durations, in ms."""

    CALL_SETUP = "set-up"  # from the caller's request to the answer
    CALL = "call"  # from the answer to the end


class Counters(Counter[str]):
    """All counters of one process since its start. The switch owns them."""
