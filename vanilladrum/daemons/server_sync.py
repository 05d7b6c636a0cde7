"""Applies the entries of backend servers to the core.

A restored store lists older entries until the servers write again. Newer ones
that were read before the restore stay in use meanwhile.
"""

from vanilladrum.core import backend as backends
from vanilladrum.core import entry_order
from vanilladrum.core import errors
from vanilladrum.core import flowhost
from vanilladrum.daemons import json_log
from vanilladrum.platform import objects
from vanilladrum.wire import loop as loops

# The store removes an entry whose server has missed this many heartbeats.
MISSED_HEARTBEATS = 3
# Time in seconds for the removal to reach this host.
REMOVAL_MARGIN_SECONDS = 0.4


class ServerSync:
    """Applies lists and changes of servers to the core.

    :param heartbeat: interval in seconds at which servers write their entries.
    :param has_servers: whether the servers were listed at least once.
    :param expiry_seconds: time after which the entry of a server that has
        gone is removed from the store and this host has noticed it.
    """

    def __init__(
        self,
        loop: loops.Loop,
        core: flowhost.FlowHost,
        log: json_log.EventLog,
        heartbeat: float,
    ) -> None:
        self.loop = loop
        self.core = core
        self.log = log
        self.has_servers = False
        self.expiry_seconds = (
            MISSED_HEARTBEATS * heartbeat + REMOVAL_MARGIN_SECONDS
        )
        self._entry_order = entry_order.EntryOrder()
        # Restored entries of servers that had gone, by name.
        self._withheld: dict[str, objects.StoredObject] = {}
        # Era of the last list, and until when a list of that era may have
        # entries from before it.
        self._era = 0
        self._outdated_until = float("-inf")

    def apply_listing(
        self, listed: tuple[objects.StoredObject, ...], era: int
    ) -> None:
        """Apply a list of all servers.

        The first list is logged as a whole, because a line for each of
        hundreds of servers would delay the first packet.

        :param era: era of the list.
        """
        self._enter_era(era)
        names = {each.name for each in listed}
        for name in self._withheld.keys() - names:
            del self._withheld[name]
        directory = self.core.directory
        for name in (*directory.servers, *directory.superseded):
            if name not in names:
                self._remove(name, era)
        for each in listed:
            self._apply_listed(each)
        self.has_servers = True

    def apply_change(self, changed: objects.StoredObject) -> None:
        """Apply a change, which was written in the present era."""
        server = self._parse(changed)
        if server is not None:
            self._use(server, changed)

    def _enter_era(self, era: int) -> None:
        if era <= self._era:
            return
        self._era = era
        self._outdated_until = self.loop.now() + self.expiry_seconds

    def _apply_listed(self, listed: objects.StoredObject) -> None:
        """Apply an entry that may have been written before a restore."""
        server = self._parse(listed)
        if server is None:
            return
        if self.loop.now() >= self._outdated_until:
            self._use(server, listed)
            return
        if self._entry_order.is_older(server, listed.era):
            self.log.event("server kept", server=server.name, era=listed.era)
            self.core.directory.cancel_removal(server.name)
            return
        if self._entry_order.is_removed(server, listed.era):
            self._withhold(listed)
            return
        self._use(server, listed)

    def _parse(self, entry: objects.StoredObject) -> backends.Backend | None:
        """Return the server of an entry; remove it if there is none."""
        if entry.deleted:
            self._remove(entry.name, entry.era)
            return None
        try:
            return objects.parse_server(entry)
        except errors.PlatformError as error:
            self.core.counters["entries_refused"] += 1
            self.log.event("server refused", reason=str(error))
            self._remove(entry.name, entry.era)
            return None

    def _withhold(self, entry: objects.StoredObject) -> None:
        """Do not use a restored entry until it would have expired.

        A server that is alive writes a newer one. The store removes the entry
        of a server that has gone; if it is still there after that time, its
        server is alive too.
        """
        withheld = self._withheld.get(entry.name)
        if withheld is not None and withheld.era == entry.era:
            return
        self._withheld[entry.name] = entry
        self.log.event("server withheld", server=entry.name, era=entry.era)
        self.loop.after(self.expiry_seconds, lambda: self._use_withheld(entry))

    def _use_withheld(self, entry: objects.StoredObject) -> None:
        """Use an entry that was neither removed nor lost by a restore."""
        if self._withheld.get(entry.name) is entry:
            self._use(objects.parse_server(entry), entry)

    def _use(
        self, server: backends.Backend, entry: objects.StoredObject
    ) -> None:
        self._withheld.pop(server.name, None)
        self._entry_order.record(server, entry.era)
        previous = self.core.directory.servers.get(server.name)
        self.core.handle_entry(server)
        became_cold = self._count_warm_up(server)
        if not self.has_servers:
            return
        if became_cold:
            self.log.event(
                "server cold", server=server.name, seconds=server.warm_up
            )
        if previous is None or previous.state is not server.state:
            self.log.event(
                "server",
                server=server.name,
                state=server.state.value,
                service=server.service,
                revision=entry.revision,
            )

    def _count_warm_up(self, server: backends.Backend) -> bool:
        """Count down the warm-up of an entry that has changed.

        :returns: whether the server was not cold before.
        """
        warm_up = self.core.warm_up
        directory = self.core.directory
        known = directory.servers.get(server.name)
        if known is None:
            known = directory.superseded.get(server.name)
        # A list may repeat an entry that arrived earlier.
        is_repeated = known is not server
        if warm_up is None or is_repeated:
            return False
        return warm_up.update_entry(server, self.loop.now())

    def _remove(self, name: str, era: int) -> None:
        self._withheld.pop(name, None)
        self._entry_order.record_removal(name, era)
        is_used = name in self.core.directory.servers
        self.core.handle_removed_entry(name, self.loop.now())
        if not is_used:
            return
        self.log.event(
            "server entry gone",
            server=name,
            unsettled=self.core.entries_may_return,
        )
