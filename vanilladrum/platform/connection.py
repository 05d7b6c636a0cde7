"""One HTTP connection to the platform's store."""

import asyncio
import socket

import attrs
import httptools

from vanilladrum.core import address as addresses

# The shortest probes that the socket interface knows, in seconds; a
# connection that went silent is then found within two of them.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBES = 1
UNSENT_MS = 1500


@attrs.frozen
class Response:
    """A whole response."""

    status: int
    body: bytes


class Connection(asyncio.Protocol):
    """Carries one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.usable = False
        self._parser = httptools.HttpResponseParser(self)
        self._waiting: asyncio.Future | None = None
        self._body = b""
        self._busy = False

    @classmethod
    async def open(cls, to: addresses.Address) -> "Connection":
        """Connect.

        :raises OSError: when the other end refuses.
        """
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(cls, to.host, to.port)
        return connection

    async def request(
        self, method: str, path: str, host: str, body: bytes | None
    ) -> Response:
        """Send a request and return its response.

        :raises ConnectionError: when the connection ended before it.
        """
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        if body is not None:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n"
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._busy = True
        self._waiting = asyncio.get_running_loop().create_future()
        self.transport.write(f"{head}\r\n".encode() + (body or b""))
        return await self._waiting

    @property
    def idle(self) -> bool:
        """Return whether another request may be sent."""
        return self.usable and not self._busy

    def close(self) -> None:
        """End the connection at once."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    # Called by the transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport and probe the other end."""
        self.transport = transport
        self.usable = True
        sock = transport.get_extra_info("socket")
        for level, option, value in (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_MS),
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        ):
            sock.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionError(f"no HTTP response: {error}"))
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request that waits."""
        self.usable = False
        self._fail(ConnectionError(f"connection ended: {error}"))

    # Called by the parser

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Hand over the response."""
        self._busy = False
        if not self._parser.should_keep_alive():
            self.usable = False
        if self._waiting is not None and not self._waiting.done():
            status = self._parser.get_status_code()
            self._waiting.set_result(Response(status, self._body))

    def _fail(self, error: ConnectionError) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(error)
