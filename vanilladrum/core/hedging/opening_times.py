"""How long the openings of a service take."""

import bisect
import math

# Upper bounds of the buckets in seconds, each 5 % above the one before: from
# a round trip inside a data centre to the time in which callers give up an
# opening.
_FIRST_BOUND = 0.0005
_LAST_BOUND = 2.0
_STEP = 1.05
_BOUNDS = [
    _FIRST_BOUND * _STEP**index
    for index in range(
        math.ceil(math.log(_LAST_BOUND / _FIRST_BOUND, _STEP)) + 1
    )
]
# All counts are halved when their sum reaches this number. The half is large
# enough for the highest percentile that can be set, 0.999.
MAX_OPENINGS = 2000
# Openings below which no percentile is known, however low it is.
MIN_OPENINGS = 20
# Openings between two calculations of the percentile.
CALCULATION_INTERVAL = 16


class OpeningTimes:
    """Percentile of the durations of the latest openings of a service.

    :param percentile: share of the openings that the limit has to exceed.
    :param limit: the percentile in seconds, at most 5 % too high; None
        while too few openings are known to tell it.
    """

    def __init__(self, percentile: float) -> None:
        self.percentile = percentile
        self.limit: float | None = None
        # Openings that tell the percentile: one of them exceeds it.
        self._enough = max(MIN_OPENINGS, math.ceil(1.0 / (1.0 - percentile)))
        self._counts = [0.0] * (len(_BOUNDS) + 1)
        self._sum = 0.0
        self._until_calculation = self._enough

    def add(self, seconds: float) -> None:
        """Add the duration of an opening.

        :param seconds: from the first packet to the caller's next packet.
        """
        self._counts[bisect.bisect_left(_BOUNDS, seconds)] += 1.0
        self._sum += 1.0
        if self._sum >= MAX_OPENINGS:
            self._counts = [count / 2 for count in self._counts]
            self._sum /= 2
        self._until_calculation -= 1
        if not self._until_calculation:
            self._until_calculation = CALCULATION_INTERVAL
            self.limit = self._calculate()

    def _calculate(self) -> float:
        below = 0.0
        for bound, count in zip(_BOUNDS, self._counts, strict=False):
            below += count
            if below >= self.percentile * self._sum:
                return bound
        return _BOUNDS[-1]
