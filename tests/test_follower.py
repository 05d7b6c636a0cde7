"""Tests of the choice between the store and another host as source."""

import pytest

from tests import test_watchers
from vanilladrum.core import errors
from vanilladrum.daemons import contact as contacts
from vanilladrum.daemons import lines
from vanilladrum.daemons import store_follower
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.wire import loop as loops


def make_sources(peer_generation, store_unreachable):
    """Return the sources of a host that follows host 2.

    The host itself has configuration 1.

    :param peer_generation: generation that host 2 announces.
    :param store_unreachable: whether the store is unreachable.
    :returns: the sources, and a list to which the name of the source of
        every repeated list request is added.
    """
    loop = loops.Loop()
    view = test_watchers.make_view(
        1,
        {2: test_watchers.make_digest(generation=peer_generation)},
        loop.now(),
    )
    log = lines.EventLog(lines.LineWriter(1), {})
    store = stores.Store(loop, test_watchers.host_at(9), 0.3)
    contact = contacts.Contact(loop, store, log)
    contact.away = store_unreachable
    sources = store_follower.Sources(
        loop, contact, view, mirrors.Mirror(loop), lambda: 1
    )
    sources.following = test_watchers.host_at(2)
    follower = store_follower.Follower(
        sources, objects.CONFIGURATION_KIND, print, print
    )
    requested = []
    follower.restart = lambda: requested.append("followed host")
    follower.list_at_store = lambda: requested.append("store")
    return sources, requested


def receive_digest_after_lag(sources):
    """Announce the newer configuration after the allowed lag.

    :returns: when its digest arrives, in seconds.
    """
    later = sources.loop.now() + store_follower.LAG_SECONDS + 0.1
    sources.known.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(2, generation=7),
        later,
    )
    return later


def test_configuration_comes_from_the_followed_host():
    """If every host watched the store, each change would cost a call each."""
    sources, _ = make_sources(peer_generation=7, store_unreachable=False)
    assert sources.source().address == test_watchers.host_at(2)
    sources.following = None
    assert sources.source().address == test_watchers.host_at(9)


def test_failed_host_is_avoided_until_its_next_digest():
    sources, _ = make_sources(peer_generation=1, store_unreachable=False)
    sources.avoid(test_watchers.host_at(2), "test")
    failed = sources.loop.now()
    soon = failed + store_follower.AVOID_SECONDS / 2
    later = failed + store_follower.AVOID_SECONDS + 0.1
    assert sources._is_avoided(test_watchers.host_at(2), later)
    sources.known.receive(
        test_watchers.host_at(2), test_watchers.make_digest(2), soon
    )
    assert sources._is_avoided(test_watchers.host_at(2), soon)
    assert not sources._is_avoided(test_watchers.host_at(2), later)


def test_pending_lists_are_not_restarted():
    """A joining host restarted its lists whenever it found another."""
    sources, _ = make_sources(peer_generation=1, store_unreachable=False)
    sources.begin()
    assert sources.following == test_watchers.host_at(2)
    now = sources.loop.now()
    for number in range(3, 12):
        sources.known.receive(
            test_watchers.host_at(number), test_watchers.make_digest(), now
        )
        sources.tick()
        assert sources.following == test_watchers.host_at(2)
    sources.avoid(test_watchers.host_at(2), "test")
    sources.tick()
    assert sources.following not in (None, test_watchers.host_at(2))


def test_pending_list_from_the_store_is_not_abandoned():
    sources, requested = make_sources(
        peer_generation=1, store_unreachable=False
    )
    sources.known.hosts.clear()
    sources.following = None
    sources.begin()
    assert requested == ["followed host"]
    sources.known.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(),
        sources.loop.now(),
    )
    sources.tick()
    assert sources.following is None
    sources.contact.away = True
    sources.tick()
    assert sources.following == test_watchers.host_at(2)


def test_host_is_synchronized_before_the_first_configuration():
    """Otherwise the hosts follow each other and none watches the store."""
    sources, _ = make_sources(peer_generation=0, store_unreachable=False)
    sources.generation = lambda: 0
    assert not sources.knows
    for follower in sources.followers:
        follower.revision = 1
    assert sources.knows


@pytest.mark.parametrize("store_unreachable", [False, True])
def test_configuration_being_received_is_not_requested_again(
    store_unreachable,
):
    sources, requested = make_sources(
        peer_generation=7, store_unreachable=store_unreachable
    )
    later = receive_digest_after_lag(sources)
    sources.followers[0].is_receiving = lambda: True
    sources._catch_up(later)
    assert requested == []


def test_requested_configuration_has_time_to_arrive():
    """Repeated requests must not interrupt a transfer.

    With a request every half second, a configuration of 400 kB never
    arrived over a link of 5 Mbit/s.
    """
    sources, requested = make_sources(
        peer_generation=7, store_unreachable=False
    )
    sources._catch_up(receive_digest_after_lag(sources))
    soon = receive_digest_after_lag(sources) + store_follower.LAG_SECONDS + 0.1
    sources.known.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(3, generation=7),
        soon,
    )
    sources._catch_up(soon)
    assert requested == ["store"]
    late = soon + store_follower.RELIST_SECONDS
    sources.known.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(4, generation=7),
        late,
    )
    sources._catch_up(late)
    assert requested == ["store", "store"]


@pytest.mark.parametrize("store_unreachable", [False, True])
def test_list_too_large_for_a_mirror_is_requested_explicitly(
    store_unreachable,
):
    sources, _ = make_sources(
        peer_generation=1, store_unreachable=store_unreachable
    )
    follower = store_follower.Follower(sources, "config", print, print)
    requested = []
    sources.contact.store.list = lambda kind, done: requested.append("store")
    sources.source().list_unlimited = lambda kind, done: requested.append(
        "host"
    )
    follower._answered(errors.AnswerTooLargeError("large"))
    assert requested == (["host"] if store_unreachable else ["store"])


@pytest.mark.parametrize(
    "store_unreachable,expected_source",
    [(False, "store"), (True, "followed host")],
)
def test_newer_configuration_of_other_hosts_is_requested(
    store_unreachable, expected_source
):
    """It comes from the store: the followed host may not pass it on."""
    sources, requested = make_sources(
        peer_generation=7, store_unreachable=store_unreachable
    )
    sources._catch_up(sources.loop.now())
    assert requested == []
    sources._catch_up(receive_digest_after_lag(sources))
    assert requested == [expected_source]
