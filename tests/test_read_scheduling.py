"""Guards engines, operators and other callers from a turn of the loop that takes seconds: a flood of set-ups
had a management call wait for 4.1 s.
"""

from test_core import Bench
from twisted.internet.testing import StringTransport

from softswitch.net.sip import SipFront
from softswitch.net.sip_connection import OLDEST, READ, TURN

INVITE = (
    "INVITE sip:77@net SIP/2.0\r\nCall-ID: {:016x}\r\nCSeq: 1 INVITE\r\nSubject: plain\r\n"
    "X-Patience: {}\r\nContent-Length: 3\r\n\r\nv=0"
)
COST = 15.0  # ms that each set-up takes here


class Wire(StringTransport):
    def setTcpNoDelay(self, on):
        pass


class Slow(SipFront):
    """A front on a machine where each set-up takes its time."""

    def __init__(self, bench):
        super().__init__("n0")
        self.bench, self.taken = bench, []
        self.attach(bench.switch)

    def asked(self, line, method, address, headers, vias, body):
        self.bench.now += COST
        self.taken.append(int(headers["call-id"], 16))
        super().asked(line, method, address, headers, vias, body)

    def line_up(self):
        line = self.buildProtocol(None)
        line.makeConnection(Wire())
        return line


def test_a_flood_is_read_in_parts_in_turn_and_in_order():
    b = Bench()
    front = Slow(b)
    first, second = front.line_up(), front.line_up()
    b.wheel.read()
    first.dataReceived("".join(INVITE.format(n, 3000) for n in range(1, 11)).encode())
    assert len(front.taken) == int(TURN / COST) + 1
    assert first.transport.producerState == "paused"
    second.dataReceived(INVITE.format(100, 3000).encode())
    assert front.taken[-1] == 100  # one message each, however late it is
    for _ in range(20):
        b.run(5.0)
    assert [n for n in front.taken if n < 100] == list(range(1, 11))
    assert first.transport.producerState == "producing"
    assert not front.put_off


def test_what_waited_to_be_read_has_that_much_less_patience():
    b = Bench()
    front = Slow(b)
    line = front.line_up()
    b.wheel.read()
    came = b.now
    line.dataReceived("".join(INVITE.format(n, 300) for n in range(1, 11)).encode())
    for _ in range(20):
        b.run(5.0)
    assert len(front.taken) == 10
    assert all(abs(call.deadline - came - 300) <= 5 + b.wheel.tick for call in b.switch.calls.values())


def test_what_comes_behind_a_full_read_is_taken_to_have_waited_but_not_for_ever():
    b = Bench()
    front = Slow(b)
    line = front.line_up()
    for _ in range(30):  # turns in which it is never read empty
        b.run(25.0)
        line.dataReceived(b"\r\n" * (READ // 2))
    assert b.wheel.now - line.came == OLDEST
    b.run(200.0)  # nothing waited behind it: what comes now has come now
    line.dataReceived(b"\r\n")
    assert b.wheel.now - line.came <= b.wheel.lag


def test_a_set_up_long_after_one_that_was_put_off_keeps_its_patience():
    b = Bench()
    front = Slow(b)
    line = front.line_up()
    b.wheel.read()
    line.dataReceived("".join(INVITE.format(n, 3000) for n in range(1, 11)).encode())
    b.run(900.0)
    assert len(front.taken) == 10
    line.dataReceived(INVITE.format(11, 1000).encode())
    assert b.switch.calls[f"{11:016x}"].deadline - b.wheel.now >= 1000 - b.wheel.lag


def test_a_connection_that_is_lost_while_it_waits_is_read_no_more():
    b = Bench()
    front = Slow(b)
    line = front.line_up()
    b.wheel.read()
    line.dataReceived("".join(INVITE.format(n, 3000) for n in range(1, 11)).encode())
    taken = len(front.taken)
    line.connectionLost()
    b.run(200.0)
    assert len(front.taken) == taken
    assert not b.switch.calls
