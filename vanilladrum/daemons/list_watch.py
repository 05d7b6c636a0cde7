"""Reads configuration and servers by list and watch calls.

A host either watches the platform's store itself or follows another entry
host that does. Both answer the same calls.
"""

from collections.abc import Callable
from typing import Any

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import neighbours as digests
from vanilladrum.core import watchers
from vanilladrum.daemons import store_monitor as store_monitors
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.wire import loop as loops

# Timeout in seconds for connecting to the store and for answers other than
# those of a watch, which are delayed until something changes.
STORE_TIMEOUT = 0.5
# The same for another entry host, which usually answers in a fraction of it.
PEER_TIMEOUT = 0.3
# Long-poll time of a watch at the store, in seconds. A shorter one costs more
# calls; the store allows at most 30 s.
WATCH_SECONDS = 25.0
# Long-poll time of a watch at another entry host, in seconds. Without a change
# the host sends an empty answer at the end of it; if that is missing, the host
# is partitioned or frozen.
PEER_WATCH_SECONDS = 2.0
# Delay between a list from the store and the first watch there, in seconds. By
# then digests have usually arrived that show which host to follow instead.
SETTLE_SECONDS = 0.2
# Longest delay in seconds before a host of a large fleet that has just started
# watches the store, after it was listed.
MAX_CLAIM_DELAY = 1.0
# A host that failed or did not forward changes is not followed for at least
# this long, in seconds.
AVOID_SECONDS = 2.0
# Longest tolerated lag in seconds: after it, a followed host whose digest
# reports a newer revision than it delivers is avoided, and a newer
# configuration that other hosts report is listed.
MAX_LAG_SECONDS = 0.5
# Time in seconds for a listed configuration to begin to arrive before it is
# listed again.
RELIST_SECONDS = 1.5
# Batching delay for changes of servers, in seconds: in a small fleet a sixth
# of the time in which a leaving server may still be sent work, in a large one
# a fifth of it, and longer at the second of two watchers.
SMALL_FLEET_BATCH_DELAY = 0.5
LARGE_FLEET_BATCH_DELAY = 1.0
SECOND_WATCHER_BATCH_DELAY = 3.0
# A host has followers if one of them asked for changes within this time, in
# seconds; longer than a watch at another entry host.
FOLLOWER_SECONDS = 3.0


class SourceSelector:
    """Chooses the source of updates: the store or another entry host.

    Restarts all list watchers when the source changes or the store recovers.

    :param store_monitor: reachability of the store.
    :param neighbours: the other entry hosts.
    :param mirror: updated by the list watchers; its revision shows what has
        been received.
    :param get_generation: returns the generation of the configuration in
        force.
    :param followed_host: the entry host that is the source, None for the
        store.
    """

    def __init__(
        self,
        loop: loops.Loop,
        store_monitor: store_monitors.StoreMonitor,
        neighbours: digests.Neighbours,
        mirror: mirrors.Mirror,
        get_generation: Callable[[], int],
    ) -> None:
        self.loop = loop
        self.store_monitor = store_monitor
        self.neighbours = neighbours
        self.mirror = mirror
        self.get_generation = get_generation
        self.followed_host: addresses.Address | None = None
        self.list_watchers: list[ListWatcher] = []
        self._peer_clients: dict[addresses.Address, stores.Store] = {}
        self._failed_at: dict[addresses.Address, float] = {}
        self._source_lag_start = loop.now()
        self._configuration_lag_start = loop.now()
        self._started = False
        store_monitor.on_recovered = self._restart_list_watchers
        store_monitor.watches_store = True

    def current_client(self) -> stores.Store:
        """Return the client of the current source."""
        if self.followed_host is None:
            return self.store_monitor.store
        if self.followed_host not in self._peer_clients:
            self._peer_clients[self.followed_host] = stores.Store(
                self.loop, self.followed_host, PEER_TIMEOUT
            )
        return self._peer_clients[self.followed_host]

    @property
    def receives_from_store(self) -> bool:
        """Return whether this host receives changes from the store itself."""
        return (
            self.followed_host is None
            and not self.store_monitor.unreachable
            and self.has_all_lists
        )

    @property
    def has_all_lists(self) -> bool:
        """Return whether all kinds of objects have been listed.

        The lists may be empty: before the first configuration is written no
        host has one, and some host has to watch for it.
        """
        return all(each.revision is not None for each in self.list_watchers)

    @property
    def entries_may_return(self) -> bool:
        """Return whether expired entries may still be registered again.

        A host that follows another one relies on that host's digest.
        """
        neighbour = self._followed_neighbour()
        if neighbour is None or neighbour.digest is None:
            return self.store_monitor.recovered_recently()
        return neighbour.digest.entries_may_return

    def start(self) -> None:
        """Choose the first source and start the list watchers."""
        self.tick()
        self._started = True
        if self.followed_host is None:
            self._restart_list_watchers()

    def tick(self) -> None:
        """Ping the store if due, and switch to a better source if any."""
        self.store_monitor.tick()
        now = self.loop.now()
        self._drop_lagging_source(now)
        self._refresh_configuration(now)
        if self._first_lists_pending(now):
            return
        chosen = watchers.choose_upstream(
            self.neighbours,
            not self.store_monitor.unreachable,
            self.has_all_lists,
            {host for host in self._failed_at if self._is_avoided(host, now)},
            now,
        )
        if chosen == self.followed_host:
            return
        self.followed_host = chosen
        self.store_monitor.watches_store = chosen is None
        self.store_monitor.last_answer_at = now
        self._source_lag_start = now
        self.store_monitor.log.event("following", host=chosen or "store")
        delay = 0.0
        if chosen is None and self._may_find_watcher():
            delay = self.neighbours.rng.uniform(0.0, MAX_CLAIM_DELAY)
        for list_watcher in self.list_watchers:
            list_watcher.restart(delay)

    def batch_delay(self) -> float:
        """Return the delay in seconds before the next watch at the store.

        Changes accumulate in the meantime. It is 0 while this host follows
        another one.
        """
        if self.followed_host is not None:
            return 0.0
        if not self.neighbours.is_large_fleet:
            return SMALL_FLEET_BATCH_DELAY
        now = self.loop.now()
        has_followers = now - self.mirror.last_watch_at < FOLLOWER_SECONDS
        if has_followers or watchers.is_first(self.neighbours, now):
            return LARGE_FLEET_BATCH_DELAY
        return SECOND_WATCHER_BATCH_DELAY

    def record_success(self, source: stores.Store) -> None:
        """Record an answer of a source; only those of the store matter."""
        if source is self.store_monitor.store:
            self.store_monitor.record_success()

    def record_failure(
        self, source: stores.Store, error: errors.PlatformError
    ) -> None:
        """Record a failed call to the store, or avoid an entry host."""
        if source is self.store_monitor.store:
            self.store_monitor.record_failure(error)
            return
        self.avoid(source.address, str(error))

    def avoid(self, host: addresses.Address, reason: str) -> None:
        """Do not follow a host until it has recovered.

        This takes at least ``AVOID_SECONDS`` and a new digest from the host.

        :param reason: for the log.
        """
        self._failed_at[host] = self.loop.now()
        self.store_monitor.log.event(
            "source avoided", host=host, reason=reason
        )

    def _may_find_watcher(self) -> bool:
        """Return whether a digest may soon show another host to follow.

        The hosts of a large fleet that start together do not all watch the
        store then.
        """
        return (
            self.neighbours.discovering
            and self.neighbours.is_large_fleet
            and self.has_all_lists
        )

    def _first_lists_pending(self, now: float) -> bool:
        """Return whether the source may still send the first lists."""
        if self.has_all_lists or not self._started:
            return False
        if self.followed_host is None:
            return not self.store_monitor.unreachable
        failed = self.followed_host in self._failed_at
        return not (failed and self._is_avoided(self.followed_host, now))

    def _is_avoided(self, host: addresses.Address, now: float) -> bool:
        """Return whether a host failed recently or sent no digest since."""
        failed = self._failed_at[host]
        neighbour = self.neighbours.hosts.get(host)
        if neighbour is None or neighbour.last_digest_at < failed:
            return True
        return now - failed < AVOID_SECONDS

    def _followed_neighbour(self) -> digests.Neighbour | None:
        if self.followed_host is None:
            return None
        return self.neighbours.hosts.get(self.followed_host)

    def _drop_lagging_source(self, now: float) -> None:
        """Avoid a followed host whose digest is ahead of its answers.

        This is so when, for longer than ``MAX_LAG_SECONDS``, the digest
        reports a newer revision than this host has received.
        """
        received = self.mirror.revision(objects.SERVER_KIND)
        neighbour = self._followed_neighbour()
        if neighbour is None or neighbour.digest is None:
            self._source_lag_start = now
        elif neighbour.digest.revision <= received:
            self._source_lag_start = now
        elif (
            self.followed_host
            and now - self._source_lag_start > MAX_LAG_SECONDS
        ):
            self.avoid(self.followed_host, "does not forward changes")

    def _refresh_configuration(self, now: float) -> None:
        """List the configuration again if other hosts have a newer one.

        It is listed at the store if that is reachable, otherwise at the
        current source.
        """
        newest = self.neighbours.newest_generation
        arriving = any(each.is_receiving() for each in self.list_watchers)
        if newest <= self.get_generation() or arriving:
            self._configuration_lag_start = max(
                self._configuration_lag_start, now
            )
        elif now - self._configuration_lag_start > MAX_LAG_SECONDS:
            # In the future, so that the next list follows RELIST_SECONDS
            # after this one.
            self._configuration_lag_start = (
                now + RELIST_SECONDS - MAX_LAG_SECONDS
            )
            self.store_monitor.log.event("configuration behind", newest=newest)
            for list_watcher in self.list_watchers:
                if list_watcher.kind != objects.CONFIGURATION_KIND:
                    continue
                if self.store_monitor.unreachable:
                    list_watcher.restart()
                else:
                    list_watcher.list_from_store()

    def _restart_list_watchers(self) -> None:
        for list_watcher in self.list_watchers:
            list_watcher.restart()


class ListWatcher:
    """Lists the objects of one kind and then watches them for changes.

    :param on_listing: receives all objects of the kind.
    :param on_change: receives one changed or deleted object.
    :param batches_changes: whether to wait between a change and the next
        watch at the store, so that a kind that changes constantly does not
        cost one call per change.
    :param revision: store revision up to which changes were received, None
        before the first list.
    """

    def __init__(
        self,
        source_selector: SourceSelector,
        kind: str,
        on_listing: Callable[[tuple[objects.StoredObject, ...]], None],
        on_change: Callable[[objects.StoredObject], None],
        batches_changes: bool = False,
    ) -> None:
        self.source_selector = source_selector
        self.loop = source_selector.loop
        self.kind = kind
        self.on_listing = on_listing
        self.on_change = on_change
        self.batches_changes = batches_changes
        self.revision: int | None = None
        self._needs_listing = True
        self._current_source = source_selector.store_monitor.store
        self._call_number = 0
        self._cancel: Callable[[], None] = _no_cancel
        source_selector.list_watchers.append(self)

    def restart(self, delay: float = 0.0) -> None:
        """Cancel the current call and make a new one.

        A watch that was sent before the source or its reachability changed
        may never be answered.

        :param delay: seconds until the new call.
        """
        self._cancel()
        if not delay:
            self._call_source()
            return
        self._cancel = _no_cancel
        self._call_number += 1
        self._schedule_call(delay)

    def is_receiving(self) -> bool:
        """Return whether data arrived within the last call timeout."""
        return self._current_source.is_receiving()

    def list_from_store(self) -> None:
        """List at the store itself, even while another host is followed."""
        self._cancel()
        self._needs_listing = True
        self._call_source(self.source_selector.store_monitor.store)

    def _call_source(
        self, store: stores.Store | None = None, whole: bool = False
    ) -> None:
        """List if necessary, otherwise watch; ignore earlier calls.

        :param store: source to call, by default the current one.
        :param whole: whether to list without a size limit.
        """
        self._call_number += 1
        call_number = self._call_number

        def on_answer(outcome: Any) -> None:
            if call_number == self._call_number:
                self._on_answer(outcome)

        source = store or self.source_selector.current_client()
        self._current_source = source
        if self._needs_listing or self.revision is None:
            self._cancel = _no_cancel
            call = source.list_unlimited if whole else source.list
            call(self.kind, on_answer)
            return
        from_store = source is self.source_selector.store_monitor.store
        wait = WATCH_SECONDS if from_store else PEER_WATCH_SECONDS
        self._cancel = source.watch(self.kind, self.revision, wait, on_answer)

    def _on_answer(self, outcome: Any) -> None:
        delay = 0.0
        if isinstance(outcome, errors.HistoryExpiredError):
            self.source_selector.store_monitor.log.event(
                "history gone", kind=self.kind, reason=str(outcome)
            )
            self._needs_listing = True
        elif isinstance(outcome, errors.AnswerTooLargeError):
            self._handle_too_large()
            return
        elif isinstance(outcome, errors.PlatformError):
            self.source_selector.record_failure(self._current_source, outcome)
            # When the store is reachable again or the source changes, this
            # list watcher is restarted sooner.
            delay = store_monitors.RETRY_DELAYS[-1]
        else:
            delay = self._apply_or_list_again(outcome)
        self._schedule_call(delay)

    def _handle_too_large(self) -> None:
        """List again after the answer exceeded the size limit of a host.

        The list is requested from the store if that is reachable, otherwise
        from the current source without a size limit.
        """
        if not self.source_selector.store_monitor.unreachable:
            self.list_from_store()
            return
        self._needs_listing = True
        self._call_source(whole=True)

    def _schedule_call(self, delay: float) -> None:
        call_number = self._call_number

        def call() -> None:
            if call_number == self._call_number:
                self._call_source()

        self.loop.after(delay, call)

    def _apply_or_list_again(
        self, outcome: stores.Listing | stores.Changes
    ) -> float:
        """Apply an answer; after an unexpected error, list again later.

        Otherwise such an error would end the updates for good.

        :returns: the delay before the next call, in seconds.
        """
        try:
            return self._apply(outcome)
        except Exception:
            self._needs_listing = True
            self._schedule_call(store_monitors.RETRY_DELAYS[-1])
            raise

    def _apply(self, outcome: stores.Listing | stores.Changes) -> float:
        """Apply an answer.

        :returns: the delay before the next call, in seconds.
        """
        delay = 0.0
        if outcome.revision < (self.revision or 0):
            # The source is another host that is behind this one, or sent a
            # second copy of an earlier answer.
            self.source_selector.record_failure(
                self._current_source,
                errors.PlatformError(
                    "its answer is older than the one received before"
                ),
            )
            return store_monitors.RETRY_DELAYS[0]
        if isinstance(outcome, stores.Listing):
            self._needs_listing = False
            self.source_selector.mirror.replace_all(self.kind, outcome)
            self.on_listing(outcome.objects)
            if self.source_selector.followed_host is None:
                delay = SETTLE_SECONDS
        else:
            self.source_selector.mirror.apply_changes(self.kind, outcome)
            for each in outcome.objects:
                self.on_change(each)
            if self.batches_changes:
                delay = self.source_selector.batch_delay()
        self.revision = outcome.revision
        # Called last, as it may restart this and other list watchers.
        self.source_selector.record_success(self._current_source)
        return delay


def _no_cancel() -> None:
    """Stand in for the cancel function of a call that has none."""
