"""Slots, queues, and retry and hedging budgets of one service.

Hedging sends a second copy of an idempotent request to another backend
server when the first one is slow to answer.
"""

import random

import attrs

from vanilladrum.core import fleet as fleets
from vanilladrum.core import health as healths
from vanilladrum.core import job as jobs
from vanilladrum.core import policy as policies
from vanilladrum.core import queue as queues
from vanilladrum.core import serverstate

MAX_ATTEMPTS = 3
MAX_ATTEMPT_BUDGET = 10.0
HEDGE_QUANTILE = 0.95
# Relative to the current hedge delay.
HEDGE_DELAY_STEP = 0.1
MIN_HEDGE_DELAY_SECONDS = 0.01
# In mean running times of a bulk job.
MAX_BULK_CREDIT_JOBS = 4.0


@attrs.define
class ServerSlots:
    """Use of one backend server's slots, as counted by its dispatcher.

    :param busy: slots in use.
    :param slow_start_until: when the slow start of the server ends, seconds.
    """

    server: fleets.Server
    busy: int = 0
    health: healths.Health = attrs.field(factory=healths.Health)
    slow_start_until: float = 0.0

    @property
    def number(self) -> int:
        """Return the server's number in its service."""
        return self.server.number

    @property
    def slots(self) -> int:
        """Return how many requests the server can run at once."""
        return self.server.slots

    def limit(self, now: float) -> int:
        """Return how many slots may be used; one during slow start."""
        return 1 if now < self.slow_start_until else self.server.slots


@attrs.frozen
class Assignment:
    """A job and the backend server that it was assigned to."""

    job: jobs.Job
    server: fleets.Server


@attrs.define
class Dispatcher:
    """Assigns queued jobs of one service to free slots.

    :param service: the current configuration.
    :param rng: source of random choices.
    :param retry_budget: retries that are allowed now; grows with answers.
    :param hedge_budget: hedged copies that are allowed now; grows with
        answers.
    :param hedge_delay: seconds after which a hedged copy is sent, an
        estimate of a high quantile of the answer times.
    :param bulk_credit: slot time in seconds that bulk jobs have earned from
        urgent ones started before them.
    """

    service: fleets.Service
    rng: random.Random
    servers: dict[int, ServerSlots] = attrs.field(factory=dict)
    retry_budget: float = MAX_ATTEMPT_BUDGET
    hedge_budget: float = MAX_ATTEMPT_BUDGET
    hedge_delay: float = 1.0
    urgent: queues.PriorityClassQueue = attrs.field(
        factory=queues.PriorityClassQueue
    )
    bulk: queues.PriorityClassQueue = attrs.field(
        factory=queues.PriorityClassQueue
    )
    bulk_credit: float = 0.0

    @property
    def queued_count(self) -> int:
        """Return how many jobs are queued."""
        return self.urgent.size + self.bulk.size

    def queue_of(self, job: jobs.Job) -> queues.PriorityClassQueue:
        """Return the queue of the job's priority class."""
        if job.priority == fleets.Priority.URGENT:
            return self.urgent
        return self.bulk

    def configure(self, service: fleets.Service, now: float) -> None:
        """Apply a newer configuration of the service.

        A removed server with busy slots stays, marked as leaving, until a
        later configuration finds it idle. A server that is added after the
        first configuration begins with a slow start.
        """
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
            existing = self.servers.get(server.number)
            if existing is not None:
                existing.server = server
                continue
            slow_start_until = 0.0 if first else now + service.slow_start
            self.servers[server.number] = ServerSlots(
                server, slow_start_until=slow_start_until
            )

    def admits(self, job: jobs.Job, now: float) -> bool:
        """Return whether the queue has room and the job can start in time."""
        queue = self.queue_of(job)
        if queue.is_full(job, self.service.max_queue):
            return False
        return now + queue.expected_wait(job) <= job.due

    def enqueue(self, job: jobs.Job) -> None:
        """Add a job to the queue of its class."""
        self.queue_of(job).add(job, self._is_pinned(job))

    def remove(self, job: jobs.Job) -> None:
        """Remove a job from its queue; does nothing if it is not queued."""
        self.queue_of(job).remove(job)

    def start_queued(self, now: float) -> list[Assignment]:
        """Assign queued jobs to free slots until no job can start."""
        started: list[Assignment] = []
        while self.queued_count:
            assignment = self._start_next(now)
            if assignment is None:
                break
            started.append(assignment)
        return started

    def _start_next(self, now: float) -> Assignment | None:
        for queue in self._queue_order(now):
            assignment = self._start_from(queue, now)
            if assignment is not None:
                self._update_bulk_credit(queue)
                queue.record_start(now)
                return assignment
        return None

    def _queue_order(
        self, now: float
    ) -> tuple[queues.PriorityClassQueue, queues.PriorityClassQueue]:
        """Return the queues in the order in which to try them.

        Urgent jobs come first. Bulk jobs do when the first unpinned one has
        waited for the aging time and their credit pays for one job. So a
        short burst of urgent jobs overtakes bulk jobs, but a long one does
        not starve them.
        """
        oldest = self.bulk.head()
        aged = (
            oldest is not None
            and now - oldest.arrived_at >= self.service.aging
            and self.bulk_credit >= self.bulk.mean_running_seconds
        )
        if aged:
            return self.bulk, self.urgent
        return self.urgent, self.bulk

    def _update_bulk_credit(self, started: queues.PriorityClassQueue) -> None:
        """Update the credit of bulk jobs after a job has started.

        A started bulk job uses up credit. A started urgent job adds some
        while bulk jobs wait, so that bulk jobs get their configured share
        of the slot time.
        """
        if started is self.bulk:
            remaining = self.bulk_credit - self.bulk.mean_running_seconds
            self.bulk_credit = max(0.0, remaining)
            return
        if not self.bulk.size:
            return
        share = self.service.bulk_share
        earned = self.urgent.mean_running_seconds * share / (1 - share)
        cap = MAX_BULK_CREDIT_JOBS * self.bulk.mean_running_seconds
        self.bulk_credit = min(cap, self.bulk_credit + earned)

    def _start_from(
        self, queue: queues.PriorityClassQueue, now: float
    ) -> Assignment | None:
        """Start one job of a queue, or return None.

        The unpinned job with the lowest rank is tried first. It gives way
        to a job of lower rank that is pinned to the chosen server. If it
        can't start, the jobs pinned to each server are tried.
        """
        job = queue.head()
        if job is not None:
            free = self._free_servers(now, job)
            if free:
                choice = policies.find(self.service.policy)
                slots = self.servers[choice(free, self.rng).number]
                pinned_job = queue.head(slots.number)
                if pinned_job is not None and pinned_job.rank < job.rank:
                    job = pinned_job
                return self._start(job, slots, now)
        for number in queue.pinned:
            job = queue.head(number)
            home = self.servers.get(number)
            if job is None or home is None:
                continue
            if home.busy < home.limit(now) and self._is_healthy(home, now):
                return self._start(job, home, now)
        return None

    def start_hedge(self, job: jobs.Job, now: float) -> Assignment | None:
        """Assign a hedged copy of a slow job to a slot of another server.

        :returns: None if the budget is used up, jobs are queued, the job
            has finished or no other server has a free slot.
        """
        if self.hedge_budget < 1 or self.queued_count or job.finished:
            return None
        free = [
            each
            for each in self._free_servers(now, job)
            if each.number not in job.running_attempts.values()
        ]
        if not free:
            return None
        self.hedge_budget -= 1
        choice = policies.find(self.service.policy)
        slots = self.servers[choice(free, self.rng).number]
        slots.busy += 1
        return Assignment(job, slots.server)

    def release(self, number: int) -> None:
        """Free a slot of a server after an attempt has ended."""
        slots = self.servers.get(number)
        if slots is not None and slots.busy:
            slots.busy -= 1

    def record_answer(
        self, job: jobs.Job, number: int, seconds: float
    ) -> None:
        """Update health, budgets and time estimates after an answer."""
        self.queue_of(job).record_running_time(seconds)
        slots = self.servers.get(number)
        if slots is not None:
            slots.health.record_success()
        self._update_hedge_delay(seconds)
        self.retry_budget = min(
            MAX_ATTEMPT_BUDGET, self.retry_budget + self.service.retry_ratio
        )
        self.hedge_budget = min(
            MAX_ATTEMPT_BUDGET, self.hedge_budget + self.service.hedge_ratio
        )

    def record_decline(
        self, number: int, retry_after: float, now: float
    ) -> None:
        """Pause a server that replied that it did not run a request."""
        slots = self.servers.get(number)
        if slots is not None:
            slots.health.record_decline(now, retry_after)

    def record_failure(self, number: int, now: float) -> None:
        """Count an attempt without a reply; eject the server if necessary.

        No server is ejected if that would leave less than the minimum
        share of servers in use.
        """
        slots = self.servers.get(number)
        if slots is None or not slots.health.record_failure(now):
            return
        ejected = sum(
            1
            for each in self.servers.values()
            if each.health.ejected_until > now
        )
        min_in_use = slots.health.thresholds.min_active_fraction * len(
            self.servers
        )
        if len(self.servers) - ejected - 1 < min_in_use:
            return
        slots.health.eject(now)

    def try_consume_retry(self, job: jobs.Job) -> bool:
        """Use one retry from the budget if the job may be retried.

        :returns: False if the budget is used up or the job has had its
            maximum number of attempts.
        """
        if job.attempt_count >= MAX_ATTEMPTS or self.retry_budget < 1:
            return False
        self.retry_budget -= 1
        return True

    def resumes_at(self, now: float) -> float | None:
        """Return when the first paused or ejected server may resume, or None.

        The result is None as well while no job is queued.
        """
        if not self.queued_count:
            return None
        resume_times = [
            each.health.available_at()
            for each in self.servers.values()
            if each.health.available_at() > now
        ]
        return min(resume_times, default=None)

    def _update_hedge_delay(self, seconds: float) -> None:
        # Stochastic quantile estimate: the steps up and down balance each
        # other when HEDGE_QUANTILE of the answers take less time.
        if seconds > self.hedge_delay:
            factor = 1 + HEDGE_DELAY_STEP * HEDGE_QUANTILE
        else:
            factor = 1 - HEDGE_DELAY_STEP * (1 - HEDGE_QUANTILE)
        self.hedge_delay = max(
            self.hedge_delay * factor, MIN_HEDGE_DELAY_SECONDS
        )

    def _is_pinned(self, job: jobs.Job) -> bool:
        home = self.servers.get(job.home)
        if home is None or job.home in job.tried_servers:
            return False
        # The home server was ejected at some time since the job arrived.
        if home.health.ejected_until > job.arrived_at:
            return False
        # A block-wise transfer stays on the server where it began, even if
        # that server is leaving.
        active = home.server.state == serverstate.ServerState.ACTIVE
        return active or bool(job.request.block)

    def _is_healthy(self, slots: ServerSlots, now: float) -> bool:
        return slots.health.is_available(now)

    def _free_servers(self, now: float, job: jobs.Job) -> list[ServerSlots]:
        """Return available servers, only those not tried yet if any."""
        found = []
        for slots in self.servers.values():
            if slots.server.state != serverstate.ServerState.ACTIVE:
                continue
            if slots.busy >= slots.limit(now):
                continue
            if not self._is_healthy(slots, now):
                continue
            found.append(slots)
        untried = [
            each for each in found if each.number not in job.tried_servers
        ]
        return untried or found

    def _start(
        self, job: jobs.Job, slots: ServerSlots, now: float
    ) -> Assignment:
        self.remove(job)
        slots.busy += 1
        job.attempt_count += 1
        job.waited = now - job.arrived_at
        job.tried_servers.add(slots.number)
        return Assignment(job, slots.server)
