"""Histograms with fixed bounds, as monitoring systems read them."""

import bisect

# Seconds; from a round trip in a data centre to a caller's patience.
BOUNDS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Histogram:
    """Counts of measurements up to each bound.

    A library's histogram would have to be loaded before the first packet of
    a restarted host; these counts are all that the metrics page needs.

    >>> histogram = Histogram()
    >>> histogram.add(0.03)
    >>> histogram.add(99.0)
    >>> histogram.cumulative()[4], histogram.count
    (1, 2)
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS) + 1)
        self.sum = 0.0

    def add(self, seconds: float) -> None:
        """Take in one measurement."""
        self.counts[bisect.bisect_left(BOUNDS, seconds)] += 1
        self.sum += seconds

    @property
    def count(self) -> int:
        """Return the number of measurements."""
        return sum(self.counts)

    def cumulative(self) -> list[int]:
        """Return for each bound how many measurements lie up to it."""
        found = []
        total = 0
        for count in self.counts[:-1]:
            total += count
            found.append(total)
        return found
