"""Limit of the first packets that cold servers receive from all hosts.

Each host keeps a share of the limit and sends no message for it. The argument
that the shares add up to no more than the limit is in docs/design/WARM-UP.md.
"""

import collections
from collections.abc import Callable
import heapq

from vanilladrum.core import backend as backends
from vanilladrum.core import neighbours as neighbour_tables
from vanilladrum.core import routes
from vanilladrum.core.warmup import members

# Span in seconds in which a host keeps its share. The limit holds for any
# second at the server; the margin is for first packets of the same host that
# take different times to reach it.
WINDOW_SECONDS = 1.05
# Bounds of the number of hosts that may open flows to a cold server, and the
# limit for each of them. Two hosts keep a server in use if one fails.
MIN_HOSTS = 2
MAX_HOSTS = 8
LIMIT_PER_HOST = 8
# Number of views of the fleet whose hosts together keep the limit.
VIEWS = 2


def divide(limit: float) -> tuple[int, int]:
    """Return how many hosts may open flows to a cold server and their share.

    :param limit: first packets a second that all hosts together may send.
    :returns: number of hosts and first packets a second for each of them.

    >>> divide(5.0), divide(50.0), divide(2.0), divide(1.0)
    ((2, 1), (6, 4), (1, 1), (1, 0))
    """
    hosts = min(MAX_HOSTS, max(MIN_HOSTS, int(limit // LIMIT_PER_HOST)))
    share = int(limit // (VIEWS * hosts))
    if share < 1:
        hosts = 1
        share = int(limit // VIEWS)
    return hosts, share


class WarmUpBudget:
    """Decides which cold servers may get a first packet from this host.

    :param data_centre: name of this host's data centre.
    :param neighbours: state of the other entry hosts.
    :param warm_ups: returns the warm-up by service that is in force.
    :param overage: factor of the rate that a cold server bears.
    :param slack: requests per second that it may get beyond that.
    :param counters: counters of the host.
    """

    def __init__(
        self,
        data_centre: str,
        neighbours: neighbour_tables.Neighbours,
        warm_ups: Callable[[], dict[str, routes.WarmUp]],
        overage: float,
        slack: float,
        counters: collections.Counter,
    ) -> None:
        self.data_centre = data_centre
        self.warm_ups = warm_ups
        self.overage = overage
        self.slack = slack
        self.counters = counters
        self.members = members.LocalMembers(neighbours)
        # When servers become warm according to their entries, by name, and
        # the same times in order.
        self._cold_until: dict[str, float] = {}
        self._expiries: list[tuple[float, str]] = []
        # When data centres returned from an evacuation, by name.
        self._returned: dict[str, float] = {}
        # Times of the first packets sent in the last WINDOW_SECONDS, by name
        # of the server, the one with the oldest last packet first.
        self._sent: collections.OrderedDict[str, collections.deque[float]] = (
            collections.OrderedDict()
        )

    @property
    def has_cold(self) -> bool:
        """Return whether any server may be cold."""
        return bool(self._cold_until or self._returned)

    def update_entry(self, server: backends.Backend, now: float) -> bool:
        """Count down the warm-up of a server from the arrival of its entry.

        :param server: the server as described by a new or changed entry.
        :param now: monotonic seconds.
        :returns: whether the server was not cold before.
        """
        was_cold = self.is_cold(server, now)
        if server.warm_up <= 0:
            self._cold_until.pop(server.name, None)
            return False
        until = now + server.warm_up
        if server.name not in self._cold_until:
            heapq.heappush(self._expiries, (until, server.name))
        self._cold_until[server.name] = until
        return not was_cold

    def data_centre_returned(self, name: str, now: float) -> None:
        """Treat the servers of a data centre as cold after its evacuation.

        :param name: name of the data centre.
        :param now: monotonic seconds.
        """
        self._returned[name] = now

    def is_cold(self, server: backends.Backend, now: float) -> bool:
        """Return whether a server is cold.

        :param now: monotonic seconds.
        """
        if self._cold_until.get(server.name, now) > now:
            return True
        returned = self._returned.get(server.data_centre)
        if returned is None:
            return False
        return now - returned < self._return_seconds(server)

    def may_send(self, server: backends.Backend, now: float) -> bool:
        """Return whether a first packet may be sent to a server.

        :param now: monotonic seconds.
        """
        if not self.is_cold(server, now):
            return True
        if server.data_centre != self.data_centre:
            # Only its own hosts know who the others are.
            return False
        hosts, share = divide(self.limit(server.service))
        if not share:
            return False
        if not self.members.is_among_first(server.name, hosts, now):
            return False
        return self._count_sent(server.name, now) < share

    def record(self, server: backends.Backend, now: float) -> None:
        """Record a first packet that is forwarded to a server.

        :param now: monotonic seconds.
        """
        if not self.is_cold(server, now):
            return
        self.counters["cold_first_packets"] += 1
        sent = self._sent.setdefault(server.name, collections.deque())
        sent.append(now)
        self._sent.move_to_end(server.name)
        self._count_sent(server.name, now)

    def limit(self, service: str) -> float:
        """Return the first packets a second that a cold server may receive.

        A rate of 0 leaves the slack.
        """
        warm_up = self.warm_ups().get(service)
        rate = warm_up.rate if warm_up is not None else 0.0
        return rate * self.overage + self.slack

    def has_rate(self, service: str) -> bool:
        """Return whether the configuration names a rate for a service."""
        warm_up = self.warm_ups().get(service)
        return warm_up is not None and warm_up.rate > 0

    def tick(self, now: float) -> None:
        """Notice pauses of this process and remove what has expired.

        :param now: monotonic seconds.
        """
        self.members.observe(now)
        while self._expiries and self._expiries[0][0] <= now:
            _, name = heapq.heappop(self._expiries)
            until = self._cold_until.get(name, now)
            if until > now:
                # A later entry has made it longer.
                heapq.heappush(self._expiries, (until, name))
                continue
            self._cold_until.pop(name, None)
        while self._sent:
            name, sent = next(iter(self._sent.items()))
            if now - sent[-1] <= WINDOW_SECONDS:
                break
            del self._sent[name]
        for centre in list(self._returned):
            if now - self._returned[centre] > self.longest_return():
                del self._returned[centre]

    def longest_return(self) -> float:
        """Return for how long a returned data centre has cold servers.

        :returns: seconds, an upper bound.
        """
        return 2 * max(
            (each.seconds for each in self.warm_ups().values()), default=0.0
        )

    def count_cold(self, directory: backends.ServerDirectory) -> int:
        """Return the number of cold servers, as of the last tick.

        :param directory: servers in use.
        """
        names = self._cold_until.keys() & directory.servers.keys()
        now = self.members.observed_at
        for centre in self._returned:
            for pool in directory.pools.values():
                names.update(
                    server.name
                    for server in pool.by_data_centre.get(centre, ())
                    if self.is_cold(server, now)
                )
        return len(names)

    def _return_seconds(self, server: backends.Backend) -> float:
        """Return for how long a server of a returned data centre is cold.

        The servers become warm one after the other, so that the data centre
        takes its load in steps.
        """
        warm_up = self.warm_ups().get(server.service)
        if warm_up is None:
            return 0.0
        # The tag is a 32-bit checksum of the name.
        return warm_up.seconds * (1 + server.tag / 2**32)

    def _count_sent(self, name: str, now: float) -> int:
        """Count a server's first packets in the last WINDOW_SECONDS."""
        sent = self._sent.get(name)
        if sent is None:
            return 0
        while sent and now - sent[0] > WINDOW_SECONDS:
            sent.popleft()
        if not sent:
            del self._sent[name]
        return len(sent)
