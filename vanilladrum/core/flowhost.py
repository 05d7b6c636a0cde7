"""What an entry host does with the packets of flows."""

import collections
import random
import zlib

from vanilladrum.core import backend as backends
from vanilladrum.core import balance
from vanilladrum.core import buckets
from vanilladrum.core import evidence as evidences
from vanilladrum.core import flow as flows
from vanilladrum.core import flowtable
from vanilladrum.core import neighbours as digests
from vanilladrum.core import pace as paces
from vanilladrum.core import routes
from vanilladrum.core import serverstate

# Longest time between two looks at what is due, in seconds.
LONGEST_TICK = 0.1
# A longer time between two looks means that the process stood still.
PAUSE_SECONDS = 0.2
# A server whose entry has gone is used on for so long, in seconds: by then
# this host has heard whether the store was away, and its servers answer or
# are doubted.
LAPSE_SECONDS = 0.3


def number_of(data_centre: str) -> int:
    """Return the number that stands for a data centre in digests."""
    return zlib.crc32(data_centre.encode())


class SilentAttempt:
    """A first packet without an answer in time.

    :param key: the flow's addresses and ports.
    :param waited: seconds since it was sent.
    :param ejects: whether its server gets no flows for a while now.
    """

    def __init__(
        self, key: bytes, server: backends.Backend, waited: float, ejects: bool
    ) -> None:
        self.key = key
        self.server = server
        self.waited = waited
        self.ejects = ejects


class FlowHost:
    """Decides on packets; knows no sockets and no clock.

    :param data_centre: name of this host's data centre.
    :param neighbours: the other entry hosts.
    :param rng: source of random choices.
    :param keep: seconds for which the flows of departed servers live.
    """

    def __init__(
        self,
        data_centre: str,
        neighbours: digests.Neighbours,
        rng: random.Random,
        keep: float = 60.0,
    ) -> None:
        self.data_centre = data_centre
        self.neighbours = neighbours
        self.rng = rng
        self.configuration = routes.NO_CONFIGURATION
        # Services at which open flows of an address may be: those of its
        # route now and of its earlier versions, as long as there is one.
        self.allowed: dict[bytes, frozenset[str]] = {}
        self.directory = backends.Directory(keep)
        self.table = flowtable.FlowTable()
        self.evidence = evidences.Evidence()
        self.pace = paces.Pace()
        self.balancer = balance.Balancer(
            data_centre, self.evidence, self.pace, self.open_flows, rng
        )
        self.last_tick = float("-inf")
        # Whether entries that have gone may come back: the store was away.
        self.unsettled = False
        # From a first packet to the caller's next one, and to its last.
        self.answers = buckets.Histogram()
        self.lengths: dict[str, buckets.Histogram] = {}
        self.counters: collections.Counter = collections.Counter()

    def open_flows(self, tag: int) -> float:
        """Return how many flows a server has, as far as known here."""
        return self.table.open[tag] + self.neighbours.open[tag]

    def configure(self, offered: routes.FlowConfiguration) -> bool:
        """Adopt a configuration if it is a newer one.

        :returns: whether it was adopted.
        """
        before = self.configuration
        self.configuration = routes.newer(before, offered)
        if self.configuration is before:
            return False
        self.allowed = {
            address: self.allowed.get(address, frozenset()) | route.services
            for address, route in offered.routes.items()
        }
        return True

    def receive(self, packet: flows.Packet, now: float) -> flows.Decision:
        """Decide on one packet."""
        route = self.configuration.routes.get(packet.service)
        if route is None:
            return self._without_route(packet)
        if packet.opens:
            return self._open(packet, route, now)
        return self._continue(packet, route, now)

    def tick(self, now: float) -> list[SilentAttempt]:
        """Look for first packets that were not answered in time.

        :returns: these attempts.
        """
        found = []
        if now - self.last_tick > PAUSE_SECONDS:
            # Nobody is to blame for a pause of this process.
            self.table.excuse()
        self.last_tick = now
        self._look_for_cuts(now)
        limit = self.evidence.round_trip.limit()
        for flow, server, sent in self.table.overdue(now - limit):
            ejects = self.evidence.silent(server, sent, now)
            self.counters["silent_attempts"] += 1
            self.counters["ejections"] += ejects
            found.append(SilentAttempt(flow.key, server, now - sent, ejects))
        self.table.expire(now)
        self.neighbours.tick(now)
        if not self.unsettled:
            for _ in self.directory.settle(now):
                self.counters["servers_gone"] += 1
        for server in self.directory.expire(now):
            self.evidence.forget(server)
            self.pace.forget(server)
        return found

    def next_due(self, now: float) -> float:
        """Return when :meth:`tick` has something to look at, at the latest."""
        oldest = self.table.oldest_unanswered()
        if oldest is None:
            return now + LONGEST_TICK
        due = oldest + self.evidence.round_trip.limit()
        return min(due, now + LONGEST_TICK)

    def lose_server(self, name: str, now: float) -> None:
        """Take in that the entry of a server has gone.

        A server that was leaving is gone; another one may be back soon.
        """
        server = self.directory.servers.get(name)
        if server is None:
            return
        if server.state is serverstate.ServerState.LEAVING:
            self.directory.remove(name, now)
            return
        self.directory.lapse(name, now + LAPSE_SECONDS)

    def due_checks(self, now: float) -> list[backends.Backend]:
        """Return the doubted servers that are to be checked now."""
        servers = list(self.directory.servers.values())
        return self.evidence.due_checks(servers, now)

    def make_digest(
        self,
        leaving: bool,
        watching: bool,
        turned_away: bool,
        revision: int,
    ) -> digests.Digest:
        """Return what the other entry hosts are told."""
        return self.neighbours.make(
            self.configuration.generation,
            leaving,
            watching,
            turned_away,
            self.unsettled,
            revision,
            dict(self.table.open),
        )

    def _look_for_cuts(self, now: float) -> None:
        centres = {
            server.data_centre for server in self.directory.servers.values()
        }
        self.evidence.unheard = {
            centre
            for centre in centres
            if centre != self.data_centre
            and self.neighbours.unheard(number_of(centre), now)
        }

    def _without_route(self, packet: flows.Packet) -> flows.Decision:
        if not self.configuration.generation:
            return flows.Ignore("no_configuration")
        if packet.opens:
            return flows.Reset("no_route")
        return flows.Ignore("no_route")

    def _open(
        self, packet: flows.Packet, route: routes.Route, now: float
    ) -> flows.Decision:
        flow = self.table.find(packet.key)
        if flow is None or flow.ended:
            return self._begin(packet, route, now)
        same = self._same_server(flow, packet, route)
        if same is not None:
            self.table.move(flow, same, now)
            return flows.Forward(same)
        servers = self.directory.active(flow.server.service)
        server = self.balancer.choose(servers, now, avoid=flow.server)
        if server is None:
            return flows.Reset("no_server")
        self.counters["moved_first_packets"] += 1
        self.table.move(flow, server, now)
        return flows.Forward(server)

    def _begin(
        self, packet: flows.Packet, route: routes.Route, now: float
    ) -> flows.Decision:
        servers = self.directory.active(route.choose(self.rng))
        server = self.balancer.choose(servers, now)
        if server is None:
            return flows.Reset("no_server")
        self.table.begin(packet.key, server, now, route.timeout)
        return flows.Forward(server)

    def _same_server(
        self,
        flow: flowtable.OpenFlow,
        packet: flows.Packet,
        route: routes.Route,
    ) -> backends.Backend | None:
        """Return the server that a first packet's copy has to follow it to.

        It must unless the server is silent: two servers that answer one
        caller would each put their tag into the flow.
        """
        server = self.directory.find(flow.server.tag)
        if server not in self.directory.active(flow.server.service):
            return None
        if not route.allows(flow.server.service):
            return None
        answers = self.evidence.record(server).answered >= flow.sent
        return server if answers or not packet.copies else None

    def _continue(
        self, packet: flows.Packet, route: routes.Route, now: float
    ) -> flows.Decision:
        server = self.directory.find(packet.tag)
        if server is None:
            return flows.Ignore("unknown_tag")
        if server.service not in self.allowed[packet.service]:
            return flows.Ignore("wrong_service")
        self._notice(packet, server, route, now)
        return flows.Forward(server)

    def _notice(
        self,
        packet: flows.Packet,
        server: backends.Backend,
        route: routes.Route,
        now: float,
    ) -> None:
        """Learn from a later packet of a flow."""
        flow = self.table.find(packet.key)
        if flow is None:
            # Its first packet went through another host, or another start
            # of this one.
            flow = self.table.begin(packet.key, server, now, route.timeout)
            flow.answered = True
            flow.adopted = True
        if packet.closes and not flow.ended:
            self.table.end(flow)
            if flow.server is server and not flow.adopted:
                self._measure(flow, now)
        if flow.answered:
            return
        flow.answered = True
        self.evidence.answered(server, now)
        if flow.server is server:
            self.evidence.round_trip.add(now - flow.sent)
            self.answers.add(now - flow.sent)

    def _measure(self, flow: flowtable.OpenFlow, now: float) -> None:
        server = flow.server
        self.pace.ended(server, now - flow.sent, now)
        if server.service not in self.lengths:
            self.lengths[server.service] = buckets.Histogram()
        self.lengths[server.service].add(now - flow.opened)
