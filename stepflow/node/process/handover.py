"""The channel between the two processes that a node is while it is replaced."""

from __future__ import annotations

import json
import os
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from typing import Any, Protocol, cast

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from stepflow.logs import get_logger
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.runtime.transports import Port, Reactor, UnixTransport
from stepflow.os_errors import LOCAL_CONNECT_ERRORS, TRANSIENT_FILE_ERRORS, errno_of

log = get_logger()

FIND = timedelta(seconds=2)  # the most that a start waits for what the process before has to tell
TELL_EVERY = timedelta(milliseconds=100)  # the other side's open descriptors are known this late
AWAIT_AGAIN = timedelta(seconds=1)  # after the path could not be listened on
MOST_PATH = 100  # bytes that a Unix socket's address can hold, less a few

Found = Callable[[int | None, dict[str, Any]], None]


class Process(Protocol):
    """What the channel needs of its process."""

    def handover_state(self) -> tuple[int, dict[str, Any]]:
        """The listening socket, and what a successor should know."""

    def descriptors(self) -> int:
        """How many this process holds open."""

    def adopt(self, session: dict[str, Any], client: int, peer: int) -> bool:
        """Go on with a session whose sockets were passed; False leaves it to the other process."""

    def taken(self, number: int, by_other: bool) -> None:
        """What the other process made of the session that was passed under this number."""

    def has_all(self) -> None:
        """No session stands at the other process any more."""


@implementer(IFileDescriptorReceiver)
class _Channel(LineReceiver):
    """One end, for lines of JSON."""

    delimiter = b"\n"
    MAX_LENGTH = 1 << 22

    def __init__(self, owner: Handover) -> None:
        self._owner = owner

    @property
    def wire(self) -> UnixTransport:
        return cast(UnixTransport, self.transport)

    def tell(self, message: dict[str, Any]) -> None:
        self.wire.write(json.dumps(message).encode() + self.delimiter)

    def connectionMade(self) -> None:
        self._owner.joined(self)

    def fileDescriptorReceived(self, descriptor: int) -> None:
        self._owner.passed(descriptor)

    def lineReceived(self, line: bytes) -> None:
        try:
            message = json.loads(line)
        except ValueError:
            message = None
        if isinstance(message, dict):
            self._owner.heard(self, message)
        else:
            self.wire.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._owner.lost(self)


class Handover:
    """Finds the process before this one, then waits for the one after it.

    Only one of a node's processes listens on the path at a time: the older stops as soon as it is found,
    and the younger begins when the channel ends, so neither removes the other's socket.
    """

    def __init__(self, reactor: Reactor, deadlines: Timers, process: Process, path: str) -> None:
        self._reactor, self._deadlines, self._process = reactor, deadlines, process
        if len(path) > MOST_PATH:
            log.warning("no successor will find a path as long as this", path=path)
            path = ""
        self._path = path
        self._found: Found | None = None  # told once, then None
        self._passed: deque[int] = deque()
        self._channel: _Channel | None = None
        self._port: Port | None = None
        self._deadline: Timer | None = None
        self._closed = self._inherited = False  # the process ends; it is the younger one of the channel's two
        self.has_successor = False  # a younger process is at the other end
        self.successor_serves = False  # and has said so
        self.others = 0  # descriptors that the other process holds

    def find(self, found: Found) -> None:
        """Ask the process that serves, if there is one, for what it hands over."""
        self._found = found
        self._deadline = self._deadlines.after(FIND, lambda: self._settle({}))
        if not self._path or not os.path.exists(self._path):
            self._settle({})
            return
        factory = _Factory(self)
        self._reactor.connectUNIX(self._path, factory, timeout=FIND.total_seconds())

    def begun(self) -> None:
        """This process serves: tell the other so, or be there for the next."""
        if self._channel is None:
            self._await_successor()
        else:
            self._tell()

    def leave(self) -> None:
        """The process ends: nobody follows it any more, but for the successor that it has."""
        self._closed = True
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def close(self) -> None:
        """The process exits."""
        self.leave()
        if self._channel is not None:
            self._channel.wire.loseConnection()

    def _await_successor(self) -> None:
        if not self._path or self._closed or self._port is not None or self._channel is not None:
            return
        with suppress(OSError):
            os.unlink(self._path)  # a process that was killed left it
        try:
            self._port = self._reactor.listenUNIX(self._path, _Factory(self), mode=0o600)
            log.info("waits for a successor")
        except (CannotListenError, OSError) as fault:
            log.warning("no successor can be told anything", fault=fault)
            if errno_of(fault) in LOCAL_CONNECT_ERRORS | TRANSIENT_FILE_ERRORS:
                self._deadlines.after(AWAIT_AGAIN, self._await_successor)

    # What the channel tells.

    def joined(self, channel: _Channel) -> None:
        if self._channel is not None or self._closed:
            channel.wire.loseConnection()
            return
        self._channel = channel
        if self._port is None:
            if self._found is None:  # it came too late
                channel.wire.loseConnection()
            return
        self._port.stopListening()
        self._port = None
        # From now on, not from its first word: SIGTERM may come sooner than that is read.
        self.has_successor = True
        descriptor, state = self._process.handover_state()
        channel.wire.sendFileDescriptor(descriptor)
        channel.tell(state)
        self._tell()

    def passed(self, descriptor: int) -> None:
        self._passed.append(descriptor)  # they come in order, each before the line that speaks of it

    def heard(self, channel: _Channel, message: dict[str, Any]) -> None:
        if channel is not self._channel:
            return
        if self._found is not None:
            self._settle(message)
            return
        if "session" in message:
            channel.tell({"taken": message.get("number"), "by_other": self._adopt(message["session"])})
            return
        if "all" in message:
            self._process.has_all()
            return
        if "taken" in message:
            self._process.taken(message["taken"], message.get("by_other") is True)
            return
        told = message.get("descriptors")
        if isinstance(told, int):
            self.others, self.successor_serves = told, self.has_successor

    def pass_on(self, number: int, session: dict[str, Any], client: int, peer: int) -> None:
        """Pass a session to the successor; `taken` follows, unless the channel ends."""
        if self._channel is not None:
            self._channel.wire.sendFileDescriptor(client)
            self._channel.wire.sendFileDescriptor(peer)
            self._channel.tell({"number": number, "session": session})

    def passed_all(self) -> None:
        """Tell the successor that no session stands here any more."""
        if self._channel is not None:
            self._channel.tell({"all": True})

    def _adopt(self, session: dict[str, Any]) -> bool:
        if len(self._passed) < 2:
            return False
        client, peer = self._passed.popleft(), self._passed.popleft()
        try:
            return self._process.adopt(session, client, peer)
        except (KeyError, TypeError, ValueError, AttributeError, OSError):
            log.exception("a session that was passed can't be gone on with")
            return False
        finally:  # what was adopted has copies of its own
            os.close(client)
            os.close(peer)

    def lost(self, channel: _Channel) -> None:
        if channel is not self._channel:
            return
        self._channel, self.others = None, 0
        while self._passed:
            os.close(self._passed.popleft())
        self.has_successor = self.successor_serves = self._inherited = False
        if self._found is not None:
            self._settle({})
        else:
            self._await_successor()

    def failed(self) -> None:
        """Nobody listens on the path any more."""
        self._settle({})

    def _settle(self, state: dict[str, Any]) -> None:
        """The one place that ends the search."""
        found, self._found = self._found, None
        if found is None:
            return
        if self._deadline is not None:
            self._deadline.cancel()
        descriptor = self._passed.popleft() if state and self._passed else None
        self._inherited = descriptor is not None
        if not self._inherited and self._channel is not None:
            channel, self._channel = self._channel, None
            channel.wire.loseConnection()
        found(descriptor, state)

    def _tell(self) -> None:
        if self._channel is not None:
            self._channel.tell({"descriptors": self._process.descriptors()})
            self._deadlines.after(TELL_EVERY, self._tell)


class _Factory(ClientFactory):
    """Makes the channel's ends."""

    noisy = False

    def __init__(self, owner: Handover) -> None:
        self._owner = owner

    def buildProtocol(self, addr: object) -> _Channel:
        return _Channel(self._owner)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._owner.failed()
