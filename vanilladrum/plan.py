"""The library in which operators describe their services.

A plan is a Python file that builds one :class:`Plan` under the name
``plan``. ``vanilladrum print`` turns it into TOML for review.
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

    :param number: unique in its service and never reused.
    :param slots: requests that it runs at once.
    :param leaving: True takes new work away from it.
    """
    state = serverstate.ServerState.ACTIVE
    if leaving:
        state = serverstate.ServerState.LEAVING
    return fleets.Server(
        name, number, data_centre, addresses.parse(address), slots, state
    )


def urgent(path: str) -> fleets.Route:
    """Give the requests below a path precedence."""
    return fleets.Route(path, fleets.Priority.URGENT)


def bulk(path: str) -> fleets.Route:
    """Let the requests below a path wait for urgent ones."""
    return fleets.Route(path, fleets.Priority.BULK)


def objective(
    priority: str, latency: float, target: float
) -> fleets.Objective:
    """State how many answers come how fast.

    :param priority: ``urgent`` or ``bulk``.
    :param latency: seconds.
    :param target: share of answers within the latency, such as 0.99.
    """
    found = fleets.Priority[priority.upper()]
    return fleets.Objective(found, latency, target)


@attrs.define
class Plan:
    """Data centres and services.

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

        :param number: unique in the plan and never reused.
        :param affinity: ``connection`` keeps each connection on one
            server, ``request`` lets every request choose.
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
        """Return the plan as a plain document without keys."""
        return {
            "data_centres": list(self.data_centres),
            "service": [document.to_plain(each) for each in self.services],
        }


def load(path: str) -> Plan:
    """Run a plan file and return its plan.

    :raises ConfigurationError: when the file fails or has no plan.
    """
    try:
        names = runpy.run_path(path)
    except errors.VanilladrumError as error:
        raise errors.ConfigurationError(f"{path}: {error}") from error
    except Exception as error:
        raise errors.ConfigurationError(
            f"{path}: the plan fails with {type(error).__name__}: {error}; "
            "correct that line"
        ) from error
    plan = names.get(PLAN_NAME)
    if not isinstance(plan, Plan):
        raise errors.ConfigurationError(
            f"{path}: defines no Plan under the name {PLAN_NAME!r}; add "
            "plan = Plan([...])"
        )
    return plan
