"""How a real node applies the endpoint list from discovery, over loopback."""

from __future__ import annotations

import json
import time
from typing import Any

from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line

LATE_FIRST_POLL = "8c1f30d27a5be964"  # a seed that draws 2.46 s of 2.5 s for the first call
ASK_WITHIN_S, GRACE_S = 1.0, 0.25
BINDS_S = ASK_WITHIN_S + GRACE_S + 0.05  # "every time limit is 50 ms longer"


def test_draining_endpoint_gets_no_new_sessions() -> None:
    with Node(
        first := FakeEndpoint("s-1"), second := FakeEndpoint("s-2"), discovery=(discovery := Discovery())
    ) as node:
        assert discovery.watch_paths.get(timeout=TIMEOUT_S) == "/v1/servers?watch=1&from=1"
        discovery.send_update(first.list_entry("Terminating"))
        discovery.send_update({"uid": "s-9", "state": "Nonsense"})  # ends the watch; the next is from rev 2
        assert discovery.watch_paths.get(timeout=TIMEOUT_S) == "/v1/servers?watch=1&from=2"
        for number in range(6):
            assert node.client(open_line(number)).read() == "UP r1"
        assert first.received_lines.empty() and second.received_lines.qsize() == 6


def test_silent_watch_is_restarted_from_the_revision_held() -> None:
    discovery = Discovery('{"rev":7,"all":false,"targets":[]}')
    with Node(FakeEndpoint("s-1"), discovery=discovery) as node:
        calls = [discovery.watch_paths.get(timeout=TIMEOUT_S) for _ in range(2)]
        assert calls == ["/v1/servers?watch=1&from=1", "/v1/servers?watch=1&from=7"]
        assert node.client(open_line()).read() == "UP r1"


def test_process_that_has_not_called_discovery_yet_does_not_go_by_its_old_list_for_too_long() -> None:
    """Guards against a first call that comes later than `safety.ask_within_us` allows."""

    def ask_soon(config: dict[str, Any]) -> None:
        config["seed"] = LATE_FIRST_POLL
        config["settings"]["safety"] = {
            "ask_within_us": round(ASK_WITHIN_S * 1e6),
            "drain_grace_us": round(GRACE_S * 1e6),
        }

    first, second = FakeEndpoint("s-1"), FakeEndpoint("s-2")
    entries = [first.list_entry("Terminating"), second.list_entry()]
    discovery = Discovery(first_update=json.dumps({"rev": 2, "all": True, "targets": entries}))
    with Node(first, second, discovery=discovery, edit_config=ask_soon) as node:
        time.sleep(BINDS_S)  # from when it listens, which is later than its start
        for number in range(1, 13):
            assert node.client(open_line(number, group=number)).read() == "UP r1"
    assert (first.received_lines.qsize(), second.received_lines.qsize()) == (0, 12)
