"""Servers at each address, and which of them have stopped.

An address is given to another server after its server has ended, so the entry
of the server that started last shows that the others at its address have
stopped. It does so only while the configuration names its service: other
programs may write entries with the addresses of servers. The configuration may
arrive later than the entries, and change, so nothing here is decided for good.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanilladrum.core import address as addresses
    from vanilladrum.core import backend as backends


class AddressClaims:
    """Servers whose entries are in the store, by address.

    :param services: names of the services that the configuration names.
    """

    def __init__(self) -> None:
        self.services: frozenset[str] = frozenset()
        # Servers of the named services, and the others by name only: their
        # addresses mean nothing, and any number of them may have the same.
        self._by_address: dict[
            addresses.Address, dict[str, backends.Backend]
        ] = {}
        self._unnamed: dict[str, backends.Backend] = {}

    def set_services(self, names: frozenset[str]) -> None:
        """Replace the services that the configuration names."""
        servers = list(self._unnamed.values())
        for at_address in self._by_address.values():
            servers.extend(at_address.values())
        self.services = names
        self._by_address.clear()
        self._unnamed.clear()
        for server in servers:
            self.add(server)

    def add(self, server: backends.Backend) -> None:
        """Add a server."""
        if server.service not in self.services:
            self._unnamed[server.name] = server
            return
        self._by_address.setdefault(server.address, {})[server.name] = server

    def discard(self, server: backends.Backend) -> None:
        """Remove a server; one that is not present is ignored."""
        self._unnamed.pop(server.name, None)
        at_address = self._by_address.get(server.address)
        if at_address is None:
            return
        at_address.pop(server.name, None)
        if not at_address:
            del self._by_address[server.address]

    def others(self, server: backends.Backend) -> list[backends.Backend]:
        """Return the other servers of named services at a server's address.

        There are none for a server of another service.
        """
        if server.service not in self.services:
            return []
        at_address = self._by_address.get(server.address, {})
        return [each for each in at_address.values() if each is not server]

    def is_stopped(self, server: backends.Backend) -> bool:
        """Return whether another server has got the address of a server.

        That is, whether one of a named service has started later. Servers of
        other services get no flows, so nothing is decided about them.
        """
        return any(
            each.started > server.started for each in self.others(server)
        )

    def shared(self) -> Iterator[backends.Backend]:
        """Yield the servers at addresses that several servers have."""
        for at_address in self._by_address.values():
            if len(at_address) > 1:
                yield from at_address.values()
