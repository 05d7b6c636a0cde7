"""Creation of UDP sockets."""

import socket

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

# The receive buffer is kept small: a packet that waited in it for more than a
# fraction of a second is useless, because its caller has retransmitted it.
RECEIVE_BUFFER_BYTES = 256 * 1024


def bind(address: addresses.Address) -> socket.socket:
    """Return a non-blocking UDP socket that is bound to an address.

    :raises SettingsError: if the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        sock.bind((address.host, address.port))
    except OSError as error:
        sock.close()
        raise errors.SettingsError(
            f"UDP {address} cannot be bound ({error.strerror}); stop "
            "the process that uses it or choose another port"
        ) from error
    return sock
