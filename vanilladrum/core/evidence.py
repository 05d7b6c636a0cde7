"""Which backend servers to doubt, from what their flows show.

A server answers callers directly, so an entry host hears of an answer when
the caller's next packet comes. A first packet that is not followed by one in
time is a silent attempt.
"""

import enum

from vanilladrum.core import backend as backends
from vanilladrum.core import health as healths

# Bounds of the wait for a caller's next packet, in seconds: the lower one is
# several times the way through a zone, the upper one lies below the 0.2 s
# after which callers repeat a first packet.
SHORTEST_WAIT = 0.03
LONGEST_WAIT = 0.15
# Smoothing of round trips as in RFC 6298.
MEAN_GAIN = 0.125
SPREAD_GAIN = 0.25
SPREAD_FACTOR = 4.0
THRESHOLDS = healths.Thresholds(
    consecutive=2, first_ejection=1.0, longest_ejection=8.0
)


class Standing(enum.IntEnum):
    """How far a server is trusted; the lower value is preferred."""

    GOOD = 0
    DOUBTED = 1
    EJECTED = 2


class Record:
    """What was seen of one server.

    :param started: which start of the server this is about.
    :param answered: when an answer was last noticed.
    :param silent: when a silent attempt was last noticed.
    """

    def __init__(self, started: int) -> None:
        self.started = started
        self.health = healths.Health(THRESHOLDS)
        self.answered = float("-inf")
        self.silent = float("-inf")


class RoundTrip:
    """Smoothed time from a first packet to the caller's next one."""

    def __init__(self) -> None:
        self.mean = 0.0
        self.spread = 0.0

    def add(self, seconds: float) -> None:
        """Take in one measurement."""
        if not self.mean:
            self.mean = seconds
            self.spread = seconds / 2
            return
        error = abs(seconds - self.mean)
        self.spread += SPREAD_GAIN * (error - self.spread)
        self.mean += MEAN_GAIN * (seconds - self.mean)

    def limit(self) -> float:
        """Return how long an answer may take, in seconds."""
        if not self.mean:
            return LONGEST_WAIT
        found = self.mean + SPREAD_FACTOR * self.spread
        return min(max(found, SHORTEST_WAIT), LONGEST_WAIT)


class Evidence:
    """Standing of every server, as this host sees it."""

    def __init__(self) -> None:
        self.records: dict[int, Record] = {}
        self.round_trip = RoundTrip()

    def record(self, server: backends.Backend) -> Record:
        """Return the record of this start of a server."""
        found = self.records.get(server.tag)
        if found is None or found.started != server.started:
            found = Record(server.started)
            self.records[server.tag] = found
        return found

    def answered(self, server: backends.Backend, now: float) -> None:
        """Count an answer; it ends all doubt."""
        record = self.record(server)
        record.answered = now
        record.health.succeeded()

    def silent(
        self, server: backends.Backend, sent: float, now: float
    ) -> bool:
        """Count a first packet without an answer.

        :param sent: when it was sent; an answer to a later packet shows
            that this one was merely lost.
        :returns: whether the server is ejected by it.
        """
        record = self.record(server)
        if record.answered >= sent:
            return False
        record.silent = now
        if not record.health.failed(now):
            return False
        record.health.eject(now)
        return True

    def standing(self, server: backends.Backend, now: float) -> Standing:
        """Return how far a server is trusted now."""
        record = self.records.get(server.tag)
        if record is None or record.started != server.started:
            return Standing.GOOD
        if not record.health.takes_work(now):
            return Standing.EJECTED
        if record.health.failures:
            return Standing.DOUBTED
        return Standing.GOOD

    def forget(self, tags: set[int]) -> None:
        """Drop the records of servers that are not known any more."""
        for tag in tags & self.records.keys():
            del self.records[tag]
