"""Drives load while entry hosts, servers, keys and the platform fail.

The order of the faults comes from a seed. Prints what each fault cost and
the load tool's table and JSON line; exits 0 only if no promise was broken.
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
REQUESTS = int(sys.argv[2]) if len(sys.argv) > 2 else 100_000
RATE = 560.0
PAUSE_SECONDS = 3.0
CALM_SECONDS = 4.0
DRAIN_SECONDS = 2.0
QUICK = {"service_seconds": 0.01, "block_seconds": 0.002}
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
    """

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.rng = random.Random(SEED)
        self.next_number = ENTRY_HOSTS + 1
        self.done: list[str] = []
        self.over = threading.Event()
        self.started = time.monotonic()

    def run(self) -> None:
        """Inject faults, each kind once before any comes again."""
        while not self.over.is_set():
            faults = list(FAULTS)
            self.rng.shuffle(faults)
            for fault in faults:
                if self.over.wait(CALM_SECONDS):
                    return
                at = time.monotonic() - self.started
                getattr(self, fault)()
                self.done.append(fault)
                print(f"fault at {at:.1f} s: {fault}", flush=True)

    def add_host(self) -> None:
        """Start an entry host in the place of one that is gone."""
        # Numbers of ports repeat after 10 hosts; those hosts are gone.
        number = self.next_number
        self.next_number = self.next_number % 10 + 1
        while f"entry-{number}" in self.cluster.hosts:
            number = number % 10 + 1
        name = f"entry-{number}"
        centre = example.CENTRES[number % len(example.CENTRES)]
        self.cluster.start_host(name, number, centre)
        self.cluster.wait_host(name)

    def pick(self) -> str:
        """Choose an entry host, the booking dispatcher every other time."""
        names = sorted(self.cluster.hosts)
        if self.rng.random() < 0.5:
            return self.rng.choice(names)
        offset = self.cluster.hosts[names[0]]
        seen = self.cluster.get(offset + 2, "/metrics")["dispatchers"]
        name = f"entry-{seen['bookings'][0]}"
        return name if name in names else names[0]

    def crash(self) -> None:
        """Kill a host; the fabric notices a second later."""
        self.cluster.kill(self.pick())
        self.over.wait(1.0)
        self.add_host()
        self.cluster.tell_fabric_hosts()

    def pause(self) -> None:
        """Freeze a host for longer than any time-out."""
        name = self.pick()
        self.cluster.signal(name, signal.SIGSTOP)
        self.over.wait(PAUSE_SECONDS)
        self.cluster.signal(name, signal.SIGCONT)

    def replace(self, count: int = 1) -> None:
        """Replace hosts as planned."""
        for _ in range(count):
            self.add_host()
        names = [self.pick()]
        others = sorted(set(self.cluster.hosts) - set(names))
        names += self.rng.sample(others, count - 1)
        kept = dict(self.cluster.hosts)
        for name in names:
            self.cluster.hosts.pop(name)
        self.cluster.tell_fabric_hosts()
        for name in names:
            self.cluster.hosts[name] = kept[name]
            self.cluster.signal(name, signal.SIGTERM)
        for name in names:
            self.cluster.stop(name)

    def replace_two(self) -> None:
        """Replace two hosts at once."""
        self.replace(2)

    def roll_server(self) -> None:
        """Let a booking server leave and come back."""
        name = f"booking-{self.rng.randrange(1, 8)}"
        example.apply(self.cluster, leaving=name)
        offset = self.cluster.backends[name]
        self.cluster.post(offset, {"drain": True})
        self.over.wait(DRAIN_SECONDS)
        self.cluster.post(offset, {"drain": False})
        example.apply(self.cluster)

    def rotate_keys(self) -> None:
        """Add a key, then seal with it."""
        for _ in range(2):
            self.cluster.command("rotate_keys", self.cluster.url(5, ""))

    def outage(self) -> None:
        """Take the platform away."""
        self.cluster.post(5, {"away": True})
        self.over.wait(PAUSE_SECONDS)
        self.cluster.post(5, {"away": False})

    def lossy_fabric(self) -> None:
        """Lose and double many datagrams."""
        self.cluster.post(7, {"drop": 0.03, "duplicate": 0.1})
        self.over.wait(PAUSE_SECONDS)
        self.cluster.post(7, {"drop": 0.002, "duplicate": 0.01})


def mixes(cluster: clusters.Cluster) -> list[dict]:
    """Return the mix of the example at a higher rate."""
    found = example.mixes(cluster)
    total = sum(mix["rate"] for mix in found if mix["kind"] != "drawing")
    for mix in found:
        mix["crest"] = 1.0
        if mix["kind"] != "drawing":
            mix["rate"] *= RATE / total
    return found


def run(cluster: clusters.Cluster) -> int:
    """Run load and faults together."""
    example.start(cluster, ENTRY_HOSTS, **QUICK)
    backends = [cluster.at(each) for each in cluster.backends.values()]
    settings = {
        "mix": mixes(cluster),
        "duration": REQUESTS / RATE,
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
    done = subprocess.run(
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
    chaos.over.set()
    thread.join()
    print_troubles(report)
    print_costs(cluster, chaos, time.monotonic() - started)
    sys.stdout.write(done.stdout)
    cluster.failed = done.returncode != 0
    return done.returncode


def print_troubles(report: pathlib.Path) -> None:
    """Print when which requests were not answered, by second."""
    counts: dict[tuple[int, str], int] = {}
    for at, _, told in json.loads(report.read_text())["troubles"]:
        counts[int(at), told] = counts.get((int(at), told), 0) + 1
    for (second, told), count in sorted(counts.items()):
        print(f"ended in second {second}: {count} {told}")


def print_costs(
    cluster: clusters.Cluster, chaos: Chaos, seconds: float
) -> None:
    """Print the faults and the control bytes of the hosts that are left."""
    counts = {fault: chaos.done.count(fault) for fault in FAULTS}
    totals: dict[str, int] = {}
    sent = []
    for offset in cluster.hosts.values():
        found = cluster.get(offset + 2, "/metrics")
        for name, value in found["counters"].items():
            totals[name] = totals.get(name, 0) + value
        sent.append(found["counters"].get("peer_bytes_out", 0) / seconds)
    print(json.dumps({"faults": counts}))
    print(json.dumps({"counters of the hosts left": totals}))
    print(f"control bytes a second, most of one host: {max(sent):.0f}")


def main() -> None:
    """Run, and end what was started."""
    assert pathlib.Path(example.PLAN).exists()
    with clusters.Cluster() as cluster:
        code = run(cluster)
    sys.exit(code)


if __name__ == "__main__":
    main()
