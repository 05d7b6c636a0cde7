"""Faults of the soak in which the store is restored from copies.

Other runs are without them, so that their seeds keep their meaning.
"""

import asyncio

from vanilladrum.standins import object_store

# Most versions of the configuration that are written before a restore, and the
# time between two of them.
MAX_VERSIONS = 40
VERSION_INTERVAL_SECONDS = 0.02
# Longest time between a restore of the store and what is written again.
MAX_REWRITE_SECONDS = 2.0
RESTORE_FAULTS = {}


def restore_fault(action):
    """Register a fault of runs with restores under its function's name."""
    RESTORE_FAULTS[action.__name__] = action
    return action


@restore_fault
async def restore_store(soak) -> None:
    """Restore the store from a copy, and write again what it has lost.

    Other restores and outages may overlap.
    """
    store = soak.cluster.store
    earlier = store.make_copy()
    await _write_configurations(soak)
    await asyncio.sleep(soak.random_duration())
    store.injected_fault = object_store.InjectedFault.RESET
    await store.restore(earlier)
    await asyncio.sleep(soak.random_duration() / 2)
    store.injected_fault = object_store.InjectedFault.NONE
    await asyncio.sleep(soak.rng.uniform(0.0, MAX_REWRITE_SECONDS))
    await soak.cluster.write_again()


async def _write_configurations(soak) -> None:
    """Write several versions of the configuration in a row."""
    for _ in range(soak.rng.randrange(1, MAX_VERSIONS)):
        await soak.cluster.write_configuration()
        await asyncio.sleep(VERSION_INTERVAL_SECONDS)
