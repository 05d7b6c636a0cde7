"""First packets that may be hedged, and the flows that were."""

import collections
from collections.abc import Callable

from vanilladrum.core import backend as backends
from vanilladrum.core import flow as flows
from vanilladrum.core import flowtable

# Limit of the first packets that are kept, so that a flood of them does not
# fill the memory. Those beyond it are not hedged.
MAX_OPENINGS = 10_000
# Interval between two checks whether a hedged flow is still in the table, in
# seconds.
FLOW_CHECK_SECONDS = 5.0


class Opening:
    """A flow whose first packet may be hedged.

    :param packet: the first packet, None once no hedge is possible any more.
    :param flow: the flow in the table.
    :param server: the server that received the packet.
    :param sent: when it was sent there, monotonic seconds.
    """

    __slots__ = ("packet", "flow", "server", "sent")

    def __init__(
        self,
        packet: flows.Packet,
        flow: flowtable.OpenFlow,
        sent: float,
    ) -> None:
        self.packet: flows.Packet | None = packet
        self.flow = flow
        self.server = flow.server
        self.sent = sent


class Openings:
    """First packets that wait for an answer or a hedge."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, Opening] = {}
        # Openings of each service, oldest first. Those without a packet are
        # removed when they reach the front.
        self._queues: dict[str, collections.deque[Opening]] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, opening: Opening) -> None:
        """Add an opening, which replaces one with the same key."""
        key = opening.flow.key
        self.remove(key)
        if len(self._by_key) >= MAX_OPENINGS:
            return
        self._by_key[key] = opening
        service = opening.server.service
        self._queues.setdefault(service, collections.deque()).append(opening)

    def remove(self, key: bytes) -> None:
        """Remove the opening of a flow; one that is unknown is ignored."""
        opening = self._by_key.pop(key, None)
        if opening is not None:
            opening.packet = None

    def clear(self) -> None:
        """Remove all openings."""
        self._by_key.clear()
        self._queues.clear()

    def pop_due(
        self, now: float, wait: Callable[[str], float]
    ) -> list[tuple[Opening, flows.Packet]]:
        """Remove and return the openings that have waited long enough.

        :param now: monotonic seconds.
        :param wait: returns the seconds to wait for a service's openings.
        :returns: openings with their first packets.
        """
        due = []
        for service, queue in self._queues.items():
            sent_until = now - wait(service)
            while queue and (
                queue[0].packet is None or queue[0].sent <= sent_until
            ):
                opening = queue.popleft()
                packet = opening.packet
                if packet is None:
                    continue
                self.remove(opening.flow.key)
                due.append((opening, packet))
        return due

    def next_due(self, wait: Callable[[str], float]) -> float:
        """Return when the first opening has waited long enough.

        :param wait: see :meth:`pop_due`.
        :returns: monotonic seconds, infinite if no opening waits.
        """
        due = float("inf")
        for service, queue in self._queues.items():
            while queue and queue[0].packet is None:
                queue.popleft()
            if queue:
                due = min(due, queue[0].sent + wait(service))
        return due


class HedgedFlow:
    """A flow whose first packet was sent to a second server by this host.

    :param flow: the flow in the table.
    :param second: the server that received the hedge.
    :param tag: tag of the server that the caller's first later packet has
        named, 0 before that packet.
    """

    __slots__ = ("flow", "second", "tag")

    def __init__(
        self, flow: flowtable.OpenFlow, second: backends.Backend
    ) -> None:
        self.flow = flow
        self.second = second
        self.tag = 0


class HedgedFlows:
    """Hedged flows for as long as the table holds them.

    :param table: the flows that pass through this host.
    """

    def __init__(self, table: flowtable.FlowTable) -> None:
        self.table = table
        self._by_key: dict[bytes, HedgedFlow] = {}
        # Time of the next check and flow, sorted by time.
        self._checks: collections.deque = collections.deque()

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, hedged: HedgedFlow, now: float) -> None:
        """Add a flow that is hedged now.

        :param now: monotonic seconds.
        """
        self._by_key[hedged.flow.key] = hedged
        self._checks.append((now + FLOW_CHECK_SECONDS, hedged))

    def find(self, key: bytes) -> HedgedFlow | None:
        """Return the hedged flow of a key, or None."""
        return self._by_key.get(key)

    def remove(self, key: bytes) -> None:
        """Remove a flow; one that was not hedged is ignored."""
        self._by_key.pop(key, None)

    def expire(self, now: float) -> None:
        """Remove the flows that the table no longer holds.

        Each flow is checked every FLOW_CHECK_SECONDS.

        :param now: monotonic seconds.
        """
        while self._checks and self._checks[0][0] <= now:
            hedged: HedgedFlow = self._checks.popleft()[1]
            key = hedged.flow.key
            # A newer flow may have the same key.
            if self._by_key.get(key) is not hedged:
                continue
            if self.table.find(key) is not hedged.flow:
                self.remove(key)
                continue
            self._checks.append((now + FLOW_CHECK_SECONDS, hedged))
