"""Election of the entry hosts that watch the store.

A small fleet is one group; in a large one each data centre is a group. Two
hosts of each group watch the store: of those that can reach it, the ones with
the lowest hashes of their addresses. The others follow one of them and receive
changes from it. In a large fleet all others follow the first watcher; the
second one calls the store less often and takes over when the first one fails.

There is no consensus: each host decides from the digests that it has. Hosts
that disagree for a moment cause a few extra calls to the store but no
inconsistency, since every change carries the store's revision.
"""

import zlib

from vanilladrum.core import address as addresses
from vanilladrum.core import neighbours as digests

# Watchers in a group: with two, updates continue when one of them fails.
WATCHERS = 2


def choose_upstream(
    neighbours: digests.Neighbours,
    store_answers: bool,
    has_servers: bool,
    avoided: set[addresses.Address],
    now: float,
) -> addresses.Address | None:
    """Return the host to follow, or None if this host watches the store.

    The store is watched as well when there is no host to follow.

    :param neighbours: other entry hosts and their digests.
    :param store_answers: whether the store answers this host.
    :param has_servers: whether this host has the server list. A host that has
        it follows only hosts that watch the store, since hosts could otherwise
        follow each other in a cycle.
    :param avoided: hosts that recently failed to relay changes.
    :param now: monotonic seconds.
    """
    group = _watch_group(neighbours, now)
    if not has_servers and not group:
        # Hosts of other data centres can send the list as well.
        group = _active_hosts(neighbours, neighbours.valid_hosts(now))
    eligible = [host for host in group if host not in avoided]
    if not has_servers:
        return _pick_by_rank(
            neighbours, _with_recent_list(neighbours, eligible)
        )
    watching = [host for host in eligible if neighbours.digest(host).watching]
    # A new host does not know yet which hosts precede it.
    may_watch = not (neighbours.discovering and watching)
    if (
        may_watch
        and store_answers
        and _count_ranked_before(neighbours, eligible) < WATCHERS
    ):
        return None
    watching.sort(key=_rank)
    return _pick_by_rank(
        neighbours, watching[: 1 if neighbours.is_large_fleet else WATCHERS]
    )


def _with_recent_list(
    neighbours: digests.Neighbours, hosts: list[addresses.Address]
) -> list[addresses.Address]:
    """Return the hosts that may send the server list to a new host.

    These are the half whose lists are the most recent: a host that is cut off
    may still list servers that have left.
    """
    listed = [host for host in hosts if neighbours.digest(host).revision]
    positions = sorted(
        (neighbours.digest(host).position for host in hosts), reverse=True
    )
    if not positions:
        return []
    oldest = positions[(len(positions) - 1) // 2]
    return [
        host for host in listed if neighbours.digest(host).position >= oldest
    ]


def _pick_by_rank(
    neighbours: digests.Neighbours, hosts: list[addresses.Address]
) -> addresses.Address | None:
    """Return the host to follow by the own rank, or None without hosts.

    Hosts have different ranks, which distributes the followers.
    """
    if not hosts:
        return None
    return hosts[_rank(neighbours.own_address) % len(hosts)]


def is_first(neighbours: digests.Neighbours, now: float) -> bool:
    """Return whether no other host of the group precedes this one."""
    return _count_ranked_before(neighbours, _watch_group(neighbours, now)) == 0


def _count_ranked_before(
    neighbours: digests.Neighbours, group: list[addresses.Address]
) -> int:
    """Count the hosts of a group that precede this host as watchers.

    They have a lower rank and can reach the store.
    """
    own_rank = _rank(neighbours.own_address)
    return sum(
        1
        for host in group
        if not neighbours.digest(host).store_unreachable
        and _rank(host) < own_rank
    )


def _watch_group(
    neighbours: digests.Neighbours, now: float
) -> list[addresses.Address]:
    """Return the other hosts of this host's group that are not leaving."""
    if not neighbours.is_large_fleet:
        return _active_hosts(neighbours, neighbours.valid_hosts(now))
    return _active_hosts(neighbours, neighbours.valid_local_hosts(now))


def _active_hosts(
    neighbours: digests.Neighbours, hosts: list[addresses.Address]
) -> list[addresses.Address]:
    return [host for host in hosts if not neighbours.digest(host).leaving]


def _rank(host: addresses.Address) -> int:
    # The hash distributes the watchers over the data centres.
    return zlib.crc32(host.pack())
