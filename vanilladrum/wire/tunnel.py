"""PROXY protocol v2 headers in front of datagrams that a fabric tunnels."""

import functools
import ipaddress
import socket
import typing

import proxyprotocol
from proxyprotocol import result as proxy_results
from proxyprotocol import v2

from vanilladrum.core import address as addresses
from vanilladrum.core import errors

HEADER_BYTES = 16
LENGTH_AT = 14
CACHED_HEADERS = 65536
_PROTOCOL = v2.ProxyProtocolV2()


@functools.lru_cache(maxsize=CACHED_HEADERS)
def header(source: addresses.Address, destination: addresses.Address) -> bytes:
    """Return the header for a datagram from ``source``."""
    source_number = ipaddress.ip_address(source.host)
    kind: typing.Any = proxy_results.ProxyResultIPv4
    if source_number.version == 6:
        kind = proxy_results.ProxyResultIPv6
    return _PROTOCOL.pack(
        kind(
            (source_number, source.port),
            (ipaddress.ip_address(destination.host), destination.port),
            protocol=socket.SOCK_DGRAM,
        )
    )


def wrap(
    source: addresses.Address, destination: addresses.Address, payload: bytes
) -> bytes:
    """Put the header in front of a datagram."""
    return header(source, destination) + payload


def unwrap(
    datagram: bytes,
) -> tuple[addresses.Address, addresses.Address, bytes]:
    """Return source, destination and payload of a tunnelled datagram.

    :raises PacketError: ``tunnel`` when the header is missing or broken.
    """
    if len(datagram) < HEADER_BYTES:
        raise errors.PacketError("tunnel", "PROXY header is cut short")
    length = int.from_bytes(datagram[LENGTH_AT:HEADER_BYTES], "big")
    end = HEADER_BYTES + length
    source, destination = _read(datagram[:end])
    return source, destination, datagram[end:]


@functools.lru_cache(maxsize=CACHED_HEADERS)
def _read(raw: bytes) -> tuple[addresses.Address, addresses.Address]:
    try:
        found = _PROTOCOL.unpack(raw)
    except (
        proxyprotocol.ProxyProtocolSyntaxError,
        proxyprotocol.ProxyProtocolIncompleteError,
        proxyprotocol.ProxyProtocolChecksumError,
        ValueError,
        LookupError,
    ) as error:
        raise errors.PacketError(
            "tunnel", f"PROXY header is broken: {error}"
        ) from error
    if not proxy_results.is_ipv4(found) and not proxy_results.is_ipv6(found):
        raise errors.PacketError("tunnel", "PROXY header names no IP source")
    return (
        addresses.Address(str(found.source[0]), found.source[1]),
        addresses.Address(str(found.dest[0]), found.dest[1]),
    )
