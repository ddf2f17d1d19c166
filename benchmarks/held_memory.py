"""Benchmark of the memory that greedy peers can make a softswitch process hold, on loopback sockets.

    python benchmarks/held_memory.py [ATTACK...]   # a row for each attack and memory limit; all by default
    python benchmarks/held_memory.py costs         # bytes of an open and of an established call

Memory is that of the process alone (RssAnon). All started processes are ended.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from support import greedy_peers as greedy

LIMITS = ((32, 256), (48, 512), (64, 512), (192, 1024))  # MB and descriptors
SECONDS = 5.0
ATTACKS = {
    "free headers": lambda play: greedy.open_setups(play, greedy.FREE_HEADER),
    "free headers, silent engines": lambda play: greedy.silent_open_setups(play, greedy.FREE_HEADER),
    "long Via, silent engines": lambda play: greedy.silent_open_setups(play, greedy.LONG_VIA),
    "descriptions, silent engines": lambda play: greedy.silent_open_setups(
        play, body=greedy.LONG_DESCRIPTION
    ),
    "20,000 of 16 KB": lambda play: greedy.open_setups(
        play, body=greedy.LONG_DESCRIPTION, clients=20, count=1_000
    ),
    "20,000 ordinary, silent engines": lambda play: greedy.silent_open_setups(play, clients=20, count=1_000),
    "incomplete messages": greedy.long_incomplete_messages,
    "incomplete, short headers": greedy.many_short_headers,
    "unread answers": greedy.unread_answers,
    "taken back": greedy.cancelled_setups,
}


def run_attack(name, memory_mb, sockets):
    """Plays one attack and prints its row."""
    with greedy.Play(memory_mb, sockets) as play:
        play.run(1.0)
        ATTACKS[name](play)
        play.run(SECONDS)
        outcome = play.finish()
    print(
        f"{name:<32} {memory_mb:>4} MB: idle {outcome.idle_mb:.1f}, peak {outcome.peak_mb:.1f} MB"
        f"{'' if outcome.peak_mb <= memory_mb else ' OVER'}{'' if outcome.alive else ' ENDED'}; usual calls: "
        f"{len(outcome.usual)}, {len(outcome.unanswered)} unanswered, {outcome.served} served, "
        f"slowest {outcome.slowest_ms:.0f} ms",
        flush=True,
    )


def measure_costs():
    """Prints the growth of the process's memory for each open and each established call."""
    clients, calls = 60, 60  # fewer calls than a connection may have open before its first one is established
    for attack, kind in ((greedy.silent_open_setups, "open"), (greedy.open_setups, "established")):
        with greedy.Play(1_000, 512) as play:
            play.run(2.0)
            play.start_crowd([greedy.GreedyClient(lambda: b"\r\n")] * clients)
            play.run(0.5)
            before = play.outcome.peak_mb
            attack(play, clients=clients, count=calls)
            play.run(3.0)
            grown = play.outcome.peak_mb - before
            print(f"{kind}: {grown * (1 << 20) / (clients * calls):.0f} bytes a call at the peak", flush=True)


if __name__ == "__main__":
    chosen = sys.argv[1:] or list(ATTACKS)
    if chosen == ["costs"]:
        measure_costs()
    else:
        for attack in chosen:
            for limit in LIMITS:
                run_attack(attack, *limit)
