"""A minimal HTTP server for daemons that must start within milliseconds.

It runs on the event loop of :mod:`vanilladrum.wire.loop`.
"""

from collections.abc import Callable
import socket

import httptools

from vanilladrum.core import address as addresses
from vanilladrum.wire import loop as loops
from vanilladrum.wire import stream as streams

MAX_CONNECTIONS = 256
_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    410: "Gone",
    413: "Content Too Large",
    503: "Service Unavailable",
}


class Response:
    """An HTTP response.

    :param status: one of 200, 400, 404, 410, 413 and 503.
    :param compressed: whether the body is compressed in zlib format; it is
        not compressed here.
    :param headers: further headers by name.
    """

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        compressed: bool = False,
        headers: dict[str, str] | None = None,
    ) -> None:
        self.status = status
        self.body = body
        self.compressed = compressed
        self.headers = headers or {}

    def encode(self) -> bytes:
        """Return the status line, the headers and the body."""
        further = "".join(
            f"{name}: {value}\r\n" for name, value in self.headers.items()
        )
        if self.compressed:
            further += "Content-Encoding: deflate\r\n"
        head = (
            f"HTTP/1.1 {self.status} {_REASON_PHRASES[self.status]}\r\n"
            f"Content-Type: text/plain; charset=utf-8\r\n{further}"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        )
        return head.encode() + self.body


class Request:
    """An HTTP request.

    :param path: path without the query.
    :param query: text after the question mark, empty if there is none.
    :param respond: sends the response; called once, from the handler or later.
    """

    def __init__(
        self, path: str, query: str, respond: Callable[[Response], None]
    ) -> None:
        self.path = path
        self.query = query
        self.respond = respond


Handlers = dict[str, Callable[[Request], None]]


class _Connection:
    """One client connection.

    The parser calls the methods ``on_message_begin``, ``on_url`` and
    ``on_message_complete``.
    """

    def __init__(self, endpoint: "HttpEndpoint", sock: socket.socket) -> None:
        self.endpoint = endpoint
        self.url = b""
        self.parser = httptools.HttpRequestParser(self)
        self.stream = streams.Stream(
            endpoint.loop, sock, self._on_data, self._on_disconnect
        )
        self.stream.start_reading()

    def on_message_begin(self) -> None:
        self.url = b""

    def on_url(self, url: bytes) -> None:
        # The parser passes a URL that arrives in several reads in parts.
        self.url += url

    def on_message_complete(self) -> None:
        path, _, query = self.url.decode("latin-1").partition("?")
        request = Request(path, query, self._respond)
        handler = self.endpoint.handlers.get(path)
        if handler is None:
            request.respond(Response(404))
            return
        handler(request)

    def _respond(self, response: Response) -> None:
        self.stream.send(response.encode())

    def _on_data(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.stream.send(Response(400).encode())
            self.stream.close()
            self._on_disconnect("malformed HTTP request")

    def _on_disconnect(self, _: str) -> None:
        self.endpoint.connections.pop(self, None)


class HttpEndpoint:
    """HTTP server that calls a handler by the path of the request.

    Other paths are answered with status 404. If more than
    :data:`MAX_CONNECTIONS` are open, the oldest one is closed.

    :param handlers: handler of each path; it may respond later.
    """

    def __init__(self, loop: loops.Loop, handlers: Handlers) -> None:
        self.loop = loop
        self.handlers = handlers
        self.connections: dict[_Connection, None] = {}
        self._listener: streams.Listener | None = None

    def listen(self, address: addresses.Address) -> None:
        """Start to accept connections.

        :raises SettingsError: if the address cannot be bound.
        """
        self._listener = streams.Listener.bind(
            self.loop, address, self._on_accept
        )

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.stream.close()

    def _on_accept(self, sock: socket.socket) -> None:
        self.connections[_Connection(self, sock)] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.stream.close()
