"""Callers that leave while what they wrote is unread: none of it is set up, and the rest is carried out."""

import time

import pytest
from support.harness import Stage, call_id
from support.paused import Paused
from support.sip_bench import invite
from support.unfair_clients import place

SETUPS = 1_200  # more than is read at once


def setups_received(stage, name="e0"):
    return [m for m in stage.parties[name].received if m.startswith("SET_UP")]


@pytest.mark.parametrize("pause", [0.0, 0.3])
def test_sip_setups_that_are_unread_when_their_caller_leaves_are_never_sent(pause):
    """Guards against requests that are sent on after their client has closed its connection."""
    with Stage(engines=1) as s:
        s.play("c0 send OPTIONS\nc0 expect 200\nc1 send OPTIONS\nc1 expect 200")
        with Paused(s):
            s.parties["c0"].sock.sendall(b"".join(invite(n, call_class="x") for n in range(10, 10 + SETUPS)))
            s.parties.pop("c0").sock.close()
            time.sleep(pause)
        s.play("c1 wait 500\nc1 send INVITE 1\ne0 wait 300")
        assert [m.split()[1] for m in setups_received(s)] == [call_id(1)]


def test_websocket_setups_that_are_unread_when_their_client_leaves_are_never_sent():
    """Guards against requests that are sent on after their client has closed its connection."""
    with Stage(engines=1, control="most_open = 5000\n") as s:
        s.play("c1 send OPTIONS\nc1 expect 200\nw0 send watch 1\nw0 expect unknown")
        with Paused(s):
            s.parties["w0"].sock.sendall(b"".join(place(n) for n in range(10, 10 + SETUPS)))
            s.parties.pop("w0").sock.close()
        s.play("c1 wait 500\nc1 send INVITE 1\ne0 wait 300")
        assert [m.split()[1] for m in setups_received(s)] == [call_id(1)]


def test_a_release_that_is_unread_when_its_caller_leaves_is_carried_out():
    with Stage(engines=1) as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK")
        with Paused(s):
            s.play("c0 send INVITE 2\nc0 send BYE 1")
            s.parties.pop("c0").sock.close()
        s.play("e0 expect RELEASE {1} 31=16\ne0 expect nothing 100")


def test_a_call_is_given_up_as_soon_as_its_caller_has_left_behind_unread_data():
    with Stage(engines=1) as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}")
        with Paused(s):
            s.parties["c0"].sock.sendall(b"\r\n" * 200_000)
            s.parties.pop("c0").sock.close()
        s.play("e0 expect RELEASE {1} 31=16")
