"""Updates the core from the store and serves a mirror of the store."""

from collections.abc import Callable

from vanilladrum.core import errors
from vanilladrum.core import flowhost
from vanilladrum.core import position as positions
from vanilladrum.daemons import evacuation_sync as evacuation_syncs
from vanilladrum.daemons import json_log
from vanilladrum.daemons import list_watch
from vanilladrum.daemons import server_sync as server_syncs
from vanilladrum.daemons import source_selector as source_selectors
from vanilladrum.daemons import store_monitor
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import settings as node_settings
from vanilladrum.platform import store as stores
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# A starting host waits this long, in seconds, for the digest of a host that it
# can follow before it lists at the store.
DISCOVERY_SECONDS = 0.03
# Changes of the servers and of the evacuations that are larger than this, in
# bytes, are listed: a page of a list has one object of the platform's largest
# size, and the answer to a watch all that have changed.
MAX_ENTRY_CHANGE_BYTES = 1_500_000
# Changes of the configuration that are larger than this, in bytes, are listed:
# on a link of 5 Mbit/s more would take longer than a further call.
MAX_CHANGE_BYTES = 64_000
# Longest interval between two ticks while other hosts or this one wait for
# an answer, in seconds; a fraction of the time that they wait beyond a watch.
BUSY_TICK_SECONDS = 0.1


class StateSync:
    """Applies configurations and servers from the store to the core.

    They come from the store itself or from another entry host, and are
    served to other entry hosts over HTTP.

    :param on_known: called after each configuration and list of servers, if
        both the configuration and the servers are known.
    :param server_sync: applies the lists and changes of servers.
    :param evacuation_sync: applies the evacuations, None if the deployment has
        none.
    :param follows_source: whether a source is followed, that is, whether the
        initial wait for digests of other hosts is over.
    :raises SettingsError: when the peer endpoint cannot be bound.
    """

    def __init__(
        self,
        loop: loops.Loop,
        settings: node_settings.NodeSettings,
        core: flowhost.FlowHost,
        log: json_log.EventLog,
        on_known: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.core = core
        self.log = log
        self.on_known = on_known
        self.server_sync = server_syncs.ServerSync(
            loop, core, log, settings.heartbeat
        )
        # The object that contained the configuration in force.
        self._configuration: objects.StoredObject | None = None
        self.follows_source = False
        self.mirror = mirrors.Mirror(loop)
        store = stores.Store(
            loop, settings.store, source_selectors.STORE_TIMEOUT
        )
        self.store_monitor = store_monitor.StoreMonitor(loop, store, log)
        self.source_selector = source_selectors.SourceSelector(
            loop,
            self.store_monitor,
            core.neighbours,
            self.mirror,
            lambda: core.configuration.generation,
        )
        list_watch.ListWatcher(
            self.source_selector,
            objects.SERVER_KIND,
            self._servers_listed,
            self.server_sync.apply_change,
            batches_changes=True,
            max_change_bytes=MAX_ENTRY_CHANGE_BYTES,
        )
        list_watch.ListWatcher(
            self.source_selector,
            objects.CONFIGURATION_KIND,
            self._configurations_listed,
            self._configuration_changed,
            is_versioned=True,
            max_change_bytes=MAX_CHANGE_BYTES,
        )
        self.evacuation_sync: evacuation_syncs.EvacuationSync | None = None
        if settings.evacuation_limit is not None:
            self.evacuation_sync = evacuation_syncs.EvacuationSync(
                loop,
                core,
                log,
                self.source_selector,
                settings.evacuation_limit,
                self.server_sync.expiry_seconds,
                settings.data_centres,
                self._notify_if_known,
                MAX_ENTRY_CHANGE_BYTES,
            )
        self.endpoint = httpd.HttpEndpoint(loop, mirrors.serve(self.mirror))
        self.endpoint.listen(settings.peer)

    @property
    def is_complete(self) -> bool:
        """Return whether this host knows enough to serve.

        It needs the configuration and the servers, and waits for the
        evacuations for a limited time.
        """
        return self._servers_known and (
            self.evacuation_sync is None or self.evacuation_sync.is_settled
        )

    @property
    def _servers_known(self) -> bool:
        """Return whether the configuration and the servers are known."""
        return (
            bool(self.core.configuration.generation)
            and self.server_sync.has_servers
        )

    @property
    def servers_position(self) -> positions.StorePosition:
        """Return the position of the store up to which servers are known."""
        return self.mirror.position(objects.SERVER_KIND)

    @property
    def servers_changed_position(self) -> positions.StorePosition:
        """Return the position of the last change of servers known here."""
        return self.mirror.changed_position(objects.SERVER_KIND)

    def start(self) -> None:
        """Schedule the choice of a source after ``DISCOVERY_SECONDS``."""
        self.store_monitor.start()
        self.loop.after(DISCOVERY_SECONDS, self._start_following)

    def tick(self) -> None:
        """Update the source and answer other hosts' watches that timed out."""
        self.core.entries_may_return = self.source_selector.entries_may_return
        if self.follows_source:
            self.source_selector.tick()
            self.mirror.tick()
        if self.evacuation_sync is not None:
            self.evacuation_sync.tick()

    def next_tick_at(self, now: float) -> float:
        """Return when :meth:`tick` has to be called next, at the latest.

        :param now: monotonic seconds.
        :returns: monotonic seconds; infinite if nothing is pending.
        """
        is_waiting = self.store_monitor.unreachable or not self.is_complete
        if is_waiting or self.mirror.has_pending_watches:
            return now + BUSY_TICK_SECONDS
        return float("inf")

    def is_receiving(self) -> bool:
        """Return whether the parts of an answer arrive now."""
        return any(
            each.is_receiving() for each in self.source_selector.list_watchers
        )

    def close(self) -> None:
        """Stop serving other entry hosts."""
        self.endpoint.close()

    def _start_following(self) -> None:
        self.follows_source = True
        self.source_selector.start()

    def _notify_if_known(self) -> None:
        if self.evacuation_sync is not None and self._servers_known:
            self.evacuation_sync.servers_known()
        if self.is_complete:
            self.on_known()

    def _configurations_listed(
        self, listed: tuple[objects.StoredObject, ...]
    ) -> None:
        for each in listed:
            self._configuration_changed(each)
        self._relay_configuration()

    def _configuration_changed(self, changed: objects.StoredObject) -> None:
        if changed.name != objects.CONFIGURATION_NAME:
            return
        if changed.deleted:
            self._relay_configuration()
            return
        try:
            offered = objects.parse_configuration(changed)
        except errors.PlatformError as error:
            self.log.event("configuration refused", reason=str(error))
            self._relay_configuration()
            return
        before = self.core.configuration.generation
        adopted = self.core.configure(offered)
        if adopted:
            self._configuration = changed
        else:
            self._relay_configuration()
        self.log.event(
            "configuration adopted" if adopted else "configuration kept",
            offered=offered.generation,
            before=before,
            routes=len(offered.routes),
            era=changed.era,
            revision=changed.revision,
        )
        self._notify_if_known()

    def _relay_configuration(self) -> None:
        """Relay the configuration in force instead of the store's.

        A restored store has an older one or none for a while.
        """
        if self._configuration is not None:
            self.mirror.keep(objects.CONFIGURATION_KIND, self._configuration)

    def _servers_listed(
        self, listed: tuple[objects.StoredObject, ...]
    ) -> None:
        position = self.servers_position
        self.server_sync.apply_listing(listed, position.era)
        self.log.event(
            "servers listed",
            servers=len(self.core.directory.servers),
            era=position.era,
            revision=position.revision,
        )
        self._notify_if_known()
