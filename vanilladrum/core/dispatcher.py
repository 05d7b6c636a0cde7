"""Slots and the queue of one service at its dispatcher."""

import random

import attrs

from vanilladrum.core import fleet as fleets
from vanilladrum.core import health as healths
from vanilladrum.core import job as jobs
from vanilladrum.core import policy as policies
from vanilladrum.core import queue as queues
from vanilladrum.core import serverstate

MAX_ATTEMPTS = 3
BUDGET_CAP = 10.0
HEDGE_QUANTILE = 0.95
HEDGE_STEP = 0.1
HEDGE_FLOOR = 0.01
CREDIT_CAP = 4.0


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

    job: jobs.Job
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
    retry_budget: float = BUDGET_CAP
    hedge_budget: float = BUDGET_CAP
    hedge_delay: float = 1.0
    urgent: queues.ClassQueue = attrs.field(factory=queues.ClassQueue)
    bulk: queues.ClassQueue = attrs.field(factory=queues.ClassQueue)
    bulk_credit: float = 0.0

    @property
    def queued(self) -> int:
        """Return how many jobs wait."""
        return self.urgent.size + self.bulk.size

    def queue_of(self, job: jobs.Job) -> queues.ClassQueue:
        """Return the queue of a job's class."""
        if job.priority == fleets.Priority.URGENT:
            return self.urgent
        return self.bulk

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
                slots.server, state=serverstate.ServerState.LEAVING
            )
        for server in service.servers:
            known = self.servers.get(server.number)
            if known is not None:
                known.server = server
                continue
            warm_at = 0.0 if first else now + service.slow_start
            self.servers[server.number] = ServerSlots(server, warm_at=warm_at)

    def admits(self, job: jobs.Job, now: float) -> bool:
        """Return whether a job has a chance to be served in time."""
        queue = self.queue_of(job)
        if queue.crowded(job, self.service.max_queue):
            return False
        return now + queue.expected_wait(job) <= job.due

    def enqueue(self, job: jobs.Job) -> None:
        """Queue a job behind those of its class."""
        self.queue_of(job).add(job, self._keeps_home(job))

    def withdraw(self, job: jobs.Job) -> None:
        """Take a job out of its queue."""
        self.queue_of(job).remove(job)

    def pump(self, now: float) -> list[Start]:
        """Start queued jobs on free slots."""
        started: list[Start] = []
        while self.queued:
            start = self._start_next(now)
            if start is None:
                break
            started.append(start)
        return started

    def _start_next(self, now: float) -> Start | None:
        for queue in self._by_turn(now):
            start = self._start_from(queue, now)
            if start is not None:
                self._charge(queue)
                queue.started(now)
                return start
        return None

    def _by_turn(
        self, now: float
    ) -> tuple[queues.ClassQueue, queues.ClassQueue]:
        """Put urgent work first, except when bulk work is owed a turn.

        It is when it has waited for the aging time and its share of the
        slots is not used up: a short crest of urgent work passes before
        it, a lasting one does not stop it.
        """
        oldest = self.bulk.head()
        aged = (
            oldest is not None
            and now - oldest.arrived >= self.service.aging
            and self.bulk_credit >= self.bulk.mean_seconds
        )
        if aged:
            return self.bulk, self.urgent
        return self.urgent, self.bulk

    def _charge(self, started: queues.ClassQueue) -> None:
        """Keep the account of the share of slots that bulk work is owed."""
        if started is self.bulk:
            left = self.bulk_credit - self.bulk.mean_seconds
            self.bulk_credit = max(0.0, left)
            return
        if not self.bulk.size:
            return
        share = self.service.bulk_share
        owed = self.urgent.mean_seconds * share / (1 - share)
        cap = CREDIT_CAP * self.bulk.mean_seconds
        self.bulk_credit = min(cap, self.bulk_credit + owed)

    def _start_from(
        self, queue: queues.ClassQueue, now: float
    ) -> Start | None:
        job = queue.head()
        if job is not None:
            free = self._free(now, job)
            if free:
                choice = policies.find(self.service.policy)
                slots = self.servers[choice(free, self.rng).number]
                rival = queue.head(slots.number)
                if rival is not None and rival.rank < job.rank:
                    job = rival
                return self._start(job, slots, now)
        for number in queue.pinned:
            job = queue.head(number)
            home = self.servers.get(number)
            if job is None or home is None:
                continue
            if home.busy < home.limit(now) and self._may_use(home, now):
                return self._start(job, home, now)
        return None

    def second_copy(self, job: jobs.Job, now: float) -> Start | None:
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

    def answered(self, job: jobs.Job, number: int, seconds: float) -> None:
        """Learn from an answer."""
        self.queue_of(job).ran(seconds)
        slots = self.servers.get(number)
        if slots is not None:
            slots.health.succeeded()
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

    def may_retry(self, job: jobs.Job) -> bool:
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
        if seconds > self.hedge_delay:
            factor = 1 + HEDGE_STEP * HEDGE_QUANTILE
        else:
            factor = 1 - HEDGE_STEP * (1 - HEDGE_QUANTILE)
        self.hedge_delay = max(self.hedge_delay * factor, HEDGE_FLOOR)

    def _keeps_home(self, job: jobs.Job) -> bool:
        home = self.servers.get(job.home)
        if home is None or job.home in job.tried:
            return False
        if home.health.ejected_until > job.arrived:
            return False
        # A block-wise transfer ends where it began, leaving or not.
        active = home.server.state == serverstate.ServerState.ACTIVE
        return active or bool(job.request.block)

    def _may_use(self, slots: ServerSlots, now: float) -> bool:
        return slots.health.takes_work(now)

    def _free(self, now: float, job: jobs.Job) -> list[ServerSlots]:
        found = []
        for slots in self.servers.values():
            if slots.server.state != serverstate.ServerState.ACTIVE:
                continue
            if slots.busy >= slots.limit(now):
                continue
            if not self._may_use(slots, now):
                continue
            found.append(slots)
        fresh = [each for each in found if each.number not in job.tried]
        return fresh or found

    def _start(self, job: jobs.Job, slots: ServerSlots, now: float) -> Start:
        self.withdraw(job)
        slots.busy += 1
        job.attempts += 1
        job.waited = now - job.arrived
        job.tried.add(slots.number)
        return Start(job, slots.server)
