"""A set that can be sampled at random in constant time."""

from collections.abc import Iterator
import random
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")


class IndexedSet(Generic[Item]):
    """A set whose members also have a position in a list.

    Adding, removing and drawing a member take the same time whatever the
    size of the set. The order of the members is arbitrary.

    :param items: the members.

    >>> members = IndexedSet()
    >>> for each in "abc":
    ...     members.add(each)
    >>> members.discard("a")
    >>> sorted(members), "a" in members
    (['b', 'c'], False)
    """

    def __init__(self) -> None:
        self.items: list[Item] = []
        self._positions: dict[Item, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __iter__(self) -> Iterator[Item]:
        return iter(self.items)

    def __contains__(self, item: object) -> bool:
        return item in self._positions

    def add(self, item: Item) -> None:
        """Add a member; one that is present already is ignored."""
        if item in self._positions:
            return
        self._positions[item] = len(self.items)
        self.items.append(item)

    def discard(self, item: Item) -> None:
        """Remove a member; one that is not present is ignored."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self.items.pop()
        if position < len(self.items):
            self.items[position] = last
            self._positions[last] = position

    def sample(self, count: int, rng: random.Random) -> list[Item]:
        """Return different members at random, all if there are few."""
        if len(self.items) <= count:
            return list(self.items)
        return rng.sample(self.items, count)
