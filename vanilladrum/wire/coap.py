"""CoAP datagrams (RFC 7252) to typed requests and responses and back."""

import functools
import struct

import aiocoap
from aiocoap import error as coap_errors
from aiocoap.numbers import codes
from aiocoap.numbers import optionnumbers
from aiocoap.numbers import types
from aiocoap import optiontypes
import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.core import request as requests

MAX_DATAGRAM = 1400
MID_BYTES = 2
ECHO = 252
HOP_LIMIT = 16
URI_PATH = 11
BLOCK2 = 23
PROXY_URI = 35
PROXY_SCHEME = 39
# Elective and safe to forward: milliseconds that the caller waits.
DEADLINE = 65000
MAX_DEADLINE_MS = 3_600_000
HEADER = struct.Struct("!BBH")

IDEMPOTENT = frozenset(
    {
        int(codes.GET),
        int(codes.PUT),
        int(codes.DELETE),
        int(codes.FETCH),
        int(codes.iPATCH),
    }
)
NOT_IDEMPOTENT = frozenset({int(codes.POST), int(codes.PATCH)})
DECLINED = frozenset(
    {
        int(codes.SERVICE_UNAVAILABLE),
        int(codes.TOO_MANY_REQUESTS),
    }
)
OUTCOME_CODES = {
    requests.Outcome.NOT_RUN: codes.SERVICE_UNAVAILABLE,
    requests.Outcome.UNKNOWN: codes.GATEWAY_TIMEOUT,
    requests.Outcome.RENEW_TOKEN: codes.UNAUTHORIZED,
}
HOST_OPTIONS = frozenset({ECHO, HOP_LIMIT, DEADLINE})


@attrs.frozen
class Received:
    """A caller's datagram, read.

    :param request: None when ``reply`` answers it already.
    :param reply: datagram to send back at once, or None.
    :param kind: counter name when the datagram was refused.
    """

    message_id: int
    confirmable: bool
    request: requests.Request | None = None
    reply: bytes | None = None
    kind: str = ""


@attrs.frozen
class ServerDatagram:
    """A backend server's datagram, read.

    :param token: the token that was sent with the request.
    :param declined: whether the server says that it did not run it.
    """

    token: bytes
    message_id: int
    confirmable: bool
    response: requests.Response
    declined: bool


def decode(raw: bytes) -> aiocoap.Message:
    """Read a datagram.

    :raises PacketError: ``oversized`` or ``malformed``.
    """
    if len(raw) > MAX_DATAGRAM:
        raise errors.PacketError(
            "oversized", f"{len(raw)} bytes; send at most {MAX_DATAGRAM}"
        )
    if len(raw) < HEADER.size or raw[0] & 0x0F > 8:
        raise errors.PacketError("malformed", "header is cut short")
    try:
        message = aiocoap.Message.decode(raw)
    except (coap_errors.Error, ValueError, struct.error) as error:
        raise errors.PacketError("malformed", str(error)) from error
    if len(message.token) != raw[0] & 0x0F:
        raise errors.PacketError("malformed", "token is cut short")
    return message


def read_request(raw: bytes) -> Received:
    """Read a caller's datagram and check what can be checked alone.

    :raises PacketError: when it is dropped without a reply.
    """
    try:
        message = decode(raw)
    except errors.PacketError as error:
        return _refuse_unread(raw, error)
    code = int(message.code)
    if message.mtype not in (types.CON, types.NON):
        raise errors.PacketError("stray", "acknowledgement or reset")
    if code not in IDEMPOTENT and code not in NOT_IDEMPOTENT:
        return _refuse_method(message, code)
    if PROXY_URI in message.opt._options:
        return _refused(message, codes.PROXYING_NOT_SUPPORTED, "proxying")
    if PROXY_SCHEME in message.opt._options:
        return _refused(message, codes.PROXYING_NOT_SUPPORTED, "proxying")
    hop_limit = message.opt.get_option(HOP_LIMIT)
    if hop_limit and hop_limit[0].value <= 1:
        return _refused(message, codes.HOP_LIMIT_REACHED, "looping")
    confirmable = message.mtype == types.CON
    return Received(message.mid, confirmable, request=_request(message, code))


def _request(message: aiocoap.Message, code: int) -> requests.Request:
    token = b""
    path = ""
    block = None
    deadline = None
    kept = []
    for option in message.opt.option_list():
        number = int(option.number)
        if number == ECHO:
            token = option.encode()
            continue
        if number == HOP_LIMIT:
            continue
        if number == DEADLINE:
            deadline = _deadline(option.encode())
            continue
        if number == URI_PATH:
            path += "/" + option.value
        elif number == BLOCK2:
            block = option.value.block_number
        kept.append(requests.Option(number, option.encode()))
    return requests.Request(
        code=code,
        idempotent=code in IDEMPOTENT,
        path=path or "/",
        exchange=message.mid.to_bytes(MID_BYTES, "big") + message.token,
        options=tuple(kept),
        payload=message.payload,
        token=token,
        block=block,
        deadline=deadline,
    )


def _deadline(value: bytes) -> float:
    return min(int.from_bytes(value, "big"), MAX_DEADLINE_MS) / 1000


def _refuse_unread(raw: bytes, error: errors.PacketError) -> Received:
    # Only a confirmable message of our version is reset (RFC 7252, 4.2).
    if len(raw) < HEADER.size or raw[0] >> 4 != 0b0100:
        raise error
    _, _, mid = HEADER.unpack_from(raw)
    return Received(mid, True, reply=_reset(mid), kind=error.kind)


def _refuse_method(message: aiocoap.Message, code: int) -> Received:
    if code == 0:
        if message.mtype != types.CON:
            raise errors.PacketError("stray", "empty message")
        reset = _reset(message.mid)
        return Received(message.mid, True, reply=reset, kind="ping")
    if code >> 5:
        raise errors.PacketError("stray", "a response, not a request")
    return _refused(message, codes.METHOD_NOT_ALLOWED, "method")


def _refused(
    message: aiocoap.Message, code: codes.Code, kind: str
) -> Received:
    confirmable = message.mtype == types.CON
    reply = aiocoap.Message(
        code=code,
        _mtype=types.ACK if confirmable else types.NON,
        _mid=message.mid,
        _token=message.token,
    )
    return Received(message.mid, confirmable, reply=reply.encode(), kind=kind)


def _reset(mid: int) -> bytes:
    return HEADER.pack(0b0111 << 4, 0, mid)


def encode_response(
    path: requests.ReplyPath, exchange: bytes, response: requests.Response
) -> bytes:
    """Write a response for the caller, piggybacked when it can be."""
    code = response.code
    if response.outcome != requests.Outcome.ANSWER:
        code = OUTCOME_CODES[response.outcome]
    message = aiocoap.Message(
        code=code,
        payload=response.payload,
        _mtype=types.ACK if path.confirmable else types.NON,
        _mid=path.message_id,
        _token=exchange[MID_BYTES:],
    )
    _add_options(message, response.options)
    if response.token:
        message.opt.echo = response.token
    if response.outcome == requests.Outcome.NOT_RUN:
        message.opt.max_age = max(1, round(response.retry_after))
    return message.encode()


def encode_request(
    mid: int, token: bytes, request: requests.Request, deadline: float
) -> bytes:
    """Write a request for a backend server.

    :param deadline: seconds that the caller still waits.
    """
    message = aiocoap.Message(
        code=request.code,
        payload=request.payload,
        _mtype=types.CON,
        _mid=mid,
        _token=token,
    )
    _add_options(message, request.options)
    milliseconds = min(round(deadline * 1000), MAX_DEADLINE_MS)
    value = milliseconds.to_bytes(4, "big").lstrip(b"\0")
    _add_option(message, DEADLINE, value)
    return message.encode()


def encode_cancel(mid: int) -> bytes:
    """Write the reset that cancels a request at a backend server."""
    return _reset(mid)


def encode_acknowledgement(mid: int) -> bytes:
    """Write the acknowledgement of a separate response."""
    return HEADER.pack(0b0110 << 4, 0, mid)


def read_response(raw: bytes) -> ServerDatagram | None:
    """Read a backend server's datagram.

    :returns: None for an empty acknowledgement.
    :raises PacketError: when it is no response.
    """
    message = decode(raw)
    if message.code == codes.EMPTY and message.mtype == types.ACK:
        return None
    if not int(message.code) >> 5 >= 2:
        raise errors.PacketError("stray", "a backend server sent no response")
    options = tuple(
        requests.Option(int(option.number), option.encode())
        for option in message.opt.option_list()
        if int(option.number) not in HOST_OPTIONS
    )
    code = int(message.code)
    return ServerDatagram(
        token=message.token,
        message_id=message.mid,
        confirmable=message.mtype == types.CON,
        response=requests.Response(
            requests.Outcome.ANSWER,
            code=code,
            options=options,
            payload=message.payload,
            retry_after=float(message.opt.max_age or 0),
        ),
        declined=code in DECLINED,
    )


def _add_options(
    message: aiocoap.Message, options: tuple[requests.Option, ...]
) -> None:
    for option in options:
        _add_option(message, option.number, option.value)


def _add_option(message: aiocoap.Message, number: int, value: bytes) -> None:
    opaque = optiontypes.OpaqueOption(_option_number(number), value)
    message.opt.add_option(opaque)


_option_number = functools.lru_cache(maxsize=1024)(optionnumbers.OptionNumber)


def reply_path(
    received: Received,
    caller: addresses.Address,
    service: addresses.Address,
    via: addresses.Address | None,
) -> requests.ReplyPath:
    """Return the way back to the caller of a request."""
    return requests.ReplyPath(
        caller, service, via, received.message_id, received.confirmable
    )
