"""Digests and watchers of large fleets, with a virtual clock and network."""

import random

import pytest

from vanilladrum.core import address as addresses
from vanilladrum.core import digest as digest_types
from vanilladrum.core import neighbours
from vanilladrum.core import position as positions
from vanilladrum.core import watchers
from vanilladrum.wire import digests

STEP_SECONDS = 0.1
# Entry hosts and data centres: one large data centre, and the users' largest
# site.
SIZES = ((30, 1), (195, 6))
# Machines start within this time, in seconds.
START_SPREAD_SECONDS = 0.3
# A change is in force within this time on the users' largest site, in seconds.
CHANGE_BOUND_SECONDS = 6.0
# Control traffic of letter 1, in bytes per second and entry host.
MAX_BYTES_PER_SECOND = 29_000


class Host:
    """An entry host that follows or watches, as the core decides.

    :param number: its number in the fleet.
    """

    def __init__(self, number, data_centre, seeds, rng):
        self.address = address_of(number)
        self.view = neighbours.Neighbours(
            self.address,
            data_centre,
            rng,
            tuple(each for each in seeds if each != self.address),
        )
        self.started = rng.uniform(0.0, START_SPREAD_SECONDS)
        self.next_digest = self.started
        self.generation = 1
        self.watching = True
        self.alive = True

    def make_datagram(self, receiver=None):
        """Return the host's digest, encoded."""
        digest = self.view.make_digest(
            self.generation,
            False,
            self.watching,
            False,
            False,
            positions.StorePosition(1, 5),
            {},
            receiver,
        )
        return digests.encode(digest)


class Fleet:
    """Hosts that start together and exchange digests without loss.

    :param hosts: by address.
    :param now: virtual time in seconds.
    :param sent: datagrams sent so far.
    :param sent_bytes: their size, with the headers of UDP and IP.
    """

    def __init__(self, count, data_centres, seed=1):
        rng = random.Random(seed)
        seeds = [address_of(number) for number in range(3)]
        self.hosts = {}
        for number in range(count):
            host = Host(number, number % data_centres, seeds, rng)
            self.hosts[host.address] = host
        self.now = 0.0
        self.sent = 0
        self.sent_bytes = 0

    def run(self, seconds):
        """Let virtual time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for host in self.alive():
                self.tick(host)

    def alive(self):
        """Return the hosts that run now."""
        return [
            host
            for host in self.hosts.values()
            if host.alive and host.started <= self.now
        ]

    def tick(self, host):
        """Send a host's digest if it is due, and choose its source."""
        host.view.tick(self.now)
        source = watchers.choose_upstream(
            host.view, True, True, set(), self.now
        )
        host.watching = source is None
        if self.now < host.next_digest:
            return
        host.next_digest = self.now + host.view.timing.period
        datagram = host.make_datagram()
        for receiver in host.view.receivers(self.now):
            self.send(host, receiver, datagram)

    def send(self, sender, address, datagram):
        """Deliver a datagram at once, and the reply to it."""
        self.sent += 1
        self.sent_bytes += len(datagram) + 28
        receiver = self.hosts.get(address)
        if receiver is None or receiver not in self.alive():
            return
        digest = digests.decode(datagram)
        # A host takes over a newer configuration when it hears of it.
        receiver.generation = max(receiver.generation, digest.generation)
        if receiver.view.receive(sender.address, digest, self.now):
            reply = receiver.make_datagram(digest)
            self.send(receiver, sender.address, reply)


def address_of(number):
    return addresses.Address(f"10.1.{number >> 8}.{number & 255}", 7720)


@pytest.fixture(scope="module", params=SIZES, ids=lambda size: str(size[0]))
def settled_fleet(request):
    """A fleet 30 s after all its hosts have started."""
    fleet = Fleet(*request.param)
    fleet.run(30.0)
    return fleet


def test_two_hosts_of_a_data_centre_watch_the_store(settled_fleet):
    """Seventy-two of 195 hosts watched, because they knew few others."""
    by_centre = {}
    for host in settled_fleet.alive():
        centre = host.view.data_centre
        by_centre[centre] = by_centre.get(centre, 0) + host.watching
    assert set(by_centre.values()) == {watchers.WATCHERS}


def test_hosts_know_their_data_centre_and_a_bounded_number_of_others(
    settled_fleet,
):
    sizes = {}
    for host in settled_fleet.alive():
        centre = host.view.data_centre
        sizes[centre] = sizes.get(centre, 0) + 1
    for host in settled_fleet.alive():
        assert len(host.view.local) == sizes[host.view.data_centre] - 1
        assert len(host.view.remote) <= neighbours.MAX_REMOTE_HOSTS


def test_digests_cost_the_same_in_any_fleet(settled_fleet):
    before, before_bytes = settled_fleet.sent, settled_fleet.sent_bytes
    seconds = 10.0
    settled_fleet.run(seconds)
    hosts = len(settled_fleet.alive())
    sent = (settled_fleet.sent - before) / hosts / seconds
    sent_bytes = (settled_fleet.sent_bytes - before_bytes) / hosts / seconds
    timing = digest_types.LARGE
    planned = timing.fan_out + timing.remote_fan_out
    # Retried hosts and replies to unknown ones come on top.
    assert sent <= planned / timing.period + 2
    assert sent_bytes <= MAX_BYTES_PER_SECOND


@pytest.mark.parametrize("size", SIZES)
def test_newer_configuration_spreads_by_digests_within_a_data_centre(size):
    """One host of each data centre has it; no other reaches the store."""
    fleet = Fleet(*size, seed=2)
    fleet.run(20.0)
    for number in range(size[1]):
        fleet.hosts[address_of(number)].generation = 2
    fleet.run(CHANGE_BOUND_SECONDS)
    behind = [host for host in fleet.alive() if host.generation < 2]
    assert behind == []


@pytest.mark.parametrize("size", SIZES)
def test_dead_watchers_are_replaced_when_their_digests_expire(size):
    fleet = Fleet(*size, seed=3)
    fleet.run(20.0)
    dead = [host for host in fleet.alive() if host.watching]
    for host in dead:
        host.alive = False
    # Their digests expire, then those of the new watchers reach all hosts in
    # one round.
    timing = digest_types.LARGE
    round_seconds = size[0] / size[1] / timing.fan_out * timing.period
    fleet.run(timing.max_age + round_seconds + 1.0)
    for host in fleet.alive():
        assert not any(each.address in host.view.local for each in dead)
    watching = [host for host in fleet.alive() if host.watching]
    assert len(watching) == watchers.WATCHERS * size[1]
