"""A table of bounded size whose items have unique ids."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class SlotTable(Generic[T]):
    """Holds a bounded number of items, each under an id that is never reused.

    An id combines the index of a slot with the slot's generation, which is incremented whenever an item is
    removed. So a late event or timer with an old id can't access the next item of the slot.
    """

    def __init__(self, size: int) -> None:
        if size < 1:
            raise ValueError(f"a table needs at least 1 slot, got {size} slots")
        self._size = size
        self._items: list[T | None] = []  # grows up to `size` as slots are first used
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """Iterate over a copy of the items, so that the table may change meanwhile."""
        return iter([item for item in self._items if item is not None])

    def add(self, item: T) -> int | None:
        """Put an item into a free slot and return its id; None when the table is full."""
        if self._free:
            index = self._free.pop()
            self._items[index] = item
        elif len(self._items) < self._size:
            index = len(self._items)
            self._items.append(item)
            self._generations.append(1)
        else:
            return None
        return self._generations[index] * self._size + index

    def get(self, item_id: int) -> T | None:
        """The item with this id; None if it was removed."""
        generation, index = divmod(item_id, self._size)
        if index >= len(self._items) or self._generations[index] != generation:
            return None
        return self._items[index]

    def remove(self, item_id: int) -> T | None:
        """Remove and return the item with this id; None if it was removed before."""
        item = self.get(item_id)
        if item is not None:
            index = item_id % self._size
            self._items[index] = None
            self._generations[index] += 1
            self._free.append(index)
        return item
