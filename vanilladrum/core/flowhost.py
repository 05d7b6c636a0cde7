"""Forwarding decisions of an entry host for packets of flows.

The first packet of a flow is assigned to a backend server. Later packets
carry that server's tag, so any entry host can forward them without shared
state.
"""

import collections
from collections.abc import Callable, Iterable
import random

from vanilladrum.core import backend as backends
from vanilladrum.core import balance
from vanilladrum.core import digest as digests
from vanilladrum.core.evacuation import rule as evacuation_rules
from vanilladrum.core import failure_detector
from vanilladrum.core import flow as flows
from vanilladrum.core import flow_observer
from vanilladrum.core import flowtable
from vanilladrum.core import neighbours as neighbour_tables
from vanilladrum.core.overdue import monitor as overdue_monitors
from vanilladrum.core import periodic
from vanilladrum.core import position as positions
from vanilladrum.core import routes
from vanilladrum.core.selection import opener as openers
from vanilladrum.core import serverstate
from vanilladrum.core import speed_estimator
from vanilladrum.core.warmup import budget as budgets

# Longest interval between two calls of FlowHost.tick, in seconds: while first
# packets are unanswered or servers change, and otherwise.
BUSY_TICK_INTERVAL_SECONDS = 0.1
IDLE_TICK_INTERVAL_SECONDS = 0.25
# A longer interval between two ticks, in seconds, means that this process was
# suspended or starved of CPU.
PROCESS_PAUSE_SECONDS = 0.35
# Load of an open flow that carries no request now, as a fraction of a
# request: callers with long flows pause between requests.
IDLE_FLOW_LOAD = 0.03
# How long a server stays in use after its entry disappeared from the store,
# in seconds. By then other hosts have reported whether the store was
# unavailable, and a dead server has been marked as suspect.
REMOVAL_DELAY_SECONDS = 0.3

# Called with the name of a data centre and the time in monotonic seconds.
ReturnHandler = Callable[[str, float], None]


class FlowHost:
    """Decides where packets go, without doing I/O or reading a clock.

    :param data_centre: name of this host's data centre.
    :param neighbours: state of the other entry hosts.
    :param rng: source of randomness.
    :param departed_seconds: seconds for which open flows of departed servers
        are still forwarded.
    :param on_error: called with the exception of a part of :meth:`tick` that
        fails; raises it again by default.
    :param on_data_centre_returned: called with the name of a data centre
        whose evacuation has ended and the time, in monotonic seconds.
    """

    def __init__(
        self,
        data_centre: str,
        neighbours: neighbour_tables.Neighbours,
        rng: random.Random,
        departed_seconds: float = 60.0,
    ) -> None:
        self.data_centre = data_centre
        self.neighbours = neighbours
        self.rng = rng
        self.on_error: periodic.ErrorHandler = periodic.raise_again
        self.configuration = routes.NO_CONFIGURATION
        # Services that open flows of an address may belong to: those of the
        # current route and of its earlier versions. Removing the route
        # clears them.
        self.allowed_services: dict[bytes, frozenset[str]] = {}
        self.directory = backends.ServerDirectory(departed_seconds)
        self.table = flowtable.FlowTable()
        self.failure_detector = failure_detector.FailureDetector()
        self.speed_estimator = speed_estimator.SpeedEstimator()
        self.counters: collections.Counter = collections.Counter()
        self.overdue = overdue_monitors.OverdueMonitor(
            self.directory, self.table, self.failure_detector, self.counters
        )
        self.observer = flow_observer.FlowObserver(
            self.table,
            self.failure_detector,
            self.speed_estimator,
            self.overdue.requests,
        )
        self.balancer = balance.Balancer(
            data_centre,
            self.failure_detector,
            self.speed_estimator,
            self.load,
            rng,
        )
        self.opener = openers.FlowOpener(
            self.directory,
            self.table,
            self.failure_detector,
            self.balancer,
            self.counters,
            rng,
        )
        self.evacuation = evacuation_rules.EvacuationRule(
            data_centre,
            self.directory,
            neighbours,
            self.failure_detector,
        )
        self.on_data_centre_returned: ReturnHandler = lambda name, now: None
        # Actions for the daemon, which takes them after each tick.
        self.actions: list[flows.Action] = []
        self.last_tick = float("-inf")
        # Whether missing entries may reappear because the store was
        # unavailable.
        self.entries_may_return = False
        # Limit of the first packets for cold servers, None without one.
        self.warm_up: budgets.WarmUpBudget | None = None

    def load(self, tag: int) -> float:
        """Return the number of requests that a server handles now.

        It counts the flows that wait for an answer on all entry hosts, the
        other hosts' part as their last digests reported it, and a fraction
        of the idle flows of this host, which may carry requests later.

        :param tag: tag of the server.
        """
        return (
            self.table.busy_counts[tag]
            + self.neighbours.busy_flows[tag]
            + IDLE_FLOW_LOAD * self.table.idle_counts[tag]
        )

    def configure(self, offered: routes.FlowConfiguration) -> bool:
        """Adopt a configuration if it is newer than the one in force.

        :returns: whether it was adopted.
        """
        before = self.configuration
        self.configuration = routes.select_newer(before, offered)
        if self.configuration is before:
            return False
        self.allowed_services = {
            address: self.allowed_services.get(address, frozenset())
            | route.services
            for address, route in offered.routes.items()
        }
        self.directory.set_services(offered.services)
        return True

    def receive(self, packet: flows.Packet, now: float) -> flows.Decision:
        """Decide what to do with a packet and update the flow table.

        :param now: monotonic seconds.
        """
        route = self.configuration.routes.get(packet.service)
        if route is None:
            return self._decide_without_route(packet)
        if packet.opens:
            return self.opener.open(packet, route, now)
        return self._forward_later_packet(packet, route, now)

    def tick(
        self, now: float, input_read: bool = True
    ) -> list[flowtable.UnansweredAttempt]:
        """Detect unanswered first packets and remove expired state.

        :param now: monotonic seconds.
        :param input_read: whether all packets that have arrived were passed
            to :meth:`receive`. Otherwise an answer may be among the others.
        :returns: first packets that were not answered within the limit.
        """
        if now - self.last_tick > PROCESS_PAUSE_SECONDS:
            # Callers' packets may have been lost during the pause, so missing
            # answers are no sign of a failed server.
            self.table.clear_unanswered()
            self.overdue.restart(now)
        self.last_tick = now
        attempts: list[flowtable.UnansweredAttempt] = []

        def find_unanswered() -> None:
            if input_read:
                attempts.extend(self._find_unanswered(now))

        def reset_overdue() -> None:
            if input_read:
                services = self.configuration.health_paths
                self.actions.extend(self.overdue.tick(now, services))

        periodic.run_each(
            (
                lambda: self._update_silent_data_centres(now),
                find_unanswered,
                reset_overdue,
                lambda: self.table.expire(now),
                lambda: self.neighbours.tick(now),
                lambda: self._remove_servers(now),
                lambda: self._tick_warm_up(now),
            ),
            self.on_error,
        )
        return attempts

    def _tick_warm_up(self, now: float) -> None:
        if self.warm_up is not None:
            self.warm_up.tick(now)

    def _remove_servers(self, now: float) -> None:
        """Remove the servers that are gone, and what is known of them."""
        if not self.entries_may_return:
            for _ in self.directory.remove_missing(now):
                self.counters["servers_gone"] += 1
        for server in self.directory.expire(now):
            self.failure_detector.remove(server)
            self.speed_estimator.remove(server)

    def _find_unanswered(
        self, now: float
    ) -> list[flowtable.UnansweredAttempt]:
        """Record the first packets that were not answered in time."""
        attempts = []
        timeout = self.failure_detector.round_trip.timeout()
        for flow, server, sent in self.table.pop_unanswered(now - timeout):
            caused_ejection = self.failure_detector.record_timeout(
                server, sent, now
            )
            self.counters["silent_attempts"] += 1
            self.counters["ejections"] += caused_ejection
            attempts.append(
                flowtable.UnansweredAttempt(
                    flow.key, server, now - sent, caused_ejection
                )
            )
        return attempts

    def take_actions(self) -> list[flows.Action]:
        """Return the actions since the last call, and forget them."""
        actions, self.actions = self.actions, []
        return actions

    @property
    def awaits_answers(self) -> bool:
        """Return whether a packet that has arrived may prevent a timeout."""
        return self.table.oldest_unanswered() is not None

    def next_tick_at(self, now: float) -> float:
        """Return when :meth:`tick` has to be called next, at the latest.

        :param now: monotonic seconds.
        :returns: monotonic seconds.
        """
        due = self.overdue.next_due()
        oldest = self.table.oldest_unanswered()
        if oldest is not None:
            timeout = self.failure_detector.round_trip.timeout()
            return min(due, oldest + timeout, now + BUSY_TICK_INTERVAL_SECONDS)
        if self.directory.pending_removal or self.failure_detector.suspects:
            return min(due, now + BUSY_TICK_INTERVAL_SECONDS)
        return min(due, now + IDLE_TICK_INTERVAL_SECONDS)

    def handle_entry(self, server: backends.Backend) -> None:
        """Handle a server's entry in the store, which is new or has changed.

        :param server: the server as described by the entry.
        """
        self.directory.update(server)

    def handle_removed_entry(self, name: str, now: float) -> None:
        """Handle the removal of a server's entry from the store.

        A leaving server is removed at once. Any other server stays in use
        for REMOVAL_DELAY_SECONDS, because its entry may reappear.
        """
        server = self.directory.servers.get(name)
        if server is None:
            self.directory.forget_superseded(name)
            return
        if server.state is serverstate.ServerState.LEAVING:
            self.directory.remove(name, now)
            return
        self.directory.schedule_removal(name, now + REMOVAL_DELAY_SECONDS)

    def set_evacuated(self, names: Iterable[str], now: float) -> None:
        """Replace the evacuations in force.

        :param names: the data centres that are evacuated.
        :param now: monotonic seconds.
        """
        for name in self.evacuation.set_names(frozenset(names), now):
            self.on_data_centre_returned(name, now)

    def due_checks(self, now: float) -> list[backends.Backend]:
        """Return the servers whose health check is due.

        They are suspect or have overdue requests. Schedules the next check of
        each of them.
        """
        suspects = [
            server
            for server in self.failure_detector.due_checks(now)
            if server.name in self.directory.servers
        ]
        return suspects + self.overdue.due_checks(now)

    def make_digest(
        self,
        leaving: bool,
        watching: bool,
        store_unreachable: bool,
        position: positions.StorePosition,
        receiver: digests.Digest | None = None,
    ) -> digests.Digest:
        """Return the digest of this host's state for other entry hosts.

        In a large fleet it has no busy flows, because most of them would have
        ended before the digest arrived.

        :param leaving: whether this host is about to stop as planned.
        :param watching: whether this host watches the store itself.
        :param store_unreachable: whether the store does not answer this host.
        :param position: position of this host's server list.
        :param receiver: digest of the host that receives this one, None for
            several receivers.
        """
        is_large = self.neighbours.is_large_fleet
        return self.neighbours.make_digest(
            self.configuration.generation,
            leaving,
            watching,
            store_unreachable,
            self.entries_may_return,
            position,
            {} if is_large else dict(self.table.busy_counts),
            receiver,
        )

    def _update_silent_data_centres(self, now: float) -> None:
        """Record the data centres whose entry hosts send no digests."""
        self.failure_detector.silent_data_centres = {
            centre
            for centre in self.directory.data_centres()
            if centre != self.data_centre
            and self.neighbours.is_silent(digests.data_centre_id(centre), now)
        }

    def _decide_without_route(self, packet: flows.Packet) -> flows.Decision:
        if not self.configuration.generation:
            return flows.Ignore("no_configuration")
        if packet.opens:
            return flows.Reset("no_route")
        return flows.Ignore("no_route")

    def choose(self, service: str, now: float) -> backends.Backend | None:
        """Return the server for a new flow, None if the service has none."""
        return self.opener.choose(service, now)

    def _forward_later_packet(
        self, packet: flows.Packet, route: routes.Route, now: float
    ) -> flows.Decision:
        server = self.directory.find(packet.tag)
        if server is None:
            return flows.Ignore("unknown_tag")
        if server.service not in self.allowed_services[packet.service]:
            return flows.Ignore("wrong_service")
        self.observer.observe(packet, server, route, now)
        if self._is_hopeless(packet, server, route, now):
            self.overdue.discard(packet.key)
            return flows.Reset("server_dead")
        return flows.Forward(server)

    def _is_hopeless(
        self,
        packet: flows.Packet,
        server: backends.Backend,
        route: routes.Route,
        now: float,
    ) -> bool:
        """Return whether a request would only wait for a dead server.

        After a reset its caller sends it again at once, on a new flow. A
        request that must not run twice is never reset, because it may have
        run before the server failed.
        """
        if not packet.has_data or not route.repeatable:
            return False
        if now - self.last_tick > PROCESS_PAUSE_SECONDS:
            # This packet may be handled before the tick that ends the pause.
            self.overdue.restart(now)
        return self.failure_detector.is_presumed_dead(server, now)
