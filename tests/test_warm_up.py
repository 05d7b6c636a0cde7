"""First packets for cold servers: countdown, choice, copies and failures."""

import random

import pytest

from tests import flow_factories
from tests import stored_objects
from tests import test_loop
from tests import warm_up_fleets
from vanilladrum.core import flow as flow_types
from vanilladrum.core import routes
from vanilladrum.core.warmup import attachment
from vanilladrum.daemons import flow_metrics
from vanilladrum.daemons import json_log
from vanilladrum.daemons import server_sync
from vanilladrum.daemons import warm_up as warm_ups
from vanilladrum.platform import settings as node_settings
from vanilladrum.wire import loop as loops

# Time of the tests, in seconds: the host has long discovered the others.
NOW = 10.0
SECONDS = 8.0


def make_cold(number, **extra):
    return flow_factories.make_server(number, warm_up=SECONDS, **extra)


def make_host(*servers, rate=0.0, seed=1):
    """Return the only host of bilbao, with a budget and servers at NOW."""
    host = flow_factories.make_host(list(servers), seed)
    host.configure(
        flow_factories.make_configuration(
            2, warm_ups={"bookings": routes.WarmUp(SECONDS, rate)}
        )
    )
    budget = attachment.attach(host, 1.5, 5.0)
    host.tick(0.0)
    host.tick(NOW)
    for server in servers:
        budget.update_entry(server, NOW)
    return host


def send(host, count, now=NOW, **extra):
    """Send first packets of new flows and return the decisions."""
    return [
        host.receive(
            flow_factories.make_packet(random.getrandbits(15), **extra), now
        )
        for _ in range(count)
    ]


def servers_of(decisions):
    """Return the numbers of the servers that got a first packet."""
    return [
        int(decision.server.name[2:], 16)
        for decision in decisions
        if isinstance(decision, flow_types.Forward)
    ]


def doubt(host, server, now=NOW):
    """Make a host suspect a server."""
    host.failure_detector.record_timeout(server, now, now)


def kill(host, server, now=NOW):
    """Make a host presume a server dead, two seconds after ``now``."""
    doubt(host, server, now)
    host.failure_detector.last_answer = now + 1.0
    for _ in range(2):
        host.failure_detector.record_check(server, False, now + 1.0, False)


# Without the setting


def test_without_a_budget_cold_servers_get_any_number():
    """Deployments without the setting must be served as before."""
    host = flow_factories.make_host([make_cold(1)])
    assert servers_of(send(host, 100)) == [1] * 100
    assert "cold_servers" not in flow_metrics.render(host, {})


def test_without_cold_servers_a_budget_changes_no_choice():
    servers = [flow_factories.make_server(number) for number in range(1, 40)]
    limited = make_host(*servers)
    unlimited = flow_factories.make_host(servers)
    for host in (limited, unlimited):
        host.rng.seed(5)
    ports = range(1000, 1200)
    chosen = [
        [
            host.receive(flow_factories.make_packet(port), NOW).server.name
            for port in ports
        ]
        for host in (limited, unlimited)
    ]
    assert chosen[0] == chosen[1]


# Countdown


def test_server_is_cold_for_the_time_of_its_entry_from_its_arrival():
    server = make_cold(1)
    budget = make_host(server).warm_up
    assert budget.is_cold(server, NOW + SECONDS - 0.01)
    assert not budget.is_cold(server, NOW + SECONDS)


def test_entry_of_a_restarted_server_makes_it_cold_again():
    host = make_host(flow_factories.make_server(1))
    restarted = make_cold(1, started=9000)
    assert host.warm_up.update_entry(restarted, NOW)
    assert not host.warm_up.update_entry(restarted, NOW + 1.0)
    assert host.warm_up.is_cold(restarted, NOW + 1.0)


def test_countdown_ends_while_the_store_is_silent():
    """No further entry arrives, and the server must not stay cold."""
    server = make_cold(1)
    host = make_host(server)
    host.tick(NOW + SECONDS + 1.0)
    assert host.warm_up.count_cold(host.directory) == 0
    assert len(servers_of(send(host, 50, NOW + SECONDS + 1.0))) == 50


@pytest.fixture
def log():
    """Return an event log that records the events with their values."""
    made = json_log.EventLog(json_log.LineWriter(1), {}, limit=0)
    made.events = []
    made.event = lambda name, **values: made.events.append((name, values))
    return made


def test_entry_that_is_listed_again_does_not_begin_a_new_countdown(log):
    """After an outage the store lists entries from before it."""
    host = make_host(flow_factories.make_server(9))
    loop = loops.Loop()
    loop.now = lambda: clock[0]
    sync = server_sync.ServerSync(loop, host, log, 1.2)
    entry = stored_objects.make_object("i-1", stored_objects.SERVER_ENTRY)
    clock = [NOW]
    sync.apply_listing((entry,), 0)
    clock = [NOW + 1.0]
    sync.apply_listing((entry,), 0)
    server = host.directory.servers["i-1"]
    assert not host.warm_up.is_cold(server, NOW + 1.51)


def test_server_that_becomes_cold_is_logged_once(log):
    host = make_host(flow_factories.make_server(9))
    sync = server_sync.ServerSync(loops.Loop(), host, log, 1.2)
    sync.apply_listing((), 0)
    for sequence, left in enumerate((1500, 300)):
        content = stored_objects.SERVER_ENTRY | {
            "sequence": sequence,
            "warmup-left-ms": left,
        }
        sync.apply_change(stored_objects.make_object("i-1", content))
    logged = [values for name, values in log.events if name == "server cold"]
    assert logged == [{"server": "i-1", "seconds": 1.5}]


# Choice


def test_warm_server_is_preferred_to_a_cold_one():
    host = make_host(make_cold(1), flow_factories.make_server(2, slots=1000))
    assert set(servers_of(send(host, 50))) == {2}


def test_cold_good_server_is_preferred_to_a_doubted_one_within_the_budget():
    doubted = flow_factories.make_server(2)
    host = make_host(make_cold(1), doubted)
    doubt(host, doubted)
    assert servers_of(send(host, 4)) == [1, 2, 2, 2]


@pytest.mark.parametrize("rate", [0.0, 30.0])
def test_cold_server_keeps_the_share_in_every_window(rate):
    """A cold server got a burst from each host."""
    doubted = flow_factories.make_server(2, slots=1000)
    host = make_host(make_cold(1), doubted, rate=rate)
    doubt(host, doubted)
    times = []
    for step in range(300):
        now = NOW + step * 0.01
        if servers_of(send(host, 1, now)) == [1]:
            times.append(now)
    share = {0.0: 1, 30.0: 4}[rate]
    assert warm_up_fleets.worst_second(times) == share


def test_cold_server_of_another_data_centre_gets_nothing_from_here():
    """Its own hosts have the budget and this one cannot count them."""
    host = make_host(
        make_cold(1, data_centre="porto"),
        flow_factories.make_server(2, slots=1000),
    )
    doubt(host, host.directory.servers["i-00000002"])
    assert set(servers_of(send(host, 20))) == {2}


def test_cold_servers_without_a_rate_are_used_if_there_is_no_other():
    """A service whose servers have all restarted must be served."""
    host = make_host(make_cold(1), make_cold(2))
    assert set(servers_of(send(host, 50))) == {1, 2}
    assert host.counters["cold_first_packets"] == 50


def test_cold_servers_with_a_rate_refuse_what_exceeds_it():
    host = make_host(make_cold(1), rate=30.0)
    decisions = send(host, 10)
    assert servers_of(decisions) == [1] * 4
    assert {each.reason for each in decisions[4:]} == {"warming_up"}
    assert all(isinstance(each, flow_types.Reset) for each in decisions[4:])


def test_service_without_servers_is_still_refused_as_such():
    host = make_host(flow_factories.make_server(1, service="patterns"))
    assert send(host, 1)[0].reason == "no_server"


@pytest.mark.parametrize("fail", [kill, "unreachable", "ejected", "full"])
def test_servers_that_cannot_take_the_load_do_not_keep_cold_ones_idle(fail):
    """Without a rate the only live servers were held back."""
    other = flow_factories.make_server(2, data_centre="porto")
    host = make_host(make_cold(1), other)
    if fail is kill:
        kill(host, other)
    if fail == "unreachable":
        host.failure_detector.silent_servers["porto"] = {1, 2}
    if fail == "ejected":
        host.failure_detector.server_record(other).health.eject(NOW + 2.0)
    if fail == "full":
        # By the count of another host.
        host.neighbours.busy_flows[other.tag] = 6
    assert set(servers_of(send(host, 3, NOW + 2.0))) == {1}


def test_rare_warm_server_of_a_large_service_is_found():
    """Samples of 16 often held cold servers only."""
    cold = [make_cold(number) for number in range(1, 60)]
    warm = flow_factories.make_server(60, data_centre="porto", slots=1000)
    host = make_host(*cold, warm, rate=30.0)
    host.warm_up.members.is_reliable = lambda now: False
    assert servers_of(send(host, 50)) == [60] * 50


# Copies of first packets


def open_at_cold_server(rate):
    """Return a host whose cold server has just used up its budget."""
    host = make_host(make_cold(1), flow_factories.make_server(2), rate=rate)
    warm = host.directory.servers["i-00000002"]
    host.directory.remove(warm.name, NOW)
    packet = flow_factories.make_packet(7)
    while servers_of([host.receive(packet, NOW)]) == [1]:
        packet = flow_factories.make_packet(random.getrandbits(15))
        if host.counters["cold_first_packets"] > 3:
            break
    host.directory.update(warm)
    cold = host.directory.servers["i-00000001"]
    host.failure_detector.record_answer(cold, NOW + 0.01)
    return host


def test_copy_is_dropped_beyond_the_budget():
    """Copies of first packets exceeded the limit.

    A reset would end a flow whose server has just answered.
    """
    host = open_at_cold_server(30.0)
    copy = flow_factories.make_packet(7, copies=1)
    decision = host.receive(copy, NOW + 0.2)
    assert isinstance(decision, flow_types.Ignore)
    assert decision.reason == "warming_up"


def test_copy_is_not_refused_without_a_rate():
    """A copy was refused although other servers had room."""
    host = open_at_cold_server(0.0)
    copy = flow_factories.make_packet(7, copies=1)
    assert servers_of([host.receive(copy, NOW + 0.2)]) == [1]


def test_duplicate_by_the_network_never_resets_its_flow():
    """The first packet is on its way, so a reset would end the opening."""
    host = open_at_cold_server(30.0)
    duplicate = flow_factories.make_packet(7)
    decision = host.receive(duplicate, NOW + 0.2)
    assert isinstance(decision, flow_types.Ignore)


def test_copy_within_the_budget_is_counted():
    host = make_host(make_cold(1), rate=30.0)
    assert servers_of([host.receive(flow_factories.make_packet(7), NOW)])
    copy = flow_factories.make_packet(7, copies=1)
    cold = host.directory.servers["i-00000001"]
    host.failure_detector.record_answer(cold, NOW + 0.01)
    assert servers_of([host.receive(copy, NOW + 0.2)]) == [1]
    assert host.counters["cold_first_packets"] == 2


def test_copy_reaches_a_cold_server_that_is_the_only_one_without_a_rate():
    host = make_host(make_cold(1))
    send(host, 5)
    host.receive(flow_factories.make_packet(7), NOW)
    copy = flow_factories.make_packet(7, copies=1)
    assert servers_of([host.receive(copy, NOW + 0.2)]) == [1]


# Return of a data centre from an evacuation


def test_servers_of_a_returned_data_centre_warm_up_in_steps():
    servers = [flow_factories.make_server(number) for number in range(1, 31)]
    host = make_host(*servers)
    host.on_data_centre_returned("bilbao", NOW)
    cold = [
        sum(host.warm_up.is_cold(each, NOW + after) for each in servers)
        for after in (0.0, SECONDS - 0.1, SECONDS * 1.5, SECONDS * 2)
    ]
    assert cold[0] == cold[1] == 30 and cold[3] == 0
    assert 5 < cold[2] < 25


def test_entry_after_the_return_does_not_shorten_the_steps():
    """Servers that ran during the evacuation write that they are warm."""
    host = make_host(flow_factories.make_server(1))
    host.on_data_centre_returned("bilbao", NOW)
    entry = flow_factories.make_server(1, sequence=9)
    host.handle_entry(entry)
    host.warm_up.update_entry(entry, NOW + 0.1)
    host.tick(NOW + 0.2)
    assert host.warm_up.is_cold(entry, NOW + SECONDS - 0.1)
    assert host.warm_up.count_cold(host.directory) == 1
    host.tick(NOW + 2 * SECONDS + 0.1)
    assert host.warm_up.count_cold(host.directory) == 0


def test_return_is_logged_and_unknown_data_centres_do_no_harm(log):
    host = make_host(flow_factories.make_server(1))
    settings = make_settings("bounds.warmup-slack=5\n")
    warm_ups.set_up(host, settings, log)
    for name in ("bilbao", "nowhere"):
        host.on_data_centre_returned(name, NOW)
    assert log.events == [
        (
            "data centre warming up",
            {"data_centre": name, "servers": servers, "seconds": 2 * SECONDS},
        )
        for name, servers in (("bilbao", 1), ("nowhere", 0))
    ]


# Memory


def test_what_is_remembered_stays_bounded():
    host = make_host(make_cold(1))
    for step in range(2000):
        send(host, 1, NOW + step * 0.001)
    assert len(host.warm_up._sent["i-00000001"]) <= 1051
    for number in range(100):
        host.warm_up.update_entry(make_cold(1, sequence=number), NOW + 2.0)
    host.tick(NOW + 30.0)
    assert not host.warm_up._sent
    assert not host.warm_up._expiries and not host.warm_up._cold_until


# Settings and metrics


def make_settings(lines):
    return node_settings.parse(
        "node-name=n\nzone=bilbao\nip=127.0.0.1\n"
        f"internal-ports={test_loop.free_port()},1\n"
        "listen-addrs.datagram-addr=127.0.0.1:1\n"
        "listen-addrs.readiness-addr=127.0.0.1:1\n"
        "platform.address=127.0.0.1:1\n" + lines,
        "f",
    )


def test_settings_turn_the_limit_on(log):
    host = flow_factories.make_host()
    warm_ups.set_up(host, make_settings("bounds.warmup-overage=1.5\n"), log)
    assert host.warm_up is None and host.balancer.warm_up is None
    settings = make_settings(
        "bounds.warmup-overage=1.5\nbounds.warmup-slack=5\n"
    )
    warm_ups.set_up(host, settings, log)
    assert host.warm_up.limit("bookings") == 5.0


def test_metrics_show_cold_servers_and_refusals():
    host = make_host(make_cold(1), rate=30.0)
    send(host, 5)
    page = flow_metrics.render(host, {})
    assert "vanilladrum_cold_servers 1\n" in page
    assert "vanilladrum_cold_first_packets_total 4\n" in page
