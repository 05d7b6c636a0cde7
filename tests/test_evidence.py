"""Doubt of servers and data centres, checks, pace and choice of server."""

import collections
import random

from tests import flows
from vanilladrum.core import balance
from vanilladrum.core import evidence as evidences
from vanilladrum.core import pace as paces


def test_round_trip_limit_is_bounded_and_follows_what_is_measured():
    trip = evidences.RoundTrip()
    assert trip.limit() == evidences.LONGEST_WAIT
    for _ in range(50):
        trip.add(0.004)
    assert trip.limit() == evidences.SHORTEST_WAIT
    for _ in range(50):
        trip.add(0.050)
    assert 0.050 < trip.limit() <= evidences.LONGEST_WAIT


def test_lost_packet_of_an_answering_server_raises_no_doubt():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    evidence.answered(server, 1.02)
    evidence.silent(server, 1.0, 1.05)
    assert evidence.standing(server, 1.05) is evidences.Standing.GOOD


def test_silent_server_is_doubted_checked_at_once_and_ejected():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    assert not evidence.silent(server, 1.0, 1.05)
    assert evidence.standing(server, 1.05) is evidences.Standing.DOUBTED
    assert evidence.due_checks([server], 1.05) == [server]
    assert evidence.due_checks([server], 1.06) == []
    assert evidence.silent(server, 1.01, 1.06)
    assert evidence.standing(server, 1.07) is evidences.Standing.EJECTED


def test_good_check_ends_a_doubt_but_no_ejection():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    evidence.silent(server, 1.0, 1.05)
    evidence.checked(server, True, 1.06)
    assert evidence.standing(server, 1.06) is evidences.Standing.GOOD
    # Healthy by its own word, yet flows stay silent.
    assert evidence.silent(server, 1.07, 1.1)
    evidence.checked(server, True, 1.11)
    assert evidence.standing(server, 1.11) is evidences.Standing.EJECTED
    later = 1.1 + evidences.THRESHOLDS.first_ejection + 0.01
    assert evidence.standing(server, later) is evidences.Standing.GOOD


def test_answer_ends_doubt_and_ejection():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    evidence.silent(server, 1.0, 1.05)
    evidence.silent(server, 1.0, 1.05)
    evidence.answered(server, 1.1)
    assert evidence.standing(server, 1.1) is evidences.Standing.GOOD


def test_servers_silent_together_put_their_data_centre_in_doubt():
    evidence = evidences.Evidence()
    far = [flows.make_server(n, data_centre="gijon") for n in (1, 2, 3)]
    evidence.silent(far[0], 1.0, 1.05)
    assert evidence.standing(far[2], 1.05) is evidences.Standing.GOOD
    evidence.silent(far[1], 1.0, 1.05)
    assert evidence.standing(far[2], 1.05) is evidences.Standing.DOUBTED
    evidence.answered(far[2], 1.2)
    assert evidence.standing(far[2], 1.2) is evidences.Standing.GOOD
    assert not evidence.cut_off("gijon")


def test_one_silent_server_is_enough_where_no_entry_host_is_heard():
    evidence = evidences.Evidence()
    far = [flows.make_server(n, data_centre="gijon") for n in (1, 2)]
    evidence.unheard = {"gijon"}
    assert evidence.standing(far[1], 1.0) is evidences.Standing.GOOD
    evidence.silent(far[0], 1.0, 1.05)
    assert evidence.standing(far[1], 1.05) is evidences.Standing.DOUBTED


def test_good_check_after_a_cut_brings_the_data_centre_back():
    evidence = evidences.Evidence()
    far = [flows.make_server(n, data_centre="gijon") for n in (1, 2)]
    for server in far:
        evidence.silent(server, 1.0, 1.05)
        evidence.silent(server, 1.0, 1.06)
    evidence.checked(far[0], True, 1.5)
    assert evidence.standing(far[0], 1.51) is evidences.Standing.GOOD


def test_new_start_of_a_server_begins_without_doubt():
    evidence = evidences.Evidence()
    server = flows.make_server(1)
    evidence.silent(server, 1.0, 1.05)
    evidence.silent(server, 1.0, 1.05)
    again = flows.make_server(1, started=99)
    assert evidence.standing(again, 1.1) is evidences.Standing.GOOD


def test_own_pause_blames_no_server():
    host = flows.make_host([flows.make_server(1)])
    host.tick(0.0)
    server = host.receive(flows.make_packet(), 0.01).server
    # The process stands still; the answer came while it did.
    host.tick(3.0)
    assert host.evidence.standing(server, 3.0) is evidences.Standing.GOOD


def make_balancer(servers, load=None, centre="bilbao"):
    evidence = evidences.Evidence()
    pace = paces.Pace()
    counts = load if load is not None else collections.Counter()
    found = balance.Balancer(
        centre, evidence, pace, lambda tag: counts[tag], random.Random(1)
    )
    return found, evidence, pace, counts


def test_least_loaded_server_is_chosen():
    servers = [flows.make_server(n) for n in (1, 2, 3)]
    balancer, _, _, counts = make_balancer(servers)
    counts.update({servers[0].tag: 2, servers[1].tag: 1, servers[2].tag: 2})
    assert balancer.choose(servers, 0.0) is servers[1]


def test_local_server_is_preferred_while_it_has_a_free_slot():
    near = flows.make_server(1)
    far = flows.make_server(2, data_centre="gijon")
    balancer, _, _, counts = make_balancer([near, far])
    assert balancer.choose([near, far], 0.0) is near
    counts[near.tag] = 1
    assert balancer.choose([near, far], 0.0) is near
    counts[near.tag] = 4
    assert balancer.choose([near, far], 0.0) is far


def test_doubted_server_is_used_only_when_all_are():
    servers = [flows.make_server(n) for n in (1, 2)]
    balancer, evidence, _, _ = make_balancer(servers)
    evidence.silent(servers[0], 1.0, 1.05)
    for _ in range(10):
        assert balancer.choose(servers, 1.06) is servers[1]
    evidence.silent(servers[1], 1.0, 1.05)
    found = {balancer.choose(servers, 1.06).name for _ in range(30)}
    assert len(found) == 2


def test_slow_server_gets_less_work():
    servers = [flows.make_server(n) for n in (1, 2, 3)]
    balancer, _, pace, counts = make_balancer(servers)
    for _ in range(10):
        for server in servers:
            slow = server is servers[0]
            pace.ended(server, 0.1 if slow else 0.02, 1.0)
    assert pace.of(servers[0], 1.0) < 0.6 < pace.of(servers[1], 1.0)
    counts.update({servers[1].tag: 1, servers[2].tag: 1})
    chosen = {balancer.choose(servers, 1.0).name for _ in range(20)}
    assert servers[0].name not in chosen
    # A server that had no flow for a while is tried again.
    assert pace.of(servers[0], 1.0 + paces.FORGET_SECONDS + 0.1) == 1.0


def test_warming_server_counts_with_a_part_of_its_slots():
    cold = flows.make_server(1, warm_up=1.5)
    warm = flows.make_server(2)
    balancer, _, _, _ = make_balancer([cold, warm])
    assert balancer.choose([cold, warm], 0.0) is warm
