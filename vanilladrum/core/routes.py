"""The configuration of flows: which service an address leads to."""

import random

from vanilladrum.core import generation as generations


class Share:
    """A service that receives a share of a route's new flows.

    :param service: name of the service.
    :param weight: relative to the other shares of the route.
    """

    def __init__(self, service: str, weight: float = 1.0) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Services that receive the flows to one address.

    :param name: name of the route.
    :param shares: services with their weights.
    :param timeout: seconds after which a caller gives up a flow.
    """

    def __init__(
        self, name: str, shares: tuple[Share, ...], timeout: float
    ) -> None:
        self.name = name
        self.shares = shares
        self.timeout = timeout

    @property
    def services(self) -> frozenset[str]:
        """Return the services that may receive new flows."""
        return frozenset(share.service for share in self.shares)

    def allows(self, service: str) -> bool:
        """Return whether a new flow may be sent to a service."""
        return service in self.services

    def choose(self, rng: random.Random) -> str:
        """Return the service for a new flow, chosen by weight.

        If all weights are 0, each service is equally likely.

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
    """A complete configuration of flows.

    :param generation: increases with each accepted change; 0 for none.
    :param routes: routes by packed address, 6 bytes.
    :param idle_timeout: seconds after which an idle flow may be forgotten.
    :param health_paths: URL path of the health check, by service.
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


def select_newer(
    in_force: FlowConfiguration, offered: FlowConfiguration
) -> FlowConfiguration:
    """Return the offered configuration if its generation is higher.

    :returns: the configuration to use; the one in force if the offered one
        is not newer.
    """
    if generations.is_newer(in_force.generation, offered.generation):
        return offered
    return in_force
