"""TCP connections and listeners.

They run on the event loop of :mod:`vanilladrum.wire.loop`.
"""

from collections.abc import Callable
import errno
import socket

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.wire import loop as loops

MAX_READ_BYTES = 65536
LISTEN_BACKLOG = 64
# Limits the send buffer of a connection whose peer does not read; four times
# the largest object of the store.
MAX_UNSENT_BYTES = 4 << 20
# Keep-alive probes, with the shortest times that the socket interface allows.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 1
# Time without acknowledgement of sent data after which a connection ends.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
_CONNECT_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)


class Stream:
    """A non-blocking TCP connection.

    :param on_data: called with the data that was received.
    :param on_disconnect: called once, with the reason, when the connection
        ends without a call of :meth:`close`.
    :param connected: False while the connection is being established.
    """

    def __init__(
        self,
        loop: loops.Loop,
        sock: socket.socket,
        on_data: Callable[[bytes], None],
        on_disconnect: Callable[[str], None],
        connected: bool = True,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.on_data = on_data
        self.on_disconnect = on_disconnect
        self.connected = connected
        self.ended = False
        self._send_buffer = bytearray()

    @classmethod
    def connect(
        cls,
        loop: loops.Loop,
        destination: addresses.Address,
        on_data: Callable[[bytes], None],
        on_disconnect: Callable[[str], None],
    ) -> "Stream":
        """Start to connect.

        Data that is sent before the connection is established is buffered. If
        the connection cannot be established, ``on_disconnect`` is called.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        for level, option, value in _CONNECT_OPTIONS:
            sock.setsockopt(level, option, value)
        stream = cls(loop, sock, on_data, on_disconnect, connected=False)
        failure = sock.connect_ex((destination.host, destination.port))
        if failure not in (0, errno.EINPROGRESS):
            # Deferred, so that on_disconnect is not called before the caller
            # has the stream.
            loop.after(0.0, lambda: stream._fail(errno.errorcode[failure]))
            return stream
        loop.watch(sock.fileno(), loops.WRITE, stream._ready)
        return stream

    def start_reading(self) -> None:
        """Start to read, if the socket was accepted by a listener.

        A stream of :meth:`connect` starts to read by itself.
        """
        self.loop.watch(self.sock.fileno(), loops.READ, self._ready)

    def send(self, data: bytes) -> None:
        """Send data, buffering what cannot be sent without blocking.

        If more than :data:`MAX_UNSENT_BYTES` are buffered, the connection
        fails.
        """
        if self.ended:
            return
        self._send_buffer += data
        if len(self._send_buffer) > MAX_UNSENT_BYTES:
            self._fail("peer does not read")
        elif self.connected:
            self._flush()

    def has_unread_data(self) -> bool:
        """Return whether data has arrived that was not passed on yet."""
        if self.ended or not self.connected:
            return False
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close(self) -> None:
        """Close the connection and discard unsent data.

        ``on_disconnect`` is not called.
        """
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
            data = self.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(_error_symbol(error))
            return
        if not data:
            self._fail("closed by peer")
            return
        self.on_data(data)

    def _flush(self) -> None:
        if self._send_buffer:
            try:
                sent = self.sock.send(self._send_buffer)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                self._fail(_error_symbol(error))
                return
            del self._send_buffer[:sent]
        events = loops.READ | (loops.WRITE if self._send_buffer else 0)
        self.loop.watch(self.sock.fileno(), events, self._ready)

    def _fail(self, reason: str) -> None:
        if self.ended:
            return
        self.close()
        self.on_disconnect(reason)


def _error_symbol(error: OSError) -> str:
    """Return the symbolic name of an error, such as ECONNRESET."""
    return errno.errorcode.get(error.errno or 0, str(error))


class Listener:
    """A listening TCP socket.

    :param on_accept: called with the non-blocking socket of each new
        connection.
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
        address: addresses.Address,
        on_accept: Callable[[socket.socket], None],
    ) -> "Listener":
        """Bind a socket and start to accept connections.

        :raises SettingsError: if the address cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind((address.host, address.port))
            sock.listen(LISTEN_BACKLOG)
        except OSError as error:
            sock.close()
            raise errors.SettingsError(
                f"TCP {address} cannot be bound ({error.strerror}); stop "
                "the process that uses it or choose another port"
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
            # The client disconnected between the event and this call.
            return
        sock.setblocking(False)
        self.on_accept(sock)
