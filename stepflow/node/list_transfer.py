"""The list message: a message of discovery that one process of a node passes to the other.

While one process replaces the other, discovery may tell either of them of a change, and the change binds
both. The JSON keys are fixed, because the other process may run another version.
"""

from __future__ import annotations

from typing import Any

import msgspec


class ListTransfer(msgspec.Struct, frozen=True):
    """A message of discovery that has changed the sender's endpoint list."""

    message: Any = msgspec.field(name="list")  # as received
    is_first_of_call: bool = msgspec.field(name="first", default=False)
    source: str = ""  # discovery's address, as HOST:PORT; revisions of two sources can't be compared
