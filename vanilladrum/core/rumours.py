"""News of hosts that ride on probes, each a bounded number of times."""

import attrs

from vanilladrum.core import peers

MAX_GOSSIP = 8
RETRANSMIT_FACTOR = 3


@attrs.define
class Rumour:
    """News of one incarnation.

    :param left: how often it is still passed on.
    """

    member: peers.Member
    left: int


@attrs.define
class Rumours:
    """What is still to be passed on, the newest of each incarnation."""

    fresh: dict[bytes, Rumour] = attrs.field(factory=dict)

    def add(self, member: peers.Member, group: int) -> None:
        """Pass news on.

        :param group: number of hosts; rumours need its logarithm in rounds.
        """
        times = RETRANSMIT_FACTOR * group.bit_length()
        self.fresh[member.incarnation] = Rumour(member, times)

    def take(self) -> tuple[peers.Member, ...]:
        """Return what rides on the next message, least told first."""
        ranked = sorted(self.fresh.values(), key=lambda each: -each.left)
        chosen = ranked[:MAX_GOSSIP]
        for rumour in chosen:
            rumour.left -= 1
            if rumour.left <= 0:
                del self.fresh[rumour.member.incarnation]
        return tuple(rumour.member for rumour in chosen)
