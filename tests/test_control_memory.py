"""What clients of the call-control API can make a process hold in memory."""

from support.switch_bench import A, Bench

from softswitch.configuration import ControlSettings
from softswitch.core.memory_budget import Holder
from softswitch.net.call_control import EVENTS_DIVISOR, CallControlServer


class Client:
    """A client's connection that records the events it is sent."""

    is_disconnected = False

    def __init__(self):
        self.pending, self.watched, self.sent, self.errors = set(), set(), [], []
        self.unrouted = set()

    def send(self, message):
        self.sent.append(message)

    def send_error(self, code, text, call=None):
        self.errors.append(code)


class ControlBench(Bench):
    """A call-control server on the switch of a `Bench`, with a limit of 1.5 MB on held memory."""

    def __init__(self):
        super().__init__()
        self.switch.memory.configure(0)
        self.api = CallControlServer(ControlSettings(listen=""), self.switch)

    def request(self, client, action, n, **fields):
        message = '{"v":1,"do":"%s","id":"%016x","class":"plain","number":"7","patience_ms":3000}'
        self.api.message_received(client, message % (action, n))
        self.api.route_calls(client.unrouted)
        client.unrouted.clear()

    def establish(self, client, n, description=b"d"):
        self.request(client, "place", n)
        self.switch.answered_by_engine(A, f"{n:016x}", description)


def events_share(b):
    return b.switch.memory.limit // EVENTS_DIVISOR


def test_descriptions_are_retained_for_watchers_only_while_memory_allows():
    """Guards against a kill for memory by engines whose answers have 16 KiB."""
    b, client, late = ControlBench(), Client(), Client()
    for n in range(200):
        b.establish(client, n, b"d" * 15_000)
    assert all("description_b64" in event for event in client.sent if event["event"] == "stands")
    assert b.switch.memory.held[Holder.EVENTS] <= events_share(b) + 200 * 256
    for n in (0, 199):
        b.request(late, "watch", n)
    assert ["description_b64" in event for event in late.sent] == [True, False][: len(late.sent)]


def test_watches_are_refused_without_memory_and_count_while_they_last():
    """Guards against clients that each watch all calls."""
    b, client = ControlBench(), Client()
    for n in range(50):
        b.establish(client, n)
    watchers = [Client() for _ in range(100)]
    for watcher in watchers:
        for n in range(50):
            b.request(watcher, "watch", n)
    assert "table_full" in watchers[-1].errors
    assert b.switch.memory.held[Holder.EVENTS] <= events_share(b)
    for connection in (*watchers, client):
        for call in list(connection.watched):
            b.api._stop_watching(connection, call)  # noqa: SLF001  # as its connection ends
    descriptions = sum(placed.description_bytes for placed in b.api.calls.values())
    assert b.switch.memory.held[Holder.EVENTS] == descriptions


def test_ended_calls_hold_a_bounded_part_of_the_memory():
    """Guards against the last events of thousands of calls that have ended."""
    b, client = ControlBench(), Client()
    for n in range(2_000):
        b.establish(client, n)
        b.request(client, "release", n)
    assert 0 < len(b.api.ended) < 2_000
    assert b.switch.memory.held[Holder.EVENTS] <= events_share(b)
