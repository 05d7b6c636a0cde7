"""Choice of the source of updates: the store or another entry host."""

from collections.abc import Callable

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import neighbours as neighbour_tables
from vanilladrum.core import watchers
from vanilladrum.daemons import reader as readers
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
# Longest delay in seconds before a host of a large fleet that has just started
# watches the store, after it was listed.
MAX_CLAIM_DELAY = 1.0
# A host that failed or did not forward changes is not followed for at least
# this long, in seconds.
AVOID_SECONDS = 2.0
# Longest tolerated lag in seconds: after it, a followed host whose digest
# reports a newer revision than it delivers is avoided, a newer configuration
# that other hosts report is listed, and the watch of the servers is sent again
# if other hosts report newer ones.
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
    :param sources_avoided: how often an entry host was avoided as source.
    :param lists_abandoned: how often a list was given up before its answer.
    """

    def __init__(
        self,
        loop: loops.Loop,
        store_monitor: store_monitors.StoreMonitor,
        neighbours: neighbour_tables.Neighbours,
        mirror: mirrors.Mirror,
        get_generation: Callable[[], int],
    ) -> None:
        self.loop = loop
        self.store_monitor = store_monitor
        self.neighbours = neighbours
        self.mirror = mirror
        self.get_generation = get_generation
        self.followed_host: addresses.Address | None = None
        self.sources_avoided = 0
        self.lists_abandoned = 0
        self.list_watchers: list[readers.Reader] = []
        self._peer_clients: dict[addresses.Address, stores.Store] = {}
        self._failed_at: dict[addresses.Address, float] = {}
        self._source_lag_start = loop.now()
        self._configuration_lag_start = loop.now()
        self._server_lag_start = loop.now()
        # When the store was asked for the generation, and the generation.
        self._asked_store_at = loop.now()
        self._asked_generation = 0
        self._started = False
        store_monitor.on_recovered = self._restart_list_watchers
        store_monitor.on_restored = self._list_again
        store_monitor.watches_store = True

    def current_client(self) -> stores.Store:
        """Return the client of the current source."""
        if self.followed_host is None:
            return self.store_monitor.store
        return self._peer_client(self.followed_host)

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
        """Return whether all required kinds of objects have been listed.

        The lists may be empty: before the first configuration is written no
        host has one, and some host has to watch for it.
        """
        return all(
            each.position is not None
            for each in self.list_watchers
            if each.is_required
        )

    @property
    def entries_may_return(self) -> bool:
        """Return whether expired entries may still be registered again.

        A host that follows another one relies on that host's digest, unless
        it has noticed a restore itself.
        """
        if self.store_monitor.restored_recently():
            return True
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
        self._renew_lost_watch(now)
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
            list_watcher.change_source(delay)

    def batch_delay(self) -> float:
        """Return the delay in seconds before the next watch at the store.

        Changes accumulate in the meantime. It is 0 while this host follows
        another one. It is short while servers write their entries again,
        because those that this host has not heard of by then are removed.
        """
        if self.followed_host is not None:
            return 0.0
        if not self.neighbours.is_large_fleet or self.entries_may_return:
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

    def avoid(
        self, host: addresses.Address, reason: str, **fields: object
    ) -> None:
        """Do not follow a host until it has recovered.

        This takes at least ``AVOID_SECONDS`` and a new digest from the host.

        :param reason: for the log.
        :param fields: further fields of the log line.
        """
        self._failed_at[host] = self.loop.now()
        self.sources_avoided += 1
        self.store_monitor.log.event(
            "source avoided", host=host, reason=reason, **fields
        )

    def _peer_client(self, host: addresses.Address) -> stores.Store:
        if host not in self._peer_clients:
            self._peer_clients[host] = stores.Store(
                self.loop, host, PEER_TIMEOUT, is_mirror=True
            )
        return self._peer_clients[host]

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

    def _followed_neighbour(self) -> neighbour_tables.Neighbour | None:
        if self.followed_host is None:
            return None
        return self.neighbours.hosts.get(self.followed_host)

    def _drop_lagging_source(self, now: float) -> None:
        """Avoid a followed host whose digest is ahead of its answers.

        This is so when, for longer than ``MAX_LAG_SECONDS``, the digest
        reports a later position than this host has received.
        """
        received = self.mirror.position(objects.SERVER_KIND)
        neighbour = self._followed_neighbour()
        if neighbour is None or neighbour.digest is None:
            self._source_lag_start = now
        elif neighbour.digest.position <= received:
            self._source_lag_start = now
        elif (
            self.followed_host
            and now - self._source_lag_start > MAX_LAG_SECONDS
        ):
            self.avoid(
                self.followed_host,
                "does not forward changes",
                own_position=received,
                reported=neighbour.digest.position,
            )

    def _refresh_configuration(self, now: float) -> None:
        """List the configuration again if other hosts have a newer one.

        It is listed at the store if that is reachable, otherwise at the
        current source. A restored store may have lost it; then it is listed
        at a host that has it in force.
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
                self._request_configuration(list_watcher, newest, now)

    def _request_configuration(
        self, list_watcher: readers.Reader, generation: int, now: float
    ) -> None:
        if self.store_monitor.unreachable:
            list_watcher.restart()
            return
        store_lacks_it = (
            self._asked_generation == generation
            and list_watcher.listed_at_store > self._asked_store_at
        )
        hosts = self.neighbours.hosts_with_generation(generation, now)
        if store_lacks_it and hosts:
            host = self.neighbours.rng.choice(hosts)
            list_watcher.list_from(self._peer_client(host))
            return
        self._asked_generation = generation
        self._asked_store_at = now
        list_watcher.list_from(self.store_monitor.store)

    def _renew_lost_watch(self, now: float) -> None:
        """Send the watch of the servers again if other hosts are ahead.

        A watch at the store whose answer was lost looks like one that waits.
        If it was sent before another host reported a newer position, it
        should have been answered too. A host that follows another one relies
        on that host and on :meth:`_drop_lagging_source` instead.
        """
        newest = self.neighbours.newest_position
        received = self.mirror.position(objects.SERVER_KIND)
        if self.followed_host is not None or newest <= received:
            self._server_lag_start = now
            return
        if now - self._server_lag_start <= MAX_LAG_SECONDS:
            return
        for list_watcher in self.list_watchers:
            if list_watcher.kind != objects.SERVER_KIND:
                continue
            if list_watcher.sent_at >= self._server_lag_start:
                continue
            if list_watcher.is_receiving():
                continue
            self.store_monitor.log.event(
                "watch renewed",
                waited=round(now - list_watcher.sent_at, 3),
                own_position=received,
                newest=newest,
            )
            # An idle connection may be as silent as that of the watch.
            self.store_monitor.store.drop_idle()
            list_watcher.restart()

    def _list_again(self) -> None:
        for list_watcher in self.list_watchers:
            list_watcher.list_again()

    def _restart_list_watchers(self) -> None:
        """Call the source again, except for lists that are arriving."""
        for list_watcher in self.list_watchers:
            if list_watcher.is_listing and list_watcher.is_receiving():
                continue
            list_watcher.restart()
