"""The configuration of flows: which service an address leads to."""

import random

from vanilladrum.core import generation as generations


class Share:
    """Part of a route's new flows.

    :param weight: relative to the other shares of the route.
    """

    def __init__(self, service: str, weight: float = 1.0) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Where the flows to one address go.

    :param timeout: seconds after which a caller has given up.
    """

    def __init__(
        self, name: str, shares: tuple[Share, ...], timeout: float
    ) -> None:
        self.name = name
        self.shares = shares
        self.timeout = timeout

    @property
    def services(self) -> frozenset[str]:
        """Return the services to which new flows go."""
        return frozenset(share.service for share in self.shares)

    def allows(self, service: str) -> bool:
        """Return whether a new flow may go to a service."""
        return service in self.services

    def choose(self, rng: random.Random) -> str:
        """Return the service of a new flow.

        >>> Route("r", (Share("a", 0.0), Share("b")), 1.0).choose(
        ...     random.Random(1))
        'b'
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        if not any(weights):
            weights = [1.0] * len(weights)
        return rng.choices(self.shares, weights)[0].service


class FlowConfiguration:
    """A whole configuration of flows.

    :param generation: grows with each accepted change.
    :param routes: by packed address, 6 bytes.
    :param health_paths: where a server of a service tells its health.
    :param idle_timeout: seconds after which a silent flow may be forgotten.
    """

    def __init__(
        self,
        generation: int,
        routes: dict[bytes, Route],
        idle_timeout: float,
        health_paths: dict[str, str] | None = None,
    ) -> None:
        self.generation = generation
        self.routes = routes
        self.idle_timeout = idle_timeout
        self.health_paths = health_paths or {}


NO_CONFIGURATION = FlowConfiguration(0, {}, 0.0)


def newer(
    in_force: FlowConfiguration, offered: FlowConfiguration
) -> FlowConfiguration:
    """Return the configuration to go on with; only ever a higher one."""
    if generations.adopts(in_force.generation, offered.generation):
        return offered
    return in_force
