"""Fleets of warm-up budgets with chosen views of each other, for tests."""

import collections
import random

from tests import flow_factories
from tests import test_fleet_size
from vanilladrum.core import digest as digests
from vanilladrum.core import neighbours
from vanilladrum.core import position as positions
from vanilladrum.core import routes
from vanilladrum.core.warmup import budget as budgets

OVERAGE = 1.5
SLACK = 5.0
WARM_UP_SECONDS = 10000.0
COLD = flow_factories.make_server(1, warm_up=WARM_UP_SECONDS)


def limit(rate):
    """Return the first packets a second that a cold server may receive."""
    return rate * OVERAGE + SLACK


def make_budget(view, rate=0.0, data_centre="bilbao"):
    """Return a budget that knows one cold server."""
    warm_ups = {"bookings": routes.WarmUp(WARM_UP_SECONDS, rate)}
    made = budgets.WarmUpBudget(
        data_centre,
        view,
        lambda: warm_ups,
        OVERAGE,
        SLACK,
        collections.Counter(),
    )
    made.update_entry(COLD, 0.0)
    return made


def make_settled_budget(view, rate, now):
    """Return a budget whose host has had the same view for a long time."""
    budget = make_budget(view, rate)
    for time in range(0, int(now), 20):
        budget.tick(float(time))
    return budget


def worst_second(times):
    """Return the largest number of times in any second, ends included."""
    worst = first = 0
    ordered = sorted(times)
    for last, time in enumerate(ordered):
        while time - ordered[first] > 1.0:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def address_of(number):
    return test_fleet_size.address_of(number)


class View(neighbours.Neighbours):
    """Neighbours that are past their discovery and heard what a test says.

    :param number: number of the own host.
    :param valid: numbers of the hosts that it hears now.
    :param known: numbers of the hosts that it heard some time ago.
    """

    def __init__(self, number, valid, known, now):
        super().__init__(address_of(number), 1, random.Random(number))
        self.discovering = False
        for other in known:
            neighbour = self.hosts[address_of(other)] = neighbours.Neighbour()
            neighbour.digest = DIGEST
            neighbour.last_digest_at = now
        for other in valid:
            self.local.add(address_of(other))

    def valid_local_hosts(self, now):
        return list(self.local)


DIGEST = digests.Digest(
    1, 1, 1, 1, False, False, False, False, 1, {}, (), era=1
)


class Host(test_fleet_size.Host):
    """A host of a moving fleet, with a budget.

    :param paused_until: when the host runs again; it receives nothing before.
    :param side: hosts on both sides of a cut do not hear each other.
    """

    def __init__(self, number, data_centre, seeds, rng):
        super().__init__(number, data_centre, seeds, rng)
        self.number = number
        self.budget = make_budget(self.view)
        self.paused_until = 0.0
        self.side = 0

    def make_datagram(self, receiver=None):
        return self.view.make_digest(
            1, False, False, False, False, positions.START, {}, receiver
        )


class Fleet(test_fleet_size.Fleet):
    """Hosts that exchange digests and send to cold servers when they may.

    Each data centre has one cold server, to which all its hosts try to send
    at every step.

    :param make_host: makes a host from its number, data centre, seeds and a
        source of randomness.
    :param sent_at: times of first packets by data centre.
    """

    def __init__(self, count, data_centres, seed=1, make_host=Host):
        super().__init__(0, data_centres, seed)
        self.rng = random.Random(seed)
        self.data_centres = data_centres
        self.make_host = make_host
        self.sent_at = collections.defaultdict(list)
        for number in range(count):
            self.start(number)

    def start(self, number):
        """Start a host, or start it again with the same address."""
        seeds = [address_of(each) for each in range(3)]
        if self.alive():
            seeds = [each.address for each in self.choose(3)]
        host = self.make_host(
            number, number % self.data_centres, seeds, self.rng
        )
        host.started += self.now
        host.next_digest += self.now
        self.hosts[host.address] = host

    def choose(self, count):
        """Return running hosts at random."""
        return self.rng.sample(self.alive(), min(count, len(self.alive())))

    def alive(self):
        return [
            host for host in super().alive() if host.paused_until <= self.now
        ]

    def tick(self, host):
        super().tick(host)
        host.budget.tick(self.now)
        time = self.now + self.rng.uniform(0, test_fleet_size.STEP_SECONDS)
        if host.budget.may_send(COLD, time):
            host.budget.record(COLD, time)
            self.sent_at[host.view.data_centre].append(time)

    def send(self, sender, address, digest):
        receiver = self.hosts.get(address)
        if receiver is None or receiver.side != sender.side:
            return
        if receiver.paused_until > self.now:
            return
        if not receiver.alive or receiver.started > self.now:
            return
        if receiver.view.receive(sender.address, digest, self.now):
            reply = receiver.make_datagram(digest)
            self.send(receiver, sender.address, reply)

    def worst_second(self):
        """Return the most first packets that a server got in a second."""
        return max(map(worst_second, self.sent_at.values()), default=0)
