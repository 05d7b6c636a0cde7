"""Runs entry hosts for flows as processes in a simulated environment."""

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

from aiohttp import web
import attrs

from vanilladrum.core import address as addresses
from vanilladrum.platform import settings as node_settings
from vanilladrum.standins import flow_caller
from vanilladrum.standins import flow_server
from vanilladrum.standins import health_endpoint
from vanilladrum.standins import object_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVER_COUNTS = {"bookings": 5, "patterns": 2}
DATA_CENTRES = ("bilbao", "gijon")
STOP_TIMEOUT_SECONDS = 10.0
READY_TIMEOUT_SECONDS = 10.0
# Time between SIGTERM and SIGKILL, as the entry hosts are configured.
GRACE_SECONDS = 4


def free_ports(count: int) -> list[int]:
    """Return different ports that are free for TCP and most likely for UDP."""
    with contextlib.ExitStack() as probes:
        ports = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            # Stays bound until all ports are drawn.
            probe.bind(("127.0.0.1", 0))
            ports.append(probe.getsockname()[1])
        return ports


def make_route(
    name: str, target: addresses.Address, service: str, target_ms: int = 0
) -> dict:
    """Return a route in the format of the platform.

    :param target_ms: target latency of its requests, 0 for none.
    """
    extra = {"target-latency-ms": target_ms} if target_ms else {}
    return {
        "name": name,
        "host": target.host,
        "path-prefix": f"/{target.port}/",
        "type": "safe",
        "timeout-ms": 3000,
        "service": service,
        **extra,
    }


def make_idle_routes(count: int) -> list[dict]:
    """Return routes that no caller uses, with names that compress badly.

    :param count: at most 65,536.
    """
    service = next(iter(SERVER_COUNTS))
    return [
        make_route(
            hashlib.sha256(str(number).encode()).hexdigest(),
            addresses.Address(f"198.19.{number >> 8}.{number & 255}", 443),
            service,
        )
        for number in range(count)
    ]


@attrs.define(eq=False)
class EntryHost:
    """An entry host process.

    :param packet_address: endpoint that receives packets of flows.
    :param readiness: endpoint that answers readiness probes.
    :param peer: endpoint for the other entry hosts.
    :param store: endpoint at which it reaches the store.
    :param settings: path of the settings file.
    :param log_path: path of the log.
    """

    number: int
    packet_address: addresses.Address
    readiness: addresses.Address
    peer: addresses.Address
    store: addresses.Address
    settings: pathlib.Path
    log_path: pathlib.Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            node_settings.PATH_VARIABLE: str(self.settings),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "vanilladrum.daemons.entry"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def logged_events(self, name: str) -> list[dict]:
        """Return the entries of the log with an event name."""
        return [entry for entry in self.log() if entry["event"] == name]

    def log(self) -> list[dict]:
        """Return all entries of the log.

        The process may have written only a part of the last line so far.
        """
        complete = self.log_path.read_text().rpartition("\n")[0]
        return [json.loads(line) for line in complete.splitlines()]

    async def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code.

        :raises TimeoutExpired: after ``STOP_TIMEOUT_SECONDS``.
        """
        self.signal(signal.SIGTERM)
        return await asyncio.to_thread(self.process.wait, STOP_TIMEOUT_SECONDS)


@attrs.define(eq=False)
class FlowCluster:
    """Object store, servers, callers and entry hosts on loopback.

    Only the entry hosts are processes. Each host and server has its own IP
    address, so that they can share port numbers.

    :param folder: directory of the settings and logs of the processes.
    :param host_count: number of entry hosts.
    :param further_settings: lines that are added to the settings of the hosts.
    :param ports: four port numbers: of flow packets, of readiness probes and
        servers, of peers, and of the store.
    :param generation: version of the last configuration.
    :param configuration: the last configuration as written to the store.
    :param target_ms: target latency of all routes, 0 for none. With one, the
        servers have health endpoints.
    :param moving_service: service of the route to ``moving_address``, None
        without that route.
    :param idle_routes: number of further routes that no caller uses.
    """

    folder: pathlib.Path
    host_count: int = 3
    further_settings: str = ""
    store: object_store.ObjectStore = attrs.field(
        factory=object_store.ObjectStore
    )
    servers: list[flow_server.FlowServer] = attrs.field(factory=list)
    hosts: list[EntryHost] = attrs.field(factory=list)
    ports: list[int] = attrs.field(factory=lambda: free_ports(4))
    generation: int = 1
    configuration: dict | None = None
    target_ms: int = 0
    moving_service: str | None = None
    idle_routes: int = 0
    router: flow_caller.Router | None = None
    caller: flow_caller.FlowCaller | None = None
    runner: web.AppRunner | None = None
    probing: asyncio.Task | None = None

    @property
    def service_addresses(self) -> dict[str, addresses.Address]:
        """Return the virtual address of each service."""
        return {
            name: addresses.Address("198.18.0.1", 8000 + number)
            for number, name in enumerate(SERVER_COUNTS)
        }

    @property
    def moving_address(self) -> addresses.Address:
        """Return the virtual address of the route that moves."""
        return addresses.Address("198.18.0.1", 8100)

    async def start(self) -> None:
        """Start all parts and wait until the entry hosts are ready."""
        self.runner = web.AppRunner(
            self.store.app(),
            access_log=None,
            shutdown_timeout=0.1,
            # A watch whose host has closed the connection waits no longer.
            handler_cancellation=True,
        )
        await self.runner.setup()
        for number in range(1, self.host_count + 1):
            store = self.store_address(number)
            await web.TCPSite(self.runner, store.host, store.port).start()
        number = 0
        for service, count in SERVER_COUNTS.items():
            for _ in range(count):
                number += 1
                await self.add_server(service, number)
        await self.write_configuration()
        self.hosts = [self.make_host(n + 1) for n in range(self.host_count)]
        self.router = flow_caller.Router(
            [(host.packet_address, host.readiness) for host in self.hosts]
        )
        self.caller = flow_caller.FlowCaller(
            addresses.Address("127.1.0.1", self.ports[0]), self.router
        )
        await self.caller.start()
        for host in self.hosts:
            host.start()
        self.probing = asyncio.create_task(self.router.probe_hosts())
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until the last readiness probe of every host succeeded.

        :raises TimeoutError: after ``READY_TIMEOUT_SECONDS``.
        """
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            await asyncio.sleep(0.1)
            while any(
                self.router.failed_probes.get(host.readiness, 1)
                for host in self.hosts
            ):
                await asyncio.sleep(0.05)

    async def add_server(
        self, service: str, number: int
    ) -> flow_server.FlowServer:
        """Start a server and add it to the store."""
        server = flow_server.FlowServer(
            f"i-{number:08x}",
            service,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            addresses.Address(f"127.3.0.{number}", self.ports[1]),
            self.ports[0],
        )
        await server.start()
        if self.target_ms:
            server.health = health_endpoint.HealthEndpoint(
                server.address, server.name
            )
            await server.health.start()
        self.servers.append(server)
        await self.store.put("servers", server.name, server.store_entry())
        return server

    async def write_configuration(self, **changed: str) -> int:
        """Write the next version of the configuration to the store.

        :param changed: service by the name of the route that leads to it;
            any other route leads to the service of the same name.
        :returns: the version.
        """
        self.generation += 1
        generation = self.generation
        routes = [
            make_route(name, target, changed.get(name, name), self.target_ms)
            for name, target in self.service_addresses.items()
        ]
        if self.moving_service is not None:
            routes.append(
                make_route("moving", self.moving_address, self.moving_service)
            )
        routes += make_idle_routes(self.idle_routes)
        spec = {
            "version": generation,
            "routes": routes,
            "services": [
                {"name": name, "health-check-path": "/health"}
                for name in SERVER_COUNTS
            ],
            "limits": {"idle-timeout-ms": 15000},
        }
        self.configuration = spec
        await self.store.put("config", "main", spec)
        return generation

    async def write_again(self) -> None:
        """Write what a restore of the store has lost."""
        for server in self.servers:
            stored = self.store.kinds["servers"].get(server.name)
            if stored is None or stored["spec"]["state"] != server.state:
                entry = server.store_entry()
                await self.store.put("servers", server.name, entry)
        await self.store.put("config", "main", self.configuration)

    def make_host(self, number: int) -> EntryHost:
        """Write the settings of an entry host and return it, not started."""
        ip = f"127.2.0.{number}"
        host = EntryHost(
            number,
            addresses.Address(ip, self.ports[0]),
            addresses.Address(ip, self.ports[1]),
            addresses.Address(ip, self.ports[2]),
            self.store_address(number),
            self.folder / f"host-{number}.conf",
            self.folder / f"host-{number}.log",
        )
        seeds = ",".join(f"127.2.0.{n}:9" for n in range(1, 4))
        host.settings.write_text(
            f"node-name=host-{number}\n"
            f"zone={DATA_CENTRES[number % len(DATA_CENTRES)]}\n"
            f"ip={ip}\n"
            f"listen-addrs.datagram-addr={host.packet_address}\n"
            f"listen-addrs.readiness-addr={host.readiness}\n"
            f"internal-ports={host.peer.port},{host.peer.port}\n"
            f"seeds={seeds}\n"
            f"platform.address={host.store}\n"
            f"bounds.grace-s={GRACE_SECONDS}\n"
            "new.field=ignored\n"
            f"{self.further_settings}"
        )
        return host

    def store_address(self, number: int) -> addresses.Address:
        """Return the endpoint at which an entry host reaches the store."""
        return addresses.Address(f"127.200.0.{number}", self.ports[3])

    async def stop(self) -> None:
        """Stop all parts that were started."""
        if self.probing is not None:
            self.probing.cancel()
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        if self.caller is not None:
            self.caller.endpoint.close()
        for server in self.servers:
            server.endpoint.close()
            if server.health is not None:
                server.health.close()
        if self.runner is not None:
            await self.runner.cleanup()
