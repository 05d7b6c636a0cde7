"""Entry hosts as processes whose servers fall silent or are slow."""

import asyncio
import datetime
import itertools
import random
import socket

import pytest

from examples import flow_cluster
from examples import flow_soak
from examples import overdue_check
from vanilladrum.core import backend as backends
from vanilladrum.standins import flow_caller
from vanilladrum.standins import object_store

FlowOutcome = flow_caller.FlowOutcome
REQUESTS = 6
# The caller sends a request again after 0.2, 0.6 and 1.4 s. A reset before the
# last of them was not caused by a packet.
LIMIT = 1.39


@pytest.fixture
async def targeted_cluster(tmp_path):
    """Yield a cluster whose routes name a target latency."""
    running = flow_cluster.FlowCluster(
        tmp_path, target_ms=overdue_check.TARGET_MS
    )
    try:
        await running.start()
        yield running
    finally:
        await running.stop()


async def send_background(cluster):
    """Send requests to the other service until cancelled."""
    target = cluster.service_addresses["patterns"]
    tasks = set()
    number = 0
    while True:
        number += 1
        request = cluster.caller.request(target, f"p-{number}", "patterns")
        tasks.add(asyncio.create_task(request))
        await asyncio.sleep(0.02)


async def run_requests(cluster, change):
    """Open flows to the service bookings, change it, then send requests.

    :param change: called with each of its servers before the requests.
    :returns: outcome of each request, and the requests on its flows.
    """
    background = asyncio.create_task(send_background(cluster))
    target = cluster.service_addresses["bookings"]
    requests = [
        asyncio.create_task(
            cluster.caller.request(target, f"b-{number}", "bookings", 0.5)
        )
        for number in range(REQUESTS)
    ]
    await asyncio.sleep(0.4)
    for server in cluster.servers:
        if server.service == "bookings":
            await change(server)
    outcomes = await asyncio.gather(*requests)
    background.cancel()
    exchanges = [
        each
        for each in cluster.caller.exchanges
        if each.request_id.startswith("b-")
    ]
    return outcomes, exchanges


def longest_gap(host):
    """Return the longest time without a line before a server was dead.

    Background requests cause a line each 0.06 s on average. A host that
    wrote none for long was suspended by the machine, and counts anew.
    """
    lines = host.log()
    times = [
        datetime.datetime.fromisoformat(line["time"]).timestamp()
        for line in lines
        if line["event"] in ("flow", "server presumed dead")
    ]
    dead = [
        number
        for number, line in enumerate(lines)
        if line["event"] == "server presumed dead"
    ]
    if not dead:
        return 0.0
    end = datetime.datetime.fromisoformat(lines[dead[0]]["time"]).timestamp()
    recent = [each for each in times if end - 2.5 <= each <= end]
    return max(b - a for a, b in itertools.pairwise(recent))


@pytest.mark.parametrize(
    "store_fault",
    [object_store.InjectedFault.NONE, object_store.InjectedFault.SILENT],
)
async def test_requests_at_dead_servers_are_reset(
    targeted_cluster, store_fault
):
    """Failure: callers wait for their time limit, with the store away too."""
    cluster = targeted_cluster
    cluster.store.injected_fault = store_fault

    async def die(server):
        await server.set_silent(True)

    outcomes, exchanges = await run_requests(cluster, die)
    assert outcomes == [FlowOutcome.RESET_WHILE_OPEN] * REQUESTS
    # A host writes its log after it has sent the resets.
    await asyncio.sleep(0.3)
    waits = [each.ended - each.sent for each in exchanges]
    gap = max(longest_gap(host) for host in cluster.hosts)
    assert max(waits) < LIMIT + (gap + 0.6 if gap > 0.3 else 0.0), waits
    assert min(waits) >= overdue_check.TARGET_MS / 1000 + 0.4, waits
    logged = [
        event
        for host in cluster.hosts
        for event in host.logged_events("server presumed dead")
    ]
    assert sum(each["resets"] for each in logged) == REQUESTS
    assert any(host.logged_events("request overdue") for host in cluster.hosts)


async def test_requests_at_replaced_servers_are_reset(targeted_cluster):
    """Failure: a check reaches the server that has taken the address."""
    cluster = targeted_cluster

    async def replace(server):
        server.silent = True
        server.health.instance = "i-ffffffff"

    outcomes, _ = await run_requests(cluster, replace)
    assert outcomes == [FlowOutcome.RESET_WHILE_OPEN] * REQUESTS
    await asyncio.sleep(0.3)
    logged = [
        event["other"]
        for host in cluster.hosts
        for event in host.logged_events("server replaced")
    ]
    assert set(logged) == {"i-ffffffff"}


async def test_requests_at_slow_servers_are_answered(targeted_cluster):
    """Failure: an open flow is reset although its server is alive."""

    async def slow_down(server):
        server.service_seconds = 2.2

    outcomes, _ = await run_requests(targeted_cluster, slow_down)
    assert outcomes == [FlowOutcome.SERVED] * REQUESTS
    checked = [
        event
        for host in targeted_cluster.hosts
        for event in host.logged_events("server checked")
    ]
    assert checked and all(event["good"] for event in checked)


@pytest.mark.parametrize("accepts", [True, False])
async def test_requests_at_unresponsive_processes_are_not_reset(
    targeted_cluster, accepts
):
    """Failure: a suspended process, or one whose health check is refused.

    The host of a suspended process accepts connections.
    """
    listeners = []

    async def suspend(server):
        server.silent = True
        server.health.close()
        if accepts:
            endpoint = (server.address.host, server.address.port)
            # Nothing accepts the connections that wait in its queue.
            listeners.append(socket.create_server(endpoint, backlog=50))

    outcomes, _ = await run_requests(targeted_cluster, suspend)
    for listener in listeners:
        listener.close()
    assert outcomes == [FlowOutcome.UNANSWERED] * REQUESTS
    checked = [
        event
        for host in targeted_cluster.hosts
        for event in host.logged_events("server checked")
    ]
    assert checked


def make_exchange(server, **changed):
    """Return a request of 3 s that its server did not answer."""
    tag = backends.make_tag(server.name)
    fields = {"sent": 10.0, "ended": 13.0} | changed
    return flow_caller.Exchange("r-1", tag, **fields)


# A check that overlooks a wait or a wrong reset would pass for any code.
async def test_soak_reports_waits_and_wrong_resets(targeted_cluster):
    cluster = targeted_cluster
    server, other = cluster.servers[:2]
    server.ended_silences = [(9.5, 12.8)]
    answers = [
        make_exchange(other, ended=10.0 + number * 0.1, served=True)
        for number in range(1, 20)
    ]

    def violations(exchange, injected=()):
        cluster.caller.exchanges = [*answers, exchange]
        return overdue_check.find_violations(cluster, injected, 5.0)

    waited = make_exchange(server)
    assert "waited 2.80 s" in violations(waited)[0]
    assert not violations(waited, [(3.0, "kill")])
    assert violations(waited, [(3.0, "hup")])
    assert not violations(make_exchange(server, ended=11.9))
    assert not violations(make_exchange(other))
    for when, count in ((9.8, 1), (11.2, 0), (14.2, 0), (14.4, 1)):
        reset = make_exchange(server, ended=when, was_reset=True)
        assert len(violations(reset)) == count
    assert violations(make_exchange(other, was_reset=True))
    cluster.target_ms = 0
    assert not violations(waited)


# The faults of the soak must reach the health endpoints as well.
async def test_soak_with_silent_servers_resets_their_requests(
    targeted_cluster,
):
    soak = flow_soak.Soak(
        targeted_cluster,
        random.Random(3),
        {"dark_server": flow_soak.dark_server},
    )
    report = await soak.run(4.0)
    assert report["broken"] == [], report
