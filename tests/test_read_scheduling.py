"""Guards engines, operators and other callers from a turn of the loop that takes seconds: a flood of set-ups
had a management call wait for 4.1 s.
"""

from types import SimpleNamespace

from support.switch_bench import Bench
from twisted.internet.testing import StringTransport

from softswitch.net.sip_connection import MAX_UNREAD_TIME, READ_SIZE, TURN_BUDGET
from softswitch.net.sip_server import ACCEPTS_PER_TURN, SipServer

INVITE = (
    "INVITE sip:77@net SIP/2.0\r\nCall-ID: {:016x}\r\nCSeq: 1 INVITE\r\nSubject: plain\r\n"
    "X-Patience: {}\r\nContent-Length: 3\r\n\r\nv=0"
)
COST = 15.0  # ms that each set-up takes here


class Wire(StringTransport):
    def setTcpNoDelay(self, on):
        pass


class Slow(SipServer):
    """A server on a machine where each set-up takes its time."""

    def __init__(self, bench):
        super().__init__("n0", bench.switch)
        self.bench, self.taken = bench, []

    def request_received(self, connection, request):
        self.bench.now += COST
        self.taken.append(int(request.call_id, 16))
        super().request_received(connection, request)

    def connect(self):
        connection = self.buildProtocol(None)
        connection.makeConnection(Wire())
        return connection


def test_a_flood_is_read_in_parts_in_turn_and_in_order():
    b = Bench()
    server = Slow(b)
    first, second = server.connect(), server.connect()
    b.wheel.read_clock()
    first.dataReceived("".join(INVITE.format(n, 3000) for n in range(1, 11)).encode())
    assert len(server.taken) == int(TURN_BUDGET / COST) + 1
    assert first.transport.producerState == "paused"
    second.dataReceived(INVITE.format(100, 3000).encode())
    assert server.taken[-1] == 100  # one message each, however late it is
    for _ in range(20):
        b.run(5.0)
    assert [n for n in server.taken if n < 100] == list(range(1, 11))
    assert first.transport.producerState == "producing"
    assert not server.connections.deferred


def test_what_waited_to_be_read_has_that_much_less_patience():
    b = Bench()
    server = Slow(b)
    connection = server.connect()
    b.wheel.read_clock()
    came = b.now
    connection.dataReceived("".join(INVITE.format(n, 300) for n in range(1, 11)).encode())
    for _ in range(20):
        b.run(5.0)
    assert len(server.taken) == 10
    assert all(abs(call.deadline - came - 300) <= 5 + b.wheel.tick for call in b.switch.calls.values())


def test_what_comes_behind_a_full_read_is_taken_to_have_waited_but_not_for_ever():
    b = Bench()
    server = Slow(b)
    connection = server.connect()
    for _ in range(30):  # turns in which it is never read empty
        b.run(25.0)
        connection.dataReceived(b"\r\n" * (READ_SIZE // 2))
    assert b.wheel.now - connection.received_at == MAX_UNREAD_TIME
    b.run(200.0)  # nothing waited behind it: what comes now has come now
    connection.dataReceived(b"\r\n")
    assert b.wheel.now - connection.received_at <= b.wheel.lag


def test_a_set_up_long_after_one_that_was_put_off_keeps_its_patience():
    b = Bench()
    server = Slow(b)
    connection = server.connect()
    b.wheel.read_clock()
    connection.dataReceived("".join(INVITE.format(n, 3000) for n in range(1, 11)).encode())
    b.run(900.0)
    assert len(server.taken) == 10
    connection.dataReceived(INVITE.format(11, 1000).encode())
    assert b.switch.calls[f"{11:016x}"].deadline - b.wheel.now >= 1000 - b.wheel.lag


def test_a_connection_that_is_lost_while_it_waits_is_read_no_more():
    b = Bench()
    server = Slow(b)
    connection = server.connect()
    b.wheel.read_clock()
    connection.dataReceived("".join(INVITE.format(n, 3000) for n in range(1, 11)).encode())
    taken = len(server.taken)
    connection.connectionLost()
    b.run(200.0)
    assert len(server.taken) == taken
    assert not b.switch.calls


def test_a_listeners_first_turn_takes_in_no_more_than_the_others():
    """Twisted's takes 100: a crowd that waited as a listener was handed over exceeded the descriptors."""
    server = SipServer("n0", Bench().switch)
    server.attach(SimpleNamespace(numberAccepts=100))
    assert server.port.numberAccepts == ACCEPTS_PER_TURN
