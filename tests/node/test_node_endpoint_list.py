"""How a real node applies the endpoint list from discovery, over loopback."""

from __future__ import annotations

from tests.node_kit import PATIENCE, Discovery, Node, Peer, opening


def test_draining_endpoint_gets_no_new_sessions() -> None:
    with Node(first := Peer("s-1"), second := Peer("s-2"), discovery=(discovery := Discovery())) as node:
        assert discovery.calls.get(timeout=PATIENCE) == "/v1/servers?watch=1&from=1"
        discovery.tell(first.entry("Terminating"))
        discovery.tell({"uid": "s-9", "state": "Nonsense"})  # ends the watch; the next starts from rev 2
        assert discovery.calls.get(timeout=PATIENCE) == "/v1/servers?watch=1&from=2"
        for number in range(6):
            assert node.client(opening(number)).read() == "UP r1"
        assert first.lines.empty() and second.lines.qsize() == 6


def test_silent_watch_is_restarted_from_the_revision_held() -> None:
    discovery = Discovery('{"rev":7,"all":false,"targets":[]}')
    with Node(Peer("s-1"), discovery=discovery) as node:
        calls = [discovery.calls.get(timeout=PATIENCE) for _ in range(2)]
        assert calls == ["/v1/servers?watch=1&from=1", "/v1/servers?watch=1&from=7"]
        assert node.client(opening()).read() == "UP r1"
