"""Encoding and decoding of the platform's packet header."""

import struct

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import flow

HEADER_BYTES = 32
HEADER = struct.Struct(">IIHHIIIIBBH")
_UINT32 = struct.Struct(">I")
_WIRE_ID = struct.Struct(">Q")
_ACK_OFFSET = 4
_TAG_OFFSET = 24
_TAG_END = 28
_FLAGS_OFFSET = 28
_REQUEST_ID_HEADER = b"X-Request-Id:"
RESET = 1
ACK = 2
FIN = 128
SYN = 64
ANY_SEQUENCE = 0
_NO_CHECKSUM = 0


def decode(datagram: bytes) -> flow.Packet:
    """Decode the header of a caller's packet.

    :raises PacketError: ``short`` when the header is incomplete.
    """
    if len(datagram) < HEADER_BYTES:
        raise errors.PacketError("short", "packet is shorter than its header")
    flags = datagram[_FLAGS_OFFSET]
    (ack,) = _UINT32.unpack_from(datagram, _ACK_OFFSET)
    (tag,) = _UINT32.unpack_from(datagram, _TAG_OFFSET)
    opens = bool(flags & SYN)
    return flow.Packet(
        # Ports, then addresses, of source and destination, as in the header.
        key=datagram[8:20],
        service=datagram[16:20] + datagram[10:12],
        opens=opens,
        # A first packet has the number of earlier copies in its
        # acknowledgement field.
        copies=ack if opens else 0,
        closes=bool(flags & (FIN | RESET)),
        tag=tag,
        raw=datagram,
    )


def caller_address(packet: flow.Packet) -> addresses.Address:
    """Return the address and port of the caller."""
    return addresses.unpack(packet.raw[12:16] + packet.raw[8:10])


def format_flow(key: bytes) -> str:
    """Return a flow's addresses and ports as text, caller first."""
    source = addresses.unpack(key[4:8] + key[0:2])
    target = addresses.unpack(key[8:12] + key[2:4])
    return f"{source}>{target}"


def has_data(packet: flow.Packet) -> bool:
    """Return whether a packet has a payload."""
    return len(packet.raw) > HEADER_BYTES


def request_id(packet: flow.Packet) -> str | None:
    """Return the request id from the HTTP header in a packet, or None."""
    head = packet.raw[HEADER_BYTES:]
    start = head.find(_REQUEST_ID_HEADER)
    if start < 0:
        return None
    start += len(_REQUEST_ID_HEADER)
    end = head.find(b"\r\n", start)
    return head[start : end if end >= 0 else None].decode("latin-1").strip()


def encode_for_server(packet: flow.Packet, wire_id: bytes, tag: int) -> bytes:
    """Return the datagram that forwards a packet to a backend server.

    :param wire_id: 8 bytes that identify the server.
    :param tag: written into the tag field, which server and caller repeat in
        their packets.
    """
    raw = packet.raw
    return b"".join(
        (wire_id, raw[:_TAG_OFFSET], _UINT32.pack(tag), raw[_TAG_END:])
    )


def wire_id(server: str) -> bytes:
    """Return the 8 bytes that identify a server.

    They are the number after the last hyphen of the server id, which is
    hexadecimal.

    >>> wire_id("i-7f3a91c2").hex()
    '000000007f3a91c2'

    :raises ValueError: when the id does not end in a hexadecimal number.
    """
    return _WIRE_ID.pack(int(server.rpartition("-")[2], 16))


def make_reset(packet: flow.Packet) -> bytes:
    """Return the reset packet that answers a caller's first packet."""
    _, _, sport, dport, source, target, *_ = HEADER.unpack_from(packet.raw)
    return HEADER.pack(
        ANY_SEQUENCE,
        0,
        dport,
        sport,
        target,
        source,
        _NO_CHECKSUM,
        0,
        RESET,
        0,
        0,
    )
