"""Evacuations of data centres: decisions without a network."""

import pytest

from tests import flow_factories
from tests import stored_objects
from tests import test_list_watch
from tests import test_platform
from tests import test_watchers
from vanilladrum.core.evacuation import evacuations as evacuation_tables
from vanilladrum.core.evacuation import rule as evacuation_rules
from vanilladrum.core import flow as flows
from vanilladrum.core import position as positions
from vanilladrum.daemons import evacuation_sync
from vanilladrum.platform import settings as node_settings
from vanilladrum.platform import store as stores

HOLD_SECONDS = 4.0
NOW = 1000.0
BEFORE = positions.StorePosition(1, 50)
RESTORED = positions.StorePosition(2, 20)
make_server = flow_factories.make_server


def later(position, count=1):
    return positions.StorePosition(position.era, position.revision + count)


@pytest.fixture
def evacuations():
    """Return evacuations that know that of gijon, and no other."""
    known = evacuation_tables.Evacuations(HOLD_SECONDS)
    known.apply_listing(["gijon"], BEFORE, NOW)
    return known


@pytest.fixture
def host():
    """Return a host in bilbao with servers in bilbao and in gijon."""
    servers = [
        make_server(number, data_centre=centre)
        for number, centre in enumerate(("bilbao", "gijon") * 3)
    ]
    return flow_factories.make_host(servers)


def open_flows(host, count=40, now=NOW):
    """Return the decisions on the first packets of new flows."""
    return [
        host.receive(flow_factories.make_packet(41000 + number), now)
        for number in range(count)
    ]


def data_centres(decisions):
    return {each.server.data_centre for each in decisions}


# A restored store that lacked the evacuation ended it at once.
def test_evacuation_lost_by_a_restore_is_held_and_then_ends(evacuations):
    evacuations.apply_listing([], RESTORED, NOW)
    evacuations.apply_listing([], later(RESTORED), NOW + 1)
    assert evacuations.in_force(NOW + HOLD_SECONDS - 0.1) == {"gijon"}
    assert evacuations.in_force(NOW + HOLD_SECONDS) == set()


def test_change_in_the_new_era_ends_the_hold(evacuations):
    evacuations.apply_listing([], RESTORED, NOW)
    evacuations.apply_change("gijon", True, later(RESTORED), NOW + 1)
    assert evacuations.in_force(NOW + 1) == set()


def test_evacuation_that_a_restore_kept_stays_in_force(evacuations):
    evacuations.apply_listing(["gijon"], RESTORED, NOW)
    assert evacuations.in_force(NOW + 2 * HOLD_SECONDS) == {"gijon"}
    assert evacuations.by_name["gijon"].since == NOW
    evacuations.apply_listing([], later(RESTORED), NOW + 1)
    assert evacuations.in_force(NOW + 1) == set()


# A restored store that still had a cancelled evacuation brought it back.
@pytest.mark.parametrize("was_known", [True, False])
def test_cancelled_evacuation_is_withheld_after_a_restore(
    evacuations, was_known
):
    name = "gijon" if was_known else "oviedo"
    evacuations.apply_change(name, True, later(BEFORE), NOW)
    evacuations.apply_listing([name], RESTORED, NOW)
    assert name not in evacuations.in_force(NOW + HOLD_SECONDS - 0.1)
    assert name in evacuations.in_force(NOW + HOLD_SECONDS)


# The second restore let the list of the first one apply too early.
def test_second_restore_begins_the_hold_anew(evacuations):
    evacuations.apply_change("oviedo", True, later(BEFORE), NOW)
    for era in (2, 3):
        position = positions.StorePosition(era, 20)
        evacuations.apply_listing(["oviedo"], position, NOW + era)
    end = NOW + 3 + HOLD_SECONDS
    assert evacuations.in_force(end - 0.1) == {"gijon"}
    assert evacuations.in_force(end) == {"oviedo"}


def test_request_in_the_new_era_is_in_force_at_once(evacuations):
    evacuations.apply_change("gijon", True, later(BEFORE), NOW)
    evacuations.apply_listing(["gijon"], RESTORED, NOW)
    evacuations.apply_change("gijon", False, later(RESTORED), NOW + 1)
    assert evacuations.in_force(NOW + 1) == {"gijon"}


# An answer of a follower that is behind, or a late one, cancelled it.
def test_state_of_an_earlier_position_is_ignored(evacuations):
    evacuations.apply_listing([], positions.StorePosition(1, 49), NOW)
    evacuations.apply_change(
        "gijon", True, positions.StorePosition(1, 49), NOW
    )
    assert evacuations.in_force(NOW) == {"gijon"}
    evacuations.apply_listing([], RESTORED, NOW)
    evacuations.apply_listing([], later(BEFORE), NOW)
    assert evacuations.position == RESTORED


def test_request_cancellation_and_request_within_one_watch(evacuations):
    position = later(BEFORE, 3)
    for deleted in (False, True, False):
        evacuations.apply_change("oviedo", deleted, position, NOW)
    assert evacuations.in_force(NOW) == {"gijon", "oviedo"}
    for deleted in (True, False, True):
        evacuations.apply_change("oviedo", deleted, later(position), NOW)
    assert evacuations.in_force(NOW) == {"gijon"}


def test_evacuated_servers_get_no_new_flows_until_the_return(host):
    returned = []
    host.on_data_centre_returned = lambda *args: returned.append(args)
    host.set_evacuated(["gijon", "nowhere"], NOW)
    assert data_centres(open_flows(host)) == {"bilbao"}
    host.handle_entry(make_server(20, data_centre="gijon"))
    assert len(host.directory.pool("bookings").servers) == 3
    host.set_evacuated(["nowhere"], NOW + 1)
    assert returned == [("gijon", NOW + 1)]
    assert len(host.directory.pool("bookings").servers) == 7
    assert not host.directory.evacuated_pools["bookings"].servers


# A copy went to the evacuated server again, and so did a flow whose first
# packet had been moved there.
def test_copy_of_a_first_packet_leaves_an_evacuated_data_centre(host):
    host.set_evacuated(["bilbao"], NOW)
    assert data_centres(open_flows(host)) == {"gijon"}
    host.set_evacuated(["gijon"], NOW)
    copies = [
        host.receive(
            flow_factories.make_packet(41000 + number, copies=copies),
            NOW + 0.2,
        )
        for number in range(40)
        for copies in (0, 1)
    ]
    assert data_centres(copies) == {"bilbao"}


def test_open_flow_into_an_evacuated_data_centre_goes_on(host):
    decision = open_flows(host, 1)[0]
    host.set_evacuated([decision.server.data_centre], NOW)
    packet = flow_factories.make_packet(
        41000, tag=decision.server.tag, has_data=True
    )
    assert host.receive(packet, NOW + 0.1).server is decision.server


# Requests waited for servers that no host might use.
def test_service_with_evacuated_servers_only_is_refused_at_once(host):
    host.set_evacuated(["bilbao", "gijon"], NOW)
    (decision,) = open_flows(host, 1)
    assert isinstance(decision, flows.Reset)
    assert decision.reason == "evacuated"
    for name in list(host.directory.servers):
        host.directory.remove(name, NOW)
    assert open_flows(host, 1)[0].reason == "no_server"


def test_server_that_leaves_an_evacuated_data_centre_stays_unused(host):
    host.set_evacuated(["gijon"], NOW)
    leaving = make_server(1, state=flow_factories.LEAVING, data_centre="gijon")
    host.handle_entry(leaving)
    host.set_evacuated([], NOW)
    pool = host.directory.pool("bookings")
    assert len(pool.servers) == 5
    assert leaving not in pool


def fall_silent(host, data_centre, now=NOW):
    """Leave first packets to all servers of a data centre unanswered."""
    for server in host.directory.servers.values():
        if server.data_centre == data_centre:
            host.failure_detector.record_timeout(server, now - 0.1, now)


def hear_local_host(host, now=NOW, sequence=1, **fields):
    host.neighbours.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(sequence, **fields),
        now,
    )


def lose_store(host, since=NOW - 1.0):
    """Leave calls to the store unanswered for some time."""
    host.evacuation.update(store_unreachable=True, now=since)


# An isolated data centre that is evacuated answered no caller.
def test_isolated_host_uses_its_own_servers_until_it_is_connected(host):
    host.set_evacuated(["bilbao"], NOW)
    hear_local_host(host)
    fall_silent(host, "gijon")
    lose_store(host)
    assert host.evacuation.update(store_unreachable=True, now=NOW)
    assert data_centres(open_flows(host)) == {"bilbao"}
    host.evacuation.update(store_unreachable=False, now=NOW)
    assert host.directory.evacuated == {"bilbao"}


# The zone in an entry of another program counted as a data centre that may be
# reached, so that no isolated host used its own servers.
def test_entry_of_an_unknown_service_is_no_sign_of_a_data_centre(host):
    host.handle_entry(
        make_server(20, service="monitoring", data_centre="oviedo")
    )
    host.set_evacuated(["bilbao"], NOW)
    fall_silent(host, "gijon")
    lose_store(host)
    assert host.evacuation.update(store_unreachable=True, now=NOW)


def test_own_servers_are_not_used_while_another_data_centre_is_reached(host):
    host.handle_entry(make_server(20, data_centre="oviedo"))
    host.set_evacuated(["bilbao"], NOW)
    fall_silent(host, "gijon")
    lose_store(host)
    assert not host.evacuation.update(store_unreachable=True, now=NOW)
    fall_silent(host, "oviedo")
    host.failure_detector.silent_data_centres = {"oviedo"}
    assert host.evacuation.update(store_unreachable=True, now=NOW)
    server = host.directory.servers["i-00000014"]
    host.failure_detector.record_check(server, True, NOW)
    assert host.evacuation.update(store_unreachable=True, now=NOW)
    assert host.directory.evacuated == {"bilbao"}


# One slow answer of the store suspended an evacuation.
def test_own_servers_are_not_used_after_one_failed_call(host):
    host.set_evacuated(["bilbao"], NOW)
    fall_silent(host, "gijon")
    assert not host.evacuation.update(store_unreachable=True, now=NOW)
    host.evacuation.update(store_unreachable=False, now=NOW + 0.3)
    assert not host.evacuation.update(store_unreachable=True, now=NOW + 0.6)
    assert host.directory.evacuated == {"bilbao"}


# A host that only the store refused took itself for isolated.
def test_own_servers_are_not_used_while_a_local_host_watches(host):
    host.set_evacuated(["bilbao"], NOW)
    fall_silent(host, "gijon")
    host.evacuation.update(store_unreachable=True, now=NOW)
    noticed = NOW + evacuation_rules.LOSS_NOTICE_SECONDS
    hear_local_host(host, now=noticed, watching=True)
    host.evacuation.update(store_unreachable=True, now=noticed)
    assert host.directory.evacuated == {"bilbao"}
    hear_local_host(host, sequence=2, now=noticed, watching=False)
    assert host.evacuation.update(store_unreachable=True, now=noticed)


# In a large fleet a digest is valid for 20 s. One from before a cut kept hosts
# from using the only servers that they reached until the cut was over.
def test_digest_from_before_the_loss_of_the_store_says_nothing(host):
    host.set_evacuated(["bilbao"], NOW)
    fall_silent(host, "gijon")
    hear_local_host(host, watching=True)
    lose_store(host)
    assert host.evacuation.update(store_unreachable=True, now=NOW)
    # The store answers and is lost again: the time counts anew.
    host.evacuation.update(store_unreachable=False, now=NOW + 3.0)
    hear_local_host(host, sequence=2, now=NOW + 3.0, watching=True)
    lose_store(host, NOW + 3.1)
    assert host.evacuation.update(store_unreachable=True, now=NOW + 3.7)


# An evacuated data centre gets no first packet that could show its silence.
def test_other_evacuated_data_centre_is_judged_by_its_entry_hosts(host):
    host.set_evacuated(["bilbao", "gijon"], NOW)
    lose_store(host)
    assert not host.evacuation.update(store_unreachable=True, now=NOW)
    host.failure_detector.silent_data_centres = {"gijon"}
    assert host.evacuation.update(store_unreachable=True, now=NOW)
    assert data_centres(open_flows(host)) == {"bilbao"}


def test_only_data_centre_is_not_used_when_the_store_is_away():
    host = flow_factories.make_host([make_server(1)])
    host.set_evacuated(["bilbao"], NOW)
    lose_store(host)
    assert not host.evacuation.update(store_unreachable=True, now=NOW)


def test_host_without_evacuations_is_unchanged(host):
    lose_store(host)
    assert not host.evacuation.update(store_unreachable=True, now=NOW)
    assert data_centres(open_flows(host)) == {"bilbao", "gijon"}


@pytest.fixture
def list_watcher(host):
    """Return the list watcher of a host that follows host 2."""
    selector, _ = test_list_watch.make_source_selector(1, False)
    evacuation_sync.EvacuationSync(
        selector.loop,
        host,
        selector.store_monitor.log,
        selector,
        5.0,
        HOLD_SECONDS,
        frozenset(),
        lambda: None,
    )
    reader = selector.list_watchers[-1]
    reader._current_source = selector.current_client()
    listed = stored_objects.make_object("gijon", {})
    reader._on_answer(stores.Listing((listed,), 50, 1))
    return reader


# The older state of a followed host that is behind ended an evacuation.
def test_follower_of_a_host_that_is_behind(host, list_watcher):
    assert host.directory.evacuated == {"gijon"}
    list_watcher._on_answer(stores.Listing((), 49, 1))
    assert host.directory.evacuated == {"gijon"}
    list_watcher._on_answer(stores.Listing((), 51, 1))
    assert host.directory.evacuated == set()


# A kind that nobody has kept a host from watching the store for others.
def test_missing_list_of_evacuations_does_not_prevent_watching(list_watcher):
    selector = list_watcher.source_selector
    for each in selector.list_watchers:
        each.position = BEFORE
    list_watcher.position = None
    assert selector.has_all_lists


def test_settings_name_the_limit_and_the_data_centres():
    read = node_settings.parse(
        test_platform.SETTINGS
        + "bounds.evacuate-ms=5000\nzones.oviedo=cantabrico\n",
        "node.conf",
    )
    assert read.evacuation_limit == 5.0
    assert read.data_centres == {"oviedo"}
