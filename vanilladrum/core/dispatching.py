"""Dispatch of queued jobs to backend servers and handling of the results.

An attempt ends with an answer, with a decline (the server did not run the
request) or with a timeout.
"""

import attrs

from vanilladrum.core import actions
from vanilladrum.core import attempts as attempts_module
from vanilladrum.core import fleet as fleets
from vanilladrum.core import hoststate
from vanilladrum.core import job as jobs
from vanilladrum.core import ownership
from vanilladrum.core import request as requests
from vanilladrum.core import serving as serving_module
from vanilladrum.core import table as tables

Stage = ownership.Stage
Event = ownership.Event


@attrs.define(eq=False)
class Dispatching:
    """Starts attempts for queued jobs and handles how each attempt ends."""

    state: hoststate.HostState
    serving: serving_module.Serving = attrs.field(init=False)
    sent: attempts_module.Attempts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        state = self.state
        self.serving = serving_module.Serving(state, self.pump)
        self.sent = attempts_module.Attempts(
            state.clock,
            state.timers,
            state.dispatch,
            state.counters,
            send=lambda action: state.out.append(action),
            on_silence=self._handle_timeout,
            number=state.rng.getrandbits(31),
        )

    def pump(self, service: fleets.Service, now: float) -> None:
        """Start queued jobs of a service on its free slots.

        If jobs stay queued while servers are paused or ejected, a timer
        calls this again when the first of those may take work.
        """
        dispatcher = self.state.dispatch[service.number]
        if not dispatcher.queued:
            return
        for start in dispatcher.pump(now):
            entry = self.state.table.find(start.job.key)
            if entry is None or entry.stage != Stage.QUEUED:
                dispatcher.release(start.server.number)
                continue
            entry.stage = ownership.advance(entry.stage, Event.GRANTED).stage
            if self.state.on_wait:
                self.state.on_wait(service, start.job)
            self.sent.begin(start)
        resumes_at = dispatcher.resumes_at(now)
        if resumes_at is not None:
            self.state.later(
                resumes_at - now,
                lambda: self.pump(service, self.state.clock.monotonic()),
            )

    def server_reply(self, reply: actions.ServerReply) -> None:
        """End the attempt that a server replied to; ignore late replies."""
        attempt = self.sent.end(reply.attempt)
        if attempt is None:
            self.state.counters["late_answers"] += 1
            return
        job = attempt.job
        dispatcher = self.state.dispatch[job.token.service]
        service = dispatcher.service
        now = self.state.clock.monotonic()
        if reply.declined:
            self.state.counters["declined"] += 1
            retry_after = reply.response.retry_after
            dispatcher.declined(attempt.server.number, retry_after, now)
            self._retry_or_drop(job, service, now)
        else:
            seconds = now - attempt.started
            dispatcher.answered(job, attempt.server.number, seconds)
            self._handle_answer(job, service, attempt, reply.response)
        self.pump(service, now)

    def _handle_answer(
        self,
        job: jobs.Job,
        service: fleets.Service,
        attempt: attempts_module.Attempt,
        response: requests.Response,
    ) -> None:
        entry = self.state.table.find(job.key)
        if entry is None or entry.stage != Stage.DISPATCHED:
            return
        self.sent.cancel(job)
        entry.stage = ownership.advance(
            entry.stage, Event.SERVER_ANSWERED
        ).stage
        if self.state.on_answer:
            self.state.on_answer(
                service, job, self.state.clock.monotonic() - job.arrived
            )
        home = job.token.home
        if service.affinity == fleets.Affinity.CONNECTION or job.transfer:
            home = attempt.server.number
        token = self.state.issuer.refresh(
            entry.path.caller, service, job.token, home
        )
        self.serving.settle(entry, attrs.evolve(response, token=token))

    def _retry_or_drop(
        self,
        job: jobs.Job,
        service: fleets.Service,
        now: float,
    ) -> None:
        entry = self.state.table.find(job.key)
        if entry is None or entry.stage != Stage.DISPATCHED or job.running:
            return
        dispatcher = self.state.dispatch[service.number]
        if now < job.due and dispatcher.may_retry(job):
            self.state.counters["retries"] += 1
            self.serving.apply(entry, Event.SERVER_DECLINED, service)
            return
        entry.stage = ownership.advance(
            entry.stage, Event.SERVER_DECLINED
        ).stage
        self.serving.drop(entry, service)

    def _handle_timeout(self, attempt: attempts_module.Attempt) -> None:
        now = self.state.clock.monotonic()
        job = attempt.job
        dispatcher = self.state.dispatch[job.token.service]
        service = dispatcher.service
        dispatcher.failed(attempt.server.number, now)
        entry = self.state.table.find(job.key)
        if entry is not None and entry.stage == Stage.DISPATCHED:
            self._resolve_timeout(entry, service, now)
        self.pump(service, now)

    def _resolve_timeout(
        self, entry: tables.Entry, service: fleets.Service, now: float
    ) -> None:
        job = entry.open_job
        job.may_have_run = True
        if job.running:
            return
        if entry.idempotent:
            self._retry_or_drop(job, service, now)
            return
        self.serving.leave_unknown(entry, service)
