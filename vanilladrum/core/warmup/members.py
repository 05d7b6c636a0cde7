"""Which hosts of a data centre may open flows to a cold server.

These are the hosts with the highest rendezvous weights. Hosts have different
views of the fleet, so each one allows for hosts that it does not hear: see
docs/design/WARM-UP.md for the bound that follows.
"""

import zlib

from vanilladrum.core import address as addresses
from vanilladrum.core import digest as digests
from vanilladrum.core import neighbours as neighbour_tables

# Hosts that were not heard for this long, in seconds, no longer count.
KNOWN_SECONDS = 60.0
# Number of local hosts up to which a starting host knows all of them at the
# end of its discovery: it sends 90 digests in that time. In data centres of 33
# hosts all views were complete then; in one of 300 a host knew 43 others.
MAX_DISCOVERED_HOSTS = 36
# Longest age of the view that a decision is based on, in seconds. Many first
# packets in a row then share one view.
VIEW_SECONDS = 0.1
# A longer interval between two calls, in seconds, means that this process was
# suspended for so long that it has forgotten hosts which are still there.
MAX_PAUSE_SECONDS = 30.0

_MASK = 0xFFFFFFFF


def weight(host: addresses.Address, server: str) -> int:
    """Return the rendezvous weight of a host for a server.

    All hosts must compute the same weights, so a change of this function
    weakens the limit while releases are mixed.

    :param server: name of the server.
    """
    mixed = zlib.crc32(server.encode(), zlib.crc32(host.pack()))
    # A checksum alone would give similar orders for different servers. These
    # are the last steps of MurmurHash3, which spread every bit.
    mixed ^= mixed >> 16
    mixed = mixed * 0x85EBCA6B & _MASK
    mixed ^= mixed >> 13
    mixed = mixed * 0xC2B2AE35 & _MASK
    return mixed ^ mixed >> 16


class LocalMembers:
    """The hosts of the own data centre, ranked for each cold server.

    :param neighbours: state of the other entry hosts.
    :param valid: other local hosts with a valid digest.
    :param known: other local hosts heard in the last KNOWN_SECONDS, and the
        seeds for as long after the start, unless they are known to be hosts of
        other data centres.
    :param observed_at: when :meth:`observe` was last called, monotonic
        seconds.
    """

    def __init__(self, neighbours: neighbour_tables.Neighbours) -> None:
        self.neighbours = neighbours
        self.valid: frozenset[addresses.Address] = frozenset()
        self.known: frozenset[addresses.Address] = frozenset()
        self._viewed_at = float("-inf")
        # The last judgement: many servers are compared for one first packet.
        self._judged_at = float("-inf")
        self._is_reliable = False
        self.observed_at = float("-inf")
        # Whether any host was heard since the start of the process, and when
        # that was first noticed.
        self._has_heard_any = False
        self._first_heard_at = float("-inf")
        self._has_heard_local = False
        # When this process started or lost its view.
        self._began = float("-inf")
        # Whether the view has been complete since it was last lost. Until
        # then: the largest number of local hosts so far, and since when.
        self._settled = False
        self._was_lost = False
        self._largest = 0
        self._largest_since = float("-inf")
        # Numbers of valid and of known hosts with a higher weight, by server.
        self._ranks: dict[str, tuple[int, int]] = {}

    def observe(self, now: float) -> None:
        """Notice pauses of this process and whether the view is complete.

        Takes the same time whatever the number of hosts.

        :param now: monotonic seconds.
        """
        previous = self.observed_at
        self.observed_at = now
        if previous == float("-inf"):
            self._began = now
        if MAX_PAUSE_SECONDS < now - previous < float("inf"):
            # Removes the hosts whose digests expired during the pause.
            self.neighbours.valid_local_hosts(now)
            self._lose_view(now)
        local = len(self.neighbours.local)
        if not self._has_heard_any and (local or self.neighbours.remote):
            self._has_heard_any = True
            self._first_heard_at = now
        self._has_heard_local = self._has_heard_local or local > 0
        if self._has_heard_local and not local:
            self._lose_view(now)
        if not self._settled:
            self._settle(local, now)

    def is_among_first(self, server: str, count: int, now: float) -> bool:
        """Return whether this host may open flows to a cold server.

        Fewer than ``count`` valid hosts precede it, and fewer than twice as
        many known ones. Because of the second condition at most twice
        ``count`` hosts open flows, whichever hosts are cut off from each
        other.

        :param server: name of the server.
        :param count: number of hosts that may open flows to it.
        :param now: monotonic seconds.
        """
        if not self.is_reliable(now):
            return False
        if server not in self._ranks:
            own = (
                weight(self.neighbours.own_address, server),
                self.neighbours.own_address,
            )
            preceding = [
                host
                for host in self.known
                if (weight(host, server), host) > own
            ]
            valid = sum(1 for host in preceding if host in self.valid)
            self._ranks[server] = (valid, len(preceding))
        valid, known = self._ranks[server]
        return valid < count and known < 2 * count

    def is_reliable(self, now: float) -> bool:
        """Return whether the view of the data centre is good enough.

        It is not while this host discovers the others, or hears fewer than
        half of the local hosts that it knows. A host that hears nobody is not
        taken for the only one, as it may be cut off, unless it has only ever
        heard other data centres or was given no seeds.

        :param now: monotonic seconds.
        """
        if now != self._judged_at:
            self._judged_at = now
            self._is_reliable = self._judge(now)
        return self._is_reliable

    def _judge(self, now: float) -> bool:
        self.observe(now)
        if self.neighbours.discovering or not self._settled:
            return False
        self._update_view(now)
        if self._has_heard_local and not self.valid:
            return False
        return 2 * len(self.valid) >= len(self.known)

    def _settle(self, local: int, now: float) -> None:
        """Decide whether the view is complete.

        Up to MAX_DISCOVERED_HOSTS it is at the end of the discovery. A larger
        one, or one that was lost, is complete when no host was added for the
        time in which each local host sends a digest to every other one.

        :param local: number of valid local hosts.
        """
        if local > self._largest:
            self._largest = local
            self._largest_since = now
        if self.neighbours.discovering:
            return
        if not self._has_heard_any and self.neighbours.seeds:
            return
        if now - self._first_heard_at < neighbour_tables.DISCOVERY_SECONDS:
            # It was cut off at its start and discovers the others only now.
            return
        if self._has_heard_local and not local:
            return
        quiet_seconds = local / digests.LARGE.fan_out
        if self._was_lost:
            quiet_seconds = max(
                quiet_seconds, neighbour_tables.DISCOVERY_SECONDS
            )
        elif local <= MAX_DISCOVERED_HOSTS:
            quiet_seconds = 0.0
        self._settled = now - self._largest_since >= quiet_seconds

    def _lose_view(self, now: float) -> None:
        self._settled = False
        self._was_lost = True
        self._began = now
        self._largest = 0
        self._largest_since = now

    def _update_view(self, now: float) -> None:
        if 0 <= now - self._viewed_at <= VIEW_SECONDS:
            return
        self._viewed_at = now
        valid = frozenset(self.neighbours.valid_local_hosts(now))
        known = valid.union(
            host
            for host, neighbour in self.neighbours.hosts.items()
            if self._is_known(host, neighbour, now)
        )
        if valid != self.valid or known != self.known:
            self.valid = valid
            self.known = known
            self._ranks.clear()

    def _is_known(
        self,
        host: addresses.Address,
        neighbour: neighbour_tables.Neighbour,
        now: float,
    ) -> bool:
        """Return whether a host counts as one of the data centre.

        A starting host that hears only others that start as well would take
        itself for one of the first if its seeds did not count.
        """
        digest = neighbour.digest
        if (
            digest is not None
            and digest.data_centre != self.neighbours.data_centre
        ):
            return False
        if now - neighbour.last_digest_at <= KNOWN_SECONDS:
            return True
        is_new = now - self._began <= KNOWN_SECONDS
        return is_new and host in self.neighbours.seeds
