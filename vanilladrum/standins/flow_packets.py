"""Packets as the callers and backend servers of flows encode them."""

import zlib

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.platform import packet as packets


@attrs.frozen
class Segment:
    """A decoded packet.

    :param ack: acknowledgement number; in a caller's SYN the number of
        earlier copies.
    :param echo: last tag that the sender received, sent back unchanged.
    """

    source: addresses.Address
    target: addresses.Address
    flags: int
    sequence: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""

    def encode(self) -> bytes:
        """Return the datagram; its checksum excludes the echo field.

        Entry hosts write their own value into the echo field.
        """
        fields = (
            self.sequence,
            self.ack,
            self.source.port,
            self.target.port,
            int.from_bytes(self.source.pack()[:4], "big"),
            int.from_bytes(self.target.pack()[:4], "big"),
        )
        tail = (self.flags, 0, len(self.data))
        head = packets.HEADER.pack(*fields, 0, 0, *tail)
        checksum = zlib.crc32(head + self.data)
        head = packets.HEADER.pack(*fields, checksum, self.echo, *tail)
        return head + self.data


def decode(datagram: bytes) -> Segment:
    """Decode a packet.

    :raises ValueError: when the checksum does not match. A reset without a
        checksum comes from an entry host and is accepted.
    """
    fields = packets.HEADER.unpack_from(datagram)
    sequence, ack, sport, dport, source, target, checksum, echo = fields[:8]
    segment = Segment(
        addresses.unpack(source.to_bytes(4, "big") + sport.to_bytes(2, "big")),
        addresses.unpack(target.to_bytes(4, "big") + dport.to_bytes(2, "big")),
        fields[8],
        sequence,
        ack,
        echo,
        datagram[packets.HEADER_BYTES :],
    )
    is_host_reset = segment.flags == packets.RESET and checksum == 0
    expected = attrs.evolve(segment, echo=0).encode()
    if (
        not is_host_reset
        and packets.HEADER.unpack_from(expected)[6] != checksum
    ):
        raise ValueError("packet checksum does not match its contents")
    return segment
