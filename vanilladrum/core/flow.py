"""Packets of flows and what an entry host decides about them."""

from vanilladrum.core import backend as backends


class Packet:
    """A caller's packet.

    :param key: the flow's four addresses and ports, 12 bytes.
    :param service: the address that it was sent to, packed (6 bytes).
    :param opens: whether it asks for a new flow.
    :param copies: how often that request was sent before.
    :param closes: whether the caller ends the flow.
    :param tag: server of the flow, 0 while it has none.
    :param raw: the whole packet.
    """

    __slots__ = ("key", "service", "opens", "copies", "closes", "tag", "raw")

    def __init__(
        self,
        key: bytes,
        service: bytes,
        opens: bool,
        copies: int,
        closes: bool,
        tag: int,
        raw: bytes,
    ) -> None:
        self.key = key
        self.service = service
        self.opens = opens
        self.copies = copies
        self.closes = closes
        self.tag = tag
        self.raw = raw


class Forward:
    """Send the packet to a backend server."""

    __slots__ = ("server",)

    def __init__(self, server: backends.Backend) -> None:
        self.server = server


class Reset:
    """Tell the caller that its flow was not opened.

    :param reason: counter name, such as ``no_route``.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Ignore:
    """Leave the packet unanswered.

    :param reason: counter name, such as ``unknown_tag``.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


Decision = Forward | Reset | Ignore
