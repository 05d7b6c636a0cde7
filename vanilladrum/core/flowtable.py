"""Table of the open flows whose packets pass through one entry host.

The table does not route packets: later packets of a flow carry the tag of
their server. It counts the open flows of each server and finds first packets
that were not answered in time.
"""

import collections

from vanilladrum.core import backend as backends

MAX_FLOWS = 200_000


class OpenFlow:
    """A flow whose packets pass through this host.

    :param key: source and destination address and port, 12 bytes.
    :param server: the backend server of the flow.
    :param opened: when its first packet arrived, monotonic seconds.
    :param sent: when that packet was last sent to a server, monotonic
        seconds.
    :param answered: whether the caller has received an answer.
    :param first_packet_missed: whether the first packet was not seen by this
        process.
    :param request_logged: whether its request has been logged.
    :param ended: whether the caller has closed the flow or its lifetime is
        over.
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

    :param max_flows: number of flows above which the oldest is removed.
    :param open_counts: number of open flows by server tag.
    """

    def __init__(self, max_flows: int = MAX_FLOWS) -> None:
        self.flows: dict[bytes, OpenFlow] = {}
        self.open_counts: collections.Counter = collections.Counter()
        self.max_flows = max_flows
        self._unanswered: collections.deque = collections.deque()
        self._expiries: dict[float, collections.deque] = {}

    def add(
        self,
        key: bytes,
        server: backends.Backend,
        now: float,
        lifetime: float,
    ) -> OpenFlow:
        """Add a flow and count it for its server.

        :param now: monotonic seconds.
        :param lifetime: seconds after which the caller gives up the flow.
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
        """Record that a first packet was sent again, to any server."""
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
        """Mark a flow as ended and stop counting it for its server."""
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
        self, sent_before: float
    ) -> list[tuple[OpenFlow, backends.Backend, float]]:
        """Remove and return unanswered first packets up to a time.

        :param sent_before: monotonic seconds.
        :returns: flow, server that the packet was sent to, and time of
            sending.
        """
        unanswered = []
        while self._unanswered and self._unanswered[0][0] <= sent_before:
            sent, flow, server = self._unanswered.popleft()
            if not flow.answered and not flow.ended:
                unanswered.append((flow, server, sent))
        return unanswered

    def clear_unanswered(self) -> None:
        """Stop waiting for answers to the first packets sent so far."""
        self._unanswered.clear()

    def expire(self, now: float) -> None:
        """Remove the flows whose lifetime is over."""
        for expiries in self._expiries.values():
            while expiries and expiries[0][0] <= now:
                due: OpenFlow = expiries.popleft()[1]
                if self.flows.get(due.key) is due:
                    self._remove(due.key)

    def _remove(self, key: bytes) -> None:
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.end(flow)

    def _decrement(self, server: backends.Backend) -> None:
        self.open_counts[server.tag] -= 1
        if self.open_counts[server.tag] <= 0:
            del self.open_counts[server.tag]
