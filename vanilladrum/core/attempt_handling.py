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
from vanilladrum.core import request_processing
from vanilladrum.core import table as tables

Stage = ownership.Stage
Event = ownership.Event


@attrs.define(eq=False)
class AttemptHandler:
    """Starts attempts for queued jobs and handles how each attempt ends."""

    state: hoststate.HostState
    request_processor: request_processing.RequestProcessor = attrs.field(
        init=False
    )
    attempts: attempts_module.Attempts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        state = self.state
        self.request_processor = request_processing.RequestProcessor(
            state, self.start_queued
        )
        self.attempts = attempts_module.Attempts(
            state.clock,
            state.timers,
            state.dispatchers,
            state.counters,
            send=lambda action: state.pending_actions.append(action),
            on_timeout=self._handle_timeout,
            number=state.rng.getrandbits(31),
        )

    def start_queued(self, service: fleets.Service, now: float) -> None:
        """Start queued jobs of a service on its free slots.

        If jobs stay queued while servers are paused or ejected, a timer
        calls this again when the first of those is available again.
        """
        dispatcher = self.state.dispatchers[service.number]
        if not dispatcher.queued_count:
            return
        for assignment in dispatcher.start_queued(now):
            entry = self.state.request_table.find(assignment.job.key)
            if entry is None or entry.stage != Stage.QUEUED:
                dispatcher.release(assignment.server.number)
                continue
            entry.stage = ownership.advance(entry.stage, Event.GRANTED).stage
            if self.state.on_start:
                self.state.on_start(service, assignment.job)
            self.attempts.begin(assignment)
        resumes_at = dispatcher.resumes_at(now)
        if resumes_at is not None:
            self.state.call_later(
                resumes_at - now,
                lambda: self.start_queued(
                    service, self.state.clock.monotonic()
                ),
            )

    def on_server_reply(self, reply: actions.ServerReply) -> None:
        """End an attempt with a server's reply and start queued jobs.

        An answer finishes the request. A declined request is queued again
        or dropped. A reply to an attempt that has ended is ignored.
        """
        attempt = self.attempts.end(reply.attempt)
        if attempt is None:
            self.state.counters["late_answers"] += 1
            return
        job = attempt.job
        dispatcher = self.state.dispatchers[job.token.service]
        service = dispatcher.service
        now = self.state.clock.monotonic()
        if reply.declined:
            self.state.counters["declined"] += 1
            retry_after = reply.response.retry_after
            dispatcher.record_decline(attempt.server.number, retry_after, now)
            self._retry_or_drop(job, service, now)
        else:
            seconds = now - attempt.started
            dispatcher.record_answer(job, attempt.server.number, seconds)
            self._handle_answer(job, service, attempt, reply.response)
        self.start_queued(service, now)

    def _handle_answer(
        self,
        job: jobs.Job,
        service: fleets.Service,
        attempt: attempts_module.Attempt,
        response: requests.Response,
    ) -> None:
        entry = self.state.request_table.find(job.key)
        if entry is None or entry.stage != Stage.DISPATCHED:
            return
        self.attempts.cancel(job)
        entry.stage = ownership.advance(
            entry.stage, Event.SERVER_ANSWERED
        ).stage
        if self.state.on_answered:
            self.state.on_answered(
                service, job, self.state.clock.monotonic() - job.arrived_at
            )
        home = job.token.home
        if service.affinity == fleets.Affinity.CONNECTION or job.blockwise:
            home = attempt.server.number
        token = self.state.issuer.refresh(
            entry.reply_path.caller, service, job.token, home
        )
        self.request_processor.finish(
            entry, attrs.evolve(response, token=token)
        )

    def _retry_or_drop(
        self,
        job: jobs.Job,
        service: fleets.Service,
        now: float,
    ) -> None:
        """Queue a job again if budget and deadline allow, else refuse it.

        Nothing happens while another attempt of the job is running.
        """
        entry = self.state.request_table.find(job.key)
        if (
            entry is None
            or entry.stage != Stage.DISPATCHED
            or job.running_attempts
        ):
            return
        dispatcher = self.state.dispatchers[service.number]
        if now < job.due and dispatcher.try_consume_retry(job):
            self.state.counters["retries"] += 1
            self.request_processor.apply(entry, Event.SERVER_DECLINED, service)
            return
        entry.stage = ownership.advance(
            entry.stage, Event.SERVER_DECLINED
        ).stage
        self.request_processor.drop(entry, service)

    def _handle_timeout(self, attempt: attempts_module.Attempt) -> None:
        now = self.state.clock.monotonic()
        job = attempt.job
        dispatcher = self.state.dispatchers[job.token.service]
        service = dispatcher.service
        dispatcher.record_failure(attempt.server.number, now)
        entry = self.state.request_table.find(job.key)
        if entry is not None and entry.stage == Stage.DISPATCHED:
            self._resolve_timeout(entry, service, now)
        self.start_queued(service, now)

    def _resolve_timeout(
        self, entry: tables.Entry, service: fleets.Service, now: float
    ) -> None:
        """Retry an idempotent request; finish any other as unknown."""
        job = entry.open_job
        job.may_have_run = True
        if job.running_attempts:
            return
        if entry.idempotent:
            self._retry_or_drop(job, service, now)
            return
        self.request_processor.finish_as_unknown(entry, service)
