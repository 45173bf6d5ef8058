"""The endpoint list: revisions, complete lists and changes, and bad messages."""

from __future__ import annotations

from typing import Any

import pytest

from stepflow.interface import Availability
from stepflow.upstream import EndpointGroup, EndpointListError


def entry(uid: str, state: str = "Ready") -> dict[str, Any]:
    return {"uid": uid, "endpoint": "127.0.0.1:1", "az": "a", "model": "k", "state": state}


def test_a_later_message_of_a_call_with_a_lower_revision_is_ignored() -> None:
    group = EndpointGroup(("a",), ("k",))
    group.apply({"rev": 5, "all": True, "targets": [entry("s-1"), entry("s-2")]})
    is_full, endpoints = group.apply({"rev": 7, "all": False, "targets": [entry("s-1", "Terminating")]})
    assert not is_full and endpoints[0].availability == Availability.DRAINING
    assert group.apply({"rev": 6, "all": False, "targets": [entry("s-1")]}, is_first_of_call=False) == (
        False,
        (),
    )
    assert group.apply({"rev": 4, "all": True, "targets": [entry("s-9")]}, is_first_of_call=False) == (
        False,
        (),
    )
    assert group.revision == 7 and [e["uid"] for e in group.to_message()["targets"]] == ["s-1", "s-2"]
    assert group.to_message()["targets"][0]["state"] == "Terminating"


def test_a_full_list_that_is_first_in_a_call_is_applied_whatever_its_revision() -> None:
    group = EndpointGroup(("a",), ("k",))
    group.apply({"rev": 2**53 + 1, "all": True, "targets": [entry("s-1")]})
    is_full, endpoints = group.apply({"rev": 3, "all": True, "targets": [entry("s-2")]})
    assert is_full and endpoints[0].id == "s-2" and group.revision == 3


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
def test_a_malformed_message_changes_nothing(change: dict[str, object]) -> None:
    group = EndpointGroup(("a",), ("k",))
    is_full, [server] = group.apply({"rev": 4, "all": True, "targets": [ENTRY]})
    assert is_full and server.started_us == 5000
    with pytest.raises(EndpointListError):
        group.apply({"rev": 5, "all": True, "targets": [{**ENTRY, "uid": "s-2"}, {**ENTRY, **change}]})
    assert group.revision == 4 and group.address_of("s-1") is not None and group.address_of("s-2") is None
