"""Entry hosts as processes while the store is restored from a copy.

The store then loses what it has confirmed and gives out revisions again.
"""

import asyncio

from tests import test_flow_processes
from vanilladrum.standins import object_store

# A change has to be in force within 3 s of its confirmation.
LIMIT_SECONDS = 2.0


async def write_configurations(cluster, count):
    for _ in range(count):
        await cluster.write_configuration()


async def restore(cluster, earlier, seconds_away=1.0, meanwhile=None):
    """Make the store unavailable and restore it from a copy.

    :param meanwhile: writes to the restored store before the entry hosts
        reach it again, None for none.
    """
    cluster.store.injected_fault = object_store.InjectedFault.RESET
    await cluster.store.restore(earlier)
    await asyncio.sleep(seconds_away)
    if meanwhile is not None:
        await meanwhile
    cluster.store.injected_fault = object_store.InjectedFault.NONE


def generations(cluster):
    """Return the last generation that each host has adopted."""
    return [
        test_flow_processes.logged_events(host, "configuration adopted")[-1][
            "offered"
        ]
        for host in cluster.hosts
    ]


async def assert_in_force(cluster):
    await asyncio.sleep(LIMIT_SECONDS)
    assert generations(cluster) == [cluster.generation] * len(cluster.hosts)


# Hosts refused all answers until the revisions had caught up.
async def test_change_after_a_restore_is_in_force(cluster):
    earlier = cluster.store.make_copy()
    await write_configurations(cluster, 40)
    await asyncio.sleep(0.5)
    await restore(cluster, earlier)
    await cluster.write_again()
    await asyncio.sleep(1.0)
    await cluster.write_configuration()
    await assert_in_force(cluster)


# A watch from a revision that was given out again missed what came before.
async def test_change_at_a_revision_given_out_again_is_in_force(cluster):
    earlier = cluster.store.make_copy()
    await write_configurations(cluster, 10)
    await asyncio.sleep(0.5)

    async def write_past_the_lost_revisions():
        await cluster.write_configuration()
        for _ in range(4):
            await write_server_entries(cluster)

    await restore(cluster, earlier, 1.0, write_past_the_lost_revisions())
    await assert_in_force(cluster)


async def write_server_entries(cluster):
    for server in cluster.servers:
        await cluster.store.put("servers", server.name, server.store_entry())


# The second restore goes back to before the first one.
async def test_change_after_two_restores_is_in_force(cluster):
    earlier = cluster.store.make_copy()
    await write_configurations(cluster, 20)
    await asyncio.sleep(0.3)
    for _ in range(2):
        await restore(cluster, earlier, 0.5)
        await cluster.write_again()
        await write_configurations(cluster, 5)
        await asyncio.sleep(0.3)
    await cluster.write_configuration()
    await assert_in_force(cluster)


# A host that started before the operator wrote again used the older
# configuration, although other hosts had a newer one in force.
async def test_host_that_starts_after_a_restore_is_not_behind(cluster):
    earlier = cluster.store.make_copy()
    await cluster.write_configuration()
    await asyncio.sleep(0.5)
    await restore(cluster, earlier, 0.5)
    await asyncio.sleep(1.0)
    await cluster.hosts[0].stop()
    cluster.hosts[0].start()
    await assert_in_force(cluster)


# Servers that started after the copy are missing from the restored list, and
# those that were leaving are listed as ready.
async def test_servers_keep_their_last_state_until_they_write_again(cluster):
    leaving = cluster.servers[0]
    earlier = cluster.store.make_copy()
    started = await cluster.add_server("bookings", 8)
    leaving.draining = True
    await cluster.store.put("servers", leaving.name, leaving.store_entry())
    await asyncio.sleep(1.0)
    await restore(cluster, earlier, 0.5)
    await asyncio.sleep(0.5)
    leaving.flows_opened_while_draining = 0
    executed = len(started.executed_ids)
    assert await test_flow_processes.send_requests(cluster, 200, 0.005) == 200
    assert leaving.flows_opened_while_draining == 0
    assert len(started.executed_ids) > executed


# An entry of the copy whose server has gone names an address that may be in
# use by another service.
async def test_server_that_left_before_a_restore_gets_no_new_flows(cluster):
    gone = cluster.servers[0]
    earlier = cluster.store.make_copy()
    gone.draining = True
    await cluster.store.put("servers", gone.name, gone.store_entry())
    await asyncio.sleep(1.0)
    await cluster.store.delete("servers", gone.name)
    await asyncio.sleep(1.0)
    await restore(cluster, earlier, 0.5)
    await asyncio.sleep(0.5)
    gone.flows_opened_while_draining = 0
    assert await test_flow_processes.send_requests(cluster, 200, 0.005) == 200
    assert gone.flows_opened_while_draining == 0
