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
        self._by_address: dict[
            addresses.Address, dict[str, backends.Backend]
        ] = {}

    def add(self, server: backends.Backend) -> None:
        """Add a server, or replace what is known about it."""
        self._by_address.setdefault(server.address, {})[server.name] = server

    def discard(self, server: backends.Backend) -> None:
        """Remove a server; one that is not present is ignored."""
        at_address = self._by_address.get(server.address)
        if at_address is None:
            return
        at_address.pop(server.name, None)
        if not at_address:
            del self._by_address[server.address]

    def others(self, server: backends.Backend) -> list[backends.Backend]:
        """Return the other servers at a server's address."""
        at_address = self._by_address.get(server.address, {})
        return [each for each in at_address.values() if each is not server]

    def is_stopped(self, server: backends.Backend) -> bool:
        """Return whether another server has got the address of a server.

        That is, whether one of a named service has started later. Servers of
        other services get no flows, so nothing is decided about them.
        """
        return any(
            each.started > server.started and self.are_named(server, each)
            for each in self.others(server)
        )

    def are_named(self, *servers: backends.Backend) -> bool:
        """Return whether the configuration names the servers' services."""
        return all(each.service in self.services for each in servers)

    def shared(self) -> Iterator[backends.Backend]:
        """Yield the servers at addresses that several servers have."""
        for at_address in list(self._by_address.values()):
            if len(at_address) > 1:
                yield from list(at_address.values())
