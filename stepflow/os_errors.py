"""System calls that fail for a moment, told apart from those that speak of the other side.

Sources: accept(2), connect(2), socket(2), open(2), read(2) of the Linux manual.
"""

from __future__ import annotations

import errno
from datetime import timedelta

# accept(2) passes on what has gone wrong with the one connection that it was to return.
SINGLE_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.EPERM,
        errno.ETIMEDOUT,
    }
)
# The machine lacks descriptors, memory or ports: the same call may succeed a moment later.
RESOURCE_SHORTAGE = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR}
)
# connect(2) and socket(2) on this machine's own account: no word from the other side.
LOCAL_CONNECT_ERRORS = RESOURCE_SHORTAGE | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN}
# open(2), read(2), bind(2) and write(2) in a folder that is there.
TRANSIENT_FILE_ERRORS = RESOURCE_SHORTAGE | {errno.EIO, errno.ESTALE, errno.ENOSPC, errno.EDQUOT}

ACCEPT_RETRY_DELAY = timedelta(milliseconds=5)  # after a shortage: the reactor would ask without a pause
CONNECT_RETRY_DELAY = timedelta(milliseconds=20)
LISTEN_RETRY_DELAY = timedelta(milliseconds=100)
LISTEN_RETRY_LIMIT = timedelta(seconds=20)  # a process is owed to be ready within 30 s


def errno_of(fault: BaseException | None) -> int:
    """The error number behind a failure of Twisted or of Python; 0 where there is none."""
    for name in ("osError", "errno"):
        number = getattr(fault, name, None)
        if isinstance(number, int):
            return number
    inner = getattr(fault, "socketError", None)
    return errno_of(inner) if isinstance(inner, OSError) else 0
