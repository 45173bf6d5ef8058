"""Tables of numbered slots, bounded in size."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class SlotTable(Generic[T]):
    """A fixed number of slots; an id names a slot and its generation.

    A slot is used again after it was given back. The generation in the id keeps a late event or
    timer, which still holds the old id, from reaching the slot's next holder.
    """

    def __init__(self, size: int) -> None:
        if size < 1:
            raise ValueError(f"a table of {size} slots")
        self._size = size
        self._items: list[T | None] = []  # grows to the size as slots are first used
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """The items held now; the table may change while they are gone through."""
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

    def get(self, id: int) -> T | None:
        """The item of this id, unless its slot was given back since."""
        generation, index = divmod(id, self._size)
        if index >= len(self._items) or self._generations[index] != generation:
            return None
        return self._items[index]

    def remove(self, id: int) -> T | None:
        """Empty the slot of this id; an id that is stale changes nothing."""
        item = self.get(id)
        if item is not None:
            index = id % self._size
            self._items[index] = None
            self._generations[index] += 1
            self._free.append(index)
        return item
