"""Which connection can end a call: only its own until the call is established, any of its front then."""

import json

import pytest
from support.harness import Stage
from support.switch_bench import CONNECTION, A, Bench

from softswitch.core.call import CallState, SetupRequest

ONE = f"{1:016x}"
OTHER = object()  # another connection of the same front
SETUP = "c0 send INVITE 1\ne0 expect SET_UP {1}\n"
ANSWER = "e0 send ANSWER 1 33=d\nc0 expect 200 .*CSeq: 1 INVITE\n"
PLACE = "w0 send place 1\nw0 expect setting_up\ne0 expect SET_UP {1}\n"
STANDS = 'e0 send ANSWER 1 33=d\nw0 expect "event":"stands"\n'


def play(scenario, **stage):
    with Stage(engines=1, **stage) as s:
        s.play(scenario)
        assert s.program.poll() is None, s.log_text()
        assert "ERROR" not in s.log_text(), s.log_text()


# core


def accepted(b):
    b.switch.accept_call(SetupRequest(ONE, "plain", "77", 3000.0), b, CONNECTION)


def attempting(b):
    b.call()


def between_attempts(b):
    b.call()
    b.switch.attempt_disconnected(A, ONE)


@pytest.mark.parametrize(
    ("prepare", "state"),
    [
        (accepted, CallState.ACCEPTED),
        (attempting, CallState.ATTEMPTING),
        (between_attempts, CallState.ROUTING),
    ],
)
def test_an_open_call_is_ended_by_its_own_connection_alone(prepare, state):
    """Guards against requests left without an answer, in each state of an open call."""
    b = Bench()
    prepare(b)
    assert b.switch.calls[ONE].state is state
    assert not b.switch.abandon_call(ONE, b, OTHER)
    assert not b.switch.release_call(ONE, 16, b, OTHER)
    assert not b.switch.release_call(ONE, 16, b)
    assert b.switch.calls[ONE].state is state
    assert not b.records_of("cancel_setup")
    assert b.switch.counters["not given up: another connection's"] == 3
    assert b.switch.release_call(ONE, 16, b, CONNECTION)
    assert not b.switch.calls


def test_an_established_call_is_released_on_any_connection_and_abandoned_on_its_own():
    b = Bench()
    for n in (1, 2):
        b.call(n)
        b.switch.answered_by_engine(A, f"{n:016x}", b"d")
    assert not b.switch.abandon_call(ONE, b, OTHER)
    assert b.switch.release_call(ONE, 16, b, OTHER)
    assert b.switch.abandon_call(f"{2:016x}", b, CONNECTION)
    assert b.records_of("send_release") == [("send_release", A, f"{n:016x}", 16) for n in (1, 2)]


# SIP


def test_the_call_history_names_the_connection_that_asked_for_the_end(tmp_path):
    operator_file = tmp_path / "o.star"
    operator_file.write_text('calls = {"keep": 9}\n')
    with Stage(engines=1, env={"SOFTSWITCH_OPERATOR": str(operator_file)}) as s:
        s.play(SETUP + "c1 send CANCEL 1\nc1 expect 481\n" + ANSWER + "m0 send GET /v1/calls/{1}")
        events = json.loads(s.next("m0").partition(" - ")[2])["life"]
    places = {event["what"]: event.get("where", "") for event in events}
    assert places["caller sent CANCEL"] != places["answered 200"]
    assert "not given up: asked on another connection" in places
    assert "given up by its caller" not in places


def test_a_cancel_on_another_connection_leaves_an_open_call_to_its_caller():
    """Guards against requests left without an answer (review case 2, 20 of 20)."""
    play(
        SETUP + "c1 send INVITE 1 body=other\nc1 expect 482 .*CSeq: 1 INVITE\n"
        "c1 send CANCEL 1\nc1 expect 481 .*CANCEL\ne0 expect nothing 100\n" + ANSWER
    )


def test_a_bye_on_another_connection_leaves_an_open_call_to_its_caller():
    """Guards against requests left without an answer: a BYE took the same way as a CANCEL."""
    play(SETUP + "c1 send BYE 1\nc1 expect 481 .*BYE\ne0 expect nothing 100\n" + ANSWER)


@pytest.mark.parametrize("method", ["CANCEL", "BYE"])
def test_a_call_that_waits_out_its_retry_delay_is_left_to_its_caller(method):
    """Guards against requests left without an answer between two attempts."""
    play(
        SETUP + "e0 send RELEASE 1 31=41\n"
        f"c1 send {method} 1\nc1 expect 481 .*{method}\ne0 expect SET_UP {{1}}\n" + ANSWER
    )


def test_a_cancel_on_another_connection_that_crosses_the_answer_does_not_end_the_call():
    """Guards against established calls that are cut by a CANCEL sent while the call was open."""
    play(
        SETUP
        + ANSWER
        + "c1 send CANCEL 1\nc1 expect 481 .*CANCEL\ne0 expect nothing 100\nc0 expect nothing 100"
    )


@pytest.mark.parametrize("method", ["CANCEL", "BYE"])
def test_the_callers_own_connection_ends_an_open_call(method):
    play(
        SETUP + f"c1 send {method} 1\nc1 expect 481\nc0 send {method} 1\nc0 expect 200 .*{method}\n"
        "e0 expect RELEASE {1} 31=16\ne0 send ANSWER 1 33=late\nc0 expect nothing 200"
    )


def test_the_end_of_the_callers_own_connection_ends_an_open_call():
    play(
        SETUP
        + "c1 send CANCEL 1\nc1 expect 481\nc0 close\ne0 expect RELEASE {1} 31=16\nc1 expect nothing 100"
    )


def test_the_callers_own_cancel_that_crosses_the_answer_releases_the_call():
    play(
        SETUP + ANSWER + "c0 send CANCEL 1\nc0 expect ^BYE .*Call-ID: {1}\nc0 expect 200 .*CANCEL\n"
        "e0 expect RELEASE {1} 31=16"
    )


def test_an_established_call_is_released_on_any_connection():
    play(SETUP + ANSWER + "c1 send BYE 1\nc1 expect 200 .*BYE\ne0 expect RELEASE {1} 31=16")


def test_the_end_of_a_connection_that_repeated_the_id_leaves_the_call_to_its_caller():
    play(SETUP + "c1 send INVITE 1 body=other\nc1 expect 482\nc1 close\ne0 expect nothing 100\n" + ANSWER)


# WebSocket


def test_a_release_on_another_websocket_leaves_an_open_call_to_its_client():
    """Guards against calls that a client lost to another client, before they were established."""
    play(
        PLACE + 'w1 send watch 1\nw1 expect setting_up\nw1 send release 1\nw1 expect "code":"unknown"\n'
        "e0 expect nothing 100\n" + STANDS + 'w1 expect "event":"stands"'
    )


def test_the_clients_own_websocket_ends_an_open_call():
    play(
        PLACE + 'w1 send release 1\nw1 expect "code":"unknown"\nw0 send release 1\n'
        'w0 expect "code":"given_up"\ne0 expect RELEASE {1} 31=16'
    )


def test_the_end_of_a_watching_websocket_leaves_an_open_call_to_its_client():
    play(PLACE + "w1 send watch 1\nw1 expect setting_up\nw1 close\ne0 expect nothing 100\n" + STANDS)


def test_an_established_call_is_released_on_any_websocket():
    play(
        PLACE + STANDS + "w1 send release 1\ne0 expect RELEASE {1} 31=16\n"
        'w0 expect "event":"released","cause":16'
    )


@pytest.mark.parametrize("method", ["CANCEL", "BYE"])
def test_a_sip_request_never_ends_a_call_placed_over_a_websocket(method):
    request = f"c0 send {method} 1\nc0 expect 481 .*{method}\ne0 expect nothing 100\n"
    play(PLACE + request + STANDS + request)
