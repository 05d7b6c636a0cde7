"""Large entries of another writer on machines with little memory."""

import asyncio
import collections
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins2"))

import deployment  # noqa: E402

# The smallest machines of the sheet have 100 MB (limits.memory-mb).
MEMORY_MB = 100
# The settings: platform.value-bytes.
VALUE_BYTES = 1_048_576
LARGE_BYTES = 1_000_000
SMALL_BYTES = 1_000
INVENTORIES = 5
# The rule: three ends in the day, on a tenth of the machines, two at least.
ENDS = 3
MACHINES = 2
SECONDS = 40.0
RATE = 30
RESTART_SECONDS = 0.5


def inventory(number):
    """Return an entry that lacks the fields of a server; it is valid JSON."""
    size = LARGE_BYTES if deployment.TROUBLE else SMALL_BYTES
    head = b'{"service":"inventory-%d","rows":[' % number
    entry = head + b"[]," * ((size - len(head)) // 3) + b"[]]}"
    assert len(entry) <= VALUE_BYTES
    return entry


def resident_mb(machine):
    """Return the memory of a machine's process in megabytes."""
    try:
        with open(f"/proc/{machine.process.pid}/statm") as file:
            pages = int(file.read().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def enforce_limit(world, machine, ends):
    """Kill the process over its memory limit and start it again."""
    while True:
        await asyncio.sleep(0.05)
        used = resident_mb(machine)
        code = machine.process.poll()
        if code is None and used <= MEMORY_MB:
            continue
        if code is None:
            machine.end()
            machine.process.wait()
        ends[machine.name] += 1
        world.log.add(
            "process ends", machine=machine.name, megabytes=round(used),
            times=ends[machine.name],
        )  # fmt: skip
        await asyncio.sleep(RESTART_SECONDS)
        machine.start()


async def case(world):
    """Return whether the processes stay below the limit of their machines."""
    await world.start()
    ends = collections.Counter()
    limits = [
        asyncio.create_task(enforce_limit(world, each, ends))
        for each in world.machines
    ]
    target = world.target("bookings")
    load = asyncio.create_task(
        world.clients.load("r", target, "bookings", RATE, SECONDS)
    )
    await asyncio.sleep(4.0)
    for number in range(INVENTORIES):
        name = f"inventory-{number:04x}"
        await world.store.put("servers", name, inventory(number))
        await asyncio.sleep(deployment.HEARTBEAT_SECONDS)
    await load
    for each in limits:
        each.cancel()
    outcomes = collections.Counter(
        outcome for _, outcome in world.clients.requests.values()
    )
    world.log.add("ends by machine", **ends)
    world.log.add("outcomes", **outcomes)
    print(f"ends {dict(ends)}, outcomes {dict(outcomes)}")
    return sum(number >= ENDS for number in ends.values()) < MACHINES


if __name__ == "__main__":
    deployment.main(
        case,
        pathlib.Path(__file__).parent,
        bounds=f"limits.memory-mb={MEMORY_MB}\n",
    )
