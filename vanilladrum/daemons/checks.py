"""Active checks of backend servers that are in doubt."""

from collections.abc import Callable

from vanilladrum.core import backend as backends
from vanilladrum.core import flowhost
from vanilladrum.daemons import lines
from vanilladrum.wire import loop as loops
from vanilladrum.wire import stream as streams

# A check takes one slot for about a millisecond; a server that needs longer
# than this, in seconds, is no better than a silent one.
CHECK_TIMEOUT = 0.25
MAX_RUNNING = 32
_GOOD = b"HTTP/1.1 200"


class Checks:
    """Asks doubted servers for their health, each one at a time."""

    def __init__(
        self, loop: loops.Loop, core: flowhost.FlowHost, log: lines.EventLog
    ) -> None:
        self.loop = loop
        self.core = core
        self.log = log
        self.running: dict[int, streams.Stream] = {}

    def start(self, server: backends.Backend) -> None:
        """Check a server unless that goes on already."""
        path = self.core.configuration.health_paths.get(server.service)
        if path is None or server.tag in self.running:
            return
        if len(self.running) >= MAX_RUNNING:
            return
        received = bytearray()

        def on_data(data: bytes) -> None:
            received.extend(data)
            if len(received) >= len(_GOOD):
                self._finish(server, bytes(received[: len(_GOOD)]) == _GOOD)

        stream = streams.Stream.connect(
            self.loop,
            server.address,
            on_data,
            lambda _: self._finish(server, False),
        )
        self.running[server.tag] = stream
        self.core.counters["checks"] += 1
        stream.send(_request(server, path))
        self.loop.after(CHECK_TIMEOUT, self._expiry(server, stream))

    def _expiry(
        self, server: backends.Backend, stream: streams.Stream
    ) -> Callable[[], None]:
        def expire() -> None:
            if self.running.get(server.tag) is stream:
                self._finish(server, False)

        return expire

    def _finish(self, server: backends.Backend, good: bool) -> None:
        stream = self.running.pop(server.tag, None)
        if stream is None:
            return
        stream.close()
        self.core.evidence.checked(server, good, self.loop.now())
        self.log.event("server checked", server=server.name, good=good)


def _request(server: backends.Backend, path: str) -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nHost: {server.address}\r\n"
        "Connection: close\r\n\r\n"
    ).encode()
