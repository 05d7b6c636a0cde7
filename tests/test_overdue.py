"""Requests on open flows that wait for a dead server, without a network.

Each test names the failure that it guards against.
"""

import pytest

from tests import flow_factories
from tests import overdue_world
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core import flow as flow_types
from vanilladrum.core.overdue import unreached_servers

HealthStatus = failure_detectors.HealthStatus


def test_waiting_request_is_reset_after_the_death_of_its_server():
    """Failure: 317 callers waited 4.8 s for 15 servers that had died."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(1.0 + overdue_world.LIMIT)
    ((when, action),) = world.resets
    assert isinstance(action, flow_types.ResetFlow)
    assert action.reason == "server_dead"
    assert action.acknowledged == world.caller.acknowledged
    assert action.key == flow_factories.make_packet(1000).key
    # Target, two checks of 0.25 s, and the ticks between them.
    assert (
        1.0 + overdue_world.TARGET + 0.5
        <= when
        <= 1.0 + overdue_world.TARGET + 0.55
    )
    assert world.host.load(world.server.tag) == 0
    (event,) = world.dead_events
    assert event.resets == 1 and event.checks == 2 and event.seconds >= 0.5
    assert world.host.counters["overdue_requests"] == 1
    checks = world.checks[world.server.tag]
    assert world.host.counters["overdue_checks"] == len(checks) <= 4
    # The caller's next request is refused at once.
    decision = world.caller.send(world.now, has_data=True)
    assert isinstance(decision, flow_types.Reset)
    world.run(world.now + 3.0)
    assert len(world.resets) == 1


def test_requests_that_are_not_overdue_yet_are_reset_too():
    """Failure: a request sent later waits for its own target and checks."""
    world = overdue_world.World(flows=2)
    later = world.callers[1]
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(1.9)
    later.request(1.9)
    world.run(2.3)
    assert len(world.resets) == 2


@pytest.mark.parametrize("interval", [0.1, 0.3])
@pytest.mark.parametrize("offset", range(0, 30, 5))
def test_limit_holds_with_few_answers_of_other_servers(interval, offset):
    """Failure: one of 80 hosts sees few answers, at any moment."""
    world = overdue_world.World()
    world.answer_interval = interval
    begin = 1.0 + offset * overdue_world.STEP
    world.run(begin)
    world.request()
    world.dead.add(world.server.tag)
    world.run(begin + overdue_world.LIMIT)
    assert len(world.resets) == 1


def test_slow_server_is_checked_seldom_and_keeps_its_flows():
    """Failure: a slow server loses its traffic, or its slots to checks."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.run(5.0)
    status = world.host.failure_detector.health_status(world.server, 5.0)
    assert status is HealthStatus.GOOD
    assert not world.resets
    starts = [when - 1.6 for when in world.checks[world.server.tag]]
    assert starts[:4] == pytest.approx([0, 0.25, 0.75, 1.75], abs=0.05)
    assert len([each for each in starts if each < 2.0]) == 4


def test_checks_stay_bounded_while_a_slow_server_answers():
    """Failure: each overdue request of a slow server causes a check."""
    world = overdue_world.World()
    for number in range(1, 9):
        world.run(number * 0.8)
        world.request()
        world.run(number * 0.8 + 0.7)
        world.caller.acknowledge(world.now)
    starts = world.checks[world.server.tag]
    for begin in starts:
        count = sum(begin <= each < begin + 2.0 for each in starts)
        assert count <= unreached_servers.MAX_CHECKS
    assert not world.resets


def test_checks_stay_bounded_while_a_server_is_reached_now_and_then():
    """Failure: each check that fails after one that did not starts anew."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    starts = world.checks.setdefault(world.server.tag, [])
    while world.now < 5.5:
        # Every other check reaches the server.
        world.dead = {world.server.tag} if len(starts) % 2 else set()
        world.run(world.now + overdue_world.STEP)
    for begin in starts:
        count = sum(begin <= each < begin + 1.99 for each in starts)
        assert count <= unreached_servers.MAX_CHECKS
    assert len(starts) > unreached_servers.MAX_CHECKS


def test_death_of_a_server_that_was_slow_before():
    """Failure: checks a second apart notice the death late or never.

    The next check may be 1 s away; the second one follows at once.
    """
    world = overdue_world.World(flows=2, timeout=9.0)
    world.run(1.0)
    world.request()
    world.run(4.7)
    world.callers[1].request(4.7)
    world.dead.add(world.server.tag)
    world.run(4.7 + 1.0 + 2 * overdue_world.CHECK_SECONDS + 0.05)
    assert len(world.resets) == 2


def test_paused_server_is_reached_and_keeps_its_flows():
    """Failure: a suspended process, whose host accepts connections.

    The check connects, and times out without an answer.
    """
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    detector = world.host.failure_detector
    world.run(1.65)
    for _ in range(8):
        world.run(world.now + 0.4)
        world.host.overdue.begin_check(world.server, world.now)
        detector.record_check(
            world.server,
            False,
            world.now + overdue_world.CHECK_SECONDS,
            reached=True,
        )
    assert not world.resets
    status = detector.health_status(world.server, world.now)
    assert status is HealthStatus.GOOD


def test_check_that_reaches_the_server_ends_the_sequence():
    """Failure: lost packets of two checks far apart add up."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(1.9)
    detector = world.host.failure_detector
    # One unreached check alone makes the server doubted, not dead.
    assert detector.health_status(world.server, 1.9) is HealthStatus.DOUBTED
    world.dead.clear()
    world.running = {
        tag: (server, end, True)
        for tag, (server, end, _) in world.running.items()
    }
    world.run(2.4)
    assert detector.health_status(world.server, 2.4) is HealthStatus.GOOD
    world.run(5.5)
    assert not world.resets


def test_request_is_reset_once_another_server_has_the_address():
    """Failure: callers wait for a server whose address answers checks."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.replaced.add(world.server.tag)
    world.run(1.0 + overdue_world.TARGET + 0.1)
    ((when, action),) = world.resets
    assert action.reason == "server_dead"
    assert when >= 1.0 + overdue_world.TARGET
    assert len(world.checks[world.server.tag]) == 1
    # A request that is sent later is refused without another check.
    decision = world.caller.send(world.now, has_data=True)
    assert isinstance(decision, flow_types.Reset)
    status = world.host.failure_detector.health_status(world.server, world.now)
    assert status is HealthStatus.DOUBTED
    world.run(world.now + 3.0)
    assert len(world.checks[world.server.tag]) == 1


def test_new_run_of_a_replaced_server_is_used():
    """Failure: a server that starts again under its name stays dead."""
    world = overdue_world.World()
    world.host.failure_detector.record_replaced(world.server, 0.5)
    again = flow_factories.make_server(1, started=world.server.started + 1)
    world.host.directory.update(again)
    world.run(1.0)
    detector = world.host.failure_detector
    assert detector.health_status(again, 1.0) is HealthStatus.GOOD
    assert not detector.is_presumed_dead(again, 1.0)


def test_answer_shows_that_a_server_was_not_replaced():
    """Failure: a live server whose responses name another one stays dead."""
    world = overdue_world.World()
    detector = world.host.failure_detector
    detector.record_replaced(world.server, 0.5)
    detector.record_answer(world.server, 0.8, sent=0.4)
    assert detector.is_presumed_dead(world.server, 0.8)
    detector.record_answer(world.server, 0.9, sent=0.6)
    assert not detector.is_presumed_dead(world.server, 0.9)
