"""Signals from the first instant on. What is asked while the program starts is kept until there is somebody
to carry it out: SIGHUP would end a process that has no handler yet, and one left out would be lost.
"""

from __future__ import annotations

import signal
from collections.abc import Callable

STOP, RELOAD = (signal.SIGTERM, signal.SIGINT), signal.SIGHUP
kept: list[int] = []  # what came while starting, each once


def keep() -> None:
    """From now on; called before anything is imported that takes time."""
    for number in (*STOP, RELOAD):
        signal.signal(number, lambda n, _: kept.append(n) if n not in kept else None)


def asked_to_stop() -> bool:
    return any(number in kept for number in STOP)


def carry_out(acts: dict[int, Callable[[], object]]) -> None:
    """From now on each of these signals calls its act. What was kept is carried out, a stop last."""
    for number, act in acts.items():
        signal.signal(number, lambda *_, act=act: act())
    for number in sorted(kept, key=lambda n: n in STOP):
        acts[number]()
    kept.clear()
