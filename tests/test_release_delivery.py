"""The life of a release: drawn interleavings on a model of callers, and the front on sockets."""

import random
import time

import pytest
from support.harness import Stage, call_id

from softswitch.core.release_delivery import EXPIRES_AFTER, RETRY_AFTER, ReleaseQueue

STAYS = {"lanes": [{"name": "x", "aim": 1500.0, "credit": 1.0, "late_value": 0.25, "hard_limit": 9000.0}]}
TWO_STAND = """
    c0 send INVITE 1
    e0 expect SET_UP {1}
    e0 send ANSWER 1 33=d
    c0 expect 200 .*{1}
    c1 send INVITE 2
    e0 expect SET_UP {2}
    e0 send ANSWER 2 33=d
    c1 expect 200 .*{2}
    """


class World:
    """Callers' connections as they truly are, and what has come out at their far end."""

    def __init__(self, seed):
        self.rng, self.now, self.table = random.Random(seed), 0.0, ReleaseQueue(max_releases=64)
        self.open, self.silent, self.flight, self.read = {}, set(), [], {}
        self.made = self.calls = 0
        self.over = {}  # call -> when it was over
        self.reachable = {}  # call -> since when a way to a reading caller has stood without a break

    def out(self, told):
        for tell in told:
            assert tell.connection in self.open, "written to a connection that is over"
            self.flight.append([self.now + self.rng.choice((1, 5, 40)), tell.connection, tell.call])

    def connect(self):
        self.made += 1
        self.open[self.made] = None
        if self.rng.random() < 0.7:
            self.table.call_established(self.made)
        self.out(self.table.caller_active(self.now, self.made))

    def step(self):
        rng, ways = self.rng, list(self.open)
        acts = ("over", "over", "connect", "close", "reset", "silent", "speak", "choke", "time", "time")
        act = rng.choice(acts)
        if act == "over":
            self.calls += 1
            call = f"{self.calls:016x}"
            self.over[call] = self.now
            own = rng.choice([*ways, None, -1])  # -1: a connection that is over
            self.out(self.table.add(self.now, call, "77", 16, own))
        elif act == "connect" and len(ways) < 5:
            self.connect()
        elif act in ("close", "reset") and ways:
            way = rng.choice(ways)  # what is in flight there is never read
            del self.open[way]
            self.silent.discard(way)
            self.flight = [f for f in self.flight if f[1] != way]
            self.out(self.table.connection_closed(self.now, way))
        elif act == "silent" and len(set(ways) - self.silent) > 1:
            self.silent.add(rng.choice(ways))  # open, and nothing is read there any more
        elif act == "speak" and set(ways) - self.silent:
            self.out(self.table.caller_active(self.now, rng.choice(sorted(set(ways) - self.silent))))
        elif act == "choke" and ways:
            self.table.set_backpressured(rng.choice(ways), rng.random() < 0.5)
        else:
            self.pass_time(rng.choice((1, 10, 60)))

    def pass_time(self, ms):
        for _ in range(ms):
            self.now += 1.0
            for f in [f for f in self.flight if f[0] <= self.now and f[1] not in self.silent]:
                self.flight.remove(f)
                self.read.setdefault(f[2], self.now)
                self.table.acknowledge(f[2])
            if self.now % 100 == 0:
                self.out(self.table.advance(self.now))
            reading = set(self.open) - self.silent
            for call, since in self.over.items():
                if call not in self.read and reading:
                    self.reachable.setdefault(call, self.now)
                elif not reading:
                    self.reachable.pop(call, None)
                # Told in time if any way to a caller stood: three tries of 300 ms, looked at each 100 ms.
                late = self.now - self.reachable.get(call, self.now)
                if call not in self.read and late > 1_000 and self.now - since < EXPIRES_AFTER - 1_000:
                    raise AssertionError(f"{call} over at {since}, not read at {self.now}")
        self.check()

    def check(self):
        table = self.table
        assert len(table.pending) <= table.max_releases
        assert set(table.connections) <= set(self.open)
        sent = {call: way for way, state in table.connections.items() for call in state.unacknowledged}
        assert sent == {
            call: owed.connection for call, owed in table.pending.items() if owed.connection is not None
        }
        assert not any(owed.connection is None for owed in table.pending.values()) or not table.connections


def test_drawn_lives_of_releases_are_told_in_time_if_any_way_to_a_caller_stood():
    for seed in range(400):
        world = World(seed)
        world.connect()
        for _ in range(120):
            # Of the ways at most one is silent at a time: three tries find no more than that.
            if len(world.silent) > 1:
                world.silent.pop()
            world.step()
        world.pass_time(1)
        assert world.calls > 5
        assert world.read


def test_no_acknowledgement_is_missed_where_callers_never_acknowledge():
    table = ReleaseQueue()
    table.caller_active(0.0, "a")
    table.caller_active(0.0, "b")
    assert [message.connection for message in table.add(1.0, "1", "77", 16, "a")] == ["a"]
    assert table.advance(1.0 + 2 * RETRY_AFTER) == []  # nobody here ever said that it heard one
    # but an end is an end
    assert [message.connection for message in table.connection_closed(700.0, "a")] == ["b"]
    assert table.acknowledge("1")
    assert not table.acknowledge("1")
    table.add(800.0, "2", "77", 16, "b")
    table.caller_active(800.0, "c")
    assert [message.connection for message in table.advance(800.0 + RETRY_AFTER)] == ["c"]
    assert table.advance(800.0 + 2 * RETRY_AFTER) == []  # there is no third
    table.advance(800.0 + EXPIRES_AFTER + 1)
    assert not table.pending
    assert table.unacknowledged == 1
    assert table.unsent == 0


def test_bounds_the_oldest_go_first_and_are_counted():
    table = ReleaseQueue(max_releases=3)
    for n in range(5):
        assert table.add(float(n), str(n), "7", 16, None) == []
    assert list(table.pending) == ["2", "3", "4"]
    assert table.unsent == 2
    assert [t.call for t in table.caller_active(9.0, "a")] == ["2", "3", "4"]
    table.hand_over("3")
    assert set(table.connections["a"].unacknowledged) == {"2", "4"}


def test_a_release_unread_at_a_close_goes_out_on_another_connection():
    with Stage(settings=STAYS) as s:
        s.play(TWO_STAND)
        s.play("""
            e0 send RELEASE 1 31=16
            c0 wait 50
            c0 close
            c1 expect ^BYE .*Call-ID: {1}
            c1 send raw SIP/2.0 200 OK\\r\\nCall-ID: {1}\\r\\nCSeq: 2 BYE\\r\\nContent-Length: 0\\r\\n\\r\\n
            c1 expect nothing 500
            e0 send RELEASE 2 31=16
            c1 expect ^BYE .*Call-ID: {2}
            c1 close
            c2 send ACK 9
            c2 expect ^BYE .*Call-ID: {2}
            """)


def test_a_release_that_is_not_heard_goes_out_on_another_connection():
    with Stage(settings=STAYS) as s:
        s.play(TWO_STAND)
        s.play("""
            e0 send RELEASE 2 31=16
            c1 expect ^BYE .*Call-ID: {2}
            c1 send raw SIP/2.0 200 OK\\r\\nCall-ID: {2}\\r\\nCSeq: 2 BYE\\r\\nContent-Length: 0\\r\\n\\r\\n
            e0 send RELEASE 1 31=16
            c0 expect ^BYE .*Call-ID: {1}
            c1 expect ^BYE .*Call-ID: {1}
            c0 send raw SIP/2.0 481 no\\r\\nCall-ID: {1}\\r\\nCSeq: 2 BYE\\r\\nContent-Length: 0\\r\\n\\r\\n
            c0 expect nothing 700
            """)


def test_a_release_swallowed_by_a_connection_that_was_given_up_comes_on_one_that_listens():
    """The engine still writes to the connection that we closed, and again only on the next one."""
    with Stage(settings=STAYS, engines=1) as s:
        s.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 .*{1}
            """)
        seen = {s.parties["e0"]}
        s.parties["e0"].sock.sendall(b"\x00\x30\x09")  # an answer that stops short
        for n in (2, 3):  # the link again, and then, while the call stands, one that listens
            for k in range(20):
                s.pump(0.1)
                if s.parties["e0"] not in seen:
                    break
                if n == 3 and k % 3 == 0:
                    s.play("e0 send STATE 0 21=x0:9;x1:9")  # the link itself is well
            seen.add(s.parties["e0"])
            assert len(seen) == n, s.log_text()
        assert "silent" not in s.log_text()
        s.play("""
            e0 send RELEASE 1 31=16
            c0 expect ^BYE .*Call-ID: {1}
            e0 wait 1200
            """)
        assert s.parties["e0"] in seen, "no more than needed: nothing stands"


@pytest.mark.parametrize(("left", "closes"), [(2, False), (30, False), (2, True)])
def test_a_release_that_was_begun_and_never_ended_reaches_its_caller(left, closes):
    """The engine has told it, as far as it knows: it writes it to no other connection."""
    with Stage(settings=STAYS, engines=1) as s:
        s.play(TWO_STAND)
        whole = bytes.fromhex("0c" + call_id("1")) + b"\x1f\x00\x01\x10\x15\x00\x1e" + b"x0:9;x1:9".ljust(30)
        link = s.parties["e0"]
        link.sock.sendall((len(whole).to_bytes(2, "big") + whole)[:-left])
        if closes:
            link.sock.close()
            s.parties.pop("e0")
        s.play("""
            c0 expect ^BYE .*Call-ID: {1}.*cause=16
            c0 send OK 1
            c1 expect nothing 400
            """)


def test_an_engine_that_hangs_up_on_a_connection_that_listens_does_no_harm():
    with Stage(settings=STAYS, engines=1) as s:
        s.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 .*{1}
            """)
        link = s.parties["e0"]
        link.sock.sendall(b"\x00\x30\x09")  # an answer that stops short
        while s.parties["e0"] is link:
            s.pump(0.1)
        link = s.parties["e0"]
        for _ in range(20):
            s.pump(0.1)
            if s.parties["e0"] is not link:
                break
        ear, s.parties["e0"] = s.parties["e0"], link
        assert ear is not link, s.log_text()
        ear.sock.close()
        s.play("""
            e0 send STATE 0 21=x0:9;x1:9
            e0 wait 400
            e0 send RELEASE 1 31=16
            c0 expect ^BYE .*Call-ID: {1}
            """)
        assert "ERROR" not in s.log_text(), s.log_text()


def test_a_call_that_ended_before_its_answer_came_fails_and_is_not_set_up_again():
    """Set up again under the same id it would stand while its caller is owed the release of before."""
    with Stage(settings=STAYS) as s:
        s.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send RELEASE 1 31=16
            c0 expect SIP/2.0 500 .*{1}
            e0 send ANSWER 1 33=late
            e1 expect nothing 500
            e0 expect nothing 100
            c0 expect nothing 100
            c0 send INVITE 2
            e0 expect SET_UP {2}
            """)


@pytest.mark.parametrize("caller_stays", [False, True])
def test_a_stopping_process_leaves_a_release_that_no_caller_could_be_sent_to_the_next(caller_stays):
    """Guards against a release that the ending process reads after its last caller's connection is over."""
    with Stage(settings=STAYS, engines=1) as s:
        s.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 .*{1}
            """)
        s.play("p send SIGTERM\nc0 expect ^end" if caller_stays else "c0 close\np send SIGTERM\ne0 wait 200")
        ending = s.parties["e0"]
        if ending.sock.fileno() >= 0:  # beside much load its end may be read with the caller's
            s.play("e0 send RELEASE 1 31=16")
        s.play("p expect 0")
        while ending.sock.fileno() >= 0:
            s.pump(0.1)
        assert ending.acknowledged == []
        s.start()
        while s.parties["e0"] is ending:
            s.pump(0.1)
        s.play("""
            e0 send RELEASE 1 31=16
            c1 send ACK 9
            c1 expect ^BYE .*Call-ID: {1}
            """)


def test_a_stop_whose_callers_have_all_left_does_not_wait_for_calls_that_it_can_not_serve():
    """The sooner the next process is there, the sooner their releases reach somebody."""
    with Stage(settings=STAYS, engines=1) as s:
        s.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 .*{1}
            c0 close
            c0 wait 100
            """)
        began = time.monotonic()
        s.play("p send SIGTERM\np expect 0")
        assert 0.7 < time.monotonic() - began < 2.0
