"""One large entry of another writer with a long name, and a final fault."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins2"))

import deployment  # noqa: E402

RECOVERY_SECONDS = 12.0
BEFORE_SECONDS = 5.0
AFTER_SECONDS = 12.0
RATE = 30
# The settings: platform.value-bytes.
VALUE_BYTES = 1_048_576
# Length of the entry; a page of the store has 1 MB at most.
ENTRY_BYTES = 1_000_000
NAME_LENGTH = 300 if deployment.TROUBLE else 200


def inventory():
    """Return an entry that lacks the fields of a server; it is valid JSON."""
    head = b'{"service":"inventory","rows":"'
    return head + b"x" * (ENTRY_BYTES - len(head) - 2) + b'"}'


async def case(world):
    """Return whether the service recovers after all processes were killed."""
    await world.start()
    target = world.target("bookings")
    total = BEFORE_SECONDS + 1 + RECOVERY_SECONDS + AFTER_SECONDS
    load = asyncio.create_task(
        world.clients.load("r", target, "bookings", RATE, total)
    )
    await asyncio.sleep(BEFORE_SECONDS / 2)
    assert ENTRY_BYTES <= VALUE_BYTES
    name = "archive-of-".ljust(NAME_LENGTH, "7")
    await world.store.put("servers", name, inventory())
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
