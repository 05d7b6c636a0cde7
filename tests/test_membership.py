"""Tests of failure detection: loss, pauses, partitions, traffic."""

import random

import attrs
import pytest

from vanilladrum.core import address as addresses
from vanilladrum.core import incarnations
from vanilladrum.core import membership as memberships
from vanilladrum.core import peer_messages
from vanilladrum.wire import peer_codec

STEP_SECONDS = 0.02
State = incarnations.State


@attrs.define(eq=False)
class Cluster:
    """Membership nodes joined by a simulated network on a fake clock.

    Datagrams are delivered within the step that sends them.

    :param size: number of nodes; all are members of each other's view.
    :param loss: fraction of the datagrams that are dropped.
    :param now: simulated time in seconds.
    :param paused: numbers of nodes that neither run nor receive.
    :param blocked_links: pairs of sender and receiver without delivery.
    :param sent_bytes: encoded size of all sent datagrams, also dropped ones.
    """

    size: int
    loss: float = 0.0
    now: float = 0.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(5))
    nodes: list = attrs.field(factory=list)
    paused: set = attrs.field(factory=set)
    blocked_links: set = attrs.field(factory=set)
    codec: peer_codec.Codec = peer_codec.Codec(b"k" * 16)
    sent_bytes: int = 0

    def __attrs_post_init__(self):
        for number in range(self.size):
            self.nodes.append(self.make_node(number))
        entries = tuple(node.own_entry for node in self.nodes)
        for node in self.nodes:
            node.merge_view(entries, 0.0)

    def make_node(self, number):
        """Return a node started now that has no other members yet."""
        rng = random.Random(self.rng.random())
        own_entry = peer_messages.Member(
            number,
            incarnations.start_from_clock(self.now + 1.0),
            addresses.Address("10.0.0.1", number + 1),
            "bilbao",
        )
        return memberships.Membership(own_entry, rng)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            pending = [
                (number, datagram)
                for number, node in enumerate(self.nodes)
                if number not in self.paused and node.next_due() <= self.now
                for datagram in node.tick(self.now)
            ]
            while pending:
                pending = self.deliver(pending)

    def deliver(self, pending):
        replies = []
        for number, datagram in pending:
            self.sent_bytes += len(self.codec.encode(datagram.message))
            target = datagram.destination.port - 1
            lost = self.rng.random() < self.loss
            if (
                lost
                or target in self.paused
                or (number, target) in self.blocked_links
            ):
                continue
            source = self.nodes[number].own_entry.address
            node = self.nodes[target]
            for reply in node.receive(source, datagram.message, self.now):
                replies.append((target, reply))
        return replies

    def observed_state(self, number, target):
        """Return the state of the target's current incarnation at a node.

        It is None if the node has no entry of this incarnation.
        """
        member = self.nodes[number].find(
            self.nodes[target].own_entry.incarnation
        )
        return member.state if member else None

    def all_observe(self, target, state):
        """Return whether all other running nodes see the target in a state."""
        return all(
            self.observed_state(number, target) == state
            for number in range(self.size)
            if number not in (target, *self.paused)
        )


@pytest.fixture
def cluster():
    return Cluster(7)


def test_no_host_is_suspected_without_faults(cluster):
    cluster.run(60.0)
    for target in range(cluster.size):
        assert cluster.all_observe(target, State.ALIVE)


def test_unresponsive_host_is_declared_dead_by_all(cluster):
    cluster.run(1.0)
    cluster.paused.add(3)
    cluster.run(4.0)
    assert cluster.all_observe(3, State.DEAD)


def test_packet_loss_causes_no_false_death():
    cluster = Cluster(7, loss=0.1)
    cluster.run(60.0)
    assert sum(node.false_positives for node in cluster.nodes) == 0


def test_paused_host_rejoins_with_a_new_incarnation(cluster):
    cluster.run(1.0)
    before = cluster.nodes[3].own_entry.incarnation
    cluster.paused.add(3)
    cluster.run(4.0)
    cluster.paused.clear()
    cluster.run(6.0)
    assert cluster.nodes[3].own_entry.incarnation != before
    assert cluster.all_observe(3, State.ALIVE)
    assert cluster.nodes[0].is_dead(before)
    assert before in cluster.nodes[3].own_incarnations


@pytest.mark.parametrize("target", range(7))
def test_resumed_host_causes_no_false_death(cluster, target):
    cluster.run(1.0 + target * 0.06)
    # Its probes are pending and its suspicions open when it is paused.
    cluster.blocked_links = {(target, each) for each in range(7)}
    cluster.run(0.3)
    cluster.blocked_links.clear()
    cluster.paused.add(target)
    cluster.run(4.0)
    cluster.paused.clear()
    cluster.run(6.0)
    others = [n for k, n in enumerate(cluster.nodes) if k != target]
    assert sum(node.false_positives for node in others) == 0


def test_stale_update_of_an_older_start_does_not_end_a_newer_one(cluster):
    node = cluster.nodes[3]
    older = node.own_entry
    node.start_new_incarnation()
    middle = node.own_entry
    node.start_new_incarnation()
    newest = node.own_entry
    for other in (cluster.nodes[0], cluster.nodes[1]):
        other.merge_view((newest,), 0.0)
        other.merge_view((middle, older), 0.0)
        assert not other.is_dead(newest.incarnation)
        assert other.is_dead(middle.incarnation)
        assert other.is_dead(older.incarnation)


def test_host_whose_clock_went_back_continues_after_its_last_start(cluster):
    node = cluster.nodes[3]
    ahead = node.own_entry
    for _ in range(500):
        ahead = attrs.evolve(ahead, start=incarnations.next_start(ahead.start))
    cluster.nodes[0].merge_view((ahead,), 0.0)
    cluster.run(5.0)
    assert incarnations.is_newer_start(node.own_entry.start, ahead.start)
    assert cluster.all_observe(3, State.ALIVE)


def test_one_way_partition_is_bypassed_by_indirect_probes(cluster):
    cluster.blocked_links = {(0, 1)}
    cluster.run(30.0)
    assert cluster.all_observe(0, State.ALIVE)
    assert cluster.all_observe(1, State.ALIVE)


def test_partitioned_halves_merge_again(cluster):
    left, right = (0, 1, 2), (3, 4, 5, 6)
    cluster.blocked_links = {(a, b) for a in left for b in right}
    cluster.blocked_links |= {(b, a) for a, b in cluster.blocked_links}
    cluster.run(10.0)
    assert len(cluster.nodes[0].alive()) == 3
    assert len(cluster.nodes[5].alive()) == 4
    cluster.blocked_links.clear()
    cluster.run(30.0)
    assert all(len(node.alive()) == 7 for node in cluster.nodes)


def test_restart_of_20_of_60_hosts_at_once():
    """Guard against missing members and false deaths after a mass restart."""
    cluster = Cluster(60)
    cluster.run(1.0)
    for number in range(20):
        cluster.nodes[number] = restarted = cluster.make_node(number)
        others = tuple(each.own_entry for each in cluster.nodes[20:])
        restarted.merge_view(others, cluster.now)
        for node in cluster.nodes[20:23]:
            node.merge_view((restarted.own_entry,), cluster.now)
    cluster.run(15.0)
    for node in cluster.nodes:
        assert len(node.alive()) == 60
    assert sum(node.false_positives for node in cluster.nodes) == 0


def test_leaving_host_is_excluded_at_once(cluster):
    cluster.run(1.0)
    cluster.nodes[2].mark_leaving()
    cluster.run(2.0)
    for number in (0, 1, 3):
        members = cluster.nodes[number].dispatch_candidates()
        assert cluster.nodes[2].own_entry.number not in [
            m.number for m in members
        ]
    assert cluster.all_observe(2, State.LEAVING)


def test_traffic_per_host_does_not_grow_with_the_cluster():
    bytes_per_second = []
    for size in (7, 60):
        cluster = Cluster(size)
        # Wait until the updates from the start are no longer gossiped.
        cluster.run(30.0)
        cluster.sent_bytes = 0
        cluster.run(20.0)
        bytes_per_second.append(cluster.sent_bytes / size / 20.0)
    assert max(bytes_per_second) < 5000
    assert bytes_per_second[1] < 1.5 * bytes_per_second[0]


def test_dead_entries_are_bounded(cluster):
    node = cluster.nodes[0]
    for number in range(memberships.EVICTION_THRESHOLD + 500):
        dead = attrs.evolve(
            node.own_entry, number=100 + number, state=int(State.DEAD)
        )
        node.merge_view((dead,), 0.0)
    assert len(node.members) <= memberships.EVICTION_THRESHOLD + 1
