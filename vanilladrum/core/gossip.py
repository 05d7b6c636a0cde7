"""Dissemination of membership updates by gossip.

Updates are piggybacked on pings and acknowledgements, each a bounded number
of times.
"""

import attrs

from vanilladrum.core import peer_messages

MAX_UPDATES_PER_MESSAGE = 8
# An update is sent this many times the binary logarithm of the host count.
RETRANSMIT_FACTOR = 3


@attrs.define
class PendingUpdate:
    """An update on one incarnation that is still being sent.

    :param member: the updated entry.
    :param transmissions_left: number of messages that still carry it.
    """

    member: peer_messages.Member
    transmissions_left: int


@attrs.define
class GossipQueue:
    """Updates to send, the newest one of each incarnation.

    :param pending: updates by incarnation.
    """

    pending: dict[bytes, PendingUpdate] = attrs.field(factory=dict)

    def add(self, member: peer_messages.Member, hosts: int) -> None:
        """Queue an update, replacing an older one of the same incarnation.

        :param hosts: number of hosts, this one included. The number of
            transmissions grows with its logarithm, as does the number of
            rounds in which gossip reaches all hosts.
        """
        transmissions = RETRANSMIT_FACTOR * hosts.bit_length()
        self.pending[member.incarnation] = PendingUpdate(member, transmissions)

    def next_updates(self) -> tuple[peer_messages.Member, ...]:
        """Return the updates for the next message.

        They are those with the most transmissions left. Each call counts as
        one transmission; after its last one an update is removed.
        """
        most_left_first = sorted(
            self.pending.values(), key=lambda each: -each.transmissions_left
        )
        chosen = most_left_first[:MAX_UPDATES_PER_MESSAGE]
        for update in chosen:
            update.transmissions_left -= 1
            if update.transmissions_left <= 0:
                del self.pending[update.member.incarnation]
        return tuple(update.member for update in chosen)
