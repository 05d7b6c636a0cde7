"""Resets of repeatable requests that wait for a dead server."""

import collections
from collections.abc import Container

from vanilladrum.core import backend as backends
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core import flow as flows
from vanilladrum.core import flowtable
from vanilladrum.core.overdue import overdue_requests


class RequestOverdue:
    """Event: a request has waited for its target latency.

    :param key: source and destination address and port of its flow.
    :param server: the server that it waits for.
    :param waited: seconds since it was forwarded.
    """

    def __init__(
        self, key: bytes, server: backends.Backend, waited: float
    ) -> None:
        self.key = key
        self.server = server
        self.waited = waited


class ServerPresumedDead:
    """Event: health checks show that a server is dead or cut off.

    :param server: the server.
    :param seconds: seconds since the first evidence.
    :param checks: health checks in a row that did not reach its host.
    :param resets: number of waiting requests that are reset.
    """

    def __init__(
        self,
        server: backends.Backend,
        seconds: float,
        checks: int,
        resets: int,
    ) -> None:
        self.server = server
        self.seconds = seconds
        self.checks = checks
        self.resets = resets


Event = RequestOverdue | ServerPresumedDead


class OverdueMonitor:
    """Has servers checked whose requests are overdue, and resets requests.

    :param directory: servers in use and departed ones.
    :param table: the flows that pass through this host.
    :param counters: counters of the host.
    :param requests: requests that wait for an answer.
    :param events: events for the log since :meth:`take_events` was called.
    """

    def __init__(
        self,
        directory: backends.ServerDirectory,
        table: flowtable.FlowTable,
        failure_detector: failure_detectors.FailureDetector,
        counters: collections.Counter,
    ) -> None:
        self.directory = directory
        self.table = table
        self.failure_detector = failure_detector
        self.unreached = failure_detector.unreached
        self.counters = counters
        self.requests = overdue_requests.OverdueRequests()
        self.events: list[Event] = []

    def restart(self, now: float) -> None:
        """Draw no conclusion from the time before now.

        The process was paused, so that answers may have been missed.

        :param now: monotonic seconds.
        """
        self.requests.restart(now)
        self.unreached.restart()

    def tick(
        self, now: float, checked_services: Container[str]
    ) -> list[flows.Action]:
        """Record overdue requests and reset those at dead servers.

        To be called when all packets that have arrived were processed.

        :param now: monotonic seconds.
        :param checked_services: services that have a health check.
        """
        self._remove_earlier_runs()
        for request in self.requests.pop_overdue(now):
            self.counters["overdue_requests"] += 1
            waited = now - request.sent
            self.events.append(
                RequestOverdue(request.flow.key, request.server, waited)
            )
            self._request_check(request.server, checked_services, now)
        for server in list(self.failure_detector.suspects.values()):
            if not self.requests.has_waiting(server):
                continue
            if self.failure_detector.is_presumed_dead(server, now):
                # Unanswered first packets are weaker evidence: the answer of
                # another server may be one to a packet that was sent before
                # this host was cut off.
                self._request_check(server, checked_services, now)
        actions: list[flows.Action] = []
        for record in self.unreached.records.values():
            if self.unreached.is_dead(record.server, now):
                actions.extend(self._reset_waiting(record.server, now))
        return actions

    def due_checks(self, now: float) -> list[backends.Backend]:
        """Return the servers whose health check is due.

        Departed servers are included while their flows are forwarded.

        :param now: monotonic seconds.
        """
        self._remove_earlier_runs()
        return [
            self.directory.find(server.tag) or server
            for server in self.unreached.due_checks(
                now, self.requests.has_overdue
            )
        ]

    def begin_check(self, server: backends.Backend, now: float) -> None:
        """Record that a health check has been started.

        :param now: monotonic seconds.
        """
        if self.unreached.begin_check(server, now):
            self.counters["overdue_checks"] += 1

    def next_due(self) -> float:
        """Return when :meth:`tick` or a check is due, in monotonic seconds.

        :returns: infinite if nothing is due.
        """
        return min(
            self.requests.next_due(),
            self.unreached.next_due(self.requests.has_overdue),
        )

    def needs_input(self, now: float) -> bool:
        """Return whether :meth:`tick` may draw conclusions from silence.

        All packets that have arrived should then be processed before.

        :param now: monotonic seconds.
        """
        return bool(self.unreached.records) or self.requests.next_due() <= now

    def discard(self, key: bytes) -> None:
        """Stop tracking the request of a flow whose caller gets a reset."""
        flow = self.table.find(key)
        if flow is not None:
            self.requests.discard(flow)

    def take_events(self) -> list[Event]:
        """Return the events since the last call, and forget them."""
        events, self.events = self.events, []
        return events

    def _remove_earlier_runs(self) -> None:
        """Remove what is known of servers that were started again."""
        for record in list(self.unreached.records.values()):
            if not self._is_current_run(record.server):
                self.unreached.remove(record.server)

    def _is_current_run(self, server: backends.Backend) -> bool:
        known = self.directory.find(server.tag)
        return known is not None and known.started == server.started

    def _request_check(
        self,
        server: backends.Backend,
        checked_services: Container[str],
        now: float,
    ) -> None:
        """Have a server checked, unless it has no health check.

        A check of a server that was started again under its name says nothing
        of the run that the request was sent to.
        """
        if server.service in checked_services and self._is_current_run(server):
            self.unreached.record_overdue(server, now)

    def _reset_waiting(
        self, server: backends.Backend, now: float
    ) -> list[flows.Action]:
        """End the flows whose requests wait for a dead server."""
        waiting = self.requests.take(server)
        record = self.unreached.find(server)
        if record is not None and not record.reported:
            record.reported = True
            seconds = now - record.unreached_since
            self.events.append(
                ServerPresumedDead(
                    server, seconds, record.unreached, len(waiting)
                )
            )
        actions: list[flows.Action] = []
        for request in waiting:
            flow = request.flow
            self.table.end(flow)
            actions.append(
                flows.ResetFlow(
                    flow.key, flow.request_acknowledged, "server_dead"
                )
            )
        return actions
