"""Delivery of releases: random interleavings against a model of callers, and the softswitch on sockets."""

import random
import time

import pytest
from support.harness import Stage, call_id

from softswitch.core.release_delivery import EXPIRES_AFTER, RETRY_AFTER, ReleaseQueue

LONG_DEADLINE = {
    "lanes": [{"name": "x", "aim": 1500.0, "credit": 1.0, "late_value": 0.25, "hard_limit": 9000.0}]
}
TWO_ESTABLISHED_CALLS = """
    c0 send INVITE 1
    e0 expect SET_UP {1}
    e0 send ANSWER 1 33=d
    c0 expect 200 .*{1}
    c1 send INVITE 2
    e0 expect SET_UP {2}
    e0 send ANSWER 2 33=d
    c1 expect 200 .*{2}
    """


class CallerModel:
    """Model of the callers' connections, and of the releases that the callers have read."""

    def __init__(self, seed):
        self.rng, self.now, self.queue = random.Random(seed), 0.0, ReleaseQueue(max_releases=64)
        self.open, self.silent, self.in_flight, self.read = {}, set(), [], {}
        self.opened = self.calls = 0
        self.call_ended_at = {}  # by call
        self.reachable_from = {}  # by call: since when, without a break, some connection is read

    def transmit(self, messages):
        for message in messages:
            assert message.connection in self.open, "written to a closed connection"
            self.in_flight.append([self.now + self.rng.choice((1, 5, 40)), message.connection, message.call])

    def connect(self):
        self.opened += 1
        self.open[self.opened] = None
        if self.rng.random() < 0.7:
            self.queue.call_established(self.opened)
        self.transmit(self.queue.caller_active(self.now, self.opened))

    def step(self):
        rng, connections = self.rng, list(self.open)
        actions = (
            "end",
            "end",
            "connect",
            "close",
            "reset",
            "silent",
            "send",
            "backpressure",
            "time",
            "time",
        )
        action = rng.choice(actions)
        if action == "end":
            self.calls += 1
            call = f"{self.calls:016x}"
            self.call_ended_at[call] = self.now
            own = rng.choice([*connections, None, -1])  # -1: a closed connection
            self.transmit(self.queue.add(self.now, call, "77", 16, own))
        elif action == "connect" and len(connections) < 5:
            self.connect()
        elif action in ("close", "reset") and connections:
            closed = rng.choice(connections)  # releases in flight on it are never read
            del self.open[closed]
            self.silent.discard(closed)
            self.in_flight = [f for f in self.in_flight if f[1] != closed]
            self.transmit(self.queue.connection_closed(self.now, closed))
        elif action == "silent" and len(set(connections) - self.silent) > 1:
            self.silent.add(rng.choice(connections))  # open, but no longer read
        elif action == "send" and set(connections) - self.silent:
            self.transmit(
                self.queue.caller_active(self.now, rng.choice(sorted(set(connections) - self.silent)))
            )
        elif action == "backpressure" and connections:
            self.queue.record_backpressure(rng.choice(connections), rng.random() < 0.5)
        else:
            self.pass_time(rng.choice((1, 10, 60)))

    def pass_time(self, ms):
        for _ in range(ms):
            self.now += 1.0
            for transmission in [
                transmission
                for transmission in self.in_flight
                if transmission[0] <= self.now and transmission[1] not in self.silent
            ]:
                self.in_flight.remove(transmission)
                self.read.setdefault(transmission[2], self.now)
                assert transmission[2] not in self.queue.pending or self.queue.acknowledge(
                    transmission[2], transmission[1]
                )
            if self.now % 100 == 0:
                self.transmit(self.queue.advance(self.now))
            reading = set(self.open) - self.silent
            for call, ended_at in self.call_ended_at.items():
                if call not in self.read and reading:
                    self.reachable_from.setdefault(call, self.now)
                elif not reading:
                    self.reachable_from.pop(call, None)
                # A release is read within 1 s if a connection is read: three transmissions 300 ms apart,
                # checked every 100 ms.
                late = self.now - self.reachable_from.get(call, self.now)
                if call not in self.read and late > 1_000 and self.now - ended_at < EXPIRES_AFTER - 1_000:
                    raise AssertionError(f"{call} ended at {ended_at}, release not read at {self.now}")
        self.check()

    def check(self):
        queue = self.queue
        assert len(queue.pending) <= queue.max_releases
        assert set(queue.connections) <= set(self.open)
        sent = {call: c for c, state in queue.connections.items() for call in state.unacknowledged}
        assert sent == {
            call: release.connection
            for call, release in queue.pending.items()
            if release.connection is not None
        }
        assert (
            not any(release.connection is None for release in queue.pending.values()) or not queue.connections
        )


def test_random_releases_are_read_in_time_if_a_connection_is_read():
    for seed in range(400):
        model = CallerModel(seed)
        model.connect()
        for _ in range(120):
            # At most one connection is silent at a time: three transmissions can cover no more.
            if len(model.silent) > 1:
                model.silent.pop()
            model.step()
        model.pass_time(1)
        assert model.calls > 5
        assert model.read


def test_a_missing_acknowledgement_is_no_loss_if_callers_never_acknowledge():
    queue = ReleaseQueue()
    queue.caller_active(0.0, "a")
    queue.caller_active(0.0, "b")
    assert [message.connection for message in queue.add(1.0, "1", "77", 16, "a")] == ["a"]
    assert queue.advance(1.0 + 2 * RETRY_AFTER) == []  # no caller here has ever acknowledged a release
    # but a closed connection always counts as a loss
    assert [message.connection for message in queue.connection_closed(700.0, "a")] == ["b"]
    assert queue.acknowledge("1", "b")
    assert not queue.acknowledge("1", "b")
    queue.add(800.0, "2", "77", 16, "b")
    queue.caller_active(800.0, "c")
    assert [message.connection for message in queue.advance(800.0 + RETRY_AFTER)] == ["c"]
    assert queue.advance(800.0 + 2 * RETRY_AFTER) == []  # there is no third connection
    queue.advance(800.0 + EXPIRES_AFTER + 1)
    assert not queue.pending
    assert queue.unacknowledged == 1
    assert queue.unsent == 0


def test_at_the_limit_the_oldest_releases_are_dropped_and_counted():
    queue = ReleaseQueue(max_releases=3)
    for n in range(5):
        assert queue.add(float(n), str(n), "7", 16, None) == []
    assert list(queue.pending) == ["2", "3", "4"]
    assert queue.unsent == 2
    assert [t.call for t in queue.caller_active(9.0, "a")] == ["2", "3", "4"]
    queue.hand_over("3")
    assert set(queue.connections["a"].unacknowledged) == {"2", "4"}


def test_a_release_unread_when_its_connection_closes_is_sent_on_another_connection():
    with Stage(settings=LONG_DEADLINE) as s:
        s.play(TWO_ESTABLISHED_CALLS)
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


def test_an_unacknowledged_release_is_sent_on_another_connection():
    with Stage(settings=LONG_DEADLINE) as s:
        s.play(TWO_ESTABLISHED_CALLS)
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


def test_a_release_lost_on_an_abandoned_link_arrives_on_a_listening_connection():
    """The engine wrote the release to the connection that was closed, and repeats it only on the next one."""
    with Stage(settings=LONG_DEADLINE, engines=1) as s:
        s.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 .*{1}
            """)
        seen = {s.parties["e0"]}
        s.parties["e0"].sock.sendall(b"\x00\x30\x09")  # an incomplete answer
        # The link is opened again, then, while the call is established, a listening connection.
        for n in (2, 3):
            for k in range(20):
                s.pump(0.1)
                if s.parties["e0"] not in seen:
                    break
                if n == 3 and k % 3 == 0:
                    s.play("e0 send STATE 0 21=x0:9;x1:9")  # the link itself works
            seen.add(s.parties["e0"])
            assert len(seen) == n, s.log_text()
        assert "silent" not in s.log_text()
        s.play("""
            e0 send RELEASE 1 31=16
            c0 expect ^BYE .*Call-ID: {1}
            e0 wait 1200
            """)
        assert s.parties["e0"] in seen, "a connection was opened although no call is established"


@pytest.mark.parametrize(("missing", "closes"), [(2, False), (30, False), (2, True)])
def test_an_incomplete_release_reaches_its_caller(missing, closes):
    """For the engine the release is sent: it writes it to no other connection."""
    with Stage(settings=LONG_DEADLINE, engines=1) as s:
        s.play(TWO_ESTABLISHED_CALLS)
        message = (
            bytes.fromhex("0c" + call_id("1")) + b"\x1f\x00\x01\x10\x15\x00\x1e" + b"x0:9;x1:9".ljust(30)
        )
        link = s.parties["e0"]
        link.sock.sendall((len(message).to_bytes(2, "big") + message)[:-missing])
        if closes:
            link.sock.close()
            s.parties.pop("e0")
        s.play("""
            c0 expect ^BYE .*Call-ID: {1}.*cause=16
            c0 send OK 1
            c1 expect nothing 400
            """)


def test_an_engine_may_close_a_listening_connection():
    with Stage(settings=LONG_DEADLINE, engines=1) as s:
        s.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 .*{1}
            """)
        link = s.parties["e0"]
        link.sock.sendall(b"\x00\x30\x09")  # an incomplete answer
        while s.parties["e0"] is link:
            s.pump(0.1)
        link = s.parties["e0"]
        for _ in range(20):
            s.pump(0.1)
            if s.parties["e0"] is not link:
                break
        listening, s.parties["e0"] = s.parties["e0"], link
        assert listening is not link, s.log_text()
        listening.sock.close()
        s.play("""
            e0 send STATE 0 21=x0:9;x1:9
            e0 wait 400
            e0 send RELEASE 1 31=16
            c0 expect ^BYE .*Call-ID: {1}
            """)
        assert "ERROR" not in s.log_text(), s.log_text()


def test_a_call_that_ended_before_its_answer_fails_and_is_not_retried():
    """A retry under the same id would establish a call whose first release is still due to the caller."""
    with Stage(settings=LONG_DEADLINE) as s:
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
def test_a_stopping_process_leaves_an_undeliverable_release_to_its_successor(caller_stays):
    """Guards against a release that the stopping process reads after its last caller has disconnected."""
    with Stage(settings=LONG_DEADLINE, engines=1) as s:
        s.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 .*{1}
            """)
        s.play("p send SIGTERM\nc0 expect ^end" if caller_stays else "c0 close\np send SIGTERM\ne0 wait 200")
        ending = s.parties["e0"]
        if ending.sock.fileno() >= 0:  # under load its close may be read together with the caller's
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


def test_a_stop_without_connected_callers_does_not_wait_for_established_calls():
    """The sooner the successor runs, the sooner the releases of these calls reach their callers."""
    with Stage(settings=LONG_DEADLINE, engines=1) as s:
        s.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 .*{1}
            c0 close
            c0 wait 100
            """)
        started_at = time.monotonic()
        s.play("p send SIGTERM\np expect 0")
        assert 0.7 < time.monotonic() - started_at < 2.0


def test_a_release_is_acknowledged_only_on_a_connection_that_it_was_sent_on():
    """Guards against releases that never reached their callers, as another caller answered in their place."""
    queue = ReleaseQueue()
    queue.add(0.0, "1", "77", 16, None)
    assert not queue.acknowledge("1", "bad")  # it waits for a connection
    assert queue.caller_active(1.0, "a")
    assert not queue.acknowledge("1", "bad")
    assert not queue.callers_acknowledge
    assert queue.connection_closed(2.0, "a") == []
    assert not queue.acknowledge("1", "a")  # it may have been unread as the connection ended
    assert [message.call for message in queue.caller_active(3.0, "b")] == ["1"]
    assert queue.acknowledge("1", "b")
    assert not queue.pending


def test_an_answer_on_another_connection_leaves_a_release_to_its_caller():
    """Guards against releases that a bad client acknowledged for the caller that they were sent to."""
    with Stage(engines=1) as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200\nc0 close")
        s.play(
            "c1 send OPTIONS\nc1 expect 200\ne0 send RELEASE 1 31=16\nc1 wait 100\nc1 send OK 1\nc1 wait 100"
        )
        s.play("c2 send INVITE 2\nc2 expect ^BYE .*Call-ID: {1}")
