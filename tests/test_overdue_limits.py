"""Hosts and requests for which silence of a server is no evidence.

Each test names the failure that it guards against.
"""

import random

import pytest

from tests import flow_factories
from tests import overdue_world
from vanilladrum.core import failure_detector as failure_detectors
from vanilladrum.core import flow as flow_types
from vanilladrum.core.overdue import overdue_requests
from vanilladrum.core.overdue import unreached_servers

HealthStatus = failure_detectors.HealthStatus


def test_isolated_host_draws_no_conclusion():
    """Failure: a host that is cut off takes all its servers for dead.

    Answers to packets that were sent before still arrive.
    """
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.run(1.55)
    world.other_caller.request(1.55)
    world.reachable = False
    world.run(1.75)
    world.other_caller.acknowledge(1.75)
    world.run(4.0)
    assert not world.resets
    # Nor when it is reconnected, before it has checked the server again.
    world.reachable = True
    world.run(5.7)
    assert not world.resets


@pytest.mark.parametrize("seed", range(60))
def test_gap_in_the_network_of_a_host_is_no_evidence(seed):
    """Failure: both checks fail in one gap, other servers answer after it."""
    rng = random.Random(seed)
    world = overdue_world.World()
    world.answer_interval = 0.03
    world.run(1.0)
    world.request()
    # What is sent in the gap is lost; packets are not sent again.
    world.run(rng.uniform(1.5, 2.5))
    world.reachable = False
    world.run(world.now + rng.uniform(0.05, 2.5))
    world.reachable = True
    world.run(5.7)
    assert not world.resets


def test_paused_host_counts_from_the_end_of_its_pause():
    """Failure: answers that the host has missed are taken for missing."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.paused = True
    world.run(1.5)
    world.paused = False
    world.run(1.5 + overdue_world.TARGET - 0.02)
    assert not world.checks
    world.run(1.5 + overdue_world.TARGET + 0.05)
    assert len(world.checks[world.server.tag]) == 1


@pytest.mark.parametrize("pause", [0.4, 0.6])
def test_check_during_a_pause_of_the_host_does_not_count(pause):
    """Failure: the answer to a check arrives while the host is paused."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    # The second check has just begun.
    world.run(1.9)
    assert len(world.checks[world.server.tag]) == 2
    world.paused = True
    world.run(1.9 + pause)
    world.paused = False
    world.dead.clear()
    world.run(5.7)
    assert not world.resets


def test_packets_read_after_a_pause_are_not_refused_on_earlier_evidence():
    """Failure: packets are handled before the tick that notices the pause."""
    world = overdue_world.World(flows=2)
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(2.5)
    assert len(world.resets) == 1
    decision = world.callers[1].send(4.0, has_data=True)
    assert isinstance(decision, flow_types.Forward)


@pytest.mark.parametrize("begun", [0.02, 0.2])
def test_conclusion_after_a_pause_rests_on_checks_after_it(begun):
    """Failure: a check from before the pause counts for half of it."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(1.0 + overdue_world.TARGET + begun)
    assert len(world.checks[world.server.tag]) == 1
    # The tick that notices the pause comes before the end of the check.
    world.next_tick = world.now + overdue_world.STEP
    world.paused = True
    world.run(2.25)
    world.paused = False
    world.run(2.72)
    assert not world.resets
    world.run(3.2)
    assert len(world.resets) == 1


def test_host_that_has_not_read_its_socket_draws_no_conclusion():
    """Failure: answers wait in the socket of a host short of processor time.

    It would ask for checks of all its servers at once.
    """
    world = overdue_world.World(flows=40)
    world.run(1.0)
    for caller in world.callers:
        caller.request(1.0)
    world.run(1.55)
    world.input_read = False
    world.run(1.85)
    # The answers are read now.
    for caller in world.callers:
        caller.acknowledge(1.85)
    world.input_read = True
    world.run(3.0)
    assert not world.checks
    assert not world.host.counters["overdue_requests"]


@pytest.mark.parametrize(
    "changed",
    [
        # A request that must not run twice.
        {"repeatable": False},
        # A route without a target.
        {"target": 0.0},
        # A time limit that leaves no time for a retry.
        {"timeout": 1.5},
    ],
    ids=str,
)
def test_requests_of_other_routes_are_not_touched(changed):
    """Failure: requests are reset that must not be, or to no avail."""
    world = overdue_world.World(**changed)
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(6.0)
    assert not world.resets and not world.checks
    assert not world.host.overdue.requests.waiting


def test_unsafe_request_at_a_server_presumed_dead_is_not_reset():
    """Failure: evidence from one route resets requests of another."""
    world = overdue_world.World(flows=2)
    unsafe = world.callers[1]
    world.run(1.0)
    world.request()
    route = world.host.configuration.routes[flow_factories.BOOKINGS.pack()]
    route.repeatable = False
    unsafe.request(1.0)
    world.dead.add(world.server.tag)
    world.run(6.0)
    assert len(world.resets) == 1
    unsafe_key = flow_factories.make_packet(unsafe.port).key
    assert world.resets[0][1].key != unsafe_key
    assert not world.host.table.find(unsafe_key).ended


def test_server_without_a_health_check_is_never_presumed_dead():
    """Failure: requests are reset without any evidence but silence."""
    world = overdue_world.World()
    world.host.configuration.health_paths.clear()
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(5.5)
    assert not world.resets and not world.checks


def test_server_that_restarts_under_its_name_is_not_taken_for_dead():
    """Failure: evidence about one run of a server counts for the next."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(1.9)
    world.dead.clear()
    restarted = flow_factories.make_server(1, started=5000)
    world.host.directory.update(restarted)
    count = len(world.checks[restarted.tag])
    world.run(5.5)
    assert not world.resets
    assert len(world.checks[restarted.tag]) == count
    detector = world.host.failure_detector
    assert detector.health_status(restarted, 5.5) is HealthStatus.GOOD


def test_requests_to_an_earlier_run_do_not_hide_the_death_of_the_next():
    """Failure: each run of a server has the other's checks forgotten."""
    world = overdue_world.World(flows=3)
    world.run(1.0)
    restarted = flow_factories.make_server(1, started=5000)
    world.request()
    world.run(1.2)
    world.callers[1].request(1.2)
    world.host.directory.update(restarted)
    world.run(1.21)
    # The request to the earlier run falls due while the next one is checked.
    route = world.host.configuration.routes[flow_factories.BOOKINGS.pack()]
    route.target_latency = 0.4
    world.callers[2].request(1.21)
    world.dead.add(restarted.tag)
    world.run(1.21 + 0.4 + 0.55)
    assert len(world.resets) == 1


def test_unreached_checks_far_apart_do_not_add_up():
    """Failure: packets that were lost at different times show a death."""
    servers = [flow_factories.make_server(number) for number in (1, 2)]
    checks = unreached_servers.UnreachedServers((0.0, 0.25), 2, 0.5)
    checks.record_overdue(servers[0], 0.0)
    for begin in (0.0, 0.76, 1.0):
        checks.record_answer(servers[1], begin - 0.01)
        checks.begin_check(servers[0], begin)
        checks.record_check(servers[0], False, begin + 0.25)
        if begin < 1.0:
            assert not checks.is_dead(servers[0], 1.01)
    checks.record_answer(servers[1], 1.3)
    checks.begin_check(servers[0], 1.4)
    checks.record_check(servers[0], False, 1.65)
    assert checks.is_dead(servers[0], 1.65)


def test_new_request_to_a_dead_server_is_reset_once():
    """Failure: its caller gets a second reset, on its next flow perhaps."""
    world = overdue_world.World(flows=2)
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(2.5)
    decision = world.callers[1].send(2.5, has_data=True)
    assert isinstance(decision, flow_types.Reset)
    world.run(3.0)
    assert len(world.resets) == 1


@pytest.mark.parametrize("removed", [False, True])
def test_store_is_not_needed(removed):
    """Failure: the store is unavailable, or has dropped the dead server."""
    world = overdue_world.World()
    world.host.entries_may_return = True
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    if removed:
        world.host.directory.remove(world.server.name, 1.0)
    world.run(1.0 + overdue_world.LIMIT)
    assert len(world.resets) == 1


def test_server_that_returns_is_used_again():
    """Failure: a server stays presumed dead although it was reached."""
    world = overdue_world.World()
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.run(2.5)
    detector = world.host.failure_detector
    assert detector.is_presumed_dead(world.server, world.now)
    world.dead.clear()
    world.run(4.0)
    assert not detector.is_presumed_dead(world.server, world.now)
    assert detector.health_status(world.server, world.now) is HealthStatus.GOOD


def test_waiting_requests_at_a_silent_server_are_reset_before_their_target():
    """Failure: unanswered first packets show a death, nobody is reset."""
    world = overdue_world.World(target=2.0, timeout=4.8)
    world.run(1.0)
    world.request()
    world.dead.add(world.server.tag)
    world.host.table.add(b"k" * 12, world.server, 1.0, 4.8)
    world.run(1.0 + 2.0)
    assert len(world.resets) == 1


def test_overdue_requests_leave_evidence_of_first_packets_alone():
    """Failure: a check for an overdue request ends or adds a suspicion."""
    world = overdue_world.World()
    detector = world.host.failure_detector
    remote = flow_factories.make_server(7, data_centre="gijon")
    world.host.directory.update(remote)
    detector.silent_servers["gijon"] = {1, 2}
    for reached in (True, False):
        world.host.overdue.begin_check(remote, 0.1)
        detector.record_check(remote, reached, 0.1, reached=reached)
    assert detector.silent_servers["gijon"] == {1, 2}
    assert not detector.suspects
    assert detector.server_record(remote).unreached_checks == 0


def test_cost_of_a_tick_follows_the_requests_that_fall_due():
    """Failure: a tick looks at all requests that wait, or they pile up."""
    world = overdue_world.World()
    requests = world.host.overdue.requests
    for number in range(200):
        world.caller.request(0.1 + number * 0.001)
        world.caller.acknowledge(0.1 + number * 0.001)
    assert len(requests.pop_overdue(0.5)) == 0
    assert sum(map(len, requests._due.values())) > 200
    world.run(0.3 + overdue_world.TARGET + 0.3)
    assert sum(map(len, requests._due.values())) <= 10
    assert len(requests.waiting.get((world.server.tag, 1001), {})) <= 1


def test_number_of_tracked_requests_is_bounded(monkeypatch):
    """Failure: a flood of requests fills the memory."""
    monkeypatch.setattr(overdue_requests, "MAX_REQUESTS", 10)
    world = overdue_world.World()
    for number in range(50):
        world.caller.request(0.1 + number * 0.001)
        world.caller.acknowledge(0.1 + number * 0.001)
    queues = world.host.overdue.requests._due.values()
    assert sum(map(len, queues)) <= 10
