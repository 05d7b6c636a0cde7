"""Transfer of large messages between entry hosts: CBOR over WebSockets."""

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
from vanilladrum.wire import peer_codec

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# WebSocket close code "policy violation" (RFC 6455).
CLOSE_POLICY_VIOLATION = 1008
# Default time for the connection and the reply.
TIMEOUT_SECONDS = 10.0
MessageHandler = Callable[[object], Awaitable[object | None]]


@attrs.define
class MessageServer:
    """WebSocket server that answers the messages of other entry hosts.

    A connection that sends an invalid message is closed.

    :param codec: decodes and authenticates messages and encodes replies.
    :param answer: returns the reply to a message, or None to send no reply.
    """

    codec: peer_codec.Codec
    answer: MessageHandler
    _server: server.Server | None = None

    async def start(self, address: addresses.Address) -> None:
        """Start to listen on a TCP endpoint.

        :raises SettingsError: if the endpoint cannot be bound.
        """
        try:
            self._server = await server.serve(
                self._handle_connection,
                address.host,
                address.port,
                max_size=MAX_MESSAGE_BYTES,
            )
        except OSError as error:
            raise errors.SettingsError(
                f"TCP {address} cannot be bound ({error.strerror}); stop "
                "the process that uses it or choose another port"
            ) from error

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _handle_connection(
        self, connection: server.ServerConnection
    ) -> None:
        try:
            async for data in connection:
                await self._handle_message(connection, data)
        except websockets.ConnectionClosed:
            # The other entry host has disconnected. It sends the message to
            # another host, so the reply is not needed.
            return

    async def _handle_message(
        self, connection: server.ServerConnection, data: bytes | str
    ) -> None:
        try:
            message = self.codec.decode(_require_binary(data))
        except errors.PacketError:
            await connection.close(CLOSE_POLICY_VIOLATION, "message refused")
            return
        reply = await self.answer(message)
        if reply is not None:
            await connection.send(self.codec.encode(reply))


async def send_request(
    address: addresses.Address,
    codec: peer_codec.Codec,
    message: object,
    timeout: float = TIMEOUT_SECONDS,
) -> result.Result[object, errors.HandOverError]:
    """Send a message to another entry host and wait for the reply.

    :param timeout: seconds to wait for the connection and the reply.
    :returns: the reply, or an error if no valid one arrived in time.
    """
    try:
        async with asyncio.timeout(timeout):
            async with client.connect(
                f"ws://{address}", max_size=MAX_MESSAGE_BYTES, compression=None
            ) as connection:
                await connection.send(codec.encode(message))
                return result.Ok(
                    codec.decode(_require_binary(await connection.recv()))
                )
    except (
        OSError,
        TimeoutError,
        websockets.WebSocketException,
        errors.PacketError,
    ) as error:
        return result.Err(
            errors.HandOverError(
                f"entry host at {address} did not reply "
                f"({type(error).__name__}); try another one"
            )
        )


def _require_binary(data: bytes | str) -> bytes:
    """Return the data of a binary message.

    :raises PacketError: for a text message; entry hosts send none.
    """
    if isinstance(data, str):
        raise errors.PacketError("malformed", "text message; send binary")
    return data
