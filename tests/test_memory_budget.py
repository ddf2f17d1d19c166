"""The memory that calls hold is counted while they hold it, and greedy connections leave room for others."""

import pytest
from support.sip_bench import SipBench, invite
from support.switch_bench import A

from softswitch import interface as i
from softswitch.core.call_table import CALL_TIMER_BYTES
from softswitch.core.memory_budget import (
    IDLE_PROCESS_BYTES,
    MB,
    MIN_LIMIT,
    Holder,
    MemoryBudget,
    shared_limit,
    sole_limit,
)

LONG_VIA = "Via: SIP/2.0/TCP " + "v" * 15_000


@pytest.mark.parametrize("memory_mb", [24, 32, 48, 64, 80, 192, 2048])
def test_a_process_with_all_that_it_may_hold_stays_within_its_memory(memory_mb):
    alone = IDLE_PROCESS_BYTES + sole_limit(memory_mb * MB)
    assert alone <= memory_mb * MB or sole_limit(memory_mb * MB) == MIN_LIMIT


@pytest.mark.parametrize("memory_mb", [64, 80, 96, 192])
def test_two_processes_stay_within_the_memory_although_the_first_held_all_it_may(memory_mb):
    sole, shared = sole_limit(memory_mb * MB), shared_limit(memory_mb * MB)
    assert 2 * IDLE_PROCESS_BYTES + sole <= memory_mb * MB
    assert 2 * IDLE_PROCESS_BYTES + 2 * shared <= memory_mb * MB


def test_peers_that_take_all_they_may_leave_room_for_one_more():
    memory = MemoryBudget()
    memory.configure(64 * MB)
    held = [0] * 9  # the last one is no greedy peer
    taken = True
    while taken:
        taken = False
        for peer in range(8):
            if memory.allows(held[peer], 1_000):
                held[peer] += 1_000
                memory.change(Holder.CALLS, 1_000)
                taken = True
    assert memory.total <= memory.limit
    assert memory.allows(held[8], sole_limit(64 * MB) // 10)


def small_bench():
    """Returns a bench with a limit of 1.5 MB, and a connection on which a call was established."""
    b = SipBench()
    b.switch.memory.configure(0)
    connection = b.connect()
    b.receive(connection, invite(1))
    b.switch.answered_by_engine(A, f"{1:016x}", b"d")
    return b, connection


def answers(connection):
    return connection.transport.value().decode("latin-1").split("SIP/2.0 ")[1:]


def test_setups_beyond_the_memory_are_rejected_at_once_and_others_are_still_accepted():
    """Guards against a kill for memory by what an answer needs: Via headers may fill a message."""
    b, greedy = small_bench()
    for n in range(2, 400):
        b.receive(greedy, invite(n, LONG_VIA))
    rejected = [answer for answer in answers(greedy) if answer.startswith("503")]
    assert rejected
    assert all("X-Later-Ms: " in answer for answer in rejected)
    assert b.switch.memory.total <= b.switch.memory.limit
    assert b.switch.counters["table full"] == len(rejected)
    usual = b.connect()
    b.receive(usual, invite(500))
    assert f"{500:016x}" in b.switch.calls


def test_calls_hold_nothing_once_they_are_over():
    b, connection = small_bench()
    other = b.connect()
    for n in range(2, 30):
        b.receive(connection if n % 2 else other, invite(n, LONG_VIA))
    for n in range(2, 20):
        b.switch.answered_by_engine(A, f"{n:016x}", b"d")
    other.connectionLost()
    b.run(10_000.0)
    for call in list(b.switch.calls):
        b.switch.released_by_engine(b.switch.calls[call].server, call, 16)
    assert not b.switch.calls
    assert not b.switch.calls.open_bytes
    assert b.switch.memory.held[Holder.CALLS] == b.switch.memory.held[Holder.TIMERS] == 0


def test_the_timers_of_a_call_that_was_taken_back_count_until_they_expire():
    b, connection = small_bench()
    before = b.switch.memory.held[Holder.TIMERS]
    b.receive(connection, invite(2))
    b.receive(connection, b"CANCEL sip:77@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 CANCEL\r\n" % 2)
    b.receive(connection, b"Content-Length: 0\r\n\r\n")
    assert f"{2:016x}" not in b.switch.calls
    assert b.switch.memory.held[Holder.TIMERS] == before + CALL_TIMER_BYTES
    b.run(4_000.0)
    assert b.switch.memory.held[Holder.TIMERS] == 0


def test_reading_pauses_on_the_connections_that_hold_most_until_there_is_memory():
    """Guards against a kill for memory by messages that are never completed."""
    b, _ = small_bench()
    limit = b.switch.memory.limit
    half_written = [b.connect() for _ in range(100)]
    for n, connection in enumerate(half_written):
        for piece in range(8):
            if connection.transport.producerState != "paused":
                header = b"Via: SIP/2.0/TCP " + b"x" * 1_900
                start = b"INVITE sip:%d@net SIP/2.0\r\n" % n if not piece else b""
                b.receive(connection, start + header + b"\r\n")
    paused = [c for c in half_written if c.transport.producerState == "paused"]
    assert paused
    assert b.switch.memory.held[Holder.RECEIVED] <= limit
    usual = b.connect()
    b.receive(usual, invite(500))
    assert f"{500:016x}" in b.switch.calls
    assert usual not in paused
    for connection in half_written[:50]:
        connection.connectionLost()
    b.run(50.0)
    assert all(c.transport.producerState == "producing" for c in half_written[50:])
    for connection in half_written[50:]:
        connection.connectionLost()
    assert b.switch.memory.held[Holder.RECEIVED] == 0


class UnreadConnection:
    def __init__(self):
        self.is_ended = False

    def end_unread(self):
        self.is_ended = True


def test_the_connection_with_the_most_unsent_data_is_ended_first_while_memory_is_short():
    """Guards against a kill for memory by answers that are not read."""
    b, _ = small_bench()
    connections = [UnreadConnection() for _ in range(4)]
    for n, connection in enumerate(connections):
        b.switch.unsent.update(b.wheel.now, connection, (n + 1) * 250_000)
    assert not b.switch.unsent.enforce(b.wheel.now)  # they may still be about to read
    b.run(600.0)
    assert [connection.is_ended for connection in connections] == [False, False, False, True]
    assert b.switch.counters["connections ended for unread answers"] == 1
    assert b.switch.memory.total <= b.switch.memory.limit
    for connection in connections:
        b.switch.unsent.forget(connection)
    assert b.switch.memory.held[Holder.UNSENT] == 0


def test_a_first_line_that_never_ends_is_given_up_like_any_incomplete_message():
    """Guards against connections that hold the start of a message for ever."""
    b, connection = small_bench()
    b.switch.released_by_engine(A, f"{1:016x}", 16)
    b.receive(connection, b"INVITE sip:77@net")
    b.run(6_000.0)
    assert connection.is_closing


def test_the_timers_of_a_call_last_no_longer_than_its_class_allows():
    """Guards against timers of ten minutes for calls that were taken back at once."""
    b = SipBench(classes=(i.CallClass("plain", latency_objective=1_000.0, deadline=9_000.0),))
    connection = b.connect()
    for n in range(1, 50):
        b.receive(connection, invite(n, timeout=600_000, call_class="plain" if n % 2 else "unknown"))
        end = f"CANCEL sip:77@net SIP/2.0\r\nCall-ID: {n:016x}\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n"
        b.receive(connection, end.encode())
    assert not b.switch.calls
    assert b.switch.memory.held[Holder.TIMERS]
    b.run(10_000.0)
    assert b.switch.memory.held[Holder.TIMERS] == 0
    assert b.wheel.next_due < b.now + 1_000.0


def test_an_established_call_holds_neither_its_description_nor_its_tenant():
    """Guards against thousands of established calls that each held an Organization of 16 KiB."""
    b = SipBench()
    connection = b.connect()
    b.receive(connection, invite(1, "Organization: " + "o" * 10_000, body=b"d" * 3_000))
    call = b.switch.calls[f"{1:016x}"]
    assert call.held_bytes > 13_000
    b.switch.answered_by_engine(A, call.id, b"d")
    assert (call.request.tenant, call.request.description) == ("", b"")
