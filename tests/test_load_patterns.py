"""Where work goes under the users' load patterns, without a network.

Each test names the pattern of load that it reproduces.
"""

import random

from tests import flow_factories
from vanilladrum.core import backend as backends
from vanilladrum.core import flow as flow_types
from vanilladrum.core import flowhost

REQUEST_BYTES = 200
ANSWER_BYTES = 1000


class Caller:
    """A caller that sends requests on one long flow through a host.

    :param port: the caller's port.
    """

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.sequence = 1
        self.acknowledged = 1
        first = host.receive(flow_factories.make_packet(port), 0.0)
        self.server = first.server

    def send(self, now, **extra):
        """Send a packet of the flow and return the decision."""
        fields = {
            "sequence": self.sequence,
            "acknowledged": self.acknowledged,
        }
        packet = flow_factories.make_packet(
            self.port, tag=self.server.tag, **(fields | extra)
        )
        return self.host.receive(packet, now)

    def request(self, now):
        """Send a request."""
        self.send(now, has_data=True)
        self.sequence += REQUEST_BYTES

    def acknowledge(self, now):
        """Acknowledge the answer to the last request."""
        self.acknowledged += ANSWER_BYTES
        self.send(now)


def make_answered_callers(host, count):
    callers = [Caller(host, 1000 + number) for number in range(count)]
    for caller in callers:
        caller.request(0.004)
        caller.acknowledge(0.05)
    return callers


def test_quiet_long_flows_do_not_make_a_server_busy():
    """Boards that stay open all shift, with a request every second or two.

    When each open flow counted as work, forty quiet ones sent all new flows
    to other data centres, where a cut then broke them.
    """
    local = flow_factories.make_server(1, slots=3)
    host = flow_factories.make_host([local])
    make_answered_callers(host, 40)
    remote = flow_factories.make_server(2, slots=3, data_centre="gijon")
    host.directory.update(remote)
    opened = host.receive(flow_factories.make_packet(9), 0.1)
    assert opened.server is local


def test_long_flow_counts_as_load_only_while_it_has_a_request():
    server = flow_factories.make_server(1)
    host = flow_factories.make_host([server])
    (caller,) = make_answered_callers(host, 1)
    assert host.load(server.tag) == flowhost.IDLE_FLOW_LOAD
    caller.request(1.0)
    assert host.load(server.tag) == 1
    caller.acknowledge(1.04)
    assert host.load(server.tag) == flowhost.IDLE_FLOW_LOAD
    assert host.observer.response_times["bookings"].count == 2


def test_retransmitted_request_is_neither_new_nor_answered():
    server = flow_factories.make_server(1)
    host = flow_factories.make_host([server])
    caller = Caller(host, 1000)
    caller.request(0.004)
    sent_again = {"sequence": caller.sequence - REQUEST_BYTES}
    caller.send(0.204, has_data=True, **sent_again)
    assert host.load(server.tag) == 1
    caller.acknowledge(0.25)
    assert host.load(server.tag) == flowhost.IDLE_FLOW_LOAD
    # A late copy arrives after the answer.
    caller.send(0.26, has_data=True, **sent_again)
    assert host.load(server.tag) == flowhost.IDLE_FLOW_LOAD


def test_old_acknowledgement_does_not_answer_the_next_request():
    """The network reorders the last packet of one answer."""
    server = flow_factories.make_server(1)
    host = flow_factories.make_host([server])
    (caller,) = make_answered_callers(host, 1)
    caller.request(1.0)
    caller.send(1.01, acknowledged=caller.acknowledged - ANSWER_BYTES)
    assert host.load(server.tag) == 1


def test_sequence_numbers_of_a_long_flow_may_wrap():
    server = flow_factories.make_server(1)
    host = flow_factories.make_host([server])
    caller = Caller(host, 1000)
    caller.acknowledged = 2**32 - 10
    caller.request(0.004)
    caller.acknowledged = (caller.acknowledged + ANSWER_BYTES) % 2**32
    caller.send(0.05)
    assert host.load(server.tag) == flowhost.IDLE_FLOW_LOAD


def test_long_flow_stays_known_while_it_is_used():
    """A flow is not counted anew each time its route's timeout passes."""
    server = flow_factories.make_server(1)
    host = flow_factories.make_host([server])
    (caller,) = make_answered_callers(host, 1)
    step = flow_factories.TIMEOUT * 0.8
    for number in range(1, 6):
        now = number * step
        host.tick(now)
        caller.request(now)
        caller.acknowledge(now + 0.04)
    flow = next(iter(host.table.flows.values()))
    assert flow.opened == 0.0
    host.tick(now + 3 * flow_factories.TIMEOUT)
    assert not host.table.flows
    assert host.load(server.tag) == 0


def make_large_service(count, data_centres):
    return [
        flow_factories.make_server(
            number, data_centre=data_centres[number % len(data_centres)]
        )
        for number in range(1, count + 1)
    ]


def test_choice_in_a_large_service_compares_a_bounded_local_sample():
    """Two thousand servers: a first packet cost 3 ms of processor time."""
    host = flow_factories.make_host(
        make_large_service(2000, ["bilbao", "gijon", "oviedo"])
    )
    pool = host.directory.pool("bookings")
    candidates = pool.candidates("bilbao", random.Random(1))
    assert len(candidates) <= backends.MAX_CANDIDATES
    local = [each for each in candidates if each.data_centre == "bilbao"]
    assert len(local) >= backends.MAX_LOCAL_CANDIDATES


def test_new_flows_of_a_large_service_spread_over_its_local_servers():
    """Many hosts with old digests must not all choose the same server."""
    host = flow_factories.make_host(
        make_large_service(300, ["bilbao", "gijon", "oviedo"])
    )
    counts = {}
    for port in range(1, 101):
        opened = host.receive(flow_factories.make_packet(port), 0.0)
        assert opened.server.data_centre == "bilbao"
        counts[opened.server.name] = counts.get(opened.server.name, 0) + 1
    # One hundred local servers with two slots each.
    assert max(counts.values()) <= 2
    assert len(counts) >= 75


def test_healthy_server_is_found_while_most_of_a_service_is_silent():
    """A data centre is cut off; a sample may hold its servers only."""
    servers = make_large_service(60, ["bilbao"])
    host = flow_factories.make_host(servers)
    for server in servers[:-6]:
        for _ in range(2):
            host.failure_detector.record_timeout(server, 1.0, 1.05)
    host.failure_detector.silent_servers.clear()
    healthy = {server.name for server in servers[-6:]}
    found = 0
    for port in range(1, 101):
        opened = host.receive(flow_factories.make_packet(port), 1.1)
        assert isinstance(opened, flow_types.Forward)
        found += opened.server.name in healthy
    assert found >= 95


def make_dead_server_host(repeatable=True):
    """Return a host with a dead and a live server, and a caller of each.

    The dead one has left a first packet unanswered, and two checks did not
    reach it.
    """
    dead = flow_factories.make_server(1)
    host = flow_factories.make_host([dead])
    route = host.configuration.routes[flow_factories.BOOKINGS.pack()]
    route.repeatable = repeatable
    (stuck,) = make_answered_callers(host, 1)
    live = flow_factories.make_server(2)
    host.directory.update(live)
    detector = host.failure_detector
    detector.record_timeout(dead, 1.0, 1.05)
    for now in (1.3, 1.55):
        detector.record_check(dead, False, now, reached=False)
    detector.record_answer(live, 1.5)
    return host, stuck, dead


def test_request_to_a_dead_server_is_reset_so_that_its_caller_repeats_it():
    """A server loses power; its long flows have a request every second.

    Each of them used to wait in silence for the caller's time limit.
    """
    host, stuck, _ = make_dead_server_host()
    decision = stuck.send(1.6, has_data=True)
    assert isinstance(decision, flow_types.Reset)
    opened = host.receive(flow_factories.make_packet(7), 1.61)
    assert opened.server.name == "i-00000002"


def test_request_that_must_not_run_twice_is_never_reset():
    _, stuck, dead = make_dead_server_host(repeatable=False)
    assert stuck.send(1.6, has_data=True).server is dead


def test_answer_to_any_caller_shows_that_a_server_lives():
    host, stuck, dead = make_dead_server_host()
    host.failure_detector.record_answer(dead, 1.58)
    assert stuck.send(1.6, has_data=True).server is dead


def test_reached_server_is_not_presumed_dead():
    """An overloaded server answers late; another refuses health checks.

    Process tests whose servers have no health endpoint found the second case.
    """
    host, stuck, dead = make_dead_server_host()
    host.failure_detector.record_check(dead, False, 1.58, reached=True)
    assert stuck.send(1.6, has_data=True).server is dead


def test_host_that_is_cut_off_itself_resets_no_flow():
    """No server has answered since the suspicion began."""
    host, stuck, dead = make_dead_server_host()
    host.failure_detector.last_answer = 1.0
    assert stuck.send(1.6, has_data=True).server is dead


def test_restarted_server_is_not_taken_for_its_dead_predecessor():
    host, stuck, _ = make_dead_server_host()
    restarted = flow_factories.make_server(1, started=5000)
    host.directory.update(restarted)
    assert stuck.send(1.6, has_data=True).server is restarted


def test_server_is_not_presumed_dead_within_moments():
    """Both checks fail at once when the network has a short gap."""
    host, stuck, dead = make_dead_server_host()
    host.failure_detector.records[dead.tag].suspected_at = 1.45
    assert stuck.send(1.6, has_data=True).server is dead
