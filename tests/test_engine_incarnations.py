"""Calls belong to a process of an engine: which ones are lost when the endpoint list shows its end."""

import time

import pytest
from support.endpoint_events import DRAINING, GONE, READY, complete_list, endpoint_record, list_changes
from support.harness import Stage
from support.switch_bench import A, B, Bench

from softswitch import interface as i
from softswitch.core.endpoint_directory import IncarnationEnded
from softswitch.net.displaced_endpoints import displaced_endpoints

ONE, TWO = f"{1:016x}", f"{2:016x}"
READY_STATE, REMOVED = i.EndpointState.READY, i.EndpointState.REMOVED
ESTABLISHED = "c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK.*INVITE\n"


class EngineBench(Bench):
    """A switch whose engines have one connection each, with a number that the test sets."""

    def __init__(self):
        self.open_connection, self.ended = 1, []
        super().__init__()

    def send_setup(self, server, call):
        """Records the setup, which is written on the open connection."""
        self.records.append(("send_setup", server))
        self.switch.attempt_written(call.id, self.open_connection)

    def incarnation_ended(self, ended):
        """Records the event."""
        self.ended.append(ended)
        return self.open_connection

    def establish(self, n):
        self.call(n, destination_cell=0)
        self.switch.answered_by_engine(A, f"{n:016x}", b"d")

    @property
    def released(self):
        return [record[1] for record in self.records_of("call_released")]


def other_engine(server=B):
    return i.Endpoint(server, 1, READY_STATE)


REMOVALS = {
    "by name": (i.UpdateKind.CHANGES, (i.Endpoint(A, 0, REMOVED),)),
    "by a complete list": (i.UpdateKind.COMPLETE, (other_engine(),)),
    "by name in a complete list": (i.UpdateKind.COMPLETE, (i.Endpoint(A, 0, REMOVED), other_engine())),
    "by a complete list that may be old": (i.UpdateKind.STALE, (other_engine(),)),
}


@pytest.mark.parametrize("removal", REMOVALS)
def test_each_way_of_removal_is_the_same_event_and_releases_the_calls_once(removal):
    """Guards against calls that stand for ever at an engine that a complete list omits (review/8)."""
    b = EngineBench()
    b.establish(1)
    b.open_connection = 0
    kind, endpoints = REMOVALS[removal]
    for _ in range(2):
        b.list_changed(*endpoints, kind=kind)
    assert b.ended == [IncarnationEnded(A)]
    assert b.released == [ONE]
    assert not b.switch.calls


def test_calls_whose_connection_is_still_open_are_retained():
    """Guards against calls cut at a new process that answers at the address of a removed engine."""
    b = EngineBench()
    b.establish(1)
    b.open_connection = 2
    b.establish(2)
    b.list_changed(i.Endpoint(A, 0, REMOVED))
    assert b.released == [ONE]
    b.switch.connection_to_removed_engine_ended(A, 1)
    assert b.released == [ONE]
    b.switch.connection_to_removed_engine_ended(A, 2)
    assert b.released == [ONE, TWO]


def test_a_restart_releases_the_calls_of_the_process_before_alone():
    """Guards against the calls of a new process being taken for those of the one before."""
    b = EngineBench()
    b.establish(1)
    b.run(100.0)
    restarted_at = b.now
    b.run(100.0)
    b.open_connection = 2
    b.establish(2)
    b.list_changed(i.Endpoint(A, 0, READY_STATE, started_at=restarted_at))
    assert b.ended == [IncarnationEnded(A, restarted_at)]
    assert b.released == [ONE]


def test_calls_lost_with_a_replaced_process_are_no_failures_of_the_new_one():
    b = EngineBench()
    b.establish(1)
    b.run(100.0)
    b.open_connection = 0
    b.list_changed(i.Endpoint(A, 0, READY_STATE, started_at=b.now))
    assert b.released == [ONE]
    assert b.switch.controller.gates[A].failures == 0


def reopened_at_another_process(stage):
    """The connection to e0 ends, and the next one is accepted at once, as by a new process there."""
    stage.play("b expect after 3\ne0 close\nb wait 300")
    assert "e0" in stage.parties


@pytest.mark.parametrize("make_event", [list_changes, complete_list])
def test_calls_are_released_although_another_process_answers_at_the_address(make_event):
    """Guards against calls that are never released, as a new engine has the address (review/8)."""
    with Stage(engines=2) as s:
        s.play(ESTABLISHED)
        reopened_at_another_process(s)
        new, other = endpoint_record(s, 7, "e0", READY, 0), endpoint_record(s, 1, "e1", READY, 1)
        removed = (endpoint_record(s, 0, "e0", GONE, 0),) if make_event is list_changes else ()
        s.play(make_event(4, *removed, new, other) + "c0 expect BYE.*{1}.*cause=41")


def test_no_connection_is_opened_to_the_address_of_a_removed_engine():
    """Guards against connections that are held to a new engine in the name of the old one (review/8)."""
    with Stage(engines=2) as s:
        s.play(ESTABLISHED + "b expect after 3\n" + list_changes(4, endpoint_record(s, 0, "e0", GONE, 0)))
        s.parties.pop("e0").sock.close()
        s.play("c0 expect BYE.*{1}.*cause=41\nb wait 1000")
        assert "e0" not in s.parties


def test_a_call_at_a_living_process_goes_on_until_that_releases_it():
    """Guards against calls that stand and whose callers are told that they are over."""
    with Stage(engines=1) as s:
        s.play(ESTABLISHED + "b expect after 3\n" + list_changes(4, endpoint_record(s, 0, "e0", GONE, 0)))
        s.play("c0 expect nothing 500\ne0 send RELEASE 1 31=16\nc0 expect BYE.*{1}.*cause=16\ne0 expect end")


def test_a_removed_engine_that_falls_silent_has_its_calls_released_in_time():
    """Guards against calls at a machine that vanished: its connections stay open."""
    with Stage(engines=1) as s:
        s.play(ESTABLISHED + "b expect after 3\n" + list_changes(4, endpoint_record(s, 0, "e0", GONE, 0)))
        removed_at = time.monotonic()
        s.play("c0 expect BYE.*{1}.*cause=41")
        assert time.monotonic() - removed_at < 8.0


def test_a_removed_engine_that_is_listed_again_gets_calls_again():
    with Stage(engines=1) as s:
        s.play(ESTABLISHED + "b expect after 3\n" + list_changes(4, endpoint_record(s, 0, "e0", GONE, 0)))
        s.play(list_changes(5, endpoint_record(s, 0, "e0", READY, 0)))
        s.play(
            "b wait 50\nc0 send INVITE 2\ne0 expect SET_UP {2}\ne0 send ANSWER 2 33=e\nc0 expect 200 .*{2}"
        )
        s.play("e0 send RELEASE 1 31=16\nc0 expect BYE.*{1}.*cause=16")


def test_the_connection_to_a_replaced_process_is_given_up():
    """Guards against set-ups that wait at a process that is gone, until its silence is noticed."""
    with Stage(engines=1) as s:
        s.play("b expect after 3\nc0 send INVITE 1\ne0 expect SET_UP {1}")
        old = s.parties.pop("e0")
        started = endpoint_record(s, 0, "e0", READY, 0, born_ms=int(1000 * time.time()))
        s.play(
            list_changes(4, started) + "e0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK.*{1}"
        )
        old.sock.close()


# another engine at the address


def entry(server, started_at=0.0, state=READY_STATE):
    return i.Endpoint(server, 0, state, started_at)


X, Y = ("127.0.0.1", 1), ("127.0.0.1", 2)


@pytest.mark.parametrize(
    ("listed", "addresses", "displaced"),
    [
        ([entry(A), entry(B, 5.0)], {A: X, B: X}, [A]),
        ([entry(A, 5.0), entry(B)], {A: X, B: X}, [B]),
        ([entry(A, 4.0), entry(B, 5.0)], {A: X, B: X}, [A]),
        ([entry(A, -4.0), entry(B, 5.0)], {A: X, B: X}, [A]),  # a start before the clock's origin
        ([entry(A), entry(B)], {A: X, B: X}, []),  # nothing tells which one is right
        ([entry(A), entry(B, 5.0)], {A: X, B: Y}, []),
        ([entry(A), entry(B, 5.0)], {B: X}, []),
        ([], {A: X}, []),
    ],
)
def test_the_engine_that_started_last_has_the_address(listed, addresses, displaced):
    removed = displaced_endpoints({e.server: e for e in listed}, addresses)
    assert [e.server for e in removed] == displaced
    assert all(e.state is REMOVED for e in removed)


def test_an_engine_whose_address_a_new_one_has_has_ended_before_the_list_says_so():
    """Guards against work for an engine that is gone, sent to the one that has its address (picture d)."""
    with Stage(engines=2) as s:
        s.play(ESTABLISHED)
        reopened_at_another_process(s)
        new = endpoint_record(s, 7, "e0", READY, 0, born_ms=int(1000 * time.time()))
        s.play(list_changes(4, new) + "c0 expect BYE.*{1}.*cause=41")
        assert "s-00000000 has ended, its address belongs to another engine" in s.log_text()
        s.play("e0 wait 300")  # the link of the old engine is closed
        connection = s.parties["e0"]
        s.play(list_changes(5, endpoint_record(s, 0, "e0", DRAINING, 0)) + "b wait 50")
        assert s.parties["e0"] is connection  # none was opened in the old one's name
        s.play(list_changes(6, endpoint_record(s, 0, "e0", GONE, 0)) + "b wait 50")
        s.play("c0 send INVITE 2\ne0 expect SET_UP {2}\ne0 send ANSWER 2 33=d\nc0 expect 200 .*{2}")
        s.play("c0 expect nothing 300")
