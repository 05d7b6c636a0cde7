"""Attempts to run requests on backend servers.

An attempt without a reply is resent at fixed times after its start and ends
with a timeout. A slow attempt of an idempotent request gets a hedged copy on
another server.
"""

import collections
from collections.abc import Callable

import attrs

from vanilladrum.core import actions
from vanilladrum.core import dispatcher as dispatcher_module
from vanilladrum.core import fleet as fleets
from vanilladrum.core import issuer as issuers
from vanilladrum.core import job as jobs
from vanilladrum.core import timers

# Counted from the start of the attempt.
RESEND_DELAYS_SECONDS = (1.0, 2.5)
MAX_ATTEMPT_NUMBER = 0xFFFFFFFF


@attrs.define(eq=False)
class Attempt:
    """One assignment of a job to one server.

    :param number: number that the server repeats in its reply.
    :param started: when it was first sent, seconds.
    """

    number: int
    job: jobs.Job
    server: fleets.Server
    started: float


# Pairs of the seconds since the start of an attempt and an action.
Schedule = tuple[tuple[float, Callable[[Attempt], None]], ...]


@attrs.define(eq=False)
class Attempts:
    """Attempts that wait for a server's reply.

    :param dispatchers: dispatcher of each service, by service number.
    :param send: called with each action for a server.
    :param on_timeout: called with each attempt that has timed out.
    :param number: number of the latest attempt; wraps at 32 bits.
    :param running: attempts without a reply, by number.
    """

    clock: issuers.Clock
    timers: timers.Timers
    dispatchers: dict[int, dispatcher_module.Dispatcher]
    counters: collections.Counter
    send: Callable[[actions.Action], None]
    on_timeout: Callable[[Attempt], None]
    number: int = 0
    running: dict[int, Attempt] = attrs.field(factory=dict)

    def begin(self, assignment: dispatcher_module.Assignment) -> None:
        """Send a job to a server and schedule resends and the timeout."""
        self.number = (self.number + 1) & MAX_ATTEMPT_NUMBER
        job = assignment.job
        now = self.clock.monotonic()
        attempt = Attempt(self.number, job, assignment.server, now)
        self.running[attempt.number] = attempt
        job.running_attempts[attempt.number] = assignment.server.number
        self._send(attempt)
        dispatcher = self.dispatchers[job.token.service]
        schedule = self._reply_schedule(dispatcher.service)
        if job.request.idempotent and len(job.running_attempts) == 1:
            schedule = (
                (dispatcher.hedge_delay, self._start_hedge),
                *schedule,
            )
        self._await_reply(attempt, schedule)

    def end(self, number: int) -> Attempt | None:
        """Remove an attempt and free its slot.

        :returns: None if the attempt has ended already.
        """
        attempt = self.running.pop(number, None)
        if attempt is None:
            return None
        attempt.job.running_attempts.pop(number, None)
        dispatcher = self.dispatchers[attempt.job.token.service]
        dispatcher.release(attempt.server.number)
        return attempt

    def cancel(self, job: jobs.Job) -> None:
        """End all running attempts of a job and notify their servers."""
        for number in list(job.running_attempts):
            attempt = self.end(number)
            if attempt is None:
                continue
            self.send(actions.CancelAtServer(number, attempt.server.address))

    def _reply_schedule(self, service: fleets.Service) -> Schedule:
        """Return resends and the timeout, in seconds after the start."""
        resends = tuple(
            (delay, self._resend)
            for delay in RESEND_DELAYS_SECONDS
            if delay < service.attempt_timeout
        )
        return (*resends, (service.attempt_timeout, self._time_out))

    def _await_reply(self, attempt: Attempt, schedule: Schedule) -> None:
        """Run the scheduled actions of an attempt in order.

        Only the next action has a timer, since most attempts end before
        the first one is due.
        """
        if attempt.number not in self.running or not schedule:
            return
        (delay, action), *later_actions = schedule

        def run_next() -> None:
            if attempt.number in self.running:
                action(attempt)
                self._await_reply(attempt, tuple(later_actions))

        self.timers.at(attempt.started + delay, run_next)

    def _send(self, attempt: Attempt) -> None:
        remaining = attempt.job.due - self.clock.monotonic()
        self.send(
            actions.SendToServer(
                attempt.number,
                attempt.server.address,
                attempt.job.request,
                max(0.0, remaining),
            )
        )

    def _resend(self, attempt: Attempt) -> None:
        self.counters["resent_to_server"] += 1
        self._send(attempt)

    def _start_hedge(self, attempt: Attempt) -> None:
        dispatcher = self.dispatchers[attempt.job.token.service]
        assignment = dispatcher.start_hedge(
            attempt.job, self.clock.monotonic()
        )
        if assignment is None:
            return
        self.counters["second_copies"] += 1
        self.begin(assignment)

    def _time_out(self, attempt: Attempt) -> None:
        self.end(attempt.number)
        self.counters["server_silent"] += 1
        self.on_timeout(attempt)
