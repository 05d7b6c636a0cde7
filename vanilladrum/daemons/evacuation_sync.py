"""Applies evacuations of data centres from the store to the core."""

from collections.abc import Callable

from vanilladrum.core.evacuation import evacuations as evacuation_tables
from vanilladrum.core import flowhost
from vanilladrum.core import position as positions
from vanilladrum.daemons import flow_metrics
from vanilladrum.daemons import json_log
from vanilladrum.daemons import list_watch
from vanilladrum.daemons import source_selector as source_selectors
from vanilladrum.platform import objects
from vanilladrum.wire import loop as loops

# The long poll ends this long before an evacuation has to be in force, in
# seconds. A watch whose answer was lost fails half a second after the end of
# its poll; the other half remains for the list that follows.
POLL_MARGIN_SECONDS = 1.0
# Bounds of the long poll, in seconds. Each poll at the store has a cost.
MIN_POLL_SECONDS = 0.5
MAX_POLL_SECONDS = 4.0
# A starting host that has the configuration and the servers waits for the
# evacuations this long, in seconds, before it serves without them.
MAX_START_DELAY = 0.3


class EvacuationSync:
    """Reads the evacuations and applies them.

    :param limit: seconds within which an evacuation has to be in force.
    :param hold_seconds: how long a restore of the store may hide an
        evacuation or its cancellation, in seconds.
    :param known_names: data centres that exist, with or without servers.
    :param on_settled: called when the evacuations are known, or when a
        starting host has waited for them long enough.
    :param max_change_bytes: size of a change above which the evacuations are
        listed instead, None for no limit.
    :param is_settled: whether one of both is the case.
    """

    def __init__(
        self,
        loop: loops.Loop,
        core: flowhost.FlowHost,
        log: json_log.EventLog,
        source_selector: source_selectors.SourceSelector,
        limit: float,
        hold_seconds: float,
        known_names: frozenset[str],
        on_settled: Callable[[], None],
        max_change_bytes: int | None = None,
    ) -> None:
        self.loop = loop
        self.core = core
        self.log = log
        self.source_selector = source_selector
        self.known_names = known_names
        self.on_settled = on_settled
        self.is_settled = False
        self.evacuations = evacuation_tables.Evacuations(hold_seconds)
        self._servers_known = False
        # Names in force that were logged, either as in force or as ignored.
        self._announced: set[str] = set()
        self._ignored: set[str] = set()
        list_watch.ListWatcher(
            source_selector,
            objects.EVACUATION_KIND,
            self._listed,
            self._changed,
            watch_seconds=poll_seconds(limit),
            is_required=False,
            max_change_bytes=max_change_bytes,
        )

    def servers_known(self) -> None:
        """Start to wait for the evacuations, if not done yet.

        Called when the configuration and the servers are known. Only then can
        the names be compared with the data centres of the servers.
        """
        if self._servers_known:
            return
        self._servers_known = True
        if not self.is_settled:
            self.loop.after(MAX_START_DELAY, self._stop_waiting)

    def tick(self) -> None:
        """End what a restore has held long enough; judge the isolation."""
        now = self.loop.now()
        self._apply(now)
        store_monitor = self.source_selector.store_monitor
        store_monitor.in_doubt = self.core.evacuation.may_be_isolated()
        no_path = store_monitor.unreachable and not store_monitor.refused
        if self.core.evacuation.update(no_path, now):
            suspended = self.core.evacuation.uses_own_servers
            self.log.event(
                "evacuation suspended" if suspended else "evacuation resumed",
                data_centre=self.core.data_centre,
                reason="isolated" if suspended else "connected",
            )

    def gauges(self) -> dict[str, float]:
        """Return for each evacuated data centre the seconds since then."""
        now = self.loop.now()
        return {
            f'evacuated{{data_centre="{flow_metrics.escape(name)}"}}': (
                now - since
            )
            for name, since in self.core.evacuation.in_force.items()
            if self._is_known(name)
        }

    def _stop_waiting(self) -> None:
        if not self.is_settled:
            self.log.event("evacuations unknown", waited=MAX_START_DELAY)
            self._settle()

    def _settle(self) -> None:
        if not self.is_settled:
            self.is_settled = True
            self.on_settled()

    def _listed(self, listed: tuple[objects.StoredObject, ...]) -> None:
        now = self.loop.now()
        known = set(self.evacuations.by_name)
        self.evacuations.apply_listing(
            [each.name for each in listed], self._position, now
        )
        for each in listed:
            if each.name not in known:
                self._log_seen(each)
        self._apply(now)
        self._settle()

    def _changed(self, changed: objects.StoredObject) -> None:
        now = self.loop.now()
        if not changed.deleted and changed.name not in (
            self.evacuations.by_name
        ):
            self._log_seen(changed)
        self.evacuations.apply_change(
            changed.name, changed.deleted, self._position, now
        )
        self._apply(now)

    @property
    def _position(self) -> positions.StorePosition:
        return self.source_selector.mirror.position(objects.EVACUATION_KIND)

    def _apply(self, now: float) -> None:
        names = self.evacuations.in_force(now)
        before = dict(self.core.evacuation.in_force)
        if before.keys() != names:
            self.core.set_evacuated(names, now)
        for name in before.keys() - names:
            self._ignored.discard(name)
            if name not in self._announced:
                continue
            self._announced.discard(name)
            self.log.event(
                "evacuation taken back",
                data_centre=name,
                seconds=round(now - before[name], 3),
                era=self._position.era,
                revision=self._position.revision,
            )
        if self._servers_known:
            self._announce(names - self._announced)

    def _announce(self, names: frozenset[str]) -> None:
        """Log the evacuations that are new, and those that have no effect."""
        for name in names:
            if self._is_known(name):
                self._announced.add(name)
                self._ignored.discard(name)
                self.log.event(
                    "evacuation in force",
                    data_centre=name,
                    era=self._position.era,
                    revision=self._position.revision,
                )
            elif name not in self._ignored:
                self._ignored.add(name)
                self.core.counters["evacuations_ignored"] += 1
                self.log.event(
                    "evacuation ignored",
                    data_centre=name,
                    reason="no data centre of this name is known",
                )

    def _is_known(self, name: str) -> bool:
        return (
            name in self.known_names
            or name in self.core.directory.data_centre_sizes
        )

    def _log_seen(self, request: objects.StoredObject) -> None:
        self.log.event(
            "evacuation seen",
            data_centre=request.name,
            era=self._position.era,
            revision=self._position.revision,
        )


def poll_seconds(limit: float) -> float:
    """Return the long-poll time for a limit; both in seconds.

    >>> poll_seconds(5.0), poll_seconds(30.0), poll_seconds(1.0)
    (4.0, 4.0, 0.5)
    """
    longest = min(limit - POLL_MARGIN_SECONDS, MAX_POLL_SECONDS)
    return max(longest, MIN_POLL_SECONDS)
