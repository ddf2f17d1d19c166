"""Ties a traffic record to a running switch and its file. Loaded only where the operator file asks for it."""

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

MAX_PENDING_INTERVALS = 8  # intervals that wait to be written; a disk slower than that loses the newest


def rejection_outcome(call: Call) -> str:
    """The outcome of a rejected call, as the record names it."""
    if Obstacle.NO_CIRCUIT in call.obstacles:
        return "blocked"
    if Obstacle.PROCESSOR_FULL in call.obstacles:
        return "processor_full"
    return "refused_before" if call.never_sent else "refused_other"


class Recording:
    """Fulfils `core.call.CallObserver`. Intervals are encoded and written by `in_thread`, one at a time."""

    def __init__(
        self,
        switch: Switch,
        writer: Writer,
        interval: float,
        slot: float,
        clock: Callable[[float], float],
        in_thread: Callable[..., Any],
        aims: dict[str, float],
    ) -> None:
        self.switch, self.writer, self.in_thread, self.aims = switch, writer, in_thread, aims
        self.table: Any = None
        self.pending: deque[dict[str, Any]] = deque()
        self.writing, self.failing = Lock(), False  # taken by writing threads alone, never by the loop
        self.record = TrafficRecord(interval, slot, clock, self._save, switch.wheel.now)
        self._tick()

    def _tick(self) -> None:
        now = self.switch.wheel.now
        self.record.roll_over(now)
        self.switch.wheel.call_at(max(now + 1.0, self.record.until), self._tick)

    # as a `core.call.CallObserver`

    def call_received(self, call: Call) -> None:
        """A call was taken in."""
        request = call.request
        self.record.attempt_received(
            call.received_at, request.destination_cell, request.call_class, request.redial
        )

    def call_settled(self, call: Call, result: CallResult) -> None:
        """A call is owed no answer any more."""
        now, request, cells = self.switch.wheel.now, call.request, self.switch.endpoints.cells
        delay = now - call.received_at
        outcome, carried_by = result.value, -1
        if result is CallResult.ESTABLISHED:
            outcome = "carried" if delay <= self.aims.get(request.call_class, delay) else "late"
            carried_by = cells.get(call.server or "", -1)
        elif result is CallResult.REJECTED:
            outcome = rejection_outcome(call)
        first_route = cells.get(call.first_server, request.destination_cell)
        call.record_slot = self.record.attempt_settled(
            now, first_route, carried_by, request.call_class, outcome, delay, request.redial
        )

    def call_ended(self, call: Call) -> None:
        """An established call has ended."""
        now = self.switch.wheel.now
        if (
            call.record_slot is not None and call.established_at is not None
        ):  # else it began before the record
            self.record.call_ended(now, call.record_slot, now - call.established_at)

    # to the file

    def _save(self, entry: dict[str, Any]) -> None:
        """In the loop: it must not wait for a disk, however long a write takes."""
        if len(self.pending) >= MAX_PENDING_INTERVALS:
            self.switch.counters[Count.RECORD_INTERVALS_LOST] += 1
            return
        self.switch.counters[Count.RECORD_INTERVALS] += 1
        self.pending.append(entry)
        self.in_thread(self._write)

    def _write(self) -> None:
        """In a thread of the reactor's pool, one at a time."""
        with self.writing:
            while self.pending:
                try:
                    self.writer.write(self.pending.popleft())
                    self.failing = False
                except (OSError, RecordFileError) as e:
                    self.switch.counters[Count.RECORD_INTERVALS_LOST] += 1
                    if not self.failing:
                        logger.warning("traffic record: not written, the softswitch serves on: {}", e)
                    self.failing = True

    # as a part of the softswitch (components.Component)

    def start(self) -> None:
        """Logs where entries go; the intervals are timed by the switch's events."""
        every = self.record.interval / 1000
        logger.info("traffic record: an entry each {:g} s to {}", every, self.writer.path)

    def reload(self, table: Any, settings: Any) -> str:
        """Takes the classes' objectives. Returns the table's name if a change of it needs a restart."""
        self.aims = {c.name: c.latency_objective for c in settings.classes}
        return "" if table == self.table else "record"

    def figures(self) -> dict[str, Any]:
        """Nothing: the record has a file of its own."""
        return {}

    def stop(self) -> None:
        """The interval under way is written as far as it got."""
        self.in_thread = lambda work: work()
        self.record.roll_over(self.switch.wheel.now, last=True)
        self.writer.close()


def make(table: Any, host: Host) -> Recording:
    """Makes the component from the operator file's table. An existing record is checked first."""
    path = host.folder / table.file
    try:
        if path.exists():
            read(path)  # another version's, or no record at all: told now, and left as it is
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
    aims = {c.name: c.latency_objective for c in host.settings.classes}
    made = Recording(
        host.switch,
        Writer(path, head, table.most_mb << 20),
        table.interval_s * 1000,
        table.slot_s * 1000,
        lambda now: now - host.offset,
        host.reactor.callInThread,
        aims,
    )
    made.table = table
    host.switch.observer = made
    return made
