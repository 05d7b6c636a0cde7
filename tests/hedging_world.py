"""Hosts that hedge, with servers and callers that are a few lines of code."""

import heapq
import itertools
import random

from tests import flow_factories
from vanilladrum.core import flow as flows
from vanilladrum.core.hedging import host as hedging_host
from vanilladrum.core.hedging import settings as hedge_settings
from vanilladrum.core import neighbours
from vanilladrum.core import routes

# Seconds from a packet at the host to the caller's next packet there, if a
# server answers at once.
ROUND_TRIP = 0.008
# Seconds after which callers repeat a first packet, and give up.
COPY_DELAYS = (0.2, 0.6)
GIVE_UP_SECONDS = 1.4
CHECK_SECONDS = 0.005
# Time by which a host in these tests has seen enough openings.
LEARNT = 1.0


def make_host(servers, settings=None, seed=1):
    """Return a host with a repeatable route and one that must not run twice.

    :param settings: settings of hedging, None for a host without it.
    """
    plain = flow_factories.make_host(servers, seed)
    if settings is None:
        host = plain
    else:
        rng = random.Random(seed)
        host = hedging_host.HedgingFlowHost(
            plain.data_centre,
            neighbours.Neighbours(flow_factories.OWN_ADDRESS, 1, rng),
            rng,
            60.0,
            settings,
        )
        for server in servers:
            host.directory.update(server)
    host.configure(
        routes.FlowConfiguration(
            9,
            {
                flow_factories.BOOKINGS.pack(): routes.Route(
                    "bookings", (routes.Share("bookings"),), 5.0, True
                ),
                flow_factories.PATTERNS.pack(): routes.Route(
                    "patterns", (routes.Share("patterns"),), 5.0
                ),
            },
            15.0,
        )
    )
    return host


def make_settings(share=0.2, percentile=0.9, **extra):
    """Return settings of hedging that need few openings to begin."""
    return hedge_settings.HedgeSettings(share, percentile, **extra)


def make_servers(count=4, **extra):
    return [flow_factories.make_server(n + 1, **extra) for n in range(count)]


def make_distant_servers(count, **extra):
    """Return servers that share no data centre.

    Two silent servers make their whole data centre doubted.
    """
    return [
        flow_factories.make_server(n + 1, data_centre=f"centre-{n}", **extra)
        for n in range(count)
    ]


def learn(host, seconds=0.008, count=40):
    """Show a host the durations of some openings of each service."""
    for _ in range(count):
        host.hedge_policy.record_opening("bookings", seconds)
        host.hedge_policy.record_opening("patterns", seconds)
        host.failure_detector.round_trip.add(seconds)
    host.tick(LEARNT - 0.01)


def make_learnt_host(servers=None, **extra):
    """Return a host that knows how long openings take and may hedge."""
    host = make_host(
        servers or make_servers(),
        make_settings(**{"share": 1.0, **extra}),
    )
    learn(host)
    return host


def send_first(host, port=1024, now=LEARNT, **extra):
    """Send a first packet and return the server that receives it."""
    packet = flow_factories.make_packet(port, **extra)
    return host.receive(packet, now).server


def wait_for_hedge(host, now=LEARNT + 0.04):
    """Let the time limit for answers pass and return the host's actions."""
    host.tick(now)
    return host.take_actions()


def later_server(host, tag, now, port=1024):
    """Return the server that receives a later packet with a tag."""
    return host.receive(flow_factories.make_packet(port, tag=tag), now).server


class Caller:
    """A caller that opens one flow and sends a packet for each answer."""

    def __init__(self, started):
        self.started = started
        # Tag of the server at which the flow is open, 0 before.
        self.opened_at = 0
        self.took = None


class World:
    """Runs one host with callers and servers in virtual time.

    :param host: the host.
    :param delays: function of a server and the time that returns the seconds
        after which it answers a first packet, None for never.
    :param healthy: function of a server that returns whether it answers
        health checks.
    """

    def __init__(self, host, delays, healthy=lambda server: True):
        self.host = host
        self.delays = delays
        self.healthy = healthy
        self.callers = {}
        # Time and action of each hedge.
        self.hedges = []
        # Times of the first packets that were sent to servers; of those that
        # were left unanswered, also when the host noticed it.
        self.sent = []
        self.unanswered = []
        # Packets of open flows that were sent to another server.
        self.misrouted = 0
        self._events = []
        self._numbers = itertools.count()
        self._at(0.0, self._tick)

    def open(self, started, count=1, interval=0.02, **extra):
        """Let callers open flows at an interval, the first one at a time."""
        for number in range(count):
            at = started + number * interval
            port = 1024 + len(self.callers)
            self.callers[port] = Caller(at)
            for copies, delay in enumerate((0.0, *COPY_DELAYS)):
                self._at(at + delay, self._send, port, copies, extra)

    def run(self, until):
        """Run until a time."""
        while self._events and self._events[0][0] <= until:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def durations(self):
        """Return how long the openings took, those never opened included."""
        return sorted(
            GIVE_UP_SECONDS if each.took is None else each.took
            for each in self.callers.values()
        )

    def _at(self, moment, action, *arguments):
        entry = (moment, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def _send(self, now, port, copies, extra):
        if self.callers[port].opened_at:
            return
        packet = flow_factories.make_packet(port, copies=copies, **extra)
        decision = self.host.receive(packet, now)
        if isinstance(decision, flows.Forward):
            self._deliver(now, port, decision.server, extra)
        # As the daemon does after each first packet.
        self._at(max(self.host.next_tick_at(now), now), self._act)

    def _deliver(self, now, port, server, extra):
        self.sent.append(now)
        delay = self.delays(server, now)
        if delay is not None:
            arrival = now + ROUND_TRIP + delay
            self._at(arrival, self._answered, port, server.tag, extra)

    def _answered(self, now, port, tag, extra):
        """The caller has received an answer, its next packet arrives."""
        caller = self.callers[port]
        if not caller.opened_at:
            caller.opened_at = tag
            caller.took = now - caller.started
        packet = flow_factories.make_packet(port, tag=tag, **extra)
        decision = self.host.receive(packet, now)
        self.misrouted += decision.server.tag != caller.opened_at

    def _tick(self, now):
        self._act(now)
        self._at(now + 0.05, self._tick)

    def _act(self, now):
        for attempt in self.host.tick(now):
            self.unanswered.append((now - attempt.waited, now))
        for server in self.host.due_checks(now):
            self._at(now + CHECK_SECONDS, self._check, server)
        for action in self.host.take_actions():
            self.hedges.append((now, action))
            port = int.from_bytes(action.packet.key[:2], "big")
            service = flow_factories.addresses.unpack(action.packet.service)
            extra = {"service": service}
            self._deliver(now, port, action.server, extra)

    def _check(self, now, server):
        healthy = self.healthy(server)
        self.host.failure_detector.record_check(server, healthy, now, healthy)
