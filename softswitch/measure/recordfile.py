"""The file of a traffic record: a header, then frames with checksums.

A file that is truncated at any byte remains readable up to its last complete frame.

    file  = "WHTR" version:2 frame*          big-endian
    frame = length:4 xxh64:8 payload         the checksum is of the payload, seeded with the frame's position

A payload is a JSON object: a head, {"kind":"head",...}, each time a softswitch opens the file, then one entry
per interval. The checksum of a frame at another position does not match, so that a block that was moved
or duplicated is detected.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from struct import Struct
from typing import Any

import orjson
from xxhash import xxh64_intdigest

MAGIC, VERSION = b"WHTR", 1
FILE_HEADER, FRAME = Struct(">4sH"), Struct(">IQ")
MAX_FRAME = 16 << 20


class RecordFileError(Exception):
    """A file is not a traffic record of this version; the message has the file and the remedy."""


@dataclass(slots=True)
class Contents:
    """Contents of a file. `stop_reason` tells why reading ended before the end of the file, or is empty.

    `valid_bytes` is the length of the part that was read.
    """

    path: str
    heads: list[dict[str, Any]] = field(default_factory=list)  # one per opening of the file by a softswitch
    entries: list[dict[str, Any]] = field(default_factory=list)  # one for each interval
    stop_reason: str = ""
    valid_bytes: int = 0


def frames(data: bytes, at: int) -> Iterator[tuple[int, bytes]]:
    """Yields (end, payload) of each frame from position `at`, up to the first incomplete or corrupt frame."""
    while at + FRAME.size <= len(data):
        length, checksum = FRAME.unpack_from(data, at)
        start, end = at + FRAME.size, at + FRAME.size + length
        if length > MAX_FRAME or end > len(data) or xxh64_intdigest(data[start:end], at) != checksum:
            return
        yield end, data[start:end]
        at = end


def read(path: str | Path) -> Contents:
    """Reads a file up to its last complete frame. RecordFileError for a file of another type or version."""
    try:
        data = Path(path).read_bytes()
    except OSError as e:
        raise RecordFileError(f"{path}: can't be read: {e.strerror}") from None
    contents = Contents(str(path))
    if len(data) < FILE_HEADER.size:
        if not MAGIC.startswith(data[:4]):
            raise RecordFileError(
                f"{path}: not a traffic record; name a file that a softswitch wrote (`record` in the "
                "operator file)"
            )
        contents.stop_reason = f"truncated at byte {len(data)}, within the file header: nothing was read"
        return contents
    magic, version = FILE_HEADER.unpack_from(data)
    if magic != MAGIC:
        raise RecordFileError(
            f"{path}: not a traffic record; name a file that a softswitch wrote (`record` in the "
            "operator file)"
        )
    if version != VERSION:
        raise RecordFileError(
            f"{path}: written by version {version} of the format, and this program reads {VERSION}; "
            "read it with the release of willowhitch that wrote it"
        )
    contents.valid_bytes = FILE_HEADER.size
    for end, payload in frames(data, FILE_HEADER.size):
        try:
            entry = orjson.loads(payload)
        except ValueError:
            break  # the checksum matches, so it was written like this: later frames are not reliable either
        (contents.heads if entry.get("kind") == "head" else contents.entries).append(entry)
        contents.valid_bytes = end
    if contents.valid_bytes < len(data):
        contents.stop_reason = (
            f"{len(data) - contents.valid_bytes} bytes after byte {contents.valid_bytes} are truncated or "
            f"corrupt and were ignored; {len(contents.entries)} complete intervals were read"
        )
    return contents


def frame(payload: bytes, at: int) -> bytes:
    """Returns one frame: length, checksum of payload and position, payload."""
    return FRAME.pack(len(payload), xxh64_intdigest(payload, at)) + payload


class Writer:
    """Appends frames to the file of one softswitch.

    It writes and syncs, and must not be called in the thread of the event loop. An incomplete end, as left by
    a killed process, is truncated to the last complete frame first. If a write fails, it raises OSError, the
    entry is lost, and the next write starts after the last complete frame. A file that would exceed
    `max_bytes` is renamed to FILE.1 and replaces an earlier FILE.1.
    """

    def __init__(self, path: str | Path, head: dict[str, Any], max_bytes: int) -> None:
        self.path, self.max_bytes = Path(path), max_bytes
        self.head = orjson.dumps({"kind": "head"} | head)
        self.file: Any = None
        self.size = 0

    def write(self, entry: dict[str, Any]) -> None:
        """Appends one entry, and starts a new file if this one is full. Raises OSError if the write fails."""
        payload = orjson.dumps(entry, default=encode_histogram)
        if self.file is not None and self.size + len(payload) + FRAME.size > self.max_bytes:
            self.close()
            os.replace(self.path, self.path.with_name(self.path.name + ".1"))
        try:
            if self.file is None:
                self._open()
            self._append(payload)
        except OSError:
            self.close()
            raise

    def _open(self) -> None:
        valid_bytes = 0
        if self.path.exists():
            contents = read(self.path)
            valid_bytes = contents.valid_bytes
            if valid_bytes >= self.max_bytes:
                os.replace(self.path, self.path.with_name(self.path.name + ".1"))
                valid_bytes = 0
        self.file = open(self.path, "r+b" if self.path.exists() else "w+b", buffering=0)  # noqa: SIM115
        self.file.truncate(valid_bytes)
        self.file.seek(valid_bytes)
        self.size = valid_bytes
        if valid_bytes < FILE_HEADER.size:
            self.file.truncate(0)
            self.file.seek(0)
            self.size = self._write_all(FILE_HEADER.pack(MAGIC, VERSION))
        self._append(self.head)

    def _write_all(self, data: bytes) -> int:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[self.file.write(remaining) :]
        return len(data)

    def _append(self, payload: bytes) -> None:
        self.size += self._write_all(frame(payload, self.size))
        os.fsync(self.file.fileno())

    def close(self) -> None:
        """Closes the file; the next write reopens it."""
        file, self.file = self.file, None
        if file is not None:
            file.close()


def encode_histogram(value: Any) -> Any:
    """Encodes a histogram as compressed text (HdrHistogram V2) for orjson; an empty one as an empty text."""
    return value.encode().decode() if value.get_total_count() else ""
