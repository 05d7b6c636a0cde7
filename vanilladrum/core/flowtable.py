"""Table of the open flows whose packets pass through one entry host.

The table does not route packets: later packets of a flow carry the tag of
their server. It counts the flows of each server, separately those that wait
for an answer, and finds first packets that were not answered in time.
"""

import collections

from vanilladrum.core import backend as backends
from vanilladrum.core import flow as flows

# Default size limit of a FlowTable, in flows.
MAX_FLOWS = 200_000
# Sequence numbers are compared modulo 2**32: those up to half of that ahead
# are newer.
_SEQUENCE_MASK = 0xFFFFFFFF
_NEWER_BELOW = 0x80000000


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
    :param busy: whether the server still has to answer: the first packet, or
        a request.
    :param request_sequence: sequence number of the packet that began the
        last request, None before it.
    :param request_acknowledged: acknowledgement number of that packet.
    :param request_sent: when that packet was forwarded, monotonic seconds.
    :param last_packet: when its last packet arrived, monotonic seconds.
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
        "busy",
        "request_sequence",
        "request_acknowledged",
        "request_sent",
        "last_packet",
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
        self.busy = True
        self.request_sequence: int | None = None
        self.request_acknowledged = 0
        self.request_sent = opened
        self.last_packet = opened

    def answers_request(self, packet: flows.Packet) -> bool:
        """Return whether a packet shows that the request was answered.

        The caller has then received bytes that the server sent after the
        request.
        """
        if not self.busy or self.request_sequence is None:
            return False
        return _is_newer(packet.acknowledged, self.request_acknowledged)

    def begins_request(self, packet: flows.Packet) -> bool:
        """Return whether a packet carries a new request.

        A retransmission, or the rest of a request in several packets, does
        not begin one.
        """
        if not packet.has_data:
            return False
        if self.request_sequence is None:
            return True
        return not self.busy and _is_newer(
            packet.sequence, self.request_sequence
        )


def _is_newer(sequence: int, known: int) -> bool:
    """Return whether a sequence number follows a known one."""
    return 0 < (sequence - known) & _SEQUENCE_MASK < _NEWER_BELOW


class UnansweredAttempt:
    """A first packet that was not answered within the time limit.

    :param key: source and destination address and port of the flow.
    :param server: the server that the packet was sent to.
    :param waited: seconds since the packet was sent.
    :param caused_ejection: whether this attempt caused the ejection of the
        server.
    """

    def __init__(
        self,
        key: bytes,
        server: backends.Backend,
        waited: float,
        caused_ejection: bool,
    ) -> None:
        self.key = key
        self.server = server
        self.waited = waited
        self.caused_ejection = caused_ejection


class FlowTable:
    """Flows by key, with the number of flows of each server.

    A closed flow stays in the table until its lifetime is over. Otherwise
    the packets that follow the last data would add it again as a new flow.

    :param max_flows: size limit; a flow that exceeds it replaces the oldest.
    :param flows: open and closed flows by key, oldest first.
    :param busy_counts: number of flows that wait for an answer, by server
        tag.
    :param idle_counts: number of other open flows, by server tag.
    """

    def __init__(self, max_flows: int = MAX_FLOWS) -> None:
        self.flows: dict[bytes, OpenFlow] = {}
        self.busy_counts: collections.Counter = collections.Counter()
        self.idle_counts: collections.Counter = collections.Counter()
        self.max_flows = max_flows
        # Time of sending, flow and server of each first packet sent, oldest
        # first. Entries of answered flows are removed later.
        self._unanswered: collections.deque = collections.deque()
        # Time of the next check and flow, in one queue for each lifetime, so
        # that each queue is sorted by time.
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
        :param lifetime: seconds without a packet after which the flow is
            removed, because the caller has given it up.
        """
        self._remove(key)
        while len(self.flows) >= self.max_flows:
            self._remove(next(iter(self.flows)))
        flow = OpenFlow(key, server, now)
        self.flows[key] = flow
        self.busy_counts[server.tag] += 1
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
        self.move(flow, server)
        flow.sent = now
        flow.last_packet = now
        self._unanswered.append((now, flow, server))

    def move(self, flow: OpenFlow, server: backends.Backend) -> None:
        """Record that a flow belongs to a server."""
        if server is flow.server:
            return
        if not flow.ended:
            self._count(flow, -1)
        flow.server = server
        if not flow.ended:
            self._count(flow, 1)

    def begin_request(
        self, flow: OpenFlow, packet: flows.Packet, now: float
    ) -> None:
        """Record that a packet with a new request is forwarded now.

        :param now: monotonic seconds.
        """
        flow.request_sequence = packet.sequence
        flow.request_acknowledged = packet.acknowledged
        flow.request_sent = now
        self._set_busy(flow, True)

    def end_request(self, flow: OpenFlow) -> None:
        """Record that the last request of a flow has been answered."""
        self._set_busy(flow, False)

    def find(self, key: bytes) -> OpenFlow | None:
        """Return the flow of a key, even if it has ended, or None."""
        return self.flows.get(key)

    def end(self, flow: OpenFlow) -> None:
        """Mark a flow as ended and subtract it from its server's count."""
        if not flow.ended:
            self._count(flow, -1)
            flow.ended = True

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
        """Remove the flows that had no packet for their lifetime.

        A flow is checked each time its lifetime has passed.
        """
        for lifetime, expiries in self._expiries.items():
            while expiries and expiries[0][0] <= now:
                checked: OpenFlow = expiries.popleft()[1]
                # A newer flow may have the same key.
                if self.flows.get(checked.key) is not checked:
                    continue
                if checked.ended or now - checked.last_packet >= lifetime:
                    self._remove(checked.key)
                    continue
                expiries.append((now + lifetime, checked))

    def _remove(self, key: bytes) -> None:
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.end(flow)

    def _set_busy(self, flow: OpenFlow, busy: bool) -> None:
        if flow.busy == busy or flow.ended:
            return
        self._count(flow, -1)
        flow.busy = busy
        self._count(flow, 1)

    def _count(self, flow: OpenFlow, change: int) -> None:
        counts = self.busy_counts if flow.busy else self.idle_counts
        counts[flow.server.tag] += change
        if counts[flow.server.tag] <= 0:
            del counts[flow.server.tag]
