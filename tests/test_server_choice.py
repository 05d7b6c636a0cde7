"""Choice of servers in a large fleet, in virtual time and without a network.

The hosts and the load are those of the bench of docs/design/SERVER-CHOICE.md,
in a smaller fleet.
"""

import functools
import random

from bench import emulator
from bench import fleet_candidates
from bench import fleet_choices
from bench import fleet_hosts
from bench import fleet_model
from bench import load_report
from bench import shared_balance
import pytest

SERVERS = 24
SITE = fleet_model.Site(
    32, 2, 0.0005, (fleet_model.RequestClass(300, 0.1, 0.6),)
)
THIRD_FASTER = [1.6 if n % 6 < 2 else 1.0 for n in range(SERVERS)]
POLICIES = fleet_candidates.POLICIES | fleet_candidates.FURTHER_POLICIES


def play(load, seconds, policy):
    """Run a steady load on servers of which a third is faster.

    :param load: share of the capacity of all servers.
    """
    rng = random.Random(5)
    fleet = fleet_model.Fleet(SITE, THIRD_FASTER)
    rate = load * fleet_model.SLOTS * sum(THIRD_FASTER) / SITE.mean_work
    work = []
    now = 0.0
    while (now := now + rng.expovariate(rate)) < seconds:
        demand = 0.1 * rng.lognormvariate(0.0, fleet_model.WORK_SIGMA)
        host = rng.randrange(SITE.hosts)
        work.append(
            fleet_model.FleetWork(
                now, demand, False, host, False, target=0.6, demand=demand
            )
        )
    servers = [emulator.Server(n, fleet_model.SLOTS) for n in range(SERVERS)]
    run = emulator.Run(servers, random.Random(6))
    choice = policy(run, fleet)
    run.play(work, choice)
    return work, choice


def utilisation(work, start, end):
    """Return the work that arrived in a span, by server.

    :returns: shares of the capacity of each server in that span.
    """
    shares = [0.0] * SERVERS
    for each in work:
        if start < each.arrived <= end:
            seconds = each.demand / THIRD_FASTER[each.server]
            shares[each.server] += seconds / fleet_model.SLOTS / (end - start)
    return shares


def extremes(work):
    """Return how unevenly 60 s of work were spread, after the first 4 s.

    :returns: highest utilisation of a server in any span of 2 s, lowest and
        highest one in any span of 5 s.
    """
    short = [utilisation(work, at, at + 2) for at in range(4, 58, 2)]
    longer = [utilisation(work, at, at + 5) for at in range(5, 55, 5)]
    return (
        max(max(shares) for shares in short),
        min(min(shares) for shares in longer),
        max(max(shares) for shares in longer),
    )


def test_choices_neither_herd_nor_oscillate():
    """Load: 60 s at 0.7 of the capacity, a third of the servers 1.6 faster.

    Guards against hosts that all choose the server that looks idle to them.
    It would get a multiple of its capacity in some spans, and nothing in
    others.
    """
    work, _ = play(0.7, 60.0, fleet_hosts.FlowHostChoice)
    highest, lowest, highest_longer = extremes(work)
    assert highest < 1.3
    assert lowest > 0.3
    assert highest_longer < 1.1


def test_least_loaded_server_by_late_reports_is_herded_to(monkeypatch):
    """Load: as above, with a view of the servers that is 2 s old.

    Guards against limits in the test above that herding would meet: here all
    hosts choose the server that has the least load in the late reports.
    """
    monkeypatch.setattr(shared_balance, "DRAWN_SERVERS", 12)
    late = functools.partial(fleet_hosts.ReportChoice, delay=2.0)
    work, _ = play(0.7, 60.0, late)
    highest, lowest, highest_longer = extremes(work)
    assert highest > 2.0
    assert lowest < 0.3
    assert highest_longer > 1.1


@pytest.mark.parametrize("name", POLICIES)
def test_bench_measures_each_policy(name):
    """Guards against rows of the table that no longer measure anything."""
    variant = fleet_model.Variant(False, 4.0)
    row = fleet_choices.measure(name, SITE, 0.4, variant, 1)
    assert 0 < row.p50 < row.p99
    assert 0.8 < row.in_time <= 1.0
    assert row.imbalance > 1.0
    assert row.messages >= fleet_choices.BASE_MESSAGES


def test_load_reports_of_the_candidate_are_bounded():
    """Guards against figures of a candidate whose messages grow."""
    _, choice = play(0.7, 5.0, fleet_hosts.ReportChoice)
    load = choice.loads[0]
    for tag in range(10_000):
        load.record_response(tag, 0.01, 5.0)
    report = load.make_report(5.0)
    assert len(report.servers) == load_report.MAX_ENTRIES
    assert report.size < 500
    assert len(load.receivers(5.0)) <= load_report.FAN_OUT
    assert len(load.averages) < 10_000
