"""The request log: the steps of each request by its client's request id."""

from __future__ import annotations

import re
from pathlib import Path

from tests.node_kit import FakeEndpoint, Node, open_line


def events_of(seen: str, request: str) -> list[str]:
    """The log events of one request, in order."""
    lines = [line for line in seen.splitlines() if f"request={request}" in line]
    return [found[1] for line in lines if (found := re.search(r'event="([^"]*)"', line))]


def test_requests_are_not_logged_at_the_default_level() -> None:
    with Node(FakeEndpoint("s-1")) as node:
        assert node.client(open_line(7)).read() == "UP r1"
        node.wait_for_counter("served", 1)
        assert events_of(node.log_text, f"{7:016x}") == []


def test_a_rejected_request_is_logged_with_its_attempts_and_the_reason(tmp_path: Path) -> None:
    conf = tmp_path / "stepflow.conf"
    conf.write_text("log {\n    level debug\n}\n")
    node = Node(FakeEndpoint("s-1", OPEN="BUSY"))
    node.env["STEPFLOW_CONF"] = str(conf)
    with node:
        assert node.client(open_line(7, wait_ms=400)).read().startswith("BUSY")
        node.wait_for_counter("rejected", 1)
        events = events_of(node.log_text, f"{7:016x}")
        closed = [event for event in events if event == "connection closed"]
        events = [event for event in events if event != "connection closed"]
        assert events[0] == "request accepted" and events[-1] == "request answered"
        attempts = events.count("attempt started")
        # One for each attempt, and one for the client once it has read its answer.
        assert attempts <= len(closed) <= attempts + 1
        assert attempts >= 2 and events.count("attempt ended") == attempts
        assert re.search(r'event="attempt ended" .*result=full', node.log_text)
        assert re.search(r'event="request answered" .*answer=BUSY why="policy decision"', node.log_text)
        node.wait_for_counter("retries", attempts - 1)
