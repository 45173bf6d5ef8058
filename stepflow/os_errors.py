"""Error numbers of system calls, sorted by what they say and by whether the call may soon succeed.

A call can fail for a moment on this machine's account (a shortage), or for what the other side did; only the
latter says anything about an endpoint. Sources: accept(2), connect(2), socket(2), open(2), read(2) of the
Linux manual.
"""

from __future__ import annotations

import errno
from datetime import timedelta

# accept(2) reports what went wrong with the one connection that it was to return; the next call may succeed.
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
# connect(2) and socket(2) failed on this machine: the endpoint was not reached, and is not to blame.
LOCAL_CONNECT_ERRORS = RESOURCE_SHORTAGE | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN}
# open(2), read(2), bind(2) and write(2) in a folder that exists.
TRANSIENT_FILE_ERRORS = RESOURCE_SHORTAGE | {errno.EIO, errno.ESTALE, errno.ENOSPC, errno.EDQUOT}

ACCEPT_RETRY_DELAY = timedelta(milliseconds=5)  # after a shortage, when the reactor would call again at once
CONNECT_RETRY_DELAY = timedelta(milliseconds=20)
LISTEN_RETRY_DELAY = timedelta(milliseconds=100)
LISTEN_RETRY_LIMIT = timedelta(seconds=20)  # of the 30 s within which a process has to be ready


def errno_of(error: BaseException | None) -> int:
    """Return the error number behind an exception of Twisted or of Python; 0 where there is none."""
    for name in ("osError", "errno"):  # ConnectError of Twisted has its number in the first
        number = getattr(error, name, None)
        if isinstance(number, int):
            return number
    cause = getattr(error, "socketError", None)  # of CannotListenError
    return errno_of(cause) if isinstance(cause, OSError) else 0
