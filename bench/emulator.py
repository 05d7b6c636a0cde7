"""Virtual time, seeded work and servers with slots, for comparisons."""

import collections
from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from vanilladrum.core import job as jobs

HOSTS = 7
SERVICE_SECONDS = 0.02
STRAGGLER_RATIO = 0.02
STRAGGLER_FACTOR = 20
BULK_RATIO = 0.05
BULK_FACTOR = 4
SWING_SECONDS = 5.0
CREST_SECONDS = 1.0
CREST_LOAD = 0.9
SWING_FACTOR = 10
SECONDS = 120.0


@attrs.define(eq=False)
class Work:
    """A request with the time that it will run."""

    arrived: float
    seconds: float
    bulk: bool
    host: int
    crest: bool
    started: float = 0.0
    ended: float = 0.0
    job: jobs.Job | None = None


def arrivals(seed: int, slots: int) -> list[Work]:
    """Return the work of one run; demand swings tenfold."""
    rng = random.Random(seed)
    mean = SERVICE_SECONDS * (
        1
        - STRAGGLER_RATIO
        - BULK_RATIO
        + STRAGGLER_RATIO * STRAGGLER_FACTOR
        + BULK_RATIO * BULK_FACTOR
    )
    peak = CREST_LOAD * slots / mean
    found = []
    now = 0.0
    while now < SECONDS:
        crest = now % SWING_SECONDS >= SWING_SECONDS - CREST_SECONDS
        rate = peak if crest else peak / SWING_FACTOR
        now += rng.expovariate(rate)
        draw = rng.random()
        seconds = SERVICE_SECONDS * rng.uniform(0.8, 1.2)
        bulk = draw >= 1 - BULK_RATIO
        if draw < STRAGGLER_RATIO:
            seconds *= STRAGGLER_FACTOR
        if bulk:
            seconds *= BULK_FACTOR
        found.append(Work(now, seconds, bulk, rng.randrange(HOSTS), crest))
    return found


@attrs.define(eq=False)
class Server:
    """Slots and, for the ways that allow it, a queue at the server."""

    number: int
    slots: int
    running: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)


@attrs.define(eq=False)
class Run:
    """Virtual time and the servers of one run."""

    servers: list[Server]
    rng: random.Random
    now: float = 0.0
    over_slots: int = 0
    control_bytes: int = 0
    _events: list = attrs.field(factory=list)
    finished: int = 0
    _order: itertools.count = attrs.field(factory=itertools.count)

    def later(self, wait: float, action: Callable[[], None]) -> None:
        """Run an action after some seconds."""
        entry = (self.now + wait, next(self._order), action)
        heapq.heappush(self._events, entry)

    def play(self, work: list[Work], way: object) -> None:
        """Feed all work to a way and run until nothing is left."""
        for each in work:
            self.later(each.arrived, lambda each=each: way.arrive(each))
        left = len(work)
        while self._events and left:
            self.now, _, action = heapq.heappop(self._events)
            action()
            left = len(work) - self.finished

    def begin(self, work: Work, server: Server, way: object) -> None:
        """Start work on a server's slot."""
        server.running += 1
        work.started = self.now

        def end() -> None:
            server.running -= 1
            work.ended = self.now
            self.finished += 1
            way.ended(work, server)

        self.later(work.seconds, end)
