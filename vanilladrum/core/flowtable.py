"""Open flows as one entry host sees them.

Nothing here decides where a packet of an open flow goes; the packet says
that itself. The table tells how many flows each server has and which first
packets were not answered in time.
"""

import collections

from vanilladrum.core import backend as backends

MAX_FLOWS = 200_000


class OpenFlow:
    """A flow whose packets pass through this host.

    :param key: its four addresses and ports.
    :param opened: when its first packet came, monotonic seconds.
    :param sent: when that packet was last sent to a server.
    :param answered: whether the caller has heard from the server.
    :param adopted: whether its first packet went through another host.
    :param named: whether the request in it has been logged.
    :param ended: whether the caller has closed it or given up.
    """

    __slots__ = (
        "key",
        "server",
        "opened",
        "sent",
        "answered",
        "adopted",
        "named",
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
        self.adopted = False
        self.named = False
        self.ended = False


class FlowTable:
    """The open flows, and how many each server has.

    A flow that its caller has closed stays known until its lifetime is over:
    packets that come after the last data must not open it anew.

    :param open: number of flows by the server's tag.
    """

    def __init__(self, max_flows: int = MAX_FLOWS) -> None:
        self.flows: dict[bytes, OpenFlow] = {}
        self.open: collections.Counter = collections.Counter()
        self.max_flows = max_flows
        self._waiting: collections.deque = collections.deque()
        self._ends: dict[float, collections.deque] = {}

    def begin(
        self,
        key: bytes,
        server: backends.Backend,
        now: float,
        lifetime: float,
    ) -> OpenFlow:
        """Note a flow that begins at a server.

        :param lifetime: seconds after which its caller has given up.
        """
        self._drop(key)
        while len(self.flows) >= self.max_flows:
            self._drop(next(iter(self.flows)))
        flow = OpenFlow(key, server, now)
        self.flows[key] = flow
        self.open[server.tag] += 1
        self._waiting.append((now, flow, server))
        ends = self._ends.setdefault(lifetime, collections.deque())
        ends.append((now + lifetime, flow))
        return flow

    def move(
        self, flow: OpenFlow, server: backends.Backend, now: float
    ) -> None:
        """Send the first packet of a flow again, maybe elsewhere."""
        if server is not flow.server:
            self._release(flow.server)
            self.open[server.tag] += 1
            flow.server = server
        flow.sent = now
        self._waiting.append((now, flow, server))

    def find(self, key: bytes) -> OpenFlow | None:
        """Return a flow, maybe one that has ended, or None."""
        return self.flows.get(key)

    def end(self, flow: OpenFlow) -> None:
        """Count a flow no more."""
        if not flow.ended:
            flow.ended = True
            self._release(flow.server)

    def oldest_unanswered(self) -> float | None:
        """Return when the oldest first packet was sent that still waits."""
        while self._waiting:
            sent, flow, _ = self._waiting[0]
            if not flow.answered and not flow.ended:
                return sent
            self._waiting.popleft()
        return None

    def overdue(
        self, sent_before: float
    ) -> list[tuple[OpenFlow, backends.Backend, float]]:
        """Return the first packets without an answer, each once.

        :param sent_before: monotonic seconds.
        :returns: flow, server that was asked, and when.
        """
        found = []
        while self._waiting and self._waiting[0][0] <= sent_before:
            sent, flow, server = self._waiting.popleft()
            if not flow.answered and not flow.ended:
                found.append((flow, server, sent))
        return found

    def excuse(self) -> None:
        """Wait for no answer to the first packets sent so far."""
        self._waiting.clear()

    def expire(self, now: float) -> None:
        """Forget the flows whose callers have given up."""
        for ends in self._ends.values():
            while ends and ends[0][0] <= now:
                due: OpenFlow = ends.popleft()[1]
                if self.flows.get(due.key) is due:
                    self._drop(due.key)

    def _drop(self, key: bytes) -> None:
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.end(flow)

    def _release(self, server: backends.Backend) -> None:
        self.open[server.tag] -= 1
        if self.open[server.tag] <= 0:
            del self.open[server.tag]
