"""The platform's settings, packets, objects and store."""

import functools
import json
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from tests import test_loop
from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import serverstate
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import packet as packets
from vanilladrum.platform import settings as node_settings
from vanilladrum.platform import store as stores
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

SETTINGS = """
node-name=frontend-bilbao-1
zone=bilbao
ip=10.1.0.10
listen-addrs.datagram-addr=10.1.0.10:8172
listen-addrs.readiness-addr=10.1.0.10:8167
internal-ports=7720,7735
seeds=10.1.0.10:8166,10.2.0.40:8166
platform.address=10.200.1.7:8169
bounds.grace-s=6
some.new-field=x
"""
FIRST_PACKET = bytes.fromhex(
    "11223344000000009c4101bb64400007c6120001a1b2c3d50000000040000000"
)
RESET = bytes.fromhex(
    "000000000000000001bb9c41c612000164400007000000000000000001000000"
)
ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "bilbao",
    "version": "v1",
    "max-concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path-prefix": "/8080/",
            "timeout-ms": 600,
            "service": "huvo11a",
        },
        {
            "name": "r-2",
            "host": "198.18.0.1",
            "path-prefix": "/8443/",
            "timeout-ms": 500,
            "backends": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
        },
    ],
    "services": [{"name": "huvo11a", "health-check-path": "/health"}],
    "limits": {"idle-timeout-ms": 15000},
}


def test_settings_are_read_and_unknown_keys_ignored():
    found = node_settings.parse(SETTINGS, "file")
    assert found.flows == addresses.Address("10.1.0.10", 8172)
    assert found.peer == addresses.Address("10.1.0.10", 7720)
    assert found.seeds[1] == addresses.Address("10.2.0.40", 7720)
    assert found.grace == 6.0


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("zone=", "zone"),
        ("listen-addrs.datagram-addr=nowhere", "listen-addrs.datagram-addr"),
        ("internal-ports=a,b", "internal-ports"),
        ("bounds.grace-s=soon", "bounds.grace-s"),
        ("seeds=10.1.0.10", "seeds"),
    ],
)
def test_bad_setting_is_refused_with_file_and_key(line, key):
    with pytest.raises(errors.SettingsError, match="file: key") as found:
        node_settings.parse(SETTINGS + line + "\n", "file")
    assert repr(key) in str(found.value)


def test_missing_file_and_bad_metrics_port_are_refused(monkeypatch):
    with pytest.raises(errors.SettingsError, match="cannot be read"):
        node_settings.read("/does/not/exist")
    monkeypatch.setenv(node_settings.METRICS_VARIABLE, "no-port")
    with pytest.raises(errors.SettingsError, match="METRICS_PORT"):
        node_settings.parse(SETTINGS, "file")


def test_packet_is_read_and_passed_on_with_its_tag_only_changed():
    packet = packets.decode(FIRST_PACKET + b"rest")
    assert packet.opens and not packet.closes and packet.copies == 0
    assert packet.service == addresses.Address("198.18.0.1", 443).pack()
    assert packets.caller(packet) == addresses.Address("100.64.0.7", 40001)
    identity = packets.identity("i-7f3a91c2")
    sent = packets.to_server(packet, identity, 0x01020304)
    assert sent[:8] == identity
    changed = FIRST_PACKET[:24] + bytes((1, 2, 3, 4)) + FIRST_PACKET[28:]
    assert sent[8:] == changed + b"rest"


def test_reset_is_written_as_the_page_shows_it():
    assert packets.reset(packets.decode(FIRST_PACKET)) == RESET


def test_copies_of_a_first_packet_are_counted():
    copy = FIRST_PACKET[:4] + bytes((0, 0, 0, 2)) + FIRST_PACKET[8:]
    assert packets.decode(copy).copies == 2


def test_request_is_named_from_the_first_data():
    head = b"GET / HTTP/1.1\r\nX-Request-Id: abc123\r\nA: b\r\n\r\n"
    packet = packets.decode(FIRST_PACKET + head)
    assert packets.request_id(packet) == "abc123"
    assert packets.request_id(packets.decode(FIRST_PACKET)) is None
    assert not packets.has_data(packets.decode(FIRST_PACKET))
    assert packets.endpoints(packet.key) == "100.64.0.7:40001>198.18.0.1:443"


@given(strategies.binary(max_size=120))
def test_any_bytes_are_refused_or_read(datagram):
    try:
        packet = packets.decode(datagram)
    except errors.PacketError as error:
        assert error.kind == "short"
        return
    packets.request_id(packet)
    assert len(packets.reset(packet)) == packets.HEADER_BYTES


def stored(name, content, revision=1, deleted=False):
    plain = {"meta": {"name": name, "revision": revision}, "spec": content}
    return objects.stored(plain, deleted)


def test_entry_of_a_server_is_read():
    server = objects.server(stored("i-7f3a91c2", ENTRY))
    assert server.state is serverstate.ServerState.ACTIVE
    assert server.slots == 2 and server.warm_up == 1.5
    assert server.address == addresses.Address("10.128.0.9", 8080)
    leaving = objects.server(stored("i-1", ENTRY | {"state": "draining"}))
    assert leaving.state is serverstate.ServerState.LEAVING


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"address": 7},
        {"address": "host:1"},
        {"max-concurrency": "2"},
        {"born": 1.5},
        {"service": None},
    ],
)
def test_entry_of_another_writer_names_no_server(change):
    with pytest.raises(errors.PlatformError, match="names no server"):
        objects.server(stored("i-7f3a91c2", ENTRY | change))
    for content in (None, "text", 7, []):
        with pytest.raises(errors.PlatformError):
            objects.server(stored("i-7f3a91c2", content))
    with pytest.raises(errors.PlatformError):
        objects.server(stored("no-digits!", ENTRY))


def test_configuration_is_read():
    found = objects.configuration(stored("main", CONFIGURATION))
    assert found.generation == 7
    first = found.routes[addresses.Address("198.18.0.1", 8080).pack()]
    assert first.services == {"huvo11a"} and first.timeout == 0.6
    second = found.routes[addresses.Address("198.18.0.1", 8443).pack()]
    rng = random.Random(1)
    chosen = [second.choose(rng) for _ in range(1000)]
    assert 50 < chosen.count("wuno96b") < 150
    assert found.health_paths == {"huvo11a": "/health"}


def test_broken_configuration_is_refused_whole():
    broken = json.loads(json.dumps(CONFIGURATION))
    broken["routes"][1]["path-prefix"] = "/x/"
    with pytest.raises(errors.PlatformError, match="the one in force stays"):
        objects.configuration(stored("main", broken))


class FakeStore:
    """Answers what a test has prepared, one answer a request."""

    def __init__(self):
        self.loop = loops.Loop()
        self.answers = []
        self.asked = []
        handlers = {
            f"{stores.OBJECTS}/servers": self.answer,
            f"{stores.OBJECTS}/config/main": self.answer,
        }
        self.endpoint = httpd.HttpEndpoint(self.loop, handlers)
        port = test_loop.free_port()
        self.at = addresses.Address("127.0.0.1", port)
        self.endpoint.listen(self.at)
        self.client = stores.Store(self.loop, self.at, 0.2)

    def answer(self, request):
        self.asked.append(request.query)
        answer = self.answers.pop(0)
        if answer is not None:
            request.answer(answer)

    def outcome(self, call, *arguments):
        found = []
        call(*arguments, found.append)
        test_loop.run_until(self.loop, lambda: bool(found))
        return found[0]


@pytest.fixture
def fake():
    found = FakeStore()
    yield found
    found.endpoint.close()


def answer(status, plain=None):
    return httpd.Answer(status, json.dumps(plain or {}).encode())


def page(names, more, revision):
    items = [
        {"meta": {"name": name, "revision": 1}, "spec": ENTRY}
        for name in names
    ]
    plain = {"items": items, "has-more": more, "store-revision": revision}
    return answer(200, plain)


def test_list_takes_all_pages_and_the_first_revision(fake):
    fake.answers = [page(["i-1"], True, 10), page(["i-2"], False, 12)]
    listing = fake.outcome(fake.client.list, "servers")
    assert [each.name for each in listing.objects] == ["i-1", "i-2"]
    assert listing.revision == 10
    assert fake.asked == ["", "after=i-1"]


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (503, errors.StoreRefusedError),
        (410, errors.HistoryGoneError),
        (400, errors.PlatformError),
    ],
)
def test_refusals_are_told_apart(fake, status, kind):
    fake.answers = [answer(status)]
    outcome = fake.outcome(fake.client.watch, "servers", 5, 0.1)
    assert type(outcome) is kind


def test_silence_is_bounded_and_the_next_call_uses_a_new_connection(fake):
    fake.answers = [None, page([], False, 3)]
    before = fake.loop.now()
    outcome = fake.outcome(fake.client.list, "servers")
    assert type(outcome) is errors.StoreSilentError
    assert fake.loop.now() - before < 0.5
    assert fake.outcome(fake.client.list, "servers").revision == 3


def test_watch_waits_longer_than_other_calls(fake):
    fake.answers = [None]
    before = fake.loop.now()
    outcome = fake.outcome(fake.client.watch, "servers", 5, 0.4)
    assert type(outcome) is errors.StoreSilentError
    assert 0.5 < fake.loop.now() - before < 1.0


def test_answer_that_cannot_be_read_is_an_error(fake):
    for body in (b"{", b"[]", b'{"items": 3}'):
        fake.answers = [httpd.Answer(200, body)]
        outcome = fake.outcome(fake.client.list, "servers")
        assert isinstance(outcome, errors.PlatformError)


def test_store_that_is_gone_is_an_error(fake):
    fake.endpoint.close()
    outcome = fake.outcome(fake.client.list, "servers")
    assert type(outcome) is errors.StoreSilentError


def test_absent_object_is_a_sign_of_life(fake):
    fake.answers = [answer(404)]
    assert type(fake.outcome(fake.client.ping)) is stores.Alive


def test_cancelled_watch_is_not_heard_any_more(fake):
    fake.answers = [None]
    found = []
    cancel = fake.client.watch("servers", 5, 1.0, found.append)
    fake.loop.after(0.05, cancel)
    fake.loop.after(0.1, fake.loop.stop)
    fake.loop.run()
    assert found == []


@pytest.fixture
def mirrored():
    """A mirror and a client of it, on one loop."""
    loop = loops.Loop()
    mirror = mirrors.Mirror(loop)
    endpoint = httpd.HttpEndpoint(loop, mirrors.serve(mirror))
    at = addresses.Address("127.0.0.1", test_loop.free_port())
    endpoint.listen(at)
    yield mirror, stores.Store(loop, at, 0.3)
    endpoint.close()


def outcome_of(client, call, *arguments):
    found = []
    call(*arguments, found.append)
    test_loop.run_until(client.loop, lambda: bool(found))
    return found[0]


def test_mirror_repeats_lists_and_changes(mirrored):
    mirror, client = mirrored
    absent = outcome_of(client, client.list, "servers")
    assert isinstance(absent, errors.PlatformError)
    mirror.listed("servers", stores.Listing((stored("i-1", ENTRY),), 10))
    listing = outcome_of(client, client.list, "servers")
    assert [each.name for each in listing.objects] == ["i-1"]
    change = stores.Changes((stored("i-2", ENTRY, 11),), 11)
    client.loop.after(0.05, lambda: mirror.changed("servers", change))
    changes = outcome_of(client, client.watch, "servers", 10, 1.0)
    assert [each.name for each in changes.objects] == ["i-2"]
    assert changes.revision == 11
    gone = stores.Changes((stored("i-2", ENTRY, 12, True),), 12)
    mirror.changed("servers", gone)
    changes = outcome_of(client, client.watch, "servers", 11, 1.0)
    assert changes.objects[0].deleted
    listing = outcome_of(client, client.list, "servers")
    assert [each.name for each in listing.objects] == ["i-1"]


def test_mirror_tells_when_its_history_does_not_reach_back(mirrored):
    mirror, client = mirrored
    mirror.listed("servers", stores.Listing((), 10))
    outcome = outcome_of(client, client.watch, "servers", 9, 0.1)
    assert type(outcome) is errors.HistoryGoneError


def test_mirror_bounds_its_history(mirrored, monkeypatch):
    monkeypatch.setattr(mirrors, "MAX_HISTORY", 2)
    mirror, client = mirrored
    mirror.listed("servers", stores.Listing((), 10))
    for revision in (11, 12, 13, 14):
        change = stores.Changes((stored("i-1", ENTRY),), revision)
        mirror.changed("servers", change)
    outcome = outcome_of(client, client.watch, "servers", 11, 0.1)
    assert type(outcome) is errors.HistoryGoneError
    found = outcome_of(client, client.watch, "servers", 12, 0.1)
    assert len(found.objects) == 2


def test_mirror_ends_a_wait_with_an_empty_answer(mirrored):
    mirror, client = mirrored
    mirror.listed("servers", stores.Listing((), 10))
    client.loop.after(0.15, mirror.tick)
    found = outcome_of(client, client.watch, "servers", 10, 0.1)
    assert found.objects == () and found.revision == 10


def test_large_answer_on_a_slow_link_is_waited_for(fake):
    """Only silence is given up, not an answer of which more still comes."""
    body = json.dumps(
        {"items": [], "has-more": False, "store-revision": 9}
    ).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    parts = [head.encode()] + [body[n : n + 5] for n in range(0, len(body), 5)]

    def drip(request):
        stream = next(iter(fake.endpoint.connections)).stream
        for number, part in enumerate(parts):
            send = functools.partial(stream.send, part)
            fake.loop.after(0.08 * number, send)

    fake.endpoint.handlers[f"{stores.OBJECTS}/servers"] = drip
    outcome = fake.outcome(fake.client.list, "servers")
    assert outcome.revision == 9
