"""Backend servers of flows and the tags that identify them in packets."""

import zlib

from vanilladrum.core import address as addresses
from vanilladrum.core import serverstate


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
        self.tag = make_tag(name)


def make_tag(name: str) -> int:
    """Return the tag of a server, the same on every entry host.

    >>> make_tag("i-7f3a91c2") == make_tag("i-7f3a91c2") != 0
    True
    """
    # Ids are random already, so a checksum distributes them as well as a
    # cryptographic hash and needs no further library to be loaded.
    return zlib.crc32(name.encode()) or 1


class ServerDirectory:
    """Servers in use, and departed servers that may have open flows.

    :param departed_seconds: seconds for which the open flows of a departed
        server are still forwarded.
    :param servers: servers in use, by name.
    :param by_tag: servers in use and departed ones, by tag.
    :param by_service: servers that accept new flows, by service.
    """

    def __init__(self, departed_seconds: float = 60.0) -> None:
        self.departed_seconds = departed_seconds
        self.servers: dict[str, Backend] = {}
        # Servers whose entries were removed, each with the time until which
        # packets of its open flows may still arrive.
        self.departed: dict[str, tuple[Backend, float]] = {}
        # Servers whose entries are missing, perhaps temporarily, each with
        # the time until which it stays in use.
        self.pending_removal: dict[str, float] = {}
        self.by_tag: dict[int, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}

    def update(self, server: Backend) -> None:
        """Add a server, or replace what is stored about it.

        Cancels the removal of this server. Ends the removal delay of other
        servers at its address.
        """
        previous = self.servers.get(server.name)
        self._cancel_removal(server)
        if previous is not None and vars(previous) == vars(server):
            return
        self.servers[server.name] = server
        self._rebuild_indexes()

    def _cancel_removal(self, server: Backend) -> None:
        self.departed.pop(server.name, None)
        self.pending_removal.pop(server.name, None)
        self._expire_same_address(server)

    def schedule_removal(self, name: str, until: float) -> None:
        """Schedule the removal of a server whose entry is missing.

        :param until: time until which it stays in use, monotonic seconds; an
            earlier schedule is not extended.
        """
        if name in self.servers:
            self.pending_removal.setdefault(name, until)

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
            self.remove(name, now)
        return gone

    def remove(self, name: str, now: float) -> None:
        """Stop sending new flows to a server.

        Its open flows are forwarded for ``departed_seconds`` more.

        :param now: monotonic seconds.
        """
        self.pending_removal.pop(name, None)
        server = self.servers.pop(name, None)
        if server is None:
            return
        self.departed[name] = (server, now + self.departed_seconds)
        self._rebuild_indexes()

    def expire(self, now: float) -> list[Backend]:
        """Remove the servers that departed ``departed_seconds`` ago.

        :param now: monotonic seconds.
        :returns: the removed servers.
        """
        old = [
            server for server, until in self.departed.values() if until <= now
        ]
        for server in old:
            del self.departed[server.name]
        if old:
            self._rebuild_indexes()
        return old

    def find(self, tag: int) -> Backend | None:
        """Return the server with a tag, in use or departed, or None."""
        return self.by_tag.get(tag)

    def active(self, service: str) -> list[Backend]:
        """Return the servers of a service that accept new flows."""
        return self.by_service.get(service, [])

    def _expire_same_address(self, server: Backend) -> None:
        """End the removal delay of servers that had a server's address.

        They must have stopped, because another server uses the address.
        """
        for name in list(self.pending_removal):
            if self.servers[name].address == server.address:
                self.pending_removal[name] = float("-inf")

    def _rebuild_indexes(self) -> None:
        self.by_tag = {}
        self.by_service = {}
        known_servers = [server for server, _ in self.departed.values()]
        known_servers.extend(self.servers.values())
        for server in sorted(known_servers, key=lambda each: each.name):
            # Two servers may have the same tag. Every host then uses the
            # first one by name; the other gets no flows, because their
            # packets could not be distinguished.
            owner = self.by_tag.setdefault(server.tag, server)
            if owner is not server or server.name in self.departed:
                continue
            if server.state == serverstate.ServerState.ACTIVE:
                self.by_service.setdefault(server.service, []).append(server)
