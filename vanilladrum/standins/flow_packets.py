"""Packets as callers and backend servers of flows write them."""

import zlib

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.platform import packet as packets


@attrs.frozen
class Segment:
    """A packet with its fields.

    :param echo: the last tag that the sender was given.
    """

    source: addresses.Address
    target: addresses.Address
    flags: int
    sequence: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""

    def encode(self) -> bytes:
        """Return the datagram; its sum covers all but the echo field."""
        fields = (
            self.sequence,
            self.ack,
            self.source.port,
            self.target.port,
            int.from_bytes(self.source.pack()[:4], "big"),
            int.from_bytes(self.target.pack()[:4], "big"),
        )
        rest = (self.flags, 0, len(self.data))
        head = packets.HEADER.pack(*fields, 0, 0, *rest)
        check = zlib.crc32(head + self.data)
        head = packets.HEADER.pack(*fields, check, self.echo, *rest)
        return head + self.data


def decode(datagram: bytes) -> Segment:
    """Read a packet.

    :raises ValueError: when it was changed on its way.
    """
    fields = packets.HEADER.unpack_from(datagram)
    sequence, ack, sport, dport, source, target, check, echo = fields[:8]
    segment = Segment(
        addresses.unpack(source.to_bytes(4, "big") + sport.to_bytes(2, "big")),
        addresses.unpack(target.to_bytes(4, "big") + dport.to_bytes(2, "big")),
        fields[8],
        sequence,
        ack,
        echo,
        datagram[packets.HEADER_BYTES :],
    )
    own_reset = segment.flags == packets.RESET and check == 0
    unchanged = attrs.evolve(segment, echo=0).encode()
    if not own_reset and packets.HEADER.unpack_from(unchanged)[6] != check:
        raise ValueError("packet was changed on its way")
    return segment
