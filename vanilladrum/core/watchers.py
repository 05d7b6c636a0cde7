"""Which entry hosts watch the store, and whom the others follow.

Two hosts of a group watch; the others hear changes from them. Nothing is
agreed: each host decides from the digests that it has. Hosts that disagree
for a moment cost a call or two and no safety, since every change carries the
store's revision.
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
    mine = _rank(neighbours.me)
    before = [
        host
        for host in group
        if not neighbours.digest(host).turned_away and _rank(host) < mine
    ]
    if store_answers and knows and len(before) < WATCHERS:
        return None
    usable = [host for host in group if host not in avoided]
    watching = [host for host in usable if neighbours.digest(host).watching]
    if not knows and not watching:
        # Whoever knows the servers can tell a newcomer.
        watching = [
            host for host in usable if neighbours.digest(host).revision
        ]
    if not watching:
        return None
    watching.sort(key=_rank)
    return watching[mine % len(watching[:WATCHERS])]


def _group(
    neighbours: digests.Neighbours, now: float
) -> list[addresses.Address]:
    """Return the fresh hosts that this one may follow."""
    fresh = neighbours.fresh(now)
    if len(neighbours.hosts) > digests.SMALL_FLEET:
        fresh = [
            host
            for host in fresh
            if neighbours.digest(host).data_centre == neighbours.data_centre
        ]
    return [host for host in fresh if not neighbours.digest(host).leaving]


def _rank(host: addresses.Address) -> int:
    # Spreads the watchers over the data centres.
    return zlib.crc32(host.pack())
