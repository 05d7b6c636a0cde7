"""The entry host on the users' platform: sockets and timers round the core.

It loads only what this mode needs, since it has to serve within a fraction
of a second after a loss of power.
"""

import gc
import random
import signal
import socket

from vanilladrum.core import address as addresses
from vanilladrum.core import backend as backends
from vanilladrum.core import errors
from vanilladrum.core import flow as flows
from vanilladrum.core import flowhost
from vanilladrum.core import neighbours
from vanilladrum.daemons import checks
from vanilladrum.daemons import flow_metrics
from vanilladrum.daemons import lines
from vanilladrum.daemons import store_follower
from vanilladrum.platform import mirror as mirrors
from vanilladrum.platform import objects
from vanilladrum.platform import packet as packets
from vanilladrum.platform import ready
from vanilladrum.platform import settings as node_settings
from vanilladrum.platform import store as stores
from vanilladrum.wire import datagrams
from vanilladrum.wire import digests
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# Shortest time between two looks at what is due, in seconds; a fraction of
# the shortest wait for an answer.
TICK_SECONDS = 0.01
# How often the settings file is looked at, in seconds: it may change without
# a signal.
SETTINGS_SECONDS = 2.0
METRICS_PATH = "/metrics"
# A starting host waits so long, in seconds, for another one that it may
# follow before it asks the store.
MEET_SECONDS = 0.03
# Changes of servers are gathered for so long, in seconds: a sixth of the time
# in which a leaving server may still be sent work.
SERVERS_PAUSE_SECONDS = 0.5
# Routers look twice a second and stop sending after two misses.
ROUTERS_NOTICE_SECONDS = 1.5
# Without a packet for so long the routers have stopped sending.
CALM_SECONDS = 0.5
# Kept free before the platform kills a process that stops.
GRACE_RESERVE_SECONDS = 0.5


class FlowHostDaemon:
    """One entry host, from its start until SIGTERM.

    :param settings: what the platform told this process.
    :param bound: socket at which packets wait until they can be served.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        log: lines.EventLog,
        bound: socket.socket,
    ) -> None:
        self.settings = settings
        self.log = log
        self.loop = loops.Loop(self._failed)
        rng = random.Random()
        self.neighbours = neighbours.Neighbours(
            settings.peer,
            flowhost.number_of(settings.data_centre),
            rng,
            settings.seeds,
        )
        self.core = flowhost.FlowHost(
            settings.data_centre, self.neighbours, rng, settings.flow_lifetime
        )
        self.digest_sent = float("-inf")
        self.digest_open: dict[int, int] = {}
        self.checks = checks.Checks(self.loop, self.core, self.log)
        self.mirror = mirrors.Mirror(self.loop)
        self.mirror_endpoint: httpd.HttpEndpoint | None = None
        self.sources: store_follower.Sources | None = None
        self.metrics: httpd.HttpEndpoint | None = None
        self.settings_looked = self.loop.now()
        self.settings_modified = node_settings.modified(node_settings.path())
        self.following = False
        self.has_servers = False
        self.tick_at = float("inf")
        self.asked_to_stop = False
        self.asked_to_reload = False
        self.stopping_since: float | None = None
        self.last_packet = 0.0
        self.endpoint = datagrams.Datagrams(self.loop, bound, self._received)
        self.peers: datagrams.Datagrams | None = None
        self.readiness: httpd.HttpEndpoint | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether new flows are wanted here."""
        known = self.core.configuration.generation and self.has_servers
        return bool(known) and self.stopping_since is None

    def run(self) -> None:
        """Serve until SIGTERM, then let the routers turn away.

        :raises SettingsError: when an endpoint cannot be bound.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop_asked)
        signal.signal(signal.SIGHUP, self._reload_asked)
        self.peers = datagrams.Datagrams.bind(
            self.loop, self.settings.peer, self._digest_received
        )
        self._follow_store()
        self._send_digest(self.loop.now())
        self.readiness = ready.serve(
            self.loop, self.settings.readiness, lambda: self.is_ready
        )
        if self.settings.metrics is not None:
            self.metrics = httpd.HttpEndpoint(
                self.loop, {METRICS_PATH: self._answer_metrics}
            )
            self.metrics.listen(self.settings.metrics)
        self._tick()
        self.log.event("started", seeds=len(self.settings.seeds))
        self.loop.run()
        self.readiness.close()
        self.endpoint.close()
        self.peers.close()
        self.mirror_endpoint.close()
        if self.metrics is not None:
            self.metrics.close()
        self.log.event("stopped")
        self.log.flush()

    def _answer_metrics(self, request: httpd.Request) -> None:
        gauges = {
            "ready": self.is_ready,
            "store_away": self.sources.contact.away,
            "store_calls": self.sources.contact.store.calls,
            "watching": self.sources.watching,
            "servers_revision": self.mirror.revision(objects.SERVER_KIND),
            "datagrams_unsent": self.endpoint.unsent + self.peers.unsent,
            "lines_dropped": self.log.writer.dropped,
        }
        page = flow_metrics.page(self.core, gauges)
        request.answer(httpd.Answer(200, page.encode()))

    def _follow_store(self) -> None:
        store = stores.Store(
            self.loop, self.settings.store, store_follower.STORE_TIMEOUT
        )
        contact = store_follower.Contact(self.loop, store, self.log)
        sources = store_follower.Sources(
            self.loop, contact, self.neighbours, self.mirror
        )
        self.sources = sources
        store_follower.Follower(
            sources,
            objects.SERVER_KIND,
            self._servers_listed,
            self._server_changed,
            SERVERS_PAUSE_SECONDS,
        )
        store_follower.Follower(
            sources,
            objects.CONFIGURATION_KIND,
            self._configurations_listed,
            self._configuration_changed,
        )
        self.mirror_endpoint = httpd.HttpEndpoint(
            self.loop, mirrors.serve(self.mirror)
        )
        self.mirror_endpoint.listen(self.settings.peer)
        contact.start()
        self.loop.after(MEET_SECONDS, self._begin_to_follow)

    def _begin_to_follow(self) -> None:
        """Ask whoever is to be followed; nobody was asked before."""
        self.sources.tick()
        if self.sources.following is None:
            for follower in self.sources.followers:
                follower.restart()
        self.following = True

    def _failed(self, error: Exception) -> None:
        """Log a fault of this program and go on.

        A packet that brings one about would otherwise end one host after
        the other.
        """
        # Loaded when needed: it would slow every start.
        import traceback

        self.core.counters["internal_errors"] += 1
        where = traceback.extract_tb(error.__traceback__)[-1]
        self.log.event(
            "internal error",
            error=repr(error),
            file=where.filename,
            line=where.lineno,
        )

    def _open_for_packets(self) -> None:
        """Read packets as soon as it is known where they go.

        Until then they wait in the socket: an answer without knowing the
        configuration would be wrong.
        """
        if self.core.configuration.generation and self.has_servers:
            self.endpoint.open()

    # Signals

    def _stop_asked(self, *_: object) -> None:
        self.asked_to_stop = True

    def _reload_asked(self, *_: object) -> None:
        self.asked_to_reload = True

    def _tick(self) -> None:
        now = self.loop.now()
        try:
            self._do_what_is_due(now)
        finally:
            self.log.flush()
            self.tick_at = float("inf")
            due = min(self.core.next_due(now), self._digest_due())
            self._tick_by(due)

    def _do_what_is_due(self, now: float) -> None:
        self.core.unsettled = self.sources.unsettled
        for attempt in self.core.tick(now):
            self._log_silence(attempt)
        for server in self.core.due_checks(now):
            self.checks.start(server)
        if self.following:
            self.sources.tick()
            self.mirror.tick()
        self._send_digest(now)
        if self.asked_to_reload or self._settings_changed(now):
            self.asked_to_reload = False
            self._reload()
        if self.asked_to_stop:
            self._stop(now)

    def _tick_by(self, due: float) -> None:
        """Tick at a time, unless that is to happen earlier anyway."""
        now = self.loop.now()
        due = max(due, now + TICK_SECONDS)
        if due >= self.tick_at:
            return
        self.tick_at = due
        self.loop.after(due - now, self._tick_due)

    def _tick_due(self) -> None:
        # An earlier timer has ticked in the meantime.
        if self.loop.now() >= self.tick_at:
            self._tick()

    def _log_silence(self, attempt: flowhost.SilentAttempt) -> None:
        limit = self.core.evidence.round_trip.limit()
        self.log.event(
            "server ejected" if attempt.ejects else "silent attempt",
            flow=packets.endpoints(attempt.key),
            server=attempt.server.name,
            waited=round(attempt.waited, 4),
            answer_limit=round(limit, 4),
        )

    def _settings_changed(self, now: float) -> bool:
        if now - self.settings_looked < SETTINGS_SECONDS:
            return False
        self.settings_looked = now
        before = self.settings_modified
        self.settings_modified = node_settings.modified(node_settings.path())
        return before != self.settings_modified

    def _reload(self) -> None:
        try:
            offered = node_settings.read(node_settings.path())
        except errors.SettingsError as error:
            self.log.event("settings refused", reason=str(error))
            return
        fixed = (self.settings.flows, self.settings.readiness)
        if fixed != (offered.flows, offered.readiness):
            self.log.event(
                "settings refused",
                reason="endpoints cannot move; start the process again",
            )
            return
        self.settings = offered
        self.log.event("settings reloaded")

    def _stop(self, now: float) -> None:
        """Go on forwarding until the routers send no more packets."""
        if self.stopping_since is None:
            self.stopping_since = now
            open_flows = len(self.core.table.flows)
            self.log.event("stopping", open_flows=open_flows)
        lasted = now - self.stopping_since
        calm = now - self.last_packet >= CALM_SECONDS
        latest = self.settings.grace - GRACE_RESERVE_SECONDS
        if lasted >= latest or calm and lasted >= ROUTERS_NOTICE_SECONDS:
            self.loop.stop()

    # Other entry hosts

    def _send_digest(self, now: float) -> None:
        if now < self._digest_due():
            return
        self.digest_sent = now
        self.digest_open = dict(self.core.table.open)
        leaving = self.stopping_since is not None
        digest = self.core.make_digest(
            leaving,
            self.sources.watching and not leaving,
            self.sources.contact.away,
            self.mirror.revision(objects.SERVER_KIND),
        )
        datagram = digests.encode(digest)
        for host in self.neighbours.receivers(now):
            self.peers.send(datagram, host)

    def _digest_due(self) -> float:
        changed = self.digest_open != self.core.table.open
        cadence = self.neighbours.cadence
        pause = cadence.period if changed else cadence.idle_period
        return self.digest_sent + pause

    def _digest_received(
        self, datagram: bytes, source: tuple[str, int]
    ) -> None:
        try:
            digest = digests.decode(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        sender = addresses.Address(*source)
        if self.neighbours.hear(sender, digest, self.loop.now()):
            self.log.event("entry host heard", peer=sender)
            # It may wait for somebody to follow.
            self.digest_sent = float("-inf")
            self._send_digest(self.loop.now())

    # Packets

    def _received(self, datagram: bytes, _: tuple[str, int]) -> None:
        try:
            packet = packets.decode(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        now = self.loop.now()
        self.last_packet = now
        decision = self.core.receive(packet, now)
        if type(decision) is flows.Forward:
            self._forward(packet, decision.server)
            return
        self.core.counters[decision.reason] += 1
        if type(decision) is flows.Reset:
            self._reset(packet)
        if self.log.wants("packet refused"):
            self.log.event(
                "packet refused",
                flow=packets.endpoints(packet.key),
                decision=type(decision).__name__,
                reason=decision.reason,
                tag=packet.tag,
                generation=self.core.configuration.generation,
                revision=self.mirror.revision(objects.SERVER_KIND),
            )

    def _forward(self, packet: flows.Packet, server: backends.Backend) -> None:
        datagram = packets.to_server(packet, server.identity, server.tag)
        self.endpoint.send(datagram, server.address)
        self.core.counters["packets"] += 1
        if packet.opens:
            self._opened(packet, server)
        else:
            self._name_request(packet, server)

    def _opened(self, packet: flows.Packet, server: backends.Backend) -> None:
        now = self.loop.now()
        self.core.counters["first_packets"] += 1
        self._tick_by(self.core.next_due(now))
        if not self.log.wants("flow"):
            return
        self.log.event(
            "flow",
            flow=packets.endpoints(packet.key),
            server=server.name,
            copies=packet.copies,
            load=self.core.open_flows(server.tag),
            standing=self.core.evidence.standing(server, now).name,
            pace=round(self.core.pace.of(server, now), 2),
            generation=self.core.configuration.generation,
            revision=self.mirror.revision(objects.SERVER_KIND),
        )

    def _name_request(
        self, packet: flows.Packet, server: backends.Backend
    ) -> None:
        """Log which request a flow carries, once."""
        flow = self.core.table.find(packet.key)
        if flow is None or flow.named or not packets.has_data(packet):
            return
        flow.named = True
        if not self.log.wants("request"):
            return
        self.log.event(
            "request",
            request=packets.request_id(packet),
            flow=packets.endpoints(packet.key),
            server=server.name,
        )

    def _reset(self, packet: flows.Packet) -> None:
        caller = packets.caller(packet)
        # Routers take packets for callers at the port of this socket.
        to = addresses.Address(caller.host, self.settings.flows.port)
        self.endpoint.send(packets.reset(packet), to)

    # Configuration and servers

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
        self._open_for_packets()

    def _servers_listed(self, listed: tuple[objects.Stored, ...]) -> None:
        names = {each.name for each in listed}
        for name in list(self.core.directory.servers):
            if name not in names:
                self._lose_server(name)
        for each in listed:
            self._server_changed(each)
        self.has_servers = True
        self._open_for_packets()

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


def run(settings: node_settings.NodeSettings, bound: socket.socket) -> None:
    """Run an entry host.

    :raises SettingsError: when an endpoint cannot be bound.
    """
    log = lines.open_log(host=settings.name)
    gc.freeze()
    FlowHostDaemon(settings, log, bound).run()
