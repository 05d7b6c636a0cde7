"""What goes into the core of an entry host and what comes out of it."""

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import request as requests


@attrs.frozen
class CallerPacket:
    """A caller's request as it reached this host.

    :param raw: the datagram, forwarded unchanged when it is not ours.
    :param hops: entry hosts that have forwarded it so far.
    :param judge: whether we are asked as the witness of a lost owner.
    """

    raw: bytes
    request: requests.Request
    path: requests.ReplyPath
    hops: int = 0
    judge: bool = False


@attrs.frozen
class ServerReply:
    """A backend server's reply to one attempt.

    :param declined: the server says that it did not run the request.
    """

    attempt: int
    response: requests.Response
    declined: bool = False


@attrs.frozen
class PeerMessage:
    """A message of another entry host."""

    source: addresses.Address
    message: object


@attrs.frozen
class SendToCaller:
    """Send a response on the way that the request came."""

    path: requests.ReplyPath
    exchange: bytes
    response: requests.Response


@attrs.frozen
class SendToServer:
    """Send an attempt; a repetition has the same number.

    :param deadline: seconds that the caller still waits.
    """

    attempt: int
    server: addresses.Address
    request: requests.Request
    deadline: float


@attrs.frozen
class CancelAtServer:
    """Tell a server that an attempt's answer is not wanted any more."""

    attempt: int
    server: addresses.Address


@attrs.frozen
class SendToPeer:
    """Send a message to another entry host."""

    to: addresses.Address
    message: object


Action = SendToCaller | SendToServer | CancelAtServer | SendToPeer
