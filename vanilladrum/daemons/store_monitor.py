"""Tracks whether the platform's store is reachable from this host."""

from collections.abc import Callable

from vanilladrum.core import errors
from vanilladrum.daemons import json_log
from vanilladrum.platform import store as stores
from vanilladrum.wire import loop as loops

# Delays before retries, in seconds. The first ones are a fraction of the time
# in which a configuration has to be in force; the later ones are longer
# because every call has a cost.
RETRY_DELAYS = (0.2, 0.3, 0.4, 0.6)
# A watched store is pinged when it has not answered for this long, in seconds.
IDLE_SECONDS = 1.0
# The same for a store in doubt.
DOUBT_IDLE_SECONDS = 0.25
# Entries that expired during an outage of the store are registered again
# within this time after it ends, in seconds, if their servers are alive.
REREGISTRATION_SECONDS = 2.5


class StoreMonitor:
    """Records the outcomes of store calls and pings an idle store.

    :param last_answer_at: when the store last answered, or when this host last
        started or changed its source of updates, in monotonic seconds.
    :param recovered_at: when the last outage ended, in monotonic seconds.
    :param era: number of restores of the store as far as known, 0 before the
        first answer.
    :param restored_at: when a restore was noticed last, in monotonic seconds.
    :param unreachable: whether the last call to the store failed.
    :param refused: whether the store has refused the last failed call, which
        shows that there is a path to it.
    :param watches_store: whether this host watches the store at present; only
        then is an idle store pinged.
    :param in_doubt: whether this host may be cut off from the store; it is
        then pinged even if another host is followed.
    :param on_recovered: called when the store answers after an outage.
    :param on_restored: called when an answer shows that the store was
        restored from a copy.
    """

    def __init__(
        self, loop: loops.Loop, store: stores.Store, log: json_log.EventLog
    ) -> None:
        self.loop = loop
        self.store = store
        self.log = log
        self.last_answer_at = float("-inf")
        self.recovered_at = float("-inf")
        self.era = 0
        self.restored_at = float("-inf")
        self.unreachable = False
        self.refused = False
        self.watches_store = False
        self.in_doubt = False
        self.on_recovered: Callable[[], None] = lambda: None
        self.on_restored: Callable[[], None] = lambda: None
        self._failures = 0
        self._next_ping = float("-inf")
        self._ping_pending = False

    def start(self) -> None:
        """Start measuring how long the store has been idle."""
        self.last_answer_at = self.loop.now()

    def record_success(self) -> None:
        """Record an answer of the store; it ends an outage."""
        self.last_answer_at = self.loop.now()
        self._failures = 0
        if not self.unreachable:
            return
        self.unreachable = False
        self.recovered_at = self.last_answer_at
        self.log.event("store regained")
        self.on_recovered()

    def record_era(self, era: int) -> None:
        """Record the number of restores that an answer shows.

        Answers of earlier eras are late; answers of entry hosts count too.
        """
        if era <= self.era:
            return
        before, self.era = self.era, era
        self.log.event("store era", era=era, before=before)
        if before:
            self.restored_at = self.loop.now()
            self.on_restored()

    def record_failure(self, error: errors.PlatformError) -> None:
        """Record a failed call to the store and schedule the next ping.

        The first failure begins an outage.
        """
        last = len(RETRY_DELAYS) - 1
        delay = RETRY_DELAYS[min(self._failures, last)]
        self._next_ping = self.loop.now() + delay
        self._failures += 1
        self.refused = isinstance(error, errors.StoreRejectedError)
        if self.unreachable:
            return
        self.unreachable = True
        age = self.loop.now() - self.last_answer_at
        self.log.event(
            "store lost", reason=str(error), last_answer_age=round(age, 3)
        )

    def recovered_recently(self) -> bool:
        """Return whether the store is in an outage or has just recovered.

        In that time entries that expired may still be registered again.
        """
        return (
            self.unreachable
            or self.loop.now() - self.recovered_at < REREGISTRATION_SECONDS
        )

    def restored_recently(self) -> bool:
        """Return whether the store was restored so recently.

        In that time entries that it lost may still be registered again.
        """
        return self.loop.now() - self.restored_at < REREGISTRATION_SECONDS

    def tick(self) -> None:
        """Ping the store if it was idle for too long or a retry is due."""
        now = self.loop.now()
        if (
            self._ping_pending
            or not (self._is_idle(now) or self.unreachable)
            or now < self._next_ping
        ):
            return
        self._ping_pending = True
        self.store.ping(self._on_ping_result)

    def _is_idle(self, now: float) -> bool:
        """Return whether the store has not answered for too long."""
        if self.in_doubt:
            return now - self.last_answer_at >= DOUBT_IDLE_SECONDS
        return self.watches_store and now - self.last_answer_at >= IDLE_SECONDS

    def _on_ping_result(
        self, outcome: stores.PingReply | errors.PlatformError
    ) -> None:
        self._ping_pending = False
        if isinstance(outcome, errors.PlatformError):
            self.record_failure(outcome)
            return
        self.record_era(outcome.era)
        self.record_success()
