"""States of the store in the order in which it had them."""

from typing import NamedTuple


class StorePosition(NamedTuple):
    """A state of the store.

    A restored store goes back to an earlier revision and gives out the later
    ones again, so revisions are comparable within an era only. Positions are
    comparable across eras: every later era follows every earlier one.

    :param era: number of restores of the store, 0 if it is unknown.
    :param revision: revision of the store in that era.

    >>> StorePosition(2, 5) > StorePosition(1, 90) > StorePosition(1, 89)
    True
    """

    era: int
    revision: int


# Position before the first list.
START = StorePosition(0, 0)
