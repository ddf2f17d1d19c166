"""Loopback addresses reserved for this process: for stand-ins and the programs started beside them.

A free port of 127.0.0.1 may be assigned to another process's listener or connection a moment later, and a
program that still connects to the port of a closed stand-in then reaches that process. Neither can happen at
an address that no other process uses.
"""

from __future__ import annotations

import os
from itertools import count

FIRST_BLOCK = 64  # each process has a block of addresses, 127.64.0.0/24 or above, which its pid selects
BLOCKS = 128
HOSTS_PER_BLOCK = 250

_next_index = count()


def own_hosts(number: int) -> list[str]:
    """Returns this many addresses, different from those of other processes on this machine."""
    pid = os.getpid()
    block = f"127.{FIRST_BLOCK + pid % BLOCKS}.{(pid // BLOCKS) % 256}"
    return [f"{block}.{1 + (next(_next_index) % HOSTS_PER_BLOCK)}" for _ in range(number)]


def own_host() -> str:
    """Returns one address that no other process on this machine uses."""
    return own_hosts(1)[0]
