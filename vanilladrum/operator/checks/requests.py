"""Checks of a valid configuration of the request mode."""

from collections.abc import Iterator

from vanilladrum.core import fleet as fleets
from vanilladrum.operator.checks import findings

Found = Iterator[findings.Finding]
REGISTRY: findings.Registry[fleets.Fleet] = findings.Registry()


def run(fleet: fleets.Fleet) -> list[findings.Finding]:
    """Return the warnings on a configuration."""
    return REGISTRY.run(fleet)


@REGISTRY.register
def service_without_server(fleet: fleets.Fleet) -> Found:
    """Find services that cannot answer."""
    for position, service in enumerate(fleet.services):
        if service.servers:
            continue
        yield findings.Finding(
            f"service.{position}.server",
            f"service {service.name!r} has no server",
            "add a server or remove the service",
        )


@REGISTRY.register
def duplicate_path(fleet: fleets.Fleet) -> Found:
    """Find routes of a service that are hidden by a later one."""
    for position, service in enumerate(fleet.services):
        paths = [route.path for route in service.routes]
        for number, path in enumerate(paths):
            if path not in paths[number + 1 :]:
                continue
            yield findings.Finding(
                f"service.{position}.route.{number}.path",
                f"route {path!r} of service {service.name!r} is never used: "
                "a later one has the same path",
                "remove one of them or change its path",
            )


@REGISTRY.register
def unused_objective(fleet: fleets.Fleet) -> Found:
    """Find objectives of priorities that no request has.

    Requests without a route are urgent, so that only an objective for bulk
    requests can be without any.
    """
    for position, service in enumerate(fleet.services):
        used = {route.priority for route in service.routes}
        used.add(fleets.Priority.URGENT)
        seen = set()
        for number, objective in enumerate(service.objectives):
            key = f"service.{position}.objective.{number}.priority"
            name = objective.priority.name.lower()
            if objective.priority not in used:
                yield findings.Finding(
                    key,
                    f"service {service.name!r} has an objective for {name} "
                    "requests, but no route with this priority",
                    "add a route or remove the objective",
                )
            if objective.priority in seen:
                yield findings.Finding(
                    key,
                    f"service {service.name!r} has another objective for "
                    f"{name} requests, which is used instead",
                    "remove one of them",
                )
            seen.add(objective.priority)


@REGISTRY.register
def limit_above_deadline(fleet: fleets.Fleet) -> Found:
    """Find objectives that are later than the end of the request."""
    for position, service in enumerate(fleet.services):
        for number, objective in enumerate(service.objectives):
            if objective.latency <= service.deadline:
                continue
            yield findings.Finding(
                f"service.{position}.objective.{number}.latency",
                f"the latency of an objective of service {service.name!r}, "
                f"{objective.latency:g} s, is above its deadline of "
                f"{service.deadline:g} s",
                "lower the latency or raise the deadline",
            )
