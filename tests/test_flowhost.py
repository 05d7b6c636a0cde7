"""What an entry host decides on packets of flows."""

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests import flows
from vanilladrum.core import flow as flow_types
from vanilladrum.core import routes
from vanilladrum.core import serverstate


def server_of(decision):
    assert isinstance(decision, flow_types.Forward)
    return decision.server


def test_later_packets_go_to_the_server_of_the_first_on_any_host():
    one = flows.make_host(seed=1)
    other = flows.make_host(seed=2)
    server = server_of(one.receive(flows.make_packet(), 0.0))
    for host in (one, other):
        packet = flows.make_packet(tag=server.tag)
        assert server_of(host.receive(packet, 0.1)).name == server.name


def test_packet_with_the_tag_of_another_service_is_ignored():
    patterns = flows.make_server(9, service="patterns")
    host = flows.make_host([flows.make_server(1), patterns])
    decision = host.receive(flows.make_packet(tag=patterns.tag), 0.0)
    assert isinstance(decision, flow_types.Ignore)
    assert decision.reason == "wrong_service"


def test_packet_with_an_unknown_tag_is_ignored_never_reset():
    host = flows.make_host()
    decision = host.receive(flows.make_packet(tag=12345), 0.0)
    assert isinstance(decision, flow_types.Ignore)


def test_first_packet_without_a_route_is_reset():
    host = flows.make_host()
    nowhere = flows.BOOKINGS._replace(port=1)
    decision = host.receive(flows.make_packet(service=nowhere), 0.0)
    assert isinstance(decision, flow_types.Reset)
    later = flows.make_packet(service=nowhere, tag=7)
    assert isinstance(host.receive(later, 0.0), flow_types.Ignore)


def test_first_packet_without_a_server_is_reset():
    host = flows.make_host([flows.make_server(9, service="patterns")])
    decision = host.receive(flows.make_packet(), 0.0)
    assert isinstance(decision, flow_types.Reset)


def test_host_without_configuration_refuses_nothing():
    host = flows.make_host()
    host.configuration = routes.NO_CONFIGURATION
    for packet in (flows.make_packet(), flows.make_packet(tag=5)):
        decision = host.receive(packet, 0.0)
        assert isinstance(decision, flow_types.Ignore)


def test_leaving_server_gets_no_new_flow_and_keeps_its_open_ones():
    host = flows.make_host([flows.make_server(1)])
    tag = server_of(host.receive(flows.make_packet(), 0.0)).tag
    host.directory.put(flows.make_server(1, state=flows.LEAVING))
    host.directory.put(flows.make_server(2))
    again = host.receive(flows.make_packet(tag=tag), 0.1)
    assert server_of(again).tag == tag
    for port in range(1, 30):
        chosen = server_of(host.receive(flows.make_packet(port), 0.2))
        assert chosen.tag != tag


def test_copy_of_a_first_packet_does_not_reach_a_leaving_server():
    host = flows.make_host([flows.make_server(1)])
    host.receive(flows.make_packet(), 0.0)
    host.directory.put(flows.make_server(1, state=flows.LEAVING))
    host.directory.put(flows.make_server(2))
    copy = host.receive(flows.make_packet(copies=1), 0.2)
    assert server_of(copy).name == flows.make_server(2).name


def test_flow_of_a_departed_server_goes_on_until_its_lifetime_ends():
    host = flows.make_host([flows.make_server(1), flows.make_server(2)])
    tag = server_of(host.receive(flows.make_packet(), 0.0)).tag
    name = host.directory.find(tag).name
    host.directory.remove(name, 1.0)
    assert server_of(host.receive(flows.make_packet(tag=tag), 2.0)).tag == tag
    host.tick(1.0 + host.directory.keep)
    decision = host.receive(flows.make_packet(tag=tag), 62.0)
    assert isinstance(decision, flow_types.Ignore)


def test_copy_follows_the_first_packet_while_its_server_answers_others():
    host = flows.make_host()
    server = server_of(host.receive(flows.make_packet(1), 0.0))
    host.evidence.answered(server, 0.1)
    copy = host.receive(flows.make_packet(1, copies=1), 0.2)
    assert server_of(copy) is server


def test_copy_leaves_a_silent_server():
    host = flows.make_host()
    server = server_of(host.receive(flows.make_packet(1), 0.0))
    copy = host.receive(flows.make_packet(1, copies=1), 0.2)
    assert server_of(copy) is not server


def test_repeated_first_packet_stays_at_its_server():
    host = flows.make_host()
    server = server_of(host.receive(flows.make_packet(1), 0.0))
    # The network doubled it; it is no copy that the caller sent.
    for _ in range(10):
        decision = host.receive(flows.make_packet(1), 0.001)
        assert server_of(decision) is server


def test_older_configuration_is_not_adopted():
    host = flows.make_host()
    assert host.configure(flows.make_configuration(5))
    assert not host.configure(flows.make_configuration(4, "patterns"))
    assert host.configuration.generation == 5
    route = host.configuration.routes[flows.BOOKINGS.pack()]
    assert route.allows("bookings")


def test_new_configuration_leaves_open_flows_where_they_are():
    patterns = flows.make_server(9, service="patterns")
    host = flows.make_host([flows.make_server(1), patterns])
    tag = server_of(host.receive(flows.make_packet(), 0.0)).tag
    host.configure(flows.make_configuration(2, bookings="patterns"))
    assert server_of(host.receive(flows.make_packet(tag=tag), 0.1)).tag == tag
    fresh = host.receive(flows.make_packet(7), 0.1)
    assert server_of(fresh) is patterns


def test_removed_route_forgets_what_it_allowed():
    patterns = flows.make_server(9, service="patterns")
    host = flows.make_host([flows.make_server(1), patterns])
    tag = server_of(host.receive(flows.make_packet(), 0.0)).tag
    without = flows.make_configuration(2)
    del without.routes[flows.BOOKINGS.pack()]
    host.configure(without)
    host.configure(flows.make_configuration(3, bookings="patterns"))
    decision = host.receive(flows.make_packet(tag=tag), 0.1)
    assert isinstance(decision, flow_types.Ignore)


def test_two_servers_with_one_tag_are_told_apart_alike_everywhere():
    first = flows.make_server(1)
    second = flows.make_server(2)
    second.tag = first.tag
    names = set()
    for order in ((first, second), (second, first)):
        host = flows.make_host(list(order))
        names.add(host.directory.find(first.tag).name)
        assert host.directory.active("bookings") == [first]
    assert names == {first.name}


def test_address_used_again_ends_the_lapse_of_the_old_server():
    old = flows.make_server(1)
    host = flows.make_host([old, flows.make_server(2)])
    host.unsettled = True
    host.lose_server(old.name, 0.0)
    host.tick(1.0)
    assert old in host.directory.active("bookings")
    new = flows.make_server(7, service="patterns")
    new.address = old.address
    host.directory.put(new)
    host.unsettled = False
    host.tick(1.1)
    assert old not in host.directory.active("bookings")


def test_entry_that_comes_back_keeps_its_server():
    host = flows.make_host([flows.make_server(1), flows.make_server(2)])
    host.unsettled = True
    host.lose_server(flows.make_server(1).name, 0.0)
    host.tick(2.0)
    host.directory.put(flows.make_server(1))
    host.unsettled = False
    host.tick(3.0)
    assert len(host.directory.active("bookings")) == 2


def test_entry_that_stays_away_is_gone_once_the_store_has_settled():
    host = flows.make_host([flows.make_server(1), flows.make_server(2)])
    host.unsettled = True
    host.lose_server(flows.make_server(1).name, 0.0)
    host.tick(2.0)
    host.unsettled = False
    host.tick(2.1)
    assert len(host.directory.active("bookings")) == 1


def test_leaving_server_whose_entry_goes_does_not_lapse():
    host = flows.make_host([flows.make_server(1), flows.make_server(2)])
    host.directory.put(flows.make_server(1, state=flows.LEAVING))
    host.unsettled = True
    host.lose_server(flows.make_server(1).name, 0.0)
    assert flows.make_server(1).name not in host.directory.servers


@pytest.mark.parametrize("weights", [(0.0, 1.0), (1.0, 0.0)])
def test_shares_of_a_route_are_respected(weights):
    patterns = flows.make_server(9, service="patterns")
    host = flows.make_host([flows.make_server(1), patterns])
    offered = flows.make_configuration(2)
    offered.routes[flows.BOOKINGS.pack()] = routes.Route(
        "both",
        (
            routes.Share("bookings", weights[0]),
            routes.Share("patterns", weights[1]),
        ),
        1.0,
    )
    host.configure(offered)
    wanted = "bookings" if weights[0] else "patterns"
    for port in range(1, 20):
        chosen = server_of(host.receive(flows.make_packet(port), 0.0))
        assert chosen.service == wanted


@attrs.frozen
class Step:
    """One thing that may happen to a host."""

    what: str
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
def test_no_made_up_sequence_breaks_a_flow(sequence):
    """Whatever happens, tags stay with their server and their service."""
    service = {1: "bookings", 2: "bookings", 3: "patterns", 4: "patterns"}
    host = flows.make_host([flows.make_server(n, service[n]) for n in service])
    now = 0.0
    owner = {}
    for step in sequence:
        now += 0.05
        server = flows.make_server(step.number, service[step.number])
        if step.what == "leave":
            host.directory.put(
                flows.make_server(
                    step.number,
                    service[step.number],
                    serverstate.ServerState.LEAVING,
                )
            )
        elif step.what == "lose":
            host.lose_server(server.name, now)
        elif step.what == "back":
            host.directory.put(server)
        elif step.what == "tick":
            host.tick(now)
        else:
            _send(host, step, now, owner)


def _send(host, step, now, owner):
    opens = step.what in ("open", "copy")
    packet = flows.make_packet(
        step.port,
        tag=0 if opens else owner.get(step.port, 99),
        copies=int(step.what == "copy"),
        closes=step.what == "close",
    )
    decision = host.receive(packet, now)
    if isinstance(decision, flow_types.Forward):
        assert decision.server.service == "bookings"
        if opens:
            active = host.directory.active("bookings")
            assert decision.server in active
            owner[step.port] = decision.server.tag
        else:
            assert decision.server.tag == packet.tag
    elif not opens:
        assert isinstance(decision, flow_types.Ignore)
