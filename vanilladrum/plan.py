"""The library with which operators describe their services.

A plan is a Python file that assigns one :class:`Plan` to the name ``plan``.
``vanilladrum print`` converts it to TOML for review.
"""

from collections.abc import Iterable
import runpy
import typing

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import document
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import serverstate

# Variable of a plan file that holds the plan.
PLAN_NAME = "plan"


def server(
    name: str,
    number: int,
    data_centre: str,
    address: str,
    slots: int = 1,
    leaving: bool = False,
) -> fleets.Server:
    """Describe a backend server.

    :param number: number that is unique in the service and never reused.
    :param data_centre: name of the data centre in which it runs.
    :param address: host and port, such as ``127.0.0.1:9001``.
    :param slots: number of requests that it runs concurrently.
    :param leaving: if True, it finishes its requests and gets no new ones.
    """
    state = serverstate.ServerState.ACTIVE
    if leaving:
        state = serverstate.ServerState.LEAVING
    return fleets.Server(
        name, number, data_centre, addresses.parse(address), slots, state
    )


def urgent(path: str) -> fleets.Route:
    """Return a route that gives requests below a path urgent priority."""
    return fleets.Route(path, fleets.Priority.URGENT)


def bulk(path: str) -> fleets.Route:
    """Return a route that gives requests below a path bulk priority.

    They wait behind urgent requests, limited by ``aging`` and ``bulk_share``
    of :class:`vanilladrum.core.fleet.Service`.
    """
    return fleets.Route(path, fleets.Priority.BULK)


def objective(
    priority: str, latency: float, target: float
) -> fleets.Objective:
    """Describe a service-level objective.

    :param priority: ``urgent`` or ``bulk``.
    :param latency: seconds within which an answer counts as good.
    :param target: share of requests that must be good, such as 0.99.
    """
    priority_class = fleets.Priority[priority.upper()]
    return fleets.Objective(priority_class, latency, target)


@attrs.define
class Plan:
    """The data centres and services of an installation.

    >>> plan = Plan(["bilbao"])
    >>> booking = server("b-1", 1, "bilbao", "127.0.0.1:9001", slots=2)
    >>> plan.service("bookings", 1, "127.0.0.1:9000", [booking])
    >>> plan.document()["service"][0]["name"]
    'bookings'
    """

    data_centres: list[str]
    services: list[fleets.Service] = attrs.field(factory=list)

    def service(
        self,
        name: str,
        number: int,
        address: str,
        servers: Iterable[fleets.Server],
        routes: Iterable[fleets.Route] = (),
        objectives: Iterable[fleets.Objective] = (),
        affinity: str = "request",
        **limits: typing.Any,
    ) -> None:
        """Add a service.

        :param number: number that is unique in the plan and never reused.
        :param affinity: ``connection`` keeps each connection on one
            server, ``request`` balances every request on its own.
        :param limits: further fields of
            :class:`vanilladrum.core.fleet.Service`, such as ``deadline``.
        """
        self.services.append(
            fleets.Service(
                name,
                number,
                addresses.parse(address),
                tuple(servers),
                tuple(routes),
                tuple(objectives),
                fleets.Affinity(affinity),
                **limits,
            )
        )

    def document(self) -> dict:
        """Return the plan as a document of plain values without token keys."""
        return {
            "data_centres": list(self.data_centres),
            "service": [
                document.unstructure(service) for service in self.services
            ],
        }


def load(path: str) -> Plan:
    """Run a plan file and return its plan.

    :raises ConfigurationError: if the file raises an error or defines no
        plan.
    """
    try:
        variables = runpy.run_path(path)
    except errors.VanilladrumError as error:
        raise errors.ConfigurationError(f"{path}: {error}") from error
    except Exception as error:
        raise errors.ConfigurationError(
            f"{path}: the plan raises {type(error).__name__}: {error}; "
            "correct that line"
        ) from error
    plan = variables.get(PLAN_NAME)
    if not isinstance(plan, Plan):
        raise errors.ConfigurationError(
            f"{path}: does not assign a Plan to {PLAN_NAME!r}; add "
            "plan = Plan([...])"
        )
    return plan
