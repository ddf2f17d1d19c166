"""Signals from the first instant on.

What is asked while the program starts is kept until there is somebody to carry it out: SIGHUP would end a
process that has no handler yet, and one left out would be lost.
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP

_pending: list[int] = []  # what came while starting, each once


def _keep(number: int, _frame: FrameType | None) -> None:
    if number not in _pending:
        _pending.append(number)


def keep() -> None:
    """Keeps signals from now on; called before anything is imported that takes time."""
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, _keep)


def stop_requested() -> bool:
    """Whether a stop was asked for since `keep`."""
    return any(number in _pending for number in STOP_SIGNALS)


def _running(action: Callable[[], object]) -> Callable[[int, FrameType | None], None]:
    def handler(_number: int, _frame: FrameType | None) -> None:
        action()

    return handler


def handle(actions: Mapping[int, Callable[[], object]]) -> None:
    """From now on each of these signals runs its action. What was kept is carried out, a stop last."""
    for number, action in actions.items():
        signal.signal(number, _running(action))
    for number in sorted(_pending, key=lambda number: number in STOP_SIGNALS):
        actions[number]()
    _pending.clear()
