"""Turns of the event loop are divided among the connections of all fronts."""

import pytest
from support.harness import Stage
from support.switch_bench import Bench
from support.unfair_clients import FRAGMENTS, KINDS, UnfairPlay

from softswitch.core.turn_scheduler import MIN_SLICE, TURN_BUDGET


class Connection:
    """A deferred connection with pieces of work that take a ms each."""

    def __init__(self, bench, name, work, log):
        self.bench, self.name, self.work, self.log = bench, name, work, log

    def resume_deferred(self):
        turns = self.bench.switch.turns
        while self.work:
            self.work -= 1
            self.bench.now += 1.0
            self.log.append(self.name)
            if turns.is_over_budget and self.work:
                turns.defer(self)
                return


def run_turns(bench, count):
    for _ in range(count):
        bench.wheel.read_clock()
        bench.wheel.run_due()
        bench.now += bench.tick


def test_many_greedy_connections_share_each_turn():
    """Guards against connections that each take a whole turn, while all others wait behind them."""
    b, log = Bench(), []
    for n in range(20):
        b.switch.turns.defer(Connection(b, n, 1_000, log))
    run_turns(b, 2)
    first_slices = log[: int(TURN_BUDGET / 2)]
    assert len(set(first_slices)) >= (TURN_BUDGET / 2) // (MIN_SLICE + 1)
    run_turns(b, 10)
    assert set(log) == set(range(20))


def test_a_single_greedy_connection_has_the_budget_for_itself():
    b, log = Bench(), []
    b.switch.turns.defer(Connection(b, 0, 30, log))
    run_turns(b, 2)
    assert len(log) == 30


def test_a_connection_that_has_ended_gets_no_turn():
    b, log = Bench(), []
    connection = Connection(b, 0, 30, log)
    b.switch.turns.defer(connection)
    b.switch.turns.forget(connection)
    run_turns(b, 2)
    assert log == []


@pytest.mark.parametrize("kind", ["web pings", "web one-byte fragments"])
@pytest.mark.parametrize(("memory_mb", "sockets"), [(32, 256), (192, 1_024)])
def test_usual_clients_are_answered_beside_websockets_at_full_speed(kind, memory_mb, sockets):
    """Guards against one front's clients that hold up those of all fronts."""
    with UnfairPlay(memory_mb, sockets) as play:
        play.run(0.6)
        play.start(KINDS[kind], 3.0)
        play.run(3.0)
        play.finish()
    assert not play.faults(), play.faults()


def test_a_message_in_thousands_of_fragments_is_read_completely():
    """Guards against events that are lost or repeated between two turns."""
    with Stage(engines=1) as s:
        s.play("w0 send watch 1\nw0 expect unknown")
        s.parties["w0"].sock.sendall(FRAGMENTS[: 7 * 20_001] + b"\x80\x80" + bytes(4))
        s.play('w0 expect "code":"bad_json"\nw0 send watch 1\nw0 expect unknown')
