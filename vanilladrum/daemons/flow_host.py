"""Entry host for flows on the users' platform, from start to planned stop.

Imports only what this mode needs, because a host has to serve within a
fraction of a second after a power failure.
"""

import gc
import os
import random
import signal
import socket

from vanilladrum.core import digest
from vanilladrum.core import errors
from vanilladrum.core import flowhost
from vanilladrum.core import flowtable
from vanilladrum.core import neighbours
from vanilladrum.core import periodic
from vanilladrum.daemons import digest_exchange
from vanilladrum.daemons import flow_metrics
from vanilladrum.daemons import health_checks
from vanilladrum.daemons import json_log
from vanilladrum.daemons import overdue_log
from vanilladrum.daemons import packet_forwarder
from vanilladrum.daemons import state_sync
from vanilladrum.daemons import warm_up
from vanilladrum.platform import packet as packets
from vanilladrum.platform import ready
from vanilladrum.platform import settings as node_settings
from vanilladrum.wire import httpd
from vanilladrum.wire import loop as loops

# Shortest time between two ticks, in seconds; a fraction of the shortest
# timeout for an answer.
MIN_TICK_SECONDS = 0.01
# Interval between checks of the settings file for changes, in seconds; it may
# change without a signal.
SETTINGS_POLL_SECONDS = 2.0
METRICS_PATH = "/metrics"
# Time in seconds in which routers stop sending to a host that is not ready:
# they probe twice a second and stop after two failures.
ROUTER_REACTION_SECONDS = 1.5
# After this long without a packet, in seconds, the routers are taken to have
# stopped sending.
IDLE_SECONDS = 0.5
# A planned stop ends this long before the platform kills the process, in
# seconds.
GRACE_MARGIN_SECONDS = 0.5
# Environment variable without which hedging is off; see
# vanilladrum.daemons.hedge_settings.
HEDGE_SHARE_VARIABLE = "VANILLADRUM_HEDGE_SHARE"


class FlowHostDaemon:
    """Runs one entry host until SIGTERM or SIGINT.

    :param settings: settings that the platform wrote for this process.
    :param packet_socket: socket in which packets wait before they are served.
    :param next_tick: when the next tick is scheduled, in monotonic seconds;
        infinite if none is.
    :param stopping_since: when the planned stop began, in monotonic seconds.
    :raises SettingsError: when an endpoint cannot be bound.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        log: json_log.EventLog,
        packet_socket: socket.socket,
    ) -> None:
        self.settings = settings
        self.log = log
        self.loop = loops.Loop(self._on_exception)
        self.core = _make_core(settings)
        self.core.on_error = self._on_exception
        warm_up.set_up(self.core, settings, log)
        self.state_sync = state_sync.StateSync(
            self.loop, settings, self.core, log, self._on_state_known
        )
        self.forwarder = packet_forwarder.PacketForwarder(
            self.loop,
            packet_socket,
            self.core,
            self.state_sync,
            log,
            self._schedule_core_tick,
        )
        self.digest_exchange = digest_exchange.DigestExchange(
            self.loop, settings.peer, self.core, self.state_sync, log
        )
        self.health_checker = health_checks.HealthChecker(
            self.loop,
            self.core,
            log,
            self._schedule_core_tick,
            self.state_sync.is_receiving,
        )
        self.readiness = ready.serve(
            self.loop, settings.readiness, lambda: self.is_ready
        )
        self.metrics = httpd.HttpEndpoint(
            self.loop, {METRICS_PATH: self._answer_metrics}
        )
        if settings.metrics is not None:
            self.metrics.listen(settings.metrics)
        self.settings_checked_at = self.loop.now()
        self.settings_mtime = node_settings.modified(node_settings.path())
        self.next_tick = float("inf")
        self.stop_requested = False
        self.reload_requested = False
        self.stopping_since: float | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether routers should send packets to this host."""
        return self.state_sync.is_complete and self.stopping_since is None

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and close everything."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        self.state_sync.start()
        self._tick()
        self.log.event("started", seeds=len(self.settings.seeds))
        self.loop.run()
        for part in (
            self.readiness,
            self.forwarder,
            self.digest_exchange,
            self.state_sync,
            self.metrics,
        ):
            part.close()
        self.log.event("stopped")
        self.log.flush()

    def _on_state_known(self) -> None:
        # Packets wait in the socket until now, because without the
        # configuration they would be answered wrongly.
        self.forwarder.open()

    def _schedule_core_tick(self) -> None:
        self._schedule_tick(self.core.next_tick_at(self.loop.now()))

    def _on_exception(self, error: Exception) -> None:
        """Log an unexpected exception and continue.

        Otherwise a packet that triggers a bug would crash one host after the
        other.
        """
        # Imported on demand, because it would slow every start.
        import traceback

        self.core.counters["internal_errors"] += 1
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.log.event(
            "internal error",
            error=repr(error),
            file=frame.filename,
            line=frame.lineno,
        )

    def _answer_metrics(self, request: httpd.Request) -> None:
        send_failures = (
            self.forwarder.socket.send_failures
            + self.digest_exchange.socket.send_failures
        )
        gauges = {
            "ready": float(self.is_ready),
            "store_away": float(self.state_sync.store_monitor.unreachable),
            "store_era": float(self.state_sync.store_monitor.era),
            "store_calls": float(self.state_sync.store_monitor.store.calls),
            "watching": float(
                self.state_sync.source_selector.receives_from_store
            ),
            "servers_revision": float(
                self.state_sync.servers_position.revision
            ),
            "sources_avoided": float(
                self.state_sync.source_selector.sources_avoided
            ),
            "lists_abandoned": float(
                self.state_sync.source_selector.lists_abandoned
            ),
            "datagrams_unsent": float(send_failures),
            "lines_dropped": float(self.log.writer.dropped),
        }
        if self.state_sync.evacuation_sync is not None:
            gauges |= self.state_sync.evacuation_sync.gauges()
        page = flow_metrics.render(self.core, gauges)
        request.respond(httpd.Response(200, page.encode()))

    # Periodic work

    def _tick(self) -> None:
        now = self.loop.now()
        try:
            self._run_due_work(now)
        finally:
            self.log.flush()
            self.next_tick = float("inf")
            self._schedule_tick(self._next_due(now))

    def _next_due(self, now: float) -> float:
        """Return when the next tick is due, in monotonic seconds."""
        due = flowhost.BUSY_TICK_INTERVAL_SECONDS + now
        try:
            due = min(
                self.core.next_tick_at(now),
                self.state_sync.next_tick_at(now),
                self.digest_exchange.next_due(),
            )
        except Exception as error:
            # Without a next tick the process would do nothing more.
            self._on_exception(error)
        return due

    def _run_due_work(self, now: float) -> None:
        """Run all periodic work; a part that fails does not stop the others.

        In particular, the planned stop is obeyed in any case.
        """
        periodic.run_each(
            (
                self.state_sync.tick,
                lambda: self._tick_core(now),
                lambda: self._start_health_checks(now),
                lambda: self.digest_exchange.tick(now),
                lambda: self._reload_if_due(now),
                lambda: self._stop_if_requested(now),
            ),
            self._on_exception,
        )

    def _tick_core(self, now: float) -> None:
        for attempt in self.core.tick(now, self._read_input()):
            self._log_unanswered_attempt(attempt)
        self.forwarder.perform(self.core.take_actions())
        overdue_log.write(self.log, self.core.overdue.take_events())

    def _start_health_checks(self, now: float) -> None:
        for server in self.core.due_checks(now):
            self.health_checker.start(server)

    def _reload_if_due(self, now: float) -> None:
        if self.reload_requested or self._settings_changed(now):
            self.reload_requested = False
            self._reload()

    def _stop_if_requested(self, now: float) -> None:
        if self.stop_requested:
            self._stop(now)

    def _read_input(self) -> bool:
        """Handle the packets that arrived while answers time out.

        A host that is short of processor time has answers in its socket that
        it has not read yet.

        :returns: whether all packets were handled.
        """
        now = self.loop.now()
        if not self.core.awaits_answers and not self.core.overdue.needs_input(
            now
        ):
            return True
        return self.forwarder.read()

    def _schedule_tick(self, due: float) -> None:
        """Schedule a tick unless an earlier one is scheduled.

        :param due: time of the tick, in monotonic seconds.
        """
        now = self.loop.now()
        due = max(due, now + MIN_TICK_SECONDS)
        if due >= self.next_tick:
            return
        self.next_tick = due
        self.loop.after(due - now, self._on_tick_timer)

    def _on_tick_timer(self) -> None:
        # A timer that was superseded by an earlier one does nothing.
        if self.loop.now() >= self.next_tick:
            self._tick()

    def _log_unanswered_attempt(
        self, attempt: flowtable.UnansweredAttempt
    ) -> None:
        limit = self.core.failure_detector.round_trip.timeout()
        self.log.event(
            "server ejected" if attempt.caused_ejection else "silent attempt",
            flow=packets.format_flow(attempt.key),
            server=attempt.server.name,
            waited=round(attempt.waited, 4),
            answer_limit=round(limit, 4),
        )

    # Signals and settings

    def _on_stop_signal(self, *_: object) -> None:
        self.stop_requested = True

    def _on_reload_signal(self, *_: object) -> None:
        self.reload_requested = True

    def _settings_changed(self, now: float) -> bool:
        if now - self.settings_checked_at < SETTINGS_POLL_SECONDS:
            return False
        self.settings_checked_at = now
        previous_mtime = self.settings_mtime
        self.settings_mtime = node_settings.modified(node_settings.path())
        return previous_mtime != self.settings_mtime

    def _reload(self) -> None:
        try:
            new_settings = node_settings.read(node_settings.path())
        except errors.SettingsError as error:
            self.log.event("settings refused", reason=str(error))
            return
        endpoints = (self.settings.flows, self.settings.readiness)
        if endpoints != (new_settings.flows, new_settings.readiness):
            self.log.event(
                "settings refused",
                reason="endpoints cannot change while running; restart the "
                "process",
            )
            return
        self.settings = new_settings
        self.log.event("settings reloaded")

    def _stop(self, now: float) -> None:
        """Begin a planned stop, or end the loop when it is complete.

        Packets are forwarded until the routers have stopped sending or the
        grace period is about to end. Called at every tick after the signal.
        """
        if self.stopping_since is None:
            self.stopping_since = now
            self.digest_exchange.leaving = True
            open_flows = len(self.core.table.flows)
            self.log.event("stopping", open_flows=open_flows)
        elapsed = now - self.stopping_since
        idle = now - self.forwarder.last_packet_at >= IDLE_SECONDS
        max_seconds = self.settings.grace - GRACE_MARGIN_SECONDS
        if (
            elapsed >= max_seconds
            or idle
            and elapsed >= ROUTER_REACTION_SECONDS
        ):
            self.loop.stop()


def _make_core(settings: node_settings.NodeSettings) -> flowhost.FlowHost:
    rng = random.Random()
    neighbour_table = neighbours.Neighbours(
        settings.peer,
        digest.data_centre_id(settings.data_centre),
        rng,
        settings.seeds,
    )
    arguments = (
        settings.data_centre,
        neighbour_table,
        rng,
        settings.flow_lifetime,
    )
    if not os.environ.get(HEDGE_SHARE_VARIABLE):
        return flowhost.FlowHost(*arguments)
    # Imported on demand, because a host without hedging needs none of it.
    from vanilladrum.core.hedging import host as hedging_host
    from vanilladrum.daemons import hedge_settings

    hedging = hedge_settings.read(os.environ)
    if hedging is None:
        return flowhost.FlowHost(*arguments)
    return hedging_host.HedgingFlowHost(*arguments, hedging)


def run(
    settings: node_settings.NodeSettings, packet_socket: socket.socket
) -> None:
    """Run an entry host until SIGTERM or SIGINT.

    :param packet_socket: socket in which callers' packets wait.
    :raises SettingsError: when an endpoint cannot be bound.
    """
    log = json_log.open_log(host=settings.name)
    gc.freeze()
    FlowHostDaemon(settings, log, packet_socket).run()
