"""Updates the core from the store and serves a mirror of the store."""

from collections.abc import Callable

from vanilladrum.core import backend as backends
from vanilladrum.core import entry_order
from vanilladrum.core import errors
from vanilladrum.core import flowhost
from vanilladrum.core import position as positions
from vanilladrum.daemons import json_log
from vanilladrum.daemons import list_watch
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
# Longest interval between two ticks while other hosts or this one wait for
# an answer, in seconds; a fraction of the time that they wait beyond a watch.
BUSY_TICK_SECONDS = 0.1
# The store removes an entry whose server has missed this many heartbeats.
MISSED_HEARTBEATS = 3
# Time in seconds for the removal to reach this host.
REMOVAL_MARGIN_SECONDS = 0.4


class _WithheldEntry:
    """The entry of a server that had gone before the store was restored.

    :param entry: the entry as it was received last.
    """

    def __init__(self, entry: objects.StoredObject) -> None:
        self.entry = entry


class StateSync:
    """Applies configurations and servers from the store to the core.

    They come from the store itself or from another entry host, and are
    served to other entry hosts over HTTP.

    :param on_known: called after each configuration and list of servers, if
        both the configuration and the servers are known.
    :param has_servers: whether the servers were listed at least once.
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
        self.has_servers = False
        # The object that contained the configuration in force.
        self._configuration: objects.StoredObject | None = None
        self._entry_order = entry_order.EntryOrder()
        self._withheld: dict[str, _WithheldEntry] = {}
        self._expiry_seconds = (
            MISSED_HEARTBEATS * settings.heartbeat + REMOVAL_MARGIN_SECONDS
        )
        # Era of the last list of servers, and until when a list of that era
        # may have entries from before it.
        self._servers_era = 0
        self._outdated_until = 0.0
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
            self._server_changed,
            batches_changes=True,
        )
        list_watch.ListWatcher(
            self.source_selector,
            objects.CONFIGURATION_KIND,
            self._configurations_listed,
            self._configuration_changed,
            is_versioned=True,
        )
        self.endpoint = httpd.HttpEndpoint(loop, mirrors.serve(self.mirror))
        self.endpoint.listen(settings.peer)

    @property
    def is_complete(self) -> bool:
        """Return whether the configuration and the servers are known."""
        return bool(self.core.configuration.generation) and self.has_servers

    @property
    def servers_position(self) -> positions.StorePosition:
        """Return the position of the store up to which servers are known."""
        return self.mirror.position(objects.SERVER_KIND)

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

    def next_tick_at(self, now: float) -> float:
        """Return when :meth:`tick` has to be called next, at the latest.

        :param now: monotonic seconds.
        :returns: monotonic seconds; infinite if nothing is pending.
        """
        is_waiting = self.store_monitor.unreachable or not self.is_complete
        if is_waiting or self.mirror.has_pending_watches:
            return now + BUSY_TICK_SECONDS
        return float("inf")

    def close(self) -> None:
        """Stop serving other entry hosts."""
        self.endpoint.close()

    def _start_following(self) -> None:
        self.follows_source = True
        self.source_selector.start()

    def _notify_if_known(self) -> None:
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
        names = {each.name for each in listed}
        for name in self._withheld.keys() - names:
            del self._withheld[name]
        era = self.servers_position.era
        if era > self._servers_era:
            self._servers_era = era
            self._outdated_until = self.loop.now() + self._expiry_seconds
        for name in list(self.core.directory.servers):
            if name not in names:
                self._remove_server(name, era)
        for each in listed:
            self._update_server(each, self.has_servers, is_listed=True)
        self.has_servers = True
        self.log.event(
            "servers listed",
            servers=len(self.core.directory.servers),
            era=era,
            revision=self.servers_position.revision,
        )
        self._notify_if_known()

    def _server_changed(self, changed: objects.StoredObject) -> None:
        self._update_server(changed, is_logged=True, is_listed=False)

    def _update_server(
        self, changed: objects.StoredObject, is_logged: bool, is_listed: bool
    ) -> None:
        """Apply the entry of a server.

        :param is_logged: whether a change of its state is logged. The first
            list is logged as a whole, because a line for each of hundreds of
            servers would delay the first packet.
        :param is_listed: whether the entry is from a list. A change was
            written in the present era, but a listed entry may be from before
            a restore.
        """
        if changed.deleted:
            self._remove_server(changed.name, changed.era)
            return
        try:
            server = objects.parse_server(changed)
        except errors.PlatformError as error:
            self.log.event("server refused", reason=str(error))
            self._remove_server(changed.name, changed.era)
            return
        if is_listed and self.loop.now() < self._outdated_until:
            if self._keep_or_withhold(server, changed):
                return
        self._use_server(server, changed, is_logged)

    def _keep_or_withhold(
        self, server: backends.Backend, listed: objects.StoredObject
    ) -> bool:
        """Return whether a listed entry is outdated and not to be used."""
        if self._entry_order.is_older(server, listed.era):
            self.log.event("server kept", server=server.name, era=listed.era)
            self.core.directory.cancel_removal(server.name)
            return True
        if self._entry_order.is_removed(server, listed.era):
            self._withhold(listed)
            return True
        return False

    def _withhold(self, entry: objects.StoredObject) -> None:
        """Do not use a restored entry until it would have expired.

        A server that is alive writes a newer one. The store removes the entry
        of a server that has gone; if it is still there after that time, its
        server is alive too.
        """
        known = self._withheld.get(entry.name)
        if known is not None and known.entry.era == entry.era:
            known.entry = entry
            return
        withheld = _WithheldEntry(entry)
        self._withheld[entry.name] = withheld
        self.log.event("server withheld", server=entry.name, era=entry.era)
        self.loop.after(
            self._expiry_seconds, lambda: self._use_withheld(withheld)
        )

    def _use_withheld(self, withheld: _WithheldEntry) -> None:
        """Use an entry that was neither removed nor lost by a restore."""
        entry = withheld.entry
        if self._withheld.get(entry.name) is withheld:
            self._use_server(objects.parse_server(entry), entry, True)

    def _use_server(
        self,
        server: backends.Backend,
        changed: objects.StoredObject,
        is_logged: bool,
    ) -> None:
        self._withheld.pop(server.name, None)
        self._entry_order.record(server, changed.era)
        previous = self.core.directory.servers.get(server.name)
        self.core.directory.update(server)
        if not is_logged:
            return
        if previous is None or previous.state is not server.state:
            self.log.event(
                "server",
                server=server.name,
                state=server.state.value,
                service=server.service,
                revision=changed.revision,
            )

    def _remove_server(self, name: str, era: int) -> None:
        self._withheld.pop(name, None)
        self._entry_order.record_removal(name, era)
        self.core.handle_removed_entry(name, self.loop.now())
        self.log.event(
            "server entry gone",
            server=name,
            unsettled=self.core.entries_may_return,
        )
