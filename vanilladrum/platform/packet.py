"""Encoding and decoding of the platform's packet header."""

import struct

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import flow

HEADER_BYTES = 32
# Fields: sequence number, acknowledgement number, source port, destination
# port, source address, destination address, checksum, tag, flags, unused,
# length of the payload.
HEADER = struct.Struct(">IIHHIIIIBBH")
_UINT32 = struct.Struct(">I")
# The first two fields of the header.
_SEQUENCE_AND_ACK = struct.Struct(">II")
# Ports of source and destination, then their addresses: a flow's key.
_KEY = struct.Struct(">HHII")
_WIRE_ID = struct.Struct(">Q")
_TAG_OFFSET = 24
_TAG_END = 28
_FLAGS_OFFSET = 28
_REQUEST_ID_HEADER = b"X-Request-Id:"
# Bits of the flags field.
RESET = 1
ACK = 2
FIN = 128
SYN = 64
# Callers accept a reset without a checksum.
_NO_CHECKSUM = 0


def decode(datagram: bytes) -> flow.Packet:
    """Decode the header of a caller's packet; the payload is not decoded.

    :raises PacketError: ``short`` when the header is incomplete.
    """
    if len(datagram) < HEADER_BYTES:
        raise errors.PacketError("short", "packet is shorter than its header")
    flags = datagram[_FLAGS_OFFSET]
    sequence, ack = _SEQUENCE_AND_ACK.unpack_from(datagram)
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
        has_data=len(datagram) > HEADER_BYTES,
        sequence=sequence,
        acknowledged=ack,
        tag=tag,
        raw=datagram,
    )


def caller_address(key: bytes) -> addresses.Address:
    """Return the address and port of a flow's caller.

    :param key: key of the flow, as in :class:`vanilladrum.core.flow.Packet`.
    """
    return addresses.unpack(key[4:8] + key[0:2])


def format_flow(key: bytes) -> str:
    """Return a flow's addresses and ports as text, caller first.

    :param key: key of the flow, as in :class:`vanilladrum.core.flow.Packet`.
    """
    source = caller_address(key)
    target = addresses.unpack(key[8:12] + key[2:4])
    return f"{source}>{target}"


def request_id(packet: flow.Packet) -> str | None:
    """Return the request id from the payload of a packet.

    :returns: value of the HTTP header ``X-Request-Id``, None if the payload
        does not contain it.
    """
    payload = packet.raw[HEADER_BYTES:]
    start = payload.find(_REQUEST_ID_HEADER)
    if start < 0:
        return None
    start += len(_REQUEST_ID_HEADER)
    end = payload.find(b"\r\n", start)
    return payload[start : end if end >= 0 else None].decode("latin-1").strip()


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
    """Return the 8 bytes that identify a server in forwarded datagrams.

    They are the number after the last hyphen of the server id, which is
    hexadecimal, in network byte order.

    >>> wire_id("i-7f3a91c2").hex()
    '000000007f3a91c2'

    :param server: id of the server.
    :raises ValueError: when the id does not end in a hexadecimal number.
    """
    return _WIRE_ID.pack(int(server.rpartition("-")[2], 16))


def make_reset(packet: flow.Packet) -> bytes:
    """Return the reset packet that answers a caller's packet.

    Its sequence number is the next one that the caller expects.
    """
    sequence = 0 if packet.opens else packet.acknowledged
    return make_flow_reset(packet.key, sequence)


def make_flow_reset(key: bytes, sequence: int) -> bytes:
    """Return the reset packet that ends a flow at its caller.

    :param key: key of the flow, as in :class:`vanilladrum.core.flow.Packet`.
    :param sequence: next sequence number that the caller expects.
    """
    sport, dport, source, destination = _KEY.unpack(key)
    return HEADER.pack(
        sequence,
        0,  # acknowledgement number
        dport,
        sport,
        destination,
        source,
        _NO_CHECKSUM,
        0,  # tag: the flow has no server any more
        RESET,
        0,  # unused
        0,  # length of the payload
    )
