"""The table of slots with unique ids."""

from __future__ import annotations

from stepflow.node.runtime.slots import SlotTable


def test_a_stale_id_never_reaches_the_next_item_of_its_slot() -> None:
    table: SlotTable[str] = SlotTable(2)
    first, second = table.add("a"), table.add("b")
    assert first is not None and second is not None and table.add("c") is None  # full
    assert table.remove(first) == "a" and table.remove(first) is None
    third = table.add("c")
    assert third is not None and table.get(third) == "c" and len(table) == 2
    assert table.get(first) is None and list(table) == ["c", "b"]
