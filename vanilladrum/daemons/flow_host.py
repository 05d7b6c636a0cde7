"""The entry host on the users' platform: its life from start to stop.

It loads only what this mode needs, since it has to serve within a fraction
of a second after a loss of power.
"""

import gc
import random
import signal
import socket

from vanilladrum.core import errors
from vanilladrum.core import flowhost
from vanilladrum.core import neighbours
from vanilladrum.daemons import checks
from vanilladrum.daemons import digest_exchange
from vanilladrum.daemons import flow_metrics
from vanilladrum.daemons import known_state
from vanilladrum.daemons import lines
from vanilladrum.daemons import packet_path
from vanilladrum.platform import packet as packets
from vanilladrum.platform import ready
from vanilladrum.platform import settings as node_settings
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# Shortest time between two looks at what is due, in seconds; a fraction of
# the shortest wait for an answer.
TICK_SECONDS = 0.01
# How often the settings file is looked at, in seconds: it may change without
# a signal.
SETTINGS_SECONDS = 2.0
METRICS_PATH = "/metrics"
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
    :raises SettingsError: when an endpoint cannot be bound.
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
        self.core = _make_core(settings)
        self.state = known_state.KnownState(
            self.loop, settings, self.core, log, self._known
        )
        self.path = packet_path.PacketPath(
            self.loop, bound, self.core, self.state, log, self._first_packet
        )
        self.exchange = digest_exchange.DigestExchange(
            self.loop, settings.peer, self.core, self.state, log
        )
        self.checks = checks.Checks(self.loop, self.core, log)
        self.readiness = ready.serve(
            self.loop, settings.readiness, lambda: self.is_ready
        )
        self.metrics = httpd.HttpEndpoint(
            self.loop, {METRICS_PATH: self._answer_metrics}
        )
        if settings.metrics is not None:
            self.metrics.listen(settings.metrics)
        self.settings_looked = self.loop.now()
        self.settings_modified = node_settings.modified(node_settings.path())
        self.tick_at = float("inf")
        self.asked_to_stop = False
        self.asked_to_reload = False
        self.stopping_since: float | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether new flows are wanted here."""
        return self.state.known and self.stopping_since is None

    def run(self) -> None:
        """Serve until SIGTERM, then let the routers turn away."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop_asked)
        signal.signal(signal.SIGHUP, self._reload_asked)
        self.state.start()
        self._tick()
        self.log.event("started", seeds=len(self.settings.seeds))
        self.loop.run()
        for part in (
            self.readiness,
            self.path,
            self.exchange,
            self.state,
            self.metrics,
        ):
            part.close()
        self.log.event("stopped")
        self.log.flush()

    def _known(self) -> None:
        # Until now packets waited in the socket: an answer without knowing
        # the configuration would have been wrong.
        self.path.open()

    def _first_packet(self) -> None:
        self._tick_by(self.core.next_due(self.loop.now()))

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

    def _answer_metrics(self, request: httpd.Request) -> None:
        unsent = self.path.socket.unsent + self.exchange.socket.unsent
        gauges = {
            "ready": float(self.is_ready),
            "store_away": float(self.state.contact.away),
            "store_calls": float(self.state.contact.store.calls),
            "watching": float(self.state.sources.watching),
            "servers_revision": float(self.state.revision),
            "datagrams_unsent": float(unsent),
            "lines_dropped": float(self.log.writer.dropped),
        }
        page = flow_metrics.page(self.core, gauges)
        request.answer(httpd.Answer(200, page.encode()))

    # What is due

    def _tick(self) -> None:
        now = self.loop.now()
        try:
            self._do_what_is_due(now)
        finally:
            self.log.flush()
            self.tick_at = float("inf")
            self._tick_by(min(self.core.next_due(now), self.exchange.due()))

    def _do_what_is_due(self, now: float) -> None:
        self.state.tick()
        for attempt in self.core.tick(now):
            self._log_silence(attempt)
        for server in self.core.due_checks(now):
            self.checks.start(server)
        self.exchange.tick(now)
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

    # Signals and settings

    def _stop_asked(self, *_: object) -> None:
        self.asked_to_stop = True

    def _reload_asked(self, *_: object) -> None:
        self.asked_to_reload = True

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
            self.exchange.leaving = True
            open_flows = len(self.core.table.flows)
            self.log.event("stopping", open_flows=open_flows)
        lasted = now - self.stopping_since
        calm = now - self.path.last_packet >= CALM_SECONDS
        latest = self.settings.grace - GRACE_RESERVE_SECONDS
        if lasted >= latest or calm and lasted >= ROUTERS_NOTICE_SECONDS:
            self.loop.stop()


def _make_core(settings: node_settings.NodeSettings) -> flowhost.FlowHost:
    rng = random.Random()
    known = neighbours.Neighbours(
        settings.peer,
        flowhost.number_of(settings.data_centre),
        rng,
        settings.seeds,
    )
    return flowhost.FlowHost(
        settings.data_centre, known, rng, settings.flow_lifetime
    )


def run(settings: node_settings.NodeSettings, bound: socket.socket) -> None:
    """Run an entry host.

    :raises SettingsError: when an endpoint cannot be bound.
    """
    log = lines.open_log(host=settings.name)
    gc.freeze()
    FlowHostDaemon(settings, log, bound).run()
