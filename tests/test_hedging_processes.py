"""Hedged first packets on entry hosts that run as processes."""

import urllib.request

import pytest

from examples import flow_cluster
from tests import test_flow_processes
from vanilladrum.daemons import flow_host as daemon
from vanilladrum.daemons import hedge_settings
from vanilladrum.platform import settings as node_settings


@pytest.fixture
async def hedging_cluster(tmp_path, monkeypatch):
    """Yield a cluster whose hosts hedge, with a metrics page on each."""
    cluster = flow_cluster.FlowCluster(tmp_path, host_count=2)
    monkeypatch.setenv(hedge_settings.SHARE_VARIABLE, "0.5")
    # Of the percentiles, the median needs the fewest openings.
    monkeypatch.setenv(hedge_settings.PERCENTILE_VARIABLE, "0.5")
    (port,) = flow_cluster.free_ports(1)
    monkeypatch.setenv(node_settings.METRICS_VARIABLE, str(port))
    try:
        await cluster.start()
        yield cluster, port
    finally:
        await cluster.stop()


def read_counters(host, port):
    """Return the counters of hedges on a host's metrics page."""
    url = f"http://{host.peer.host}:{port}{daemon.METRICS_PATH}"
    with urllib.request.urlopen(url, timeout=5.0) as response:
        lines = response.read().decode().splitlines()
    return {
        name: int(value)
        for name, value in (line.split() for line in lines)
        if name.startswith("vanilladrum_hedges")
    }


async def test_full_servers_are_hedged_logged_and_counted(hedging_cluster):
    """Real hosts hedge in time, and no flow of theirs is damaged."""
    cluster, port = hedging_cluster
    assert await test_flow_processes.send_requests(cluster, 300) == 300
    test_flow_processes.assert_flows_intact(cluster)
    for server in cluster.servers:
        # The ids of the requests below are the same.
        server.executed_ids.clear()
    full = cluster.servers[1]
    full.full = True
    assert await test_flow_processes.send_requests(cluster, 300, 0.01) == 300
    test_flow_processes.assert_flows_intact(cluster)
    hedges = [
        entry
        for host in cluster.hosts
        for entry in host.logged_events("hedge")
    ]
    assert hedges
    for entry in hedges:
        assert entry["server"] != entry["second_server"]
        assert entry["waited"] >= entry["limit"] >= 0.03
    assert full.name in {entry["server"] for entry in hedges}
    counters = [read_counters(host, port) for host in cluster.hosts]
    names = set.intersection(*(set(each) for each in counters))
    assert names == {
        "vanilladrum_hedges_total",
        "vanilladrum_hedges_won_total",
        "vanilladrum_hedges_denied_budget_total",
        "vanilladrum_hedges_denied_scarce_total",
    }
    total = sum(each["vanilladrum_hedges_total"] for each in counters)
    assert total == len(hedges)
    won = sum(each["vanilladrum_hedges_won_total"] for each in counters)
    assert 0 < won <= total
