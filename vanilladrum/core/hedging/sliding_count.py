"""Number of events in a sliding window, in constant memory."""

import math

# Length of a slot in seconds. A power of two, so that slot boundaries are
# exact in binary floating point.
SLOT_SECONDS = 0.125


class SlidingCount:
    """Counts the events of the last slots of time.

    :param slots: number of slots that are counted, including the current
        one, of which a part has passed.
    :param total: number of events in these slots at the last call.
    """

    def __init__(self, slots: int) -> None:
        self.total = 0
        self._counts = [0] * slots
        self._newest = 0

    def add(self, now: float, happened: float | None = None) -> None:
        """Count an event; one that is too old is ignored.

        :param now: monotonic seconds.
        :param happened: when it happened, monotonic seconds; now if None.
        """
        self.advance(now)
        slot = _slot(now if happened is None else happened)
        if self._newest - slot >= len(self._counts):
            return
        self._counts[slot % len(self._counts)] += 1
        self.total += 1

    def advance(self, now: float) -> int:
        """Remove the events that are too old.

        :param now: monotonic seconds.
        :returns: the number of events left.
        """
        newest = _slot(now)
        size = len(self._counts)
        for step in range(min(newest - self._newest, size)):
            index = (newest - step) % size
            self.total -= self._counts[index]
            self._counts[index] = 0
        self._newest = max(newest, self._newest)
        return self.total


def _slot(moment: float) -> int:
    return math.floor(moment / SLOT_SECONDS)
