"""A request that is queued for a slot or runs on a backend server."""

import attrs

from vanilladrum.core import fleet as fleets
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens


@attrs.define(eq=False)
class Job:
    """A request at the dispatcher of its service.

    :param key: connection id and exchange of the request.
    :param arrived_at: when it reached the dispatcher, seconds.
    :param due: when the caller stops waiting, seconds.
    :param home: number of the home backend server, or ``NO_SERVER``.
    :param blockwise: whether it is part of a block-wise transfer.
    :param caller: identity for the caller's share of the queue.
    :param rank: sort key in the queue, seconds; set when it is queued.
    :param order: sequence number in the queue; decides between equal ranks.
    :param pinned: whether only the home server may start it.
    :param finished: whether its response is final.
    :param attempt_count: attempts started so far, without hedged copies.
    :param tried_servers: numbers of the servers that it was started on,
        without hedged copies.
    :param running_attempts: server number by attempt number.
    :param may_have_run: whether an attempt got no reply.
    :param waited: seconds from arrival to its latest start.
    """

    key: tuple[bytes, bytes]
    request: requests.Request
    token: tokens.Token
    priority: fleets.Priority
    arrived_at: float
    due: float
    home: int = tokens.NO_SERVER
    blockwise: bool = False
    caller: object = None
    rank: float = 0.0
    order: int = 0
    pinned: bool = False
    queued: bool = False
    finished: bool = False
    may_have_run: bool = False
    attempt_count: int = 0
    tried_servers: set[int] = attrs.field(factory=set)
    running_attempts: dict[int, int] = attrs.field(factory=dict)
    waited: float = 0.0
