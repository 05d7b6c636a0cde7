"""Whom a host asks, and when it asks somebody else."""

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


def make_sources(newest, away):
    """Return sources of a host behind others, and whom it asks anew."""
    loop = loops.Loop()
    view = test_watchers.make_view(
        1, {2: test_watchers.make_digest(generation=newest)}, loop.now()
    )
    log = lines.EventLog(lines.LineWriter(1), {})
    store = stores.Store(loop, test_watchers.host_at(9), 0.3)
    contact = contacts.Contact(loop, store, log)
    contact.away = away
    found = store_follower.Sources(
        loop, contact, view, mirrors.Mirror(loop), lambda: 1
    )
    found.following = test_watchers.host_at(2)
    follower = store_follower.Follower(
        found, objects.CONFIGURATION_KIND, print, print
    )
    asked = []
    follower.restart = lambda: asked.append("followed host")
    follower.list_at_store = lambda: asked.append("store")
    return found, asked


def hear_later(sources):
    """Hear the newer configuration once more, and return when."""
    later = sources.loop.now() + store_follower.LAG_SECONDS + 0.1
    sources.known.hear(
        test_watchers.host_at(2),
        test_watchers.make_digest(2, generation=7),
        later,
    )
    return later


def test_configuration_comes_from_the_followed_host():
    """A watch of each host at the store costs a call a host and change."""
    sources, _ = make_sources(newest=7, away=False)
    assert sources.source().at == test_watchers.host_at(2)
    sources.following = None
    assert sources.source().at == test_watchers.host_at(9)


def test_failed_host_is_avoided_until_it_is_heard_again():
    sources, _ = make_sources(newest=1, away=False)
    sources.avoid(test_watchers.host_at(2), "test")
    failed = sources.loop.now()
    soon = failed + store_follower.AVOID_SECONDS / 2
    later = failed + store_follower.AVOID_SECONDS + 0.1
    assert sources._is_avoided(test_watchers.host_at(2), later)
    sources.known.hear(
        test_watchers.host_at(2), test_watchers.make_digest(2), soon
    )
    assert sources._is_avoided(test_watchers.host_at(2), soon)
    assert not sources._is_avoided(test_watchers.host_at(2), later)


def test_lists_on_their_way_are_waited_for():
    """A newcomer that hears of ever more hosts began anew at each."""
    sources, _ = make_sources(newest=1, away=False)
    sources.begin()
    assert sources.following == test_watchers.host_at(2)
    now = sources.loop.now()
    for number in range(3, 12):
        sources.known.hear(
            test_watchers.host_at(number), test_watchers.make_digest(), now
        )
        sources.tick()
        assert sources.following == test_watchers.host_at(2)
    sources.avoid(test_watchers.host_at(2), "test")
    sources.tick()
    assert sources.following not in (None, test_watchers.host_at(2))


def test_list_of_the_store_on_its_way_is_waited_for():
    sources, asked = make_sources(newest=1, away=False)
    sources.known.hosts.clear()
    sources.following = None
    sources.begin()
    assert asked == ["followed host"]
    sources.known.hear(
        test_watchers.host_at(2),
        test_watchers.make_digest(),
        sources.loop.now(),
    )
    sources.tick()
    assert sources.following is None
    sources.contact.away = True
    sources.tick()
    assert sources.following == test_watchers.host_at(2)


def test_host_knows_what_the_store_has_before_the_first_configuration():
    """Else all hosts follow each other, and none watches for it."""
    sources, _ = make_sources(newest=0, away=False)
    sources.generation = lambda: 0
    assert not sources.knows
    for follower in sources.followers:
        follower.revision = 1
    assert sources.knows


@pytest.mark.parametrize("away", [False, True])
def test_configuration_that_is_arriving_is_not_asked_for_again(away):
    sources, asked = make_sources(newest=7, away=away)
    later = hear_later(sources)
    sources.followers[0].receiving = lambda: True
    sources._catch_up(later)
    assert asked == []


def test_configuration_asked_for_has_time_to_arrive():
    """Asked anew each half second, 400 kB never passed 5 Mbit/s."""
    sources, asked = make_sources(newest=7, away=False)
    sources._catch_up(hear_later(sources))
    soon = hear_later(sources) + store_follower.LAG_SECONDS + 0.1
    sources.known.hear(
        test_watchers.host_at(2),
        test_watchers.make_digest(3, generation=7),
        soon,
    )
    sources._catch_up(soon)
    assert asked == ["store"]
    late = soon + store_follower.RELIST_SECONDS
    sources.known.hear(
        test_watchers.host_at(2),
        test_watchers.make_digest(4, generation=7),
        late,
    )
    sources._catch_up(late)
    assert asked == ["store", "store"]


@pytest.mark.parametrize("away", [False, True])
def test_what_is_too_large_to_pass_on_is_listed_at_the_store(away):
    sources, _ = make_sources(newest=1, away=away)
    follower = store_follower.Follower(sources, "config", print, print)
    called = []
    sources.contact.store.list = lambda kind, done: called.append("store")
    sources.source().list_whole = lambda kind, done: called.append("host")
    follower._answered(errors.TooLargeError("large"))
    assert called == (["host"] if away else ["store"])


@pytest.mark.parametrize(
    "away,whom", [(False, "store"), (True, "followed host")]
)
def test_configuration_that_others_have_is_asked_for(away, whom):
    """Of the store itself: the followed host may not pass it on."""
    sources, asked = make_sources(newest=7, away=away)
    sources._catch_up(sources.loop.now())
    assert asked == []
    sources._catch_up(hear_later(sources))
    assert asked == [whom]
