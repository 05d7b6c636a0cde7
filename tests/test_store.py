"""Tests of the store client and of the mirror that serves its objects."""

import functools
import json
import random
import zlib

import pytest

from tests import stored_objects
from tests import test_loop
from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import position as positions
from vanilladrum.platform import answers
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import store as stores
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops


class FakeStore:
    """HTTP server that returns prepared answers, and a client of it.

    :param answers: answers to the next requests; None sends no answer.
    :param queries: query strings of the requests received.
    """

    def __init__(self):
        self.loop = loops.Loop()
        self.answers = []
        self.queries = []
        handlers = {
            f"{stores.OBJECTS_PATH}/servers": self.answer,
            f"{stores.OBJECTS_PATH}/config/main": self.answer,
        }
        self.endpoint = httpd.HttpEndpoint(self.loop, handlers)
        port = test_loop.free_port()
        self.address = addresses.Address("127.0.0.1", port)
        self.endpoint.listen(self.address)
        self.client = stores.Store(self.loop, self.address, 0.2)

    def answer(self, request):
        """Handle a request with the next prepared answer."""
        self.queries.append(request.query)
        prepared = self.answers.pop(0)
        if prepared is not None:
            request.respond(prepared)

    def wait_for_outcome(self, call, *arguments):
        """Call a method of the client and return its result or error."""
        outcomes = []
        call(*arguments, outcomes.append)
        test_loop.run_until(self.loop, lambda: bool(outcomes))
        return outcomes[0]


@pytest.fixture
def fake_store():
    store = FakeStore()
    yield store
    store.endpoint.close()


def make_answer(status, document=None):
    return httpd.Response(status, json.dumps(document or {}).encode())


def at(revision, era=0):
    return positions.StorePosition(era, revision)


def make_page(names, has_more, revision):
    """Return the answer that holds one page of a list of servers."""
    items = [
        {
            "meta": {"name": name, "revision": 1},
            "spec": stored_objects.SERVER_ENTRY,
        }
        for name in names
    ]
    document = {
        "items": items,
        "has-more": has_more,
        "store-revision": revision,
    }
    return make_answer(200, document)


def test_list_reads_all_pages_and_keeps_the_first_revision(fake_store):
    """A watch from a later page's revision would miss changes in between."""
    fake_store.answers = [
        make_page(["i-1"], True, 10),
        make_page(["i-2"], False, 12),
    ]
    listing = fake_store.wait_for_outcome(fake_store.client.list, "servers")
    assert [each.name for each in listing.objects] == ["i-1", "i-2"]
    assert listing.revision == 10
    assert fake_store.queries == ["", "after=i-1"]


@pytest.mark.parametrize(
    ("status", "error_class"),
    [
        (503, errors.StoreRejectedError),
        (410, errors.HistoryExpiredError),
        (400, errors.PlatformError),
    ],
)
def test_refusals_are_distinguished_by_status(fake_store, status, error_class):
    fake_store.answers = [make_answer(status)]
    outcome = fake_store.wait_for_outcome(
        fake_store.client.watch, "servers", at(5), 0.1
    )
    assert type(outcome) is error_class


def test_call_times_out_and_the_next_uses_a_new_connection(fake_store):
    fake_store.answers = [None, make_page([], False, 3)]
    before = fake_store.loop.now()
    outcome = fake_store.wait_for_outcome(fake_store.client.list, "servers")
    assert type(outcome) is errors.StoreTimeoutError
    assert fake_store.loop.now() - before < 0.5
    assert (
        fake_store.wait_for_outcome(fake_store.client.list, "servers").revision
        == 3
    )


def test_watch_waits_longer_than_other_calls(fake_store):
    fake_store.answers = [None]
    before = fake_store.loop.now()
    outcome = fake_store.wait_for_outcome(
        fake_store.client.watch, "servers", at(5), 0.4
    )
    assert type(outcome) is errors.StoreTimeoutError
    assert 0.5 < fake_store.loop.now() - before < 1.0


def test_malformed_answer_is_an_error(fake_store):
    for body in (b"{", b"[]", b'{"items": 3}'):
        fake_store.answers = [httpd.Response(200, body)]
        outcome = fake_store.wait_for_outcome(
            fake_store.client.list, "servers"
        )
        assert isinstance(outcome, errors.PlatformError)


def test_unreachable_store_is_an_error(fake_store):
    fake_store.endpoint.close()
    outcome = fake_store.wait_for_outcome(fake_store.client.list, "servers")
    assert type(outcome) is errors.StoreTimeoutError


def test_ping_succeeds_if_the_object_does_not_exist(fake_store):
    fake_store.answers = [make_answer(404)]
    assert (
        type(fake_store.wait_for_outcome(fake_store.client.ping))
        is stores.PingReply
    )


def test_cancelled_watch_does_not_call_back(fake_store):
    fake_store.answers = [None]
    outcomes = []
    cancel = fake_store.client.watch("servers", at(5), 1.0, outcomes.append)
    fake_store.loop.after(0.05, cancel)
    fake_store.loop.after(0.1, fake_store.loop.stop)
    fake_store.loop.run()
    assert outcomes == []


@pytest.fixture
def mirror_and_client():
    """Yield a mirror and a client of it that share a loop."""
    loop = loops.Loop()
    mirror = mirrors.Mirror(loop)
    endpoint = httpd.HttpEndpoint(loop, mirrors.serve(mirror))
    address = addresses.Address("127.0.0.1", test_loop.free_port())
    endpoint.listen(address)
    yield mirror, stores.Store(loop, address, 0.3)
    endpoint.close()


def wait_for_outcome(client, call, *arguments):
    """Call a method of the client and return its result or error."""
    outcomes = []
    call(*arguments, outcomes.append)
    test_loop.run_until(client.loop, lambda: bool(outcomes))
    return outcomes[0]


def test_mirror_serves_lists_and_changes(mirror_and_client):
    mirror, client = mirror_and_client
    not_listed = wait_for_outcome(client, client.list, "servers")
    assert isinstance(not_listed, errors.PlatformError)
    mirror.replace_all(
        "servers",
        stores.Listing(
            (stored_objects.make_object("i-1", stored_objects.SERVER_ENTRY),),
            10,
        ),
    )
    listing = wait_for_outcome(client, client.list, "servers")
    assert [each.name for each in listing.objects] == ["i-1"]
    change = stores.Changes(
        (stored_objects.make_object("i-2", stored_objects.SERVER_ENTRY, 11),),
        11,
    )
    client.loop.after(0.05, lambda: mirror.apply_changes("servers", change))
    changes = wait_for_outcome(client, client.watch, "servers", at(10), 1.0)
    assert [each.name for each in changes.objects] == ["i-2"]
    assert changes.revision == 11
    deletion = stores.Changes(
        (
            stored_objects.make_object(
                "i-2", stored_objects.SERVER_ENTRY, 12, True
            ),
        ),
        12,
    )
    mirror.apply_changes("servers", deletion)
    changes = wait_for_outcome(client, client.watch, "servers", at(11), 1.0)
    assert changes.objects[0].deleted
    listing = wait_for_outcome(client, client.list, "servers")
    assert [each.name for each in listing.objects] == ["i-1"]


def test_mirror_rejects_a_revision_before_its_history(mirror_and_client):
    mirror, client = mirror_and_client
    mirror.replace_all("servers", stores.Listing((), 10))
    outcome = wait_for_outcome(client, client.watch, "servers", at(9), 0.1)
    assert type(outcome) is errors.HistoryExpiredError


def test_mirror_bounds_its_history(mirror_and_client, monkeypatch):
    monkeypatch.setattr(mirrors, "MAX_HISTORY", 2)
    mirror, client = mirror_and_client
    mirror.replace_all("servers", stores.Listing((), 10))
    for revision in (11, 12, 13, 14):
        change = stored_objects.make_object(
            f"i-{revision}", stored_objects.SERVER_ENTRY, revision
        )
        mirror.apply_changes("servers", stores.Changes((change,), revision))
    outcome = wait_for_outcome(client, client.watch, "servers", at(11), 0.1)
    assert type(outcome) is errors.HistoryExpiredError
    changes = wait_for_outcome(client, client.watch, "servers", at(12), 0.1)
    assert len(changes.objects) == 2


def test_mirror_keeps_only_the_last_change_of_an_object(mirror_and_client):
    mirror, client = mirror_and_client
    mirror.replace_all("servers", stores.Listing((), 10))
    for revision in range(11, 60):
        change = stored_objects.make_object(
            "i-1", stored_objects.SERVER_ENTRY, revision
        )
        mirror.apply_changes("servers", stores.Changes((change,), revision))
    changes = wait_for_outcome(client, client.watch, "servers", at(10), 0.1)
    assert [each.revision for each in changes.objects] == [59]
    assert changes.revision == 59


def test_large_answer_of_a_mirror_is_compressed(mirror_and_client):
    """Mirrors may have to send it over links of 5 Mbit/s."""
    mirror, client = mirror_and_client
    routes = [{"name": f"r-{n}", "host": f"198.18.0.{n}"} for n in range(250)]
    large = stored_objects.make_object(
        "main", {"version": 7, "routes": routes}
    )
    mirror.replace_all("config", stores.Listing((large,), 10))
    sent = []
    mirror.handle(httpd.Request("/config", "", sent.append))
    assert len(sent[0].encode()) < len(json.dumps(large.content)) / 4
    listing = wait_for_outcome(client, client.list, "config")
    assert vars(listing.objects[0]) == vars(large)


def test_mirror_does_not_pass_on_large_answers_unless_asked(mirror_and_client):
    """Only ``list_unlimited`` gets an answer above the size limit.

    The followers list it from the store instead, which serves twenty of them
    faster than a host with a link of 5 Mbit/s.
    """
    mirror, client = mirror_and_client
    rng = random.Random(1)
    routes = [{"name": rng.randbytes(40).hex()} for _ in range(1000)]
    large = stored_objects.make_object(
        "main", {"version": 7, "routes": routes}, 11
    )
    mirror.replace_all("config", stores.Listing((), 10))
    mirror.apply_changes("config", stores.Changes((large,), 11))
    outcome = wait_for_outcome(client, client.watch, "config", at(10), 0.1)
    assert type(outcome) is errors.AnswerTooLargeError
    outcome = wait_for_outcome(client, client.list, "config")
    assert type(outcome) is errors.AnswerTooLargeError
    full_listing = wait_for_outcome(client, client.list_unlimited, "config")
    assert vars(full_listing.objects[0]) == vars(large)


def test_answer_that_decompresses_above_the_limit_is_an_error(fake_store):
    compressed = zlib.compress(bytes(answers.MAX_DECOMPRESSED_BYTES + 1))
    fake_store.answers = [httpd.Response(200, compressed, compressed=True)]
    outcome = fake_store.wait_for_outcome(fake_store.client.list, "servers")
    assert type(outcome) is errors.PlatformError


def test_mirror_ends_a_watch_with_an_empty_answer(mirror_and_client):
    """A watch without changes is answered when its wait has passed."""
    mirror, client = mirror_and_client
    mirror.replace_all("servers", stores.Listing((), 10))
    client.loop.after(0.15, mirror.tick)
    changes = wait_for_outcome(client, client.watch, "servers", at(10), 0.1)
    assert changes.objects == () and changes.revision == 10


def test_changes_above_the_limit_are_not_received(fake_store):
    """The call ends with the header, not after the whole answer."""
    fake_store.answers = [httpd.Response(200, bytes(500))]
    client = fake_store.client
    outcome = fake_store.wait_for_outcome(
        functools.partial(client.watch, max_bytes=499), "servers", at(1), 1.0
    )
    assert type(outcome) is errors.AnswerTooLargeError
    body = json.dumps({"events": [], "store-revision": 9}).encode()
    fake_store.answers = [httpd.Response(200, body)]
    outcome = fake_store.wait_for_outcome(
        functools.partial(client.watch, max_bytes=len(body)),
        "servers",
        at(1),
        1.0,
    )
    assert outcome.revision == 9


def test_slow_answer_does_not_time_out_while_data_arrives(fake_store):
    """The timeout restarts whenever a part of the answer arrives."""
    body = json.dumps(
        {"items": [], "has-more": False, "store-revision": 9}
    ).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    parts = [head.encode()] + [body[n : n + 5] for n in range(0, len(body), 5)]

    def send_slowly(request):
        stream = next(iter(fake_store.endpoint.connections)).stream
        for number, part in enumerate(parts):
            send = functools.partial(stream.send, part)
            fake_store.loop.after(0.08 * number, send)

    fake_store.endpoint.handlers[f"{stores.OBJECTS_PATH}/servers"] = (
        send_slowly
    )
    outcome = fake_store.wait_for_outcome(fake_store.client.list, "servers")
    assert outcome.revision == 9
