"""Entry hosts of flows as processes, before stand-ins of the platform."""

import asyncio
import json
import os
import signal

import pytest

from examples import flow_cluster
from vanilladrum.daemons import settings
from vanilladrum.standins import flow_caller
from vanilladrum.standins import flow_load
from vanilladrum.standins import object_store

Outcome = flow_caller.Outcome


@pytest.fixture
async def cluster(tmp_path):
    found = flow_cluster.FlowCluster(tmp_path)
    try:
        await found.start()
        yield found
    finally:
        await found.stop()


async def ask_many(cluster, count, pause=0.002):
    """Send requests to both services; return how many were served."""
    names = list(cluster.targets)

    async def ask(number):
        await asyncio.sleep(number * pause)
        service = names[number % len(names)]
        target = cluster.targets[service]
        return await cluster.caller.ask(target, f"r-{number}", service)

    outcomes = await asyncio.gather(*(ask(n) for n in range(count)))
    return sum(outcome is Outcome.SERVED for outcome in outcomes)


def assert_nothing_wrong(cluster):
    """Nothing was changed, crossed, run twice or reset while it was open."""
    ran = [request for server in cluster.servers for request in server.ran]
    assert len(ran) == len(set(ran))
    assert not sum(server.changed_packets for server in cluster.servers)
    for bad in (Outcome.WRONG, Outcome.RESET_WHILE_OPEN):
        assert not cluster.caller.outcomes[bad], cluster.caller.failures


def events(host, name):
    found = []
    for line in host.output.read_text().splitlines():
        plain = json.loads(line)
        if plain["event"] == name:
            found.append(plain)
    return found


def load_settings(cluster, folder, ip, **wrong):
    """Write the settings of a short load run on the cluster's hosts."""
    caller = f"{ip}:{cluster.ports[0]}"
    text = [f'caller = "{caller}"', "duration = 1.0", "spray = true"]
    for host in cluster.hosts:
        text += ["[[host]]", f'packets = "{host.flows}"']
        text += [f'readiness = "{host.readiness}"']
    for service, address in cluster.targets.items():
        name = wrong.get(service, service)
        text += ["[[target]]", f'service = "{name}"']
        text += [f'address = "{address}"', "rate = 50.0"]
    path = folder / "flow-load.toml"
    path.write_text("\n".join(text))
    return settings.read(flow_load.FlowLoadSettings, str(path))


async def test_load_counts_what_was_served_and_what_was_wrong(
    cluster, tmp_path
):
    found = load_settings(cluster, tmp_path, "127.1.0.2")
    report = await flow_load.FlowLoad(found).run()
    assert {each["served"] for each in report.values()} == {50}
    assert flow_load.finish(report) == 0
    service = next(iter(cluster.targets))
    found = load_settings(
        cluster, tmp_path, "127.1.0.3", **{service: "another"}
    )
    report = await flow_load.FlowLoad(found).run()
    assert report["another"]["wrong"] == 50
    assert flow_load.finish(report) == 1


async def test_whole_path_serves_any_packet_on_any_host(cluster):
    cluster.router.spray = True
    assert await ask_many(cluster, 300) == 300
    assert_nothing_wrong(cluster)


async def test_lost_packets_cost_time_only(cluster):
    cluster.router.loss = 0.05
    assert await ask_many(cluster, 200) >= 198
    assert_nothing_wrong(cluster)


async def test_planned_stop_and_start_of_every_host_loses_nothing(cluster):
    async def roll():
        for host in cluster.hosts:
            assert await host.stop() == 0
            host.start()
            await asyncio.sleep(1.0)

    asking = asyncio.create_task(ask_many(cluster, 900, 0.012))
    await roll()
    assert await asking == 900
    assert_nothing_wrong(cluster)
    for host in cluster.hosts:
        assert events(host, "stopping") and events(host, "stopped")


async def test_leaving_server_gets_no_new_flows(cluster):
    server = cluster.servers[0]
    asking = asyncio.create_task(ask_many(cluster, 400, 0.005))
    await asyncio.sleep(0.3)
    server.leaving = True
    await cluster.store.put("servers", server.name, server.entry())
    # Changes of servers are gathered for half a second.
    await asyncio.sleep(0.8)
    server.opened_while_leaving = 0
    assert await asking == 400
    assert server.opened_while_leaving == 0
    assert server.ran
    assert_nothing_wrong(cluster)


async def test_dark_server_is_left_within_a_second(cluster):
    cluster.servers[0].silent = True
    assert await ask_many(cluster, 300, 0.005) == 300
    assert_nothing_wrong(cluster)
    assert any(events(host, "silent attempt") for host in cluster.hosts)


async def test_host_starts_with_the_store_away_from_its_peers(cluster):
    cluster.store.trouble = object_store.Trouble.SILENT
    host = cluster.hosts[0]
    await host.stop()
    host.start()
    await asyncio.sleep(1.0)
    await cluster.wait_ready()
    assert await ask_many(cluster, 100) == 100


async def test_hosts_alone_without_the_store_are_not_ready(cluster):
    cluster.store.trouble = object_store.Trouble.BUSY
    for host in cluster.hosts:
        host.signal(signal.SIGKILL)
        host.process.wait()
    for host in cluster.hosts:
        host.start()
    await asyncio.sleep(2.0)
    assert all(cluster.router.misses[h.readiness] for h in cluster.hosts)
    # Requests that come now are served once the store is back.
    cluster.caller.deadline = 6.0
    asking = asyncio.create_task(ask_many(cluster, 20))
    await asyncio.sleep(0.2)
    cluster.store.trouble = object_store.Trouble.NONE
    assert await asking == 20
    assert_nothing_wrong(cluster)


@pytest.mark.parametrize("trouble", ["silent", "reset", "busy"])
async def test_change_made_after_an_outage_is_in_force_in_time(
    cluster, trouble
):
    """The bound is 3 s from the store's confirmation."""
    cluster.store.trouble = object_store.Trouble(trouble)
    await asyncio.sleep(2.5)
    cluster.store.trouble = object_store.Trouble.NONE
    await asyncio.sleep(1.0)
    await cluster.configure()
    await asyncio.sleep(2.0)
    for host in cluster.hosts:
        adopted = events(host, "configuration adopted")
        assert adopted[-1]["offered"] == cluster.generation


async def test_host_that_the_store_turns_away_hears_from_its_peers(cluster):
    first = cluster.hosts[0]
    cluster.store.turned_away = frozenset({first.flows.host})
    cluster.store.trouble = object_store.Trouble.BUSY
    await asyncio.sleep(1.5)
    await cluster.configure()
    await asyncio.sleep(2.0)
    adopted = events(first, "configuration adopted")
    assert adopted[-1]["offered"] == cluster.generation


async def test_forgotten_history_is_listed_again(cluster):
    cluster.store.trouble = object_store.Trouble.RESET
    await asyncio.sleep(1.0)
    await cluster.configure()
    cluster.store.forget_history()
    cluster.store.trouble = object_store.Trouble.NONE
    await asyncio.sleep(2.0)
    for host in cluster.hosts:
        adopted = events(host, "configuration adopted")
        assert adopted[-1]["offered"] == cluster.generation


async def test_only_two_hosts_watch_the_store(cluster):
    await asyncio.sleep(4.0)
    cluster.store.calls.clear()
    server = cluster.servers[0]
    await cluster.store.put("servers", server.name, server.entry())
    await asyncio.sleep(1.0)
    # Each host whose watch was answered by the change asks again.
    assert cluster.store.calls["watch"] == 2


async def test_entries_that_lapse_in_an_outage_stay_in_use(cluster):
    cluster.store.trouble = object_store.Trouble.BUSY
    await asyncio.sleep(1.5)
    entries = dict(cluster.store.kinds["servers"])
    for name in entries:
        await cluster.store.delete("servers", name)
    cluster.store.trouble = object_store.Trouble.NONE
    asking = asyncio.create_task(ask_many(cluster, 150, 0.01))
    await asyncio.sleep(1.2)
    for server in cluster.servers:
        await cluster.store.put("servers", server.name, server.entry())
    assert await asking == 150, cluster.caller.failures


async def test_hup_and_a_silent_change_reload_the_settings(cluster):
    one, other = cluster.hosts[:2]
    one.signal(signal.SIGHUP)
    await asyncio.sleep(0.3)
    assert events(one, "settings reloaded")
    text = other.settings.read_text()
    other.settings.write_text("nonsense\n")
    await asyncio.sleep(2.5)
    assert events(other, "settings refused")
    other.settings.write_text(text)
    await asyncio.sleep(2.5)
    assert events(other, "settings reloaded")
    assert await ask_many(cluster, 50) == 50


async def test_full_output_pipe_costs_no_packet(cluster):
    """A log that nobody reads is cut short, never waited for."""
    host = cluster.hosts[0]
    await host.stop()
    reading, writing = os.pipe()
    before = host.output
    host.output = type("Pipe", (), {})()
    host.output.open = lambda _: open(writing, "ab", closefd=False)
    host.start()
    await asyncio.sleep(1.0)
    await cluster.wait_ready()
    served = sum([await ask_many(cluster, 400, 0.002) for _ in range(2)])
    assert served == 800
    os.close(reading)
    os.close(writing)
    host.output = before
