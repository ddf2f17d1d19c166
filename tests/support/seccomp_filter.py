"""Runs a Python module under a seccomp filter, `python seccomp_filter.py MODULE`.

The kernel then rejects what the fleet's standing test rejects: fork, exec, io_uring and sendfile (ENOSYS),
splice (EINVAL), Unix and IPv6 sockets (EAFNOSUPPORT).
"""

import ctypes
import errno
import os
import platform
import runpy
import struct
import sys

SYSCALLS = {
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


def filter_program():
    """The BPF instructions of the filter, packed, and their number."""
    syscalls = SYSCALLS[platform.machine()]
    errors = {number: errno.ENOSYS for number in syscalls["refused"]} | {syscalls["splice"]: errno.EINVAL}
    instructions = [(LOAD, 0, 0, 4), (EQUAL, 1, 0, syscalls["arch"]), (RETURN, 0, 0, ALLOW), (LOAD, 0, 0, 0)]
    for number, code in errors.items():
        instructions += [(EQUAL, 0, 1, number), (RETURN, 0, 0, ERRNO | code)]
    instructions += [
        (EQUAL, 0, 4, syscalls["clone"]),
        (LOAD, 0, 0, 16),
        (SET, 1, 0, THREAD),
        (RETURN, 0, 0, ERRNO | errno.ENOSYS),
        (RETURN, 0, 0, ALLOW),
    ]
    instructions += [
        (EQUAL, 0, 4, syscalls["socket"]),
        (LOAD, 0, 0, 16),
        (EQUAL, 1, 0, UNIX),
        (EQUAL, 0, 1, IPV6),
        (RETURN, 0, 0, ERRNO | errno.EAFNOSUPPORT),
        (RETURN, 0, 0, ALLOW),
    ]
    return b"".join(struct.pack("HBBI", *instruction) for instruction in instructions), len(instructions)


def install_filter():
    libc = ctypes.CDLL(None, use_errno=True)
    code, length = filter_program()
    buffer = ctypes.create_string_buffer(code)  # referenced until prctl has copied the filter
    sock_fprog = struct.pack("HxxxxxxP", length, ctypes.addressof(buffer))
    if libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) or libc.prctl(PR_SET_SECCOMP, MODE_FILTER, sock_fprog):
        raise OSError(ctypes.get_errno(), "the kernel does not accept the filter")


def assert_rejected(operation, code):
    try:
        operation()
    except OSError as e:
        assert e.errno == code, e
    else:
        raise AssertionError("the filter does not reject the operation")


if __name__ == "__main__":
    import socket

    install_filter()
    assert_rejected(os.fork, errno.ENOSYS)
    assert_rejected(lambda: os.execv("/bin/true", ["true"]), errno.ENOSYS)
    assert_rejected(lambda: socket.socket(socket.AF_UNIX), errno.EAFNOSUPPORT)
    socket.socket(socket.AF_INET).close()
    sys.argv = [sys.argv[1]]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
