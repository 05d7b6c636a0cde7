"""Selection of store watchers and followed hosts, and contents of digests."""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from vanilladrum.core import address as addresses
from vanilladrum.core import digest as digest_types
from vanilladrum.core import errors
from vanilladrum.core import neighbours
from vanilladrum.core import position as positions
from vanilladrum.core import watchers
from vanilladrum.wire import digests

POSITION = positions.StorePosition(1, 5)


def host_at(number):
    return addresses.Address(f"10.1.0.{number}", 7720)


def make_digest(sequence=1, start=1, **extra):
    """Return a digest of a host in data centre 1.

    :param sequence: number of the digest since the start of its sender.
    :param start: start of the sender; another value after each restart.
    """
    fields = {
        "data_centre": 1,
        "generation": 1,
        "leaving": False,
        "watching": False,
        "store_unreachable": False,
        "entries_may_return": False,
        "revision": 5,
        "busy_flows": {},
        "hosts": (),
    }
    return digest_types.Digest(start, sequence, **(fields | extra))


def make_view(me, others, now=0.0):
    """Return the view of a host that started long ago.

    :param others: digests received from others, by host number.
    """
    view = neighbours.Neighbours(host_at(me), 1, random.Random(me))
    view.discovering = False
    for number, digest in others.items():
        view.receive(host_at(number), digest, now)
    return view


def choose(view, now=0.1, store_answers=True, has_servers=True, avoided=()):
    """Return the host to follow, or None if the store is to be watched.

    :param has_servers: whether the choosing host has the server list.
    :param avoided: hosts that recently failed to pass changes on.
    """
    return watchers.choose_upstream(
        view, store_answers, has_servers, set(avoided), now
    )


def numbers_by_rank(count):
    return sorted(
        range(1, count + 1), key=lambda n: watchers._rank(host_at(n))
    )


def test_first_two_by_rank_watch_and_the_others_follow_them():
    ranked = numbers_by_rank(6)
    for number in ranked:
        others = {
            other: make_digest(watching=other in ranked[:2])
            for other in ranked
            if other != number
        }
        source = choose(make_view(number, others))
        if number in ranked[:2]:
            assert source is None
        else:
            assert source in [host_at(n) for n in ranked[:2]]


def test_initialized_host_never_follows_one_that_does_not_watch():
    """Three hosts started together once followed each other in a cycle."""
    for number in (1, 2, 3):
        others = {n: make_digest() for n in (1, 2, 3) if n != number}
        assert choose(make_view(number, others)) is None


def test_new_host_follows_any_host_that_knows_the_servers():
    view = make_view(1, {2: make_digest(), 3: make_digest(revision=0)})
    assert choose(view, has_servers=False) == host_at(2)
    uninformed_view = make_view(1, {3: make_digest(revision=0)})
    assert choose(uninformed_view, has_servers=False) is None


def test_next_in_rank_replaces_a_silent_watcher():
    ranked = numbers_by_rank(4)
    third = ranked[2]
    view = make_view(
        third, {n: make_digest(watching=True) for n in ranked[:2]}
    )
    assert choose(view) is not None
    later = digest_types.SMALL.max_age + 0.1
    view.receive(host_at(ranked[1]), make_digest(2, watching=True), later)
    assert choose(view, later) is None


def test_watcher_rejected_by_the_store_is_replaced():
    ranked = numbers_by_rank(4)
    first = make_digest(store_unreachable=True)
    second = make_digest(watching=True)
    view = make_view(ranked[2], {ranked[0]: first, ranked[1]: second})
    assert choose(view) is None
    rejected_view = make_view(ranked[0], {ranked[1]: second})
    source = choose(rejected_view, store_answers=False)
    assert source == host_at(ranked[1])


def test_leaving_and_avoided_hosts_are_not_followed():
    view = make_view(1, {2: make_digest(watching=True, leaving=True)})
    assert choose(view, store_answers=False) is None
    view = make_view(1, {2: make_digest(watching=True)})
    assert choose(view, store_answers=False) == host_at(2)
    source = choose(view, store_answers=False, avoided=[host_at(2)])
    assert source is None


def test_large_fleet_follows_within_its_data_centre():
    others = {
        n: make_digest(watching=True, data_centre=n % 2) for n in range(2, 40)
    }
    view = make_view(1, others)
    source = choose(view, store_answers=False)
    assert view.hosts[source].digest.data_centre == 1


def test_large_fleet_follows_the_first_watcher_and_keeps_a_second():
    """Two hosts of a data centre call the store, only the first one often."""
    ranked = numbers_by_rank(30)
    for rank, number in enumerate(ranked):
        others = {
            other: make_digest(watching=other in ranked[:2])
            for other in ranked
            if other != number
        }
        view = make_view(number, others)
        expected = host_at(ranked[0]) if rank > 1 else None
        assert choose(view) == expected
        if rank < 2:
            assert watchers.is_first(view, 0.1) == (rank == 0)


def test_new_host_follows_a_watcher_instead_of_becoming_one_at_once():
    """All hosts of a data centre start together.

    Each of them knew few others and watched the store until it had heard of
    two that precede it: three calls a host, of which each is charged.
    """
    ranked = numbers_by_rank(30)
    others = {
        ranked[20]: make_digest(watching=True),
        ranked[25]: make_digest(),
    }
    view = make_view(ranked[0], others)
    view.discovering = True
    assert choose(view) == host_at(ranked[20])
    # The watcher fails.
    assert choose(view, avoided=[host_at(ranked[20])]) is None
    view.tick(0.0)
    view.tick(neighbours.DISCOVERY_SECONDS)
    assert choose(view) is None


def test_failed_watcher_is_replaced_before_its_digest_expires():
    ranked = numbers_by_rank(30)
    others = {
        number: make_digest(watching=number in ranked[:2])
        for number in ranked
        if number != ranked[2]
    }
    view = make_view(ranked[2], others)
    assert choose(view) == host_at(ranked[0])
    assert choose(view, avoided=[host_at(ranked[0])]) is None


def test_reply_to_a_new_host_lists_hosts_of_its_data_centre():
    """A seed in another data centre is the first host that answers."""
    others = {n: make_digest(data_centre=1 + n % 3) for n in range(2, 40)}
    view = make_view(1, others)
    newcomer = make_digest(data_centre=2)
    made = view.make_digest(
        1, False, False, False, False, POSITION, {}, newcomer
    )
    centres = {view.digest(host).data_centre for host in made.hosts}
    assert centres == {2} and len(made.hosts) == 4


def test_remote_hosts_and_unheard_ones_are_bounded():
    """Thousands of hosts in other data centres are not all kept."""
    view = make_view(1, {n: make_digest() for n in range(2, 20)})
    for number in range(1000):
        sender = addresses.Address(f"10.2.{number // 250}.{number % 250}", 1)
        listed = (addresses.Address(f"10.3.{number // 250}.9", number),)
        view.receive(sender, make_digest(data_centre=2, hosts=listed), 0.1)
    assert len(view.remote) <= neighbours.MAX_REMOTE_HOSTS
    assert len(view.hosts) <= 19 + (
        neighbours.MAX_REMOTE_HOSTS + neighbours.MAX_SILENT_HOSTS
    )
    assert not view.is_silent(2, 0.2)


def test_seed_that_knows_many_hosts_answers_a_new_one():
    """Hosts of the last data centres knew no other host for 20 s."""
    view = make_view(1, {n: make_digest() for n in range(2, 20)})
    for number in range(200):
        sender = addresses.Address(f"10.2.0.{number}", 7720)
        assert view.receive(sender, make_digest(data_centre=2), 0.1)
    newcomer = addresses.Address("10.3.0.1", 7720)
    assert view.receive(newcomer, make_digest(data_centre=3), 0.1)
    assert newcomer in view.hosts


def test_seed_is_kept_when_other_remote_hosts_take_its_place():
    seed = addresses.Address("10.9.0.1", 7720)
    view = neighbours.Neighbours(host_at(1), 1, random.Random(1), (seed,))
    for number in range(2, 20):
        view.receive(host_at(number), make_digest(), 0.0)
    view.receive(seed, make_digest(data_centre=2), 0.0)
    for number in range(1000):
        sender = addresses.Address(f"10.2.{number // 250}.{number % 250}", 1)
        view.receive(sender, make_digest(data_centre=2), 0.1)
    assert seed in view.hosts
    assert seed in view.remote or seed in view.receivers(0.2)


def test_seeds_are_retried_after_a_long_partition():
    seed = host_at(9)
    view = neighbours.Neighbours(host_at(1), 1, random.Random(1), (seed,))
    view.receive(seed, make_digest(), 0.0)
    later = 2 * neighbours.FORGET_SECONDS
    view.tick(later)
    assert view.receivers(later) == [seed]


def test_new_hosts_of_a_large_fleet_spread_over_informed_hosts():
    """A single source on a 5 Mbit/s link would list the servers for all."""
    sources = set()
    for me in range(100, 120):
        view = make_view(me, {n: make_digest() for n in range(2, 32)})
        sources.add(choose(view, has_servers=False))
    assert len(sources) >= 8


def test_new_host_may_follow_one_of_another_data_centre():
    others = {n: make_digest(data_centre=2) for n in range(2, 40)}
    view = make_view(1, others)
    assert choose(view, has_servers=False) is not None
    assert choose(view) is None


def test_digest_of_a_large_data_centre_stays_fresh_for_two_rounds():
    """Guard against digests that expire before the next round.

    With 25 hosts in a data centre, a round takes as long as a digest used to
    stay valid.
    """
    others = {n: make_digest() for n in range(2, 60)}
    view = make_view(1, others)
    view.receivers(0.1)
    round_seconds = (
        58 / digest_types.LARGE.fan_out * digest_types.LARGE.idle_period
    )
    assert len(view.valid_hosts(2 * round_seconds)) == 58
    assert not view.valid_hosts(3 * round_seconds)


def test_large_fleet_replies_only_to_local_or_new_hosts():
    """Replies to the rare digests of remote hosts doubled the traffic."""
    others = {n: make_digest(data_centre=1 + n % 2) for n in range(2, 40)}
    view = make_view(1, others)
    later = view.max_digest_age + 1.0
    remote = make_digest(2, data_centre=2)
    assert not view.receive(host_at(3), remote, later)
    # Host 3 has restarted.
    assert view.receive(host_at(3), make_digest(1, 7, data_centre=2), later)
    # The last digest of local host 2 has expired, the next one has not.
    assert view.receive(host_at(2), make_digest(2), later)
    assert not view.receive(host_at(2), make_digest(3), later)
    assert view.receive(host_at(60), make_digest(data_centre=2), later)


def test_busy_flows_of_all_hosts_are_summed_and_expire():
    view = make_view(1, {2: make_digest(busy_flows={7: 3})})
    view.receive(host_at(3), make_digest(busy_flows={7: 2, 8: 1}), 0.4)
    assert view.busy_flows[7] == 5
    view.receive(host_at(2), make_digest(2, busy_flows={7: 1}), 0.4)
    assert view.busy_flows[7] == 3
    view.tick(0.4 + digest_types.SMALL.max_age + 0.01)
    assert not view.busy_flows


def test_late_digest_is_ignored_unless_the_host_restarted():
    view = make_view(1, {2: make_digest(9, busy_flows={7: 3})})
    view.receive(host_at(2), make_digest(8, busy_flows={7: 5}), 0.1)
    assert view.busy_flows[7] == 3
    view.receive(host_at(2), make_digest(1, start=2, busy_flows={7: 4}), 0.1)
    assert view.busy_flows[7] == 4


def test_hosts_are_learned_from_digests_and_removed_later():
    view = make_view(1, {2: make_digest(hosts=(host_at(4),))})
    assert host_at(4) in view.hosts
    view.tick(neighbours.FORGET_SECONDS + 1)
    assert not view.hosts


def test_silent_host_is_retried_periodically():
    view = make_view(1, {2: make_digest()})
    later = digest_types.SMALL.max_age + 0.1
    assert view.receivers(later) == [host_at(2)]
    assert view.receivers(later + 0.1) == []
    assert view.receivers(later + neighbours.RETRY_SECONDS) == [host_at(2)]


def test_large_fleet_gets_digests_in_turn_at_constant_cost():
    others = {n: make_digest(data_centre=1 + n % 2) for n in range(2, 80)}
    view = make_view(1, others)
    contacted = set()
    for _ in range(12):
        receivers = view.receivers(0.1)
        assert len(receivers) <= 8  # local and remote fan-out
        contacted.update(receivers)
    local = [
        host
        for host, known in view.hosts.items()
        if known.digest.data_centre == 1
    ]
    assert contacted >= set(local)


def test_data_centre_without_recent_digests_is_detected():
    view = make_view(1, {2: make_digest(data_centre=7)})
    assert not view.is_silent(7, 0.1)
    assert view.is_silent(7, digest_types.SMALL.silence_timeout + 0.1)
    # No digest of data centre 8 ever arrived.
    assert not view.is_silent(8, 9.0)


server_tags = strategies.integers(1, 2**32 - 1)


@given(
    strategies.dictionaries(
        server_tags, strategies.integers(1, 65535), max_size=30
    ),
    strategies.lists(strategies.integers(1, 254), max_size=4),
    strategies.lists(strategies.booleans(), min_size=4, max_size=4),
)
def test_digest_is_unchanged_by_encoding_and_decoding(
    busy_flows, hosts, flags
):
    leaving, watching, store_unreachable, entries_may_return = flags
    sent = make_digest(
        busy_flows=busy_flows,
        hosts=tuple(host_at(n) for n in hosts),
        leaving=leaving,
        watching=watching,
        store_unreachable=store_unreachable,
        entries_may_return=entries_may_return,
    )
    decoded = digests.decode(digests.encode(sent))
    for field in digest_types.Digest.__slots__:
        assert getattr(decoded, field) == getattr(sent, field), field


def test_largest_digest_fits_one_datagram():
    digest = make_digest(
        busy_flows={n: n for n in range(1, 1000)},
        hosts=tuple(
            host_at(n) for n in range(1, neighbours.HOSTS_PER_DIGEST + 1)
        ),
    )
    datagram = digests.encode(digest)
    assert len(datagram) <= 1400
    # The servers with the most open flows are included first.
    assert 999 in digests.decode(datagram).busy_flows


@given(strategies.binary(max_size=80))
def test_random_digest_is_decoded_or_refused(datagram):
    try:
        digests.decode(datagram)
    except errors.PacketError as error:
        assert error.kind == "digest_malformed"


def test_truncated_digest_is_refused():
    datagram = digests.encode(make_digest(busy_flows={1: 1}))
    with pytest.raises(errors.PacketError):
        digests.decode(datagram[:-1])
