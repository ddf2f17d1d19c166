"""Runs the program with what the fleet's standing test refuses being refused by the kernel: fork, further
programs, io_uring, sendfile (ENOSYS), splice (EINVAL), Unix and IPv6 sockets. `python refused.py MODULE`.
"""

import ctypes
import errno
import os
import platform
import runpy
import struct
import sys

NUMBERS = {
    "x86_64": {
        "arch": 0xC000003E,
        "clone": 56,
        "socket": 41,
        "splice": 275,
        "refused": (57, 58, 59, 322, 40, 425, 426, 427, 435),
    },
    "aarch64": {
        "arch": 0xC00000B7,
        "clone": 220,
        "socket": 198,
        "splice": 76,
        "refused": (221, 281, 71, 425, 426, 427, 435),
    },
}
LOAD, EQUAL, SET, RETURN = 0x20, 0x15, 0x45, 0x06  # BPF: load a word, jump if equal, jump if a bit is set
ALLOW, ERRNO = 0x7FFF0000, 0x00050000
THREAD, UNIX, IPV6 = 0x00010000, 1, 10
PR_SET_NO_NEW_PRIVS, PR_SET_SECCOMP, MODE_FILTER = 38, 22, 2


def program():
    n = NUMBERS[platform.machine()]
    deny = {number: errno.ENOSYS for number in n["refused"]} | {n["splice"]: errno.EINVAL}
    steps = [(LOAD, 0, 0, 4), (EQUAL, 1, 0, n["arch"]), (RETURN, 0, 0, ALLOW), (LOAD, 0, 0, 0)]
    for number, code in deny.items():
        steps += [(EQUAL, 0, 1, number), (RETURN, 0, 0, ERRNO | code)]
    steps += [
        (EQUAL, 0, 4, n["clone"]),
        (LOAD, 0, 0, 16),
        (SET, 1, 0, THREAD),
        (RETURN, 0, 0, ERRNO | errno.ENOSYS),
        (RETURN, 0, 0, ALLOW),
    ]
    steps += [
        (EQUAL, 0, 4, n["socket"]),
        (LOAD, 0, 0, 16),
        (EQUAL, 1, 0, UNIX),
        (EQUAL, 0, 1, IPV6),
        (RETURN, 0, 0, ERRNO | errno.EAFNOSUPPORT),
        (RETURN, 0, 0, ALLOW),
    ]
    return b"".join(struct.pack("HBBI", *step) for step in steps), len(steps)


def refuse():
    libc = ctypes.CDLL(None, use_errno=True)
    code, length = program()
    kept = ctypes.create_string_buffer(code)
    head = struct.pack("HxxxxxxP", length, ctypes.addressof(kept))
    if libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) or libc.prctl(PR_SET_SECCOMP, MODE_FILTER, head):
        raise OSError(ctypes.get_errno(), "the kernel takes no filter")


def must_fail(what, code):
    try:
        what()
    except OSError as e:
        assert e.errno == code, e
    else:
        raise AssertionError("the filter refuses nothing")


if __name__ == "__main__":
    import socket

    refuse()
    must_fail(os.fork, errno.ENOSYS)
    must_fail(lambda: os.execv("/bin/true", ["true"]), errno.ENOSYS)
    must_fail(lambda: socket.socket(socket.AF_UNIX), errno.EAFNOSUPPORT)
    socket.socket(socket.AF_INET).close()
    sys.argv = [sys.argv[1]]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
