"""The decisions of an entry host: typed events in, typed actions out."""

import collections
from collections.abc import Callable
import functools
import random

import attrs

from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import attempts as sendings
from vanilladrum.core import dispatcher as dispatchers
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import generation as generations
from vanilladrum.core import issuer as issuers
from vanilladrum.core import job as jobs
from vanilladrum.core import membership as memberships
from vanilladrum.core import ownership
from vanilladrum.core import peers
from vanilladrum.core import placement
from vanilladrum.core import request as requests
from vanilladrum.core import table as tables
from vanilladrum.core import timers
from vanilladrum.core import token as tokens

MAX_HOPS = 4
OWNER_GRACE_SECONDS = 5
STRANGER_GRACE_SECONDS = 10
RECORD_RESEND_SECONDS = (0.03, 0.1)
RECORD_TIMEOUT_SECONDS = 0.3
HEIR_LIMIT = 4096
FAILURES = (requests.Outcome.NOT_RUN, requests.Outcome.UNKNOWN)
WaitHook = Callable[[fleets.Service, jobs.Job], None]
AnswerHook = Callable[[fleets.Service, jobs.Job, float], None]
Stage = ownership.Stage
Event = ownership.Event
Effect = ownership.Effect


@attrs.define(eq=False)
class EntryHost:
    """State and decisions of one entry host.

    :param membership: this host's view of the others.
    :param clock: source of time.
    :param rng: source of random choices.
    """

    membership: memberships.Membership
    clock: issuers.Clock
    rng: random.Random
    fleet: fleets.Fleet | None = None
    counters: collections.Counter = attrs.field(factory=collections.Counter)
    table: tables.RequestTable = attrs.field(factory=tables.RequestTable)
    witness: tables.WitnessTable = attrs.field(factory=tables.WitnessTable)
    dispatch: dict[int, dispatchers.Dispatcher] = attrs.field(factory=dict)
    heirs: dict[bytes, bytes] = attrs.field(factory=dict)
    inherited: dict[bytes, dict[tables.Key, requests.Response]] = attrs.field(
        factory=dict
    )
    closing: bool = False
    joined: bool = False
    on_wait: WaitHook | None = None
    on_answer: AnswerHook | None = None
    on_failure: WaitHook | None = None
    _services: dict[addresses.Address, fleets.Service] = attrs.field(
        factory=dict
    )
    issuer: issuers.Issuer = attrs.field(init=False)
    _timers: timers.Timers = attrs.field(factory=timers.Timers)
    _sent: sendings.Attempts = attrs.field(init=False)
    _out: list[actions.Action] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.issuer = issuers.Issuer(self.membership, self.clock, self.rng)
        self._sent = sendings.Attempts(
            self.clock,
            self._timers,
            self.dispatch,
            self.counters,
            send=lambda action: self._out.append(action),
            on_silence=self._silent,
            number=self.rng.getrandbits(31),
        )

    @property
    def ready(self) -> bool:
        """Return whether this host may be given callers' packets."""
        return self.fleet is not None and self.joined

    @property
    def attempts(self) -> dict[int, sendings.Attempt]:
        """Return the attempts that wait for a server's reply."""
        return self._sent.running

    @property
    def generation(self) -> int:
        """Return the generation in force, 0 for none."""
        return self.fleet.generation if self.fleet else 0

    def configure(self, fleet: fleets.Fleet) -> bool:
        """Adopt a configuration if it is newer and valid.

        :returns: whether it was adopted.
        :raises ConfigurationError: when it contradicts itself; what was in
            force stays in force.
        """
        if not generations.adopts(self.generation, fleet.generation):
            self.counters["configuration_not_newer"] += 1
            return False
        fleets.validate(fleet)
        self.issuer.keyring = fleet.keyring()
        self.fleet = fleet
        self.membership.generation = fleet.generation
        self._services = fleet.by_address()
        now = self.clock.monotonic()
        for service in fleet.services:
            known = self.dispatch.get(service.number)
            if known is None:
                known = dispatchers.Dispatcher(service, self.rng)
                self.dispatch[service.number] = known
            known.configure(service, now)
        self.counters["configurations_adopted"] += 1
        return True

    def handle(self, event: object) -> list[actions.Action]:
        """Treat one event and return what is to be sent."""
        if isinstance(event, actions.CallerPacket):
            self._caller_packet(event)
        elif isinstance(event, actions.ServerReply):
            self._server_reply(event)
        elif isinstance(event, actions.PeerMessage):
            self._peer_message(event)
        return self._drain()

    def tick(self) -> list[actions.Action]:
        """Run the timers that are due."""
        now = self.clock.monotonic()
        self._timers.run(now)
        if self.membership.next_timer() <= now:
            for datagram in self.membership.tick(now):
                self._send_peer(datagram.to, datagram.message)
        return self._drain()

    def next_timer(self) -> float:
        """Return when :meth:`tick` is due next."""
        due = self.membership.next_timer()
        own = self._timers.next_due()
        return due if own is None else min(due, own)

    def start_leaving(self) -> list[actions.Action]:
        """Begin a planned stop: finish what runs, take nothing new."""
        self.closing = True
        self.membership.leave()
        return self._drain()

    def finished(self) -> bool:
        """Return whether a stop would cut nothing off."""
        return not self.attempts and not self.table.pending()

    def pair(self, service: fleets.Service) -> placement.Pair | None:
        """Return dispatcher and witness of a service in this view."""
        return self.issuer.pair(service)

    # Packets of callers

    def _caller_packet(self, packet: actions.CallerPacket) -> None:
        service = self._services.get(packet.path.service)
        if service is None:
            self.counters["no_such_service"] += 1
            return
        token = self._open(packet, service)
        if token is None:
            return
        if packet.request.idempotent:
            self._route_idempotent(packet, service, token)
            return
        self._route_owned(packet, service, token)

    def _open(
        self, packet: actions.CallerPacket, service: fleets.Service
    ) -> tokens.Token | None:
        sealed = packet.request.token
        if not sealed:
            self.counters["new_connections"] += 1
            self._renew(packet, service, None)
            return None
        try:
            token = self.issuer.keyring.open(sealed, packet.path.caller)
        except errors.TokenError as error:
            self.counters[f"token_{error.kind}"] += 1
            if error.kind == "forged":
                self._renew(packet, service, None)
            # A key that is unknown here may be in force elsewhere, where
            # a copy may run: nothing true can be told.
            return None
        if token.service != service.number:
            self.counters["token_foreign"] += 1
            self._renew(packet, service, None)
            return None
        return token

    def _route_idempotent(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        pair = self.pair(service)
        here = pair is None or pair.dispatcher is self.membership.me
        if here or packet.hops >= MAX_HOPS:
            self._serve(packet, service, token)
            return
        self._forward(packet, pair.dispatcher, judge=False)

    def _route_owned(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        if token.owner in self.membership.own_incarnations:
            self._serve(packet, service, token)
            return
        if packet.hops >= MAX_HOPS:
            self.counters["hop_limit"] += 1
            return
        if packet.judge and self._judges(token):
            self._judge(packet, service, token)
            return
        owner = self.membership.find(token.owner)
        if owner is None and token.owner not in self.heirs:
            self._route_stranger(packet, service, token)
            return
        if owner is not None and not self.membership.is_lost(token.owner):
            self._forward(packet, owner, judge=False)
            return
        self._ask_judge(packet, service, token)

    def _route_stranger(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        """Pass on a packet whose owner this host has never heard of.

        Not to know an owner is no reason to give it up: its witness has
        met it, and the dispatcher may have.
        """
        age = self.clock.wall() - token.issued_at
        heard_late = age <= STRANGER_GRACE_SECONDS
        if token.witness in self.membership.own_incarnations:
            if heard_late:
                self._ignore_stranger()
                return
            self._judge(packet, service, token)
            return
        witness = self.membership.find(token.witness)
        pair = self.pair(service)
        if witness is not None and witness.state != memberships.State.DEAD:
            self._forward(packet, witness, judge=False)
        elif pair and pair.dispatcher is not self.membership.me:
            self._forward(packet, pair.dispatcher, judge=False)
        elif heard_late:
            self._ignore_stranger()
        else:
            self.counters["owner_and_witness_lost"] += 1
            self._reply(
                packet, self.issuer.unknown(packet.path.caller, service, token)
            )

    def _ignore_stranger(self) -> None:
        # A fresh token may name an incarnation whose news is on its way;
        # fencing it would make it take another one, and so on. The caller
        # repeats its packet.
        self.counters["stranger_ignored"] += 1

    def _ask_judge(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        for candidate in (token.owner, token.witness):
            holder = self._heir_of(candidate)
            if holder in self.membership.own_incarnations:
                self._judge(packet, service, token)
                return
            member = self.membership.find(holder)
            if holder == token.owner or member is None:
                continue
            if member.state == memberships.State.DEAD:
                continue
            self._forward(packet, member, judge=True)
            return
        self.counters["owner_and_witness_lost"] += 1
        self._reply(
            packet, self.issuer.unknown(packet.path.caller, service, token)
        )

    def _judges(self, token: tokens.Token) -> bool:
        mine = self.membership.own_incarnations
        holders = (self._heir_of(token.owner), self._heir_of(token.witness))
        return any(holder in mine for holder in holders)

    def _judge(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        key = (token.connection, packet.request.exchange)
        closed = self.inherited.get(token.owner)
        if closed is not None:
            told = closed.get(key)
            if told is None:
                self._renew(packet, service, token)
            elif told.outcome == requests.Outcome.UNKNOWN:
                self._reply(
                    packet,
                    self.issuer.unknown(packet.path.caller, service, token),
                )
            else:
                self._reply(packet, told)
            return
        now = self.clock.monotonic()
        judgement = self.witness.judge(token.owner, key, now)
        self.counters[f"judged_{judgement.value}"] += 1
        if judgement == ownership.Judgement.NEVER_RUN:
            self._renew(packet, service, token)
            return
        self._reply(
            packet, self.issuer.unknown(packet.path.caller, service, token)
        )

    def _heir_of(self, incarnation: bytes) -> bytes:
        seen = set()
        while incarnation in self.heirs and incarnation not in seen:
            seen.add(incarnation)
            incarnation = self.heirs[incarnation]
        return incarnation

    def _forward(
        self, packet: actions.CallerPacket, to: peers.Member, judge: bool
    ) -> None:
        self.counters["forwarded"] += 1
        message = peers.Forward(
            packet.raw,
            packet.path.caller,
            packet.path.service,
            packet.path.via,
            packet.hops + 1,
            judge,
        )
        self._send_peer(to.address, message)

    # Requests that this host serves

    def _serve(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token,
    ) -> None:
        key = (token.connection, packet.request.exchange)
        entry = self.table.find(key)
        if entry is not None:
            self._repeat(entry, packet, token)
            return
        now = self.clock.monotonic()
        entry = tables.Entry(
            key, token.owner, packet.path, packet.request.idempotent, now
        )
        if not self.table.add(entry, now):
            self.counters["table_full"] += 1
            return
        entry.job = self._job(packet, service, token, now)
        if packet.request.idempotent:
            entry.stage = Stage.QUEUED
            self._admit(entry, service)
            return
        if not self._may_own(service, token):
            self.counters["not_dispatcher"] += 1
            self._refuse(
                entry, self.issuer.renewal(packet.path.caller, service, token)
            )
            return
        self._apply(entry, Event.ARRIVED, service)

    def _job(
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
        transfer = request.block is not None
        if service.affinity == fleets.Affinity.CONNECTION or request.block:
            home = token.home
        return jobs.Job(
            key=(token.connection, request.exchange),
            request=request,
            token=token,
            priority=service.priority(request.path),
            arrived=now,
            due=now + wait,
            home=home,
            transfer=transfer,
            caller=packet.path.caller,
        )

    def _may_own(self, service: fleets.Service, token: tokens.Token) -> bool:
        if self.closing or token.owner != self.membership.me.incarnation:
            return False
        if self.issuer.dispatches(service):
            return True
        # Views may differ for a moment; a fresh token is honoured.
        age = self.clock.wall() - token.issued_at
        return age <= OWNER_GRACE_SECONDS

    def _repeat(
        self,
        entry: tables.Entry,
        packet: actions.CallerPacket,
        token: tokens.Token,
    ) -> None:
        self.counters["copies"] += 1
        entry.path = packet.path
        if entry.response is not None:
            self._reply(packet, entry.response)

    def _apply(
        self, entry: tables.Entry, event: Event, service: fleets.Service
    ) -> None:
        transition = ownership.advance(entry.stage, event)
        entry.stage = transition.stage
        if transition.effect == Effect.RECORD:
            self._record(entry, service, 0)
        elif transition.effect == Effect.ENQUEUE:
            self._admit(entry, service)

    def _record(
        self, entry: tables.Entry, service: fleets.Service, tries: int
    ) -> None:
        if entry.stage != Stage.RECORDING:
            return
        job = entry.job
        witness = job.token.witness
        if witness == tokens.NO_HOST:
            self._apply(entry, Event.RECORDED, service)
            return
        member = self.membership.find(witness)
        silent = tries > len(RECORD_RESEND_SECONDS)
        if silent or self.membership.is_lost(witness) or member is None:
            self.counters["witness_silent"] += 1
            entry.stage = ownership.advance(
                entry.stage, Event.WITNESS_SILENT
            ).stage
            self._settle(
                entry,
                self.issuer.renewal(entry.path.caller, service, job.token),
            )
            return
        message = peers.Record(job.token.owner, witness, *entry.key)
        self._send_peer(member.address, message)
        if tries < len(RECORD_RESEND_SECONDS):
            wait = RECORD_RESEND_SECONDS[tries]
        else:
            wait = RECORD_TIMEOUT_SECONDS - sum(RECORD_RESEND_SECONDS)
        self._later(
            wait, functools.partial(self._record, entry, service, tries + 1)
        )

    def _admit(self, entry: tables.Entry, service: fleets.Service) -> None:
        job = entry.job
        now = self.clock.monotonic()
        dispatcher = self.dispatch[service.number]
        if not dispatcher.admits(job, now):
            self.counters["shed"] += 1
            self._drop(entry, service)
            return
        dispatcher.enqueue(job)
        self._pump(service, now)
        if not job.queued:
            return
        self._later(
            max(0.0, job.due - now),
            functools.partial(self._overdue, entry, service),
        )

    def _overdue(self, entry: tables.Entry, service: fleets.Service) -> None:
        if entry.stage != Stage.QUEUED or not entry.job.queued:
            return
        self.counters["overdue"] += 1
        self.dispatch[service.number].withdraw(entry.job)
        self._drop(entry, service)

    def _drop(self, entry: tables.Entry, service: fleets.Service) -> None:
        if entry.job.may_have_run:
            self._leave_unknown(entry, service)
            return
        dispatcher = self.dispatch[service.number]
        wait = dispatcher.queue_of(entry.job).expected_wait(entry.job)
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
        self._settle(entry, response)

    def _settle(
        self, entry: tables.Entry, response: requests.Response
    ) -> None:
        entry.response = response
        job = entry.job
        entry.job = None
        job.finished = True
        if self.on_failure and response.outcome in FAILURES:
            service = self.dispatch[job.token.service].service
            self.on_failure(service, job)
        self.counters[f"told_{response.outcome.value}"] += 1
        self._out.append(
            actions.SendToCaller(entry.path, entry.key[1], response)
        )

    # Attempts at backend servers

    def _pump(self, service: fleets.Service, now: float) -> None:
        dispatcher = self.dispatch[service.number]
        if not dispatcher.queued:
            return
        for start in dispatcher.pump(now):
            entry = self.table.find(start.job.key)
            if entry is None or entry.stage != Stage.QUEUED:
                dispatcher.release(start.server.number)
                continue
            entry.stage = ownership.advance(entry.stage, Event.GRANTED).stage
            if self.on_wait:
                self.on_wait(service, start.job)
            self._sent.begin(start)
        resumes_at = dispatcher.resumes_at(now)
        if resumes_at is not None:
            self._later(
                resumes_at - now,
                lambda: self._pump(service, self.clock.monotonic()),
            )

    def _server_reply(self, reply: actions.ServerReply) -> None:
        attempt = self._sent.end(reply.attempt)
        if attempt is None:
            self.counters["late_answers"] += 1
            return
        job = attempt.job
        dispatcher = self.dispatch[job.token.service]
        service = dispatcher.service
        now = self.clock.monotonic()
        if reply.declined:
            self.counters["declined"] += 1
            retry_after = reply.response.retry_after
            dispatcher.declined(attempt.server.number, retry_after, now)
            self._try_again(job, service, now)
        else:
            seconds = now - attempt.started
            dispatcher.answered(job, attempt.server.number, seconds)
            self._answered(job, service, attempt, reply.response)
        self._pump(service, now)

    def _answered(
        self,
        job: jobs.Job,
        service: fleets.Service,
        attempt: sendings.Attempt,
        response: requests.Response,
    ) -> None:
        entry = self.table.find(job.key)
        if entry is None or entry.stage != Stage.DISPATCHED:
            return
        self._sent.cancel(job)
        entry.stage = ownership.advance(
            entry.stage, Event.SERVER_ANSWERED
        ).stage
        if self.on_answer:
            self.on_answer(service, job, self.clock.monotonic() - job.arrived)
        home = job.token.home
        if service.affinity == fleets.Affinity.CONNECTION or job.transfer:
            home = attempt.server.number
        token = self.issuer.refresh(
            entry.path.caller, service, job.token, home
        )
        self._settle(entry, attrs.evolve(response, token=token))

    def _try_again(
        self,
        job: jobs.Job,
        service: fleets.Service,
        now: float,
    ) -> None:
        entry = self.table.find(job.key)
        if entry is None or entry.stage != Stage.DISPATCHED or job.running:
            return
        dispatcher = self.dispatch[service.number]
        if now < job.due and dispatcher.may_retry(job):
            self.counters["retries"] += 1
            self._apply(entry, Event.SERVER_DECLINED, service)
            return
        entry.stage = ownership.advance(
            entry.stage, Event.SERVER_DECLINED
        ).stage
        self._drop(entry, service)

    def _silent(self, attempt: sendings.Attempt) -> None:
        now = self.clock.monotonic()
        job = attempt.job
        dispatcher = self.dispatch[job.token.service]
        service = dispatcher.service
        dispatcher.failed(attempt.server.number, now)
        entry = self.table.find(job.key)
        if entry is not None and entry.stage == Stage.DISPATCHED:
            self._after_silence(entry, service, now)
        self._pump(service, now)

    def _after_silence(
        self, entry: tables.Entry, service: fleets.Service, now: float
    ) -> None:
        job = entry.job
        job.may_have_run = True
        if job.running:
            return
        if entry.idempotent:
            self._try_again(job, service, now)
            return
        self._leave_unknown(entry, service)

    def _leave_unknown(
        self, entry: tables.Entry, service: fleets.Service
    ) -> None:
        job = entry.job
        entry.stage = Stage.UNKNOWN
        token = self.issuer.refresh(
            entry.path.caller, service, job.token, job.token.home
        )
        self._settle(
            entry,
            requests.Response(requests.Outcome.UNKNOWN, token=token),
        )

    # Replies

    def _renew(
        self,
        packet: actions.CallerPacket,
        service: fleets.Service,
        token: tokens.Token | None,
    ) -> None:
        self._reply(
            packet, self.issuer.renewal(packet.path.caller, service, token)
        )

    def _reply(
        self, packet: actions.CallerPacket, response: requests.Response
    ) -> None:
        self.counters[f"told_{response.outcome.value}"] += 1
        self._out.append(
            actions.SendToCaller(
                packet.path, packet.request.exchange, response
            )
        )

    # Messages of other entry hosts

    def _peer_message(self, event: actions.PeerMessage) -> None:
        message = event.message
        now = self.clock.monotonic()
        if isinstance(message, peers.Record):
            self._record_for(event.source, message, now)
            return
        if isinstance(message, peers.Recorded):
            self._recorded(message)
            return
        if isinstance(message, peers.Closed):
            self._closed(message)
            return
        for datagram in self.membership.receive(event.source, message, now):
            self._send_peer(datagram.to, datagram.message)

    def _record_for(
        self,
        source: addresses.Address,
        message: peers.Record,
        now: float,
    ) -> None:
        mine = message.witness in self.membership.own_incarnations
        if not mine or self.closing or self.witness.full():
            self.counters["record_ignored"] += 1
            return
        key = (message.connection, message.exchange)
        recorded = self.witness.record(message.owner, key, now)
        self._send_peer(
            source, peers.Recorded(message.owner, *key, not recorded)
        )

    def _recorded(self, message: peers.Recorded) -> None:
        entry = self.table.find((message.connection, message.exchange))
        if entry is None or entry.owner != message.owner:
            return
        if entry.idempotent or entry.stage != Stage.RECORDING:
            return
        dispatcher = self.dispatch[entry.job.token.service]
        if message.fenced:
            self._fenced(entry, dispatcher.service)
            return
        self._apply(entry, Event.RECORDED, dispatcher.service)

    def view(self) -> peers.Members:
        """Return the whole view, for a host that joins."""
        membership = self.membership
        return peers.Members(
            (membership.me, *membership.members.values()),
            tuple(self.heirs.items()),
        )

    def merge_view(self, view: peers.Members) -> None:
        """Take in the whole view of another host."""
        for ended, heir in view.heirs:
            self.heirs.setdefault(ended, heir)
        now = self.clock.monotonic()
        self.membership.merge_all(view.members, now)
        self.joined = True

    def _fenced(self, entry: tables.Entry, service: fleets.Service) -> None:
        """Give up an incarnation that a witness no longer records for.

        Its tokens are of no more use, so that all callers are led to a new
        one. The request was not dispatched and never will be.
        """
        self.counters["fenced"] += 1
        if entry.owner == self.membership.me.incarnation:
            self.membership.take_new_incarnation()
        entry.stage = ownership.advance(entry.stage, Event.FENCED).stage
        token = entry.job.token
        self._settle(
            entry, self.issuer.renewal(entry.path.caller, service, token)
        )

    def _closed(self, message: peers.Closed) -> None:
        while len(self.heirs) >= HEIR_LIMIT:
            del self.heirs[next(iter(self.heirs))]
        self.heirs[message.owner] = message.holder
        self.membership.bury(message.owner)

    def _send_peer(self, to: addresses.Address, message: object) -> None:
        self._out.append(actions.SendToPeer(to, message))

    def _later(self, wait: float, action: Callable[[], None]) -> None:
        self._timers.at(self.clock.monotonic() + wait, action)

    def _drain(self) -> list[actions.Action]:
        out = self._out
        self._out = []
        return out
