"""Cold servers and entry hosts as processes, with a simulated platform."""

import asyncio
import collections
import signal

import pytest

from tests import test_flow_processes
from tests import warm_up_fleets
from vanilladrum.standins import flow_server

RATE = 4
# First packets a second that a cold server may get from all hosts.
LIMIT = RATE * warm_up_fleets.OVERAGE + warm_up_fleets.SLACK
WARM_UP_MS = 60_000
# Time after which a starting host has a budget, in seconds.
DISCOVERY_SECONDS = 3.5


@pytest.fixture
def opened(monkeypatch):
    """Return the times of the first packets by name of the server."""
    times = collections.defaultdict(list)
    original = flow_server.FlowServer._open

    def record(server, key, segment):
        times[server.name].append(asyncio.get_running_loop().time())
        original(server, key, segment)

    monkeypatch.setattr(flow_server.FlowServer, "_open", record)
    return times


async def limit_warm_up(cluster):
    """Restart all hosts with the setting, and make patterns' servers cold."""
    cluster.configuration["version"] += 1
    for service in cluster.configuration["services"]:
        service |= {"warmup-s": WARM_UP_MS / 1000, "warmup-per-s": RATE}
    await cluster.store.put("config", "main", cluster.configuration)
    for server in cluster.servers:
        if server.service == "patterns":
            entry = server.store_entry() | {"warmup-left-ms": WARM_UP_MS}
            await cluster.store.put("servers", server.name, entry)
    for host in cluster.hosts:
        await host.stop()
        with host.settings.open("a") as settings:
            settings.write(
                f"bounds.warmup-overage={warm_up_fleets.OVERAGE}\n"
                f"bounds.warmup-slack={warm_up_fleets.SLACK:g}\n"
            )
        host.start()
    await cluster.wait_ready()


def cold_servers(cluster):
    return [each for each in cluster.servers if each.service == "patterns"]


async def test_cold_servers_keep_their_limit_while_hosts_fail(cluster, opened):
    """Hosts that are killed, paused and started again at the same time."""
    await limit_warm_up(cluster)
    await asyncio.sleep(DISCOVERY_SECONDS)
    opened.clear()
    cluster.caller.deadline = 2.0
    sending = asyncio.create_task(
        test_flow_processes.send_requests(cluster, 1600, 0.005)
    )
    await asyncio.sleep(1.5)
    cluster.hosts[0].signal(signal.SIGSTOP)
    cluster.hosts[2].process.kill()
    cluster.hosts[2].process.wait()
    await asyncio.sleep(0.7)
    cluster.hosts[2].start()
    cluster.hosts[0].signal(signal.SIGCONT)
    await sending
    for server in cold_servers(cluster):
        assert opened[server.name]
        worst = warm_up_fleets.worst_second(opened[server.name])
        assert worst <= LIMIT, server.name
    refused = test_flow_processes.logged_events(
        cluster.hosts[1], "packet refused"
    )
    assert "warming_up" in {each["reason"] for each in refused}
    test_flow_processes.assert_flows_intact(cluster)


async def test_countdown_continues_while_the_store_is_silent(cluster, opened):
    """Cold servers must become warm although no further entry arrives."""
    await limit_warm_up(cluster)
    for server in cold_servers(cluster):
        entry = server.store_entry() | {"warmup-left-ms": 1500}
        await cluster.store.put("servers", server.name, entry)
    await asyncio.sleep(0.5)
    cluster.store.injected_fault = (
        test_flow_processes.object_store.InjectedFault.SILENT
    )
    await asyncio.sleep(2.0)
    assert await test_flow_processes.send_requests(cluster, 200) == 200
