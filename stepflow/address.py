"""An address to listen on or to connect to."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """HOST:PORT, read."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: object) -> Address:
        """Read HOST:PORT; a ValueError says what is wrong with it."""
        if not isinstance(text, str):
            raise ValueError(f"{text!r} is not HOST:PORT")
        host, colon, port = text.rpartition(":")
        if not (host and colon and port.isascii() and port.isdigit() and int(port) < 1 << 16):
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host, int(port))
