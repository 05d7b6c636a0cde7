"""Large configurations that change while hosts have slow links."""

import asyncio

import pytest

from examples import flow_cluster

# Above 12 hosts they follow each other as in a large fleet.
HOSTS = 16
# Their configuration takes 0.7 s at 5 Mbit/s, and is too large to relay.
IDLE_ROUTES = 2000
LINK_BYTES_PER_SECOND = 5_000_000 / 8
CHANGES = 25
CHANGE_INTERVAL_SECONDS = 0.5
# A configuration has to be in force by then, in seconds.
LIMIT_SECONDS = 5.0


@pytest.fixture
async def large_fleet(tmp_path):
    """Hosts with slow links to a store that has a large configuration."""
    fleet = flow_cluster.FlowCluster(tmp_path, HOSTS)
    await fleet.start()
    fleet.store.bytes_per_second = LINK_BYTES_PER_SECOND
    fleet.idle_routes = IDLE_ROUTES
    yield fleet
    await fleet.stop()


def generations(fleet):
    """Return the generation that each host has adopted last."""
    return [
        host.logged_events("configuration adopted")[-1]["offered"]
        for host in fleet.hosts
    ]


# Hosts followed each other for moments and began the list of the configuration
# anew each time, so that some were behind by more than the limit.
async def test_changes_of_a_large_configuration_are_in_force(large_fleet):
    await asyncio.sleep(3.0)
    written = []
    for _ in range(CHANGES):
        await large_fleet.write_configuration()
        written.append(large_fleet.generation)
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
        due = len(written) - int(LIMIT_SECONDS / CHANGE_INTERVAL_SECONDS)
        if due > 0:
            assert min(generations(large_fleet)) >= written[due - 1]
