"""Order of what hosts read before and after restores of the store."""

import pytest

from tests import flow_factories
from tests import stored_objects
from tests import test_list_watch
from tests import test_loop
from tests import test_watchers
from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import entry_order
from vanilladrum.core import errors
from vanilladrum.core import position as positions
from vanilladrum.core import routes
from vanilladrum.core import serverstate
from vanilladrum.daemons import json_log
from vanilladrum.daemons import source_selector as source_selectors
from vanilladrum.daemons import state_sync as state_syncs
from vanilladrum.daemons import store_monitor as store_monitors
from vanilladrum.platform import answers
from vanilladrum.platform import connection as connections
from vanilladrum.platform import objects
from vanilladrum.platform import settings as node_settings
from vanilladrum.platform import store as stores
from vanilladrum.wire import digests
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# Time in which servers write again what the store has lost.
REWRITE_SECONDS = 2.0
LEAVING_STATE = serverstate.ServerState.LEAVING
LEAVING = {**stored_objects.SERVER_ENTRY, "state": "draining", "sequence": 9}


def make_server(sequence=1, started=1000):
    return flow_factories.make_server(1, started=started, sequence=sequence)


def at(era, revision):
    return positions.StorePosition(era, revision)


class FakeSource:
    """A source that records the calls and their callbacks."""

    is_mirror = False

    def __init__(self, host, is_mirror):
        self.address = host
        self.is_mirror = is_mirror
        self.called = []
        self.callbacks = []

    def list(self, kind, done):
        self.called.append(("list", kind))
        self.callbacks.append(done)

    list_unlimited = list

    def watch(self, kind, position, wait, done, max_bytes=None):
        self.called.append(("watch", kind, position))
        self.callbacks.append(done)
        return lambda: None

    def ping(self, done):
        pass


@pytest.fixture
def host():
    """Yield a state sync of a host that calls a fake store only."""
    text = (
        "node-name=n\nzone=bilbao\nip=127.0.0.1\n"
        f"internal-ports={test_loop.free_port()},1\n"
        "listen-addrs.datagram-addr=127.0.0.1:1\n"
        "listen-addrs.readiness-addr=127.0.0.1:1\n"
        "platform.address=127.0.0.1:1\n"
        "heartbeat-ms=2000\n"
    )
    core = flow_factories.make_host()
    core.configuration = routes.NO_CONFIGURATION
    core.directory = backends.ServerDirectory()
    log = json_log.EventLog(json_log.LineWriter(1), {}, limit=0)
    sync = state_syncs.StateSync(
        loops.Loop(), node_settings.parse(text, "f"), core, log, print
    )
    sync.on_known = lambda: None
    sync.store_monitor.store = FakeSource("store", is_mirror=False)
    for each in sync.source_selector.list_watchers:
        each._current_source = sync.store_monitor.store
    yield sync
    sync.close()


def watcher_of(host, kind):
    return next(
        each
        for each in host.source_selector.list_watchers
        if each.kind == kind
    )


def receive(host, kind, revision, era, *stored, changes=False):
    """Make the host receive an answer of the store.

    :param stored: name and content of each object; None for a deletion.
    """
    received = tuple(
        objects.parse_object(
            {"meta": {"name": name, "revision": revision}, "spec": content},
            era,
            content is None,
        )
        for name, content in stored
    )
    outcome = stores.Changes if changes else stores.Listing
    watcher_of(host, kind)._on_answer(outcome(received, revision, era))


def receive_configuration(host, revision, era, version, **changed):
    content = stored_objects.CONFIGURATION | {"version": version} | changed
    receive(host, "config", revision, era, ("main", content))


def relayed(host, kind):
    """Return the objects that the host relays, as a follower reads them."""
    sent = []
    host.mirror.handle(httpd.Request(f"/{kind}", "whole=1", sent.append))
    era = int(sent[0].headers[connections.ERA_HEADER])
    answer = connections.Answer(200, sent[0].body, sent[0].compressed, era)
    client = stores.Store(loops.Loop(), addresses.Address("h", 1), 0.3)
    outcomes = []
    client._call = lambda method, path, read, done: done(
        answers.read_answer("GET", answer, read, False)
    )
    client.list(kind, outcomes.append)
    return outcomes[0]


# A restored store counts from an earlier revision; its lists were refused.
def test_list_of_a_later_era_is_taken_whatever_its_revision(host):
    receive_configuration(host, 90, 1, 7)
    receive_configuration(host, 20, 2, 8)
    assert host.core.configuration.generation == 8
    assert watcher_of(host, "config").position == at(2, 20)


# A late answer from before the restore must not end the new era.
def test_list_of_an_earlier_era_is_refused(host):
    receive(host, "servers", 20, 2, ("i-1", LEAVING))
    receive(host, "servers", 90, 1)
    assert watcher_of(host, "servers").position == at(2, 20)
    assert list(host.core.directory.servers) == ["i-1"]


# Changes after a revision that was given out again do not include those that
# were given out below it.
def test_changes_of_a_later_era_are_not_applied_but_listed(host):
    receive(host, "servers", 10, 1, ("i-1", stored_objects.SERVER_ENTRY))
    receive(
        host,
        "servers",
        15,
        2,
        ("i-2", stored_objects.SERVER_ENTRY),
        changes=True,
    )
    watcher = watcher_of(host, "servers")
    assert list(host.core.directory.servers) == ["i-1"]
    assert watcher.position == at(1, 10)
    host.loop.after(0.05, host.loop.stop)
    host.loop.run()
    assert host.store_monitor.store.called[-1] == ("list", "servers")


# The answer to a watch from before a restore begins at a revision that was
# given out again, so it lacks changes after the list of the new era.
def test_late_answer_to_a_watch_from_before_a_restore_is_ignored(host):
    receive(host, "servers", 90, 1)
    watcher = watcher_of(host, "servers")
    watcher._call_source()
    host.store_monitor._on_ping_result(stores.PingReply(2))
    answer_watch, answer_list = host.store_monitor.store.callbacks[-2:]
    answer_list(stores.Listing((), 60, 2))
    answer_watch(stores.Changes((), 95, 2))
    assert watcher.position == at(2, 60)


# A watch that waits at a revision that was given out again is not answered
# for 25 s.
@pytest.mark.parametrize("by_ping", [False, True])
def test_new_era_makes_all_kinds_be_listed_again(host, by_ping):
    receive(host, "servers", 10, 1)
    receive_configuration(host, 11, 1, 7)
    for each in host.source_selector.list_watchers:
        each._call_source()
    host.store_monitor.store.called.clear()
    if by_ping:
        host.store_monitor._on_ping_result(stores.PingReply(2))
    else:
        receive(host, "servers", 12, 2)
    assert ("list", "config") in host.store_monitor.store.called
    assert host.store_monitor.restored_recently()
    assert host.source_selector.entries_may_return


# A restarted watcher otherwise made two calls, one of them never cancelled.
def test_list_watcher_makes_one_call_after_a_restore(host):
    receive(host, "servers", 10, 1)
    host.store_monitor.unreachable = True
    host.store_monitor.store.called.clear()
    receive(host, "servers", 12, 2)
    host.loop.after(0.4, host.loop.stop)
    host.loop.run()
    called = host.store_monitor.store.called
    assert called.count(("watch", "servers", at(2, 12))) == 1


# A restored configuration must not replace a newer one that is in force.
def test_configuration_never_goes_back_and_is_relayed(host):
    receive_configuration(host, 90, 1, 9)
    receive_configuration(host, 20, 2, 7)
    assert host.core.configuration.generation == 9
    assert relayed(host, "config").objects[0].content["version"] == 9
    receive(host, "config", 21, 2)
    assert relayed(host, "config").objects[0].content["version"] == 9
    older = stored_objects.CONFIGURATION | {"version": 8}
    receive(host, "config", 22, 2, ("main", older), changes=True)
    receive(host, "config", 23, 2, ("main", {"version": 10}), changes=True)
    receive(host, "config", 24, 2, ("main", None), changes=True)
    assert relayed(host, "config").objects[0].content["version"] == 9
    assert relayed(host, "config").position == at(2, 24)


# The number of a lost configuration may be given to another one.
def test_generation_given_out_again_is_adopted_in_the_later_era(host):
    receive_configuration(host, 90, 1, 9)
    receive_configuration(host, 20, 2, 9, routes=[])
    assert host.core.configuration.routes == {}
    receive_configuration(host, 21, 2, 9)
    assert host.core.configuration.routes == {}


# A host that relays a configuration of before the restore in a list of after
# it must not make the others refuse the new one with the same number.
def test_relayed_configuration_keeps_the_era_in_which_it_was_read(host):
    receive_configuration(host, 90, 1, 9)
    receive_configuration(host, 20, 2, 7)
    listing = relayed(host, "config")
    assert listing.era == 2 and listing.objects[0].era == 1


# A leaving server is listed as ready by a store that has lost its entry.
def test_leaving_server_is_not_used_again_until_it_writes(host):
    entry = stored_objects.SERVER_ENTRY
    receive(host, "servers", 10, 1, ("i-1", entry))
    receive(host, "servers", 11, 1, ("i-1", LEAVING), changes=True)
    for revision in (5, 6):
        receive(host, "servers", revision, 2, ("i-1", entry))
        server = host.core.directory.servers["i-1"]
        assert server.state is serverstate.ServerState.LEAVING
    again = {**entry, "sequence": 10}
    receive(host, "servers", 7, 2, ("i-1", again), changes=True)
    server = host.core.directory.servers["i-1"]
    assert server.state is serverstate.ServerState.ACTIVE


def receive_removal_and_restore(host):
    """Make the host read an entry again that was removed before a restore."""
    receive(host, "servers", 10, 1, ("i-1", LEAVING))
    receive(host, "servers", 11, 1, ("i-1", None), changes=True)
    receive(host, "servers", 5, 2, ("i-1", stored_objects.SERVER_ENTRY))


def run_for(host, seconds):
    host.loop.after(seconds, host.loop.stop)
    host.loop.run()


# A server that left was in use again when the store was restored.
def test_server_that_left_is_withheld_until_its_entry_would_expire(host):
    host.server_sync.expiry_seconds = 0.05
    receive_removal_and_restore(host)
    assert not host.core.directory.servers
    receive(host, "servers", 6, 2, ("i-1", stored_objects.SERVER_ENTRY))
    assert not host.core.directory.servers
    run_for(host, 0.1)
    assert "i-1" in host.core.directory.servers


# The second restore begins the lifetime of the entry anew; the end of the
# first one made the server be used.
def test_server_that_left_is_withheld_anew_after_a_second_restore(host):
    host.server_sync.expiry_seconds = 0.1
    receive_removal_and_restore(host)
    run_for(host, 0.06)
    receive(host, "servers", 6, 2, ("i-1", None), changes=True)
    receive(host, "servers", 5, 3, ("i-1", stored_objects.SERVER_ENTRY))
    run_for(host, 0.06)
    assert not host.core.directory.servers
    run_for(host, 0.06)
    assert "i-1" in host.core.directory.servers


def test_entry_is_withheld_as_long_as_the_settings_say(host):
    assert host.server_sync.expiry_seconds == pytest.approx(6.4)


def test_server_that_starts_again_under_its_id_is_used_at_once(host):
    receive(host, "servers", 10, 1, ("i-1", LEAVING))
    receive(host, "servers", 11, 1, ("i-1", None), changes=True)
    born = LEAVING["born"] + 1
    reborn = {**stored_objects.SERVER_ENTRY, "born": born, "sequence": 1}
    receive(host, "servers", 5, 2, ("i-1", reborn))
    assert "i-1" in host.core.directory.servers


# A server whose clock was set back before it started again seemed to write
# older entries from then on, so its drain was ignored.
def test_drain_of_a_server_with_an_earlier_start_time_is_noticed(host):
    entry = stored_objects.SERVER_ENTRY
    receive(host, "servers", 10, 1, ("i-1", {**entry, "sequence": 8}))
    receive(host, "servers", 5, 2, ("i-1", entry))
    earlier = {**LEAVING, "born": entry["born"] - 1, "sequence": 1}
    receive(host, "servers", 6, 2, ("i-1", earlier), changes=True)
    server = host.core.directory.servers["i-1"]
    assert server.state is serverstate.ServerState.LEAVING


# A host that missed the change reads the same entry from a list.
def test_list_is_used_as_it_is_once_older_entries_have_expired(host):
    host.server_sync.expiry_seconds = 0.05
    entry = stored_objects.SERVER_ENTRY
    receive(host, "servers", 10, 1, ("i-1", {**entry, "sequence": 8}))
    earlier = {**LEAVING, "born": entry["born"] - 1, "sequence": 1}
    for expected in serverstate.ServerState.ACTIVE, LEAVING_STATE:
        receive(host, "servers", 6, 2, ("i-1", earlier))
        assert host.core.directory.servers["i-1"].state is expected
        run_for(host, 0.1)


# The same for a server that was removed before the restore.
def test_removed_server_that_writes_after_a_restore_is_used_at_once(host):
    receive_removal_and_restore(host)
    assert not host.core.directory.servers
    again = stored_objects.SERVER_ENTRY
    receive(host, "servers", 6, 2, ("i-1", again), changes=True)
    assert "i-1" in host.core.directory.servers


# A server that started after the copy is missing from the restored list.
def test_server_that_the_store_has_lost_stays_in_use_for_a_while(host):
    receive(host, "servers", 10, 1, ("i-1", stored_objects.SERVER_ENTRY))
    receive(host, "servers", 5, 2)
    host.tick()
    assert host.core.entries_may_return
    now = host.loop.now()
    host.core.tick(now + store_monitors.REREGISTRATION_SECONDS)
    assert "i-1" in host.core.directory.servers
    again = stored_objects.SERVER_ENTRY
    receive(host, "servers", 6, 2, ("i-1", again), changes=True)
    assert "i-1" in host.core.directory.servers
    assert not host.core.directory.pending_removal


# The second watcher of a large fleet waited 3 s between two watches, longer
# than servers that have to write again stay in use.
@pytest.mark.parametrize("restored", [False, True])
def test_watcher_of_a_large_fleet_hears_in_time_of_servers(restored):
    selector, _ = test_list_watch.make_source_selector(1, False)
    selector.followed_host = None
    now = selector.loop.now()
    for number in range(2, 16):
        selector.neighbours.receive(
            test_watchers.host_at(number), test_watchers.make_digest(2), now
        )
    usual = source_selectors.SECOND_WATCHER_BATCH_DELAY
    assert selector.batch_delay() == usual
    if restored:
        selector.store_monitor.record_era(1)
        selector.store_monitor.record_era(2)
    else:
        selector.store_monitor.record_failure(errors.PlatformError("lost"))
        selector.store_monitor.record_success()
    limit = store_monitors.REREGISTRATION_SECONDS - REWRITE_SECONDS
    assert selector.batch_delay() <= limit


@pytest.mark.parametrize(
    "era,sequence,is_older", [(1, 4, False), (2, 4, True), (2, 5, False)]
)
def test_only_entries_of_a_later_era_are_compared_by_sequence(
    era, sequence, is_older
):
    order = entry_order.EntryOrder()
    order.record(make_server(sequence=5), 1)
    assert order.is_older(make_server(sequence=sequence), era) is is_older


@pytest.mark.parametrize(
    "era,sequence,is_removed",
    [(1, 5, False), (2, 5, True), (2, 6, False), (2, 4, True)],
)
def test_removed_entry_is_recognized_in_a_later_era(era, sequence, is_removed):
    order = entry_order.EntryOrder()
    order.record(make_server(sequence=5), 1)
    order.record_removal(make_server().name, 1)
    found = order.is_removed(make_server(sequence=sequence), era)
    assert found is is_removed


# The absence from a restored list is no sign that a server has gone.
def test_entry_missing_from_a_restored_list_may_be_written_as_it_was():
    order = entry_order.EntryOrder()
    order.record(make_server(sequence=5), 1)
    order.record_removal(make_server().name, 2)
    assert not order.is_removed(make_server(sequence=5), 2)


def test_removed_entries_that_are_remembered_are_bounded(monkeypatch):
    monkeypatch.setattr(entry_order, "MAX_REMOVED", 2)
    order = entry_order.EntryOrder()
    for number in range(5):
        server = flow_factories.make_server(number)
        order.record(server, 1)
        order.record_removal(server.name, 1)
    assert len(order._removed) == 2


# A follower from before the restore waited at a mirror from after it.
@pytest.mark.parametrize("era", [1, 3])
def test_mirror_answers_a_watch_of_another_era_with_410(host, era):
    receive(host, "servers", 10, 2)
    sent = []
    host.mirror.handle(
        httpd.Request(
            "/servers", f"watch=10&wait-ms=2000&era={era}", sent.append
        )
    )
    assert [each.status for each in sent] == [410]


def test_client_names_the_era_to_entry_hosts_only():
    paths = []
    for is_mirror in (False, True):
        client = stores.Store(
            loops.Loop(), addresses.Address("h", 1), 0.3, is_mirror
        )
        client._call = lambda method, path, *_, **__: paths.append(path)
        client.watch("servers", at(3, 5), 1.0, print)
    assert paths == [
        "/servers?watch=5&wait-ms=1000",
        "/servers?watch=5&wait-ms=1000&era=3",
    ]


# The revisions of the pages say nothing about each other then.
def test_list_is_repeated_if_the_store_is_restored_between_two_pages():
    client = stores.Store(loops.Loop(), addresses.Address("h", 1), 0.3)
    eras = [1, 2]

    def call(method, path, read, done):
        plain = {"meta": {"name": path[-3:], "revision": 1}, "spec": {}}
        document = {"items": [plain], "has-more": True, "store-revision": 9}
        done(read(document, eras.pop(0)))

    client._call = call
    outcomes = []
    client.list("servers", outcomes.append)
    assert [type(each) for each in outcomes] == [errors.HistoryExpiredError]


@pytest.mark.parametrize("value", [b"x", b"-1", b"4294967296"])
def test_era_that_is_no_number_fails_the_call(value):
    with pytest.raises(ValueError):
        connections._parse_era(value)


def test_digest_carries_the_era():
    sent = test_watchers.make_digest(era=7)
    assert digests.decode(digests.encode(sent)).position == at(7, 5)


# Hosts of the release before have no era and ignore what follows the hosts.
def test_digest_of_the_release_before_is_understood():
    encoded = bytearray(digests.encode(test_watchers.make_digest(era=7)))
    encoded[1] &= ~digests.ERA_FLAG
    earlier = bytes(encoded[: -digests._ERA.size])
    assert digests.decode(earlier).position == at(0, 5)


def test_new_host_prefers_lists_of_the_later_era():
    others = {2: test_watchers.make_digest(era=1, revision=90)}
    others[3] = test_watchers.make_digest(era=2, revision=20)
    view = test_watchers.make_view(1, others)
    chosen = test_watchers.choose(view, has_servers=False)
    assert chosen == test_watchers.host_at(3)


# A followed host that sees the new era late is not ahead of this one.
@pytest.mark.parametrize("era,is_avoided", [(1, False), (2, False), (3, True)])
def test_source_lags_only_if_its_digest_is_at_a_later_position(
    host, era, is_avoided
):
    receive(host, "servers", 20, 2)
    selector = host.source_selector
    source = test_watchers.host_at(2)
    digest = test_watchers.make_digest(era=era, revision=20)
    now = host.loop.now()
    selector.neighbours.receive(source, digest, now)
    selector.followed_host = source
    selector._drop_lagging_source(now)
    selector._drop_lagging_source(now + source_selectors.MAX_LAG_SECONDS + 0.1)
    assert (source in selector._failed_at) is is_avoided


# A host that lists a restored store after its start is behind the others.
def test_configuration_that_the_store_has_lost_comes_from_another_host():
    selector, _ = test_list_watch.make_source_selector(7, False)
    watcher = selector.list_watchers[0]
    later = test_list_watch.receive_digest_after_lag(selector)
    requested = []
    watcher.list_from = requested.append
    selector._refresh_configuration(later)
    watcher.listed_at_store = later + 0.1
    late = later + source_selectors.RELIST_SECONDS + 0.1
    selector.neighbours.receive(
        test_watchers.host_at(2),
        test_watchers.make_digest(3, generation=7),
        late,
    )
    selector._refresh_configuration(late)
    assert [each.address for each in requested] == [
        selector.store_monitor.store.address,
        test_watchers.host_at(2),
    ]


# Its position may be before this host's, its configuration is newer.
def test_newer_configuration_in_an_older_list_is_adopted_and_relayed(host):
    receive_configuration(host, 23, 2, 7)
    watcher = watcher_of(host, "config")
    peer = stores.Store(
        host.loop, test_watchers.host_at(2), 0.3, is_mirror=True
    )
    watcher._current_source = peer
    receive_configuration(host, 22, 2, 9)
    assert host.core.configuration.generation == 9
    assert watcher.position == at(2, 23)
    assert relayed(host, "config").objects[0].content["version"] == 9
    assert not host.source_selector._failed_at
