"""No cold server gets more first packets than its limit from all hosts.

Mutants of the rule show that these tests would notice its violation.
"""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests import warm_up_fleets
from vanilladrum.core.warmup import budget as budgets
from vanilladrum.core.warmup import members

# Local hosts of one data centre; the fleets of the users have fewer there.
SIZES = (7, 68, 195, 300)
RATES = (0.0, 3.0, 10.0, 30.0, 100.0)
# Begin and length in seconds of the time that is looked at in a fleet whose
# views stay as they are.
BEGIN = 200.0
SECONDS = 2.5


def count_worst_second(size, rate, seed, lacking):
    """Return the most first packets in any second under random views.

    :param lacking: whether hosts lack up to k others altogether, as if these
        had just started. Otherwise they know all, and each one hears any part
        of them, as after pauses and cuts.
    """
    rng = random.Random(seed)
    hosts, _ = budgets.divide(warm_up_fleets.limit(rate))
    heard_share = rng.choice((0.3, 0.5, 0.6, 0.8, 0.95, 1.0))
    times = []
    for number in range(size):
        others = [each for each in range(size) if each != number]
        if lacking:
            missing = rng.sample(others, min(hosts, len(others)))
            valid = known = set(others) - set(missing)
        else:
            known = others
            valid = [each for each in others if rng.random() < heard_share]
        view = warm_up_fleets.View(number, valid, known, BEGIN)
        budget = warm_up_fleets.make_settled_budget(view, rate, BEGIN)
        if budget.may_send(warm_up_fleets.COLD, BEGIN):
            times.extend(send_often(budget, rate, rng))
    return warm_up_fleets.worst_second(times)


def send_often(budget, rate, rng):
    """Try to send at random times and return those of the first packets."""
    times = []
    now = BEGIN + rng.uniform(0.0, 0.3)
    while now < BEGIN + SECONDS:
        if budget.may_send(warm_up_fleets.COLD, now):
            budget.record(warm_up_fleets.COLD, now)
            times.append(now)
        now += rng.expovariate(4 * warm_up_fleets.limit(rate))
    return times


@pytest.mark.parametrize("size", SIZES)
@settings(max_examples=12, deadline=None)
@given(
    rate=strategies.sampled_from(RATES),
    seed=strategies.integers(0, 2**32),
    lacking=strategies.booleans(),
)
def test_random_views_keep_the_limit(size, rate, seed, lacking):
    """Hosts that see different members together exceeded the limit."""
    worst = count_worst_second(size, rate, seed, lacking)
    assert worst <= warm_up_fleets.limit(rate)


@pytest.mark.parametrize("size", SIZES)
def test_equal_views_use_their_share(size):
    """A limit that is kept by sending nothing would be of no use."""
    times = []
    for number in range(size):
        others = set(range(size)) - {number}
        view = warm_up_fleets.View(number, others, others, BEGIN)
        budget = warm_up_fleets.make_settled_budget(view, 30.0, BEGIN)
        times += send_often(budget, 30.0, random.Random(number))
    # Six hosts with four each, half of the limit of 50.
    assert warm_up_fleets.worst_second(times) == 24


@settings(max_examples=200, deadline=None)
@given(limit=strategies.floats(0.0, 1e6))
def test_shares_of_two_views_never_exceed_the_limit(limit):
    hosts, share = budgets.divide(limit)
    assert 2 * hosts * share <= limit
    assert 1 <= hosts <= 8


def ignore_unheard_hosts(monkeypatch):
    """Rank among the hosts that are heard only."""
    original = members.LocalMembers._update_view

    def update(self, now):
        original(self, now)
        self.known = self.valid

    monkeypatch.setattr(members.LocalMembers, "_update_view", update)


def share_among_one_view(monkeypatch):
    """Give the hosts of one view the whole limit."""
    monkeypatch.setattr(budgets, "VIEWS", 1)


def count_calendar_seconds(monkeypatch):
    """Start a new budget with each second of the clock."""
    monkeypatch.setattr(
        budgets.WarmUpBudget,
        "_count_sent",
        lambda self, name, now: sum(
            int(time) == int(now) for time in self._sent.get(name, ())
        ),
    )


def shorten_window(monkeypatch):
    """Count the first packets of half a second."""
    monkeypatch.setattr(budgets, "WINDOW_SECONDS", 0.5)


def allow_any_rank(monkeypatch):
    """Let all hosts of the data centre send."""
    monkeypatch.setattr(
        members.LocalMembers, "is_among_first", lambda *_: True
    )


@pytest.mark.parametrize(
    "mutate",
    [
        ignore_unheard_hosts,
        share_among_one_view,
        count_calendar_seconds,
        shorten_window,
        allow_any_rank,
    ],
)
def test_mutant_of_the_rule_exceeds_the_limit(mutate, monkeypatch):
    """A property test that no broken rule fails would prove nothing."""
    mutate(monkeypatch)
    assert any(
        count_worst_second(68, rate, seed, False) > warm_up_fleets.limit(rate)
        for seed in range(30)
        for rate in RATES[:3]
    )


# Fleets with digests, in which hosts come, go, pause and are cut off


def disturb(fleet):
    """Change a fleet at random; several hosts at a time."""
    kind = fleet.rng.choice(
        ("kill", "restart", "pause", "join", "cut", "heal", "quiet")
    )
    count = max(1, len(fleet.hosts) // fleet.rng.choice((2, 4, 10, 50)))
    chosen = fleet.choose(count)
    if kind == "join":
        for _ in range(min(count, 8)):
            fleet.start(len(fleet.hosts))
    if kind == "heal":
        for host in fleet.hosts.values():
            host.side = 0
    for host in chosen:
        if kind == "kill":
            host.alive = False
        if kind == "restart":
            fleet.start(host.number)
        if kind == "pause":
            host.paused_until = fleet.now + fleet.rng.choice((0.5, 5, 25, 70))
        if kind == "cut":
            host.side = 1


@pytest.mark.parametrize(
    ("size", "data_centres", "steps", "seed"),
    [(7, 1, 60, seed) for seed in range(10)]
    + [(68, 4, 25, 1), (68, 4, 25, 2), (195, 6, 5, 1), (300, 10, 3, 1)],
)
def test_moving_fleet_keeps_the_limit(size, data_centres, steps, seed):
    """Views differ most while hosts come, go, pause and are cut off."""
    fleet = warm_up_fleets.Fleet(size, data_centres, seed)
    fleet.run(4.0)
    for _ in range(steps):
        disturb(fleet)
        fleet.run(fleet.rng.choice((0.3, 1.0, 3.0)))
    assert fleet.sent_at
    assert fleet.worst_second() <= warm_up_fleets.limit(0.0)


class HastyHost(warm_up_fleets.Host):
    """A host that sends to cold servers from its start on."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.budget.members.is_reliable = self.is_reliable

    def is_reliable(self, now):
        self.budget.members.observe(now)
        self.budget.members._update_view(now)
        return True


def test_mutant_without_discovery_exceeds_the_limit():
    """All hosts of a data centre that start together see nobody at first."""
    fleet = warm_up_fleets.Fleet(68, 4, make_host=HastyHost)
    fleet.run(2.0)
    assert fleet.worst_second() > warm_up_fleets.limit(0.0)
