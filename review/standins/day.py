"""A small deployment: entry hosts as processes, all else in this process."""

import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback

from standins import client
from standins import record
from standins import server
from standins import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROLE = "entry"
ZONES = ("bilbao", "santander")
HOSTS_PER_ZONE = 2
SERVICES = {"reservas": 4, "patronaje": 2}
PING_SECONDS = 1.2
DRAIN_SECONDS = 3.0
STABLE_SECONDS = 4.0
GRACE_SECONDS = 6.0
READY_SECONDS = 30.0
REQUESTS_PER_SECOND = 40
# Events of the hosts' logs that are not copied into the record, and lines of
# every other event that are.
FREQUENT_EVENTS = {"flow", "request", "following", "entry host heard"}
MAX_LOG_LINES = 12
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The deployment cannot be started here."""


class EntryHost:
    """A process of the deploy file's role on its machine."""

    def __init__(self, number: int, zone: str, day: "Day") -> None:
        self.day = day
        self.zone = zone
        self.name = f"frontend-{zone}-{number}"
        self.ip = f"{day.network}.20.{number}"
        self.settings = day.folder / f"{self.name}.conf"
        self.output = day.folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self) -> None:
        day = self.day
        seeds = ",".join(f"{host.ip}:{day.control}" for host in day.hosts[:3])
        lines = {
            "node-name": self.name,
            "role": ROLE,
            "machine-class": "frontend",
            "serves": "frontend,control_plane",
            "ip": self.ip,
            "zone": self.zone,
            "region": "cantabrico",
            **{f"zones.{zone}": "cantabrico" for zone in ZONES},
            "listen-addrs.datagram-addr": f"{self.ip}:{day.packets}",
            "listen-addrs.readiness-addr": f"{self.ip}:{day.readiness}",
            "listen-addrs.control": f"{self.ip}:{day.control}",
            "internal-ports": f"{day.internal},{day.internal + 15}",
            "seeds": seeds,
            "bootstrap": "true",
            "in-tolerance": "false",
            "limits.cpu-share": "0.236",
            "limits.cpu-cores": "1",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "limits.link-mbps": "1000.0",
            "limits.disk-mb": "0",
            "discovery": "platform",
            "entry": "announcement",
            "heartbeat-ms": "1200",
            "contracts": "base,drain,config,cost,recover,flows,platform",
            "fault-tolerance.machines": "2",
            "fault-tolerance.zones": "1",
            "fault-tolerance.regions": "0",
            "bounds.seed-lag-s": "3",
            "bounds.reuse-after-s": "2",
            "bounds.stable-window-ms": "4000",
            "bounds.ack-ms": "5000",
            "bounds.catch-up-s": "4",
            "bounds.drain-ms": "3000",
            "bounds.grace-s": "6",
            "bounds.loss-slack-ms": "200",
            "bounds.config-apply-ms": "3000",
            "bounds.rollback-slack-ms": "250",
            "bounds.outer-ms": "12000",
            "bounds.recovery-s": "12",
            "bounds.reorder-window-ms": "2000",
            "bounds.flow-ttl-s": "60",
            "flow-hash": "steady",
            "deployment-mode": "echo",
            "platform.address": f"{day.store_ip}:{day.store_port}",
            "platform.deployment-mode": "objects",
            "platform.writes-per-s": "400",
            "platform.reads-per-s": "2000",
            "platform.history-s": "20",
            "platform.value-bytes": "1048576",
            "platform.min-ttl-ms": "1000",
        }
        text = "".join(f"{key}={value}\n" for key, value in lines.items())
        self.settings.write_text(text)

    def start(self) -> None:
        role = self.day.deploy["roles"][ROLE]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["VANILLADRUM_NODE_FILE"] = str(self.settings)
        environment.update(role.get("env", {}))
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.day.log.event("host started", host=self.name)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            name = signal.Signals(number).name
            self.day.log.event("host signalled", host=self.name, signal=name)

    def kill(self) -> None:
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Day:
    """One run of a deployment.

    :param trouble: whether the disruption is part of this run.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.log = record.Record(folder / "record.txt")
        self.log.event("day", trouble=self.trouble)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        # Runs at the same time use other addresses.
        self.network = f"127.{30 + os.getpid() % 220}"
        self.store_ip = f"{self.network}.200.7"
        ports = _free_ports(6)
        self.packets, self.readiness, self.control = ports[:3]
        self.internal, self.store_port, self.server_port = ports[3:]
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.deploy = tomllib.load(file)
        self.store = store.Store(self.log, PING_SECONDS)
        self.hosts: list[EntryHost] = []
        self.servers: list[server.Server] = []
        self.clients: list[client.Clients] = []
        self.tasks: list[asyncio.Task] = []
        self.requests: set[asyncio.Task] = set()
        self.version = 0
        self.max_connections = dict.fromkeys(SERVICES, 2000)
        # Where clients send requests for each service.
        self.targets = {
            name: (f"{self.network}.198.1", 8080 + number)
            for number, name in enumerate(SERVICES)
        }

    async def start(self) -> None:
        """Start all parts; return when every entry host is in rotation."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("run the line `build` of the deploy file")
        await self.store.start(self.store_ip, self.store_port)
        await self.write_configuration()
        number = 0
        for service, count in SERVICES.items():
            for _ in range(count):
                number += 1
                await self.add_server(service, new_id())
        for index in range(HOSTS_PER_ZONE * len(ZONES)):
            zone = ZONES[index % len(ZONES)]
            self.hosts.append(EntryHost(index + 1, zone, self))
        for host in self.hosts:
            host.write_settings()
            host.start()
        router = client.Router(
            [
                client.Host(
                    host.name,
                    host.zone,
                    (host.ip, self.packets),
                    (host.ip, self.readiness),
                )
                for host in self.hosts
            ]
        )
        self.router = router
        self.tasks.append(asyncio.create_task(router.probe()))
        for number, zone in enumerate(ZONES):
            address = (f"{self.network}.64.{number + 1}", self.packets)
            clients = client.Clients(self.log, router, zone, address)
            await clients.start()
            self.clients.append(clients)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        until = self.log.now() + READY_SECONDS
        while any(host.misses for host in self.router.hosts):
            if self.log.now() > until:
                raise CannotRunError("the entry hosts are not ready")
            await asyncio.sleep(0.05)
        self.log.event("all hosts ready")

    async def add_server(
        self, service: str, name: str, **how: object
    ) -> server.Server:
        number = len(self.servers) + 1
        added = server.Server(
            self.log,
            self.store,
            name,
            service,
            ZONES[number % len(ZONES)],
            (f"{self.network}.128.{number}", self.server_port),
            self.packets,
            **how,
        )
        self.servers.append(added)
        await added.start()
        return added

    async def write_configuration(self, **moved: str) -> float:
        """Write the next version, as the operator does.

        :param moved: service by the name of the one whose requests it gets.
        :returns: when the store acknowledged it.
        """
        self.version += random.randint(1, 3)
        routes = [
            {
                "name": f"r-{name}",
                "host": host,
                "path-prefix": f"/{port}/",
                "type": "safe",
                "timeout-ms": 3000,
                "target-latency-ms": 200,
                "priority": 1,
                "service": moved.get(name, name),
                "max-attempts": 2,
            }
            for name, (host, port) in self.targets.items()
        ]
        spec = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health-check-path": "/health",
                    "max-connections": self.max_connections[name],
                    "protocol": "h1",
                    "tls": False,
                }
                for name in SERVICES
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
        acked = await self.store.put("config", "main", json.dumps(spec))
        self.log.event("configuration acked", version=self.version)
        return acked

    def write_as_another(self, name: str, spec: str) -> None:
        """Keep an entry in the store that no server has written.

        :param spec: JSON text.
        """
        self.log.event("another writer's entry", name=name, spec=spec[:400])
        self.tasks.append(asyncio.create_task(self._rewrite(name, spec)))

    async def _rewrite(self, name: str, spec: str) -> None:
        while True:
            await self.store.put("servers", name, spec)
            await asyncio.sleep(PING_SECONDS)

    async def stop_host(self, host: EntryHost) -> None:
        """Stop a host as planned; record whether it ends in time."""
        host.signal(signal.SIGTERM)
        try:
            await asyncio.to_thread(host.process.wait, GRACE_SECONDS)
            self.log.event("host stopped", host=host.name)
        except subprocess.TimeoutExpired:
            routed = next(e for e in self.router.hosts if e.name == host.name)
            self.log.event(
                "still running after grace-s",
                host=host.name,
                in_rotation=not routed.misses,
            )
            host.kill()

    async def restart_all(self, seconds: float) -> None:
        """Kill all hosts and start them again.

        Records how many are ready after some seconds, and how many requests
        were answered meanwhile.
        """
        for host in self.hosts:
            host.signal(signal.SIGKILL)
            host.kill()
        answered = len(self.log.all("answered"))
        for host in self.hosts:
            host.start()
        await asyncio.sleep(seconds)
        self.log.event(
            "after a restart of all hosts",
            seconds=seconds,
            ready=sum(1 for each in self.router.hosts if not each.misses),
            answered=len(self.log.all("answered")) - answered,
        )

    def start_traffic(self) -> None:
        self.tasks.append(asyncio.create_task(self._send_requests()))

    async def _send_requests(self) -> None:
        number = 0
        while True:
            number += 1
            clients = self.clients[number % len(self.clients)]
            service = "patronaje" if number % 5 == 0 else "reservas"
            task = asyncio.create_task(
                clients.fetch(self.targets[service], f"q{number}")
            )
            self.requests.add(task)
            task.add_done_callback(self.requests.discard)
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    def opened_later(
        self, server_name: str, acked: float, seconds: float
    ) -> list[dict]:
        """Return the flows that a server took too late after an ack."""
        limit = self.log.since_start(acked) + seconds
        return [
            each
            for each in self.log.all("flow opened")
            if each["server"] == server_name and each["syn_at"] > limit
        ]

    def run_by_other_service(self) -> list[dict]:
        """Return the requests that a server of another service has run.

        No configuration of the day changes the service of a route.
        """
        wanted = {target: name for name, target in self.targets.items()}
        sent = {
            each["request"]: wanted[each["to"]]
            for each in self.log.all("sent")
        }
        services = {each.name: each.service for each in self.servers}
        return [
            each
            for each in self.log.all("run")
            if services[each["server"]] != sent[each["request"]]
        ]

    async def stop(self) -> None:
        ending = [*self.tasks, *self.requests]
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)
        for host in self.hosts:
            host.kill()
        for each in self.servers:
            each.stop()
        for clients in self.clients:
            clients.stop()
        self.store.close()
        await asyncio.sleep(0.1)
        for host in self.hosts:
            self._copy_log(host)
        self.log.save()
        self.temporary.cleanup()

    def _copy_log(self, host: EntryHost) -> None:
        """Add the first lines of each event of a host to the record."""
        if not host.output.exists():
            return
        seen: collections.Counter = collections.Counter()
        for text in host.output.read_text().splitlines():
            line = json.loads(text) if text.startswith("{") else {}
            name = line.get("event", text)
            seen[name] += 1
            if name in FREQUENT_EVENTS or seen[name] > MAX_LOG_LINES:
                continue
            self.log.event("log", host=host.name, line=line or text)


def new_id() -> str:
    return f"i-{random.getrandbits(40):010x}"


def _free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def main(case_file: str, play) -> None:
    """Play a case and exit with its result.

    :param play: coroutine function that plays the day and returns the
        breaches of the rule.
    """
    folder = pathlib.Path(case_file).resolve().parent
    sys.exit(asyncio.run(_main(folder, play)))


async def _main(folder: pathlib.Path, play) -> int:
    day = Day(folder)
    code = NOT_RUN
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        await day.start()
        breaches = await play(day)
        code = BROKEN if breaches else HELD
        for each in breaches[:20]:
            day.log.event("breach", of=each)
        day.log.event("result", breaches=len(breaches), exit=code)
        print(f"{len(breaches)} breaches of the rule")
    except asyncio.CancelledError:
        print("cancelled")
    except Exception as error:
        # Exit status 1 would say that the rule was broken.
        day.log.event("cannot run", reason=repr(error))
        traceback.print_exc()
    finally:
        await day.stop()
    return code
