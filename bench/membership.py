"""Slopes of failure detection: bytes, processor time, detection, by size.

Runs cores in one process with virtual time; processor time is that of the
cores and codec alone. The last columns come from real entry-host processes
when ``--processes`` is given.
"""

import pathlib
import resource
import statistics
import sys
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))
sys.path.insert(0, str(ROOT / "examples"))
import cluster as clusters  # noqa: E402
import run_cooperativa as example  # noqa: E402
import test_membership as groups  # noqa: E402

SIZES = (7, 20, 60, 200)
PROCESS_SIZES = (3, 6, 9)
SETTLE_SECONDS = 60.0
MEASURE_SECONDS = 20.0
ROUNDS = 3
IDLE_SECONDS = 10.0


def cost(size: int, loss: float) -> tuple[float, float, int]:
    """Return bytes and processor time a host a second, and false deaths."""
    group = groups.Group(size, loss=loss)
    group.run(SETTLE_SECONDS)
    group.sent_bytes = 0
    before = time.process_time()
    group.run(MEASURE_SECONDS)
    spent = time.process_time() - before
    false_deaths = sum(node.false_deaths for node in group.nodes)
    share = size * MEASURE_SECONDS
    return group.sent_bytes / share, spent / share, false_deaths


def detection(size: int) -> tuple[float, float]:
    """Return seconds until the first and the last host knows of a death."""
    first, last = [], []
    for target in range(ROUNDS):
        group = groups.Group(size)
        group.run(SETTLE_SECONDS / 4)
        group.frozen.add(target)
        at = group.now
        while not group.all_see(target, groups.State.DEAD):
            group.run(groups.STEP)
            seen = any(
                group.sees(number, target) == groups.State.DEAD
                for number in range(size)
                if number != target
            )
            if seen and len(first) <= target:
                first.append(group.now - at)
        last.append(group.now - at)
    return statistics.median(first), statistics.median(last)


def processes(size: int) -> None:
    """Print what idle entry-host processes cost."""
    with clusters.Cluster() as cluster:
        example.start(cluster, size)
        before = read(cluster)
        time.sleep(IDLE_SECONDS)
        after = read(cluster)
        spent = [b[0] - a[0] for a, b in zip(before, after, strict=True)]
        sent = [b[1] - a[1] for a, b in zip(before, after, strict=True)]
        calls = cluster.get(5, "/report")["calls"]
        print(
            f"{size:5} processes: {statistics.median(sent) / IDLE_SECONDS:.0f}"
            f" B/s, {statistics.median(spent) / IDLE_SECONDS:.2%} of a core, "
            f"{max(each[2] for each in after) / 2**20:.0f} MB, "
            f"platform calls {calls}",
            flush=True,
        )


def read(cluster: clusters.Cluster) -> list[tuple[float, int, int]]:
    """Return processor seconds, control bytes and memory of each host."""
    found = []
    for offset in cluster.hosts.values():
        seen = cluster.get(offset + 2, "/metrics")
        sent = seen["counters"].get("peer_bytes_out", 0)
        found.append((seen["cpu_seconds"], sent, seen["max_rss_bytes"]))
    return found


def main() -> None:
    """Print a row for each size."""
    print(
        " size   B/s host  CPU share  false deaths at 10 % loss in 20 s"
        "  detected first / by all (s)"
    )
    for size in SIZES:
        sent, spent, _ = cost(size, 0.0)
        _, _, false_deaths = cost(size, 0.1)
        first, last = detection(size)
        print(
            f"{size:5}{sent:11.0f}{spent:11.3%}{false_deaths:8}"
            f"{first:36.2f} / {last:.2f}",
            flush=True,
        )
    print(
        f"memory of this process: "
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MB"
    )
    if "--processes" in sys.argv:
        for size in PROCESS_SIZES:
            processes(size)


if __name__ == "__main__":
    main()
