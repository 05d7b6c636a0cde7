"""Tests of a dispatcher: slots, priorities, admission, health, budgets."""

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
def make_dispatcher():
    """Return a function that creates a dispatcher for one service."""

    def build(servers: int = 2, **settings) -> dispatchers.Dispatcher:
        service = conftest.make_fleet(servers=servers, **settings).services[0]
        dispatcher = dispatchers.Dispatcher(service, random.Random(1))
        dispatcher.configure(service, NOW)
        return dispatcher

    return build


def make_job(
    priority=URGENT, arrived_at=NOW, wait=5.0, caller="quiet", **fields
):
    """Return a job.

    :param arrived_at: when its request arrived, in seconds.
    :param wait: seconds from the arrival to the deadline.
    """
    request = requests.Request(1, True, "/", b"")
    deadline = arrived_at + wait
    return jobs.Job(
        (b"", b""),
        request,
        TOKEN,
        priority,
        arrived_at,
        deadline,
        caller=caller,
        **fields,
    )


def fill_slots(dispatcher, now=NOW):
    """Occupy every slot and return the started jobs."""
    slots = sum(each.slots for each in dispatcher.servers.values())
    for _ in range(slots):
        dispatcher.enqueue(make_job(arrived_at=now))
    return dispatcher.start_queued(now)


def priority_of_next_start(dispatcher, now):
    """Free one slot and return the priority of the job started on it."""
    dispatcher.release(1)
    (assignment,) = dispatcher.start_queued(now)
    return assignment.job.priority


def test_server_gets_no_more_jobs_than_it_has_slots(make_dispatcher):
    dispatcher = make_dispatcher()
    started = fill_slots(dispatcher)
    dispatcher.enqueue(make_job())
    assert dispatcher.start_queued(NOW) == []
    assert sorted(each.server.number for each in started) == [1, 1, 2, 2]


def test_urgent_goes_first_until_bulk_has_aged(make_dispatcher):
    dispatcher = make_dispatcher(aging=0.5, bulk_share=0.1)
    fill_slots(dispatcher)
    dispatcher.enqueue(make_job(BULK))
    for _ in range(100):
        dispatcher.enqueue(make_job())
    before_aging = [
        priority_of_next_start(dispatcher, NOW + 0.4) for _ in range(40)
    ]
    assert before_aging == [URGENT] * 40
    after_aging = [
        priority_of_next_start(dispatcher, NOW + 0.6) for _ in range(20)
    ]
    assert BULK in after_aging


def test_aged_bulk_gets_no_more_than_its_share(make_dispatcher):
    dispatcher = make_dispatcher(aging=0.1, bulk_share=0.1)
    fill_slots(dispatcher)
    for _ in range(400):
        dispatcher.enqueue(make_job(BULK, caller=object()))
        dispatcher.enqueue(make_job(caller=object()))
    priorities = [
        priority_of_next_start(dispatcher, NOW + 1.0) for _ in range(300)
    ]
    assert 25 <= priorities.count(BULK) <= 35


def test_quiet_caller_is_not_starved_by_a_busy_one(make_dispatcher):
    dispatcher = make_dispatcher()
    fill_slots(dispatcher)
    for _ in range(50):
        dispatcher.enqueue(make_job(caller="noisy"))
    dispatcher.enqueue(make_job(arrived_at=NOW + 0.1, caller="quiet"))
    started_callers = []
    for _ in range(8):
        dispatcher.release(1)
        (assignment,) = dispatcher.start_queued(NOW + 0.1)
        started_callers.append(assignment.job.caller)
    assert "quiet" in started_callers


def test_one_caller_cannot_fill_the_queue(make_dispatcher):
    dispatcher = make_dispatcher(max_queue=80)
    fill_slots(dispatcher)
    admitted = 0
    while dispatcher.admits(make_job(caller="noisy"), NOW) and admitted < 80:
        dispatcher.enqueue(make_job(caller="noisy"))
        admitted += 1
    assert admitted == 10
    assert dispatcher.admits(make_job(caller="quiet"), NOW)


def test_urgent_is_admitted_despite_a_long_bulk_queue(make_dispatcher):
    dispatcher = make_dispatcher()
    fill_slots(dispatcher)
    dispatcher.bulk.mean_start_interval = 0.1
    while dispatcher.admits(make_job(BULK, caller=object()), NOW):
        dispatcher.enqueue(make_job(BULK, caller=object()))
    assert dispatcher.queued_count >= 50
    assert dispatcher.admits(make_job(wait=0.1), NOW)


def test_job_that_would_miss_its_deadline_is_not_admitted(make_dispatcher):
    dispatcher = make_dispatcher()
    fill_slots(dispatcher)
    dispatcher.urgent.mean_start_interval = 0.1
    for _ in range(10):
        dispatcher.enqueue(make_job(caller=object()))
    assert not dispatcher.admits(make_job(wait=0.5, caller=object()), NOW)
    assert dispatcher.admits(make_job(wait=2.0, caller=object()), NOW)


def test_withdrawn_jobs_leave_no_state_in_the_queue(make_dispatcher):
    """Removing a job twice has no further effect."""
    dispatcher = make_dispatcher()
    fill_slots(dispatcher)
    queued = [make_job(caller=n % 3) for n in range(30)]
    for each in queued:
        dispatcher.enqueue(each)
    for each in queued:
        dispatcher.remove(each)
        dispatcher.remove(each)
    assert dispatcher.queued_count == 0
    assert not dispatcher.urgent._outstanding
    assert not dispatcher.urgent.unpinned


def test_pinned_job_waits_for_its_own_server(make_dispatcher):
    dispatcher = make_dispatcher(affinity=fleets.Affinity.CONNECTION)
    fill_slots(dispatcher)
    pinned = make_job(home=2)
    dispatcher.enqueue(pinned)
    dispatcher.release(1)
    assert dispatcher.start_queued(NOW) == []
    dispatcher.release(2)
    (assignment,) = dispatcher.start_queued(NOW)
    assert assignment.job is pinned and assignment.server.number == 2


def test_at_most_half_of_the_failing_servers_are_ejected(make_dispatcher):
    """If all servers of a service fail, half of them stay in use.

    An ejected server is available again after the duration of the ejection.
    """
    dispatcher = make_dispatcher(servers=4)
    for _ in range(healths.Thresholds().max_consecutive_failures):
        for number in (1, 2, 3, 4):
            dispatcher.record_failure(number, NOW)
    ejected = [
        each.number
        for each in dispatcher.servers.values()
        if not each.health.is_available(NOW)
    ]
    assert ejected == [1, 2]
    assert len(fill_slots(dispatcher)) == 4
    assert dispatcher.servers[1].health.is_available(NOW + 1.5)


def test_retries_are_limited_by_their_budget(make_dispatcher):
    """The budget grows by ``retry_ratio`` with every answer."""
    dispatcher = make_dispatcher(retry_ratio=0.1)
    retries = 0
    for _ in range(1000):
        retries += dispatcher.try_consume_retry(make_job())
    assert retries == dispatchers.MAX_ATTEMPT_BUDGET
    for _ in range(100):
        dispatcher.record_answer(make_job(), 1, 0.01)
    retries_after_refill = sum(
        dispatcher.try_consume_retry(make_job()) for _ in range(1000)
    )
    assert retries_after_refill == pytest.approx(10, abs=1)


def test_hedged_attempts_stay_within_their_budget(make_dispatcher):
    """The budget grows by ``hedge_ratio`` with every answer."""
    dispatcher = make_dispatcher(hedge_ratio=0.03)
    dispatcher.hedge_budget = 0.0
    hedge_count = 0
    for _ in range(1000):
        dispatcher.record_answer(make_job(), 1, 0.01)
        straggler = make_job()
        straggler.running_attempts = {1: 1}
        assignment = dispatcher.start_hedge(straggler, NOW)
        if assignment is not None:
            hedge_count += 1
            assert assignment.server.number == 2
            dispatcher.release(2)
    assert 25 <= hedge_count <= 30


def test_hedge_delay_converges_to_a_high_quantile(make_dispatcher):
    dispatcher = make_dispatcher()
    rng = random.Random(3)
    for _ in range(5000):
        dispatcher.record_answer(make_job(), 1, rng.uniform(0.01, 0.03))
    assert 0.025 <= dispatcher.hedge_delay <= 0.035


def test_added_server_gets_one_slot_during_slow_start(make_dispatcher):
    """The old server has two slots; the new one gets its second one later."""
    dispatcher = make_dispatcher(servers=1, slow_start=5.0)
    service = attrs.evolve(
        dispatcher.service,
        servers=(*dispatcher.service.servers, conftest.make_server(9)),
    )
    dispatcher.configure(service, NOW)
    assert len(fill_slots(dispatcher)) == 3
    dispatcher.enqueue(make_job())
    assert len(dispatcher.start_queued(NOW + 5.1)) == 1


@pytest.mark.parametrize("retry_after", [-1.0, 0.0, 1e9, float("inf")])
def test_retry_after_of_a_declining_server_is_bounded(
    make_dispatcher, retry_after
):
    """A server can neither skip the pause nor exclude itself for long."""
    dispatcher = make_dispatcher(servers=1)
    dispatcher.record_decline(1, retry_after, NOW)
    assert not dispatcher.servers[1].health.is_available(NOW)
    assert dispatcher.servers[1].health.is_available(NOW + 1.01)


def test_pause_of_the_dispatcher_does_not_raise_the_expected_wait(
    make_dispatcher,
):
    """A paused process starts no jobs for a while.

    If the whole pause counted as an interval between two starts, the expected
    wait would exceed the deadlines and new jobs would be refused.
    """
    dispatcher = make_dispatcher()
    fill_slots(dispatcher)
    for _ in range(30):
        dispatcher.enqueue(make_job(caller=object()))
    dispatcher.release(1)
    dispatcher.start_queued(NOW + 0.01)
    dispatcher.release(1)
    dispatcher.start_queued(NOW + 10.0)
    later_job = make_job(arrived_at=NOW + 10.0, wait=1.0, caller=object())
    assert dispatcher.admits(later_job, NOW + 10.0)
