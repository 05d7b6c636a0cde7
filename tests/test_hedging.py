"""Hedged first packets: when they are sent, where to, and how failures end."""

import pytest

from tests import flow_factories
from tests import hedging_world as worlds
from vanilladrum.core import backend as backends
from vanilladrum.core import flow as flows

LEARNT = worlds.LEARNT

# Failures of servers


def slowest_opening(settings, is_dead):
    """Return the longest opening of callers while a server is silent.

    :param is_dead: whether the server answers no health checks either.
    """
    host = worlds.make_host(worlds.make_servers(10), settings)
    silent = host.directory.servers["i-00000003"]
    world = worlds.World(
        host,
        lambda server, now: None if now > LEARNT and server is silent else 0.0,
        healthy=lambda server: not (is_dead and server is silent),
    )
    world.open(0.0, count=200)
    world.run(8.0)
    assert not world.misrouted
    return world.durations()[-1]


@pytest.mark.parametrize("is_dead", [True, False])
def test_silent_server_costs_a_caller_no_copy_timeout(is_dead):
    """A dead or full server: its caller waits 30 ms instead of 200 ms."""
    assert slowest_opening(None, is_dead) > 0.2
    assert slowest_opening(worlds.make_settings(), is_dead) < 0.06


def test_straggler_is_overtaken_and_its_late_answer_changes_nothing():
    """A server that answers after 0.15 s: the second server has the flow."""
    host = worlds.make_learnt_host()
    first = worlds.send_first(host)
    (hedge,) = worlds.wait_for_hedge(host)
    assert isinstance(hedge, flows.SendFirstPacket)
    assert hedge.first_server is first
    second = hedge.server
    assert second is not first
    assert worlds.later_server(host, second.tag, LEARNT + 0.05) is second
    assert host.counters["hedges_won"] == 1
    # The caller repeats the tag of the answer that came last.
    assert worlds.later_server(host, first.tag, LEARNT + 0.15) is second
    assert host.table.busy_counts[first.tag] == 0


def test_late_answer_of_the_second_server_changes_nothing():
    """The first server answers after all, before the second one."""
    host = worlds.make_learnt_host()
    first = worlds.send_first(host)
    (hedge,) = worlds.wait_for_hedge(host)
    assert worlds.later_server(host, first.tag, LEARNT + 0.05) is first
    assert worlds.later_server(host, hedge.server.tag, LEARNT + 0.06) is first
    assert worlds.later_server(host, first.tag, LEARNT + 0.07) is first
    assert host.counters["hedges"] == 1
    assert host.counters["hedges_won"] == 0


def test_slow_third_of_the_servers_gets_no_flood_of_hedges():
    """Slow answers everywhere are no reason for more work on the servers."""
    settings = worlds.make_settings(share=0.05)
    host = worlds.make_host(worlds.make_servers(12), settings)
    slow = set(list(host.directory.servers.values())[:4])
    world = worlds.World(
        host, lambda server, now: 0.08 if server in slow else 0.0
    )
    world.open(0.0, count=1000, interval=0.01)
    world.run(15.0)
    assert not world.misrouted
    assert world.durations()[-1] < worlds.GIVE_UP_SECONDS
    assert host.counters["hedges"] <= 0.05 * 1000


def test_burst_above_the_capacity_stops_the_hedges():
    """Full servers ignore first packets: hedges would take what is left."""
    host = worlds.make_host(
        worlds.make_servers(12), worlds.make_settings(share=1.0)
    )
    opened = {}

    def delay(server, now):
        """Let a server open one flow in 0.2 s from the burst on."""
        if now > LEARNT and now - opened.get(server, 0.0) < 0.2:
            return None
        opened[server] = now
        return 0.0

    world = worlds.World(host, delay)
    world.open(0.0, count=50)
    world.open(LEARNT, count=400, interval=0.005)
    world.run(8.0)
    assert world.hedges
    for now, _ in world.hedges:
        # The window of 2 s begins with a slot of the counters.
        start = (now // 0.125 - 15) * 0.125
        sent = sum(start <= each <= now for each in world.sent)
        unanswered = sum(
            start <= each and known <= now for each, known in world.unanswered
        )
        assert sent < 10 or unanswered <= 0.1 * sent
    assert host.counters["hedges"] < 10
    assert host.counters["hedges_denied_scarce"] > 100
    assert not host.hedge_policy.is_scarce(8.0)


def test_host_killed_between_both_packets_leaves_the_flow_to_the_copy():
    """The hedge is lost with the host; another one serves the copy."""
    servers = worlds.make_servers()
    killed = worlds.make_learnt_host(servers)
    worlds.send_first(killed)
    other = worlds.make_learnt_host(servers)
    server = worlds.send_first(other, now=LEARNT + 0.2, copies=1)
    # Two servers have received the packet, so there is no third one.
    assert worlds.wait_for_hedge(other, LEARNT + 0.3) == []
    assert worlds.later_server(other, server.tag, LEARNT + 0.3) is server


def test_host_that_knows_no_hedge_forwards_by_tag():
    """The host that hedged was killed, or the routers chose another one."""
    servers = worlds.make_servers()
    host = worlds.make_learnt_host(servers)
    first = worlds.send_first(host)
    (hedge,) = worlds.wait_for_hedge(host)
    other = worlds.make_learnt_host(servers)
    for tag in (hedge.server.tag, first.tag):
        assert worlds.later_server(other, tag, LEARNT + 0.1).tag == tag


# Conditions


def test_request_that_must_not_run_twice_is_never_hedged():
    host = worlds.make_learnt_host(
        worlds.make_distant_servers(4, service="patterns")
    )
    worlds.send_first(host, service=flow_factories.PATTERNS)
    assert worlds.wait_for_hedge(host) == []
    assert len(host.openings) == 0


def test_service_that_operators_did_not_name_is_not_hedged():
    host = worlds.make_learnt_host(services=frozenset({"maps"}))
    worlds.send_first(host)
    assert worlds.wait_for_hedge(host) == []


def test_flow_is_hedged_once():
    """The second server is silent as well: the caller's copy decides."""
    host = worlds.make_learnt_host()
    worlds.send_first(host)
    assert len(worlds.wait_for_hedge(host)) == 1
    assert worlds.wait_for_hedge(host, LEARNT + 0.1) == []
    assert worlds.wait_for_hedge(host, LEARNT + 0.19) == []
    worlds.send_first(host, now=LEARNT + 0.2, copies=1)
    assert worlds.wait_for_hedge(host, LEARNT + 0.3) == []


def test_server_that_answers_others_is_not_hedged():
    """Only this packet was lost: both servers would answer its copy."""
    host = worlds.make_learnt_host()
    server = worlds.send_first(host)
    host.failure_detector.record_answer(server, LEARNT + 0.01)
    assert worlds.wait_for_hedge(host) == []


def test_server_that_answered_before_it_was_suspected_is_not_hedged():
    """It took the next packets and lost a later one: it may answer yet."""
    host = worlds.make_learnt_host(floor=0.06)
    server = worlds.send_first(host)
    host.failure_detector.record_answer(server, LEARNT + 0.01)
    host.failure_detector.record_timeout(server, LEARNT + 0.02, LEARNT + 0.05)
    assert worlds.wait_for_hedge(host, LEARNT + 0.07) == []


def test_server_whose_check_succeeded_is_not_hedged():
    """It is slow, not silent, if openings mostly take longer than a check."""
    host = worlds.make_learnt_host(floor=0.06)
    server = worlds.send_first(host)
    assert worlds.wait_for_hedge(host) == []
    host.failure_detector.record_check(server, True, LEARNT + 0.05)
    assert worlds.wait_for_hedge(host, LEARNT + 0.08) == []


@pytest.mark.parametrize("state", ["cold", "leaving", "doubted", "ejected"])
def test_hedge_avoids_servers_that_are_not_in_order(state):
    host = worlds.make_learnt_host(worlds.make_servers(2))
    first = worlds.send_first(host)
    other = next(
        each for each in host.directory.servers.values() if each is not first
    )
    number = other.address.port - 8000
    if state == "cold":
        host.directory.update(flow_factories.make_server(number, warm_up=5.0))
    elif state == "leaving":
        leaving = flow_factories.make_server(
            number, state=flow_factories.LEAVING
        )
        host.directory.update(leaving)
    else:
        for _ in range(1 if state == "doubted" else 2):
            host.failure_detector.record_timeout(other, LEARNT, LEARNT)
    assert worlds.wait_for_hedge(host) == []


@pytest.mark.parametrize("floor", [0.05, 0.1])
def test_no_hedge_before_the_floor(floor):
    host = worlds.make_learnt_host(floor=floor)
    worlds.send_first(host)
    assert worlds.wait_for_hedge(host, LEARNT + floor - 0.001) == []
    assert host.next_tick_at(LEARNT + floor - 0.001) <= LEARNT + floor
    assert len(worlds.wait_for_hedge(host, LEARNT + floor + 0.001)) == 1


def test_no_hedge_before_enough_openings_are_known():
    """A host that has just started does not know what is slow."""
    host = worlds.make_host(
        worlds.make_servers(), worlds.make_settings(share=1.0)
    )
    host.tick(LEARNT - 0.01)
    worlds.send_first(host)
    assert worlds.wait_for_hedge(host, LEARNT + 0.19) == []


def test_pause_of_the_host_causes_no_hedge():
    """Answers that came during the pause were lost."""
    host = worlds.make_learnt_host(floor=0.06)
    worlds.send_first(host)
    assert worlds.wait_for_hedge(host) == []
    assert host.failure_detector.suspects
    assert worlds.wait_for_hedge(host, LEARNT + 0.5) == []
    assert worlds.wait_for_hedge(host, LEARNT + 0.6) == []


def test_unread_packets_postpone_a_hedge():
    """The answer may be among the packets that were not read yet."""
    host = worlds.make_learnt_host(floor=0.06)
    server = worlds.send_first(host)
    assert worlds.wait_for_hedge(host) == []
    # The time limit for the answer is over, the hedge is still to come.
    assert host.table.oldest_unanswered() is None
    assert host.awaits_answers
    host.tick(LEARNT + 0.07, input_read=False)
    assert host.take_actions() == []
    worlds.later_server(host, server.tag, LEARNT + 0.071)
    assert not host.awaits_answers
    assert worlds.wait_for_hedge(host, LEARNT + 0.08) == []


def test_hedge_is_sent_after_unread_packets_were_read():
    host = worlds.make_learnt_host(floor=0.06)
    worlds.send_first(host)
    host.tick(LEARNT + 0.07, input_read=False)
    assert len(worlds.wait_for_hedge(host, LEARNT + 0.08)) == 1


def test_route_that_changes_meanwhile_prevents_a_hedge():
    host = worlds.make_learnt_host()
    worlds.send_first(host)
    host.configure(flow_factories.make_configuration(10))
    assert worlds.wait_for_hedge(host) == []


def test_hedge_counts_as_load_and_attempt_of_the_second_server():
    """Otherwise its silence would go unnoticed and its load be too low."""
    host = worlds.make_learnt_host(worlds.make_distant_servers(4))
    first = worlds.send_first(host)
    (hedge,) = worlds.wait_for_hedge(host)
    assert host.table.busy_counts == {hedge.server.tag: 1}
    assert set(host.failure_detector.suspects) == {first.tag}
    host.tick(LEARNT + 0.1)
    assert set(host.failure_detector.suspects) == {
        first.tag,
        hedge.server.tag,
    }


def test_flow_that_the_table_has_dropped_is_not_hedged():
    host = worlds.make_learnt_host(worlds.make_distant_servers(4))
    host.table.max_flows = 1
    dropped = worlds.send_first(host, 1024)
    worlds.send_first(host, 1025)
    host.failure_detector.record_timeout(dropped, LEARNT, LEARNT + 0.03)
    (hedge,) = worlds.wait_for_hedge(host)
    assert hedge.packet.key == flow_factories.make_packet(1025).key


def test_pool_larger_than_a_sample_is_hedged_too():
    """A sample of a large service may hold no server in good order."""
    host = worlds.make_learnt_host(worlds.make_servers(40))
    first = worlds.send_first(host)
    (hedge,) = worlds.wait_for_hedge(host)
    assert hedge.server is not first
    assert len(host.directory.pool("bookings").servers) > (
        backends.MAX_CANDIDATES
    )
