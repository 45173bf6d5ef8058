"""The endpoint list: its versions, and which update undoes which."""

from __future__ import annotations

from typing import Any

from stepflow.interface import Availability
from stepflow.upstream import EndpointGroup


def entry(uid: str, state: str = "Ready") -> dict[str, Any]:
    return {"uid": uid, "endpoint": "127.0.0.1:1", "az": "a", "model": "k", "state": state}


def test_an_older_message_undoes_nothing() -> None:
    group = EndpointGroup(("a",), ("k",))
    group.apply({"rev": 5, "all": True, "targets": [entry("s-1"), entry("s-2")]})
    is_full, endpoints = group.apply({"rev": 7, "all": False, "targets": [entry("s-1", "Terminating")]})
    assert not is_full and endpoints[0].availability == Availability.DRAINING
    assert group.apply({"rev": 6, "all": False, "targets": [entry("s-1")]}, begins=False) == (False, ())
    assert group.apply({"rev": 4, "all": True, "targets": [entry("s-9")]}, begins=False) == (False, ())
    assert group.rev == 7 and [e["uid"] for e in group.message()["targets"]] == ["s-1", "s-2"]
    assert group.message()["targets"][0]["state"] == "Terminating"


def test_a_source_that_counts_anew_is_followed_from_its_first_whole_list() -> None:
    group = EndpointGroup(("a",), ("k",))
    group.apply({"rev": 2**53 + 1, "all": True, "targets": [entry("s-1")]})
    is_full, endpoints = group.apply({"rev": 3, "all": True, "targets": [entry("s-2")]})
    assert is_full and endpoints[0].id == "s-2" and group.rev == 3
