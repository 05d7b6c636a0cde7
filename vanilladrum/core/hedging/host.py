"""Entry host that hedges first packets.

A class of its own, so that a host without hedging runs the same code as
before, with the same cost of a packet.
"""

import random

from vanilladrum.core import flow as flows
from vanilladrum.core import flowhost
from vanilladrum.core import flowtable
from vanilladrum.core.hedging import openings as opening_lists
from vanilladrum.core.hedging import policy as policies
from vanilladrum.core.hedging import settings as hedge_settings
from vanilladrum.core import neighbours as neighbour_tables
from vanilladrum.core import periodic

COUNTERS = (
    "hedges",
    "hedges_won",
    "hedges_denied_budget",
    "hedges_denied_scarce",
)


class HedgingFlowHost(flowhost.FlowHost):
    """Entry host that sends a slow first packet to a second server.

    For the other parameters see :class:`vanilladrum.core.flowhost.FlowHost`.

    :param settings: what the operators have set.
    """

    def __init__(
        self,
        data_centre: str,
        neighbours: neighbour_tables.Neighbours,
        rng: random.Random,
        departed_seconds: float,
        settings: hedge_settings.HedgeSettings,
    ) -> None:
        super().__init__(data_centre, neighbours, rng, departed_seconds)
        self.hedge_policy = policies.HedgePolicy(
            settings,
            self.directory,
            self.failure_detector,
            self.balancer,
            self.counters,
            rng,
        )
        self.openings = opening_lists.Openings()
        self.hedged_flows = opening_lists.HedgedFlows(self.table)
        for name in COUNTERS:
            self.counters[name] = 0

    @property
    def awaits_answers(self) -> bool:
        """Return whether a packet that has arrived may prevent a hedge."""
        return super().awaits_answers or len(self.openings) > 0

    def receive(self, packet: flows.Packet, now: float) -> flows.Decision:
        """Decide what to do with a packet; see the base class.

        The tag of a packet is replaced if the flow was opened at another
        server than the one that the packet names.
        """
        if packet.opens:
            return self._receive_first_packet(packet, now)
        hedged = self.hedged_flows.find(packet.key)
        if hedged is not None:
            self._set_opened_server(hedged, packet)
        flow = self.table.find(packet.key)
        if flow is None or flow.answered:
            return super().receive(packet, now)
        first_tag = flow.server.tag
        decision = super().receive(packet, now)
        if flow.answered:
            self.openings.remove(packet.key)
            if flow.sent == flow.opened and flow.server.tag == first_tag:
                self.hedge_policy.record_opening(
                    flow.server.service, now - flow.opened
                )
        return decision

    def tick(
        self, now: float, input_read: bool = True
    ) -> list[flowtable.UnansweredAttempt]:
        """Do the work of the base class, then send the hedges that are due."""
        if now - self.last_tick > flowhost.PROCESS_PAUSE_SECONDS:
            # Answers may have been lost during the pause.
            self.openings.clear()
        attempts = super().tick(now, input_read)
        for attempt in attempts:
            self.hedge_policy.record_unanswered(now - attempt.waited, now)

        def send_hedges() -> None:
            if input_read:
                self._send_hedges(now)

        periodic.run_each(
            (send_hedges, lambda: self.hedged_flows.expire(now)),
            self.on_error,
        )
        return attempts

    def next_tick_at(self, now: float) -> float:
        """Return when :meth:`tick` has to be called next; see the base."""
        due = self.openings.next_due(self.hedge_policy.wait)
        return min(super().next_tick_at(now), due)

    def _receive_first_packet(
        self, packet: flows.Packet, now: float
    ) -> flows.Decision:
        """Forward a first packet, and keep it if it may be hedged."""
        known = self.table.find(packet.key)
        decision = super().receive(packet, now)
        if not isinstance(decision, flows.Forward):
            return decision
        self.hedge_policy.record_sent(now)
        if packet.copies:
            # The caller has repeated the packet itself, perhaps at another
            # host; a hedge would reach a third server.
            self.openings.remove(packet.key)
        flow = self.table.find(packet.key)
        if flow is None or flow is known:
            return decision
        self.hedged_flows.remove(packet.key)
        self.openings.remove(packet.key)
        route = self.configuration.routes[packet.service]
        if packet.copies or not self.hedge_policy.covers(
            route, decision.server.service
        ):
            return decision
        self.hedge_policy.budget.record_first_packet(now)
        self.openings.add(opening_lists.Opening(packet, flow, now))
        return decision

    def _set_opened_server(
        self, hedged: opening_lists.HedgedFlow, packet: flows.Packet
    ) -> None:
        """Make a packet name the server at which its flow was opened.

        Both servers may have answered. The flow is open at the one whose
        answer reached the caller first, but the caller's packets carry the
        tag of the answer that came last.
        """
        if not hedged.tag:
            server = self.directory.find(packet.tag)
            allowed = self.allowed_services.get(packet.service, frozenset())
            if server is None or server.service not in allowed:
                return
            hedged.tag = packet.tag
            if packet.tag == hedged.second.tag:
                self.counters["hedges_won"] += 1
        packet.tag = hedged.tag

    def _send_hedges(self, now: float) -> None:
        """Hedge the openings that have waited long enough, if possible."""
        due = self.openings.pop_due(now, self.hedge_policy.wait)
        for opening, packet in due:
            flow = opening.flow
            first = opening.server
            route = self.configuration.routes.get(packet.service)
            if flow.ended or route is None or flow.sent != opening.sent:
                # Ended, or the packet was sent again meanwhile.
                continue
            if not self.hedge_policy.covers(route, first.service):
                continue
            limit = self.hedge_policy.limit(first.service)
            second = self.hedge_policy.choose_server(first, opening.sent, now)
            if second is None or limit is None:
                continue
            self.hedge_policy.record_sent(now)
            self.table.resend(flow, second, now)
            self.hedged_flows.add(opening_lists.HedgedFlow(flow, second), now)
            self.counters["hedges"] += 1
            self.actions.append(
                flows.Hedge(packet, second, first, now - opening.sent, limit)
            )
