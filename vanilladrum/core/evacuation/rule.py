"""Which servers a host does not use because of evacuations."""

from vanilladrum.core import backend as backends
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core import neighbours as neighbour_tables

# Time in seconds in which a host that watches the store notices that it is cut
# off from it: the timeout of a watch. A digest that was sent earlier may still
# say that its sender watches the store.
LOSS_NOTICE_SECONDS = 2.5
# Time in seconds for which the store must not have answered: a second ping has
# failed by then, so that one slow answer does not suspend an evacuation.
MIN_LOST_SECONDS = 0.5


class EvacuationRule:
    """Applies the evacuations in force to the server directory.

    While this host is isolated and its own data centre is evacuated, the
    servers of its own data centre are used, because it reaches no other ones.

    :param data_centre: name of this host's data centre.
    :param in_force: since when evacuations are in force at this host, by data
        centre, monotonic seconds.
    :param uses_own_servers: whether the servers of the own data centre are
        used although it is evacuated.
    """

    def __init__(
        self,
        data_centre: str,
        directory: backends.ServerDirectory,
        neighbours: neighbour_tables.Neighbours,
        failure_detector: failure_detectors.FailureDetector,
    ) -> None:
        self.data_centre = data_centre
        self.directory = directory
        self.neighbours = neighbours
        self.failure_detector = failure_detector
        self.in_force: dict[str, float] = {}
        self.uses_own_servers = False
        # Since when the store does not answer this host, monotonic seconds;
        # infinite while it does.
        self.store_lost_at = float("inf")

    def set_names(self, names: frozenset[str], now: float) -> list[str]:
        """Replace the evacuations in force.

        :param now: monotonic seconds.
        :returns: the data centres that are no longer evacuated.
        """
        returned = sorted(self.in_force.keys() - names)
        for name in returned:
            del self.in_force[name]
        for name in names:
            self.in_force.setdefault(name, now)
        if self.data_centre not in self.in_force:
            self.uses_own_servers = False
        self._update_directory()
        return returned

    def update(self, store_unreachable: bool, now: float) -> bool:
        """Decide whether the servers of the own data centre are used.

        :param store_unreachable: whether the store does not answer this host.
        :param now: monotonic seconds.
        :returns: whether the decision differs from the one before.
        """
        if not store_unreachable:
            self.store_lost_at = float("inf")
        elif self.store_lost_at > now:
            self.store_lost_at = now
        isolated = (
            now - self.store_lost_at >= MIN_LOST_SECONDS
            and self.may_be_isolated()
            and not self._local_host_watches(now)
        )
        if isolated == self.uses_own_servers:
            return False
        self.uses_own_servers = isolated
        self._update_directory()
        return True

    def may_be_isolated(self) -> bool:
        """Return whether the store's answer decides about the isolation.

        That is, the own data centre is evacuated and no other one is reached.
        """
        return (
            self.data_centre in self.in_force
            and self._reaches_no_other_data_centre()
        )

    def _update_directory(self) -> None:
        names = set(self.in_force)
        if self.uses_own_servers:
            names.discard(self.data_centre)
        self.directory.set_evacuated(frozenset(names))

    def _reaches_no_other_data_centre(self) -> bool:
        """Return whether all other data centres with servers are unreachable.

        Without another one nothing shows that this host is isolated.
        """
        others = self._data_centres() - {self.data_centre}
        return bool(others) and all(
            self._is_unreachable(name) for name in others
        )

    def _data_centres(self) -> set[str]:
        """Return the data centres with servers that may get new flows.

        Entries of services that no configuration names say nothing about a
        data centre.
        """
        directory = self.directory
        found: set[str] = set()
        for service in directory.claims.services:
            for pools in (directory.pools, directory.evacuated_pools):
                if service in pools:
                    found.update(pools[service].by_data_centre)
        return found

    def _is_unreachable(self, data_centre: str) -> bool:
        """Return whether a data centre is unreachable.

        One that is evacuated gets no first packets that could stay
        unanswered, so the silence of its entry hosts has to suffice.
        """
        detector = self.failure_detector
        if detector.is_unreachable(data_centre):
            return True
        return (
            data_centre in self.in_force
            and data_centre in detector.silent_data_centres
        )

    def _local_host_watches(self, now: float) -> bool:
        """Return whether another host of the data centre watches the store.

        Digests that were sent before their sender could notice the loss of
        the store do not count.
        """
        from_then_on = self.store_lost_at + LOSS_NOTICE_SECONDS
        for host in self.neighbours.valid_local_hosts(now):
            if self.neighbours.hosts[host].last_digest_at < from_then_on:
                continue
            if self.neighbours.digest(host).watching:
                return True
        return False
