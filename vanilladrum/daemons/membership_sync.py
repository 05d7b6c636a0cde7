"""Joins an entry host to the fleet and keeps its membership view current."""

import asyncio

import attrs
import structlog

from vanilladrum.core import address as addresses
from vanilladrum.core import entryhost
from vanilladrum.core import errors
from vanilladrum.core import peer_messages
from vanilladrum.wire import bulk
from vanilladrum.wire import peer_codec
from vanilladrum.wire import platform as platforms

# Interval between requests for another host's whole membership view.
VIEW_INTERVAL_SECONDS = 15.0
JOIN_TIMEOUT_SECONDS = 1.0
log = structlog.get_logger()


@attrs.define(eq=False)
class MembershipSync:
    """Joins through any host that answers, then merges views periodically.

    :param seeds: peer endpoints from the settings.
    """

    core: entryhost.EntryHost
    codec: peer_codec.Codec
    platform: platforms.PlatformClient
    seeds: tuple[addresses.Address, ...]

    async def run(self) -> None:
        """Join, then merge the views of random hosts until cancelled."""
        while not self.core.joined:
            await self._update_seeds()
            if not await self._join():
                # No host answers: this one is the first, or it is isolated.
                self.core.joined = True
        while True:
            await asyncio.sleep(VIEW_INTERVAL_SECONDS)
            others = self.core.membership.alive()
            others = [
                each
                for each in others
                if each is not self.core.membership.own_entry
            ]
            if others:
                await self._pull_view(self.core.rng.choice(others).address)

    async def _update_seeds(self) -> None:
        try:
            listed = await self.platform.hosts()
        except errors.PlatformError as error:
            log.warning("host list not read", reason=str(error))
            return
        own_address = self.core.membership.own_entry.address
        seeds = {*self.seeds, *listed} - {own_address}
        self.core.membership.seeds = tuple(sorted(seeds))

    async def _join(self) -> bool:
        seeds = list(self.core.membership.seeds)
        self.core.rng.shuffle(seeds)
        for seed in seeds:
            if await self._pull_view(seed):
                return True
        return False

    async def _pull_view(self, address: addresses.Address) -> bool:
        request = peer_messages.MembersRequest(self.core.membership.own_entry)
        answer = await bulk.send_request(
            address, self.codec, request, JOIN_TIMEOUT_SECONDS
        )
        reply = answer.ok()
        if not isinstance(reply, peer_messages.Members):
            return False
        self.core.merge_view(reply)
        return True
