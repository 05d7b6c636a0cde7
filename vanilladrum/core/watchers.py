"""Which entry hosts watch the store, and whom the others follow.

Two hosts of a group watch; the others hear changes from them. In a large
fleet all follow the first one, and the second one, which calls less often,
is there for its loss. Nothing is agreed: each host decides from the digests
that it has. Hosts that disagree for a moment cost a call or two and no
safety, since every change carries the store's revision.
"""

import zlib

from vanilladrum.core import address as addresses
from vanilladrum.core import neighbours as digests

# Two, so that the loss of one is bridged without a pause.
WATCHERS = 2


def choose_source(
    neighbours: digests.Neighbours,
    store_answers: bool,
    knows: bool,
    avoided: set[addresses.Address],
    now: float,
) -> addresses.Address | None:
    """Return the host to follow, None to watch the store.

    :param store_answers: whether the store answers this host.
    :param knows: whether this host knows the servers already. One that does
        follows hosts that watch the store only, or a few could follow each
        other in a ring.
    :param avoided: hosts that have just failed to pass changes on.
    """
    group = _group(neighbours, now)
    if store_answers and knows and _before(neighbours, group) < WATCHERS:
        return None
    if not knows and not group:
        group = _serving(neighbours, now)
    usable = [host for host in group if host not in avoided]
    if not knows:
        # Whoever knows the servers can tell a newcomer.
        return _pick(
            neighbours,
            [host for host in usable if neighbours.digest(host).revision],
        )
    watching = [host for host in usable if neighbours.digest(host).watching]
    watching.sort(key=_rank)
    return _pick(neighbours, watching[: 1 if neighbours.large else WATCHERS])


def _pick(
    neighbours: digests.Neighbours, hosts: list[addresses.Address]
) -> addresses.Address | None:
    """Return one of some hosts, so that those who pick are spread."""
    if not hosts:
        return None
    return hosts[_rank(neighbours.me) % len(hosts)]


def is_first(neighbours: digests.Neighbours, now: float) -> bool:
    """Return whether a host that watches has the others as followers."""
    if not neighbours.large:
        return True
    return _before(neighbours, _group(neighbours, now)) == 0


def _before(
    neighbours: digests.Neighbours, group: list[addresses.Address]
) -> int:
    """Return how many hosts of a group should watch before this one."""
    mine = _rank(neighbours.me)
    return sum(
        1
        for host in group
        if not neighbours.digest(host).turned_away and _rank(host) < mine
    )


def _group(
    neighbours: digests.Neighbours, now: float
) -> list[addresses.Address]:
    """Return the hosts that watch together with this one."""
    serving = _serving(neighbours, now)
    if not neighbours.large:
        return serving
    return [
        host
        for host in serving
        if neighbours.digest(host).data_centre == neighbours.data_centre
    ]


def _serving(
    neighbours: digests.Neighbours, now: float
) -> list[addresses.Address]:
    return [
        host
        for host in neighbours.fresh(now)
        if not neighbours.digest(host).leaving
    ]


def _rank(host: addresses.Address) -> int:
    # Spreads the watchers over the data centres.
    return zlib.crc32(host.pack())
