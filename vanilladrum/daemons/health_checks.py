"""Active HTTP health checks of backend servers suspected of failure."""

from collections.abc import Callable

from vanilladrum.core import backend as backends
from vanilladrum.core import flowhost
from vanilladrum.daemons import json_log
from vanilladrum.platform import health
from vanilladrum.wire import loop as loops
from vanilladrum.wire import stream as streams

# Timeout in seconds. A check occupies one slot of the server for about a
# millisecond; a server slower than the timeout is treated like one that does
# not answer.
CHECK_TIMEOUT = 0.25
MAX_CONCURRENT_CHECKS = 32


class HealthChecker:
    """Runs health checks, at most one per server at a time.

    :param core: its failure detector receives the results.
    :param on_result: called after each result.
    :param is_receiving: returns whether this host receives a large answer now.
        It may fill the link, so that what servers send arrives late.
    :param running: connection of each running check, by server tag.
    """

    def __init__(
        self,
        loop: loops.Loop,
        core: flowhost.FlowHost,
        log: json_log.EventLog,
        on_result: Callable[[], None],
        is_receiving: Callable[[], bool],
    ) -> None:
        self.loop = loop
        self.core = core
        self.log = log
        self.on_result = on_result
        self.is_receiving = is_receiving
        self.running: dict[int, streams.Stream] = {}

    def start(self, server: backends.Backend) -> None:
        """Start a check; a server is healthy if it answers 200 in time.

        Does nothing when the service has no health path, a check of this
        server is running, or too many checks are running.
        """
        path = self.core.configuration.health_paths.get(server.service)
        if path is None or server.tag in self.running:
            return
        if len(self.running) >= MAX_CONCURRENT_CHECKS:
            return
        received = bytearray()

        def on_data(data: bytes) -> None:
            received.extend(data)
            response = health.read_response(bytes(received))
            if response is None:
                return
            if self._is_replaced(server, response):
                self._finish_replaced(server, response.server)
                return
            self._finish(server, response.healthy)

        stream = streams.Stream.connect(
            self.loop,
            server.address,
            on_data,
            # The server's host has refused or ended the connection.
            lambda _: self._finish(server, health.is_ok(bytes(received))),
        )
        self.running[server.tag] = stream
        self.core.counters["checks"] += 1
        self.core.overdue.begin_check(server, self.loop.now())
        stream.send(health.make_request(server.address, path))
        self.loop.after(
            CHECK_TIMEOUT,
            self._make_timeout_handler(server, stream, received),
        )

    def _is_replaced(
        self, server: backends.Backend, response: health.HealthResponse
    ) -> bool:
        """Return whether another server has answered a server's check.

        Only where requests of the server are overdue: otherwise nothing waits
        for the answer to this question.
        """
        if response.server in ("", server.name):
            return False
        detector = self.core.failure_detector
        return detector.unreached.find(server) is not None

    def _make_timeout_handler(
        self,
        server: backends.Backend,
        stream: streams.Stream,
        received: bytearray,
    ) -> Callable[[], None]:
        was_receiving = self.is_receiving()

        def on_timeout() -> None:
            if self.running.get(server.tag) is not stream:
                return
            if not stream.connected and (was_receiving or self.is_receiving()):
                self._finish_inconclusive(server)
                return
            is_ok = health.is_ok(bytes(received))
            self._finish(server, is_ok, reached=stream.connected)

        return on_timeout

    def _finish(
        self, server: backends.Backend, healthy: bool, reached: bool = True
    ) -> None:
        stream = self.running.pop(server.tag, None)
        if stream is None:
            return
        stream.close()
        self.core.failure_detector.record_check(
            server, healthy, self.loop.now(), reached
        )
        self.log.event(
            "server checked", server=server.name, good=healthy, reached=reached
        )
        self.on_result()

    def _finish_inconclusive(self, server: backends.Backend) -> None:
        """End a check whose answer may wait behind a large one."""
        self.running.pop(server.tag).close()
        self.core.failure_detector.discard_check(server)
        self.core.counters["checks_inconclusive"] += 1
        self.log.event("check inconclusive", server=server.name)
        self.on_result()

    def _finish_replaced(self, server: backends.Backend, other: str) -> None:
        """End a check that another server has answered."""
        self.running.pop(server.tag).close()
        self.core.failure_detector.record_replaced(server, self.loop.now())
        self.log.event("server replaced", server=server.name, other=other)
        self.on_result()
