"""Hosts isolated instances of the policy for the simulator, over standard input and output.

`python -m stepflow.simhost` answers every batch with one reply until the input ends between frames. A
malformed frame, record or settings text ends it with exit code 1 and one line on standard error. An exception
of a policy does not end it: the reply reports the exception to the simulator.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from stepflow import wire
from stepflow.interface import Action, Event, Started
from stepflow.policy import Policy
from stepflow.settings import SettingsError, parse_settings


class PolicyError(Exception):
    """The policy of an instance raised an exception while it handled an event."""

    def __init__(self, instance: int, cause: Exception) -> None:
        super().__init__(f"{type(cause).__name__}: {cause}")
        self.instance = instance


class PolicyHost:
    """The instances of one simulation by their numbers; they share no state."""

    def __init__(self) -> None:
        self._policies: dict[int, Policy] = {}

    def handle_batch(self, batch: wire.Batch) -> list[bytes]:
        """Return the reply's records: all actions, or only the report of a policy's exception."""
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
        """Return the actions by instance, without those of an instance from before its stop or restart."""
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
            raise wire.WireError(f"event for instance {instance}, which is not running")
        try:
            return policy.handle(now, event)
        except Exception as error:  # the simulator gets a report of any exception
            raise PolicyError(instance, error) from error


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch with one reply until the input ends between frames.

    Raises:
        WireError: A frame or record is malformed, or an event is for an instance that is not running.
        SettingsError: The settings of an instance can't be parsed.
    """
    host = PolicyHost()
    while (batch := wire.read_batch(source)) is not None:
        sink.write(wire.frame(host.handle_batch(batch)))
        sink.flush()


def main() -> int:
    """Serve standard input; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as error:
        print(f"stepflow: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
