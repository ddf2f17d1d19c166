"""Limits on the work for callers in one turn of the event loop.

Without them a flood of call setups made a management request wait for 4.1 s.
"""

from types import SimpleNamespace

from support.switch_bench import Bench
from twisted.internet.testing import StringTransport

from softswitch.core.turn_scheduler import TURN_BUDGET
from softswitch.net.sip_connection import MAX_UNREAD_TIME, READ_SIZE
from softswitch.net.sip_server import ACCEPTS_PER_TURN, SipServer

INVITE = (
    "INVITE sip:77@net SIP/2.0\r\nCall-ID: {:016x}\r\nCSeq: 1 INVITE\r\nSubject: plain\r\n"
    "X-Patience: {}\r\nContent-Length: 3\r\n\r\nv=0"
)
REQUEST_COST = 15.0  # simulated ms that each request takes


class Transport(StringTransport):
    def setTcpNoDelay(self, on):
        pass

    def doRead(self):
        """Reads nothing: no more data waits."""


class SlowServer(SipServer):
    """A server for which each request takes REQUEST_COST; records the order of the calls."""

    def __init__(self, bench):
        super().__init__("n0", bench.switch)
        self.bench, self.processed = bench, []

    def request_received(self, connection, request):
        self.bench.now += REQUEST_COST
        self.processed.append(int(request.call_id, 16))
        super().request_received(connection, request)

    def connect(self):
        connection = self.buildProtocol(None)
        connection.makeConnection(Transport())
        return connection


def test_a_flood_is_processed_in_slices_round_robin_and_in_order():
    b = Bench()
    server = SlowServer(b)
    first, second = server.connect(), server.connect()
    b.wheel.read_clock()
    first.dataReceived("".join(INVITE.format(n, 3000) for n in range(1, 11)).encode())
    assert len(server.processed) == int(TURN_BUDGET / REQUEST_COST) + 1
    assert first.transport.producerState == "paused"
    second.dataReceived(INVITE.format(100, 3000).encode())
    assert server.processed[-1] == 100  # each connection has one message processed, however late it is
    for _ in range(20):
        b.run(5.0)
    assert [n for n in server.processed if n < 100] == list(range(1, 11))
    assert first.transport.producerState == "producing"
    assert not b.switch.turns.deferred


def test_time_spent_unread_counts_against_the_callers_timeout():
    b = Bench()
    server = SlowServer(b)
    connection = server.connect()
    b.wheel.read_clock()
    received_at = b.now
    connection.dataReceived("".join(INVITE.format(n, 300) for n in range(1, 11)).encode())
    for _ in range(20):
        b.run(5.0)
    assert len(server.processed) == 10
    assert all(abs(call.deadline - received_at - 300) <= 5 + b.wheel.tick for call in b.switch.calls.values())


def test_data_behind_a_full_read_counts_as_waiting_up_to_a_maximum():
    b = Bench()
    server = SlowServer(b)
    connection = server.connect()
    for _ in range(30):  # in each turn the read is full, so more data may be waiting
        b.run(25.0)
        connection.dataReceived(b"\r\n" * (READ_SIZE // 2))
    assert b.wheel.now - connection.received_at == MAX_UNREAD_TIME
    b.run(200.0)  # too long ago for waiting data: the next data has only just arrived
    connection.dataReceived(b"\r\n")
    assert b.wheel.now - connection.received_at <= b.wheel.lag


def test_a_call_setup_long_after_a_deferred_one_keeps_its_full_timeout():
    b = Bench()
    server = SlowServer(b)
    connection = server.connect()
    b.wheel.read_clock()
    connection.dataReceived("".join(INVITE.format(n, 3000) for n in range(1, 11)).encode())
    b.run(900.0)
    assert len(server.processed) == 10
    connection.dataReceived(INVITE.format(11, 1000).encode())
    assert b.switch.calls[f"{11:016x}"].deadline - b.wheel.now >= 1000 - b.wheel.lag


def test_a_connection_lost_while_deferred_is_not_processed_further():
    b = Bench()
    server = SlowServer(b)
    connection = server.connect()
    b.wheel.read_clock()
    connection.dataReceived("".join(INVITE.format(n, 3000) for n in range(1, 11)).encode())
    processed = len(server.processed)
    connection.connectionLost()
    b.run(200.0)
    assert len(server.processed) == processed
    assert not b.switch.calls


def test_a_listener_accepts_no_more_in_its_first_turn_than_in_others():
    """Twisted accepts 100: the connections that waited at a handover exceeded the descriptors."""
    server = SipServer("n0", Bench().switch)
    server.attach(SimpleNamespace(numberAccepts=100))
    assert server.port.numberAccepts == ACCEPTS_PER_TURN
