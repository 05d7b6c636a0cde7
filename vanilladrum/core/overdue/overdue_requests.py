"""Requests on open flows that wait longer than their target latency."""

import collections

from vanilladrum.core import backend as backends
from vanilladrum.core import flowtable
from vanilladrum.core import routes

# Seconds that a caller must have left after the target latency. With less, an
# answer to its next attempt would come too late as well.
MIN_RETRY_SECONDS = 1.0
# Limit of the tracked requests, about 15 MB. Further requests wait as if their
# route had no target latency.
MAX_REQUESTS = 50_000


def run_key(server: backends.Backend) -> tuple[int, int]:
    """Return the tag and start time of a server, which identify one run."""
    return server.tag, server.started


def is_tracked(route: routes.Route) -> bool:
    """Return whether waiting requests of a route are tracked.

    >>> shares = (routes.Share("a"),)
    >>> is_tracked(routes.Route("r", shares, 1.6, True, 0.6))
    True
    >>> is_tracked(routes.Route("r", shares, 1.5, True, 0.6))
    False
    """
    if not route.repeatable or route.target_latency <= 0:
        return False
    return route.timeout >= route.target_latency + MIN_RETRY_SECONDS


class WaitingRequest:
    """A request that was forwarded to a server.

    :param flow: the flow that carries it.
    :param server: the server that it was forwarded to.
    :param sent: when it was forwarded, monotonic seconds.
    :param sequence: sequence number of the packet that began it.
    :param overdue: whether it has waited for its target latency.
    """

    __slots__ = ("flow", "server", "sent", "sequence", "overdue")

    def __init__(self, flow: flowtable.OpenFlow) -> None:
        self.flow = flow
        self.server = flow.server
        self.sent = flow.request_sent
        self.sequence = flow.request_sequence
        self.overdue = False

    @property
    def is_waiting(self) -> bool:
        """Return whether it is unanswered and still at the same server."""
        flow = self.flow
        return (
            flow.busy
            and not flow.ended
            and flow.request_sequence == self.sequence
            and flow.request_sent == self.sent
            and run_key(flow.server) == run_key(self.server)
        )


class OverdueRequests:
    """Tracked requests, in the order in which they fall due.

    A request whose answer is noticed stays in the queues until its time has
    come, so that an answer costs nothing here.

    :param waiting: tracked requests by run of the server and key of the flow;
        may contain requests that wait no longer.
    """

    def __init__(self) -> None:
        self.waiting: dict[tuple[int, int], dict[bytes, WaitingRequest]] = {}
        self._count = 0
        # One queue for each target latency and each remaining time, so that
        # each queue is sorted by time.
        self._due: dict[float, collections.deque] = {}
        self._expiries: dict[float, collections.deque] = {}
        # Waiting times of earlier requests are counted from this time.
        self._counted_from = float("-inf")

    def begin(self, flow: flowtable.OpenFlow, route: routes.Route) -> None:
        """Track the request that a flow has just begun, if its route asks.

        :param route: route of the flow.
        """
        if not is_tracked(route) or self._count >= MAX_REQUESTS:
            return
        request = WaitingRequest(flow)
        at_server = self.waiting.setdefault(run_key(flow.server), {})
        at_server[flow.key] = request
        self._count += 1
        queue = self._due.setdefault(route.target_latency, collections.deque())
        queue.append((request, route.timeout))

    def restart(self, now: float) -> None:
        """Count all waiting times from now, after a pause of the process."""
        self._counted_from = now

    def pop_overdue(self, now: float) -> list[WaitingRequest]:
        """Return the requests that have fallen due since the last call.

        :param now: monotonic seconds.
        """
        overdue = []
        for target in list(self._due):
            while self._due_at(target) <= now:
                request, timeout = self._due[target].popleft()
                if not self._is_current(request):
                    self._forget(request)
                    continue
                request.overdue = True
                overdue.append(request)
                queue = self._expiries.setdefault(timeout, collections.deque())
                queue.append(request)
            if not self._due[target]:
                del self._due[target]
        self._expire(now)
        return overdue

    def next_due(self) -> float:
        """Return when the next request falls due, infinite if none does."""
        return min(map(self._due_at, self._due), default=float("inf"))

    def has_waiting(self, server: backends.Backend) -> bool:
        """Return whether a tracked request waits for a server."""
        at_server = self.waiting.get(run_key(server), {})
        return any(each.is_waiting for each in at_server.values())

    def has_overdue(self, server: backends.Backend) -> bool:
        """Return whether an overdue request waits for a server."""
        at_server = self.waiting.get(run_key(server), {})
        return any(
            each.overdue and each.is_waiting for each in at_server.values()
        )

    def take(self, server: backends.Backend) -> list[WaitingRequest]:
        """Remove and return the tracked requests that wait for a server."""
        at_server = self.waiting.pop(run_key(server), {})
        return [each for each in at_server.values() if each.is_waiting]

    def discard(self, flow: flowtable.OpenFlow) -> None:
        """Stop tracking the request of a flow whose caller gets a reset."""
        at_server = self.waiting.get(run_key(flow.server), {})
        at_server.pop(flow.key, None)

    def _due_at(self, target: float) -> float:
        """Return when the first request of a queue falls due."""
        queue = self._due[target]
        if not queue:
            return float("inf")
        return max(queue[0][0].sent, self._counted_from) + target

    def _is_current(self, request: WaitingRequest) -> bool:
        at_server = self.waiting.get(run_key(request.server), {})
        return at_server.get(request.flow.key) is request and (
            request.is_waiting
        )

    def _expire(self, now: float) -> None:
        """Forget the overdue requests that their callers have given up."""
        for timeout, queue in self._expiries.items():
            while queue and queue[0].sent + timeout <= now:
                self._forget(queue.popleft())

    def _forget(self, request: WaitingRequest) -> None:
        """Remove a request that has left the queues."""
        self._count -= 1
        key = run_key(request.server)
        at_server = self.waiting.get(key, {})
        if at_server.get(request.flow.key) is request:
            del at_server[request.flow.key]
        if not at_server:
            self.waiting.pop(key, None)
