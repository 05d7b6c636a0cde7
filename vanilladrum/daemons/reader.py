"""What the choice of the source needs to know of the readers of objects."""

from typing import Protocol

from vanilladrum.core import position as positions
from vanilladrum.platform import store as stores


class Reader(Protocol):
    """Reads the objects of one kind from the current source.

    :param kind: the kind.
    :param position: position of the store up to which changes were received,
        None before the first list.
    :param listed_at_store: when the store itself last answered a list, in
        monotonic seconds.
    :param sent_at: when the call that waits for its answer was sent, in
        monotonic seconds; infinite if there is none.
    :param is_required: whether a host without a list of the kind has to get
        one before it watches the store for others.
    """

    kind: str
    is_required: bool
    position: positions.StorePosition | None
    listed_at_store: float
    sent_at: float

    @property
    def is_listing(self) -> bool:
        """Return whether a list has been requested and not been answered."""

    def restart(self, delay: float = 0.0) -> None:
        """Cancel the current call and make a new one after a delay."""

    def change_source(self, delay: float = 0.0) -> None:
        """Call the new source after a delay, unless a list is pending."""

    def is_receiving(self) -> bool:
        """Return whether an answer is arriving now."""

    def list_from(self, source: stores.Store) -> None:
        """List once at a source, even while another one is followed."""

    def list_again(self) -> None:
        """List at the current source if the known list is of another era."""
