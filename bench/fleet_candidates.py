"""Policies that :mod:`bench.fleet_choices` compares."""

import collections
import functools
import zlib

import attrs

from bench import emulator
from bench import fleet_hosts
from bench import fleet_model

# One way between an entry host and a dispatcher of its data centre, seconds.
DISPATCHER_HOP_SECONDS = 0.0004
# Bytes of a message to or from a dispatcher with IP and UDP headers, guessed.
DISPATCHER_MESSAGE_BYTES = 60
# Interval at which dispatchers tell each other their load, in seconds.
DISPATCHER_EXCHANGE_SECONDS = 0.1
# Load that is added to a server in another data centre, as a share of its
# slots; the value of vanilladrum.core.balance.
REMOTE_LOAD_SHARE = 0.95
_WORD = 2**64 - 1


class RandomChoice(fleet_model.FleetPolicy):
    """Chooses any server with equal probability."""

    def choose(self, work: fleet_model.FleetWork) -> int:
        return self.run.rng.randrange(len(self.run.servers))


@attrs.define(eq=False)
class IdealChoice(fleet_model.FleetPolicy):
    """Chooses the server that ends the work first, knowing all work.

    :param crosses: whether it may choose servers of other data centres.
    :param free: times at which the slots of each server become free.
    """

    crosses: bool = True
    free: list[list[float]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.free = [[0.0] * each.slots for each in self.run.servers]

    def choose(self, work: fleet_model.FleetWork) -> int:
        def end(number: int) -> float:
            latency = self.fleet.latency(work.host, number)
            start = max(min(self.free[number]), self.run.now + latency)
            return start + work.demand / self.fleet.speeds[number] + latency

        centre = self.fleet.host_centre(work.host)
        eligible = [
            number
            for number in range(len(self.free))
            if self.crosses or self.fleet.server_centre(number) == centre
        ]
        chosen = min(eligible, key=end)
        slots = self.free[chosen]
        latency = self.fleet.latency(work.host, chosen)
        slots[slots.index(min(slots))] = end(chosen) - latency
        return chosen


def weight(host: int, server: int) -> int:
    """Return the rendezvous weight of a server for a host.

    A checksum of both names would not do: it is linear, so that all hosts
    would rank the servers in similar orders.
    """
    mixed = zlib.crc32(b"host%d" % host) << 32 | zlib.crc32(b"i-%d" % server)
    # Finalizer of SplitMix64.
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _WORD
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _WORD
    return mixed ^ mixed >> 31


class Average:
    """Moving average that forgets with time.

    :param seconds: time after which a measurement counts half.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.sum = 0.0
        self.count = 0.0
        self.at = 0.0

    def add(self, value: float, now: float, count: float = 1.0) -> None:
        """Add the sum of some measurements."""
        self.decay(now)
        self.sum += value
        self.count += count

    def decay(self, now: float) -> None:
        """Reduce the weight of all measurements so far."""
        factor = 0.5 ** ((now - self.at) / self.seconds)
        self.sum *= factor
        self.count *= factor
        self.at = now


@attrs.define(eq=False)
class SubsetChoice(fleet_model.FleetPolicy):
    """Candidate (a): a preferred subset of the servers of the data centre.

    A host chooses among the servers that rendezvous hashing gives it by the
    response times and the flows that it has there itself, and goes to the
    others when these respond slowly. With subsets of 4 more flows cross, and
    with subsets of 8 they wait longer.

    :param subset: number of preferred servers.
    :param patience: expected response time at the best of them, in means of
        the host, from which two servers of the whole service are considered.
    :param halflife: seconds after which a response time counts half.
    :param preferred: preferred servers by host.
    :param responses: response times by server, by host.
    :param totals: response times of all servers, by host.
    :param busy: open flows by server, by host.
    """

    subset: int = 6
    patience: float = 3.0
    halflife: float = 2.0
    preferred: list[list[int]] = attrs.field(init=False)
    responses: list[dict] = attrs.field(init=False)
    totals: list[Average] = attrs.field(init=False)
    busy: list[collections.Counter] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        hosts = range(self.fleet.site.hosts)
        self.preferred = []
        for host in hosts:
            local = [
                number
                for number in range(len(self.run.servers))
                if self.fleet.server_centre(number)
                == self.fleet.host_centre(host)
            ]
            local.sort(key=lambda n: weight(host, n), reverse=True)
            self.preferred.append(local[: self.subset])
        self.responses = [{} for _ in hosts]
        self.totals = [Average(5.0) for _ in hosts]
        self.busy = [collections.Counter() for _ in hosts]

    def choose(self, work: fleet_model.FleetWork) -> int:
        host = work.host
        servers = self.preferred[host]
        costs = {number: self.cost(host, number) for number in servers}
        chosen = min(servers, key=lambda n: (costs[n], self.run.rng.random()))
        total = self.totals[host]
        total.decay(self.run.now)
        if costs[chosen] * (total.count + 1e-9) > self.patience * total.sum:
            others = self.run.rng.sample(range(len(self.run.servers)), 2)
            other = min(others, key=lambda n: self.cost(host, n))
            if self.cost(host, other) < costs[chosen]:
                chosen = other
        self.busy[host][chosen] += 1
        return chosen

    def cost(self, host: int, number: int) -> float:
        """Return the expected response time of a server, in seconds."""
        total = self.totals[host]
        total.decay(self.run.now)
        mean = total.sum / total.count if total.count > 0.01 else 0.0
        own = self.responses[host].get(number)
        seconds = mean
        if own is not None:
            own.decay(self.run.now)
            # A measurement counts for less as it becomes older.
            seconds = (own.sum + 0.3 * mean) / (own.count + 0.3)
        slots = fleet_model.SLOTS
        return seconds * max(1.0, (self.busy[host][number] + 1) / slots) + (
            2 * self.fleet.latency(host, number)
        )

    def answer(self, work: fleet_model.FleetWork) -> None:
        host = work.host
        now = self.run.now
        self.busy[host][work.server] -= 1
        seconds = now - work.arrived
        own = self.responses[host].setdefault(
            work.server, Average(self.halflife)
        )
        own.add(seconds, now)
        self.totals[host].add(seconds, now)


@attrs.define(eq=False)
class DispatcherChoice(fleet_model.FleetPolicy):
    """Candidate (c): one dispatcher per service and data centre.

    It learns of each start and end of a flow of its data centre, and of the
    load of the others' servers from the other dispatchers. The time that a
    server takes for a request is taken as known without its queue.

    :param busy: open flows by server, by data centre of the dispatcher.
    :param published: open flows of all dispatchers at the last exchange.
    :param own_published: the part of each dispatcher in it.
    :param remote_load: load that is added to a server in another data centre,
        as a share of its slots.
    """

    busy: list[collections.Counter] = attrs.field(init=False)
    published: collections.Counter = attrs.field(factory=collections.Counter)
    own_published: list[collections.Counter] = attrs.field(init=False)
    remote_load: float = REMOTE_LOAD_SHARE
    responses: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        centres = range(self.fleet.site.data_centres)
        self.busy = [collections.Counter() for _ in centres]
        self.own_published = [collections.Counter() for _ in centres]
        self.run.later(0.0, self.exchange)

    def exchange(self) -> None:
        """Let the dispatchers tell each other their flows."""
        self.run.later(DISPATCHER_EXCHANGE_SECONDS, self.exchange)
        self.own_published = [collections.Counter(each) for each in self.busy]
        self.published = collections.Counter()
        for each in self.own_published:
            self.published.update(each)
        centres = len(self.busy)
        self.count(centres * (centres - 1), 80 + 6 * len(self.run.servers))

    def count(self, messages: int, size: int) -> None:
        """Count messages of some bytes each."""
        self.messages += messages
        self.message_bytes += messages * size

    def arrive(self, work: fleet_model.FleetWork) -> None:
        self.count(2, DISPATCHER_MESSAGE_BYTES)

        def choose() -> None:
            self.send(work, self.choose(work), DISPATCHER_HOP_SECONDS)

        self.run.later(DISPATCHER_HOP_SECONDS, choose)

    def choose(self, work: fleet_model.FleetWork) -> int:
        centre = self.fleet.host_centre(work.host)
        own = self.busy[centre]
        known = [a for a in self.responses.values() if a.count > 2]
        mean = sum(a.sum / a.count for a in known) / max(1, len(known))
        slots = fleet_model.SLOTS

        def cost(number: int) -> tuple[float, float]:
            average = self.responses.get(number)
            seconds = mean or 1.0
            if average is not None and average.count > 2:
                seconds = average.sum / average.count
            load = own[number] + self.published[number]
            load += 1 - self.own_published[centre][number]
            if self.fleet.server_centre(number) != centre:
                load += self.remote_load * slots
            return max(load, slots / 2) / slots * seconds, (
                self.run.rng.random()
            )

        chosen = min(range(len(self.run.servers)), key=cost)
        own[chosen] += 1
        return chosen

    def ended(
        self, work: fleet_model.FleetWork, server: emulator.Server
    ) -> None:
        # The response time without the wait in the queue: the dispatcher
        # knows how many flows are there.
        average = self.responses.setdefault(server.number, Average(4.0))
        average.add(self.run.now - work.started, self.run.now)
        fleet_model.FleetPolicy.ended(self, work, server)

    def answer(self, work: fleet_model.FleetWork) -> None:
        self.count(1, DISPATCHER_MESSAGE_BYTES)
        centre = self.fleet.host_centre(work.host)

        def end() -> None:
            self.busy[centre][work.server] -= 1

        self.run.later(DISPATCHER_HOP_SECONDS, end)


POLICIES = {
    "random": RandomChoice,
    "today": fleet_hosts.FlowHostChoice,
    "(a) subset": SubsetChoice,
    "(b) wait 24": fleet_hosts.ReportChoice,
    "(c) dispatcher": DispatcherChoice,
    "ideal": IdealChoice,
}
# Run in the first variant only, to bound the time of a run: more or fewer
# flows may cross, or reports arrive late.
FURTHER_POLICIES = {
    "(b) wait 8": functools.partial(fleet_hosts.ReportChoice, remote_wait=8.0),
    "(b) 2 s late": functools.partial(fleet_hosts.ReportChoice, delay=2.0),
    "(c) load 25": functools.partial(DispatcherChoice, remote_load=25.0),
    "ideal, local": functools.partial(IdealChoice, crosses=False),
}
