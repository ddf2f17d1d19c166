"""Plays of greedy clients beside usual ones, on each front and memory limit.

    python benchmarks/unfair_clients.py [--plays K] [--mb 32,64] [KIND...]   # parts of names; all by default

A row for each kind and limit: how many of the plays show a fault, peak memory of the process alone (RssAnon),
and the slowest answer and the rejected requests of the usual client on each front.
"""

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from support import unfair_clients as unfair

DESCRIPTORS = {32: 256, 48: 512, 64: 512, 192: 1_024}  # by memory in MB
SECONDS = 4.0


def play(kind, memory_mb):
    """Plays one kind of greedy client."""
    with unfair.UnfairPlay(memory_mb, DESCRIPTORS[memory_mb]) as run:
        run.run(0.6)
        run.start(unfair.KINDS[kind], SECONDS)
        run.run(SECONDS)
        run.finish()
    return run


def row(kind, memory_mb, plays):
    """Plays one kind several times and prints its row."""
    runs = [play(kind, memory_mb) for _ in range(plays)]
    failed = [run for run in runs if run.faults()]
    slowest = {front: max(run.usual[front].slowest_ms for run in runs) for front in ("sip", "web", "mgmt")}
    rejected = {front: sum(run.rejected()[front] for run in runs) for front in ("sip", "web", "mgmt")}
    columns = (
        f"{kind:<36} {memory_mb:>4} MB: {len(failed)} of {plays} failed",
        f"peak {max(r.peak_mb for r in runs):.1f} MB",
        ", ".join(f"{front} {slowest[front]:.0f} ms" for front in slowest),
        "rejected " + "/".join(str(count) for count in rejected.values()),
        f"of {sum(len(r.usual['sip'].answers) for r in runs)}",
        f"own stall {max(r.own_stall_ms for r in runs):.0f} ms",
        *(str(run.faults()) for run in failed[:1]),
    )
    print("; ".join(columns), flush=True)


def main():
    """Reads the arguments and prints the rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--mb", default="32,64,192")
    parser.add_argument("kinds", nargs="*")
    arguments = parser.parse_args()
    for kind in unfair.KINDS:
        if not arguments.kinds or any(part in kind for part in arguments.kinds):
            for memory_mb in map(int, arguments.mb.split(",")):
                row(kind, memory_mb, arguments.plays)


if __name__ == "__main__":
    main()
