"""Hosts many isolated instances on the simulator's wire, over standard input and output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from stepflow import wire
from stepflow.interface import Action, Started
from stepflow.policy import Policy
from stepflow.settings import SettingsError, parse_settings


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch with one reply until the input ends between frames."""
    instances: dict[int, Policy] = {}
    while (batch := wire.read_batch(source)) is not None:
        now, count, body = batch
        replies: dict[int, list[Action]] = {}
        crashed: list[bytes] = []
        for who, event in wire.decode(count, body):
            if isinstance(event, wire.Boot):
                instances[who] = Policy(parse_settings(event.settings), event.seed)
                replies.pop(who, None)
                event = Started()
            elif isinstance(event, wire.Retire):
                instances.pop(who, None)
                replies.pop(who, None)
                continue
            if who not in instances:
                raise wire.WireError(f"event for instance {who}, which was never started")
            try:
                actions = instances[who].handle(now, event)
            except Exception as fault:
                crashed = wire.crash(who, f"{type(fault).__name__}: {fault}")
                break
            if actions:
                replies.setdefault(who, []).extend(actions)
        records = crashed or [
            record for who, actions in replies.items() for record in wire.encode(who, actions)
        ]
        sink.write(wire.frame(records))
        sink.flush()


def main() -> int:
    """Serve standard input; a malformed frame ends it with one line on standard error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as fault:
        print(f"stepflow: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
