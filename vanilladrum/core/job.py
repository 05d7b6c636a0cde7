"""A request that waits for a slot or holds one."""

import attrs

from vanilladrum.core import fleet as fleets
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens


@attrs.define(eq=False)
class Job:
    """A request at the dispatcher of its service.

    :param arrived: when it reached the dispatcher, seconds.
    :param due: when the caller stops waiting, seconds.
    :param home: number of the server it is pinned to, or ``NO_SERVER``.
    :param transfer: whether it is part of a block-wise transfer.
    :param caller: whose share of the queue it counts against.
    :param tried: numbers of the servers that had it.
    :param running: server number by attempt number.
    :param may_have_run: whether an attempt ended in silence.
    :param waited: seconds that it waited for its last slot.
    """

    key: tuple[bytes, bytes]
    request: requests.Request
    token: tokens.Token
    priority: fleets.Priority
    arrived: float
    due: float
    home: int = tokens.NO_SERVER
    transfer: bool = False
    caller: object = None
    rank: float = 0.0
    order: int = 0
    pinned: bool = False
    queued: bool = False
    finished: bool = False
    may_have_run: bool = False
    attempts: int = 0
    tried: set[int] = attrs.field(factory=set)
    running: dict[int, int] = attrs.field(factory=dict)
    waited: float = 0.0
