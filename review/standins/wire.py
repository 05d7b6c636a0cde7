"""Packets of flows, as the platform's page on packets describes them."""

import dataclasses
import hashlib
import socket
import struct

HEADER = struct.Struct(">IIHHIIIIBBH")
RST = 1
ACK = 2
BOUNCED = 32
SYN = 64
FIN = 128
MAX_DATA = 1200
# Key of the checksum; entry hosts do not know it.
_KEY = b"known to clients and servers only"
_MODULUS = 2**32

Endpoint = tuple[str, int]


@dataclasses.dataclass
class Packet:
    """A packet; addresses are pairs of IP address and port."""

    source: Endpoint
    target: Endpoint
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    sum: int = 0

    @property
    def key(self) -> tuple[Endpoint, Endpoint]:
        return self.source, self.target

    @property
    def is_host_reset(self) -> bool:
        """Whether an entry host sent it: a reset without a checksum."""
        return self.flags == RST and self.sum == 0 and not self.data


def advance(number: int, count: int) -> int:
    """Add to a sequence number."""
    return (number + count) % _MODULUS


def _head(packet: Packet, checksum: int, echo: int) -> bytes:
    return HEADER.pack(
        packet.seq,
        packet.ack,
        packet.source[1],
        packet.target[1],
        int.from_bytes(socket.inet_aton(packet.source[0]), "big"),
        int.from_bytes(socket.inet_aton(packet.target[0]), "big"),
        checksum,
        echo,
        packet.flags & ~BOUNCED if not checksum else packet.flags,
        0,
        len(packet.data),
    )


def _checksum(packet: Packet) -> int:
    body = _head(packet, 0, 0) + packet.data
    digest = hashlib.blake2b(body, digest_size=4, key=_KEY).digest()
    return int.from_bytes(digest, "big") or 1


def encode(packet: Packet) -> bytes:
    """Return the datagram of a client's or server's packet."""
    return _head(packet, _checksum(packet), packet.echo) + packet.data


def decode(datagram: bytes) -> Packet | None:
    """Return the packet, None if a part of it was not written by its sender.

    Resets of entry hosts have no checksum.
    """
    if len(datagram) < HEADER.size:
        return None
    seq, ack, sport, dport, src, dst, checksum, echo, flags, _, length = (
        HEADER.unpack_from(datagram)
    )
    packet = Packet(
        (socket.inet_ntoa(src.to_bytes(4, "big")), sport),
        (socket.inet_ntoa(dst.to_bytes(4, "big")), dport),
        flags,
        seq,
        ack,
        echo,
        datagram[HEADER.size :],
        checksum,
    )
    if packet.is_host_reset:
        return packet
    if length != len(packet.data) or checksum != _checksum(packet):
        return None
    return packet
