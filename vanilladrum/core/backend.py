"""Backend servers of flows and the tags that identify them in packets."""

import bisect
import collections
from collections.abc import Iterable
import random
import zlib

from vanilladrum.core import address as addresses
from vanilladrum.core import address_claims
from vanilladrum.core import indexed_set
from vanilladrum.core import serverstate

# Limits of the servers that are compared for one new flow: those of the own
# data centre and all together. They bound the cost of a choice, whatever the
# size of the service.
MAX_LOCAL_CANDIDATES = 12
MAX_CANDIDATES = 16


class Backend:
    """A backend server as described by its own entry in the store.

    :param name: id of the server; usually changes when it is restarted.
    :param wire_id: 8 bytes that precede each packet sent to the server.
    :param started: start time, wall-clock milliseconds; 0 if unknown.
    :param service: name of the service that it belongs to.
    :param address: endpoint at which it receives packets.
    :param data_centre: name of its data centre.
    :param slots: number of requests that it runs concurrently.
    :param state: whether it accepts new flows.
    :param warm_up: seconds of reduced speed that were left when the entry
        was written.
    :param sequence: increases with each entry that the server writes after
        its start.
    :param tag: identifies the server in packets; never 0.
    """

    def __init__(
        self,
        name: str,
        wire_id: bytes,
        started: int,
        service: str,
        address: addresses.Address,
        data_centre: str,
        slots: int,
        state: serverstate.ServerState,
        warm_up: float = 0.0,
        sequence: int = 0,
    ) -> None:
        self.name = name
        self.wire_id = wire_id
        self.started = started
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.state = state
        self.warm_up = warm_up
        self.sequence = sequence
        self.tag = make_tag(name)


def make_tag(name: str) -> int:
    """Return the tag of a server, the same on every entry host.

    >>> make_tag("i-7f3a91c2") == make_tag("i-7f3a91c2") != 0
    True
    """
    # Ids are random already, so a checksum distributes them as well as a
    # cryptographic hash and needs no further library to be loaded.
    return zlib.crc32(name.encode()) or 1


class ServerPool:
    """Servers of one service that accept new flows.

    :param servers: all of them.
    :param by_data_centre: the same servers, by data centre.
    """

    def __init__(self) -> None:
        self.servers: indexed_set.IndexedSet[Backend] = (
            indexed_set.IndexedSet()
        )
        self.by_data_centre: dict[str, indexed_set.IndexedSet[Backend]] = {}

    def __contains__(self, server: object) -> bool:
        return server in self.servers

    def add(self, server: Backend) -> None:
        """Add a server."""
        self.servers.add(server)
        centre = server.data_centre
        if centre not in self.by_data_centre:
            self.by_data_centre[centre] = indexed_set.IndexedSet()
        self.by_data_centre[centre].add(server)

    def discard(self, server: Backend) -> None:
        """Remove a server; one that is not present is ignored."""
        if server not in self.servers:
            return
        self.servers.discard(server)
        local = self.by_data_centre[server.data_centre]
        local.discard(server)
        if not local:
            del self.by_data_centre[server.data_centre]

    def candidates(
        self, data_centre: str, rng: random.Random
    ) -> list[Backend]:
        """Return servers to compare for a new flow.

        These are all servers of a small service. Of a large one they are a
        random sample, most of it from the given data centre.

        :returns: at most ``MAX_CANDIDATES`` different servers.
        """
        if len(self.servers) <= MAX_CANDIDATES:
            return list(self.servers)
        local = self.by_data_centre.get(data_centre)
        chosen = local.sample(MAX_LOCAL_CANDIDATES, rng) if local else []
        others = self.servers.sample(MAX_CANDIDATES - len(chosen), rng)
        return list(dict.fromkeys(chosen + others))


# Pool of a service without servers.
_EMPTY_POOL = ServerPool()


class ServerDirectory:
    """Servers in use, and departed servers that may have open flows.

    Changes cost the same however many servers there are.

    :param departed_seconds: seconds for which the open flows of a departed
        server are still forwarded.
    :param servers: servers in use, by name.
    :param superseded: servers that are not used because another one has got
        their address, by name. Their entries are still in the store.
    :param pools: servers that accept new flows, by service.
    :param claims: all servers whose entries are in the store, by address.
    :param evacuated: names of the evacuated data centres. Their servers are
        in no pool.
    :param evacuated_pools: servers that would accept new flows but are in
        evacuated data centres, by service.
    :param data_centre_sizes: number of servers in use, by data centre.
    """

    def __init__(self, departed_seconds: float = 60.0) -> None:
        self.departed_seconds = departed_seconds
        self.servers: dict[str, Backend] = {}
        self.superseded: dict[str, Backend] = {}
        # Servers whose entries were removed, each with the time until which
        # packets of its open flows may still arrive, oldest first.
        self.departed: dict[str, tuple[Backend, float]] = {}
        # Servers whose entries are missing, perhaps temporarily, each with
        # the time until which it stays in use.
        self.pending_removal: dict[str, float] = {}
        # Those of them whose entries are missing. The others have stopped
        # according to the entry of another server.
        self._missing: set[str] = set()
        self.pools: dict[str, ServerPool] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.evacuated_pools: dict[str, ServerPool] = {}
        self.data_centre_sizes: collections.Counter[str] = (
            collections.Counter()
        )
        # Servers in use and departed ones by tag, the one that started first
        # in front. Two servers may have the same tag. Every host then uses
        # the older one, which may have open flows; the other gets no flows,
        # because their packets could not be distinguished.
        self._by_tag: dict[int, list[Backend]] = {}
        self.claims = address_claims.AddressClaims()

    def update(self, server: Backend) -> None:
        """Add a server, or replace what is stored about it.

        Cancels the removal of this server, unless its address belongs to
        another one. Schedules that of an older server at its address.
        """
        name = server.name
        previous = self.servers.get(name)
        self.cancel_removal(name)
        if previous is not None and vars(previous) == vars(server):
            self._settle(previous)
            return
        if previous is None:
            self.forget_superseded(name)
            if self.claims.is_stopped(server):
                self.superseded[name] = server
                self.claims.add(server)
                return
        departed = self.departed.pop(name, None)
        if departed is not None:
            self._remove_from_indexes(departed[0])
        if previous is not None:
            self._remove_from_indexes(previous)
            self._count(previous, -1)
            self.claims.discard(previous)
        self.servers[name] = server
        self.claims.add(server)
        self._count(server, 1)
        self._add_to_indexes(server)
        self._settle(server)
        if previous is not None:
            self._restore_at(previous)

    def set_services(self, names: frozenset[str]) -> None:
        """Replace the services that the configuration names.

        What the entries of several servers say about one address is judged
        again. The cost is that of all servers, unless nothing changes.
        """
        if names == self.claims.services:
            return
        self.claims.set_services(names)
        for name in self.pending_removal.keys() - self._missing:
            del self.pending_removal[name]
        for server in list(self.superseded.values()):
            self._restore(server)
        for server in self.claims.shared():
            self._settle(server)

    def schedule_removal(self, name: str, until: float) -> None:
        """Schedule the removal of a server whose entry is missing.

        :param until: time until which it stays in use, monotonic seconds; an
            earlier schedule is not extended.
        """
        if name in self.servers:
            self._missing.add(name)
            self.pending_removal.setdefault(name, until)

    def forget_superseded(self, name: str) -> None:
        """Forget a server whose entry is gone, if it was not used anyway."""
        server = self.superseded.pop(name, None)
        if server is not None:
            self.claims.discard(server)

    def cancel_removal(self, name: str) -> None:
        """Cancel the removal of a server that is listed again."""
        self._missing.discard(name)
        self.pending_removal.pop(name, None)

    def remove_missing(self, now: float) -> list[str]:
        """Remove the servers whose entries did not reappear in time.

        :returns: the names of these servers.
        """
        gone = [
            name
            for name, until in self.pending_removal.items()
            if until <= now
        ]
        for name in gone:
            server = self.servers[name]
            is_listed = name not in self._missing
            self.remove(name, now)
            if is_listed:
                self.superseded[name] = server
                self.claims.add(server)
        return gone

    def remove(self, name: str, now: float) -> None:
        """Stop sending new flows to a server.

        Its open flows are forwarded for ``departed_seconds`` more.

        :param now: monotonic seconds.
        """
        self.cancel_removal(name)
        server = self.servers.pop(name, None)
        if server is None:
            return
        self.claims.discard(server)
        self.departed[name] = (server, now + self.departed_seconds)
        self._count(server, -1)
        self._update_pool(server.tag)
        self._restore_at(server)

    def expire(self, now: float) -> list[Backend]:
        """Remove the servers that departed ``departed_seconds`` ago.

        :param now: monotonic seconds.
        :returns: the removed servers.
        """
        old = []
        for server, until in self.departed.values():
            if until > now:
                break
            old.append(server)
        for server in old:
            del self.departed[server.name]
            self._remove_from_indexes(server)
        return old

    def find(self, tag: int) -> Backend | None:
        """Return the server with a tag, in use or departed, or None."""
        servers = self._by_tag.get(tag)
        return servers[0] if servers else None

    def pool(self, service: str) -> ServerPool:
        """Return the servers of a service that accept new flows."""
        return self.pools.get(service, _EMPTY_POOL)

    def set_evacuated(self, names: frozenset[str]) -> None:
        """Replace the evacuated data centres.

        Their servers get no new flows. Entries that arrive later are treated
        in the same way. The cost is that of all servers, unless nothing
        changes.
        """
        changed = self.evacuated ^ names
        self.evacuated = names
        if not changed & self.data_centre_sizes.keys():
            return
        for server in self.servers.values():
            if server.data_centre in changed:
                self._update_pool(server.tag)

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has no servers but evacuated ones."""
        evacuated = self.evacuated_pools.get(service, _EMPTY_POOL)
        return bool(evacuated.servers) and not self.pool(service).servers

    def data_centres(self) -> Iterable[str]:
        """Return the data centres that have servers in use."""
        return self.data_centre_sizes.keys()

    def _count(self, server: Backend, change: int) -> None:
        centre = server.data_centre
        self.data_centre_sizes[centre] += change
        if not self.data_centre_sizes[centre]:
            del self.data_centre_sizes[centre]

    def _settle(self, server: Backend) -> None:
        """Schedule the removal of the servers that have lost their address.

        A server whose entry is missing has, as soon as another one is there.
        """
        for each in (server, *self.claims.others(server)):
            if each.name not in self.servers:
                continue
            is_replaced = (
                each is not server
                and each.name in self._missing
                and server.name not in self._missing
            )
            if is_replaced or self.claims.is_stopped(each):
                self.pending_removal[each.name] = float("-inf")

    def _restore_at(self, server: Backend) -> None:
        """Use the servers again that a server at their address superseded."""
        for each in self.claims.others(server):
            if each.name in self.superseded:
                self._restore(each)

    def _restore(self, server: Backend) -> None:
        if not self.claims.is_stopped(server):
            self.update(server)

    def _add_to_indexes(self, server: Backend) -> None:
        same_tag = self._by_tag.setdefault(server.tag, [])
        for each in same_tag:
            self._discard_from_pools(each)
        bisect.insort(
            same_tag, server, key=lambda each: (each.started, each.name)
        )
        self._update_pool(server.tag)

    def _remove_from_indexes(self, server: Backend) -> None:
        same_tag = self._by_tag[server.tag]
        same_tag.remove(server)
        self._discard_from_pools(server)
        if same_tag:
            self._update_pool(server.tag)
        else:
            del self._by_tag[server.tag]

    def _update_pool(self, tag: int) -> None:
        """Add the server that owns a tag to its pool, or remove it."""
        server = self._by_tag[tag][0]
        in_use = self.servers.get(server.name) is server
        if not in_use or server.state != serverstate.ServerState.ACTIVE:
            self._discard_from_pools(server)
            return
        added, other = self.pools, self.evacuated_pools
        if server.data_centre in self.evacuated:
            added, other = other, added
        other.get(server.service, _EMPTY_POOL).discard(server)
        if server.service not in added:
            added[server.service] = ServerPool()
        added[server.service].add(server)

    def _discard_from_pools(self, server: Backend) -> None:
        for pools in (self.pools, self.evacuated_pools):
            pools.get(server.service, _EMPTY_POOL).discard(server)
