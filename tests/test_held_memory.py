"""What peers can make a process hold in memory: calls, incomplete messages, and data that is not read."""

import gc
import tracemalloc
import weakref

from support.sip_bench import SipBench, Transport, invite
from support.switch_bench import A, Bench

from softswitch.net.management import ManagementServer

SETUPS = 60  # below the limit of a connection without an established call
FREE_HEADER = "User-Agent: " + "x" * 15_000


def allocated_by(action):
    """Returns the bytes that are allocated by `action` and still held after it."""
    gc.collect()
    tracemalloc.start()
    try:
        action()
        gc.collect()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def held_by_open_setups(*headers):
    """Returns the bytes that one open call setup with these headers holds."""
    b = SipBench()
    connection = b.connect()
    messages = [invite(n, *headers) for n in range(SETUPS + 1)]
    b.receive(connection, messages.pop())  # whatever is allocated once

    def send():
        for message in messages:
            b.receive(connection, message)

    held = allocated_by(send)
    assert b.switch.calls.unanswered == SETUPS + 1
    return held / SETUPS


def test_an_open_setup_holds_no_header_that_its_answer_does_not_repeat():
    """Guards against a kill for memory: each open set-up held its whole message, of up to 16 KiB."""
    assert held_by_open_setups(FREE_HEADER) <= 1.1 * held_by_open_setups()


def test_an_incomplete_message_holds_no_more_than_its_size():
    """Guards against thousands of short headers, each of which was held as two strings."""
    names = [f"h{n:x}:" for n in range(2_000)]
    b = SipBench()
    connection = b.connect()
    data = invite(1, *names)[:-7]
    assert allocated_by(lambda: b.receive(connection, data)) <= 2 * len(data)


def test_an_ended_connection_is_not_held_by_the_calls_that_were_set_up_on_it():
    """Guards against callers that connect for each call: established calls held all their connections."""
    b = SipBench()
    connection = b.connect()
    b.receive(connection, invite(1))
    b.receive(connection, invite(2))
    b.switch.answered_by_engine(A, f"{1:016x}", b"d")
    ended = weakref.ref(connection)
    connection.connectionLost()
    del connection
    gc.collect()
    assert list(b.switch.calls) == [f"{1:016x}"]
    assert ended() is None
    other = b.connect()
    b.receive(other, invite(3))
    b.switch.released_by_engine(A, f"{1:016x}", 16)
    assert f"Call-ID: {1:016x}".encode() in other.transport.value()  # the BYE
    assert not b.sip.calls.established


def test_a_management_request_of_thousands_of_headers_is_refused_and_not_held():
    """Guards against operators' connections that hold 40 times the size of their request."""
    server = ManagementServer(Bench().switch)
    connection = server.buildProtocol(None)
    connection.makeConnection(Transport())
    lines = "".join(f"h{n:x}:\r\n" for n in range(800))
    head = f"GET /v1/readyz HTTP/1.1\r\nHost: m\r\n{lines}\r\n".encode()
    held = allocated_by(lambda: connection.dataReceived(head))
    assert connection.transport.value().startswith(b"HTTP/1.1 431")
    assert held <= 4 * len(head)
