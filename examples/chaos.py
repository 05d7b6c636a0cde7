"""Runs load while faults are injected into hosts, servers and platform.

Usage: python examples/chaos.py [SEED] [REQUESTS]

The seed sets the order of the faults. Prints the faults, the requests that
were not answered, and the table and JSON line of the load generator. Exits
with the exit code of the load generator, which is 0 if no guarantee was
violated.
"""

import json
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

import cluster as clusters
import run_cooperativa as example

ENTRY_HOSTS = 7
SEED = int(sys.argv[1]) if len(sys.argv) > 1 else 1
# Requests other than for drawings.
REQUESTS = int(sys.argv[2]) if len(sys.argv) > 2 else 100_000
REQUESTS_PER_SECOND = 560.0
FAULT_SECONDS = 3.0
# Pause between the end of a fault and the next one.
FAULT_INTERVAL_SECONDS = 4.0
DRAIN_SECONDS = 2.0
# Service times that are short enough for the higher rate.
FAST_SERVER = {"service_seconds": 0.01, "block_seconds": 0.002}
FAULTS = (
    "crash",
    "pause",
    "replace",
    "replace_two",
    "roll_server",
    "rotate_keys",
    "outage",
    "lossy_fabric",
)


class Chaos:
    """Injects one fault after another until the load ends.

    :param cluster: the running processes.
    :param injected: names of the injected faults in order.
    :param stopping: set when no more faults must be injected.
    :param started: start time on the monotonic clock.
    """

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.rng = random.Random(SEED)
        self.next_number = ENTRY_HOSTS + 1
        self.injected: list[str] = []
        self.stopping = threading.Event()
        self.started = time.monotonic()

    def run(self) -> None:
        """Inject faults; every kind occurs once before any is repeated."""
        while not self.stopping.is_set():
            faults = list(FAULTS)
            self.rng.shuffle(faults)
            for fault in faults:
                if self.stopping.wait(FAULT_INTERVAL_SECONDS):
                    return
                at = time.monotonic() - self.started
                getattr(self, fault)()
                self.injected.append(fault)
                print(f"fault at {at:.1f} s: {fault}", flush=True)

    def add_host(self) -> None:
        """Start an entry host with a number that no running host has."""
        # Host numbers, and so ports, are reused after 10 hosts.
        number = self.next_number
        self.next_number = self.next_number % 10 + 1
        while f"entry-{number}" in self.cluster.hosts:
            number = number % 10 + 1
        name = f"entry-{number}"
        data_centre = example.DATA_CENTRES[number % len(example.DATA_CENTRES)]
        self.cluster.start_host(name, number, data_centre)
        self.cluster.wait_host(name)

    def choose_host(self) -> str:
        """Return the name of an entry host for a fault.

        Returns a random host in half of the cases. Otherwise returns the
        dispatcher of the bookings, or the first host by name if that
        dispatcher no longer runs.
        """
        names = sorted(self.cluster.hosts)
        if self.rng.random() < 0.5:
            return self.rng.choice(names)
        offset = self.cluster.hosts[names[0]]
        dispatchers = self.cluster.get(offset + 2, "/metrics")["dispatchers"]
        name = f"entry-{dispatchers['bookings'][0]}"
        return name if name in names else names[0]

    def crash(self) -> None:
        """Kill a host and start another one.

        The fabric sends to the killed host for one more second and until
        the new one is ready.
        """
        self.cluster.kill(self.choose_host())
        self.stopping.wait(1.0)
        self.add_host()
        self.cluster.update_fabric_hosts()

    def pause(self) -> None:
        """Suspend a host for longer than any timeout."""
        name = self.choose_host()
        self.cluster.signal(name, signal.SIGSTOP)
        self.stopping.wait(FAULT_SECONDS)
        self.cluster.signal(name, signal.SIGCONT)

    def replace(self, count: int = 1) -> None:
        """Start hosts, then stop as many gracefully.

        The fabric stops sending to the hosts before they are stopped.

        :param count: number of hosts.
        """
        for _ in range(count):
            self.add_host()
        names = [self.choose_host()]
        other_names = sorted(set(self.cluster.hosts) - set(names))
        names += self.rng.sample(other_names, count - 1)
        offsets = dict(self.cluster.hosts)
        for name in names:
            self.cluster.hosts.pop(name)
        self.cluster.update_fabric_hosts()
        for name in names:
            self.cluster.hosts[name] = offsets[name]
            self.cluster.signal(name, signal.SIGTERM)
        for name in names:
            self.cluster.stop(name)

    def replace_two(self) -> None:
        """Replace two hosts at once."""
        self.replace(2)

    def roll_server(self) -> None:
        """Drain a booking server and return it to service."""
        name = f"booking-{self.rng.randrange(1, 8)}"
        example.apply_plan(self.cluster, leaving=name)
        offset = self.cluster.backends[name]
        self.cluster.post(offset, {"drain": True})
        self.stopping.wait(DRAIN_SECONDS)
        self.cluster.post(offset, {"drain": False})
        example.apply_plan(self.cluster)

    def rotate_keys(self) -> None:
        """Rotate twice: add a new key, then issue tokens with it."""
        for _ in range(2):
            self.cluster.command("rotate_keys", self.cluster.url(5, ""))

    def outage(self) -> None:
        """Make the platform unavailable for some time."""
        self.cluster.post(5, {"away": True})
        self.stopping.wait(FAULT_SECONDS)
        self.cluster.post(5, {"away": False})

    def lossy_fabric(self) -> None:
        """Drop and duplicate many datagrams for some time."""
        self.cluster.post(7, {"drop": 0.03, "duplicate": 0.1})
        self.stopping.wait(FAULT_SECONDS)
        self.cluster.post(7, {"drop": 0.002, "duplicate": 0.01})


def request_classes(cluster: clusters.Cluster) -> list[dict]:
    """Return the request classes of the example at a higher, steady rate.

    All but the drawings add up to ``REQUESTS_PER_SECOND``.
    """
    classes = example.request_classes(cluster)
    total = sum(
        request_class["rate"]
        for request_class in classes
        if request_class["kind"] != "drawing"
    )
    for request_class in classes:
        request_class["crest"] = 1.0
        if request_class["kind"] != "drawing":
            request_class["rate"] *= REQUESTS_PER_SECOND / total
    return classes


def run(cluster: clusters.Cluster) -> int:
    """Run the load and inject faults; return the exit code."""
    example.start_processes(cluster, ENTRY_HOSTS, **FAST_SERVER)
    backends = [cluster.address(each) for each in cluster.backends.values()]
    settings = {
        "mix": request_classes(cluster),
        "duration": REQUESTS / REQUESTS_PER_SECOND,
        "seed": SEED,
        "backends": backends,
    }
    path = cluster.folder / "load.toml"
    path.write_text(clusters.tomli_w.dumps(settings), encoding="utf-8")
    report = cluster.folder / "report.json"
    chaos = Chaos(cluster)
    thread = threading.Thread(target=chaos.run, daemon=True)
    thread.start()
    started = time.monotonic()
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "vanilladrum",
            "load",
            f"--settings={path}",
            f"--report={report}",
        ],
        check=False,
        stdout=subprocess.PIPE,
        text=True,
    )
    chaos.stopping.set()
    thread.join()
    print_failures(report)
    print_totals(cluster, chaos, time.monotonic() - started)
    sys.stdout.write(completed.stdout)
    cluster.failed = completed.returncode != 0
    return completed.returncode


def print_failures(report: pathlib.Path) -> None:
    """Print the requests that were not answered, by second and outcome."""
    counts: dict[tuple[int, str], int] = {}
    for at, _, outcome in json.loads(report.read_text())["troubles"]:
        counts[int(at), outcome] = counts.get((int(at), outcome), 0) + 1
    for (second, outcome), count in sorted(counts.items()):
        print(f"requests not answered in second {second}: {count} {outcome}")


def print_totals(
    cluster: clusters.Cluster, chaos: Chaos, seconds: float
) -> None:
    """Print the number of faults and what the running hosts counted.

    That is the sum of each counter over the hosts, and the highest rate of
    peer traffic of a host.

    :param seconds: length of the run.
    """
    counts = {fault: chaos.injected.count(fault) for fault in FAULTS}
    totals: dict[str, int] = {}
    rates = []
    for offset in cluster.hosts.values():
        metrics = cluster.get(offset + 2, "/metrics")
        for name, value in metrics["counters"].items():
            totals[name] = totals.get(name, 0) + value
        rates.append(metrics["counters"].get("peer_bytes_out", 0) / seconds)
    print(json.dumps({"faults": counts}))
    print(json.dumps({"counters of the hosts left": totals}))
    print(f"highest rate of peer traffic of a host: {max(rates):.0f} bytes/s")


def main() -> None:
    """Run the example and stop its processes."""
    assert pathlib.Path(example.PLAN).exists()
    with clusters.Cluster() as cluster:
        code = run(cluster)
    sys.exit(code)


if __name__ == "__main__":
    main()
