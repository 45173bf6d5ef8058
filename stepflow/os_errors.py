"""Error numbers of system calls, grouped by their cause and by whether a retry may soon succeed.

A call can fail temporarily because of this machine (a shortage), or because of the other side; only the
latter indicates something about an endpoint. Sources: accept(2), connect(2), socket(2), open(2), read(2) of
the Linux manual.
"""

from __future__ import annotations

import errno
from datetime import timedelta

# accept(2) reports an error of the single connection that it would have returned; the next call may succeed.
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
# The machine lacks descriptors, memory or ports; the same call may succeed a moment later.
RESOURCE_SHORTAGE = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR}
)
# connect(2) and socket(2) failed on this machine: the endpoint was not contacted and is not at fault.
LOCAL_CONNECT_ERRORS = RESOURCE_SHORTAGE | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN}
# Errors of open(2), read(2), bind(2) and write(2) in an existing folder that may pass.
TRANSIENT_FILE_ERRORS = RESOURCE_SHORTAGE | {errno.EIO, errno.ESTALE, errno.ENOSPC, errno.EDQUOT}

# The delay after a shortage: without one, the reactor would call accept(2) again at once.
ACCEPT_RETRY_DELAY = timedelta(milliseconds=5)
CONNECT_RETRY_DELAY = timedelta(milliseconds=20)
LISTEN_RETRY_DELAY = timedelta(milliseconds=100)
LISTEN_RETRY_LIMIT = timedelta(seconds=20)  # a process has to be ready within 30 s


def errno_of(error: BaseException | None) -> int:
    """Return the error number of an exception of Twisted or Python; 0 if there is none."""
    for name in ("osError", "errno"):  # Twisted's ConnectError has the number in `osError`
        number = getattr(error, name, None)
        if isinstance(number, int):
            return number
    cause = getattr(error, "socketError", None)  # set by Twisted's CannotListenError
    return errno_of(cause) if isinstance(cause, OSError) else 0
