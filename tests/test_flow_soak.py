"""Short soak runs with fixed seeds, some of which exposed a fault."""

import asyncio
import random

import pytest

from examples import flow_cluster
from examples import flow_soak
from vanilladrum.standins import object_store

# Seeds, and why each one is here.
SEEDS = {
    1: "the first seed",
    106: "the soak waited for a process that another injected fault started",
}
# The same of runs in which the store is restored from copies.
RESTORE_SEEDS = {
    1: "the first seed",
    502: "all hosts missed the change at a revision that was given out again",
}
# The same of runs with short silences, odd entries and routes that move.
ODD_SEEDS = {
    1: "a watch was lost in a short silence; a leaving server got flows",
    2: "copies of first packets went to a service that the route had left",
    4: "a zone that cannot be encoded ended all ticks; SIGTERM was ignored",
}
# The same of runs with entries of other programs.
FOREIGN_SEEDS = {
    1: "the first seed",
}
# The same of runs in which data centres are evacuated.
EVACUATION_SEEDS = {
    1: "the first seed",
}
# The same of runs with a large configuration and slow links.
LARGE_SEEDS = {
    1: "the first seed",
}
SECONDS = 8.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_under_random_faults(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path)
    assert report["broken"] == [], report
    assert report["faults"] >= 5


# No soak restored the store, so no host met an earlier revision.
@pytest.mark.parametrize("seed", RESTORE_SEEDS)
async def test_guarantees_hold_while_the_store_is_restored(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path, "restores")
    assert report["broken"] == [], report
    assert report["faults"] >= 5


# Evacuations were tested without overlapping faults only.
@pytest.mark.parametrize("seed", EVACUATION_SEEDS)
async def test_guarantees_hold_during_evacuations(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path, "evacuations")
    assert report["broken"] == [], report
    assert "evacuate" in [name for _, name in report["injected"]], report


# No soak had silences shorter than a ping, entries of other writers, or full
# servers while a route moved.
@pytest.mark.parametrize("seed", ODD_SEEDS)
async def test_guarantees_hold_with_odd_entries_and_silences(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path, "odd")
    assert report["broken"] == [], report
    assert report["faults"] >= 5


# No soak had a configuration that takes longer to transfer than its source
# stays the same.
@pytest.mark.parametrize("seed", LARGE_SEEDS)
async def test_guarantees_hold_with_a_large_configuration(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path, "large")
    assert report["broken"] == [], report
    assert report["faults"] >= 5


# No soak had large entries, or other entries at the addresses of servers.
@pytest.mark.parametrize("seed", FOREIGN_SEEDS)
async def test_guarantees_hold_with_foreign_entries(seed, tmp_path):
    report = await flow_soak.soak(seed, SECONDS, tmp_path, "foreign")
    assert report["broken"] == [], report
    assert report["faults"] >= 5


async def start_without_a_store(soak):
    """Start all hosts again during an outage; then they know nothing.

    All have ended before the first one starts: it would learn from another.
    """
    soak.cluster.store.injected_fault = object_store.InjectedFault.SILENT
    for host in soak.cluster.hosts:
        host.process.kill()
    for host in soak.cluster.hosts:
        await asyncio.to_thread(host.process.wait)
    for host in soak.cluster.hosts:
        host.start()
    await asyncio.sleep(3.0)
    soak.cluster.store.injected_fault = object_store.InjectedFault.NONE


# Requests that began before the store was back counted as not recovered, and
# the longer the last fault took, the fewer of those after it counted.
async def test_recovery_is_judged_by_requests_after_the_last_fault(cluster):
    faults = {"start_without_a_store": start_without_a_store}
    soak = flow_soak.Soak(cluster, random.Random(1), faults)
    report = await soak.run(0.05)
    assert report["broken"] == [], report
    assert report["outcomes"]["unanswered"] > 50
    requests = flow_soak.RECOVERY_SECONDS * flow_soak.REQUESTS_PER_SECOND
    assert sum(soak.recovery.values()) > 0.9 * requests


# A check that counts too few requests would pass while nothing is served.
async def test_run_without_recovery_is_reported(cluster):
    async def darken(soak):
        for server in soak.cluster.servers:
            server.silent = True

    soak = flow_soak.Soak(cluster, random.Random(1), {"darken": darken})
    report = await soak.run(0.05)
    assert "not recovered" in report["broken"][0]


# Equal numbers for two ports of a cluster kept all of its hosts from starting.
def test_ports_of_a_cluster_differ():
    for _ in range(20):
        assert len(set(flow_cluster.free_ports(200))) == 200
