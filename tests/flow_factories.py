"""Factories of servers, packets and hosts for tests of flow handling."""

import random

from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import flow as flows
from vanilladrum.core import flowhost
from vanilladrum.core import neighbours
from vanilladrum.core import routes
from vanilladrum.core import serverstate

BOOKINGS = addresses.Address("198.18.0.1", 8080)
PATTERNS = addresses.Address("198.18.0.2", 8443)
CALLER = addresses.Address("100.64.0.7", 40001)
OWN_ADDRESS = addresses.Address("10.1.0.10", 7720)
# Timeout of the route to BOOKINGS, in seconds.
TIMEOUT = 0.6
ACTIVE = serverstate.ServerState.ACTIVE
LEAVING = serverstate.ServerState.LEAVING


def make_server(
    number: int,
    service: str = "bookings",
    state: serverstate.ServerState = ACTIVE,
    data_centre: str = "bilbao",
    **extra,
) -> backends.Backend:
    """Return a server whose name, ID and address follow from its number."""
    return backends.Backend(
        name=f"i-{number:08x}",
        wire_id=number.to_bytes(8, "big"),
        started=extra.pop("started", 1000 + number),
        service=service,
        address=addresses.Address("10.128.0.9", 8000 + number),
        data_centre=data_centre,
        slots=extra.pop("slots", 2),
        state=state,
        **extra,
    )


def make_configuration(
    generation: int = 1, bookings: str = "bookings", **extra
) -> routes.FlowConfiguration:
    """Return a configuration with routes to BOOKINGS and PATTERNS.

    :param bookings: service that the route to BOOKINGS leads to.
    """
    routes_by_address = {
        BOOKINGS.pack(): routes.Route(
            "bookings", (routes.Share(bookings),), TIMEOUT
        ),
        PATTERNS.pack(): routes.Route(
            "patterns", (routes.Share("patterns"),), 5.0
        ),
    }
    return routes.FlowConfiguration(
        generation, routes_by_address, 15.0, **extra
    )


def make_host(
    servers: list[backends.Backend] | None = None, seed: int = 1
) -> flowhost.FlowHost:
    """Return a host in bilbao with a configuration and servers.

    :param servers: servers to add; by default, two of the service bookings.
    """
    rng = random.Random(seed)
    host = flowhost.FlowHost(
        "bilbao", neighbours.Neighbours(OWN_ADDRESS, 1, rng), rng
    )
    host.configure(make_configuration())
    for server in servers or [make_server(1), make_server(2)]:
        host.directory.update(server)
    return host


def make_packet(
    caller_port: int = CALLER.port,
    service: addresses.Address = BOOKINGS,
    tag: int = 0,
    **extra,
) -> flows.Packet:
    """Return a packet of a flow.

    Without a tag it is the first packet, which opens the flow.
    """
    caller = addresses.Address(CALLER.host, caller_port)
    key = caller.pack()[4:] + service.pack()[4:]
    key += caller.pack()[:4] + service.pack()[:4]
    return flows.Packet(
        key=key,
        service=service.pack(),
        opens=extra.pop("opens", tag == 0),
        copies=extra.pop("copies", 0),
        closes=extra.pop("closes", False),
        has_data=extra.pop("has_data", False),
        sequence=extra.pop("sequence", 0),
        acknowledged=extra.pop("acknowledged", 0),
        tag=tag,
        raw=b"",
    )
