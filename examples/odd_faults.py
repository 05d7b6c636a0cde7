"""Faults of the soak's ``odd`` runs; other runs keep the meaning of seeds."""

import asyncio

from vanilladrum.standins import object_store
from vanilladrum.standins import odd_entries

# Limits of a silence that pings may miss, in seconds.
SILENCE_SECONDS = (0.05, 0.9)
# A server may still take a first packet that was sent this long after a host
# has shown that it follows a newer configuration, in seconds.
ROLLBACK_SLACK_SECONDS = 0.25
# Bound for a configuration to be in force, in seconds.
APPLY_SECONDS = 3.0
# Time for which callers open flows at the route that moves, in seconds.
MOVE_SECONDS = 2.0
OPENING_INTERVAL_SECONDS = 0.02
POLL_INTERVAL_SECONDS = 0.02
# Number of the first odd entry; those of servers are lower.
FIRST_ODD_NUMBER = 4096
ODD_FAULTS = {}


def odd_fault(action):
    """Register a fault of odd runs under the name of its function."""
    ODD_FAULTS[action.__name__] = action
    return action


@odd_fault
async def short_silence(soak) -> None:
    """Let the store fall silent for less than a second, once or more often.

    A change comes right before, so that the next watches are sent meanwhile.
    In half of the cases the watches that wait are lost too.
    """
    store = soak.cluster.store
    for _ in range(soak.rng.randrange(1, 4)):
        server = soak.rng.choice(soak.cluster.servers)
        await store.put("servers", server.name, server.store_entry())
        await asyncio.sleep(soak.rng.uniform(0.0, 0.5))
        if soak.rng.random() < 0.5:
            await store.drop_watches()
        store.injected_fault = object_store.InjectedFault.SILENT
        await asyncio.sleep(soak.rng.uniform(*SILENCE_SECONDS))
        store.injected_fault = object_store.InjectedFault.NONE


@odd_fault
async def odd_entry(soak) -> None:
    """Leave an entry of another writer among those of the servers."""
    kind = soak.rng.choice(sorted(odd_entries.ALL))
    number = FIRST_ODD_NUMBER + soak.rng.randrange(10**6)
    name = f"i-{number:08x}"
    store = soak.cluster.store
    await store.put_raw("servers", name, odd_entries.ALL[kind])
    await asyncio.sleep(soak.random_duration() * 3)
    if name in store.kinds["servers"]:
        await store.delete("servers", name)


@odd_fault
async def move_route_of_full_servers(soak) -> None:
    """Move a route away from servers that are full, then make room there.

    Once every host has the new version in force, no server of the old service
    may take a first packet of the route, nor a copy of one.
    """
    cluster = soak.cluster
    if soak.route_moves:
        return
    soak.route_moves = True
    old, new = soak.rng.sample(sorted(cluster.service_addresses), 2)
    old_servers = [each for each in cluster.servers if each.service == old]
    cluster.moving_service = old
    await cluster.write_configuration()
    opening = asyncio.create_task(_open_flows(soak))
    await asyncio.sleep(APPLY_SECONDS / 2)
    for server in old_servers:
        server.full = True
    await asyncio.sleep(0.3)
    cluster.moving_service = new
    generation = await cluster.write_configuration()
    in_force = await _wait_in_force(soak, generation)
    now = asyncio.get_running_loop().time
    limit = now() + ROLLBACK_SLACK_SECONDS
    for server in old_servers:
        server.full = False
    await opening
    target = cluster.moving_address
    for server in old_servers:
        late = server.last_opened.get(target, 0.0) - limit
        if in_force and late > 0:
            soak.violations.append(
                f"{server.name} of the service that the route had left took "
                f"a flow {late:.2f} s after the limit"
            )
    soak.route_moves = False


async def _open_flows(soak) -> None:
    """Open flows at the route that moves; copies follow unanswered ones."""
    cluster = soak.cluster
    tasks = set()
    end = asyncio.get_running_loop().time() + APPLY_SECONDS + MOVE_SECONDS
    while asyncio.get_running_loop().time() < end:
        opening = cluster.caller.open_flow(cluster.moving_address)
        tasks.add(asyncio.create_task(opening))
        await asyncio.sleep(OPENING_INTERVAL_SECONDS)
    await asyncio.gather(*tasks)


async def _wait_in_force(soak, generation: int) -> bool:
    """Wait until all hosts have adopted a version; return whether they have.

    Other faults may delay it; the configuration is checked after them.
    """
    end = asyncio.get_running_loop().time() + APPLY_SECONDS
    while asyncio.get_running_loop().time() < end:
        if all(
            soak.generation_of(host) >= generation
            for host in soak.cluster.hosts
        ):
            return True
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return False
