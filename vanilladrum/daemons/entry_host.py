"""The entry-host daemon: sockets, timers and the platform round the core."""

import asyncio
import random
import time

import aiomisc
import cbor2
import structlog

from vanilladrum.core import actions
from vanilladrum.core import address as addresses
from vanilladrum.core import document
from vanilladrum.core import entryhost
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import handover
from vanilladrum.core import membership as memberships
from vanilladrum.core import peers
from vanilladrum.core import placement
from vanilladrum.core import request as requests
from vanilladrum.daemons import metrics
from vanilladrum.daemons import settings as settings_module
from vanilladrum.daemons import sockets
from vanilladrum.wire import bulk
from vanilladrum.wire import coap
from vanilladrum.wire import peers as wire_peers
from vanilladrum.wire import platform as platforms
from vanilladrum.wire import tunnel

SERVER_TOKEN_BYTES = 4
ANY_PORT = 0
WATCHERS = 2
WATCH_NUMBER = 0
BACKOFF_SECONDS = (0.2, 10.0)
MOST_FAILURES = 10
STATUS_SECONDS = 0.5
VIEW_SECONDS = 15.0
JOIN_TIMEOUT_SECONDS = 1.0
STATUS_KIND = "status"
CLOSED_REPEATS = 3
HEIRS_TRIED = 3
DRAIN_POLL_SECONDS = 0.02
ANNOUNCE_SECONDS = 0.5
CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "fleet"
log = structlog.get_logger()


class SystemClock:
    """Clock of the machine."""

    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


class EntryHostService(aiomisc.Service):
    """Runs one entry host until it is stopped as planned.

    :param settings: checked settings of this host.
    """

    settings: settings_module.EntryHostSettings

    async def start(self) -> None:
        """Open the sockets and join the others."""
        settings = self.settings
        self.clock = SystemClock()
        rng = random.Random(int.from_bytes(random.SystemRandom().randbytes(8)))
        self.codec = wire_peers.Codec(
            bytes.fromhex(settings.security.peer_secret)
        )
        me = peers.Member(
            settings.host.number,
            memberships.first_start(self.clock.wall()),
            settings.listen.peer,
            settings.host.data_centre,
        )
        self.core = entryhost.EntryHost(
            memberships.Membership(me, rng, seeds=settings.seeds),
            self.clock,
            rng,
        )
        self.metrics = metrics.Metrics(settings.host.name, self.core)
        self.core.on_wait = self.metrics.waited
        self.core.on_answer = self.metrics.answered
        self.core.on_failure = self.metrics.failed
        self.platform = platforms.PlatformClient(
            settings.platform.url, settings.platform.timeout
        )
        self.mids: dict[int, int] = {}
        self.next_mid: dict[addresses.Address, int] = {}
        self.direct: dict[addresses.Address, sockets.Endpoint] = {}
        self.tunnel: sockets.Endpoint | None = None
        self.wakeup: asyncio.TimerHandle | None = None
        self.wakes_at = 0.0
        self.pulling = False
        await self._open(settings)
        self._perform(self.core.tick())
        self.following = asyncio.create_task(self._follow_platform())
        self.reporting = asyncio.create_task(self._report_status())
        self.joining = asyncio.create_task(self._exchange_views())
        log.info("entry host started", incarnation=me.incarnation.hex())

    async def _open(self, settings: settings_module.EntryHostSettings) -> None:
        listen = settings.listen
        self.bulk = bulk.BulkServer(self.codec, self._answer_bulk)
        await self.bulk.start(listen.peer)
        self.peer = await sockets.open_endpoint(
            listen.peer, self._peer_received
        )
        any_address = addresses.Address(listen.peer.host, ANY_PORT)
        self.servers = await sockets.open_endpoint(
            any_address, self._server_received
        )
        if listen.tunnel is not None:
            self.tunnel = await sockets.open_endpoint(
                listen.tunnel, self._tunnel_received
            )
        if listen.metrics is not None:
            await self.metrics.serve(listen.metrics)

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish what runs, hand over, leave."""
        log.info("planned stop begins")
        self._perform(self.core.start_leaving())
        # Peers hear of the departure before new packets are turned away.
        for member in self.core.membership.alive():
            self._announce(member)
        deadline = self.clock.monotonic() + self.settings.stop.drain
        calm_since = self.clock.monotonic()
        while self.clock.monotonic() < deadline:
            if not self.core.finished():
                calm_since = self.clock.monotonic()
            if self.clock.monotonic() - calm_since >= ANNOUNCE_SECONDS:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self._hand_over()
        self.following.cancel()
        self.reporting.cancel()
        self.joining.cancel()
        if self.wakeup is not None:
            self.wakeup.cancel()
        await self.bulk.stop()
        await self.metrics.close()
        await self.platform.close()
        for endpoint in (self.peer, self.servers, self.tunnel):
            if endpoint is not None:
                endpoint.close()
        for endpoint in self.direct.values():
            endpoint.close()
        log.info("planned stop ended", cut_off=len(self.core.attempts))

    def _announce(self, member: peers.Member) -> None:
        membership = self.core.membership
        ping = peers.Ping(0, membership.me, membership.generation, ())
        self.peer.send(self.codec.encode(ping), member.address)

    async def _hand_over(self) -> None:
        handed = handover.export(self.core)
        started = self.clock.monotonic()
        for heir in handover.heirs(self.core)[:HEIRS_TRIED]:
            taken = await bulk.ask(heir.address, self.codec, handed)
            if taken.is_ok():
                break
            # What is handed over are facts: a first heir that took them
            # without confirming does no harm beside the next one.
            log.error("hand-over failed", reason=str(taken.err()))
        else:
            log.warning("no entry host is left to take the table")
            return
        log.info(
            "table handed over",
            heir=heir.incarnation.hex(),
            outcomes=len(handed.outcomes),
            records=len(handed.records),
            seconds=round(self.clock.monotonic() - started, 4),
        )
        for owner in handed.closed:
            closed = peers.Closed(owner, heir.incarnation)
            datagram = self.codec.encode(closed)
            for member in list(self.core.membership.members.values()):
                for _ in range(CLOSED_REPEATS):
                    self.peer.send(datagram, member.address)
        await asyncio.sleep(DRAIN_POLL_SECONDS)

    # Datagrams in

    def _tunnel_received(
        self, datagram: bytes, source: addresses.Address
    ) -> None:
        try:
            caller, service, raw = tunnel.unwrap(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        self._caller_received(raw, caller, service, source)

    def _caller_received(
        self,
        raw: bytes,
        caller: addresses.Address,
        service: addresses.Address,
        via: addresses.Address | None,
        hops: int = 0,
        judge: bool = False,
    ) -> None:
        try:
            received = coap.read_request(raw)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        path = coap.reply_path(received, caller, service, via)
        if received.reply is not None:
            self.core.counters[f"refused_{received.kind}"] += 1
            self._send_on_path(path, received.reply)
            return
        packet = actions.CallerPacket(raw, received.request, path, hops, judge)
        self._perform(self.core.handle(packet))

    def _server_received(
        self, datagram: bytes, source: addresses.Address
    ) -> None:
        try:
            read = coap.read_response(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        if read is None:
            return
        if read.confirmable:
            ack = coap.encode_acknowledgement(read.message_id)
            self.servers.send(ack, source)
        number = int.from_bytes(read.token, "big")
        attempt = self.core.attempts.get(number)
        if attempt is None or attempt.server.address != source:
            self.core.counters["late_answers"] += 1
            return
        self.mids.pop(number, None)
        reply = actions.ServerReply(number, read.response, read.declined)
        self._perform(self.core.handle(reply))

    def _peer_received(
        self, datagram: bytes, source: addresses.Address
    ) -> None:
        self.core.counters["peer_bytes_in"] += len(datagram)
        try:
            message = self.codec.decode(datagram)
        except errors.PacketError as error:
            self.core.counters[f"refused_{error.kind}"] += 1
            return
        if isinstance(message, peers.Forward):
            self._caller_received(
                message.raw,
                message.caller,
                message.service,
                message.via,
                message.hops,
                message.judge,
            )
            return
        self._perform(self.core.handle(actions.PeerMessage(source, message)))
        generation = getattr(message, "generation", 0)
        if generation > self.core.generation and not self.pulling:
            self.pulling = True
            asyncio.create_task(self._pull(source, generation))

    # Actions out

    def _perform(self, wanted: list[actions.Action]) -> None:
        for action in wanted:
            if isinstance(action, actions.SendToCaller):
                self._send_on_path(
                    action.path,
                    coap.encode_response(
                        action.path, action.exchange, action.response
                    ),
                )
            elif isinstance(action, actions.SendToServer):
                self._send_to_server(action)
            elif isinstance(action, actions.SendToPeer):
                self._send_to_peer(action)
            else:
                self._cancel_at_server(action)
        self._schedule()

    def _send_on_path(self, path: requests.ReplyPath, datagram: bytes) -> None:
        if path.via is None:
            endpoint = self.direct.get(path.service)
            if endpoint is not None:
                endpoint.send(datagram, path.caller)
            return
        if self.tunnel is None:
            return
        wrapped = tunnel.wrap(path.service, path.caller, datagram)
        self.tunnel.send(wrapped, path.via)

    def _send_to_server(self, action: actions.SendToServer) -> None:
        mid = self.mids.get(action.attempt)
        if mid is None:
            mid = self.next_mid.get(action.server, 0)
            self.next_mid[action.server] = (mid + 1) & 0xFFFF
            self.mids[action.attempt] = mid
        token = action.attempt.to_bytes(SERVER_TOKEN_BYTES, "big")
        datagram = coap.encode_request(
            mid, token, action.request, action.deadline
        )
        self.servers.send(datagram, action.server)

    def _cancel_at_server(self, action: actions.CancelAtServer) -> None:
        mid = self.mids.pop(action.attempt, None)
        if mid is not None:
            self.servers.send(coap.encode_cancel(mid), action.server)

    def _send_to_peer(self, action: actions.SendToPeer) -> None:
        datagram = self.codec.encode(action.message)
        kind = "peer_bytes_out"
        if isinstance(action.message, peers.Forward):
            kind = "forward_bytes_out"
        self.core.counters[kind] += len(datagram)
        self.peer.send(datagram, action.to)

    def _schedule(self) -> None:
        due = self.core.next_timer()
        if self.wakeup is not None:
            if self.wakes_at <= due:
                return
            self.wakeup.cancel()
        self.wakes_at = due
        loop = asyncio.get_running_loop()
        wait = max(0.0, due - self.clock.monotonic())
        self.wakeup = loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self.wakeup = None
        self._forget_mids()
        self._perform(self.core.tick())

    def _forget_mids(self) -> None:
        if len(self.mids) <= 2 * len(self.core.attempts) + 1024:
            return
        self.mids = {
            number: mid
            for number, mid in self.mids.items()
            if number in self.core.attempts
        }

    # Configuration

    async def _follow_platform(self) -> None:
        version = 0
        failures = 0
        while True:
            if self.core.fleet is not None and not self._watches():
                await asyncio.sleep(1.0)
                continue
            try:
                version = await self._follow_once(version)
                failures = 0
            except errors.VanilladrumError as error:
                log.warning("configuration not followed", reason=str(error))
                failures += 1
                await asyncio.sleep(self._backoff(failures))

    async def _follow_once(self, version: int) -> int:
        found = await self.platform.watch(
            CONFIGURATION_KIND, CONFIGURATION_NAME, version
        )
        if found.version and found.version != version:
            fleet = document.read_fleet(found.value, "configuration/fleet")
            await self._adopt(fleet)
        return found.version

    async def _exchange_views(self) -> None:
        """Join through any host that answers, then compare views."""
        while not self.core.joined:
            await self._find_seeds()
            if not await self._join():
                # Nobody answers: this host is the first, or alone.
                self.core.joined = True
        while True:
            await asyncio.sleep(VIEW_SECONDS)
            others = self.core.membership.alive()
            others = [m for m in others if m is not self.core.membership.me]
            if others:
                await self._pull_view(self.core.rng.choice(others).address)

    async def _find_seeds(self) -> None:
        try:
            listed = await self.platform.hosts()
        except errors.PlatformError as error:
            log.warning("host list not read", reason=str(error))
            return
        mine = self.settings.listen.peer
        seeds = {*self.settings.seeds, *listed} - {mine}
        self.core.membership.seeds = tuple(sorted(seeds))

    async def _join(self) -> bool:
        seeds = list(self.core.membership.seeds)
        self.core.rng.shuffle(seeds)
        for seed in seeds:
            if await self._pull_view(seed):
                return True
        return False

    async def _pull_view(self, address: addresses.Address) -> bool:
        asked = peers.PullMembers(self.core.membership.me)
        answer = await bulk.ask(
            address, self.codec, asked, JOIN_TIMEOUT_SECONDS
        )
        reply = answer.ok()
        if not isinstance(reply, peers.Members):
            return False
        self.core.merge_view(reply)
        return True

    async def _report_status(self) -> None:
        """Tell the platform which generation this data centre has."""
        written: dict = {}
        while True:
            await asyncio.sleep(STATUS_SECONDS)
            near = self._near()
            if not self.core.ready or near[:1] != [self.core.membership.me]:
                continue
            status = self._status(near)
            if status == written:
                continue
            try:
                await self._write_status(status)
                written = status
            except errors.PlatformError as error:
                log.warning("status not written", reason=str(error))
                await asyncio.sleep(self._backoff(MOST_FAILURES))

    def _status(self, near: list[peers.Member]) -> dict:
        membership = self.core.membership
        hosts = {
            str(member.number): membership.generations.get(
                member.incarnation, 0
            )
            for member in near
        }
        hosts[str(membership.me.number)] = self.core.generation
        return {"generation": min(hosts.values()), "hosts": hosts}

    async def _write_status(self, status: dict) -> None:
        name = self.core.membership.me.data_centre
        stored = await self.platform.get(STATUS_KIND, name)
        await self.platform.put(STATUS_KIND, name, status, stored.version)

    def _near(self) -> list[peers.Member]:
        """Return the data centre's hosts; the first ones watch for all."""
        membership = self.core.membership
        near = [
            member
            for member in membership.alive()
            if member.data_centre == membership.me.data_centre
        ]
        near.sort(
            key=lambda each: placement.score(WATCH_NUMBER, each.incarnation)
        )
        return near

    def _watches(self) -> bool:
        return self.core.membership.me in self._near()[:WATCHERS]

    def _backoff(self, failures: int) -> float:
        shortest, longest = BACKOFF_SECONDS
        wait = min(longest, shortest * 2 ** min(failures, MOST_FAILURES))
        return wait * self.core.rng.uniform(0.5, 1.0)

    async def _pull(self, source: addresses.Address, generation: int) -> None:
        try:
            asked = peers.PullConfiguration(self.core.generation)
            reply = (await bulk.ask(source, self.codec, asked)).ok()
            if isinstance(reply, peers.Configuration) and reply.document:
                plain = cbor2.loads(reply.document)
                fleet = document.read_fleet(plain, f"entry host {source}")
                await self._adopt(fleet)
        except (errors.VanilladrumError, cbor2.CBORDecodeError) as error:
            log.warning(
                "configuration not pulled",
                generation=generation,
                reason=str(error),
            )
        finally:
            self.pulling = False

    async def _adopt(self, fleet: fleets.Fleet) -> None:
        if not self.core.configure(fleet):
            return
        log.info("configuration in force", generation=fleet.generation)
        if self.settings.listen.direct:
            await self._bind_services(fleet)
        for member in self.core.membership.alive():
            if member is not self.core.membership.me:
                self._announce(member)

    async def _bind_services(self, fleet: fleets.Fleet) -> None:
        wanted = {service.address for service in fleet.services}
        for address in set(self.direct) - wanted:
            self.direct.pop(address).close()
        for address in wanted - set(self.direct):
            endpoint = await sockets.open_endpoint(
                address, self._direct_receiver(address)
            )
            self.direct[address] = endpoint

    def _direct_receiver(self, service: addresses.Address) -> sockets.Receiver:
        def receive(datagram: bytes, caller: addresses.Address) -> None:
            self._caller_received(datagram, caller, service, None)

        return receive

    async def _answer_bulk(self, message: object) -> object | None:
        if isinstance(message, peers.PullConfiguration):
            found = b""
            if self.core.fleet is not None:
                found = cbor2.dumps(document.to_plain(self.core.fleet))
            return peers.Configuration(found)
        if isinstance(message, peers.PullMembers):
            self.core.membership.merge_all(
                (message.sender,), self.clock.monotonic()
            )
            return self.core.view()
        if isinstance(message, peers.HandOver):
            handover.adopt(self.core, message)
            log.info(
                "table taken over",
                sender=message.sender.hex(),
                outcomes=len(message.outcomes),
            )
            return peers.HandOverTaken(self.core.membership.me.incarnation)
        return None
