"""Entries with one address, in any order with the configuration."""

import asyncio
import itertools

import pytest

from tests import flow_factories
from tests import test_flow_processes
from vanilladrum.core import routes

STEPS = ("server", "agent", "configuration")


@pytest.fixture
def host():
    """Return a host that has just started and knows nothing."""
    started = flow_factories.make_host()
    started.directory = type(started.directory)()
    started.opener.directory = started.directory
    started.evacuation.directory = started.directory
    started.overdue.directory = started.directory
    started.configuration = routes.NO_CONFIGURATION
    started.allowed_services = {}
    return started


@pytest.fixture
def server():
    return flow_factories.make_server(1)


@pytest.fixture
def agent(server):
    """Return an entry of another program with the server's address."""
    return make_successor(server, 2, "monitoring")


def make_successor(server, number, service):
    """Return a server that started later at a server's address."""
    successor = flow_factories.make_server(
        number, service=service, started=9000
    )
    successor.address = server.address
    return successor


def configure(host, generation, *services):
    """Adopt a configuration that names services besides those of routes."""
    host.configure(
        flow_factories.make_configuration(
            generation, health_paths=dict.fromkeys(services, "/")
        )
    )


def apply(host, step, server, agent):
    if step == "configuration":
        configure(host, 2, "bookings")
    elif step == "server":
        host.handle_entry(server)
    else:
        host.handle_entry(agent)


# Hosts that started got the entries before the configuration, took the agent's
# service for known and removed all servers for good.
@pytest.mark.parametrize("order", list(itertools.permutations(STEPS)))
@pytest.mark.parametrize("ticks", [True, False])
def test_entry_of_an_unknown_service_takes_no_address(
    host, server, agent, order, ticks
):
    for number, step in enumerate(order):
        apply(host, step, server, agent)
        if ticks:
            host.tick(0.1 * (number + 1))
    host.tick(1.0)
    decision = host.receive(flow_factories.make_packet(), 1.0)
    assert decision.server is server


# The same three steps with a service that the configuration names.
@pytest.mark.parametrize("order", list(itertools.permutations(STEPS)))
@pytest.mark.parametrize("ticks", [True, False])
def test_successor_takes_the_address_in_any_order(host, server, order, ticks):
    successor = make_successor(server, 2, "patterns")
    for number, step in enumerate(order):
        apply(host, step, server, successor)
        if ticks:
            host.tick(0.1 * (number + 1))
    host.tick(1.0)
    assert set(host.directory.servers) == {successor.name}
    # A list repeats the entry of the server that has ended.
    host.handle_entry(flow_factories.make_server(1, sequence=7))
    assert set(host.directory.servers) == {successor.name}


def test_service_that_is_named_later_takes_its_address(host, server, agent):
    configure(host, 2, "bookings")
    host.handle_entry(server)
    host.handle_entry(agent)
    host.tick(0.1)
    configure(host, 3, "bookings", "monitoring")
    host.tick(0.2)
    assert set(host.directory.servers) == {agent.name}


# The server was removed for good, though its entry was still there.
def test_server_is_used_again_when_a_service_is_named_no_longer(
    host, server, agent
):
    configure(host, 2, "bookings", "monitoring")
    host.handle_entry(server)
    host.handle_entry(agent)
    host.tick(0.1)
    assert server.name not in host.directory.servers
    configure(host, 3, "bookings")
    host.tick(0.2)
    decision = host.receive(flow_factories.make_packet(), 0.2)
    assert decision.server is server


def test_server_is_used_again_when_the_later_entry_is_gone(host, server):
    configure(host, 2, "bookings")
    successor = make_successor(server, 2, "patterns")
    host.handle_entry(server)
    host.handle_entry(successor)
    host.tick(0.1)
    host.handle_removed_entry(successor.name, 0.2)
    host.tick(1.0)
    assert set(host.directory.servers) == {server.name}
    host.handle_removed_entry(server.name, 1.1)
    host.tick(2.0)
    assert not host.directory.servers and not host.directory.superseded


def test_superseded_server_whose_entry_is_gone_is_forgotten(host, server):
    configure(host, 2, "bookings")
    successor = make_successor(server, 2, "patterns")
    host.handle_entry(server)
    host.handle_entry(successor)
    host.tick(0.1)
    host.handle_removed_entry(server.name, 0.2)
    host.handle_removed_entry(successor.name, 0.3)
    host.tick(1.0)
    assert not host.directory.servers and not host.directory.superseded


def test_entry_that_moves_frees_its_address(host, server):
    configure(host, 2, "bookings")
    successor = make_successor(server, 2, "patterns")
    host.handle_entry(server)
    host.handle_entry(successor)
    host.tick(0.1)
    host.handle_entry(
        flow_factories.make_server(2, service="patterns", started=9000)
    )
    assert set(host.directory.servers) == {server.name, successor.name}


# Each of them was compared with all others at its address.
def test_cost_of_entries_of_unknown_services_at_one_address(host, server):
    configure(host, 2, "bookings")
    host.handle_entry(server)
    claims = host.directory.claims
    for number in range(2, 200):
        host.handle_entry(make_successor(server, number, "monitoring"))
    assert not claims.others(server)
    assert not claims.others(host.directory.servers["i-000000c7"])
    host.tick(0.1)
    assert server.name in host.directory.servers


async def test_hosts_start_beside_entries_at_the_servers_addresses(cluster):
    """All hosts are killed and start again; then one of them does."""
    for server in cluster.servers:
        await cluster.store.put(
            "servers",
            f"monitoring-agent-{server.name[2:]}",
            server.store_entry()
            | {"service": "monitoring", "sequence": 1, "born": 2**42},
        )
    await asyncio.sleep(0.5)
    for hosts in (cluster.hosts, cluster.hosts[:1]):
        for host in hosts:
            host.process.kill()
            host.process.wait()
            host.start()
        await cluster.wait_ready()
        await asyncio.sleep(0.5)
        served = await test_flow_processes.send_requests(cluster, 200)
        assert served == 200
