"""Servers of different speeds, swinging demand and links of a large fleet.

The model of :mod:`bench.fleet_choices`. Each request is a flow of its own, and
flows queue at the server that was chosen for them.
"""

import math
import random

import attrs

from bench import emulator

SLOTS = 2
SERVER_COUNT = 60
# Relative speeds of the servers; each holds for a third of them.
SPEEDS = (0.6, 1.0, 1.6)
# Demand of each data centre swings by this share around its mean.
SWING = 0.55
SWING_SECONDS = 13.0
# Requests of the first seconds are not measured: hosts have to learn first.
UNMEASURED_SECONDS = 3.0
# Distribution of the work of a request around the mean of its class.
WORK_SIGMA = 0.3
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 5.0


@attrs.frozen
class RequestClass:
    """Requests of one kind to the service that is examined.

    :param rate: requests per second in the whole deployment.
    :param work: mean execution time at speed 1, in seconds.
    :param target: time within which an answer is in time, in seconds.
    """

    rate: float
    work: float
    target: float


@attrs.frozen
class Site:
    """A deployment of docs/UNEVEN-LOAD.md.

    :param latency: one-way latency between data centres, in seconds.
    """

    hosts: int
    data_centres: int
    latency: float
    classes: tuple[RequestClass, ...]

    @property
    def rate(self) -> float:
        """Return the requests per second of all classes."""
        return sum(each.rate for each in self.classes)

    @property
    def mean_work(self) -> float:
        """Return the mean execution time at speed 1, in seconds."""
        work = sum(each.rate * each.work for each in self.classes)
        lognormal_mean = math.exp(WORK_SIGMA**2 / 2)
        straggling = 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
        return work / self.rate * lognormal_mean * straggling


@attrs.frozen
class Variant:
    """How a load is reached.

    The slots of a service are given, so that either each request has more
    work than the page names, or there are more requests.

    :param scales_rate: whether the rate is scaled and not the work.
    :param seconds: virtual time of a run.
    """

    scales_rate: bool
    seconds: float


@attrs.define(eq=False)
class FleetWork(emulator.Work):
    """A request of a class.

    :param target: see :class:`RequestClass`.
    :param demand: execution time at speed 1, in seconds.
    :param server: number of the server that was chosen.
    :param crossed: whether the server is in another data centre.
    :param answered: when the answer reached the entry host, in seconds.
    """

    target: float = 0.0
    demand: float = 0.0
    server: int = -1
    crossed: bool = False
    answered: float = 0.0


@attrs.define(eq=False)
class Fleet:
    """Hosts and servers of a run.

    :param speeds: relative speed by server number.
    """

    site: Site
    speeds: list[float]

    def host_centre(self, host: int) -> int:
        """Return the number of a host's data centre."""
        return host % self.site.data_centres

    def server_centre(self, server: int) -> int:
        """Return the number of a server's data centre."""
        return server % self.site.data_centres

    def latency(self, host: int, server: int) -> float:
        """Return the one-way latency to a server, in seconds.

        The latency within a data centre is the same for all and left out.
        """
        if self.host_centre(host) == self.server_centre(server):
            return 0.0
        return self.site.latency


def make_fleet(site: Site, seed: int) -> Fleet:
    """Return a fleet whose speeds are distributed at random."""
    speeds = list(SPEEDS) * (SERVER_COUNT // len(SPEEDS))
    random.Random(seed).shuffle(speeds)
    return Fleet(site, speeds)


def arrivals(
    fleet: Fleet, load: float, variant: Variant, seed: int
) -> list[FleetWork]:
    """Return the requests of one run.

    :param load: mean load as a share of the capacity of all servers.
    """
    site = fleet.site
    rng = random.Random(seed)
    capacity = SLOTS * sum(fleet.speeds)
    scale = load * capacity / (site.rate * site.mean_work)
    rate = site.rate * (scale if variant.scales_rate else 1.0)
    work_scale = 1.0 if variant.scales_rate else scale
    weights = [each.rate for each in site.classes]
    hosts = [
        [h for h in range(site.hosts) if fleet.host_centre(h) == centre]
        for centre in range(site.data_centres)
    ]
    work = []
    now = 0.0
    # Thinning of arrivals at the highest rate that occurs.
    highest = rate * (1 + SWING)
    while True:
        now += rng.expovariate(highest)
        if now >= variant.seconds:
            return work
        centre = rng.randrange(site.data_centres)
        phase = now / SWING_SECONDS + centre / site.data_centres
        share = 1 + SWING * math.sin(2 * math.pi * phase)
        if rng.random() >= share / (1 + SWING):
            continue
        (kind,) = rng.choices(site.classes, weights)
        seconds = kind.work * work_scale * rng.lognormvariate(0.0, WORK_SIGMA)
        if rng.random() < STRAGGLER_SHARE:
            seconds *= STRAGGLER_FACTOR
        host = rng.choice(hosts[centre])
        work.append(
            FleetWork(
                now,
                seconds,
                False,
                host,
                False,
                target=kind.target,
                demand=seconds,
            )
        )


@attrs.define(eq=False)
class FleetPolicy:
    """Base of the policies: flows cross the links and queue at servers."""

    run: emulator.Run
    fleet: Fleet
    messages: int = 0
    message_bytes: int = 0

    def arrive(self, work: FleetWork) -> None:
        """Send a request to the chosen server."""
        self.send(work, self.choose(work), 0.0)

    def choose(self, work: FleetWork) -> int:
        """Return the number of the server for a request."""
        raise NotImplementedError

    def send(self, work: FleetWork, number: int, delay: float) -> None:
        """Send a request to a server.

        :param delay: seconds until the host sends it.
        """
        work.server = number
        latency = self.fleet.latency(work.host, number)
        work.crossed = latency > 0
        work.seconds = work.demand / self.fleet.speeds[number]
        self.run.later(delay + latency, lambda: self._reach(work))

    def _reach(self, work: FleetWork) -> None:
        server = self.run.servers[work.server]
        if server.running < server.slots:
            self.run.begin(work, server, self)
            return
        server.queue.append(work)

    def ended(self, work: FleetWork, server: emulator.Server) -> None:
        """Start the next request of the server and send the answer."""
        if server.queue:
            self.run.begin(server.queue.popleft(), server, self)
        latency = self.fleet.latency(work.host, server.number)
        work.answered = self.run.now + latency
        self.run.later(latency, lambda: self.answer(work))

    def answer(self, work: FleetWork) -> None:
        """Handle the answer at the entry host; does nothing by default."""
