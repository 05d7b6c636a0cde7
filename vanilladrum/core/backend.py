"""Backend servers of flows and the tags that stand for them."""

import zlib

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import serverstate


@attrs.frozen(eq=False)
class Backend:
    """A backend server as it describes itself.

    :param name: its id; another one after most of its starts.
    :param identity: 8 bytes that name it on the way to it.
    :param started: wall-clock milliseconds of its start, 0 if not told.
    :param slots: requests that it runs at once.
    :param warm_up: seconds for which it is still slow, when it said so.
    :param tag: stands for the server in packets; never 0.
    """

    name: str
    identity: bytes
    started: int
    service: str
    address: addresses.Address
    data_centre: str
    slots: int
    state: serverstate.ServerState
    warm_up: float = 0.0
    tag: int = attrs.field(init=False)

    @tag.default
    def _make_tag(self) -> int:
        return make_tag(self.name)


def make_tag(name: str) -> int:
    """Return the tag of a server, the same on every entry host.

    >>> make_tag("i-7f3a91c2") == make_tag("i-7f3a91c2") != 0
    True
    """
    # Ids are random already: a checksum spreads them as well as a hash, and
    # is there without loading a library.
    return zlib.crc32(name.encode()) or 1


@attrs.define
class Departed:
    """A server whose entry has gone, kept for its open flows.

    :param since: monotonic seconds.
    """

    server: Backend
    since: float


@attrs.define
class Directory:
    """The servers that may be used, and those that only have open flows.

    :param keep: seconds for which departed servers stay known.
    """

    keep: float = 60.0
    servers: dict[str, Backend] = attrs.field(factory=dict)
    departed: dict[str, Departed] = attrs.field(factory=dict)
    by_tag: dict[int, Backend] = attrs.field(factory=dict)
    by_service: dict[str, list[Backend]] = attrs.field(factory=dict)

    def put(self, server: Backend) -> None:
        """Take in a server's entry or its change."""
        known = self.servers.get(server.name)
        self.servers[server.name] = server
        self.departed.pop(server.name, None)
        if known is None or _changed(known, server):
            self._index()

    def remove(self, name: str, now: float) -> None:
        """Stop using a server whose entry has gone."""
        server = self.servers.pop(name, None)
        if server is None:
            return
        self.departed[name] = Departed(server, now)
        self._index()

    def expire(self, now: float) -> None:
        """Forget departed servers whose flows have ended."""
        old = [
            name
            for name, departed in self.departed.items()
            if departed.since + self.keep <= now
        ]
        for name in old:
            del self.departed[name]
        if old:
            self._index()

    def find(self, tag: int) -> Backend | None:
        """Return the server that a tag stands for, or None."""
        return self.by_tag.get(tag)

    def active(self, service: str) -> list[Backend]:
        """Return the servers of a service that take new flows."""
        return self.by_service.get(service, [])

    def _index(self) -> None:
        self.by_tag = {}
        self.by_service = {}
        every = [each.server for each in self.departed.values()]
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


def _changed(known: Backend, server: Backend) -> bool:
    return attrs.astuple(known, recurse=False) != attrs.astuple(
        server, recurse=False
    )
