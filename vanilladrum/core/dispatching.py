"""Attempts at backend servers: begun, answered, declined, silent."""

import attrs

from vanilladrum.core import actions
from vanilladrum.core import attempts as sendings
from vanilladrum.core import fleet as fleets
from vanilladrum.core import hoststate
from vanilladrum.core import job as jobs
from vanilladrum.core import ownership
from vanilladrum.core import request as requests
from vanilladrum.core import serving as servings
from vanilladrum.core import table as tables

Stage = ownership.Stage
Event = ownership.Event


@attrs.define(eq=False)
class Dispatching:
    """Gives slots to jobs and treats what comes of them."""

    state: hoststate.HostState
    serving: servings.Serving = attrs.field(init=False)
    sent: sendings.Attempts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        state = self.state
        self.serving = servings.Serving(state, self.pump)
        self.sent = sendings.Attempts(
            state.clock,
            state.timers,
            state.dispatch,
            state.counters,
            send=lambda action: state.out.append(action),
            on_silence=self._silent,
            number=state.rng.getrandbits(31),
        )

    def pump(self, service: fleets.Service, now: float) -> None:
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
            self._try_again(job, service, now)
        else:
            seconds = now - attempt.started
            dispatcher.answered(job, attempt.server.number, seconds)
            self._answered(job, service, attempt, reply.response)
        self.pump(service, now)

    def _answered(
        self,
        job: jobs.Job,
        service: fleets.Service,
        attempt: sendings.Attempt,
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

    def _try_again(
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

    def _silent(self, attempt: sendings.Attempt) -> None:
        now = self.state.clock.monotonic()
        job = attempt.job
        dispatcher = self.state.dispatch[job.token.service]
        service = dispatcher.service
        dispatcher.failed(attempt.server.number, now)
        entry = self.state.table.find(job.key)
        if entry is not None and entry.stage == Stage.DISPATCHED:
            self._after_silence(entry, service, now)
        self.pump(service, now)

    def _after_silence(
        self, entry: tables.Entry, service: fleets.Service, now: float
    ) -> None:
        job = entry.open_job
        job.may_have_run = True
        if job.running:
            return
        if entry.idempotent:
            self._try_again(job, service, now)
            return
        self.serving.leave_unknown(entry, service)
