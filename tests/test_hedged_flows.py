"""Later packets of hedged flows, and what a host remembers of them."""

import pytest

from tests import flow_factories
from tests import hedging_world as worlds
from vanilladrum.core import flow as flows
from vanilladrum.core.hedging import openings as opening_lists

LEARNT = worlds.LEARNT


def test_reused_port_forgets_the_hedged_flow():
    """The next flow of a caller's port follows its own server."""
    host = worlds.make_learnt_host()
    first = worlds.send_first(host)
    (hedge,) = worlds.wait_for_hedge(host)
    worlds.later_server(host, hedge.server.tag, LEARNT + 0.05)
    closing = flow_factories.make_packet(
        1024, tag=hedge.server.tag, closes=True
    )
    host.receive(closing, LEARNT + 0.06)
    worlds.send_first(host, now=LEARNT + 0.1)
    assert worlds.later_server(host, first.tag, LEARNT + 0.11) is first


@pytest.mark.parametrize("tag", [12345, None])
def test_tag_without_a_server_of_the_route_opens_no_hedged_flow(tag):
    """A stray packet must not decide where the flow is open."""
    patterns = flow_factories.make_server(99, service="patterns")
    host = worlds.make_learnt_host([*worlds.make_servers(), patterns])
    first = worlds.send_first(host)
    (hedge,) = worlds.wait_for_hedge(host)
    stray = flow_factories.make_packet(1024, tag=tag or patterns.tag)
    assert isinstance(host.receive(stray, LEARNT + 0.05), flows.Ignore)
    second = hedge.server
    assert worlds.later_server(host, second.tag, LEARNT + 0.06) is second
    assert worlds.later_server(host, first.tag, LEARNT + 0.07) is second


def test_hedged_flows_and_first_packets_are_forgotten():
    """The memory does not grow with the flows of the past."""
    host = worlds.make_learnt_host(worlds.make_distant_servers(9))
    for port in range(1024, 1029):
        worlds.send_first(host, port)
    worlds.wait_for_hedge(host)
    assert len(host.hedged_flows) == 5
    assert len(host.openings) == 0
    for second in range(2, 20):
        host.tick(float(second))
    assert len(host.hedged_flows) == 0


def test_flood_of_first_packets_does_not_fill_the_memory(monkeypatch):
    monkeypatch.setattr(opening_lists, "MAX_OPENINGS", 10)
    host = worlds.make_learnt_host()
    for port in range(1024, 1100):
        worlds.send_first(host, port)
    assert len(host.openings) == 10
