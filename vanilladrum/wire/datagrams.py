"""UDP sockets on the event loop of :mod:`vanilladrum.wire.loop`."""

from collections.abc import Callable
import socket

from vanilladrum.core import address as addresses
from vanilladrum.wire import loop as loops
from vanilladrum.wire import udp

# Receive buffer in bytes; larger than any UDP payload, so nothing is cut off.
MAX_DATAGRAM_BYTES = 65535
# Limits the datagrams read per event, so that other handlers are not delayed.
MAX_READS_PER_EVENT = 64


class DatagramSocket:
    """A bound UDP socket that passes each datagram to a callback.

    It receives after :meth:`open`, which :meth:`bind` calls.

    :param on_datagram: called with the payload and the sender's host and
        port.
    :param send_failures: number of datagrams that the operating system did
        not accept for sending.
    """

    def __init__(
        self,
        loop: loops.Loop,
        sock: socket.socket,
        on_datagram: Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.on_datagram = on_datagram
        self.send_failures = 0

    @classmethod
    def bind(
        cls,
        loop: loops.Loop,
        address: addresses.Address,
        on_datagram: Callable[[bytes, tuple[str, int]], None],
    ) -> "DatagramSocket":
        """Bind a socket and start to receive.

        :raises SettingsError: if the address cannot be bound.
        """
        sock = udp.bind(address)
        endpoint = cls(loop, sock, on_datagram)
        endpoint.open()
        return endpoint

    def open(self) -> None:
        """Start to receive datagrams."""
        self.loop.watch(self.sock.fileno(), loops.READ, self._ready)

    def send(self, data: bytes, destination: addresses.Address) -> None:
        """Send a datagram, or increase ``send_failures`` on an error."""
        try:
            self.sock.sendto(data, (destination.host, destination.port))
        except OSError:
            # The socket buffer is full or there is no route. The sender of
            # the packet retransmits it.
            self.send_failures += 1

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()

    def read(self) -> bool:
        """Pass the datagrams that have arrived to the callback.

        :returns: whether all of them have been read; at most
            ``MAX_READS_PER_EVENT`` are read at a time.
        """
        for _ in range(MAX_READS_PER_EVENT):
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return True
            except OSError:
                # An ICMP error for a datagram sent earlier. Timeouts detect
                # the same failure, so it is ignored.
                continue
            self.on_datagram(data, source)
        return False

    def _ready(self, _: int) -> None:
        self.read()
