"""Failure detection: loss, freezes, cuts, refutation, cost a host."""

import random

import attrs
import pytest

from vanilladrum.core import address as addresses
from vanilladrum.core import membership as memberships
from vanilladrum.core import peers
from vanilladrum.core import starts
from vanilladrum.wire import peers as wire_peers

STEP = 0.02
State = starts.State


@attrs.define(eq=False)
class Group:
    """Membership cores whose datagrams are delivered at the next step."""

    size: int
    loss: float = 0.0
    now: float = 0.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(5))
    nodes: list = attrs.field(factory=list)
    frozen: set = attrs.field(factory=set)
    cut: set = attrs.field(factory=set)
    codec: wire_peers.Codec = wire_peers.Codec(b"k" * 16)
    sent_bytes: int = 0

    def __attrs_post_init__(self):
        for number in range(self.size):
            self.nodes.append(self.node(number))
        entries = tuple(node.me for node in self.nodes)
        for node in self.nodes:
            node.merge_all(entries, 0.0)

    def node(self, number):
        rng = random.Random(self.rng.random())
        me = peers.Member(
            number,
            starts.first_start(self.now + 1.0),
            addresses.Address("10.0.0.1", number + 1),
            "bilbao",
        )
        return memberships.Membership(me, rng)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            pending = [
                (number, datagram)
                for number, node in enumerate(self.nodes)
                if number not in self.frozen and node.next_timer() <= self.now
                for datagram in node.tick(self.now)
            ]
            while pending:
                pending = self.deliver(pending)

    def deliver(self, pending):
        replies = []
        for number, datagram in pending:
            self.sent_bytes += len(self.codec.encode(datagram.message))
            target = datagram.to.port - 1
            lost = self.rng.random() < self.loss
            if lost or target in self.frozen or (number, target) in self.cut:
                continue
            source = self.nodes[number].me.address
            node = self.nodes[target]
            for reply in node.receive(source, datagram.message, self.now):
                replies.append((target, reply))
        return replies

    def sees(self, number, target):
        found = self.nodes[number].find(self.nodes[target].me.incarnation)
        return found.state if found else None

    def all_see(self, target, state):
        return all(
            self.sees(number, target) == state
            for number in range(self.size)
            if number not in (target, *self.frozen)
        )


@pytest.fixture
def group():
    return Group(7)


def test_nobody_is_suspected_in_quiet_times(group):
    group.run(60.0)
    for target in range(group.size):
        assert group.all_see(target, State.ALIVE)


def test_silent_host_is_declared_dead_by_all(group):
    group.run(1.0)
    group.frozen.add(3)
    group.run(4.0)
    assert group.all_see(3, State.DEAD)


def test_loss_of_datagrams_ends_no_host():
    group = Group(7, loss=0.1)
    group.run(60.0)
    assert sum(node.false_deaths for node in group.nodes) == 0


def test_frozen_host_comes_back_under_a_new_incarnation(group):
    group.run(1.0)
    before = group.nodes[3].me.incarnation
    group.frozen.add(3)
    group.run(4.0)
    group.frozen.clear()
    group.run(6.0)
    assert group.nodes[3].me.incarnation != before
    assert group.all_see(3, State.ALIVE)
    assert group.nodes[0].is_lost(before)
    assert before in group.nodes[3].own_incarnations


@pytest.mark.parametrize("target", range(7))
def test_host_that_wakes_accuses_nobody(group, target):
    group.run(1.0 + target * 0.06)
    # It was probing, and suspecting, when it froze.
    group.cut = {(target, each) for each in range(7)}
    group.run(0.3)
    group.cut.clear()
    group.frozen.add(target)
    group.run(4.0)
    group.frozen.clear()
    group.run(6.0)
    others = [n for k, n in enumerate(group.nodes) if k != target]
    assert sum(node.false_deaths for node in others) == 0


def test_late_rumour_of_an_older_start_ends_no_newer_one(group):
    node = group.nodes[3]
    older = node.me
    node.take_new_incarnation()
    between = node.me
    node.take_new_incarnation()
    newest = node.me
    for other in (group.nodes[0], group.nodes[1]):
        other.merge_all((newest,), 0.0)
        other.merge_all((between, older), 0.0)
        assert not other.is_lost(newest.incarnation)
        assert other.is_lost(between.incarnation)
        assert other.is_lost(older.incarnation)


def test_host_with_a_clock_that_went_back_follows_its_last_start(group):
    node = group.nodes[3]
    ahead = node.me
    for _ in range(500):
        ahead = attrs.evolve(ahead, start=starts.following_start(ahead.start))
    group.nodes[0].merge_all((ahead,), 0.0)
    group.run(5.0)
    assert starts.newer(node.me.start, ahead.start)
    assert group.all_see(3, State.ALIVE)


def test_one_way_cut_between_two_is_bridged_by_helpers(group):
    group.cut = {(0, 1)}
    group.run(30.0)
    assert group.all_see(0, State.ALIVE)
    assert group.all_see(1, State.ALIVE)


def test_halves_part_in_a_cut_and_meet_again(group):
    left, right = (0, 1, 2), (3, 4, 5, 6)
    group.cut = {(a, b) for a in left for b in right}
    group.cut |= {(b, a) for a, b in group.cut}
    group.run(10.0)
    assert len(group.nodes[0].alive()) == 3
    assert len(group.nodes[5].alive()) == 4
    group.cut.clear()
    group.run(30.0)
    assert all(len(node.alive()) == 7 for node in group.nodes)


def test_twenty_of_sixty_restarted_at_once():
    group = Group(60)
    group.run(1.0)
    for number in range(20):
        group.nodes[number] = fresh = group.node(number)
        others = tuple(each.me for each in group.nodes[20:])
        fresh.merge_all(others, group.now)
        for node in group.nodes[20:23]:
            node.merge_all((fresh.me,), group.now)
    group.run(15.0)
    for node in group.nodes:
        assert len(node.alive()) == 60
    assert sum(node.false_deaths for node in group.nodes) == 0


def test_leaving_host_takes_no_part_at_once(group):
    group.run(1.0)
    group.nodes[2].leave()
    group.run(2.0)
    for number in (0, 1, 3):
        members = group.nodes[number].trusted()
        assert group.nodes[2].me.number not in [m.number for m in members]
    assert group.all_see(2, State.LEAVING)


def test_bytes_a_host_do_not_grow_with_the_group():
    costs = []
    for size in (7, 60):
        group = Group(size)
        # The rumours of the start have to fade first.
        group.run(30.0)
        group.sent_bytes = 0
        group.run(20.0)
        costs.append(group.sent_bytes / size / 20.0)
    assert max(costs) < 5000
    assert costs[1] < 1.5 * costs[0]


def test_dead_entries_are_bounded(group):
    node = group.nodes[0]
    for number in range(memberships.MAX_DEAD + 500):
        dead = attrs.evolve(
            node.me, number=100 + number, state=int(State.DEAD)
        )
        node.merge_all((dead,), 0.0)
    assert len(node.members) <= memberships.MAX_DEAD + 1
