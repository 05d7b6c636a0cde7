"""A small deployment: machines, store, servers, clients and platform.

The machines run the program of deploy/system.toml as separate processes. All
other parts are stand-ins in the process of the script.
"""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib

import clients
import record
import servers
import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_SECONDS = 1.2
# The store removes the entry of a server that was silent for so many pings.
MISSED_PINGS = 3
HELD, BROKEN, NOT_RUN = 0, 1, 2


def _free(host, port, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        if kind == socket.SOCK_STREAM:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _free_port(host):
    while True:
        port = random.randint(10_000, 30_000)
        kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        if all(_free(host, port, kind) for kind in kinds):
            return port


class Machine:
    """A machine that runs the role of the deploy file."""

    def __init__(self, name, host, settings, role, log_path):
        self.name = name
        self.host = host
        self.settings = settings
        self.role = role
        self.log_path = log_path
        self.process = None

    def start(self):
        """Start the process as the platform does."""
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {k: v for k, v in os.environ.items() if k in kept}
        environment |= self.role.get("env", {})
        environment["VANILLADRUM_NODE_FILE"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def end(self, number=signal.SIGKILL):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """All parts of a run; times are seconds since its begin.

    :param zones: zone of each machine.
    :param services: server count by service.
    :param bounds: further lines of the settings file.
    """

    def __init__(
        self, zones=("a", "a", "b", "b"), services=None, bounds="",
        server_zones=("a", "b"), work_seconds=0.02,
    ):  # fmt: skip
        self.log = record.Record()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = f"127.{random.randint(20, 250)}"
        self.datagram_port = _free_port(self.ip(2, 1))
        self.ready_port = _free_port(self.ip(2, 1))
        self.peer_port = _free_port(self.ip(2, 1))
        self.store_port = _free_port(self.ip(9, 1))
        self.server_port = _free_port(self.ip(3, 1))
        self.bounds = bounds
        self.server_zones = server_zones
        self.work_seconds = work_seconds
        self.services = services or {"bookings": 4}
        self.version = 1
        self.store = store.Store(self.log)
        self.servers = []
        self.heard = {}
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        self.machines = [
            self._machine(number, zone)
            for number, zone in enumerate(zones, start=1)
        ]
        self.router = clients.Router(
            self.log,
            {
                each.name: (
                    (each.host, self.datagram_port),
                    (each.host, self.ready_port),
                )
                for each in self.machines
            },
            self.datagram_port,
        )
        self.clients = clients.Clients(self.log, self.router, self.ip(1, 1))
        self._beating = None

    def ip(self, group, number):
        """Return a loopback address of this run."""
        return f"{self.prefix}.{group}.{number}"

    def target(self, service):
        """Return the address and port of a service's route."""
        number = sorted(self.services).index(service)
        return "198.18.0.1", 8000 + number

    def _machine(self, number, zone):
        name = f"frontend-{zone}-{number}"
        host = self.ip(2, number)
        settings = self.folder / f"{name}.conf"
        zones = "".join(f"zones.{z}=r\n" for z in self.server_zones)
        settings.write_text(
            f"node-name={name}\nrole=entry\nmachine-class=frontend\n"
            f"serves=frontend,control_plane\nip={host}\nzone={zone}\n"
            f"region=r\n{zones}"
            f"listen-addrs.datagram-addr={host}:{self.datagram_port}\n"
            f"listen-addrs.readiness-addr={host}:{self.ready_port}\n"
            f"internal-ports={self.peer_port},{self.peer_port + 15}\n"
            + "seeds="
            + ",".join(f"{self.ip(2, n)}:8166" for n in range(1, 4))
            + f"\nbootstrap=true\nheartbeat-ms=1200\n"
            f"platform.address={self.ip(9, 1)}:{self.store_port}\n"
            "platform.deployment-mode=objects\nplatform.history-s=20\n"
            "platform.value-bytes=1048576\nflow-hash=steady\n"
            "deployment-mode=echo\nbounds.stable-window-ms=4000\n"
            "bounds.drain-ms=3000\nbounds.config-apply-ms=3000\n"
            "bounds.grace-s=6\nbounds.recovery-s=12\nbounds.flow-ttl-s=60\n"
            f"{self.bounds}"
        )
        log_path = self.folder / f"{name}.log"
        return Machine(name, host, settings, self.role, log_path)

    def configuration(self, services=None):
        """Return the next version of the configuration."""
        self.version += 3
        return {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{service}",
                    "host": self.target(service)[0],
                    "path-prefix": f"/{self.target(service)[1]}/",
                    "type": "safe",
                    "timeout-ms": 2500,
                    "target-latency-ms": 250,
                    "priority": 2,
                    "service": service,
                    "max-attempts": 2,
                }
                for service in self.services
            ],
            "services": services
            or [
                {
                    "name": service,
                    "health-check-path": "/health",
                    "max-connections": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for service in self.services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }

    def make_server(self, service, number, name=None, zone=None):
        """Return a server that has not started."""
        return servers.Server(
            self.log,
            name or f"i-{random.getrandbits(32):08x}",
            service,
            zone or self.server_zones[number % len(self.server_zones)],
            self.ip(3, number),
            self.server_port,
            self.datagram_port,
            self.work_seconds,
        )

    async def start(self, first_configuration=None):
        """Start everything and wait until all machines are in rotation."""
        await self.store.start(self.ip(9, 1), self.store_port)
        number = 0
        for service, count in self.services.items():
            for _ in range(count):
                number += 1
                server = self.make_server(service, number)
                await self.add(server)
        self._beating = asyncio.create_task(self._beat())
        await self.store.put(
            "config", "main", first_configuration or self.configuration()
        )
        await self.clients.start()
        self.router.start()
        for machine in self.machines:
            machine.start()
        await self.wait_ready(15.0)

    async def wait_ready(self, seconds):
        """Wait until all machines are in rotation.

        :raises TimeoutError: when they are not in time.
        """
        async with asyncio.timeout(seconds):
            while len(self.router.in_rotation) < len(self.machines):
                await asyncio.sleep(0.05)

    async def add(self, server):
        """Start a server, which registers itself."""
        await server.start()
        self.servers.append(server)
        await self.write_entry(server)

    async def write_entry(self, server):
        self.heard[server.name] = self.log.now()
        entry = server.entry()
        known = self.store.kinds.get("servers", {}).get(server.name)
        if known is not None:
            # An entry changes when more than the sequence changes.
            before = getattr(server, "written", None)
            if before == entry | {"sequence": 0}:
                return
        server.written = entry | {"sequence": 0}
        await self.store.put("servers", server.name, entry)

    async def _beat(self):
        """Write the servers' entries; remove those of silent servers."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for server in list(self.servers):
                await self.write_entry(server)
            for name, heard in list(self.heard.items()):
                age = self.log.now() - heard
                if age <= MISSED_PINGS * HEARTBEAT_SECONDS:
                    continue
                del self.heard[name]
                if name in self.store.kinds["servers"]:
                    await self.store.delete("servers", name)

    async def stop(self):
        """End everything that was started."""
        if self._beating is not None:
            self._beating.cancel()
        self.router.stop()
        for machine in self.machines:
            machine.end()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        for server in self.servers:
            server.stop()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder, **arguments):
    """Run a case, write its record and exit as its rule says.

    :param case: coroutine function that gets the deployment and returns
        whether the rule held.
    """

    async def run():
        deployment = Deployment(**arguments)
        # The processes of the machines end with the script.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            async with asyncio.timeout(110):
                return await case(deployment)
        finally:
            await deployment.stop()
            deployment.log.write(pathlib.Path(folder) / "record.txt")

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    sys.exit(HELD if held else BROKEN)
