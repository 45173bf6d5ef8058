"""Runs a node under the restrictions of the fleet test: python -m tests.refused for python -m stepflow.

Calls that the platform refuses are refused here too, from before the node's first import. An audit hook
refuses programs and socket families, however they are requested; sendfile and splice are replaced in `os`.
Each refused call is named on standard error.
"""

from __future__ import annotations

import errno
import os
import socket
import sys

PROGRAMS = {"os.fork", "os.forkpty", "os.posix_spawn", "os.system", "os.exec", "os.spawn", "subprocess.Popen"}
FAMILIES = {int(socket.AF_INET)} | ({int(socket.AF_UNIX)} if "REFUSED_UNIX" not in os.environ else set())


def refuse(name: str, code: int) -> None:
    os.write(2, f"refused {name}\n".encode())
    raise OSError(code, os.strerror(code))


def hook(event: str, args: tuple[object, ...]) -> None:
    if event in PROGRAMS or event.startswith("_posixsubprocess"):
        refuse(event, errno.ENOSYS)
    if event == "socket.__new__" and isinstance(family := args[1], int) and family not in FAMILIES | {-1}:
        refuse(f"socket family {int(family)}", errno.EAFNOSUPPORT)


def refuse_copy(*args: object) -> int:
    refuse("sendfile or splice", errno.ENOSYS)
    return 0


def main() -> int:
    os.sendfile = os.splice = refuse_copy  # type: ignore[assignment]
    sys.addaudithook(hook)
    from stepflow.__main__ import main as node

    return node()


if __name__ == "__main__":
    sys.argv = sys.argv[:1]
    sys.exit(main())
