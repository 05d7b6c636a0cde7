"""Another writer's entries at the servers' addresses, and a final fault."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins2"))

import deployment  # noqa: E402

RECOVERY_SECONDS = 12.0
BEFORE_SECONDS = 4.0
AFTER_SECONDS = 10.0
RATE = 30


def agent_entry(server):
    """Return the entry of a monitoring agent that names what it watches."""
    return server.entry() | {
        "service": "monitoring-agent",
        "sequence": 1,
        "born": int(time.time() * 1000),
    }


async def case(world):
    """Return whether the service recovers after all processes were killed."""
    await world.start()
    target = world.target("bookings")
    total = BEFORE_SECONDS + 2 + RECOVERY_SECONDS + AFTER_SECONDS
    load = asyncio.create_task(
        world.clients.load("r", target, "bookings", RATE, total)
    )
    await asyncio.sleep(BEFORE_SECONDS / 2)
    if deployment.TROUBLE:
        for server in list(world.servers):
            name = f"monitoring-agent-{server.name[2:]}"
            await world.store.put("servers", name, agent_entry(server))
    await asyncio.sleep(BEFORE_SECONDS / 2)
    fault_at = world.log.add("all processes are killed")
    for machine in world.machines:
        machine.end()
    await asyncio.sleep(0.5)
    for machine in world.machines:
        machine.start()
    back_at = world.log.add("all processes are started")
    await load
    before = collections.Counter()
    after = collections.Counter()
    for sent, outcome in world.clients.requests.values():
        if sent < fault_at - world.clients.deadline:
            before[outcome] += 1
        if sent > back_at + RECOVERY_SECONDS:
            after[outcome] += 1
    world.log.add("before the final fault", **before)
    world.log.add("later than recovery-s", **after)
    print(f"before {dict(before)}, later than recovery-s {dict(after)}")
    return not (
        4 * before["200"] >= before.total() > 0
        and 4 * after["200"] < after.total()
    )


if __name__ == "__main__":
    deployment.main(case, pathlib.Path(__file__).parent)
