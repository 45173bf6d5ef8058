"""Hosts many isolated instances of the policy on the simulator's wire, over standard input and output.

`python -m stepflow.simhost` answers every batch with one reply until the input ends between frames. A
malformed frame or settings text ends it with exit code 1 and one line on standard error; an exception of a
policy does not end it, but is reported to the simulator in the reply.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from stepflow import wire
from stepflow.interface import Action, Event, Started
from stepflow.policy import Policy
from stepflow.settings import SettingsError, parse_settings


class PolicyError(Exception):
    """An exception that an instance's policy raised for an event."""

    def __init__(self, instance: int, cause: Exception) -> None:
        super().__init__(f"{type(cause).__name__}: {cause}")
        self.instance = instance


class PolicyHost:
    """The instances of one simulation, by their numbers; they share nothing."""

    def __init__(self) -> None:
        self._policies: dict[int, Policy] = {}

    def handle_batch(self, batch: wire.Batch) -> list[bytes]:
        """Return the reply's records: all actions, or the report of a policy's exception alone."""
        try:
            actions = self._handle_events(batch)
        except PolicyError as error:
            return wire.crash(error.instance, str(error))
        return [
            record
            for instance, instance_actions in actions.items()
            for record in wire.encode(instance, instance_actions)
        ]

    def _handle_events(self, batch: wire.Batch) -> dict[int, list[Action]]:
        """Return the actions by instance; those of an instance that ends within the batch are dropped."""
        actions: dict[int, list[Action]] = {}
        for instance, event in wire.decode(batch.record_count, batch.records):
            if isinstance(event, wire.StopInstance):
                self._policies.pop(instance, None)
                actions.pop(instance, None)
                continue
            if isinstance(event, wire.StartInstance):
                self._policies[instance] = Policy(parse_settings(event.settings), event.seed)
                actions.pop(instance, None)
                new_actions = self._handle_event(instance, batch.now, Started())
            else:
                new_actions = self._handle_event(instance, batch.now, event)
            if new_actions:
                actions.setdefault(instance, []).extend(new_actions)
        return actions

    def _handle_event(self, instance: int, now: int, event: Event) -> list[Action]:
        policy = self._policies.get(instance)
        if policy is None:
            raise wire.WireError(f"event for instance {instance}, which was never started")
        try:
            return policy.handle(now, event)
        except Exception as error:  # whatever it is, the simulator gets a report
            raise PolicyError(instance, error) from error


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch with one reply until the input ends between frames.

    Raises:
        WireError: A frame or record is malformed, or an event is for an instance that was never started.
        SettingsError: An instance's settings can't be read.
    """
    host = PolicyHost()
    while (batch := wire.read_batch(source)) is not None:
        sink.write(wire.frame(host.handle_batch(batch)))
        sink.flush()


def main() -> int:
    """Serve standard input; returns the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as error:
        print(f"stepflow: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
