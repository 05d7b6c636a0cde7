"""Decides whether a first packet is hedged, and at which server."""

import collections
import random

from vanilladrum.core import backend as backends
from vanilladrum.core import balance
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core.hedging import budget as budgets
from vanilladrum.core.hedging import opening_times
from vanilladrum.core.hedging import settings as hedge_settings
from vanilladrum.core.hedging import sliding_count
from vanilladrum.core import routes

# Capacity counts as scarce while more than this share of the first packets of
# the last seconds was left unanswered, if there were enough of them.
SCARCE_SHARE = 0.1
SCARCE_SECONDS = 2.0
MIN_PACKETS = 10
_SCARCE_SLOTS = round(SCARCE_SECONDS / sliding_count.SLOT_SECONDS)


class HedgePolicy:
    """Decides about hedges from what this host observes.

    :param directory: servers in use.
    :param failure_detector: source of the health status of the servers.
    :param balancer: chooses among the servers that may get a hedge.
    :param counters: counters of the host.
    :param rng: source of randomness.
    :param budget: limit of the hedges of this host.
    """

    def __init__(
        self,
        settings: hedge_settings.HedgeSettings,
        directory: backends.ServerDirectory,
        failure_detector: failure_detectors.FailureDetector,
        balancer: balance.Balancer,
        counters: collections.Counter,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.failure_detector = failure_detector
        self.balancer = balancer
        self.counters = counters
        self.rng = rng
        self.budget = budgets.HedgeBudget(settings.share)
        self._opening_times: dict[str, opening_times.OpeningTimes] = {}
        # First packets sent to servers, with copies and hedges, and those
        # among them that were left unanswered.
        self._sent = sliding_count.SlidingCount(_SCARCE_SLOTS)
        self._unanswered = sliding_count.SlidingCount(_SCARCE_SLOTS)

    def covers(self, route: routes.Route, service: str) -> bool:
        """Return whether first packets to a service may be hedged."""
        if not route.repeatable or not route.gives_new_flows(service):
            return False
        selected = self.settings.services
        return selected is None or service in selected

    def limit(self, service: str) -> float | None:
        """Return the wait after which an opening counts as slow.

        :returns: seconds, None while too few openings of the service are
            known.
        """
        times = self._opening_times.get(service)
        if times is None or times.limit is None:
            return None
        return max(times.limit, self.settings.floor)

    def wait(self, service: str) -> float:
        """Return the seconds after which an opening is decided about.

        A server is not suspected before the time limit for an answer is
        over, so there is nothing to decide before.
        """
        timeout = self.failure_detector.round_trip.timeout()
        return max(timeout, self.limit(service) or 0.0)

    def record_opening(self, service: str, seconds: float) -> None:
        """Record the duration of an opening whose packet was sent once.

        Those that were sent again are left out: they mostly last as long as
        callers wait before they repeat a packet. With one in a hundred of
        them, the 99th percentile would be that wait, and no hedge would come
        before the caller's own copy.
        """
        times = self._opening_times.get(service)
        if times is None:
            times = opening_times.OpeningTimes(self.settings.percentile)
            self._opening_times[service] = times
        times.add(seconds)

    def record_sent(self, now: float) -> None:
        """Record a first packet, copy or hedge that is sent now.

        :param now: monotonic seconds.
        """
        self._sent.add(now)

    def record_unanswered(self, sent: float, now: float) -> None:
        """Record that a first packet was not answered in time.

        :param sent: when it was sent, monotonic seconds.
        :param now: monotonic seconds.
        """
        self._unanswered.add(now, sent)

    def is_scarce(self, now: float) -> bool:
        """Return whether the servers seem to have no capacity left.

        :param now: monotonic seconds.
        """
        sent = self._sent.advance(now)
        unanswered = self._unanswered.advance(now)
        return sent >= MIN_PACKETS and unanswered > SCARCE_SHARE * sent

    def choose_server(
        self, first: backends.Backend, sent: float, now: float
    ) -> backends.Backend | None:
        """Return the server for the hedge of an unanswered first packet.

        The hedge counts as sent. There is none if the first server is likely
        to answer, because two servers that answer the same caller would each
        put their own tag into the flow.

        :param first: the server that has received the packet.
        :param sent: when it was sent, monotonic seconds.
        :param now: monotonic seconds.
        :returns: None if no hedge should be sent.
        """
        if self.limit(first.service) is None:
            return None
        if not self._is_suspected(first):
            return None
        record = self.failure_detector.server_record(first)
        if record.last_answer >= sent:
            return None
        if self.is_scarce(now):
            self.counters["hedges_denied_scarce"] += 1
            return None
        second = self._choose_good_server(first, now)
        if second is None:
            return None
        if not self.budget.allows(now):
            self.counters["hedges_denied_budget"] += 1
            return None
        self.budget.record_hedge(now)
        return second

    def _is_suspected(self, server: backends.Backend) -> bool:
        """Return whether the current run of a server is suspected."""
        suspect = self.failure_detector.suspects.get(server.tag)
        return suspect is not None and suspect.started == server.started

    def _choose_good_server(
        self, first: backends.Backend, now: float
    ) -> backends.Backend | None:
        """Return another server that is in no doubt, None without any."""
        pool = self.directory.pool(first.service)
        for _ in range(balance.MAX_SAMPLES):
            good = [
                server
                for server in pool.candidates(
                    self.balancer.data_centre, self.rng
                )
                if server.tag != first.tag and self._may_hedge_at(server, now)
            ]
            if good:
                return self.balancer.choose(good, now)
            if len(pool.servers) <= backends.MAX_CANDIDATES:
                return None
        return None

    def _may_hedge_at(self, server: backends.Backend, now: float) -> bool:
        """Return whether a server is warm and in no doubt.

        Leaving servers and those of evacuated data centres are in no pool.
        """
        warm_up = self.balancer.warm_up
        if warm_up is not None and warm_up.budget.is_cold(server, now):
            return False
        if warm_up is None and server.warm_up > 0:
            return False
        status = self.failure_detector.health_status(server, now)
        return status is failure_detectors.HealthStatus.GOOD
