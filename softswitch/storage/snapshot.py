"""A file with one small record: versioned, with a checksum, replaced atomically.

After a crash the file holds either the new or the previous record completely: the record is written to a
temporary file, which is synced and renamed over the old one, and the folder is synced. Calls block and belong
in a thread.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from struct import Struct
from typing import Protocol

from xxhash import xxh3_64_intdigest

MAGIC = b"whsn"
# magic, type, version, length, checksum of type, version and record
HEADER = Struct(">4sHHIQ")
MAX_RECORD_SIZE = 8 << 20  # bytes


class SnapshotError(Exception):
    """An unusable file. The text gives the reason; the file is left unchanged."""


class FileOperations(Protocol):
    """File operations that a snapshot needs; tests replace them with failing or slow ones."""

    def read(self, path: Path, max_size: int) -> bytes:
        """Returns the first `max_size` bytes. FileNotFoundError if there is no file."""

    def write(self, path: Path, data: bytes) -> None:
        """Writes and syncs the file; it may be incomplete until this returns."""

    def replace(self, old: Path, new: Path) -> None:
        """Renames `old` to `new`, replacing a file of that name, and syncs the folder."""

    def remove(self, path: Path) -> None:
        """Removes the file if it exists."""


class OsFileOperations:
    """File operations of the operating system."""

    def read(self, path: Path, max_size: int) -> bytes:
        """See `FileOperations.read`."""
        with open(path, "rb") as file:
            return file.read(max_size)

    def write(self, path: Path, data: bytes) -> None:
        """See `FileOperations.write`."""
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            written = 0
            while written < len(data):
                written += os.write(fd, data[written:])
            os.fsync(fd)
        finally:
            os.close(fd)

    def replace(self, old: Path, new: Path) -> None:
        """See `FileOperations.replace`."""
        os.replace(old, new)
        folder = os.open(new.parent, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, path: Path) -> None:
        """See `FileOperations.remove`."""
        path.unlink(missing_ok=True)


class Snapshot:
    """One snapshot file. `record_type` and `version` identify the content of its record."""

    def __init__(
        self, path: Path, record_type: int, version: int, files: FileOperations | None = None
    ) -> None:
        self.path, self.record_type, self.version = path, record_type, version
        self.files = files or OsFileOperations()
        self.temporary_path = path.with_name(f"{path.name}.{os.getpid()}.new")

    def read(self, versions: tuple[int, ...] = ()) -> tuple[int, bytes] | None:
        """Returns version and record, or None if there is no file. `versions`: further readable versions.

        SnapshotError if the file is corrupt or of another version; OSError if reading fails.
        """
        try:
            data = self.files.read(self.path, MAX_RECORD_SIZE + HEADER.size + 1)
        except FileNotFoundError:
            return None
        if len(data) < HEADER.size:
            raise SnapshotError(f"{self.path}: truncated to {len(data)} bytes")
        magic, record_type, version, length, checksum = HEADER.unpack_from(data)
        record = data[HEADER.size :]
        if magic != MAGIC or record_type != self.record_type:
            raise SnapshotError(f"{self.path}: not a snapshot of this type")
        if len(record) != length or checksum != _checksum(record_type, version, record):
            raise SnapshotError(f"{self.path}: corrupt, the checksum does not match")
        if version != self.version and version not in versions:
            raise SnapshotError(
                f"{self.path}: version {version} is not supported, {self.version} is expected"
            )
        return version, record

    def write(self, record: bytes) -> None:
        """Replaces the record. OSError if writing fails; then the file still holds the previous record."""
        if len(record) > MAX_RECORD_SIZE:
            raise ValueError(f"the record has {len(record)} bytes; the maximum is {MAX_RECORD_SIZE}")
        checksum = _checksum(self.record_type, self.version, record)
        data = HEADER.pack(MAGIC, self.record_type, self.version, len(record), checksum) + record
        try:
            self.files.write(self.temporary_path, data)
            self.files.replace(self.temporary_path, self.path)
        except OSError:
            with contextlib.suppress(OSError):
                self.files.remove(self.temporary_path)
            raise


def _checksum(record_type: int, version: int, record: bytes) -> int:
    return xxh3_64_intdigest(record_type.to_bytes(2, "big") + version.to_bytes(2, "big") + record)
