"""UDP endpoints on asyncio."""

import asyncio
from collections.abc import Callable
import typing

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.wire import udp

Receiver = Callable[[bytes, addresses.Address], None]


class Endpoint(asyncio.DatagramProtocol):
    """UDP socket that passes each datagram to a callback.

    :param receive: called with the datagram and its source address.
    """

    def __init__(self, receive: Receiver) -> None:
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple) -> None:
        """Pass a datagram to the callback."""
        self.receive(data, addresses.Address(source[0], source[1]))

    def error_received(self, error: Exception) -> None:
        """Ignore an ICMP error; timeouts detect the same failure."""

    def send(self, data: bytes, to: addresses.Address) -> None:
        """Send a datagram; does nothing when the socket is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (to.host, to.port))

    @property
    def local_address(self) -> addresses.Address:
        """Return the address that the socket is bound to.

        :raises SettingsError: when the socket is not open.
        """
        if self.transport is None:
            raise errors.SettingsError("socket is not open; open it first")
        host, port = self.transport.get_extra_info("sockname")[:2]
        return addresses.Address(host, port)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


async def open_endpoint(
    address: addresses.Address, receive: Receiver
) -> Endpoint:
    """Bind a UDP socket.

    :param receive: called with each datagram and its source address.
    :raises SettingsError: when the address cannot be bound.
    """
    sock = udp.bind(address)
    loop = asyncio.get_running_loop()
    _, endpoint = await loop.create_datagram_endpoint(
        lambda: Endpoint(receive), sock=sock
    )
    return endpoint
