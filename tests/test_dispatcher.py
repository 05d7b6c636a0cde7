"""Slots, classes, fairness, admission, health and budgets."""

import random

import attrs
import conftest
import pytest

from vanilladrum.core import dispatcher as dispatchers
from vanilladrum.core import fleet as fleets
from vanilladrum.core import health as healths
from vanilladrum.core import job as jobs
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens

NOW = 100.0
URGENT = fleets.Priority.URGENT
BULK = fleets.Priority.BULK
TOKEN = tokens.Token(0, 1, 0, b"", b"", b"")


@pytest.fixture
def make():
    def maker(servers: int = 2, **limits) -> dispatchers.Dispatcher:
        service = conftest.make_fleet(servers=servers, **limits).services[0]
        found = dispatchers.Dispatcher(service, random.Random(1))
        found.configure(service, NOW)
        return found

    return maker


def job(priority=URGENT, arrived=NOW, wait=5.0, caller="quiet", **more):
    request = requests.Request(1, True, "/", b"")
    due = arrived + wait
    return jobs.Job(
        (b"", b""),
        request,
        TOKEN,
        priority,
        arrived,
        due,
        caller=caller,
        **more,
    )


def fill(dispatcher, now=NOW):
    """Take every slot and return the jobs that hold them."""
    slots = sum(each.slots for each in dispatcher.servers.values())
    for _ in range(slots):
        dispatcher.enqueue(job(arrived=now))
    return dispatcher.pump(now)


def next_start(dispatcher, now):
    """Free a slot and return the class that gets it."""
    dispatcher.release(1)
    (start,) = dispatcher.pump(now)
    return start.job.priority


def test_no_server_gets_more_than_its_slots(make):
    dispatcher = make()
    started = fill(dispatcher)
    dispatcher.enqueue(job())
    assert dispatcher.pump(NOW) == []
    assert sorted(each.server.number for each in started) == [1, 1, 2, 2]


def test_urgent_goes_first_until_bulk_has_waited_its_time(make):
    dispatcher = make(aging=0.5, bulk_share=0.1)
    fill(dispatcher)
    dispatcher.enqueue(job(BULK))
    for _ in range(100):
        dispatcher.enqueue(job())
    early = [next_start(dispatcher, NOW + 0.4) for _ in range(40)]
    assert early == [URGENT] * 40
    late = [next_start(dispatcher, NOW + 0.6) for _ in range(20)]
    assert BULK in late


def test_aged_bulk_takes_its_share_and_no_more(make):
    dispatcher = make(aging=0.1, bulk_share=0.1)
    fill(dispatcher)
    for _ in range(400):
        dispatcher.enqueue(job(BULK, caller=object()))
        dispatcher.enqueue(job(caller=object()))
    got = [next_start(dispatcher, NOW + 1.0) for _ in range(300)]
    assert 25 <= got.count(BULK) <= 35


def test_busy_caller_waits_behind_quiet_ones(make):
    dispatcher = make()
    fill(dispatcher)
    for _ in range(50):
        dispatcher.enqueue(job(caller="noisy"))
    dispatcher.enqueue(job(arrived=NOW + 0.1, caller="quiet"))
    order = []
    for _ in range(8):
        dispatcher.release(1)
        (start,) = dispatcher.pump(NOW + 0.1)
        order.append(start.job.caller)
    assert "quiet" in order


def test_one_caller_cannot_fill_the_queue(make):
    dispatcher = make(max_queue=80)
    fill(dispatcher)
    admitted = 0
    while dispatcher.admits(job(caller="noisy"), NOW) and admitted < 80:
        dispatcher.enqueue(job(caller="noisy"))
        admitted += 1
    assert admitted == 10
    assert dispatcher.admits(job(caller="quiet"), NOW)


def test_urgent_is_admitted_past_a_long_queue_of_bulk(make):
    dispatcher = make()
    fill(dispatcher)
    dispatcher.bulk.interval = 0.1
    while dispatcher.admits(job(BULK, caller=object()), NOW):
        dispatcher.enqueue(job(BULK, caller=object()))
    assert dispatcher.queued >= 50
    assert dispatcher.admits(job(wait=0.1), NOW)


def test_hopeless_job_is_not_admitted(make):
    dispatcher = make()
    fill(dispatcher)
    dispatcher.urgent.interval = 0.1
    for _ in range(10):
        dispatcher.enqueue(job(caller=object()))
    assert not dispatcher.admits(job(wait=0.5, caller=object()), NOW)
    assert dispatcher.admits(job(wait=2.0, caller=object()), NOW)


def test_withdrawn_jobs_leave_no_trace(make):
    dispatcher = make()
    fill(dispatcher)
    queued = [job(caller=n % 3) for n in range(30)]
    for each in queued:
        dispatcher.enqueue(each)
    for each in queued:
        dispatcher.withdraw(each)
        dispatcher.withdraw(each)
    assert dispatcher.queued == 0
    assert not dispatcher.urgent._outstanding
    assert not dispatcher.urgent.shared


def test_pinned_job_waits_for_its_home_and_ranks_with_the_others(make):
    dispatcher = make(affinity=fleets.Affinity.CONNECTION)
    fill(dispatcher)
    pinned = job(home=2)
    dispatcher.enqueue(pinned)
    dispatcher.release(1)
    assert dispatcher.pump(NOW) == []
    dispatcher.release(2)
    (start,) = dispatcher.pump(NOW)
    assert start.job is pinned and start.server.number == 2


def test_silent_server_is_ejected_within_the_floor(make):
    dispatcher = make(servers=4)
    for _ in range(healths.Thresholds().consecutive):
        for number in (1, 2, 3, 4):
            dispatcher.failed(number, NOW)
    ejected = [
        each.number
        for each in dispatcher.servers.values()
        if not each.health.takes_work(NOW)
    ]
    assert ejected == [1, 2]
    assert len(fill(dispatcher)) == 4
    assert dispatcher.servers[1].health.takes_work(NOW + 1.5)


def test_retries_end_when_all_servers_decline(make):
    dispatcher = make(retry_ratio=0.1)
    allowed = 0
    for _ in range(1000):
        allowed += dispatcher.may_retry(job())
    assert allowed == dispatchers.BUDGET_CAP
    for _ in range(100):
        dispatcher.answered(job(), 1, 0.01)
    again = sum(dispatcher.may_retry(job()) for _ in range(1000))
    assert again == pytest.approx(10, abs=1)


def test_second_copies_stay_within_their_budget(make):
    dispatcher = make(hedge_ratio=0.03)
    dispatcher.hedge_budget = 0.0
    copies = 0
    for _ in range(1000):
        dispatcher.answered(job(), 1, 0.01)
        straggler = job()
        straggler.running = {1: 1}
        start = dispatcher.second_copy(straggler, NOW)
        if start is not None:
            copies += 1
            assert start.server.number == 2
            dispatcher.release(2)
    assert 25 <= copies <= 30


def test_hedge_delay_learns_a_high_quantile(make):
    dispatcher = make()
    rng = random.Random(3)
    for _ in range(5000):
        dispatcher.answered(job(), 1, rng.uniform(0.01, 0.03))
    assert 0.025 <= dispatcher.hedge_delay <= 0.035


def test_cold_server_gets_one_slot_at_first(make):
    dispatcher = make(servers=1, slow_start=5.0)
    service = attrs.evolve(
        dispatcher.service,
        servers=(*dispatcher.service.servers, conftest.make_server(9)),
    )
    dispatcher.configure(service, NOW)
    assert len(fill(dispatcher)) == 3
    dispatcher.enqueue(job())
    assert len(dispatcher.pump(NOW + 5.1)) == 1


@pytest.mark.parametrize("retry_after", [-1.0, 0.0, 1e9, float("inf")])
def test_nonsense_of_a_declining_server_is_bounded(make, retry_after):
    dispatcher = make(servers=1)
    dispatcher.declined(1, retry_after, NOW)
    assert not dispatcher.servers[1].health.takes_work(NOW)
    assert dispatcher.servers[1].health.takes_work(NOW + 1.01)


def test_own_pause_does_not_make_the_queue_look_slow(make):
    dispatcher = make()
    fill(dispatcher)
    for _ in range(30):
        dispatcher.enqueue(job(caller=object()))
    dispatcher.release(1)
    dispatcher.pump(NOW + 0.01)
    dispatcher.release(1)
    dispatcher.pump(NOW + 10.0)
    late = job(arrived=NOW + 10.0, wait=1.0, caller=object())
    assert dispatcher.admits(late, NOW + 10.0)
