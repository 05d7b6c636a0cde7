"""The client of the platform's store, and the mirror that repeats it."""

import functools
import json
import random
import zlib

import pytest

from tests import stored
from tests import test_loop
from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import store as stores
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops


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
        {"meta": {"name": name, "revision": 1}, "spec": stored.ENTRY}
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
    mirror.listed(
        "servers", stores.Listing((stored.item("i-1", stored.ENTRY),), 10)
    )
    listing = outcome_of(client, client.list, "servers")
    assert [each.name for each in listing.objects] == ["i-1"]
    change = stores.Changes((stored.item("i-2", stored.ENTRY, 11),), 11)
    client.loop.after(0.05, lambda: mirror.changed("servers", change))
    changes = outcome_of(client, client.watch, "servers", 10, 1.0)
    assert [each.name for each in changes.objects] == ["i-2"]
    assert changes.revision == 11
    gone = stores.Changes((stored.item("i-2", stored.ENTRY, 12, True),), 12)
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
        change = stored.item(f"i-{revision}", stored.ENTRY, revision)
        mirror.changed("servers", stores.Changes((change,), revision))
    outcome = outcome_of(client, client.watch, "servers", 11, 0.1)
    assert type(outcome) is errors.HistoryGoneError
    found = outcome_of(client, client.watch, "servers", 12, 0.1)
    assert len(found.objects) == 2


def test_mirror_keeps_the_last_change_of_an_object_only(mirrored):
    mirror, client = mirrored
    mirror.listed("servers", stores.Listing((), 10))
    for revision in range(11, 60):
        change = stored.item("i-1", stored.ENTRY, revision)
        mirror.changed("servers", stores.Changes((change,), revision))
    found = outcome_of(client, client.watch, "servers", 10, 0.1)
    assert [each.revision for each in found.objects] == [59]
    assert found.revision == 59


def test_large_answer_of_a_mirror_is_packed(mirrored):
    """Those who pass it on may have links of 5 Mbit/s."""
    mirror, client = mirrored
    routes = [{"name": f"r-{n}", "host": f"198.18.0.{n}"} for n in range(250)]
    large = stored.item("main", {"version": 7, "routes": routes})
    mirror.listed("config", stores.Listing((large,), 10))
    sent = []
    mirror.handle(httpd.Request("/config", "", sent.append))
    assert len(sent[0].encode()) < len(json.dumps(large.plain)) / 4
    listing = outcome_of(client, client.list, "config")
    assert listing.objects[0].plain == large.plain


def test_answer_too_large_to_pass_on_is_left_to_the_store(mirrored):
    """Twenty followers at 5 Mbit/s: the store's link is the faster one."""
    mirror, client = mirrored
    rng = random.Random(1)
    routes = [{"name": rng.randbytes(40).hex()} for _ in range(1000)]
    large = stored.item("main", {"version": 7, "routes": routes}, 11)
    mirror.listed("config", stores.Listing((), 10))
    mirror.changed("config", stores.Changes((large,), 11))
    outcome = outcome_of(client, client.watch, "config", 10, 0.1)
    assert type(outcome) is errors.TooLargeError
    outcome = outcome_of(client, client.list, "config")
    assert type(outcome) is errors.TooLargeError
    whole = outcome_of(client, client.list_whole, "config")
    assert whole.objects[0].plain == large.plain


def test_packed_answer_that_grows_without_bound_is_an_error(fake):
    bomb = zlib.compress(bytes(stores.MAX_UNPACKED_BYTES + 1))
    fake.answers = [httpd.Answer(200, bomb, packed=True)]
    outcome = fake.outcome(fake.client.list, "servers")
    assert type(outcome) is errors.PlatformError


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
