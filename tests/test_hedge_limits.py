"""Limits of hedging: the share of hedges, and when an opening is slow."""

from hypothesis import given
from hypothesis import strategies

from tests import hedging_world as worlds
from vanilladrum.core.hedging import budget as budgets
from vanilladrum.core.hedging import opening_times


@given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 400), strategies.integers(0, 8)
        ),
        max_size=120,
    ),
    share=strategies.sampled_from([0.01, 0.05, 0.29, 0.5, 1.0]),
)
def test_hedges_keep_their_share_in_every_window(steps, share):
    """In each 10 s up to a hedge; unevenly spaced packets, gaps, bursts."""
    budget = budgets.HedgeBudget(share)
    # In units of 1/64 s, so that the test does not round.
    window = 640
    now = 0
    packets = []
    hedges = []
    for gap, count in steps:
        now += gap
        for _ in range(count):
            budget.record_first_packet(now / 64)
            packets.append(now)
        while budget.allows(now / 64) and len(hedges) < 200:
            budget.record_hedge(now / 64)
            hedges.append(now)
            recent = sum(now - window <= each for each in hedges)
            seen = sum(now - window < each for each in packets)
            assert recent <= share * seen


def test_budget_is_used_and_exceeding_it_is_counted():
    """A limit that allows nothing would pass the test of the windows."""
    host = worlds.make_learnt_host(worlds.make_distant_servers(16), share=0.5)
    for port in range(1024, 1028):
        worlds.send_first(host, port)
    assert len(worlds.wait_for_hedge(host)) == 2
    assert host.counters["hedges_denied_budget"] == 2


def test_repeated_openings_do_not_raise_the_limit():
    """Three in a hundred that wait for a copy would hide all slow ones."""
    host = worlds.make_host(
        worlds.make_servers(10),
        worlds.make_settings(0.001, 0.99),
    )
    world = worlds.World(
        host,
        lambda server, now: None if round(now / 0.02) % 33 == 0 else 0.0,
    )
    world.open(0.0, count=400)
    world.run(10.0)
    assert sum(each > 0.2 for each in world.durations()) >= 10
    assert host.hedge_policy.limit("bookings") < 0.04


@given(
    durations=strategies.lists(
        strategies.floats(0.001, 1.9), min_size=116, max_size=116
    )
)
def test_limit_exceeds_the_percentile_by_five_percent_at_most(durations):
    times = opening_times.OpeningTimes(0.99)
    for number, seconds in enumerate(durations):
        assert (times.limit is None) == (number < 100)
        times.add(seconds)
    # 115 of 116 are 0.991.
    exact = sorted(durations)[114]
    assert exact <= times.limit <= exact * 1.0501


def test_silent_hedges_count_as_signs_of_scarce_capacity():
    """Otherwise hedges to full servers would not stop the next ones."""
    host = worlds.make_learnt_host(worlds.make_distant_servers(16))
    now = worlds.LEARNT
    servers = [worlds.send_first(host, 1024 + n) for n in range(9)]
    assert len(set(servers)) == 9
    for number, server in enumerate(servers[:8]):
        worlds.later_server(host, server.tag, now + 0.01, 1024 + number)
    assert len(worlds.wait_for_hedge(host)) == 1
    assert not host.hedge_policy.is_scarce(now + 0.05)
    host.tick(now + 0.1)
    # Two of ten, of which one is the hedge.
    assert host.hedge_policy.is_scarce(now + 0.1)
