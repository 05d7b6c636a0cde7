"""Processing of requests on this host, from arrival to the response.

A non-idempotent request is recorded at the witness before it enters the
dispatcher's queue. An idempotent one enters the queue directly.
"""

from collections.abc import Callable
import functools

import attrs

from vanilladrum.core import actions
from vanilladrum.core import fleet as fleets
from vanilladrum.core import hoststate
from vanilladrum.core import job as jobs
from vanilladrum.core import ownership
from vanilladrum.core import peer_messages
from vanilladrum.core import request as requests
from vanilladrum.core import table as tables
from vanilladrum.core import token as tokens

# Age up to which a token lets its owner dispatch although the owner is no
# longer the dispatcher of the service.
TOKEN_GRACE_SECONDS = 5
# Each delay is counted from the previous sending.
RECORD_RESEND_DELAYS_SECONDS = (0.03, 0.1)
# Counted from the first sending.
RECORD_TIMEOUT_SECONDS = 0.3
FAILURE_OUTCOMES = (requests.Outcome.NOT_RUN, requests.Outcome.UNKNOWN)
Stage = ownership.Stage
Event = ownership.Event
Effect = ownership.Effect


@attrs.define(eq=False)
class RequestProcessor:
    """Processes each request on this host until its response is sent.

    :param start_queued: starts queued jobs of a service on its free slots;
        takes the service and the current time in seconds.
    """

    state: hoststate.HostState
    start_queued: Callable[[fleets.Service, float], None]

    def process(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        """Process a new request, or a copy of one in the request table.

        A copy gets the final response, if there is one; otherwise the
        response will be sent over the path of the latest copy.

        A new request is ignored while the request table is full: a refusal
        would need an entry as well.
        """
        key = (token.connection, packet.request.exchange)
        entry = self.state.request_table.find(key)
        if entry is not None:
            self._handle_copy(entry, packet, token)
            return
        now = self.state.clock.monotonic()
        entry = tables.Entry(
            key, token.owner, packet.reply_path, packet.request.idempotent, now
        )
        if not self.state.request_table.add(entry, now):
            self.state.counters["table_full"] += 1
            return
        entry.job = self._new_job(packet, service, token, now)
        if packet.request.idempotent:
            entry.stage = Stage.QUEUED
            self._admit(entry, service)
            return
        if not self._may_dispatch(service, token):
            self.state.counters["not_dispatcher"] += 1
            self._refuse(
                entry,
                self.state.issuer.renewal_response(
                    packet.reply_path.caller, service, token
                ),
            )
            return
        self.apply(entry, Event.ARRIVED, service)

    def _new_job(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
        now: float,
    ) -> jobs.Job:
        request = packet.request
        wait = service.deadline
        if request.deadline is not None:
            wait = min(wait, request.deadline)
        home = tokens.NO_SERVER
        blockwise = request.block is not None
        if service.affinity == fleets.Affinity.CONNECTION or request.block:
            home = token.home
        return jobs.Job(
            key=(token.connection, request.exchange),
            request=request,
            token=token,
            priority=service.priority(request.path),
            arrived_at=now,
            due=now + wait,
            home=home,
            blockwise=blockwise,
            caller=packet.reply_path.caller,
        )

    def _may_dispatch(
        self, service: fleets.Service, token: tokens.Token
    ) -> bool:
        if (
            self.state.stopping
            or token.owner != self.state.membership.own_entry.incarnation
        ):
            return False
        if self.state.issuer.is_dispatcher(service):
            return True
        # Membership views of entry hosts may differ for a short time, so a
        # recently issued token is accepted.
        age = self.state.clock.wall() - token.issued_at
        return age <= TOKEN_GRACE_SECONDS

    def _handle_copy(
        self,
        entry: tables.Entry,
        packet: actions.CallerPacket,
        token: tokens.Token,
    ) -> None:
        self.state.counters["copies"] += 1
        entry.reply_path = packet.reply_path
        if entry.response is not None:
            self.state.reply(packet, entry.response)

    def apply(
        self, entry: tables.Entry, event: Event, service: fleets.Service
    ) -> None:
        """Advance a request by an event; record or queue it if required.

        Dispatching and responding, the other effects, are up to the caller
        of this method.
        """
        transition = ownership.advance(entry.stage, event)
        entry.stage = transition.stage
        if transition.effect == Effect.RECORD:
            self._record(entry, service, 0)
        elif transition.effect == Effect.ENQUEUE:
            self._admit(entry, service)

    def _record(
        self, entry: tables.Entry, service: fleets.Service, sent_count: int
    ) -> None:
        if entry.stage != Stage.RECORDING:
            return
        job = entry.open_job
        witness = job.token.witness
        if witness == tokens.NO_INCARNATION:
            self.apply(entry, Event.RECORDED, service)
            return
        member = self.state.membership.find(witness)
        timed_out = sent_count > len(RECORD_RESEND_DELAYS_SECONDS)
        if (
            timed_out
            or self.state.membership.is_dead(witness)
            or member is None
        ):
            self.state.counters["witness_silent"] += 1
            entry.stage = ownership.advance(
                entry.stage, Event.WITNESS_SILENT
            ).stage
            self.finish(
                entry,
                self.state.issuer.renewal_response(
                    entry.reply_path.caller, service, job.token
                ),
            )
            return
        message = peer_messages.Record(job.token.owner, witness, *entry.key)
        self.state.send_peer(member.address, message)
        if sent_count < len(RECORD_RESEND_DELAYS_SECONDS):
            wait = RECORD_RESEND_DELAYS_SECONDS[sent_count]
        else:
            wait = RECORD_TIMEOUT_SECONDS - sum(RECORD_RESEND_DELAYS_SECONDS)
        self.state.call_later(
            wait,
            functools.partial(self._record, entry, service, sent_count + 1),
        )

    def on_record_reply(self, message: peer_messages.Recorded) -> None:
        """Queue a request that the witness recorded, refuse it if fenced."""
        entry = self.state.request_table.find(
            (message.connection, message.exchange)
        )
        if entry is None or entry.owner != message.owner:
            return
        if entry.idempotent or entry.stage != Stage.RECORDING:
            return
        dispatcher = self.state.dispatchers[entry.open_job.token.service]
        if message.fenced:
            self._handle_fenced(entry, dispatcher.service)
            return
        self.apply(entry, Event.RECORDED, dispatcher.service)

    def _handle_fenced(
        self, entry: tables.Entry, service: fleets.Service
    ) -> None:
        """Refuse a request whose owner incarnation the witness has fenced.

        No further request can be recorded for that incarnation, so this
        host starts a new one and callers get tokens that name it. The
        refused request was not dispatched and never will be.
        """
        self.state.counters["fenced"] += 1
        if entry.owner == self.state.membership.own_entry.incarnation:
            self.state.membership.start_new_incarnation()
        entry.stage = ownership.advance(entry.stage, Event.FENCED).stage
        token = entry.open_job.token
        self.finish(
            entry,
            self.state.issuer.renewal_response(
                entry.reply_path.caller, service, token
            ),
        )

    def _admit(self, entry: tables.Entry, service: fleets.Service) -> None:
        job = entry.open_job
        now = self.state.clock.monotonic()
        dispatcher = self.state.dispatchers[service.number]
        if not dispatcher.admits(job, now):
            self.state.counters["shed"] += 1
            self.drop(entry, service)
            return
        dispatcher.enqueue(job)
        self.start_queued(service, now)
        if not job.queued:
            return
        self.state.call_later(
            max(0.0, job.due - now),
            functools.partial(self._drop_overdue, entry, service),
        )

    def _drop_overdue(
        self, entry: tables.Entry, service: fleets.Service
    ) -> None:
        if entry.stage != Stage.QUEUED or not entry.open_job.queued:
            return
        self.state.counters["overdue"] += 1
        self.state.dispatchers[service.number].remove(entry.open_job)
        self.drop(entry, service)

    def drop(self, entry: tables.Entry, service: fleets.Service) -> None:
        """Refuse a request that is not going to be dispatched (again).

        The response says that it did not run or, if an earlier attempt got
        no reply, that it may have run.
        """
        if entry.open_job.may_have_run:
            self.finish_as_unknown(entry, service)
            return
        dispatcher = self.state.dispatchers[service.number]
        wait = dispatcher.queue_of(entry.open_job).expected_wait(
            entry.open_job
        )
        self._refuse(
            entry,
            requests.Response(
                requests.Outcome.NOT_RUN, retry_after=max(1.0, wait)
            ),
        )

    def _refuse(
        self, entry: tables.Entry, response: requests.Response
    ) -> None:
        entry.stage = ownership.advance(entry.stage, Event.DROPPED).stage
        self.finish(entry, response)

    def finish_as_unknown(
        self, entry: tables.Entry, service: fleets.Service
    ) -> None:
        """Send the response that the request may or may not have run."""
        job = entry.open_job
        entry.stage = Stage.UNKNOWN
        token = self.state.issuer.refresh(
            entry.reply_path.caller, service, job.token, job.token.home
        )
        self.finish(
            entry,
            requests.Response(requests.Outcome.UNKNOWN, token=token),
        )

    def finish(self, entry: tables.Entry, response: requests.Response) -> None:
        """Send the final response and store it for copies of the request."""
        entry.response = response
        job = entry.open_job
        entry.job = None
        job.finished = True
        if self.state.on_failure and response.outcome in FAILURE_OUTCOMES:
            service = self.state.dispatchers[job.token.service].service
            self.state.on_failure(service, job)
        self.state.counters[f"told_{response.outcome.value}"] += 1
        self.state.pending_actions.append(
            actions.SendToCaller(entry.reply_path, entry.key[1], response)
        )
