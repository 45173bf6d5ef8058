"""Lists that discovery should not send."""

from __future__ import annotations

import pytest

from stepflow.upstream import EndpointGroup, EndpointListError

ENTRY = {"uid": "s-1", "endpoint": "127.0.0.1:7", "az": "a", "model": "k", "state": "Ready", "boot_ms": 5}


@pytest.mark.parametrize(
    "change",
    [
        {"uid": 3},
        {"state": "Odd"},
        {"endpoint": "nowhere"},
        {"boot_ms": "x"},
        {"boot_ms": float("inf")},
        {"capacity_hint": [1]},
        {"capacity_hint": float("inf")},
    ],
)
def test_a_bad_list_changes_nothing(change: dict[str, object]) -> None:
    group = EndpointGroup(("a",), ("k",))
    whole, [server] = group.apply({"rev": 4, "all": True, "targets": [ENTRY]})
    assert whole and server.started_us == 5000
    with pytest.raises(EndpointListError):
        group.apply({"rev": 5, "all": True, "targets": [{**ENTRY, "uid": "s-2"}, {**ENTRY, **change}]})
    assert group.rev == 4 and group.address_of("s-1") is not None and group.address_of("s-2") is None
