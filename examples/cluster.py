"""Starts the processes of an example and ends just those it started."""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import tomli_w

HOST = "127.0.0.1"
START_SECONDS = 30.0
POLL_SECONDS = 0.05
STOP_SECONDS = 40.0
PORT_SPAN = 200
PORT_LOW = 20000
PORT_HIGH = 32000
SECRET = "5a" * 16


def port_free(port: int) -> bool:
    """Return whether a UDP and a TCP port can be bound now."""
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


def claim_span() -> tuple[int, socket.socket]:
    """Claim a span of free ports.

    :returns: its first port and the socket on its last one, which keeps
        other examples out as long as it is open.
    """
    for first in range(PORT_LOW, PORT_HIGH, PORT_SPAN):
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((HOST, first + PORT_SPAN - 1))
        except OSError:
            guard.close()
            continue
        ports = range(first, first + PORT_SPAN - 1)
        if all(port_free(port) for port in ports):
            return first, guard
        guard.close()
    raise RuntimeError("no span of free ports; end what holds them")


class Cluster:
    """Processes of one example, on loopback ports of one span.

    :param folder: where settings and logs are written.
    """

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="vanilladrum-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.first, self.guard = claim_span()
        self.hosts: dict[str, int] = {}
        self.backends: dict[str, int] = {}
        self.failed = False
        self.closed = False
        self.program = [sys.executable, "-m", "vanilladrum"]

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def port(self, offset: int) -> int:
        """Return a port of the span."""
        return self.first + offset

    def at(self, offset: int) -> str:
        """Return an endpoint of the span as text."""
        return f"{HOST}:{self.port(offset)}"

    def start(self, name: str, kind: list[str], settings: dict) -> None:
        """Start one process with settings of its own."""
        if self.closed:
            raise RuntimeError(f"{name} is not started: the example ends")
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings), encoding="utf-8")
        log = open(self.folder / f"{name}.log", "ab")
        with log:
            self.processes[name] = subprocess.Popen(
                [*self.program, *kind, f"--settings={path}"],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        settings = {"address": self.at(5), "list_lag": 1.0}
        self.start("platform", ["standin", "platform"], settings)
        self.wait_http(self.url(5, "/report"), "platform")

    def start_backend(
        self, name: str, service: str, offset: int, **extra: object
    ) -> None:
        """Start a backend server; its control port follows 80 later."""
        settings = {
            "name": name,
            "service": service,
            "address": self.at(offset),
            "control": self.at(offset + 80),
            "seed": offset,
            **extra,
        }
        self.start(name, ["standin", "backend"], settings)
        self.backends[name] = offset + 80

    def start_host(
        self, name: str, number: int, data_centre: str, **extra: object
    ) -> None:
        """Start an entry host."""
        offset = 50 + 3 * number
        seeds = [self.at(each) for each in self.hosts.values()]
        settings = {
            "host": {
                "name": name,
                "number": number,
                "data_centre": data_centre,
            },
            "listen": {
                "peer": self.at(offset),
                "tunnel": self.at(offset + 1),
                "metrics": self.at(offset + 2),
            },
            "platform": {"url": self.url(5, "")},
            "security": {"peer_secret": SECRET},
            "seeds": seeds,
            **extra,
        }
        self.start(name, ["entry_host"], settings)
        self.hosts[name] = offset

    def start_fabric(self, services: list[int], **extra: object) -> None:
        """Start the fabric stand-in."""
        settings = {
            "services": [self.at(each) for each in services],
            "tunnel": self.at(6),
            "control": self.at(7),
            "hosts": self.tunnels(),
            **extra,
        }
        self.start("fabric", ["standin", "fabric"], settings)
        self.wait_http(self.url(7, "/report"), "fabric")

    def tunnels(self) -> list[str]:
        """Return the tunnel endpoints of the entry hosts."""
        return [self.at(each + 1) for each in self.hosts.values()]

    def tell_platform_hosts(self) -> None:
        """Put the entry hosts on the platform's lagging list."""
        hosts = [self.at(each) for each in self.hosts.values()]
        self.post(5, {"hosts": hosts})

    def tell_fabric_hosts(self) -> None:
        """Let the fabric spray over the entry hosts known now."""
        self.post(7, {"hosts": self.tunnels()})

    def url(self, offset: int, path: str) -> str:
        """Return an HTTP address in the span."""
        return f"http://{self.at(offset)}{path}"

    def get(self, offset: int, path: str) -> dict:
        """Read JSON from a process."""
        with urllib.request.urlopen(self.url(offset, path), timeout=5) as r:
            return json.load(r)

    def post(self, offset: int, body: dict) -> None:
        """Send JSON to the control of a stand-in."""
        request = urllib.request.Request(
            self.url(offset, "/control"),
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )
        urllib.request.urlopen(request, timeout=5).close()

    def wait_http(self, url: str, name: str) -> None:
        """Wait until a process answers 200.

        :raises RuntimeError: with the end of its log, when it ends first.
        """
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                break
            with contextlib.suppress(OSError, urllib.error.URLError):
                with urllib.request.urlopen(url, timeout=2) as response:
                    if response.status == 200:
                        return
            time.sleep(POLL_SECONDS)
        self.failed = True
        log = (self.folder / f"{name}.log").read_text(encoding="utf-8")
        raise RuntimeError(f"{name} did not start: {log[-2000:]}")

    def wait_host(self, name: str) -> None:
        """Wait until an entry host has a configuration in force."""
        self.wait_http(self.url(self.hosts[name] + 2, "/ready"), name)

    def wait_until(self, what: str, condition: object) -> None:
        """Wait until a condition holds.

        :raises RuntimeError: when it does not in time.
        """
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(POLL_SECONDS)
        self.failed = True
        raise RuntimeError(f"not in time: {what}")

    def wait_joined(self) -> None:
        """Wait until all entry hosts see each other."""
        wanted = len(self.hosts)

        def joined() -> bool:
            return all(
                len(self.get(offset + 2, "/metrics")["alive"]) == wanted
                for offset in self.hosts.values()
            )

        self.wait_until("all entry hosts see each other", joined)

    def command(self, *words: str, **environment: str) -> str:
        """Run a command of the product and return what it prints."""
        done = subprocess.run(
            [sys.executable, "-m", "vanilladrum", *words],
            env={**os.environ, **environment},
            text=True,
            capture_output=True,
            check=False,
        )
        if done.returncode:
            self.failed = True
            raise RuntimeError(f"{words}: {done.stdout}{done.stderr}")
        return done.stdout

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this cluster."""
        self.processes[name].send_signal(number)

    def stop(self, name: str) -> int:
        """Stop a process as planned and return its exit code."""
        process = self.processes.pop(name)
        self.hosts.pop(name, None)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_SECONDS)

    def kill(self, name: str) -> None:
        """Kill a process, as a crash does."""
        process = self.processes.pop(name)
        self.hosts.pop(name, None)
        process.kill()
        process.wait()

    def close(self) -> None:
        """End every process that was started here."""
        self.closed = True
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.guard.close()
        if self.failed:
            print(f"logs are kept in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
