"""Slots and the queue of one service at its dispatcher."""

import heapq
import random

import attrs

from vanilladrum.core import fleet as fleets
from vanilladrum.core import health as healths
from vanilladrum.core import policy as policies
from vanilladrum.core import request as requests
from vanilladrum.core import token as tokens

MAX_ATTEMPTS = 3
BUDGET_CAP = 10.0
SMOOTHING = 0.05
HEDGE_QUANTILE = 0.95
HEDGE_FACTOR = 1.5
HEDGE_FLOOR = 0.01
FAIRNESS = 0.02


@attrs.define(eq=False)
class Job:
    """A request that waits for a slot or holds one.

    :param arrived: when it reached the dispatcher, seconds.
    :param due: when the caller stops waiting, seconds.
    :param home: number of the server it is pinned to, or ``NO_SERVER``.
    :param transfer: whether it is part of a block-wise transfer.
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
    attempts: int = 0
    queued: bool = False
    finished: bool = False
    tried: set[int] = attrs.field(factory=set)
    running: dict[int, int] = attrs.field(factory=dict)
    waited: float = 0.0


@attrs.define
class ServerSlots:
    """Slots of one backend server as its dispatcher counts them."""

    server: fleets.Server
    busy: int = 0
    health: healths.Health = attrs.field(factory=healths.Health)
    warm_at: float = 0.0

    @property
    def number(self) -> int:
        """Return the server's number in its service."""
        return self.server.number

    @property
    def slots(self) -> int:
        """Return how many requests the server runs at once."""
        return self.server.slots

    def limit(self, now: float) -> int:
        """Return the slots that may be used now; one while it is cold."""
        return 1 if now < self.warm_at else self.server.slots


@attrs.frozen
class Start:
    """A job that begins on a server."""

    job: Job
    server: fleets.Server


@attrs.define
class Dispatcher:
    """Grants the slots of one service.

    :param service: the configuration in force.
    :param rng: source of random choices.
    """

    service: fleets.Service
    rng: random.Random
    servers: dict[int, ServerSlots] = attrs.field(factory=dict)
    queued: int = 0
    mean_seconds: float = 0.02
    retry_budget: float = BUDGET_CAP
    hedge_budget: float = BUDGET_CAP
    hedge_delay: float = 1.0
    _shared: list[tuple[float, int, Job]] = attrs.field(factory=list)
    _pinned: dict[int, list] = attrs.field(factory=dict)
    _outstanding: dict[object, int] = attrs.field(factory=dict)
    _order: int = 0

    def configure(self, service: fleets.Service, now: float) -> None:
        """Adopt a newer configuration of the service."""
        first = not self.servers
        self.service = service
        numbers = {server.number for server in service.servers}
        for number in list(self.servers):
            if number in numbers or self.servers[number].busy:
                continue
            del self.servers[number]
        for number, slots in self.servers.items():
            if number in numbers:
                continue
            slots.server = attrs.evolve(
                slots.server, state=fleets.ServerState.LEAVING
            )
        for server in service.servers:
            known = self.servers.get(server.number)
            if known is not None:
                known.server = server
                continue
            warm_at = 0.0 if first else now + service.slow_start
            self.servers[server.number] = ServerSlots(server, warm_at=warm_at)

    def expected_wait(self) -> float:
        """Return the seconds that a new request would wait, estimated."""
        slots = sum(
            each.slots
            for each in self.servers.values()
            if each.server.state == fleets.ServerState.ACTIVE
        )
        if not slots:
            return 0.0
        return self.queued * self.mean_seconds / slots

    def admits(self, job: Job, now: float) -> bool:
        """Return whether a job has a chance to be served in time."""
        if self.queued >= self.service.max_queue:
            return False
        return now + self.expected_wait() <= job.due

    def enqueue(self, job: Job) -> None:
        """Queue a job behind those of its class and its caller."""
        self._order += 1
        outstanding = self._outstanding.get(job.caller, 0)
        job.rank = (
            job.arrived
            + job.priority * self.service.aging
            + outstanding * FAIRNESS
        )
        self._outstanding[job.caller] = outstanding + 1
        job.queued = True
        self.queued += 1
        entry = (job.rank, self._order, job)
        if self._keeps_home(job):
            heapq.heappush(self._pinned.setdefault(job.home, []), entry)
            return
        heapq.heappush(self._shared, entry)

    def withdraw(self, job: Job) -> None:
        """Take a job out of the queue; its entry is skipped later."""
        if not job.queued:
            return
        job.queued = False
        self.queued -= 1
        left = self._outstanding.get(job.caller, 1) - 1
        if left:
            self._outstanding[job.caller] = left
        else:
            self._outstanding.pop(job.caller, None)

    def pump(self, now: float) -> list[Start]:
        """Start queued jobs on free slots, best rank first."""
        started: list[Start] = []
        while True:
            job = self._head(self._shared)
            if job is None:
                break
            free = self._free(now, job)
            if not free:
                break
            choice = policies.find(self.service.policy)
            slots = self.servers[choice(free, self.rng).number]
            rival = self._head(self._pinned.get(slots.number, []))
            if rival is not None and rival.rank < job.rank:
                job = rival
            started.append(self._start(job, slots, now))
        for number, heap in self._pinned.items():
            started.extend(self._pump_pinned(number, heap, now))
        return started

    def _pump_pinned(self, number: int, heap: list, now: float) -> list[Start]:
        started: list[Start] = []
        slots = self.servers.get(number)
        while slots is not None and slots.busy < slots.limit(now):
            if not self._may_use(slots, now):
                break
            job = self._head(heap)
            if job is None:
                break
            started.append(self._start(job, slots, now))
        return started

    def second_copy(self, job: Job, now: float) -> Start | None:
        """Start a second copy of a straggler, if budget and slots allow."""
        if self.hedge_budget < 1 or self.queued or job.finished:
            return None
        free = [
            each
            for each in self._free(now, job)
            if each.number not in job.running.values()
        ]
        if not free:
            return None
        self.hedge_budget -= 1
        choice = policies.find(self.service.policy)
        slots = self.servers[choice(free, self.rng).number]
        slots.busy += 1
        return Start(job, slots.server)

    def release(self, number: int) -> None:
        """Free the slot of an attempt that ended."""
        slots = self.servers.get(number)
        if slots is not None and slots.busy:
            slots.busy -= 1

    def answered(self, number: int, seconds: float) -> None:
        """Learn from an answer."""
        slots = self.servers.get(number)
        if slots is not None:
            slots.health.succeeded()
        self.mean_seconds += SMOOTHING * (seconds - self.mean_seconds)
        self._learn_hedge_delay(seconds)
        self.retry_budget = min(
            BUDGET_CAP, self.retry_budget + self.service.retry_ratio
        )
        self.hedge_budget = min(
            BUDGET_CAP, self.hedge_budget + self.service.hedge_ratio
        )

    def declined(self, number: int, retry_after: float, now: float) -> None:
        """Learn from a server's own "not run"."""
        slots = self.servers.get(number)
        if slots is not None:
            slots.health.declined(now, retry_after)

    def failed(self, number: int, now: float) -> None:
        """Learn from a silent attempt; eject within the floor."""
        slots = self.servers.get(number)
        if slots is None or not slots.health.failed(now):
            return
        ejected = sum(
            1
            for each in self.servers.values()
            if each.health.ejected_until > now
        )
        keep = slots.health.thresholds.floor * len(self.servers)
        if len(self.servers) - ejected - 1 < keep:
            return
        slots.health.eject(now)

    def may_retry(self, job: Job) -> bool:
        """Take one retry from the budget, if attempts and budget allow."""
        if job.attempts >= MAX_ATTEMPTS or self.retry_budget < 1:
            return False
        self.retry_budget -= 1
        return True

    def resumes_at(self, now: float) -> float | None:
        """Return when a resting server may take queued work again."""
        if not self.queued:
            return None
        rests = [
            each.health.resumes_at()
            for each in self.servers.values()
            if each.health.resumes_at() > now
        ]
        return min(rests, default=None)

    def _learn_hedge_delay(self, seconds: float) -> None:
        # Moves the estimate so that it rests at the wanted quantile.
        step = SMOOTHING * self.mean_seconds
        if seconds > self.hedge_delay:
            self.hedge_delay += step * HEDGE_QUANTILE
        else:
            self.hedge_delay -= step * (1 - HEDGE_QUANTILE)
        self.hedge_delay = max(self.hedge_delay, HEDGE_FLOOR)

    def _keeps_home(self, job: Job) -> bool:
        home = self.servers.get(job.home)
        if home is None or job.home in job.tried:
            return False
        if home.health.ejected_until > job.arrived:
            return False
        # A block-wise transfer ends where it began, leaving or not.
        active = home.server.state == fleets.ServerState.ACTIVE
        return active or bool(job.request.block)

    def _head(self, heap: list) -> Job | None:
        while heap and not heap[0][2].queued:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _may_use(self, slots: ServerSlots, now: float) -> bool:
        return slots.health.takes_work(now)

    def _free(self, now: float, job: Job) -> list[ServerSlots]:
        found = []
        for slots in self.servers.values():
            if slots.server.state != fleets.ServerState.ACTIVE:
                continue
            if slots.busy >= slots.limit(now):
                continue
            if not self._may_use(slots, now):
                continue
            found.append(slots)
        fresh = [each for each in found if each.number not in job.tried]
        return fresh or found

    def _start(self, job: Job, slots: ServerSlots, now: float) -> Start:
        self.withdraw(job)
        slots.busy += 1
        job.attempts += 1
        job.waited = now - job.arrived
        job.tried.add(slots.number)
        return Start(job, slots.server)
