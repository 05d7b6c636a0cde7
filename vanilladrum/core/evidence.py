"""Which backend servers to doubt, from what their flows show.

A server answers callers directly, so an entry host hears of an answer when
the caller's next packet comes. A first packet that is not followed by one in
time is a silent attempt. Servers that fall silent together in one data centre
are taken for cut off with it.
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
# Silent servers that make a whole data centre doubtful, and how many do when
# its entry hosts are not heard either.
SILENT_SERVERS = 2
SILENT_SERVERS_UNHEARD = 1
# Pauses between checks of a doubted server, in seconds: a lost packet is
# cleared up at once, a cut of seconds costs a check a second.
CHECK_PAUSES = (0.0, 0.25, 0.5, 1.0)


class Standing(enum.IntEnum):
    """How far a server is trusted; the lower value is preferred."""

    GOOD = 0
    DOUBTED = 1
    EJECTED = 2


class Record:
    """What was seen of one server.

    :param started: which start of the server this is about.
    :param answered: when an answer was last noticed.
    :param doubted: whether it stayed silent since.
    :param checks: how often it was checked since.
    :param next_check: when it is to be checked again.
    """

    def __init__(self, started: int) -> None:
        self.started = started
        self.health = healths.Health(THRESHOLDS)
        self.answered = float("-inf")
        self.doubted = False
        self.checks = 0
        self.next_check = float("-inf")


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
    """Standing of every server, as this host sees it.

    :param silent_servers: by data centre, the tags of the servers that
        stayed silent since any server there answered.
    """

    def __init__(self) -> None:
        self.records: dict[int, Record] = {}
        self.round_trip = RoundTrip()
        self.silent_servers: dict[str, set[int]] = {}
        self.unheard: set[str] = set()

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
        record.doubted = False
        record.health.succeeded()
        self._reached(server)

    def silent(
        self, server: backends.Backend, sent: float, now: float
    ) -> bool:
        """Count a first packet without an answer.

        :param sent: when it was sent; an answer noticed since shows that
            this packet was merely lost.
        :returns: whether the server is ejected by it.
        """
        record = self.record(server)
        if record.answered >= sent:
            return False
        if not record.doubted:
            record.doubted = True
            record.checks = 0
            record.next_check = now
        tags = self.silent_servers.setdefault(server.data_centre, set())
        tags.add(server.tag)
        if not record.health.failed(now):
            return False
        record.health.eject(now)
        return True

    def checked(
        self, server: backends.Backend, good: bool, now: float
    ) -> None:
        """Take in the outcome of a check of a doubted server.

        A good check ends a doubt, but not an ejection: that rests on flows
        which stayed silent although the server called itself healthy. It
        does when the whole data centre was out of reach.
        """
        record = self.record(server)
        if not good:
            return
        record.doubted = False
        if self.cut_off(server.data_centre):
            record.health.ejected_until = now
        self._reached(server)

    def due_checks(
        self, servers: list[backends.Backend], now: float
    ) -> list[backends.Backend]:
        """Return the doubted servers that are to be checked now."""
        due = []
        for server in servers:
            record = self.records.get(server.tag)
            if record is None or not record.doubted:
                continue
            if record.next_check > now:
                continue
            last = len(CHECK_PAUSES) - 1
            record.checks = min(record.checks + 1, last)
            record.next_check = now + CHECK_PAUSES[record.checks]
            due.append(server)
        return due

    def cut_off(self, data_centre: str) -> bool:
        """Return whether a data centre seems to be out of reach."""
        silent = len(self.silent_servers.get(data_centre, ()))
        if data_centre in self.unheard:
            return silent >= SILENT_SERVERS_UNHEARD
        return silent >= SILENT_SERVERS

    def standing(self, server: backends.Backend, now: float) -> Standing:
        """Return how far a server is trusted now."""
        record = self.records.get(server.tag)
        if record is not None and record.started == server.started:
            if not record.health.takes_work(now):
                return Standing.EJECTED
            if record.doubted:
                return Standing.DOUBTED
        if self.cut_off(server.data_centre):
            return Standing.DOUBTED
        return Standing.GOOD

    def forget(self, server: backends.Backend) -> None:
        """Drop what is known of a server that is gone."""
        self.records.pop(server.tag, None)
        self.silent_servers.get(server.data_centre, set()).discard(server.tag)

    def _reached(self, server: backends.Backend) -> None:
        self.silent_servers.pop(server.data_centre, None)
