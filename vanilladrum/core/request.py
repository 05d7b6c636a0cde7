"""Typed requests and responses, free of any caller protocol."""

import enum

import attrs

from vanilladrum.core import address as addresses


class Outcome(enum.Enum):
    """What a caller is told about its request."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RENEW_TOKEN = "renew_token"
    REJECTED = "rejected"


@attrs.frozen
class Option:
    """A protocol option that passes through unread.

    :param number: option number of the caller's protocol.
    :param value: raw bytes.
    """

    number: int
    value: bytes


@attrs.frozen
class Request:
    """One request of a caller.

    :param code: method code of the caller's protocol.
    :param idempotent: whether running it twice equals running it once.
    :param path: absolute path, such as ``/slots/3``.
    :param exchange: what tells this request from the caller's others and
        is equal in all copies of it; opaque bytes.
    :param options: options that pass through to the backend server.
    :param payload: body, at most one datagram.
    :param token: sealed connection token, empty on first contact.
    :param block: number of the block in a block-wise transfer, or None.
    :param deadline: seconds the caller still waits, or None.
    """

    code: int
    idempotent: bool
    path: str
    exchange: bytes
    options: tuple[Option, ...] = ()
    payload: bytes = b""
    token: bytes = b""
    block: int | None = None
    deadline: float | None = None


@attrs.frozen
class Response:
    """What is sent back for a request.

    :param outcome: what the caller is told.
    :param code: response code of a backend server's own answer.
    :param options: options that pass through to the caller.
    :param payload: body of the answer.
    :param retry_after: seconds after which a retry is sensible.
    :param token: sealed connection token for the caller to keep.
    """

    outcome: Outcome
    code: int = 0
    options: tuple[Option, ...] = ()
    payload: bytes = b""
    retry_after: float = 0.0
    token: bytes = b""


@attrs.frozen
class ReplyPath:
    """Where and how a response reaches the caller.

    :param caller: the caller's endpoint.
    :param service: the service address that the caller used.
    :param via: tunnel endpoint of the fabric, or None when direct.
    :param message_id: message ID of the caller's datagram.
    :param confirmable: whether the caller asked for an acknowledgement.
    """

    caller: addresses.Address
    service: addresses.Address
    via: addresses.Address | None
    message_id: int
    confirmable: bool
