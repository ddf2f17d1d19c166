"""The history of one softswitch's processes and connections, from which the checker derives exemptions.

This module uses no sockets and no clock: callers pass the times, in seconds. An exemption applies to one
process or one call, never to all of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

# s after an event of the watch server; by then every process counts as notified, even after a silence.
MAX_NOTIFICATION_DELAY = 7.0
# s after a replacement is ready; then both processes are expected to act on the watch server's events.
REPLACEMENT_DELAY = 2.0
MAX_OUTAGES = 256  # of the callers' connections, retained


@dataclass(slots=True)
class ProcessTimes:
    """When a process started and became ready."""

    started_at: float
    replaces: bool = False  # another process of the softswitch was running when it started
    ready_at: float = inf


@dataclass(slots=True)
class Notification:
    """When a process counts as notified of an event of the watch server."""

    at: float
    exempt: bool = False  # later than the event: checks that depend on it have a wider limit


@dataclass(slots=True)
class SoftswitchHistory:
    """Processes, watch server silences and caller outages of one softswitch."""

    processes: dict[str, ProcessTimes] = field(default_factory=dict)
    silences: list[tuple[float, float]] = field(default_factory=list)  # of its watch server: (start, end)
    # Times without a connected caller: (start, end). The last one may be open.
    outages: list[tuple[float, float]] = field(default_factory=lambda: [(-inf, inf)])

    def process_started(self, at: float, process: str, replaces: bool = False) -> None:
        """Records a process start. The process starts with the engine list of this time."""
        self.processes[process] = ProcessTimes(at, replaces)

    def process_ready(self, at: float, process: str) -> None:
        """Records that a process accepts callers and receives the watch server's events."""
        if process in self.processes:
            self.processes[process].ready_at = at

    def notified_at(self, process: str, event_at: float) -> Notification:
        """Returns when the process counts as notified of an event of the watch server at `event_at`."""
        times = self.processes.get(process)
        if times is not None and event_at <= times.started_at:
            return Notification(times.started_at)
        received_at = self._event_received_at(times, event_at)
        for start, end in self.silences:
            if start <= received_at < end:  # connected, but the watch server sends nothing
                received_at = end
        return Notification(min(received_at, event_at + MAX_NOTIFICATION_DELAY), received_at > event_at)

    def _event_received_at(self, times: ProcessTimes | None, event_at: float) -> float:
        """Returns when the process can receive the event, without regard to silences.

        During a replacement, either process may receive it only when REPLACEMENT_DELAY has passed.
        """
        if times is not None and event_at < times.ready_at:
            return times.ready_at + (REPLACEMENT_DELAY if times.replaces else 0.0)
        for successor in self.processes.values():
            if (
                successor.replaces
                and successor.started_at <= event_at < successor.ready_at + REPLACEMENT_DELAY
            ):
                return successor.ready_at + REPLACEMENT_DELAY
        return event_at

    def caller_connected(self, at: float) -> None:
        """Records that a caller has sent a setup on a new connection to the softswitch."""
        start, end = self.outages[-1]
        if end == inf:
            self.outages[-1] = (start, at)

    def caller_disconnected(self, at: float) -> None:
        """Records that no caller is connected any more."""
        if self.outages[-1][1] != inf:
            self.outages.append((at, inf))
            del self.outages[:-MAX_OUTAGES]

    def callers_connected(self, since: float, until: float) -> bool:
        """Returns whether a caller was connected at every time from `since` to `until`."""
        return not any(start < until and end > since for start, end in self.outages)
