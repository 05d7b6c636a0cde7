"""Evacuations in the soak's ``evacuations`` runs, among its other faults."""

import asyncio
import functools

from examples import flow_cluster
from vanilladrum.standins import object_store

SETTINGS = "bounds.evacuate-ms=5000\n"
KIND = "evacuations"
# Time from the confirmation of an evacuation, or of its cancellation, until it
# has to be in force, in seconds.
LIMIT_SECONDS = 5.0
# A host is connected this long after the end of the last fault, in seconds.
STABLE_SECONDS = 5.0
# Time for which first packets are watched after that, in seconds.
CHECK_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.02
# Faults that neither affect the store nor an entry host.
HARMLESS = ("configure", "dark_server", "hup", "leaving_server", "loss")


class Evacuations:
    """Evacuates data centres, and knows which faults hide that from hosts.

    :param hiding: number of faults in progress that hide an evacuation.
    :param hidden_until: when the last of them ended, in seconds of the event
        loop.
    :param evacuating: whether a data centre is evacuated now.
    """

    def __init__(self) -> None:
        self.hiding = 0
        self.hidden_until = float("-inf")
        self.evacuating = False

    def add_to(self, faults: dict) -> dict:
        """Return faults that record when they act, and one more: evacuate."""
        recorded = {
            name: action
            if name in HARMLESS
            else functools.partial(self._record, action)
            for name, action in faults.items()
        }
        return {**recorded, "evacuate": self.evacuate}

    async def _record(self, action, soak) -> None:
        self.hiding += 1
        try:
            await action(soak)
        finally:
            self.hiding -= 1
            self.hidden_until = asyncio.get_running_loop().time()

    async def evacuate(self, soak) -> None:
        """Evacuate a data centre, cancel it, and check both."""
        if self.evacuating:
            return
        self.evacuating = True
        name = soak.rng.choice(flow_cluster.DATA_CENTRES)
        if await self._gets_first_packets(soak.cluster, name, True):
            soak.violations.append(
                f"a server of {name} got a first packet more than "
                f"{LIMIT_SECONDS} s after the evacuation was confirmed"
            )
        if not await self._gets_first_packets(soak.cluster, name, False):
            soak.violations.append(
                f"no server of {name} got a first packet more than "
                f"{LIMIT_SECONDS} s after the cancellation"
            )
        self.evacuating = False

    async def _gets_first_packets(
        self, cluster: flow_cluster.FlowCluster, name: str, evacuated: bool
    ) -> bool:
        """Evacuate a data centre or cancel that, and watch its servers.

        Waits until the limit is over and no fault has hidden the change from
        a host since it counts as connected. What a restore of the store has
        undone is written again.

        :returns: whether the servers get first packets after that.
        """
        now = asyncio.get_running_loop().time
        limit = now()
        since = None
        while since is None or now() < since + CHECK_SECONDS:
            if (name in cluster.store.kinds[KIND]) != evacuated:
                await self._write(cluster.store, name, evacuated)
                limit = now() + LIMIT_SECONDS
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            connected = self.hidden_until + STABLE_SECONDS
            if self.hiding or now() < max(limit, connected):
                since = None
            elif since is None:
                since = now()
        return any(
            each.last_first_packet > since
            for each in cluster.servers
            if each.data_centre == name
        )

    async def _write(
        self, store: object_store.ObjectStore, name: str, evacuated: bool
    ) -> None:
        if evacuated:
            await store.put(KIND, name, {})
        else:
            await store.delete(KIND, name)
