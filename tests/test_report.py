"""Service-level burn merged over entry hosts."""

import conftest
import pytest

from vanilladrum.core import fleet as fleets
from vanilladrum.daemons import metrics
from vanilladrum.operator import report

OBJECTIVE = fleets.Objective(fleets.Priority.URGENT, 0.25, 0.99)


@pytest.fixture
def counted(clock):
    """Return the metrics of a host that served 100 requests."""

    def host(late: int, failed: int) -> metrics.Metrics:
        found = conftest.Hosts(clock)
        fleet = conftest.make_fleet(objectives=(OBJECTIVE,))
        core = found.add(1, fleet)
        counts = metrics.Metrics("host", core)
        core.on_answer, core.on_failure = counts.answered, counts.failed
        token = found.connect(1)
        for number in range(100):
            found.send(1, found.raw(token=token))
            if number < failed:
                found.run(5.5)
                continue
            clock.now += 0.5 if number >= 100 - late else 0.01
            found.answer()
        return counts

    return host


def test_burn_adds_up_over_hosts(counted, clock):
    snapshots = [counted(2, 0).snapshot(), counted(0, 0).snapshot()]
    (found,) = report.merge(snapshots).values()
    now = clock.wall()
    assert found.counted(3600, now) == (198, 2)
    assert found.burn(3600, now) == pytest.approx(1.0)
    assert found.budget_left(now) == pytest.approx(0.0)
    assert found.answers.get_total_count() == 200


def test_what_is_not_answered_burns_too(counted, clock):
    (found,) = report.merge([counted(0, 1).snapshot()]).values()
    assert found.counted(3600, clock.wall())[1] == 1


def test_old_trouble_leaves_the_short_window(counted, clock):
    (found,) = report.merge([counted(3, 0).snapshot()]).values()
    clock.now += 120
    assert found.burn(60, clock.wall()) == 0.0
    assert found.burn(3600, clock.wall()) > 1.0


def test_page_is_whole_and_escapes_names(counted, clock):
    classes = report.merge([counted(1, 0).snapshot()])
    classes["<b>"] = report.Class("<b>", 0.1, 0.9)
    page = report.as_page(classes, clock.wall(), 1, ["<i>"])
    assert "<b>" not in page and "<i>" not in page
    assert "http" not in page
    assert page.count("<svg") == 2


def test_buckets_are_bounded(counted):
    counts = counted(0, 0)
    for bucket in range(1000):
        counts.burn["bookings/urgent"][bucket] = [1, 0]
    counts._count(counts.core.fleet.services[0], FakeJob, True)
    assert len(counts.burn["bookings/urgent"]) == metrics.MAX_BUCKETS


class FakeJob:
    priority = fleets.Priority.URGENT
