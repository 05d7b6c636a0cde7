"""Discrete-event simulator of servers with slots and seeded arrivals.

Used to compare policies on the same arrivals in virtual time.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from vanilladrum.core import job as jobs

HOSTS = 7
# Mean execution time of work that is neither a straggler nor bulk.
SERVICE_SECONDS = 0.02
STRAGGLER_RATIO = 0.02
STRAGGLER_FACTOR = 20
BULK_RATIO = 0.05
BULK_FACTOR = 4
DEMAND_PERIOD_SECONDS = 5.0
# Each period ends with a peak.
PEAK_SECONDS = 1.0
# Offered load at a peak, as a share of the capacity.
PEAK_LOAD = 0.9
PEAK_TO_BASE_RATIO = 10
# Time during which work arrives; a run ends when all of it has finished.
SECONDS = 120.0


@attrs.define(eq=False)
class Work:
    """A request with its execution time.

    :param arrived: arrival time in seconds.
    :param seconds: execution time in seconds.
    :param bulk: whether the request has bulk priority.
    :param host: number of the entry host that receives it.
    :param in_peak: whether it arrived in a demand peak.
    :param started: start time in seconds.
    :param ended: end time in seconds, 0 until then.
    """

    arrived: float
    seconds: float
    bulk: bool
    host: int
    in_peak: bool
    started: float = 0.0
    ended: float = 0.0
    job: jobs.Job | None = None


def arrivals(seed: int, slots: int) -> list[Work]:
    """Return the arrivals of one run, with periodic peaks of demand.

    :param slots: number of slots on all servers.
    """
    rng = random.Random(seed)
    mean = SERVICE_SECONDS * (
        1
        - STRAGGLER_RATIO
        - BULK_RATIO
        + STRAGGLER_RATIO * STRAGGLER_FACTOR
        + BULK_RATIO * BULK_FACTOR
    )
    peak_rate = PEAK_LOAD * slots / mean
    work = []
    now = 0.0
    while now < SECONDS:
        in_peak = (
            now % DEMAND_PERIOD_SECONDS >= DEMAND_PERIOD_SECONDS - PEAK_SECONDS
        )
        rate = peak_rate if in_peak else peak_rate / PEAK_TO_BASE_RATIO
        now += rng.expovariate(rate)
        draw = rng.random()
        seconds = SERVICE_SECONDS * rng.uniform(0.8, 1.2)
        bulk = draw >= 1 - BULK_RATIO
        if draw < STRAGGLER_RATIO:
            seconds *= STRAGGLER_FACTOR
        if bulk:
            seconds *= BULK_FACTOR
        work.append(Work(now, seconds, bulk, rng.randrange(HOSTS), in_peak))
    return work


@attrs.define(eq=False)
class Server:
    """A server with slots and a queue.

    :param running: number of slots in use.
    :param queue: waiting work, for policies that queue at the server.
    """

    number: int
    slots: int
    running: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)


@attrs.define(eq=False)
class Run:
    """Event queue, virtual time and servers of one run.

    :param now: virtual time in seconds.
    :param over_slots: number of assignments to servers without a free slot.
    :param control_bytes: bytes sent between entry hosts for coordination.
    :param finished: number of requests that have ended or were refused.
    """

    servers: list[Server]
    rng: random.Random
    now: float = 0.0
    over_slots: int = 0
    control_bytes: int = 0
    _events: list = attrs.field(factory=list)
    finished: int = 0
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def later(self, wait: float, action: Callable[[], None]) -> None:
        """Schedule an action in virtual time.

        :param wait: delay in seconds.
        """
        event = (self.now + wait, next(self._sequence), action)
        heapq.heappush(self._events, event)

    def play(self, work: list[Work], policy: object) -> None:
        """Pass all work to a policy and run until all of it has finished."""
        for each in work:
            self.later(each.arrived, lambda each=each: policy.arrive(each))
        remaining = len(work)
        while self._events and remaining:
            self.now, _, action = heapq.heappop(self._events)
            action()
            remaining = len(work) - self.finished

    def begin(self, work: Work, server: Server, policy: object) -> None:
        """Start work on a server and schedule its end.

        :param policy: its method ``ended`` is called at the end.
        """
        server.running += 1
        work.started = self.now

        def end() -> None:
            server.running -= 1
            work.ended = self.now
            self.finished += 1
            policy.ended(work, server)

        self.later(work.seconds, end)
