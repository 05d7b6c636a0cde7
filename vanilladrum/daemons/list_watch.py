"""Reads configuration and servers by list and watch calls.

A host either watches the platform's store itself or follows another entry
host that does. Both answer the same calls.
"""

from collections.abc import Callable
from typing import Any

from vanilladrum.core import errors
from vanilladrum.core import position as positions
from vanilladrum.daemons import list_watch_log
from vanilladrum.daemons import source_selector as source_selectors
from vanilladrum.daemons import store_monitor as store_monitors
from vanilladrum.platform import objects
from vanilladrum.platform import store as stores

# Long-poll time of a watch, in seconds. Without a change the source sends an
# empty answer at the end of it. A watch whose answer was lost looks like one
# that waits until then, so this bounds how long a change can go unnoticed. A
# shorter time costs more calls to the store.
WATCH_SECONDS = 2.0
# Delay between a list from the store and the first watch there, in seconds. By
# then digests have usually arrived that show which host to follow instead.
SETTLE_SECONDS = 0.2
# Shortest interval between two lists at the store, in seconds, while the
# followed host does not serve the kind.
NOT_SERVED_INTERVAL_SECONDS = 1.0


class ListWatcher:
    """Lists the objects of one kind and then watches them for changes.

    :param on_listing: receives all objects of the kind.
    :param on_change: receives one changed or deleted object.
    :param batches_changes: whether to wait between a change and the next
        watch at the store, so that a kind that changes constantly does not
        cost one call per change.
    :param is_versioned: whether the receiver itself recognizes older objects
        of the kind, so that it may be offered those of an older listing.
    :param watch_seconds: long-poll time of a watch, in seconds.
    :param max_change_bytes: size of an answer to a watch above which the kind
        is listed instead: a list has one version of each object, the answer
        to a watch has all since the last one. None for no limit.
    :param is_required: whether this host needs a list of the kind. Otherwise
        a source may be without the kind, as hosts of an earlier release are;
        it is then listed at the store instead.
    :param position: position of the store up to which changes were received,
        None before the first list.
    :param listed_at_store: when the store itself last answered a list, in
        monotonic seconds.
    :param sent_at: when the call that waits for its answer was sent, in
        monotonic seconds; infinite if there is none.
    """

    def __init__(
        self,
        source_selector: source_selectors.SourceSelector,
        kind: str,
        on_listing: Callable[[tuple[objects.StoredObject, ...]], None],
        on_change: Callable[[objects.StoredObject], None],
        batches_changes: bool = False,
        is_versioned: bool = False,
        watch_seconds: float = WATCH_SECONDS,
        is_required: bool = True,
        max_change_bytes: int | None = None,
    ) -> None:
        self.source_selector = source_selector
        self.loop = source_selector.loop
        self._log = source_selector.store_monitor.log
        self.kind = kind
        self.on_listing = on_listing
        self.on_change = on_change
        self.batches_changes = batches_changes
        self.is_versioned = is_versioned
        self.watch_seconds = watch_seconds
        self.is_required = is_required
        self.max_change_bytes = max_change_bytes
        self.position: positions.StorePosition | None = None
        self.listed_at_store = float("-inf")
        self.sent_at = float("inf")
        self._needs_listing = True
        # Whether the call that waits for its answer is a list.
        self._lists = False
        # When the store was last asked because the followed host does not
        # serve the kind.
        self._asked_store_at = float("-inf")
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
        self._record_abandoned()
        self._cancel()
        if not delay:
            self._call_source()
            return
        self._cancel = _no_cancel
        self.sent_at = float("inf")
        self._call_number += 1
        self._schedule_call(delay)

    @property
    def is_listing(self) -> bool:
        """Return whether a list has been requested and not been answered."""
        return self._lists and self.sent_at != float("inf")

    def change_source(self, delay: float = 0.0) -> None:
        """Call the new source, unless a list is pending.

        That list is completed first: if a list took longer than the source
        stays the same, none would ever be complete. It fails by itself if its
        source has stopped to answer.

        :param delay: seconds until the new call.
        """
        if not self.is_listing:
            self.restart(delay)

    def is_receiving(self) -> bool:
        """Return whether data arrived within the last call timeout."""
        return self._current_source.is_receiving()

    def list_from(self, source: stores.Store) -> None:
        """List once at a source, even while another one is followed."""
        self._record_abandoned()
        self._cancel()
        self._needs_listing = True
        self._call_source(source)

    def list_again(self) -> None:
        """List at the current source if the known list is of another era.

        A watch from a revision of an earlier era may wait, or succeed, though
        the store has lost that revision and given it out again.
        """
        if self.position is None:
            return
        if self.position.era == self.source_selector.store_monitor.era:
            return
        self._needs_listing = True
        self.restart()

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
        self.sent_at = self.loop.now()
        self._lists = self._needs_listing or self.position is None
        if self._needs_listing or self.position is None:
            self._cancel = _no_cancel
            call = source.list_unlimited if whole else source.list
            call(self.kind, on_answer)
            return
        self._cancel = source.watch(
            self.kind,
            self.position,
            self.watch_seconds,
            on_answer,
            self.max_change_bytes,
        )

    def _on_answer(self, outcome: Any) -> None:
        call_number = self._call_number
        self.sent_at = float("inf")
        delay = 0.0
        if isinstance(outcome, errors.HistoryExpiredError):
            self._log.event(
                "history gone", kind=self.kind, reason=str(outcome)
            )
            self._needs_listing = True
        elif isinstance(outcome, errors.AnswerTooLargeError):
            self._handle_too_large()
            return
        elif self._is_not_served(outcome):
            self._handle_not_served()
            return
        elif isinstance(outcome, errors.PlatformError):
            self.source_selector.record_failure(self._current_source, outcome)
            # When the store is reachable again or the source changes, this
            # list watcher is restarted sooner.
            if not self._was_asked_once():
                delay = store_monitors.RETRY_DELAYS[-1]
        else:
            delay = self._apply_or_list_again(outcome)
        if call_number == self._call_number:
            # Otherwise this list watcher was restarted in the meantime.
            self._schedule_call(delay)

    def _handle_too_large(self) -> None:
        """List after an answer that exceeded the size limit.

        The list is requested from the store if that is reachable, otherwise
        from the current source without a size limit.
        """
        store_monitor = self.source_selector.store_monitor
        follows_store = self.source_selector.followed_host is None
        if follows_store or not store_monitor.unreachable:
            self.list_from(store_monitor.store)
            return
        self._needs_listing = True
        self._call_source(whole=True)

    def _is_not_served(self, outcome: Any) -> bool:
        """Return whether a source does not serve a kind that is optional.

        An unexpected status is no reason to give up a source that answers the
        other kinds.
        """
        if self.is_required or not isinstance(outcome, errors.PlatformError):
            return False
        return not isinstance(
            outcome, (errors.StoreTimeoutError, errors.StoreRejectedError)
        )

    def _handle_not_served(self) -> None:
        """List at the store what the followed host does not serve.

        The host is not avoided for that. While the store is unreachable the
        host is asked again, since it may have got the list.
        """
        store_monitor = self.source_selector.store_monitor
        store = store_monitor.store
        if self._current_source is store:
            store_monitor.record_success()
        if self._current_source is store or store_monitor.unreachable:
            self._schedule_call(NOT_SERVED_INTERVAL_SECONDS)
            return
        due = self._asked_store_at + NOT_SERVED_INTERVAL_SECONDS
        now = self.loop.now()
        self._asked_store_at = max(now, due)
        self._needs_listing = True
        self._schedule_call(max(0.0, due - now), store)

    def _schedule_call(
        self, delay: float, source: stores.Store | None = None
    ) -> None:
        """Call a source later, by default the one that is current then."""
        call_number = self._call_number

        def call() -> None:
            if call_number == self._call_number:
                self._call_source(source)

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
        if self._is_older(outcome):
            return self._refuse(outcome)
        if outcome.unnamed:
            list_watch_log.write_unnamed(
                self._log, self.kind, self._current_source, outcome.unnamed
            )
        if isinstance(outcome, stores.Listing):
            delay = self._apply_listing(outcome)
        elif self.position and outcome.era != self.position.era:
            self._needs_listing = True
            delay = 0.0
        else:
            delay = self._apply_changes(outcome)
        # Called last, as they may restart this and other list watchers.
        self.source_selector.store_monitor.record_era(outcome.era)
        self.source_selector.record_success(self._current_source)
        return delay

    def _is_older(self, outcome: stores.Listing | stores.Changes) -> bool:
        """Return whether an answer is older than what was received before.

        The source is another host that is behind this one, or sent a second
        copy of an earlier answer, or an answer from before a restore.
        """
        store_monitor = self.source_selector.store_monitor
        is_from_store = self._current_source is store_monitor.store
        if is_from_store and outcome.era < store_monitor.era:
            return True
        return outcome.position < (self.position or positions.START)

    def _refuse(self, outcome: stores.Listing | stores.Changes) -> float:
        """Take no more from an older answer than newer objects.

        :returns: the delay before the next call, in seconds.
        """
        list_watch_log.write_refused(
            self._log, self.kind, self._current_source, outcome, self.position
        )
        if self.is_versioned and isinstance(outcome, stores.Listing):
            self.on_listing(outcome.objects)
        if self._was_asked_once():
            return 0.0
        self.source_selector.record_failure(
            self._current_source,
            errors.PlatformError(
                "its answer is older than the one received before"
            ),
        )
        return store_monitors.RETRY_DELAYS[0]

    def _was_asked_once(self) -> bool:
        """Return whether the last call went to another host than followed.

        It was asked for a list only, or is not followed any more.
        """
        source = self._current_source
        return (
            source.is_mirror
            and source is not self.source_selector.current_client()
        )

    def _record_abandoned(self) -> None:
        """Count and log a list that ends before it was answered."""
        if not self.is_listing:
            return
        self.source_selector.lists_abandoned += 1
        list_watch_log.write_abandoned(
            self._log,
            self.kind,
            self._current_source,
            self.loop.now() - self.sent_at,
        )

    def _apply_listing(self, listing: stores.Listing) -> float:
        self._needs_listing = False
        self.source_selector.mirror.replace_all(self.kind, listing)
        self.on_listing(listing.objects)
        self.position = listing.position
        store_monitor = self.source_selector.store_monitor
        if self._current_source is store_monitor.store:
            self.listed_at_store = self.loop.now()
        if self.source_selector.followed_host is None:
            return SETTLE_SECONDS
        return 0.0

    def _apply_changes(self, changes: stores.Changes) -> float:
        self.source_selector.mirror.apply_changes(self.kind, changes)
        for each in changes.objects:
            self.on_change(each)
        self.position = changes.position
        if self.batches_changes:
            return self.source_selector.batch_delay()
        return 0.0


def _no_cancel() -> None:
    """Stand in for the cancel function of a call that has none."""
