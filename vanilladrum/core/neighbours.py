"""Other entry hosts, as the digests that they send show them.

A digest is believed for a fraction of a second only. A host that falls
silent is asked now and then until it is forgotten.
"""

import collections
import random

from vanilladrum.core import address as addresses

# Age in seconds up to which a digest counts; a few sending periods.
FRESH_SECONDS = 0.5
# A data centre none of whose hosts was heard for so long may be cut off;
# three periods of digests while nothing changes.
QUIET_SECONDS = 0.3
# A silent host is asked so often, in seconds, and forgotten after so long.
RETRY_SECONDS = 1.0
FORGET_SECONDS = 60.0
# Hosts to which a digest goes at once: all of a small fleet; a large one
# hears of each host from a changing part of it.
FAN_OUT = 12
# How many of these go to other data centres.
FAR_FAN_OUT = 2
# Other hosts named in a digest, so that all come to know each other.
NAMED = 4


class Digest:
    """What an entry host tells the others about the backend servers.

    :param start: random number of this start of the sender.
    :param sequence: grows with each digest of a start.
    :param data_centre: number that stands for the sender's data centre.
    :param generation: configuration in force at the sender.
    :param leaving: whether the sender is about to stop as planned.
    :param watching: whether the sender hears of changes from the store.
    :param turned_away: whether the store does not answer the sender.
    :param unsettled: whether entries of servers that have gone may come
        back, since the store was away.
    :param revision: of the store up to which it knows the servers.
    :param open: open flows by server's tag, servers with none left out.
    :param doubted: tags of the servers that stay silent at the sender.
    :param hosts: addresses of some other entry hosts.
    """

    __slots__ = (
        "start",
        "sequence",
        "data_centre",
        "generation",
        "leaving",
        "watching",
        "turned_away",
        "unsettled",
        "revision",
        "open",
        "doubted",
        "hosts",
    )

    def __init__(
        self,
        start: int,
        sequence: int,
        data_centre: int,
        generation: int,
        leaving: bool,
        watching: bool,
        turned_away: bool,
        unsettled: bool,
        revision: int,
        open_flows: dict[int, int],
        doubted: frozenset[int],
        hosts: tuple[addresses.Address, ...],
    ) -> None:
        self.start = start
        self.sequence = sequence
        self.data_centre = data_centre
        self.generation = generation
        self.leaving = leaving
        self.watching = watching
        self.turned_away = turned_away
        self.unsettled = unsettled
        self.revision = revision
        self.open = open_flows
        self.doubted = doubted
        self.hosts = hosts


class Neighbour:
    """One other entry host.

    :param heard: when its last digest came, monotonic seconds.
    :param counted: whether its open flows are part of the totals.
    """

    def __init__(self) -> None:
        self.digest: Digest | None = None
        self.heard = float("-inf")
        self.asked = float("-inf")
        self.known_since = float("-inf")
        self.counted = False


class Neighbours:
    """All other entry hosts that are known here.

    :param me: own address between entry hosts.
    :param open: open flows at all neighbours together, by server's tag.
    """

    def __init__(
        self,
        me: addresses.Address,
        data_centre: int,
        rng: random.Random,
        seeds: tuple[addresses.Address, ...] = (),
    ) -> None:
        self.me = me
        self.data_centre = data_centre
        self.rng = rng
        self.hosts: dict[addresses.Address, Neighbour] = {}
        self.open: collections.Counter = collections.Counter()
        # When any host of a data centre was last heard.
        self.heard: dict[int, float] = {}
        self.start = rng.getrandbits(32)
        self.sequence = 0
        for seed in seeds:
            self.meet(seed, float("-inf"))

    def meet(self, host: addresses.Address, now: float) -> None:
        """Get to know a host by its address."""
        if host == self.me or host in self.hosts:
            return
        self.hosts[host] = Neighbour()
        self.hosts[host].known_since = now

    def hear(
        self, sender: addresses.Address, digest: Digest, now: float
    ) -> bool:
        """Take in a digest.

        :returns: whether it is the first one after a silence.
        """
        self.meet(sender, now)
        for host in digest.hosts:
            self.meet(host, now)
        neighbour = self.hosts.get(sender)
        if neighbour is None or _outdated(digest, neighbour.digest):
            return False
        returned = now - neighbour.heard > FRESH_SECONDS
        self._uncount(neighbour)
        neighbour.digest = digest
        neighbour.heard = now
        self.heard[digest.data_centre] = now
        self.open.update(digest.open)
        neighbour.counted = True
        return returned

    def tick(self, now: float) -> None:
        """Stop counting what is too old to be believed."""
        forgotten = []
        for host, neighbour in self.hosts.items():
            if now - neighbour.heard <= FRESH_SECONDS:
                continue
            self._uncount(neighbour)
            last = max(neighbour.heard, neighbour.known_since)
            if now - last > FORGET_SECONDS and last != float("-inf"):
                forgotten.append(host)
        for host in forgotten:
            del self.hosts[host]

    def make(
        self,
        generation: int,
        leaving: bool,
        watching: bool,
        turned_away: bool,
        unsettled: bool,
        revision: int,
        open_flows: dict[int, int],
        doubted: frozenset[int],
    ) -> Digest:
        """Return the next digest of this host."""
        self.sequence += 1
        known = list(self.hosts)
        named = self.rng.sample(known, min(NAMED, len(known)))
        return Digest(
            self.start,
            self.sequence,
            self.data_centre,
            generation,
            leaving,
            watching,
            turned_away,
            unsettled,
            revision,
            open_flows,
            doubted,
            tuple(named),
        )

    def fresh(self, now: float) -> list[addresses.Address]:
        """Return the hosts whose digests may be believed."""
        return [
            host
            for host, neighbour in self.hosts.items()
            if now - neighbour.heard <= FRESH_SECONDS
        ]

    def receivers(self, now: float) -> list[addresses.Address]:
        """Return to whom the next digest goes."""
        silent = []
        for host, neighbour in self.hosts.items():
            if now - neighbour.heard <= FRESH_SECONDS:
                continue
            if now - neighbour.asked >= RETRY_SECONDS:
                neighbour.asked = now
                silent.append(host)
        fresh = self.fresh(now)
        if len(fresh) > FAN_OUT:
            fresh = self._own_first(fresh)
        return fresh + silent[:FAN_OUT]

    def _own_first(
        self, fresh: list[addresses.Address]
    ) -> list[addresses.Address]:
        """Return mostly hosts of the own data centre, in a random order."""
        self.rng.shuffle(fresh)
        fresh.sort(
            key=lambda host: (
                self.hosts[host].digest.data_centre != self.data_centre
            )
        )
        return fresh[: FAN_OUT - FAR_FAN_OUT] + fresh[-FAR_FAN_OUT:]

    def doubting(self, tag: int, now: float) -> int:
        """Return how many hosts of this data centre doubt a server."""
        count = 0
        for neighbour in self.hosts.values():
            if now - neighbour.heard > FRESH_SECONDS:
                continue
            digest = neighbour.digest
            if digest.data_centre != self.data_centre:
                continue
            count += tag in digest.doubted
        return count

    def unheard(self, data_centre: int, now: float) -> bool:
        """Return whether the hosts of a data centre have fallen silent."""
        heard = self.heard.get(data_centre)
        return heard is not None and now - heard > QUIET_SECONDS

    def _uncount(self, neighbour: Neighbour) -> None:
        if not neighbour.counted:
            return
        neighbour.counted = False
        self.open.subtract(neighbour.digest.open)
        for tag in neighbour.digest.open:
            if self.open[tag] <= 0:
                del self.open[tag]


def _outdated(digest: Digest, known: Digest | None) -> bool:
    """Return whether a digest came late; a new start counts afresh."""
    if known is None or digest.start != known.start:
        return False
    return digest.sequence <= known.sequence
