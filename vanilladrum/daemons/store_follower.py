"""Keeps configuration and servers in step with the platform's store.

A host either watches the store itself or follows another entry host that
does. Both answer the same list and watch calls.
"""

from collections.abc import Callable
from typing import Any

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import neighbours
from vanilladrum.core import watchers
from vanilladrum.daemons import contact as contacts
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores
from vanilladrum.wire import loop as loops

# For connecting to the store and for answers that need no wait, in seconds.
STORE_TIMEOUT = 0.5
# The same for another entry host, which usually needs a fraction of it.
PEER_TIMEOUT = 0.3
# Long-poll time of a watch at the store. A shorter one costs more calls; the
# store allows at most 30 s.
WATCH_SECONDS = 25.0
# Long-poll time at another entry host. A partitioned or frozen host is
# detected when the empty answer at the end of it does not come.
PEER_WATCH_SECONDS = 2.0
# Delay between a list from the store and the first watch there: by then the
# host knows from digests which host it should follow instead.
SETTLE_SECONDS = 0.2
# A host that failed to pass changes on is not followed for this long.
AVOID_SECONDS = 2.0
# A source that reports newer data than it delivers is given up after this
# long, and a configuration that other hosts have is listed again.
LAG_SECONDS = 0.5
# Time for a requested configuration to begin to arrive before it is listed
# again.
RELIST_SECONDS = 1.5
# Batching delay for changes of servers, in seconds: in a small fleet a sixth
# of the time in which a leaving server may still be sent work, in a large one
# a fifth of it, and longer at the second of two watchers.
SMALL_FLEET_BATCH_DELAY = 0.5
LARGE_FLEET_BATCH_DELAY = 1.0
SECOND_WATCHER_BATCH_DELAY = 3.0


class Sources:
    """Chooses the source of updates and restarts followers when it changes.

    :param contact: reachability of the store.
    :param known: the other entry hosts.
    :param generation: returns the generation of the configuration in force.
    :param following: the entry host that is followed, None for the store.
    """

    def __init__(
        self,
        loop: loops.Loop,
        contact: contacts.Contact,
        known: neighbours.Neighbours,
        mirror: mirrors.Mirror,
        generation: Callable[[], int],
    ) -> None:
        self.loop = loop
        self.contact = contact
        self.known = known
        self.mirror = mirror
        self.generation = generation
        self.following: addresses.Address | None = None
        self.followers: list[Follower] = []
        self._peer_clients: dict[addresses.Address, stores.Store] = {}
        self._failed_at: dict[addresses.Address, float] = {}
        self._source_lag_start = loop.now()
        self._configuration_lag_start = loop.now()
        self._started = False
        contact.on_regained = self._restart_followers
        contact.wanted = True

    def source(self) -> stores.Store:
        """Return the client of the current source."""
        if self.following is None:
            return self.contact.store
        if self.following not in self._peer_clients:
            self._peer_clients[self.following] = stores.Store(
                self.loop, self.following, PEER_TIMEOUT
            )
        return self._peer_clients[self.following]

    @property
    def watching(self) -> bool:
        """Return whether this host receives changes from the store itself."""
        return self.following is None and not self.contact.away and self.knows

    @property
    def knows(self) -> bool:
        """Return whether all kinds of objects have been listed.

        The lists may be empty: before the first configuration is written no
        host has one, and some host has to watch for it.
        """
        return all(each.revision is not None for each in self.followers)

    @property
    def unsettled(self) -> bool:
        """Return whether expired entries may still be registered again."""
        neighbour = self._followed_neighbour()
        if neighbour is None or neighbour.digest is None:
            return self.contact.returned_lately()
        return neighbour.digest.entries_may_return

    def begin(self) -> None:
        """Choose the first source and start the followers."""
        self.tick()
        self._started = True
        if self.following is None:
            self._restart_followers()

    def tick(self) -> None:
        """Switch to another source when a better one is available."""
        self.contact.tick()
        now = self.loop.now()
        self._drop_lagging_source(now)
        self._catch_up(now)
        if self._first_lists_pending(now):
            return
        chosen = watchers.choose_upstream(
            self.known,
            not self.contact.away,
            self.knows,
            {host for host in self._failed_at if self._is_avoided(host, now)},
            now,
        )
        if chosen == self.following:
            return
        self.following = chosen
        self.contact.wanted = chosen is None
        self.contact.heard = now
        self._source_lag_start = now
        self.contact.log.event("following", host=chosen or "store")
        self._restart_followers()

    def pause(self) -> float:
        """Return the batching delay for changes from the store, in seconds."""
        if self.following is not None:
            return 0.0
        if not self.known.is_large_fleet:
            return SMALL_FLEET_BATCH_DELAY
        first = watchers.is_primary_watcher(self.known, self.loop.now())
        return LARGE_FLEET_BATCH_DELAY if first else SECOND_WATCHER_BATCH_DELAY

    def answered(self, source: stores.Store) -> None:
        """Record an answer of a source."""
        if source is self.contact.store:
            self.contact.succeeded()

    def failed(
        self, source: stores.Store, error: errors.PlatformError
    ) -> None:
        """Record a failed call; an entry host is avoided for a while."""
        if source is self.contact.store:
            self.contact.failed(error)
            return
        self.avoid(source.address, str(error))

    def avoid(self, host: addresses.Address, reason: str) -> None:
        """Do not follow a host for a while.

        :param reason: for the log.
        """
        self._failed_at[host] = self.loop.now()
        self.contact.log.event("source avoided", host=host, reason=reason)

    def _first_lists_pending(self, now: float) -> bool:
        """Return whether the source may still deliver the first lists."""
        if self.knows or not self._started:
            return False
        if self.following is None:
            return not self.contact.away
        failed = self.following in self._failed_at
        return not (failed and self._is_avoided(self.following, now))

    def _is_avoided(self, host: addresses.Address, now: float) -> bool:
        """Return whether a host failed recently or sent no digest since."""
        failed = self._failed_at[host]
        neighbour = self.known.hosts.get(host)
        if neighbour is None or neighbour.last_digest_at < failed:
            return True
        return now - failed < AVOID_SECONDS

    def _followed_neighbour(self) -> neighbours.Neighbour | None:
        if self.following is None:
            return None
        return self.known.hosts.get(self.following)

    def _drop_lagging_source(self, now: float) -> None:
        """Give up a followed host that does not deliver what it has.

        Its digest names a newer revision than this host has received.
        """
        known = self.mirror.revision(objects.SERVER_KIND)
        neighbour = self._followed_neighbour()
        if neighbour is None or neighbour.digest is None:
            self._source_lag_start = now
        elif neighbour.digest.revision <= known:
            self._source_lag_start = now
        elif self.following and now - self._source_lag_start > LAG_SECONDS:
            self.avoid(self.following, "does not pass changes on")

    def _catch_up(self, now: float) -> None:
        """List the configuration again if other hosts have a newer one."""
        valid_hosts = self.known.valid_hosts(now)
        newest = max(
            (self.known.digest(host).generation for host in valid_hosts),
            default=0,
        )
        arriving = any(each.is_receiving() for each in self.followers)
        if newest <= self.generation() or arriving:
            self._configuration_lag_start = max(
                self._configuration_lag_start, now
            )
        elif now - self._configuration_lag_start > LAG_SECONDS:
            self._configuration_lag_start = now + RELIST_SECONDS - LAG_SECONDS
            self.contact.log.event("configuration behind", newest=newest)
            for follower in self.followers:
                if follower.kind != objects.CONFIGURATION_KIND:
                    continue
                if self.contact.away:
                    follower.restart()
                else:
                    follower.list_at_store()

    def _restart_followers(self) -> None:
        for follower in self.followers:
            follower.restart()


class Follower:
    """Lists the objects of one kind and then watches them for changes.

    :param on_listing: receives all objects of the kind.
    :param on_change: receives one changed or deleted object.
    :param gathers: whether to wait between a change and the next watch at
        the store, so that a kind that changes constantly does not cost one
        call per change.
    :param revision: store revision up to which changes are known.
    """

    def __init__(
        self,
        sources: Sources,
        kind: str,
        on_listing: Callable[[tuple[objects.StoredObject, ...]], None],
        on_change: Callable[[objects.StoredObject], None],
        gathers: bool = False,
    ) -> None:
        self.sources = sources
        self.loop = sources.loop
        self.kind = kind
        self.on_listing = on_listing
        self.on_change = on_change
        self.gathers = gathers
        self.revision: int | None = None
        self._relist = True
        self._current_source = sources.contact.store
        self._call_number = 0
        self._cancel: Callable[[], None] = _no_cancel
        sources.followers.append(self)

    def restart(self) -> None:
        """Cancel the current call and make a new one.

        A watch that was sent before the source or its reachability changed
        may never be answered.
        """
        self._cancel()
        self._call_source()

    def is_receiving(self) -> bool:
        """Return whether part of an answer has just arrived."""
        return self._current_source.is_receiving()

    def list_at_store(self) -> None:
        """List at the store itself, even while another host is followed."""
        self._cancel()
        self._relist = True
        self._call_source(self.sources.contact.store)

    def _call_source(
        self, store: stores.Store | None = None, whole: bool = False
    ) -> None:
        # Answers to earlier calls are ignored from now on.
        self._call_number += 1
        call_number = self._call_number

        def answered(outcome: Any) -> None:
            if call_number == self._call_number:
                self._answered(outcome)

        source = store or self.sources.source()
        self._current_source = source
        if self._relist or self.revision is None:
            self._cancel = _no_cancel
            call = source.list_unlimited if whole else source.list
            call(self.kind, answered)
            return
        from_store = source is self.sources.contact.store
        wait = WATCH_SECONDS if from_store else PEER_WATCH_SECONDS
        self._cancel = source.watch(self.kind, self.revision, wait, answered)

    def _answered(self, outcome: Any) -> None:
        delay = 0.0
        if isinstance(outcome, errors.HistoryExpiredError):
            self.sources.contact.log.event(
                "history gone", kind=self.kind, reason=str(outcome)
            )
            self._relist = True
        elif isinstance(outcome, errors.AnswerTooLargeError):
            self._handle_too_large()
            return
        elif isinstance(outcome, errors.PlatformError):
            self.sources.failed(self._current_source, outcome)
            # When the store is reachable again or the source changes, this
            # follower is restarted sooner.
            delay = contacts.RETRY_SECONDS[-1]
        else:
            delay = self._take(outcome)
        self._schedule_call(delay)

    def _handle_too_large(self) -> None:
        """List again after the followed host refused a large answer.

        The store is asked if it is reachable, else a host for the whole list.
        """
        if not self.sources.contact.away:
            self.list_at_store()
            return
        self._relist = True
        self._call_source(whole=True)

    def _schedule_call(self, delay: float) -> None:
        call_number = self._call_number

        def call() -> None:
            if call_number == self._call_number:
                self._call_source()

        self.loop.after(delay, call)

    def _take(self, outcome: stores.Listing | stores.Changes) -> float:
        """Apply an answer.

        :returns: the delay before the next call, in seconds.
        """
        delay = 0.0
        if isinstance(outcome, stores.Listing):
            if outcome.revision < (self.revision or 0):
                # The source is another host that is behind this one.
                self.sources.failed(
                    self._current_source,
                    errors.PlatformError(
                        "its list is older than the known one"
                    ),
                )
                return contacts.RETRY_SECONDS[0]
            self._relist = False
            self.sources.mirror.replace_all(self.kind, outcome)
            self.on_listing(outcome.objects)
            if self.sources.following is None:
                delay = SETTLE_SECONDS
        else:
            self.sources.mirror.apply_changes(self.kind, outcome)
            for each in outcome.objects:
                self.on_change(each)
            if self.gathers:
                delay = self.sources.pause()
        self.revision = outcome.revision
        # Called last, as it may restart this and other followers.
        self.sources.answered(self._current_source)
        return delay


def _no_cancel() -> None:
    """Stand in for the cancel function of a call that has none."""
