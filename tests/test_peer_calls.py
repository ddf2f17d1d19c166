"""The ids of calls that two processes of a softswitch report to each other, without a network."""

import orjson
from support.switch_bench import CONNECTION, Bench

from softswitch.core.call_table import MAX_CALLS
from softswitch.core.recent_calls import MAX_RETAINED, RecentCalls
from softswitch.net import handover
from softswitch.net.peer_calls import ADDED, REMOVED, PeerCalls

ONE = f"{1:016x}"


class Channel:
    """Records the messages sent to the peer process."""

    def __init__(self):
        self.messages = []

    def send(self, do, **fields):
        self.messages.append({"do": do} | fields)


def test_calls_are_reported_from_the_start_until_the_channel_is_closed():
    b, channel = Bench(), Channel()
    peer_calls = PeerCalls(b.switch.calls)
    b.call(1)
    peer_calls.start(channel, RecentCalls())
    b.call(2)
    b.switch.abandon_call(ONE, b, CONNECTION)
    peer_calls.stop()
    b.call(3)
    assert channel.messages == [
        {"do": ADDED, "ids": [ONE]},
        {"do": ADDED, "ids": [f"{2:016x}"]},
        {"do": REMOVED, "ids": [ONE], "written": True},
    ]


def test_the_peers_calls_are_known_until_they_end_or_the_channel_is_closed():
    peer_calls = PeerCalls(Bench().switch.calls)
    peer_calls.peer_added([ONE, f"{2:016x}"])
    peer_calls.peer_removed([f"{2:016x}", f"{3:016x}"])
    assert ONE in peer_calls
    assert f"{2:016x}" not in peer_calls
    peer_calls.stop()
    assert ONE not in peer_calls


def test_a_full_table_is_reported_within_the_limits_of_the_channel():
    # A longer message, or more unread bytes, would end the channel and with it the replacement.
    b, channel = Bench(), Channel()
    b.switch.calls.update({f"{n:016x}": None for n in range(MAX_CALLS)})
    ended = RecentCalls()
    for n in range(MAX_CALLS, MAX_CALLS + MAX_RETAINED):
        ended.add(0.0, f"{n:016x}")
    PeerCalls(b.switch.calls).start(channel, ended)
    lines = [orjson.dumps(message) + b"\n" for message in channel.messages]
    assert sum(len(message["ids"]) for message in channel.messages) == MAX_CALLS + MAX_RETAINED
    assert max(map(len, lines)) <= handover.MAX_MESSAGE
    assert sum(map(len, lines)) <= handover.MAX_UNREAD
