"""Items that several keys refer to, for as long as a block runs."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key")
Item = TypeVar("Item")


class KeyedItems(Generic[Key, Item]):
    """Items by any number of keys each."""

    def __init__(self) -> None:
        self._items: dict[Key, list[Item]] = {}

    def __len__(self) -> int:
        """Return the number of keys with items."""
        return len(self._items)

    @contextlib.contextmanager
    def hold(self, keys: Iterable[Key], item: Item) -> Iterator[None]:
        """Keep the item under its keys until the block ends."""
        held = tuple(keys)
        for key in held:
            self._items.setdefault(key, []).append(item)
        try:
            yield
        finally:
            for key in held:
                self._remove(key, item)

    def find(self, key: Key) -> tuple[Item, ...]:
        """Return the items of a key, in the order of their arrival."""
        return tuple(self._items.get(key, ()))

    def _remove(self, key: Key, item: Item) -> None:
        items = self._items[key]
        items.remove(item)
        if not items:
            del self._items[key]
