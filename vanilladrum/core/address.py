"""Network endpoints of callers, entry hosts and backend servers."""

import collections
import functools
import ipaddress

from vanilladrum.core import errors

PORT_BYTES = 2
MAX_PORT = 65535


class Address(collections.namedtuple("Address", ("host", "port"))):
    """An IP endpoint.

    :param host: IPv4 or IPv6 address in text form.
    :param port: UDP or TCP port, 0 to 65535.
    """

    __slots__ = ()

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"

    def pack(self) -> bytes:
        """Return the IP address and the port in network byte order.

        :returns: 6 bytes for IPv4, 18 for IPv6.
        """
        return _pack(self.host, self.port)


@functools.lru_cache(maxsize=65536)
def _pack(host: str, port: int) -> bytes:
    return ipaddress.ip_address(host).packed + port.to_bytes(PORT_BYTES, "big")


@functools.lru_cache(maxsize=65536)
def unpack(data: bytes) -> Address:
    """Return the address with a given binary form; see :meth:`Address.pack`.

    >>> unpack(Address("127.0.0.1", 5683).pack())
    Address(host='127.0.0.1', port=5683)

    :raises AddressError: when the length fits neither IPv4 nor IPv6.
    """
    ip_bytes = data[:-PORT_BYTES]
    if len(ip_bytes) not in (4, 16):
        raise errors.AddressError(
            f"packed address has {len(data)} bytes; send 6 or 18"
        )
    port = int.from_bytes(data[-PORT_BYTES:], "big")
    return Address(str(ipaddress.ip_address(ip_bytes)), port)


def parse(text: str) -> Address:
    """Parse ``host:port`` or ``[host]:port``.

    >>> parse("[::1]:80").host
    '::1'

    :raises AddressError: when the text is not an IP address with a port.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isascii() or not port_text.isdigit():
        raise errors.AddressError(
            f"{text!r} is not an address; write it as 192.0.2.1:5683"
        )
    port = int(port_text)
    if port > MAX_PORT:
        raise errors.AddressError(
            f"port {port} of {text!r} is out of range; use 1 to {MAX_PORT}"
        )
    unbracketed = host.removeprefix("[").removesuffix("]")
    try:
        ip = ipaddress.ip_address(unbracketed)
    except ValueError as error:
        raise errors.AddressError(
            f"{unbracketed!r} is not an IP address; names are not resolved, "
            "write an IP address"
        ) from error
    return Address(str(ip), port)
