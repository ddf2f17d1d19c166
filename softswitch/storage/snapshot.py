"""One small record in one file: versioned, with a checksum, replaced as a whole.

What was written is there whole after a kill, or what was there before is. Written beside the file, synced and
renamed over it; then the folder is synced. The calls block: they belong in a thread.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from struct import Struct
from typing import Protocol

from xxhash import xxh3_64_intdigest

MAGIC = b"whsn"
HEAD = Struct(">4sHHIQ")  # magic, kind, version, length, checksum of kind, version and what follows
MOST = 8 << 20  # bytes of one record


class SnapshotError(Exception):
    """A file that can't be used; the text says why. It is left as it is."""


class Files(Protocol):
    """What is asked of the disk; tests put one in between that fails, or is slow."""

    def read(self, path: Path, most: int) -> bytes:
        """The first `most` bytes. FileNotFoundError if there is no file."""

    def write(self, path: Path, data: bytes) -> None:
        """Written and synced; the file is not there whole before it returns."""

    def replace(self, old: Path, new: Path) -> None:
        """Renamed, and the folder synced."""

    def remove(self, path: Path) -> None:
        """Removes the file if it is there."""


class Disk:
    """The disk itself."""

    def read(self, path: Path, most: int) -> bytes:
        """See `Files.read`."""
        with open(path, "rb") as file:
            return file.read(most)

    def write(self, path: Path, data: bytes) -> None:
        """See `Files.write`."""
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            at = 0
            while at < len(data):
                at += os.write(fd, data[at:])
            os.fsync(fd)
        finally:
            os.close(fd)

    def replace(self, old: Path, new: Path) -> None:
        """See `Files.replace`."""
        os.replace(old, new)
        folder = os.open(new.parent, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, path: Path) -> None:
        """See `Files.remove`."""
        path.unlink(missing_ok=True)


class Snapshot:
    """Owner of one file. `kind` and `version` tell what its record holds."""

    def __init__(self, path: Path, kind: int, version: int, files: Files | None = None) -> None:
        self.path, self.kind, self.version = path, kind, version
        self.files = files or Disk()
        self.beside = path.with_name(f"{path.name}.{os.getpid()}.new")

    def read(self, versions: tuple[int, ...] = ()) -> tuple[int, bytes] | None:
        """Version and record; None if there is no file. `versions`: older ones that the caller can read too.
        SnapshotError if it is not what was written, or of another version; OSError if the disk refuses.
        """
        try:
            data = self.files.read(self.path, MOST + HEAD.size + 1)
        except FileNotFoundError:
            return None
        if len(data) < HEAD.size:
            raise SnapshotError(f"{self.path}: cut short at {len(data)} bytes")
        magic, kind, version, length, checksum = HEAD.unpack_from(data)
        record = data[HEAD.size :]
        if magic != MAGIC or kind != self.kind:
            raise SnapshotError(f"{self.path}: no snapshot of this kind")
        if len(record) != length or checksum != _checksum(kind, version, record):
            raise SnapshotError(f"{self.path}: spoilt, its checksum is another")
        if version != self.version and version not in versions:
            raise SnapshotError(f"{self.path}: of version {version}, {self.version} is read here")
        return version, record

    def write(self, record: bytes) -> None:
        """Replaces what was there. OSError if the disk refuses; then what was there before is there still."""
        if len(record) > MOST:
            raise ValueError(f"a record of {len(record)} bytes; at most {MOST}")
        checksum = _checksum(self.kind, self.version, record)
        data = HEAD.pack(MAGIC, self.kind, self.version, len(record), checksum) + record
        try:
            self.files.write(self.beside, data)
            self.files.replace(self.beside, self.path)
        except OSError:
            with contextlib.suppress(OSError):
                self.files.remove(self.beside)
            raise


def _checksum(kind: int, version: int, record: bytes) -> int:
    return xxh3_64_intdigest(kind.to_bytes(2, "big") + version.to_bytes(2, "big") + record)
