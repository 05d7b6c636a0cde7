"""Runs the processes of an example on loopback.

Stops only the processes that it has started.
"""

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
START_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 40.0
PORT_RANGE_SIZE = 200
MIN_PORT = 20000
MAX_PORT = 32000
# Peer secret of the entry hosts: 16 bytes in hexadecimal.
SECRET = "5a" * 16


def is_port_free(port: int) -> bool:
    """Return whether a port can be bound for both UDP and TCP."""
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


def reserve_port_range() -> tuple[int, socket.socket]:
    """Reserve a range of free ports.

    :returns: its first port, and a socket bound to its last port. While
        the socket is open, no other example reserves the same range.
    :raises RuntimeError: when no range is free.
    """
    for first in range(MIN_PORT, MAX_PORT, PORT_RANGE_SIZE):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((HOST, first + PORT_RANGE_SIZE - 1))
        except OSError:
            reservation.close()
            continue
        ports = range(first, first + PORT_RANGE_SIZE - 1)
        if all(is_port_free(port) for port in ports):
            return first, reservation
        reservation.close()
    raise RuntimeError(
        "no free port range; stop the processes that use the ports"
    )


class Cluster:
    """Processes of one example, on a range of loopback ports.

    Methods identify a port by its offset in the range. Offset 5 is the
    platform, 6 the tunnel and 7 the control endpoint of the fabric.

    :param folder: directory of settings and logs.
    :param hosts: offset of the first port of each entry host.
    :param backends: offset of the control port of each backend server.
    :param failed: whether the run failed, so that the logs are kept.
    """

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="vanilladrum-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.first_port, self.reservation = reserve_port_range()
        self.hosts: dict[str, int] = {}
        self.backends: dict[str, int] = {}
        self.failed = False
        self.closed = False
        self.command_prefix = [sys.executable, "-m", "vanilladrum"]

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def port(self, offset: int) -> int:
        """Return the port at an offset in the range."""
        return self.first_port + offset

    def address(self, offset: int) -> str:
        """Return the address ``host:port`` at an offset in the range."""
        return f"{HOST}:{self.port(offset)}"

    def start(self, name: str, command: list[str], settings: dict) -> None:
        """Write the settings of a process and start it.

        :param command: subcommand of ``vanilladrum`` and its arguments.
        :raises RuntimeError: when the cluster is closed.
        """
        if self.closed:
            raise RuntimeError(f"cannot start {name}: the cluster is closed")
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings), encoding="utf-8")
        log = open(self.folder / f"{name}.log", "ab")
        with log:
            self.processes[name] = subprocess.Popen(
                [*self.command_prefix, *command, f"--settings={path}"],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def start_platform(self) -> None:
        """Start the simulated platform and wait until it responds."""
        settings = {"address": self.address(5), "list_lag": 1.0}
        self.start("platform", ["standin", "platform"], settings)
        self.wait_http(self.url(5, "/report"), "platform")

    def start_backend(
        self, name: str, service: str, offset: int, **extra: object
    ) -> None:
        """Start a simulated backend server.

        Its control port is 80 above its service port.

        :param extra: further settings.
        """
        settings = {
            "name": name,
            "service": service,
            "address": self.address(offset),
            "control": self.address(offset + 80),
            "seed": offset,
            **extra,
        }
        self.start(name, ["standin", "backend"], settings)
        self.backends[name] = offset + 80

    def start_host(
        self, name: str, number: int, data_centre: str, **extra: object
    ) -> None:
        """Start an entry host.

        Its ports for peers, tunnel and metrics start at offset
        50 + 3 * ``number``.

        :param extra: further settings.
        """
        offset = 50 + 3 * number
        seeds = [self.address(each) for each in self.hosts.values()]
        settings = {
            "host": {
                "name": name,
                "number": number,
                "data_centre": data_centre,
            },
            "listen": {
                "peer": self.address(offset),
                "tunnel": self.address(offset + 1),
                "metrics": self.address(offset + 2),
            },
            "platform": {"url": self.url(5, "")},
            "security": {"peer_secret": SECRET},
            "seeds": seeds,
            **extra,
        }
        self.start(name, ["entry_host"], settings)
        self.hosts[name] = offset

    def start_fabric(self, services: list[int], **extra: object) -> None:
        """Start the simulated fabric and wait until it responds.

        :param services: offsets of the service ports.
        :param extra: further settings.
        """
        settings = {
            "services": [self.address(each) for each in services],
            "tunnel": self.address(6),
            "control": self.address(7),
            "hosts": self.tunnel_addresses(),
            **extra,
        }
        self.start("fabric", ["standin", "fabric"], settings)
        self.wait_http(self.url(7, "/report"), "fabric")

    def tunnel_addresses(self) -> list[str]:
        """Return the tunnel endpoints of the entry hosts."""
        return [self.address(each + 1) for each in self.hosts.values()]

    def update_platform_hosts(self) -> None:
        """Update the platform's host list, which changes after its lag."""
        hosts = [self.address(each) for each in self.hosts.values()]
        self.post(5, {"hosts": hosts})

    def update_fabric_hosts(self) -> None:
        """Make the fabric send to the current entry hosts only."""
        self.post(7, {"hosts": self.tunnel_addresses()})

    def url(self, offset: int, path: str) -> str:
        """Return an HTTP URL on the port at an offset in the range."""
        return f"http://{self.address(offset)}{path}"

    def get(self, offset: int, path: str) -> dict:
        """Return the JSON response to a GET request."""
        with urllib.request.urlopen(
            self.url(offset, path), timeout=5
        ) as response:
            return json.load(response)

    def post(self, offset: int, body: dict) -> None:
        """Send a command to the control endpoint of a simulated system."""
        request = urllib.request.Request(
            self.url(offset, "/control"),
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )
        urllib.request.urlopen(request, timeout=5).close()

    def wait_http(self, url: str, name: str) -> None:
        """Wait until a process responds with status 200.

        :raises RuntimeError: with the end of its log, when the process
            exits first or does not respond in ``START_TIMEOUT_SECONDS``.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                break
            with contextlib.suppress(OSError, urllib.error.URLError):
                with urllib.request.urlopen(url, timeout=2) as response:
                    if response.status == 200:
                        return
            time.sleep(POLL_INTERVAL_SECONDS)
        self.failed = True
        log = (self.folder / f"{name}.log").read_text(encoding="utf-8")
        raise RuntimeError(f"{name} did not start: {log[-2000:]}")

    def wait_host(self, name: str) -> None:
        """Wait until an entry host has an active configuration."""
        self.wait_http(self.url(self.hosts[name] + 2, "/ready"), name)

    def wait_until(self, description: str, condition: object) -> None:
        """Wait until a condition holds.

        :param description: condition as text for the error message.
        :raises RuntimeError: after ``START_TIMEOUT_SECONDS``.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(POLL_INTERVAL_SECONDS)
        self.failed = True
        raise RuntimeError(f"timed out waiting until {description}")

    def wait_joined(self) -> None:
        """Wait until every entry host sees all others as alive."""
        expected = len(self.hosts)

        def joined() -> bool:
            return all(
                len(self.get(offset + 2, "/metrics")["alive"]) == expected
                for offset in self.hosts.values()
            )

        self.wait_until("all entry hosts see each other", joined)

    def command(self, *arguments: str, **environment: str) -> str:
        """Run a ``vanilladrum`` command and return its standard output.

        :param environment: additional environment variables.
        :raises RuntimeError: with its output, when the exit code is not 0.
        """
        completed = subprocess.run(
            [sys.executable, "-m", "vanilladrum", *arguments],
            env={**os.environ, **environment},
            text=True,
            capture_output=True,
            check=False,
        )
        if completed.returncode:
            self.failed = True
            raise RuntimeError(
                f"{arguments}: {completed.stdout}{completed.stderr}"
            )
        return completed.stdout

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code.

        :raises TimeoutExpired: after ``STOP_TIMEOUT_SECONDS``.
        """
        process = self.processes.pop(name)
        self.hosts.pop(name, None)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_SECONDS)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL to simulate a crash."""
        process = self.processes.pop(name)
        self.hosts.pop(name, None)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Kill the remaining processes; keep the logs only after a failure."""
        self.closed = True
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.reservation.close()
        if self.failed:
            print(f"logs are kept in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
