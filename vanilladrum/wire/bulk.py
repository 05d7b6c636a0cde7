"""Bulk exchanges between entry hosts: CBOR over websockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import result
import websockets
from websockets.asyncio import client
from websockets.asyncio import server

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.wire import peers as wire_peers

MAX_BYTES = 64 * 1024 * 1024
REFUSED_CODE = 1008
TIMEOUT_SECONDS = 10.0
Answerer = Callable[[object], Awaitable[object | None]]


@attrs.define
class BulkServer:
    """Answers one message per connection.

    :param answer: returns the reply to a message, or None.
    """

    codec: wire_peers.Codec
    answer: Answerer
    _server: server.Server | None = None

    async def start(self, address: addresses.Address) -> None:
        """Listen on a TCP endpoint.

        :raises SettingsError: when it cannot be bound.
        """
        try:
            self._server = await server.serve(
                self._serve, address.host, address.port, max_size=MAX_BYTES
            )
        except OSError as error:
            raise errors.SettingsError(
                f"TCP {address} cannot be bound ({error.strerror}); end "
                "what holds it or choose another port"
            ) from error

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(self, connection: server.ServerConnection) -> None:
        try:
            async for data in connection:
                await self._answer(connection, data)
        except websockets.ConnectionClosed:
            # The asking host is gone; it asks another one.
            return

    async def _answer(
        self, connection: server.ServerConnection, data: bytes | str
    ) -> None:
        try:
            message = self.codec.decode(_binary(data))
        except errors.PacketError:
            await connection.close(REFUSED_CODE, "message refused")
            return
        reply = await self.answer(message)
        if reply is not None:
            await connection.send(self.codec.encode(reply))


async def ask(
    address: addresses.Address,
    codec: wire_peers.Codec,
    message: object,
    timeout: float = TIMEOUT_SECONDS,
) -> result.Result[object, errors.HandOverError]:
    """Send a message to another entry host.

    :returns: its reply, or an error when no valid one came in time.
    """
    try:
        async with asyncio.timeout(timeout):
            async with client.connect(
                f"ws://{address}", max_size=MAX_BYTES, compression=None
            ) as connection:
                await connection.send(codec.encode(message))
                return result.Ok(
                    codec.decode(_binary(await connection.recv()))
                )
    except (
        OSError,
        TimeoutError,
        websockets.WebSocketException,
        errors.PacketError,
    ) as error:
        return result.Err(
            errors.HandOverError(
                f"entry host at {address} gave no reply "
                f"({type(error).__name__}); try another"
            )
        )


def _binary(data: bytes | str) -> bytes:
    """Return a binary message.

    :raises PacketError: for a text message, which no entry host sends.
    """
    if isinstance(data, str):
        raise errors.PacketError("malformed", "text message; send binary")
    return data
