"""Packets of flows and what an entry host decides about them."""

import attrs

from vanilladrum.core import backend as backends


@attrs.frozen
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

    key: bytes
    service: bytes
    opens: bool
    copies: int
    closes: bool
    tag: int
    raw: bytes = attrs.field(repr=False)


@attrs.frozen
class Forward:
    """Send the packet to a backend server."""

    server: backends.Backend


@attrs.frozen
class Reset:
    """Tell the caller that its flow was not opened.

    :param reason: counter name, such as ``no_route``.
    """

    reason: str


@attrs.frozen
class Ignore:
    """Leave the packet unanswered.

    :param reason: counter name, such as ``unknown_tag``.
    """

    reason: str


Decision = Forward | Reset | Ignore
