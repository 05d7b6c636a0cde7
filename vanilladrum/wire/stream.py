"""TCP connections and listeners on the small event loop."""

from collections.abc import Callable
import errno
import socket

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.wire import loop as loops

READ_BYTES = 65536
BACKLOG = 64
# What a peer that does not read may make this process keep; four times the
# largest object of the store.
MAX_UNSENT_BYTES = 4 << 20
# The shortest keep-alive probes that the socket interface knows, seconds.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBES = 1
# Unacknowledged data ends a connection after so long, in milliseconds.
UNSENT_MS = 1500
_PROBING = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)


class Stream:
    """A TCP connection that never blocks.

    :param on_data: takes what arrived.
    :param on_end: told once, with the reason, when the connection is over
        for another cause than :meth:`close`.
    """

    def __init__(
        self,
        loop: loops.Loop,
        sock: socket.socket,
        on_data: Callable[[bytes], None],
        on_end: Callable[[str], None],
        connected: bool = True,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.on_data = on_data
        self.on_end = on_end
        self.connected = connected
        self.ended = False
        self._unsent = bytearray()

    @classmethod
    def connect(
        cls,
        loop: loops.Loop,
        to: addresses.Address,
        on_data: Callable[[bytes], None],
        on_end: Callable[[str], None],
    ) -> "Stream":
        """Begin a connection; what is sent meanwhile waits for it."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        for level, option, value in _PROBING:
            sock.setsockopt(level, option, value)
        stream = cls(loop, sock, on_data, on_end, connected=False)
        failure = sock.connect_ex((to.host, to.port))
        if failure not in (0, errno.EINPROGRESS):
            loop.after(0.0, lambda: stream._fail(errno.errorcode[failure]))
            return stream
        loop.watch(sock.fileno(), loops.WRITE, stream._ready)
        return stream

    def accept(self) -> None:
        """Begin to read a connection that was accepted."""
        self.loop.watch(self.sock.fileno(), loops.READ, self._ready)

    def send(self, data: bytes) -> None:
        """Send data, now or as soon as the peer takes it."""
        if self.ended:
            return
        self._unsent += data
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self._fail("peer does not read")
        elif self.connected:
            self._flush()

    def close(self) -> None:
        """End the connection at once."""
        if self.ended:
            return
        self.ended = True
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()

    def _ready(self, events: int) -> None:
        if self.ended:
            return
        if not self.connected:
            failure = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if failure:
                self._fail(errno.errorcode.get(failure, str(failure)))
                return
            self.connected = True
            self._flush()
            return
        if events & ~loops.WRITE:
            self._read()
        if events & loops.WRITE and not self.ended:
            self._flush()

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(_name(error))
            return
        if not data:
            self._fail("closed by peer")
            return
        self.on_data(data)

    def _flush(self) -> None:
        if self._unsent:
            try:
                sent = self.sock.send(self._unsent)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                self._fail(_name(error))
                return
            del self._unsent[:sent]
        events = loops.READ | (loops.WRITE if self._unsent else 0)
        self.loop.watch(self.sock.fileno(), events, self._ready)

    def _fail(self, reason: str) -> None:
        if self.ended:
            return
        self.close()
        self.on_end(reason)


def _name(error: OSError) -> str:
    """Return the symbol of an error, such as ECONNRESET."""
    return errno.errorcode.get(error.errno or 0, str(error))


class Listener:
    """A TCP endpoint.

    :param on_accept: takes the socket of each new connection.
    """

    def __init__(
        self,
        loop: loops.Loop,
        sock: socket.socket,
        on_accept: Callable[[socket.socket], None],
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.on_accept = on_accept

    @classmethod
    def bind(
        cls,
        loop: loops.Loop,
        at: addresses.Address,
        on_accept: Callable[[socket.socket], None],
    ) -> "Listener":
        """Listen.

        :raises SettingsError: when the endpoint cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind((at.host, at.port))
            sock.listen(BACKLOG)
        except OSError as error:
            sock.close()
            raise errors.SettingsError(
                f"TCP {at} cannot be bound ({error.strerror}); end what "
                "holds it or choose another port"
            ) from error
        listener = cls(loop, sock, on_accept)
        loop.watch(sock.fileno(), loops.READ, listener._ready)
        return listener

    def close(self) -> None:
        """Stop listening."""
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()

    def _ready(self, _: int) -> None:
        try:
            sock, _ = self.sock.accept()
        except OSError:
            # The caller went away between the event and this call.
            return
        sock.setblocking(False)
        self.on_accept(sock)
