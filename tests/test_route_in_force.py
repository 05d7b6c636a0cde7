"""Every choice of a server asks the route in force.

What an entry host remembers of a flow only narrows the choice.
"""

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tests import flow_factories
from tests import test_flowhost
from vanilladrum.core import flow as flow_types
from vanilladrum.core import routes

SERVICES = ("bookings", "patterns", "drawings")
FUZZ_LIMITS = settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)


def make_configuration(generation, weights):
    """Return a configuration whose route has services with weights.

    :param weights: weight by service; None for a configuration without the
        route.
    """
    configuration = flow_factories.make_configuration(generation)
    address = flow_factories.BOOKINGS.pack()
    if weights is None:
        del configuration.routes[address]
        return configuration
    shares = tuple(
        routes.Share(service, weight) for service, weight in weights.items()
    )
    configuration.routes[address] = routes.Route(
        "bookings", shares, flow_factories.TIMEOUT
    )
    return configuration


def make_host(weights, servers_each=2):
    """Return a host with servers of all services and a weighted route."""
    servers = [
        flow_factories.make_server(10 * number + each, service=service)
        for number, service in enumerate(SERVICES, start=1)
        for each in range(servers_each)
    ]
    host = flow_factories.make_host(servers)
    host.configure(make_configuration(2, weights))
    return host


# The copy of a first packet that no server answered went to another server of
# the service that the route had left.
def test_copy_goes_to_the_service_of_the_route_in_force():
    host = make_host({"bookings": 1.0})
    host.receive(flow_factories.make_packet(1), 0.0)
    host.configure(make_configuration(3, {"patterns": 1.0}))
    for copies, now in ((1, 0.2), (2, 0.6)):
        packet = flow_factories.make_packet(1, copies=copies)
        copy = host.receive(packet, now)
        assert test_flowhost.server_of(copy).service == "patterns"


# A weight of 0 takes a service out of a route, also for copies.
def test_copy_leaves_a_service_whose_weight_became_0():
    host = make_host({"bookings": 1.0, "patterns": 0.0})
    server = test_flowhost.server_of(
        host.receive(flow_factories.make_packet(1), 0.0)
    )
    host.failure_detector.record_answer(server, 0.1)
    host.configure(make_configuration(3, {"bookings": 0.0, "patterns": 1.0}))
    copy = host.receive(flow_factories.make_packet(1, copies=1), 0.2)
    assert test_flowhost.server_of(copy).service == "patterns"


def test_copy_stays_in_its_service_while_the_route_has_it():
    host = make_host({"bookings": 0.001, "patterns": 1000.0})
    host.table.add(
        flow_factories.make_packet(1).key,
        next(iter(host.directory.pool("bookings").servers)),
        0.0,
        flow_factories.TIMEOUT,
    )
    copy = host.receive(flow_factories.make_packet(1, copies=1), 0.2)
    assert test_flowhost.server_of(copy).service == "bookings"


@attrs.frozen
class Step:
    """One event at the host.

    :param port: port of the caller whose packet arrives.
    :param kind: what the packet does.
    :param weights: weights of the route that is adopted before, by service;
        None for none, empty for a removal of the route.
    :param answers: whether the server of the flow answers other flows.
    """

    port: int
    kind: str
    weights: dict[str, float] | None
    answers: bool


STEPS = strategies.lists(
    strategies.builds(
        Step,
        port=strategies.integers(1, 3),
        kind=strategies.sampled_from(
            ("first", "copy", "copy", "later", "end")
        ),
        weights=strategies.none()
        | strategies.dictionaries(
            strategies.sampled_from(SERVICES),
            strategies.sampled_from((0.0, 1.0)),
        ),
        answers=strategies.booleans(),
    ),
    min_size=2,
    max_size=12,
)


def expected_services(weights):
    """Return the services to which a route sends new flows."""
    positive = {name for name, weight in weights.items() if weight > 0}
    return positive or set(weights)


# Copies, ends, moves and changes of routes in any order: a packet that opens
# a flow never reaches a service to which the route in force sends none.
@FUZZ_LIMITS
@given(STEPS)
def test_no_first_packet_reaches_a_service_that_the_route_has_left(steps):
    weights = {"bookings": 1.0}
    host = make_host(weights)
    generation = 2
    for number, step in enumerate(steps):
        now = number * 0.3
        if step.weights is not None:
            weights = step.weights
            generation += 1
            host.configure(make_configuration(generation, weights or None))
        flow = host.table.find(flow_factories.make_packet(step.port).key)
        if step.answers and flow is not None:
            host.failure_detector.record_answer(flow.server, now)
        packet = make_packet(step, flow)
        decision = host.receive(packet, now)
        if not isinstance(decision, flow_types.Forward) or not packet.opens:
            continue
        assert decision.server.service in expected_services(weights)


def make_packet(step, flow):
    """Return the packet of a step for a flow, a first one without a flow."""
    if step.kind == "first" or flow is None:
        return flow_factories.make_packet(step.port)
    if step.kind == "copy":
        return flow_factories.make_packet(step.port, copies=1)
    return flow_factories.make_packet(
        step.port, tag=flow.server.tag, closes=step.kind == "end"
    )
