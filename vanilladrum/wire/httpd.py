"""A small HTTP endpoint for daemons that must start quickly."""

import asyncio
from collections.abc import Callable

import attrs
import httptools

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

MAX_CONNECTIONS = 64
_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    503: "Service Unavailable",
}


@attrs.frozen
class Answer:
    """What is sent back.

    :param status: one of 200, 400, 404 and 503.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"

    def encode(self) -> bytes:
        """Return the response."""
        head = (
            f"HTTP/1.1 {self.status} {_REASONS[self.status]}\r\n"
            f"Content-Type: {self.content_type}\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        )
        return head.encode() + self.body


Handlers = dict[str, Callable[[], Answer]]


class _Connection(asyncio.Protocol):
    def __init__(self, endpoint: "HttpEndpoint") -> None:
        self.endpoint = endpoint
        self.transport: asyncio.Transport | None = None
        self.path = ""
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.endpoint.admit(self)

    def connection_lost(self, _: Exception | None) -> None:
        self.endpoint.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.write(Answer(400).encode())
            self.transport.close()

    def on_message_begin(self) -> None:
        self.path = ""

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_message_complete(self) -> None:
        handler = self.endpoint.handlers.get(self.path.partition("?")[0])
        answer = handler() if handler else Answer(404)
        self.transport.write(answer.encode())
        if not self.parser.should_keep_alive():
            self.transport.close()


@attrs.define(eq=False)
class HttpEndpoint:
    """Answers requests for known paths.

    :param handlers: what answers, by path.
    """

    handlers: Handlers
    connections: dict[_Connection, None] = attrs.field(factory=dict)
    _server: asyncio.Server | None = None

    async def serve(self, address: addresses.Address) -> None:
        """Listen.

        :raises SettingsError: when the endpoint cannot be bound.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: _Connection(self), address.host, address.port
            )
        except OSError as error:
            raise errors.SettingsError(
                f"TCP {address} cannot be bound ({error.strerror}); end "
                "what holds it or choose another port"
            ) from error

    def admit(self, connection: _Connection) -> None:
        """Keep a connection; the oldest one makes room for it."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.transport.abort()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()
