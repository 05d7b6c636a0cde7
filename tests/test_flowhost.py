"""Decisions of an entry host on the packets of flows."""

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests import flow_factories
from vanilladrum.core import flow as flow_types
from vanilladrum.core import routes
from vanilladrum.core import serverstate


def server_of(decision):
    """Return the server to which a decision forwards the packet."""
    assert isinstance(decision, flow_types.Forward)
    return decision.server


def test_later_packets_go_to_the_server_of_the_first_on_any_host():
    one = flow_factories.make_host(seed=1)
    other = flow_factories.make_host(seed=2)
    server = server_of(one.receive(flow_factories.make_packet(), 0.0))
    for host in (one, other):
        packet = flow_factories.make_packet(tag=server.tag)
        assert server_of(host.receive(packet, 0.1)).name == server.name


def test_packet_with_the_tag_of_another_service_is_ignored():
    patterns = flow_factories.make_server(9, service="patterns")
    host = flow_factories.make_host([flow_factories.make_server(1), patterns])
    decision = host.receive(flow_factories.make_packet(tag=patterns.tag), 0.0)
    assert isinstance(decision, flow_types.Ignore)
    assert decision.reason == "wrong_service"


def test_packet_with_an_unknown_tag_is_ignored_never_reset():
    host = flow_factories.make_host()
    decision = host.receive(flow_factories.make_packet(tag=12345), 0.0)
    assert isinstance(decision, flow_types.Ignore)


def test_first_packet_without_a_route_is_reset():
    host = flow_factories.make_host()
    unrouted = flow_factories.BOOKINGS._replace(port=1)
    decision = host.receive(flow_factories.make_packet(service=unrouted), 0.0)
    assert isinstance(decision, flow_types.Reset)
    later = flow_factories.make_packet(service=unrouted, tag=7)
    assert isinstance(host.receive(later, 0.0), flow_types.Ignore)


def test_first_packet_without_a_server_is_reset():
    host = flow_factories.make_host(
        [flow_factories.make_server(9, service="patterns")]
    )
    decision = host.receive(flow_factories.make_packet(), 0.0)
    assert isinstance(decision, flow_types.Reset)


def test_host_without_configuration_ignores_all_packets():
    host = flow_factories.make_host()
    host.configuration = routes.NO_CONFIGURATION
    for packet in (
        flow_factories.make_packet(),
        flow_factories.make_packet(tag=5),
    ):
        decision = host.receive(packet, 0.0)
        assert isinstance(decision, flow_types.Ignore)


def test_leaving_server_gets_no_new_flow_and_keeps_its_open_ones():
    host = flow_factories.make_host([flow_factories.make_server(1)])
    tag = server_of(host.receive(flow_factories.make_packet(), 0.0)).tag
    host.directory.update(
        flow_factories.make_server(1, state=flow_factories.LEAVING)
    )
    host.directory.update(flow_factories.make_server(2))
    again = host.receive(flow_factories.make_packet(tag=tag), 0.1)
    assert server_of(again).tag == tag
    for port in range(1, 30):
        chosen = server_of(host.receive(flow_factories.make_packet(port), 0.2))
        assert chosen.tag != tag


def test_copy_of_a_first_packet_does_not_reach_a_leaving_server():
    host = flow_factories.make_host([flow_factories.make_server(1)])
    host.receive(flow_factories.make_packet(), 0.0)
    host.directory.update(
        flow_factories.make_server(1, state=flow_factories.LEAVING)
    )
    host.directory.update(flow_factories.make_server(2))
    copy = host.receive(flow_factories.make_packet(copies=1), 0.2)
    assert server_of(copy).name == flow_factories.make_server(2).name


def test_flow_of_a_removed_server_continues_until_its_lifetime_ends():
    host = flow_factories.make_host(
        [flow_factories.make_server(1), flow_factories.make_server(2)]
    )
    tag = server_of(host.receive(flow_factories.make_packet(), 0.0)).tag
    name = host.directory.find(tag).name
    host.directory.remove(name, 1.0)
    assert (
        server_of(host.receive(flow_factories.make_packet(tag=tag), 2.0)).tag
        == tag
    )
    host.tick(1.0 + host.directory.departed_seconds)
    decision = host.receive(flow_factories.make_packet(tag=tag), 62.0)
    assert isinstance(decision, flow_types.Ignore)


def test_copy_follows_the_first_packet_if_its_server_answers_others():
    """A repeated first packet stays at a server that answers other flows.

    Two servers that answer the same caller would each put their own tag into
    the flow.
    """
    host = flow_factories.make_host()
    server = server_of(host.receive(flow_factories.make_packet(1), 0.0))
    host.failure_detector.record_answer(server, 0.1)
    copy = host.receive(flow_factories.make_packet(1, copies=1), 0.2)
    assert server_of(copy) is server


def test_copy_avoids_a_silent_server():
    """A repeated first packet goes to another server if its own is silent.

    Silent means: no answer to any flow since the first packet was sent.
    """
    host = flow_factories.make_host()
    server = server_of(host.receive(flow_factories.make_packet(1), 0.0))
    copy = host.receive(flow_factories.make_packet(1, copies=1), 0.2)
    assert server_of(copy) is not server


def test_duplicated_first_packet_stays_at_its_server():
    host = flow_factories.make_host()
    server = server_of(host.receive(flow_factories.make_packet(1), 0.0))
    # The network duplicated it: a retransmission has a copy count above 0.
    for _ in range(10):
        decision = host.receive(flow_factories.make_packet(1), 0.001)
        assert server_of(decision) is server


def test_older_configuration_is_not_adopted():
    host = flow_factories.make_host()
    assert host.configure(flow_factories.make_configuration(5))
    assert not host.configure(flow_factories.make_configuration(4, "patterns"))
    assert host.configuration.generation == 5
    route = host.configuration.routes[flow_factories.BOOKINGS.pack()]
    assert route.services == {"bookings"}


def test_new_configuration_does_not_move_open_flows():
    patterns = flow_factories.make_server(9, service="patterns")
    host = flow_factories.make_host([flow_factories.make_server(1), patterns])
    tag = server_of(host.receive(flow_factories.make_packet(), 0.0)).tag
    host.configure(flow_factories.make_configuration(2, bookings="patterns"))
    assert (
        server_of(host.receive(flow_factories.make_packet(tag=tag), 0.1)).tag
        == tag
    )
    new_flow = host.receive(flow_factories.make_packet(7), 0.1)
    assert server_of(new_flow) is patterns


def test_removed_route_revokes_its_allowed_services():
    """The removal of a route ends the access of its address to its services.

    A later route of the same address must not restore it for old tags.
    """
    patterns = flow_factories.make_server(9, service="patterns")
    host = flow_factories.make_host([flow_factories.make_server(1), patterns])
    tag = server_of(host.receive(flow_factories.make_packet(), 0.0)).tag
    without_route = flow_factories.make_configuration(2)
    del without_route.routes[flow_factories.BOOKINGS.pack()]
    host.configure(without_route)
    host.configure(flow_factories.make_configuration(3, bookings="patterns"))
    decision = host.receive(flow_factories.make_packet(tag=tag), 0.1)
    assert isinstance(decision, flow_types.Ignore)


def test_every_host_resolves_a_tag_collision_to_the_same_server():
    first = flow_factories.make_server(1)
    second = flow_factories.make_server(2)
    second.tag = first.tag
    names = set()
    for order in ((first, second), (second, first)):
        host = flow_factories.make_host(list(order))
        names.add(host.directory.find(first.tag).name)
        assert list(host.directory.pool("bookings").servers) == [first]
    assert names == {first.name}


# The first one by name got the tag, so that a server that was added took the
# packets of flows that were open at the other one, and reset them.
def test_added_server_does_not_take_the_tag_of_an_older_one():
    older = flow_factories.make_server(2, started=1000)
    added = flow_factories.make_server(1, started=2000)
    added.tag = older.tag
    for order in ((older, added), (added, older)):
        host = flow_factories.make_host(list(order))
        packet = flow_factories.make_packet(tag=older.tag)
        assert server_of(host.receive(packet, 0.0)) is older
        assert list(host.directory.pool("bookings").servers) == [older]


# A server that has gone keeps its tag while its open flows may send packets;
# the other one gets it afterwards.
def test_tag_passes_on_when_the_flows_of_its_server_are_over():
    older = flow_factories.make_server(2, started=1000)
    added = flow_factories.make_server(1, started=2000)
    added.tag = older.tag
    host = flow_factories.make_host([older, added])
    host.directory.remove(older.name, 0.0)
    assert not host.directory.pool("bookings").servers
    host.tick(host.directory.departed_seconds + 1.0)
    assert list(host.directory.pool("bookings").servers) == [added]


def test_reused_address_ends_the_lapse_of_the_old_server():
    """A server whose entry is missing stays in use until it is removed.

    Its removal is due at once if a new server has its address, because the
    new server would receive its packets.
    """
    old = flow_factories.make_server(1)
    host = flow_factories.make_host([old, flow_factories.make_server(2)])
    host.entries_may_return = True
    host.handle_removed_entry(old.name, 0.0)
    host.tick(1.0)
    assert old in host.directory.pool("bookings").servers
    new = flow_factories.make_server(7, service="patterns")
    new.address = old.address
    host.directory.update(new)
    host.entries_may_return = False
    host.tick(1.1)
    assert old not in host.directory.pool("bookings").servers


def test_server_whose_entry_reappears_is_kept():
    """The return of its entry cancels the pending removal."""
    host = flow_factories.make_host(
        [flow_factories.make_server(1), flow_factories.make_server(2)]
    )
    host.entries_may_return = True
    host.handle_removed_entry(flow_factories.make_server(1).name, 0.0)
    host.tick(2.0)
    host.directory.update(flow_factories.make_server(1))
    host.entries_may_return = False
    host.tick(3.0)
    assert len(host.directory.pool("bookings").servers) == 2


def test_server_whose_entry_stays_missing_is_removed():
    """After the delay it stays only while ``entries_may_return`` is set."""
    host = flow_factories.make_host(
        [flow_factories.make_server(1), flow_factories.make_server(2)]
    )
    host.entries_may_return = True
    host.handle_removed_entry(flow_factories.make_server(1).name, 0.0)
    host.tick(2.0)
    host.entries_may_return = False
    host.tick(2.1)
    assert len(host.directory.pool("bookings").servers) == 1


def test_leaving_server_is_removed_at_once_with_its_entry():
    host = flow_factories.make_host(
        [flow_factories.make_server(1), flow_factories.make_server(2)]
    )
    host.directory.update(
        flow_factories.make_server(1, state=flow_factories.LEAVING)
    )
    host.entries_may_return = True
    host.handle_removed_entry(flow_factories.make_server(1).name, 0.0)
    assert flow_factories.make_server(1).name not in host.directory.servers


@pytest.mark.parametrize("weights", [(0.0, 1.0), (1.0, 0.0)])
def test_shares_of_a_route_are_respected(weights):
    patterns = flow_factories.make_server(9, service="patterns")
    host = flow_factories.make_host([flow_factories.make_server(1), patterns])
    offered = flow_factories.make_configuration(2)
    offered.routes[flow_factories.BOOKINGS.pack()] = routes.Route(
        "both",
        (
            routes.Share("bookings", weights[0]),
            routes.Share("patterns", weights[1]),
        ),
        1.0,
    )
    host.configure(offered)
    expected = "bookings" if weights[0] else "patterns"
    for port in range(1, 20):
        chosen = server_of(host.receive(flow_factories.make_packet(port), 0.0))
        assert chosen.service == expected


@attrs.frozen
class Step:
    """One generated event at a host.

    :param kind: event; the first four are packets of a caller: ``open`` is a
        first packet, ``copy`` a repeated one, ``later`` has a tag, and
        ``close`` ends the flow. ``leave``, ``lose`` and ``back`` change a
        server's entry: leaving, removed, added again. ``tick`` runs the
        periodic work.
    :param number: number of the server that it concerns.
    :param port: caller port of the flow that it concerns.
    """

    kind: str
    number: int
    port: int


steps = strategies.builds(
    Step,
    strategies.sampled_from(
        ("open", "copy", "later", "close", "leave", "lose", "back", "tick")
    ),
    strategies.integers(1, 4),
    strategies.integers(1, 5),
)


@settings(max_examples=300, deadline=None)
@given(strategies.lists(steps, max_size=40))
def test_no_generated_sequence_breaks_a_flow(sequence):
    """A tag leads to the same server and service after any events."""
    services = {1: "bookings", 2: "bookings", 3: "patterns", 4: "patterns"}
    host = flow_factories.make_host(
        [flow_factories.make_server(n, services[n]) for n in services]
    )
    now = 0.0
    tags_by_port = {}
    for step in sequence:
        now += 0.05
        server = flow_factories.make_server(step.number, services[step.number])
        if step.kind == "leave":
            host.directory.update(
                flow_factories.make_server(
                    step.number,
                    services[step.number],
                    serverstate.ServerState.LEAVING,
                )
            )
        elif step.kind == "lose":
            host.handle_removed_entry(server.name, now)
        elif step.kind == "back":
            host.directory.update(server)
        elif step.kind == "tick":
            host.tick(now)
        else:
            _receive_packet(host, step, now, tags_by_port)


def _receive_packet(host, step, now, tags_by_port):
    opens = step.kind in ("open", "copy")
    packet = flow_factories.make_packet(
        step.port,
        tag=0 if opens else tags_by_port.get(step.port, 99),
        copies=int(step.kind == "copy"),
        closes=step.kind == "close",
    )
    decision = host.receive(packet, now)
    if isinstance(decision, flow_types.Forward):
        assert decision.server.service == "bookings"
        if opens:
            active = host.directory.pool("bookings").servers
            assert decision.server in active
            tags_by_port[step.port] = decision.server.tag
        else:
            assert decision.server.tag == packet.tag
    elif not opens:
        assert isinstance(decision, flow_types.Ignore)


def test_entry_of_a_server_whose_address_is_used_again_is_not_used():
    """A health check at the address would be answered by the new server."""
    old = flow_factories.make_server(1, started=1000)
    new = flow_factories.make_server(2, "patterns", started=9000)
    new.address = old.address
    host = flow_factories.make_host([old])
    host.directory.update(new)
    host.tick(0.1)
    assert not host.directory.pool("bookings").servers
    # Its open flows are still recognized.
    assert host.directory.find(old.tag) is old


def test_late_entry_of_an_old_server_does_not_remove_the_new_one():
    new = flow_factories.make_server(2, started=9000)
    old = flow_factories.make_server(1, started=1000)
    old.address = new.address
    host = flow_factories.make_host([new])
    host.directory.update(old)
    host.tick(0.1)
    assert new in host.directory.pool("bookings")
