"""Signal handling from the start of the process.

Signals received during startup are recorded, and handled once the softswitch runs. Otherwise SIGHUP would
terminate a process that has no handler yet, and an ignored signal would be lost.
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP

_pending: list[int] = []  # signals received during startup, each once


def _record(number: int, _frame: FrameType | None) -> None:
    if number not in _pending:
        _pending.append(number)


def start_recording() -> None:
    """Starts recording signals; called before any import that takes time."""
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, _record)


def stop_requested() -> bool:
    """Whether a stop signal was recorded since `start_recording`."""
    return any(number in _pending for number in STOP_SIGNALS)


def _handler_for(action: Callable[[], object]) -> Callable[[int, FrameType | None], None]:
    def handler(_number: int, _frame: FrameType | None) -> None:
        action()

    return handler


def handle(actions: Mapping[int, Callable[[], object]]) -> None:
    """Installs a handler for each signal, and runs the actions of the recorded signals, stop signals last."""
    for number, action in actions.items():
        signal.signal(number, _handler_for(action))
    for number in sorted(_pending, key=lambda number: number in STOP_SIGNALS):
        actions[number]()
    _pending.clear()
