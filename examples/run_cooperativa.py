"""Runs the load of two users while entry hosts and servers change.

Starts a platform, a fabric, entry hosts and backend servers as separate
processes. While the load runs, one booking server is drained and one entry
host is replaced gracefully. Exits with the exit code of the load generator,
which is 0 if no guarantee was violated. An optional argument is the path of
an HTML report.
"""

import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

import cluster as clusters

PLAN = str(pathlib.Path(__file__).with_name("cooperativa.py"))
DATA_CENTRES = ("bilbao", "santander", "oviedo", "gijon")
ENTRY_HOSTS = 4
LOAD_SECONDS = 10.0
DRAIN_AT_SECONDS = 3.0
REPLACE_AT_SECONDS = 5.0
FABRIC_FAULTS = {
    "drop": 0.002,
    "duplicate": 0.01,
    "reorder": 0.05,
    "delay": 0.0005,
}


def request_classes(cluster: clusters.Cluster) -> list[dict]:
    """Return the request classes of both users."""
    bookings = {"service": "bookings", "address": cluster.address(0)}
    patterns = {"service": "patterns", "address": cluster.address(1)}
    return [
        {
            "name": "crew-check",
            "kind": "check",
            "path": "/slots",
            "rate": 120.0,
            "connections": 60,
            "crest": 1.5,
            **bookings,
        },
        {
            "name": "crew-record",
            "kind": "record",
            "path": "/records",
            "rate": 40.0,
            "connections": 40,
            "crest": 1.5,
            **bookings,
        },
        {
            "name": "crew-pattern",
            "kind": "drawing",
            "path": "/patterns",
            "rate": 6.0,
            "connections": 6,
            **patterns,
        },
        {
            "name": "felt-check",
            "kind": "check",
            "path": "/slots/blocks",
            "rate": 60.0,
            "connections": 30,
            "crest": 1.5,
            **bookings,
        },
        {
            "name": "felt-order",
            "kind": "record",
            "path": "/records/hats",
            "rate": 20.0,
            "connections": 20,
            "crest": 1.5,
            **bookings,
        },
        {
            "name": "felt-drawing",
            "kind": "drawing",
            "path": "/drawings",
            "rate": 4.0,
            "connections": 4,
            **patterns,
        },
    ]


def apply_plan(cluster: clusters.Cluster, leaving: str = "") -> None:
    """Write the plan to a TOML file and apply the file.

    :param leaving: names of the leaving servers, separated by commas.
    """
    url = cluster.url(5, "")
    printed = cluster.command(
        "print",
        PLAN,
        url,
        VANILLADRUM_FIRST_PORT=str(cluster.first_port),
        VANILLADRUM_LEAVING=leaving,
    )
    path = cluster.folder / "printed.toml"
    path.write_text(printed, encoding="utf-8")
    print(cluster.command("apply", str(path), url).strip(), flush=True)


def start_processes(
    cluster: clusters.Cluster, hosts: int = ENTRY_HOSTS, **server: object
) -> None:
    """Start all processes and wait until they are ready.

    :param server: further settings of the backend servers.
    """
    cluster.start_platform()
    for number in range(1, 8):
        name = f"booking-{number}"
        cluster.start_backend(name, "bookings", 10 + number, **server)
    for number in range(1, 5):
        name = f"pattern-{number}"
        cluster.start_backend(name, "patterns", 30 + number, **server)
    for number in range(1, hosts + 1):
        name = f"entry-{number}"
        cluster.start_host(
            name, number, DATA_CENTRES[number % len(DATA_CENTRES)]
        )
    cluster.update_platform_hosts()
    apply_plan(cluster)
    for name in cluster.hosts:
        cluster.wait_host(name)
    for name, offset in cluster.backends.items():
        cluster.wait_http(cluster.url(offset, "/report"), name)
    cluster.wait_joined()
    cluster.start_fabric([0, 1], **FABRIC_FAULTS)


def apply_changes(cluster: clusters.Cluster) -> None:
    """Drain a server and replace an entry host while the load runs."""
    time.sleep(DRAIN_AT_SECONDS)
    apply_plan(cluster, leaving="booking-3")
    cluster.post(cluster.backends["booking-3"], {"drain": True})
    time.sleep(REPLACE_AT_SECONDS - DRAIN_AT_SECONDS)
    cluster.start_host("entry-5", 5, DATA_CENTRES[1])
    cluster.wait_host("entry-5")
    cluster.hosts.pop("entry-1")
    cluster.update_fabric_hosts()
    cluster.update_platform_hosts()
    code = cluster.stop("entry-1")
    print(f"entry-1 replaced by entry-5 (exit code {code})", flush=True)


def print_report(cluster: clusters.Cluster) -> None:
    """Print the service-level report.

    Also writes it as HTML to the path in the first command-line argument.
    """
    endpoints = [cluster.address(each + 2) for each in cluster.hosts.values()]
    html_option = [f"--html={path}" for path in sys.argv[1:2]]
    print(cluster.command("report", *endpoints, *html_option))


def run(cluster: clusters.Cluster) -> int:
    """Run the example and return its exit code."""
    start_processes(cluster)
    settings = {
        "mix": request_classes(cluster),
        "duration": LOAD_SECONDS,
        "seed": 7,
        "backends": [
            cluster.address(each) for each in cluster.backends.values()
        ],
    }
    path = cluster.folder / "load.toml"
    path.write_text(clusters.tomli_w.dumps(settings), encoding="utf-8")
    change_thread = threading.Thread(
        target=apply_changes, args=(cluster,), daemon=True
    )
    change_thread.start()
    completed = subprocess.run(
        [sys.executable, "-m", "vanilladrum", "load", f"--settings={path}"],
        check=False,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "COLUMNS": "120"},
    )
    change_thread.join()
    cluster.failed = completed.returncode != 0
    print_report(cluster)
    sys.stdout.write(completed.stdout)
    return completed.returncode


def main() -> None:
    """Run the example; stop its processes on SIGINT and SIGTERM too."""
    # A shell may start background jobs with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with clusters.Cluster() as cluster:
            code = run(cluster)
    except KeyboardInterrupt:
        code = 130
    except RuntimeError as error:
        print(error, file=sys.stderr)
        code = 1
    sys.exit(code)


if __name__ == "__main__":
    main()
