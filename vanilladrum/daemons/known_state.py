"""Configuration and servers as this host knows them, and passes them on."""

from collections.abc import Callable

from vanilladrum.core import errors
from vanilladrum.core import flowhost
from vanilladrum.daemons import contact as contacts
from vanilladrum.daemons import lines
from vanilladrum.daemons import store_follower
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import settings as node_settings
from vanilladrum.platform import store as stores
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# A starting host waits so long, in seconds, for another one that it may
# follow before it asks the store.
MEET_SECONDS = 0.03


class KnownState:
    """Feeds the core with what the store, or another host, says.

    :param on_known: told when configuration and servers are both known.
    """

    def __init__(
        self,
        loop: loops.Loop,
        settings: node_settings.NodeSettings,
        core: flowhost.FlowHost,
        log: lines.EventLog,
        on_known: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.core = core
        self.log = log
        self.on_known = on_known
        self.has_servers = False
        self.following = False
        self.mirror = mirrors.Mirror(loop)
        store = stores.Store(
            loop, settings.store, store_follower.STORE_TIMEOUT
        )
        self.contact = contacts.Contact(loop, store, log)
        self.sources = store_follower.Sources(
            loop,
            self.contact,
            core.neighbours,
            self.mirror,
            lambda: core.configuration.generation,
        )
        store_follower.Follower(
            self.sources,
            objects.SERVER_KIND,
            self._servers_listed,
            self._server_changed,
            gathers=True,
        )
        store_follower.Follower(
            self.sources,
            objects.CONFIGURATION_KIND,
            self._configurations_listed,
            self._configuration_changed,
        )
        self.endpoint = httpd.HttpEndpoint(loop, mirrors.serve(self.mirror))
        self.endpoint.listen(settings.peer)

    @property
    def known(self) -> bool:
        """Return whether it is known where packets go."""
        return bool(self.core.configuration.generation) and self.has_servers

    @property
    def revision(self) -> int:
        """Return the store's revision up to which servers are known."""
        return self.mirror.revision(objects.SERVER_KIND)

    def start(self) -> None:
        """Follow somebody soon."""
        self.contact.start()
        self.loop.after(MEET_SECONDS, self._begin)

    def tick(self) -> None:
        """Look whom to follow, and what waits here for a change."""
        self.core.unsettled = self.sources.unsettled
        if self.following:
            self.sources.tick()
            self.mirror.tick()

    def close(self) -> None:
        """Pass nothing on any more."""
        self.endpoint.close()

    def _begin(self) -> None:
        self.following = True
        self.sources.begin()

    def _look_whether_known(self) -> None:
        if self.known:
            self.on_known()

    def _configurations_listed(
        self, listed: tuple[objects.Stored, ...]
    ) -> None:
        for each in listed:
            self._configuration_changed(each)

    def _configuration_changed(self, changed: objects.Stored) -> None:
        if changed.name != objects.CONFIGURATION_NAME or changed.deleted:
            return
        try:
            offered = objects.configuration(changed)
        except errors.PlatformError as error:
            self.log.event("configuration refused", reason=str(error))
            return
        before = self.core.configuration.generation
        adopted = self.core.configure(offered)
        self.log.event(
            "configuration adopted" if adopted else "configuration kept",
            offered=offered.generation,
            before=before,
            routes=len(offered.routes),
            revision=changed.revision,
        )
        self._look_whether_known()

    def _servers_listed(self, listed: tuple[objects.Stored, ...]) -> None:
        names = {each.name for each in listed}
        for name in list(self.core.directory.servers):
            if name not in names:
                self._lose_server(name)
        for each in listed:
            self._server_changed(each)
        self.has_servers = True
        self._look_whether_known()

    def _server_changed(self, changed: objects.Stored) -> None:
        if changed.deleted:
            self._lose_server(changed.name)
            return
        try:
            server = objects.server(changed)
        except errors.PlatformError as error:
            self.log.event("server refused", reason=str(error))
            self._lose_server(changed.name)
            return
        known = self.core.directory.servers.get(server.name)
        self.core.directory.put(server)
        if known is None or known.state is not server.state:
            self.log.event(
                "server",
                server=server.name,
                state=server.state.value,
                service=server.service,
                revision=changed.revision,
            )

    def _lose_server(self, name: str) -> None:
        self.core.lose_server(name, self.loop.now())
        self.log.event(
            "server entry gone", server=name, unsettled=self.core.unsettled
        )
