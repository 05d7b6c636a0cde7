"""Health checks on a host whose link is full."""

import pytest

from tests import flow_factories
from tests import test_loop
from vanilladrum.daemons import health_checks
from vanilladrum.daemons import json_log
from vanilladrum.wire import loop as loops
from vanilladrum.wire import stream as streams


class UnansweredStream:
    """A connection that is never established."""

    connected = False

    def send(self, data):
        """Discard data."""

    def close(self):
        """Do nothing."""


@pytest.fixture
def run_check(monkeypatch):
    """Return a function that runs a health check which gets no answer.

    Its arguments tell whether the host receives a large answer at the start
    and at the end of the check. It returns the number of unreached checks.
    """
    monkeypatch.setattr(
        streams.Stream, "connect", lambda *_: UnansweredStream()
    )
    host = flow_factories.make_host()
    host.configuration.health_paths["bookings"] = "/health"
    server = flow_factories.make_server(1)

    def run(receives_at_start, receives_at_end):
        loop = loops.Loop()
        receiving = [receives_at_start]
        results = []
        checker = health_checks.HealthChecker(
            loop,
            host,
            json_log.EventLog(json_log.LineWriter(1), {}),
            lambda: results.append(True),
            lambda: receiving[0],
        )
        unreached = host.failure_detector.unreached
        unreached.record_overdue(server, loop.now())
        checker.start(server)
        receiving[0] = receives_at_end
        test_loop.run_until(loop, lambda: bool(results))
        assert not checker.running
        return unreached.find(server).unreached

    return run


def test_check_without_an_answer_is_unreached(run_check):
    assert run_check(False, False) == 1


# A configuration of 512 kB filled a link of 5 Mbit/s for 0.9 s; servers whose
# answers waited behind it were presumed dead, and their open flows were reset.
@pytest.mark.parametrize("at_start,at_end", [(True, False), (False, True)])
def test_check_during_a_large_answer_says_nothing(run_check, at_start, at_end):
    assert run_check(at_start, at_end) == 0
