"""Error budget burn rates, merged over entry hosts."""

import conftest
import pytest

from vanilladrum.core import fleet as fleets
from vanilladrum.daemons import metrics
from vanilladrum.operator import report

OBJECTIVE = fleets.Objective(fleets.Priority.URGENT, 0.25, 0.99)


@pytest.fixture
def make_metrics(clock):
    """Return a function that makes the metrics of a host after 100 requests.

    Its parameters are the numbers of late and of unanswered requests. A late
    answer takes 0.5 s, above the objective of 0.25 s.
    """

    def make(late: int, failed: int) -> metrics.Metrics:
        hosts = conftest.HostNetwork(clock)
        fleet = conftest.make_fleet(objectives=(OBJECTIVE,))
        core = hosts.add(1, fleet)
        counts = metrics.Metrics("host", core)
        core.on_answered, core.on_failure = (
            counts.record_answer,
            counts.record_failure,
        )
        token = hosts.connect(1)
        for number in range(100):
            hosts.send(1, hosts.make_datagram(token=token))
            if number < failed:
                # The request expires after 5 s.
                hosts.run(5.5)
                continue
            clock.now += 0.5 if number >= 100 - late else 0.01
            hosts.answer()
        return counts

    return make


def test_burn_is_summed_over_hosts(make_metrics, clock):
    snapshots = [make_metrics(2, 0).snapshot(), make_metrics(0, 0).snapshot()]
    (merged,) = report.merge(snapshots).values()
    now = clock.wall()
    assert merged.counted(3600, now) == (198, 2)
    assert merged.burn(3600, now) == pytest.approx(1.0)
    assert merged.budget_left(now) == pytest.approx(0.0)
    assert merged.answers.get_total_count() == 200


def test_unanswered_request_counts_as_burn(make_metrics, clock):
    (merged,) = report.merge([make_metrics(0, 1).snapshot()]).values()
    assert merged.counted(3600, clock.wall())[1] == 1


def test_old_failures_leave_the_short_window(make_metrics, clock):
    (merged,) = report.merge([make_metrics(3, 0).snapshot()]).values()
    clock.now += 120
    assert merged.burn(60, clock.wall()) == 0.0
    assert merged.burn(3600, clock.wall()) > 1.0


def test_page_is_self_contained_and_escapes_names(make_metrics, clock):
    classes = report.merge([make_metrics(1, 0).snapshot()])
    classes["<b>"] = report.RequestClass("<b>", 0.1, 0.9)
    page = report.render_html(classes, clock.wall(), 1, ["<i>"])
    assert "<b>" not in page and "<i>" not in page
    assert "http" not in page
    assert page.count("<svg") == 2


def test_number_of_buckets_is_limited(make_metrics):
    counts = make_metrics(0, 0)
    for bucket in range(1000):
        counts.burn["bookings/urgent"][bucket] = [1, 0]
    counts._count(counts.core.fleet.services[0], FakeJob, True)
    assert len(counts.burn["bookings/urgent"]) == metrics.MAX_BUCKETS


class FakeJob:
    """Job with a priority, the only attribute that counting burn reads."""

    priority = fleets.Priority.URGENT
