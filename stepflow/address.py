"""Network addresses to listen on or to connect to."""

from __future__ import annotations

from typing import NamedTuple

_PORT_LIMIT = 1 << 16


class AddressError(ValueError):
    """A value is not an address; the message is one line that shows the value."""


class Address(NamedTuple):
    """A host and a port, written HOST:PORT. The host may be any name or number; it is not checked."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: object) -> Address:
        """Parse HOST:PORT.

        Raises:
            AddressError: `text` is not a string of that form, or the port is out of range.
        """
        if not isinstance(text, str):
            raise AddressError(f"{text!r} is not HOST:PORT")
        host, colon, port = text.rpartition(":")
        if not (host and colon and port.isascii() and port.isdigit() and int(port) < _PORT_LIMIT):
            raise AddressError(f"{text!r} is not HOST:PORT")
        return cls(host, int(port))
