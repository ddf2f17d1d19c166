"""The lives of calls on request: `GET /v1/calls/ID` at the management address, and a file at exit."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import orjson
from loguru import logger

from softswitch.components import Host, ManagementRoute
from softswitch.core.call import CALL_ID
from softswitch.core.call_history import CONNECTIONS, CallHistory

AT_ONCE = 500  # lives encoded in one turn of the loop, at the most


class CallBook:
    """A `components.Component`."""

    def __init__(self, table: Any, host: Host) -> None:
        self.table, self.host = table, host
        file = table.file.replace("{pid}", str(os.getpid()))
        self.path = str(host.folder / file) if file else ""
        self.writing = self.failing = False
        wheel = host.switch.wheel
        self.history = host.switch.history = CallHistory(
            lambda: wheel.now + wheel.elapsed_since_read(), table.keep
        )
        host.management_routes["/v1/calls/"] = ManagementRoute("GET", self.asked)

    def asked(self, rest: str) -> tuple[int, dict[str, Any]]:
        """Answers `GET /v1/calls/ID`: status and body."""
        call = CONNECTIONS if rest == "links" else rest.lower()
        if call and not CALL_ID.match(call):
            return 400, {"error": "16 hex digits of a call are wanted, or `links`"}
        told = self.history.report(call, -self.host.unix_offset)
        gone = {"error": f"not known, or no more: {self.table.keep} calls are kept"}
        return (200, told) if told else (404, gone)

    def start(self) -> None:
        """Logs what is kept, and begins to write where a file is named."""
        logger.info("calls: the lives of the last {} are kept", self.table.keep)
        if self.path:
            self._tick()

    def _tick(self) -> None:
        wheel = self.host.switch.wheel
        wheel.call_at(wheel.now + self.table.every_s * 1000.0, self._tick)
        if not self.writing and (lines := self._lines(AT_ONCE)):
            self.writing = True
            self.host.reactor.callInThread(self._write, lines)

    def _lines(self, most: int) -> list[bytes]:
        told = (self.history.report(call, -self.host.unix_offset) for call in self.history.take_changed(most))
        return [orjson.dumps(life) for life in told if life]

    def _write(self, lines: list[bytes]) -> None:
        """In a thread of the reactor's pool, one at a time; the loop waits for no disk."""
        try:
            with open(self.path, "ab") as file:
                if file.tell() < self.table.most_mb << 20:
                    file.write(b"".join(line + b"\n" for line in lines))
            self.failing = False
        except OSError as e:
            if not self.failing:
                logger.warning("calls: lives not written, the softswitch serves on: {}", e)
            self.failing = True
        finally:
            self.writing = False

    def reload(self, table: Any, settings: Any) -> str:
        """Takes no settings. Returns the table's name if a change of it needs a restart."""
        return "" if table == self.table else "calls"

    def figures(self) -> dict[str, Any]:
        """Counts of calls kept and dropped."""
        return {"lives_kept": len(self.history.calls), "lives_dropped": self.history.dropped}

    def stop(self) -> None:
        """Writes what has changed since the last write."""
        if self.path:
            self._write(self._lines(len(self.history.changed)))


def make(table: Any, host: Host) -> CallBook:
    """Makes the component from the operator file's table. ValueError if the file's folder is missing."""
    if table.file and not (Path(host.folder) / table.file).parent.is_dir():
        raise ValueError(f"`file`: no such folder: {(Path(host.folder) / table.file).parent}")
    return CallBook(table, host)
