"""Faults of the soak's ``foreign`` runs: entries of other programs.

They are large, or have the addresses of servers. Hosts start and stop
meanwhile, so that the entries arrive before and after configurations.
"""

import asyncio
import pathlib

from vanilladrum.standins import large_entries

# Sizes of large entries, in bytes.
ENTRY_BYTES = (60_000, 1_000_000)
# Interval at which other programs write, in seconds.
HEARTBEAT_SECONDS = 0.6
# Memory of the smallest machines, in bytes.
MACHINE_BYTES = 100_000_000
# Wall-clock milliseconds after the start of any server.
LATER = 2**42
FOREIGN_FAULTS = {}


def foreign_fault(action):
    """Register a fault of foreign runs under the name of its function."""
    FOREIGN_FAULTS[action.__name__] = action
    return action


@foreign_fault
async def large_entry(soak) -> None:
    """Write a large entry again and again; no host may need much memory."""
    store = soak.cluster.store
    make = large_entries.FORMS[soak.rng.choice(sorted(large_entries.FORMS))]
    name = f"other-{soak.rng.randrange(10**6):06x}"
    for _ in range(soak.rng.randrange(1, 5)):
        size = soak.rng.randrange(*ENTRY_BYTES)
        await store.put_raw("servers", name, make(size))
        await asyncio.sleep(HEARTBEAT_SECONDS)
    _check_memory(soak)
    if name in store.kinds["servers"]:
        await store.delete("servers", name)


@foreign_fault
async def entry_at_address(soak) -> None:
    """Write entries of an unknown service at the addresses of servers."""
    store = soak.cluster.store
    names = []
    for server in list(soak.cluster.servers):
        entry = server.store_entry() | {"service": "other", "born": LATER}
        names.append(f"other-{server.name[2:]}")
        await store.put("servers", names[-1], entry)
    await asyncio.sleep(soak.random_duration() * 3)
    for name in names:
        if name in store.kinds["servers"]:
            await store.delete("servers", name)


def _check_memory(soak) -> None:
    for host in soak.cluster.hosts:
        status = pathlib.Path(f"/proc/{host.process.pid}/status")
        try:
            lines = status.read_text().splitlines()
        except (FileNotFoundError, ProcessLookupError):
            # The process has ended.
            continue
        for line in lines:
            if not line.startswith("VmHWM:"):
                continue
            peak = int(line.split()[1]) * 1024
            if peak > MACHINE_BYTES:
                soak.violations.append(
                    f"host {host.number} has used {peak} bytes of memory"
                )
