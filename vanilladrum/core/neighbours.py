"""Other entry hosts, as the digests that they send show them.

A digest is believed for a fraction of a second only. A host that falls
silent is asked now and then until it is forgotten.
"""

import collections
import random

from vanilladrum.core import address as addresses

# A fleet up to this size is one group whose hosts all hear each other.
SMALL_FLEET = 12
# A silent host is asked so often, in seconds, and forgotten after so long.
RETRY_SECONDS = 1.0
FORGET_SECONDS = 60.0
# Silent hosts that are asked in one period.
MAX_ASKED = 4
# Other hosts named in a digest, so that all come to know each other.
NAMED = 4


class Cadence:
    """How often digests are sent and how long they count, in seconds.

    :param period: between two digests while something changes.
    :param idle_period: between two digests at the most.
    :param fan_out: hosts of the own data centre that get one digest.
    :param far_fan_out: hosts of other data centres that get it too.
    :param fresh: age up to which a digest counts, at the least.
    :param quiet: a data centre none of whose hosts was heard for so long may
        be cut off.
    """

    def __init__(
        self,
        period: float,
        idle_period: float,
        fan_out: int,
        far_fan_out: int,
        fresh: float,
        quiet: float,
    ) -> None:
        self.period = period
        self.idle_period = idle_period
        self.fan_out = fan_out
        self.far_fan_out = far_fan_out
        self.fresh = fresh
        self.quiet = quiet


# A small fleet hears of each flow within a fraction of its length. In a
# large one each host sends 20 to 40 datagrams a second, whatever its size.
SMALL = Cadence(0.04, 0.1, SMALL_FLEET, SMALL_FLEET, 0.5, 0.3)
LARGE = Cadence(0.2, 0.4, 6, 2, 2.0, 2.0)
# In a large fleet a digest counts for so many rounds through the data centre:
# the order of a round is random, so that two of them may pass.
ROUNDS = 2.5


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
    :param near: fresh hosts of the own data centre.
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
        self.near = 0
        self._turn: list[addresses.Address] = []
        for seed in seeds:
            self.meet(seed, float("-inf"))

    @property
    def cadence(self) -> Cadence:
        """Return how often digests are sent."""
        return LARGE if self.large else SMALL

    @property
    def large(self) -> bool:
        """Return whether hosts keep to their own data centre."""
        return len(self.hosts) > SMALL_FLEET

    @property
    def fresh_age(self) -> float:
        """Return up to which age in seconds a digest is believed."""
        if not self.large:
            return SMALL.fresh
        rounds = ROUNDS * self.near / LARGE.fan_out
        return max(LARGE.fresh, rounds * LARGE.idle_period)

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

        :returns: whether it is the first one of this start or after a
            silence, so that its sender should hear of this host. Far hosts
            of a large fleet are always silent for long.
        """
        self.meet(sender, now)
        for host in digest.hosts:
            self.meet(host, now)
        neighbour = self.hosts.get(sender)
        if neighbour is None or _outdated(digest, neighbour.digest):
            return False
        near = digest.data_centre == self.data_centre or not self.large
        silent = now - neighbour.heard > self.fresh_age
        returned = near and silent or _first(digest, neighbour.digest)
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
            if now - neighbour.heard <= self.fresh_age:
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
            tuple(named),
        )

    def fresh(self, now: float) -> list[addresses.Address]:
        """Return the hosts whose digests may be believed."""
        return [
            host
            for host, neighbour in self.hosts.items()
            if now - neighbour.heard <= self.fresh_age
        ]

    def digest(self, host: addresses.Address) -> Digest:
        """Return the last digest of a host that was heard.

        :raises LookupError: when it was never heard.
        """
        found = self.hosts[host].digest
        if found is None:
            raise LookupError(f"{host} was never heard")
        return found

    def receivers(self, now: float) -> list[addresses.Address]:
        """Return to whom the next digest goes."""
        silent = []
        for host, neighbour in self.hosts.items():
            if now - neighbour.heard <= self.fresh_age:
                continue
            if now - neighbour.asked >= RETRY_SECONDS:
                neighbour.asked = now
                silent.append(host)
        near, far = self._by_distance(self.fresh(now))
        self.near = len(near)
        chosen = self._next_in_turn(near)
        wanted = min(self.cadence.far_fan_out, len(far))
        chosen.extend(self.rng.sample(far, wanted))
        return chosen + silent[:MAX_ASKED]

    def _by_distance(
        self, hosts: list[addresses.Address]
    ) -> tuple[list[addresses.Address], list[addresses.Address]]:
        """Split hosts into those of the own data centre and others."""
        near: list[addresses.Address] = []
        far: list[addresses.Address] = []
        for host in hosts:
            centre = self.digest(host).data_centre
            (near if centre == self.data_centre else far).append(host)
        return near, far

    def _next_in_turn(
        self, near: list[addresses.Address]
    ) -> list[addresses.Address]:
        """Return a few hosts, each once in a round through all of them."""
        if len(near) <= self.cadence.fan_out:
            return near
        present = set(near)
        chosen: list[addresses.Address] = []
        while len(chosen) < self.cadence.fan_out:
            if not self._turn:
                self._turn = near.copy()
                self.rng.shuffle(self._turn)
            host = self._turn.pop()
            if host in present and host not in chosen:
                chosen.append(host)
        return chosen

    def unheard(self, data_centre: int, now: float) -> bool:
        """Return whether the hosts of a data centre have fallen silent."""
        heard = self.heard.get(data_centre)
        return heard is not None and now - heard > self.cadence.quiet

    def _uncount(self, neighbour: Neighbour) -> None:
        if not neighbour.counted:
            return
        neighbour.counted = False
        counted = neighbour.digest.open if neighbour.digest else {}
        self.open.subtract(counted)
        for tag in counted:
            if self.open[tag] <= 0:
                del self.open[tag]


def _first(digest: Digest, known: Digest | None) -> bool:
    """Return whether a digest is the first one of a start."""
    return known is None or digest.start != known.start


def _outdated(digest: Digest, known: Digest | None) -> bool:
    """Return whether a digest came late; a new start counts afresh."""
    if known is None or _first(digest, known):
        return False
    return digest.sequence <= known.sequence
