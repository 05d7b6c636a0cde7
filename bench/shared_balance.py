"""Choice of servers by the load that the data centre's hosts report.

Candidate (b) of :mod:`bench.fleet_choices`, not used in production.
"""

from collections.abc import Callable
import random

from bench import shared_load as shared_loads
from vanilladrum.core import backend as backends
from vanilladrum.core import balance
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core import flowhost
from vanilladrum.core import speed_estimator as speed_estimators

# Servers that are drawn with a probability in proportion to their speed; the
# less loaded is chosen. Reports are some 0.7 s old, so that the least loaded
# of all would get the flows of all hosts at once.
DRAWN_SERVERS = 2
# Servers of the service that are drawn to find a remote one, and how many
# times faster it has to respond.
DRAWN_REMOTE_SERVERS = 4
REMOTE_GAIN = 1.5


class SharedLoadBalancer(balance.Balancer):
    """Selects servers by reported load and speed in a large fleet.

    Without healthy servers in the own data centre, without measurements and
    in a small fleet it selects as its base class does.

    :param shared_load: reported load and speed.
    :param remote_wait: expected wait at a local server, in mean execution
        times of the service, from which a server of another data centre is
        considered.
    """

    def __init__(
        self,
        data_centre: str,
        failure_detector: failure_detectors.FailureDetector,
        speed_estimator: speed_estimators.SpeedEstimator,
        load: Callable[[int], float],
        rng: random.Random,
        shared_load: shared_loads.SharedLoad,
        remote_wait: float,
    ) -> None:
        super().__init__(
            data_centre, failure_detector, speed_estimator, load, rng
        )
        self.shared_load = shared_load
        self.remote_wait = remote_wait

    def choose_from_pool(
        self,
        pool: backends.ServerPool,
        now: float,
        excluded: backends.Backend | None = None,
    ) -> backends.Backend | None:
        """Return the server of a service for a new flow, None without any.

        :param excluded: see :meth:`Balancer.choose`.
        """
        chosen = None
        if self.shared_load.neighbours.is_large_fleet:
            chosen = self._choose_by_reports(pool, now, excluded)
        return chosen or super().choose_from_pool(pool, now, excluded)

    def _choose_by_reports(
        self,
        pool: backends.ServerPool,
        now: float,
        excluded: backends.Backend | None,
    ) -> backends.Backend | None:
        """Return a server by reported load, None to choose without it."""
        local = pool.by_data_centre.get(self.data_centre)
        if local is None:
            return None
        servers = self._healthy(
            local.sample(backends.MAX_LOCAL_CANDIDATES, self.rng),
            now,
            excluded,
        )
        speeds = [self._speed(each, now) for each in servers]
        known = [speed for speed in speeds if speed is not None]
        if not known:
            return None
        # A server without measurements counts as average, so that it is
        # measured.
        mean = sum(known) / len(known)
        rates = [
            mean if speed is None else speed * self._warm_up_share(server)
            for server, speed in zip(servers, speeds, strict=True)
        ]
        drawn = self.rng.choices(range(len(servers)), rates, k=DRAWN_SERVERS)
        waits = {
            number: self._expected_wait(servers[number], rates[number])
            for number in drawn
        }
        best = min(waits, key=lambda number: waits[number])
        if waits[best] * mean > self.remote_wait:
            remote = self._choose_remote(pool, now, excluded, mean)
            if remote is not None:
                server, seconds = remote
                if waits[best] > REMOTE_GAIN * seconds:
                    return server
        return servers[best]

    def _healthy(
        self,
        servers: list[backends.Backend],
        now: float,
        excluded: backends.Backend | None,
    ) -> list[backends.Backend]:
        """Return the servers that are in good health and not excluded."""
        good = failure_detectors.HealthStatus.GOOD
        return [
            each
            for each in self._with_best_status(servers, now)
            if each is not excluded
            and self.failure_detector.health_status(each, now) is good
        ]

    def _speed(self, server: backends.Backend, now: float) -> float | None:
        return self.shared_load.speed(server, now)

    def _warm_up_share(self, server: backends.Backend) -> float:
        return balance.WARM_UP_SHARE if server.warm_up > 0 else 1.0

    def _expected_wait(self, server: backends.Backend, rate: float) -> float:
        """Return the time until a new flow would be answered, in seconds.

        :param rate: answers per second of a busy slot.
        """
        # The idle flows of this host are part of its load.
        load = self.load(server.tag) + self.shared_load.other_busy[server.tag]
        return max((load + 1) / server.slots, 0.5) / rate

    def _choose_remote(
        self,
        pool: backends.ServerPool,
        now: float,
        excluded: backends.Backend | None,
        mean: float,
    ) -> tuple[backends.Backend, float] | None:
        """Return a remote server with its expected response time in seconds.

        Only its response times to this data centre are known.

        :param mean: mean answers per second of a busy local slot.
        """
        drawn = pool.servers.sample(DRAWN_REMOTE_SERVERS, self.rng)
        remote = [
            each for each in drawn if each.data_centre != self.data_centre
        ]
        best = None
        for server in self._healthy(remote, now, excluded):
            seconds = self.shared_load.mean_response(
                server.tag, now, 1.0 / mean
            )
            seconds *= max(1.0, (self.load(server.tag) + 1) / server.slots)
            if best is None or seconds < best[1]:
                best = (server, seconds)
        return best


def install(
    host: flowhost.FlowHost, remote_wait: float
) -> shared_loads.SharedLoad:
    """Let a host choose servers by reported load; called before it serves.

    :param remote_wait: see :class:`SharedLoadBalancer`.
    :returns: the load, to be exchanged with other hosts.
    """
    shared_load = shared_loads.SharedLoad(
        host.table.busy_counts, host.neighbours, host.rng
    )
    estimator = shared_loads.ReportedSpeedEstimator(shared_load)
    host.speed_estimator = estimator
    host.observer.speed_estimator = estimator
    host.balancer = SharedLoadBalancer(
        host.data_centre,
        host.failure_detector,
        estimator,
        host.load,
        host.rng,
        shared_load,
        remote_wait,
    )
    host.opener.balancer = host.balancer
    return shared_load
