"""Entries of other writers: each costs no other entry, no host, no start."""

import asyncio
import json

from hypothesis import example
from hypothesis import given
from hypothesis import strategies
import pytest

from tests import flow_factories
from tests import stored_objects
from tests import test_flow_processes
from tests import test_reported_failures
from vanilladrum.core import errors
from vanilladrum.platform import answers
from vanilladrum.platform import connection as connections
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.standins import odd_entries
from vanilladrum.wire import digests
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

GOOD = json.dumps(stored_objects.SERVER_ENTRY).encode()


def encode_object(name, spec, revision=3):
    """Return an object as the store sends it.

    :param name: the name, encoded.
    """
    return b'{"meta": {"name": %s, "revision": %d}, "spec": %s}' % (
        name,
        revision,
        spec,
    )


def encode_list(*encoded):
    return (
        b'{"items": ['
        + b", ".join(encoded)
        + b'], "has-more": false, "store-revision": 9}'
    )


def encode_changes(*encoded):
    events = [b'{"object": %s, "deleted": false}' % each for each in encoded]
    return b'{"events": [' + b", ".join(events) + b'], "store-revision": 9}'


def read_answer(answer, method, *arguments):
    """Return the outcome of a call that gets a prepared answer."""
    outcomes = []
    client = stores.Store(loops.Loop(), test_reported_failures.ANY, 0.3)
    client._call = lambda _, path, read, done, **extra: done(
        answers.read_answer("GET", answer, read, False)
    )
    getattr(client, method)("servers", *arguments, outcomes.append)
    return outcomes[0]


def read_list(body):
    return read_answer(connections.Answer(200, body, era=1), "list")


def read_changes(body):
    position = stores.Listing((), 1, 1).position
    answer = connections.Answer(200, body, era=1)
    return read_answer(answer, "watch", position, 0.1)


def relay(received):
    """Return an answer as another host reads it from a mirror.

    :param received: listing or changes that the mirror received.
    """
    mirror = mirrors.Mirror(loops.Loop())
    sent = []
    if isinstance(received, stores.Listing):
        mirror.replace_all("servers", received)
        query = "whole=1"
    else:
        mirror.replace_all("servers", stores.Listing((), 1, 1))
        mirror.apply_changes("servers", received)
        query = "watch=1"
    mirror.handle(httpd.Request("/servers", query, sent.append))
    response = sent[0]
    return read_list_or_changes(
        connections.Answer(200, response.body, response.compressed, 1),
        received,
    )


def read_list_or_changes(answer, like):
    if isinstance(like, stores.Listing):
        return read_answer(answer, "list")
    return read_answer(answer, "watch", like.position, 0.1)


def servers_of(outcome):
    """Return the servers that an outcome names, by name."""
    assert not isinstance(outcome, errors.PlatformError), outcome
    servers = {}
    for each in outcome.objects:
        try:
            servers[each.name] = objects.parse_server(each)
        except errors.PlatformError:
            continue
    return servers


def assert_only_good_servers(spec):
    """Assert that an entry costs no other one, in lists, watches, relays."""
    encoded = (
        encode_object(b'"i-a"', GOOD),
        encode_object(b'"i-b"', spec),
        encode_object(b'"i-c"', GOOD),
    )
    for outcome in (
        read_list(encode_list(*encoded)),
        read_changes(encode_changes(*encoded)),
    ):
        assert set(servers_of(outcome)) == {"i-a", "i-c"}
        names = [each.name for each in outcome.objects]
        assert names == ["i-a", "i-b", "i-c"]
        relayed = relay(outcome)
        assert set(servers_of(relayed)) == {"i-a", "i-c"}


# One entry made the whole answer of the store unreadable, so that all changes
# of servers were lost and no host could start.
@pytest.mark.parametrize("kind", odd_entries.UNREADABLE)
def test_unreadable_entry_costs_no_other(kind):
    assert_only_good_servers(odd_entries.UNREADABLE[kind])


# Such an entry was taken for a server, or made each choice or tick fail.
@pytest.mark.parametrize("kind", odd_entries.REFUSED)
def test_entry_with_a_value_out_of_bounds_names_no_server(kind):
    assert_only_good_servers(odd_entries.REFUSED[kind])


@pytest.mark.parametrize(
    "name", [b"7", b'""', b'"i-\\udcf3"', b'"a\\nb"', b'"\xff"', b"[" * 2_000]
)
def test_object_without_a_readable_name_is_left_out_and_counted(name):
    name += b"]" * name.count(b"[")
    encoded = (
        encode_object(name, GOOD),
        encode_object(b'"i-c"', GOOD),
    )
    for outcome in (
        read_list(encode_list(*encoded)),
        read_changes(encode_changes(*encoded)),
    ):
        assert set(servers_of(outcome)) == {"i-c"}
        assert outcome.unnamed == 1


# An answer without a list of objects would remove all servers.
@pytest.mark.parametrize(
    "body",
    [
        b'{"items": {}, "has-more": false, "store-revision": 9}',
        b'{"items": null, "has-more": false, "store-revision": 9}',
        b'{"items": [], "has-more": 0, "store-revision": 9}',
        b'{"items": [], "has-more": false, "store-revision": %s}'
        % (b"9" * 5_000),
        b'{"items": [{}], "has-more": true, "store-revision": 9}',
        encode_list(encode_object(b'"i-a"', GOOD))[:-3],
    ],
)
def test_answer_whose_frame_cannot_be_read_is_an_error(body):
    assert isinstance(read_list(body), errors.PlatformError)


# A copy of an entry without its sequence was used as a server, with the
# identity of the real one, of another service.
@pytest.mark.parametrize("field", sorted(stored_objects.SERVER_ENTRY))
def test_entry_without_a_field_names_no_server(field):
    content = dict(stored_objects.SERVER_ENTRY)
    del content[field]
    entry = stored_objects.make_object("i-7f3a91c2", content)
    if field == "born":
        assert objects.parse_server(entry).started == 0
        return
    with pytest.raises(errors.PlatformError, match="names no server"):
        objects.parse_server(entry)


@given(
    strategies.dictionaries(
        strategies.sampled_from(
            (*sorted(stored_objects.SERVER_ENTRY), "note")
        ),
        test_reported_failures.JSON_VALUES,
    ),
    strategies.sampled_from((b"", *odd_entries.UNREADABLE.values())),
)
@example({"version": None}, b"")
@test_reported_failures.FUZZ_LIMITS
def test_any_entry_costs_no_other_one(changed, raw):
    """Entries of any form, among others, in lists, watches and relays."""
    content = stored_objects.SERVER_ENTRY | changed
    spec = raw or json.dumps(content).encode()
    encoded = (
        encode_object(b'"i-a"', GOOD),
        encode_object(b'"i-b"', spec),
        encode_object(b'"i-c"', GOOD),
    )
    for outcome in (
        read_list(encode_list(*encoded)),
        read_changes(encode_changes(*encoded)),
    ):
        servers = servers_of(outcome)
        assert {"i-a", "i-c"} <= set(servers)
        assert set(servers_of(relay(outcome))) == set(servers)
        host = flow_factories.make_host(list(servers.values()))
        host.receive(flow_factories.make_packet(), 0.0)
        host.tick(0.1)
        digests.encode(host.make_digest(False, False, False, outcome.position))


# An entry with a real server's address and a later start made hosts take the
# real one for stopped, even if its service is named nowhere.
def test_entry_of_an_unknown_service_does_not_remove_a_server():
    host = flow_factories.make_host([flow_factories.make_server(1)])
    host.configure(
        flow_factories.make_configuration(2, health_paths={"bookings": "/"})
    )
    odd = flow_factories.make_server(2, service="unknown", started=9000)
    odd.address = flow_factories.make_server(1).address
    host.handle_entry(odd)
    host.tick(1.0)
    assert flow_factories.make_server(1).name in host.directory.servers
    reused = flow_factories.make_server(3, started=9000)
    reused.address = odd.address
    host.handle_entry(reused)
    host.tick(2.0)
    assert flow_factories.make_server(1).name not in host.directory.servers


async def test_odd_entries_cost_no_host_no_start_and_no_change(cluster):
    """All kinds at once, before the hosts start again and while they run."""
    store = cluster.store
    for number, spec in enumerate(odd_entries.ALL.values()):
        await store.put_raw("servers", f"i-{number + 4096:08x}", spec)
    await asyncio.sleep(1.0)
    assert await test_flow_processes.send_requests(cluster, 200) == 200
    server = cluster.servers[0]
    server.draining = True
    await store.put("servers", server.name, server.store_entry())
    await asyncio.sleep(1.0)
    server.flows_opened_while_draining = 0
    assert await test_flow_processes.send_requests(cluster, 200) == 200
    assert server.flows_opened_while_draining == 0
    for host in cluster.hosts:
        assert await host.stop() == 0
        host.start()
    await cluster.wait_ready()
    assert await test_flow_processes.send_requests(cluster, 200) == 200
    for host in cluster.hosts:
        assert "internal error" not in host.log_path.read_text()
