"""Failures that operators of similar systems have reported, in flow mode.

Each test names the failure that it guards against; docs/PROOFS.md lists them.
"""

import json
import random
import socket

from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests import flow_factories
from tests import stored_objects
from tests import test_loop
from tests import test_watchers
from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import flow as flow_types
from vanilladrum.core import neighbours
from vanilladrum.core import position as positions
from vanilladrum.core import watchers
from vanilladrum.daemons import json_log
from vanilladrum.daemons import list_watch
from vanilladrum.daemons import packet_forwarder
from vanilladrum.daemons import source_selector as source_selectors
from vanilladrum.daemons import store_monitor as store_monitors
from vanilladrum.platform import answers
from vanilladrum.platform import connection as connections
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import packet as packets
from vanilladrum.platform import store as stores
from vanilladrum.wire import loop as loops
from vanilladrum.wire import udp

ANY = addresses.Address("127.0.0.1", 0)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.sampled_from((-1, 0, 7, 2**64, 2**1100))
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)
# A loaded machine generates examples slowly, which is no failure.
FUZZ_LIMITS = settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)


class RawServer:
    """A TCP server that answers each connection with prepared bytes.

    :param answers: bytes sent after each request, one entry a request.
    :param connections: accepted connections.
    """

    def __init__(self, answers):
        self.loop = loops.Loop()
        self.answers = list(answers)
        self.connections = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.loop.watch(self.listener.fileno(), loops.READ, self.accept)
        address = addresses.Address(*self.listener.getsockname())
        self.client = stores.Store(self.loop, address, 0.3)

    def accept(self, _):
        """Accept a connection and answer its requests."""
        connection, _ = self.listener.accept()
        self.connections.append(connection)
        self.loop.watch(
            connection.fileno(), loops.READ, lambda _: self.reply(connection)
        )

    def reply(self, connection):
        """Send the next prepared answer, or close after the last one."""
        if not connection.recv(65536):
            self.loop.unwatch(connection.fileno())
            return
        if self.answers:
            connection.sendall(self.answers.pop(0))

    def list_servers(self):
        """Return the outcome of a list of servers."""
        outcomes = []
        self.client.list("servers", outcomes.append)
        test_loop.run_until(self.loop, lambda: bool(outcomes))
        return outcomes[0]

    def close(self):
        """Close all sockets."""
        self.listener.close()
        for each in self.connections:
            each.close()


def make_answer(names, revision):
    """Return the bytes of an answer that lists servers."""
    items = [
        {
            "meta": {"name": name, "revision": revision},
            "spec": stored_objects.SERVER_ENTRY,
        }
        for name in names
    ]
    document = {"items": items, "has-more": False, "store-revision": revision}
    body = json.dumps(document).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.fixture
def raw_server():
    servers = []

    def make(*answers):
        servers.append(RawServer(answers))
        return servers[-1]

    yield make
    for each in servers:
        each.close()


def test_second_copy_of_an_answer_does_not_reach_the_next_call(raw_server):
    """Failure: a late second copy on a connection that was in use again."""
    first = make_answer(["i-1"], 5)
    server = raw_server(first + first, make_answer(["i-2"], 6))
    assert server.list_servers().revision == 5
    assert server.list_servers().revision == 6
    assert len(server.connections) == 2


def test_late_second_copy_closes_the_idle_connection(raw_server):
    first = make_answer(["i-1"], 5)
    server = raw_server(first, make_answer(["i-2"], 6))
    server.list_servers()
    server.connections[0].sendall(first)
    (connection,) = server.client._idle_connections["servers"]
    test_loop.run_until(server.loop, lambda: connection.stream.ended)
    assert server.list_servers().revision == 6


def test_calls_of_different_kinds_do_not_share_a_connection(raw_server):
    """A second copy can reach a call of the same kind only."""
    server = raw_server(make_answer(["i-1"], 5), make_answer([], 5))
    server.list_servers()
    outcomes = []
    server.client.list("config", outcomes.append)
    test_loop.run_until(server.loop, lambda: bool(outcomes))
    assert len(server.connections) == 2


def make_list_watcher(on_change=lambda _: None):
    """Return a list watcher at revision 9, without any connection."""
    loop = loops.Loop(lambda _: None)
    view = test_watchers.make_view(1, {}, loop.now())
    log = json_log.EventLog(json_log.LineWriter(1), {})
    store = stores.Store(loop, test_watchers.host_at(9), 0.3)
    monitor = store_monitors.StoreMonitor(loop, store, log)
    selector = source_selectors.SourceSelector(
        loop, monitor, view, mirrors.Mirror(loop), lambda: 1
    )
    watcher = list_watch.ListWatcher(
        selector, objects.SERVER_KIND, lambda _: None, on_change
    )
    watcher.position = positions.StorePosition(0, 9)
    watcher._needs_listing = False
    return watcher


def test_old_changes_are_not_applied_again():
    """A second copy of an earlier answer would revive a server that left."""
    changed = []
    watcher = make_list_watcher(changed.append)
    entry = stored_objects.make_object(
        "i-1", stored_objects.SERVER_ENTRY, revision=7
    )
    watcher._on_answer(stores.Changes((entry,), 8))
    assert changed == [] and watcher.position.revision == 9


def test_unexpected_error_does_not_end_the_updates():
    """Failure: one unexpected error took a whole process down."""

    def fail(_):
        raise RuntimeError("a bug")

    watcher = make_list_watcher(fail)
    entry = stored_objects.make_object(
        "i-1", stored_objects.SERVER_ENTRY, revision=10
    )
    with pytest.raises(RuntimeError):
        watcher._on_answer(stores.Changes((entry,), 10))
    assert watcher.loop.timers.next_due() is not None
    assert watcher._needs_listing


@pytest.mark.parametrize("kept", [0.3, 0.9])
def test_answer_that_breaks_off_is_no_success(raw_server, kept):
    """Failure: half an answer was taken for a complete success."""
    answer = make_answer([f"i-{n}" for n in range(20)], 5)
    server = raw_server(answer[: int(len(answer) * kept)])
    outcome = server.list_servers()
    assert isinstance(outcome, errors.StoreTimeoutError)


@pytest.mark.parametrize("missing", [1, 4, 20])
def test_compressed_answer_that_breaks_off_is_no_success(missing):
    body = mirrors._encode(
        json.dumps(
            {
                "items": list(range(3000)),
                "has-more": False,
                "store-revision": 1,
            }
        ).encode(),
        1,
    )
    assert body.compressed
    outcome = answers.read_answer(
        "GET",
        connections.Answer(200, body.body[:-missing], True),
        lambda document, _: document,
        False,
    )
    assert isinstance(outcome, errors.PlatformError)


def test_packets_accepted_before_a_stop_are_forwarded():
    """Failure: a planned stop cut off requests that were just accepted."""
    loop = loops.Loop()
    backend_socket = udp.bind(ANY)
    server = flow_factories.make_server(1)
    server.address = addresses.Address(*backend_socket.getsockname())
    host = flow_factories.make_host([server])
    packet_socket = udp.bind(ANY)
    forwarder = packet_forwarder.PacketForwarder(
        loop,
        packet_socket,
        host,
        None,
        json_log.EventLog(json_log.LineWriter(1), {}, limit=0),
        lambda: None,
    )
    forwarder.open()
    count = 150
    caller = flow_factories.CALLER
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(count):
            header = packets.HEADER.pack(
                1,
                0,
                number + 1,
                flow_factories.BOOKINGS.port,
                int.from_bytes(caller.pack()[:4], "big"),
                int.from_bytes(flow_factories.BOOKINGS.pack()[:4], "big"),
                0,
                0,
                packets.SYN,
                0,
                0,
            )
            sender.sendto(header, packet_socket.getsockname())
    forwarder.close()
    assert host.counters["first_packets"] == count
    backend_socket.close()


def test_new_host_lists_at_one_that_is_not_behind():
    """Failure: after a restart, a server that had left was in use again.

    The store is away, and one of the other hosts was cut off for a while.
    """
    for number in range(3, 40):
        others = {1: test_watchers.make_digest(revision=40)}
        others[2] = test_watchers.make_digest(revision=90)
        view = test_watchers.make_view(number, others)
        source = watchers.choose_upstream(view, False, False, set(), 0.1)
        assert source == test_watchers.host_at(2)


def test_departed_server_gets_no_new_flow_after_a_restart():
    """The new process lists the servers again, without the one that left."""
    left = flow_factories.make_server(1)
    stays = flow_factories.make_server(2)
    before = flow_factories.make_host([left, stays])
    before.directory.remove(left.name, 0.0)
    restarted = flow_factories.make_host([stays])
    for host in (before, restarted):
        for port in range(1, 30):
            opened = host.receive(flow_factories.make_packet(port), 0.1)
            assert opened.server is stays


def test_removed_route_stays_removed_after_a_restart():
    """A withdrawn route, like a withdrawn key, is not accepted again."""
    host = flow_factories.make_host()
    newer = flow_factories.make_configuration(2)
    del newer.routes[flow_factories.BOOKINGS.pack()]
    host.configure(newer)
    # A neighbour that is behind offers the configuration of before.
    assert not host.configure(flow_factories.make_configuration(1))
    decision = host.receive(flow_factories.make_packet(), 0.1)
    assert isinstance(decision, flow_types.Reset)


@given(strategies.binary(max_size=80))
@FUZZ_LIMITS
def test_any_datagram_is_decided_or_refused(datagram):
    """Failure: one malformed message took a whole process down."""
    host = flow_factories.make_host()
    try:
        packet = packets.decode(datagram)
    except errors.PacketError:
        return
    decision = host.receive(packet, 0.0)
    if isinstance(decision, flow_types.Reset):
        assert len(packets.make_reset(packet)) == packets.HEADER_BYTES
    host.tick(1.0)


@given(
    strategies.dictionaries(
        strategies.sampled_from(sorted(stored_objects.SERVER_ENTRY)),
        JSON_VALUES,
    )
)
@example({"warmup-left-ms": 2**1100})
@FUZZ_LIMITS
def test_any_server_entry_is_read_or_refused(changed):
    """An entry of another writer has missing or wrong fields."""
    content = stored_objects.SERVER_ENTRY | changed
    entry = stored_objects.make_object("i-7f3a", content)
    try:
        server = objects.parse_server(entry)
    except errors.PlatformError:
        return
    assert server.slots >= 1
    host = flow_factories.make_host([server])
    host.receive(flow_factories.make_packet(), 0.0)
    host.tick(0.1)


@given(strategies.text(max_size=20))
@example("i-" + "f" * 17)
@FUZZ_LIMITS
def test_any_server_name_is_read_or_refused(name):
    try:
        entry = stored_objects.make_object(name, stored_objects.SERVER_ENTRY)
        server = objects.parse_server(entry)
    except errors.PlatformError:
        return
    assert len(server.wire_id) == 8


@given(
    strategies.dictionaries(
        strategies.sampled_from(sorted(stored_objects.CONFIGURATION)),
        JSON_VALUES,
    ),
    strategies.dictionaries(
        strategies.sampled_from(
            sorted(stored_objects.CONFIGURATION["routes"][0])
        ),
        JSON_VALUES,
    ),
)
@example({}, {"timeout-ms": 2**1100})
@example({}, {"timeout-ms": float("nan")})
@FUZZ_LIMITS
def test_any_configuration_is_read_or_refused(changed, changed_route):
    route = stored_objects.CONFIGURATION["routes"][0] | changed_route
    content = stored_objects.CONFIGURATION | {"routes": [route]} | changed
    entry = stored_objects.make_object("main", content)
    host = flow_factories.make_host()
    try:
        host.configure(objects.parse_configuration(entry))
    except errors.PlatformError:
        return
    host.receive(flow_factories.make_packet(), 0.0)
    host.tick(0.1)


def _make_ok(document):
    return connections.Answer(200, json.dumps(document).encode())


@given(JSON_VALUES)
@FUZZ_LIMITS
def test_any_answer_of_the_store_is_read_or_refused(document):
    outcomes = []
    client = stores.Store(loops.Loop(), ANY, 0.3)
    client._call = lambda method, path, read, done, **_: done(
        answers.read_answer("GET", _make_ok(document), read, False)
    )
    client.list("servers", outcomes.append)
    assert len(outcomes) == 1
    client._call = lambda method, path, read, done, **_: outcomes.append(
        answers.read_answer("GET", _make_ok(document), read, False)
    )
    client.watch("servers", positions.START, 0.1, outcomes.append)
    assert len(outcomes) == 2


def test_deeply_nested_answer_is_refused():
    body = b"[" * 100_000
    answer = connections.Answer(200, body)
    outcome = answers.read_answer(
        "GET", answer, lambda document, _: document, False
    )
    assert isinstance(outcome, errors.PlatformError)


def test_made_up_digests_do_not_stop_the_exchange():
    rng = random.Random(4)
    view = neighbours.Neighbours(test_watchers.host_at(1), 1, rng)
    for number in range(500):
        digest = test_watchers.make_digest(
            sequence=rng.getrandbits(32),
            start=rng.getrandbits(2),
            data_centre=rng.getrandbits(2),
            generation=rng.getrandbits(32),
            revision=rng.getrandbits(64),
            busy_flows={rng.getrandbits(32): rng.getrandbits(16)},
            hosts=(addresses.Address("0.0.0.0", rng.getrandbits(16)),),
        )
        now = number * rng.random()
        view.receive(test_watchers.host_at(number % 200), digest, now)
        view.receivers(now)
        view.tick(now)
        watchers.choose_upstream(view, True, True, set(), now)


def test_late_copy_of_a_first_packet_never_resets_its_flow():
    """Failure: a caller was told that its work had not run although it had.

    The caller's flow is open and the last server is leaving when a delayed
    copy of the packet that opened the flow arrives.
    """
    server = flow_factories.make_server(1)
    host = flow_factories.make_host([server])
    host.receive(flow_factories.make_packet(), 0.0)
    host.receive(
        flow_factories.make_packet(tag=server.tag, has_data=True), 0.01
    )
    host.directory.remove(server.name, 0.02)
    decision = host.receive(flow_factories.make_packet(copies=1), 0.03)
    assert isinstance(decision, flow_types.Ignore)


def test_work_is_sent_to_one_server_only_once_its_flow_is_open():
    """Failure: work that had run was run again after its answer was lost.

    Every packet of an open flow goes to its server, also from a host that
    has just started, however often the caller retransmits.
    """
    servers = [flow_factories.make_server(n) for n in range(1, 6)]
    opened = flow_factories.make_host(servers).receive(
        flow_factories.make_packet(), 0.0
    )
    for seed in range(20):
        host = flow_factories.make_host(servers, seed)
        for _ in range(3):
            decision = host.receive(
                flow_factories.make_packet(
                    tag=opened.server.tag, has_data=True
                ),
                0.5,
            )
            assert decision.server.name == opened.server.name
