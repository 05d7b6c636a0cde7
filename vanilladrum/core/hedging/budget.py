"""Limit of the hedges of one host."""

from vanilladrum.core.hedging import sliding_count

WINDOW_SECONDS = 10.0
_WINDOW_SLOTS = round(WINDOW_SECONDS / sliding_count.SLOT_SECONDS)


class HedgeBudget:
    """Keeps hedges below a share of the first packets that may be hedged.

    The limit holds in each window of WINDOW_SECONDS that ends with a hedge;
    the first packets of the time after a hedge are not known when it is sent.
    Events are counted in slots: a first packet is forgotten up to one slot
    too early and a hedge up to one slot too late, never the other way round.

    :param share: hedges allowed per first packet.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._first_packets = sliding_count.SlidingCount(_WINDOW_SLOTS)
        self._hedges = sliding_count.SlidingCount(_WINDOW_SLOTS + 1)

    def record_first_packet(self, now: float) -> None:
        """Record a first packet that may be hedged.

        :param now: monotonic seconds.
        """
        self._first_packets.add(now)

    def record_hedge(self, now: float) -> None:
        """Record a hedge, which :meth:`allows` has allowed.

        :param now: monotonic seconds.
        """
        self._hedges.add(now)

    def allows(self, now: float) -> bool:
        """Return whether one more hedge keeps the limit.

        :param now: monotonic seconds.
        """
        hedges = self._hedges.advance(now) + 1
        return hedges <= self.share * self._first_packets.advance(now)
