"""The endpoint list that the process being replaced passes to its successor."""

import orjson
import pytest
from support.endpoint_events import DRAINING, GONE, endpoint_record, list_changes
from support.sip_bench import SipBench
from test_replacement import ReplacementStage

from softswitch import interface as i
from softswitch.net.endpoint_snapshot import (
    ENTRIES_PER_MESSAGE,
    EndpointSnapshot,
    LocatedEndpoint,
    SnapshotReader,
    encode_snapshot,
)
from softswitch.net.endpoint_watch import EndpointWatch
from softswitch.net.engine_pool import EnginePool
from softswitch.net.handover import MAX_MESSAGE, Channel, Handover

A, B = "s-0000000a", "s-0000000b"
READY = i.EndpointState.READY


def snapshot(revision=7, count=2, state=READY):
    entries = (
        LocatedEndpoint(i.Endpoint(f"s-{n:08x}", n, state, 1e9 + n / 7, 2.5), (f"127.127.127.{n}", 65_535))
        for n in range(count)
    )
    return EndpointSnapshot(revision, tuple(entries))


@pytest.mark.parametrize("count", [0, 1, ENTRIES_PER_MESSAGE, 2 * ENTRIES_PER_MESSAGE + 1])
def test_a_list_is_read_as_it_was_sent_in_messages_that_fit(count):
    reader, sent = SnapshotReader(), snapshot(count=count, state=i.EndpointState.DRAINING)
    lines = [orjson.dumps({"do": "endpoints"} | fields) for fields in encode_snapshot(sent)]
    assert max(map(len, lines)) <= MAX_MESSAGE
    received = [reader.read(orjson.loads(line)) for line in lines]
    assert received[:-1] == [None] * (len(lines) - 1)
    assert received[-1] == sent


def test_a_list_that_is_broken_off_is_dropped_for_the_next_one():
    reader = SnapshotReader()
    reader.read(next(iter(encode_snapshot(snapshot(7, 2 * ENTRIES_PER_MESSAGE)))))
    messages = list(encode_snapshot(snapshot(8, 1)))
    assert reader.read(messages[0]) == snapshot(8, 1)


class WatchBench(SipBench):
    """A switch with an endpoint watch that is not connected."""

    def __init__(self):
        super().__init__()
        self.pool = EnginePool(self, self.switch.settings)
        self.pool.attach(self.switch)
        self.switch.engines = self.pool
        self.watch = EndpointWatch(self, ("127.0.0.1", 1), self.switch, self.pool, float)

    def connectTCP(self, *args, **more):  # noqa: N802  # Twisted's name
        """Connects to nothing."""


@pytest.mark.parametrize(("own", "received", "taken"), [(6, 7, True), (7, 7, False), (8, 7, False)])
def test_the_list_with_the_higher_revision_is_newer(own, received, taken):
    """Guards against a list that wins because it came last."""
    b = WatchBench()
    b.watch.revision = own
    b.watch.apply_snapshot(snapshot(received, state=i.EndpointState.DRAINING))
    assert b.watch.revision == max(own, received)
    assert (b.switch.endpoints.state_of("s-00000001") is i.EndpointState.DRAINING) == taken
    assert (b.switch.endpoints.state_of(A) is i.EndpointState.REMOVED) == taken


class AbortedTransport:
    """Records whether its connection was aborted."""

    is_aborted = False

    def abortConnection(self):  # noqa: N802  # Twisted's name
        self.is_aborted = True


def test_a_malformed_list_closes_the_channel_and_changes_nothing():
    b = WatchBench()
    for entries in ([["s"]], [["s", "h", 1, 0, "dancing", 0.0, 1.0]], 1, None):
        handover = Handover(None, b.switch, b.sip, "")
        handover.endpoint_list = b.watch
        channel = Channel(handover)
        channel.transport = AbortedTransport()
        message = {"do": "endpoints", "revision": 9, "entries": entries, "last": True}
        channel.lineReceived(orjson.dumps(message))
        assert channel.transport.is_aborted
    assert b.watch.revision == 0


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_a_successor_that_cannot_reach_the_board_keeps_the_drains_of_its_predecessor(state):
    """Guards against set-ups to a draining engine by a process that starts in an outage (review/7)."""
    with ReplacementStage(engines=2) as s:
        s.play("b expect after 3\n" + list_changes(4, endpoint_record(s, 0, "e0", state, 0)) + "b wait 100")
        s.play("c0 send INVITE 1\ne1 expect SET_UP {1}")
        s.listeners.pop("b").close()
        s.parties.pop("b").sock.close()
        s.replace()
        s.wait_until_ready()
        s.play("c1 send INVITE 2\ne1 expect SET_UP {2}\ne1 send ANSWER 2 33=d\nc1 expect 200 .*{2}")
        assert "list 4 taken from the other process" in s.log_text()
