"""How a real node applies the endpoint list from discovery, over loopback."""

from __future__ import annotations

from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line


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
