"""How an entry host comes to know the others and stays in step."""

import asyncio

import attrs
import structlog

from vanilladrum.core import address as addresses
from vanilladrum.core import entryhost
from vanilladrum.core import errors
from vanilladrum.core import peers
from vanilladrum.wire import bulk
from vanilladrum.wire import peers as wire_peers
from vanilladrum.wire import platform as platforms

# Seconds between two comparisons of whole views.
VIEW_SECONDS = 15.0
JOIN_TIMEOUT_SECONDS = 1.0
log = structlog.get_logger()


@attrs.define(eq=False)
class Joining:
    """Joins through any host that answers, then compares views.

    :param seeds: addresses from the settings.
    """

    core: entryhost.EntryHost
    codec: wire_peers.Codec
    platform: platforms.PlatformClient
    seeds: tuple[addresses.Address, ...]

    async def exchange(self) -> None:
        """Join, then compare views for as long as this host runs."""
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
        mine = self.core.membership.me.address
        seeds = {*self.seeds, *listed} - {mine}
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
