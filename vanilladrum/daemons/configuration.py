"""Configurations of an entry host: from the platform or another host."""

import asyncio

import attrs
import cbor2
import structlog

from vanilladrum.core import address as addresses
from vanilladrum.core import document
from vanilladrum.core import entryhost
from vanilladrum.core import errors
from vanilladrum.core import fleet as fleets
from vanilladrum.core import peers
from vanilladrum.core import placement
from vanilladrum.daemons import traffic as traffics
from vanilladrum.wire import bulk
from vanilladrum.wire import platform as platforms

# Hosts of a data centre that watch the platform for all of its hosts.
WATCHERS = 2
WATCH_NUMBER = 0
BACKOFF_SECONDS = (0.2, 10.0)
MOST_FAILURES = 10
STATUS_SECONDS = 0.5
STATUS_KIND = "status"
CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "fleet"
log = structlog.get_logger()


@attrs.define(eq=False)
class Configuration:
    """Follows the platform, pulls from other hosts, reports what is held.

    :param binds: whether the services' addresses are bound here.
    """

    core: entryhost.EntryHost
    platform: platforms.PlatformClient
    traffic: traffics.Traffic
    binds: bool
    pulling: bool = False

    def hear(self, source: addresses.Address, generation: int) -> None:
        """Pull the configuration of a host that has a newer one."""
        if generation > self.core.generation and not self.pulling:
            self.pulling = True
            asyncio.create_task(self._pull(source, generation))

    async def follow(self) -> None:
        """Watch the platform while this host is one of the watchers."""
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
            await self.adopt(fleet)
        return found.version

    async def report(self) -> None:
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
            reply = (await bulk.ask(source, self.traffic.codec, asked)).ok()
            if isinstance(reply, peers.Configuration) and reply.document:
                plain = cbor2.loads(reply.document)
                fleet = document.read_fleet(plain, f"entry host {source}")
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
        """Put a configuration in force, if it is newer, and tell others."""
        if not self.core.configure(fleet):
            return
        log.info("configuration in force", generation=fleet.generation)
        if self.binds:
            await self.traffic.bind_services(fleet)
        for member in self.core.membership.alive():
            if member is not self.core.membership.me:
                self.traffic.announce(member)
