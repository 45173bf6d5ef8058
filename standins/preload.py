"""Faults of the machine under one process: a wall clock that is stepped, and system calls that fail.

The C library in `preload.c` is loaded into the process by LD_PRELOAD and shares a small file with the
`Machine` that controls it; both hold its layout. It needs a C compiler, no rights.
"""

from __future__ import annotations

import errno
import mmap
import os
import struct
import subprocess
from collections.abc import Mapping, Sequence
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("preload.c")
ERRORS = 6  # that one call can be given
FAULT = struct.Struct("=II6iQ")
HEAD = struct.Struct("=qQ")
CERTAIN = 2**32 - 1


class Call(IntEnum):
    """The calls that can be made to fail, in the order of the C library."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    RECV_ACCEPTED = 3  # on connections that the process has accepted
    SEND_ACCEPTED = 4
    RECV_DIALLED = 5  # on those that it has made itself
    SEND_DIALLED = 6
    WAIT = 7
    OPEN = 8
    WRITE = 9
    SYNC = 10
    SHORT_RECV = 11
    SHORT_SEND = 12
    SHORT_WRITE = 13
    SCARCE_RECV = 14  # on any TCP connection, for want of something that ends none
    SCARCE_SEND = 15
    HELD_WAIT = 16  # fails nothing; the process is held up behind epoll_wait for one of these microseconds
    WATCH = 17  # epoll_ctl, but for its removals


# What accept(2), socket(2), connect(2), epoll_wait(2), recv(2) and write(2) document for passing trouble; for
# HELD_WAIT, times.
DOCUMENTED: Mapping[Call, Sequence[int]] = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO),
    Call.SOCKET: (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM),
    Call.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS),
    Call.RECV_ACCEPTED: (errno.ETIMEDOUT, errno.EHOSTUNREACH),
    Call.SEND_ACCEPTED: (errno.ETIMEDOUT, errno.EHOSTUNREACH),
    Call.RECV_DIALLED: (errno.ETIMEDOUT, errno.EHOSTUNREACH),
    Call.SEND_DIALLED: (errno.ETIMEDOUT, errno.EHOSTUNREACH),
    Call.WAIT: (errno.EINTR,),
    Call.OPEN: (errno.ENFILE, errno.EIO),
    Call.WRITE: (errno.ENOSPC, errno.EIO),
    Call.SCARCE_RECV: (errno.ENOMEM, errno.ENOBUFS, errno.EINTR, errno.EAGAIN),
    Call.SCARCE_SEND: (errno.ENOMEM, errno.ENOBUFS, errno.EINTR, errno.EAGAIN),
    Call.SYNC: (errno.EIO, errno.ENOSPC),
    Call.WATCH: (errno.ENOMEM,),
    Call.HELD_WAIT: (300, 1000, 4000, 15_000),
}


def build(folder: Path) -> Path:
    """Compile the library into a folder, once."""
    library = folder / "preload.so"
    if not library.exists():
        made = folder / f"preload-{os.getpid()}.so"
        subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", made, SOURCE, "-ldl"], check=True)
        made.rename(library)
    return library


class Machine:
    """What a process sees of its machine; `env` goes into the process's environment."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        path = folder / f"machine-{seed}-{id(self):x}"
        path.write_bytes(HEAD.pack(0, seed * 2654435761 + 1) + FAULT.pack(*[0] * 9) * len(Call))
        with path.open("r+b") as file:
            self._shared = mmap.mmap(file.fileno(), 0)
        self._wall_ns = 0
        self.env = {
            "LD_PRELOAD": str(build(folder)),
            "STANDIN_FAULTS": str(path),
            "STANDIN_FOLDER": str(folder),
        }

    def step_wall_clock(self, seconds: float) -> None:
        """Set the wall clock forward, or back where this is negative; the monotonic clock goes on."""
        self._wall_ns += int(seconds * 1_000_000_000)
        self._shared[:8] = struct.pack("=q", self._wall_ns)

    def fail(self, call: Call, chance: float, errors: Sequence[int] | None = None) -> None:
        """Have a share of these calls fail from now on with one of these errors; 0.0 ends it."""
        told = list(errors if errors is not None else DOCUMENTED.get(call, ()))[:ERRORS]
        at = HEAD.size + FAULT.size * call
        padded = told + [0] * (ERRORS - len(told))
        struct.pack_into("=II6i", self._shared, at, int(chance * CERTAIN), len(told), *padded)

    def heal(self) -> None:
        """No call fails any more."""
        for call in Call:
            self.fail(call, 0.0)

    def injected(self, call: Call) -> int:
        """How often a call was made to fail so far."""
        end = HEAD.size + FAULT.size * (call + 1)
        return int(struct.unpack("=Q", self._shared[end - 8 : end])[0])
