"""Digests between entry hosts as datagrams.

Fixed fields, then open flows and hosts. A general codec
would have to be loaded before the first packet of a restarted host.
"""

import socket
import struct

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import neighbours

FORMAT = 1
LEAVING = 1
WATCHING = 2
TURNED_AWAY = 4
UNSETTLED = 8
MAX_OPEN = 65535
# Under 1,000 bytes with all headers: 25 of them a second, as a large fleet
# sends, stay below 29 KB/s.
MAX_SERVERS = 150
# format, flags, start, sequence, data centre, generation, revision, counts
_HEAD = struct.Struct("!BBIIIIQHB")
_OPEN = struct.Struct("!IH")
_HOST = struct.Struct("!4sH")


def encode(digest: neighbours.Digest) -> bytes:
    """Return the datagram of a digest; the busiest servers go first."""
    busiest = sorted(digest.open.items(), key=lambda item: -item[1])
    counts = busiest[:MAX_SERVERS]
    parts = [
        _HEAD.pack(
            FORMAT,
            _flags(digest),
            digest.start,
            digest.sequence,
            digest.data_centre,
            digest.generation,
            digest.revision,
            len(counts),
            len(digest.hosts),
        )
    ]
    parts.extend(_OPEN.pack(tag, min(n, MAX_OPEN)) for tag, n in counts)
    parts.extend(
        _HOST.pack(socket.inet_aton(host.host), host.port)
        for host in digest.hosts
    )
    return b"".join(parts)


def _flags(digest: neighbours.Digest) -> int:
    return (
        LEAVING * digest.leaving
        | WATCHING * digest.watching
        | TURNED_AWAY * digest.turned_away
        | UNSETTLED * digest.unsettled
    )


def decode(datagram: bytes) -> neighbours.Digest:
    """Read a digest.

    :raises PacketError: ``digest_malformed`` when it is none.
    """
    try:
        return _decode(datagram)
    except struct.error as error:
        raise errors.PacketError(
            "digest_malformed", f"digest is broken: {error}"
        ) from error


def _decode(datagram: bytes) -> neighbours.Digest:
    (
        form,
        flags,
        start,
        sequence,
        data_centre,
        generation,
        revision,
        count,
        host_count,
    ) = _HEAD.unpack_from(datagram)
    if form != FORMAT:
        raise errors.PacketError(
            "digest_malformed", f"digest has format {form}, not {FORMAT}"
        )
    at = _HEAD.size
    open_flows = {}
    for _ in range(count):
        tag, number = _OPEN.unpack_from(datagram, at)
        open_flows[tag] = number
        at += _OPEN.size
    hosts = []
    for _ in range(host_count):
        number, port = _HOST.unpack_from(datagram, at)
        hosts.append(addresses.Address(socket.inet_ntoa(number), port))
        at += _HOST.size
    return neighbours.Digest(
        start,
        sequence,
        data_centre,
        generation,
        bool(flags & LEAVING),
        bool(flags & WATCHING),
        bool(flags & TURNED_AWAY),
        bool(flags & UNSETTLED),
        revision,
        open_flows,
        tuple(hosts),
    )
