"""Lists that take long, while the source of updates changes."""

import asyncio
import json

import pytest

from tests import test_list_watch
from tests import test_loop
from tests import test_watchers
from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.daemons import list_watch
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.wire import httpd
from vanilladrum.wire import stream as streams

# Time in which a list arrives, as one of 512 kB does at 5 Mbit/s, in seconds.
TRANSFER_SECONDS = 0.8
PARTS = 16
# Interval between two interruptions, in seconds.
INTERRUPTION_SECONDS = 0.3
# A configuration has to be in force by then, in seconds.
LIMIT_SECONDS = 5.0
WATCHING_HOSTS = range(2, 30)
LIST_PATH = f"{stores.OBJECTS_PATH}/{objects.CONFIGURATION_KIND}"
LISTING = {
    "items": [
        {
            "meta": {"name": objects.CONFIGURATION_NAME, "revision": 7},
            "spec": {},
        }
    ],
    "has-more": False,
    "store-revision": 7,
}


class SlowStore:
    """Answers each call with the same list, which takes a while to send.

    :param lists: number of lists that were requested so far.
    """

    def __init__(self, loop):
        self.loop = loop
        self.address = addresses.Address("127.0.0.1", test_loop.free_port())
        self.lists = 0
        body = json.dumps(LISTING).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        answer = head.encode() + body
        size = -(-len(answer) // PARTS)
        self.parts = [answer[n * size : (n + 1) * size] for n in range(PARTS)]
        self.streams = []
        self.listener = streams.Listener.bind(
            loop, self.address, self._on_accept
        )

    def _on_accept(self, sock):
        stream = streams.Stream(
            self.loop,
            sock,
            lambda data: self._answer(
                stream, f"{LIST_PATH} ".encode() in data
            ),
            lambda _: None,
        )
        stream.start_reading()
        self.streams.append(stream)

    def _answer(self, stream, is_list):
        self.lists += is_list
        for number, part in enumerate(self.parts):
            self.loop.after(
                (number + 1) * TRANSFER_SECONDS / PARTS,
                lambda part=part: stream.send(part),
            )

    def close(self):
        self.listener.close()
        for each in self.streams:
            each.close()


def refuse_list(request):
    """Refuse to relay a list; a watch waits."""
    if not request.query:
        request.respond(httpd.Response(413))


@pytest.fixture
def follower():
    """A host that follows others, all of which refuse to relay a list.

    :returns: its source selector, the store, and the names of the objects
        that it has listed.
    """
    selector, _ = test_list_watch.make_source_selector(
        peer_generation=1, store_unreachable=False
    )
    loop = selector.loop
    store = SlowStore(loop)
    relay = httpd.HttpEndpoint(
        loop,
        {LIST_PATH: refuse_list},
    )
    relay_address = addresses.Address("127.0.0.1", test_loop.free_port())
    relay.listen(relay_address)
    selector.store_monitor.store.address = store.address
    for number in WATCHING_HOSTS:
        selector._peer_clients[test_watchers.host_at(number)] = stores.Store(
            loop, relay_address, 0.3, is_mirror=True
        )
    selector.list_watchers.clear()
    listed = []
    list_watch.ListWatcher(
        selector,
        objects.CONFIGURATION_KIND,
        lambda found: listed.extend(each.name for each in found),
        print,
    )
    yield selector, store, listed
    relay.close()
    store.close()


def receive_digests(selector, sequence):
    """Let all other hosts report that they watch the store."""
    for number in WATCHING_HOSTS:
        selector.neighbours.receive(
            test_watchers.host_at(number),
            test_watchers.make_digest(sequence, watching=True),
            selector.loop.now(),
        )


# A large configuration never arrived over a slow link, because each change of
# the source began its list anew.
def test_large_configuration_arrives_while_the_source_changes(follower):
    selector, store, listed = follower
    loop = selector.loop
    sequence = 1

    def change_source():
        nonlocal sequence
        sequence += 1
        receive_digests(selector, sequence)
        if selector.followed_host is not None:
            selector.avoid(selector.followed_host, "test")
        selector.tick()
        loop.after(INTERRUPTION_SECONDS, change_source)

    receive_digests(selector, sequence)
    selector.list_watchers[0].restart()
    loop.after(INTERRUPTION_SECONDS, change_source)
    test_loop.run_until(loop, lambda: listed, LIMIT_SECONDS)
    assert store.lists == 1


# The same where the store is lost and regained for moments.
def test_large_configuration_arrives_while_the_store_is_regained(follower):
    selector, store, listed = follower
    loop = selector.loop

    def lose_and_regain_store():
        selector.store_monitor.record_failure(errors.PlatformError("test"))
        selector.store_monitor.record_success()
        loop.after(INTERRUPTION_SECONDS, lose_and_regain_store)

    selector.list_watchers[0].restart()
    loop.after(INTERRUPTION_SECONDS, lose_and_regain_store)
    test_loop.run_until(loop, lambda: listed, LIMIT_SECONDS)
    assert store.lists == 1


# A list that goes on at the former source may fail there; the new source is
# then asked at once and not after the delay for a failed one.
def test_list_that_fails_at_the_former_source_is_repeated_at_once(follower):
    selector, store, listed = follower
    receive_digests(selector, 1)
    (watcher,) = selector.list_watchers
    watcher.restart()
    selector.avoid(selector.followed_host, "test")
    selector.tick()
    assert watcher.is_listing
    delays = []
    watcher._schedule_call = lambda delay, source=None: delays.append(delay)
    watcher._on_answer(errors.StoreTimeoutError("test"))
    assert delays == [0.0]
    watcher._current_source = selector.current_client()
    watcher._on_answer(errors.StoreTimeoutError("test"))
    assert delays[1] > 0.0


# Followers avoided a host that works: its position had moved with the
# configurations, while no server had changed that it could have forwarded.
async def test_only_configurations_change_and_no_source_is_avoided(cluster):
    for _ in range(12):
        await cluster.write_configuration()
        await asyncio.sleep(0.5)
    for host in cluster.hosts:
        assert host.logged_events("source avoided") == []
        assert host.logged_events("watch renewed") == []
