"""Histograms with fixed bounds, as monitoring systems read them."""

import bisect

# Upper bounds of the buckets, in seconds: from a round trip within a data
# centre to the longest time that callers wait.
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
    """Histogram of durations.

    A metrics library is not used, because loading it would delay the first
    packet after a restart. The metrics page only needs these counts.

    :param counts: measurements per bucket; the last one has no upper bound.
    :param sum: sum of all measurements, in seconds.

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
        """Add a measurement to its bucket and to the sum."""
        self.counts[bisect.bisect_left(BOUNDS, seconds)] += 1
        self.sum += seconds

    @property
    def count(self) -> int:
        """Return the number of measurements."""
        return sum(self.counts)

    def cumulative(self) -> list[int]:
        """Return for each bound how many measurements do not exceed it."""
        totals = []
        total = 0
        for count in self.counts[:-1]:
            total += count
            totals.append(total)
        return totals
