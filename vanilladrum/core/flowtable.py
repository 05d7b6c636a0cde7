"""Table of the open flows whose packets pass through one entry host.

The table does not route packets: later packets of a flow carry the tag of
their server. It counts the open flows of each server and finds first packets
that were not answered in time.
"""

import collections

from vanilladrum.core import backend as backends

# Default size limit of a FlowTable, in flows.
MAX_FLOWS = 200_000


class OpenFlow:
    """A flow whose packets pass through this host.

    :param key: source and destination address and port, 12 bytes.
    :param server: the backend server of the flow.
    :param opened: when this process first received a packet of the flow,
        monotonic seconds.
    :param sent: when its first packet was last sent to a server, monotonic
        seconds; equal to ``opened`` if this process missed that packet.
    :param answered: whether a later packet has shown that the caller has
        received an answer.
    :param first_packet_missed: whether another process received the packet
        that opened the flow.
    :param request_logged: whether its request has been logged.
    :param ended: whether the caller has closed the flow or the flow has been
        removed from the table.
    """

    __slots__ = (
        "key",
        "server",
        "opened",
        "sent",
        "answered",
        "first_packet_missed",
        "request_logged",
        "ended",
    )

    def __init__(
        self, key: bytes, server: backends.Backend, opened: float
    ) -> None:
        self.key = key
        self.server = server
        self.opened = opened
        self.sent = opened
        self.answered = False
        self.first_packet_missed = False
        self.request_logged = False
        self.ended = False


class FlowTable:
    """Flows by key, with the number of open flows of each server.

    A closed flow stays in the table until its lifetime is over. Otherwise
    the packets that follow the last data would add it again as a new flow.

    :param max_flows: size limit; a flow that exceeds it replaces the oldest.
    :param flows: open and closed flows by key, oldest first.
    :param open_counts: number of open flows by server tag.
    """

    def __init__(self, max_flows: int = MAX_FLOWS) -> None:
        self.flows: dict[bytes, OpenFlow] = {}
        self.open_counts: collections.Counter = collections.Counter()
        self.max_flows = max_flows
        # Time of sending, flow and server of each first packet sent, oldest
        # first. Entries of answered flows are removed later.
        self._unanswered: collections.deque = collections.deque()
        # Expiry time and flow, in one queue for each lifetime, so that each
        # queue is sorted by expiry time.
        self._expiries: dict[float, collections.deque] = {}

    def add(
        self,
        key: bytes,
        server: backends.Backend,
        now: float,
        lifetime: float,
    ) -> OpenFlow:
        """Add a flow whose first packet is sent to a server now.

        Replaces an ended flow with the same key. If the table is full, the
        oldest flow is removed.

        :param now: monotonic seconds.
        :param lifetime: seconds after which the flow is removed, because the
            caller has given it up.
        """
        self._remove(key)
        while len(self.flows) >= self.max_flows:
            self._remove(next(iter(self.flows)))
        flow = OpenFlow(key, server, now)
        self.flows[key] = flow
        self.open_counts[server.tag] += 1
        self._unanswered.append((now, flow, server))
        expiries = self._expiries.setdefault(lifetime, collections.deque())
        expiries.append((now + lifetime, flow))
        return flow

    def resend(
        self, flow: OpenFlow, server: backends.Backend, now: float
    ) -> None:
        """Record that a first packet is sent again now.

        :param server: receives the packet, and the flow if it belonged to
            another server before.
        :param now: monotonic seconds.
        """
        if server is not flow.server:
            self._decrement(flow.server)
            self.open_counts[server.tag] += 1
            flow.server = server
        flow.sent = now
        self._unanswered.append((now, flow, server))

    def find(self, key: bytes) -> OpenFlow | None:
        """Return the flow of a key, even if it has ended, or None."""
        return self.flows.get(key)

    def end(self, flow: OpenFlow) -> None:
        """Mark a flow as ended and subtract it from its server's count."""
        if not flow.ended:
            flow.ended = True
            self._decrement(flow.server)

    def oldest_unanswered(self) -> float | None:
        """Return when the oldest unanswered first packet was sent.

        :returns: monotonic seconds, None if all have been answered.
        """
        while self._unanswered:
            sent, flow, _ = self._unanswered[0]
            if not flow.answered and not flow.ended:
                return sent
            self._unanswered.popleft()
        return None

    def pop_unanswered(
        self, sent_until: float
    ) -> list[tuple[OpenFlow, backends.Backend, float]]:
        """Remove and return the unanswered first packets sent up to a time.

        A packet that was sent several times is returned once for each time.

        :param sent_until: latest time of sending, inclusive, monotonic
            seconds.
        :returns: flow, server that the packet was sent to, and time of
            sending.
        """
        unanswered = []
        while self._unanswered and self._unanswered[0][0] <= sent_until:
            sent, flow, server = self._unanswered.popleft()
            if not flow.answered and not flow.ended:
                unanswered.append((flow, server, sent))
        return unanswered

    def clear_unanswered(self) -> None:
        """Remove all first packets sent so far from the unanswered ones."""
        self._unanswered.clear()

    def expire(self, now: float) -> None:
        """Remove the flows whose lifetime is over."""
        for expiries in self._expiries.values():
            while expiries and expiries[0][0] <= now:
                expired: OpenFlow = expiries.popleft()[1]
                # A newer flow may have the same key.
                if self.flows.get(expired.key) is expired:
                    self._remove(expired.key)

    def _remove(self, key: bytes) -> None:
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.end(flow)

    def _decrement(self, server: backends.Backend) -> None:
        self.open_counts[server.tag] -= 1
        if self.open_counts[server.tag] <= 0:
            del self.open_counts[server.tag]
