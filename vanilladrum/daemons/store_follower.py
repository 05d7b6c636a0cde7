"""Keeps configuration and servers as current as the store allows.

A host watches the store or follows another host that does; both are asked
in the same way.
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

# Seconds for a connection to the store or an answer that is due at once.
STORE_TIMEOUT = 0.5
# The same for another entry host; a fraction of it is usual.
PEER_TIMEOUT = 0.3
# A watch waits this long for a change; a shorter wait costs more calls, and
# the store waits 30 s at the most.
WATCH_SECONDS = 25.0
# The same at another entry host: one that is cut off or frozen is noticed by
# an empty answer that does not come.
PEER_WATCH_SECONDS = 2.0
# After a list from the store a host waits so long, in seconds, before it
# watches there: by then it has heard whom to follow instead.
SETTLE_SECONDS = 0.2
# A host that failed to pass changes on is not followed for so long.
AVOID_SECONDS = 2.0
# A host that knows more than it passes on is left after so long, in seconds.
LAG_SECONDS = 0.5
# A configuration that was asked for has so long to begin to arrive, seconds.
RELIST_SECONDS = 1.5
# Changes of servers are gathered for so long, in seconds: in a small fleet a
# sixth of the time in which a leaving server may still be sent work, in a
# large one a fifth of it, and longer at the second of two watchers.
SMALL_PAUSE = 0.5
LARGE_PAUSE = 1.0
SECOND_PAUSE = 3.0


class Sources:
    """Decides whom this host follows, and starts followers again.

    :param generation: returns the configuration in force.
    :param following: another entry host, None for the store.
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
        self._peers: dict[addresses.Address, stores.Store] = {}
        self._avoided: dict[addresses.Address, float] = {}
        self._level = loop.now()
        self._behind = loop.now()
        self._begun = False
        contact.on_regained = self._restart
        contact.wanted = True

    def source(self) -> stores.Store:
        """Return what is asked for a kind now."""
        if self.following is None:
            return self.contact.store
        if self.following not in self._peers:
            self._peers[self.following] = stores.Store(
                self.loop, self.following, PEER_TIMEOUT
            )
        return self._peers[self.following]

    @property
    def watching(self) -> bool:
        """Return whether changes come here from the store itself."""
        return self.following is None and not self.contact.away and self.knows

    @property
    def knows(self) -> bool:
        """Return whether this host has lists of all kinds.

        They may be empty: before the first configuration is written nobody
        has one, and somebody has to watch for it.
        """
        return all(each.revision is not None for each in self.followers)

    @property
    def unsettled(self) -> bool:
        """Return whether lapsed entries may still come back."""
        neighbour = self._followed()
        if neighbour is None or neighbour.digest is None:
            return self.contact.returned_lately()
        return neighbour.digest.unsettled

    def begin(self) -> None:
        """Ask whoever is to be followed; nobody was asked before."""
        self.tick()
        self._begun = True
        if self.following is None:
            self._restart()

    def tick(self) -> None:
        """Follow somebody else when that has become better."""
        self.contact.tick()
        now = self.loop.now()
        self._leave_laggard(now)
        self._catch_up(now)
        if self._is_being_told(now):
            return
        chosen = watchers.choose_source(
            self.known,
            not self.contact.away,
            self.knows,
            {host for host in self._avoided if self._is_avoided(host, now)},
            now,
        )
        if chosen == self.following:
            return
        self.following = chosen
        self.contact.wanted = chosen is None
        self.contact.heard = now
        self._level = now
        self.contact.log.event("following", host=chosen or "store")
        self._restart()

    def pause(self) -> float:
        """Return the seconds in which changes are gathered at the store."""
        if self.following is not None:
            return 0.0
        if not self.known.large:
            return SMALL_PAUSE
        first = watchers.is_first(self.known, self.loop.now())
        return LARGE_PAUSE if first else SECOND_PAUSE

    def answered(self, source: stores.Store) -> None:
        """Note an answer of a source."""
        if source is self.contact.store:
            self.contact.succeeded()

    def failed(
        self, source: stores.Store, error: errors.PlatformError
    ) -> None:
        """Note that a source has failed."""
        if source is self.contact.store:
            self.contact.failed(error)
            return
        self.avoid(source.at, str(error))

    def avoid(self, host: addresses.Address, reason: str) -> None:
        """Follow a host no more for a while."""
        self._avoided[host] = self.loop.now()
        self.contact.log.event("source avoided", host=host, reason=reason)

    def _is_being_told(self, now: float) -> bool:
        """Return whether lists that this host misses are on their way."""
        if self.knows or not self._begun:
            return False
        if self.following is None:
            return not self.contact.away
        failed = self.following in self._avoided
        return not (failed and self._is_avoided(self.following, now))

    def _is_avoided(self, host: addresses.Address, now: float) -> bool:
        """Return whether a host failed lately or was not heard since."""
        failed = self._avoided[host]
        neighbour = self.known.hosts.get(host)
        if neighbour is None or neighbour.heard < failed:
            return True
        return now - failed < AVOID_SECONDS

    def _followed(self) -> neighbours.Neighbour | None:
        if self.following is None:
            return None
        return self.known.hosts.get(self.following)

    def _leave_laggard(self, now: float) -> None:
        """Leave a host that has told of a revision it does not pass on."""
        known = self.mirror.revision(objects.SERVER_KIND)
        neighbour = self._followed()
        if neighbour is None or neighbour.digest is None:
            self._level = now
        elif neighbour.digest.revision <= known:
            self._level = now
        elif self.following and now - self._level > LAG_SECONDS:
            self.avoid(self.following, "passes no changes on")

    def _catch_up(self, now: float) -> None:
        """Ask for the configuration again when others have a newer one."""
        heard = self.known.fresh(now)
        newest = max(
            (self.known.digest(host).generation for host in heard),
            default=0,
        )
        arriving = any(each.receiving() for each in self.followers)
        if newest <= self.generation() or arriving:
            self._behind = max(self._behind, now)
        elif now - self._behind > LAG_SECONDS:
            self._behind = now + RELIST_SECONDS - LAG_SECONDS
            self.contact.log.event("configuration behind", newest=newest)
            for follower in self.followers:
                if follower.kind != objects.CONFIGURATION_KIND:
                    continue
                if self.contact.away:
                    follower.restart()
                else:
                    follower.list_at_store()

    def _restart(self) -> None:
        for follower in self.followers:
            follower.restart()


class Follower:
    """Lists one kind of objects and watches it for ever.

    :param on_listing: takes all objects of the kind.
    :param on_change: takes one changed or deleted object.
    :param gathers: whether there is a pause between a change and the next
        watch at the store, so that a kind that changes all the time costs
        no call a change.
    """

    def __init__(
        self,
        sources: Sources,
        kind: str,
        on_listing: Callable[[tuple[objects.Stored, ...]], None],
        on_change: Callable[[objects.Stored], None],
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
        self._source = sources.contact.store
        self._round = 0
        self._cancel: Callable[[], None] = _nothing
        sources.followers.append(self)

    def restart(self) -> None:
        """Ask anew: a watch from before a change may never be answered."""
        self._cancel()
        self._ask()

    def receiving(self) -> bool:
        """Return whether part of an answer came a moment ago."""
        return self._source.receiving()

    def list_at_store(self) -> None:
        """List anew at the store itself, whomever this host follows."""
        self._cancel()
        self._relist = True
        self._ask(self.sources.contact.store)

    def _ask(
        self, at: stores.Store | None = None, whole: bool = False
    ) -> None:
        # Whatever an earlier round still has to say is not heard any more.
        self._round += 1
        current = self._round

        def answered(outcome: Any) -> None:
            if current == self._round:
                self._answered(outcome)

        source = at or self.sources.source()
        self._source = source
        if self._relist or self.revision is None:
            self._cancel = _nothing
            ask = source.list_whole if whole else source.list
            ask(self.kind, answered)
            return
        at_store = source is self.sources.contact.store
        wait = WATCH_SECONDS if at_store else PEER_WATCH_SECONDS
        self._cancel = source.watch(self.kind, self.revision, wait, answered)

    def _answered(self, outcome: Any) -> None:
        pause = 0.0
        if isinstance(outcome, errors.HistoryGoneError):
            self.sources.contact.log.event(
                "history gone", kind=self.kind, reason=str(outcome)
            )
            self._relist = True
        elif isinstance(outcome, errors.TooLargeError):
            self._list_elsewhere()
            return
        elif isinstance(outcome, errors.PlatformError):
            self.sources.failed(self._source, outcome)
            # Contact, or another source, starts this follower again sooner.
            pause = contacts.RETRY_SECONDS[-1]
        else:
            pause = self._take(outcome)
        self._ask_after(pause)

    def _list_elsewhere(self) -> None:
        """List what the followed host does not pass on unasked."""
        if not self.sources.contact.away:
            self.list_at_store()
            return
        self._relist = True
        self._ask(whole=True)

    def _ask_after(self, pause: float) -> None:
        current = self._round

        def ask() -> None:
            if current == self._round:
                self._ask()

        self.loop.after(pause, ask)

    def _take(self, outcome: stores.Listing | stores.Changes) -> float:
        """Pass on what came; return the pause before the next call."""
        pause = 0.0
        if isinstance(outcome, stores.Listing):
            if outcome.revision < (self.revision or 0):
                # Another host that knows less than this one.
                self.sources.failed(
                    self._source,
                    errors.PlatformError("its list is older than ours"),
                )
                return contacts.RETRY_SECONDS[0]
            self._relist = False
            self.sources.mirror.listed(self.kind, outcome)
            self.on_listing(outcome.objects)
            if self.sources.following is None:
                pause = SETTLE_SECONDS
        else:
            self.sources.mirror.changed(self.kind, outcome)
            for each in outcome.objects:
                self.on_change(each)
            if self.gathers:
                pause = self.sources.pause()
        self.revision = outcome.revision
        # Told last: it may start this and other followers again.
        self.sources.answered(self._source)
        return pause


def _nothing() -> None:
    """Stand for a call that cannot be given up."""
