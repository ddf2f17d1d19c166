"""What waits at a link to be written, what is kept until it is acknowledged, and what is listened for."""

import pytest
from support.switch_bench import A, Bench

from softswitch.core.call import SetupRequest
from softswitch.core.counters import Count
from softswitch.net import listening_connection
from softswitch.net.engine_codec import NO_CALL, MessageType, Release, decode_message, encode_message
from softswitch.net.engine_link import ACKNOWLEDGE_TIMEOUT, MAX_QUEUED, EngineLink

ONE, TWO = f"{1:016x}", f"{2:016x}"
CANCELLED = 16
NAMES = {MessageType.SETUP: "SETUP", MessageType.RELEASE: "RELEASE"}


class Connection:
    """A connection that keeps what is written to it."""

    is_given_up = False
    last_piece_at = None

    def __init__(self, now):
        self.opened_at, self.written, self.transport = now, [], self
        self.is_read = True

    def sendString(self, data):  # noqa: N802  # Twisted's name
        message = decode_message(data, frozenset(NAMES))
        self.written.append((NAMES[message.type], message.call))

    def set_reading(self, reading):
        self.is_read = reading

    def abortConnection(self):  # noqa: N802
        """Nobody is there."""


class LinkBench(Bench):
    """A link to the one engine, whose connections are made by hand; it is the pool of the link as well."""

    is_reading = may_open = True

    def __init__(self, **changes):
        super().__init__(servers=(A,), **changes)
        self.settings = self.switch.settings
        self.opened = []  # factories that asked for a connection
        self.link = EngineLink(self, self.switch, A, ("127.0.0.1", 1))

    def connect(self, address, factory):
        self.opened.append(factory)

    def needs_connection(self, server):
        return True

    def connected(self):
        connection = Connection(self.now)
        self.link.connection_up(connection)
        return connection

    def taken(self, n=1):
        """A call that the switch has."""
        self.call(n)
        return self.switch.calls.get(f"{n:016x}")


def test_a_release_that_waits_is_written_before_a_new_attempt_of_its_call():
    """An engine that does not read for longer than the quiet time.

    The release of an attempt that was given up waits; a new attempt of the call is sent to the same engine.
    """
    bench = LinkBench()
    connection, call = bench.connected(), bench.taken()
    bench.link.send_setup(call)
    bench.link.set_backpressured(True)
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.send_setup(call)
    bench.link.set_backpressured(False)
    assert connection.written == [("SETUP", ONE), ("RELEASE", ONE), ("SETUP", ONE)]
    assert bench.link.in_flight == {ONE}


def test_a_new_attempt_that_is_withdrawn_leaves_the_release_of_the_one_before():
    bench = LinkBench()
    connection, call = bench.connected(), bench.taken()
    bench.link.send_setup(call)
    bench.link.set_backpressured(True)
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.send_setup(call)
    assert bench.link.withdraw_setup(ONE)
    assert not bench.link.withdraw_setup(ONE)
    bench.link.set_backpressured(False)
    assert connection.written == [("SETUP", ONE), ("RELEASE", ONE)]


def test_an_engine_that_moves_takes_both_along_in_their_order():
    bench = LinkBench()
    call = bench.taken()
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.send_setup(call)
    moved = EngineLink(bench, bench.switch, A, ("127.0.0.1", 2))
    moved.take_over_queue(bench.link)
    connection = Connection(bench.now)
    moved.connection_up(connection)
    assert connection.written == [("RELEASE", ONE), ("SETUP", ONE)]
    assert not bench.link.withdraw_setup(ONE)


def test_at_the_bound_a_set_up_goes_elsewhere_and_a_release_is_counted():
    bench = LinkBench()
    call = bench.taken()
    for n in range(10, MAX_QUEUED + 10):
        bench.link.send_release(Release(f"{n:016x}", CANCELLED))
    bench.link.send_setup(call)
    assert bench.switch.counters["attempt connect_failed"] == 1
    bench.link.send_release(Release(TWO, CANCELLED))
    assert bench.switch.counters[Count.ENGINE_RELEASES_DROPPED] == 1


# releases that were written and not acknowledged


@pytest.mark.parametrize(
    ("age", "acknowledged", "again"),
    [
        (0.0, False, True),
        (ACKNOWLEDGE_TIMEOUT, False, True),
        (ACKNOWLEDGE_TIMEOUT + 5.0, False, False),  # taken to have arrived
        (0.0, True, False),
    ],
)
def test_a_release_that_its_connection_took_along_is_written_again_within_its_time(age, acknowledged, again):
    bench = LinkBench()
    first = bench.connected()
    bench.link.send_release(Release(ONE, CANCELLED))
    if acknowledged:
        bench.link.message_received(decode_message(encode_message(MessageType.ACKNOWLEDGE, ONE)))
    bench.run(age)
    bench.link.connection_down(first)
    second = bench.connected()
    assert first.written == [("RELEASE", ONE)]
    assert second.written == ([("RELEASE", ONE)] if again else [])
    assert bench.switch.counters[Count.ENGINE_RELEASES_RESENT] == again


def test_only_the_oldest_releases_are_taken_to_have_arrived():
    bench = LinkBench()
    first = bench.connected()
    for n in (1, 2, 3):  # written 400 ms apart
        bench.link.send_release(Release(f"{n:016x}", CANCELLED))
        bench.run(400.0)
    bench.link.connection_down(first)
    assert [call for _, call in bench.connected().written] == [f"{2:016x}", f"{3:016x}"]


def test_the_release_of_an_attempt_is_not_kept_as_the_end_of_its_connection_gives_it_up_too():
    bench = LinkBench()
    first, call = bench.connected(), bench.taken()
    bench.link.send_setup(call)
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.connection_down(first)
    assert bench.connected().written == []


# releases that may have been missed


def established(bench, n):
    call = SetupRequest(f"{n:016x}", "plain", "77", 3000.0, b"d", 0)
    bench.switch.request_setup(call, bench)
    bench.switch.answered_by_engine(A, call.call, b"d")


def test_connections_that_listen_are_opened_often_then_rarely_then_no_more():
    bench = LinkBench()
    established(bench, 1)
    bench.connected()
    bench.opened.clear()
    bench.link.missed_releases.connection_given_up()
    bench.run(listening_connection.OFTEN_FOR)
    often = len(bench.opened)
    assert often == listening_connection.OFTEN_FOR // listening_connection.OPEN_EVERY
    bench.run(listening_connection.GIVE_UP_AFTER - listening_connection.OFTEN_FOR)
    rarely = (listening_connection.GIVE_UP_AFTER - listening_connection.OFTEN_FOR) // (
        listening_connection.RARELY_EVERY
    )
    assert len(bench.opened) - often == pytest.approx(rarely, abs=1)
    last = len(bench.opened)
    bench.run(10 * listening_connection.RARELY_EVERY)
    assert len(bench.opened) == last
    assert bench.switch.counters[Count.ENGINE_LISTENING_CONNECTIONS] == last


def test_nothing_is_listened_for_once_all_those_calls_are_over():
    bench = LinkBench()
    established(bench, 1)
    bench.connected()
    bench.link.missed_releases.connection_given_up()
    bench.run(listening_connection.OPEN_EVERY)
    established(bench, 2)  # set up on the connection that is up: nothing of it can be missed
    opened = len(bench.opened)
    bench.switch.released_by_engine(A, ONE, 16)
    bench.run(listening_connection.RARELY_EVERY)
    assert len(bench.opened) == opened
    assert bench.link.missed_releases.calls == set()


def test_a_second_connection_given_up_starts_the_time_anew_and_adds_no_second_schedule():
    bench = LinkBench()
    established(bench, 1)
    bench.connected()
    bench.opened.clear()
    bench.link.missed_releases.connection_given_up()
    bench.run(listening_connection.OFTEN_FOR - listening_connection.OPEN_EVERY)
    bench.link.missed_releases.connection_given_up()
    before = len(bench.opened)
    bench.run(listening_connection.OFTEN_FOR)
    often = listening_connection.OFTEN_FOR // listening_connection.OPEN_EVERY
    assert len(bench.opened) - before == pytest.approx(often, abs=1)


def test_a_message_of_no_call_is_no_acknowledgement():
    bench = LinkBench()
    first = bench.connected()
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.message_received(decode_message(encode_message(MessageType.ACKNOWLEDGE, NO_CALL)))
    bench.link.connection_down(first)
    assert bench.connected().written == [("RELEASE", ONE)]


def test_an_ending_process_opens_no_connection_that_would_take_releases_with_it():
    bench = LinkBench()
    bench.connected()
    bench.may_open = False
    bench.link.listen_once()
    bench.link.connection_down(bench.link.connection)
    bench.run(1_000.0)
    bench.link.open()
    assert bench.opened == []
    bench.may_open = True
    bench.link.open()
    assert len(bench.opened) == 1


def test_connections_that_come_up_while_engines_are_not_read_are_not_read_either():
    bench = LinkBench()
    bench.is_reading = False
    connection = bench.connected()
    bench.link.listen_once()
    listening = Connection(bench.now)
    bench.opened[-1].connection_up(listening)
    assert not connection.is_read
    assert not listening.is_read
    bench.is_reading = True
    bench.link.reading_changed()
    assert connection.is_read
    assert listening.is_read
