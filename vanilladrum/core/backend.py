"""Backend servers of flows and the tags that stand for them."""

import zlib

from vanilladrum.core import address as addresses
from vanilladrum.core import serverstate


class Backend:
    """A backend server as it describes itself.

    :param name: its id; another one after most of its starts.
    :param identity: 8 bytes that name it on the way to it.
    :param started: wall-clock milliseconds of its start, 0 if not told.
    :param slots: requests that it runs at once.
    :param warm_up: seconds for which it is still slow, when it said so.
    :param tag: stands for the server in packets; never 0.
    """

    def __init__(
        self,
        name: str,
        identity: bytes,
        started: int,
        service: str,
        address: addresses.Address,
        data_centre: str,
        slots: int,
        state: serverstate.ServerState,
        warm_up: float = 0.0,
    ) -> None:
        self.name = name
        self.identity = identity
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
    # Ids are random already: a checksum spreads them as well as a hash, and
    # is there without loading a library.
    return zlib.crc32(name.encode()) or 1


class Directory:
    """The servers that may be used, and those that only have open flows.

    :param keep: seconds for which departed servers stay known.
    """

    def __init__(self, keep: float = 60.0) -> None:
        self.keep = keep
        self.servers: dict[str, Backend] = {}
        # Servers whose entries have gone, each with the time until which
        # packets of its open flows may still come.
        self.departed: dict[str, tuple[Backend, float]] = {}
        # Servers whose entries have gone, perhaps only for a moment, each
        # with the time until which it is used on.
        self.lapsing: dict[str, float] = {}
        self.by_tag: dict[int, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}

    def put(self, server: Backend) -> None:
        """Take in a server's entry or its change."""
        known = self.servers.get(server.name)
        self._come_back(server)
        if known is not None and vars(known) == vars(server):
            return
        self.servers[server.name] = server
        self._index()

    def _come_back(self, server: Backend) -> None:
        self.departed.pop(server.name, None)
        self.lapsing.pop(server.name, None)
        self._end_lapse_at(server)

    def lapse(self, name: str, until: float) -> None:
        """Use a server on for a while although its entry has gone."""
        if name in self.servers:
            self.lapsing.setdefault(name, until)

    def settle(self, now: float) -> list[str]:
        """Stop using the servers whose entries did not come back.

        :returns: their names.
        """
        gone = [name for name, until in self.lapsing.items() if until <= now]
        for name in gone:
            self.remove(name, now)
        return gone

    def remove(self, name: str, now: float) -> None:
        """Stop using a server whose entry has gone."""
        self.lapsing.pop(name, None)
        server = self.servers.pop(name, None)
        if server is None:
            return
        self.departed[name] = (server, now + self.keep)
        self._index()

    def expire(self, now: float) -> list[Backend]:
        """Forget departed servers whose flows have ended.

        :returns: these servers.
        """
        old = [
            server for server, until in self.departed.values() if until <= now
        ]
        for server in old:
            del self.departed[server.name]
        if old:
            self._index()
        return old

    def find(self, tag: int) -> Backend | None:
        """Return the server that a tag stands for, or None."""
        return self.by_tag.get(tag)

    def active(self, service: str) -> list[Backend]:
        """Return the servers of a service that take new flows."""
        return self.by_service.get(service, [])

    def _end_lapse_at(self, server: Backend) -> None:
        """A server's address that another one has tells that it ended."""
        for name in list(self.lapsing):
            if self.servers[name].address == server.address:
                self.lapsing[name] = float("-inf")

    def _index(self) -> None:
        self.by_tag = {}
        self.by_service = {}
        every = [server for server, _ in self.departed.values()]
        every.extend(self.servers.values())
        for server in sorted(every, key=lambda each: each.name):
            # Of two servers with one tag the first by name has it on every
            # host; the other one takes no flows, as they could not be told
            # apart.
            owner = self.by_tag.setdefault(server.tag, server)
            if owner is not server or server.name in self.departed:
                continue
            if server.state == serverstate.ServerState.ACTIVE:
                self.by_service.setdefault(server.service, []).append(server)
