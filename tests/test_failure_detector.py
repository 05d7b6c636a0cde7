"""Tests of failure detection from flows and of server selection."""

import collections
import random

from tests import flow_factories
from vanilladrum.core import balance
from vanilladrum.core import failure_detector
from vanilladrum.core import speed_estimator


def test_round_trip_limit_follows_the_samples_within_its_bounds():
    round_trip = failure_detector.RoundTrip()
    assert round_trip.timeout() == failure_detector.MAX_ANSWER_TIMEOUT
    for _ in range(50):
        round_trip.add(0.004)
    assert round_trip.timeout() == failure_detector.MIN_ANSWER_TIMEOUT
    for _ in range(50):
        round_trip.add(0.050)
    assert 0.050 < round_trip.timeout() <= failure_detector.MAX_ANSWER_TIMEOUT


def test_lost_packet_of_a_responding_server_is_not_counted():
    detector = failure_detector.FailureDetector()
    server = flow_factories.make_server(1)
    # The server answered after the time at which the lost packet was sent.
    detector.record_answer(server, 1.02)
    detector.record_timeout(server, 1.0, 1.05)
    assert (
        detector.health_status(server, 1.05)
        is failure_detector.HealthStatus.GOOD
    )


def test_unresponsive_server_is_doubted_checked_at_once_and_ejected():
    detector = failure_detector.FailureDetector()
    server = flow_factories.make_server(1)
    assert not detector.record_timeout(server, 1.0, 1.05)
    assert (
        detector.health_status(server, 1.05)
        is failure_detector.HealthStatus.DOUBTED
    )
    assert detector.due_checks(1.05) == [server]
    assert detector.due_checks(1.06) == []
    assert detector.record_timeout(server, 1.01, 1.06)
    assert (
        detector.health_status(server, 1.07)
        is failure_detector.HealthStatus.EJECTED
    )


def test_passed_check_clears_a_doubt_but_not_an_ejection():
    detector = failure_detector.FailureDetector()
    server = flow_factories.make_server(1)
    detector.record_timeout(server, 1.0, 1.05)
    detector.record_check(server, True, 1.06)
    assert (
        detector.health_status(server, 1.06)
        is failure_detector.HealthStatus.GOOD
    )
    # The server passes its health checks, but flows remain unanswered.
    assert detector.record_timeout(server, 1.07, 1.1)
    detector.record_check(server, True, 1.11)
    assert (
        detector.health_status(server, 1.11)
        is failure_detector.HealthStatus.EJECTED
    )
    after_ejection = (
        1.1 + failure_detector.EJECTION_LIMITS.first_ejection + 0.01
    )
    assert (
        detector.health_status(server, after_ejection)
        is failure_detector.HealthStatus.GOOD
    )


def test_answer_clears_doubt_and_ejection():
    detector = failure_detector.FailureDetector()
    server = flow_factories.make_server(1)
    detector.record_timeout(server, 1.0, 1.05)
    detector.record_timeout(server, 1.0, 1.05)
    detector.record_answer(server, 1.1)
    assert (
        detector.health_status(server, 1.1)
        is failure_detector.HealthStatus.GOOD
    )


def test_several_unresponsive_servers_make_their_data_centre_doubted():
    detector = failure_detector.FailureDetector()
    remote = [
        flow_factories.make_server(n, data_centre="gijon") for n in (1, 2, 3)
    ]
    detector.record_timeout(remote[0], 1.0, 1.05)
    assert (
        detector.health_status(remote[2], 1.05)
        is failure_detector.HealthStatus.GOOD
    )
    detector.record_timeout(remote[1], 1.0, 1.05)
    assert (
        detector.health_status(remote[2], 1.05)
        is failure_detector.HealthStatus.DOUBTED
    )
    detector.record_answer(remote[2], 1.2)
    assert (
        detector.health_status(remote[2], 1.2)
        is failure_detector.HealthStatus.GOOD
    )
    assert not detector.is_unreachable("gijon")


def test_one_unresponsive_server_suffices_without_digests():
    """One timeout makes a data centre doubted if it sends no digests."""
    detector = failure_detector.FailureDetector()
    remote = [
        flow_factories.make_server(n, data_centre="gijon") for n in (1, 2)
    ]
    detector.silent_data_centres = {"gijon"}
    assert (
        detector.health_status(remote[1], 1.0)
        is failure_detector.HealthStatus.GOOD
    )
    detector.record_timeout(remote[0], 1.0, 1.05)
    assert (
        detector.health_status(remote[1], 1.05)
        is failure_detector.HealthStatus.DOUBTED
    )


def test_passed_check_restores_an_unreachable_data_centre():
    detector = failure_detector.FailureDetector()
    remote = [
        flow_factories.make_server(n, data_centre="gijon") for n in (1, 2)
    ]
    for server in remote:
        detector.record_timeout(server, 1.0, 1.05)
        detector.record_timeout(server, 1.0, 1.06)
    detector.record_check(remote[0], True, 1.5)
    assert (
        detector.health_status(remote[0], 1.51)
        is failure_detector.HealthStatus.GOOD
    )


def test_restarted_server_is_not_doubted():
    detector = failure_detector.FailureDetector()
    server = flow_factories.make_server(1)
    detector.record_timeout(server, 1.0, 1.05)
    detector.record_timeout(server, 1.0, 1.05)
    restarted = flow_factories.make_server(1, started=99)
    assert (
        detector.health_status(restarted, 1.1)
        is failure_detector.HealthStatus.GOOD
    )


def test_pause_of_the_host_is_not_blamed_on_a_server():
    host = flow_factories.make_host([flow_factories.make_server(1)])
    host.tick(0.0)
    server = host.receive(flow_factories.make_packet(), 0.01).server
    # The host was paused for longer than the timeout, so an answer may have
    # arrived in the meantime.
    host.tick(3.0)
    assert (
        host.failure_detector.health_status(server, 3.0)
        is failure_detector.HealthStatus.GOOD
    )


def make_balancer(servers, initial_load=None, data_centre="bilbao"):
    """Return a balancer, its detector and estimator, and the open flows.

    :param servers: unused; the servers are given to ``choose``.
    :param initial_load: open flows by server tag; none by default.
    """
    detector = failure_detector.FailureDetector()
    estimator = speed_estimator.SpeedEstimator()
    open_flows = (
        initial_load if initial_load is not None else collections.Counter()
    )
    balancer = balance.Balancer(
        data_centre,
        detector,
        estimator,
        lambda tag: open_flows[tag],
        random.Random(1),
    )
    return balancer, detector, estimator, open_flows


def test_least_loaded_server_is_chosen():
    servers = [flow_factories.make_server(n) for n in (1, 2, 3)]
    balancer, _, _, open_flows = make_balancer(servers)
    open_flows.update(
        {servers[0].tag: 2, servers[1].tag: 1, servers[2].tag: 2}
    )
    assert balancer.choose(servers, 0.0) is servers[1]


def test_local_server_is_preferred_while_it_has_a_free_slot():
    local = flow_factories.make_server(1)
    remote = flow_factories.make_server(2, data_centre="gijon")
    balancer, _, _, open_flows = make_balancer([local, remote])
    assert balancer.choose([local, remote], 0.0) is local
    open_flows[local.tag] = 1
    assert balancer.choose([local, remote], 0.0) is local
    open_flows[local.tag] = 4
    assert balancer.choose([local, remote], 0.0) is remote


def test_doubted_server_is_used_only_if_all_are_doubted():
    servers = [flow_factories.make_server(n) for n in (1, 2)]
    balancer, detector, _, _ = make_balancer(servers)
    detector.record_timeout(servers[0], 1.0, 1.05)
    for _ in range(10):
        assert balancer.choose(servers, 1.06) is servers[1]
    detector.record_timeout(servers[1], 1.0, 1.05)
    names = {balancer.choose(servers, 1.06).name for _ in range(30)}
    assert len(names) == 2


def test_slow_server_gets_fewer_flows():
    servers = [flow_factories.make_server(n) for n in (1, 2, 3)]
    balancer, _, estimator, open_flows = make_balancer(servers)
    for _ in range(10):
        for server in servers:
            is_slow = server is servers[0]
            estimator.record_response_time(
                server, 0.1 if is_slow else 0.02, 1.0
            )
    assert (
        estimator.relative_speed(servers[0], 1.0)
        < 0.6
        < estimator.relative_speed(servers[1], 1.0)
    )
    open_flows.update({servers[1].tag: 1, servers[2].tag: 1})
    chosen = {balancer.choose(servers, 1.0).name for _ in range(20)}
    assert servers[0].name not in chosen
    # Outdated measurements expire, so that the server gets flows again.
    assert (
        estimator.relative_speed(
            servers[0], 1.0 + speed_estimator.STALE_SECONDS + 0.1
        )
        == 1.0
    )


def test_warming_server_is_weighted_with_part_of_its_slots():
    warming = flow_factories.make_server(1, warm_up=1.5)
    warm = flow_factories.make_server(2)
    balancer, _, _, _ = make_balancer([warming, warm])
    assert balancer.choose([warming, warm], 0.0) is warm
