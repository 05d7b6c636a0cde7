"""Entry host of the request mode: runs the core on sockets and timers."""

import asyncio
import random
import time

import aiomisc
import cbor2
import structlog

from vanilladrum.core import document
from vanilladrum.core import entryhost
from vanilladrum.core import handover
from vanilladrum.core import incarnations
from vanilladrum.core import membership as memberships
from vanilladrum.core import peer_messages
from vanilladrum.daemons import configuration_sync
from vanilladrum.daemons import membership_sync
from vanilladrum.daemons import metrics
from vanilladrum.daemons import settings as settings_module
from vanilladrum.daemons import transport
from vanilladrum.wire import bulk
from vanilladrum.wire import peer_codec
from vanilladrum.wire import platform as platforms

# Copies of each StopCompleted message, as datagrams may be lost.
STOP_COMPLETED_REPEATS = 3
# Hosts that are tried in turn until one confirms the hand-over.
MAX_SUCCESSORS_TRIED = 3
DRAIN_POLL_SECONDS = 0.02
# The drain ends after this long without unfinished requests, in seconds, so
# that peers have had time to learn of the departure.
DRAIN_IDLE_SECONDS = 0.5
log = structlog.get_logger()


class SystemClock:
    """Monotonic and wall clock of the operating system."""

    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


class EntryHostService(aiomisc.Service):
    """Runs one entry host until a planned stop.

    :param settings: validated settings of this host.
    """

    settings: settings_module.EntryHostSettings

    async def start(self) -> None:
        """Open the sockets and start the background tasks.

        :raises SettingsError: when an address cannot be bound.
        """
        settings = self.settings
        self.codec = peer_codec.Codec(
            bytes.fromhex(settings.security.peer_secret)
        )
        self.core = self._make_core(settings)
        self.metrics = metrics.Metrics(settings.host.name, self.core)
        self.core.on_start = self.metrics.record_wait
        self.core.on_answered = self.metrics.record_answer
        self.core.on_failure = self.metrics.record_failure
        self.platform = platforms.PlatformClient(
            settings.platform.url, settings.platform.timeout
        )
        self.transport = transport.Transport(
            self.core,
            self.codec,
            lambda source, generation: self.configuration.on_peer_generation(
                source, generation
            ),
        )
        self.configuration = configuration_sync.ConfigurationSync(
            self.core, self.platform, self.transport, settings.listen.direct
        )
        self.membership_sync = membership_sync.MembershipSync(
            self.core, self.codec, self.platform, settings.seeds
        )
        await self._open_sockets(settings.listen)
        self.transport.execute(self.core.tick())
        self.background_tasks = [
            asyncio.create_task(self.configuration.watch_platform()),
            asyncio.create_task(self.configuration.report_status()),
            asyncio.create_task(self.membership_sync.run()),
        ]
        incarnation = self.core.membership.own_entry.incarnation
        log.info("entry host started", incarnation=incarnation.hex())

    def _make_core(
        self, settings: settings_module.EntryHostSettings
    ) -> entryhost.EntryHost:
        clock = SystemClock()
        rng = random.Random(int.from_bytes(random.SystemRandom().randbytes(8)))
        own_entry = peer_messages.Member(
            settings.host.number,
            incarnations.start_from_clock(clock.wall()),
            settings.listen.peer,
            settings.host.data_centre,
        )
        membership = memberships.Membership(
            own_entry, rng, seeds=settings.seeds
        )
        return entryhost.EntryHost(membership, clock, rng)

    async def _open_sockets(self, listen: settings_module.Listen) -> None:
        self.bulk = bulk.MessageServer(self.codec, self._answer_bulk)
        await self.bulk.start(listen.peer)
        await self.transport.open(listen)
        if listen.metrics is not None:
            await self.metrics.serve(listen.metrics)

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish open requests, hand over the request table and close.

        :param exception: not used.
        """
        log.info("planned stop begins")
        self.transport.execute(self.core.start_leaving())
        # Peers learn of the departure before new packets are refused here.
        for member in self.core.membership.alive():
            self.transport.announce(member)
        await self._drain()
        await self._hand_over()
        for task in self.background_tasks:
            task.cancel()
        await self.bulk.stop()
        await self.metrics.close()
        await self.platform.close()
        self.transport.close()
        log.info("planned stop ended", cut_off=len(self.core.attempts))

    async def _drain(self) -> None:
        clock = self.core.clock
        deadline = clock.monotonic() + self.settings.stop.drain
        idle_since = clock.monotonic()
        while clock.monotonic() < deadline:
            if not self.core.is_drained():
                idle_since = clock.monotonic()
            if clock.monotonic() - idle_since >= DRAIN_IDLE_SECONDS:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _hand_over(self) -> None:
        table = handover.export_state(self.core)
        started = self.core.clock.monotonic()
        for successor in handover.successor_candidates(self.core)[
            :MAX_SUCCESSORS_TRIED
        ]:
            confirmation = await bulk.send_request(
                successor.address, self.codec, table
            )
            if confirmation.is_ok():
                break
            # The host may have imported the table without confirming. A
            # second successor does not conflict with it, because the table
            # only states what has happened.
            log.error("hand-over failed", reason=str(confirmation.err()))
        else:
            log.warning("no entry host is left to take the table")
            return
        log.info(
            "table handed over",
            heir=successor.incarnation.hex(),
            outcomes=len(table.outcomes),
            records=len(table.records),
            seconds=round(self.core.clock.monotonic() - started, 4),
        )
        for owner in table.ended:
            self._broadcast_stop_completed(
                peer_messages.StopCompleted(owner, successor.incarnation)
            )
        await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _broadcast_stop_completed(
        self, message: peer_messages.StopCompleted
    ) -> None:
        datagram = self.codec.encode(message)
        for member in list(self.core.membership.members.values()):
            for _ in range(STOP_COMPLETED_REPEATS):
                self.transport.peer_endpoint.send(datagram, member.address)

    async def _answer_bulk(self, message: object) -> object | None:
        if isinstance(message, peer_messages.ConfigurationRequest):
            encoded = b""
            if self.core.fleet is not None:
                encoded = cbor2.dumps(document.unstructure(self.core.fleet))
            return peer_messages.Configuration(encoded)
        if isinstance(message, peer_messages.MembersRequest):
            self.core.membership.merge_view(
                (message.sender,), self.core.clock.monotonic()
            )
            return self.core.view()
        if isinstance(message, peer_messages.HandOver):
            handover.import_state(self.core, message)
            log.info(
                "table taken over",
                sender=message.sender.hex(),
                outcomes=len(message.outcomes),
            )
            return peer_messages.HandOverConfirmed(
                self.core.membership.own_entry.incarnation
            )
        return None
