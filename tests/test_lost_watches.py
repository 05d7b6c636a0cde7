"""Watches whose answer never comes: a lost one looks like one that waits."""

import asyncio

import pytest

from tests import test_flow_processes
from tests import test_list_watch
from tests import test_watchers
from vanilladrum.daemons import source_selector as source_selectors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.standins import object_store

# The store counts as stable this long after an outage, in seconds.
STABLE_SECONDS = 4.0
# A leaving server may get new flows for this long, and a configuration has to
# be in force by then, in seconds.
LIMIT_SECONDS = 3.0
OUTAGE_SECONDS = 0.6


async def write_state(cluster, server, draining):
    """Write the entry of a server that begins or ends to drain."""
    server.draining = draining
    await cluster.store.put("servers", server.name, server.store_entry())


async def fall_silent(cluster, seconds):
    """Answer no call that is made within some time, nor later."""
    cluster.store.injected_fault = object_store.InjectedFault.SILENT
    await asyncio.sleep(seconds)
    cluster.store.injected_fault = object_store.InjectedFault.NONE


async def assert_leaves_in_time(cluster, server):
    """Assert that a server that drains now gets no new flow after the limit.

    Requests are sent meanwhile and for some seconds more.
    """
    sending = asyncio.create_task(
        test_flow_processes.send_requests(cluster, 600, 0.01)
    )
    await write_state(cluster, server, True)
    await asyncio.sleep(LIMIT_SECONDS)
    server.flows_opened_while_draining = 0
    await sending
    assert server.flows_opened_while_draining == 0
    test_flow_processes.assert_flows_intact(cluster)


# The watches of the servers at both watchers were lost in an outage that lay
# between two pings; no host heard of a server for up to 25.5 s.
async def test_watch_lost_in_a_short_outage_is_noticed(cluster):
    await asyncio.sleep(STABLE_SECONDS)
    await write_state(cluster, cluster.servers[1], True)
    # The next watch is sent after the delay for batches, into the outage.
    await asyncio.sleep(0.2)
    await fall_silent(cluster, OUTAGE_SECONDS)
    await asyncio.sleep(STABLE_SECONDS)
    await assert_leaves_in_time(cluster, cluster.servers[0])


# A second outage lost the watches that were renewed after the first one.
async def test_watch_lost_in_an_outage_after_another_is_noticed(cluster):
    await write_state(cluster, cluster.servers[1], True)
    await asyncio.sleep(0.2)
    for _ in range(3):
        await fall_silent(cluster, OUTAGE_SECONDS)
        await asyncio.sleep(0.3)
    await asyncio.sleep(STABLE_SECONDS)
    await assert_leaves_in_time(cluster, cluster.servers[0])


# All hosts lost the watch of the configurations; then none hears of a new one
# and no digest tells.
async def test_lost_watch_of_configurations_is_noticed(cluster):
    await asyncio.sleep(STABLE_SECONDS)
    await cluster.write_configuration()
    cluster.store.injected_fault = object_store.InjectedFault.SILENT
    await asyncio.sleep(OUTAGE_SECONDS)
    cluster.store.injected_fault = object_store.InjectedFault.NONE
    await asyncio.sleep(STABLE_SECONDS)
    await cluster.write_configuration()
    await asyncio.sleep(LIMIT_SECONDS)
    for host in cluster.hosts:
        adopted = test_flow_processes.logged_events(
            host, "configuration adopted"
        )
        assert adopted[-1]["offered"] == cluster.generation


@pytest.fixture
def watching_host(monkeypatch):
    """Return the source selector of a host that watches the store.

    :returns: the source selector, its list watcher of the servers, and a
        list with one entry for each watch that was sent.
    """
    sent = []
    monkeypatch.setattr(
        stores.Store,
        "watch",
        lambda *_: sent.append("watch") or (lambda: None),
    )
    selector, _ = test_list_watch.make_source_selector(
        peer_generation=1, store_unreachable=False
    )
    selector.followed_host = None
    list_watcher = test_list_watch.list_watch.ListWatcher(
        selector, objects.SERVER_KIND, print, print
    )
    list_watcher._apply_listing(stores.Listing((), 5))
    list_watcher.restart()
    return selector, list_watcher, sent


def report_position(selector, sequence, revision, now):
    """Receive a digest with a position of the server list from host 2."""
    selector.neighbours.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(sequence, revision=revision),
        now,
    )
    selector._renew_lost_watch(now)


# Newer configurations of other hosts were asked for, newer servers were not.
def test_watch_is_renewed_once_if_another_host_has_newer_servers(
    watching_host,
):
    selector, _, sent = watching_host
    now = selector.loop.now()
    report_position(selector, 2, 5, now)
    report_position(selector, 3, 6, now + 0.1)
    assert len(sent) == 1
    late = now + 0.2 + source_selectors.MAX_LAG_SECONDS
    selector.loop.now = lambda: late
    report_position(selector, 4, 6, late)
    assert len(sent) == 2
    report_position(selector, 5, 7, late + 0.3)
    assert len(sent) == 2


# A large list that takes long on a slow link was begun anew.
def test_answer_that_is_arriving_is_not_renewed(watching_host):
    selector, list_watcher, sent = watching_host
    now = selector.loop.now()
    late = now + 0.2 + source_selectors.MAX_LAG_SECONDS
    list_watcher.is_receiving = lambda: True
    report_position(selector, 2, 5, now)
    report_position(selector, 3, 6, now + 0.1)
    report_position(selector, 4, 6, late)
    assert len(sent) == 1


# A host that waits for more changes before its next watch has lost nothing.
def test_host_between_two_watches_does_not_renew(watching_host):
    selector, list_watcher, sent = watching_host
    list_watcher._on_answer(stores.Changes((), 5))
    now = selector.loop.now()
    late = now + 0.2 + source_selectors.MAX_LAG_SECONDS
    report_position(selector, 2, 5, now)
    report_position(selector, 3, 6, now + 0.1)
    report_position(selector, 4, 6, late)
    assert len(sent) == 1


def test_newest_position_is_that_of_valid_digests():
    view = test_watchers.make_view(
        1, {2: test_watchers.make_digest(revision=9)}, 100.0
    )
    assert view.newest_position.revision == 9
    view.tick(100.0 + 61.0)
    assert view.newest_position.revision == 0
