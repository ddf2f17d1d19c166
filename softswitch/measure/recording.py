"""Connects a traffic record to a running switch and its file.

Loaded only if the operator file has a `record` table.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from threading import Lock
from typing import Any

from loguru import logger

from softswitch.components import Host
from softswitch.core.call import Call, CallResult, Obstacle
from softswitch.core.counters import Count
from softswitch.core.switch import Switch
from softswitch.measure.record import TrafficRecord
from softswitch.measure.recordfile import RecordFileError, Writer, read

MAX_PENDING_INTERVALS = 8  # finished intervals that wait for the disk; further ones are dropped


def rejection_outcome(call: Call) -> str:
    """Returns the name of a rejected call's outcome in the record."""
    if Obstacle.NO_CIRCUIT in call.obstacles:
        return "blocked"
    if Obstacle.PROCESSOR_FULL in call.obstacles:
        return "processor_full"
    return "refused_before" if call.never_sent else "refused_other"


class Recording:
    """Records the calls of a switch, as its `core.call.CallObserver`.

    Intervals are encoded and written by `in_thread`, one at a time.
    """

    def __init__(
        self,
        switch: Switch,
        writer: Writer,
        interval: float,
        slot: float,
        clock: Callable[[float], float],
        in_thread: Callable[..., Any],
        objectives: dict[str, float],
    ) -> None:
        self.switch, self.writer, self.in_thread, self.objectives = switch, writer, in_thread, objectives
        self.table: Any = None
        self.pending: deque[dict[str, Any]] = deque()
        # `writing` admits one writing thread at a time; `failing` tells that the last write failed. Both are
        # used by the writing threads only, never by the event loop.
        self.writing, self.failing = Lock(), False
        self.record = TrafficRecord(interval, slot, clock, self._save, switch.wheel.now)
        self._tick()

    def _tick(self) -> None:
        """Ends the interval if it is over, and schedules the next call at its end."""
        now = self.switch.wheel.now
        self.record.roll_over(now)
        self.switch.wheel.call_at(max(now + 1.0, self.record.ends_at), self._tick)

    # core.call.CallObserver

    def call_received(self, call: Call) -> None:
        """Records the arrival of a call setup."""
        request = call.request
        self.record.attempt_received(
            call.received_at, request.destination_cell, request.call_class, request.redial
        )

    def call_settled(self, call: Call, result: CallResult) -> None:
        """Records the outcome of a call setup."""
        now, request, cells = self.switch.wheel.now, call.request, self.switch.endpoints.cells
        delay = now - call.received_at
        outcome, carried_by = result.value, -1
        if result is CallResult.ESTABLISHED:
            outcome = "carried" if delay <= self.objectives.get(request.call_class, delay) else "late"
            carried_by = cells.get(call.server or "", -1)
        elif result is CallResult.REJECTED:
            outcome = rejection_outcome(call)
        first_route = cells.get(call.first_server, request.destination_cell)
        call.record_slot = self.record.attempt_settled(
            now, first_route, carried_by, request.call_class, outcome, delay, request.redial
        )

    def call_ended(self, call: Call) -> None:
        """Records the end of an established call."""
        now = self.switch.wheel.now
        # A call that started before the record has no record slot.
        if call.record_slot is not None and call.established_at is not None:
            self.record.call_ended(now, call.record_slot, now - call.established_at)

    # writing to the file

    def _save(self, entry: dict[str, Any]) -> None:
        """Queues an entry. Runs in the event loop, and so must not wait for the disk."""
        if len(self.pending) >= MAX_PENDING_INTERVALS:
            self.switch.counters[Count.RECORD_INTERVALS_LOST] += 1
            return
        self.switch.counters[Count.RECORD_INTERVALS] += 1
        self.pending.append(entry)
        self.in_thread(self._write)

    def _write(self) -> None:
        """Writes the queued entries. Runs in the thread pool of the reactor, one at a time."""
        with self.writing:
            while self.pending:
                try:
                    self.writer.write(self.pending.popleft())
                    self.failing = False
                except (OSError, RecordFileError) as e:
                    self.switch.counters[Count.RECORD_INTERVALS_LOST] += 1
                    if not self.failing:
                        logger.warning("traffic record: not written, the softswitch keeps serving: {}", e)
                    self.failing = True

    # components.Component

    def start(self) -> None:
        """Logs the file; the timer wheel of the switch times the intervals."""
        interval_s = self.record.interval / 1000
        logger.info("traffic record: an entry every {:g} s to {}", interval_s, self.writer.path)

    def reload(self, table: Any, settings: Any) -> str:
        """Applies the latency objectives. Returns the table's name if it changed, which needs a restart."""
        self.objectives = {c.name: c.latency_objective for c in settings.classes}
        return "" if table == self.table else "record"

    def figures(self) -> dict[str, Any]:
        """Returns no figures, since the record has its own file."""
        return {}

    def stop(self) -> None:
        """Writes the current, incomplete interval and closes the file."""
        self.in_thread = lambda work: work()
        self.record.roll_over(self.switch.wheel.now, last=True)
        self.writer.close()


def make(table: Any, host: Host) -> Recording:
    """Makes the component from its table of the operator file. An existing record is checked first."""
    path = host.folder / table.file
    try:
        if path.exists():
            read(path)  # a file of another type or version is reported now, and not modified
    except RecordFileError as e:
        raise ValueError(str(e)) from None
    path.parent.mkdir(parents=True, exist_ok=True)
    head = {
        "name": host.name,
        "interval_ms": table.interval_s * 1000,
        "slot_ms": table.slot_s * 1000,
        "classes": [c.name for c in host.settings.classes],
        "since": time.time() * 1000.0,
    }
    objectives = {c.name: c.latency_objective for c in host.settings.classes}
    recording = Recording(
        host.switch,
        Writer(path, head, table.most_mb << 20),
        table.interval_s * 1000,
        table.slot_s * 1000,
        lambda now: now - host.unix_offset,
        host.reactor.callInThread,
        objectives,
    )
    recording.table = table
    host.switch.observer = recording
    return recording
