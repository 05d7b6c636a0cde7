"""What an entry host learns from the callers' packets of open flows.

A server answers its callers directly, so that its answers are noticed only by
the packets that callers send afterwards.
"""

from vanilladrum.core import backend as backends
from vanilladrum.core import buckets
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core import flow as flows
from vanilladrum.core import flowtable
from vanilladrum.core.overdue import overdue_requests
from vanilladrum.core import routes
from vanilladrum.core import speed_estimator as speed_estimators


class FlowObserver:
    """Updates flows, health and speed from later packets of flows.

    :param table: the flows that pass through this host.
    :param waiting_requests: receives the requests that callers begin.
    :param answer_times: seconds from sending a first packet to the caller's
        next packet.
    :param flow_durations: seconds from a first packet to the end of its flow,
        by service.
    :param response_times: seconds from a request to the first data of its
        answer, by service.
    """

    def __init__(
        self,
        table: flowtable.FlowTable,
        failure_detector: failure_detectors.FailureDetector,
        speed_estimator: speed_estimators.SpeedEstimator,
        waiting_requests: overdue_requests.OverdueRequests,
    ) -> None:
        self.table = table
        self.failure_detector = failure_detector
        self.speed_estimator = speed_estimator
        self.waiting_requests = waiting_requests
        self.answer_times = buckets.Histogram()
        self.flow_durations: dict[str, buckets.Histogram] = {}
        self.response_times: dict[str, buckets.Histogram] = {}

    def observe(
        self,
        packet: flows.Packet,
        server: backends.Backend,
        route: routes.Route,
        now: float,
    ) -> None:
        """Process a packet that is not the first one of its flow.

        The first such packet shows that the server has answered the caller,
        and so does a packet that acknowledges data sent after a request.

        :param server: the server that the packet's tag names.
        :param route: route of the flow; after its timeout without a packet
            the flow is removed from the table.
        :param now: monotonic seconds.
        """
        flow = self.table.find(packet.key)
        if flow is None:
            # The first packet passed through another host, or through this
            # one before a restart.
            flow = self.table.add(packet.key, server, now, route.timeout)
            flow.answered = True
            flow.first_packet_missed = True
        flow.last_packet = now
        if flow.ended:
            return
        if not flow.answered:
            self._record_first_answer(flow, server, now)
        self.table.move(flow, server)
        if flow.answers_request(packet):
            self._record_response(flow, now)
        if flow.begins_request(packet):
            self.table.begin_request(flow, packet, now)
            self.waiting_requests.begin(flow, route)
        elif flow.first_packet_missed and flow.request_sequence is None:
            self.table.end_request(flow)
        if packet.closes:
            self._end_flow(flow, now)

    def _record_first_answer(
        self, flow: flowtable.OpenFlow, server: backends.Backend, now: float
    ) -> None:
        """Record that a server has answered the first packet of a flow.

        The time is measured only if that server was the last one to which
        the packet was sent.
        """
        flow.answered = True
        self.failure_detector.record_answer(server, now, flow.opened)
        if flow.server is server:
            self.failure_detector.round_trip.add(now - flow.sent)
            self.answer_times.add(now - flow.sent)

    def _record_response(self, flow: flowtable.OpenFlow, now: float) -> None:
        """Record that the server has answered the request of a flow."""
        server = flow.server
        seconds = now - flow.request_sent
        self.table.end_request(flow)
        self.failure_detector.record_answer(server, now, flow.request_sent)
        self.speed_estimator.record_response_time(server, seconds, now)
        _add_duration(self.response_times, flow, seconds)

    def _end_flow(self, flow: flowtable.OpenFlow, now: float) -> None:
        """Record that the caller has closed a flow."""
        self.table.end(flow)
        if not flow.first_packet_missed:
            _add_duration(self.flow_durations, flow, now - flow.opened)


def _add_duration(
    histograms: dict[str, buckets.Histogram],
    flow: flowtable.OpenFlow,
    seconds: float,
) -> None:
    """Add a duration to the histogram of a flow's service."""
    service = flow.server.service
    if service not in histograms:
        histograms[service] = buckets.Histogram()
    histograms[service].add(seconds)
