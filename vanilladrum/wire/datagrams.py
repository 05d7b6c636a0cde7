"""Datagram sockets on the small event loop."""

from collections.abc import Callable
import socket

from vanilladrum.core import address as addresses
from vanilladrum.wire import loop as loops
from vanilladrum.wire import udp

MAX_DATAGRAM = 65535
# Datagrams read before other work gets its turn.
READ_AT_ONCE = 64


class Datagrams:
    """A bound datagram socket.

    :param on_datagram: takes the data and the host and port it came from.
    :param unsent: datagrams that the system would not take.
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
        self.unsent = 0

    @classmethod
    def bind(
        cls,
        loop: loops.Loop,
        at: addresses.Address,
        on_datagram: Callable[[bytes, tuple[str, int]], None],
    ) -> "Datagrams":
        """Bind a socket.

        :raises SettingsError: when the address cannot be bound.
        """
        sock = udp.bind(at)
        found = cls(loop, sock, on_datagram)
        found.open()
        return found

    def open(self) -> None:
        """Read datagrams from now on."""
        self.loop.watch(self.sock.fileno(), loops.READ, self._ready)

    def send(self, data: bytes, to: addresses.Address) -> None:
        """Send a datagram, or count it when the system refuses it."""
        try:
            self.sock.sendto(data, (to.host, to.port))
        except OSError:
            # A full buffer or no way there: the sender repeats its packet.
            self.unsent += 1

    def close(self) -> None:
        """Close the socket."""
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()

    def _ready(self, _: int) -> None:
        for _ in range(READ_AT_ONCE):
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                # A report on an earlier datagram; time-outs tell the same.
                continue
            self.on_datagram(data, source)
