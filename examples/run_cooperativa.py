"""Runs both users' mix over the whole path while hosts and servers change.

Starts a platform, a fabric, entry hosts and backend servers as separate
processes. While load runs, one booking server leaves and one entry host is
replaced as planned. Exits 0 only if no promise was broken.
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
CENTRES = ("bilbao", "santander", "oviedo", "gijon")
ENTRY_HOSTS = 4
LOAD_SECONDS = 10.0
DRAIN_AT = 3.0
REPLACE_AT = 5.0
FAULTS = {"drop": 0.002, "duplicate": 0.01, "reorder": 0.05, "delay": 0.0005}


def mixes(cluster: clusters.Cluster) -> list[dict]:
    """Return both users' mix."""
    bookings = {"service": "bookings", "address": cluster.at(0)}
    patterns = {"service": "patterns", "address": cluster.at(1)}
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


def apply(cluster: clusters.Cluster, leaving: str = "") -> None:
    """Print the plan and apply it."""
    url = cluster.url(5, "")
    printed = cluster.command(
        "print",
        PLAN,
        url,
        VANILLADRUM_FIRST_PORT=str(cluster.first),
        VANILLADRUM_LEAVING=leaving,
    )
    path = cluster.folder / "printed.toml"
    path.write_text(printed, encoding="utf-8")
    print(cluster.command("apply", str(path), url).strip(), flush=True)


def start(
    cluster: clusters.Cluster, hosts: int = ENTRY_HOSTS, **server: object
) -> None:
    """Start everything and wait until it is ready.

    :param server: settings of the backend servers.
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
        cluster.start_host(name, number, CENTRES[number % len(CENTRES)])
    cluster.tell_platform_hosts()
    apply(cluster)
    for name in cluster.hosts:
        cluster.wait_host(name)
    for name, offset in cluster.backends.items():
        cluster.wait_http(cluster.url(offset, "/report"), name)
    cluster.wait_joined()
    cluster.start_fabric([0, 1], **FAULTS)


def change(cluster: clusters.Cluster) -> None:
    """Drain a server and replace an entry host while load runs."""
    time.sleep(DRAIN_AT)
    apply(cluster, leaving="booking-3")
    cluster.post(cluster.backends["booking-3"], {"drain": True})
    time.sleep(REPLACE_AT - DRAIN_AT)
    cluster.start_host("entry-5", 5, CENTRES[1])
    cluster.wait_host("entry-5")
    cluster.hosts.pop("entry-1")
    cluster.tell_fabric_hosts()
    cluster.tell_platform_hosts()
    code = cluster.stop("entry-1")
    print(f"entry-1 replaced by entry-5 as planned (exit {code})", flush=True)


def print_burn(cluster: clusters.Cluster) -> None:
    """Print the service-level burn; write its page to a path if given."""
    endpoints = [cluster.at(each + 2) for each in cluster.hosts.values()]
    page = [f"--html={path}" for path in sys.argv[1:2]]
    print(cluster.command("report", *endpoints, *page))


def run(cluster: clusters.Cluster) -> int:
    """Run the example and return its exit code."""
    start(cluster)
    settings = {
        "mix": mixes(cluster),
        "duration": LOAD_SECONDS,
        "seed": 7,
        "backends": [cluster.at(each) for each in cluster.backends.values()],
    }
    path = cluster.folder / "load.toml"
    path.write_text(clusters.tomli_w.dumps(settings), encoding="utf-8")
    changes = threading.Thread(target=change, args=(cluster,), daemon=True)
    changes.start()
    done = subprocess.run(
        [sys.executable, "-m", "vanilladrum", "load", f"--settings={path}"],
        check=False,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "COLUMNS": "120"},
    )
    changes.join()
    cluster.failed = done.returncode != 0
    print_burn(cluster)
    sys.stdout.write(done.stdout)
    return done.returncode


def main() -> None:
    """Run, and end what was started on Ctrl-C too."""
    # A shell may have started us with SIGINT ignored.
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
