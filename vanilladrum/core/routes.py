"""Configuration of flows: which services receive the flows to an address."""

import random

from vanilladrum.core import generation as generations


class Share:
    """A service that receives a share of a route's new flows.

    :param service: name of the service.
    :param weight: weight relative to the other shares of the route.
    """

    def __init__(self, service: str, weight: float = 1.0) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Services that receive the flows to one address.

    :param name: name of the route.
    :param shares: services with their weights.
    :param timeout: seconds after which a caller gives up a request.
    :param repeatable: whether callers may send its requests again, because
        they are idempotent.
    :param target_latency: seconds within which a request should be answered,
        0 if the route names no target.
    :param priority: priority of its requests, 0 is the highest.
    """

    def __init__(
        self,
        name: str,
        shares: tuple[Share, ...],
        timeout: float,
        repeatable: bool = False,
        target_latency: float = 0.0,
        priority: int = 0,
    ) -> None:
        self.name = name
        self.shares = shares
        self.timeout = timeout
        self.repeatable = repeatable
        self.target_latency = target_latency
        self.priority = priority

    @property
    def services(self) -> frozenset[str]:
        """Return all services of the route, whatever their weight."""
        return frozenset(share.service for share in self.shares)

    def gives_new_flows(self, service: str) -> bool:
        """Return whether new flows may be sent to a service.

        A service with weight 0 gets none, unless all weights are 0.

        >>> route = Route("r", (Share("a", 0.0), Share("b")), 1.0)
        >>> route.gives_new_flows("a"), route.gives_new_flows("b")
        (False, True)
        """
        weights = {share.service: share.weight for share in self.shares}
        if not any(weights.values()):
            return service in weights
        return weights.get(service, 0.0) > 0

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


class WarmUp:
    """How a service's servers start, as its configuration says.

    :param seconds: time for which a server is cold after its start.
    :param rate: requests per second that a cold server bears; 0 if the
        configuration names no rate.
    """

    def __init__(self, seconds: float, rate: float) -> None:
        self.seconds = seconds
        self.rate = rate


class FlowConfiguration:
    """A complete configuration of flows.

    :param generation: number that increases with each accepted change; 0
        before the first configuration.
    :param routes: routes by packed address and port, 6 bytes.
    :param idle_timeout: seconds after which an idle flow may be removed.
    :param health_paths: URL path of the health check, by service.
    :param era: number of restores of the store when it was read.
    :param warm_ups: warm-up by service; services without one are left out.
    """

    def __init__(
        self,
        generation: int,
        routes: dict[bytes, Route],
        idle_timeout: float,
        health_paths: dict[str, str] | None = None,
        era: int = 0,
        warm_ups: dict[str, WarmUp] | None = None,
    ) -> None:
        self.generation = generation
        self.routes = routes
        self.idle_timeout = idle_timeout
        self.health_paths = health_paths or {}
        self.era = era
        self.warm_ups = warm_ups or {}

    @property
    def services(self) -> frozenset[str]:
        """Return the services that the configuration names anywhere."""
        return frozenset(self.health_paths).union(
            *(route.services for route in self.routes.values())
        )


# In force until the first configuration is adopted.
NO_CONFIGURATION = FlowConfiguration(0, {}, 0.0)


def select_newer(
    in_force: FlowConfiguration, offered: FlowConfiguration
) -> FlowConfiguration:
    """Return the configuration with the higher generation.

    If the generations are equal, the one in force is returned, unless the
    other one was read after a restore: the store may have lost the one in
    force and given out its generation again.
    """
    given_out_again = (
        offered.generation == in_force.generation
        and offered.era > in_force.era
    )
    if given_out_again:
        return offered
    if generations.is_newer(in_force.generation, offered.generation):
        return offered
    return in_force
