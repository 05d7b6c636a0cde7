"""Simulated network fabric that spreads datagrams over the entry hosts."""

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
    """Settings of the simulated fabric.

    :param services: service addresses that callers send to.
    :param tunnel: endpoint that exchanges tunnelled datagrams with the
        entry hosts.
    :param hosts: tunnel endpoints of the entry hosts.
    :param control: HTTP endpoint for reports and control commands.
    :param seed: seed of the random choices.
    :param drop: share of datagrams that are dropped.
    :param duplicate: share of datagrams that are delivered twice.
    :param reorder: share of datagrams that are held back by up to
        ``reorder_delay`` seconds.
    :param delay: latency of each datagram, in seconds.
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
    """Forwards datagrams between callers and entry hosts.

    Each datagram of a caller goes to a random entry host.

    :param settings: validated settings.
    """

    settings: FabricSettings

    async def start(self) -> None:
        """Open the tunnel, the service addresses and the control endpoint.

        :raises SettingsError: when an address cannot be bound.
        """
        self.rng = random.Random(self.settings.seed)
        self.hosts = list(self.settings.hosts)
        self.counters: collections.Counter = collections.Counter()
        self.drop = self.settings.drop
        self.duplicate = self.settings.duplicate
        self.loop = asyncio.get_running_loop()
        self.tunnel = await sockets.open_endpoint(
            self.settings.tunnel, self._receive_from_host
        )
        self.services = {}
        for service in self.settings.services:
            self.services[service] = await sockets.open_endpoint(
                service, self._make_receiver(service)
            )
        self.runner = await control.serve(
            self.settings.control,
            lambda: dict(self.counters),
            self.apply_command,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the sockets."""
        await self.runner.cleanup()
        self.tunnel.close()
        for endpoint in self.services.values():
            endpoint.close()

    def apply_command(self, command: dict) -> None:
        """Apply a control command.

        :param command: ``hosts`` replaces the entry hosts, ``drop`` and
            ``duplicate`` set the shares of datagrams that are dropped and
            delivered twice.
        """
        if "hosts" in command:
            self.hosts = [addresses.parse(each) for each in command["hosts"]]
        self.drop = command.get("drop", self.drop)
        self.duplicate = command.get("duplicate", self.duplicate)

    def _make_receiver(self, service: addresses.Address) -> sockets.Receiver:
        def receive(data: bytes, caller: addresses.Address) -> None:
            self.counters["in"] += 1
            tunnelled = tunnel.wrap(caller, service, data)
            for delay in self._copy_delays():
                if self.hosts:
                    host = self.rng.choice(self.hosts)
                    self._send(delay, self.tunnel, tunnelled, host)

        return receive

    def _receive_from_host(self, data: bytes, _: addresses.Address) -> None:
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
        for delay in self._copy_delays():
            self._send(delay, endpoint, payload, caller)

    def _copy_delays(self) -> list[float]:
        """Return the delay in seconds of each copy; none if it is dropped."""
        if self.rng.random() < self.drop:
            self.counters["dropped"] += 1
            return []
        copies = 1
        if self.rng.random() < self.duplicate:
            self.counters["duplicated"] += 1
            copies = 2
        delays = []
        for _ in range(copies):
            delay = self.settings.delay
            if self.rng.random() < self.settings.reorder:
                delay += self.rng.random() * self.settings.reorder_delay
            delays.append(delay)
        return delays

    def _send(
        self,
        delay: float,
        endpoint: sockets.Endpoint,
        data: bytes,
        to: addresses.Address,
    ) -> None:
        if delay:
            self.loop.call_later(delay, endpoint.send, data, to)
            return
        endpoint.send(data, to)
