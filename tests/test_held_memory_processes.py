"""Greedy peers of a real process with a memory limit: it stays within it and answers the usual caller."""

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


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
def test_hundreds_of_setups_with_long_headers_at_once(memory_mb, sockets):
    """Guards against a kill for memory by what open set-ups held (review/1)."""
    play_attack(memory_mb, sockets, lambda play: greedy.open_setups(play, greedy.FREE_HEADER))


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
def test_thousands_of_ordinary_setups_at_once(memory_mb, sockets):
    """Guards against a limit on the number of calls that lies beyond the memory."""
    play_attack(memory_mb, sockets, lambda play: greedy.silent_open_setups(play, clients=100, count=200))
