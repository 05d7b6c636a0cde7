"""Faults of the soak with a large configuration and slow links to the store.

Other runs are without them, so that their seeds keep their meaning.
"""

import asyncio

from examples import flow_cluster

# The configuration then takes 0.7 s at 5 Mbit/s, and is too large to relay.
IDLE_ROUTES = 2000
LINK_BYTES_PER_SECOND = 5_000_000 / 8
# Most versions of a series, and the longest time between two of them.
MAX_VERSIONS = 12
MAX_INTERVAL_SECONDS = 0.6
LARGE_FAULTS = {}


def large_fault(action):
    """Register a fault of runs with a large configuration under its name."""
    LARGE_FAULTS[action.__name__] = action
    return action


def enlarge(cluster: flow_cluster.FlowCluster) -> None:
    """Give a cluster a large configuration and its hosts slow links.

    The next version that is written is large.
    """
    cluster.idle_routes = IDLE_ROUTES
    cluster.store.bytes_per_second = LINK_BYTES_PER_SECOND


@large_fault
async def configure_in_series(soak) -> None:
    """Write versions faster than a slow link transfers them."""
    for _ in range(soak.rng.randrange(2, MAX_VERSIONS)):
        await soak.cluster.write_configuration()
        await asyncio.sleep(soak.rng.uniform(0.0, MAX_INTERVAL_SECONDS))


@large_fault
async def compact_history(soak) -> None:
    """Discard the history of the store, so that hosts list again."""
    soak.cluster.store.discard_history()
