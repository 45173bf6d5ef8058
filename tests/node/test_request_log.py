"""The log tells what became of a request, by the id that its client gave."""

from __future__ import annotations

import re
from pathlib import Path

from tests.node_kit import Node, Peer, opening


def steps(seen: str, request: str) -> list[str]:
    """The events of one request, in order."""
    lines = [line for line in seen.splitlines() if f"request={request}" in line]
    return [found[1] for line in lines if (found := re.search(r'event="([^"]*)"', line))]


def test_nothing_is_told_of_a_request_at_the_usual_level() -> None:
    with Node(Peer("s-1")) as node:
        assert node.client(opening(7)).read() == "UP r1"
        node.wait_counted("served", 1)
        assert steps(node.seen, f"{7:016x}") == []


def test_a_refused_request_shows_its_attempts_and_why_it_ended(tmp_path: Path) -> None:
    conf = tmp_path / "stepflow.conf"
    conf.write_text("log {\n    level debug\n}\n")
    node = Node(Peer("s-1", OPEN="BUSY"))
    node.env["STEPFLOW_CONF"] = str(conf)
    with node:
        assert node.client(opening(7, d=400)).read().startswith("BUSY")
        node.wait_counted("rejected", 1)
        told = steps(node.seen, f"{7:016x}")
        assert told[0] == "request taken" and told[-1] == "request answered"
        attempts = told.count("attempt begun")
        assert attempts >= 2 and told.count("attempt ended") == attempts
        assert re.search(r'event="attempt ended" .*result=full', node.seen)
        assert re.search(r'event="request answered" .*answer=BUSY why="the module"', node.seen)
        node.wait_counted("retries", attempts - 1)
