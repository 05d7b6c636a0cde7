"""Sendings of requests to backend servers: repeats, second copies, silence."""

import collections
from collections.abc import Callable

import attrs

from vanilladrum.core import actions
from vanilladrum.core import dispatcher as dispatchers
from vanilladrum.core import fleet as fleets
from vanilladrum.core import issuer as issuers
from vanilladrum.core import job as jobs
from vanilladrum.core import timers

RESEND_SECONDS = (1.0, 2.5)
MAX_NUMBER = 0xFFFFFFFF


@attrs.define(eq=False)
class Attempt:
    """One sending of a job to one server."""

    number: int
    job: jobs.Job
    server: fleets.Server
    started: float


Waits = tuple[tuple[float, Callable[[Attempt], None]], ...]


@attrs.define(eq=False)
class Attempts:
    """The attempts that have had no reply yet.

    :param dispatch: dispatchers by number of service.
    :param send: takes what goes to a server.
    :param on_silence: called with an attempt that was given up.
    """

    clock: issuers.Clock
    timers: timers.Timers
    dispatch: dict[int, dispatchers.Dispatcher]
    counters: collections.Counter
    send: Callable[[actions.Action], None]
    on_silence: Callable[[Attempt], None]
    number: int = 0
    running: dict[int, Attempt] = attrs.field(factory=dict)

    def begin(self, start: dispatchers.Start) -> None:
        """Send a job to a server and wait for its reply."""
        self.number = (self.number + 1) & MAX_NUMBER
        job = start.job
        now = self.clock.monotonic()
        attempt = Attempt(self.number, job, start.server, now)
        self.running[attempt.number] = attempt
        job.running[attempt.number] = start.server.number
        self._send(attempt)
        dispatcher = self.dispatch[job.token.service]
        waits = self._waits(dispatcher.service)
        if job.request.idempotent and len(job.running) == 1:
            waits = ((dispatcher.hedge_delay, self._second_copy), *waits)
        self._await_reply(attempt, waits)

    def end(self, number: int) -> Attempt | None:
        """Forget an attempt and free its slot; None when it has ended."""
        attempt = self.running.pop(number, None)
        if attempt is None:
            return None
        attempt.job.running.pop(number, None)
        dispatcher = self.dispatch[attempt.job.token.service]
        dispatcher.release(attempt.server.number)
        return attempt

    def cancel(self, job: jobs.Job) -> None:
        """End what still runs of a job, and tell the servers."""
        for number in list(job.running):
            loser = self.end(number)
            if loser is None:
                continue
            self.send(actions.CancelAtServer(number, loser.server.address))

    def _waits(self, service: fleets.Service) -> Waits:
        """Return what to do when, counted from the start of an attempt."""
        resends = tuple(
            (wait, self._resend)
            for wait in RESEND_SECONDS
            if wait < service.attempt_timeout
        )
        return (*resends, (service.attempt_timeout, self._give_up))

    def _await_reply(self, attempt: Attempt, waits: Waits) -> None:
        """Run the first of the waits when it is due, then the others.

        One timer an attempt: most attempts end before their first wait.
        """
        if attempt.number not in self.running or not waits:
            return
        (wait, action), *later = waits

        def due() -> None:
            if attempt.number in self.running:
                action(attempt)
                self._await_reply(attempt, tuple(later))

        self.timers.at(attempt.started + wait, due)

    def _send(self, attempt: Attempt) -> None:
        left = attempt.job.due - self.clock.monotonic()
        self.send(
            actions.SendToServer(
                attempt.number,
                attempt.server.address,
                attempt.job.request,
                max(0.0, left),
            )
        )

    def _resend(self, attempt: Attempt) -> None:
        self.counters["resent_to_server"] += 1
        self._send(attempt)

    def _second_copy(self, attempt: Attempt) -> None:
        dispatcher = self.dispatch[attempt.job.token.service]
        start = dispatcher.second_copy(attempt.job, self.clock.monotonic())
        if start is None:
            return
        self.counters["second_copies"] += 1
        self.begin(start)

    def _give_up(self, attempt: Attempt) -> None:
        self.end(attempt.number)
        self.counters["server_silent"] += 1
        self.on_silence(attempt)
