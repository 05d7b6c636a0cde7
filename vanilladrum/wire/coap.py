"""Conversion between CoAP datagrams (RFC 7252) and typed messages."""

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

# Largest accepted datagram, in bytes.
MAX_DATAGRAM_BYTES = 1400
MESSAGE_ID_BYTES = 2
# Option numbers.
ECHO = 252
HOP_LIMIT = 16
URI_PATH = 11
BLOCK2 = 23
PROXY_URI = 35
PROXY_SCHEME = 39
# Option that holds the milliseconds for which the caller still waits. Its
# number makes it elective and safe to forward (RFC 7252, section 5.4.6).
DEADLINE = 65000
MAX_DEADLINE_MS = 3_600_000
# Version, type and token length in one byte; code; message ID.
HEADER = struct.Struct("!BBH")

IDEMPOTENT_CODES = frozenset(
    {
        int(codes.GET),
        int(codes.PUT),
        int(codes.DELETE),
        int(codes.FETCH),
        int(codes.iPATCH),
    }
)
NON_IDEMPOTENT_CODES = frozenset({int(codes.POST), int(codes.PATCH)})
# Responses of a backend server that did not run the request.
DECLINED_CODES = frozenset(
    {
        int(codes.SERVICE_UNAVAILABLE),
        int(codes.TOO_MANY_REQUESTS),
    }
)
# Response code of each outcome without a backend server's response.
OUTCOME_CODES = {
    requests.Outcome.NOT_RUN: codes.SERVICE_UNAVAILABLE,
    requests.Outcome.UNKNOWN: codes.GATEWAY_TIMEOUT,
    requests.Outcome.RENEW_TOKEN: codes.UNAUTHORIZED,
}
# Options removed from a backend server's response, because they concern only
# the exchange between the entry host and the backend server.
ENTRY_HOST_OPTIONS = frozenset({ECHO, HOP_LIMIT, DEADLINE})


@attrs.frozen
class CallerDatagram:
    """A decoded datagram from a caller.

    :param request: the request to run, or None if ``reply`` is the final
        response.
    :param reply: datagram to send back immediately, or None.
    :param kind: name of the counter if the datagram was refused, else empty.
    """

    message_id: int
    confirmable: bool
    request: requests.Request | None = None
    reply: bytes | None = None
    kind: str = ""


@attrs.frozen
class ServerDatagram:
    """A decoded datagram from a backend server.

    :param token: the token that was sent with the request.
    :param declined: whether the server states that it did not run the
        request.
    """

    token: bytes
    message_id: int
    confirmable: bool
    response: requests.Response
    declined: bool


def decode(raw: bytes) -> aiocoap.Message:
    """Decode a datagram.

    :raises PacketError: of kind ``oversized`` or ``malformed``.
    """
    if len(raw) > MAX_DATAGRAM_BYTES:
        raise errors.PacketError(
            "oversized",
            f"datagram has {len(raw)} bytes; send at most "
            f"{MAX_DATAGRAM_BYTES}",
        )
    if len(raw) < HEADER.size or raw[0] & 0x0F > 8:
        raise errors.PacketError("malformed", "header is truncated")
    try:
        message = aiocoap.Message.decode(raw)
    except (coap_errors.Error, ValueError, struct.error) as error:
        raise errors.PacketError("malformed", str(error)) from error
    if len(message.token) != raw[0] & 0x0F:
        raise errors.PacketError("malformed", "token is truncated")
    return message


def read_request(raw: bytes) -> CallerDatagram:
    """Decode and validate a caller's datagram.

    If a check fails, the result holds an error response or a reset as
    ``reply`` instead of a request.

    :raises PacketError: if the datagram must be dropped without a reply.
    """
    try:
        message = decode(raw)
    except errors.PacketError as error:
        return _reject_undecodable(raw, error)
    code = int(message.code)
    if message.mtype not in (types.CON, types.NON):
        raise errors.PacketError(
            "stray", "unexpected acknowledgement or reset"
        )
    if code not in IDEMPOTENT_CODES and code not in NON_IDEMPOTENT_CODES:
        return _reject_code(message, code)
    if PROXY_URI in message.opt._options:
        return _error_reply(message, codes.PROXYING_NOT_SUPPORTED, "proxying")
    if PROXY_SCHEME in message.opt._options:
        return _error_reply(message, codes.PROXYING_NOT_SUPPORTED, "proxying")
    hop_limit = message.opt.get_option(HOP_LIMIT)
    if hop_limit and hop_limit[0].value <= 1:
        return _error_reply(message, codes.HOP_LIMIT_REACHED, "looping")
    confirmable = message.mtype == types.CON
    return CallerDatagram(
        message.mid, confirmable, request=_to_request(message, code)
    )


def _to_request(message: aiocoap.Message, code: int) -> requests.Request:
    token = b""
    path = ""
    block = None
    deadline = None
    forwarded = []
    for option in message.opt.option_list():
        number = int(option.number)
        if number == ECHO:
            token = option.encode()
            continue
        if number == HOP_LIMIT:
            continue
        if number == DEADLINE:
            deadline = _deadline_seconds(option.encode())
            continue
        if number == URI_PATH:
            path += "/" + option.value
        elif number == BLOCK2:
            block = option.value.block_number
        forwarded.append(requests.Option(number, option.encode()))
    return requests.Request(
        code=code,
        idempotent=code in IDEMPOTENT_CODES,
        path=path or "/",
        exchange=message.mid.to_bytes(MESSAGE_ID_BYTES, "big") + message.token,
        options=tuple(forwarded),
        payload=message.payload,
        token=token,
        block=block,
        deadline=deadline,
    )


def _deadline_seconds(value: bytes) -> float:
    return min(int.from_bytes(value, "big"), MAX_DEADLINE_MS) / 1000


def _reject_undecodable(
    raw: bytes, error: errors.PacketError
) -> CallerDatagram:
    # Only a confirmable message of CoAP version 1 is answered with a reset
    # (RFC 7252, section 4.2).
    if len(raw) < HEADER.size or raw[0] >> 4 != 0b0100:
        raise error
    _, _, message_id = HEADER.unpack_from(raw)
    return CallerDatagram(
        message_id, True, reply=_reset(message_id), kind=error.kind
    )


def _reject_code(message: aiocoap.Message, code: int) -> CallerDatagram:
    if code == 0:
        if message.mtype != types.CON:
            raise errors.PacketError(
                "stray", "empty message that is not confirmable"
            )
        reset = _reset(message.mid)
        return CallerDatagram(message.mid, True, reply=reset, kind="ping")
    if code >> 5:
        raise errors.PacketError("stray", "response instead of a request")
    return _error_reply(message, codes.METHOD_NOT_ALLOWED, "method")


def _error_reply(
    message: aiocoap.Message, code: codes.Code, kind: str
) -> CallerDatagram:
    confirmable = message.mtype == types.CON
    reply = aiocoap.Message(
        code=code,
        _mtype=types.ACK if confirmable else types.NON,
        _mid=message.mid,
        _token=message.token,
    )
    return CallerDatagram(
        message.mid, confirmable, reply=reply.encode(), kind=kind
    )


def _reset(message_id: int) -> bytes:
    return HEADER.pack(0b0111 << 4, 0, message_id)


def encode_response(
    path: requests.ReplyPath, exchange: bytes, response: requests.Response
) -> bytes:
    """Encode a response for the caller.

    The response to a confirmable request is piggybacked on its
    acknowledgement. Outcomes without a backend server's response are sent
    with their code in :data:`OUTCOME_CODES`.

    :param exchange: message ID and token of the request.
    """
    code = response.code
    if response.outcome != requests.Outcome.ANSWER:
        code = OUTCOME_CODES[response.outcome]
    message = aiocoap.Message(
        code=code,
        payload=response.payload,
        _mtype=types.ACK if path.confirmable else types.NON,
        _mid=path.message_id,
        _token=exchange[MESSAGE_ID_BYTES:],
    )
    _add_options(message, response.options)
    if response.token:
        message.opt.echo = response.token
    if response.outcome == requests.Outcome.NOT_RUN:
        message.opt.max_age = max(1, round(response.retry_after))
    return message.encode()


def encode_request(
    message_id: int, token: bytes, request: requests.Request, deadline: float
) -> bytes:
    """Encode a request for a backend server.

    :param token: token that the backend server returns with its response.
    :param deadline: seconds for which the caller still waits.
    """
    message = aiocoap.Message(
        code=request.code,
        payload=request.payload,
        _mtype=types.CON,
        _mid=message_id,
        _token=token,
    )
    _add_options(message, request.options)
    milliseconds = min(round(deadline * 1000), MAX_DEADLINE_MS)
    encoded = milliseconds.to_bytes(4, "big").lstrip(b"\0")
    _add_option(message, DEADLINE, encoded)
    return message.encode()


def encode_reset(message_id: int) -> bytes:
    """Encode the reset that cancels a request at a backend server."""
    return _reset(message_id)


def encode_acknowledgement(message_id: int) -> bytes:
    """Encode the acknowledgement of a separate response."""
    return HEADER.pack(0b0110 << 4, 0, message_id)


def read_response(raw: bytes) -> ServerDatagram | None:
    """Decode a backend server's datagram.

    :returns: None for an empty acknowledgement; the response follows
        separately.
    :raises PacketError: if the datagram is not a response.
    """
    message = decode(raw)
    if message.code == codes.EMPTY and message.mtype == types.ACK:
        return None
    if not int(message.code) >> 5 >= 2:
        raise errors.PacketError(
            "stray", "datagram from a backend server is not a response"
        )
    options = tuple(
        requests.Option(int(option.number), option.encode())
        for option in message.opt.option_list()
        if int(option.number) not in ENTRY_HOST_OPTIONS
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
        declined=code in DECLINED_CODES,
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
    received: CallerDatagram,
    caller: addresses.Address,
    service: addresses.Address,
    via: addresses.Address | None,
) -> requests.ReplyPath:
    """Return the path on which the response to a request is sent.

    :param service: the service address that the caller used.
    :param via: tunnel endpoint of the network fabric, or None if the datagram
        came directly from the caller.
    """
    return requests.ReplyPath(
        caller, service, via, received.message_id, received.confirmable
    )
