"""Selection of a backend server for a new flow."""

from collections.abc import Callable
import random

from vanilladrum.core import backend as backends
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core import policy as policies
from vanilladrum.core import speed_estimator as speed_estimators
from vanilladrum.core.warmup import preference as preferences

# Load that is added to a server in another data centre, as a fraction of its
# slots. A local server is preferred while it has a free slot.
REMOTE_LOAD_SHARE = 0.95
# Fraction of a server's slots that is counted during its warm-up.
WARM_UP_SHARE = 0.6
# Samples of servers that are drawn, at most, to find a healthy one.
MAX_SAMPLES = 3
# Load-balancing policy, as registered in vanilladrum.core.policy.
POLICY = "least_busy"


class Candidate:
    """A server with its load, as selection policies see it.

    :param busy: requests that it handles including the new one, plus
        REMOTE_LOAD_SHARE of the slots for a server in another data centre.
    :param slots: slots, reduced for a slow server and during warm-up.
    """

    def __init__(
        self, server: backends.Backend, busy: float, slots: float
    ) -> None:
        self.server = server
        self.busy = busy
        self.slots = slots


class Balancer:
    """Selects servers by health status and load.

    :param data_centre: name of this host's data centre.
    :param failure_detector: source of the health status of the servers.
    :param speed_estimator: source of the relative speed of the servers.
    :param load: returns the number of requests that the server with a tag
        handles now.
    :param rng: breaks ties between equally loaded servers.
    :param warm_up: preference of warm servers, None if cold ones are not
        limited.
    """

    def __init__(
        self,
        data_centre: str,
        failure_detector: failure_detectors.FailureDetector,
        speed_estimator: speed_estimators.SpeedEstimator,
        load: Callable[[int], float],
        rng: random.Random,
    ) -> None:
        self.data_centre = data_centre
        self.failure_detector = failure_detector
        self.speed_estimator = speed_estimator
        self.load = load
        self.rng = rng
        self.policy = policies.find(POLICY)
        self.warm_up: preferences.Preference | None = None

    def choose(
        self,
        servers: list[backends.Backend],
        now: float,
        excluded: backends.Backend | None = None,
    ) -> backends.Backend | None:
        """Return the server for a new flow, None if there is none.

        :param now: monotonic seconds.
        :param excluded: a server that has just left an attempt unanswered; it
            is chosen only if it is the only server.
        """
        others = [each for each in servers if each is not excluded]
        eligible = self._eligible(others or servers, now)
        if not eligible and len(others) != len(servers):
            # Cold servers may be full; the excluded one is the last resort.
            eligible = self._eligible(servers, now)
        if not eligible:
            return None
        candidates = [self._candidate(each, now) for each in eligible]
        return self.policy(candidates, self.rng).server

    def choose_from_pool(
        self,
        pool: backends.ServerPool,
        now: float,
        excluded: backends.Backend | None = None,
    ) -> backends.Backend | None:
        """Return the server of a service for a new flow, None without any.

        If no server of a sample is healthy, further samples are drawn.

        :param pool: servers of the service that accept new flows.
        :param now: monotonic seconds.
        :param excluded: see :meth:`choose`.
        """
        if self.warm_up and self.warm_up.budget.has_cold:
            self.warm_up.observe(pool, now)
        candidates: list[backends.Backend] = []
        for _ in range(MAX_SAMPLES):
            candidates += pool.candidates(self.data_centre, self.rng)
            if self._has_best(candidates, now):
                break
            if len(candidates) >= len(pool.servers):
                break
        if self._needs_more(candidates, now, excluded):
            candidates += pool.servers.sample(
                preferences.EXTRA_SAMPLE, self.rng
            )
        return self.choose(candidates, now, excluded)

    def _has_best(self, servers: list[backends.Backend], now: float) -> bool:
        """Return whether further samples could not have a better server."""
        if self.warm_up and self.warm_up.budget.has_cold:
            return self.warm_up.has_best(servers, now)
        best = self.best_status(servers, now)
        return best is failure_detectors.HealthStatus.GOOD

    def _needs_more(
        self,
        servers: list[backends.Backend],
        now: float,
        excluded: backends.Backend | None,
    ) -> bool:
        """Return whether cold servers keep all others from being found."""
        if not self.warm_up or not self.warm_up.budget.has_cold:
            return False
        others = [each for each in servers if each is not excluded]
        return not self.warm_up.has_usable(others, now)

    def _eligible(
        self, servers: list[backends.Backend], now: float
    ) -> list[backends.Backend]:
        """Return the servers that are compared by load."""
        if self.warm_up and self.warm_up.budget.has_cold:
            return self.warm_up.eligible(servers, now)
        return self._with_best_status(servers, now)

    def best_status(
        self, servers: list[backends.Backend], now: float
    ) -> failure_detectors.HealthStatus | None:
        """Return the best health status of the servers, None without any."""
        return min(
            (
                self.failure_detector.health_status(each, now)
                for each in servers
            ),
            default=None,
        )

    def _with_best_status(
        self, servers: list[backends.Backend], now: float
    ) -> list[backends.Backend]:
        """Return the servers that share the best health status found."""
        statuses = [
            self.failure_detector.health_status(each, now) for each in servers
        ]
        best = min(statuses, default=None)
        return [
            server
            for server, status in zip(servers, statuses, strict=True)
            if status == best
        ]

    def _candidate(self, server: backends.Backend, now: float) -> Candidate:
        slots = server.slots * self.speed_estimator.relative_speed(server, now)
        if server.warm_up > 0:
            slots *= WARM_UP_SHARE
        # The new flow is included, so that the faster of two idle servers has
        # the lower load.
        busy = self.load(server.tag) + 1
        if server.data_centre != self.data_centre:
            busy += REMOTE_LOAD_SHARE * slots
        return Candidate(server, busy, slots)
