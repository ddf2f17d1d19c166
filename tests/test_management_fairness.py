"""A management request is answered although greedy clients take all connections of the address."""

import socket
from contextlib import suppress

import pytest
from support.harness import Stage
from support.paused import Paused
from support.unfair_clients import KINDS, UnfairPlay

CROWD = 60  # connections; fewer than wait to be accepted


@pytest.mark.parametrize("data", [b"", b"GET /v1/readyz HTTP/1.1\r\nX: "], ids=["silent", "cut short"])
def test_a_request_is_answered_although_a_crowd_connects_right_behind_it(data):
    """Guards against a request that is displaced before it is read."""
    with Stage(engines=1) as s:
        s.play("m0 send GET /v1/readyz\nm0 expect 200")
        with Paused(s):
            s.play("m1 send GET /v1/readyz")
            crowd = [socket.create_connection(s.mgmt) for _ in range(CROWD)]
            for sock in crowd:
                sock.sendall(data)
        s.play("m1 expect 200 - .*ready")
        for sock in crowd:
            sock.close()


def test_all_requests_of_a_crowd_are_answered():
    """Guards against responses that are lost as their connections make room for others."""
    with Stage(engines=1) as s:
        s.play("m0 send GET /v1/readyz\nm0 expect 200")
        with Paused(s):
            crowd = [socket.create_connection(s.mgmt) for _ in range(CROWD)]
            for sock in crowd:
                sock.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: m\r\n\r\n")
        answers = []
        for sock in crowd:
            sock.settimeout(5.0)
            with suppress(OSError):
                answers.append(sock.recv(4_096)[:12])
            sock.close()
        assert answers == [b"HTTP/1.1 200"] * CROWD


@pytest.mark.parametrize("kind", ["mgmt stops half way", "mgmt new paths"])
def test_usual_clients_are_answered_beside_a_crowd_at_the_management_address(kind):
    with UnfairPlay(32, 256) as play:
        play.run(0.6)
        play.start(KINDS[kind], 3.0)
        play.run(3.0)
        play.finish()
    assert not play.faults(), play.faults()
