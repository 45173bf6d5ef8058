"""One process of a node: sends its signals and records an unexpected exit as a fault."""

from __future__ import annotations

import asyncio
import os
import signal

from standins.soak.records import Records

EXPECTED_EXIT_CODES = (0, -signal.SIGKILL)


class NodeProcess:
    """A process of a node; an exit that the soak run did not request is recorded as a fault."""

    def __init__(self, node_name: str, process: asyncio.subprocess.Process, records: Records) -> None:
        self._node_name, self._process, self._records = node_name, process, records
        self._end_requested = False
        self._exited_unrequested = False
        self._exit_watcher = asyncio.create_task(self._watch_exit())

    def request_end(self) -> None:
        """Send SIGTERM; an exit is expected from then on."""
        self._send_last_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL; an exit is expected from then on."""
        self._send_last_signal(signal.SIGKILL)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, or note that the process has exited.

        A thread of asyncio may reap the process before the event loop sets its return code, so the
        operating system is asked. The process may still exit between that check and the signal.
        """
        if self._has_exited():
            self._note_exit()
            return
        try:
            os.kill(self._process.pid, number)
        except ProcessLookupError:
            self._note_exit()

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the exit is recorded; return whether that was within the timeout."""
        done, _ = await asyncio.wait({self._exit_watcher}, timeout=timeout_s)
        for watcher in done:
            watcher.result()
        return bool(done)

    def _send_last_signal(self, number: signal.Signals) -> None:
        self.send_signal(number)
        self._end_requested = True

    def _has_exited(self) -> bool:
        """Return whether the process has exited, reaped or not; does not reap it."""
        if self._process.returncode is not None:
            return True
        try:
            exited = os.waitid(os.P_PID, self._process.pid, os.WEXITED | os.WNOHANG | os.WNOWAIT)
        except ChildProcessError:
            return True
        return exited is not None

    def _note_exit(self) -> None:
        """Remember an exit that came before its request; `_watch_exit` records it."""
        if not self._end_requested:
            self._exited_unrequested = True

    async def _watch_exit(self) -> None:
        code = await self._process.wait()
        ended = f"{self._node_name}: ended with {code}"
        if self._exited_unrequested or not self._end_requested:
            self._records.node_faults.append(f"{ended} without having been told to end")
        elif code not in EXPECTED_EXIT_CODES:
            self._records.node_faults.append(ended)
