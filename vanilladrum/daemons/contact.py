"""Tracks whether the platform's store is reachable from this host."""

from collections.abc import Callable

from vanilladrum.core import errors
from vanilladrum.daemons import lines
from vanilladrum.platform import store as stores
from vanilladrum.wire import loop as loops

# Delays before retries, in seconds. The first ones are a fraction of the time
# in which a configuration has to be in force; the later ones are longer
# because every call has a cost.
RETRY_SECONDS = (0.2, 0.3, 0.4, 0.6)
# The store is pinged when it has not answered for this long.
IDLE_SECONDS = 1.0
# Entries that expired during an outage of the store are registered again
# within this time after it ends, in seconds, if their servers are alive.
REREGISTRATION_SECONDS = 2.5


class Contact:
    """Records the outcomes of store calls and pings an idle store.

    :param heard: when the store last answered, in monotonic seconds.
    :param regained_at: when the last outage ended, in monotonic seconds.
    :param away: whether the last call failed.
    :param wanted: whether this host watches the store at present; it is
        pinged when idle only then.
    :param on_regained: called when the store answers after an outage.
    """

    def __init__(
        self, loop: loops.Loop, store: stores.Store, log: lines.EventLog
    ) -> None:
        self.loop = loop
        self.store = store
        self.log = log
        self.heard = float("-inf")
        self.regained_at = float("-inf")
        self.away = False
        self.wanted = False
        self.on_regained: Callable[[], None] = lambda: None
        self._failures = 0
        self._next_ping = float("-inf")
        self._ping_pending = False

    def start(self) -> None:
        """Start measuring how long the store has been idle."""
        self.heard = self.loop.now()

    def succeeded(self) -> None:
        """Record an answer; it ends an outage."""
        self.heard = self.loop.now()
        self._failures = 0
        if not self.away:
            return
        self.away = False
        self.regained_at = self.heard
        self.log.event("store regained")
        self.on_regained()

    def failed(self, error: errors.PlatformError) -> None:
        """Record a failed call and schedule the next ping.

        The first failure begins an outage.
        """
        last = len(RETRY_SECONDS) - 1
        delay = RETRY_SECONDS[min(self._failures, last)]
        self._next_ping = self.loop.now() + delay
        self._failures += 1
        if self.away:
            return
        self.away = True
        age = self.loop.now() - self.heard
        self.log.event(
            "store lost", reason=str(error), last_answer_age=round(age, 3)
        )

    def returned_lately(self) -> bool:
        """Return whether expired entries may still be registered again."""
        return (
            self.away
            or self.loop.now() - self.regained_at < REREGISTRATION_SECONDS
        )

    def tick(self) -> None:
        """Ping the store when it is idle, or again during an outage."""
        now = self.loop.now()
        idle = self.wanted and now - self.heard >= IDLE_SECONDS
        if (
            self._ping_pending
            or not (idle or self.away)
            or now < self._next_ping
        ):
            return
        self._ping_pending = True
        self.store.ping(self._on_ping_result)

    def _on_ping_result(self, outcome: object) -> None:
        self._ping_pending = False
        if isinstance(outcome, errors.PlatformError):
            self.failed(outcome)
        else:
            self.succeeded()
