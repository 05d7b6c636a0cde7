"""Forwarding of the packets that open flows."""

import collections
import random

from vanilladrum.core import backend as backends
from vanilladrum.core import balance
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core import flow as flows
from vanilladrum.core import flowtable
from vanilladrum.core import routes
from vanilladrum.core.warmup import budget as budgets


class FlowOpener:
    """Selects the server of a new flow and of repeated first packets.

    :param directory: servers in use.
    :param table: the flows that pass through this host.
    :param balancer: chooses among the servers of a service.
    :param counters: counters of the host.
    :param rng: source of randomness.
    :param warm_up: limit of the first packets for cold servers, None if there
        is none.
    """

    def __init__(
        self,
        directory: backends.ServerDirectory,
        table: flowtable.FlowTable,
        failure_detector: failure_detectors.FailureDetector,
        balancer: balance.Balancer,
        counters: collections.Counter,
        rng: random.Random,
    ) -> None:
        self.directory = directory
        self.table = table
        self.failure_detector = failure_detector
        self.balancer = balancer
        self.counters = counters
        self.rng = rng
        self.warm_up: budgets.WarmUpBudget | None = None

    def open(
        self, packet: flows.Packet, route: routes.Route, now: float
    ) -> flows.Decision:
        """Decide where a packet that opens a flow goes.

        :param route: route of the packet's destination.
        :param now: monotonic seconds.
        """
        flow = self.table.find(packet.key)
        if flow is None or flow.ended:
            return self.open_new_flow(packet, route, now)
        same_server = self.server_for_copy(flow, packet, route)
        if same_server is not None and self._may_repeat(same_server, now):
            self.table.resend(flow, same_server, now)
            return self._forward(same_server, now)
        if flow.answered:
            # A late copy of the packet that opened the flow.
            return flows.Ignore("late_first_packet")
        if same_server is not None:
            # Its server has answered others, so the flow may be open by now
            # and is not reset.
            return flows.Ignore("warming_up")
        service = self.service_for_copy(flow, route)
        server = self.choose(service, now, excluded=flow.server)
        if server is None:
            return self._refuse_copy(packet, self.refusal_reason(service))
        self.counters["moved_first_packets"] += 1
        self.table.resend(flow, server, now)
        return self._forward(server, now)

    def open_new_flow(
        self, packet: flows.Packet, route: routes.Route, now: float
    ) -> flows.Decision:
        """Choose the server of a new flow and add the flow to the table."""
        service = route.choose(self.rng)
        server = self.choose(service, now)
        if server is None:
            return flows.Reset(self.refusal_reason(service))
        self.table.add(packet.key, server, now, route.timeout)
        return self._forward(server, now)

    def choose(
        self,
        service: str,
        now: float,
        excluded: backends.Backend | None = None,
    ) -> backends.Backend | None:
        """Return the server for a new flow, None if the service has none."""
        pool = self.directory.pool(service)
        return self.balancer.choose_from_pool(pool, now, excluded)

    def refusal_reason(self, service: str) -> str:
        """Return why a service has no server for a first packet."""
        if self.directory.is_evacuated(service):
            return "evacuated"
        if self.directory.pool(service).servers:
            return "warming_up"
        return "no_server"

    def server_for_copy(
        self,
        flow: flowtable.OpenFlow,
        packet: flows.Packet,
        route: routes.Route,
    ) -> backends.Backend | None:
        """Return the server that must get a repeated first packet again.

        It must go to the same server, because two servers that answer the
        same caller would each put their own tag into the flow. Another server
        is chosen if the caller itself has repeated the packet and the first
        server has answered no flow since the packet was last sent to it, or
        if the first server no longer accepts new flows of this route.

        :returns: None if another server should be chosen.
        """
        server = self.directory.find(flow.server.tag)
        if server is None:
            return None
        if server not in self.directory.pool(server.service):
            return None
        if not route.gives_new_flows(server.service):
            return None
        has_answered = (
            self.failure_detector.server_record(server).last_answer
            >= flow.sent
        )
        return server if has_answered or not packet.copies else None

    def service_for_copy(
        self, flow: flowtable.OpenFlow, route: routes.Route
    ) -> str:
        """Return the service for a first packet that is sent elsewhere.

        It stays the one of the first attempt only while the route in force
        still sends new flows there.
        """
        if route.gives_new_flows(flow.server.service):
            return flow.server.service
        return route.choose(self.rng)

    def _forward(self, server: backends.Backend, now: float) -> flows.Decision:
        """Return the decision to send a first packet, and record it."""
        if self.warm_up:
            self.warm_up.record(server, now)
        return flows.Forward(server)

    def _may_repeat(self, server: backends.Backend, now: float) -> bool:
        """Return whether a copy of a first packet may go to its server.

        A cold server without budget gets it only if its service names no rate.
        """
        if not self.warm_up or self.warm_up.may_send(server, now):
            return True
        return not self.warm_up.has_rate(server.service)

    def _refuse_copy(
        self, packet: flows.Packet, reason: str
    ) -> flows.Decision:
        """Return the decision on a copy for which there is no server.

        The first packet was sent to a server that does not accept new flows
        any more. A copy that the caller did not send is dropped, because the
        answer to the first packet may be on its way.
        """
        if packet.copies or reason == "no_server":
            return flows.Reset(reason)
        return flows.Ignore(reason)
