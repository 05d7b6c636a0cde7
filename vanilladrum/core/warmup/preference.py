"""Choice among warm and cold servers."""

from collections.abc import Callable

from vanilladrum.core import backend as backends
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core.warmup import budget as budgets

# Servers that are drawn from a service in addition when none of a sample may
# be used. With as many servers or fewer all of them are compared.
EXTRA_SAMPLE = 64
# Requests per slot from which a server cannot take more: it holds its slots
# and a short queue. Without this bound the first warm server of a service
# whose servers have all restarted would get the whole load. Not measured.
MAX_REQUESTS_PER_SLOT = 3.0
# If fewer of a service's servers are warm, they are not left to carry its
# whole load: a host of a large fleet does not see that they are full.
MIN_WARM_SHARE = 0.25
# How long the share of warm servers is kept before it is counted again, in
# seconds.
SHARE_SECONDS = 0.5


class Preference:
    """Prefers warm servers and keeps the budget of cold ones.

    :param budget: limit of the first packets for cold servers.
    :param failure_detector: source of the health status of the servers.
    :param load: returns the number of requests that the server with a tag
        handles now.
    """

    def __init__(
        self,
        budget: budgets.WarmUpBudget,
        failure_detector: failure_detectors.FailureDetector,
        load: Callable[[int], float],
    ) -> None:
        self.budget = budget
        self.failure_detector = failure_detector
        self.load = load
        # Services most of whose servers are cold, and when each service was
        # last counted.
        self._mostly_cold: set[str] = set()
        self._counted_at: dict[str, float] = {}

    def observe(self, pool: backends.ServerPool, now: float) -> None:
        """Count the warm servers of a service from time to time.

        :param pool: servers of the service that accept new flows.
        :param now: monotonic seconds.
        """
        if not pool.servers:
            return
        service = pool.servers.items[0].service
        counted_at = self._counted_at.get(service, float("-inf"))
        if 0 <= now - counted_at < SHARE_SECONDS:
            return
        self._counted_at[service] = now
        warm = sum(not self.budget.is_cold(each, now) for each in pool.servers)
        if warm < MIN_WARM_SHARE * len(pool.servers):
            self._mostly_cold.add(service)
        else:
            self._mostly_cold.discard(service)

    def eligible(
        self, servers: list[backends.Backend], now: float
    ) -> list[backends.Backend]:
        """Return the servers to choose from.

        Of the usable servers that may get a first packet these are the ones
        with the best health status, without the cold ones if any is warm. If
        there are none and the service names no rate, the servers with the best
        status are returned, be they cold or warm.

        :param servers: servers of one service.
        :param now: monotonic seconds.
        """
        if not any(self.budget.is_cold(each, now) for each in servers):
            return self._with_best_status(servers, now)
        if self._ignores_budget(servers):
            return self._with_best_status(servers, now)
        permitted = [
            each for each in servers if self.budget.may_send(each, now)
        ]
        usable = [each for each in permitted if self._is_usable(each, now)]
        if not usable and not self._has_rate(servers):
            return self._with_best_status(servers, now)
        preferred = usable or permitted
        return self._with_lowest(
            preferred,
            [
                (
                    self.failure_detector.health_status(each, now),
                    self.budget.is_cold(each, now),
                )
                for each in preferred
            ],
        )

    def has_best(self, servers: list[backends.Backend], now: float) -> bool:
        """Return whether a warm server of good status is among the servers.

        Without any cold server it is one of good status, as without a budget.

        :param now: monotonic seconds.
        """
        good = failure_detectors.HealthStatus.GOOD
        any_good = self._ignores_budget(servers)
        return any(
            self.failure_detector.health_status(each, now) is good
            and (any_good or not self.budget.is_cold(each, now))
            for each in servers
        )

    def has_usable(self, servers: list[backends.Backend], now: float) -> bool:
        """Return whether a server can take a first packet within the budget.

        :param now: monotonic seconds.
        """
        if self._ignores_budget(servers):
            return True
        return any(
            self.budget.may_send(each, now) and self._is_usable(each, now)
            for each in servers
        )

    def _is_usable(self, server: backends.Backend, now: float) -> bool:
        """Return whether a server can be expected to answer.

        A server that is merely suspected is checked at once, so it is usable
        until the checks say otherwise.
        """
        status = self.failure_detector.health_status(server, now)
        if status is failure_detectors.HealthStatus.EJECTED:
            return False
        if self.failure_detector.is_unreachable(server.data_centre):
            return False
        if self.load(server.tag) >= MAX_REQUESTS_PER_SLOT * server.slots:
            return False
        return not self.failure_detector.is_presumed_dead(server, now)

    def _ignores_budget(self, servers: list[backends.Backend]) -> bool:
        """Return whether cold servers are used like warm ones.

        So it is if the service names no rate and its other servers could not
        carry the load.
        """
        if not servers or self._has_rate(servers):
            return False
        return servers[0].service in self._mostly_cold

    def _has_rate(self, servers: list[backends.Backend]) -> bool:
        return any(self.budget.has_rate(each.service) for each in servers)

    def _with_best_status(
        self, servers: list[backends.Backend], now: float
    ) -> list[backends.Backend]:
        return self._with_lowest(
            servers,
            [
                self.failure_detector.health_status(each, now)
                for each in servers
            ],
        )

    def _with_lowest(
        self, servers: list[backends.Backend], keys: list
    ) -> list[backends.Backend]:
        lowest = min(keys, default=None)
        return [
            server
            for server, key in zip(servers, keys, strict=True)
            if key == lowest
        ]
