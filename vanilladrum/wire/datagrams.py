"""Datagram sockets on the small event loop."""

from collections.abc import Callable
import socket

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.wire import loop as loops

MAX_DATAGRAM = 65535
# Datagrams read before other work gets its turn.
READ_AT_ONCE = 64
# Packets that waited longer than a fraction of a second are of no more use:
# their callers have repeated them.
BUFFER_BYTES = 256 * 1024


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
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        try:
            sock.bind((at.host, at.port))
        except OSError as error:
            sock.close()
            raise errors.SettingsError(
                f"UDP {at} cannot be bound ({error.strerror}); end what "
                "holds it or choose another port"
            ) from error
        found = cls(loop, sock, on_datagram)
        loop.watch(sock.fileno(), loops.READ, found._ready)
        return found

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
