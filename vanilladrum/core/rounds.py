"""Which host is probed next: each once a round, in an order that changes."""

import random

import attrs

from vanilladrum.core import peers
from vanilladrum.core import starts


@attrs.define
class Rounds:
    """The incarnations that are still to be probed in this round."""

    rng: random.Random
    left: list[bytes] = attrs.field(factory=list)

    def next(self, members: dict[bytes, peers.Member]) -> peers.Member | None:
        """Return the host to probe, None when there is no live one."""
        while True:
            if not self.left:
                self.left = _living(members)
                self.rng.shuffle(self.left)
            if not self.left:
                return None
            member = members.get(self.left.pop())
            if member and member.state != starts.State.DEAD:
                return member


def _living(members: dict[bytes, peers.Member]) -> list[bytes]:
    return [
        incarnation
        for incarnation, member in members.items()
        if member.state != starts.State.DEAD
    ]
