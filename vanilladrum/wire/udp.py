"""Binding of datagram sockets."""

import socket

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

# Packets that waited longer than a fraction of a second are of no more use:
# their callers have repeated them.
BUFFER_BYTES = 256 * 1024


def bind(at: addresses.Address) -> socket.socket:
    """Return a bound socket that never blocks.

    :raises SettingsError: when the endpoint cannot be bound.
    """
    family = socket.AF_INET6 if ":" in at.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    try:
        sock.bind((at.host, at.port))
    except OSError as error:
        sock.close()
        raise errors.SettingsError(
            f"UDP {at} cannot be bound ({error.strerror}); end what holds it "
            "or choose another port"
        ) from error
    return sock
