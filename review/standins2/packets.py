"""Packets of flows as clients and servers write them (PROTOCOL.md)."""

import hashlib
import ipaddress
import struct

HEAD = struct.Struct(">IIHHIIIIBBH")
SYN, ACK, FIN, RST, BOUNCED = 64, 2, 128, 1, 32
# Longest data of one packet, in bytes.
MAX_DATA = 1200
_KEY = b"clients and servers of the review"


class Packet:
    """One packet; addresses are numbers, as in the header."""

    __slots__ = (
        "seq", "ack", "sport", "dport", "src", "dst", "echo", "flags", "data",
        "sum",
    )  # fmt: skip

    def __init__(
        self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0, data=b""
    ):
        self.src = src
        self.sport = sport
        self.dst = dst
        self.dport = dport
        self.flags = flags
        self.seq = seq & 0xFFFFFFFF
        self.ack = ack & 0xFFFFFFFF
        self.echo = echo
        self.data = data
        self.sum = None

    @property
    def is_own_reset(self):
        """Return whether it is a reset that the system wrote."""
        return self.flags == RST and self.sum == 0 and not self.data

    @property
    def is_genuine(self):
        """Return whether the sum is that of a client or a server."""
        return self.sum == self.keyed_sum()

    def keyed_sum(self):
        """Return the sum over all fields except echo, pad and BOUNCED."""
        head = HEAD.pack(
            self.seq, self.ack, self.sport, self.dport, self.src, self.dst,
            0, 0, self.flags & ~BOUNCED, 0, len(self.data),
        )  # fmt: skip
        digest = hashlib.blake2b(
            head + self.data, key=_KEY, digest_size=4
        ).digest()
        # 0 is the sum of the system's own resets.
        return int.from_bytes(digest, "big") or 1

    def encode(self):
        """Return the packet as its sender writes it."""
        head = HEAD.pack(
            self.seq, self.ack, self.sport, self.dport, self.src, self.dst,
            self.keyed_sum(), self.echo, self.flags, 0, len(self.data),
        )  # fmt: skip
        return head + self.data


def decode(datagram):
    """Return the packet of a datagram."""
    fields = HEAD.unpack_from(datagram)
    seq, ack, sport, dport, src, dst, checksum, echo, flags, _, length = fields
    data = datagram[HEAD.size : HEAD.size + length]
    packet = Packet(src, sport, dst, dport, flags, seq, ack, echo, data)
    packet.sum = checksum
    return packet


def number(host):
    """Return an IPv4 address as a number."""
    return int(ipaddress.IPv4Address(host))


def text(host):
    """Return an IPv4 address as text."""
    return str(ipaddress.IPv4Address(host))
