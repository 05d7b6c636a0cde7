"""Tunnelling of datagrams between the network fabric and entry hosts.

Each datagram is preceded by a PROXY protocol v2 header that holds its original
source and destination.
"""

import functools
import ipaddress
import socket
import typing

import proxyprotocol
from proxyprotocol import result as proxy_results
from proxyprotocol import v2

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

# Fixed part of a PROXY header. Its last two bytes, from LENGTH_OFFSET on, hold
# the length of the address part that follows.
HEADER_BYTES = 16
LENGTH_OFFSET = 14
# Number of headers, separately for encoding and decoding.
HEADER_CACHE_SIZE = 65536
_PROTOCOL = v2.ProxyProtocolV2()


@functools.lru_cache(maxsize=HEADER_CACHE_SIZE)
def header(source: addresses.Address, destination: addresses.Address) -> bytes:
    """Return the PROXY header with a datagram's source and destination."""
    source_ip = ipaddress.ip_address(source.host)
    result_class: typing.Any = proxy_results.ProxyResultIPv4
    if source_ip.version == 6:
        result_class = proxy_results.ProxyResultIPv6
    return _PROTOCOL.pack(
        result_class(
            (source_ip, source.port),
            (ipaddress.ip_address(destination.host), destination.port),
            protocol=socket.SOCK_DGRAM,
        )
    )


def wrap(
    source: addresses.Address, destination: addresses.Address, payload: bytes
) -> bytes:
    """Return a datagram with a PROXY header in front of its payload."""
    return header(source, destination) + payload


def unwrap(
    datagram: bytes,
) -> tuple[addresses.Address, addresses.Address, bytes]:
    """Split a tunnelled datagram into source, destination and payload.

    :raises PacketError: of kind ``tunnel`` if the header is missing or
        malformed.
    """
    if len(datagram) < HEADER_BYTES:
        raise errors.PacketError("tunnel", "PROXY header is truncated")
    length = int.from_bytes(datagram[LENGTH_OFFSET:HEADER_BYTES], "big")
    end = HEADER_BYTES + length
    source, destination = _parse_header(datagram[:end])
    return source, destination, datagram[end:]


@functools.lru_cache(maxsize=HEADER_CACHE_SIZE)
def _parse_header(raw: bytes) -> tuple[addresses.Address, addresses.Address]:
    try:
        parsed = _PROTOCOL.unpack(raw)
    except (
        proxyprotocol.ProxyProtocolSyntaxError,
        proxyprotocol.ProxyProtocolIncompleteError,
        proxyprotocol.ProxyProtocolChecksumError,
        ValueError,
        LookupError,
    ) as error:
        raise errors.PacketError(
            "tunnel", f"malformed PROXY header: {error}"
        ) from error
    if not proxy_results.is_ipv4(parsed) and not proxy_results.is_ipv6(parsed):
        raise errors.PacketError("tunnel", "PROXY header has no IP source")
    return (
        addresses.Address(str(parsed.source[0]), parsed.source[1]),
        addresses.Address(str(parsed.dest[0]), parsed.dest[1]),
    )
