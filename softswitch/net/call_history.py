"""Publishes the history of calls: `GET /v1/calls/ID` at the management address, and a file if configured."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import orjson
from loguru import logger

from softswitch.components import Host, ManagementRoute
from softswitch.core.call_history import CONNECTIONS, CallHistory, TraceKey
from softswitch.core.call_id import InvalidCallIdError, parse_callers_id

MAX_CALLS_PER_WRITE = 500  # max histories encoded in one turn of the event loop


class CallHistoryComponent:
    """Owner of the call history and its file. Implements `components.Component`."""

    def __init__(self, table: Any, host: Host) -> None:
        self.table, self.host = table, host
        file = table.file.replace("{pid}", str(os.getpid()))
        self.path = str(host.folder / file) if file else ""
        self.writing = self.failing = False
        wheel = host.switch.wheel
        self.history = host.switch.history = CallHistory(
            lambda: wheel.now + wheel.elapsed_in_turn(), table.keep
        )
        host.management_routes["/v1/calls/"] = ManagementRoute("GET", self.handle_request)

    def handle_request(self, rest: str) -> tuple[int, dict[str, Any]]:
        """Answers `GET /v1/calls/ID`; `rest` is the ID. Returns status and body."""
        try:
            call: TraceKey = CONNECTIONS if rest == "links" else parse_callers_id(rest)
        except InvalidCallIdError:
            return 400, {"error": "16 hex digits of a call are wanted, or `links`"}
        report = self.history.report(call, -self.host.unix_offset)
        not_found = {"error": f"not known, or no more: {self.table.keep} calls are kept"}
        return (200, report) if report else (404, not_found)

    def start(self) -> None:
        """Logs how many calls are retained, and starts writing if a file is configured."""
        logger.info("calls: the history of the last {} calls is retained", self.table.keep)
        if self.path:
            self._tick()

    def _tick(self) -> None:
        wheel = self.host.switch.wheel
        wheel.call_at(wheel.now + self.table.every_s * 1000.0, self._tick)
        if not self.writing and (lines := self._encode_changed(MAX_CALLS_PER_WRITE)):
            self.writing = True
            self.host.reactor.callInThread(self._write, lines)

    def _encode_changed(self, limit: int) -> list[bytes]:
        reports = (
            self.history.report(call, -self.host.unix_offset) for call in self.history.pop_changed(limit)
        )
        return [orjson.dumps(report) for report in reports if report]

    def _write(self, lines: list[bytes]) -> None:
        """Appends lines to the file.

        Runs in the reactor's thread pool, one write at a time: the event loop must not wait for the disk.
        """
        try:
            with open(self.path, "ab") as file:
                if file.tell() < self.table.most_mb << 20:
                    file.write(b"".join(line + b"\n" for line in lines))
            self.failing = False
        except OSError as e:
            if not self.failing:
                logger.warning("calls: history not written, the softswitch serves on: {}", e)
            self.failing = True
        finally:
            self.writing = False

    def reload(self, table: Any, settings: Any) -> str:
        """Returns the table's name if it has changed: that takes effect at the next start only."""
        return "" if table == self.table else "calls"

    def figures(self) -> dict[str, Any]:
        """Returns the numbers of calls retained and dropped."""
        return {"lives_kept": len(self.history.calls), "lives_dropped": self.history.dropped}

    def stop(self) -> None:
        """Writes the histories that have changed since the last write."""
        if self.path:
            self._write(self._encode_changed(len(self.history.changed)))


def make(table: Any, host: Host) -> CallHistoryComponent:
    """Makes the component from its table of the operator file.

    Raises ValueError if the folder of the history file does not exist.
    """
    if table.file and not (Path(host.folder) / table.file).parent.is_dir():
        raise ValueError(f"`file`: no such folder: {(Path(host.folder) / table.file).parent}")
    return CallHistoryComponent(table, host)
