"""Loopback addresses of this process's own, for stand-ins and the programs that are started among them.

A port of 127.0.0.1 that is free now may be given a moment later to another process's listener or connection.
A program that still dials the port of a stand-in that has closed then reaches a stranger's. At an address
that no other process uses, neither can happen.
"""

from __future__ import annotations

import os
from itertools import count

FIRST_BLOCK = 64  # of 127.64.0.0 and up
BLOCKS = 128
HOSTS_PER_BLOCK = 250

_given = count()


def own_hosts(count_wanted: int) -> list[str]:
    """So many addresses, different from those that other processes on this machine are given."""
    pid = os.getpid()
    block = f"127.{FIRST_BLOCK + pid % BLOCKS}.{(pid // BLOCKS) % 256}"
    return [f"{block}.{1 + (next(_given) % HOSTS_PER_BLOCK)}" for _ in range(count_wanted)]


def own_host() -> str:
    """One such address."""
    return own_hosts(1)[0]
