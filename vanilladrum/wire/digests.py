"""Binary encoding of the digests that entry hosts exchange as datagrams.

A datagram has a fixed header, the open flows of each backend server and the
addresses of entry hosts. The encoding uses :mod:`struct`, because importing a
general-purpose codec would delay the first packet of a restarted entry host.
"""

import socket
import struct

from vanilladrum.core import address as addresses
from vanilladrum.core import digest as digest_types
from vanilladrum.core import errors

FORMAT_VERSION = 1
# Bits of the flags byte; their meaning is that of the fields of
# :class:`vanilladrum.core.digest.Digest`.
LEAVING_FLAG = 1
WATCHING_FLAG = 2
STORE_UNREACHABLE_FLAG = 4
ENTRIES_MAY_RETURN_FLAG = 8
# The digest ends with the era of the server list. Hosts of earlier releases
# set no such flag, ignore it and what follows the addresses.
ERA_FLAG = 16
# The era is followed by the whole generation, because it does not fit into the
# header, which has MAX_HEADER_GENERATION. Earlier releases ignore it and take
# the one of the header.
GENERATION_FLAG = 32
MAX_HEADER_GENERATION = 2**32 - 1
# Greater numbers of open flows are encoded as this, the largest 16-bit value.
MAX_BUSY_FLOWS = 65535
# Keeps a digest below 1,000 bytes with all headers, so that 25 digests a
# second, the rate in a large fleet, stay below 29 KB/s.
MAX_SERVERS = 150
# Format version, flags, start, sequence, data centre, generation, revision,
# number of backend servers, number of entry hosts.
_HEADER = struct.Struct("!BBIIIIQHB")
# Server tag and number of open flows.
_BUSY_FLOWS = struct.Struct("!IH")
# IPv4 address and port.
_HOST_ADDRESS = struct.Struct("!4sH")
# Era of the server list.
_ERA = struct.Struct("!I")
# Generation of the configuration in force.
_GENERATION = struct.Struct("!Q")


def encode(digest: digest_types.Digest) -> bytes:
    """Encode a digest.

    If there are more than :data:`MAX_SERVERS` backend servers, those with the
    fewest open flows are left out.
    """
    busiest = sorted(digest.busy_flows.items(), key=lambda item: -item[1])
    encoded = busiest[:MAX_SERVERS]
    parts = [
        _HEADER.pack(
            FORMAT_VERSION,
            _flags(digest),
            digest.start,
            digest.sequence,
            digest.data_centre,
            min(digest.generation, MAX_HEADER_GENERATION),
            digest.revision,
            len(encoded),
            len(digest.hosts),
        )
    ]
    parts.extend(
        _BUSY_FLOWS.pack(tag, min(flows, MAX_BUSY_FLOWS))
        for tag, flows in encoded
    )
    parts.extend(
        _HOST_ADDRESS.pack(socket.inet_aton(host.host), host.port)
        for host in digest.hosts
    )
    parts.append(_ERA.pack(digest.era))
    if digest.generation > MAX_HEADER_GENERATION:
        parts.append(_GENERATION.pack(digest.generation))
    return b"".join(parts)


def _flags(digest: digest_types.Digest) -> int:
    return (
        LEAVING_FLAG * digest.leaving
        | WATCHING_FLAG * digest.watching
        | STORE_UNREACHABLE_FLAG * digest.store_unreachable
        | ENTRIES_MAY_RETURN_FLAG * digest.entries_may_return
        | ERA_FLAG
        | GENERATION_FLAG * (digest.generation > MAX_HEADER_GENERATION)
    )


def decode(datagram: bytes) -> digest_types.Digest:
    """Decode a digest.

    :raises PacketError: of kind ``digest_malformed`` if the datagram is not a
        valid digest.
    """
    try:
        return _decode(datagram)
    except struct.error as error:
        raise errors.PacketError(
            "digest_malformed", f"malformed digest: {error}"
        ) from error


def _decode(datagram: bytes) -> digest_types.Digest:
    (
        version,
        flags,
        start,
        sequence,
        data_centre,
        generation,
        revision,
        server_count,
        host_count,
    ) = _HEADER.unpack_from(datagram)
    if version != FORMAT_VERSION:
        raise errors.PacketError(
            "digest_malformed",
            f"digest has format {version}, not {FORMAT_VERSION}",
        )
    offset = _HEADER.size
    busy_flows = {}
    for _ in range(server_count):
        tag, flows = _BUSY_FLOWS.unpack_from(datagram, offset)
        busy_flows[tag] = flows
        offset += _BUSY_FLOWS.size
    hosts = []
    for _ in range(host_count):
        packed_ip, port = _HOST_ADDRESS.unpack_from(datagram, offset)
        hosts.append(addresses.Address(socket.inet_ntoa(packed_ip), port))
        offset += _HOST_ADDRESS.size
    era = 0
    if flags & ERA_FLAG:
        (era,) = _ERA.unpack_from(datagram, offset)
        offset += _ERA.size
    if flags & GENERATION_FLAG:
        (generation,) = _GENERATION.unpack_from(datagram, offset)
    return digest_types.Digest(
        start,
        sequence,
        data_centre,
        generation,
        bool(flags & LEAVING_FLAG),
        bool(flags & WATCHING_FLAG),
        bool(flags & STORE_UNREACHABLE_FLAG),
        bool(flags & ENTRIES_MAY_RETURN_FLAG),
        revision,
        busy_flows,
        tuple(hosts),
        era,
    )
