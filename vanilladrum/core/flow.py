"""Packets of flows and what an entry host decides about them."""

from vanilladrum.core import backend as backends


class Packet:
    """A packet from a caller.

    :param key: source and destination address and port, 12 bytes.
    :param service: destination address and port, packed into 6 bytes.
    :param opens: whether this is the first packet of a flow.
    :param copies: how often the caller sent this first packet before; a
        packet that the network duplicated has the same number as the
        original.
    :param closes: whether the caller ends the flow.
    :param has_data: whether it carries data of a request.
    :param sequence: number of its first byte in the caller's data, modulo
        2**32.
    :param acknowledged: number of the next byte that the caller expects from
        the server, modulo 2**32.
    :param tag: tag of the flow's server, 0 if none is assigned yet.
    :param raw: the packet with its header.
    """

    __slots__ = (
        "key",
        "service",
        "opens",
        "copies",
        "closes",
        "has_data",
        "sequence",
        "acknowledged",
        "tag",
        "raw",
    )

    def __init__(
        self,
        key: bytes,
        service: bytes,
        opens: bool,
        copies: int,
        closes: bool,
        has_data: bool,
        sequence: int,
        acknowledged: int,
        tag: int,
        raw: bytes,
    ) -> None:
        self.key = key
        self.service = service
        self.opens = opens
        self.copies = copies
        self.closes = closes
        self.has_data = has_data
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.tag = tag
        self.raw = raw


class Forward:
    """Decision to send the packet to a backend server.

    :param server: the server that receives the packet.
    """

    __slots__ = ("server",)

    def __init__(self, server: backends.Backend) -> None:
        self.server = server


class Reset:
    """Decision to send a reset.

    The flow was not opened, or its server no longer exists and its requests
    may be sent again.

    :param reason: counter name, such as ``no_route``.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Ignore:
    """Decision to drop the packet without an answer.

    :param reason: counter name, such as ``unknown_tag``.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


Decision = Forward | Reset | Ignore


class ResetFlow:
    """Action that resets a flow without a packet that causes it.

    :param key: source and destination address and port, 12 bytes.
    :param acknowledged: the caller's last acknowledgement number.
    :param reason: counter name, such as ``server_dead``.
    """

    __slots__ = ("key", "acknowledged", "reason")

    def __init__(self, key: bytes, acknowledged: int, reason: str) -> None:
        self.key = key
        self.acknowledged = acknowledged
        self.reason = reason


class SendFirstPacket:
    """Action that sends a caller's first packet to a server.

    :param packet: the packet as received from the caller.
    :param server: the server that receives it.
    """

    __slots__ = ("packet", "server")

    def __init__(self, packet: Packet, server: backends.Backend) -> None:
        self.packet = packet
        self.server = server


class Hedge(SendFirstPacket):
    """Action that sends a slow first packet to a second server.

    :param first_server: the server that has not answered it.
    :param waited: seconds since it was sent there.
    :param limit: seconds after which an opening of the service is slow.
    """

    __slots__ = ("first_server", "waited", "limit")

    def __init__(
        self,
        packet: Packet,
        server: backends.Backend,
        first_server: backends.Backend,
        waited: float,
        limit: float,
    ) -> None:
        super().__init__(packet, server)
        self.first_server = first_server
        self.waited = waited
        self.limit = limit


# What the core asks the daemon to do at a tick, without a packet from outside.
Action = ResetFlow | SendFirstPacket
