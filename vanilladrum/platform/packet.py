"""The platform's packet header."""

import struct

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import flow

HEADER_BYTES = 32
HEADER = struct.Struct(">IIHHIIIIBBH")
_TAG = struct.Struct(">I")
_SERVER = struct.Struct(">Q")
_ACK_OFFSET = 4
_TAG_OFFSET = 24
_TAG_END = 28
_FLAGS_OFFSET = 28
_REQUEST_ID = b"X-Request-Id:"
RESET = 1
ACK = 2
FIN = 128
SYN = 64
ANY_SEQUENCE = 0
_NO_SUM = 0


def decode(datagram: bytes) -> flow.Packet:
    """Read the header of a caller's packet.

    :raises PacketError: ``short`` when there is no whole header.
    """
    if len(datagram) < HEADER_BYTES:
        raise errors.PacketError("short", "packet is shorter than a header")
    flags = datagram[_FLAGS_OFFSET]
    (ack,) = _TAG.unpack_from(datagram, _ACK_OFFSET)
    (tag,) = _TAG.unpack_from(datagram, _TAG_OFFSET)
    opens = bool(flags & SYN)
    return flow.Packet(
        # Source and destination, in the order of the header.
        key=datagram[8:20],
        service=datagram[16:20] + datagram[10:12],
        opens=opens,
        # In a first packet the field of acknowledgements counts copies.
        copies=ack if opens else 0,
        closes=bool(flags & (FIN | RESET)),
        tag=tag,
        raw=datagram,
    )


def caller(packet: flow.Packet) -> addresses.Address:
    """Return the caller's endpoint."""
    return addresses.unpack(packet.raw[12:16] + packet.raw[8:10])


def endpoints(key: bytes) -> str:
    """Return a flow's addresses and ports as text, caller first."""
    source = addresses.unpack(key[4:8] + key[0:2])
    target = addresses.unpack(key[8:12] + key[2:4])
    return f"{source}>{target}"


def has_data(packet: flow.Packet) -> bool:
    """Return whether a packet carries bytes of its flow."""
    return len(packet.raw) > HEADER_BYTES


def request_id(packet: flow.Packet) -> str | None:
    """Return the id of the request whose head begins in a packet, or None."""
    head = packet.raw[HEADER_BYTES:]
    begin = head.find(_REQUEST_ID)
    if begin < 0:
        return None
    begin += len(_REQUEST_ID)
    end = head.find(b"\r\n", begin)
    return head[begin : end if end >= 0 else None].decode("latin-1").strip()


def to_server(packet: flow.Packet, identity: bytes, tag: int) -> bytes:
    """Return the datagram that carries a packet to a backend server.

    :param identity: the 8 bytes that name the server.
    :param tag: written into the field that caller and server return.
    """
    raw = packet.raw
    return b"".join(
        (identity, raw[:_TAG_OFFSET], _TAG.pack(tag), raw[_TAG_END:])
    )


def identity(server: str) -> bytes:
    """Return the 8 bytes that name a server: the hex digits of its id.

    >>> identity("i-7f3a91c2").hex()
    '000000007f3a91c2'

    :raises ValueError: when the id has no such digits.
    """
    return _SERVER.pack(int(server.rpartition("-")[2], 16))


def reset(packet: flow.Packet) -> bytes:
    """Return the reset that answers a caller's first packet."""
    _, _, sport, dport, source, target, *_ = HEADER.unpack_from(packet.raw)
    return HEADER.pack(
        ANY_SEQUENCE, 0, dport, sport, target, source, _NO_SUM, 0, RESET, 0, 0
    )
