"""Keeps an entry host's configuration current.

A new configuration comes from the platform's object API or from another
entry host that already has it.
"""

import asyncio
import time

import attrs
import cbor2
import structlog

from vanilladrum.core import address as addresses
from vanilladrum.core import document
from vanilladrum.core import entryhost
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import peer_messages
from vanilladrum.core import placement
from vanilladrum.daemons import transport as transports
from vanilladrum.wire import bulk
from vanilladrum.wire import platform as platforms

# Hosts per data centre that watch the platform on behalf of the others.
WATCHERS = 2
# Stands for a service in the rendezvous hash that ranks watchers.
WATCH_SERVICE_NUMBER = 0
# Base and limit of the delay before a retry: the base is doubled with every
# failure. Jitter then reduces the delay by up to a half.
BACKOFF_SECONDS = (0.2, 10.0)
# Further failures do not lengthen the delay.
MAX_BACKOFF_EXPONENT = 10
STATUS_INTERVAL_SECONDS = 0.5
# Interval between two checks that the platform still has the status.
STATUS_CHECK_SECONDS = 30.0
STATUS_KIND = "status"
CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "fleet"
log = structlog.get_logger()


@attrs.define(eq=False)
class ConfigurationSync:
    """Obtains new configurations and reports which ones are in force.

    Configurations come from a watch at the platform, or are requested from an
    entry host that announced a newer one.

    :param binds_services: whether to bind the service addresses on this host.
    :param pulling: whether a configuration is being requested from a host.
    """

    core: entryhost.EntryHost
    platform: platforms.PlatformClient
    transport: transports.Transport
    binds_services: bool
    pulling: bool = False

    def on_peer_generation(
        self, source: addresses.Address, generation: int
    ) -> None:
        """Request the configuration from a host that announced a newer one.

        Does nothing while another such request is in progress.

        :param generation: generation in force at that host.
        """
        if generation > self.core.generation and not self.pulling:
            self.pulling = True
            asyncio.create_task(self._pull(source, generation))

    async def watch_platform(self) -> None:
        """Watch the platform for configurations until cancelled.

        A host that has a configuration watches only while it is one of its
        data centre's watchers. Failed calls, and configurations that cannot
        be applied, are logged and retried.
        """
        version = 0
        failures = 0
        while True:
            if self.core.fleet is not None and not self._is_watcher():
                await asyncio.sleep(1.0)
                continue
            try:
                version = await self._watch_once(version)
                failures = 0
            except errors.VanilladrumError as error:
                log.warning("configuration not followed", reason=str(error))
                failures += 1
                await asyncio.sleep(self._backoff(failures))

    async def _watch_once(self, version: int) -> int:
        stored = await self.platform.watch(
            CONFIGURATION_KIND, CONFIGURATION_NAME, version
        )
        if stored.version:
            # Also at an unchanged version: a restored platform gives it out
            # again. An older configuration is recognized by its generation.
            fleet = document.read_fleet(stored.value, "configuration/fleet")
            await self.adopt(fleet)
        await self._write_back(stored)
        return stored.version

    async def _write_back(self, stored: platforms.StoredObject) -> None:
        """Store the configuration in force again if the platform has lost it.

        Otherwise the next change would start from an older one: its keys would
        replace those that seal the tokens of open connections.

        :raises PlatformError: when the platform does not store it, or another
            change was stored in the meantime.
        """
        fleet = self.core.fleet
        stored_generation = stored.value.get("generation", 0)
        if fleet is None or stored_generation >= fleet.generation:
            return
        if not self._is_first_watcher():
            return
        await self.platform.put(
            CONFIGURATION_KIND,
            CONFIGURATION_NAME,
            document.unstructure(fleet),
            stored.version,
        )
        log.warning(
            "configuration written back",
            generation=fleet.generation,
            stored=stored_generation,
        )

    async def report_status(self) -> None:
        """Report the generations in this data centre until cancelled.

        Only the first watcher calls the platform, after a change and every
        ``STATUS_CHECK_SECONDS``. Failed calls are logged and retried.
        """
        last_written: dict = {}
        check_at = 0.0
        while True:
            await asyncio.sleep(STATUS_INTERVAL_SECONDS)
            if not self.core.ready or not self._is_first_watcher():
                continue
            status = self._status(self._ranked_local_hosts())
            now = time.monotonic()
            if status == last_written and now < check_at:
                continue
            try:
                await self._write_status(status)
                last_written = status
                check_at = now + STATUS_CHECK_SECONDS
            except errors.PlatformError as error:
                log.warning("status not written", reason=str(error))
                await asyncio.sleep(self._backoff(MAX_BACKOFF_EXPONENT))

    def _status(self, ranked: list[peer_messages.Member]) -> dict:
        """Return the lowest generation and those of all hosts by number."""
        membership = self.core.membership
        by_host = {
            str(member.number): membership.generations.get(
                member.incarnation, 0
            )
            for member in ranked
        }
        by_host[str(membership.own_entry.number)] = self.core.generation
        return {"generation": min(by_host.values()), "hosts": by_host}

    async def _write_status(self, status: dict) -> None:
        name = self.core.membership.own_entry.data_centre
        current = await self.platform.get(STATUS_KIND, name)
        if current.value == status:
            return
        await self.platform.put(STATUS_KIND, name, status, current.version)

    def _ranked_local_hosts(self) -> list[peer_messages.Member]:
        """Return the live hosts of this data centre in watch order.

        The first ``WATCHERS`` of them watch the platform for the others.
        """
        membership = self.core.membership
        ranked = [
            member
            for member in membership.alive()
            if member.data_centre == membership.own_entry.data_centre
        ]
        ranked.sort(
            key=lambda each: placement.rendezvous_weight(
                WATCH_SERVICE_NUMBER, each.incarnation
            )
        )
        return ranked

    def _is_watcher(self) -> bool:
        return (
            self.core.membership.own_entry
            in self._ranked_local_hosts()[:WATCHERS]
        )

    def _is_first_watcher(self) -> bool:
        """Return whether this host writes to the platform for the others."""
        ranked = self._ranked_local_hosts()
        return ranked[:1] == [self.core.membership.own_entry]

    def _backoff(self, failures: int) -> float:
        base, longest = BACKOFF_SECONDS
        delay = min(longest, base * 2 ** min(failures, MAX_BACKOFF_EXPONENT))
        return delay * self.core.rng.uniform(0.5, 1.0)

    async def _pull(self, source: addresses.Address, generation: int) -> None:
        try:
            request = peer_messages.ConfigurationRequest(self.core.generation)
            reply = (
                await bulk.send_request(source, self.transport.codec, request)
            ).ok()
            if (
                isinstance(reply, peer_messages.Configuration)
                and reply.document
            ):
                decoded = cbor2.loads(reply.document)
                fleet = document.read_fleet(decoded, f"entry host {source}")
                await self.adopt(fleet)
        except (errors.VanilladrumError, cbor2.CBORDecodeError) as error:
            log.warning(
                "configuration not pulled",
                generation=generation,
                reason=str(error),
            )
        finally:
            self.pulling = False

    async def adopt(self, fleet: fleets.Fleet) -> None:
        """Apply a configuration if it is newer, and announce it to the peers.

        :raises ConfigurationError: when it is invalid.
        :raises SettingsError: when a service address cannot be bound.
        """
        if not self.core.configure(fleet):
            return
        log.info("configuration in force", generation=fleet.generation)
        if self.binds_services:
            await self.transport.bind_services(fleet)
        for member in self.core.membership.alive():
            if member is not self.core.membership.own_entry:
                self.transport.announce(member)
