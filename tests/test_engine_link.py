"""Engine links: queued messages, unacknowledged releases, and listening connections for missed releases."""

import pytest
from support.harness import Stage, call_id
from support.switch_bench import CONNECTION, A, Bench

from softswitch.core.call import NO_CONNECTION, SetupRequest
from softswitch.core.counters import Count
from softswitch.core.endpoint_directory import IncarnationEnded
from softswitch.net import listening_connection
from softswitch.net.engine_codec import NO_CALL, MessageType, Release, decode_message, encode_message
from softswitch.net.engine_link import EngineLink
from softswitch.net.engine_queue import ACKNOWLEDGE_TIMEOUT, MAX_QUEUED, MAX_TRANSMISSIONS

ONE, TWO = f"{1:016x}", f"{2:016x}"
CANCELLED = 16
NAMES = {MessageType.SETUP: "SETUP", MessageType.RELEASE: "RELEASE"}


class Connection:
    """A connection that records the messages written to it."""

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
        """Does nothing: no peer is connected."""


class LinkBench(Bench):
    """A link to a single engine, with fake connections; also serves as the link's pool."""

    is_reading = may_open = True

    def __init__(self, **changes):
        super().__init__(servers=(A,), **changes)
        self.settings = self.switch.settings
        self.opened = []  # factories for which a connection was requested
        self.link = EngineLink(self, self.switch, A, ("127.0.0.1", 1))

    def connect(self, address, factory):
        self.opened.append(factory)

    def needs_connection(self, server):
        return True

    def connect_link(self):
        connection = Connection(self.now)
        self.link.connection_up(connection)
        return connection

    def requested_call(self, n=1):
        """Requests the setup of a call and returns the call."""
        self.call(n)
        return self.switch.calls.get(f"{n:016x}")


def test_a_queued_release_is_written_before_a_new_attempt_of_its_call():
    """An engine does not read for longer than the retry delay of an abandoned attempt.

    The release of the abandoned attempt is queued, and a new attempt of the call is sent to the same engine.
    """
    bench = LinkBench()
    connection, call = bench.connect_link(), bench.requested_call()
    bench.link.send_setup(call)
    bench.link.backpressure_changed(True)
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.send_setup(call)
    bench.link.backpressure_changed(False)
    assert connection.written == [("SETUP", ONE), ("RELEASE", ONE), ("SETUP", ONE)]
    assert bench.link.in_flight == {ONE}


def test_withdrawing_a_new_attempt_keeps_the_release_of_the_previous_one():
    bench = LinkBench()
    connection, call = bench.connect_link(), bench.requested_call()
    bench.link.send_setup(call)
    bench.link.backpressure_changed(True)
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.send_setup(call)
    assert bench.link.withdraw_setup(ONE)
    assert not bench.link.withdraw_setup(ONE)
    bench.link.backpressure_changed(False)
    assert connection.written == [("SETUP", ONE), ("RELEASE", ONE)]


def test_the_queue_moves_to_the_new_address_of_an_engine_in_order():
    bench = LinkBench()
    call = bench.requested_call()
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.send_setup(call)
    moved = EngineLink(bench, bench.switch, A, ("127.0.0.1", 2))
    moved.take_over_queue(bench.link)
    connection = Connection(bench.now)
    moved.connection_up(connection)
    assert connection.written == [("RELEASE", ONE), ("SETUP", ONE)]
    assert not bench.link.withdraw_setup(ONE)


def test_a_full_queue_returns_a_setup_as_unreachable_and_counts_a_dropped_release():
    bench = LinkBench()
    call = bench.requested_call()
    for n in range(10, MAX_QUEUED + 10):
        bench.link.send_release(Release(f"{n:016x}", CANCELLED))
    bench.link.send_setup(call)
    assert bench.switch.counters["attempt connect_failed"] == 1
    bench.link.send_release(Release(TWO, CANCELLED))
    assert bench.switch.counters[Count.ENGINE_RELEASES_DROPPED] == 1


# unacknowledged releases


@pytest.mark.parametrize(
    ("age", "acknowledged", "resent"),
    [
        (0.0, False, True),
        (ACKNOWLEDGE_TIMEOUT, False, True),
        (ACKNOWLEDGE_TIMEOUT + 5.0, False, False),  # counts as received
        (0.0, True, False),
    ],
)
def test_an_unacknowledged_release_of_a_lost_connection_is_resent_within_the_timeout(
    age, acknowledged, resent
):
    bench = LinkBench()
    first = bench.connect_link()
    bench.link.send_release(Release(ONE, CANCELLED))
    if acknowledged:
        bench.link.message_received(decode_message(encode_message(MessageType.ACKNOWLEDGE, ONE)))
    bench.run(age)
    bench.link.connection_down(first)
    second = bench.connect_link()
    assert first.written == [("RELEASE", ONE)]
    assert second.written == ([("RELEASE", ONE)] if resent else [])
    assert bench.switch.counters[Count.ENGINE_RELEASES_RESENT] == resent


def test_a_release_on_which_each_connection_ends_is_dropped_and_setups_go_through():
    """Guards against a message that its engine refuses, and that is written first for ever (review/6)."""
    bench = LinkBench()
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.send_release(Release(f"{3:016x}", CANCELLED))
    for _ in range(MAX_TRANSMISSIONS):
        connection = bench.connect_link()
        assert connection.written[0] == ("RELEASE", ONE)
        bench.link.connection_down(connection)
        bench.run(100.0)
    bench.link.send_release(Release(ONE, CANCELLED))  # another one is a message of its own
    call = bench.requested_call(2)
    bench.link.send_setup(call)
    assert bench.connect_link().written == [("RELEASE", ONE), ("SETUP", TWO)]
    assert bench.switch.counters[Count.ENGINE_RELEASES_DROPPED] == 2
    assert bench.switch.counters[Count.ENGINE_RELEASES_RESENT] == 4


def test_calls_are_set_up_at_an_engine_that_closes_the_connection_at_a_release():
    """Guards against a message that its engine refuses, and that is written first for ever (review/6)."""
    with Stage(engines=1) as s:

        def refuse_releases(name, message):
            if message.startswith("RELEASE") and name in s.parties:
                s.parties[name].sock.close()
                s.parties.pop(name)
            elif message.startswith("SET_UP") and name in s.parties:
                s.parties[name].send(f"ANSWER {message.split()[1]} 33=d")
            elif message.startswith("SIP/2.0 200"):
                established.append(message)

        established, s.hook = [], refuse_releases
        s.play("c0 send INVITE 1\nc0 wait 300")
        assert len(established) == 1
        s.play("c0 send BYE 1\nc0 wait 1500\nc0 send INVITE 2\nc0 wait 500")
        assert call_id(2) in established[-1]


def test_only_releases_older_than_the_timeout_count_as_received():
    bench = LinkBench()
    first = bench.connect_link()
    for n in (1, 2, 3):  # written 400 ms apart
        bench.link.send_release(Release(f"{n:016x}", CANCELLED))
        bench.run(400.0)
    bench.link.connection_down(first)
    assert [call for _, call in bench.connect_link().written] == [f"{2:016x}", f"{3:016x}"]


def test_the_release_of_an_attempt_is_not_resent_because_the_engine_drops_it_with_the_connection():
    bench = LinkBench()
    first, call = bench.connect_link(), bench.requested_call()
    bench.link.send_setup(call)
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.connection_down(first)
    assert bench.connect_link().written == []


# missed releases


def established(bench, n):
    call = SetupRequest(f"{n:016x}", "plain", "77", 3000.0, b"d", 0)
    bench.switch.request_setup(call, bench, CONNECTION)
    bench.switch.answered_by_engine(A, call.call, b"d")


def test_listening_connections_are_opened_frequently_then_rarely_then_no_more():
    bench = LinkBench()
    established(bench, 1)
    bench.connect_link()
    bench.opened.clear()
    bench.link.missed_releases.connection_given_up()
    bench.run(listening_connection.FREQUENT_DURATION)
    frequent = len(bench.opened)
    assert frequent == listening_connection.FREQUENT_DURATION // listening_connection.OPEN_INTERVAL
    bench.run(listening_connection.GIVE_UP_AFTER - listening_connection.FREQUENT_DURATION)
    rare = (listening_connection.GIVE_UP_AFTER - listening_connection.FREQUENT_DURATION) // (
        listening_connection.RARE_OPEN_INTERVAL
    )
    assert len(bench.opened) - frequent == pytest.approx(rare, abs=1)
    last = len(bench.opened)
    bench.run(10 * listening_connection.RARE_OPEN_INTERVAL)
    assert len(bench.opened) == last
    assert bench.switch.counters[Count.ENGINE_LISTENING_CONNECTIONS] == last


def test_no_listening_connection_is_opened_after_the_calls_have_ended():
    bench = LinkBench()
    established(bench, 1)
    bench.connect_link()
    bench.link.missed_releases.connection_given_up()
    bench.run(listening_connection.OPEN_INTERVAL)
    established(bench, 2)  # set up on the current connection, so its release can't be missed
    opened = len(bench.opened)
    bench.switch.released_by_engine(A, ONE, 16)
    bench.run(listening_connection.RARE_OPEN_INTERVAL)
    assert len(bench.opened) == opened
    assert bench.link.missed_releases.calls == set()


def test_giving_up_a_second_connection_restarts_the_schedule_without_duplicating_it():
    bench = LinkBench()
    established(bench, 1)
    bench.connect_link()
    bench.opened.clear()
    bench.link.missed_releases.connection_given_up()
    bench.run(listening_connection.FREQUENT_DURATION - listening_connection.OPEN_INTERVAL)
    bench.link.missed_releases.connection_given_up()
    before = len(bench.opened)
    bench.run(listening_connection.FREQUENT_DURATION)
    frequent = listening_connection.FREQUENT_DURATION // listening_connection.OPEN_INTERVAL
    assert len(bench.opened) - before == pytest.approx(frequent, abs=1)


def test_a_message_without_a_call_id_acknowledges_nothing():
    bench = LinkBench()
    first = bench.connect_link()
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.link.message_received(decode_message(encode_message(MessageType.ACKNOWLEDGE, NO_CALL)))
    bench.link.connection_down(first)
    assert bench.connect_link().written == [("RELEASE", ONE)]


def test_an_exiting_process_opens_no_connection_on_which_releases_would_be_lost():
    bench = LinkBench()
    bench.connect_link()
    bench.may_open = False
    bench.link.listen_once()
    bench.link.connection_down(bench.link.connection)
    bench.run(1_000.0)
    bench.link.open()
    assert bench.opened == []
    bench.may_open = True
    bench.link.open()
    assert len(bench.opened) == 1


def test_connections_established_while_reading_is_paused_are_not_read():
    bench = LinkBench()
    bench.is_reading = False
    connection = bench.connect_link()
    bench.link.listen_once()
    listening = Connection(bench.now)
    bench.opened[-1].connection_up(listening)
    assert not connection.is_read
    assert not listening.is_read
    bench.is_reading = True
    bench.link.reading_changed()
    assert connection.is_read
    assert listening.is_read


# the end of an engine's process


def test_a_removed_engine_is_connected_to_again_if_it_is_listed_again_during_a_connection_attempt():
    """Guards against a link that waits for a connection that was aborted as its engine was removed."""
    bench = LinkBench()
    bench.link.open()
    bench.link.incarnation_ended(IncarnationEnded(A))
    bench.link.connection_up(Connection(bench.now))  # comes up too late, and is aborted
    assert bench.link.connection is None
    bench.link.relisted()
    assert len(bench.opened) == 2


def test_releases_for_a_replaced_process_are_not_sent_to_the_one_that_replaced_it():
    bench = LinkBench()
    bench.run(100.0)
    old = bench.connect_link()
    old.give_up = lambda reason: bench.link.connection_down(old)
    bench.link.send_release(Release(ONE, CANCELLED))
    bench.run(100.0)
    assert bench.link.incarnation_ended(IncarnationEnded(A, bench.now)) == NO_CONNECTION
    assert bench.connect_link().written == []


def test_queued_releases_of_a_removed_engine_are_dropped():
    bench = LinkBench()
    bench.link.send_release(Release(ONE, CANCELLED))
    assert bench.link.incarnation_ended(IncarnationEnded(A)) == NO_CONNECTION
    bench.link.relisted()
    assert bench.connect_link().written == []
