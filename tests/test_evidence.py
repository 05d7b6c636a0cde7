"""Tests of failure detection from flows and of server selection."""

import collections
import random

from tests import flows
from vanilladrum.core import balance
from vanilladrum.core import evidence as evidences
from vanilladrum.core import pace as paces


def test_round_trip_limit_follows_the_samples_within_its_bounds():
    round_trip = evidences.RoundTrip()
    assert round_trip.limit() == evidences.LONGEST_WAIT
    for _ in range(50):
        round_trip.add(0.004)
    assert round_trip.limit() == evidences.SHORTEST_WAIT
    for _ in range(50):
        round_trip.add(0.050)
    assert 0.050 < round_trip.limit() <= evidences.LONGEST_WAIT


def test_lost_packet_of_a_responding_server_is_not_counted():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    evidence.answered(server, 1.02)
    evidence.silent(server, 1.0, 1.05)
    assert evidence.standing(server, 1.05) is evidences.Standing.GOOD


def test_unresponsive_server_is_doubted_checked_at_once_and_ejected():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    assert not evidence.silent(server, 1.0, 1.05)
    assert evidence.standing(server, 1.05) is evidences.Standing.DOUBTED
    assert evidence.due_checks([server], 1.05) == [server]
    assert evidence.due_checks([server], 1.06) == []
    assert evidence.silent(server, 1.01, 1.06)
    assert evidence.standing(server, 1.07) is evidences.Standing.EJECTED


def test_passed_check_clears_a_doubt_but_not_an_ejection():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    evidence.silent(server, 1.0, 1.05)
    evidence.checked(server, True, 1.06)
    assert evidence.standing(server, 1.06) is evidences.Standing.GOOD
    # The server passes its health checks, but flows remain unanswered.
    assert evidence.silent(server, 1.07, 1.1)
    evidence.checked(server, True, 1.11)
    assert evidence.standing(server, 1.11) is evidences.Standing.EJECTED
    after_ejection = 1.1 + evidences.THRESHOLDS.first_ejection + 0.01
    assert evidence.standing(server, after_ejection) is evidences.Standing.GOOD


def test_answer_clears_doubt_and_ejection():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    evidence.silent(server, 1.0, 1.05)
    evidence.silent(server, 1.0, 1.05)
    evidence.answered(server, 1.1)
    assert evidence.standing(server, 1.1) is evidences.Standing.GOOD


def test_several_unresponsive_servers_make_their_data_centre_doubted():
    evidence = evidences.Evidence()
    remote = [flows.make_server(n, data_centre="gijon") for n in (1, 2, 3)]
    evidence.silent(remote[0], 1.0, 1.05)
    assert evidence.standing(remote[2], 1.05) is evidences.Standing.GOOD
    evidence.silent(remote[1], 1.0, 1.05)
    assert evidence.standing(remote[2], 1.05) is evidences.Standing.DOUBTED
    evidence.answered(remote[2], 1.2)
    assert evidence.standing(remote[2], 1.2) is evidences.Standing.GOOD
    assert not evidence.cut_off("gijon")


def test_one_unresponsive_server_suffices_without_digests():
    evidence = evidences.Evidence()
    remote = [flows.make_server(n, data_centre="gijon") for n in (1, 2)]
    evidence.unheard = {"gijon"}
    assert evidence.standing(remote[1], 1.0) is evidences.Standing.GOOD
    evidence.silent(remote[0], 1.0, 1.05)
    assert evidence.standing(remote[1], 1.05) is evidences.Standing.DOUBTED


def test_passed_check_restores_an_unreachable_data_centre():
    evidence = evidences.Evidence()
    remote = [flows.make_server(n, data_centre="gijon") for n in (1, 2)]
    for server in remote:
        evidence.silent(server, 1.0, 1.05)
        evidence.silent(server, 1.0, 1.06)
    evidence.checked(remote[0], True, 1.5)
    assert evidence.standing(remote[0], 1.51) is evidences.Standing.GOOD


def test_restarted_server_is_not_doubted():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    evidence.silent(server, 1.0, 1.05)
    evidence.silent(server, 1.0, 1.05)
    restarted = flows.make_server(1, started=99)
    assert evidence.standing(restarted, 1.1) is evidences.Standing.GOOD


def test_pause_of_the_host_is_not_blamed_on_a_server():
    host = flows.make_host([flows.make_server(1)])
    host.tick(0.0)
    server = host.receive(flows.make_packet(), 0.01).server
    # The host was paused for longer than the timeout, so an answer may have
    # arrived in the meantime.
    host.tick(3.0)
    assert host.evidence.standing(server, 3.0) is evidences.Standing.GOOD


def make_balancer(servers, initial_load=None, data_centre="bilbao"):
    evidence = evidences.Evidence()
    pace = paces.Pace()
    open_flows = (
        initial_load if initial_load is not None else collections.Counter()
    )
    balancer = balance.Balancer(
        data_centre,
        evidence,
        pace,
        lambda tag: open_flows[tag],
        random.Random(1),
    )
    return balancer, evidence, pace, open_flows


def test_least_loaded_server_is_chosen():
    servers = [flows.make_server(n) for n in (1, 2, 3)]
    balancer, _, _, open_flows = make_balancer(servers)
    open_flows.update(
        {servers[0].tag: 2, servers[1].tag: 1, servers[2].tag: 2}
    )
    assert balancer.choose(servers, 0.0) is servers[1]


def test_local_server_is_preferred_while_it_has_a_free_slot():
    local = flows.make_server(1)
    remote = flows.make_server(2, data_centre="gijon")
    balancer, _, _, open_flows = make_balancer([local, remote])
    assert balancer.choose([local, remote], 0.0) is local
    open_flows[local.tag] = 1
    assert balancer.choose([local, remote], 0.0) is local
    open_flows[local.tag] = 4
    assert balancer.choose([local, remote], 0.0) is remote


def test_doubted_server_is_used_only_if_all_are_doubted():
    servers = [flows.make_server(n) for n in (1, 2)]
    balancer, evidence, _, _ = make_balancer(servers)
    evidence.silent(servers[0], 1.0, 1.05)
    for _ in range(10):
        assert balancer.choose(servers, 1.06) is servers[1]
    evidence.silent(servers[1], 1.0, 1.05)
    names = {balancer.choose(servers, 1.06).name for _ in range(30)}
    assert len(names) == 2


def test_slow_server_gets_fewer_flows():
    servers = [flows.make_server(n) for n in (1, 2, 3)]
    balancer, _, pace, open_flows = make_balancer(servers)
    for _ in range(10):
        for server in servers:
            is_slow = server is servers[0]
            pace.ended(server, 0.1 if is_slow else 0.02, 1.0)
    assert pace.of(servers[0], 1.0) < 0.6 < pace.of(servers[1], 1.0)
    open_flows.update({servers[1].tag: 1, servers[2].tag: 1})
    chosen = {balancer.choose(servers, 1.0).name for _ in range(20)}
    assert servers[0].name not in chosen
    # Outdated measurements expire, so that the server gets flows again.
    assert pace.of(servers[0], 1.0 + paces.FORGET_SECONDS + 0.1) == 1.0


def test_warming_server_is_weighted_with_part_of_its_slots():
    warming = flows.make_server(1, warm_up=1.5)
    warm = flows.make_server(2)
    balancer, _, _, _ = make_balancer([warming, warm])
    assert balancer.choose([warming, warm], 0.0) is warm
