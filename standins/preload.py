"""Machine faults for one process: wall clock steps and failing system calls.

LD_PRELOAD loads the C library in `preload.c` into the process. The library shares a small file with the
`Machine` that controls it; both define the file's layout. This needs a C compiler but no privileges.
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
ERRORS = 6  # largest number of errors that can be set for one call
FAULT_LAYOUT = struct.Struct("=II6iQ")
HEADER_LAYOUT = struct.Struct("=qQ")
CHANCE_SCALE = 2**32 - 1


class Call(IntEnum):
    """The calls that can be made to fail, numbered as in the C library."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    RECV_ACCEPTED = 3  # recv on connections that the process accepted
    SEND_ACCEPTED = 4
    RECV_DIALLED = 5  # recv on connections that the process opened
    SEND_DIALLED = 6
    WAIT = 7
    OPEN = 8
    WRITE = 9
    SYNC = 10
    SHORT_RECV = 11
    SHORT_SEND = 12
    SHORT_WRITE = 13
    SCARCE_RECV = 14  # on any TCP connection: temporary shortages, which must not end it
    SCARCE_SEND = 15
    HELD_WAIT = 16  # not a failure: a delay after epoll_wait, drawn from the given microseconds
    WATCH = 17  # epoll_ctl, except for removals


# Errors for temporary conditions that accept(2), socket(2), connect(2), epoll_wait(2), recv(2) and write(2)
# document; for HELD_WAIT, delays in microseconds.
DEFAULT_ERRORS: Mapping[Call, Sequence[int]] = {
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
    """Compile the library into a folder unless it is there, and return its path."""
    library = folder / "preload.so"
    if not library.exists():
        new_library = folder / f"preload-{os.getpid()}.so"
        subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", new_library, SOURCE, "-ldl"], check=True)
        new_library.rename(library)
    return library


class Machine:
    """Controls the machine faults of a process; `env` has to be added to its environment."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        path = folder / f"machine-{seed}-{id(self):x}"
        path.write_bytes(
            HEADER_LAYOUT.pack(0, seed * 2654435761 + 1) + FAULT_LAYOUT.pack(*[0] * 9) * len(Call)
        )
        with path.open("r+b") as file:
            self._shared = mmap.mmap(file.fileno(), 0)
        self._wall_offset_ns = 0
        self.env = {
            "LD_PRELOAD": str(build(folder)),
            "STANDIN_FAULTS": str(path),
            "STANDIN_FOLDER": str(folder),
        }

    def step_wall_clock(self, seconds: float) -> None:
        """Step the wall clock forward, or back if negative; the monotonic clock is unaffected."""
        self._wall_offset_ns += int(seconds * 1_000_000_000)
        self._shared[:8] = struct.pack("=q", self._wall_offset_ns)

    def fail(self, call: Call, chance: float, errors: Sequence[int] | None = None) -> None:
        """Make a share of the calls fail from now on with one of the errors; a chance of 0.0 ends this."""
        chosen_errors = list(errors if errors is not None else DEFAULT_ERRORS.get(call, ()))[:ERRORS]
        offset = HEADER_LAYOUT.size + FAULT_LAYOUT.size * call
        padded = chosen_errors + [0] * (ERRORS - len(chosen_errors))
        struct.pack_into(
            "=II6i", self._shared, offset, int(chance * CHANCE_SCALE), len(chosen_errors), *padded
        )

    def heal(self) -> None:
        """Stop all call failures."""
        for call in Call:
            self.fail(call, 0.0)

    def injected(self, call: Call) -> int:
        """Return the number of failures of a call that have been injected so far."""
        end = HEADER_LAYOUT.size + FAULT_LAYOUT.size * (call + 1)
        return int(struct.unpack("=Q", self._shared[end - 8 : end])[0])
