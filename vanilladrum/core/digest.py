"""State that entry hosts tell each other, and how often they do."""

import zlib

from vanilladrum.core import address as addresses
from vanilladrum.core import position as positions

# Number of other hosts up to which a fleet is small. In a small fleet every
# host sends its digests to all others.
SMALL_FLEET_MAX_HOSTS = 12


def data_centre_id(data_centre: str) -> int:
    """Return the number that identifies a data centre in digests."""
    return zlib.crc32(data_centre.encode())


class DigestTiming:
    """Intervals, fan-out and validity of digests; times are in seconds.

    :param period: interval between digests while something changes.
    :param idle_period: longest interval between digests.
    :param fan_out: number of hosts of the own data centre that receive each
        digest.
    :param remote_fan_out: number of hosts of other data centres that receive
        each digest.
    :param max_age: age up to which a digest is valid. In a large fleet it is
        the minimum; see :attr:`Neighbours.max_digest_age`.
    :param silence_timeout: time without a digest from any host of a data
        centre after which that data centre may be unreachable.
    """

    def __init__(
        self,
        period: float,
        idle_period: float,
        fan_out: int,
        remote_fan_out: int,
        max_age: float,
        silence_timeout: float,
    ) -> None:
        self.period = period
        self.idle_period = idle_period
        self.fan_out = fan_out
        self.remote_fan_out = remote_fan_out
        self.max_age = max_age
        self.silence_timeout = silence_timeout


# In a small fleet the digest with a new flow reaches every host within a
# fraction of the flow's duration. In a large one most flows end before their
# digest could arrive; each host sends five datagrams a second there, whatever
# the size of the fleet, and more while it discovers the others. In order:
# period, idle_period, fan_out, remote_fan_out, max_age, silence_timeout.
SMALL = DigestTiming(
    0.04, 0.1, SMALL_FLEET_MAX_HOSTS, SMALL_FLEET_MAX_HOSTS, 0.5, 0.3
)
LARGE = DigestTiming(1.0, 1.0, 4, 1, 20.0, 8.0)
DISCOVERY = DigestTiming(0.2, 0.2, 6, 2, 20.0, 8.0)


class Digest:
    """State that an entry host sends to other entry hosts.

    :param start: 32-bit random number that identifies the process start.
    :param sequence: increases with each digest of the same start.
    :param data_centre: number that identifies the sender's data centre.
    :param generation: generation of the configuration in force at the sender.
    :param leaving: whether a planned stop of the sender has begun.
    :param watching: whether the sender watches the store itself.
    :param store_unreachable: whether the store does not answer the sender.
    :param entries_may_return: whether entries of removed servers may reappear
        because the store was unreachable.
    :param revision: store revision of the sender's server list.
    :param busy_flows: number of flows that wait for an answer, by tag of the
        server; servers without such flows are left out.
    :param hosts: addresses of some other entry hosts.
    :param era: number of restores of the store when the sender read its
        server list, 0 if the sender does not report it.
    """

    __slots__ = (
        "start",
        "sequence",
        "data_centre",
        "generation",
        "leaving",
        "watching",
        "store_unreachable",
        "entries_may_return",
        "revision",
        "busy_flows",
        "hosts",
        "era",
    )

    def __init__(
        self,
        start: int,
        sequence: int,
        data_centre: int,
        generation: int,
        leaving: bool,
        watching: bool,
        store_unreachable: bool,
        entries_may_return: bool,
        revision: int,
        busy_flows: dict[int, int],
        hosts: tuple[addresses.Address, ...],
        era: int = 0,
    ) -> None:
        self.start = start
        self.sequence = sequence
        self.data_centre = data_centre
        self.generation = generation
        self.leaving = leaving
        self.watching = watching
        self.store_unreachable = store_unreachable
        self.entries_may_return = entries_may_return
        self.revision = revision
        self.busy_flows = busy_flows
        self.hosts = hosts
        self.era = era

    @property
    def position(self) -> positions.StorePosition:
        """Return the position of the sender's server list."""
        return positions.StorePosition(self.era, self.revision)

    def is_first_of_start(self, known: "Digest | None") -> bool:
        """Return whether this is the first digest of a start of its sender.

        :param known: the last digest of the sender, None if there is none.
        """
        return known is None or self.start != known.start

    def is_outdated(self, known: "Digest | None") -> bool:
        """Return whether this digest or a newer one of its start is known.

        :param known: the last digest of the sender, None if there is none.
        """
        if known is None or self.is_first_of_start(known):
            return False
        return self.sequence <= known.sequence
