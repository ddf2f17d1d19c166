"""Greedy peers of a real process with a memory limit: it stays within it and answers the usual caller."""

from tempfile import TemporaryDirectory

import pytest
from support import greedy_peers as greedy

LIMITS = ((32, 256), (64, 512), (192, 1024))  # MB and descriptors


def play_attack(memory_mb, sockets, attack, seconds=2.0, **play):
    with greedy.Play(memory_mb, sockets, **play) as play:
        play.run(0.5)
        attack(play)
        play.run(seconds)
        outcome = play.finish()
    assert outcome.alive, outcome.log
    assert "ERROR" not in outcome.log, outcome.log
    assert outcome.peak_mb <= memory_mb, outcome
    assert not outcome.unanswered, outcome
    return outcome


def thousands_of_setups(play):
    greedy.silent_open_setups(play, clients=100, count=200)


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
def test_hundreds_of_setups_with_long_headers_at_once(memory_mb, sockets):
    """Guards against a kill for memory by what open set-ups held (review/1)."""
    outcome = play_attack(memory_mb, sockets, lambda play: greedy.open_setups(play, greedy.FREE_HEADER))
    assert outcome.in_time, outcome


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
def test_thousands_of_ordinary_setups_at_once(memory_mb, sockets):
    """Guards against a limit on the number of calls that lies beyond the memory."""
    play_attack(memory_mb, sockets, thousands_of_setups)


def test_usual_callers_are_answered_in_time_beside_20000_setups_at_silent_engines():
    """Guards against a softswitch that is busy with greedy callers past the deadlines of others."""
    assert play_attack(64, 512, thousands_of_setups).in_time


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
def test_hundreds_of_setups_whose_answers_are_long(memory_mb, sockets):
    """Guards against a kill for memory by the headers that an answer repeats, before and after it is sent."""
    outcome = play_attack(
        memory_mb, sockets, lambda play: greedy.silent_open_setups(play, greedy.LONG_VIA, clients=16)
    )
    assert outcome.in_time, outcome


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
def test_long_answers_that_are_not_read(memory_mb, sockets):
    """Guards against a kill for memory by answers to callers that do not read."""
    outcome = play_attack(memory_mb, sockets, greedy.unread_answers, answer=greedy.LONG_DESCRIPTION)
    assert outcome.in_time, outcome


@pytest.mark.parametrize(("memory_mb", "sockets"), [*LIMITS, (32, 1024)])
@pytest.mark.parametrize("attack", [greedy.long_incomplete_messages, greedy.many_short_headers])
def test_incomplete_messages_on_all_connections(memory_mb, sockets, attack):
    """Guards against a kill for memory by messages that are never completed."""
    assert play_attack(memory_mb, sockets, attack).in_time


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
def test_setups_of_the_longest_patience_that_are_taken_back(memory_mb, sockets):
    """Guards against timers that stay when their calls are gone."""
    assert play_attack(memory_mb, sockets, greedy.cancelled_setups).in_time


def test_a_call_on_each_of_a_thousand_connections():
    """Guards against established calls that hold the connections of their set-ups."""
    assert play_attack(32, 256, greedy.calls_on_new_connections).in_time


def test_engines_that_release_unknown_calls_and_read_nothing():
    """Guards against what an engine can have the process write to it."""
    assert play_attack(32, 256, greedy.unknown_releases).in_time


def test_a_replacement_among_setups_with_long_answers():
    """Guards against two processes that each take the memory of one."""

    def attack(play):
        greedy.silent_open_setups(play, greedy.LONG_VIA, clients=16)
        play.run(1.0)
        play.start_second_process()
        play.run(2.0)
        greedy.open_setups(play, greedy.LONG_VIA, clients=16)

    with TemporaryDirectory() as directory:
        play_attack(64, 512, attack, env={"TMPDIR": directory})
