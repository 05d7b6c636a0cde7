"""Requests and responses, independent of the caller's protocol."""

import enum

import attrs

from vanilladrum.core import address as addresses


class Outcome(enum.Enum):
    """Result of a request that is reported to its caller.

    ``ANSWER`` carries a backend server's response. ``NOT_RUN`` and
    ``UNKNOWN`` say that the request did not run or that it may have run.
    ``RENEW_TOKEN`` asks to repeat the request with a new token.
    ``REJECTED`` is currently unused.
    """

    ANSWER = "answer"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RENEW_TOKEN = "renew_token"
    REJECTED = "rejected"


@attrs.frozen
class Option:
    """A protocol option that is passed on without being interpreted.

    :param number: option number of the caller's protocol.
    :param value: raw bytes.
    """

    number: int
    value: bytes


@attrs.frozen
class Request:
    """One request of a caller.

    :param code: method code of the caller's protocol.
    :param idempotent: whether running it twice has the same effect as
        running it once.
    :param path: absolute path, such as ``/slots/3``.
    :param exchange: opaque bytes that identify this request among the
        caller's requests; equal in all copies of it.
    :param options: options that are passed on to the backend server.
    :param payload: body, at most one datagram.
    :param token: sealed connection token, empty on a new connection.
    :param block: number of the block in a block-wise transfer, or None.
    :param deadline: seconds that the caller will still wait, or None.
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
    """Response to a request.

    :param outcome: result that is reported to the caller.
    :param code: response code of the backend server's answer.
    :param options: options that are passed on to the caller.
    :param payload: body of the answer.
    :param retry_after: seconds after which the caller should retry.
    :param token: sealed connection token for the caller's next requests.
    """

    outcome: Outcome
    code: int = 0
    options: tuple[Option, ...] = ()
    payload: bytes = b""
    retry_after: float = 0.0
    token: bytes = b""


@attrs.frozen
class ReplyPath:
    """Addresses and message details needed to send a response.

    :param caller: the caller's endpoint.
    :param service: the service address that the caller used.
    :param via: tunnel endpoint of the network fabric, or None if the
        datagram came directly from the caller.
    :param message_id: message ID of the caller's datagram.
    :param confirmable: whether the caller asked for an acknowledgement.
    """

    caller: addresses.Address
    service: addresses.Address
    via: addresses.Address | None
    message_id: int
    confirmable: bool
