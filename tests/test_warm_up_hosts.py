"""Hosts that start, pause or are cut off while servers are cold."""

import pytest

from tests import flow_factories
from tests import warm_up_fleets
from vanilladrum.core import digest as digests
from vanilladrum.core.warmup import attachment
from vanilladrum.core.warmup import members


def hear(host, numbers, now):
    """Make a host receive digests of other hosts of its data centre."""
    for number in numbers:
        digest = digests.Digest(
            1, int(now * 100), 1, 1, False, False, False, False, 1, {}, ()
        )
        host.neighbours.receive(warm_up_fleets.address_of(number), digest, now)


def run(host, numbers, begin, end):
    """Let time pass in which a host hears others."""
    for step in range(int((end - begin) * 5) + 1):
        now = begin + step * 0.2
        hear(host, numbers, now)
        host.tick(now)


def make_first_host(cold):
    """Return a host that has started at 0 and precedes hosts 1 to 6."""
    host = flow_factories.make_host([cold, flow_factories.make_server(2)])
    attachment.attach(host, 1.5, 5.0)
    host.warm_up.update_entry(cold, 0.0)
    return host


@pytest.fixture
def cold():
    """Return a server for which the own host precedes hosts 1 to 6."""
    others = [warm_up_fleets.address_of(number) for number in range(1, 7)]
    for number in range(1, 1000):
        server = flow_factories.make_server(number, warm_up=1000.0)
        ranked = [flow_factories.OWN_ADDRESS, *others]
        ranked.sort(key=lambda each: members.weight(each, server.name))
        if ranked[-1] == flow_factories.OWN_ADDRESS:
            return server
    raise AssertionError("no such server")


def test_starting_host_has_no_budget_until_it_knows_the_others(cold):
    """Hosts that start together see nobody and would all send."""
    host = make_first_host(cold)
    run(host, range(1, 7), 0.0, 2.8)
    assert not host.warm_up.may_send(cold, 2.8)
    run(host, range(1, 7), 3.0, 3.4)
    assert host.warm_up.may_send(cold, 3.4)


def test_host_that_hears_fewer_than_half_has_no_budget(cold):
    """A host that is cut off took itself for one of the first."""
    host = make_first_host(cold)
    run(host, range(1, 7), 0.0, 5.0)
    run(host, (1, 2, 3), 5.2, 7.0)
    assert host.warm_up.may_send(cold, 7.0)
    run(host, (1, 2), 7.2, 9.0)
    assert not host.warm_up.may_send(cold, 9.0)
    run(host, range(1, 7), 9.2, 10.0)
    assert host.warm_up.may_send(cold, 10.0)


def test_isolated_host_never_concludes_that_it_is_the_only_one(cold):
    """After a minute it has forgotten the others, which are still there."""
    host = make_first_host(cold)
    run(host, range(1, 7), 0.0, 5.0)
    run(host, (), 5.2, 90.0)
    assert not host.warm_up.may_send(cold, 90.0)
    run(host, (3,), 90.2, 91.0)
    assert not host.warm_up.may_send(cold, 91.0)
    run(host, range(1, 7), 91.2, 95.0)
    assert host.warm_up.may_send(cold, 95.0)


def test_host_that_starts_while_it_is_isolated_has_no_budget(cold):
    """It knows nobody, but it was told of other hosts."""
    host = make_first_host(cold)
    seed = warm_up_fleets.address_of(3)
    host.neighbours.seeds = frozenset({seed})
    host.neighbours.add(seed, 0.0)
    run(host, (), 0.0, 90.0)
    assert not host.warm_up.may_send(cold, 90.0)
    hear(host, (3,), 90.0)
    host.tick(90.2)
    assert not host.warm_up.may_send(cold, 90.2)


def test_host_that_was_paused_has_no_budget_until_it_hears_the_others(cold):
    """Its view is empty after the pause, and a packet may come first."""
    host = make_first_host(cold)
    run(host, range(1, 7), 0.0, 5.0)
    assert not host.warm_up.may_send(cold, 100.0)
    hear(host, (3,), 100.1)
    assert not host.warm_up.may_send(cold, 100.1)
    run(host, range(1, 7), 100.2, 104.0)
    assert host.warm_up.may_send(cold, 104.0)


def test_short_pause_costs_no_budget_once_the_others_are_heard(cold):
    host = make_first_host(cold)
    run(host, range(1, 7), 0.0, 5.0)
    assert not host.warm_up.may_send(cold, 10.0)
    run(host, range(1, 7), 10.0, 10.4)
    assert host.warm_up.may_send(cold, 10.4)


def test_restarted_host_does_not_use_its_share_twice(cold):
    """Its record of first packets is lost; the discovery outlasts it."""
    host = make_first_host(cold)
    run(host, range(1, 7), 0.0, 5.0)
    assert host.warm_up.may_send(cold, 5.0)
    host.warm_up.record(cold, 5.0)
    restarted = make_first_host(cold)
    run(restarted, range(1, 7), 5.1, 6.1)
    assert not restarted.warm_up.may_send(cold, 6.1)


def test_dead_hosts_are_replaced():
    """Cold servers would stay unused if the first hosts had failed."""
    fleet = warm_up_fleets.Fleet(7, 1)
    fleet.run(5.0)
    ranked = sorted(
        fleet.hosts.values(),
        key=lambda host: members.weight(
            host.address, warm_up_fleets.COLD.name
        ),
    )
    for host in ranked[-2:]:
        host.alive = False
    fleet.run(1.0)
    fleet.sent_at.clear()
    fleet.run(3.0)
    assert len(fleet.sent_at[0]) == 2 * 3


def test_weights_are_computed_once_while_the_members_stay(cold, monkeypatch):
    """A decision would cost as much as there are hosts in the data centre."""
    host = make_first_host(cold)
    run(host, range(1, 7), 0.0, 5.0)
    assert host.warm_up.may_send(cold, 5.0)
    monkeypatch.setattr(members, "weight", None)
    for step in range(40):
        now = 5.0 + step * 0.05
        hear(host, range(1, 7), now)
        host.warm_up.may_send(cold, now)
