"""Events that the core of an entry host handles and actions it returns."""

import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import request as requests


@attrs.frozen
class CallerPacket:
    """A caller's request, received directly or from another entry host.

    :param raw: the datagram, unchanged when it is forwarded.
    :param hops: number of entry hosts that have forwarded it so far.
    :param owner_lost: whether the sender asks this host to answer for a
        lost owner, as its witness or as a successor.
    """

    raw: bytes
    request: requests.Request
    reply_path: requests.ReplyPath
    hops: int = 0
    owner_lost: bool = False


@attrs.frozen
class ServerReply:
    """A backend server's reply to one attempt.

    :param attempt: number of the attempt.
    :param declined: whether the server says that it did not run the request.
    """

    attempt: int
    response: requests.Response
    declined: bool = False


@attrs.frozen
class PeerMessage:
    """A message from another entry host."""

    source: addresses.Address
    message: object


@attrs.frozen
class SendToCaller:
    """Send a response over the path that the request came from."""

    reply_path: requests.ReplyPath
    exchange: bytes
    response: requests.Response


@attrs.frozen
class SendToServer:
    """Send a request to a backend server.

    :param attempt: number of the attempt; a resend keeps the number.
    :param deadline: seconds that the caller will still wait.
    """

    attempt: int
    server: addresses.Address
    request: requests.Request
    deadline: float


@attrs.frozen
class CancelAtServer:
    """Tell a server that the answer to an attempt is no longer needed."""

    attempt: int
    server: addresses.Address


@attrs.frozen
class SendToPeer:
    """Send a message to another entry host."""

    destination: addresses.Address
    message: object


Action = SendToCaller | SendToServer | CancelAtServer | SendToPeer
