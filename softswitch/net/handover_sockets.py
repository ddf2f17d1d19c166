"""The sockets of a handover: the listeners that are handed over, and the directory of the Unix sockets."""

from __future__ import annotations

import os
import socket
from pathlib import Path

MAX_ADDRESS = 107  # bytes in the address of a Unix socket

Address = tuple[str, int]
Descriptors = dict[str, int]  # descriptors of listening sockets, by name


def open_listener(address: Address, backlog: int, shared: bool = False) -> socket.socket:
    """Opens a listening socket.

    `shared`: other sockets of this user may listen on the address too (SO_REUSEPORT). Each has its own accept
    queue, which is lost when the socket is closed.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind(address)
        listener.listen(backlog)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


class SocketDirectory:
    """The directory of the Unix sockets. Its path may be longer than a Unix socket address."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._descriptor: int | None = None  # of the directory; opened once a path is too long

    def address_of(self, name: str) -> str:
        """The address of the socket with this file name."""
        path = self.path / name
        if len(os.fsencode(path)) <= MAX_ADDRESS:
            return str(path)
        # A long TMPDIR must not prevent the handover. The path through the directory's descriptor is short.
        if self._descriptor is None:
            self._descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._descriptor}/{name}"
