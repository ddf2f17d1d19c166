"""The file of a traffic record: a head, then frames with checksums. Cut at any byte, its whole frames stand.

    file  = "WHTR" version:2 frame*          big-endian
    frame = length:4 xxh64:8 payload         the checksum is of the payload, with the frame's place as seed

A payload is a JSON object: first {"kind":"head",...} of each softswitch that begins to write, then an entry
an interval. A frame out of place does not pass its checksum: a block that was moved or doubled is noticed.
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
START, FRAME = Struct(">4sH"), Struct(">IQ")
MOST_FRAME = 16 << 20


class RecordFileError(Exception):
    """A file that is no traffic record of this version; the text names the file and the remedy."""


@dataclass(slots=True)
class Contents:
    """What a file holds. `stop_reason` tells why reading ended before the end of the file, or is empty.

    `valid_bytes` is the length of the part that was read.
    """

    path: str
    heads: list[dict[str, Any]] = field(default_factory=list)
    entries: list[dict[str, Any]] = field(default_factory=list)
    stop_reason: str = ""
    valid_bytes: int = 0


def frames(data: bytes, at: int) -> Iterator[tuple[int, bytes]]:
    """(end, payload) of each whole frame from `at` on; ends at the first that is not whole or not sound."""
    while at + FRAME.size <= len(data):
        length, told = FRAME.unpack_from(data, at)
        begin, end = at + FRAME.size, at + FRAME.size + length
        if length > MOST_FRAME or end > len(data) or xxh64_intdigest(data[begin:end], at) != told:
            return
        yield end, data[begin:end]
        at = end


def read(path: str | Path) -> Contents:
    """Reads up to the last whole frame. RecordFileError on a file of another kind or version."""
    try:
        data = Path(path).read_bytes()
    except OSError as e:
        raise RecordFileError(f"{path}: can't be read: {e.strerror}") from None
    found = Contents(str(path))
    if len(data) < START.size:
        if not MAGIC.startswith(data[:4]):
            raise RecordFileError(
                f"{path}: no traffic record; name a file that a softswitch wrote (`record` in the "
                "operator file)"
            )
        found.stop_reason = f"cut at byte {len(data)}, within its head: nothing is left"
        return found
    magic, version = START.unpack_from(data)
    if magic != MAGIC:
        raise RecordFileError(
            f"{path}: no traffic record; name a file that a softswitch wrote (`record` in the operator file)"
        )
    if version != VERSION:
        raise RecordFileError(
            f"{path}: written by version {version} of the format, and this program reads {VERSION}; "
            "read it with the willowhitch that wrote it"
        )
    found.valid_bytes = START.size
    for end, payload in frames(data, START.size):
        try:
            entry = orjson.loads(payload)
        except ValueError:
            break  # its checksum is right: written so. Nothing behind it can be trusted either.
        (found.heads if entry.get("kind") == "head" else found.entries).append(entry)
        found.valid_bytes = end
    if found.valid_bytes < len(data):
        found.stop_reason = (
            f"{len(data) - found.valid_bytes} bytes after byte {found.valid_bytes} are cut or spoilt and "
            f"were left out; {len(found.entries)} whole intervals were read"
        )
    return found


def frame(payload: bytes, at: int) -> bytes:
    """The bytes of one frame: length, checksum over payload and position, payload."""
    return FRAME.pack(len(payload), xxh64_intdigest(payload, at)) + payload


class Writer:
    """Appends frames to one file, for one softswitch. Not for the loop's thread: it writes and syncs.

    A torn end, as a kill leaves it, is cut back to the last whole frame first. A disk that refuses is told
    once by `OSError`; what could not be written is lost, and the next write begins at the last whole frame
    again.
    """

    def __init__(self, path: str | Path, head: dict[str, Any], most: int) -> None:
        self.path, self.most = Path(path), most
        self.head = orjson.dumps({"kind": "head"} | head)
        self.file: Any = None
        self.size = 0

    def write(self, entry: dict[str, Any]) -> None:
        """Appends one entry, and starts a new file where this one is full. OSError if the disk refuses."""
        payload = orjson.dumps(entry, default=encode_histogram)
        if self.file is not None and self.size + len(payload) + FRAME.size > self.most:
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
        good = 0
        if self.path.exists():
            contents = read(self.path)
            good = contents.valid_bytes
            if good >= self.most:
                os.replace(self.path, self.path.with_name(self.path.name + ".1"))
                good = 0
        self.file = open(self.path, "r+b" if self.path.exists() else "w+b", buffering=0)  # noqa: SIM115
        self.file.truncate(good)
        self.file.seek(good)
        self.size = good
        if good < START.size:
            self.file.truncate(0)
            self.file.seek(0)
            self.size = self._all(START.pack(MAGIC, VERSION))
        self._append(self.head)

    def _all(self, data: bytes) -> int:
        left = memoryview(data)
        while left:
            left = left[self.file.write(left) :]
        return len(data)

    def _append(self, payload: bytes) -> None:
        self.size += self._all(frame(payload, self.size))
        os.fsync(self.file.fileno())

    def close(self) -> None:
        """Closes the file; the next entry opens it again."""
        file, self.file = self.file, None
        if file is not None:
            file.close()


def encode_histogram(value: Any) -> Any:
    """Histograms as their own compressed text (HdrHistogram V2), for orjson."""
    return value.encode().decode() if value.get_total_count() else ""
