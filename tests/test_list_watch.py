"""Tests of the choice between the store and another host as source."""

import pytest

from tests import test_watchers
from vanilladrum.core import errors
from vanilladrum.core import neighbours
from vanilladrum.core import position as positions
from vanilladrum.daemons import json_log
from vanilladrum.daemons import list_watch
from vanilladrum.daemons import source_selector as source_selectors
from vanilladrum.daemons import store_monitor as store_monitors
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.wire import loop as loops


def make_source_selector(peer_generation, store_unreachable):
    """Return the source selector of a host that follows host 2.

    The host itself has configuration 1.

    :param peer_generation: generation that host 2 announces.
    :param store_unreachable: whether the store is unreachable.
    :returns: the source selector, and a list of the repeated list requests:
        ``followed host`` if it goes to the current source (the store if no
        host is followed), ``later`` if it does so after a delay, ``store`` if
        it goes to the store in any case.
    """
    loop = loops.Loop()
    view = test_watchers.make_view(
        1,
        {2: test_watchers.make_digest(generation=peer_generation)},
        loop.now(),
    )
    log = json_log.EventLog(json_log.LineWriter(1), {})
    store = stores.Store(loop, test_watchers.host_at(9), 0.3)
    store_monitor = store_monitors.StoreMonitor(loop, store, log)
    store_monitor.unreachable = store_unreachable
    source_selector = source_selectors.SourceSelector(
        loop, store_monitor, view, mirrors.Mirror(loop), lambda: 1
    )
    source_selector.followed_host = test_watchers.host_at(2)
    list_watcher = list_watch.ListWatcher(
        source_selector, objects.CONFIGURATION_KIND, print, print
    )
    requested = []
    list_watcher.restart = lambda delay=0.0: requested.append(
        "later" if delay else "followed host"
    )
    list_watcher.list_from = lambda source: requested.append(
        "store" if source is store else "other host"
    )
    return source_selector, requested


def receive_digest_after_lag(source_selector):
    """Announce the newer configuration after the allowed lag.

    :returns: when its digest arrives, in seconds.
    """
    later = source_selector.loop.now() + source_selectors.MAX_LAG_SECONDS + 0.1
    source_selector.neighbours.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(2, generation=7),
        later,
    )
    return later


def test_configuration_comes_from_the_followed_host():
    """If every host watched the store, each change would cost a call each."""
    source_selector, _ = make_source_selector(
        peer_generation=7, store_unreachable=False
    )
    assert source_selector.current_client().address == test_watchers.host_at(2)
    source_selector.followed_host = None
    assert source_selector.current_client().address == test_watchers.host_at(9)


def test_failed_host_is_avoided_until_its_next_digest():
    """It needs a new digest, and ``AVOID_SECONDS`` must have passed."""
    source_selector, _ = make_source_selector(
        peer_generation=1, store_unreachable=False
    )
    source_selector.avoid(test_watchers.host_at(2), "test")
    failed = source_selector.loop.now()
    soon = failed + source_selectors.AVOID_SECONDS / 2
    later = failed + source_selectors.AVOID_SECONDS + 0.1
    assert source_selector._is_avoided(test_watchers.host_at(2), later)
    source_selector.neighbours.receive(
        test_watchers.host_at(2), test_watchers.make_digest(2), soon
    )
    assert source_selector._is_avoided(test_watchers.host_at(2), soon)
    assert not source_selector._is_avoided(test_watchers.host_at(2), later)


def test_pending_lists_are_not_restarted():
    """A joining host finds ever more hosts; none may restart its lists."""
    source_selector, _ = make_source_selector(
        peer_generation=1, store_unreachable=False
    )
    source_selector.start()
    assert source_selector.followed_host == test_watchers.host_at(2)
    now = source_selector.loop.now()
    for number in range(3, 12):
        source_selector.neighbours.receive(
            test_watchers.host_at(number), test_watchers.make_digest(), now
        )
        source_selector.tick()
        assert source_selector.followed_host == test_watchers.host_at(2)
    source_selector.avoid(test_watchers.host_at(2), "test")
    source_selector.tick()
    assert source_selector.followed_host not in (
        None,
        test_watchers.host_at(2),
    )


def test_pending_list_from_the_store_is_not_abandoned():
    """A newly found host is followed only if the store is unreachable."""
    source_selector, requested = make_source_selector(
        peer_generation=1, store_unreachable=False
    )
    later = source_selector.loop.now() + neighbours.FORGET_SECONDS + 1
    source_selector.neighbours.tick(later)
    source_selector.followed_host = None
    source_selector.start()
    assert requested == ["followed host"]
    source_selector.neighbours.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(),
        source_selector.loop.now(),
    )
    source_selector.tick()
    assert source_selector.followed_host is None
    source_selector.store_monitor.unreachable = True
    source_selector.tick()
    assert source_selector.followed_host == test_watchers.host_at(2)


def test_host_is_synchronized_before_the_first_configuration():
    """Otherwise the hosts follow each other and none watches the store."""
    source_selector, _ = make_source_selector(
        peer_generation=0, store_unreachable=False
    )
    source_selector.get_generation = lambda: 0
    assert not source_selector.has_all_lists
    for list_watcher in source_selector.list_watchers:
        list_watcher.position = positions.StorePosition(0, 1)
    assert source_selector.has_all_lists


@pytest.mark.parametrize("store_unreachable", [False, True])
def test_configuration_being_received_is_not_requested_again(
    store_unreachable,
):
    source_selector, requested = make_source_selector(
        peer_generation=7, store_unreachable=store_unreachable
    )
    later = receive_digest_after_lag(source_selector)
    source_selector.list_watchers[0].is_receiving = lambda: True
    source_selector._refresh_configuration(later)
    assert requested == []


def test_requested_configuration_has_time_to_arrive():
    """Repeated requests must not interrupt a transfer.

    With a request every half second, a configuration of 400 kB never
    arrived over a link of 5 Mbit/s.
    """
    source_selector, requested = make_source_selector(
        peer_generation=7, store_unreachable=False
    )
    source_selector._refresh_configuration(
        receive_digest_after_lag(source_selector)
    )
    soon = (
        receive_digest_after_lag(source_selector)
        + source_selectors.MAX_LAG_SECONDS
        + 0.1
    )
    source_selector.neighbours.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(3, generation=7),
        soon,
    )
    source_selector._refresh_configuration(soon)
    assert requested == ["store"]
    late = soon + source_selectors.RELIST_SECONDS
    source_selector.neighbours.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(4, generation=7),
        late,
    )
    source_selector._refresh_configuration(late)
    assert requested == ["store", "store"]


@pytest.mark.parametrize("store_unreachable", [False, True])
def test_list_too_large_for_a_mirror_is_requested_explicitly(
    store_unreachable,
):
    source_selector, _ = make_source_selector(
        peer_generation=1, store_unreachable=store_unreachable
    )
    list_watcher = list_watch.ListWatcher(
        source_selector, "config", print, print
    )
    requested = []
    source_selector.store_monitor.store.list = lambda kind, done: (
        requested.append("store")
    )
    source_selector.current_client().list_unlimited = lambda kind, done: (
        requested.append("host")
    )
    list_watcher._on_answer(errors.AnswerTooLargeError("large"))
    assert requested == (["host"] if store_unreachable else ["store"])


# The store may answer although its last call has failed; it knows no list
# without a size limit.
def test_changes_of_the_store_that_are_too_large_are_listed_there():
    source_selector, _ = make_source_selector(
        peer_generation=1, store_unreachable=True
    )
    source_selector.followed_host = None
    list_watcher = list_watch.ListWatcher(
        source_selector, "config", print, print
    )
    requested = []
    source_selector.store_monitor.store.list = lambda kind, done: (
        requested.append(kind)
    )
    list_watcher._on_answer(errors.AnswerTooLargeError("large"))
    assert requested == ["config"]


@pytest.mark.parametrize(
    "store_unreachable,expected_source",
    [(False, "store"), (True, "followed host")],
)
def test_newer_configuration_of_other_hosts_is_requested(
    store_unreachable, expected_source
):
    """It comes from the store: the followed host may not pass it on."""
    source_selector, requested = make_source_selector(
        peer_generation=7, store_unreachable=store_unreachable
    )
    source_selector._refresh_configuration(source_selector.loop.now())
    assert requested == []
    source_selector._refresh_configuration(
        receive_digest_after_lag(source_selector)
    )
    assert requested == [expected_source]


def test_host_that_has_just_started_claims_the_watch_later(monkeypatch):
    """All hosts of a data centre start at once and know no watcher yet.

    One of them claims the watch in its digest, and the others follow it
    without a call to the store.
    """
    source_selector, requested = make_source_selector(
        peer_generation=1, store_unreachable=False
    )
    known = source_selector.neighbours
    now = source_selector.loop.now()
    for number in range(3, 30):
        known.receive(
            test_watchers.host_at(number), test_watchers.make_digest(), now
        )
    known.discovering = True
    source_selector.start()
    requested.clear()
    for list_watcher in source_selector.list_watchers:
        list_watcher.position = positions.StorePosition(0, 1)
    source_selector.tick()
    assert source_selector.followed_host is None
    assert requested == ["later"]
    claimed = test_watchers.make_digest(2, watching=True)
    known.receive(test_watchers.host_at(4), claimed, now)
    source_selector.tick()
    assert source_selector.followed_host == test_watchers.host_at(4)
