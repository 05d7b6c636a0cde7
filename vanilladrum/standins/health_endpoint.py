"""Health endpoint of a simulated backend server of flows."""

import asyncio
import socket

import attrs

from vanilladrum.core import address as addresses

_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Instance-Id: {}\r\n\r\n"


@attrs.define(eq=False)
class HealthEndpoint:
    """HTTP endpoint that answers 200, or stops responding like a dead host.

    A listening socket whose queue is full drops requests to connect, so that
    callers time out instead of being refused.

    :param address: endpoint that it listens at.
    :param instance: name of the server that its responses give.
    """

    address: addresses.Address
    instance: str
    _server: asyncio.Server | None = None
    _sockets: list[socket.socket] = attrs.field(factory=list)

    async def start(self) -> None:
        """Answer requests."""
        self._close()
        self._server = await asyncio.start_server(
            self._answer, self.address.host, self.address.port
        )

    def stop_responding(self) -> None:
        """Let connections time out until :meth:`start` is called."""
        self._close()
        endpoint = (self.address.host, self.address.port)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(endpoint)
        listener.listen(0)
        # Takes the only place in the queue. If a health check has taken it
        # first, a blocking connect would wait until the kernel gives up.
        occupant = socket.socket()
        occupant.setblocking(False)
        occupant.connect_ex(endpoint)
        self._sockets = [listener, occupant]

    def close(self) -> None:
        """Close all sockets; connections are refused."""
        self._close()

    def _close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for each in self._sockets:
            each.close()
        self._sockets = []

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(1024)
        writer.write(_RESPONSE.format(self.instance).encode())
        writer.close()
