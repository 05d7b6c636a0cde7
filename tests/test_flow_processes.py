"""Entry hosts for flows as processes, with a simulated platform."""

import asyncio
import os
import signal
import time

import pytest

from vanilladrum.core import neighbours
from vanilladrum.daemons import settings
from vanilladrum.standins import flow_caller
from vanilladrum.standins import flow_load
from vanilladrum.standins import object_store

FlowOutcome = flow_caller.FlowOutcome


async def send_requests(cluster, count, pause=0.002, prefix="r"):
    """Send requests to both services; return how many were served.

    :param pause: seconds between two requests.
    :param prefix: beginning of the ids of the requests.
    """
    names = list(cluster.service_addresses)

    async def send(number):
        await asyncio.sleep(number * pause)
        service = names[number % len(names)]
        target = cluster.service_addresses[service]
        return await cluster.caller.request(
            target, f"{prefix}-{number}", service
        )

    outcomes = await asyncio.gather(*(send(n) for n in range(count)))
    return sum(outcome is FlowOutcome.SERVED for outcome in outcomes)


def assert_flows_intact(cluster):
    """Assert that the hosts have damaged no flow.

    No request ran twice or was answered wrongly, no packet was changed, and
    no flow was reset while it was open.
    """
    executed = [
        request
        for server in cluster.servers
        for request in server.executed_ids
    ]
    assert len(executed) == len(set(executed))
    assert not sum(server.corrupted_packets for server in cluster.servers)
    for outcome in (FlowOutcome.WRONG, FlowOutcome.RESET_WHILE_OPEN):
        assert not cluster.caller.outcomes[outcome], cluster.caller.failures


def logged_events(host, name):
    """Return the entries of a host's log with an event name."""
    return host.logged_events(name)


def load_settings(cluster, folder, ip, **renamed):
    """Write and return the settings of a load run of 1 s on the cluster.

    :param ip: host part of the caller's address.
    :param renamed: wrong service names for the run to expect, by right name.
    """
    caller = f"{ip}:{cluster.ports[0]}"
    lines = [f'caller = "{caller}"', "duration = 1.0", "spray = true"]
    for host in cluster.hosts:
        lines += ["[[host]]", f'packets = "{host.packet_address}"']
        lines += [f'readiness = "{host.readiness}"']
    for service, address in cluster.service_addresses.items():
        name = renamed.get(service, service)
        lines += ["[[target]]", f'service = "{name}"']
        lines += [f'address = "{address}"', "rate = 50.0"]
    path = folder / "flow-load.toml"
    path.write_text("\n".join(lines))
    return settings.read(flow_load.FlowLoadSettings, str(path))


async def test_load_report_counts_served_and_wrong_responses(
    cluster, tmp_path
):
    run_settings = load_settings(cluster, tmp_path, "127.1.0.2")
    report = await flow_load.FlowLoad(run_settings).run()
    assert {each["served"] for each in report.values()} == {50}
    assert flow_load.finish(report) == 0
    service = next(iter(cluster.service_addresses))
    run_settings = load_settings(
        cluster, tmp_path, "127.1.0.3", **{service: "another"}
    )
    report = await flow_load.FlowLoad(run_settings).run()
    assert report["another"]["wrong"] == 50
    assert flow_load.finish(report) == 1


async def test_every_host_forwards_any_packet(cluster):
    cluster.router.random_host = True
    assert await send_requests(cluster, 300) == 300
    assert_flows_intact(cluster)


async def test_lost_packets_only_delay_requests(cluster):
    cluster.router.loss = 0.05
    # At most 1 % of the requests may fail at a packet loss of 5 %.
    assert await send_requests(cluster, 200) >= 198
    assert_flows_intact(cluster)


async def test_rolling_restart_of_all_hosts_loses_no_request(cluster):
    async def restart_all():
        for host in cluster.hosts:
            assert await host.stop() == 0
            host.start()
            await asyncio.sleep(1.0)

    sending = asyncio.create_task(send_requests(cluster, 900, 0.012))
    await restart_all()
    assert await sending == 900
    assert_flows_intact(cluster)
    for host in cluster.hosts:
        assert logged_events(host, "stopping") and logged_events(
            host, "stopped"
        )


async def test_leaving_server_gets_no_new_flows(cluster):
    server = cluster.servers[0]
    sending = asyncio.create_task(send_requests(cluster, 400, 0.005))
    await asyncio.sleep(0.3)
    server.draining = True
    await cluster.store.put("servers", server.name, server.store_entry())
    # Changes of servers are batched for 0.5 s.
    await asyncio.sleep(0.8)
    server.flows_opened_while_draining = 0
    assert await sending == 400
    assert server.flows_opened_while_draining == 0
    assert server.executed_ids
    assert_flows_intact(cluster)


async def test_silent_server_is_avoided_within_a_second(cluster):
    """All requests are served within their deadline of 3 s."""
    cluster.servers[0].silent = True
    assert await send_requests(cluster, 300, 0.005) == 300
    assert_flows_intact(cluster)
    assert any(logged_events(host, "silent attempt") for host in cluster.hosts)


async def test_host_starts_from_its_peers_without_the_store(cluster):
    cluster.store.injected_fault = object_store.InjectedFault.SILENT
    host = cluster.hosts[0]
    await host.stop()
    host.start()
    await asyncio.sleep(1.0)
    await cluster.wait_ready()
    assert await send_requests(cluster, 100) == 100


async def test_restarted_fleet_without_the_store_is_not_ready(cluster):
    cluster.store.injected_fault = object_store.InjectedFault.BUSY
    for host in cluster.hosts:
        host.signal(signal.SIGKILL)
        host.process.wait()
    for host in cluster.hosts:
        host.start()
    await asyncio.sleep(2.0)
    assert all(
        cluster.router.failed_probes[h.readiness] for h in cluster.hosts
    )
    # Requests sent now are served as soon as the store is available.
    cluster.caller.deadline = 6.0
    sending = asyncio.create_task(send_requests(cluster, 20))
    await asyncio.sleep(0.2)
    cluster.store.injected_fault = object_store.InjectedFault.NONE
    assert await sending == 20
    assert_flows_intact(cluster)


@pytest.mark.parametrize("injected_fault", ["silent", "reset", "busy"])
async def test_change_after_an_outage_is_in_force_within_the_limit(
    cluster, injected_fault
):
    """The limit is 3 s from the store's confirmation of the change.

    The test allows 2 s.
    """
    cluster.store.injected_fault = object_store.InjectedFault(injected_fault)
    await asyncio.sleep(2.5)
    cluster.store.injected_fault = object_store.InjectedFault.NONE
    await asyncio.sleep(1.0)
    await cluster.write_configuration()
    await asyncio.sleep(2.0)
    for host in cluster.hosts:
        adopted = logged_events(host, "configuration adopted")
        assert adopted[-1]["offered"] == cluster.generation


def watches_store(host):
    """Return whether a host watches the store, by its log."""
    followed = logged_events(host, "following")
    return not followed or followed[-1]["host"] == "store"


async def test_host_rejected_by_the_store_learns_from_its_peers(cluster):
    # Until then hosts discover each other and may begin to follow.
    await asyncio.sleep(neighbours.DISCOVERY_SECONDS + 0.5)
    rejected, *_ = [host for host in cluster.hosts if watches_store(host)]
    # The store is busy for this host only.
    cluster.store.rejected_hosts = frozenset({rejected.store.host})
    cluster.store.injected_fault = object_store.InjectedFault.BUSY
    await asyncio.sleep(1.5)
    await cluster.write_configuration()
    await asyncio.sleep(2.0)
    adopted = logged_events(rejected, "configuration adopted")
    assert adopted[-1]["offered"] == cluster.generation
    assert logged_events(rejected, "store lost")
    for host in cluster.hosts:
        if host is not rejected:
            assert not logged_events(host, "store lost")


async def test_objects_are_listed_again_after_the_history_is_truncated(
    cluster,
):
    cluster.store.injected_fault = object_store.InjectedFault.RESET
    await asyncio.sleep(1.0)
    await cluster.write_configuration()
    cluster.store.discard_history()
    cluster.store.injected_fault = object_store.InjectedFault.NONE
    await asyncio.sleep(2.0)
    for host in cluster.hosts:
        adopted = logged_events(host, "configuration adopted")
        assert adopted[-1]["offered"] == cluster.generation


async def test_only_two_hosts_watch_the_store(cluster):
    await asyncio.sleep(4.0)
    server = cluster.servers[0]
    await cluster.store.put("servers", server.name, server.store_entry())
    waiting = {"servers": 0, "config": 0}
    for _ in range(300):
        for kind, most in waiting.items():
            waiting[kind] = max(most, cluster.store.waiting[kind])
        await asyncio.sleep(0.01)
    # Each host has at most one watch of a kind.
    assert waiting == {"servers": 2, "config": 2}


async def test_entries_removed_in_an_outage_stay_in_use(cluster):
    cluster.store.injected_fault = object_store.InjectedFault.BUSY
    await asyncio.sleep(1.5)
    entries = dict(cluster.store.kinds["servers"])
    for name in entries:
        await cluster.store.delete("servers", name)
    cluster.store.injected_fault = object_store.InjectedFault.NONE
    sending = asyncio.create_task(send_requests(cluster, 150, 0.01))
    await asyncio.sleep(1.2)
    for server in cluster.servers:
        await cluster.store.put("servers", server.name, server.store_entry())
    assert await sending == 150, cluster.caller.failures


async def test_sighup_and_a_changed_file_reload_the_settings(cluster):
    signalled, edited = cluster.hosts[:2]
    signalled.signal(signal.SIGHUP)
    await asyncio.sleep(0.3)
    assert logged_events(signalled, "settings reloaded")
    text = edited.settings.read_text()
    edited.settings.write_text("nonsense\n")
    await asyncio.sleep(2.5)
    assert logged_events(edited, "settings refused")
    edited.settings.write_text(text)
    await asyncio.sleep(2.5)
    assert logged_events(edited, "settings reloaded")
    assert await send_requests(cluster, 50) == 50


# The signal ended a process that had not set its handlers yet.
async def test_sighup_before_the_settings_are_read_ends_no_process(cluster):
    host = cluster.hosts[0]
    assert await host.stop() == 0
    text = host.settings.read_text()
    host.settings.unlink()
    os.mkfifo(host.settings)
    host.start()

    def signal_while_reading():
        # Opening the pipe waits for the process to open it for reading.
        with host.settings.open("w") as pipe:
            host.signal(signal.SIGHUP)
            time.sleep(0.1)
            pipe.write(text)

    await asyncio.to_thread(signal_while_reading)
    host.settings.unlink()
    host.settings.write_text(text)
    await asyncio.sleep(1.0)
    assert host.process.poll() is None
    assert await send_requests(cluster, 50) == 50


async def test_full_output_pipe_loses_no_packet(cluster):
    """Log lines are dropped if the pipe is full; the host never blocks."""
    host = cluster.hosts[0]
    await host.stop()
    # Nothing reads from the pipe.
    read_end, write_end = os.pipe()
    original_log_path = host.log_path
    host.log_path = type("Pipe", (), {})()
    host.log_path.open = lambda _: open(write_end, "ab", closefd=False)
    host.start()
    await asyncio.sleep(1.0)
    await cluster.wait_ready()
    served = sum([await send_requests(cluster, 400, 0.002) for _ in range(2)])
    assert served == 800
    os.close(read_end)
    os.close(write_end)
    host.log_path = original_log_path
