"""Stand-in for the network fabric: sprays datagrams over entry hosts."""

import asyncio
import collections
import random

import aiomisc
import attrs

from vanilladrum.core import address as addresses
from vanilladrum.core import errors
from vanilladrum.daemons import sockets
from vanilladrum.standins import control
from vanilladrum.wire import tunnel


@attrs.frozen
class FabricSettings:
    """Settings of the fabric stand-in.

    :param services: addresses that callers use.
    :param tunnel: endpoint towards the entry hosts.
    :param hosts: tunnel endpoints of the entry hosts.
    :param drop: share of datagrams that are lost.
    :param duplicate: share that arrive twice.
    :param reorder: share that are held back by up to ``reorder_delay``.
    :param delay: seconds that each datagram takes.
    """

    services: tuple[addresses.Address, ...]
    tunnel: addresses.Address
    hosts: tuple[addresses.Address, ...]
    control: addresses.Address
    seed: int = 1
    drop: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_delay: float = 0.005
    delay: float = 0.0


class FabricService(aiomisc.Service):
    """Forwards datagrams in both directions.

    :param settings: checked settings.
    """

    settings: FabricSettings

    async def start(self) -> None:
        """Bind the service addresses."""
        self.rng = random.Random(self.settings.seed)
        self.hosts = list(self.settings.hosts)
        self.counters: collections.Counter = collections.Counter()
        self.drop = self.settings.drop
        self.duplicate = self.settings.duplicate
        self.loop = asyncio.get_running_loop()
        self.tunnel = await sockets.open_endpoint(
            self.settings.tunnel, self._from_host
        )
        self.services = {}
        for service in self.settings.services:
            self.services[service] = await sockets.open_endpoint(
                service, self._receiver(service)
            )
        self.runner = await control.serve(
            self.settings.control, lambda: dict(self.counters), self.change
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the sockets."""
        await self.runner.cleanup()
        self.tunnel.close()
        for endpoint in self.services.values():
            endpoint.close()

    def change(self, wanted: dict) -> None:
        """Change the entry hosts or the faults."""
        if "hosts" in wanted:
            self.hosts = [addresses.parse(each) for each in wanted["hosts"]]
        self.drop = wanted.get("drop", self.drop)
        self.duplicate = wanted.get("duplicate", self.duplicate)

    def _receiver(self, service: addresses.Address) -> sockets.Receiver:
        def receive(data: bytes, caller: addresses.Address) -> None:
            self.counters["in"] += 1
            wrapped = tunnel.wrap(caller, service, data)
            for wait in self._fates():
                if self.hosts:
                    host = self.rng.choice(self.hosts)
                    self._send(wait, self.tunnel, wrapped, host)

        return receive

    def _from_host(self, data: bytes, _: addresses.Address) -> None:
        try:
            service, caller, payload = tunnel.unwrap(data)
        except errors.PacketError:
            self.counters["broken"] += 1
            return
        endpoint = self.services.get(service)
        if endpoint is None:
            self.counters["no_service"] += 1
            return
        self.counters["out"] += 1
        for wait in self._fates():
            self._send(wait, endpoint, payload, caller)

    def _fates(self) -> list[float]:
        """Return the delay of each copy that arrives."""
        if self.rng.random() < self.drop:
            self.counters["dropped"] += 1
            return []
        copies = 1
        if self.rng.random() < self.duplicate:
            self.counters["duplicated"] += 1
            copies = 2
        waits = []
        for _ in range(copies):
            wait = self.settings.delay
            if self.rng.random() < self.settings.reorder:
                wait += self.rng.random() * self.settings.reorder_delay
            waits.append(wait)
        return waits

    def _send(
        self,
        wait: float,
        endpoint: sockets.Endpoint,
        data: bytes,
        to: addresses.Address,
    ) -> None:
        if wait:
            self.loop.call_later(wait, endpoint.send, data, to)
            return
        endpoint.send(data, to)
