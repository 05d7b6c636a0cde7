"""Selection of the next probe target.

Each host that is not dead is probed once per round; each round has a new
random order.
"""

import random

import attrs

from vanilladrum.core import incarnations
from vanilladrum.core import peer_messages


@attrs.define
class ProbeOrder:
    """Probe order of the current round.

    :param remaining: incarnations not yet probed in this round; the last one
        is next.
    """

    rng: random.Random
    remaining: list[bytes] = attrs.field(factory=list)

    def next_target(
        self, members: dict[bytes, peer_messages.Member]
    ) -> peer_messages.Member | None:
        """Remove and return the next host to probe, or None if all are dead.

        A new round begins when the current one is complete.

        :param members: entries of the other hosts by incarnation.
        """
        while True:
            if not self.remaining:
                self.remaining = _live_incarnations(members)
                self.rng.shuffle(self.remaining)
            if not self.remaining:
                return None
            member = members.get(self.remaining.pop())
            if member and member.state != incarnations.State.DEAD:
                return member


def _live_incarnations(
    members: dict[bytes, peer_messages.Member],
) -> list[bytes]:
    return [
        incarnation
        for incarnation, member in members.items()
        if member.state != incarnations.State.DEAD
    ]
